//! Permits to use an engine: the engine's home owns its account, while the entry routers stream to the engine directly.
//!
//! [`Home`] holds an [`Account`] for each engine whose home is this router, and grants permits only below the load
//! bound. [`Entry`] requests permits for an attempt from one engine after the other until it is granted or refused. It
//! renews the permits that it holds and releases them at the end. Both are free of I/O: the caller passes in the time
//! and the messages, and carries out the returned effects.
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
