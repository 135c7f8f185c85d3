//! Relays a stream from an upstream to the client, and resumes it at another upstream where the route allows that.

use std::{
    pin::pin,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use http::{Response, header};
use stairvale_dispatch::Outcome;
use stairvale_memory::Reservation;
use stairvale_table as table;
use stairvale_types::id;
use tokio::sync::{Semaphore, TryAcquireError, mpsc};

use crate::{
    Dialect, Shared,
    body::{Body, Chunk, next},
    events::Events,
    exchange::{Exchange, UpstreamResponse, millis},
    framing::Framing,
    hop::strip,
    traffic::Kind,
    upstream::Fault,
};

mod resumption;

use resumption::Resumption;

/// Chunks that are buffered for a client; one that reads more slowly applies back-pressure to the upstream.
const MAX_BUFFERED_CHUNKS: usize = 32;
/// Bytes that these chunks may have in any case, which belong to the request's room.
const MIN_BUFFERED_BYTES: usize = 32 << 10;
/// Bytes that these chunks may have if there is room for them in the process's memory.
const MAX_BUFFERED_BYTES: usize = 128 << 10;
/// Another upstream is sought for a resumable stream after a stall of this many times the route's target pause between
/// events.
const STALL_TIMEOUT_PAUSES: u32 = 3;
/// Lower bound of the stall after which another upstream is sought for a resumable stream.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Returns the response head for the client and spawns a task that relays the body, beginning with `first`. `events` has
/// taken `first` already; `None` if the body isn't a stream of events.
pub fn start<D: Dialect>(
    exchange: Exchange<D>,
    reply: UpstreamResponse,
    events: Option<Events>,
    first: Bytes,
) -> Response<Body> {
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS + 1);
    let end_permit = sender.clone().try_reserve_owned().ok();
    let mut head = reply.head.clone();
    strip(&mut head.headers);
    if exchange.route.kind == table::Kind::Stream {
        head.headers.remove(header::CONTENT_LENGTH);
    }
    let length = head.headers.get(header::CONTENT_LENGTH).and_then(|length| length.to_str().ok()?.parse().ok());
    let may_race = exchange.route.is_repeatable();
    let buffer = Buffer::new();
    let relay = Relay { exchange, sender, buffer, end_permit, events, may_race };
    // Counted before the request's own count ends, so that a stopping process never regards the stream as finished.
    relay.exchange.shared.metrics.in_flight.fetch_add(1, Ordering::Relaxed);
    let source = Source { reply, has_begun: !first.is_empty() };
    tokio::spawn(relay.run(source, first));
    Response::from_parts(head, Body::chunks(receiver, length))
}

/// The task that relays one stream.
struct Relay<D> {
    exchange: Exchange<D>,
    sender: mpsc::Sender<Chunk>,
    /// The bytes that may still be buffered for the client.
    buffer: Buffer,
    /// The place in the channel for the end of the body, reserved so that a client that reads slowly doesn't delay the relay.
    end_permit: Option<mpsc::OwnedPermit<Chunk>>,
    /// The events of the stream; `None` if the body isn't a stream of events.
    events: Option<Events>,
    /// Whether another upstream may be sought while the present one may still go on.
    may_race: bool,
}

/// The bytes that may still be buffered for a client. A client that reads makes room for the next bytes itself, so an answer
/// goes on also while the process has no memory left.
struct Buffer {
    free: Arc<Semaphore>,
    /// The room beyond [`MIN_BUFFERED_BYTES`], which is reserved when it is needed for the first time.
    more: Option<Reservation>,
}

impl Buffer {
    fn new() -> Self {
        Self { free: Arc::new(Semaphore::new(MIN_BUFFERED_BYTES)), more: None }
    }

    const fn capacity(&self) -> usize {
        if self.more.is_some() { MAX_BUFFERED_BYTES } else { MIN_BUFFERED_BYTES }
    }

    /// The number of permits for a chunk. One that is larger than the buffer gets all of it.
    fn permits(&self, bytes: usize) -> u32 {
        u32::try_from(bytes.min(self.capacity())).unwrap_or(u32::MAX)
    }

    /// Reserves the room beyond [`MIN_BUFFERED_BYTES`] if there is some.
    fn extend(&mut self, shared: &Shared) {
        let more = MAX_BUFFERED_BYTES - MIN_BUFFERED_BYTES;
        if self.more.is_none()
            && let Ok(room) = shared.memory.answer(shared.now(), more)
        {
            self.more = Some(room);
            self.free.add_permits(more);
        }
    }
}

