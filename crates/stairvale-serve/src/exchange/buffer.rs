//! Reads what is held of an answer before any of it is passed on: all of a short one, or the beginning of a stream.

use bytes::{Bytes, BytesMut};
use hyper::body::Incoming;
use stairvale_memory::Reservation;

use crate::{
    Shared,
    body::next,
    events::{Events, MAX_EVENT_BYTES},
    framing::Framing,
    meter::Meter,
    upstream::Fault,
};

/// Longer responses are streamed through instead of being buffered until they are complete.
pub(super) const MAX_BUFFERED_BYTES: usize = 1 << 20;

/// An answer of at most this many bytes is held without a reservation of its own.
const MAX_SMALL_ANSWER_BYTES: usize = 16 << 10;

/// Reads the first part of a body: up to the first complete event, or the first chunk if the body isn't a stream of events.
/// Returns what is to be passed on.
pub(super) async fn read_first(
    body: &mut Incoming,
    meter: &Meter,
    framing: Framing,
    mut events: Option<&mut Events>,
) -> Result<Bytes, Fault> {
    let mut first = BytesMut::new();
    loop {
        let Some(chunk) = next(body, meter).await? else {
            let is_partial = events.is_some_and(|events| events.is_partial());
            // A close-delimited body that hasn't begun looks like one that was cut off.
            let is_broken = is_partial || framing == Framing::CloseDelimited && first.is_empty();
            return if is_broken { Err(Fault::Broken) } else { Ok(first.freeze()) };
        };
        let Some(events) = events.as_deref_mut() else {
            return Ok(chunk);
        };
        first.extend_from_slice(&events.pass_on(chunk));
        if events.count() > 0 || first.len() > MAX_EVENT_BYTES {
            return Ok(first.freeze());
        }
    }
}

/// A response body that was read into memory.
pub(super) enum Buffered {
    /// The whole body.
    Whole(Bytes),
    /// The body is longer than [`MAX_BUFFERED_BYTES`], or there is no room for all of it.
    Beginning(Bytes),
}

/// Reads a body into memory, or its beginning if it is too long for that.
pub(super) async fn read_buffered(shared: &Shared, body: &mut Incoming, meter: &Meter) -> Result<Buffered, Fault> {
    let (mut read, mut room) = (BytesMut::new(), None);
    while let Some(chunk) = next(body, meter).await? {
        let needed = read.len() + chunk.len();
        let has_room = needed <= read.capacity() || reserve(shared, &mut room, &mut read, needed);
        read.extend_from_slice(&chunk);
        if needed > MAX_BUFFERED_BYTES || !has_room {
            return Ok(Buffered::Beginning(hold(read, room)));
        }
    }
    Ok(Buffered::Whole(hold(read, room)))
}

/// Extends a buffer for this many bytes; `false` if there is no room for them. A small buffer belongs to the room of the
/// client's connection.
fn reserve(shared: &Shared, room: &mut Option<Reservation>, buffer: &mut BytesMut, needed: usize) -> bool {
    let capacity = needed.max(2 * buffer.capacity()).min(MAX_BUFFERED_BYTES).max(needed);
    if capacity > MAX_SMALL_ANSWER_BYTES {
        let now = shared.now();
        let reserved = match room {
            Some(room) => room.grow(now, capacity),
            None => shared.memory.answer(now, capacity).map(|reserved| *room = Some(reserved)),
        };
        if reserved.is_err() {
            return false;
        }
    }
    buffer.reserve(capacity - buffer.len());
    true
}

fn hold(buffer: BytesMut, room: Option<Reservation>) -> Bytes {
    let bytes = buffer.freeze();
    match room {
        Some(room) => room.hold(bytes),
        None => bytes,
    }
}
