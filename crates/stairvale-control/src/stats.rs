//! Counters of a node, for metrics and tests.

use serde::Serialize;
use stairvale_permit::rules::Counts;

/// Counters of a node since its start, and gauges of its current state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Stats {
    /// Counters of the accounts of which this router is the home.
    #[serde(flatten)]
    pub home: Counts,
    /// Permits that this router took from its own share because no home answered.
    pub degraded: u64,
    /// Grants that arrived too late and were released.
    pub late: u64,
    /// Permit requests that the home didn't answer in time.
    pub unanswered: u64,
    /// Claims requested from the shards that this router owns.
    pub claims: u64,
    /// Writes of claim records to the store.
    pub claim_writes: u64,
    /// Bytes of claim records and segments written.
    pub claim_bytes: u64,
    /// Claim segments sealed.
    pub claim_segments: u64,
    /// Claims recognised as written after the store's answer was lost.
    pub claims_recognised: u64,
    /// Claims refused because the store didn't answer.
    pub claims_unavailable: u64,
    /// Manifests refused for a lower generation than the one in force.
    pub lower_refused: u64,
    /// Invariant violations; any value but zero shows a fault of the program.
    pub violations: u64,
    /// Permits held by this router's requests.
    pub holding: usize,
    /// Requests waiting for a permit.
    pub asking: usize,
    /// Permit requests queued at this home.
    pub waiting: usize,
    /// Chats whose prefix is at another engine than the one ranked first, recorded as exceptions.
    pub exceptions: usize,
    /// Memory used by the exceptions, in bytes.
    pub exception_bytes: usize,
    /// Live routers, including this one.
    pub routers: usize,
    /// Upstreams that may receive new requests.
    pub usable: usize,
    /// Configuration generation in force; zero if there is none.
    pub generation: u64,
}
