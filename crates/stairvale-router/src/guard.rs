//! Guards whose `Drop` gives back what a request holds.

use std::sync::{Arc, atomic::Ordering};

use stairvale_control::Input;
use stairvale_types::id;

use crate::Shared;

/// A permit, or the wait for one. Dropping it gives it back, however the request ended.
#[derive(Debug)]
pub struct Permit {
    shared: Arc<Shared>,
    attempt: id::Attempt,
    success: Option<bool>,
    unreachable: bool,
}

impl Permit {
    /// Guards an attempt from the moment it asks.
    #[must_use]
    pub fn new(shared: Arc<Shared>, attempt: id::Attempt) -> Self {
        Self { shared, attempt, success: None, unreachable: false }
    }

    /// The attempt.
    #[must_use]
    pub fn attempt(&self) -> id::Attempt {
        self.attempt
    }

    /// The upstream answered as it should.
    pub fn succeed(&mut self) {
        self.success = Some(true);
    }

    /// The upstream failed; `unreachable` if no connection could be made.
    pub fn fail(&mut self, unreachable: bool) {
        self.success = Some(false);
        self.unreachable = unreachable;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let Self { attempt, success, unreachable, .. } = *self;
        self.shared.tell(Input::End { attempt, success, unreachable });
    }
}

/// A place among the requests that a router serves at once.
#[derive(Debug)]
pub struct Place {
    shared: Arc<Shared>,
}

impl Place {
    /// Takes a place, if there is one.
    #[must_use]
    pub fn take(shared: &Arc<Shared>) -> Option<Self> {
        let before = shared.in_flight.fetch_add(1, Ordering::Relaxed);
        let place = Self { shared: shared.clone() };
        // Dropping the place at once takes the count back.
        (before < shared.settings.limits.in_flight).then_some(place)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
