//! Properties that must hold in any order of events: two routers that both act as home, a store whose answers are lost
//! and whose writes are executed late, kills, freezes, and changing orders.

#![allow(clippy::unwrap_used, clippy::needless_pass_by_value)]

mod world;

use std::{collections::BTreeMap, time::Duration};

use quickcheck::{Gen, QuickCheck, TestResult};
use stairvale_rollout::{
    Answer, Cause, FleetStatus, Observation, Order, Policy, Record, Report, Reservation, RolloutController, Stage,
    Step, Write, Written,
};
use stairvale_types::{Moment, id};
use world::{Store, TICK, bounds, order, upstream, version};

/// Time after the end of a version's trial from which no requests may be given to it: the validity of a reservation.
const RESERVATION_TTL: Duration = Duration::from_secs(2);

/// A router: its controller, its copy of the store, and its pool, reduced to what it gives to the version on trial.
struct Router {
    name: id::Router,
    controller: RolloutController,
    /// The world's time at which the router's clock started.
    clock_started: Moment,
    is_home: bool,
    /// Whether the router's control loop is frozen or receives nothing, while its pool continues.
    is_frozen: bool,
    order: Option<(u64, Order)>,
    record: Option<(u64, Record)>,
    policy_override: Option<Policy>,
    /// The reservation, its version, and the order of the record in which it was written.
    reservation: Option<(Reservation, id::Version, u64)>,
    in_flight: Option<Write>,
    /// The order of the last record that was sent to the store.
    last_write_order: u64,
}

impl Router {
    fn new(name: usize, now: Moment) -> Self {
        let name: id::Router = format!("r{name}").parse().unwrap();
        Self {
            controller: RolloutController::new(name.clone(), "app".parse().unwrap(), bounds()),
            name,
            clock_started: now,
            is_home: false,
            is_frozen: false,
            order: None,
            record: None,
            policy_override: None,
            reservation: None,
            in_flight: None,
            last_write_order: 0,
        }
    }

    fn local(&self, now: Moment) -> Moment {
        Moment::ZERO + now.since(self.clock_started)
    }

    fn policy(&self) -> Option<Policy> {
        let order = self.order.as_ref().map(|(revision, order)| (*revision, order));
        self.policy_override.clone().or_else(|| Policy::of(order, self.record.as_ref().map(|(_, record)| record)))
    }
}

/// The actual exposure of one version: a sequence of records that are all about that version shares it.
#[derive(Clone, Debug, Default)]
struct Exposure {
    /// Requests of the service before the version's first order.
    requests_before: u64,
    /// Requests that the version got.
    new_requests: u64,
    /// When the version's trial ended in the store, if the last record says so.
    ended: Option<Moment>,
}

struct World {
    now: Moment,
    store: Store,
    routers: Vec<Router>,
    delayed: Vec<Write>,
    /// Requests of the service so far. The next field holds their number at each order.
    requests: u64,
    requests_at_order: BTreeMap<u64, u64>,
    exposures: Vec<Exposure>,
    /// The index of the exposure that an order belongs to.
    exposure_of: BTreeMap<u64, usize>,
    violation: Option<String>,
}

impl World {
    fn new() -> Self {
        let now = Moment::from_millis(10_000);
        Self {
            now,
            store: Store::default(),
            routers: (0..3).map(|name| Router::new(name, now)).collect(),
            delayed: Vec::new(),
            requests: 0,
            requests_at_order: BTreeMap::new(),
            exposures: Vec::new(),
            exposure_of: BTreeMap::new(),
            violation: None,
        }
    }

    fn check(&mut self, holds: bool, violation: impl FnOnce() -> String) {
        if !holds && self.violation.is_none() {
            self.violation = Some(violation());
        }
    }

    fn step(&mut self, (action, index, choice): (u8, u8, u8)) {
        let index = usize::from(index) % self.routers.len();
        match action % 20 {
            0..=6 => self.advance(u64::from(choice % 4) + 1, choice),
            7..=10 => self.answer_write(index, choice),
            11 => self.update_copy(index),
            12..=14 => self.give_requests(index, u64::from(choice % 40)),
            15 if choice < 128 => self.toggle_home(index),
            16 => self.execute_delayed(choice),
            17 if choice < 64 => self.kill(index, choice),
            15 | 17 => self.give_requests(index, 40),
            18 => self.order(choice),
            _ => self.rare_event(index, choice),
        }
    }

    /// Advances the time, and sends requests to homes that aren't frozen.
    fn advance(&mut self, ticks: u64, choice: u8) {
        for _ in 0..ticks {
            self.now = self.now + TICK;
            for index in 0..self.routers.len() {
                if self.routers[index].is_home && !self.routers[index].is_frozen {
                    self.tick(index, choice);
                }
            }
        }
    }

