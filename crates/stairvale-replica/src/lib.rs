//! A router's copy of the store, with its revision and its age.
//!
//! A few routers read the store; the others receive updates from their peers. A [`View`] applies such updates in any
//! order and more than once, and its revision never goes back. It records when it was last known to be current, which
//! decides whether keys that may have been revoked are still accepted.
//!
//! ```
//! use stairvale_replica::View;
//! use stairvale_types::Moment;
//!
//! let view = View::default();
//! assert_eq!(view.age(Moment::from_millis(5)), None);
//! ```

pub mod item;
pub mod news;
pub mod restore;
pub mod view;
pub mod written;

pub use item::{Item, Router, State, Subject, Upstream, Value};
pub use news::StoreUpdate;
pub use stairvale_types::Revision;
pub use view::View;
