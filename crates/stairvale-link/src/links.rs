//! Streams to peers.

use std::{
    collections::HashMap,
    future::poll_fn,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use h2::{Ping, PingPong, SendStream};
use http::{Request, StatusCode};
use serde::Serialize;
use stairvale_types::id;
use stairvale_wire::codec;
use tokio::{net::TcpStream, task::AbortHandle};

use crate::{SENDER, Sink, VERSION, watch_over};

/// A connection that isn't made by then is tried anew: the first packet to a peer without power, or with too many callers, is
/// lost, and the kernel sends the next one only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// A peer that has taken the connection may need this long to answer: hundreds may have come to it at once, since all have
/// just started.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A stream on which nothing is acknowledged for this long is silent. Homes' answers and news of the store hang on it: the
/// former go to another home after 120 ms at most, the latter are to be known in one or more seconds.
pub(crate) const SILENCE: Duration = Duration::from_millis(800);
/// A peer that was sent something is pinged this often: its kernel may acknowledge what the peer never reads.
const PING: Duration = Duration::from_secs(1);
/// After a failure a peer is left alone for this long.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// A peer that takes nothing for this long is as good as gone: its stream is opened anew.
const STALLED: Duration = Duration::from_secs(1);
/// Bytes that may wait for a stream to open; more are dropped.
const WAITING: usize = 1 << 20;

enum State {
    /// Frames wait for the stream.
    Opening(Vec<Bytes>),
    Open(Open),
    Broken(Instant),
}

/// An open stream, and since when its peer has taken nothing.
struct Open {
    stream: SendStream<Bytes>,
    stalled: Option<Instant>,
    /// Whether something was sent since it was pinged last.
    used: bool,
}

/// A stream to a peer that has just been opened. Its connection ends with it.
struct Opened {
    stream: SendStream<Bytes>,
    answer: h2::RecvStream,
    pings: PingPong,
    connection: Connection,
}

/// A connection's task.
struct Connection(AbortHandle);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Open {
    /// Sends what the peer has room for; `false` if it had none for too long, or the stream is closed.
    fn send(&mut self, bytes: Bytes) -> bool {
        self.used = true;
        self.stream.reserve_capacity(bytes.len());
        if self.stream.capacity() >= bytes.len() {
            self.stalled = None;
        // While this VM was suspended it could not see whether the peer takes anything, so that time doesn't count.
        } else if self.stalled.get_or_insert_with(Instant::now).elapsed() > STALLED {
            return false;
        }
        self.stream.send_data(bytes, false).is_ok()
    }
}

struct Link {
    address: SocketAddr,
    state: State,
    /// Tells a later stream to the same peer from this one.
    number: u64,
}

/// All streams to peers. Clones share them.
pub struct Links<F, S> {
    me: id::Router,
    sink: S,
    links: Arc<Mutex<HashMap<id::Router, Link>>>,
    frame: std::marker::PhantomData<fn(F)>,
}

impl<F, S: Clone> Clone for Links<F, S> {
    fn clone(&self) -> Self {
        let (me, sink, links) = (self.me.clone(), self.sink.clone(), self.links.clone());
        Self { me, sink, links, frame: std::marker::PhantomData }
    }
}

impl<F: Serialize + Send + 'static, S: Sink<F>> Links<F, S> {
    /// No streams yet.
    #[must_use]
    pub fn new(me: id::Router, sink: S) -> Self {
        Self { me, sink, links: Arc::default(), frame: std::marker::PhantomData }
    }

    /// Streams that are open or opening.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lock().values().filter(|link| !matches!(link.state, State::Broken(_))).count()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Sends a frame; `false` if the peer can't be reached now.
    pub fn send(&self, to: &id::Router, address: SocketAddr, frame: &F) -> bool {
        Self::write(frame).is_some_and(|bytes| self.send_written(to, address, bytes))
    }

    /// A frame as it is sent, for [`Self::send_written`]; `None` if it is larger than any may be. Written once, its bytes are
    /// shared by all peers that it goes to, for as long as they wait for any of them.
    #[must_use]
    pub fn write(frame: &F) -> Option<Bytes> {
        codec::encode(frame).ok()
    }

    /// Sends a frame that was written before; `false` if the peer can't be reached now.
    pub fn send_written(&self, to: &id::Router, address: SocketAddr, bytes: Bytes) -> bool {
        let mut links = self.lock();
        if let Some(link) = links.get_mut(to).filter(|link| link.address == address) {
            match &mut link.state {
                State::Opening(waiting) => {
                    waiting.push(bytes);
                    return true;
                }
                State::Open(open) => {
                    if open.send(bytes.clone()) {
                        return true;
                    }
                }
                State::Broken(since) if since.elapsed() < RECONNECT_DELAY => return false,
                State::Broken(_) => {}
            }
        }
        let number = links.get(to).map_or(0, |link| link.number + 1);
        links.insert(to.clone(), Link { address, state: State::Opening(vec![bytes]), number });
        drop(links);
        tokio::spawn(self.clone().run(to.clone(), address, number));
        true
    }

    /// Ends the stream to a peer that is known to be gone.
    pub fn close(&self, to: &id::Router) {
        self.lock().remove(to);
    }

    async fn run(self, to: id::Router, address: SocketAddr, number: u64) {
        let opening = tokio::time::timeout(OPEN_TIMEOUT, connect(&self.me, address));
        if let Some(Opened { stream, mut answer, pings, connection }) = opening.await.ok().flatten()
            && self.opened(&to, number, stream)
        {
            tokio::select! {
                // The peer never sends data, so this ends with the stream.
                _ = poll_fn(|context| answer.poll_data(context)) => {}
                () = self.ping(&to, number, pings) => tracing::info!(peer = %to, "the stream to a peer is silent"),
            }
            drop(connection);
        }
        let mut links = self.lock();
        if let Some(link) = links.get_mut(&to).filter(|link| link.number == number) {
            // A pause before the next try: it may as well begin anew after a suspension.
            link.state = State::Broken(Instant::now());
            drop(links);
            self.sink.broken(&to);
        }
    }

    /// Pings the peer as long as it answers in time.
    async fn ping(&self, to: &id::Router, number: u64, mut pings: PingPong) {
        loop {
            tokio::time::sleep(PING).await;
            let used = match self.lock().get_mut(to).filter(|link| link.number == number).map(|link| &mut link.state) {
                Some(State::Open(open)) => std::mem::take(&mut open.used),
                Some(State::Opening(_) | State::Broken(_)) | None => false,
            };
            if used && !matches!(tokio::time::timeout(SILENCE, pings.ping(Ping::opaque())).await, Ok(Ok(_))) {
                return;
            }
        }
    }

    /// Hands over what waited; `false` if another stream took this one's place.
    fn opened(&self, to: &id::Router, number: u64, mut stream: SendStream<Bytes>) -> bool {
        let mut links = self.lock();
        let Some(link) = links.get_mut(to).filter(|link| link.number == number) else {
            return false;
        };
        if let State::Opening(waiting) = &mut link.state {
            let mut left = WAITING;
            for bytes in waiting.drain(..).take_while(|bytes| {
                left = left.saturating_sub(bytes.len());
                left > 0
            }) {
                if stream.send_data(bytes, false).is_err() {
                    return false;
                }
            }
        }
        link.state = State::Open(Open { stream, stalled: None, used: true });
        true
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<id::Router, Link>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn connect(me: &id::Router, address: SocketAddr) -> Option<Opened> {
    let tcp = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
    watch_over(&tcp, SILENCE).ok()?;
    let (client, mut connection) = h2::client::handshake(tcp).await.ok()?;
    let pings = connection.ping_pong()?;
    let connection = Connection(tokio::spawn(connection).abort_handle());
    let mut client = client.ready().await.ok()?;
    let request = Request::post(format!("http://{address}/peer")).header(SENDER, me.as_str());
    let request = request.header(VERSION, stairvale_wire::VERSION).body(()).ok()?;
    let (response, stream) = client.send_request(request, false).ok()?;
    let response = response.await.ok()?;
    if response.status() != StatusCode::OK {
        tracing::warn!(%address, status = %response.status(), "a peer refused this router");
        return None;
    }
    Some(Opened { stream, answer: response.into_body(), pings, connection })
}
