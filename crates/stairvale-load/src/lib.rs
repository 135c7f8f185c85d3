//! Load generator for a fleet: open-loop and seeded, with every answer checked token by token.
//!
//! A [`plan::Plan`] schedules all requests in advance. Latency is measured from the scheduled start of a request, so
//! that it includes the delay of requests that start late. [`report::Report`] holds the results.
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
