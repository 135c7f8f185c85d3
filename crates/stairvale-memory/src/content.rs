//! A body that was received completely.

use std::{
    convert::Infallible,
    io::{self, Read},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use crate::{reservation::Reservation, storage::Storage};

/// Bytes that are handed over at once when a body is sent. A connection that can't write several buffers at once copies
/// what it is handed.
const MAX_FRAME_BYTES: usize = 32 << 10;

/// The bytes of a body in the parts in which it is held. Clones share them. Their room is released when the last clone and
/// the last part that was handed out have been dropped.
#[derive(Clone, Debug, Default)]
pub struct Content {
    parts: Vec<Bytes>,
    len: usize,
}

/// A part of a body, which keeps the room of the whole body.
struct Part {
    storage: Storage,
    _reservation: Arc<Reservation>,
}

impl AsRef<[u8]> for Part {
    fn as_ref(&self) -> &[u8] {
        self.storage.as_ref()
    }
}

impl Content {
    pub(crate) fn new(parts: Vec<Storage>, reservation: Reservation) -> Self {
        let reservation = Arc::new(reservation);
        let len = parts.iter().map(|part| part.as_ref().len()).sum();
        let own = |storage| Bytes::from_owner(Part { storage, _reservation: reservation.clone() });
        Self { parts: parts.into_iter().map(own).collect(), len }
    }

    /// The number of bytes.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Whether there are no bytes.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The parts in order.
    #[must_use]
    pub fn parts(&self) -> &[Bytes] {
        &self.parts
    }

    /// Reads the bytes from the beginning.
    #[must_use]
    pub fn reader(&self) -> Reader<'_> {
        Reader { parts: &self.parts, offset: 0 }
    }

    /// Takes at most this many bytes from the beginning; `None` if there are none left.
    pub fn take(&mut self, max: usize) -> Option<Bytes> {
        while self.parts.first().is_some_and(Bytes::is_empty) {
            self.parts.remove(0);
        }
        let first = self.parts.first_mut()?;
        let taken = first.split_to(first.len().min(max));
        self.len -= taken.len();
        Some(taken)
    }
}

impl Body for Content {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.get_mut().take(MAX_FRAME_BYTES).map(|bytes| Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.len as u64)
    }
}

/// Reads the bytes of a [`Content`].
#[derive(Clone, Debug)]
pub struct Reader<'a> {
    parts: &'a [Bytes],
    /// The number of bytes of the first part that were read.
    offset: usize,
}

impl Read for Reader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        while let Some((first, others)) = self.parts.split_first() {
            let read = first[self.offset..].as_ref().read(buffer)?;
            if read > 0 || buffer.is_empty() {
                self.offset += read;
                return Ok(read);
            }
            (self.parts, self.offset) = (others, 0);
        }
        Ok(0)
    }
}
