//! The budget of requests that a version on trial may get.

use crate::Bounds;

/// The exposure budget of a version: the requests granted to it, and the service's requests, of which they may be a
/// share.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ExposureBudget {
    /// Requests of the service since the order, as far as they were counted: never more than there were.
    pub requests: u64,
    /// Requests that were granted to the version: never fewer than it got.
    pub granted: u64,
}

impl ExposureBudget {
    /// The exposure bound: the maximum number of requests that may be granted.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "counts of requests are far below 2^52")]
    pub fn bound(self, bounds: &Bounds) -> f64 {
        bounds.share * self.requests as f64 + bounds.slack
    }

    /// How many more requests may be granted if only this fraction (0 to 1) of the bound may be used.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped before the cast")]
    pub fn room(self, bounds: &Bounds, fraction: f64) -> u32 {
        let max_granted = (fraction.clamp(0.0, 1.0) * self.bound(bounds)).floor().clamp(0.0, 1e15) as u64;
        u32::try_from(max_granted.saturating_sub(self.granted)).unwrap_or(u32::MAX)
    }
}
