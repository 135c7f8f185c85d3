//! Stand-ins for the external systems that stairvale works with: the platform, a model engine and a plain service.
//!
//! Each runs as a separate process and has endpoints under `/admin/` that inject faults. They implement the parts of the
//! published protocols that stairvale uses, and count how often each request ran, so that a test can query the counts.
//!
//! ```
//! use stairvale_standin::text;
//!
//! // An answer is a function of its request, so that a test detects mixed, truncated and duplicated answers.
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
