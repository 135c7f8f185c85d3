//! The body of an answer to a caller.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming, SizeHint};
use tokio::sync::mpsc;

use crate::upstream::Fault;

/// An answer that broke off: the caller's connection is cut, so that it doesn't look whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the answer broke off")]
pub struct Broken;

/// A body that is there, or one that comes piece by piece.
#[derive(Debug)]
pub enum Body {
    /// The whole of it, until it is handed over.
    Whole(Option<Bytes>),
    /// Its pieces.
    Pieces(mpsc::Receiver<Result<Bytes, Broken>>),
}

impl Body {
    /// A whole body.
    #[must_use]
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }
}

impl From<Infallible> for Broken {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match self.get_mut() {
            Self::Whole(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Pieces(pieces) => pieces.poll_recv(context).map(|piece| piece.map(|piece| piece.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Pieces(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64)),
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}

/// The next piece of a body that isn't empty; `None` at its end.
///
/// # Errors
/// A [`Fault`] if it didn't come whole.
pub async fn next(body: &mut Incoming) -> Result<Option<Bytes>, Fault> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Fault::of(&error))?;
        if let Ok(piece) = frame.into_data()
            && !piece.is_empty()
        {
            return Ok(Some(piece));
        }
    }
    Ok(None)
}
