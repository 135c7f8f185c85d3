//! The audit trail: every change with its operator, its time, and the states before and after it.
//!
//! VMs keep no data, so each event is written as a structured log line of the target `audit`, which operators collect.
//! The recent events are also kept in memory for `stairvalectl audit`, and the manifest contains the history of
//! configurations.

use std::{
    collections::VecDeque,
    sync::Mutex,
    time::{SystemTime, UNIX_EPOCH},
};

use serde::Serialize;
use stairvale_control::Event;
use stairvale_types::id;

/// Limits how many events are kept in memory.
const MAX_EVENTS: usize = 1_000;

/// An event with the router that recorded it and the time.
#[derive(Clone, Debug, Serialize)]
pub struct Entry {
    /// The time of the event in milliseconds since 1970, by this router's clock.
    pub at_ms: u64,
    /// The router that recorded the event.
    pub router: id::Router,
    /// The recorded event.
    #[serde(flatten)]
    pub event: Event,
}

/// The recent events of the audit trail.
#[derive(Debug)]
pub struct Trail {
    router: id::Router,
    entries: Mutex<VecDeque<Entry>>,
}

/// The current time in milliseconds since 1970, by this machine's clock.
#[must_use]
pub fn now_ms() -> u64 {
    let passed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(passed.as_millis()).unwrap_or(u64::MAX)
}

impl Trail {
    /// A trail without events.
    #[must_use]
    pub fn new(router: id::Router) -> Self {
        Self { router, entries: Mutex::default() }
    }

    /// The events in memory, oldest first.
    #[must_use]
    pub fn recent(&self) -> Vec<Entry> {
        self.entries.lock().map(|entries| entries.iter().cloned().collect()).unwrap_or_default()
    }

    /// Logs an event and keeps it in memory, replacing the oldest one if the memory limit is reached.
    pub fn record(&self, event: Event) {
        let entry = Entry { at_ms: now_ms(), router: self.router.clone(), event };
        tracing::info!(target: "audit", router = %entry.router, event = %entry.event);
        if let Ok(mut entries) = self.entries.lock() {
            if entries.len() >= MAX_EVENTS {
                entries.pop_front();
            }
            entries.push_back(entry);
        }
    }
}
