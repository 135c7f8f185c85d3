//! A client of the platform's key-value service: compare-and-swap, leases, watches, and its list of VMs.
//!
//! Every call has a timeout. A call that may have taken effect although no answer arrived fails with [`Error::Lost`];
//! one that certainly had no effect fails with [`Error::Refused`].
//!
//! ```
//! let client = stairvale_store::Client::new("http://127.0.0.1:9000".parse().unwrap(), stairvale_clock::Clock::start());
//! assert_eq!(client.sent_bytes(), 0);
//! ```

pub mod client;
pub mod error;
pub mod protocol;

pub use client::{Client, Swap};
pub use error::Error;
