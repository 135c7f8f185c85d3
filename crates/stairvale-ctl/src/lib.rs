//! The operators' command-line client: it submits complete configurations and reads back the one in force.
//!
//! ```
//! use stairvale_ctl::exit;
//!
//! // Scripts can tell failures apart by the exit code alone.
//! assert_ne!(exit::CONFLICT, exit::UNREACHABLE);
//! ```

pub mod client;
pub mod command;
pub mod exit;
pub mod table;
