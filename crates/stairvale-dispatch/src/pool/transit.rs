//! Compensation for slots whose request is on its way to the upstream, or whose answer is on its way back.
//!
//! The home counts a slot as taken from the grant until it is notified of the end of the request. For part of that time
//! the upstream doesn't run the request yet, or no longer does. Between availability zones and on small VMs that is a
//! quarter of a short request's time, during which a slot is idle while other requests wait. So a plain upstream may be
//! given as many additional requests as are in transit on average. Engines have a bound of their own.

use std::time::Duration;

use super::{MEAN_WEIGHT, Pool};
use crate::Member;

/// Maximum share of an upstream's slots that may be given additionally for requests in transit: more would form a queue
/// at the upstream, where requests can't be reordered.
const MAX_TRANSIT_SHARE: f64 = 0.5;
/// Lower limit of the time that a request is assumed to take, in ms.
const MIN_TIME_MS: f64 = 1.0;

impl Pool {
    /// Returns the number of requests that an upstream may be given at once.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(super) fn request_limit(&self, member: &Member) -> u32 {
        if self.rules.engine.is_some() {
            return member.slots;
        }
        // The time between the entry router and the upstream isn't visible here; it is assumed to equal the time
        // between the home and the entry router.
        let transit_ms = self.transit_ms * 2.0;
        let share = (transit_ms / (self.mean_time_ms - self.transit_ms).max(MIN_TIME_MS)).clamp(0.0, MAX_TRANSIT_SHARE);
        member.slots + (f64::from(member.slots) * share) as u32
    }

    /// Returns the time for which one request takes a slot, in ms.
    pub(super) fn hold_time_ms(&self) -> f64 {
        self.mean_time_ms + self.transit_ms
    }

    /// Updates the mean transit time from the time that a slot was held, and the part of it that the request's answer
    /// took.
    pub(super) fn record_transit(&mut self, held: Duration, took: Duration) {
        let transit_ms = held.saturating_sub(took).as_secs_f64() * 1e3;
        // A notification that was delayed for long says little of the others.
        self.transit_ms += (transit_ms.min(self.mean_time_ms) - self.transit_ms) * MEAN_WEIGHT;
    }

    /// Halves the transit time after an upstream reported that it is full, although it runs no more requests than
    /// permitted by the state here.
    pub(super) fn halve_transit(&mut self) {
        self.transit_ms /= 2.0;
    }
}
