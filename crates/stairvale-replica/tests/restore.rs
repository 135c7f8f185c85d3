//! Copies of a store that was itself restored from a backup.

#![allow(clippy::unwrap_used)]

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use quickcheck::quickcheck;
use stairvale_replica::{Item, Revision, State, StoreUpdate, Subject, Upstream, Value, View};
use stairvale_rollout::{Cause, Order, Record, Stage};
use stairvale_table::Document;
use stairvale_types::{Moment, id};

/// Longer than an entry that came with a restore is withheld, in milliseconds.
const PAST_WITHHOLD_PERIOD_MS: u64 = 40_000;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn revision(epoch: u64, number: u64) -> u64 {
    Revision::new(epoch, number).unwrap().into()
}

fn upstream(name: &str, state: State) -> Value {
    let id: id::Upstream = name.parse().unwrap();
    Value::Upstream(Upstream {
        id: id.with_start(7),
        service: "chat".parse().unwrap(),
        address: "127.0.0.1:9000".parse().unwrap(),
        zone: "a".parse().unwrap(),
        slots: 4,
        state,
        cold: Duration::from_secs(3),
        version: None,
    })
}

fn item(name: &str, revision: u64, state: Option<State>) -> Item {
    Item::new(Subject::Upstream(name.parse().unwrap()), revision, state.map(|state| upstream(name, state)))
}

fn ready(name: &str, epoch: u64, number: u64) -> Item {
    item(name, revision(epoch, number), Some(State::Ready))
}

fn everything(epoch: u64, number: u64, items: Vec<Item>) -> StoreUpdate {
    StoreUpdate::Everything { to: revision(epoch, number), items }
}

fn changes(epoch: u64, after: u64, to: u64, items: Vec<Item>) -> StoreUpdate {
    StoreUpdate::Changes { after: revision(epoch, after), to: revision(epoch, to), items }
}

fn usable(view: &View, name: &str) -> bool {
    view.is_usable(&name.parse::<id::Upstream>().unwrap().with_start(7))
}

fn configuration(epoch: u64, number: u64, version: u64) -> Item {
    let document = Document { version, ..Document::default() };
    Item::new(Subject::Configuration, revision(epoch, number), Some(Value::Configuration(Arc::new(document))))
}

#[test]
fn a_revision_consists_of_its_epoch_and_number() {
    let revision = Revision::new(3, 77).unwrap();
    assert_eq!((revision.epoch(), revision.number(), revision.to_string()), (3, 77, "3.77".to_owned()));
    assert!(Revision::new(4, 1) > Revision::new(3, Revision::LAST_NUMBER));
    assert_eq!(Revision::new(0, 5).map(u64::from), Some(5), "without an epoch it is the store's own revision");
    assert_eq!(Revision::new(Revision::LAST_EPOCH + 1, 0), None);
    assert_eq!(Revision::new(0, Revision::LAST_NUMBER + 1), None);
}

/// Guards against changes that are dropped because their numbers were already reached before the restore.
#[test]
fn changes_after_a_restore_apply_whatever_their_number() {
    let mut view = View::default();
    assert!(view.apply_read(at(0), at(0), everything(1, 50, vec![ready("u1", 1, 50), configuration(1, 49, 3)])));
    assert!(view.apply_read(at(9), at(9), everything(2, 40, vec![ready("u1", 2, 30), configuration(2, 20, 3)])));
    let later = vec![item("u1", revision(2, 41), Some(State::Draining)), configuration(2, 42, 4)];
    assert!(view.apply_read(at(10), at(10), changes(2, 40, 42, later)));
    assert!(!usable(&view, "u1"));
    assert_eq!(view.document().unwrap().version, 4);
}

/// Guards against a peer that is sent changes on top of what the restore has undone.
#[test]
fn a_peer_of_an_earlier_epoch_is_sent_a_full_update() {
    let (mut reader, mut peer) = (View::default(), View::default());
    for view in [&mut reader, &mut peer] {
        assert!(view.apply(everything(1, 40, vec![ready("u1", 1, 5)])));
    }
    assert!(peer.apply(changes(1, 40, 45, vec![ready("lost", 1, 45)])));
    assert!(reader.apply_read(at(1), at(1), everything(2, 42, vec![ready("u1", 2, 5)])));
    assert!(reader.since(peer.revision()).is_some_and(|update| matches!(update, StoreUpdate::Everything { .. })));
    assert!(!peer.apply(changes(2, 42, 43, Vec::new())), "changes don't follow on an earlier epoch");
    assert!(peer.apply(reader.since(peer.revision()).unwrap()));
    assert_eq!(peer.revision(), reader.revision());
    assert!(reader.apply(peer.since(0).unwrap()), "and in the other direction");
    // Updates of the earlier epoch that arrive late are dropped.
    assert!(peer.apply(changes(1, 45, 60, vec![ready("late", 1, 60)])));
    assert!(peer.apply(everything(1, 70, vec![ready("late", 1, 60)])));
    assert!(!peer.apply_read(at(2), at(2), everything(1, 70, vec![ready("late", 1, 60)])));
    assert!(!usable(&peer, "late"));
}

