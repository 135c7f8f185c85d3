//! The bytes of a body while it is being received, and how it goes on.

use std::{sync::Arc, time::Duration};

use stairvale_types::Moment;
use tokio::sync::Notify;

use crate::{
    budget::{Account, MAX_STALL, MIN_RATE},
    state::{Size, Use},
    storage::Storage,
};

/// The capacity of the first and of the largest part of a body of unknown length, in bytes. Each part is as large as those
/// before it together.
const MIN_PART_BYTES: usize = 4 << 10;
const MAX_PART_BYTES: usize = 256 << 10;

/// A body that is being received.
#[derive(Debug)]
pub(crate) struct PartialBody {
    pub(crate) account: Account,
    parts: Vec<Storage>,
    /// The room that the body holds, in bytes.
    capacity: usize,
    /// The most bytes that the body may have.
    max: usize,
    /// The body has arrived at [`MIN_RATE`] or faster until this time, and falls behind afterwards.
    pub(crate) on_pace_until: Moment,
    /// Notified when the body was evicted.
    pub(crate) evicted: Arc<Notify>,
}

impl PartialBody {
    pub(crate) fn new(now: Moment, account: Account, max: usize) -> Self {
        let (on_pace_until, evicted) = (now + MAX_STALL, Arc::default());
        Self { account, parts: Vec::new(), capacity: 0, max, on_pace_until, evicted }
    }

    pub(crate) const fn capacity(&self) -> usize {
        self.capacity
    }

    /// What the body's room is held for if it has this capacity.
    pub(crate) fn held_for(&self, capacity: usize) -> Use {
        Use::Body(self.account.clone(), Size::of(capacity))
    }

    /// The capacity of the next part, for which room is to be taken before [`Self::extend`].
    pub(crate) fn next_part(&self) -> usize {
        self.capacity.clamp(MIN_PART_BYTES, MAX_PART_BYTES).min(self.max.saturating_sub(self.capacity)).max(1)
    }

    /// Adds a part; `false` if the system has no memory for it.
    pub(crate) fn extend(&mut self, capacity: usize) -> bool {
        let storage = Storage::allocate(capacity);
        self.capacity += capacity;
        let is_allocated = storage.is_some();
        self.parts.extend(storage);
        is_allocated
    }

    /// Copies as many bytes as fit into the last part and returns the rest.
    pub(crate) fn fill<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        self.parts.last_mut().map_or(bytes, |part| part.fill(bytes))
    }

    /// Records that bytes have arrived.
    pub(crate) fn progress(&mut self, now: Moment, bytes: usize) {
        let micros = (bytes as u64).saturating_mul(1_000_000) / MIN_RATE;
        self.on_pace_until = (self.on_pace_until.max(now) + Duration::from_micros(micros)).min(now + MAX_STALL);
    }

    pub(crate) fn into_parts(self) -> Vec<Storage> {
        self.parts
    }
}
