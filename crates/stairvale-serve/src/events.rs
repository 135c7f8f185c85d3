//! Splits a stream of server-sent events (WHATWG HTML, section 9.2.6) into events.

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, header};

/// An event that is longer is passed on in parts, since it would otherwise occupy any amount of memory.
pub(crate) const MAX_EVENT_BYTES: usize = 1 << 20;

/// Whether a response with these headers is a stream of server-sent events. One that doesn't state its type counts as one.
#[must_use]
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let Some(value) = headers.get(header::CONTENT_TYPE) else {
        return true;
    };
    let media_type = value.to_str().unwrap_or_default().split(';').next().unwrap_or_default();
    media_type.trim().eq_ignore_ascii_case("text/event-stream")
}

/// Finds the ends of events in a stream that arrives in pieces. An empty line ends an event; a line ends with LF, CR or
/// both.
#[derive(Clone, Copy, Debug, Default)]
struct Scanner {
    /// Whether the last byte was a CR. An LF that follows belongs to the same end of a line.
    is_after_cr: bool,
    /// Whether the current line has begun.
    is_in_line: bool,
    /// Whether an event has begun that hasn't ended.
    is_in_event: bool,
    /// Number of events that ended.
    count: u64,
}

impl Scanner {
    /// Scans a piece and returns the length of its part up to the end of the last event that ends in it.
    fn scan(&mut self, piece: &[u8]) -> Option<usize> {
        let mut end = None;
        for (index, byte) in piece.iter().enumerate() {
            let completes_line_end = *byte == b'\n' && self.is_after_cr;
            self.is_after_cr = *byte == b'\r';
            if completes_line_end {
                if !self.is_in_event {
                    end = Some(index + 1);
                }
                continue;
            }
            if !matches!(byte, b'\n' | b'\r') {
                (self.is_in_line, self.is_in_event) = (true, true);
                continue;
            }
            if !self.is_in_line {
                self.count += u64::from(self.is_in_event);
                self.is_in_event = false;
                end = Some(index + 1);
            }
            self.is_in_line = false;
        }
        end
    }
}

/// Which parts of a stream are passed on.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Delivery {
    /// Complete events only, so that the stream can be resumed at another upstream.
    #[default]
    Complete,
    /// All bytes as they arrive.
    Immediate,
}

/// Passes a stream of server-sent events on. By default only complete events are passed on, and the id of the last one is
/// recorded.
#[derive(Clone, Debug, Default)]
pub struct Events {
    delivery: Delivery,
    scanner: Scanner,
    /// Bytes of an event that is not complete yet.
    partial: BytesMut,
    /// Id of the last complete event that carried one.
    last: Option<String>,
    /// Whether an event was passed on in parts, after which it isn't known where to resume.
    has_split: bool,
}

impl Events {
    /// Events whose bytes are passed on as they arrive, complete or not.
    #[must_use]
    pub fn immediate() -> Self {
        Self { delivery: Delivery::Immediate, ..Self::default() }
    }

    /// Adds a chunk and returns what is to be passed on now.
    pub fn pass_on(&mut self, chunk: Bytes) -> Bytes {
        match self.delivery {
            Delivery::Complete => self.take(&chunk),
            Delivery::Immediate => {
                self.scanner.scan(&chunk);
                chunk
            }
        }
    }

    /// Adds a chunk and returns the events that are complete now.
    pub fn take(&mut self, chunk: &[u8]) -> Bytes {
        let end = self.scanner.scan(chunk);
        let held = self.partial.len();
        self.partial.extend_from_slice(chunk);
        let Some(end) = end else {
            if self.partial.len() <= MAX_EVENT_BYTES {
                return Bytes::new();
            }
            self.has_split = true;
            return self.partial.split().freeze();
        };
        let complete = self.partial.split_to(held + end).freeze();
        let mut ids = complete.split(|byte| matches!(byte, b'\n' | b'\r')).filter_map(|line| line.strip_prefix(b"id:"));
        if let Some(id) = ids.next_back().and_then(|id| std::str::from_utf8(id).ok()) {
            self.last = Some(id.trim().to_owned());
        }
        complete
    }

    /// The id of the last complete event, after which the stream can be resumed; `None` if events aren't held back until they
    /// are complete, or if one was too long for that.
    #[must_use]
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref().filter(|_| !self.has_split)
    }

    /// The number of complete events.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.scanner.count
    }

    /// Whether an event has begun that isn't complete.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        self.scanner.is_in_event
    }

    /// The events of an upstream that resumes this stream after the last complete event. It sends an incomplete one again.
    #[must_use]
    pub fn resumed(&self) -> Self {
        Self {
            delivery: self.delivery,
            scanner: Scanner { count: self.scanner.count, ..Scanner::default() },
            partial: BytesMut::new(),
            last: self.last.clone(),
            has_split: self.has_split,
        }
    }
}
