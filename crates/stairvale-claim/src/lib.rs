//! At most once: a request that must not be repeated is claimed in the platform's store before its first byte leaves.
//!
//! The record holds young claims only; those that no longer change move into segments ([`seal`]), so that a write stays
//! small.
//!
//! Keys are spread over [`SHARDS`]; each [`Shard`] has one record in the store that only compare-and-swap changes.
//! Claims that come in while a write is on its way go out together with the next one, so that writes grow slower than
//! requests. A write whose answer was lost is read back and recognised by its attempt id.
//!
//! ```
//! use stairvale_claim::{shard_of, SHARDS};
//! use stairvale_types::id;
//!
//! assert!(shard_of(id::Key(7)) < SHARDS);
//! ```

pub mod effect;
pub mod record;
pub mod seal;
pub mod shard;
mod wish;

pub use record::Record;
pub use shard::Shard;

use stairvale_types::id;

/// How many records the keys are spread over.
pub const SHARDS: u32 = 8;

/// The shard that keeps a key.
#[must_use]
pub fn shard_of(key: id::Key) -> u32 {
    let high = u32::try_from(key.0 >> 96).unwrap_or(0);
    high % SHARDS
}
