//! The life of one request: it is placed, sent to an upstream and, where its route allows that, retried at another one.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Response, StatusCode, header, request, response};
use hyper::body::Incoming;
use stairvale_dispatch::{Contents, Outcome};
use stairvale_memory::{Content, Reservation};
use stairvale_table::{self as table, Route};
use stairvale_types::{Moment, id};

use crate::{
    Dialect, Shared,
    body::Body,
    dialect::Head,
    events::{Events, is_event_stream},
    fingerprint,
    frame::Origin,
    framing::Framing,
    hop::strip,
    permit::Permit,
    problem::Problem,
    traffic::Kind,
    upstream::{Connection, Fault},
};

mod buffer;
mod ending;
mod origin;
mod send;

use buffer::{Buffered, MAX_BUFFERED_BYTES, read_buffered, read_first};

/// A request that is being served.
pub struct Exchange<D> {
    /// State that all tasks of the process share.
    pub shared: Arc<Shared>,
    /// The installation's HTTP dialect.
    pub dialect: D,
    /// The route that the request matched.
    pub route: Route,
    /// The service that was selected for the request.
    pub service: id::Service,
    /// The request head as the dialect parsed it.
    pub head: Head,
    /// The raw request head.
    pub parts: request::Parts,
    /// The request body, for as long as it may have to be sent.
    pub body: Content,
    /// The customer that sent the request, if customers are identified.
    pub customer: Option<id::Customer>,
    /// The priority, from 0 to 9.
    pub priority: u8,
    /// The only zones whose upstreams may run the request; `None` for any.
    pub allowed_zones: Option<Vec<id::Zone>>,
    /// When the request arrived.
    pub received_at: Moment,
    /// When the client stops waiting for the response.
    pub deadline: Moment,
    /// What may make upstreams crash that run the request; set by [`Exchange::run`], when the body is known.
    contents: Contents,
    /// Where the stream began that this request begins or continues; `None` before its first event.
    origin: Option<Origin>,
    attempts: Attempts,
    /// The memory that is reserved for the request, until its answer has ended.
    reservation: Option<Reservation>,
}

/// Which upstreams were tried for a request, and with which results.
#[derive(Debug, Default)]
struct Attempts {
    /// Number of upstreams that may have run the request.
    runs: u32,
    /// Whether the request is being sent to an upstream, which may run it from now on.
    is_sending: bool,
    /// Number of upstreams that rejected the request without running it.
    rejections: u32,
    /// Upstreams that further attempts must not use.
    avoid: Vec<id::Upstream>,
    /// An error response of an upstream, kept until another upstream has run the request.
    held_failure: Option<HeldFailure>,
}

/// Why a request must not be sent to another upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NoRetry {
    /// The request may run only once.
    NotRepeatable,
    /// The route's attempts are used up.
    Attempts,
    /// The request's deadline passed.
    Deadline,
    /// The retry budget is exhausted.
    Budget,
}

impl NoRetry {
    /// Whether no retry will be allowed later either.
    pub(crate) const fn is_final(self) -> bool {
        match self {
            Self::NotRepeatable | Self::Attempts | Self::Deadline => true,
            Self::Budget => false,
        }
    }

    /// The name in logs.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::NotRepeatable => "not-repeatable",
            Self::Attempts => "attempts",
            Self::Deadline => "deadline",
            Self::Budget => "budget",
        }
    }
}

/// A server error that an upstream returned and that is held back, since a retry elsewhere may succeed.
#[derive(Debug)]
struct HeldFailure {
    response: Response<Body>,
    /// Number of upstreams that may have run the request when this response arrived.
    runs: u32,
}

/// An upstream's response whose head has been read.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// The response head.
    pub head: response::Parts,
    /// The response body, of which the rest is still arriving.
    pub body: Incoming,
    /// The connection on which the response arrives.
    pub connection: Connection,
    /// How the end of the body is recognized.
    pub framing: Framing,
    /// The permit under which the request runs at the upstream.
    pub permit: Permit,
}

