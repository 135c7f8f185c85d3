//! Bounds on what a connection may read.
//!
//! The HTTP library reads heads, interim heads and the framing of bodies for as long as they come. Bytes that belong to no
//! body could so occupy a thread that serves many connections. A [`Metered`] stream gives other tasks their turn after
//! some kilobytes, and fails once it has read too much that wasn't delivered as part of a body.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that one connection may read before other tasks have their turn: some tenths of a millisecond of parsing.
const MAX_TURN_BYTES: usize = 16 << 10;
/// Bytes of framing that are allowed for each byte of a body: chunks of a single byte take five.
const FRAMING_RATIO: u64 = 8;

/// A connection sent too many bytes that belong to no body.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("too many bytes that belong to no body")]
pub struct Excess;

impl Excess {
    /// Whether an error was caused by an [`Excess`].
    #[must_use]
    pub fn caused(error: &(dyn std::error::Error + 'static)) -> bool {
        let io_error = error.downcast_ref::<io::Error>();
        let is_excess =
            io_error.and_then(io::Error::get_ref).is_some_and(<dyn std::error::Error + Send + Sync>::is::<Self>);
        is_excess || error.source().is_some_and(Self::caused)
    }
}

/// What a connection has read, and how much of it was part of bodies. Clones count for the same connection.
#[derive(Clone, Debug)]
pub struct Meter {
    counts: Arc<Counts>,
    /// Bytes that may be read beyond bodies and their framing.
    limit: u64,
}

#[derive(Debug, Default)]
struct Counts {
    read: AtomicU64,
    delivered: AtomicU64,
}

impl Meter {
    /// A meter that allows this many bytes for heads and for what is read ahead of delivery.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { counts: Arc::default(), limit: limit as u64 }
    }

    /// Starts to count anew, with the next message.
    pub fn reset(&self) {
        self.counts.read.store(0, Ordering::Relaxed);
        self.counts.delivered.store(0, Ordering::Relaxed);
    }

    /// Records that a part of a body was delivered.
    pub fn deliver(&self, bytes: usize) {
        self.counts.delivered.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn read(&self, bytes: usize) -> Result<(), Excess> {
        let read = self.counts.read.fetch_add(bytes as u64, Ordering::Relaxed) + bytes as u64;
        let delivered = self.counts.delivered.load(Ordering::Relaxed);
        let allowed = self.limit.saturating_add(delivered.saturating_mul(1 + FRAMING_RATIO));
        if read > allowed { Err(Excess) } else { Ok(()) }
    }
}

/// A stream whose reads are bounded by a [`Meter`].
#[derive(Debug)]
pub struct Metered<S> {
    stream: S,
    meter: Meter,
    /// Bytes read since the last time that other tasks had their turn.
    turn: usize,
}

impl<S> Metered<S> {
    /// Bounds the reads of a stream.
    pub fn new(stream: S, meter: Meter) -> Self {
        Self { stream, meter, turn: 0 }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Metered<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.turn >= MAX_TURN_BYTES {
            self.turn = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        match polled {
            Poll::Ready(Ok(())) => {
                let bytes = buffer.filled().len() - before;
                self.turn += bytes;
                Poll::Ready(self.meter.read(bytes).map_err(io::Error::other))
            }
            Poll::Ready(Err(_)) => polled,
            Poll::Pending => {
                self.turn = 0;
                polled
            }
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Metered<S> {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
