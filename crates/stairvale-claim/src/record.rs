//! A shard's record as it stands in the platform's store.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use stairvale_types::id;
use stairvale_wire::Stored;

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
    #[serde(with = "hex")]
    pub attempt: id::Attempt,
    /// When it was made, in milliseconds since 1970 by the writer's clock.
    pub at_ms: u64,
    /// The answer, once it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stored: Option<Stored>,
}

/// All claims of a shard.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Rises with each write; a claim's fencing token.
    pub fence: u64,
    /// By the key's hexadecimal form.
    pub claims: BTreeMap<String, Claim>,
}

/// The bytes in the store are no record.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the store's value is no claim record")]
pub struct Error;

impl Record {
    /// Reads a record.
    ///
    /// # Errors
    /// [`Error`] for anything that [`Record::to_text`] didn't write.
    pub fn parse(text: &str) -> Result<Self, Error> {
        serde_json::from_str(text).map_err(|_| Error)
    }

    /// The record as it goes into the store.
    #[must_use]
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).unwrap_or_else(|_| unreachable!("a record has only string keys"))
    }

    /// The claim on a key.
    #[must_use]
    pub fn get(&self, key: id::Key) -> Option<&Claim> {
        self.claims.get(&key.to_string())
    }

    /// Drops claims that are kept no longer.
    pub fn expire(&mut self, now_ms: u64) {
        self.claims.retain(|_, claim| claim.at_ms.saturating_add(KEEP_MS) > now_ms);
    }
}

/// JSON numbers have too few digits for an attempt.
mod hex {
    use serde::{Deserialize, Deserializer, Serializer, de::Error};
    use stairvale_types::id;

    pub(super) fn serialize<S: Serializer>(attempt: &id::Attempt, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(attempt)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<id::Attempt, D::Error> {
        let text = String::deserialize(from)?;
        text.parse().map_err(D::Error::custom)
    }
}
