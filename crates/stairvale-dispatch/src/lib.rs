//! Which upstream of a service serves a request, decided at the service's home.
//!
//! One router is the home of a service; every entry asks it before it sends a request, and tells it what became of it. So
//! the home's [`Pool`] knows what each upstream runs, what it still has to read, which parts of prompts it holds and how
//! its answers compare with the others', without asking the upstreams. [`Window`] is the entry's share of the retry budget.
//!
//! All of it is pure: time and messages are handed in, answers are handed out.
//!
//! ```
//! use stairvale_dispatch::{Pool, pool::Rules};
//! use stairvale_types::Moment;
//!
//! let mut pool = Pool::new(Rules::default());
//! assert!(pool.tick(Moment::ZERO).is_empty());
//! ```

pub mod ask;
pub mod budget;
pub mod cache;
pub mod health;
pub mod member;
pub mod pool;
pub mod reading;
pub mod seen;
pub mod shares;
pub mod suspects;
pub mod weight;

pub use ask::{Answer, Ask, Held, Outcome, Part, Verdict};
pub use budget::Window;
pub use cache::Cache;
pub use member::{Listing, Member};
pub use pool::Pool;
pub use reading::Reading;
pub use seen::Seen;
pub use shares::Shares;
pub use suspects::Suspects;
pub use weight::Weight;
