//! At-most-once execution: a request that must not be repeated claims its idempotency key in the platform's store
//! before its first byte is sent to an upstream.
//!
//! Keys are distributed over [`SHARDS`] shards. Each [`Shard`] has one record in the store, which is only changed by
//! compare-and-swap. Claims that arrive during a write are batched into the next one, so that the number of writes
//! grows more slowly than the number of requests. After a write whose answer was lost, the record is read back, and a
//! claim that took effect is recognised by its attempt id.
//!
//! The record holds recent claims only; those that no longer change move into segments ([`seal`]), which keeps each
//! write small.
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

/// The number of shards, and so of records, that keys are distributed over.
pub const SHARDS: u32 = 8;

/// The shard that a key belongs to.
#[must_use]
pub fn shard_of(key: id::Key) -> u32 {
    let high = u32::try_from(key.0 >> 96).unwrap_or(0);
    high % SHARDS
}
