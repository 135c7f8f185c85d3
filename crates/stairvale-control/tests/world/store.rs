//! A fake of the platform's store: compare-and-swap, and leases that lapse.

use std::collections::HashMap;

use stairvale_config::Manifest;
use stairvale_control::{
    apply::MANIFEST_KEY,
    io::{Action, Answer},
    orders::LEASE,
};

/// The store.
#[derive(Debug, Default)]
pub struct Store {
    entries: HashMap<String, (String, u64)>,
    leased: HashMap<String, u64>,
    revision: u64,
    /// Compare-and-swaps that took effect, by key.
    pub writes: HashMap<String, u64>,
    /// Every generation that was ever accepted, with its document.
    pub accepted: Vec<(u64, String)>,
}

impl Store {
    /// Runs a call.
    pub fn call(&mut self, now: u64, key: &str, action: Action) -> Answer {
        self.lapse(now);
        match action {
            Action::Read | Action::Watch { .. } => Answer::Value(self.entries.get(key).cloned()),
            Action::Write { value, revision } if key.starts_with("orders/") => self.lease(now, key, value, revision),
            Action::Write { value, revision } => self.swap(key, value, revision),
            Action::Create { value, .. } => self.swap(key, value, 0),
            Action::Delete { revision } => self.delete(now, key, revision),
        }
    }

    /// The manifest in force.
    pub fn manifest(&self) -> Option<Manifest> {
        let (text, _) = self.entries.get(MANIFEST_KEY)?;
        serde_json::from_str(text).ok()
    }

    fn swap(&mut self, key: &str, value: String, revision: u64) -> Answer {
        let found = self.entries.get(key).map_or(0, |(_, revision)| *revision);
        if found != revision {
            return Answer::Conflict;
        }
        self.revision += 1;
        *self.writes.entry(key.to_owned()).or_default() += 1;
        if key == MANIFEST_KEY {
            let manifest: Manifest = serde_json::from_str(&value).expect("only manifests are written there");
            self.accepted.push((manifest.generation().0, manifest.change.submission));
        }
        self.entries.insert(key.to_owned(), (value, self.revision));
        Answer::Written(self.revision)
    }

    /// As the router does it: the value is swapped for nothing, under a lease that lapses; nothing detaches it again.
    fn delete(&mut self, now: u64, key: &str, revision: u64) -> Answer {
        if self.entries.get(key).is_none_or(|(_, found)| *found != revision) {
            return Answer::Conflict;
        }
        self.leased.insert(key.to_owned(), now + 1_000_000);
        self.revision += 1;
        self.entries.insert(key.to_owned(), (String::new(), self.revision));
        Answer::Written(self.revision)
    }

    /// Whether a key has a value that stays.
    pub fn has(&self, key: &str) -> bool {
        self.entries.contains_key(key) && !self.leased.contains_key(key)
    }

    /// Keys that begin so and stay.
    pub fn count(&self, prefix: &str) -> usize {
        self.entries.keys().filter(|key| key.starts_with(prefix) && self.has(key)).count()
    }

    fn lease(&mut self, now: u64, key: &str, value: String, revision: u64) -> Answer {
        let holder = self.entries.get(key).map(|(holder, _)| holder.clone());
        let until = now + u64::try_from(LEASE.as_micros()).unwrap_or(u64::MAX);
        match (holder, revision) {
            (None, 0) => {
                self.leased.insert(key.to_owned(), until);
                self.swap(key, value, 0)
            }
            (Some(holder), 1) if holder == value => {
                self.leased.insert(key.to_owned(), until);
                Answer::Written(0)
            }
            _ => Answer::Conflict,
        }
    }

    fn lapse(&mut self, now: u64) {
        let lapsed: Vec<_> =
            self.leased.iter().filter(|(_, until)| **until <= now).map(|(key, _)| key.clone()).collect();
        for key in lapsed {
            self.leased.remove(&key);
            self.entries.remove(&key);
        }
    }
}
