//! What must hold in any order of events: two routers that both take themselves for the home, a store whose answers are lost
//! and whose writes are done late, kills, freezes, orders that change.

#![allow(clippy::unwrap_used, clippy::needless_pass_by_value)]

mod world;

use std::{collections::BTreeMap, time::Duration};

use quickcheck::{Gen, QuickCheck, TestResult};
use stairvale_rollout::{
    Answer, Cause, Facts, Observation, Order, Policy, Record, Report, Reservation, Stage, Step, Steward, Write, Written,
};
use stairvale_types::{Moment, id};
use world::{Store, TICK, bounds, order, upstream, version};

/// Longer than a reservation is valid.
const VALID: Duration = Duration::from_secs(2);

/// A router: its steward, its copy of the store, and its pool, as far as it gives something to the version on trial.
struct Router {
    name: id::Router,
    steward: Steward,
    /// The world's time at which its clock began.
    begun: Moment,
    is_home: bool,
    /// Whether its control stands still, or hears nothing, while its pool goes on.
    is_frozen: bool,
    order: Option<(u64, Order)>,
    record: Option<(u64, Record)>,
    follow: Option<Policy>,
    /// What was reserved, for which version, and the order of the record that it was written in.
    reservation: Option<(Reservation, id::Version, u64)>,
    in_flight: Option<Write>,
    /// The order of the record that was sent to the store last.
    wrote: u64,
}

impl Router {
    fn new(name: usize, now: Moment) -> Self {
        let name: id::Router = format!("r{name}").parse().unwrap();
        Self {
            steward: Steward::new(name.clone(), "app".parse().unwrap(), bounds()),
            name,
            begun: now,
            is_home: false,
            is_frozen: false,
            order: None,
            record: None,
            follow: None,
            reservation: None,
            in_flight: None,
            wrote: 0,
        }
    }

    fn local(&self, now: Moment) -> Moment {
        Moment::ZERO + now.since(self.begun)
    }

    fn policy(&self) -> Option<Policy> {
        let order = self.order.as_ref().map(|(revision, order)| (*revision, order));
        self.follow.clone().or_else(|| Policy::of(order, self.record.as_ref().map(|(_, record)| record)))
    }
}

/// What the world knows of one account: all records in a row that are about one version.
#[derive(Clone, Debug, Default)]
struct Account {
    /// Requests of the service before its first order.
    before: u64,
    /// Requests that its version got.
    given: u64,
    /// When a record that ended the version's trial stood, if the last one did.
    ended: Option<Moment>,
}

struct World {
    now: Moment,
    store: Store,
    routers: Vec<Router>,
    late: Vec<Write>,
    /// Requests of the service, and how many there were at each order.
    requests: u64,
    at_order: BTreeMap<u64, u64>,
    accounts: Vec<Account>,
    /// The account that an order belongs to.
    account_of: BTreeMap<u64, usize>,
    fault: Option<String>,
}

impl World {
    fn new() -> Self {
        let now = Moment::from_millis(10_000);
        Self {
            now,
            store: Store::default(),
            routers: (0..3).map(|name| Router::new(name, now)).collect(),
            late: Vec::new(),
            requests: 0,
            at_order: BTreeMap::new(),
            accounts: Vec::new(),
            account_of: BTreeMap::new(),
            fault: None,
        }
    }

    fn check(&mut self, holds: bool, fault: impl FnOnce() -> String) {
        if !holds && self.fault.is_none() {
            self.fault = Some(fault());
        }
    }

    fn step(&mut self, (what, who, how): (u8, u8, u8)) {
        let who = usize::from(who) % self.routers.len();
        match what % 20 {
            0..=6 => self.pass(u64::from(how % 4) + 1, how),
            7..=10 => self.answer(who, how),
            11 => self.learn(who),
            12..=14 => self.give(who, u64::from(how % 40)),
            15 if how < 128 => self.turn(who),
            16 => self.do_late(how),
            17 if how < 64 => self.kill(who, how),
            15 | 17 => self.give(who, 40),
            18 => self.order(how),
            _ => self.rare(who, how),
        }
    }

    /// Time passes, and requests come to homes that aren't frozen.
    fn pass(&mut self, ticks: u64, how: u8) {
        for _ in 0..ticks {
            self.now = self.now + TICK;
            for who in 0..self.routers.len() {
                if self.routers[who].is_home && !self.routers[who].is_frozen {
                    self.tick(who, how);
                }
            }
        }
    }

