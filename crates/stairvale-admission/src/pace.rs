//! How fast an upstream's permits come back, to predict a wait.

use std::time::Duration;

/// The weight of a new observation in the moving mean: one part in eight, as in TCP's round-trip time (RFC 6298).
const PART: u64 = 8;

/// A moving mean of how long a permit is held.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    mean_us: u64,
}

impl Pace {
    /// A permit was held this long.
    pub fn observe(&mut self, held: Duration) {
        let held = u64::try_from(held.as_micros()).unwrap_or(u64::MAX / PART);
        if self.mean_us == 0 {
            self.mean_us = held;
            return;
        }
        self.mean_us = self.mean_us - self.mean_us / PART + held / PART;
    }

    /// The mean time a permit is held; zero before the first observation.
    #[must_use]
    pub fn held(&self) -> Duration {
        Duration::from_micros(self.mean_us)
    }

    /// How long one waits behind `ahead` others at an upstream that bears `slots` at once.
    #[must_use]
    pub fn wait(&self, ahead: usize, slots: u32) -> Duration {
        let turns = ahead as u64 + 1;
        Duration::from_micros(self.mean_us.saturating_mul(turns) / u64::from(slots.max(1)))
    }
}
