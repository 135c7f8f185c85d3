//! How engines are granted, and what a home answers and counts.

use serde::Serialize;
use stairvale_types::{id, unit};
use stairvale_wire::Verdict;

/// How a service's engines are granted.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// The service.
    pub service: id::Service,
    /// Requests that one engine bears at once.
    pub slots: u32,
    /// The set multiple of the mean; `None` only in the baselines that are compared against.
    pub multiple: Option<unit::Multiple>,
    /// Requests that wait at the home.
    pub queue: usize,
}

impl Rules {
    /// Rules of a service with 16 slots, no bound and a queue of 64.
    #[must_use]
    pub fn new(service: id::Service) -> Self {
        Self { service, slots: 16, multiple: None, queue: 64 }
    }

    /// Sets the bound.
    #[must_use]
    pub fn with_multiple(mut self, multiple: unit::Multiple) -> Self {
        self.multiple = Some(multiple);
        self
    }

    /// Sets the slots.
    #[must_use]
    pub fn with_slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the queue's length.
    #[must_use]
    pub fn with_queue(mut self, queue: usize) -> Self {
        self.queue = queue;
        self
    }
}

/// An answer to send to an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The entry.
    pub to: id::Router,
    /// The engine that was asked for.
    pub upstream: id::Upstream,
    /// The attempt.
    pub attempt: id::Attempt,
    /// What was decided.
    pub verdict: Verdict,
}

/// What a home counted since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Permits granted.
    pub granted: u64,
    /// Grants above the bound by the latest mean; a stale mean let them through.
    pub over_bound: u64,
    /// Asks sent on to another engine.
    pub overflowed: u64,
    /// Asks that had to wait.
    pub queued: u64,
    /// Asks refused.
    pub refused: u64,
    /// Permits dropped because nobody renewed them.
    pub aged: u64,
    /// Times that this home found itself paused and started its accounts anew.
    pub distrusted: u64,
    /// Broken invariants: any but zero is a fault of the program. A node shows them together with its other parts'.
    #[serde(skip)]
    pub violations: u64,
}
