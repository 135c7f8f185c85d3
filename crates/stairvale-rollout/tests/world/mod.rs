//! A store with compare and swap, and routers with a steward each, for tests: time goes on in ticks of 50 ms.

// Each file of tests uses a part of it.
#![allow(dead_code, clippy::unwrap_used)]

use std::{collections::BTreeMap, time::Duration};

use stairvale_rollout::{
    Answer, Bounds, Event, Facts, Observation, Order, Policy, Record, Report, Reservation, Stage, Step, Steward, Write,
    Written,
};
use stairvale_types::{Moment, id};

pub const TICK: Duration = Duration::from_millis(50);

pub fn bounds() -> Bounds {
    Bounds { share: 0.1, slack: 50.0, rollback: Duration::from_secs(5) }
}

pub fn version(name: &str) -> id::Version {
    name.parse().unwrap()
}

pub fn order(target: &str, over: f64) -> Order {
    Order { target: version(target), over: Duration::from_secs_f64(over) }
}

pub fn upstream(number: usize) -> id::Upstream {
    format!("u{number}").parse().unwrap()
}

/// One key of a store: the order and the record, with one counter of revisions.
#[derive(Clone, Debug, Default)]
pub struct Store {
    pub revision: u64,
    pub order: Option<(u64, Order)>,
    pub record: Option<(u64, Record)>,
    /// All records that ever stood, in their order.
    pub history: Vec<Record>,
}

impl Store {
    pub fn order(&mut self, order: Option<Order>) {
        self.revision += 1;
        self.order = order.map(|order| (self.revision, order));
    }

    pub fn write(&mut self, write: &Write) -> Written {
        let revision = self.record.as_ref().map_or(0, |(revision, _)| *revision);
        if revision != write.expected {
            return Written::Conflict(self.record.clone());
        }
        self.revision += 1;
        self.record = Some((self.revision, write.record.clone()));
        self.history.push(write.record.clone());
        Written::Done(self.revision)
    }
}

/// A small source of numbers that is the same on every machine.
pub struct Dice(u64);

impl Dice {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x5851_f42d_4c95_7f2d)
    }

    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    #[allow(clippy::cast_precision_loss)]
    pub fn share(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }

    pub fn hits(&mut self, share: f64) -> bool {
        self.share() < share
    }

    pub fn below(&mut self, end: usize) -> usize {
        usize::try_from(self.next() % (end.max(1) as u64)).unwrap()
    }
}

/// One route of a service, with its requests a second and the share that fails wherever it runs.
#[derive(Clone, Copy, Debug)]
pub struct Route {
    pub name: &'static str,
    pub rate: f64,
    pub failing: f64,
    pub is_repeatable: bool,
}

/// How a version answers at an upstream: on which route, at which time since the order, whether it is loaded.
pub type Behaviour = fn(&mut Dice, &Route, Duration, bool) -> Answer;

pub fn good(dice: &mut Dice, route: &Route, _: Duration, _: bool) -> Answer {
    if dice.hits(route.failing) { Answer::Failed } else { Answer::Good }
}

/// A service with a pool that does what the steward says, one home, and a store that answers after a tick.
pub struct Service {
    pub now: Moment,
    pub store: Store,
    pub steward: Steward,
    /// The router that is the home next, and how many there were.
    heir: Steward,
    names: u32,
    pub facts: Facts,
    pub routes: Vec<Route>,
    pub new: Behaviour,
    pub dice: Dice,
    pub ordered_at: Moment,
    reservation: Option<(Reservation, u32, usize)>,
    pub follow: Option<Policy>,
    on_the_way: Option<Write>,
    /// Requests of the service since the order, those at the new version, bad ones among them.
    pub requests: u64,
    pub given: u64,
    pub bad: u64,
    pub bad_at_verdict: Option<u64>,
    pub events: Vec<Event>,
    pub reservations: Vec<(Moment, Reservation)>,
    pub over_bound: f64,
    left: f64,
}

impl Service {
    pub fn new(old: usize, new: usize, routes: Vec<Route>, behaviour: Behaviour, seed: u64) -> Self {
        let facts = Facts { ready_new: new, ready_old: old, serving: Some(version("v1")), ..Facts::default() };
        Self {
            now: Moment::from_millis(1_000),
            store: Store::default(),
            steward: Steward::new("r1".parse().unwrap(), "app".parse().unwrap(), bounds()),
            heir: Steward::new("r2".parse().unwrap(), "app".parse().unwrap(), bounds()),
            names: 3,
            facts,
            routes,
            new: behaviour,
            dice: Dice::new(seed),
            ordered_at: Moment::ZERO,
            reservation: None,
            follow: None,
            on_the_way: None,
            requests: 0,
            given: 0,
            bad: 0,
            bad_at_verdict: None,
            events: Vec::new(),
            reservations: Vec::new(),
            over_bound: f64::NEG_INFINITY,
            left: 0.0,
        }
    }

    pub fn order(&mut self, order: Option<Order>) {
        self.store.order(order);
        self.ordered_at = self.now;
        self.requests = 0;
    }

    pub fn stage(&self) -> Option<Stage> {
        self.store.record.as_ref().map(|(_, record)| record.stage)
    }

    pub fn elapsed(&self) -> Duration {
        self.now.since(self.ordered_at)
    }

