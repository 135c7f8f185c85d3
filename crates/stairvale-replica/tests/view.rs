//! A copy's revision never goes back, its age is known, and an entry that expired while the store was failing is told
//! apart from one that was removed.

#![allow(clippy::unwrap_used)]

use std::{sync::Arc, time::Duration};

use quickcheck::{Arbitrary, Gen, quickcheck};
use stairvale_replica::{Item, State, StoreUpdate, Subject, Upstream, Value, View};
use stairvale_table::Document;
use stairvale_types::{Moment, id};

fn upstream(name: &str, state: State) -> Value {
    Value::Upstream(Upstream {
        id: name.parse().unwrap(),
        service: "chat".parse().unwrap(),
        address: "127.0.0.1:9000".parse().unwrap(),
        zone: "a".parse().unwrap(),
        slots: 4,
        state,
        cold: Duration::ZERO,
        version: None,
    })
}

fn item(name: &str, revision: u64, state: Option<State>) -> Item {
    let id: id::Upstream = name.parse().unwrap();
    Item::new(Subject::Upstream(id), revision, state.map(|state| upstream(name, state)))
}

fn configuration(version: u64, revision: u64) -> Item {
    let document = Document { version, ..Document::default() };
    Item::new(Subject::Configuration, revision, Some(Value::Configuration(Arc::new(document))))
}

fn evacuation(revision: u64, evacuated: bool) -> Item {
    Item::new(Subject::Evacuation("a".parse().unwrap()), revision, evacuated.then_some(Value::Evacuation))
}

#[test]
fn an_evacuation_covers_expired_upstreams_and_holds_until_it_ends() {
    let mut view = View::default();
    let id = |name: &str| name.parse::<id::Upstream>().unwrap();
    let ready = |name, revision| item(name, revision, Some(State::Ready));
    assert!(view.apply_read(at(0), at(0), changes(0, vec![ready("u1", 1), ready("u2", 2)])));
    view.record_store_failure(at(10));
    assert!(view.apply_read(at(20), at(15), changes(2, vec![item("u1", 3, None)])));
    assert!(view.is_usable(&id("u1")) && view.is_usable(&id("u2")));
    assert!(view.apply(changes(3, vec![evacuation(4, true)])));
    assert!(!view.is_usable(&id("u1")) && !view.is_usable(&id("u2")));
    assert_eq!(view.evacuated().count(), 1);
    // An older incremental or full update doesn't undo the evacuation.
    assert!(view.apply(StoreUpdate::Everything { to: 3, items: vec![ready("u2", 2)] }));
    assert!(!view.is_usable(&id("u2")));
    // The store has compacted its history, and the evacuation was ended in the meantime.
    assert!(view.apply(StoreUpdate::Everything { to: 9, items: vec![ready("u2", 2)] }));
    assert!(view.is_usable(&id("u2")));
    assert!(view.apply(changes(9, vec![evacuation(10, true)])));
    assert!(!view.is_usable(&id("u2")));
    assert!(view.apply(changes(10, vec![evacuation(11, false)])));
    assert!(view.is_usable(&id("u2")));
}

