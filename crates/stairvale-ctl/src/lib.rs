//! The operators' command line: submit a whole configuration, read back what is in force.
//!
//! ```
//! use stairvale_ctl::exit;
//!
//! // A script can tell what went wrong by the exit code alone.
//! assert_ne!(exit::CONFLICT, exit::UNREACHABLE);
//! ```

pub mod client;
pub mod command;
pub mod exit;
pub mod table;
