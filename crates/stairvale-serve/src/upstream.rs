//! Connections to upstreams.
//!
//! A connection carries one request at a time. It is reused only after a complete response and closed immediately in
//! any other case, so that no byte of one request's response is ever taken for part of another's.

use std::{
    collections::HashMap,
    error::Error,
    io,
    net::{IpAddr, SocketAddr},
    pin::pin,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use futures::future::{Either, select};
use http::{HeaderMap, Request, Response, header};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use stairvale_clock::Clock;
use stairvale_link::set_liveness_timeouts;
use stairvale_memory::Content;
use stairvale_types::{Moment, id};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpSocket, TcpStream},
    task::AbortHandle,
};

use crate::{
    core::Peer,
    isolation::{Change, Isolation},
    meter::{Excess, Meter, Metered},
    tunnel::{self, Tunnels},
};

/// Limit for establishing a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// An upstream that acknowledges nothing for this long is considered unresponsive, whatever runs there. This is less
/// than the objective of most requests, so that a repeatable request can still be served elsewhere, and more than two
/// lost packets in a row take.
const ACK_TIMEOUT: Duration = Duration::from_millis(700);
/// How long an idle connection may be reused if the upstream announces no keep-alive timeout.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(2);
/// An idle connection is discarded this long before the upstream's announced keep-alive timeout, so that a request
/// doesn't race with the close.
const IDLE_CLOSE_MARGIN: Duration = Duration::from_millis(700);
/// Maximum size of the head of an answer, and of what is read of a body before it is delivered.
const MAX_BUFFER_BYTES: usize = 32 << 10;
/// What an upstream may send in heads, interim heads and framing, beside what bodies account for.
const MAX_UNDELIVERED_BYTES: usize = 2 * MAX_BUFFER_BYTES;
/// The largest valid status of a response. The HTTP library rejects those below 100.
const MAX_STATUS: u16 = 599;
/// Maximum number of idle connections that are kept to one upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 16;

/// Why an upstream gave no response.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Fault {
    /// No connection could be established; the request was not sent.
    #[error("the upstream can't be reached")]
    Unreachable,
    /// Neither this router nor a peer for it can establish connections, which says nothing about the upstream; the request
    /// was not sent.
    #[error("no upstream can be reached from this router")]
    NoPath,
    /// The connection was closed before the request was sent.
    #[error("the connection was closed before the request was sent")]
    Unsent,
    /// The connection broke, or the data received is not a valid response; the request may have run.
    #[error("the upstream closed or broke the connection")]
    Broken,
    /// The upstream has terminated, and another incarnation with its name has started; the request may have run.
    #[error("the upstream has ended")]
    Terminated,
    /// The upstream acknowledged nothing for too long; the request may have run.
    #[error("the upstream is unresponsive")]
    Unresponsive,
}

impl Fault {
    /// Classifies a failed exchange. A timeout is distinguished from other failures: after a timeout the upstream may
    /// be unreachable, while any other failure shows that something at its address responds.
    #[must_use]
    pub fn of(error: &hyper::Error) -> Self {
        let mut source = error.source();
        while let Some(inner) = source {
            if inner.downcast_ref::<io::Error>().is_some_and(|error| error.kind() == io::ErrorKind::TimedOut) {
                return Self::Unresponsive;
            }
            source = inner.source();
        }
        Self::Broken
    }
}

type Sender = http1::SendRequest<Content>;

/// A connection in use. It is closed immediately when it is dropped.
#[derive(Debug)]
pub struct Connection {
    upstream: id::Upstream,
    sender: Sender,
    task: AbortHandle,
    /// The peer through which the connection runs; `None` if it is direct.
    via: Option<id::Router>,
    meter: Meter,
}

impl Connection {
    /// Counts what the connection reads; parts of bodies are to be reported to it.
    #[must_use]
    pub fn meter(&self) -> &Meter {
        &self.meter
    }

