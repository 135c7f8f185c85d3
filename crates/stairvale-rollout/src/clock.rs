//! How long ago an order was given, as far as this router can know.

use std::time::Duration;

use stairvale_types::Moment;

/// The age of the newest order. Routers' clocks are never compared: each counts from when it saw the order or a record of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    /// The store's revision of the order.
    order: u64,
    /// Its age...
    age: Duration,
    /// ... at this moment.
    at: Moment,
}

impl Clock {
    /// The order of this revision was at least this old at `now`.
    pub fn note(&mut self, now: Moment, order: u64, age: Duration) {
        if order > self.order || order == self.order && age > self.age(now) {
            *self = Self { order, age, at: now };
        }
    }

    /// The newest order's age.
    #[must_use]
    pub fn age(&self, now: Moment) -> Duration {
        self.age + now.since(self.at)
    }
}
