//! Writes whose answers are lost, that are done late, or that another home was quicker than; homes that start anew.

#![allow(clippy::unwrap_used)]

mod world;

use std::time::Duration;

use stairvale_rollout::{Facts, Order, Record, Report, Reservation, Stage, Step, Steward, Write, Written};
use stairvale_types::Moment;
use world::{Store, TICK, bounds, order, version};

/// A steward that a test drives by hand: 5 requests a tick.
struct Home {
    now: Moment,
    steward: Steward,
    reserved: Vec<Reservation>,
}

fn facts() -> Facts {
    Facts { ready_new: 6, ready_old: 6, serving: Some(version("v1")), ..Facts::default() }
}

impl Home {
    fn new(name: &str) -> Self {
        let steward = Steward::new(name.parse().unwrap(), "app".parse().unwrap(), bounds());
        Self { now: Moment::from_millis(1_000), steward, reserved: Vec::new() }
    }

    fn learn(&mut self, store: &Store) {
        let order: Option<(u64, &Order)> = store.order.as_ref().map(|(revision, order)| (*revision, order));
        let record: Option<(u64, &Record)> = store.record.as_ref().map(|(revision, record)| (*revision, record));
        self.steward.learn(self.now, order, record);
    }

    fn tick(&mut self) -> Option<Write> {
        self.now = self.now + TICK;
        self.steward.observe(self.now, Report { requests: 5, observations: Vec::new() });
        let mut write = None;
        for step in self.steward.tick(self.now, &facts()) {
            match step {
                Step::Write(wanted) => write = Some(wanted),
                Step::Reserve(reservation) if reservation.requests > 0 => self.reserved.push(reservation),
                Step::Reserve(_) | Step::Follow(_) | Step::Say(_) => {}
            }
        }
        write
    }

    /// Ticks until something is to be written.
    fn write(&mut self) -> Write {
        (0..200).find_map(|_| self.tick()).unwrap()
    }

    fn written(&mut self, written: Written) {
        self.steward.written(self.now, written);
    }

    /// Takes the order up.
    fn begin(&mut self, store: &mut Store) {
        self.learn(store);
        let write = self.write();
        let written = store.write(&write);
        self.written(written);
    }
}

fn ordered() -> Store {
    let mut store = Store::default();
    store.order(Some(order("v2", 60.0)));
    store
}

/// Requests of a home since it saw the order at 1 s, when `ticks` went by: what its records may hold.
fn requests(home: &Home) -> u64 {
    (home.now.millis() - 1_000) / 50 * 5
}

#[test]
fn what_was_reserved_with_a_lost_answer_is_counted_and_not_given() {
    let (mut store, mut home) = (ordered(), Home::new("r1"));
    home.begin(&mut store);
    let write = home.write();
    assert!(write.record.granted > 0);
    store.write(&write);
    home.written(Written::Unknown);
    home.learn(&store);
    home.tick();
    assert_eq!(home.reserved, []);
    let next = home.write();
    assert!(next.record.granted >= write.record.granted, "it counts as granted");
    assert_eq!(next.record.requests, requests(&home), "requests are counted once");
}

#[test]
fn a_write_that_is_done_late_wins_over_the_one_after_it_and_nothing_counts_twice() {
    let (mut store, mut home) = (ordered(), Home::new("r1"));
    home.begin(&mut store);
    let first = home.write();
    home.written(Written::Unknown);
    let second = home.write();
    assert_eq!(second.expected, first.expected);
    store.write(&first);
    let written = store.write(&second);
    assert!(matches!(written, Written::Conflict(_)));
    home.written(written);
    assert_eq!(home.reserved, []);
    let third = home.write();
    assert_eq!(third.expected, store.record.as_ref().unwrap().0);
    assert!(third.record.granted > first.record.granted);
    assert_eq!(third.record.requests, requests(&home));
}

/// An earlier life of the router might have written the very same, and given it.
#[test]
fn a_write_that_was_done_twice_counts_once_and_is_not_given() {
    let (mut store, mut home) = (ordered(), Home::new("r1"));
    home.begin(&mut store);
    let write = home.write();
    store.write(&write);
    home.written(store.write(&write));
    home.tick();
    assert_eq!(home.reserved, []);
    assert_eq!(home.write().record.requests, requests(&home));
}

