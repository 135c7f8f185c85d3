//! The platform's HTTP protocol, as far as it is used.

use serde::{Deserialize, Serialize};

/// A value with its revision, from `GET /v1/kv/{key}` and watches.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Value {
    /// The value.
    pub value: String,
    /// The store's revision at its last write.
    pub revision: u64,
}

/// The answer to a write or to a lost compare-and-swap.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Revision {
    /// The revision.
    pub revision: u64,
}

/// The body of `POST /v1/leases`.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct NewLease {
    /// How long the lease lives without being renewed, in milliseconds.
    pub ttl_ms: u64,
}

/// The answer to it.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Lease {
    /// The lease's number.
    pub lease: u64,
}
