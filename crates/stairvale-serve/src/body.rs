//! The body of a response to a client.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use tokio::sync::{OwnedSemaphorePermit, mpsc};

use crate::{meter::Meter, pending::PendingAnswer, upstream::Fault};

/// A response that was truncated: the client's connection is closed abruptly, so that the response doesn't look
/// complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the response was truncated")]
pub struct Truncated;

/// A part of a streamed body.
#[derive(Debug)]
pub enum Chunk {
    /// The next bytes, and what they take of the bytes that may be buffered, if these are limited.
    Data(Bytes, Option<OwnedSemaphorePermit>),
    /// The body is complete. Without this, a body whose sender was dropped is truncated.
    End,
}

/// A response body.
#[derive(Debug)]
pub struct Body {
    content: Content,
    /// The number of bytes that are still to be handed over, if the head states the body's length.
    remaining: Option<u64>,
    /// The answer that this body belongs to, until all of the body was handed over.
    pending: Option<PendingAnswer>,
}

/// The content of a body: complete, or streamed in chunks.
#[derive(Debug)]
enum Content {
    /// The complete body, until it is handed over.
    Complete(Option<Bytes>),
    /// The chunks of a streamed body.
    Chunks(mpsc::Receiver<Chunk>),
}

impl Body {
    /// Creates a complete body.
    #[must_use]
    pub fn complete(bytes: impl Into<Bytes>) -> Self {
        Self { content: Content::Complete(Some(bytes.into())), remaining: None, pending: None }
    }

    /// Creates a body that is streamed in chunks. `length` is the number of bytes that the head states, if any.
    #[must_use]
    pub const fn chunks(chunks: mpsc::Receiver<Chunk>, length: Option<u64>) -> Self {
        Self { content: Content::Chunks(chunks), remaining: length, pending: None }
    }

    /// Ends `pending` as soon as all of the body was handed over.
    pub fn hold(&mut self, pending: PendingAnswer) {
        if self.is_end_stream() {
            pending.end();
        } else {
            self.pending = Some(pending);
        }
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
        let body = self.get_mut();
        let chunk = match &mut body.content {
            Content::Complete(bytes) => bytes.take().filter(|bytes| !bytes.is_empty()).map(Ok),
            Content::Chunks(chunks) => match chunks.poll_recv(context) {
                Poll::Ready(Some(Chunk::Data(bytes, _))) => Some(Ok(bytes)),
                Poll::Ready(Some(Chunk::End)) => None,
                Poll::Ready(None) => Some(Err(Truncated)),
                Poll::Pending => return Poll::Pending,
            },
        };
        if let (Some(Ok(chunk)), Some(remaining)) = (&chunk, &mut body.remaining) {
            *remaining = remaining.saturating_sub(chunk.len() as u64);
        }
        // The relay logs why it truncated an answer.
        if (chunk.as_ref().is_none_or(Result::is_err) || body.is_end_stream())
            && let Some(pending) = body.pending.take()
        {
            pending.end();
        }
        Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Complete(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            // The HTTP library doesn't ask for what follows a body of a stated length.
            Content::Chunks(_) => self.remaining == Some(0),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Complete(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64)),
            Content::Chunks(_) => SizeHint::default(),
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
