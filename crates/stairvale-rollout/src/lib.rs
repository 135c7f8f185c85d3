//! A service moves to another version of its upstreams, with no one in charge.
//!
//! The operator's [`Order`] names the version. The service's home (another router whenever that one dies) keeps a
//! [`Steward`]: it reserves in the store what the new version may be given before it is known to be good, hands that to the
//! home's pool as [`Reservation`]s, takes what became of requests as [`Observation`]s, and lets a [`Judge`] compare the two
//! versions route by route. All that must outlive a router stands in one [`Record`] of the store, changed only by compare
//! and swap; every router follows its [`Policy`].
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
pub mod judge;
pub mod order;
mod outbox;
pub mod policy;
pub mod record;
mod start;
pub mod step;
pub mod steward;
mod trial;

pub use account::Account;
pub use judge::{Answer, Judge, Observation};
pub use order::Order;
pub use policy::{Admission, Policy};
pub use record::{Cause, Counts, Record, Stage, Tally};
pub use step::{Bounds, Event, Facts, Report, Reservation, Step, Write, Written};
pub use steward::Steward;
