//! Counters of a node, for metrics and tests.

use serde::Serialize;
use stairvale_permit::rules::Counts;

/// What a node counted since its start, and what it holds now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Stats {
    /// What its home counted.
    #[serde(flatten)]
    pub home: Counts,
    /// Permits taken without a home.
    pub degraded: u64,
    /// Grants that came too late and were given back.
    pub late: u64,
    /// Asks that no home answered in time.
    pub unanswered: u64,
    /// Claims asked for.
    pub claims: u64,
    /// Writes of claim records.
    pub claim_writes: u64,
    /// Bytes of claim records and segments written.
    pub claim_bytes: u64,
    /// Segments of claims sealed.
    pub claim_segments: u64,
    /// Claims recognised after a lost answer.
    pub claims_recognised: u64,
    /// Claims refused because the store didn't answer.
    pub claims_unavailable: u64,
    /// Lower generations offered and refused.
    pub lower_refused: u64,
    /// Broken invariants: any but zero is a fault of the program.
    pub violations: u64,
    /// Permits held by this router's requests.
    pub holding: usize,
    /// Requests waiting for a permit.
    pub asking: usize,
    /// Asks waiting at this home.
    pub waiting: usize,
    /// Chats remembered as exceptions.
    pub exceptions: usize,
    /// Their bytes.
    pub exception_bytes: usize,
    /// Routers known to live, this one included.
    pub routers: usize,
    /// Upstreams that may take work.
    pub usable: usize,
    /// The generation in force.
    pub generation: u64,
}
