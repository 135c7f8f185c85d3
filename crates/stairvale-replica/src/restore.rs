//! What a copy keeps of the time before the store was restored, although the store no longer says so.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use stairvale_rollout::Record;
use stairvale_types::{Moment, Revision, id};

use crate::{Item, State, Subject, Upstream, Value, View};

/// An entry that the store was restored with although its upstream had ended is withheld for this long, several times the silence
/// after which entries lapse: one that still stands then is kept up by its upstream.
const WITHHOLD: Duration = Duration::from_secs(30);
/// Lives that have ended of which that is remembered.
const MOST_ENDED: usize = 4_096;

/// Corrects an entry that the store was restored with by what was known of it in the epoch before: a life that leaves doesn't come
/// back.
pub fn carry_over(known: &Item, restored: &mut Item) {
    if let (Some(Value::Upstream(known)), Some(Value::Upstream(restored))) = (&known.value, &mut restored.value)
        && known.id == restored.id
        && known.state == State::Draining
    {
        restored.state = State::Draining;
    }
}

/// Corrects what is read of roll-outs by what was known of them in the epoch before, where the order is the same: what was granted
/// stays granted, and what was found bad stays so. A record that the store lost is put as one that isn't there yet in this epoch.
pub fn carry_over_rollouts(view: &View, to: Revision, items: &mut Vec<Item>) {
    let Some(before_all) = Revision::new(to.epoch(), 0) else {
        return;
    };
    let services: BTreeSet<_> = view.rollouts().cloned().collect();
    for service in services {
        let (Some((earlier, order)), Some((_, known))) = (view.order(&service), view.rollout(&service)) else {
            continue;
        };
        let standing = items.iter().find(|item| item.subject == Subject::Order(service.clone()));
        let Some((revision, Value::Order(restored))) =
            standing.and_then(|item| Some((item.revision, item.value.as_ref()?)))
        else {
            continue;
        };
        if restored != order || known.order != earlier {
            continue;
        }
        let known = Record { order: revision, ..known.clone() };
        let subject = Subject::Rollout(service);
        match items.iter_mut().find(|item| item.subject == subject) {
            Some(Item { value: Some(Value::Rollout(record)), .. }) if record.order == revision => {
                *record = known.furthest(record.clone());
            }
            // It is about an earlier order, or can't be read.
            Some(item) => item.value = Some(Value::Rollout(known)),
            None => items.push(Item::new(subject, before_all.into(), Some(Value::Rollout(known)))),
        }
    }
}

/// Entries of upstreams that had ended before the store was restored with them.
#[derive(Debug, Default)]
pub struct Withheld {
    /// The last life of each name whose entry is gone.
    ended: BTreeMap<id::Upstream, id::Upstream>,
    /// Entries that are withheld, and since when, once that was noted.
    items: BTreeMap<id::Upstream, (Item, Option<Moment>)>,
}

impl Withheld {
    /// Notes a change of an upstream's entry.
    pub fn note(&mut self, name: &id::Upstream, old: Option<&Value>, item: &Item) {
        self.items.remove(name);
        match (old, &item.value) {
            (Some(Value::Upstream(old)), None) if item.sure => {
                if self.ended.len() >= MOST_ENDED {
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

    /// Takes an entry that came with a restore, if its upstream's life had ended before.
    pub fn takes(&mut self, known: &Item, restored: &Item) -> bool {
        let Subject::Upstream(name) = &restored.subject else {
            return false;
        };
        let has_ended = |upstream: &Upstream| known.value.is_none() && self.ended.get(name) == Some(&upstream.id);
        let takes = matches!(&restored.value, Some(Value::Upstream(upstream)) if has_ended(upstream));
        if takes {
            self.items.insert(name.clone(), (restored.clone(), None));
        }
        takes
    }

    /// The entries that are withheld. Who doesn't know that their upstreams had ended is told of them as the store has them.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.values().map(|(item, _)| item)
    }

    /// Gives back entries that have stood for so long that their upstreams live.
    pub fn release(&mut self, now: Moment) -> Vec<Item> {
        for (_, since) in self.items.values_mut() {
            since.get_or_insert(now);
        }
        let due = |(_, (_, since)): &(&id::Upstream, &(Item, Option<Moment>))| {
            since.is_some_and(|since| now.since(since) >= WITHHOLD)
        };
        let due: Vec<_> = self.items.iter().filter(due).map(|(name, _)| name.clone()).collect();
        for name in &due {
            self.ended.remove(name);
        }
        due.iter().filter_map(|name| self.items.remove(name)).map(|(item, _)| item).collect()
    }
}
