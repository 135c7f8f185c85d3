//! Room that is held.

use bytes::Bytes;
use stairvale_types::Moment;

use crate::{
    budget::{Budget, Kind, Shortage},
    state::Use,
};

/// Room that is held for as long as this exists.
#[derive(Debug)]
#[must_use]
pub struct Reservation {
    budget: Budget,
    held_for: Use,
    bytes: usize,
}

impl Reservation {
    pub(crate) const fn new(budget: Budget, held_for: Use, bytes: usize) -> Self {
        Self { budget, held_for, bytes }
    }

    /// The number of bytes.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Raises the number of bytes to `bytes`, if it is less.
    ///
    /// # Errors
    /// A [`Shortage`] if there is no room; what was held before is still held.
    pub fn grow(&mut self, now: Moment, bytes: usize) -> Result<(), Shortage> {
        let more = bytes.saturating_sub(self.bytes);
        self.budget.state().take(now, &self.held_for, more, None)?;
        self.bytes += more;
        Ok(())
    }

    /// The same bytes, which hold the room until the last part of them is dropped.
    #[must_use]
    pub fn hold(self, bytes: Bytes) -> Bytes {
        if bytes.is_empty() { bytes } else { Bytes::from_owner(Held { bytes, _reservation: self }) }
    }

    /// The kind of what is held.
    #[must_use]
    pub const fn kind(&self) -> Kind {
        self.held_for.kind()
    }
}

/// Bytes that hold the room for themselves.
struct Held {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.give_back(&self.held_for, self.bytes);
    }
}
