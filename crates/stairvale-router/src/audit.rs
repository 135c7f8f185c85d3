//! The audit trail: every change with who, when, from and to.
//!
//! VMs keep nothing, so each event is a structured log line of the target `audit`, which operators ship; the recent part
//! is kept in memory for `stairvalectl audit`. Configurations also have their history in the manifest itself.

use std::{
    collections::VecDeque,
    sync::Mutex,
    time::{SystemTime, UNIX_EPOCH},
};

use serde::Serialize;
use stairvale_control::Event;
use stairvale_types::id;

/// Events kept in memory.
const CAPACITY: usize = 1_000;

/// An event with its place and time.
#[derive(Clone, Debug, Serialize)]
pub struct Entry {
    /// Milliseconds since 1970 by this router's clock.
    pub at_ms: u64,
    /// The router that saw it.
    pub router: id::Router,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

/// The recent part of the trail.
#[derive(Debug)]
pub struct Trail {
    router: id::Router,
    entries: Mutex<VecDeque<Entry>>,
}

/// Milliseconds since 1970 by this machine's clock.
#[must_use]
pub fn now_ms() -> u64 {
    let passed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(passed.as_millis()).unwrap_or(u64::MAX)
}

impl Trail {
    /// An empty trail.
    #[must_use]
    pub fn new(router: id::Router) -> Self {
        Self { router, entries: Mutex::default() }
    }

    /// The recent events, the oldest first.
    #[must_use]
    pub fn recent(&self) -> Vec<Entry> {
        self.entries.lock().map(|entries| entries.iter().cloned().collect()).unwrap_or_default()
    }

    /// Writes an event down.
    pub fn record(&self, event: Event) {
        let entry = Entry { at_ms: now_ms(), router: self.router.clone(), event };
        tracing::info!(target: "audit", router = %entry.router, event = %entry.event);
        if let Ok(mut entries) = self.entries.lock() {
            if entries.len() >= CAPACITY {
                entries.pop_front();
            }
            entries.push_back(entry);
        }
    }
}