    /// The peer through which the connection runs; `None` if it is direct.
    #[must_use]
    pub fn via(&self) -> Option<&id::Router> {
        self.via.as_ref()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// An idle connection and when it may no longer be reused.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Moment,
}

/// The pool of idle connections to all upstreams.
#[derive(Debug)]
pub struct Connections {
    clock: Clock,
    idle: Mutex<HashMap<id::Upstream, Vec<Idle>>>,
    /// The local address from which connections are opened; `None` if the system chooses.
    source: Mutex<Option<IpAddr>>,
    isolation: Mutex<Isolation>,
    tunnels: Tunnels,
}

impl Connections {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            idle: Mutex::default(),
            source: Mutex::default(),
            isolation: Mutex::default(),
            tunnels: Tunnels::default(),
        }
    }

    /// Sets the local address from which connections are opened from now on; `None` lets the system choose.
    pub fn set_source(&self, source: Option<IpAddr>) {
        *self.source.lock().unwrap_or_else(PoisonError::into_inner) = source;
    }

    /// Whether this router can't open connections to any upstream.
    pub fn is_isolated(&self) -> bool {
        self.isolation().is_isolated()
    }

    /// Sends a request and waits for the response head. `peers` are those through which a connection may be opened if this
    /// router can't reach upstreams itself.
    ///
    /// # Errors
    /// A [`Fault`], which tells whether the request may have run.
    pub async fn send(
        &self,
        upstream: &id::Upstream,
        address: SocketAddr,
        peers: impl FnOnce() -> [Vec<Peer>; 2],
        request: Request<Content>,
    ) -> Result<(Response<Incoming>, Connection), Fault> {
        let mut request = request;
        if let Some(mut connection) = self.take(upstream) {
            connection.meter.reset();
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((check_status(response)?, connection)),
                Err(mut error) => match error.take_message() {
                    // The upstream closed the idle connection meanwhile, and nothing of the request was written.
                    Some(unsent_request) => request = unsent_request,
                    None => return Err(Fault::of(error.error())),
                },
            }
        }
        self.send_anew(upstream, address, peers, request).await
    }

    /// Sends a request on a connection that is opened for it, like [`Self::send`] otherwise. No byte of the response was sent
    /// before the call.
    ///
    /// # Errors
    /// A [`Fault`], which tells whether the request may have run.
    pub async fn send_anew(
        &self,
        upstream: &id::Upstream,
        address: SocketAddr,
        peers: impl FnOnce() -> [Vec<Peer>; 2],
        request: Request<Content>,
    ) -> Result<(Response<Incoming>, Connection), Fault> {
        let mut connection = self.open(upstream, address, peers).await?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok((check_status(response)?, connection)),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(Fault::Unsent),
                None => Err(Fault::of(error.error())),
            },
        }
    }

    /// Whether an upstream is known to have terminated: connections to its address are refused, and the cause doesn't lie with
    /// this router. One that doesn't respond at all may be behind a network partition. `false` doesn't show that the upstream
    /// lives: its address may belong to another one by now.
    pub async fn has_terminated(&self, upstream: &id::Upstream, address: SocketAddr) -> bool {
        match self.connect_directly(upstream, address).await {
            Ok(tcp) => {
                // The next request may use the connection.
                if let Ok(connection) = handshake(upstream, tcp).await {
                    self.release_for(connection, DEFAULT_IDLE_TIME);
                }
                false
            }
            Err(error) => error.kind() == io::ErrorKind::ConnectionRefused && !self.is_suspected(upstream),
        }
    }

    /// Returns a connection to the pool after a complete response, unless the response's headers rule that out.
    pub fn release(&self, connection: Connection, headers: &HeaderMap) {
        // A peer isn't to keep tunnels that carry nothing.
        if let Some(idle) = idle_time(headers).filter(|_| connection.via.is_none()) {
            self.release_for(connection, idle);
        }
    }

    fn release_for(&self, connection: Connection, idle: Duration) {
        let mut all = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = all.entry(connection.upstream.clone()).or_default();
        let now = self.clock.now();
        kept.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
        if kept.len() < MAX_IDLE_PER_UPSTREAM {
            kept.push(Idle { connection, until: now + idle });
        }
    }

    /// Closes the idle connections to an upstream that failed or was unresponsive: they may be broken as well, and
    /// would delay the next requests as much.
    pub fn drop_idle(&self, upstream: &id::Upstream) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(upstream);
    }

    /// Closes all idle connections, to free file descriptors for other uses.
    pub fn drop_all_idle(&self) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// Closes connections that have been idle for too long, and all connections to upstreams that are no longer known.
    pub fn sweep(&self, is_known: impl Fn(&id::Upstream) -> bool) {
        let now = self.clock.now();
        let mut all = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        all.retain(|upstream, kept| {
            kept.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
            !kept.is_empty() && is_known(upstream)
        });
    }

    /// Opens a connection, through a peer if this router seems unable to reach upstreams.
    async fn open(
        &self,
        upstream: &id::Upstream,
        address: SocketAddr,
        peers: impl FnOnce() -> [Vec<Peer>; 2],
    ) -> Result<Connection, Fault> {
        let direct = async {
            let tcp = self.connect_directly(upstream, address).await.map_err(|_| Fault::Unreachable)?;
            handshake(upstream, tcp).await
        };
        if !self.is_isolated() {
            let opened = direct.await;
            if opened.is_ok() || !self.is_suspected(upstream) {
                return opened;
            }
            return self.open_tunnel(upstream, address, peers()).await;
        }
        let tunnel = self.open_tunnel(upstream, address, peers());
        if !self.isolation().take_probe(self.clock.now()) {
            return match tunnel.await {
                // The peers may be isolated as well, and this router may no longer be.
                Err(Fault::NoPath) => direct.await.map_err(|_| Fault::NoPath),
                result => result,
            };
        }
        // The request doesn't wait for the probe, which may hang.
        match select(pin!(direct), pin!(tunnel)).await {
            Either::Left((Ok(connection), _)) | Either::Right((Ok(connection), _)) => Ok(connection),
            Either::Left((Err(_), tunnel)) => tunnel.await,
            Either::Right((Err(fault), direct)) => direct.await.map_err(|_| fault),
        }
    }

    async fn open_tunnel(
        &self,
        upstream: &id::Upstream,
        address: SocketAddr,
        peers: [Vec<Peer>; 2],
    ) -> Result<Connection, Fault> {
        match self.tunnels.open(&self.clock, peers, upstream, address).await {
            Ok((stream, via)) => handshake_over(upstream, TokioIo::new(stream), Some(via)).await,
            Err(tunnel::Fault::NoPeer) if self.is_isolated() => Err(Fault::NoPath),
            Err(tunnel::Fault::NoPeer | tunnel::Fault::Unreachable) => Err(Fault::Unreachable),
        }
    }

    /// Connects to an upstream without the help of a peer, and records whether that was possible.
    pub(crate) async fn connect_directly(&self, upstream: &id::Upstream, address: SocketAddr) -> io::Result<TcpStream> {
        let connected = self.connect(address).await;
        let change = match &connected {
            Ok(_) => self.isolation().record_success(self.clock.now()),
            Err(_) => self.isolation().record_failure(self.clock.now(), upstream),
        };
        match change {
            Some(Change::Began) => {
                tracing::warn!("no upstream can be reached from this router; connections are opened through peers");
            }
            Some(Change::Ended) => tracing::info!("upstreams can be reached from this router again"),
            None => {}
        }
        connected
    }

    /// Whether a failed connection to an upstream may be due to this router.
    fn is_suspected(&self, upstream: &id::Upstream) -> bool {
        self.isolation().is_suspected(self.clock.now(), upstream)
    }

    fn isolation(&self) -> MutexGuard<'_, Isolation> {
        self.isolation.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let source = *self.source.lock().unwrap_or_else(PoisonError::into_inner);
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        if let Some(source) = source {
            socket.bind(SocketAddr::new(source, 0))?;
        }
        tokio::time::timeout(CONNECT_TIMEOUT, socket.connect(address)).await?
    }

    fn take(&self, upstream: &id::Upstream) -> Option<Connection> {
        let mut all = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = all.get_mut(upstream)?;
        let now = self.clock.now();
        while let Some(Idle { connection, until }) = kept.pop() {
            if until > now && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }
}

