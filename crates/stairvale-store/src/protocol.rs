//! The messages of the platform's HTTP protocol, as far as this client uses it.

use serde::{Deserialize, Serialize};

/// A value with its revision, from `GET /v1/kv/{key}` and from watches.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Value {
    /// The value as it was written.
    pub value: String,
    /// The store's revision at the last write of the key.
    pub revision: u64,
}

/// The answer to a write or to a compare-and-swap that failed.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Revision {
    /// The revision of the key.
    pub revision: u64,
}

/// The body of `POST /v1/leases`.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct NewLease {
    /// How long the lease lasts without being renewed, in milliseconds.
    pub ttl_ms: u64,
}

/// The answer to `POST /v1/leases`.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Lease {
    /// The number of the lease.
    pub lease: u64,
}
