//! Writes whose answers are lost, which are executed late or which lose against another home's write, and homes that
//! start anew.

#![allow(clippy::unwrap_used)]

mod world;

use std::time::Duration;

use stairvale_rollout::{
    FleetStatus, Order, Record, Report, Reservation, RolloutController, Stage, Step, Write, Written,
};
use stairvale_types::Moment;
use world::{Store, TICK, bounds, order, version};

/// A controller that a test drives step by step, with 5 requests per tick.
struct Home {
    now: Moment,
    controller: RolloutController,
    reservations: Vec<Reservation>,
}

fn fleet() -> FleetStatus {
    FleetStatus { ready_new: 6, ready_old: 6, serving: Some(version("v1")), ..FleetStatus::default() }
}

impl Home {
    fn new(name: &str) -> Self {
        let controller = RolloutController::new(name.parse().unwrap(), "app".parse().unwrap(), bounds());
        Self { now: Moment::from_millis(1_000), controller, reservations: Vec::new() }
    }

    fn learn(&mut self, store: &Store) {
        let order: Option<(u64, &Order)> = store.order.as_ref().map(|(revision, order)| (*revision, order));
        let record: Option<(u64, &Record)> = store.record.as_ref().map(|(revision, record)| (*revision, record));
        self.controller.store_updated(self.now, order, record);
    }

    fn tick(&mut self) -> Option<Write> {
        self.now = self.now + TICK;
        self.controller.observe(self.now, Report { requests: 5, observations: Vec::new() });
        let mut write = None;
        for step in self.controller.tick(self.now, &fleet()) {
            match step {
                Step::Write(wanted) => write = Some(wanted),
                Step::Reserve(reservation) if reservation.requests > 0 => self.reservations.push(reservation),
                Step::Reserve(_) | Step::SetPolicy(_) | Step::Log(_) => {}
            }
        }
        write
    }

    /// Ticks until the controller requests a write.
    fn write(&mut self) -> Write {
        (0..200).find_map(|_| self.tick()).unwrap()
    }

    fn finish_write(&mut self, written: Written) {
        self.controller.write_finished(self.now, written);
    }

    /// Lets the controller write the first record for the order.
    fn start_roll_out(&mut self, store: &mut Store) {
        self.learn(store);
        let write = self.write();
        let written = store.write(&write);
        self.finish_write(written);
    }
}

fn ordered() -> Store {
    let mut store = Store::default();
    store.order(Some(order("v2", 60.0)));
    store
}

/// Requests of a home since it received the order at 1 s, at one tick per 50 ms: what its records may count.
fn requests(home: &Home) -> u64 {
    (home.now.millis() - 1_000) / 50 * 5
}

#[test]
fn a_reservation_with_a_lost_answer_is_counted_and_not_issued() {
    let (mut store, mut home) = (ordered(), Home::new("r1"));
    home.start_roll_out(&mut store);
    let write = home.write();
    assert!(write.record.granted > 0);
    store.write(&write);
    home.finish_write(Written::Unknown);
    home.learn(&store);
    home.tick();
    assert_eq!(home.reservations, []);
    let next = home.write();
    assert!(next.record.granted >= write.record.granted, "the reservation counts as granted");
    assert_eq!(next.record.requests, requests(&home), "requests are counted once");
}

#[test]
fn a_write_executed_late_wins_over_the_next_one_and_nothing_counts_twice() {
    let (mut store, mut home) = (ordered(), Home::new("r1"));
    home.start_roll_out(&mut store);
    let first = home.write();
    home.finish_write(Written::Unknown);
    let second = home.write();
    assert_eq!(second.expected, first.expected);
    store.write(&first);
    let written = store.write(&second);
    assert!(matches!(written, Written::Conflict(_)));
    home.finish_write(written);
    assert_eq!(home.reservations, []);
    let third = home.write();
    assert_eq!(third.expected, store.record.as_ref().unwrap().0);
    assert!(third.record.granted > first.record.granted);
    assert_eq!(third.record.requests, requests(&home));
}

/// An earlier incarnation of the router might have written the same record and issued its reservation.
#[test]
fn a_write_executed_twice_counts_once_and_is_not_issued() {
    let (mut store, mut home) = (ordered(), Home::new("r1"));
    home.start_roll_out(&mut store);
    let write = home.write();
    store.write(&write);
    home.finish_write(store.write(&write));
    home.tick();
    assert_eq!(home.reservations, []);
    assert_eq!(home.write().record.requests, requests(&home));
}