#[test]
fn the_copy_may_show_a_write_before_its_answer_comes() {
    let (mut store, mut home) = (ordered(), Home::new("r1"));
    home.begin(&mut store);
    let write = home.write();
    let written = store.write(&write);
    home.learn(&store);
    assert_eq!(home.tick(), None, "one write at a time");
    home.written(written);
    home.tick();
    assert_eq!(home.reserved.len(), 1);
    assert!(home.reserved[0].until <= home.now + Duration::from_secs(2));
}

#[test]
fn an_answer_that_comes_after_two_seconds_gives_nothing() {
    let (mut store, mut home) = (ordered(), Home::new("r1"));
    home.begin(&mut store);
    let write = home.write();
    let written = store.write(&write);
    for _ in 0..45 {
        assert_eq!(home.tick(), None);
    }
    home.written(written);
    home.tick();
    assert_eq!(home.reserved, []);
}

#[test]
fn a_conflict_shows_the_newest_record_even_if_the_copy_lags() {
    let (mut store, mut home, mut other) = (ordered(), Home::new("r1"), Home::new("r2"));
    home.begin(&mut store);
    other.learn(&store);
    let [mine, theirs] = [home.write(), other.write()];
    let written = store.write(&theirs);
    other.written(written);
    let conflict = store.write(&mine);
    home.written(conflict);
    // The copy still shows the record before.
    let next = home.write();
    assert_eq!(next.expected, store.record.as_ref().unwrap().0);
    assert!(next.record.granted >= theirs.record.granted);
    assert!(matches!(store.write(&next), Written::Done(_)));
}

#[test]
fn what_another_home_wrote_over_an_unknown_write_never_counts_too_many_requests() {
    let (mut store, mut home, mut other) = (ordered(), Home::new("r1"), Home::new("r2"));
    home.begin(&mut store);
    let mine = home.write();
    store.write(&mine);
    home.written(Written::Unknown);
    other.now = home.now;
    other.learn(&store);
    let theirs = other.write();
    store.write(&theirs);
    home.learn(&store);
    let next = home.write();
    let since = requests(&home) - mine.record.requests;
    assert_eq!(next.record.requests, theirs.record.requests + since, "what was in the hidden one isn't added again");
}

#[test]
fn a_record_of_an_earlier_life_is_not_taken_for_ones_own() {
    let (mut store, mut home) = (ordered(), Home::new("r1"));
    home.begin(&mut store);
    let earlier = home.write();
    // It is killed, and starts again with the same name.
    let mut home = Home::new("r1");
    home.learn(&store);
    let write = home.write();
    assert!(matches!(store.write(&earlier), Written::Done(_)));
    home.written(store.write(&write));
    home.tick();
    assert_eq!(home.reserved, [], "that was set aside by the life before");
}

#[test]
fn the_next_home_goes_on_with_the_time_and_the_account() {
    let (mut store, mut home) = (ordered(), Home::new("r1"));
    home.begin(&mut store);
    for _ in 0..6 {
        let write = home.write();
        let written = store.write(&write);
        home.written(written);
    }
    let last = store.record.clone().unwrap().1;
    // All power is lost; another process starts.
    let mut heir = Home::new("r2");
    heir.learn(&store);
    heir.now = heir.now + Duration::from_secs(1);
    let write = heir.write();
    assert!(write.record.elapsed >= last.elapsed + Duration::from_secs(1), "{:?}", write.record.elapsed);
    assert!(write.record.granted >= last.granted && write.record.requests >= last.requests);
    assert_eq!(write.record.stage, Stage::Trial);
}

#[test]
fn a_router_that_saw_the_order_counts_its_time_from_there() {
    let (mut store, mut home, mut heir) = (ordered(), Home::new("r1"), Home::new("r2"));
    heir.learn(&store);
    heir.now = heir.now + Duration::from_secs(9);
    home.begin(&mut store);
    heir.learn(&store);
    let write = heir.write();
    assert!(write.record.elapsed >= Duration::from_secs(9), "{:?}", write.record.elapsed);
}

#[test]
fn an_answer_that_comes_after_the_home_has_moved_gives_nothing() {
    let (mut store, mut home) = (ordered(), Home::new("r1"));
    home.begin(&mut store);
    let write = home.write();
    home.steward.rest();
    let written = store.write(&write);
    home.written(written);
    home.tick();
    assert_eq!(home.reserved, []);
}
