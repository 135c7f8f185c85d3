//! Streams of frames between the processes of one fleet.
//!
//! Each process opens one `h2` stream to every peer that it sends frames to. A stream carries frames in one direction,
//! encoded by `stairvale_wire::codec`. [`Links`] sends, [`listen()`] receives; both report to a [`Sink`].
//! [`set_liveness_timeouts`] sets the time-outs after which an unresponsive TCP connection is closed; it also serves connections
//! other than these streams.
//! A frame that can't be sent is dropped, so the sender's protocol has to repeat whatever must arrive.
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
pub use silence::{set_liveness_timeouts, set_receive_buffer};

use bytes::Bytes;
use h2::{RecvStream, server::SendResponse};
use http::{Request, Response, StatusCode};
use stairvale_types::id;

/// Receives the frames and the stream failures of a process's links.
pub trait Sink<F>: Clone + Send + Sync + 'static {
    /// Called for each frame received from a peer, in the order of its stream.
    fn frame(&self, from: &id::Router, frame: F);
    /// Called when the stream to a peer couldn't be opened, or failed after it was open.
    fn broken(&self, to: &id::Router);
    /// Called when a stream to a peer was opened. `minor` is the peer's [`stairvale_wire::MINOR_VERSION`], 0 if it
    /// states none.
    fn opened(&self, to: &id::Router, minor: u16) {
        let _ = (to, minor);
    }
    /// Called for a peer's `CONNECT` request. It is rejected unless the sink answers it.
    fn tunnel(&self, request: Request<RecvStream>, mut respond: SendResponse<Bytes>) {
        let mut response = Response::new(());
        *response.status_mut() = StatusCode::NOT_IMPLEMENTED;
        // The peer may have closed the connection.
        let _ = (request, respond.send_response(response, true));
    }
}

/// The request header that carries the sending router's name.
pub(crate) const SENDER_HEADER: &str = "stairvale-router";
/// The request header that carries the sender's [`stairvale_wire::VERSION`].
pub(crate) const VERSION_HEADER: &str = "stairvale-version";
/// The response header that carries the receiver's [`stairvale_wire::MINOR_VERSION`].
pub(crate) const MINOR_VERSION_HEADER: &str = "stairvale-minor-version";
