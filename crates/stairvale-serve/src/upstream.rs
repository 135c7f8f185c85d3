//! Connections to upstreams.
//!
//! A connection carries one request at a time. It is used again only after a whole answer, and closed at once in any other
//! case, so that no byte of one request's answer is ever taken for another's.

use std::{
    collections::HashMap,
    error::Error,
    io,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, header};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use stairvale_clock::Clock;
use stairvale_link::watch_over;
use stairvale_types::{Moment, id};
use tokio::{net::TcpStream, task::AbortHandle};

/// A connection that takes longer is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// An upstream that acknowledges nothing for this long is given up, whatever runs there: less than the objective of most
/// requests, so that what may run twice can still be served elsewhere, and more than two lost packets in a row take.
const SILENCE: Duration = Duration::from_millis(700);
/// An idle connection is used again this long after its last answer, if the upstream says nothing else.
const IDLE: Duration = Duration::from_secs(2);
/// Kept away from the moment at which the upstream closes an idle connection.
const MARGIN: Duration = Duration::from_millis(700);
/// Idle connections that are kept to one upstream.
const KEPT: usize = 16;

/// Why there is no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Fault {
    /// No connection could be made; the request was not sent.
    #[error("the upstream can't be reached")]
    Unreachable,
    /// The connection was closed before the request was sent.
    #[error("the connection was closed before the request was sent")]
    Unsent,
    /// The connection broke, or what came is no answer; the request may have run.
    #[error("the upstream broke off")]
    Broken,
    /// The upstream has ended: another life of its name has begun; the request may have run.
    #[error("the upstream has ended")]
    Ended,
    /// The upstream acknowledged nothing for too long; the request may have run.
    #[error("the upstream is silent")]
    Silent,
}

impl Fault {
    /// What a failed exchange comes to. A silence is told apart: it says that nothing can be reached there, and a failure that something can.
    #[must_use]
    pub fn of(error: &hyper::Error) -> Self {
        let mut source = error.source();
        while let Some(inner) = source {
            if inner.downcast_ref::<io::Error>().is_some_and(|error| error.kind() == io::ErrorKind::TimedOut) {
                return Self::Silent;
            }
            source = inner.source();
        }
        Self::Broken
    }
}

type Sender = http1::SendRequest<Full<Bytes>>;

/// A connection in use. Dropped, it is closed at once.
#[derive(Debug)]
pub struct Connection {
    upstream: id::Upstream,
    sender: Sender,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Moment,
}

/// Idle connections.
#[derive(Debug)]
pub struct Connections {
    clock: Clock,
    idle: Mutex<HashMap<id::Upstream, Vec<Idle>>>,
}

impl Connections {
    /// None yet.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self { clock, idle: Mutex::default() }
    }

    /// Sends a request and waits for the answer's head.
    ///
    /// # Errors
    /// A [`Fault`] that tells whether the request may have run.
    pub async fn send(
        &self,
        upstream: &id::Upstream,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Connection), Fault> {
        let mut request = request;
        if let Some(mut connection) = self.take(upstream) {
            match connection.sender.try_send_request(request).await {
                Ok(answer) => return Ok((answer, connection)),
                Err(mut error) => match error.take_message() {
                    // It was closed under us, and nothing of the request was written.
                    Some(unsent) => request = unsent,
                    None => return Err(Fault::of(error.error())),
                },
            }
        }
        let mut connection = open(upstream, address).await?;
        match connection.sender.try_send_request(request).await {
            Ok(answer) => Ok((answer, connection)),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(Fault::Unsent),
                None => Err(Fault::of(error.error())),
            },
        }
    }

    /// Whether an upstream has ended: nobody listens at its address any more. One that says nothing at all may be behind a cut,
    /// and counts as living. A connection that can be made is kept for the next request.
    pub async fn has_ended(&self, upstream: &id::Upstream, address: SocketAddr) -> bool {
        match connect(address).await {
            Ok(tcp) => {
                if let Ok(connection) = prepare(upstream, tcp).await {
                    self.keep_for(connection, IDLE);
                }
                false
            }
            Err(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        }
    }

    /// Keeps a connection whose answer was whole.
    pub fn keep(&self, connection: Connection, headers: &HeaderMap) {
        if let Some(idle) = idle_time(headers) {
            self.keep_for(connection, idle);
        }
    }

    fn keep_for(&self, connection: Connection, idle: Duration) {
        let mut all = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = all.entry(connection.upstream.clone()).or_default();
        let now = self.clock.now();
        kept.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
        if kept.len() < KEPT {
            kept.push(Idle { connection, until: now + idle });
        }
    }

    /// An upstream was silent: idle connections to it may be, too, and would cost the next requests as much.
    pub fn forget(&self, upstream: &id::Upstream) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(upstream);
    }

    /// Closes all that idle: descriptors are wanted elsewhere.
    pub fn clear(&self) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// Closes what idled too long, and all connections to upstreams that are gone.
    pub fn sweep(&self, known: impl Fn(&id::Upstream) -> bool) {
        let now = self.clock.now();
        let mut all = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        all.retain(|upstream, kept| {
            kept.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
            !kept.is_empty() && known(upstream)
        });
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

/// How long a connection may idle after this answer; `None` if it is closed.
fn idle_time(headers: &HeaderMap) -> Option<Duration> {
    let tokens = headers.get_all(header::CONNECTION).into_iter().filter_map(|value| value.to_str().ok());
    if tokens.flat_map(|value| value.split(',')).any(|token| token.trim().eq_ignore_ascii_case("close")) {
        return None;
    }
    let told = headers.get("keep-alive").and_then(|value| value.to_str().ok()).and_then(|value| {
        let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        timeout.trim().parse().ok().map(Duration::from_secs)
    });
    let idle = told.map_or(IDLE, |told| told.saturating_sub(MARGIN));
    (!idle.is_zero()).then_some(idle)
}

async fn open(upstream: &id::Upstream, address: SocketAddr) -> Result<Connection, Fault> {
    let tcp = connect(address).await.map_err(|_| Fault::Unreachable)?;
    prepare(upstream, tcp).await
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await?
}

async fn prepare(upstream: &id::Upstream, tcp: TcpStream) -> Result<Connection, Fault> {
    watch_over(&tcp, SILENCE).map_err(|_| Fault::Unreachable)?;
    let (sender, connection) =
        http1::Builder::new().handshake(TokioIo::new(tcp)).await.map_err(|_| Fault::Unreachable)?;
    let task = tokio::spawn(async move {
        // What went wrong is told to whoever waits for the answer.
        let _ = connection.await;
    });
    Ok(Connection { upstream: upstream.clone(), sender, task: task.abort_handle() })
}
