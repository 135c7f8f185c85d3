//! Load for a fleet: open loop, seeded, every answer checked token by token.
//!
//! A [`plan::Plan`] says beforehand who asks what when; latency counts from that intended moment. [`report::Report`] is
//! what is printed.
//!
//! ```
//! use stairvale_load::plan::{Plan, Shape};
//!
//! let shape = Shape { seconds: 5.0, rate: 20.0, ..Shape::default() };
//! let plan = Plan::new(&shape, 7);
//! assert_eq!(plan.turns.len(), Plan::new(&shape, 7).turns.len());
//! ```

pub mod chat;
pub mod check;
pub mod client;
pub mod drive;
pub mod plan;
pub mod report;
pub mod sample;
pub mod tally;
