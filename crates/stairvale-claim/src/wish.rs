//! Claim requests and outcomes of entries that wait to be written into a shard's record.

use stairvale_types::{Moment, id};
use stairvale_wire::{ClaimVerdict, StoredAnswer};

use crate::{Record, effect::Effect, record::Claim};

/// A claim request of an entry that hasn't been answered yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingClaim {
    pub key: id::Key,
    pub attempt: id::Attempt,
    pub from: id::Router,
    /// When the request arrived.
    pub since: Moment,
    /// Whether a write that adds this claim to the record was sent to the store.
    pub write_sent: bool,
}

/// The outcome of a claimed request that hasn't been stored yet.
#[derive(Clone, Debug)]
pub(crate) struct Settlement {
    pub key: id::Key,
    pub attempt: id::Attempt,
    /// The answer to the request; `None` releases the claim, since nothing was sent to an upstream.
    pub stored: Option<StoredAnswer>,
    /// The entry that expects a confirmation; `None` if the shard's owner itself released the claim.
    pub from: Option<id::Router>,
    /// When the outcome was reported.
    pub since: Moment,
}

impl PendingClaim {
    /// The answer to this request if `claim` is the recorded claim on its key.
    pub(crate) fn verdict(&self, claim: &Claim, fence: u64) -> ClaimVerdict {
        if let Some(stored) = &claim.stored {
            return ClaimVerdict::Ran(stored.clone());
        }
        if claim.attempt == self.attempt {
            return ClaimVerdict::Yours { fence };
        }
        ClaimVerdict::Running
    }

    /// The effect that sends the answer to the entry.
    pub(crate) fn answer(&self, verdict: ClaimVerdict) -> Effect {
        Effect::Answer { to: self.from.clone(), key: self.key, attempt: self.attempt, verdict }
    }
}

impl Settlement {
    /// Whether the record has the claim of this attempt, but no outcome of it.
    pub(crate) fn applies(&self, record: &Record) -> bool {
        let Some(claim) = record.get(self.key) else {
            return false;
        };
        claim.attempt == self.attempt && claim.stored.is_none()
    }

    /// Writes the outcome into the record, if it applies.
    pub(crate) fn apply(&self, record: &mut Record) {
        if !self.applies(record) {
            return;
        }
        let Some(stored) = &self.stored else {
            record.claims.remove(&self.key);
            return;
        };
        if let Some(claim) = record.claims.get_mut(&self.key) {
            claim.stored = Some(stored.clone());
        }
    }
}