#[test]
fn the_copy_may_show_a_write_before_its_answer_arrives() {
    let (mut store, mut home) = (ordered(), Home::new("r1"));
    home.start_roll_out(&mut store);
    let write = home.write();
    let written = store.write(&write);
    home.learn(&store);
    assert_eq!(home.tick(), None, "one write at a time");
    home.finish_write(written);
    home.tick();
    assert_eq!(home.reservations.len(), 1);
    assert!(home.reservations[0].until <= home.now + Duration::from_secs(2));
}

#[test]
fn an_answer_after_two_seconds_issues_nothing() {
    let (mut store, mut home) = (ordered(), Home::new("r1"));
    home.start_roll_out(&mut store);
    let write = home.write();
    let written = store.write(&write);
    for _ in 0..45 {
        assert_eq!(home.tick(), None);
    }
    home.finish_write(written);
    home.tick();
    assert_eq!(home.reservations, []);
}

#[test]
fn a_conflict_shows_the_newest_record_even_if_the_copy_lags() {
    let (mut store, mut home, mut other) = (ordered(), Home::new("r1"), Home::new("r2"));
    home.start_roll_out(&mut store);
    other.learn(&store);
    let [mine, theirs] = [home.write(), other.write()];
    let written = store.write(&theirs);
    other.finish_write(written);
    let conflict = store.write(&mine);
    home.finish_write(conflict);
    // The home's copy still shows the previous record.
    let next = home.write();
    assert_eq!(next.expected, store.record.as_ref().unwrap().0);
    assert!(next.record.granted >= theirs.record.granted);
    assert!(matches!(store.write(&next), Written::Done(_)));
}

#[test]
fn an_overwritten_unknown_write_never_counts_too_many_requests() {
    let (mut store, mut home, mut other) = (ordered(), Home::new("r1"), Home::new("r2"));
    home.start_roll_out(&mut store);
    let mine = home.write();
    store.write(&mine);
    home.finish_write(Written::Unknown);
    other.now = home.now;
    other.learn(&store);
    let theirs = other.write();
    store.write(&theirs);
    home.learn(&store);
    let next = home.write();
    let since = requests(&home) - mine.record.requests;
    assert_eq!(
        next.record.requests,
        theirs.record.requests + since,
        "the counts of the overwritten write aren't added again"
    );
}

#[test]
fn a_record_of_an_earlier_incarnation_is_not_taken_as_own() {
    let (mut store, mut home) = (ordered(), Home::new("r1"));
    home.start_roll_out(&mut store);
    let earlier = home.write();
    // The router is killed, and starts again with the same name.
    let mut home = Home::new("r1");
    home.learn(&store);
    let write = home.write();
    assert!(matches!(store.write(&earlier), Written::Done(_)));
    home.finish_write(store.write(&write));
    home.tick();
    assert_eq!(home.reservations, [], "the earlier incarnation granted that reservation");
}

#[test]
fn the_next_home_continues_the_time_and_the_budget() {
    let (mut store, mut home) = (ordered(), Home::new("r1"));
    home.start_roll_out(&mut store);
    for _ in 0..6 {
        let write = home.write();
        let written = store.write(&write);
        home.finish_write(written);
    }
    let last = store.record.clone().unwrap().1;
    // All routers lose power, and another process starts.
    let mut successor = Home::new("r2");
    successor.learn(&store);
    successor.now = successor.now + Duration::from_secs(1);
    let write = successor.write();
    assert!(write.record.elapsed >= last.elapsed + Duration::from_secs(1), "{:?}", write.record.elapsed);
    assert!(write.record.granted >= last.granted && write.record.requests >= last.requests);
    assert_eq!(write.record.stage, Stage::Trial);
}

#[test]
fn a_router_that_received_the_order_counts_its_time_from_there() {
    let (mut store, mut home, mut successor) = (ordered(), Home::new("r1"), Home::new("r2"));
    successor.learn(&store);
    successor.now = successor.now + Duration::from_secs(9);
    home.start_roll_out(&mut store);
    successor.learn(&store);
    let write = successor.write();
    assert!(write.record.elapsed >= Duration::from_secs(9), "{:?}", write.record.elapsed);
}

#[test]
fn an_answer_after_the_home_has_moved_issues_nothing() {
    let (mut store, mut home) = (ordered(), Home::new("r1"));
    home.start_roll_out(&mut store);
    let write = home.write();
    home.controller.step_down();
    let written = store.write(&write);
    home.finish_write(written);
    home.tick();
    assert_eq!(home.reservations, []);
}