    fn tick(&mut self, who: usize, how: u8) {
        let requests = u64::from(how % 16);
        self.requests += requests;
        let observation = |number: u8| Observation {
            route: id::Route::of("a"),
            upstream: upstream(usize::from(number % 5)),
            is_new: number.is_multiple_of(3),
            answer: if how > 250 { Answer::Failed } else { Answer::Good },
        };
        let report = Report { requests, observations: (0..how % 16).map(observation).collect() };
        let facts = Facts {
            ready_new: usize::from(how % 11),
            ready_old: 10,
            running_new: 0,
            running_old: u32::from(how.is_multiple_of(5)),
            serving: Some(version("v1")),
        };
        let router = &mut self.routers[who];
        let local = router.local(self.now);
        router.steward.observe(local, report);
        for step in router.steward.tick(local, &facts) {
            let router = &mut self.routers[who];
            match step {
                Step::Write(write) => {
                    assert!(router.in_flight.is_none(), "two writes at a time");
                    router.wrote = write.record.order;
                    router.in_flight = Some(write);
                }
                Step::Reserve(reservation) => {
                    let target = router.policy().map(|policy| policy.target);
                    router.reservation = target.map(|target| (reservation, target, router.wrote));
                    if how.is_multiple_of(4) {
                        self.give(who, 1_000);
                    }
                }
                Step::Follow(policy) => router.follow = Some(policy),
                Step::Say(_) => {}
            }
        }
    }

    fn store_write(&mut self, write: &Write) -> Written {
        let before = self.store.record.clone().map(|(_, record)| record);
        let written = self.store.write(write);
        if matches!(written, Written::Done(_)) {
            self.check_change(before.as_ref(), &write.record);
        }
        written
    }

    /// One record follows another.
    fn check_change(&mut self, before: Option<&Record>, after: &Record) {
        if before.is_none_or(|before| before.target != after.target) {
            let before = self.at_order[&after.order];
            self.accounts.push(Account { before, ..Account::default() });
        }
        let number = self.accounts.len() - 1;
        self.account_of.insert(after.order, number);
        let now = self.now;
        let account = &mut self.accounts[number];
        account.ended = after.stage.is_over().then(|| account.ended.unwrap_or(now));
        let (account, requests) = (account.clone(), self.requests);
        self.check(after.granted >= account.given, || format!("{account:?}, {after:?}"));
        self.check(after.requests <= requests - account.before, || format!("{requests}, {account:?}, {after:?}"));
        #[allow(clippy::cast_precision_loss)]
        let is_within = after.granted as f64 <= bounds().share * after.requests as f64 + bounds().slack;
        self.check(is_within, || format!("more is set aside than may be given: {after:?}"));
        let Some(before) = before else { return };
        let is_back = after.order < before.order;
        self.check(!is_back, || format!("an older order follows: {before:?}, {after:?}"));
        if before.target == after.target {
            // What a version that was rolled back didn't get, of requests of before, it doesn't get when it is ordered again.
            let is_again = after.order > before.order && matches!(before.stage, Stage::RolledBack(_));
            #[allow(clippy::cast_precision_loss, clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let behind = (before.granted as f64 / bounds().share).ceil() as u64;
            let least = if is_again { before.requests.min(behind) } else { before.requests };
            let is_less = after.granted < before.granted || after.requests < least;
            self.check(!is_less, || format!("counts go back: {before:?}, {after:?}"));
        }
        if before.order == after.order {
            let is_allowed = match (before.stage, after.stage) {
                (Stage::Trial, _) | (Stage::Moving, Stage::Moving | Stage::Completed | Stage::RolledBack(_)) => true,
                (Stage::Moving, Stage::Trial) | (Stage::Completed | Stage::RolledBack(_), _) => false,
            };
            self.check(is_allowed, || format!("the stage goes back: {before:?}, {after:?}"));
        }
    }

    fn answer(&mut self, who: usize, how: u8) {
        if self.routers[who].is_frozen {
            return;
        }
        let Some(write) = self.routers[who].in_flight.take() else { return };
        let written = match how % 16 {
            0..=8 => self.store_write(&write),
            9 | 10 => {
                self.store_write(&write);
                Written::Unknown
            }
            11 | 12 => {
                self.late.push(write);
                Written::Unknown
            }
            13 => Written::Unknown,
            14 => Written::Refused,
            _ => {
                // Handed on, and done twice.
                self.store_write(&write);
                self.store_write(&write)
            }
        };
        let router = &mut self.routers[who];
        let local = router.local(self.now);
        router.steward.written(local, written);
    }

    fn learn(&mut self, who: usize) {
        let router = &mut self.routers[who];
        if router.is_frozen {
            return;
        }
        router.order.clone_from(&self.store.order);
        router.record.clone_from(&self.store.record);
        let order = router.order.as_ref().map(|(revision, order)| (*revision, order));
        let record = router.record.as_ref().map(|(revision, record)| (*revision, record));
        let local = router.local(self.now);
        router.steward.learn(local, order, record);
    }

