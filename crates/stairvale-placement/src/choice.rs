//! The choice between waiting for a chat's cached prefix, transferring it and prefilling it again, when the engine that
//! holds it is busy or gone.

use std::time::Duration;

/// Estimated costs of the alternatives, and the limits on waiting.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Estimate {
    /// Time to prefill the complete prompt at another engine.
    pub prefill: Duration,
    /// Time to transfer the KV cache to another engine; `None` if the source is gone or can't export it.
    pub transfer: Option<Duration>,
    /// Maximum time that the service allows a request to wait for its prefix.
    pub max_prefix_wait: Duration,
    /// Time left until the deadline.
    pub deadline: Duration,
}

/// The plan for a request whose prefix is cached at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Maximum time to wait in the home's queue for the engine that holds the prefix.
    pub max_wait: Duration,
    /// Whether the prefix is transferred rather than prefilled again once the wait is over.
    pub transfer: bool,
}

/// Divisor of the time left until the deadline that gives the part of it which a wait may use up.
const DEADLINE_DIVISOR: u32 = 4;

/// Plans a wait that is no longer than the cheaper of transferring the prefix and prefilling it again.
///
/// The wait is also limited by the service and to a quarter of the time left until the deadline.
#[must_use]
pub fn plan(estimate: Estimate) -> Plan {
    let transfer = estimate.transfer.is_some_and(|cost| cost < estimate.prefill);
    let cheapest = estimate.transfer.filter(|_| transfer).unwrap_or(estimate.prefill);
    let deadline_limit = estimate.deadline / DEADLINE_DIVISOR;
    let max_wait = cheapest.min(estimate.max_prefix_wait).min(deadline_limit);
    Plan { max_wait, transfer }
}
