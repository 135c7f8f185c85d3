//! Selection of the upstream that serves a request, at the home of its service.
//!
//! One router is the home of a service. Every entry router requests a permit from it before it sends a request to an
//! upstream, and reports the outcome. So the home's [`Pool`] records which requests each upstream runs, which tokens it
//! still has to prefill, which parts of prompts it holds and how its answers compare with those of the others, without
//! querying the upstreams. The [`budget`] module limits the retries of each entry router.
//!
//! The crate has no side effects: the current time and messages are passed in, answers are returned.
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
pub mod contents;
pub mod health;
pub mod member;
pub mod pool;
pub mod reading;
pub mod seen;
pub mod shares;
pub mod suspects;
pub mod weight;

pub use ask::{Answer, Ask, Held, Outcome, Part, Verdict};
pub use budget::RetryWindow;
pub use cache::Cache;
pub use contents::Contents;
pub use member::{Listing, Member};
pub use pool::Pool;
pub use reading::PrefillModel;
pub use seen::SentPrefixes;
pub use shares::Shares;
pub use suspects::Suspects;
pub use weight::Weight;