/// The upstream whose part of the stream is forwarded.
struct Source {
    reply: UpstreamResponse,
    /// Whether any of its body arrived.
    has_begun: bool,
}

/// Why an upstream's part of the stream ended. The names are printed in the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// The stream is complete.
    Whole,
    /// The connection broke, or the stream ended within an event.
    Broken,
    /// The upstream terminated.
    Ended,
    /// The upstream acknowledged nothing, or stalled and another one resumed the stream.
    Silent,
    /// The request's deadline passed.
    Late,
    /// The client disconnected or stopped reading.
    Left,
}

impl End {
    /// Whether another upstream may resume the stream.
    const fn is_interruption(self) -> bool {
        matches!(self, Self::Broken | Self::Ended | Self::Silent)
    }

    /// The label of answers that were cut for this reason in counters.
    const fn cut_label(self) -> &'static str {
        match self {
            Self::Whole | Self::Left => "not-cut",
            Self::Broken => "cut-broken",
            Self::Ended => "cut-ended",
            Self::Silent => "cut-silent",
            Self::Late => "cut-late",
        }
    }
}

impl From<Fault> for End {
    fn from(fault: Fault) -> Self {
        match fault {
            Fault::Unresponsive => Self::Silent,
            Fault::Terminated => Self::Ended,
            Fault::Broken | Fault::Unreachable | Fault::NoPath | Fault::Unsent => Self::Broken,
        }
    }
}

/// What a part of the stream came to.
enum Part {
    /// It ended.
    Ended(End),
    /// The upstream has sent nothing for a while.
    Stalled,
}

/// What came first after an upstream had stalled.
enum Race {
    /// The upstream went on with these events.
    Continued(Bytes),
    /// Another upstream resumed the stream. The stalled one's part ended for this reason.
    Resumed(Box<Resumption>, End),
    /// The part of the upstream that had stalled ended, and no other upstream resumed the stream.
    Ended(End),
    /// No other upstream was found, and the one that stalled may still go on.
    NoOther,
}