/// Guards against upstreams that each router takes for newly started after every restore.
#[test]
fn an_item_that_differs_only_in_its_revision_has_not_changed() {
    let mut view = View::default();
    let items = |epoch| vec![ready("u1", epoch, 5), ready("u2", epoch, 6), configuration(epoch, 4, 3)];
    view.apply_read(at(0), at(0), everything(1, 40, items(1)));
    view.take_changed();
    view.apply_read(at(1), at(1), everything(2, 30, items(2)));
    assert!(view.take_changed().is_empty());
    assert_eq!(view.current_incarnation(&"u1".parse().unwrap()).unwrap().1, revision(2, 5));
}

#[test]
fn a_configuration_does_not_go_back_with_the_store() {
    let mut view = View::default();
    view.apply_read(at(0), at(0), everything(1, 40, vec![configuration(1, 40, 9)]));
    view.apply_read(at(1), at(1), everything(2, 30, vec![configuration(2, 20, 7)]));
    assert_eq!(view.document().unwrap().version, 9);
    view.apply_read(at(2), at(2), changes(2, 30, 31, vec![configuration(2, 31, 10)]));
    assert_eq!(view.document().unwrap().version, 10);
}

/// Guards against work for an incarnation that was draining, or had ended, when the store lost that change.
#[test]
fn an_incarnation_that_ended_does_not_come_back_with_the_store() {
    let mut view = View::default();
    view.apply_read(
        at(0),
        at(0),
        everything(1, 3, vec![ready("leaves", 1, 1), ready("ends", 1, 2), ready("stays", 1, 3)]),
    );
    let removals = vec![item("leaves", revision(1, 4), Some(State::Draining)), item("ends", revision(1, 5), None)];
    view.apply_read(at(9_000), at(9_000), changes(1, 3, 5, removals));
    let restored = vec![ready("leaves", 2, 1), ready("ends", 2, 2), ready("stays", 2, 3)];
    view.apply_read(at(9_100), at(9_100), everything(2, 3, restored));
    view.tick(at(9_200));
    assert!(!usable(&view, "leaves") && !usable(&view, "ends") && usable(&view, "stays"));
    // A later incarnation of that name is another upstream.
    let mut restarted = ready("leaves", 2, 4);
    if let Some(Value::Upstream(upstream)) = &mut restarted.value {
        upstream.id = "leaves@8".parse().unwrap();
    }
    view.apply_read(at(9_300), at(9_300), changes(2, 3, 4, vec![restarted]));
    assert!(view.is_usable(&"leaves@8".parse().unwrap()));
    // An entry that is renewed for this long belongs to a live upstream.
    assert!(!view.tick(at(9_300 + PAST_WITHHOLD_PERIOD_MS / 2)));
    assert!(view.tick(at(9_300 + PAST_WITHHOLD_PERIOD_MS)));
    assert!(usable(&view, "ends"));
}

#[test]
fn an_incarnation_that_had_ended_and_registers_again_is_used_at_once() {
    let mut view = View::default();
    view.apply_read(at(0), at(0), everything(1, 3, vec![ready("u1", 1, 3)]));
    view.apply_read(at(9_000), at(9_000), changes(1, 3, 5, vec![item("u1", revision(1, 5), None)]));
    view.apply_read(at(9_100), at(9_100), everything(2, 3, vec![ready("u1", 2, 3)]));
    assert!(!usable(&view, "u1"));
    view.apply_read(at(9_200), at(9_200), changes(2, 3, 6, vec![ready("u1", 2, 6)]));
    assert!(usable(&view, "u1"));
}

