//! The upstream that runs each request.
//!
//! Renewals from entry routers and timeouts concern only requests that run. Both go through this index alone, so that
//! 8,000 idle upstreams add nothing to the cost of a renewal.

use std::time::Duration;

use rapidhash::{RapidHashMap, RapidHashSet};
use stairvale_types::{Moment, id};

#[derive(Clone, Debug)]
struct Placement {
    upstream: id::Upstream,
    entry: id::Router,
}

/// The attempts of one entry router.
#[derive(Debug)]
struct EntryAttempts {
    attempts: RapidHashSet<id::Attempt>,
    /// When the entry router last renewed its attempts, or when its first one was added.
    renewed: Moment,
}

/// The upstream of each attempt, and the attempts of each entry router.
#[derive(Debug, Default)]
pub(super) struct Placements {
    of: RapidHashMap<id::Attempt, Placement>,
    entries: RapidHashMap<id::Router, EntryAttempts>,
}

impl Placements {
    /// Returns the number of running attempts.
    pub(super) fn len(&self) -> usize {
        self.of.len()
    }

    /// Returns the upstream that runs an attempt.
    pub(super) fn get(&self, attempt: id::Attempt) -> Option<&id::Upstream> {
        self.of.get(&attempt).map(|placement| &placement.upstream)
    }

    /// Iterates over all running attempts, in no particular order.
    pub(super) fn iter(&self) -> impl Iterator<Item = (id::Attempt, &id::Upstream)> {
        self.of.iter().map(|(attempt, placement)| (*attempt, &placement.upstream))
    }

    /// Records a renewal from an entry router; returns the attempts it ran until then, in no particular order.
    pub(super) fn renew(&mut self, now: Moment, entry: &id::Router) -> Vec<id::Attempt> {
        let entry = self.entries.get_mut(entry);
        entry.map_or_else(Vec::new, |entry| {
            entry.renewed = now;
            entry.attempts.iter().copied().collect()
        })
    }

    /// Returns the attempts of entry routers that haven't renewed them for `time`, in no particular order.
    pub(super) fn expired(&self, now: Moment, time: Duration) -> Vec<id::Attempt> {
        let expired = self.entries.values().filter(|entry| now.since(entry.renewed) >= time);
        expired.flat_map(|entry| &entry.attempts).copied().collect()
    }

    /// Adds an attempt of an entry router that runs at an upstream.
    pub(super) fn insert(&mut self, now: Moment, attempt: id::Attempt, upstream: id::Upstream, entry: id::Router) {
        self.remove(attempt);
        let new = || EntryAttempts { attempts: RapidHashSet::default(), renewed: now };
        self.entries.entry(entry.clone()).or_insert_with(new).attempts.insert(attempt);
        self.of.insert(attempt, Placement { upstream, entry });
    }

    /// Removes an attempt that no longer runs.
    pub(super) fn remove(&mut self, attempt: id::Attempt) -> Option<id::Upstream> {
        let Placement { upstream, entry } = self.of.remove(&attempt)?;
        if let Some(attempts_of_entry) = self.entries.get_mut(&entry) {
            attempts_of_entry.attempts.remove(&attempt);
            if attempts_of_entry.attempts.is_empty() {
                self.entries.remove(&entry);
            }
        }
        Some(upstream)
    }
}
