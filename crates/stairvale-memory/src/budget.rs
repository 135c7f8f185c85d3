//! The budget of a process, what it is held for and why there may be no room.

use std::{
    fmt::{self, Write},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use stairvale_types::{Moment, id};

use crate::{
    reservation::Reservation,
    state::{CONNECTIONS_DIVISOR, State, Use},
    upload::Upload,
};

/// Bodies of at most this many bytes have room that larger ones don't take.
pub const MAX_SMALL_BYTES: usize = 64 << 10;
/// A body that arrives at less than this rate falls behind, in bytes per second.
pub const MIN_RATE: u64 = 64 << 10;
/// A body may fall behind for this long before it may be evicted.
pub const MAX_STALL: Duration = Duration::from_secs(1);
/// What room is held for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A client's connection with its buffers.
    Connection,
    /// A request that is being served: its head and the connection to its upstream.
    Request,
    /// The body of a request.
    Body,
    /// The part of an answer that its client hasn't read.
    Answer,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Connection, Self::Request, Self::Body, Self::Answer];

    /// The name in metrics and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Connection => "connection",
            Self::Request => "request",
            Self::Body => "body",
            Self::Answer => "answer",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// There is no room for what should be held.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Shortage {
    /// All of the budget is taken.
    #[error("the process's memory is in use")]
    Full,
    /// The customer's bodies take more than its share.
    #[error("the customer's bodies take too much of the process's memory")]
    Share,
    /// The body fell behind and was evicted.
    #[error("the body was evicted for lack of memory")]
    Evicted,
}

impl Shortage {
    /// The name in counters and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Full => "memory-full",
            Self::Share => "memory-share",
            Self::Evicted => "memory-evicted",
        }
    }
}

/// The customer whose key came with a request; `None` for requests without a key.
pub type Account = Option<id::Customer>;

/// The bytes that a process may hold for its clients. Clones share the same budget.
#[derive(Clone, Debug)]
pub struct Budget(Arc<Mutex<State>>);

impl Budget {
    /// Creates a budget of this many bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self(Arc::new(Mutex::new(State::new(limit))))
    }

    /// All bytes that may be held.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.state().limit
    }

    /// The bytes that connections may take at most.
    #[must_use]
    pub fn connections_limit(&self) -> usize {
        self.limit() / CONNECTIONS_DIVISOR
    }

    /// The bytes that are held of a kind.
    #[must_use]
    pub fn held(&self, kind: Kind) -> usize {
        self.state().held(kind)
    }

    /// The most bytes that were held at any time so far.
    #[must_use]
    pub fn peak(&self) -> usize {
        self.state().peak
    }

    /// How often there was no room for something so far.
    #[must_use]
    pub fn refusals(&self) -> u64 {
        self.state().refusals
    }

    /// What is held, in the Prometheus text format.
    #[must_use]
    pub fn metrics(&self) -> String {
        let mut text = String::new();
        for kind in Kind::ALL {
            // Writing into a string can't fail.
            let _ = writeln!(text, "stairvale_memory_held_bytes{{kind=\"{kind}\"}} {}", self.held(kind));
        }
        let _ = writeln!(text, "stairvale_memory_limit_bytes {}", self.limit());
        let _ = writeln!(text, "stairvale_memory_peak_bytes {}", self.peak());
        let _ = writeln!(text, "stairvale_memory_refusals {}", self.refusals());
        let _ = writeln!(text, "stairvale_memory_evictions {}", self.evictions());
        text
    }

    /// The number of bodies that were evicted so far.
    #[must_use]
    pub fn evictions(&self) -> u64 {
        self.state().evictions
    }

    /// Reserves room for a connection.
    ///
    /// # Errors
    /// A [`Shortage`] if there is none.
    pub fn connection(&self, now: Moment, bytes: usize) -> Result<Reservation, Shortage> {
        self.reserve(now, Use::Connection, bytes)
    }

    /// Reserves room for a request.
    ///
    /// # Errors
    /// A [`Shortage`] if there is none.
    pub fn request(&self, now: Moment, bytes: usize) -> Result<Reservation, Shortage> {
        self.reserve(now, Use::Request, bytes)
    }

    /// Reserves room for an answer.
    ///
    /// # Errors
    /// A [`Shortage`] if there is none.
    pub fn answer(&self, now: Moment, bytes: usize) -> Result<Reservation, Shortage> {
        self.reserve(now, Use::Answer, bytes)
    }

    /// Reserves room for a body that is about to be received: all of it if its length is announced, else room for each part
    /// as it arrives. It has at most `max` bytes.
    ///
    /// # Errors
    /// A [`Shortage`] if there is none.
    pub fn upload(
        &self,
        now: Moment,
        account: Account,
        announced: Option<usize>,
        max: usize,
    ) -> Result<Upload, Shortage> {
        Upload::begin(self, now, account, announced, max)
    }

    fn reserve(&self, now: Moment, held_for: Use, bytes: usize) -> Result<Reservation, Shortage> {
        self.state().take(now, &held_for, bytes, None)?;
        Ok(Reservation::new(self.clone(), held_for, bytes))
    }

    pub(crate) fn give_back(&self, held_for: &Use, bytes: usize) {
        self.state().give_back(held_for, bytes);
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
