//! The age of an order, as far as this router can determine it.

use std::time::Duration;

use stairvale_types::Moment;

/// The age of the newest order. Routers' clocks are never compared: each router counts from the moment when it received
/// the order or a record of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrderClock {
    /// The store's revision of the order.
    order: u64,
    /// Age of the order at `observed_at`.
    age: Duration,
    /// When the age was last observed.
    observed_at: Moment,
}

impl OrderClock {
    /// Records that the order of this revision had at least this age at `now`.
    pub fn observe_age(&mut self, now: Moment, order: u64, age: Duration) {
        if order > self.order || order == self.order && age > self.age(now) {
            *self = Self { order, age, observed_at: now };
        }
    }

    /// The age of the newest order at `now`.
    #[must_use]
    pub fn age(&self, now: Moment) -> Duration {
        self.age + now.since(self.observed_at)
    }
}
