//! Callers' connections and requests.

use std::{
    convert::Infallible,
    pin::pin,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, header, request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use stairvale_link::watch_over;
use stairvale_types::{Moment, Refusal, outcome::Reason};
use tokio::net::{TcpListener, TcpStream};

use crate::{
    Dialect, Shared,
    body::Body,
    core::Core,
    dialect::Head,
    exchange::{Exchange, Served, millis},
    problem::Problem,
    relay,
};

/// After a failed accept, such as for want of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// A caller that acknowledges nothing for this long has gone without a word. One that reads slowly is given as long.
const SILENCE: Duration = Duration::from_secs(5);
/// When to come back to a router that isn't ready or isn't sure.
const COME_BACK: Duration = Duration::from_millis(500);
/// Callers keep to their limits at rest; this keeps a connection a little longer than they may.
const IDLE_SLACK: Duration = Duration::from_secs(1);
/// The share of a request's time that a process which has just started may take to learn its configuration.
const START_SHARE: u32 = 4;
/// The least head that the HTTP library can be told.
const LEAST_HEAD: usize = 8 << 10;

/// Takes callers' connections until the task is dropped.
pub async fn listen<D: Dialect>(shared: Arc<Shared>, dialect: D, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((tcp, _)) => drop(tokio::spawn(connection(shared.clone(), dialect.clone(), tcp))),
            Err(error) => {
                // Callers come before connections that only might be used again.
                tracing::warn!(%error, "a caller's connection can't be taken; idle ones to upstreams are closed");
                shared.metrics.count("accept-fault");
                shared.upstreams.clear();
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn connection<D: Dialect>(shared: Arc<Shared>, dialect: D, tcp: TcpStream) {
    if watch_over(&tcp, SILENCE).is_err() {
        return;
    }
    let limits = shared.table.load().document().limits;
    let service = service_fn(|request| serve(shared.clone(), dialect.clone(), request));
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_time.max(limits.head_time) + IDLE_SLACK)
        .max_buf_size(limits.head_bytes.max(LEAST_HEAD));
    let mut connection = pin!(builder.serve_connection(TokioIo::new(tcp), service));
    let mut closing = shared.closing.subscribe();
    let stop = async move {
        // An error means that the process is ending anyway.
        let _ = closing.wait_for(|closing| *closing).await;
    };
    tokio::select! {
        _ = connection.as_mut() => return,
        () = stop => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

async fn serve<D: Dialect>(
    shared: Arc<Shared>,
    dialect: D,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let came = shared.now();
    let flight = Flight::new(shared.clone());
    let (parts, body) = request.into_parts();
    let head = dialect.read(&parts);
    let id = head.as_ref().map(|head| head.id.clone()).unwrap_or_default();
    let served = match head.map_err(Problem::Malformed) {
        Ok(head) => exchange(&shared, &dialect, parts, body, head, came).await,
        Err(problem) => Err(problem),
    };
    let mut answer = match served {
        Ok(mut exchange) => match exchange.run().await {
            Served::Whole(answer) => answer,
            Served::Stream(reply, first) => relay::start(exchange, *reply, first),
        },
        Err(problem) => {
            shared.metrics.count(problem.word());
            let (version, age) = shared.look(|core, now| (core.table().version(), core.view().age(now)));
            let age_ms = age.map(millis);
            let status = problem.status().as_u16();
            tracing::info!(id, version, age_ms, status, reason = problem.word(), "not taken");
            problem.answer(&dialect, &id)
        }
    };
    // A caller that keeps its connection would stay with a router that the balancer has taken out.
    if shared.is_stopping() || !shared.look(Core::is_ready) {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    drop(flight);
    Ok(answer)
}

/// Counts a request as long as it is served.
struct Flight(Arc<Shared>);

impl Flight {
    fn new(shared: Arc<Shared>) -> Self {
        shared.metrics.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(shared)
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.0.metrics.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Finds a request's route and customer, and reads its body.
async fn exchange<D: Dialect>(
    shared: &Arc<Shared>,
    dialect: &D,
    parts: request::Parts,
    body: Incoming,
    head: Head,
    came: Moment,
) -> Result<Exchange<D>, Problem> {
    shared.until_configured(head.deadline.map_or(Duration::MAX, |deadline| deadline / START_SHARE)).await;
    let table = shared.table.load_full();
    let (current, trusted) = shared.look(|core, now| (core.is_current(now), core.trusts_keys(now)));
    let unsure = Problem::Refused(Refusal::new(Reason::NotReady, COME_BACK));
    // Who isn't up to date can't tell that something doesn't exist.
    let missing = |problem| if current { problem } else { unsure };
    let host = host(&parts).unwrap_or_default();
    let route = table.route(host, parts.uri.path()).ok_or_else(|| missing(Problem::Route))?;
    let customer = if table.has_customers() && !route.public {
        let customer = head.key.as_deref().and_then(|key| table.customer(key));
        let customer = customer.ok_or_else(|| missing(Problem::Key))?;
        if !trusted {
            return Err(unsure);
        }
        Some(customer)
    } else {
        None
    };
    let draw = rapidhash::v3::rapidhash_v3(head.id.as_bytes());
    let service = route.service(draw).ok_or(Problem::Route)?.clone();
    let limits = table.document().limits;
    let exchange = Exchange::new(shared.clone(), dialect.clone(), route.clone(), service, head, parts, came);
    let reading = read(body, limits.body_bytes);
    let body = shared.clock.before(exchange.until, reading).await.unwrap_or(Err(Problem::Body))?;
    let exchange = exchange.with_body(body);
    Ok(match customer {
        Some(customer) => exchange.with_customer(customer),
        None => exchange,
    })
}

fn host(parts: &request::Parts) -> Option<&str> {
    let named = parts.headers.get(header::HOST).and_then(|value| value.to_str().ok());
    parts.uri.host().or(named)
}

async fn read(body: Incoming, limit: usize) -> Result<Bytes, Problem> {
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Problem::Large),
        Err(_) => Err(Problem::Body),
    }
}
