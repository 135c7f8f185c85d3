//! Outgoing streams to peers.

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

use crate::{MINOR_VERSION_HEADER, SENDER_HEADER, Sink, VERSION_HEADER, set_liveness_timeouts};

/// Limits a TCP connect. A peer that is powered off, or whose accept queue is full, drops the first SYN, and the kernel
/// retransmits it only after a second, so a new connect is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Limits the opening of a stream, including the peer's response. A peer that accepted the connection may take this
/// long to respond, since hundreds of routers that start at the same time connect to it at once.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A stream on which sent data stays unacknowledged for this long has failed. Answers of homes and updates from the
/// store travel on these streams: a request turns to another home after at most 120 ms, while updates from the store
/// may take one or more seconds.
pub(crate) const ACK_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval between pings of a peer that frames were sent to. TCP acknowledgements aren't enough, since the kernel of
/// the peer's VM may acknowledge data that its process never reads.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// After its stream failed, a peer is not reconnected to for this long.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// A peer whose flow-control window stays full for this long is considered unresponsive: its stream is opened anew.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Limits the bytes sent from the frames that waited for a stream to open; the rest is dropped.
const MAX_WAITING_BYTES: usize = 1 << 20;

enum State {
    /// The stream is being opened; these encoded frames wait for it.
    Opening(Vec<Bytes>),
    Open(Open),
    /// The stream failed at this time.
    Broken(Instant),
}

/// An open stream to a peer.
struct Open {
    stream: SendStream<Bytes>,
    /// When the stream first lacked flow-control capacity for a frame; `None` while it has capacity.
    stalled_since: Option<Instant>,
    /// Whether a frame was sent since the last ping.
    sent_since_ping: bool,
    /// The peer's minor version.
    minor: u16,
}

/// A stream that was just opened, before it is installed in its [`Link`]. Dropping it closes its connection.
struct Opened {
    stream: SendStream<Bytes>,
    response_body: h2::RecvStream,
    /// The peer's minor version.
    minor: u16,
    pings: PingPong,
    connection: Connection,
}

/// The task that drives an `h2` connection; it is aborted on drop, which closes the connection.
struct Connection(AbortHandle);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Open {
    /// Sends a frame. Returns `false` if the peer's flow-control window had no room for longer than [`STALL_TIMEOUT`],
    /// or if the stream is closed.
    fn send(&mut self, bytes: Bytes) -> bool {
        self.sent_since_ping = true;
        self.stream.reserve_capacity(bytes.len());
        if self.stream.capacity() >= bytes.len() {
            self.stalled_since = None;
        // `Instant` doesn't advance while this VM is suspended, and shouldn't: the peer's progress isn't observable
        // then.
        } else if self.stalled_since.get_or_insert_with(Instant::now).elapsed() > STALL_TIMEOUT {
            return false;
        }
        self.stream.send_data(bytes, false).is_ok()
    }
}

/// The link to one peer.
struct Link {
    address: SocketAddr,
    state: State,
    /// Serial number of the stream, which distinguishes it from later streams to the same peer.
    serial: u64,
}

/// The outgoing streams of a router to its peers. Clones share the same streams.
pub struct Links<F, S> {
    local: id::Router,
    sink: S,
    links: Arc<Mutex<HashMap<id::Router, Link>>>,
    frame: std::marker::PhantomData<fn(F)>,
}

impl<F, S: Clone> Clone for Links<F, S> {
    fn clone(&self) -> Self {
        let (local, sink, links) = (self.local.clone(), self.sink.clone(), self.links.clone());
        Self { local, sink, links, frame: std::marker::PhantomData }
    }
}

