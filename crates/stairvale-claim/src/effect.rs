//! The effects that a shard's owner requests, and the store's replies to them.

use stairvale_types::id;
use stairvale_wire::ClaimVerdict;

/// An action that the caller of a [`crate::Shard`] performs for it: a call to the store or a message to an entry.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Read the shard's record from the store.
    Read,
    /// Replace the shard's record by compare-and-swap.
    Write {
        /// The encoded record.
        text: String,
        /// The revision that the stored record must still have; zero if no record may exist.
        revision: u64,
    },
    /// Read a segment from the store.
    ReadSegment {
        /// The segment's name.
        id: String,
    },
    /// Create a segment in the store, under a lease that outlasts its claims.
    WriteSegment {
        /// The segment's name.
        id: String,
        /// The encoded claims.
        text: String,
    },
    /// Confirm to an entry that this owner has received the outcome of its request, though it isn't stored yet.
    Noted {
        /// The entry that reported the outcome.
        to: id::Router,
        /// The attempt that ran.
        attempt: id::Attempt,
    },
    /// Confirm to an entry that it needn't report the outcome of its request again: it is stored, or no longer applies.
    Settled {
        /// The entry that reported the outcome.
        to: id::Router,
        /// The idempotency key.
        key: id::Key,
        /// The attempt that ran.
        attempt: id::Attempt,
    },
    /// Answer an entry's claim request.
    Answer {
        /// The entry that requested the claim.
        to: id::Router,
        /// The idempotency key.
        key: id::Key,
        /// The attempt that requested the claim.
        attempt: id::Attempt,
        /// The state of the claim.
        verdict: ClaimVerdict,
    },
}

/// The result of a call to the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The record that was read and its revision; `None` if there is no record.
    Read(Option<(String, u64)>),
    /// The write took effect and gave the record this revision.
    Written(u64),
    /// The write took no effect, since the record's revision had changed.
    Conflict,
    /// The segment that was read.
    Segment {
        /// The segment's name.
        id: String,
        /// The encoded claims; `None` if the segment doesn't exist.
        text: Option<String>,
    },
    /// The segment was created, or existed already.
    SegmentWritten,
    /// The store didn't answer; a write may or may not have taken effect.
    Lost,
}
