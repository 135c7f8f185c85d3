//! The clock of a router process, which includes the time that its VM is suspended.
//!
//! A VM may be suspended for seconds. The monotonic clock of the system (`CLOCK_MONOTONIC`, Rust's `Instant`) stops
//! meanwhile, and so do the runtime's timers: after a suspension a copy of the configuration would look as fresh as
//! before, and the router would wait for an answer beyond the request's deadline. [`Clock`] includes the time of
//! suspensions, and its waits with a deadline respect it.
//!
//! ```
//! let clock = stairvale_clock::Clock::start();
//! let before = clock.now();
//! clock.suspend(std::time::Duration::from_secs(3));
//! assert!(clock.now().since(before).as_secs() >= 3);
//! ```

mod clock;

pub use clock::{Clock, DeadlinePassed};
