//! The format of a shard's record and segments in the platform's store.

use std::collections::BTreeMap;

use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use stairvale_types::id;
use stairvale_wire::{StoredAnswer, codec};

/// The largest body of an answer that is stored, in bytes.
pub const MAX_BODY_BYTES: usize = 1_024;
/// Limits the size of a record that takes new claims, and of a segment, in bytes. The store's values hold at most a
/// megabyte.
pub const MAX_RECORD_BYTES: usize = 900_000;
/// How long a claim is stored, in milliseconds. A repeat of its key within this time is recognised.
pub const CLAIM_RETENTION_MS: u64 = 3_600_000;

/// A claim of an attempt on an idempotency key.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// The attempt that holds the claim.
    pub attempt: id::Attempt,
    /// When the claim was made, in milliseconds since the Unix epoch by the clock of the shard's owner.
    pub at_ms: u64,
    /// The answer to the request, once its entry has reported it.
    pub stored: Option<StoredAnswer>,
}

/// A reference to a stored value that holds claims which no longer change.
///
/// Its name is the hash of its content, so writing it twice is harmless. The value has a lease that outlasts its
/// claims.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Segment {
    /// The name of the segment's value.
    pub id: String,
    /// How often the segment's claims were merged: a segment of level n has about [`MIN_SEAL_CLAIMS`] times [`FANOUT`]
    /// to the power of n claims.
    pub level: u8,
    /// When the segment's most recent claim was made, in milliseconds since the Unix epoch.
    pub newest_ms: u64,
}

/// The number of claims that no longer change from which on they are sealed into a segment.
pub const MIN_SEAL_CLAIMS: usize = 8;
/// The number of segments of one level that are merged into one of the next.
pub const FANOUT: usize = 16;

/// Claims by idempotency key.
pub type Claims = BTreeMap<id::Key, Claim>;

/// A shard's record, which holds recent claims directly and refers to the segments that hold the others.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The number of writes of the record. It is the fencing token of a claim that is granted.
    pub fence: u64,
    /// Claims that may still change, and those that aren't sealed yet.
    pub claims: Claims,
    /// The segments that hold all other claims.
    pub segments: Vec<Segment>,
}

/// The text in the store isn't a valid record or segment.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("value in the store is not a valid claim record")]
pub struct Error;

/// Prefix that identifies the version of the encoding; another encoding gets another prefix.
const FORMAT_PREFIX: &str = "2:";

/// Encodes a value for the store, which holds text: `bincode` in base64, which for these values takes less than half
/// the size of JSON.
pub(crate) fn to_text<T: Serialize>(value: &T) -> String {
    let bytes = codec::pack(value).unwrap_or_else(|_| unreachable!("values are far below the largest frame"));
    format!("{FORMAT_PREFIX}{}", STANDARD_NO_PAD.encode(bytes))
}

/// Decodes a value encoded by [`to_text`].
pub(crate) fn from_text<T: DeserializeOwned>(text: &str) -> Result<T, Error> {
    let text = text.strip_prefix(FORMAT_PREFIX).ok_or(Error)?;
    let bytes = STANDARD_NO_PAD.decode(text).map_err(|_| Error)?;
    codec::unpack(&bytes).map_err(|_| Error)
}

impl Record {
    /// Decodes a record.
    ///
    /// # Errors
    /// [`Error`] for any text that [`Record::to_text`] doesn't produce.
    pub fn parse(text: &str) -> Result<Self, Error> {
        from_text(text)
    }

    /// Encodes the record for the store.
    #[must_use]
    pub fn to_text(&self) -> String {
        to_text(self)
    }

    /// The claim on a key, unless there is none or it is in a segment.
    #[must_use]
    pub fn get(&self, key: id::Key) -> Option<&Claim> {
        self.claims.get(&key)
    }

    /// Removes claims and segments that are older than [`CLAIM_RETENTION_MS`].
    pub fn expire(&mut self, now_ms: u64) {
        self.claims.retain(|_, claim| claim.at_ms.saturating_add(CLAIM_RETENTION_MS) > now_ms);
        self.segments.retain(|segment| segment.newest_ms.saturating_add(CLAIM_RETENTION_MS) > now_ms);
    }
}
