//! A fake of the platform's store, with compare-and-swap and with leases that expire.

use std::collections::HashMap;

use stairvale_config::Manifest;
use stairvale_control::{
    apply::MANIFEST_KEY,
    io::{Action, Answer},
    orders::LEASE,
};

/// An in-memory key-value store. Each write has a revision; times are in microseconds.
#[derive(Debug, Default)]
pub struct Store {
    /// Value and revision of each key.
    entries: HashMap<String, (String, u64)>,
    /// Expiry time of each key under a lease.
    leases: HashMap<String, u64>,
    revision: u64,
    /// The number of compare-and-swaps that took effect, by key.
    pub writes: HashMap<String, u64>,
    /// Every accepted generation, with the id of its submission.
    pub accepted: Vec<(u64, String)>,
}

impl Store {
    /// Carries out a call at the time `now` and returns the answer.
    pub fn call(&mut self, now: u64, key: &str, action: Action) -> Answer {
        self.remove_expired(now);
        match action {
            Action::Read | Action::Watch { .. } => Answer::Value(self.entries.get(key).cloned()),
            Action::Write { value, revision } if key.starts_with("orders/") => {
                self.write_leased(now, key, value, revision)
            }
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
            let manifest: Manifest =
                serde_json::from_str(&value).expect("only manifests are written under the manifest's key");
            self.accepted.push((manifest.generation().0, manifest.change.submission));
        }
        self.entries.insert(key.to_owned(), (value, self.revision));
        Answer::Written(self.revision)
    }

    /// Deletes a key as the router does: swaps its value for an empty one under a lease that expires. The key stays
    /// under that lease even if it is written again.
    fn delete(&mut self, now: u64, key: &str, revision: u64) -> Answer {
        if self.entries.get(key).is_none_or(|(_, found)| *found != revision) {
            return Answer::Conflict;
        }
        self.leases.insert(key.to_owned(), now + 1_000_000);
        self.revision += 1;
        self.entries.insert(key.to_owned(), (String::new(), self.revision));
        Answer::Written(self.revision)
    }

    /// Whether a key has a value that isn't under a lease.
    pub fn has(&self, key: &str) -> bool {
        self.entries.contains_key(key) && !self.leases.contains_key(key)
    }

    /// The number of keys with this prefix that aren't under a lease.
    pub fn count(&self, prefix: &str) -> usize {
        self.entries.keys().filter(|key| key.starts_with(prefix) && self.has(key)).count()
    }

    fn write_leased(&mut self, now: u64, key: &str, value: String, revision: u64) -> Answer {
        let holder = self.entries.get(key).map(|(holder, _)| holder.clone());
        let until = now + u64::try_from(LEASE.as_micros()).unwrap_or(u64::MAX);
        match (holder, revision) {
            (None, 0) => {
                self.leases.insert(key.to_owned(), until);
                self.swap(key, value, 0)
            }
            (Some(holder), 1) if holder == value => {
                self.leases.insert(key.to_owned(), until);
                Answer::Written(0)
            }
            _ => Answer::Conflict,
        }
    }

    fn remove_expired(&mut self, now: u64) {
        let expired: Vec<_> =
            self.leases.iter().filter(|(_, until)| **until <= now).map(|(key, _)| key.clone()).collect();
        for key in expired {
            self.leases.remove(&key);
            self.entries.remove(&key);
        }
    }
}
