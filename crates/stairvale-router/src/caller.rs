//! The callers' interface: accepts requests, obtains permits for them, and answers with the upstream's response or a
//! typed [`Problem`].

use std::{
    convert::Infallible,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
};
use stairvale_control::{Input, io};
use stairvale_link::set_receive_buffer;
use stairvale_memory::{
    Connections, Content,
    connections::{Connection, InUse},
    machine, receive,
};
use stairvale_permit::request::Grant;
use stairvale_types::{Class, Moment, Reason, Refusal, id, unit};
use stairvale_wire::Profile;
use tokio::net::{TcpListener, TcpStream};

use crate::{
    Problem, Shared,
    body::Body,
    end::End,
    guard::{InFlight, Permit},
    head::{Head, is_returning_chat},
    metrics::Outcome,
    once,
    problem::Unknown,
    relay::{PlainAnswer, Relay},
    shared::{Command, Endpoint, Placement},
    upstream::{Call, Client, Failure, forwarded_headers},
};

/// Limits how many upstreams are tried for one request.
const MAX_TRIES: u32 = 3;
/// The retry delay sent to the caller if this router can't place the request, such as without a configuration or while
/// it stops.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The retry delay sent to the caller if this router already serves its maximum number of requests.
const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Limits how long a caller may take to send a complete HTTP/1 head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Bytes that a connection takes: its buffers, among them a head of the longest usual size, and what the kernel has received
/// for it.
const CONNECTION_BYTES: usize = 64 << 10;
/// Bytes that the kernel may have received for a connection and the process hasn't read.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;
/// Bytes of all requests of an HTTP/2 connection that may wait to be read.
const CONNECTION_WINDOW_BYTES: u32 = 64 << 10;

/// Accepts callers' connections until the task is dropped.
pub async fn listen(shared: Arc<Shared>, listener: TcpListener) {
    let client = Client::new(shared.clone());
    // Without this bound the kernel would extend the buffers of connections that send much.
    let _ = set_receive_buffer(&listener, RECEIVE_BUFFER_BYTES);
    let limit = machine::max_connections(&shared.memory, CONNECTION_BYTES);
    let connections = Connections::new(shared.clock.clone(), shared.memory.clone(), CONNECTION_BYTES, limit);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Most likely the process is out of file descriptors: wait for connections to close.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Some(open) = connections.open_or_replace().await else {
            shared.metrics.connections_refused.fetch_add(1, Ordering::Relaxed);
            continue;
        };
        let _ = stream.set_nodelay(true);
        tokio::spawn(connection(shared.clone(), client.clone(), stream, open));
    }
}

async fn connection(shared: Arc<Shared>, client: Client, stream: TcpStream, open: Connection) {
    let max_head = shared.settings.limits.head;
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT).max_buf_size(max_head);
    let max_header_list = u32::try_from(max_head).unwrap_or(u32::MAX);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(max_header_list)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES);
    // The library reserves the memory of the service's future for as long as the connection is open, also while it is idle.
    let service = service_fn(|request| Box::pin(handle(shared.clone(), client.clone(), open.begin_use(), request)));
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        // Errors of a connection need no handling: its requests are dropped together with it.
        _ = connection.as_mut() => return,
        () = open.asked_to_close() => {}
    }
    if open.was_used() {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}

