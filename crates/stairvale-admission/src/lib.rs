//! Admission control: the order in which requests are served, and which ones are refused and should retry later.
//!
//! [`queue`] has a bounded queue that serves classes in strict priority, ages waiting items, and shares service among
//! customers by weight. [`shares`] computes each customer's share of an upstream's slots, so that a burst of one
//! customer leaves room for others. [`limit`] enforces a customer's rate over the whole fleet. [`budget`] limits
//! retries to a share of successful requests. [`pace`] predicts queueing times.
//!
//! ```
//! use std::time::Duration;
//! use stairvale_admission::{Queue, queue::Item};
//! use stairvale_types::{Class, Moment};
//!
//! let mut queue = Queue::new(2);
//! let item = Item::new("job", "acme".parse().unwrap(), Class::Bulk, Moment::ZERO + Duration::from_secs(9));
//! assert!(queue.push(Moment::ZERO, item).is_ok());
//! assert_eq!(queue.pop(Moment::ZERO).unwrap().value, "job");
//! ```

pub mod budget;
pub mod limit;
pub mod pace;
pub mod queue;
pub mod shares;

pub use budget::RetryBudget;
pub use pace::HoldTime;
pub use queue::Queue;
pub use shares::Shares;