    fn tick(&mut self, index: usize, choice: u8) {
        let requests = u64::from(choice % 16);
        self.requests += requests;
        let observation = |number: u8| Observation {
            route: id::Route::of("a"),
            upstream: upstream(usize::from(number % 5)),
            is_new: number.is_multiple_of(3),
            answer: if choice > 250 { Answer::Failed } else { Answer::Good },
        };
        let report = Report { requests, observations: (0..choice % 16).map(observation).collect() };
        let fleet = FleetStatus {
            ready_new: usize::from(choice % 11),
            ready_old: 10,
            running_new: 0,
            running_old: u32::from(choice.is_multiple_of(5)),
            serving: Some(version("v1")),
        };
        let router = &mut self.routers[index];
        let local = router.local(self.now);
        router.controller.observe(local, report);
        for step in router.controller.tick(local, &fleet) {
            let router = &mut self.routers[index];
            match step {
                Step::Write(write) => {
                    assert!(router.in_flight.is_none(), "two writes at a time");
                    router.last_write_order = write.record.order;
                    router.in_flight = Some(write);
                }
                Step::Reserve(reservation) => {
                    let target = router.policy().map(|policy| policy.target);
                    router.reservation = target.map(|target| (reservation, target, router.last_write_order));
                    if choice.is_multiple_of(4) {
                        self.give_requests(index, 1_000);
                    }
                }
                Step::SetPolicy(policy) => router.policy_override = Some(policy),
                Step::Log(_) => {}
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

    /// Checks that one record may follow another.
    fn check_change(&mut self, before: Option<&Record>, after: &Record) {
        if before.is_none_or(|before| before.target != after.target) {
            let requests_before = self.requests_at_order[&after.order];
            self.exposures.push(Exposure { requests_before, ..Exposure::default() });
        }
        let number = self.exposures.len() - 1;
        self.exposure_of.insert(after.order, number);
        let now = self.now;
        let exposure = &mut self.exposures[number];
        exposure.ended = after.stage.is_over().then(|| exposure.ended.unwrap_or(now));
        let (exposure, requests) = (exposure.clone(), self.requests);
        self.check(after.granted >= exposure.new_requests, || format!("{exposure:?}, {after:?}"));
        self.check(after.requests <= requests - exposure.requests_before, || {
            format!("{requests}, {exposure:?}, {after:?}")
        });
        #[allow(clippy::cast_precision_loss)]
        let is_within = after.granted as f64 <= bounds().share * after.requests as f64 + bounds().slack;
        self.check(is_within, || format!("more is set aside than may be given: {after:?}"));
        let Some(before) = before else { return };
        let is_back = after.order < before.order;
        self.check(!is_back, || format!("an older order follows: {before:?}, {after:?}"));
        if before.target == after.target {
            // A version that was rolled back and is ordered again doesn't get the unused budget of earlier requests.
            let is_again = after.order > before.order && matches!(before.stage, Stage::RolledBack(_));
            #[allow(clippy::cast_precision_loss, clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let backing = (before.granted as f64 / bounds().share).ceil() as u64;
            let min_requests = if is_again { before.requests.min(backing) } else { before.requests };
            let is_less = after.granted < before.granted || after.requests < min_requests;
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

    fn answer_write(&mut self, index: usize, choice: u8) {
        if self.routers[index].is_frozen {
            return;
        }
        let Some(write) = self.routers[index].in_flight.take() else { return };
        let written = match choice % 16 {
            0..=8 => self.store_write(&write),
            9 | 10 => {
                self.store_write(&write);
                Written::Unknown
            }
            11 | 12 => {
                self.delayed.push(write);
                Written::Unknown
            }
            13 => Written::Unknown,
            14 => Written::Refused,
            _ => {
                // The write is forwarded, and executed twice.
                self.store_write(&write);
                self.store_write(&write)
            }
        };
        let router = &mut self.routers[index];
        let local = router.local(self.now);
        router.controller.write_finished(local, written);
    }

    fn update_copy(&mut self, index: usize) {
        let router = &mut self.routers[index];
        if router.is_frozen {
            return;
        }
        router.order.clone_from(&self.store.order);
        router.record.clone_from(&self.store.record);
        let order = router.order.as_ref().map(|(revision, order)| (*revision, order));
        let record = router.record.as_ref().map(|(revision, record)| (*revision, record));
        let local = router.local(self.now);
        router.controller.store_updated(local, order, record);
    }

    /// Lets a pool give out some of the reserved requests.
    fn give_requests(&mut self, index: usize, max: u64) {
        let router = &mut self.routers[index];
        let local = router.local(self.now);
        let Some(policy) = router.policy() else { return };
        let Some((reservation, target, order)) = &mut router.reservation else { return };
        if policy.stage != Stage::Trial || policy.target != *target || local >= reservation.until {
            return;
        }
        let given = u32::try_from(max).unwrap().min(reservation.requests);
        reservation.requests -= given;
        if given == 0 {
            return;
        }
        let (name, now) = (router.name.clone(), self.now);
        let exposure = &mut self.exposures[self.exposure_of[order]];
        exposure.new_requests += u64::from(given);
        let (exposure, requests) = (exposure.clone(), self.requests);
        #[allow(clippy::cast_precision_loss)]
        let is_within = exposure.new_requests as f64
            <= bounds().share * (requests - exposure.requests_before) as f64 + bounds().slack;
        self.check(is_within, || format!("{name} gave {given} at {now}: {exposure:?} of {requests}"));
        let is_in_time = exposure.ended.is_none_or(|ended| now.since(ended) < RESERVATION_TTL);
        self.check(is_in_time, || format!("{name} gave {given} at {now}: {exposure:?}"));
    }

    /// Lets a router become home, or cease to be.
    fn toggle_home(&mut self, index: usize) {
        let router = &mut self.routers[index];
        if router.is_frozen {
            return;
        }
        router.is_home = !router.is_home;
        if !router.is_home {
            router.controller.step_down();
            router.reservation = None;
            router.policy_override = None;
        }
    }

    fn execute_delayed(&mut self, choice: u8) {
        if !self.delayed.is_empty() {
            let write = self.delayed.remove(usize::from(choice) % self.delayed.len());
            self.store_write(&write);
        }
    }

    /// Kills a router and starts it anew. Its write in flight may still be executed.
    fn kill(&mut self, index: usize, choice: u8) {
        if let Some(write) = self.routers[index].in_flight.take() {
            match choice % 3 {
                0 => {
                    self.store_write(&write);
                }
                1 => self.delayed.push(write),
                _ => {}
            }
        }
        self.routers[index] = Router::new(index, self.now);
    }

    fn order(&mut self, choice: u8) {
        let target = match choice % 12 {
            0..=5 => "v2",
            6 => "v3",
            7 => "v1",
            8 => {
                self.store.order(None);
                return;
            }
            _ => return,
        };
        // The wanted version isn't ordered again and again, or no roll-out would ever end.
        if choice % 12 < 5 && self.store.order.as_ref().is_some_and(|(_, order)| order.target == version("v2")) {
            return;
        }
        let target = order(target, 12.0);
        self.store.order(Some(target));
        self.requests_at_order.insert(self.store.revision, self.requests);
    }

    fn rare_event(&mut self, index: usize, choice: u8) {
        match choice % 16 {
            // A peer's verdict on the newest order arrives.
            0 | 1 => {
                if let Some((revision, _)) = &self.store.order {
                    self.routers[index].controller.peer_rejected(*revision);
                }
            }
            // All routers stand still for some seconds.
            2..=7 => self.now = self.now + Duration::from_millis(u64::from(choice / 16) * 250),
            8..=11 => self.routers[index].is_frozen = !self.routers[index].is_frozen,
            _ => {}
        }
    }
}

fn run_events(events: &[(u8, u8, u8)]) -> World {
    let mut world = World::new();
    world.order(0);
    for index in 0..2 {
        world.update_copy(index);
        world.toggle_home(index);
    }
    for event in events {
        world.step(*event);
        if world.violation.is_some() {
            break;
        }
    }
    world
}

#[test]
fn the_bound_the_stages_and_the_counts_hold_in_any_order_of_events() {
    fn holds(events: Vec<(u8, u8, u8)>) -> TestResult {
        match run_events(&events).violation {
            None => TestResult::passed(),
            Some(violation) => TestResult::error(violation),
        }
    }
    QuickCheck::new()
        .tests(4_000)
        .max_tests(4_000)
        .rng(Gen::new(1_200))
        .quickcheck(holds as fn(Vec<(u8, u8, u8)>) -> TestResult);
}

/// Guards the property above against holding only because nothing is ever given.
#[test]
fn random_events_reach_every_stage() {
    let mut rng = world::TestRng::new(1);
    let (mut given, mut stages) = (0, BTreeMap::<String, u32>::new());
    for _ in 0..300 {
        let events: Vec<_> = (0..1_200)
            .map(|_| {
                let [action, index, choice, ..] = rng.next().to_le_bytes();
                (action, index, choice)
            })
            .collect();
        let world = run_events(&events);
        assert_eq!(world.violation, None);
        given += world.exposures.iter().map(|exposure| exposure.new_requests).sum::<u64>();
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
