//! Stand-ins for what stairvale meets outside: the platform, a model engine and a plain service.
//!
//! Each runs as a process of its own and has a small fault switch under `/admin/`. They speak the published protocols as
//! far as stairvale uses them, and count what they ran, so that a test can ask how often a request ran.
//!
//! ```
//! use stairvale_standin::text;
//!
//! // An answer is a function of its request, so that a mixed, cut or doubled one shows.
//! assert_eq!(text::word("hello", 0), text::word("hello", 0));
//! assert_ne!(text::word("hello", 0), text::word("hello", 1));
//! ```

pub mod batch;
pub mod cache;
pub mod engine;
pub mod http;
pub mod platform;
pub mod runs;
pub mod service;
pub mod text;
