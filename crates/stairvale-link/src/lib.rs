//! Streams of frames between the processes of one fleet.
//!
//! Each process opens one `h2` stream to every peer that it has something to say to, and frames go one way on it, coded
//! as `stairvale-wire`'s codec does. [`Links`] sends, [`listen()`] receives; both hand what happens to a [`Sink`].
//! [`watch_over`] gives any connection, these streams and others, a limit to its silence.
//! A frame that can't be sent is dropped, so what it says must be said again by something that repeats.
//!
//! ```
//! use stairvale_link::{Links, Sink};
//! use stairvale_types::id;
//!
//! #[derive(Clone)]
//! struct Ignore;
//! impl Sink<u32> for Ignore {
//!     fn frame(&self, _from: &id::Router, _frame: u32) {}
//!     fn broken(&self, _to: &id::Router) {}
//! }
//! let links: Links<u32, Ignore> = Links::new("r1".parse().unwrap(), Ignore);
//! assert_eq!(links.len(), 0);
//! ```

pub mod links;
pub mod listen;
pub mod silence;

pub use links::Links;
pub use listen::listen;
pub use silence::watch_over;

use stairvale_types::id;

/// Takes what links bring.
pub trait Sink<F>: Clone + Send + Sync + 'static {
    /// A peer sent a frame.
    fn frame(&self, from: &id::Router, frame: F);
    /// The stream to a peer couldn't be opened, or broke.
    fn broken(&self, to: &id::Router);
}

/// The header that names the sender.
pub(crate) const SENDER: &str = "stairvale-router";
/// The header with the protocol's version.
pub(crate) const VERSION: &str = "stairvale-version";
