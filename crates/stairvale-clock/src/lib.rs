//! The clock of a router's process, which goes on while its VM is suspended.
//!
//! A VM may be suspended for seconds. The steady clock of the system (`CLOCK_MONOTONIC`, Rust's `Instant`) stands still meanwhile,
//! and so do the runtime's timers: a copy of the configuration would look as fresh afterwards as before, and a request would be
//! waited for beyond its deadline. [`Clock`] counts that time, and [`Clock::before`] ends a wait by it.
//!
//! ```
//! let clock = stairvale_clock::Clock::start();
//! let before = clock.now();
//! clock.suspend(std::time::Duration::from_secs(3));
//! assert!(clock.now().since(before).as_secs() >= 3);
//! ```

mod clock;

pub use clock::{Clock, Late};
