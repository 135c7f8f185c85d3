//! What an operator orders.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use stairvale_types::id;

/// A service is to move to another version of its upstreams.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// The version that is to serve.
    pub target: id::Version,
    /// Within this time after the order the fleet has moved, or is back.
    pub over: Duration,
}
