//! Splits a byte stream into server-sent events without changing their bytes.

use bytes::{Bytes, BytesMut};

/// Limits the size of an event; a longer one is a fault of the upstream.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// The line that marks the last event of a complete answer.
const END_MARKER: &[u8] = b"data: [DONE]";

/// An event's bytes with the fields that the relay needs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// The bytes as received, including the empty line that ends the event.
    pub bytes: Bytes,
    /// The value of the `id` field, if it is a number.
    pub id: Option<u64>,
    /// Whether this is the last event of a complete answer.
    pub done: bool,
}

/// An event exceeds the size limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Buffers pieces of a stream and splits them into events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
}

impl Splitter {
    /// Appends a piece of the stream.
    pub fn push(&mut self, piece: &[u8]) {
        self.buffer.extend_from_slice(piece);
    }

    /// Removes the next complete event from the buffer; `None` if there is none yet.
    ///
    /// # Errors
    /// [`EventTooLong`] if the buffer exceeds the limit and contains no end of an event.
    pub fn next_event(&mut self) -> Result<Option<Event>, EventTooLong> {
        let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") else {
            return if self.buffer.len() > MAX_EVENT_BYTES { Err(EventTooLong) } else { Ok(None) };
        };
        let bytes = self.buffer.split_to(end + 2).freeze();
        let mut lines = bytes.split(|byte| *byte == b'\n');
        let id = lines.clone().find_map(|line| line.strip_prefix(b"id: "));
        let id = id.and_then(|digits| std::str::from_utf8(digits).ok()?.trim().parse().ok());
        let done = lines.any(|line| line == END_MARKER);
        Ok(Some(Event { id, done, bytes }))
    }
}
