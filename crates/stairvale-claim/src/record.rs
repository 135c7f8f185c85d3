//! A shard's record as it stands in the platform's store.

use std::collections::BTreeMap;

use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use stairvale_types::id;
use stairvale_wire::{Stored, codec};

/// The largest body that is kept, in bytes.
pub const MAX_BODY: usize = 1_024;
/// A record takes no more claims at this size, in bytes; the store's values hold a megabyte.
pub const MAX_RECORD: usize = 900_000;
/// How long a claim is kept, in milliseconds: a repeat of the key within this time is recognised.
pub const KEEP_MS: u64 = 3_600_000;

/// A claim.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// The attempt that holds it.
    pub attempt: id::Attempt,
    /// When it was made, in milliseconds since 1970 by the writer's clock.
    pub at_ms: u64,
    /// The answer, once it is known.
    pub stored: Option<Stored>,
}

/// A value that holds claims which no longer change.
///
/// Its name is the hash of its content, so writing it twice is harmless. It lives under a lease that outlasts its claims.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Segment {
    /// Its name.
    pub id: String,
    /// How often its claims were merged: a segment of level n has about [`SEALED`] times [`FANOUT`] to the power n claims.
    pub level: u8,
    /// When its youngest claim was made, in milliseconds since 1970.
    pub newest_ms: u64,
}

/// Claims that no longer change make a segment once they are so many.
pub const SEALED: usize = 8;
/// Segments of one level that are merged into one of the next.
pub const FANOUT: usize = 16;

/// Claims by key.
pub type Claims = BTreeMap<id::Key, Claim>;

/// A shard's record: young claims themselves, and the names of the segments that hold the others.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Rises with each write; a claim's fencing token.
    pub fence: u64,
    /// Claims that may still change, and young ones.
    pub claims: Claims,
    /// The segments.
    pub segments: Vec<Segment>,
}

/// The bytes in the store are no record.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the store's value is no claim record")]
pub struct Error;

/// What stands before a value of this form; another form gets another mark.
const MARK: &str = "2:";

/// A value as it goes into the store, which holds text: `bincode` in base64, less than half the size of JSON here.
pub(crate) fn to_text<T: Serialize>(value: &T) -> String {
    let bytes = codec::pack(value).unwrap_or_else(|_| unreachable!("values are far below the largest frame"));
    format!("{MARK}{}", STANDARD_NO_PAD.encode(bytes))
}

/// Reads what [`to_text`] wrote.
pub(crate) fn from_text<T: DeserializeOwned>(text: &str) -> Result<T, Error> {
    let text = text.strip_prefix(MARK).ok_or(Error)?;
    let bytes = STANDARD_NO_PAD.decode(text).map_err(|_| Error)?;
    codec::unpack(&bytes).map_err(|_| Error)
}

impl Record {
    /// Reads a record.
    ///
    /// # Errors
    /// [`Error`] for anything that [`Record::to_text`] didn't write.
    pub fn parse(text: &str) -> Result<Self, Error> {
        from_text(text)
    }

    /// The record as it goes into the store.
    #[must_use]
    pub fn to_text(&self) -> String {
        to_text(self)
    }

    /// The claim on a key.
    #[must_use]
    pub fn get(&self, key: id::Key) -> Option<&Claim> {
        self.claims.get(&key)
    }

    /// Drops claims and segments that are kept no longer.
    pub fn expire(&mut self, now_ms: u64) {
        self.claims.retain(|_, claim| claim.at_ms.saturating_add(KEEP_MS) > now_ms);
        self.segments.retain(|segment| segment.newest_ms.saturating_add(KEEP_MS) > now_ms);
    }
}
