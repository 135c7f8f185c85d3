//! What a version on trial may still get.

use crate::Bounds;

/// The exposure of a version: what was set aside for it, beside what its service got.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Account {
    /// Requests that the service got since the order, as far as they were counted: never more than there were.
    pub requests: u64,
    /// Requests that were set aside for the version: never fewer than it got.
    pub granted: u64,
}

impl Account {
    /// The most that may be set aside, in requests.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "counts of requests are far below 2^52")]
    pub fn bound(self, bounds: &Bounds) -> f64 {
        bounds.share * self.requests as f64 + bounds.slack
    }

    /// How many more may be set aside if only this part (0 to 1) of the bound is to be used.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "cut to what fits before")]
    pub fn room(self, bounds: &Bounds, part: f64) -> u32 {
        let most = (part.clamp(0.0, 1.0) * self.bound(bounds)).floor().clamp(0.0, 1e15) as u64;
        u32::try_from(most.saturating_sub(self.granted)).unwrap_or(u32::MAX)
    }
}
