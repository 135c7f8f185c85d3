//! What a shard's keeper asks for, and what the store answers.

use stairvale_types::id;
use stairvale_wire::ClaimVerdict;

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Read the record.
    Read,
    /// Write the record if its revision is still this one (zero: if there is none).
    Write {
        /// The record.
        text: String,
        /// The revision that it replaces.
        revision: u64,
    },
    /// Read a segment.
    ReadSegment {
        /// Its name.
        id: String,
    },
    /// Create a segment, under a lease that outlasts its claims.
    WriteSegment {
        /// Its name.
        id: String,
        /// Its text.
        text: String,
    },
    /// Tell an entry that this keeper knows what became of its request, though it isn't written down yet.
    Noted {
        /// The entry.
        to: id::Router,
        /// The attempt.
        attempt: id::Attempt,
    },
    /// Tell an entry that what became of its request is kept.
    Settled {
        /// The entry.
        to: id::Router,
        /// The key.
        key: id::Key,
        /// The attempt.
        attempt: id::Attempt,
    },
    /// Tell an entry what the record says.
    Answer {
        /// The entry.
        to: id::Router,
        /// The key.
        key: id::Key,
        /// The attempt.
        attempt: id::Attempt,
        /// What the record says.
        verdict: ClaimVerdict,
    },
}

/// What came of a call to the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The record and its revision; `None` if there is none.
    Read(Option<(String, u64)>),
    /// The write took effect; this is its revision.
    Written(u64),
    /// Another write came first.
    Conflict,
    /// A segment, or that there is none.
    Segment {
        /// Its name.
        id: String,
        /// Its text.
        text: Option<String>,
    },
    /// A segment was created, or was there already.
    SegmentWritten,
    /// No answer: a write may or may not have taken effect.
    Lost,
}
