//! Which upstreams a copy reports as usable while a service moves to another version.

#![allow(clippy::unwrap_used)]

use std::{collections::BTreeMap, time::Duration};

use quickcheck::quickcheck;
use stairvale_replica::{Item, State, StoreUpdate, Subject, Upstream, Value, View};
use stairvale_rollout::{Cause, Order, Record, Stage};
use stairvale_types::{Moment, id};

fn chat() -> id::Service {
    "chat".parse().unwrap()
}

fn upstream(name: &str, revision: u64, version: &str) -> Item {
    let id: id::Upstream = name.parse().unwrap();
    let value = Upstream {
        id: id.clone(),
        service: chat(),
        address: "127.0.0.1:9000".parse().unwrap(),
        zone: "a".parse().unwrap(),
        slots: 4,
        state: State::Ready,
        cold: Duration::ZERO,
        version: version.parse().ok(),
    };
    Item::new(Subject::Upstream(id), revision, Some(Value::Upstream(value)))
}

fn order(revision: u64, target: &str) -> Item {
    let order = Order { target: target.parse().unwrap(), over: Duration::from_secs(60) };
    Item::new(Subject::Order(chat()), revision, Some(Value::Order(order)))
}

fn record(revision: u64, order: u64, target: &str, stage: Stage) -> Item {
    let record = Record {
        order,
        target: target.parse().unwrap(),
        over: Duration::from_secs(60),
        stage,
        elapsed: Duration::ZERO,
        serving: "v1".parse().ok(),
        rejected: Vec::new(),
        requests: 100,
        granted: 10,
        routes: BTreeMap::new(),
        writer: "r1".parse().unwrap(),
        number: revision,
    };
    Item::new(Subject::Rollout(chat()), revision, Some(Value::Rollout(record)))
}

fn usable(view: &View, name: &str) -> bool {
    view.is_usable(&name.parse().unwrap())
}

fn read(view: &mut View, update: StoreUpdate) {
    let revision = view.revision();
    let now = Moment::from_millis(revision + 1);
    assert!(view.apply_read(now, now, update));
}

fn changes(view: &View, items: Vec<Item>) -> StoreUpdate {
    let to = items.iter().map(|item| item.revision).max().unwrap_or(0).max(view.revision());
    StoreUpdate::Changes { after: view.revision(), to, items }
}

#[test]
fn an_upstream_is_used_once_the_copy_is_as_new_as_its_entry() {
    let mut view = View::default();
    // The pages of a full read aren't a snapshot: the first was read at revision 10 and has the orders, the last was
    // read later and has u2.
    read(&mut view, StoreUpdate::Everything { to: 10, items: vec![upstream("u1", 3, "v1"), upstream("u2", 12, "v2")] });
    assert!(usable(&view, "u1") && !usable(&view, "u2"));
    assert_eq!(view.upstreams().count(), 1);
    assert!(view.upstream(&"u2".parse().unwrap()).is_none());
    view.take_changed();
    // This is the order for u2's version, which the first page was too old to contain.
    let update = changes(&view, vec![order(11, "v2"), upstream("u2", 12, "v2")]);
    read(&mut view, update);
    assert!(usable(&view, "u2"), "the home limits how much it gets");
    assert!(
        view.take_changed().contains(&Subject::Upstream("u2".parse().unwrap())),
        "callers that group upstreams are notified"
    );
    assert_eq!(view.upstreams().count(), 2);
    assert_eq!(view.policy(&chat()).unwrap().stage, Stage::Trial);
}

#[test]
fn an_unrelated_update_puts_a_pending_upstream_into_use() {
    let mut view = View::default();
    read(&mut view, StoreUpdate::Everything { to: 10, items: vec![upstream("u1", 12, "v1")] });
    assert!(!usable(&view, "u1"));
    read(&mut view, StoreUpdate::Changes { after: 10, to: 13, items: Vec::new() });
    assert!(usable(&view, "u1"));
}

#[test]
fn an_upstream_in_use_stays_in_use_when_its_entry_changes() {
    let mut view = View::default();
    read(&mut view, StoreUpdate::Everything { to: 10, items: vec![upstream("u1", 3, "v1")] });
    read(&mut view, StoreUpdate::Everything { to: 10, items: vec![upstream("u1", 12, "v1")] });
    assert!(usable(&view, "u1"), "an incarnation has one version");
    // An entry that was removed and is written again may have another version.
    assert!(view.apply(StoreUpdate::Changes {
        after: 10,
        to: 13,
        items: vec![Item::new(Subject::Upstream("u1".parse().unwrap()), 13, None)]
    }));
    assert!(!usable(&view, "u1"));
    assert!(view.apply(StoreUpdate::Everything { to: 12, items: vec![upstream("u1", 15, "v2")] }));
    assert!(!usable(&view, "u1"));
    assert!(view.apply(StoreUpdate::Changes { after: 13, to: 15, items: Vec::new() }));
    assert!(usable(&view, "u1"));
}

