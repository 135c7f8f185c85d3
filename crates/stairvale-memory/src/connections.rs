//! The connections of one port. When all are taken, the one that has been unused for longest is closed.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use stairvale_clock::Clock;
use stairvale_types::Moment;
use tokio::sync::Notify;

use crate::{Budget, Reservation, Shortage, machine};

/// A connection on which no request has arrived for this long may be closed in favour of a new one.
pub const MIN_UNUSED: Duration = Duration::from_millis(500);
/// Connections on which no peer has opened a stream may take one part in this many of the process's descriptors: as many as
/// a fleet has routers, which may all connect at the same time.
const PENDING_DIVISOR: usize = 8;
/// Bytes that such a connection takes.
const PENDING_BYTES: usize = 16 << 10;
/// How often a new connection polls whether the one that was asked to close has done so, and the time between two polls.
const MAX_POLLS: u32 = 20;
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The connections of one port. Clones share them.
#[derive(Clone, Debug)]
pub struct Connections(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    clock: Clock,
    budget: Budget,
    /// The room that each connection holds, in bytes.
    bytes: usize,
    /// The most connections.
    limit: usize,
    open: Mutex<Open>,
}

/// The connections that are open, by their number.
#[derive(Debug, Default)]
struct Open {
    next: u64,
    connections: BTreeMap<u64, State>,
}

#[derive(Debug)]
struct State {
    /// When the connection was opened or its last answer ended; `None` while it is used or was asked to close.
    unused_since: Option<Moment>,
    /// Number of requests for which it is used. HTTP/2 has several at a time.
    uses: usize,
    /// Whether a request has arrived on it.
    was_used: bool,
    close: Arc<Notify>,
}

/// A connection. Its room and its place are released when this is dropped.
#[derive(Debug)]
pub struct Connection {
    shared: Arc<Shared>,
    number: u64,
    close: Arc<Notify>,
    _reservation: Reservation,
}

/// A request for which a connection is used, until this is dropped.
#[derive(Debug)]
pub struct InUse {
    shared: Arc<Shared>,
    number: u64,
}

impl Connections {
    /// The connections of a port: at most `limit`, each of which holds this many bytes.
    #[must_use]
    pub fn new(clock: Clock, budget: Budget, bytes: usize, limit: usize) -> Self {
        Self(Arc::new(Shared { clock, budget, bytes, limit, open: Mutex::default() }))
    }

    /// The connections of a port for peers on which no peer has opened a stream yet. They have room of their own, which
    /// clients can't take.
    #[must_use]
    pub fn pending(clock: Clock) -> Self {
        let limit = (machine::descriptors() / PENDING_DIVISOR).max(1);
        Self::new(clock, Budget::new(2 * limit * PENDING_BYTES), PENDING_BYTES, limit)
    }

    /// The number of connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.open().connections.len()
    }

    /// Whether there is no connection.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a connection.
    ///
    /// # Errors
    /// A [`Shortage`] if there is no room for it.
    pub fn open(&self) -> Result<Connection, Shortage> {
        let shared = &self.0;
        let now = shared.clock.now();
        let mut open = shared.open();
        if open.connections.len() >= shared.limit {
            return Err(Shortage::Full);
        }
        let reservation = shared.budget.connection(now, shared.bytes)?;
        let number = open.next;
        open.next += 1;
        let close = Arc::new(Notify::new());
        let state = State { unused_since: Some(now), uses: 0, was_used: false, close: close.clone() };
        open.connections.insert(number, state);
        Ok(Connection { shared: shared.clone(), number, close, _reservation: reservation })
    }

    /// Asks the connection that has been unused for longest to close; `false` if none has been unused for
    /// [`MIN_UNUSED`].
    pub fn close_unused(&self) -> bool {
        let now = self.0.clock.now();
        let mut open = self.0.open();
        let unused = open.connections.values_mut().filter(|state| state.unused_since.is_some());
        let longest = unused.min_by_key(|state| state.unused_since);
        let Some(state) = longest.filter(|state| state.unused_since.is_some_and(|at| now.since(at) >= MIN_UNUSED))
        else {
            return false;
        };
        state.unused_since = None;
        state.close.notify_one();
        true
    }

    /// Adds a connection, in place of an unused one if all are taken; `None` if there is none of these.
    pub async fn open_or_replace(&self) -> Option<Connection> {
        if let Ok(connection) = self.open() {
            return Some(connection);
        }
        if !self.close_unused() {
            return None;
        }
        for _ in 0..MAX_POLLS {
            tokio::time::sleep(POLL_INTERVAL).await;
            if let Ok(connection) = self.open() {
                return Some(connection);
            }
        }
        None
    }
}

impl Connection {
    /// Waits until the connection is asked to close; forever if there is none.
    pub async fn any_asked_to_close(connection: Option<&Self>) {
        match connection {
            Some(connection) => connection.asked_to_close().await,
            None => std::future::pending().await,
        }
    }

    /// Waits until the connection is asked to close.
    pub async fn asked_to_close(&self) {
        self.close.notified().await;
    }

    /// Whether a request has arrived on the connection. One on which none has may be closed without an answer.
    #[must_use]
    pub fn was_used(&self) -> bool {
        self.shared.open().connections.get(&self.number).is_some_and(|state| state.was_used)
    }

    /// Records that a request has arrived, for which the connection is used until the result is dropped.
    pub fn begin_use(&self) -> InUse {
        if let Some(state) = self.shared.open().connections.get_mut(&self.number) {
            (state.unused_since, state.was_used) = (None, true);
            state.uses += 1;
        }
        InUse { shared: self.shared.clone(), number: self.number }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.shared.open().connections.remove(&self.number);
    }
}

impl Drop for InUse {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        if let Some(state) = self.shared.open().connections.get_mut(&self.number) {
            state.uses -= 1;
            if state.uses == 0 {
                state.unused_since = Some(now);
            }
        }
    }
}

impl Shared {
    fn open(&self) -> MutexGuard<'_, Open> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
