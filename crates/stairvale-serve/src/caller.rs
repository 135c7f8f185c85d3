//! Clients' connections and requests.

use std::{
    convert::Infallible,
    pin::pin,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use futures::FutureExt;
use http::{HeaderValue, Request, Response, header, request};
use http_body_util::BodyExt;
use hyper::{
    body::{Body as _, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use stairvale_link::{set_liveness_timeouts, set_receive_buffer};
use stairvale_memory::{
    Connections,
    connections::{Connection, InUse},
    machine, receive,
};
use stairvale_types::{Moment, Refusal, outcome::Reason};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, watch},
};

use crate::{
    Dialect, Shared,
    body::Body,
    core::Core,
    dialect::Head,
    exchange::{Exchange, Served, millis},
    intake::Intake,
    meter::{Excess, Meter, Metered},
    pending::PendingAnswer,
    problem::Problem,
    relay,
};

/// Callers' connections that wait to be read may take one part in this many of all connections.
const WAITING_DIVISOR: usize = 8;
/// While all connections are in use, one is asked to close each time this has passed.
const CLOSE_INTERVAL: Duration = Duration::from_millis(2);
/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// A client that acknowledges nothing for this long counts as disconnected. A client that reads slowly gets the same
/// time.
const ACK_TIMEOUT: Duration = Duration::from_secs(5);
/// `Retry-After` from a router that isn't ready or whose configuration is too old to decide.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Clients observe the configured idle limit; the router keeps a connection for this much longer, so that it doesn't
/// close one that a client is about to use.
const IDLE_SLACK: Duration = Duration::from_secs(1);
/// A newly started process makes a request wait for the configuration for at most the client's timeout divided by this.
const STARTUP_WAIT_DIVISOR: u32 = 4;
/// The rest of a rejected request's body is read for this long at most, and up to this many bytes.
const DISCARD_TIME: Duration = Duration::from_secs(1);
const MAX_DISCARDED_BYTES: usize = 4 << 20;
/// Bytes that a connection takes: its buffers, among them a head of the longest usual size, and what the kernel has received
/// for it.
const CONNECTION_BYTES: usize = 64 << 10;
/// Bytes that the kernel may have received for a connection and the process hasn't read.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;
/// Bytes that a request takes beside its connection, its body and what is held of its answer: the parsed head and the
/// connection to an upstream with its buffers.
const REQUEST_BYTES: usize = 128 << 10;
/// Smallest read buffer that hyper accepts.
const MIN_READ_BUFFER_BYTES: usize = 8 << 10;

/// Accepts clients' connections until the process stops. Those that were established by then are still served.
///
/// All tasks that are ready run between one connection and the next, so requests that have been read take precedence.
pub async fn listen<D: Dialect>(shared: Arc<Shared>, dialect: D, listener: TcpListener) {
    // Without this bound the kernel would extend the buffers of connections that send much.
    let _ = set_receive_buffer(&listener, RECEIVE_BUFFER_BYTES);
    let limit = machine::max_connections(&shared.memory, CONNECTION_BYTES);
    let max_waiting = (limit / WAITING_DIVISOR).max(1);
    let connections =
        Connections::new(shared.clock.clone(), shared.memory.clone(), CONNECTION_BYTES, limit - max_waiting);
    tracing::info!(connections = limit - max_waiting, "accepting callers' connections");
    let mut intake = Intake::new(shared.now());
    let mut is_shedding = false;
    let mut closing = shared.closing.subscribe();
    loop {
        if intake.is_empty() {
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                () = closed(&mut closing) => match await_events(listener.accept()).await {
                    Some(accepted) => accepted,
                    None => return,
                },
            };
            match accepted {
                Ok((tcp, _)) => intake.push(shared.now(), tcp),
                Err(error) => {
                    accept_failed(&shared, &error);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        while intake.len() < max_waiting
            && let Some(Ok((tcp, _))) = listener.accept().now_or_never()
        {
            intake.push(shared.now(), tcp);
        }
        let now = shared.now();
        while let Some(unread) = intake.take_expired(now) {
            shared.metrics.count("connection-shed");
            drop(unread);
        }
        match connections.open() {
            Ok(open) => {
                if let Some(tcp) = intake.take() {
                    tokio::spawn(connection(shared.clone(), dialect.clone(), tcp, open));
                }
                tokio::task::yield_now().await;
            }
            Err(_) => {
                shared.metrics.count("connections-exhausted");
                connections.close_unused();
                tokio::time::sleep(CLOSE_INTERVAL).await;
            }
        }
        if is_shedding != intake.is_standing(now) {
            is_shedding = !is_shedding;
            let waiting = intake.len();
            tracing::info!(waiting, is_shedding, "closing of new connections that wait too long began or ended");
        }
    }
}

/// Waits until connections are to be closed. An error means that the process exits anyway.
async fn closed(closing: &mut watch::Receiver<bool>) {
    let _ = closing.wait_for(|closing| *closing).await;
}

/// Polls `work` with the input and output events of which the kernel knows by now; `None` if it isn't done then. Events that
/// came while this process wasn't running are known to the runtime only after it has asked the kernel again.
async fn await_events<T>(work: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        biased;
        result = work => Some(result),
        () = tokio::task::yield_now() => None,
    }
}

fn accept_failed(shared: &Shared, error: &std::io::Error) {
    // Clients take precedence over idle connections that might be reused later.
    tracing::warn!(%error, "accepting a client's connection failed; closing idle connections to upstreams");
    shared.metrics.count("accept-fault");
    shared.upstreams.drop_all_idle();
}

/// Why a connection is closed although its client hasn't asked for that.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Close {
    /// The process stops.
    Stop,
    /// All connections are taken, and this one has been unused for longest.
    Replace,
}

async fn connection<D: Dialect>(shared: Arc<Shared>, dialect: D, tcp: TcpStream, open: Connection) {
    if set_liveness_timeouts(&tcp, ACK_TIMEOUT).is_err() {
        return;
    }
    let _open = ConnectionGuard::new(shared.clone());
    let limits = shared.table.load().document().limits;
    let buffer = limits.head_bytes.max(MIN_READ_BUFFER_BYTES);
    let meter = Meter::new(buffer + MIN_READ_BUFFER_BYTES);
    // The library reserves the memory of the service's future for as long as the connection is open, also while it is idle.
    let service = service_fn(|request| {
        Box::pin(serve(shared.clone(), dialect.clone(), meter.clone(), open.begin_use(), request))
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_time.max(limits.head_time) + IDLE_SLACK)
        .max_buf_size(buffer);
    let stream = TokioIo::new(Metered::new(tcp, meter.clone()));
    let mut connection = pin!(builder.serve_connection(stream, service));
    let mut closing = shared.closing.subscribe();
    let ended = tokio::select! {
        biased;
        result = connection.as_mut() => Ok(result),
        () = closed(&mut closing) => Err(Close::Stop),
        () = open.asked_to_close() => Err(Close::Replace),
    };
    let result = match ended {
        Ok(result) => result,
        // A request that has arrived is served before the connection is closed.
        Err(close) => match await_events(connection.as_mut()).await {
            Some(result) => result,
            // A head that isn't complete would keep the connection open.
            None if close == Close::Replace && !open.was_used() => return,
            None => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        },
    };
    if result.is_err_and(|error| Excess::caused(&error)) {
        shared.metrics.count("caller-excess");
        tracing::info!("a caller sent too many bytes that belong to no body");
    }
}

async fn serve<D: Dialect>(
    shared: Arc<Shared>,
    dialect: D,
    meter: Meter,
    in_use: InUse,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let received_at = shared.now();
    let in_flight = InFlightGuard::new(shared.clone());
    meter.reset();
    let (parts, mut body) = request.into_parts();
    let expects_continue = parts.headers.contains_key(header::EXPECT);
    let head = dialect.read(&parts);
    let id = head.as_ref().map(|head| head.id.clone()).unwrap_or_default();
    let mut pending = PendingAnswer::new(shared.clone(), id.clone(), in_use);
    let served = match head.map_err(Problem::Malformed) {
        Ok(head) => prepare_exchange(&shared, &dialect, parts, (&mut body, &meter), head, received_at).await,
        Err(problem) => Err(problem),
    };
    let mut response = match served {
        Ok(mut exchange) => {
            pending.set_route(&exchange.route.name);
            match exchange.run().await {
                Served::Complete(response) => response,
                Served::Stream { reply, events, first } => relay::start(exchange, *reply, events, first),
            }
        }
        Err(problem) => {
            shared.metrics.count(problem.label());
            let (version, age) = shared.query(|core, now| (core.table().version(), core.view().age(now)));
            let age_ms = age.map(millis);
            let status = problem.status().as_u16();
            tracing::info!(id, version, age_ms, status, reason = problem.label(), "not taken");
            // A client that expects a status before it sends the body doesn't send it now.
            if !expects_continue
                && !body.is_end_stream()
                && let Ok(permit) = shared.discarding.clone().try_acquire_owned()
            {
                tokio::spawn(tokio::time::timeout(DISCARD_TIME, discard(body, meter, permit)));
            }
            problem.into_response(&dialect, &id)
        }
    };
    // A client that keeps its connection would stay with a router that the load balancer has taken out of service.
    if shared.is_stopping() || !shared.query(Core::is_ready) {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response.body_mut().hold(pending);
    drop(in_flight);
    Ok(response)
}

/// Counts a connection as open for as long as it exists.
struct ConnectionGuard(Arc<Shared>);

impl ConnectionGuard {
    fn new(shared: Arc<Shared>) -> Self {
        shared.metrics.connections.fetch_add(1, Ordering::Relaxed);
        Self(shared)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.metrics.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a request as in flight for as long as it exists.
pub(crate) struct InFlightGuard(Arc<Shared>);

impl InFlightGuard {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        shared.metrics.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(shared)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.metrics.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Matches a request to its route and customer, and reads its body.
async fn prepare_exchange<D: Dialect>(
    shared: &Arc<Shared>,
    dialect: &D,
    parts: request::Parts,
    (body, meter): (&mut Incoming, &Meter),
    head: Head,
    received_at: Moment,
) -> Result<Exchange<D>, Problem> {
    let reservation = shared.memory.request(received_at, REQUEST_BYTES).map_err(Problem::Shortage)?;
    shared.until_configured(head.deadline.map_or(Duration::MAX, |deadline| deadline / STARTUP_WAIT_DIVISOR)).await;
    let table = shared.table.load_full();
    let (current, trusted) = shared.query(|core, now| (core.is_current(now), core.trusts_keys(now)));
    let not_ready = Problem::Refused(Refusal::new(Reason::NotReady, RETRY_AFTER));
    // A router whose configuration isn't current can't conclude that a key or a route doesn't exist.
    let missing = |problem| if current { problem } else { not_ready };
    let host = host(&parts).unwrap_or_default();
    let route = table.route(host, parts.uri.path()).ok_or_else(|| missing(Problem::NoRoute))?;
    let customer = if table.has_customers() && !route.public {
        let customer = head.key.as_deref().and_then(|key| table.customer(key));
        let customer = customer.ok_or_else(|| missing(Problem::UnknownKey))?;
        if !trusted {
            return Err(not_ready);
        }
        Some(customer)
    } else {
        None
    };
    // A stream that is taken up again stays with the service that began it.
    let first_attempt = head.resumes.as_ref().filter(|_| head.last_event.is_some()).unwrap_or(&head.id);
    let draw = rapidhash::v3::rapidhash_v3(first_attempt.as_bytes());
    let service = route.service(draw).ok_or(Problem::NoRoute)?.clone();
    let limits = table.document().limits;
    let account = customer.map(|customer| customer.name.clone());
    let exchange = Exchange::new(shared.clone(), dialect.clone(), route.clone(), service, head, parts, received_at);
    let on_data = |bytes| meter.deliver(bytes);
    let receiving = receive(&shared.memory, &shared.clock, account, body, limits.body_bytes, on_data);
    let received = shared.clock.with_deadline(exchange.deadline, receiving).await;
    let body = received.unwrap_or(Err(receive::Fault::Incomplete))?;
    let exchange = exchange.with_body(body).with_reservation(reservation);
    Ok(match customer {
        Some(customer) => exchange.with_customer(customer),
        None => exchange,
    })
}

fn host(parts: &request::Parts) -> Option<&str> {
    let named = parts.headers.get(header::HOST).and_then(|value| value.to_str().ok());
    parts.uri.host().or(named)
}

/// Reads the rest of a rejected request's body. If the connection were closed within the body, the kernel would reset it, and
/// the client might not receive the rejection.
async fn discard(mut body: Incoming, meter: Meter, _permit: OwnedSemaphorePermit) {
    let mut discarded = 0;
    while discarded < MAX_DISCARDED_BYTES
        && let Some(Ok(frame)) = body.frame().await
    {
        let bytes = frame.data_ref().map_or(0, Bytes::len);
        meter.deliver(bytes);
        discarded += bytes;
    }
}
