//! A stream on its way back to the caller, taken up again at another upstream where its route allows that.

use std::{sync::atomic::Ordering, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{Response, header};
use stairvale_dispatch::Outcome;
use stairvale_table as table;
use tokio::sync::mpsc;

use crate::{
    Dialect,
    body::{Body, Broken, next},
    exchange::{Exchange, Reply, millis},
    hop::strip,
    traffic::Kind,
    upstream::Fault,
};

/// Pieces that wait for the caller; a caller that reads more slowly holds the upstream up.
const WAITING: usize = 32;
/// A stream that may be resumed is, after a silence of this many times the pause that is aimed at.
const SILENCE: u32 = 3;
/// And not before this.
const SILENCE_LEAST: Duration = Duration::from_millis(900);

/// Cuts a stream of events into whole ones and remembers the last one's id.
#[derive(Debug, Default)]
pub struct Events {
    held: BytesMut,
    last: Option<String>,
}

impl Events {
    /// Takes a piece and gives the whole events that are there now.
    pub fn take(&mut self, piece: &[u8]) -> Bytes {
        self.held.extend_from_slice(piece);
        let Some(end) = self.held.windows(2).rposition(|pair| pair == b"\n\n") else {
            return Bytes::new();
        };
        let whole = self.held.split_to(end + 2).freeze();
        let mut ids = whole.split(|byte| *byte == b'\n').filter_map(|line| line.strip_prefix(b"id:"));
        if let Some(id) = ids.next_back().and_then(|id| std::str::from_utf8(id).ok()) {
            self.last = Some(id.trim().to_owned());
        }
        whole
    }

    /// The last whole event's id.
    #[must_use]
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Whether part of an event is held.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        !self.held.is_empty()
    }

    /// Forgets part of an event: it comes again.
    pub fn cut(&mut self) {
        self.held.clear();
    }
}

/// Hands the answer's head to the caller and goes on with its body beside it.
pub fn start<D: Dialect>(exchange: Exchange<D>, reply: Reply, first: Option<Bytes>) -> Response<Body> {
    let (sender, receiver) = mpsc::channel(WAITING);
    let mut head = reply.head.clone();
    strip(&mut head.headers);
    if exchange.route.kind == table::Kind::Stream {
        head.headers.remove(header::CONTENT_LENGTH);
    }
    let relay = Relay { exchange, sender, events: Events::default() };
    // Counted before the request's own count ends, so that a stopping process never takes it for idle.
    relay.exchange.shared.metrics.in_flight.fetch_add(1, Ordering::Relaxed);
    tokio::spawn(relay.run(reply, first));
    Response::from_parts(head, Body::Pieces(receiver))
}

struct Relay<D> {
    exchange: Exchange<D>,
    sender: mpsc::Sender<Result<Bytes, Broken>>,
    events: Events,
}

/// How one upstream's part of the stream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Whole,
    Broken,
    Ended,
    Silent,
    Late,
    Left,
}

impl<D: Dialect> Relay<D> {
    async fn run(mut self, reply: Reply, first: Option<Bytes>) {
        let in_flight = self.exchange.shared.clone();
        let mut reply = reply;
        let mut first = first;
        let end = loop {
            let end = self.pass(&mut reply, first.take()).await;
            self.log(&reply, end);
            let Reply { head, connection, permit, .. } = reply;
            let upstream = permit.upstream.id.clone();
            match end {
                End::Whole => {
                    permit.end(Outcome::Served);
                    self.exchange.shared.upstreams.keep(connection, &head.headers);
                }
                End::Broken => self.exchange.broke_off(permit).await,
                End::Ended => self.exchange.ended(permit),
                End::Silent => permit.end(Outcome::Silent),
                End::Late | End::Left => permit.end(Outcome::Abandoned),
            }
            if !matches!(end, End::Broken | End::Ended | End::Silent) || self.events.last().is_none() {
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
            // If the caller has left, nobody needs to see the cut.
            let _ = self.sender.send(Err(Broken)).await;
        }
        in_flight.metrics.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Asks another upstream for what comes after the last whole event.
    async fn resume(&mut self) -> Option<Reply> {
        if !self.exchange.may_repeat() {
            return None;
        }
        self.events.cut();
        let last = self.events.last().map(str::to_owned);
        let reply = tokio::select! {
            reply = self.exchange.reply(last.as_deref()) => reply.ok()?,
            () = self.sender.closed() => return None,
        };
        self.exchange.shared.metrics.count("stream-resumed");
        reply.head.status.is_success().then_some(reply)
    }

    async fn pass(&mut self, reply: &mut Reply, first: Option<Bytes>) -> End {
        if let Some(piece) = first
            && !self.forward(piece).await
        {
            return End::Left;
        }
        let mut begun = self.events.last().is_some();
        loop {
            let left = self.exchange.left();
            if left.is_zero() {
                return End::Late;
            }
            let silence = self.silence();
            let clock = &self.exchange.shared.clock;
            let piece = tokio::select! {
                piece = clock.before(clock.now() + left.min(silence), next(&mut reply.body)) => piece,
                () = self.sender.closed() => return End::Left,
                () = reply.permit.life_over() => return End::Ended,
            };
            let Ok(piece) = piece else {
                return if silence < left { End::Silent } else { End::Late };
            };
            if !begun {
                begun = true;
                reply.permit.begun();
            }
            match piece {
                Ok(Some(piece)) => {
                    self.exchange.shared.passed(Kind::Answer, &reply.permit, piece.len());
                    if !self.forward(piece).await {
                        return End::Left;
                    }
                }
                Ok(None) if self.events.is_partial() => return End::Broken,
                Ok(None) => return End::Whole,
                Err(Fault::Silent) => return End::Silent,
                Err(Fault::Ended) => return End::Ended,
                Err(Fault::Broken | Fault::Unreachable | Fault::Unsent) => return End::Broken,
            }
        }
    }

    /// How long the upstream may say nothing before another one is asked.
    fn silence(&self) -> Duration {
        match self.exchange.route.pause {
            Some(pause) if self.exchange.route.is_repeatable() => (pause * SILENCE).max(SILENCE_LEAST),
            Some(_) | None => Duration::MAX,
        }
    }

    /// `false` if the caller has left.
    async fn forward(&mut self, piece: Bytes) -> bool {
        let piece = if self.exchange.route.kind == table::Kind::Stream && self.exchange.route.resumable {
            self.events.take(&piece)
        } else {
            piece
        };
        if piece.is_empty() {
            return true;
        }
        // A caller that reads nothing until its time is over has left as well.
        let sent = self.exchange.shared.clock.before(self.exchange.until, self.sender.send(Ok(piece))).await;
        sent.is_ok_and(|sent| sent.is_ok())
    }

    fn log(&self, reply: &Reply, end: End) {
        let exchange = &self.exchange;
        tracing::info!(
            id = exchange.head.id, route = exchange.route.name, upstream = %reply.permit.upstream.id,
            read = reply.permit.read, ms = millis(exchange.age()), end = ?end, "streamed"
        );
    }
}
