//! The queue of callers' connections from which nothing has been read yet.
//!
//! A request that has been read holds a slot of an upstream until this process has passed the answer on. A process that
//! reads more than its processor can serve holds slots for longer, and then requests of other routers are refused too.
//! So connections wait here until the process is ready for the next one. A connection that waits too long is closed
//! unread, so its caller can try another router without any doubt that the request didn't run.
//!
//! The limit is a controlled delay: a burst may wait for [`MAX_BURST_WAIT`], but once the queue has not been empty for
//! that long, arrivals exceed what the process can serve, and a wait of more than [`MAX_STANDING_WAIT`] only adds delay.

use std::{collections::VecDeque, time::Duration};

use stairvale_types::Moment;

/// The longest wait of a connection while the queue has been empty recently.
pub const MAX_BURST_WAIT: Duration = Duration::from_millis(400);
/// The longest wait of a connection while the queue hasn't been empty for [`MAX_BURST_WAIT`].
pub const MAX_STANDING_WAIT: Duration = Duration::from_millis(50);

/// The connections that wait, in the order of their arrival.
#[derive(Debug)]
pub struct Intake<T> {
    waiting: VecDeque<(Moment, T)>,
    /// When the queue was empty last.
    empty_at: Moment,
}

impl<T> Intake<T> {
    /// Creates an empty queue.
    #[must_use]
    pub const fn new(now: Moment) -> Self {
        Self { waiting: VecDeque::new(), empty_at: now }
    }

    /// Number of connections that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no connection waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether connections arrive faster than they are taken.
    #[must_use]
    pub fn is_standing(&self, now: Moment) -> bool {
        !self.is_empty() && now.since(self.empty_at) > MAX_BURST_WAIT
    }

    /// Adds a connection that has just arrived.
    pub fn push(&mut self, now: Moment, connection: T) {
        if self.is_empty() {
            self.empty_at = now;
        }
        self.waiting.push_back((now, connection));
    }

    /// Removes a connection that has waited too long, if there is one.
    pub fn take_expired(&mut self, now: Moment) -> Option<T> {
        let limit = if self.is_standing(now) { MAX_STANDING_WAIT } else { MAX_BURST_WAIT };
        let (arrived, _) = self.waiting.front()?;
        if now.since(*arrived) > limit { self.take() } else { None }
    }

    /// Removes the connection that has waited longest, to serve it.
    pub fn take(&mut self) -> Option<T> {
        self.waiting.pop_front().map(|(_, connection)| connection)
    }
}
