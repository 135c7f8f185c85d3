//! An operator's order to roll out a version.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use stairvale_types::id;

/// An order to move a service to another version of its upstreams.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// The version that shall serve.
    pub target: id::Version,
    /// Time after the order within which the fleet has moved to the version, or is back at the old one.
    pub over: Duration,
}
