//! Estimates of how long permits of an upstream are held, to predict queueing times.

use std::time::Duration;

/// Divisor of a new observation in the moving mean: its weight is one eighth, as in TCP's round-trip time (RFC 6298).
const MEAN_DIVISOR: u64 = 8;

/// An exponential moving mean of the time for which permits are held.
#[derive(Clone, Copy, Debug, Default)]
pub struct HoldTime {
    mean_us: u64,
}

impl HoldTime {
    /// Adds the time for which a permit was held.
    pub fn observe(&mut self, held: Duration) {
        let held = u64::try_from(held.as_micros()).unwrap_or(u64::MAX / MEAN_DIVISOR);
        if self.mean_us == 0 {
            self.mean_us = held;
            return;
        }
        self.mean_us = self.mean_us - self.mean_us / MEAN_DIVISOR + held / MEAN_DIVISOR;
    }

    /// The mean time for which a permit is held; zero before the first observation.
    #[must_use]
    pub fn mean(&self) -> Duration {
        Duration::from_micros(self.mean_us)
    }

    /// The expected wait behind `ahead` others at an upstream that serves `slots` requests at once.
    #[must_use]
    pub fn expected_wait(&self, ahead: usize, slots: u32) -> Duration {
        let turns = ahead as u64 + 1;
        Duration::from_micros(self.mean_us.saturating_mul(turns) / u64::from(slots.max(1)))
    }
}
