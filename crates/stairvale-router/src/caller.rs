//! The callers' interface: from a request's head to an answer or a typed "no".

use std::{
    convert::Infallible,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
};
use stairvale_control::{Input, io};
use stairvale_permit::request::Grant;
use stairvale_types::{Class, Moment, Reason, Refusal, id, unit};
use stairvale_wire::Profile;
use tokio::net::{TcpListener, TcpStream};

use crate::{
    Problem, Shared,
    body::Body,
    guard::{Permit, Place as InFlight},
    head::{Head, is_returning},
    metrics::Outcome,
    once,
    problem::{Bad, Unknown},
    relay::{self, Relay},
    shared::{Command, Place},
    upstream::{Call, Client, Failure, pass_on},
};

/// Upstreams that one request is tried at.
const TRIES: u32 = 3;
/// When to come back to a router that has no configuration or stops.
const RETRY_NOT_READY: Duration = Duration::from_secs(1);
/// When to come back to a router that serves as many requests as it can.
const RETRY_BUSY: Duration = Duration::from_secs(1);
/// A head that isn't whole by then is given up.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves callers until the listener's task is dropped.
pub async fn listen(shared: Arc<Shared>, listener: TcpListener) {
    let client = Client::new(shared.clone());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of file descriptors, most likely: wait for connections to end.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        tokio::spawn(connection(shared.clone(), client.clone(), stream));
    }
}

async fn connection(shared: Arc<Shared>, client: Client, stream: TcpStream) {
    let head = shared.settings.limits.head;
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT).max_buf_size(head);
    let list = u32::try_from(head).unwrap_or(u32::MAX);
    builder.http2().timer(TokioTimer::new()).max_header_list_size(list);
    let service = service_fn(move |request| answer(shared.clone(), client.clone(), request));
    // A broken connection is the caller's business; its requests were dropped with it.
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}