impl<D: Dialect> Relay<D> {
    async fn run(mut self, mut source: Source, first: Bytes) {
        let in_flight = self.exchange.shared.clone();
        let mut events = first;
        let end = loop {
            let end = match self.forward_all(&mut source, std::mem::take(&mut events)).await {
                Part::Ended(end) => end,
                Part::Stalled => match self.race(&mut source).await {
                    Race::Continued(next) => {
                        events = next;
                        continue;
                    }
                    Race::Resumed(resumption, end) => {
                        let stalled = std::mem::replace(&mut source, self.take_over(*resumption, &mut events));
                        self.settle(stalled, end).await;
                        continue;
                    }
                    Race::NoOther => continue,
                    Race::Ended(end) => end,
                },
            };
            self.settle(source, end).await;
            if !end.is_interruption() || self.last_event().is_none() {
                break end;
            }
            match self.resume(end).await {
                Ok(resumption) => source = self.take_over(resumption, &mut events),
                Err(end) => break end,
            }
        };
        match end {
            End::Whole => {
                if let Some(permit) = self.end_permit.take() {
                    permit.send(Chunk::End);
                }
            }
            End::Left => {}
            End::Broken | End::Ended | End::Silent | End::Late => self.log_cut(end),
        }
        in_flight.metrics.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Releases an upstream whose part of the stream ended. An unfinished answer's connection is closed, which cancels
    /// the upstream's work.
    async fn settle(&mut self, source: Source, end: End) {
        self.log(&source.reply, end);
        let UpstreamResponse { head, connection, permit, .. } = source.reply;
        if end.is_interruption() {
            self.exchange.avoid(&permit.upstream.id);
        }
        match end {
            End::Whole => {
                permit.end(Outcome::Served);
                self.exchange.shared.upstreams.release(connection, &head.headers);
            }
            End::Broken => self.exchange.connection_broke(permit).await,
            End::Ended => self.exchange.upstream_terminated(permit),
            End::Silent => permit.end(self.exchange.outcome_of(Outcome::Silent)),
            End::Late | End::Left => permit.end(Outcome::Abandoned),
        }
    }

    /// Goes on with another upstream, whose first events are to be forwarded next.
    fn take_over(&mut self, resumption: Resumption, events: &mut Bytes) -> Source {
        self.exchange.shared.metrics.count("stream-resumed");
        let Resumption { reply, events: new, first } = resumption;
        let has_begun = !first.is_empty();
        (*events, self.events) = (first, Some(new));
        Source { reply, has_begun }
    }

    /// Seeks another upstream while the one that stalled may go on; what comes first decides. The other one's work is
    /// cancelled then.
    async fn race(&mut self, stalled: &mut Source) -> Race {
        self.exchange.shared.metrics.count("stream-stalled");
        if let Err(refusal) = self.exchange.try_start_retry() {
            self.may_race &= !refusal.is_final();
            self.log_unresumed(refusal.as_str());
            return Race::NoOther;
        }
        self.exchange.avoid(&stalled.reply.permit.upstream.id);
        let Some(events) = self.events.as_mut() else {
            return Race::NoOther;
        };
        let (shared, deadline, sender) = (self.exchange.shared.clone(), self.exchange.deadline, &self.sender);
        let UpstreamResponse { body, connection, permit, .. } = &mut stalled.reply;
        let mut end = None;
        let race = async {
            let mut seeking =
                pin!(Resumption::seek(&mut self.exchange, events.last().map(str::to_owned), events.resumed()));
            loop {
                tokio::select! {
                    biased;
                    chunk = next(body, connection.meter()), if end.is_none() => match chunk {
                        Ok(Some(chunk)) => {
                            shared.count_traffic(Kind::Answer, permit, chunk.len());
                            let complete = events.pass_on(chunk);
                            if !complete.is_empty() {
                                return Ok(Race::Continued(complete));
                            }
                        }
                        Ok(None) if events.is_partial() => end = Some(End::Broken),
                        // `forward_all` finds out whether the close of the connection ends the stream.
                        Ok(None) => return Ok(Race::Continued(Bytes::new())),
                        Err(fault) => end = Some(End::from(fault)),
                    },
                    found = &mut seeking => return match found {
                        Ok(resumption) => Ok(Race::Resumed(Box::new(resumption), end.unwrap_or(End::Silent))),
                        Err(reason) => Err(reason),
                    },
                    () = sender.closed() => return Ok(Race::Ended(End::Left)),
                    () = permit.upstream_replaced(), if end.is_none() => end = Some(End::Ended),
                }
            }
        };
        let winner = shared.clock.with_deadline(deadline, race).await;
        self.exchange.cancel_attempt();
        match winner {
            Ok(Ok(race)) => race,
            Ok(Err(reason)) => {
                self.log_unresumed(reason);
                end.map_or(Race::NoOther, Race::Ended)
            }
            Err(_) => Race::Ended(End::Late),
        }
    }

    /// Requests the events after the last complete one from another upstream. `end` is how the last upstream's part ended.
    ///
    /// The error is how the stream ends if no other upstream resumes it.
    async fn resume(&mut self, end: End) -> Result<Resumption, End> {
        if let Err(refusal) = self.exchange.try_start_retry() {
            self.log_unresumed(refusal.as_str());
            return Err(end);
        }
        let events = self.events.as_ref().ok_or(end)?;
        let seeking = Resumption::seek(&mut self.exchange, events.last().map(str::to_owned), events.resumed());
        let found = tokio::select! {
            found = seeking => found,
            () = self.sender.closed() => return Err(End::Left),
        };
        found.map_err(|reason| {
            self.log_unresumed(reason);
            end
        })
    }

    /// The id of the last complete event; `None` if the stream can't be resumed after it.
    fn last_event(&self) -> Option<&str> {
        self.events.as_ref()?.last()
    }

    /// Forwards one upstream's part of the stream until it ends or stalls. `first` was passed to [`Self::events`] already.
    async fn forward_all(&mut self, source: &mut Source, first: Bytes) -> Part {
        if !first.is_empty() {
            source.has_begun = true;
            if !self.send(first).await {
                return Part::Ended(End::Left);
            }
        }
        let reply = &mut source.reply;
        loop {
            let left = self.exchange.time_left();
            if left.is_zero() {
                return Part::Ended(End::Late);
            }
            let stall = self.stall_timeout();
            let clock = &self.exchange.shared.clock;
            let chunk = tokio::select! {
                chunk = clock.with_deadline(clock.now() + left.min(stall), next(&mut reply.body, reply.connection.meter())) => chunk,
                () = self.sender.closed() => return Part::Ended(End::Left),
                () = reply.permit.upstream_replaced() => return Part::Ended(End::Ended),
            };
            let Ok(chunk) = chunk else {
                return if stall < left { Part::Stalled } else { Part::Ended(End::Late) };
            };
            match chunk {
                Ok(Some(chunk)) => {
                    if !source.has_begun {
                        source.has_begun = true;
                        reply.permit.begun();
                    }
                    self.exchange.shared.count_traffic(Kind::Answer, &reply.permit, chunk.len());
                    if !self.forward(chunk).await {
                        return Part::Ended(End::Left);
                    }
                }
                Ok(None) => {
                    let end = tokio::select! {
                        end = self.end_of(reply, source.has_begun) => end,
                        () = self.sender.closed() => End::Left,
                        () = reply.permit.upstream_replaced() => End::Ended,
                    };
                    return Part::Ended(end);
                }
                Err(fault) => return Part::Ended(End::from(fault)),
            }
        }
    }

    /// What the end of an upstream's body means. `begun` tells whether any of the body arrived.
    async fn end_of(&self, reply: &UpstreamResponse, begun: bool) -> End {
        if self.events.as_ref().is_some_and(Events::is_partial) {
            return End::Broken;
        }
        match reply.framing {
            Framing::Stated => End::Whole,
            Framing::CloseDelimited if !begun => End::Broken,
            Framing::CloseDelimited => {
                self.exchange.check_end(&reply.permit, &reply.connection).await.map_or_else(End::from, |()| End::Whole)
            }
        }
    }

    /// How long the upstream may send nothing before another one is sought.
    fn stall_timeout(&self) -> Duration {
        match self.exchange.route.pause {
            Some(pause) if self.may_race && self.last_event().is_some() => {
                (pause * STALL_TIMEOUT_PAUSES).max(MIN_STALL_TIMEOUT)
            }
            Some(_) | None => Duration::MAX,
        }
    }

    /// Adds a chunk of the upstream's and sends the client what is to be passed on; returns `false` if the client has
    /// disconnected.
    async fn forward(&mut self, chunk: Bytes) -> bool {
        let chunk = match &mut self.events {
            Some(events) => events.pass_on(chunk),
            None => chunk,
        };
        chunk.is_empty() || self.send(chunk).await
    }

    /// Sends bytes to the client; returns `false` if the client has disconnected.
    async fn send(&mut self, chunk: Bytes) -> bool {
        // A client that reads nothing until the request's deadline counts as disconnected.
        let (shared, deadline) = (self.exchange.shared.clone(), self.exchange.deadline);
        let sent = shared.clock.with_deadline(deadline, self.buffer_chunk(chunk)).await;
        sent.is_ok_and(|sent| sent.is_some())
    }

    /// Waits until there is room for a chunk and buffers it; `None` if the client has disconnected.
    async fn buffer_chunk(&mut self, chunk: Bytes) -> Option<()> {
        let free = self.buffer.free.clone();
        let reserved = match free.clone().try_acquire_many_owned(self.buffer.permits(chunk.len())) {
            Ok(reserved) => reserved,
            Err(TryAcquireError::Closed) => return None,
            Err(TryAcquireError::NoPermits) => {
                self.buffer.extend(&self.exchange.shared);
                free.acquire_many_owned(self.buffer.permits(chunk.len())).await.ok()?
            }
        };
        self.sender.send(Chunk::Data(chunk, Some(reserved))).await.ok()
    }

    fn log(&self, reply: &UpstreamResponse, end: End) {
        let exchange = &self.exchange;
        let version = reply.permit.upstream.version.as_ref().map(id::Version::as_str);
        let (last_event, resumes) = (exchange.head.last_event.as_deref(), exchange.head.resumes.as_deref());
        tracing::info!(
            id = exchange.head.id, route = exchange.route.name, upstream = %reply.permit.upstream.id,
            read = reply.permit.read, ms = millis(exchange.elapsed()), end = ?end, framing = %reply.framing,
            events = self.events.as_ref().map(Events::count),
            inside_event = self.events.as_ref().is_some_and(Events::is_partial), version, last_event, resumes, "streamed"
        );
    }

    fn log_unresumed(&self, reason: &str) {
        self.exchange.shared.metrics.count("stream-not-resumed");
        tracing::info!(
            id = self.exchange.head.id,
            route = self.exchange.route.name,
            reason,
            tries = self.exchange.runs(),
            "a stream was not resumed"
        );
    }

    fn log_cut(&self, end: End) {
        let exchange = &self.exchange;
        exchange.shared.metrics.count("stream-cut");
        exchange.shared.metrics.count(end.cut_label());
        tracing::info!(
            id = exchange.head.id, route = exchange.route.name, reason = ?end,
            events = self.events.as_ref().map(Events::count), ms = millis(exchange.elapsed()),
            left_ms = millis(exchange.time_left()), "a client's answer was cut"
        );
    }
}
