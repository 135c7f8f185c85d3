//! A body that is being received.

use std::sync::Arc;

use stairvale_types::Moment;
use tokio::sync::Notify;

use crate::{
    budget::{Account, Budget, Shortage},
    content::Content,
    partial::PartialBody,
    reservation::Reservation,
};

/// A body that is being received. Its bytes are copied, so that it holds what its room is reserved for and not the buffers
/// in which they arrived.
///
/// While memory is short, a body that arrives too slowly is evicted in favour of others.
#[derive(Debug)]
pub struct Upload {
    budget: Budget,
    number: u64,
    len: usize,
    evicted: Arc<Notify>,
}

impl Upload {
    pub(crate) fn begin(
        budget: &Budget,
        now: Moment,
        account: Account,
        announced: Option<usize>,
        max: usize,
    ) -> Result<Self, Shortage> {
        let partial = PartialBody::new(now, account, max);
        let evicted = partial.evicted.clone();
        let number = budget.state().begin(partial);
        let upload = Self { budget: budget.clone(), number, len: 0, evicted };
        let announced = announced.unwrap_or(0).min(max);
        if announced > 0 {
            budget.state().extend(now, number, announced)?;
        }
        Ok(upload)
    }

    /// The number of bytes so far.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Whether no byte has arrived.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds bytes that have arrived. Together there are at most as many as stated at the beginning.
    ///
    /// # Errors
    /// A [`Shortage`] if there is no room for them or the body was evicted.
    pub fn push(&mut self, now: Moment, bytes: &[u8]) -> Result<(), Shortage> {
        self.budget.state().push(now, self.number, bytes)?;
        self.len += bytes.len();
        Ok(())
    }

    /// Waits until the body is evicted, which may never be the case.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// The whole body.
    ///
    /// # Errors
    /// [`Shortage::Evicted`] if the body was evicted.
    pub fn finish(self) -> Result<Content, Shortage> {
        let partial = self.budget.state().remove(self.number).ok_or(Shortage::Evicted)?;
        let (held_for, bytes) = (partial.held_for(partial.capacity()), partial.capacity());
        Ok(Content::new(partial.into_parts(), Reservation::new(self.budget.clone(), held_for, bytes)))
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        self.budget.state().abandon(self.number);
    }
}
