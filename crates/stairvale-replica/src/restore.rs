//! State that a copy carries over from before a restore of the store, although the restored store no longer holds it.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use stairvale_rollout::Record;
use stairvale_types::{Moment, Revision, id};

use crate::{Item, State, Subject, Upstream, Value, View};

/// How long an entry is withheld that a restore brought back although its upstream had ended. This is several times the
/// time without renewal after which entries expire, so an entry that still exists then is being renewed by its
/// upstream.
const WITHHOLD_PERIOD: Duration = Duration::from_secs(30);
/// Ended incarnations that are recorded.
const MAX_ENDED: usize = 4_096;

/// Corrects an entry of a restored store by what was recorded of it in the epoch before: an incarnation that was
/// draining doesn't return to service.
pub fn carry_over(recorded: &Item, restored: &mut Item) {
    if let (Some(Value::Upstream(recorded)), Some(Value::Upstream(restored))) = (&recorded.value, &mut restored.value)
        && recorded.id == restored.id
        && recorded.state == State::Draining
    {
        restored.state = State::Draining;
    }
}

/// Corrects the roll-out records of a restored store by those of the epoch before, where the order is the same: what
/// was granted stays granted, and a rejected version stays rejected. A record that the store lost is added with the
/// revision of one that isn't in the store yet in this epoch.
pub fn carry_over_rollouts(view: &View, to: Revision, items: &mut Vec<Item>) {
    let Some(epoch_start) = Revision::new(to.epoch(), 0) else {
        return;
    };
    let services: BTreeSet<_> = view.rollouts().cloned().collect();
    for service in services {
        let (Some((order_revision, order)), Some((_, recorded))) = (view.order(&service), view.rollout(&service))
        else {
            continue;
        };
        let restored_order = items.iter().find(|item| item.subject == Subject::Order(service.clone()));
        let Some((revision, Value::Order(restored))) =
            restored_order.and_then(|item| Some((item.revision, item.value.as_ref()?)))
        else {
            continue;
        };
        if restored != order || recorded.order != order_revision {
            continue;
        }
        let recorded = Record { order: revision, ..recorded.clone() };
        let subject = Subject::Rollout(service);
        match items.iter_mut().find(|item| item.subject == subject) {
            Some(Item { value: Some(Value::Rollout(record)), .. }) if record.order == revision => {
                *record = recorded.furthest(record.clone());
            }
            // This record belongs to an earlier order, or it can't be read.
            Some(item) => item.value = Some(Value::Rollout(recorded)),
            None => items.push(Item::new(subject, epoch_start.into(), Some(Value::Rollout(recorded)))),
        }
    }
}

/// Entries that a restore of the store brought back although their upstreams had ended before.
#[derive(Debug, Default)]
pub struct WithheldEntries {
    /// The last incarnation of each name whose entry was conclusively removed.
    ended: BTreeMap<id::Upstream, id::Upstream>,
    /// The withheld entries, and the first tick at which each of them was withheld, once there was one.
    items: BTreeMap<id::Upstream, (Item, Option<Moment>)>,
}

impl WithheldEntries {
    /// Records a change of an upstream's entry.
    pub fn record_change(&mut self, name: &id::Upstream, old: Option<&Value>, item: &Item) {
        self.items.remove(name);
        match (old, &item.value) {
            (Some(Value::Upstream(old)), None) if item.sure => {
                if self.ended.len() >= MAX_ENDED {
                    self.ended.pop_first();
                }
                self.ended.insert(name.clone(), old.id.clone());
            }
            (_, Some(_)) => {
                self.ended.remove(name);
            }
            (_, None) => {}
        }
    }

    /// Withholds an entry that came with a restore if that incarnation of its upstream had ended before. Returns
    /// whether it does.
    pub fn withhold(&mut self, recorded: &Item, restored: &Item) -> bool {
        let Subject::Upstream(name) = &restored.subject else {
            return false;
        };
        let has_ended = |upstream: &Upstream| recorded.value.is_none() && self.ended.get(name) == Some(&upstream.id);
        let withholds = matches!(&restored.value, Some(Value::Upstream(upstream)) if has_ended(upstream));
        if withholds {
            self.items.insert(name.clone(), (restored.clone(), None));
        }
        withholds
    }

    /// The withheld entries. A peer that hasn't observed that their upstreams ended gets them in a full update as the
    /// store has them.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.values().map(|(item, _)| item)
    }

    /// Removes and returns the entries that have been withheld for so long that their upstreams must be alive.
    pub fn release(&mut self, now: Moment) -> Vec<Item> {
        for (_, since) in self.items.values_mut() {
            since.get_or_insert(now);
        }
        let due = |(_, (_, since)): &(&id::Upstream, &(Item, Option<Moment>))| {
            since.is_some_and(|since| now.since(since) >= WITHHOLD_PERIOD)
        };
        let due: Vec<_> = self.items.iter().filter(due).map(|(name, _)| name.clone()).collect();
        for name in &due {
            self.ended.remove(name);
        }
        due.iter().filter_map(|name| self.items.remove(name)).map(|(item, _)| item).collect()
    }
}
