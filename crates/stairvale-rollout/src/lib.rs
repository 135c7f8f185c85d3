//! Moves a service to another version of its upstreams without an operator's supervision (progressive delivery).
//!
//! The operator's [`Order`] names the version. The service's home runs a roll-out controller (see [`steward`]); another
//! router takes over when the home dies. The controller reserves in the store what the new version may get before it is
//! accepted, passes that to the home's pool as [`Reservation`]s, receives the results of requests as [`Observation`]s,
//! and lets a [`Judge`] compare the two versions on each route. Everything that must survive a router is in one
//! [`Record`] in the store, which is only changed by compare and swap. Every router follows its [`Policy`].
//!
//! ```
//! use stairvale_rollout::{Admission, Order, Policy};
//! use std::time::Duration;
//!
//! let order = Order { target: "v2".parse().unwrap(), over: Duration::from_secs(600) };
//! let policy = Policy::of(Some((7, &order)), None).unwrap();
//! assert_eq!(policy.admits(Some(&"v2".parse().unwrap())), Admission::Trial);
//! assert_eq!(policy.admits(Some(&"v1".parse().unwrap())), Admission::Any);
//! ```

pub mod account;
mod baseline;
mod clock;
mod evidence;
mod holding;
pub mod judge;
pub mod order;
mod outbox;
pub mod policy;
pub mod record;
mod start;
pub mod step;
pub mod steward;
mod trial;

pub use account::ExposureBudget;
pub use judge::{Answer, Judge, Observation};
pub use order::Order;
pub use policy::{Admission, Policy};
pub use record::{Cause, Counts, Record, Stage, Tally};
pub use step::{Bounds, Event, FleetStatus, Report, Reservation, Step, Write, Written};
pub use steward::RolloutController;
