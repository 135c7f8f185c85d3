//! Relays a stream from an upstream to the client, and resumes it at another upstream where the route allows that.

use std::{sync::atomic::Ordering, time::Duration};

use bytes::Bytes;
use http::{Response, header};
use stairvale_dispatch::Outcome;
use stairvale_table as table;
use stairvale_types::id;
use tokio::sync::mpsc;

use crate::{
    Dialect,
    body::{Body, Truncated, next},
    events::Events,
    exchange::{Exchange, UpstreamResponse, millis},
    framing::Framing,
    hop::strip,
    traffic::Kind,
    upstream::Fault,
};

/// Chunks that are buffered for a client; one that reads more slowly applies back-pressure to the upstream.
const MAX_BUFFERED_CHUNKS: usize = 32;
/// A resumable stream is resumed elsewhere after a stall of this many times the route's target pause between events.
const STALL_TIMEOUT_PAUSES: u32 = 3;
/// Lower bound of the stall after which a resumable stream is resumed elsewhere.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Returns the response head for the client and spawns a task that relays the body, beginning with `first`. `events` has
/// taken `first` already; `None` if the body isn't a stream of events.
pub fn start<D: Dialect>(
    exchange: Exchange<D>,
    reply: UpstreamResponse,
    events: Option<Events>,
    first: Bytes,
) -> Response<Body> {
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    let mut head = reply.head.clone();
    strip(&mut head.headers);
    if exchange.route.kind == table::Kind::Stream {
        head.headers.remove(header::CONTENT_LENGTH);
    }
    let length = head.headers.get(header::CONTENT_LENGTH).and_then(|length| length.to_str().ok()?.parse().ok());
    let relay = Relay { exchange, sender, events };
    // Counted before the request's own count ends, so that a stopping process never regards the stream as finished.
    relay.exchange.shared.metrics.in_flight.fetch_add(1, Ordering::Relaxed);
    tokio::spawn(relay.run(reply, first));
    Response::from_parts(head, Body::chunks(receiver, length))
}

/// The task that relays one stream.
struct Relay<D> {
    exchange: Exchange<D>,
    sender: mpsc::Sender<Result<Bytes, Truncated>>,
    /// The events of the stream; `None` if the body isn't a stream of events.
    events: Option<Events>,
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
    /// The upstream stalled or acknowledged nothing.
    Silent,
    /// The request's deadline passed.
    Late,
    /// The client disconnected or stopped reading.
    Left,
}

impl End {
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

impl<D: Dialect> Relay<D> {
    async fn run(mut self, reply: UpstreamResponse, first: Bytes) {
        let in_flight = self.exchange.shared.clone();
        let mut reply = reply;
        let mut first = first;
        let end = loop {
            let end = self.forward_all(&mut reply, std::mem::take(&mut first)).await;
            self.log(&reply, end);
            let UpstreamResponse { head, connection, permit, .. } = reply;
            let upstream = permit.upstream.id.clone();
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
            if !matches!(end, End::Broken | End::Ended | End::Silent) || self.last_event().is_none() {
                break end;
            }
            self.exchange.avoid(&upstream);
            match self.resume().await {
                Some(next) => reply = next,
                None => break end,
            }
        };
        if !matches!(end, End::Whole | End::Left) {
            self.exchange.shared.metrics.count("stream-cut");
            self.exchange.shared.metrics.count(end.cut_label());
            tracing::info!(
                id = self.exchange.head.id, route = self.exchange.route.name, reason = ?end,
                events = self.events.as_ref().map(Events::count), ms = millis(self.exchange.elapsed()),
                left_ms = millis(self.exchange.time_left()), "a client's answer was cut"
            );
            // If the client has disconnected, the failed send doesn't matter.
            let _ = self.sender.send(Err(Truncated)).await;
        }
        in_flight.metrics.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Requests the events after the last complete one from another upstream.
    async fn resume(&mut self) -> Option<UpstreamResponse> {
        if let Some(refusal) = self.exchange.try_start_retry().err() {
            self.log_unresumed(refusal.as_str());
            return None;
        }
        let events = self.events.as_mut()?;
        events.discard_partial();
        let last = events.last()?.to_owned();
        let reply = tokio::select! {
            reply = self.exchange.dispatch(Some(&last)) => reply,
            () = self.sender.closed() => return None,
        };
        match reply {
            Ok(reply) if reply.head.status.is_success() => {
                self.exchange.shared.metrics.count("stream-resumed");
                Some(reply)
            }
            Ok(_) => {
                self.log_unresumed("the upstream failed");
                None
            }
            Err(problem) => {
                self.log_unresumed(problem.label());
                None
            }
        }
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

    /// The id of the last complete event; `None` if the stream can't be resumed after it.
    fn last_event(&self) -> Option<&str> {
        self.events.as_ref()?.last()
    }

    /// Forwards one upstream's part of the stream until it ends. `first` was passed to [`Self::events`] already.
    async fn forward_all(&mut self, reply: &mut UpstreamResponse, first: Bytes) -> End {
        let mut begun = !first.is_empty();
        if begun && !self.send(first).await {
            return End::Left;
        }
        loop {
            let left = self.exchange.time_left();
            if left.is_zero() {
                return End::Late;
            }
            let stall = self.stall_timeout();
            let clock = &self.exchange.shared.clock;
            let chunk = tokio::select! {
                chunk = clock.with_deadline(clock.now() + left.min(stall), next(&mut reply.body, reply.connection.meter())) => chunk,
                () = self.sender.closed() => return End::Left,
                () = reply.permit.upstream_replaced() => return End::Ended,
            };
            let Ok(chunk) = chunk else {
                return if stall < left { End::Silent } else { End::Late };
            };
            match chunk {
                Ok(Some(chunk)) => {
                    if !begun {
                        begun = true;
                        reply.permit.begun();
                    }
                    self.exchange.shared.count_traffic(Kind::Answer, &reply.permit, chunk.len());
                    if !self.forward(chunk).await {
                        return End::Left;
                    }
                }
                Ok(None) => return self.end_of(reply, begun).await,
                Err(Fault::Unresponsive) => return End::Silent,
                Err(Fault::Terminated) => return End::Ended,
                Err(Fault::Broken | Fault::Unreachable | Fault::NoPath | Fault::Unsent) => return End::Broken,
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
            Framing::CloseDelimited if self.exchange.closed_by_crash(&reply.permit, &reply.connection).await => {
                End::Ended
            }
            Framing::CloseDelimited => End::Whole,
        }
    }

    /// How long the upstream may send nothing before the stream is resumed elsewhere.
    fn stall_timeout(&self) -> Duration {
        match self.exchange.route.pause {
            Some(pause) if self.exchange.route.is_repeatable() => (pause * STALL_TIMEOUT_PAUSES).max(MIN_STALL_TIMEOUT),
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
    async fn send(&self, chunk: Bytes) -> bool {
        // A client that reads nothing until the request's deadline counts as disconnected.
        let sent = self.exchange.shared.clock.with_deadline(self.exchange.deadline, self.sender.send(Ok(chunk))).await;
        sent.is_ok_and(|sent| sent.is_ok())
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
}
