//! What entries want written into a shard's record.

use stairvale_types::{Moment, id};
use stairvale_wire::{ClaimVerdict, Stored};

use crate::{Record, effect::Effect, record::Claim};

/// Something the record shall take in.
#[derive(Clone, Debug)]
pub(crate) struct Wish {
    pub key: id::Key,
    pub attempt: id::Attempt,
    pub from: id::Router,
    pub since: Moment,
    /// A write that carried this claim left, from a record that lacked it.
    pub written: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Settlement {
    pub key: id::Key,
    pub attempt: id::Attempt,
    /// `None` gives the claim back: nothing was sent.
    pub stored: Option<Stored>,
    /// Who wants to hear that it is kept; `None` if this shard gave the claim back itself.
    pub from: Option<id::Router>,
    pub since: Moment,
}

impl Wish {
    /// What a claim that stands means for this wish.
    pub(crate) fn verdict(&self, claim: &Claim, fence: u64) -> ClaimVerdict {
        if let Some(stored) = &claim.stored {
            return ClaimVerdict::Ran(stored.clone());
        }
        if claim.attempt == self.attempt {
            return ClaimVerdict::Yours { fence };
        }
        ClaimVerdict::Running
    }

    /// Tells the entry.
    pub(crate) fn answer(&self, verdict: ClaimVerdict) -> Effect {
        Effect::Answer { to: self.from.clone(), key: self.key, attempt: self.attempt, verdict }
    }
}

impl Settlement {
    /// Whether the record still lacks this.
    pub(crate) fn applies(&self, record: &Record) -> bool {
        let Some(claim) = record.get(self.key) else {
            return false;
        };
        claim.attempt == self.attempt && claim.stored.is_none()
    }

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
