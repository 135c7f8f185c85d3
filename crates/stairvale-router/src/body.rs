//! The body of a response to a caller: complete, or streamed by a task.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use tokio::sync::mpsc;

/// The stream was interrupted. The error aborts the response, so that the caller can't mistake the received part for a
/// complete answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the upstream's answer broke off")]
pub struct Interrupted;

/// The body of a response. An enum of its two kinds avoids a boxed trait object on the request path.
#[derive(Debug)]
pub enum Body {
    /// The complete body in one piece; `None` if it is empty or has been sent.
    Complete(Option<Bytes>),
    /// Pieces from a channel; the body ends when the sender is dropped.
    Stream(mpsc::Receiver<Result<Bytes, Interrupted>>),
}

impl Body {
    /// A body that is sent in one piece.
    #[must_use]
    pub fn complete(bytes: impl Into<Bytes>) -> Self {
        Self::Complete(Some(bytes.into()))
    }

    /// An empty body.
    #[must_use]
    pub const fn empty() -> Self {
        Self::Complete(None)
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Interrupted;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Interrupted>>> {
        match self.get_mut() {
            Self::Complete(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(pieces) => pieces.poll_recv(context).map(|piece| piece.map(|piece| piece.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64)),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
