//! The body of an answer to a caller: whole, or streamed by a task.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use tokio::sync::mpsc;

/// The stream broke: the caller must not take what came for a whole answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the upstream's answer broke off")]
pub struct Broken;

/// A body. Two kinds only, so no boxed trait object is needed on the request path.
#[derive(Debug)]
pub enum Body {
    /// All of it.
    Whole(Option<Bytes>),
    /// Pieces as they come; the sender hangs up at the end.
    Stream(mpsc::Receiver<Result<Bytes, Broken>>),
}

impl Body {
    /// A whole body.
    #[must_use]
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// No body.
    #[must_use]
    pub const fn empty() -> Self {
        Self::Whole(None)
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(pieces) => pieces.poll_recv(context).map(|piece| piece.map(|piece| piece.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64)),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
