//! The rules by which a home grants permits, its answers and its counters.

use serde::Serialize;
use stairvale_types::{id, unit};
use stairvale_wire::Verdict;

/// Rules for granting permits for the engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Service that the rules apply to.
    pub service: id::Service,
    /// Number of requests that one engine can run concurrently.
    pub slots: u32,
    /// Load multiple: the load bound of an engine as a multiple of the mean load. `None` sets no bound besides the
    /// slots; only the baseline policies that serve for comparison use it.
    pub multiple: Option<unit::Multiple>,
    /// Maximum number of requests queued at the home for one engine.
    pub queue: usize,
}

impl Rules {
    /// Creates rules for a service with 16 slots, no load bound and a queue capacity of 64.
    #[must_use]
    pub fn new(service: id::Service) -> Self {
        Self { service, slots: 16, multiple: None, queue: 64 }
    }

    /// Sets the load multiple, and with it the load bound.
    #[must_use]
    pub fn with_multiple(mut self, multiple: unit::Multiple) -> Self {
        self.multiple = Some(multiple);
        self
    }

    /// Sets the number of requests that one engine can run concurrently.
    #[must_use]
    pub fn with_slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the queue capacity of one engine.
    #[must_use]
    pub fn with_queue(mut self, queue: usize) -> Self {
        self.queue = queue;
        self
    }
}

/// An answer to a permit request, to be sent to the entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Entry router that receives the answer.
    pub to: id::Router,
    /// Engine for which the permit was requested.
    pub upstream: id::Upstream,
    /// Attempt for which the permit was requested.
    pub attempt: id::Attempt,
    /// The home's decision.
    pub verdict: Verdict,
}

/// Counters of a home since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Number of permits granted.
    pub granted: u64,
    /// Number of grants above the bound by the latest mean, which a stale mean allowed.
    pub over_bound: u64,
    /// Number of requests redirected to another engine.
    pub overflowed: u64,
    /// Number of requests that were queued.
    pub queued: u64,
    /// Number of requests refused.
    pub refused: u64,
    /// Number of permits that expired without a renewal.
    pub aged: u64,
    /// Number of times that this home restarted its accounts after detecting that its process was paused.
    pub distrusted: u64,
    /// Number of invariant violations: any value but zero is a bug. It isn't serialised here, since a node reports the
    /// sum over all its components.
    #[serde(skip)]
    pub violations: u64,
}
