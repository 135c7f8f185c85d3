//! The body of a response to a client.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming, SizeHint};
use tokio::sync::mpsc;

use crate::{meter::Meter, upstream::Fault};

/// A response that was truncated: the client's connection is closed abruptly, so that the response doesn't look
/// complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the response was truncated")]
pub struct Truncated;

/// A response body: complete, or streamed in chunks.
#[derive(Debug)]
pub enum Body {
    /// The complete body, until it is handed over.
    Complete(Option<Bytes>),
    /// The chunks of a streamed body.
    Chunks(mpsc::Receiver<Result<Bytes, Truncated>>),
}

impl Body {
    /// Creates a complete body.
    #[must_use]
    pub fn complete(bytes: impl Into<Bytes>) -> Self {
        Self::Complete(Some(bytes.into()))
    }
}

impl From<Infallible> for Truncated {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match self.get_mut() {
            Self::Complete(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Chunks(chunks) => chunks.poll_recv(context).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Complete(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Chunks(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64)),
            Self::Chunks(_) => SizeHint::default(),
        }
    }
}

/// The next non-empty chunk of a body, whose connection `meter` counts; `None` at its end.
///
/// # Errors
/// A [`Fault`] if the rest of the body didn't arrive.
pub async fn next(body: &mut Incoming, meter: &Meter) -> Result<Option<Bytes>, Fault> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Fault::of(&error))?;
        if let Ok(chunk) = frame.into_data()
            && !chunk.is_empty()
        {
            meter.deliver(chunk.len());
            return Ok(Some(chunk));
        }
    }
    Ok(None)
}