async fn handle(
    shared: Arc<Shared>,
    client: Client,
    in_use: InUse,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    match request.uri().path() {
        "/healthz" => return Ok(plain_text(StatusCode::OK, "alive\n")),
        "/readyz" if shared.is_ready() => return Ok(plain_text(StatusCode::OK, "ready\n")),
        "/readyz" => return Ok(plain_text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")),
        _ => {}
    }
    let attempt = id::Attempt(uuid::Uuid::new_v4().as_u128());
    let started_at = shared.now();
    let result = serve(&shared, &client, in_use, request, attempt, started_at).await;
    let mut response = result.unwrap_or_else(|problem| {
        shared.metrics.count_problem(&problem);
        problem.respond(None)
    });
    if response.status().is_success() {
        shared.metrics.record_first_byte(shared.now().since(started_at));
    }
    if let Ok(value) = HeaderValue::try_from(attempt.to_string()) {
        response.headers_mut().insert("stairvale-request", value);
    }
    Ok(response)
}

fn plain_text(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(Body::complete(text));
    *response.status_mut() = status;
    response
}

async fn serve(
    shared: &Arc<Shared>,
    client: &Client,
    in_use: InUse,
    request: Request<Incoming>,
    attempt: id::Attempt,
    started_at: Moment,
) -> Result<Response<Body>, Problem> {
    let snapshot = shared.snapshot.load_full();
    if snapshot.generation.0 == 0 {
        return Err(Refusal::new(Reason::NotReady, DEFAULT_RETRY_AFTER).into());
    }
    let (parts, mut body) = request.into_parts();
    let head = Head::parse(&snapshot, &parts.method, &parts.uri, &parts.headers)?;
    check_rate_limit(shared, &head)?;
    let in_flight = InFlight::acquire(shared, in_use).ok_or_else(|| Refusal::new(Reason::Busy, BUSY_RETRY_AFTER))?;
    let (account, limit) = (Some(head.account.customer.name.clone()), shared.settings.limits.body);
    let receiving = receive(&shared.memory, &shared.clock, account, &mut body, limit, |_| ());
    let received = shared.clock.with_deadline(started_at + head.deadline, receiving).await;
    let body = received.unwrap_or(Err(receive::Fault::Incomplete))?;
    let repeatable = head.repeatable;
    let pending = PendingRequest::new(&head, parts.method, parts.headers, body, attempt, started_at);
    if repeatable {
        return serve_repeatable(shared, client, pending, in_flight).await;
    }
    // A request that must not be repeated runs in a task of its own and continues if its caller disconnects, so that a
    // repetition with the same key finds its outcome.
    let (shared, client) = (shared.clone(), client.clone());
    let task = tokio::spawn(async move {
        let _in_flight = in_flight;
        once::serve(&shared, &client, pending).await
    });
    task.await.unwrap_or(Err(Unknown::IncompleteAnswer.into()))
}

/// Applies the customer's rate limit, before any other work is done for the request.
fn check_rate_limit(shared: &Shared, head: &Head<'_>) -> Result<(), Refusal> {
    let Some(limit) = &head.account.limit else {
        return Ok(());
    };
    let admitted = limit.admit(shared.now());
    let customer = head.account.customer.name.clone();
    shared.notify_control(Input::RateLimitChecked { customer, passed: admitted.is_ok() });
    admitted.map_err(|wait| Refusal::new(Reason::Limit, wait))
}

// ----------------------------------------------------------------------------

/// A completely received and validated request that waits for an upstream.
#[derive(Debug)]
pub struct PendingRequest {
    /// The request's id, which is also the id of its first attempt.
    pub attempt: id::Attempt,
    /// The idempotency key, if the caller sent one.
    pub key: Option<id::Key>,
    /// The request to the upstream.
    pub call: Call,
    /// The time after which the caller no longer waits for an answer.
    pub deadline: Moment,
    /// Upstreams that already failed or refused this request.
    pub avoid: Vec<id::Upstream>,
    /// The total time that all attempts waited for permits.
    pub waited: Duration,
    permit_request: io::Request,
    attempts: u32,
}

impl PendingRequest {
    fn new(
        head: &Head<'_>,
        method: Method,
        headers: http::HeaderMap,
        body: Content,
        attempt: id::Attempt,
        started_at: Moment,
    ) -> Self {
        let customer = &head.account.customer;
        let profile = Profile {
            service: head.service.name.clone(),
            customer: customer.name.clone(),
            weight: customer.weight,
            class: head.class,
            chat: head.chat,
            returning: head.chat.is_some() && is_returning_chat(body.reader()),
        };
        let permit_request = io::Request {
            attempt,
            profile,
            prompt: unit::Tokens::estimate(body.len()),
            deadline: head.deadline,
            retry: false,
            avoid: Vec::new(),
        };
        let call = Call {
            method,
            path: head.upstream_path.clone(),
            headers,
            body,
            attempt,
            class: head.class,
            customer: customer.name.clone(),
            chat: head.chat,
            import_from: None,
            fence: None,
        };
        let deadline = started_at + head.deadline;
        Self {
            attempt,
            key: head.key,
            call,
            deadline,
            avoid: Vec::new(),
            waited: Duration::ZERO,
            permit_request,
            attempts: 0,
        }
    }

    /// The id of the next attempt: the request's id for the first one, a new id for each retry.
    pub fn next_attempt(&mut self) -> id::Attempt {
        self.attempts += 1;
        if self.attempts == 1 {
            return self.attempt;
        }
        id::Attempt(uuid::Uuid::new_v4().as_u128())
    }

    /// Requests a permit from the control thread, which chooses the upstream.
    ///
    /// # Errors
    /// The refusal, if no permit was granted; nothing was sent to an upstream in this attempt.
    pub async fn acquire_permit(&mut self, shared: &Shared, permit: &Permit) -> Result<(Endpoint, Grant), Refusal> {
        let mut permit_request = self.permit_request.clone();
        permit_request.attempt = permit.attempt();
        permit_request.avoid.clone_from(&self.avoid);
        permit_request.retry = self.attempts > 1;
        permit_request.deadline = self.deadline.since(shared.now());
        let started_at = shared.now();
        let decision = shared.call_control(|reply| Command::Request(permit_request, reply)).await;
        let waited = shared.now().since(started_at);
        shared.metrics.record_permit_wait(waited);
        self.waited += waited;
        let placement = decision.ok_or_else(|| Refusal::new(Reason::NotReady, DEFAULT_RETRY_AFTER))??;
        let Placement { grant, endpoint } = placement;
        let endpoint = endpoint.ok_or_else(|| Refusal::new(Reason::NoUpstream, DEFAULT_RETRY_AFTER))?;
        Ok((endpoint, grant))
    }

    /// Fills in the parts of the call that depend on the grant: the attempt, the class and, if `import` is set, the
    /// engine that the chat's KV cache can be fetched from.
    pub fn prepare_call(&mut self, shared: &Shared, grant: &Grant, import: bool) {
        self.call.attempt = grant.attempt;
        self.call.class = if grant.over_share { Class::Bulk } else { self.permit_request.profile.class };
        let source = grant.import_from.as_ref().filter(|_| import);
        let snapshot = shared.snapshot.load();
        let endpoint = source.and_then(|source| snapshot.endpoints.get(source));
        self.call.import_from = endpoint.map(|endpoint| endpoint.address.to_string());
    }
}

/// Serves a request that may run more than once. If an upstream fails before the first event of its answer, the request
/// is retried at another upstream.
async fn serve_repeatable(
    shared: &Arc<Shared>,
    client: &Client,
    mut pending: PendingRequest,
    in_flight: InFlight,
) -> Result<Response<Body>, Problem> {
    let deadline = pending.deadline;
    // Whether an upstream may have received the request. It is set before each try, since the deadline can cancel the
    // work below at any await point.
    let maybe_sent = AtomicBool::new(false);
    let mut in_flight = Some(in_flight);
    let work = async {
        for _ in 0..MAX_TRIES {
            let mut permit = Permit::new(shared.clone(), pending.next_attempt());
            let granted = pending.acquire_permit(shared, &permit).await;
            let (endpoint, grant) = match granted {
                Ok(granted) => granted,
                Err(_) if maybe_sent.load(Ordering::Relaxed) => return Err(Unknown::IncompleteAnswer.into()),
                Err(refusal) => return Err(refusal.into()),
            };
            pending.prepare_call(shared, &grant, true);
            let sent_before = maybe_sent.swap(true, Ordering::Relaxed);
            let failure = match client.send_pooled(&endpoint, &pending.call).await {
                Ok(response) if is_stream(&response) => {
                    match respond_stream(shared, client, endpoint, permit, response, &mut in_flight).await {
                        Ok(response) => return Ok(with_permit_wait(response, pending.waited)),
                        Err(failure) => failure,
                    }
                }
                Ok(response) => {
                    let response = respond_plain(shared, client, endpoint, permit, response, &mut in_flight);
                    return Ok(with_permit_wait(response, pending.waited));
                }
                Err(failure) => {
                    permit.fail(failure == Failure::Unreachable);
                    failure
                }
            };
            if failure == Failure::Unreachable {
                maybe_sent.store(sent_before, Ordering::Relaxed);
            }
            shared.metrics.count(Outcome::Retried);
            pending.avoid.push(grant.upstream);
        }
        if maybe_sent.load(Ordering::Relaxed) {
            return Err(Unknown::IncompleteAnswer.into());
        }
        Err(Refusal::new(Reason::NoUpstream, DEFAULT_RETRY_AFTER).into())
    };
    let result: Result<Result<_, Problem>, _> = shared.clock.with_deadline(deadline, work).await;
    result.unwrap_or_else(|_| {
        if maybe_sent.load(Ordering::Relaxed) {
            return Err(Unknown::Deadline.into());
        }
        Err(Refusal::new(Reason::Deadline, DEFAULT_RETRY_AFTER).into())
    })
}

fn is_stream(response: &Response<Incoming>) -> bool {
    let content_type = response.headers().get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    content_type.is_some_and(|value| value.starts_with("text/event-stream"))
}

async fn respond_stream(
    shared: &Arc<Shared>,
    client: &Client,
    endpoint: Endpoint,
    permit: Permit,
    response: Response<Incoming>,
    in_flight: &mut Option<InFlight>,
) -> Result<Response<Body>, Failure> {
    let (head, body) = response.into_parts();
    let mut relay = Relay::new(client.clone(), endpoint, permit, body);
    let first = relay.first_event().await?;
    let in_flight = in_flight.take().ok_or(Failure::Incomplete)?;
    let pieces = relay.spawn(shared.clone(), first, in_flight);
    Ok(with_head(&head, Body::Stream(pieces)))
}

fn respond_plain(
    shared: &Arc<Shared>,
    client: &Client,
    endpoint: Endpoint,
    permit: Permit,
    response: Response<Incoming>,
    in_flight: &mut Option<InFlight>,
) -> Response<Body> {
    let end = End::of(&response);
    let (head, body) = response.into_parts();
    let Some(in_flight) = in_flight.take() else {
        return with_head(&head, Body::empty());
    };
    let answer = PlainAnswer { client: client.clone(), endpoint, permit, body, end };
    let pieces = answer.spawn(shared.clone(), in_flight);
    with_head(&head, Body::Stream(pieces))
}

/// Adds the time that the request waited for its permits, in milliseconds, as a `server-timing` header (W3C Server
/// Timing).
pub(crate) fn with_permit_wait(mut response: Response<Body>, waited: Duration) -> Response<Body> {
    let text = format!("permit;dur={:.2}", waited.as_secs_f64() * 1e3);
    if let Ok(value) = HeaderValue::try_from(text) {
        response.headers_mut().append("server-timing", value);
    }
    response
}

fn with_head(head: &http::response::Parts, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = forwarded_headers(&head.headers);
    response
}
