//! Where requests run.
//!
//! What an entry says, and what is due with time, is about requests that run. So both go through these alone: 8,000 upstreams
//! that run nothing cost a renewal nothing.

use std::time::Duration;

use rapidhash::{RapidHashMap, RapidHashSet};
use stairvale_types::{Moment, id};

#[derive(Clone, Debug)]
struct Place {
    upstream: id::Upstream,
    entry: id::Router,
}

/// What one entry runs.
#[derive(Debug)]
struct Entry {
    attempts: RapidHashSet<id::Attempt>,
    /// When it named them last, or began to run something.
    heard: Moment,
}

/// The upstream of each attempt, and the attempts of each entry.
#[derive(Debug, Default)]
pub(super) struct Places {
    of: RapidHashMap<id::Attempt, Place>,
    entries: RapidHashMap<id::Router, Entry>,
}

impl Places {
    /// Attempts that run.
    pub(super) fn len(&self) -> usize {
        self.of.len()
    }

    /// Where an attempt runs.
    pub(super) fn get(&self, attempt: id::Attempt) -> Option<&id::Upstream> {
        self.of.get(&attempt).map(|place| &place.upstream)
    }

    /// All that run, in no order.
    pub(super) fn iter(&self) -> impl Iterator<Item = (id::Attempt, &id::Upstream)> {
        self.of.iter().map(|(attempt, place)| (*attempt, &place.upstream))
    }

    /// An entry names what it runs; gives what it ran until then, in no order.
    pub(super) fn hear(&mut self, now: Moment, entry: &id::Router) -> Vec<id::Attempt> {
        let entry = self.entries.get_mut(entry);
        entry.map_or_else(Vec::new, |entry| {
            entry.heard = now;
            entry.attempts.iter().copied().collect()
        })
    }

    /// What those entries run that haven't named it for so long, in no order.
    pub(super) fn unheard(&self, now: Moment, time: Duration) -> Vec<id::Attempt> {
        let unheard = self.entries.values().filter(|entry| now.since(entry.heard) >= time);
        unheard.flat_map(|entry| &entry.attempts).copied().collect()
    }

    /// An attempt of an entry runs from now on.
    pub(super) fn insert(&mut self, now: Moment, attempt: id::Attempt, upstream: id::Upstream, entry: id::Router) {
        self.remove(attempt);
        let new = || Entry { attempts: RapidHashSet::default(), heard: now };
        self.entries.entry(entry.clone()).or_insert_with(new).attempts.insert(attempt);
        self.of.insert(attempt, Place { upstream, entry });
    }

    /// An attempt no longer runs.
    pub(super) fn remove(&mut self, attempt: id::Attempt) -> Option<id::Upstream> {
        let Place { upstream, entry } = self.of.remove(&attempt)?;
        if let Some(known) = self.entries.get_mut(&entry) {
            known.attempts.remove(&attempt);
            if known.attempts.is_empty() {
                self.entries.remove(&entry);
            }
        }
        Some(upstream)
    }
}