#[test]
fn a_version_is_admitted_as_the_stage_of_the_roll_out_allows() {
    let both = || vec![upstream("u1", 1, "v1"), upstream("u2", 3, "v2")];
    let after = |items: Vec<Item>| {
        let mut view = View::default();
        let items = both().into_iter().chain(items).collect();
        let update = changes(&view, items);
        read(&mut view, update);
        (usable(&view, "u1"), usable(&view, "u2"))
    };
    let rolled_back = Stage::RolledBack(Cause::Failing);
    assert_eq!(after(vec![]), (true, true), "without an order all versions are used");
    assert_eq!(after(vec![order(2, "v2")]), (true, true), "the home limits how much it gets");
    assert_eq!(after(vec![order(2, "v2"), record(4, 2, "v2", Stage::Trial)]), (true, true));
    assert_eq!(after(vec![order(2, "v2"), record(4, 2, "v2", Stage::Moving)]), (true, true));
    assert_eq!(after(vec![order(2, "v2"), record(4, 2, "v2", Stage::Completed)]), (false, true));
    assert_eq!(after(vec![order(2, "v2"), record(4, 2, "v2", rolled_back)]), (true, false));
    // The order was withdrawn: the version counts as rolled back, whether or not that is recorded yet.
    assert_eq!(after(vec![record(4, 2, "v2", Stage::Moving)]), (true, false));
    // Another version was ordered during the roll-out.
    assert_eq!(after(vec![record(4, 2, "v2", Stage::Trial), order(5, "v3")]), (true, false));
    // A completed roll-out stays in force without its order.
    assert_eq!(after(vec![record(4, 2, "v2", Stage::Completed)]), (false, true));
}

#[test]
fn an_older_record_or_order_never_replaces_a_newer_one() {
    let mut view = View::default();
    let rolled_back = record(9, 2, "v2", Stage::RolledBack(Cause::Slow));
    let update = changes(&view, vec![upstream("u1", 1, "v1"), order(2, "v2"), upstream("u2", 3, "v2"), rolled_back]);
    read(&mut view, update);
    assert!(!usable(&view, "u2"));
    let old = vec![order(2, "v2"), record(5, 2, "v2", Stage::Moving), upstream("u2", 3, "v2")];
    assert!(view.apply(StoreUpdate::Changes { after: 2, to: 5, items: old.clone() }));
    assert!(view.apply(StoreUpdate::Everything { to: 5, items: old }));
    assert!(!usable(&view, "u2"));
    assert_eq!(view.rollout(&chat()).unwrap().0, 9);
    // An older full update without the record changes nothing either.
    assert!(view.apply(StoreUpdate::Everything { to: 4, items: vec![order(2, "v2")] }));
    assert_eq!(view.rollout(&chat()).unwrap().0, 9);
    assert_eq!(view.rollouts().collect::<std::collections::BTreeSet<_>>().len(), 1);
}

/// A record that can't be read is missing from a full update. Records are never removed from the store, so the recorded
/// one stays in force.
#[test]
fn a_full_update_without_a_record_does_not_undo_a_rollback() {
    let mut view = View::default();
    let rolled_back = record(9, 2, "v2", Stage::RolledBack(Cause::Slow));
    let update = changes(&view, vec![upstream("u1", 1, "v1"), order(2, "v2"), upstream("u2", 3, "v2"), rolled_back]);
    read(&mut view, update);
    let items = vec![upstream("u1", 1, "v1"), upstream("u2", 3, "v2")];
    read(&mut view, StoreUpdate::Everything { to: 20, items });
    assert!(usable(&view, "u1") && !usable(&view, "u2"));
    assert_eq!(view.rollout(&chat()).unwrap().0, 9);
}

quickcheck! {
    /// However often and in whatever order updates from one history arrive, an upstream of a newer version is never
    /// used before the order that precedes it is recorded.
    fn no_upstream_is_used_before_its_order(steps: Vec<(bool, u8, u8)>) -> bool {
        // Revisions: 1 is u1 of v1; 2 is the order; 3 is u2 of v2; 4 is the record of the rollback; 5 is u3 of v2.
        let rolled_back = record(4, 2, "v2", Stage::RolledBack(Cause::Failing));
        let history =
            [upstream("u1", 1, "v1"), order(2, "v2"), upstream("u2", 3, "v2"), rolled_back, upstream("u3", 5, "v2")];
        let mut view = View::default();
        for (full, from, to) in steps {
            let (from, to) = (u64::from(from % 6), u64::from(to % 6));
            if full {
                // The page with orders is as of `from` and the one with upstreams as of `to`; the update states the
                // earlier revision.
                let held = |item: &&Item| {
                    let at = if matches!(item.subject, Subject::Upstream(_)) { to } else { from };
                    item.revision <= at
                };
                view.apply(StoreUpdate::Everything { to: from.min(to), items: history.iter().filter(held).cloned().collect() });
            } else {
                let items = history.iter().filter(|item| item.revision > from && item.revision <= to.max(from));
                view.apply(StoreUpdate::Changes { after: from, to: to.max(from), items: items.cloned().collect() });
            }
            let ordered = view.order(&chat()).is_some();
            let over = view.policy(&chat()).is_some_and(|policy| policy.stage.is_over());
            if usable(&view, "u2") && !ordered || usable(&view, "u3") && !over {
                return false;
            }
        }
        true
    }
}
