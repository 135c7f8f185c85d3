//! What a returning chat does when the engine that has its prefix is busy or gone.

use std::time::Duration;

/// What each way would cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Estimate {
    /// Prefilling the whole prompt elsewhere.
    pub rebuild: Duration,
    /// Moving the KV cache elsewhere; `None` where the source is gone or can't export.
    pub transfer: Option<Duration>,
    /// The longest wait that the service allows for a prefix.
    pub allowed: Duration,
    /// What is left until the deadline.
    pub deadline: Duration,
}

/// What to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// How long to wait at the home for the engine that has the prefix.
    pub patience: Duration,
    /// Whether, after that, the prefix is moved rather than rebuilt.
    pub transfer: bool,
}

/// The share of the time left that a wait may use up.
const DEADLINE_SHARE: u32 = 4;

/// Waits no longer than the cheaper of rebuilding and moving would take.
#[must_use]
pub fn plan(estimate: Estimate) -> Plan {
    let transfer = estimate.transfer.is_some_and(|cost| cost < estimate.rebuild);
    let cheapest = estimate.transfer.filter(|_| transfer).unwrap_or(estimate.rebuild);
    let share = estimate.deadline / DEADLINE_SHARE;
    let patience = cheapest.min(estimate.allowed).min(share);
    Plan { patience, transfer }
}