/// Guards against upstreams registered in the lost seconds that are dropped at once, or kept for good.
#[test]
fn upstreams_that_a_restore_has_lost_are_kept_for_a_while() {
    let (mut reader, mut peer) = (View::default(), View::default());
    reader.apply_read(at(10_000), at(10_000), everything(1, 9, vec![ready("u1", 1, 8), ready("lost", 1, 9)]));
    peer.apply(reader.since(0).unwrap());
    peer.confirm(at(10_000));
    peer.set_reported_stability(at(10_000), Duration::from_secs(9));
    reader.apply_read(at(10_100), at(10_100), everything(2, 8, vec![ready("u1", 2, 8)]));
    peer.apply(reader.since(peer.revision()).unwrap());
    for view in [&mut reader, &mut peer] {
        view.tick(at(10_200));
        assert!(usable(view, "lost") && usable(view, "u1"));
    }
    for now in (10_200..14_000).step_by(500) {
        reader.apply_read(at(now), at(now), changes(2, 8, 8, Vec::new()));
        reader.tick(at(now));
    }
    assert!(!usable(&reader, "lost") && usable(&reader, "u1"));
    assert!(peer.drop_expired(reader.stable_for(at(14_000))));
    assert!(!usable(&peer, "lost"));
}

/// Guards against a reader that the store never failed and that learnt of the restore from a peer: it took upstreams
/// registered in the lost seconds for gone at once.
#[test]
fn a_reader_that_learns_of_a_restore_from_a_peer_keeps_lost_upstreams_too() {
    let mut view = View::default();
    view.apply_read(at(10_000), at(10_000), everything(1, 9, vec![ready("u1", 1, 8), ready("lost", 1, 9)]));
    view.apply(everything(2, 8, vec![ready("u1", 2, 8)]));
    view.apply_read(at(10_100), at(10_100), changes(2, 8, 8, Vec::new()));
    view.tick(at(10_100));
    assert!(usable(&view, "lost"));
    view.apply_read(at(13_000), at(13_000), changes(2, 8, 8, Vec::new()));
    view.tick(at(13_000));
    assert!(!usable(&view, "lost"));
}

/// Guards against a copy whose age is reported too low because of an update of another epoch.
#[test]
fn the_age_of_a_copy_is_that_of_its_own_epoch() {
    let mut view = View::default();
    view.apply_read(at(1_000), at(1_000), everything(1, 9, Vec::new()));
    assert!(!view.apply_read(at(5_000), at(4_900), everything(0, 90, Vec::new())), "of an earlier epoch");
    assert_eq!(view.age(at(5_000)), Some(Duration::from_secs(4)));
    view.apply_read(at(6_000), at(5_900), everything(2, 3, Vec::new()));
    assert_eq!(view.age(at(6_000)), Some(Duration::from_millis(100)));
}

#[test]
fn an_empty_copy_gets_a_full_update_and_a_build_without_epochs_the_stores_own_numbers() {
    let mut view = View::default();
    assert_eq!(view.since(Revision::BEFORE_ALL.into()), None);
    view.apply(StoreUpdate::Everything { to: 9, items: Vec::new() });
    assert!(view.since(Revision::BEFORE_ALL.into()).is_some(), "also of a store without epochs");
    view.apply_read(at(1), at(1), everything(2, 4, vec![ready("u1", 2, 3)]));
    let StoreUpdate::Everything { to, items } = view.since(0).unwrap().without_epochs() else {
        panic!("not a full update");
    };
    assert_eq!((to, items[0].revision), (4, 3));
}

quickcheck! {
    /// In whatever way the updates of two epochs reach the copies, all end with the store's contents.
    fn copies_converge(before: Vec<(u8, bool)>, after: Vec<(u8, bool)>, fork: usize, order: Vec<u8>) -> bool {
        let evacuation = |epoch: u64, number: usize, (zone, evacuated): (u8, bool)| {
            let subject = Subject::Evacuation(format!("z{}", zone % 5).parse().unwrap());
            Item::new(subject, revision(epoch, number as u64), evacuated.then_some(Value::Evacuation))
        };
        let contents = |epoch: u64, history: &[(u8, bool)]| {
            let changes = history.iter().enumerate().map(|(index, change)| evacuation(epoch, index + 1, *change));
            let mut last: Vec<Item> = Vec::new();
            for item in changes {
                last.retain(|other| other.subject != item.subject);
                last.push(item);
            }
            last.retain(|item| item.value.is_some());
            StoreUpdate::Everything { to: revision(epoch, history.len() as u64), items: last }
        };
        let fork = fork.checked_rem(before.len() + 1).unwrap_or(0);
        let second: Vec<_> = before[..fork].iter().copied().chain(after.iter().copied()).collect();
        let mut views = [View::default(), View::default(), View::default()];
        let mut now = 0;
        for step in order {
            now += 10;
            let (from, to) = (usize::from(step >> 2) % 3, usize::from(step >> 4) % 3);
            match step % 3 {
                0 => {
                    let shown = (usize::from(step) % (before.len() + 1)).max(1).min(before.len());
                    views[to].apply_read(at(now), at(now), contents(1, &before[..shown]));
                }
                1 => {
                    let shown = fork.max(usize::from(step) % (second.len() + 1));
                    views[to].apply_read(at(now), at(now), contents(2, &second[..shown]));
                }
                _ => {
                    if let Some(update) = views[from].since(views[to].revision()) {
                        views[to].apply(update);
                    }
                }
            }
        }
        let last = contents(2, &second);
        views[0].apply_read(at(now + 10), at(now + 10), last.clone());
        let StoreUpdate::Everything { items, .. } = &last else { return false };
        let expected: BTreeSet<_> = items.iter().map(|item| format!("{:?}", item.subject)).collect();
        let (reader, others) = views.split_first_mut().unwrap();
        for view in others.iter_mut() {
            if let Some(update) = reader.since(view.revision()) {
                view.apply(update);
            }
        }
        views.iter().all(|view| {
            let zones = view.evacuated().map(|zone| format!("{:?}", Subject::Evacuation(zone.clone())));
            zones.collect::<BTreeSet<_>>() == expected
        })
    }
}