impl<F: Serialize + Send + 'static, S: Sink<F>> Links<F, S> {
    /// Creates the links of the router `local`, without any stream.
    #[must_use]
    pub fn new(local: id::Router, sink: S) -> Self {
        Self { local, sink, links: Arc::default(), frame: std::marker::PhantomData }
    }

    /// The number of streams that are open or opening.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lock().values().filter(|link| !matches!(link.state, State::Broken(_))).count()
    }

    /// Whether no stream is open or opening.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Encodes and sends a frame, opening a stream if there is none. Returns `false` if the frame was dropped, because
    /// it is too large or because the stream to the peer failed less than 100 ms ago.
    pub fn send(&self, to: &id::Router, address: SocketAddr, frame: &F) -> bool {
        Self::encode(frame).is_some_and(|bytes| self.send_encoded(to, address, bytes))
    }

    /// Encodes a frame for [`Self::send_encoded`]; `None` if it exceeds [`codec::MAX_FRAME`]. A frame that goes to
    /// several peers is encoded once: all their streams share the buffer, which is freed after the last of them has
    /// sent it.
    #[must_use]
    pub fn encode(frame: &F) -> Option<Bytes> {
        codec::encode(frame).ok()
    }

    /// Sends a frame encoded by [`Self::encode`], opening a stream if there is none. Returns `false` if the frame was
    /// dropped because the stream to the peer failed less than 100 ms ago.
    pub fn send_encoded(&self, to: &id::Router, address: SocketAddr, bytes: Bytes) -> bool {
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
        self.start(links, to, address, vec![bytes]);
        true
    }

    /// Opens a stream to a peer without sending anything; [`Sink::opened`] reports it. Returns the peer's minor version
    /// if a stream is open already. Does nothing if a stream to the peer failed less than 100 ms ago.
    pub fn open(&self, to: &id::Router, address: SocketAddr) -> Option<u16> {
        let links = self.lock();
        if let Some(link) = links.get(to).filter(|link| link.address == address) {
            match &link.state {
                State::Open(open) => return Some(open.minor),
                State::Opening(_) => return None,
                State::Broken(since) if since.elapsed() < RECONNECT_DELAY => return None,
                State::Broken(_) => {}
            }
        }
        self.start(links, to, address, Vec::new());
        None
    }

    /// Starts to open a stream, on which the given encoded frames are sent first.
    fn start(
        &self,
        mut links: MutexGuard<'_, HashMap<id::Router, Link>>,
        to: &id::Router,
        address: SocketAddr,
        waiting: Vec<Bytes>,
    ) {
        let serial = links.get(to).map_or(0, |link| link.serial + 1);
        links.insert(to.clone(), Link { address, state: State::Opening(waiting), serial });
        drop(links);
        tokio::spawn(self.clone().run(to.clone(), address, serial));
    }

    /// Closes the stream to a peer that has left the fleet or was declared dead.
    pub fn close(&self, to: &id::Router) {
        self.lock().remove(to);
    }

    /// Opens a stream to the peer and serves it until it closes, fails or becomes unresponsive, then reports the
    /// failure.
    async fn run(self, to: id::Router, address: SocketAddr, serial: u64) {
        let opening = tokio::time::timeout(OPEN_TIMEOUT, connect(&self.local, address));
        if let Some(Opened { stream, mut response_body, minor, pings, connection }) = opening.await.ok().flatten()
            && self.install_stream(&to, serial, stream, minor)
        {
            self.sink.opened(&to, minor);
            tokio::select! {
                // The peer never sends data, so this future completes only when the stream closes.
                _ = poll_fn(|context| response_body.poll_data(context)) => {}
                () = self.ping_until_unresponsive(&to, serial, pings) => {
                    tracing::info!(peer = %to, "the stream to a peer is silent");
                }
            }
            drop(connection);
        }
        let mut links = self.lock();
        if let Some(link) = links.get_mut(&to).filter(|link| link.serial == serial) {
            // The reconnect delay uses a clock that stops while the VM is suspended, which merely prolongs the delay.
            link.state = State::Broken(Instant::now());
            drop(links);
            self.sink.broken(&to);
        }
    }

    /// Pings the peer after each interval in which frames were sent to it. Returns when a ping isn't answered within
    /// [`ACK_TIMEOUT`].
    async fn ping_until_unresponsive(&self, to: &id::Router, serial: u64, mut pings: PingPong) {
        loop {
            tokio::time::sleep(PING_INTERVAL).await;
            let sent = match self.lock().get_mut(to).filter(|link| link.serial == serial).map(|link| &mut link.state) {
                Some(State::Open(open)) => std::mem::take(&mut open.sent_since_ping),
                Some(State::Opening(_) | State::Broken(_)) | None => false,
            };
            if sent && !matches!(tokio::time::timeout(ACK_TIMEOUT, pings.ping(Ping::opaque())).await, Ok(Ok(_))) {
                return;
            }
        }
    }

    /// Sends the waiting frames on a stream that was just opened and marks the link as open. Returns `false` if the
    /// link was closed or replaced by a later stream, or if the new stream is already closed.
    fn install_stream(&self, to: &id::Router, serial: u64, mut stream: SendStream<Bytes>, minor: u16) -> bool {
        let mut links = self.lock();
        let Some(link) = links.get_mut(to).filter(|link| link.serial == serial) else {
            return false;
        };
        if let State::Opening(waiting) = &mut link.state {
            let mut left = MAX_WAITING_BYTES;
            for bytes in waiting.drain(..).take_while(|bytes| {
                left = left.saturating_sub(bytes.len());
                left > 0
            }) {
                if stream.send_data(bytes, false).is_err() {
                    return false;
                }
            }
        }
        link.state = State::Open(Open { stream, stalled_since: None, sent_since_ping: true, minor });
        true
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<id::Router, Link>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Connects to a peer and opens a stream; `None` if that fails or the peer rejects the request.
async fn connect(local: &id::Router, address: SocketAddr) -> Option<Opened> {
    let tcp = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
    set_liveness_timeouts(&tcp, ACK_TIMEOUT).ok()?;
    let (client, mut connection) = h2::client::handshake(tcp).await.ok()?;
    let pings = connection.ping_pong()?;
    let connection = Connection(tokio::spawn(connection).abort_handle());
    let mut client = client.ready().await.ok()?;
    let request = Request::post(format!("http://{address}/peer")).header(SENDER_HEADER, local.as_str());
    let request = request.header(VERSION_HEADER, stairvale_wire::VERSION).body(()).ok()?;
    let (response, stream) = client.send_request(request, false).ok()?;
    let response = response.await.ok()?;
    if response.status() != StatusCode::OK {
        tracing::warn!(%address, status = %response.status(), "peer rejected the request to open a stream");
        return None;
    }
    let minor = response.headers().get(MINOR_VERSION_HEADER).and_then(|minor| minor.to_str().ok()?.parse().ok());
    Some(Opened { stream, minor: minor.unwrap_or(0), response_body: response.into_body(), pings, connection })
}
