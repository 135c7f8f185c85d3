//! A store with compare and swap, and a service whose home runs a roll-out controller, for tests. Time advances in
//! ticks of 50 ms.

// Each test file uses only a part of this module.
#![allow(dead_code, clippy::unwrap_used)]

use std::{collections::BTreeMap, time::Duration};

use stairvale_rollout::{
    Answer, Bounds, Event, FleetStatus, Observation, Order, Policy, Record, Report, Reservation, RolloutController,
    Stage, Step, Write, Written,
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

/// The order and the record of one service in a store, with one revision counter for both.
#[derive(Clone, Debug, Default)]
pub struct Store {
    pub revision: u64,
    pub order: Option<(u64, Order)>,
    pub record: Option<(u64, Record)>,
    /// All records that were ever stored, in order.
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

/// A small random number generator that gives the same sequence on every machine.
pub struct TestRng(u64);

impl TestRng {
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
    pub fn fraction(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }

    pub fn chance(&mut self, share: f64) -> bool {
        self.fraction() < share
    }

    pub fn below(&mut self, end: usize) -> usize {
        usize::try_from(self.next() % (end.max(1) as u64)).unwrap()
    }
}

/// One route of a service, with its requests per second and the share of them that fails at any version.
#[derive(Clone, Copy, Debug)]
pub struct Route {
    pub name: &'static str,
    pub rate: f64,
    pub failing: f64,
    pub is_repeatable: bool,
}

/// How the new version answers, depending on the route, the time since the order and whether the upstream is loaded.
pub type Behaviour = fn(&mut TestRng, &Route, Duration, bool) -> Answer;

pub fn healthy(rng: &mut TestRng, route: &Route, _: Duration, _: bool) -> Answer {
    if rng.chance(route.failing) { Answer::Failed } else { Answer::Good }
}

/// A service whose pool does what the controller requests, with one home, and with a store that answers after one tick.
pub struct Service {
    pub now: Moment,
    pub store: Store,
    pub controller: RolloutController,
    /// The controller of the router that becomes home next. `next_router_number` is the number of the router after
    /// that.
    successor: RolloutController,
    next_router_number: u32,
    pub fleet: FleetStatus,
    pub routes: Vec<Route>,
    pub new: Behaviour,
    pub rng: TestRng,
    pub ordered_at: Moment,
    reservation: Option<(Reservation, u32, usize)>,
    pub policy_override: Option<Policy>,
    in_flight: Option<Write>,
    /// Requests of the service since the order. The next two fields count the requests at the new version, and the bad
    /// answers among them.
    pub requests: u64,
    pub new_requests: u64,
    pub new_bad: u64,
    pub bad_at_verdict: Option<u64>,
    pub events: Vec<Event>,
    pub reservations: Vec<(Moment, Reservation)>,
    pub max_over_bound: f64,
    request_credit: f64,
}

impl Service {
    pub fn new(old: usize, new: usize, routes: Vec<Route>, behaviour: Behaviour, seed: u64) -> Self {
        let fleet =
            FleetStatus { ready_new: new, ready_old: old, serving: Some(version("v1")), ..FleetStatus::default() };
        Self {
            now: Moment::from_millis(1_000),
            store: Store::default(),
            controller: RolloutController::new("r1".parse().unwrap(), "app".parse().unwrap(), bounds()),
            successor: RolloutController::new("r2".parse().unwrap(), "app".parse().unwrap(), bounds()),
            next_router_number: 3,
            fleet,
            routes,
            new: behaviour,
            rng: TestRng::new(seed),
            ordered_at: Moment::ZERO,
            reservation: None,
            policy_override: None,
            in_flight: None,
            requests: 0,
            new_requests: 0,
            new_bad: 0,
            bad_at_verdict: None,
            events: Vec::new(),
            reservations: Vec::new(),
            max_over_bound: f64::NEG_INFINITY,
            request_credit: 0.0,
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
        self.policy_override.clone().or_else(|| Policy::of(order, self.store.record.as_ref().map(|(_, record)| record)))
    }

    /// Kills the home, with its reservation and its write in flight. The next home has its own copy of the store; it
    /// has received the order unless it was itself created later.
    pub fn kill(&mut self) {
        let next_router_number = self.next_router_number;
        self.next_router_number += 1;
        let next =
            RolloutController::new(format!("r{next_router_number}").parse().unwrap(), "app".parse().unwrap(), bounds());
        self.controller = std::mem::replace(&mut self.successor, next);
        self.reservation = None;
        self.in_flight = None;
        self.policy_override = None;
    }

    pub fn run(&mut self, seconds: f64) {
        let end = self.now + Duration::from_secs_f64(seconds);
        while self.now < end {
            self.tick();
        }
    }

    /// Runs until the roll-out ends, for at most this many seconds. Returns the time from the order to the end.
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
        if let Some(write) = self.in_flight.take() {
            let written = self.store.write(&write);
            self.controller.write_finished(self.now, written);
        }
        let order = self.store.order.as_ref().map(|(revision, order)| (*revision, order));
        let record = self.store.record.as_ref().map(|(revision, record)| (*revision, record));
        self.controller.store_updated(self.now, order, record);
        self.successor.store_updated(self.now, order, record);
        let report = self.serve();
        self.controller.observe(self.now, report);
        for step in self.controller.tick(self.now, &self.fleet) {
            match step {
                Step::Write(write) => self.in_flight = Some(write),
                Step::Reserve(reservation) => {
                    self.reservations.push((self.now, reservation));
                    let first = self.rng.below(self.fleet.ready_new);
                    self.reservation = Some((reservation, reservation.requests, first));
                }
                Step::SetPolicy(policy) => {
                    if matches!(policy.stage, Stage::RolledBack(_)) && self.bad_at_verdict.is_none() {
                        self.bad_at_verdict = Some(self.new_bad);
                    }
                    self.policy_override = Some(policy);
                }
                Step::Log(event) => self.events.push(event),
            }
        }
    }

    /// Serves the requests of one tick, each of which ends at once.
    #[allow(clippy::cast_precision_loss)]
    fn serve(&mut self) -> Report {
        let mut report = Report::default();
        let total: f64 = self.routes.iter().map(|route| route.rate).sum();
        self.request_credit += total * TICK.as_secs_f64();
        let elapsed = self.elapsed();
        while self.request_credit >= 1.0 {
            self.request_credit -= 1.0;
            let route = self.draw_route(total);
            report.requests += 1;
            self.requests += 1;
            let at = self.pick_new_upstream(&route);
            let is_new = at.is_some();
            let answer = match at {
                Some(_) => (self.new)(&mut self.rng, &route, elapsed, true),
                None => healthy(&mut self.rng, &route, elapsed, true),
            };
            if is_new {
                self.new_requests += 1;
                self.new_bad += u64::from(answer != Answer::Good);
                if self.policy().is_some_and(|policy| policy.stage == Stage::Trial) {
                    let bound = 0.1 * self.requests as f64 + 50.0;
                    self.max_over_bound = self.max_over_bound.max(self.new_requests as f64 - bound);
                }
            }
            let upstream = at.unwrap_or_else(|| 1_000 + self.rng.below(self.fleet.ready_old));
            report.observations.push(Observation {
                route: id::Route::of(route.name),
                upstream: upstream_of(upstream),
                is_new,
                answer,
            });
        }
        report
    }

    fn draw_route(&mut self, total: f64) -> Route {
        let mut at = self.rng.fraction() * total;
        for route in &self.routes {
            if at < route.rate {
                return *route;
            }
            at -= route.rate;
        }
        self.routes[0]
    }

    /// The new version's upstream that a request goes to, if it goes to the new version.
    fn pick_new_upstream(&mut self, route: &Route) -> Option<usize> {
        let policy = self.policy()?;
        match policy.stage {
            Stage::Moving | Stage::Completed => Some(self.rng.below(self.fleet.ready_new)),
            Stage::RolledBack(_) => None,
            Stage::Trial => {
                let (reservation, left, first) = self.reservation.as_mut()?;
                let is_open = *left > 0 && self.now < reservation.until;
                if !is_open || !(route.is_repeatable || reservation.unrepeatable) {
                    return None;
                }
                // New upstreams carry as much as old ones: a share of the requests in proportion to their number.
                let over = reservation.upstreams;
                let share = over as f64 / (over + self.fleet.ready_old) as f64;
                if !self.rng.chance(share) {
                    return None;
                }
                *left -= 1;
                Some((*first + self.rng.below(over)) % self.fleet.ready_new)
            }
        }
    }
}

fn upstream_of(number: usize) -> id::Upstream {
    upstream(number)
}

/// For each route, the numbers of answers at the old and the new version in a record.
pub fn answers(record: &Record) -> BTreeMap<id::Route, (u64, u64)> {
    record.routes.iter().map(|(route, tally)| (*route, (tally.old.answers, tally.new.answers))).collect()
}