async fn answer(shared: Arc<Shared>, client: Client, request: Request<Incoming>) -> Result<Response<Body>, Infallible> {
    match request.uri().path() {
        "/healthz" => return Ok(plain_text(StatusCode::OK, "alive\n")),
        "/readyz" if shared.is_ready() => return Ok(plain_text(StatusCode::OK, "ready\n")),
        "/readyz" => return Ok(plain_text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")),
        _ => {}
    }
    let attempt = id::Attempt(uuid::Uuid::new_v4().as_u128());
    let begun = shared.now();
    let result = serve(&shared, &client, request, attempt, begun).await;
    let mut response = result.unwrap_or_else(|problem| {
        shared.metrics.problem(&problem);
        problem.respond(None)
    });
    if response.status().is_success() {
        shared.metrics.first_byte(shared.now().since(begun));
    }
    if let Ok(value) = HeaderValue::try_from(attempt.to_string()) {
        response.headers_mut().insert("stairvale-request", value);
    }
    Ok(response)
}

fn plain_text(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(Body::whole(text));
    *response.status_mut() = status;
    response
}

async fn serve(
    shared: &Arc<Shared>,
    client: &Client,
    request: Request<Incoming>,
    attempt: id::Attempt,
    begun: Moment,
) -> Result<Response<Body>, Problem> {
    let snapshot = shared.snapshot.load_full();
    if snapshot.generation.0 == 0 {
        return Err(Refusal::new(Reason::NotReady, RETRY_NOT_READY).into());
    }
    let (parts, body) = request.into_parts();
    let head = Head::parse(&snapshot, &parts.method, &parts.uri, &parts.headers)?;
    limit(shared, &head)?;
    let in_flight = InFlight::take(shared).ok_or_else(|| Refusal::new(Reason::Busy, RETRY_BUSY))?;
    let body = read(body, shared.settings.limits.body).await?;
    let repeatable = head.repeatable;
    let ready = Ready::new(&head, parts.method, parts.headers, body, attempt, begun);
    if repeatable {
        return serve_repeatable(shared, client, ready, in_flight).await;
    }
    // What must not be repeated goes on even if its caller leaves, so that its outcome is known to the next one.
    let (shared, client) = (shared.clone(), client.clone());
    let task = tokio::spawn(async move {
        let _in_flight = in_flight;
        once::serve(&shared, &client, ready).await
    });
    task.await.unwrap_or(Err(Unknown::Broken.into()))
}

/// The customer's own limit, before anything else is spent on the request.
fn limit(shared: &Shared, head: &Head<'_>) -> Result<(), Refusal> {
    let Some(limit) = &head.account.limit else {
        return Ok(());
    };
    let passed = limit.pass(shared.now());
    let customer = head.account.customer.name.clone();
    shared.tell(Input::Asked { customer, passed: passed.is_ok() });
    passed.map_err(|wait| Refusal::new(Reason::Limit, wait))
}

async fn read(body: Incoming, limit: usize) -> Result<Bytes, Bad> {
    let collected = Limited::new(body, limit).collect().await;
    match collected {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.downcast_ref::<LengthLimitError>().is_some() => Err(Bad::Body),
        Err(_) => Err(Bad::BodyBroken),
    }
}

// ----------------------------------------------------------------------------

/// A request that is whole and checked, ready to be placed.
#[derive(Debug)]
pub struct Ready {
    /// The request's own id, also its first attempt's.
    pub attempt: id::Attempt,
    /// The idempotency key.
    pub key: Option<id::Key>,
    /// What goes to the upstream.
    pub call: Call,
    /// When an answer is of no use any more.
    pub deadline: Moment,
    /// Upstreams that failed it.
    pub avoid: Vec<id::Upstream>,
    /// How long it waited for permits, all attempts together.
    pub waited: Duration,
    wish: io::Request,
    attempts: u32,
}

impl Ready {
    fn new(
        head: &Head<'_>,
        method: Method,
        headers: http::HeaderMap,
        body: Bytes,
        attempt: id::Attempt,
        begun: Moment,
    ) -> Self {
        let customer = &head.account.customer;
        let profile = Profile {
            service: head.service.name.clone(),
            customer: customer.name.clone(),
            weight: customer.weight,
            class: head.class,
            chat: head.chat,
            returning: head.chat.is_some() && is_returning(&body),
        };
        let wish = io::Request {
            attempt,
            profile,
            prompt: unit::Tokens::guess(body.len()),
            deadline: head.deadline,
            retry: false,
            avoid: Vec::new(),
        };
        let call = Call {
            method,
            path: head.rest.clone(),
            headers,
            body,
            attempt,
            class: head.class,
            customer: customer.name.clone(),
            chat: head.chat,
            import_from: None,
            fence: None,
        };
        let deadline = begun + head.deadline;
        Self { attempt, key: head.key, call, deadline, avoid: Vec::new(), waited: Duration::ZERO, wish, attempts: 0 }
    }

    /// The id of the next attempt: the request's own first, a new one for each retry.
    pub fn next_attempt(&mut self) -> id::Attempt {
        self.attempts += 1;
        if self.attempts == 1 {
            return self.attempt;
        }
        id::Attempt(uuid::Uuid::new_v4().as_u128())
    }

    /// Asks the control thread for an upstream.
    ///
    /// # Errors
    /// The refusal; nothing was sent under this attempt.
    pub async fn ask(&mut self, shared: &Shared, permit: &Permit) -> Result<(Place, Grant), Refusal> {
        let mut wish = self.wish.clone();
        wish.attempt = permit.attempt();
        wish.avoid.clone_from(&self.avoid);
        wish.retry = self.attempts > 1;
        wish.deadline = self.deadline.since(shared.now());
        let begun = shared.now();
        let decision = shared.ask(|reply| Command::Request(wish, reply)).await;
        let waited = shared.now().since(begun);
        shared.metrics.permit(waited);
        self.waited += waited;
        let grant = decision.ok_or_else(|| Refusal::new(Reason::NotReady, RETRY_NOT_READY))??;
        let snapshot = shared.snapshot.load();
        let place = snapshot.places.get(&grant.upstream).cloned();
        let place = place.ok_or_else(|| Refusal::new(Reason::NoUpstream, RETRY_NOT_READY))?;
        Ok((place, grant))
    }

    /// Fits the call to the upstream that was granted.
    pub fn prepare(&mut self, shared: &Shared, grant: &Grant, import: bool) {
        self.call.attempt = grant.attempt;
        self.call.class = if grant.over_share { Class::Bulk } else { self.wish.profile.class };
        let source = grant.import_from.as_ref().filter(|_| import);
        let snapshot = shared.snapshot.load();
        let place = source.and_then(|source| snapshot.places.get(source));
        self.call.import_from = place.map(|place| place.address.to_string());
    }
}

/// Serves a request that may run more than once, at another upstream if the first one fails before its first token.
async fn serve_repeatable(
    shared: &Arc<Shared>,
    client: &Client,
    mut ready: Ready,
    in_flight: InFlight,
) -> Result<Response<Body>, Problem> {
    let deadline = ready.deadline;
    // Whether an upstream may have it. The deadline can pass at any point below, so this is set before each try.
    let offered = AtomicBool::new(false);
    let mut in_flight = Some(in_flight);
    let work = async {
        for _ in 0..TRIES {
            let mut permit = Permit::new(shared.clone(), ready.next_attempt());
            let asked = ready.ask(shared, &permit).await;
            let (place, grant) = match asked {
                Ok(granted) => granted,
                Err(_) if offered.load(Ordering::Relaxed) => return Err(Unknown::Broken.into()),
                Err(refusal) => return Err(refusal.into()),
            };
            ready.prepare(shared, &grant, true);
            let before = offered.swap(true, Ordering::Relaxed);
            let failure = match client.ask(&place, &ready.call).await {
                Ok(response) if is_stream(&response) => {
                    match stream(shared, client, place, permit, response, &mut in_flight).await {
                        Ok(response) => return Ok(with_wait(response, ready.waited)),
                        Err(failure) => failure,
                    }
                }
                Ok(response) => {
                    let response = pass(shared, permit, response, &mut in_flight);
                    return Ok(with_wait(response, ready.waited));
                }
                Err(failure) => {
                    permit.fail(failure == Failure::Unreachable);
                    failure
                }
            };
            if failure == Failure::Unreachable {
                offered.store(before, Ordering::Relaxed);
            }
            shared.metrics.count(Outcome::Retried);
            ready.avoid.push(grant.upstream);
        }
        if offered.load(Ordering::Relaxed) {
            return Err(Unknown::Broken.into());
        }
        Err(Refusal::new(Reason::NoUpstream, RETRY_NOT_READY).into())
    };
    let result: Result<Result<_, Problem>, _> = shared.clock.before(deadline, work).await;
    result.unwrap_or_else(|_| {
        if offered.load(Ordering::Relaxed) {
            return Err(Unknown::Deadline.into());
        }
        Err(Refusal::new(Reason::Deadline, RETRY_NOT_READY).into())
    })
}

fn is_stream(response: &Response<Incoming>) -> bool {
    let content_type = response.headers().get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    content_type.is_some_and(|value| value.starts_with("text/event-stream"))
}

async fn stream(
    shared: &Arc<Shared>,
    client: &Client,
    place: Place,
    permit: Permit,
    response: Response<Incoming>,
    in_flight: &mut Option<InFlight>,
) -> Result<Response<Body>, Failure> {
    let (head, body) = response.into_parts();
    let mut relay = Relay::new(client.clone(), place, permit, body);
    let first = relay.first().await?;
    let in_flight = in_flight.take().ok_or(Failure::Broken)?;
    let pieces = relay.spawn(shared.clone(), first, in_flight);
    Ok(with_head(&head, Body::Stream(pieces)))
}

fn pass(
    shared: &Arc<Shared>,
    permit: Permit,
    response: Response<Incoming>,
    in_flight: &mut Option<InFlight>,
) -> Response<Body> {
    let (head, body) = response.into_parts();
    let Some(in_flight) = in_flight.take() else {
        return with_head(&head, Body::empty());
    };
    let pieces = relay::plain(shared.clone(), permit, body, in_flight);
    with_head(&head, Body::Stream(pieces))
}

/// Tells how long the request waited for its permits, in milliseconds, as the `server-timing` header of the W3C has it.
pub(crate) fn with_wait(mut response: Response<Body>, waited: Duration) -> Response<Body> {
    let text = format!("permit;dur={:.2}", waited.as_secs_f64() * 1e3);
    if let Ok(value) = HeaderValue::try_from(text) {
        response.headers_mut().append("server-timing", value);
    }
    response
}

fn with_head(head: &http::response::Parts, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = pass_on(&head.headers);
    response
}
