//! Permits: an engine's home keeps its account, entries stream to the engine themselves.
//!
//! [`Home`] holds an [`Account`] for each engine that this router is the home of, and grants only under the bound.
//! [`Entry`] takes one request's attempt from engine to engine until it is granted or refused, renews what it holds,
//! and gives it back. Both are pure: time and messages are handed in, effects are handed out.
//!
//! ```
//! use std::time::Duration;
//! use stairvale_permit::{Home, Rules};
//!
//! let mut home = Home::new("r1".parse().unwrap());
//! home.adopt(Default::default(), "e1".parse().unwrap(), Rules::new("chat".parse().unwrap()), None);
//! assert_eq!(home.outstanding(&"e1".parse().unwrap()), Some(0));
//! ```

pub mod account;
mod asking;
mod decide;
pub mod entry;
pub mod home;
pub mod mean;
pub mod request;
pub mod rules;

pub use account::Account;
pub use entry::Entry;
pub use home::Home;
pub use mean::Mean;
pub use rules::Rules;