/// Rejects a response whose status is outside 100 to 599 and therefore invalid (RFC 9110, section 15). What the rest of it
/// says of the request can't be relied on either.
fn check_status(response: Response<Incoming>) -> Result<Response<Incoming>, Fault> {
    if response.status().as_u16() > MAX_STATUS { Err(Fault::Broken) } else { Ok(response) }
}

/// How long a connection may stay idle after this response; `None` if the upstream closes it.
fn idle_time(headers: &HeaderMap) -> Option<Duration> {
    let tokens = headers.get_all(header::CONNECTION).into_iter().filter_map(|value| value.to_str().ok());
    if tokens.flat_map(|value| value.split(',')).any(|token| token.trim().eq_ignore_ascii_case("close")) {
        return None;
    }
    let announced = headers.get("keep-alive").and_then(|value| value.to_str().ok()).and_then(|value| {
        let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        timeout.trim().parse().ok().map(Duration::from_secs)
    });
    let idle = announced.map_or(DEFAULT_IDLE_TIME, |announced| announced.saturating_sub(IDLE_CLOSE_MARGIN));
    (!idle.is_zero()).then_some(idle)
}

async fn handshake(upstream: &id::Upstream, tcp: TcpStream) -> Result<Connection, Fault> {
    set_liveness_timeouts(&tcp, ACK_TIMEOUT).map_err(|_| Fault::Unreachable)?;
    handshake_over(upstream, tcp, None).await
}

async fn handshake_over<I: AsyncRead + AsyncWrite + Unpin + Send + 'static>(
    upstream: &id::Upstream,
    stream: I,
    via: Option<id::Router>,
) -> Result<Connection, Fault> {
    let meter = Meter::new(MAX_UNDELIVERED_BYTES);
    let stream = TokioIo::new(Metered::new(stream, meter.clone()));
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_BUFFER_BYTES);
    let (sender, connection) = builder.handshake(stream).await.map_err(|_| Fault::Unreachable)?;
    let id = upstream.clone();
    let task = tokio::spawn(async move {
        // Errors are returned to the caller that awaits the response.
        if connection.await.is_err_and(|error| Excess::caused(&error)) {
            tracing::warn!(upstream = %id, "an upstream sent too many bytes that belong to no body");
        }
    });
    Ok(Connection { upstream: upstream.clone(), sender, task: task.abort_handle(), via, meter })
}
