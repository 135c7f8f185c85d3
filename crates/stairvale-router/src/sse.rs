//! Server-sent events cut out of a byte stream, unchanged.

use bytes::{Bytes, BytesMut};

/// The largest event, in bytes; a longer one is a fault of the upstream.
const MAX_EVENT: usize = 1 << 20;
/// What the last event of a whole answer carries.
const DONE: &[u8] = b"data: [DONE]";

/// An event's bytes with what relaying needs to know of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// The bytes as they came, the empty line included.
    pub bytes: Bytes,
    /// Its `id`, if it is a number.
    pub id: Option<u64>,
    /// Whether the answer is whole with it.
    pub done: bool,
}

/// An event is longer than allowed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("an event is longer than {MAX_EVENT} bytes")]
pub struct Long;

/// Puts pieces together and takes events out.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
}

impl Splitter {
    /// Adds a piece of the stream.
    pub fn extend(&mut self, piece: &[u8]) {
        self.buffer.extend_from_slice(piece);
    }

    /// Takes the next whole event.
    ///
    /// # Errors
    /// [`Long`] if the event that begins here has no end within the limit.
    pub fn take(&mut self) -> Result<Option<Event>, Long> {
        let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") else {
            return if self.buffer.len() > MAX_EVENT { Err(Long) } else { Ok(None) };
        };
        let bytes = self.buffer.split_to(end + 2).freeze();
        let mut lines = bytes.split(|byte| *byte == b'\n');
        let id = lines.clone().find_map(|line| line.strip_prefix(b"id: "));
        let id = id.and_then(|digits| std::str::from_utf8(digits).ok()?.trim().parse().ok());
        let done = lines.any(|line| line == DONE);
        Ok(Some(Event { id, done, bytes }))
    }
}
