//! Placement of chats on engines by ranked lists that change as little as possible when engines join or leave.
//!
//! [`rank`] orders a service's engines for a chat by weighted rendezvous hashing, so that a join or a leave moves only
//! the chats of that engine. [`Exceptions`] records the few chats whose prefix is cached at another engine than their
//! first choice. [`choice::plan`] weighs waiting for a prefix against transferring it or prefilling it again.
//!
//! ```
//! use stairvale_placement::{Engine, rank};
//! use stairvale_types::id;
//!
//! let engines: Vec<Engine> = ["a", "b", "c"].iter().map(|n| Engine::new(n.parse().unwrap(), 1)).collect();
//! let ranked = rank(id::Chat(42).0, &engines);
//! assert_eq!(ranked.len(), 3);
//! ```

pub mod choice;
pub mod exceptions;
pub mod rendezvous;

pub use exceptions::Exceptions;
pub use rendezvous::{Engine, mix, pick, rank};