impl<D: Dialect> Exchange<D> {
    /// Creates the exchange for a request that arrived at `received_at`.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        shared: Arc<Shared>,
        dialect: D,
        route: Route,
        service: id::Service,
        head: Head,
        parts: request::Parts,
        received_at: Moment,
    ) -> Self {
        let limit = head.deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
        let deadline = received_at + limit;
        let (body, customer, priority, attempts) = (Content::default(), None, route.priority, Attempts::default());
        let exchange = Self {
            shared,
            dialect,
            route,
            service,
            head,
            parts,
            body,
            customer,
            priority,
            allowed_zones: None,
            received_at,
            deadline,
            contents: Contents::default(),
            origin: None,
            attempts,
            reservation: None,
        };
        let regions = exchange.route.regions.clone();
        exchange.restrict_to_regions(&regions)
    }

    /// Sets the request body.
    #[must_use]
    pub fn with_body(mut self, body: Content) -> Self {
        self.body = body;
        self
    }

    /// Sets the memory that is reserved for the request.
    #[must_use]
    pub fn with_reservation(mut self, reservation: Reservation) -> Self {
        self.reservation = Some(reservation);
        self
    }

    /// Sets the customer. The customer's priority takes precedence over the route's.
    #[must_use]
    pub fn with_customer(mut self, customer: &stairvale_table::Customer) -> Self {
        /// Number of route priorities that are distinguished within one customer priority.
        const ROUTE_PRIORITIES: u8 = 3;
        self = self.restrict_to_regions(&customer.regions);
        self.customer = Some(customer.name.clone());
        let rank = customer
            .priority
            .saturating_mul(ROUTE_PRIORITIES)
            .saturating_add(self.route.priority.min(ROUTE_PRIORITIES - 1));
        self.priority = rank.min(9);
        self
    }

    /// Restricts the request to upstreams in the given regions, if any are given. If both the route and the customer
    /// name regions, both restrictions apply.
    fn restrict_to_regions(mut self, regions: &[id::Region]) -> Self {
        if !regions.is_empty() {
            let zones = self.shared.settings.zones_of(regions);
            let allowed =
                zones.into_iter().filter(|zone| self.allowed_zones.as_ref().is_none_or(|all| all.contains(zone)));
            self.allowed_zones = Some(allowed.collect());
        }
        self
    }

    /// Serves the request and returns a complete response, from an upstream or generated by this router, or the
    /// beginning of a stream.
    pub async fn run(&mut self) -> Served {
        self.shared.modify(|core, now| core.count(now, &self.service));
        let fingerprint = fingerprint::of_parts(&self.parts, self.customer.as_ref(), self.body.parts());
        self.contents = Contents::new(fingerprint, self.customer.clone(), &self.head.parts);
        self.serve().await.unwrap_or_else(|problem| {
            self.log_problem(problem);
            Served::Complete(problem.into_response(&self.dialect, &self.head.id))
        })
    }

    async fn serve(&mut self) -> Result<Served, Problem> {
        self.find_origin().await?;
        loop {
            let reply = match self.dispatch(None).await {
                Ok(reply) => reply,
                Err(problem) => return self.take_held_failure().map(Served::Complete).ok_or(problem),
            };
            self.release_body();
            // Further attempts must not use this upstream again.
            self.attempts.avoid.push(reply.permit.upstream.id.clone());
            if self.route.kind == table::Kind::Stream && reply.head.status.is_success() || exceeds_buffer(&reply.head) {
                match self.begin_stream(reply).await {
                    Ok(stream) => return Ok(stream),
                    Err(problem) => self.retry_or_fail(problem)?,
                }
                continue;
            }
            let failed = reply.head.status.is_server_error();
            match self.read_complete(reply).await {
                Ok(Served::Complete(response)) if failed && self.try_start_retry().is_ok() => {
                    self.attempts.held_failure = Some(HeldFailure { response, runs: self.attempts.runs });
                }
                Ok(served) => return Ok(served),
                Err(problem) => self.retry_or_fail(problem)?,
            }
        }
    }

    /// Waits for the first event of a stream, so that a failure before it can still be reported with an error status.
    async fn begin_stream(&mut self, mut reply: UpstreamResponse) -> Result<Served, Problem> {
        let mut events = self.events_of(&reply);
        let reading = read_first(&mut reply.body, reply.connection.meter(), reply.framing, events.as_mut());
        match self.await_upstream(&reply.permit, reading).await {
            Ok(first) => {
                reply.permit.begun();
                self.shared.count_traffic(Kind::Answer, &reply.permit, first.len());
                self.shared.metrics.record_first_byte(self.elapsed());
                if events.is_some() {
                    self.record_origin(&reply.permit);
                }
                Ok(Served::Stream { reply: Box::new(reply), events, first })
            }
            Err(fault) => Err(self.fail_attempt(&fault, reply.permit).await),
        }
    }

    /// The events of a response; `None` if it isn't a stream of events. They are passed on as they arrive unless the stream
    /// can be resumed.
    fn events_of(&self, reply: &UpstreamResponse) -> Option<Events> {
        if self.route.kind != table::Kind::Stream || !is_event_stream(&reply.head.headers) {
            return None;
        }
        Some(if self.route.resumable { Events::default() } else { Events::immediate() })
    }

    /// Reads a non-streamed response completely before any of it is forwarded to the client, unless it proves too long.
    async fn read_complete(&mut self, mut reply: UpstreamResponse) -> Result<Served, Problem> {
        let body = match self
            .await_upstream(&reply.permit, read_buffered(&self.shared, &mut reply.body, reply.connection.meter()))
            .await
        {
            Ok(Buffered::Whole(body)) => body,
            Ok(Buffered::Beginning(first)) => {
                reply.permit.begun();
                self.shared.count_traffic(Kind::Answer, &reply.permit, first.len());
                self.shared.metrics.record_first_byte(self.elapsed());
                return Ok(Served::Stream { reply: Box::new(reply), events: None, first });
            }
            Err(fault) => return Err(self.fail_attempt(&fault, reply.permit).await),
        };
        let UpstreamResponse { mut head, connection, framing, permit, .. } = reply;
        if framing == Framing::CloseDelimited {
            let ended = if body.is_empty() && promises_body(head.status) {
                Err(Fault::Broken)
            } else {
                self.await_upstream(&permit, self.check_end(&permit, &connection)).await
            };
            if let Err(fault) = ended {
                return Err(self.fail_attempt(&fault, permit).await);
            }
        }
        self.shared.count_traffic(Kind::Answer, &permit, body.len());
        self.shared.upstreams.release(connection, &head.headers);
        tracing::info!(
            id = self.head.id, route = self.route.name, upstream = %permit.upstream.id, status = head.status.as_u16(),
            tries = self.attempts.runs, ms = millis(self.elapsed()), %framing, "answered"
        );
        self.shared.metrics.record_first_byte(self.elapsed());
        match head.status {
            // The request's deadline expired; a short deadline is not the upstream's fault.
            StatusCode::GATEWAY_TIMEOUT => permit.end(Outcome::Abandoned),
            status if status.is_server_error() => permit.end(Outcome::Failed),
            _ => permit.served(),
        }
        strip(&mut head.headers);
        head.headers.remove(header::CONTENT_LENGTH);
        Ok(Served::Complete(Response::from_parts(head, Body::complete(body))))
    }

    // ------------------------------------------------------------------------
    // Attempts and retries.

    /// Returns `problem` unless the request may be retried after an attempt that may have run and did not succeed.
    fn retry_or_fail(&mut self, problem: Problem) -> Result<(), Problem> {
        self.try_start_retry().map_err(|_| problem)
    }

    /// Charges a retry to the budget, so that the request may be sent to another upstream although it may have run
    /// already.
    ///
    /// # Errors
    /// A [`NoRetry`] if the request must not be sent again.
    pub(crate) fn try_start_retry(&mut self) -> Result<(), NoRetry> {
        if !self.route.is_repeatable() {
            return Err(NoRetry::NotRepeatable);
        }
        if self.attempts.runs >= self.route.attempts {
            return Err(NoRetry::Attempts);
        }
        if self.time_left().is_zero() {
            return Err(NoRetry::Deadline);
        }
        if !self.take_retry("failure") {
            return Err(NoRetry::Budget);
        }
        self.shared.metrics.count("retry");
        Ok(())
    }

    /// Releases the body if it won't be sent again. An upstream that is still reading it holds a copy of its own.
    pub(crate) fn release_body(&mut self) {
        if !self.route.is_repeatable() || self.attempts.runs >= self.route.attempts {
            self.body = Content::default();
        }
    }

    /// Charges a retry to the budget; `false` if the budget is exhausted. `cause` says why the last attempt ended.
    pub(crate) fn take_retry(&self, cause: &'static str) -> bool {
        let (allowed, usage, routers, peers_excess) = self.shared.modify(|core, now| {
            let peers_excess = core.excess_of_peers(now, &self.service);
            let allowed = core.take_retry(now, &self.service);
            (allowed, core.retry_usage(&self.service), core.budget_sharers(), peers_excess)
        });
        if allowed {
            tracing::info!(
                id = self.head.id, route = self.route.name, service = %self.service, tries = self.attempts.runs, cause,
                requests = usage.requests, retries = usage.retries, routers, peers_excess, "retrying at another upstream"
            );
        } else {
            self.shared.metrics.count("retry-over-budget");
            if peers_excess > 0.0 {
                self.shared.metrics.count("retry-beside-excess");
            }
        }
        allowed
    }

    /// Takes the error response of the last upstream if the request has run nowhere since: it tells the client more
    /// than any error that this router could generate.
    fn take_held_failure(&mut self) -> Option<Response<Body>> {
        let runs = self.attempts.runs;
        self.attempts.held_failure.take().filter(|failure| failure.runs == runs).map(|failure| {
            self.shared.metrics.count("failure-handed-on");
            failure.response
        })
    }

    /// Excludes an upstream from further attempts.
    pub(crate) fn avoid(&mut self, upstream: &id::Upstream) {
        if !self.attempts.avoid.contains(upstream) {
            self.attempts.avoid.push(upstream.clone());
        }
    }

    /// Records that an attempt was given up, if there is one: its upstream may have run the request.
    pub(crate) fn cancel_attempt(&mut self) {
        self.attempts.runs += u32::from(std::mem::take(&mut self.attempts.is_sending));
    }

    // ------------------------------------------------------------------------

    /// The time left until the request's deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.since(self.shared.now())
    }

    /// Number of upstreams that may have run the request.
    pub(crate) const fn runs(&self) -> u32 {
        self.attempts.runs
    }

    /// The time since the request arrived.
    pub(crate) fn elapsed(&self) -> Duration {
        self.shared.now().since(self.received_at)
    }

    fn log_problem(&self, problem: Problem) {
        self.shared.metrics.count(problem.label());
        let (version, age) = self.shared.query(|core, now| (core.table().version(), core.view().age(now)));
        tracing::info!(
            id = self.head.id, route = self.route.name, service = %self.service, fingerprint = %self.contents.fingerprint, version, age_ms = age.map(millis),
            runs = self.attempts.runs, turned_away = self.attempts.rejections, avoided = ?self.attempts.avoid,
            ms = millis(self.elapsed()), status = problem.status().as_u16(), reason = problem.label(), "not served"
        );
    }
}

/// The result of serving a request.
#[derive(Debug)]
pub enum Served {
    /// A complete response.
    Complete(Response<Body>),
    /// The beginning of a successful stream or of a large response.
    Stream {
        /// The response, of which the rest is still arriving.
        reply: Box<UpstreamResponse>,
        /// The events of the stream; `None` if the body isn't a stream of events.
        events: Option<Events>,
        /// What is to be passed on first; empty if the body is.
        first: Bytes,
    },
}

/// Whether a response with this status has a body, which may be empty if the response states its end. A close-delimited body that
/// hasn't begun looks like one that was cut off.
fn promises_body(status: StatusCode) -> bool {
    status.is_success() && status != StatusCode::RESET_CONTENT
}

fn exceeds_buffer(head: &response::Parts) -> bool {
    let length = head.headers.get(header::CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    length.is_some_and(|length| length > MAX_BUFFERED_BYTES)
}

pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
