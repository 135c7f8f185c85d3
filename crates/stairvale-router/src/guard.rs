//! Guards that release the resources of a request on drop.

use std::sync::{Arc, atomic::Ordering};

use stairvale_control::Input;
use stairvale_memory::{Reservation, connections::InUse};
use stairvale_types::id;

use crate::Shared;

/// A permit, or a pending request for one. Dropping it releases the permit, however the request ended.
#[derive(Debug)]
pub struct Permit {
    shared: Arc<Shared>,
    attempt: id::Attempt,
    success: Option<bool>,
    unreachable: bool,
}

impl Permit {
    /// Guards an attempt; it is created before the permit is requested.
    #[must_use]
    pub fn new(shared: Arc<Shared>, attempt: id::Attempt) -> Self {
        Self { shared, attempt, success: None, unreachable: false }
    }

    /// The id of the attempt.
    #[must_use]
    pub fn attempt(&self) -> id::Attempt {
        self.attempt
    }

    /// Records that the upstream answered completely.
    pub fn succeed(&mut self) {
        self.success = Some(true);
    }

    /// Records that the upstream failed; `unreachable` if no connection could be made.
    pub fn fail(&mut self, unreachable: bool) {
        self.success = Some(false);
        self.unreachable = unreachable;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let Self { attempt, success, unreachable, .. } = *self;
        self.shared.notify_control(Input::AttemptEnded { attempt, success, unreachable });
    }
}

/// Bytes that a request takes beside its connection and its body: the parsed head, the connection to an upstream with its
/// buffers, and the pieces of the answer that wait for the caller.
const REQUEST_BYTES: usize = 256 << 10;

/// A slot for one of the limited number of requests that a router serves at the same time, and the memory for it.
#[derive(Debug)]
pub struct InFlight {
    shared: Arc<Shared>,
    _reservation: Reservation,
    /// The use of the caller's connection.
    _in_use: InUse,
}

impl InFlight {
    /// Acquires a slot; `None` if the limit is reached or there is no memory for a further request.
    #[must_use]
    pub fn acquire(shared: &Arc<Shared>, in_use: InUse) -> Option<Self> {
        let reservation = shared.memory.request(shared.now(), REQUEST_BYTES).ok()?;
        let before = shared.in_flight.fetch_add(1, Ordering::Relaxed);
        let slot = Self { shared: shared.clone(), _reservation: reservation, _in_use: in_use };
        // If the limit is reached, dropping the guard decrements the counter again.
        (before < shared.settings.limits.in_flight).then_some(slot)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