fn changes(after: u64, items: Vec<Item>) -> StoreUpdate {
    let to = items.iter().map(|item| item.revision).max().unwrap_or(after);
    StoreUpdate::Changes { after, to, items }
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn usable(view: &View, name: &str) -> bool {
    view.is_usable(&name.parse().unwrap())
}

#[test]
fn a_lower_version_never_replaces_a_higher_one() {
    let mut view = View::default();
    assert!(view.apply(StoreUpdate::Everything { to: 5, items: vec![configuration(7, 5)] }));
    assert!(view.apply(changes(5, vec![configuration(3, 6)])));
    assert_eq!(view.document().unwrap().version, 7);
    // A full update without the configuration is incomplete; it doesn't remove the configuration.
    assert!(view.apply(StoreUpdate::Everything { to: 9, items: Vec::new() }));
    assert_eq!(view.document().unwrap().version, 7);
}

#[test]
fn changes_that_leave_a_gap_are_rejected() {
    let mut view = View::default();
    assert!(view.apply(changes(0, vec![item("e1", 3, Some(State::Ready))])));
    assert!(!view.apply(changes(4, vec![item("e2", 5, Some(State::Ready))])));
    assert_eq!(view.revision(), 3);
}

#[test]
fn an_entry_that_is_removed_while_the_store_works_is_gone() {
    let mut view = View::default();
    view.apply(changes(0, vec![item("e1", 1, Some(State::Ready))]));
    view.apply(changes(1, vec![item("e1", 2, None)]));
    assert!(!usable(&view, "e1"));
}

#[test]
fn an_entry_that_expires_with_the_store_is_dropped_unless_it_registers_again() {
    let mut view = View::default();
    let first = changes(0, vec![item("e1", 1, Some(State::Ready)), item("e2", 2, Some(State::Draining))]);
    view.apply_read(at(0), at(0), first);
    view.record_store_failure(at(1_000));
    view.apply_read(at(1_100), at(1_100), changes(2, vec![item("e1", 3, None), item("e2", 4, None)]));
    assert!(usable(&view, "e1"), "the store was failing, so the removal is inconclusive");
    assert!(!usable(&view, "e2"), "it was draining before");
    view.apply_read(at(2_000), at(2_000), changes(4, Vec::new()));
    assert!(!view.tick(at(2_000)));
    view.apply_read(at(4_000), at(4_000), changes(4, Vec::new()));
    assert!(view.tick(at(4_000)), "the store has worked again for long enough");
    assert!(!usable(&view, "e1"));
}

#[test]
fn a_removal_read_without_store_failures_is_conclusive_for_all() {
    let (mut failed, mut stable) = (View::default(), View::default());
    for view in [&mut failed, &mut stable] {
        view.apply_read(at(0), at(0), changes(0, vec![item("e1", 1, Some(State::Ready))]));
    }
    failed.record_store_failure(at(5_000));
    stable.apply_read(at(5_100), at(5_100), changes(1, vec![item("e1", 2, None)]));
    assert!(!usable(&stable, "e1"), "a failure that another router observed doesn't make this removal inconclusive");
    // An update from the router that the store didn't fail is conclusive, also at the router that it failed.
    assert!(failed.apply(stable.since(1).unwrap()));
    assert!(!usable(&failed, "e1"));
}

#[test]
fn a_reader_with_a_stable_store_makes_peers_drop_expired_upstreams() {
    let mut view = View::default();
    view.apply_read(at(0), at(0), changes(0, vec![item("e1", 1, Some(State::Ready))]));
    view.record_store_failure(at(100));
    view.apply_read(at(200), at(200), changes(1, vec![item("e1", 2, None)]));
    assert!(!view.drop_expired(None), "a router that doesn't read the store can't decide");
    assert!(!view.drop_expired(Some(Duration::from_millis(500))));
    assert!(usable(&view, "e1"));
    assert!(view.drop_expired(Some(Duration::from_secs(9))));
    assert!(!usable(&view, "e1"));
}

#[test]
fn an_entry_that_registers_again_replaces_its_expired_one() {
    let mut view = View::default();
    view.apply_read(at(0), at(0), changes(0, vec![item("e1", 1, Some(State::Ready))]));
    view.record_store_failure(at(100));
    view.apply_read(at(200), at(200), changes(1, vec![item("e1", 2, None)]));
    view.apply_read(at(900), at(900), changes(2, vec![item("e1", 3, Some(State::Ready))]));
    view.apply_read(at(9_000), at(9_000), changes(3, Vec::new()));
    view.tick(at(9_000));
    assert!(usable(&view, "e1"));
    assert_eq!(view.upstreams().count(), 1);
}

#[test]
fn a_full_update_removes_items_that_it_does_not_contain() {
    let mut view = View::default();
    view.apply(changes(0, vec![item("e1", 1, Some(State::Ready)), item("e2", 2, Some(State::Ready))]));
    view.apply(StoreUpdate::Everything { to: 9, items: vec![item("e2", 2, Some(State::Ready))] });
    assert!(!usable(&view, "e1"));
    assert!(usable(&view, "e2"));
    // An older full update that arrives late brings nothing back.
    view.apply(StoreUpdate::Everything { to: 1, items: vec![item("e1", 1, Some(State::Ready))] });
    assert!(!usable(&view, "e1"));
}

#[test]
fn age_counts_from_the_latest_confirmation() {
    let mut view = View::default();
    assert_eq!(view.age(at(5)), None);
    view.confirm(at(100));
    view.confirm(at(50));
    assert_eq!(view.age(at(130)), Some(Duration::from_millis(30)));
}

#[test]
fn a_peer_may_confirm_a_time_before_this_process_started() {
    let mut view = View::default();
    assert!(!view.is_confirmed());
    view.confirm_by_peer(at(20), Duration::from_millis(500));
    assert!(view.is_confirmed());
    assert_eq!(view.age(at(50)), Some(Duration::from_millis(530)));
    // An older confirmation changes nothing, a newer one does.
    view.confirm_by_peer(at(30), Duration::from_millis(900));
    assert_eq!(view.age(at(50)), Some(Duration::from_millis(530)));
    view.confirm_by_peer(at(40), Duration::from_millis(100));
    assert_eq!(view.age(at(50)), Some(Duration::from_millis(110)));
}

/// Changes of a few upstreams, in the store's order.
#[derive(Clone, Debug)]
struct History(Vec<(u8, Option<State>)>);

impl Arbitrary for History {
    fn arbitrary(g: &mut Gen) -> Self {
        let states = [None, Some(State::Ready), Some(State::Draining)];
        let changes = Vec::<u8>::arbitrary(g).into_iter();
        Self(changes.map(|which| (which % 4, *g.choose(&states).unwrap_or(&None))).collect())
    }
}

impl History {
    fn items(&self) -> Vec<Item> {
        let numbered = self.0.iter().zip(1..);
        numbered.map(|((which, state), revision)| item(&format!("e{which}"), revision, *state)).collect()
    }
}

#[test]
fn removed_upstreams_take_bounded_memory_and_do_not_come_back() {
    let mut view = View::default();
    for number in 0..30_000_u64 {
        let name = format!("e{number}");
        let items = vec![item(&name, 2 * number + 1, Some(State::Ready)), item(&name, 2 * number + 2, None)];
        assert!(view.apply(changes(2 * number, items)));
        view.take_changed();
    }
    assert!(view.retained_entries() < 10_000, "{}", view.retained_entries());
    // An old update from a peer contains one of the removed upstreams.
    let old = StoreUpdate::Everything { to: 50, items: vec![item("e2", 5, Some(State::Ready))] };
    assert!(view.apply(old));
    assert_eq!(view.upstreams().count(), 0);
}

#[test]
fn each_change_is_reported_once() {
    let mut view = View::default();
    view.apply(changes(0, vec![item("e1", 1, Some(State::Ready)), item("e2", 2, Some(State::Ready))]));
    assert_eq!(view.take_changed().len(), 2);
    assert_eq!(view.take_changed().len(), 0);
    view.apply(changes(2, vec![item("e2", 3, None), item("e1", 1, Some(State::Ready))]));
    assert_eq!(view.take_changed().into_iter().collect::<Vec<_>>(), [Subject::Upstream("e2".parse().unwrap())]);
}

quickcheck! {
    /// Two copies, one of which lags by any number of changes, agree after one exchange.
    fn a_copy_that_lags_catches_up(history: History, lag: usize) -> bool {
        let items = history.items();
        let lag = if items.is_empty() { 0 } else { lag % items.len() };
        let (mut ahead, mut behind) = (View::default(), View::default());
        for (after, one) in items.iter().enumerate() {
            ahead.apply(changes(after as u64, vec![one.clone()]));
        }
        behind.apply(changes(0, items[..lag].to_vec()));
        if let Some(update) = ahead.since(behind.revision()) && !behind.apply(update) {
            return false;
        }
        let names = ["e0", "e1", "e2", "e3"];
        names.iter().all(|name| usable(&ahead, name) == usable(&behind, name)) && ahead.revision() == behind.revision()
    }

    /// Updates that arrive twice, late or out of order leave the copy with the store's last change.
    fn updates_apply_in_any_order(history: History, shuffle: Vec<u8>) -> bool {
        let items = history.items();
        let mut view = View::default();
        for index in shuffle {
            if !items.is_empty() {
                view.apply(changes(0, vec![items[usize::from(index) % items.len()].clone()]));
            }
        }
        for one in items.iter().rev() {
            view.apply(changes(0, vec![one.clone()]));
        }
        (0..4).all(|which| {
            let name = format!("e{which}");
            let last = items.iter().rev().find(|item| item.subject == Subject::Upstream(name.parse().unwrap()));
            let ready = last.is_some_and(|last| matches!(&last.value, Some(Value::Upstream(u)) if u.state == State::Ready));
            usable(&view, &name) == ready
        })
    }
}

/// A full update with this many upstreams of a few services and zones, beside a configuration.
fn full_update(upstreams: usize) -> StoreUpdate {
    let zones = ["north-a", "north-b", "south-a"];
    let upstream_items = (0..upstreams).map(|number| {
        let name = format!("i-{number:010x}");
        let id: id::Upstream = name.parse().unwrap();
        let value = Value::Upstream(Upstream {
            id: id.clone(),
            service: format!("writing-models-{}", number % 2).parse().unwrap(),
            address: std::net::SocketAddr::from(([10, 1, 0, 1], 8_000)),
            zone: zones[number % zones.len()].parse().unwrap(),
            slots: 64,
            state: if number % 7 == 0 { State::Draining } else { State::Ready },
            cold: Duration::from_millis(number as u64 % 3),
            version: (number % 5 > 0).then(|| format!("v{}", number % 2).parse().unwrap()),
        });
        Item { sure: number % 11 > 0, ..Item::new(Subject::Upstream(id), number as u64 + 10, Some(value)) }
    });
    let items = [configuration(3, 7), evacuation(8, true)].into_iter().chain(upstream_items).collect();
    StoreUpdate::Everything { to: 90_000, items }
}

#[test]
fn a_full_update_decodes_as_it_was_encoded() {
    for upstreams in [0, 1, 100, 3_000] {
        let update = full_update(upstreams);
        let bytes = stairvale_wire::codec::pack(&update).unwrap();
        assert_eq!(stairvale_wire::codec::unpack::<StoreUpdate>(&bytes).unwrap(), update);
        let StoreUpdate::Everything { items, .. } = &update else { unreachable!() };
        let apart = stairvale_wire::codec::pack(items).unwrap().len();
        let sizes = format!("{} bytes for {upstreams} upstreams, {apart} one by one", bytes.len());
        assert!(bytes.len() < 200 + upstreams * 36, "{sizes}");
        assert!(upstreams < 100 || bytes.len() * 2 < apart, "{sizes}");
    }
}

quickcheck! {
    /// Decoding arbitrary bytes as an update doesn't panic.
    fn arbitrary_bytes_decode_without_panic(bytes: Vec<u8>, cut: usize) -> bool {
        let encoded = stairvale_wire::codec::pack(&full_update(3)).unwrap();
        let corrupted: Vec<u8> = encoded.iter().enumerate().map(|(at, byte)| {
            let other = bytes.get(at).copied().unwrap_or_default();
            if at % 13 == cut % 13 { *byte ^ other } else { *byte }
        }).collect();
        let _ = stairvale_wire::codec::unpack::<StoreUpdate>(&corrupted);
        let _ = stairvale_wire::codec::unpack::<StoreUpdate>(&bytes);
        true
    }
}

/// Of several incarnations of one name, the current one is that of the newest entry, whichever copy delivers it first.
#[test]
fn of_two_incarnations_of_a_name_only_the_newest_entry_counts() {
    let entry = |revision, start: u64| {
        let value = upstream(&format!("e0@{start}"), State::Ready);
        Item::new(Subject::Upstream("e0".parse().unwrap()), revision, Some(value))
    };
    let mut view = View::default();
    view.apply(StoreUpdate::Everything { to: 5, items: vec![entry(5, 2_000)] });
    let (previous, current) = ("e0@1000".parse().unwrap(), "e0@2000".parse().unwrap());
    assert!(view.is_usable(&current) && !view.is_usable(&previous) && !view.is_usable(&"e0".parse().unwrap()));
    // An older update, as from a router that was partitioned, doesn't bring the earlier incarnation back.
    view.apply(StoreUpdate::Changes { after: 3, to: 4, items: vec![entry(4, 1_000)] });
    assert!(view.is_usable(&current) && !view.is_usable(&previous));
    // An expired entry no longer keeps its incarnation in use once the next incarnation registers.
    view.record_store_failure(Moment::from_millis(10));
    let gone = Item { sure: false, ..Item::new(Subject::Upstream("e0".parse().unwrap()), 6, None) };
    view.apply(StoreUpdate::Changes { after: 5, to: 6, items: vec![gone] });
    assert!(view.is_usable(&current), "it may register again");
    view.apply(StoreUpdate::Changes { after: 6, to: 7, items: vec![entry(7, 3_000)] });
    assert!(!view.is_usable(&current) && view.is_usable(&"e0@3000".parse().unwrap()));
}

/// Each router scans several times a second for the routers registered in the store. In a copy of 10,000 upstreams it
/// passed all of them to find thirty names, at each of a thousand routers, and twice more whenever a router came or
/// went.
#[test]
fn upstreams_sort_after_all_other_subjects() {
    let mut subjects = [
        Subject::Upstream("0".parse().unwrap()),
        Subject::Quarantine(id::Fingerprint(u64::MAX)),
        Subject::Rollout("z".parse().unwrap()),
        Subject::Order("z".parse().unwrap()),
        Subject::Evacuation("z".parse().unwrap()),
        Subject::Router("z".parse().unwrap()),
        Subject::Upstream("1".parse().unwrap()),
        Subject::Configuration,
    ];
    subjects.sort();
    let (upstreams, others): (Vec<_>, Vec<_>) =
        subjects.iter().partition(|subject| matches!(subject, Subject::Upstream(_)));
    assert_eq!(subjects.iter().skip(others.len()).collect::<Vec<_>>(), upstreams);
    assert_eq!(upstreams.len(), 2);
}

/// 10,000 upstreams that register with a fleet make as many changes in a few seconds. A copy that lagged by more than
/// 512 of them was sent a full update again, as often as each second: 985 routers sent each other 4.1 GB in this way, a
/// quarter of it between zones.
#[test]
fn a_copy_that_lags_by_thousands_of_changes_is_sent_only_these() {
    const KNOWN: u64 = 6_000;
    const CHANGED: u64 = 2_000;
    let mut view = View::default();
    let items = (1..=KNOWN).map(|number| item(&format!("u{number}"), number, Some(State::Ready))).collect();
    assert!(view.apply(StoreUpdate::Changes { after: 0, to: KNOWN, items }));
    let mut lagging = View::default();
    assert!(lagging.apply(view.since(0).unwrap()));
    for number in 1..=CHANGED {
        let state = (number % 3 != 0).then_some(State::Draining);
        let revision = KNOWN + number;
        let items = vec![item(&format!("u{number}"), revision, state)];
        assert!(view.apply(StoreUpdate::Changes { after: revision - 1, to: revision, items }));
    }
    let update = view.since(lagging.revision()).unwrap();
    let StoreUpdate::Changes { items, .. } = &update else {
        panic!("a full update was sent");
    };
    assert_eq!(items.len() as u64, CHANGED);
    assert!(lagging.apply(update));
    let upstreams =
        |view: &View| view.upstreams().map(|(upstream, revision)| (upstream.clone(), revision)).collect::<Vec<_>>();
    assert_eq!(upstreams(&lagging), upstreams(&view));
    // Below the revision that this copy began with, it can't distinguish removed items from ones that never existed, so
    // it sends a full update.
    assert!(matches!(lagging.since(KNOWN - 1), Some(StoreUpdate::Everything { .. })));
    assert!(matches!(lagging.since(KNOWN), Some(StoreUpdate::Changes { .. })));
}
