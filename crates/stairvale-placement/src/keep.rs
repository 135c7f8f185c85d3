//! How long a cached prefix or an exception is worth believing.
//!
//! The optimised time to live of Narayana and Kash, "Keep-Alive Caching for the Hawkes process" (their section 4.3):
//! for arrivals that excite each other with intensity `lambda0 + sum(alpha * exp(-beta * age))`, holding pays off while
//! the hazard of a return stays above the ratio of holding cost to miss cost.

use std::time::Duration;

/// A fitted Hawkes process, per second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hawkes {
    /// The base intensity.
    pub lambda0: f64,
    /// The jump at each arrival.
    pub alpha: f64,
    /// The decay of a jump.
    pub beta: f64,
}

impl Hawkes {
    /// How long to keep after the last of some arrivals, whose ages at that moment are given in seconds.
    ///
    /// `cost_ratio` is the cost of holding for a second over the cost of a miss. `None` means forever.
    #[must_use]
    pub fn keep(&self, ages: &[f64], cost_ratio: f64) -> Option<Duration> {
        let excess = cost_ratio - self.lambda0;
        if excess <= 0.0 {
            return None;
        }
        let weight: f64 = ages.iter().map(|age| (-self.beta * age).exp()).sum();
        let excited = self.alpha * (1.0 + weight);
        let seconds = (excited / excess).ln() / self.beta;
        Some(Duration::from_secs_f64(seconds.max(0.0)))
    }
}
