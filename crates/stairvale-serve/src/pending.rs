//! Answers that clients wait for.

use std::sync::{Arc, atomic::Ordering};

use stairvale_memory::connections::InUse;
use stairvale_types::Moment;

use crate::{Shared, exchange::millis};

/// An answer that a client waits for. One that is dropped before its end is logged and counted: its connection broke,
/// or the process exits.
#[derive(Debug)]
pub struct PendingAnswer {
    shared: Arc<Shared>,
    id: String,
    /// The name of the request's route; empty until it is known.
    route: String,
    since: Moment,
    has_ended: bool,
    /// The use of the client's connection, which ends with the answer.
    _in_use: InUse,
}

impl PendingAnswer {
    /// The answer to the request with this id, which has just been read.
    #[must_use]
    pub fn new(shared: Arc<Shared>, id: String, in_use: InUse) -> Self {
        let since = shared.now();
        Self { shared, id, route: String::new(), since, has_ended: false, _in_use: in_use }
    }

    /// Sets the route of the request.
    pub fn set_route(&mut self, name: &str) {
        name.clone_into(&mut self.route);
    }

    /// Records that the client's connection takes nothing more of the answer: it has all, or the answer was truncated.
    pub fn end(mut self) {
        self.has_ended = true;
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        let exiting = self.shared.exiting.load(Ordering::Relaxed);
        self.shared.metrics.count(if exiting { "unanswered-at-exit" } else { "unanswered" });
        let ms = millis(self.shared.now().since(self.since));
        tracing::info!(
            id = self.id,
            route = self.route,
            ms,
            exiting,
            "a client's connection ended without its whole answer"
        );
    }
}