    /// A pool gives some of what was reserved.
    fn give(&mut self, who: usize, most: u64) {
        let router = &mut self.routers[who];
        let local = router.local(self.now);
        let Some(policy) = router.policy() else { return };
        let Some((reservation, target, order)) = &mut router.reservation else { return };
        if policy.stage != Stage::Trial || policy.target != *target || local >= reservation.until {
            return;
        }
        let given = u32::try_from(most).unwrap().min(reservation.requests);
        reservation.requests -= given;
        if given == 0 {
            return;
        }
        let (name, now) = (router.name.clone(), self.now);
        let account = &mut self.accounts[self.account_of[order]];
        account.given += u64::from(given);
        let (account, requests) = (account.clone(), self.requests);
        #[allow(clippy::cast_precision_loss)]
        let is_within = account.given as f64 <= bounds().share * (requests - account.before) as f64 + bounds().slack;
        self.check(is_within, || format!("{name} gave {given} at {now}: {account:?} of {requests}"));
        let is_in_time = account.ended.is_none_or(|ended| now.since(ended) < VALID);
        self.check(is_in_time, || format!("{name} gave {given} at {now}: {account:?}"));
    }

    /// A router takes itself for the home, or no longer.
    fn turn(&mut self, who: usize) {
        let router = &mut self.routers[who];
        if router.is_frozen {
            return;
        }
        router.is_home = !router.is_home;
        if !router.is_home {
            router.steward.rest();
            router.reservation = None;
            router.follow = None;
        }
    }

    fn do_late(&mut self, how: u8) {
        if !self.late.is_empty() {
            let write = self.late.remove(usize::from(how) % self.late.len());
            self.store_write(&write);
        }
    }

    /// A router is killed and starts anew; what it sent may still be done.
    fn kill(&mut self, who: usize, how: u8) {
        if let Some(write) = self.routers[who].in_flight.take() {
            match how % 3 {
                0 => {
                    self.store_write(&write);
                }
                1 => self.late.push(write),
                _ => {}
            }
        }
        self.routers[who] = Router::new(who, self.now);
    }

    fn order(&mut self, how: u8) {
        let target = match how % 12 {
            0..=5 => "v2",
            6 => "v3",
            7 => "v1",
            8 => {
                self.store.order(None);
                return;
            }
            _ => return,
        };
        // What is wanted isn't ordered again and again, or nothing would ever come to its end.
        if how % 12 < 5 && self.store.order.as_ref().is_some_and(|(_, order)| order.target == version("v2")) {
            return;
        }
        let target = order(target, 12.0);
        self.store.order(Some(target));
        self.at_order.insert(self.store.revision, self.requests);
    }

    fn rare(&mut self, who: usize, how: u8) {
        match how % 16 {
            // A peer's verdict on the newest order.
            0 | 1 => {
                if let Some((revision, _)) = &self.store.order {
                    self.routers[who].steward.condemned(*revision);
                }
            }
            // Everything stands still for some seconds.
            2..=7 => self.now = self.now + Duration::from_millis(u64::from(how / 16) * 250),
            8..=11 => self.routers[who].is_frozen = !self.routers[who].is_frozen,
            _ => {}
        }
    }
}

fn play(events: &[(u8, u8, u8)]) -> World {
    let mut world = World::new();
    world.order(0);
    for who in 0..2 {
        world.learn(who);
        world.turn(who);
    }
    for event in events {
        world.step(*event);
        if world.fault.is_some() {
            break;
        }
    }
    world
}

#[test]
fn the_bound_the_stages_and_the_counts_hold_in_any_order_of_events() {
    fn holds(events: Vec<(u8, u8, u8)>) -> TestResult {
        match play(&events).fault {
            None => TestResult::passed(),
            Some(fault) => TestResult::error(fault),
        }
    }
    QuickCheck::new()
        .tests(4_000)
        .max_tests(4_000)
        .rng(Gen::new(1_200))
        .quickcheck(holds as fn(Vec<(u8, u8, u8)>) -> TestResult);
}

/// Without it the property above could hold because nothing is ever given.
#[test]
fn much_happens_in_those_orders_of_events() {
    let mut dice = world::Dice::new(1);
    let (mut given, mut stages) = (0, BTreeMap::<String, u32>::new());
    for _ in 0..300 {
        let events: Vec<_> = (0..1_200)
            .map(|_| {
                let [what, who, how, ..] = dice.next().to_le_bytes();
                (what, who, how)
            })
            .collect();
        let world = play(&events);
        assert_eq!(world.fault, None);
        given += world.accounts.iter().map(|account| account.given).sum::<u64>();
        for record in &world.store.history {
            *stages.entry(format!("{:?}", record.stage)).or_default() += 1;
        }
    }
    assert!(given > 1_000, "{given} given");
    let wanted = [
        Stage::Trial,
        Stage::Moving,
        Stage::Completed,
        Stage::RolledBack(Cause::Failing),
        Stage::RolledBack(Cause::Withdrawn),
    ];
    for stage in wanted {
        assert!(stages.contains_key(&format!("{stage:?}")), "{stage:?} is never reached: {stages:?}");
    }
}