fn order(epoch: u64, number: u64) -> Item {
    let order = Order { target: "v2".parse().unwrap(), over: Duration::from_secs(16) };
    Item::new(Subject::Order("chat".parse().unwrap()), revision(epoch, number), Some(Value::Order(order)))
}

fn record(epoch: u64, number: u64, order: u64, stage: Stage, granted: u64) -> Item {
    let record = Record {
        order: revision(epoch, order),
        number: 1,
        target: "v2".parse().unwrap(),
        over: Duration::from_secs(16),
        stage,
        elapsed: Duration::ZERO,
        serving: None,
        rejected: Vec::new(),
        requests: 10 * granted,
        granted,
        routes: BTreeMap::new(),
        writer: "r1".parse().unwrap(),
    };
    Item::new(Subject::Rollout("chat".parse().unwrap()), revision(epoch, number), Some(Value::Rollout(record)))
}

/// Guards against a version that was rejected and is tried again because the store lost the record of the rejection.
#[test]
fn a_roll_out_does_not_go_back_with_the_store() {
    let failing = Stage::RolledBack(Cause::Failing);
    let service = "chat".parse().unwrap();
    // The restored store has an earlier record, no record, one of an earlier order, or one that has progressed further.
    let restored = [
        (Some(record(2, 4, 3, Stage::Trial, 2)), (failing, 20), 4),
        (None, (failing, 20), 0),
        (Some(record(2, 2, 1, Stage::Completed, 7)), (failing, 20), 2),
        (Some(record(2, 9, 3, failing, 40)), (failing, 40), 9),
    ];
    for (restored_record, expected, number) in restored {
        let mut view = View::default();
        view.apply_read(at(0), at(0), everything(1, 8, vec![order(1, 3), record(1, 8, 3, failing, 20)]));
        let items = restored_record.into_iter().chain([order(2, 3)]).collect();
        view.apply_read(at(1), at(1), everything(2, 9, items));
        let (record_revision, kept) = view.rollout(&service).unwrap();
        assert_eq!((kept.stage, kept.granted), expected);
        assert_eq!((kept.order, record_revision), (revision(2, 3), revision(2, number)));
        assert!(view.take_changed().contains(&Subject::Rollout(service.clone())));
    }
}

/// Guards against a full update without its configuration. Items from a stale read have no revision number of their
/// own, and a full update without epochs, taken for a later one, belonged to no epoch at all.
#[test]
fn a_copy_that_began_with_a_stale_read_is_sent_completely_and_only_with_its_epoch() {
    let mut view = View::default();
    assert!(view.apply(everything(2, 0, vec![configuration(2, 0, 3), ready("u1", 2, 0)])));
    assert!(view.apply_read(at(0), at(0), everything(2, 9, vec![configuration(2, 7, 3), ready("u1", 2, 8)])));
    let mut earlier_build = View::default();
    assert!(earlier_build.apply(view.since(0).unwrap().without_epochs()));
    assert_eq!(earlier_build.document().unwrap().version, 3);
    assert!(usable(&earlier_build, "u1"));
    let mut started = View::default();
    assert!(
        started.apply(StoreUpdate::Changes { after: 0, to: 0, items: vec![evacuated(2, 0)] }),
        "the items of a stale read"
    );
    assert!(started.apply(view.since(0).unwrap().without_epochs()));
    assert_eq!(started.revision(), 0, "of an unknown epoch");
    assert!(started.apply(view.since(0).unwrap()));
    assert_eq!(started.revision(), view.revision());
}

fn evacuated(epoch: u64, number: u64) -> Item {
    Item::new(Subject::Evacuation("b".parse().unwrap()), revision(epoch, number), Some(Value::Evacuation))
}