    pub fn policy(&self) -> Option<Policy> {
        let order = self.store.order.as_ref().map(|(revision, order)| (*revision, order));
        self.follow.clone().or_else(|| Policy::of(order, self.store.record.as_ref().map(|(_, record)| record)))
    }

    /// The home is killed, with what was reserved and the write that was under way; the next one has its copy of the store,
    /// and saw the order, if it wasn't killed itself since.
    pub fn kill(&mut self) {
        let names = self.names;
        self.names += 1;
        let next = Steward::new(format!("r{names}").parse().unwrap(), "app".parse().unwrap(), bounds());
        self.steward = std::mem::replace(&mut self.heir, next);
        self.reservation = None;
        self.on_the_way = None;
        self.follow = None;
    }

    pub fn run(&mut self, seconds: f64) {
        let end = self.now + Duration::from_secs_f64(seconds);
        while self.now < end {
            self.tick();
        }
    }

    /// Runs until it is over, for so long at most; how long after the order it was.
    pub fn run_to_end(&mut self, seconds: f64) -> Option<Duration> {
        let end = self.now + Duration::from_secs_f64(seconds);
        while self.now < end {
            self.tick();
            if self.stage().is_some_and(Stage::is_over) {
                return Some(self.elapsed());
            }
        }
        None
    }

    pub fn tick(&mut self) {
        self.now = self.now + TICK;
        if let Some(write) = self.on_the_way.take() {
            let written = self.store.write(&write);
            self.steward.written(self.now, written);
        }
        let order = self.store.order.as_ref().map(|(revision, order)| (*revision, order));
        let record = self.store.record.as_ref().map(|(revision, record)| (*revision, record));
        self.steward.learn(self.now, order, record);
        self.heir.learn(self.now, order, record);
        let report = self.serve();
        self.steward.observe(self.now, report);
        for step in self.steward.tick(self.now, &self.facts) {
            match step {
                Step::Write(write) => self.on_the_way = Some(write),
                Step::Reserve(reservation) => {
                    self.reservations.push((self.now, reservation));
                    let first = self.dice.below(self.facts.ready_new);
                    self.reservation = Some((reservation, reservation.requests, first));
                }
                Step::Follow(policy) => {
                    if matches!(policy.stage, Stage::RolledBack(_)) && self.bad_at_verdict.is_none() {
                        self.bad_at_verdict = Some(self.bad);
                    }
                    self.follow = Some(policy);
                }
                Step::Say(event) => self.events.push(event),
            }
        }
    }

    /// One tick's requests, each of which ends at once.
    #[allow(clippy::cast_precision_loss)]
    fn serve(&mut self) -> Report {
        let mut report = Report::default();
        let total: f64 = self.routes.iter().map(|route| route.rate).sum();
        self.left += total * TICK.as_secs_f64();
        let elapsed = self.elapsed();
        while self.left >= 1.0 {
            self.left -= 1.0;
            let route = self.draw(total);
            report.requests += 1;
            self.requests += 1;
            let at = self.place(&route);
            let is_new = at.is_some();
            let answer = match at {
                Some(_) => (self.new)(&mut self.dice, &route, elapsed, true),
                None => good(&mut self.dice, &route, elapsed, true),
            };
            if is_new {
                self.given += 1;
                self.bad += u64::from(answer != Answer::Good);
                if self.policy().is_some_and(|policy| policy.stage == Stage::Trial) {
                    let bound = 0.1 * self.requests as f64 + 50.0;
                    self.over_bound = self.over_bound.max(self.given as f64 - bound);
                }
            }
            let upstream = at.unwrap_or_else(|| 1_000 + self.dice.below(self.facts.ready_old));
            report.observations.push(Observation {
                route: id::Route::of(route.name),
                upstream: upstream_of(upstream),
                is_new,
                answer,
            });
        }
        report
    }

    fn draw(&mut self, total: f64) -> Route {
        let mut at = self.dice.share() * total;
        for route in &self.routes {
            if at < route.rate {
                return *route;
            }
            at -= route.rate;
        }
        self.routes[0]
    }

    /// The new version's upstream that a request goes to.
    fn place(&mut self, route: &Route) -> Option<usize> {
        let policy = self.policy()?;
        match policy.stage {
            Stage::Moving | Stage::Completed => Some(self.dice.below(self.facts.ready_new)),
            Stage::RolledBack(_) => None,
            Stage::Trial => {
                let (reservation, left, first) = self.reservation.as_mut()?;
                let is_open = *left > 0 && self.now < reservation.until;
                if !is_open || !(route.is_repeatable || reservation.unrepeatable) {
                    return None;
                }
                // As much as old upstreams carry: a share of the requests in proportion to the upstreams.
                let over = reservation.over;
                let share = over as f64 / (over + self.facts.ready_old) as f64;
                if !self.dice.hits(share) {
                    return None;
                }
                *left -= 1;
                Some((*first + self.dice.below(over)) % self.facts.ready_new)
            }
        }
    }
}

fn upstream_of(number: usize) -> id::Upstream {
    upstream(number)
}

/// Counts of a route's answers in a record, for tests that look at them.
pub fn answers(record: &Record) -> BTreeMap<id::Route, (u64, u64)> {
    record.routes.iter().map(|(route, tally)| (*route, (tally.old.answers, tally.new.answers))).collect()
}
