//! Small value types that the stairvale crates share: identifiers, points in time, sizes, priority classes and
//! outcomes.
//!
//! Nothing here does I/O or reads a clock.
//!
//! ```
//! use stairvale_types::{id, unit};
//!
//! let service: id::Service = "assist-llm".parse().unwrap();
//! let multiple: unit::Multiple = "1.25".parse().unwrap();
//! assert_eq!(service.to_string(), "assist-llm");
//! assert_eq!(multiple.bound(4.0), 5);
//! ```

pub mod class;
pub mod id;
pub mod outcome;
pub mod rest;
pub mod revision;
pub mod time;
pub mod unit;

pub use class::Class;
pub use outcome::{Reason, Refusal};
pub use rest::Rest;
pub use revision::Revision;
pub use time::Moment;
