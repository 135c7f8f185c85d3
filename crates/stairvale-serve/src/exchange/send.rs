//! One attempt at a request: obtaining a permit at an upstream, sending the request and reading the response head.

use std::{fmt, time::Duration};

use http::{HeaderMap, Request, header, response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use stairvale_dispatch::{Ask, Outcome, Part};
use stairvale_memory::Content;
use stairvale_replica::Upstream;
use stairvale_types::{Moment, Refusal, id, outcome::Reason};

use super::{Exchange, UpstreamResponse, millis};
use crate::{
    Dialect,
    core::Core,
    dialect::{Order, ResponseKind},
    framing::Framing,
    hop::strip,
    permit::{self, Permit, PermitRequest},
    problem::Problem,
    traffic::{self, Kind},
    upstream::{Connection, Fault},
};

/// A request waits for a permit for at most the route's objective divided by this; then it is refused.
const QUEUE_TIME_DIVISOR: u32 = 5;
/// Number of upstreams that may reject a request as full or gone before the client is told to retry later.
const MAX_REJECTIONS: u32 = 3;
/// Maximum size of a rejection's body whose connection is used again.
const MAX_REJECTION_BYTES: usize = 16 << 10;
/// How long an attempt at a repeatable request waits for the upstream, as a multiple of the route's objective; after
/// that the request is sent to another upstream.
const ATTEMPT_TIMEOUT_OBJECTIVES: u32 = 2;
/// `Retry-After` for a request that could not be sent: its deadline passed, its key could not be checked, or too many
/// upstreams rejected it.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Why an attempt produced no response.
enum AttemptError {
    /// The request has not run; trying another upstream is not counted as a further run.
    NotRun,
    /// The request may have run; the client gets this problem.
    MayHaveRun(Problem),
}

/// The ids of a prompt's parts, as they are logged: hexadecimal, in order, separated by commas.
struct PartIds<'a>(&'a [Part]);

impl fmt::Display for PartIds<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, part) in self.0.iter().enumerate() {
            let separator = if index > 0 { "," } else { "" };
            write!(f, "{separator}{:x}", part.id)?;
        }
        Ok(())
    }
}

impl<D: Dialect> Exchange<D> {
    /// Places and sends the request until an upstream responds. `last_event` asks a resumable stream to continue after
    /// that event.
    pub(crate) async fn dispatch(&mut self, last_event: Option<&str>) -> Result<UpstreamResponse, Problem> {
        loop {
            if self.time_left().is_zero() {
                return Err(self.expired(Reason::Deadline));
            }
            self.check_quarantine()?;
            let permit = self.acquire_permit().await?;
            self.check_key()?;
            // While the request waited, similar requests may have crashed upstreams, or the VM may have been suspended.
            self.check_quarantine()?;
            if self.time_left().is_zero() {
                return Err(self.expired(Reason::Deadline));
            }
            let upstream = permit.upstream.id.clone();
            match self.send(permit, last_event).await {
                Ok(reply) => return Ok(reply),
                Err(error) => {
                    self.attempts.avoid.push(upstream);
                    match error {
                        AttemptError::NotRun => self.count_rejection()?,
                        AttemptError::MayHaveRun(problem) => self.retry_or_fail(problem)?,
                    }
                }
            }
        }
    }

    /// Checks that the request's key is still valid: it may have been revoked while the request waited, or this
    /// router's copy of the configuration may have become too old to decide that.
    fn check_key(&self) -> Result<(), Problem> {
        let Some(customer) = &self.customer else {
            return Ok(());
        };
        let table = self.shared.table.load();
        let key = self.head.key.as_deref();
        let valid = key.and_then(|key| table.customer(key)).is_some_and(|known| &known.name == customer);
        let (current, trusted) = self.shared.query(|core, now| (core.is_current(now), core.trusts_keys(now)));
        if valid && trusted {
            return Ok(());
        }
        // A router whose configuration isn't current can't conclude that a key doesn't exist.
        let not_ready = Problem::Refused(Refusal::new(Reason::NotReady, RETRY_AFTER));
        let problem = if current && !valid { Problem::UnknownKey } else { not_ready };
        Err(if self.attempts.runs > 0 { Problem::UpstreamFailed } else { problem })
    }

    /// Checks that the fleet has not quarantined the request, or a part of its prompt, because upstreams crash when they
    /// run it.
    fn check_quarantine(&self) -> Result<(), Problem> {
        let Some(left) = self.shared.query(|core, now| core.quarantine_of(now, &self.contents)) else {
            return Ok(());
        };
        let refused = Problem::Refused(Refusal::new(Reason::Quarantined, left));
        Err(if self.attempts.runs > 0 { Problem::UpstreamFailed } else { refused })
    }

    /// Obtains a permit at an upstream that has not been tried yet.
    async fn acquire_permit(&mut self) -> Result<Permit, Problem> {
        let patience = self.route.objective / QUEUE_TIME_DIVISOR;
        let patience = patience.saturating_sub(self.elapsed()).max(patience / 4).min(self.time_left());
        let mut avoid = self.attempts.avoid.clone();
        avoid.extend(self.upstreams_of_other_versions()?);
        let ask = Ask {
            attempt: id::Attempt(0),
            entry: self.shared.settings.router.clone(),
            zone: self.shared.settings.zone.clone(),
            customer: self.customer.clone(),
            route: id::Route::of(&self.route.name),
            fingerprint: self.contents.fingerprint,
            priority: self.priority,
            repeatable: self.route.is_repeatable(),
            parts: self.head.parts.clone(),
            output: self.head.output,
            objective: self.route.objective,
            patience,
            avoid,
            within: self.allowed_zones.clone(),
            seen: self.shared.query(|core, _| core.last_upstream_of_prefix(&self.head.parts)),
        };
        let origin = self.origin.as_ref();
        let want = PermitRequest { service: &self.service, ask, objective: self.route.objective, origin };
        let requested_at = self.shared.now();
        let permit = permit::get(&self.shared, want).await;
        self.shared.metrics.record_placement(self.shared.now().since(requested_at));
        permit
            .map_err(|refusal| if self.attempts.runs > 0 { Problem::UpstreamFailed } else { Problem::Refused(refusal) })
    }

    /// Sends the request to the permit's upstream and reads the response head.
    async fn send(&mut self, permit: Permit, last_event: Option<&str>) -> Result<UpstreamResponse, AttemptError> {
        let request = self.request(&permit, last_event);
        self.shared.count_traffic(Kind::Request, &permit, traffic::request_head(&request) + self.body.len());
        let (id, address) = (permit.upstream.id.clone(), permit.upstream.address);
        let peers = || self.shared.query(Core::tunnel_peers);
        let sending = self.shared.upstreams.send(&id, address, peers, request);
        self.attempts.is_sending = true;
        let sent = self.await_upstream(&permit, sending).await;
        self.attempts.is_sending = false;
        let (response, connection) = match sent {
            Ok(sent) => sent,
            Err(Fault::Unreachable | Fault::Unsent) => {
                permit.end(Outcome::Unreachable);
                return Err(AttemptError::NotRun);
            }
            Err(Fault::NoPath) => {
                self.shared.metrics.count("no-path");
                permit.end(Outcome::Abandoned);
                return Err(AttemptError::NotRun);
            }
            Err(fault @ (Fault::Broken | Fault::Terminated | Fault::Unresponsive)) => {
                self.attempts.runs += 1;
                return Err(AttemptError::MayHaveRun(self.fail_attempt(&fault, permit).await));
            }
        };
        let (head, body) = response.into_parts();
        self.shared.count_traffic(Kind::Answer, &permit, traffic::answer_head(&head.headers));
        let mark = self.dialect.classify(&self.head.id, &head);
        // A response from another upstream, or from an unidentified peer, says nothing about this upstream.
        if !matches!(mark, ResponseKind::Gone | ResponseKind::Foreign) {
            self.take_notice(&id, &head, &connection);
            if connection.via().is_some() {
                self.shared.metrics.count("tunnelled");
            }
        }
        match mark {
            ResponseKind::Answer | ResponseKind::Unfit => {
                self.attempts.runs += 1;
                let framing = Framing::of(&self.parts.method, &head);
                Ok(UpstreamResponse { head, body, connection, framing, permit })
            }
            ResponseKind::Full => {
                permit.end(Outcome::Shed);
                self.drain_rejection(head.headers, body, connection);
                Err(AttemptError::NotRun)
            }
            ResponseKind::Gone => {
                permit.end(Outcome::Gone);
                Err(AttemptError::NotRun)
            }
            ResponseKind::Foreign => {
                self.attempts.runs += 1;
                permit.end(Outcome::Failed);
                Err(AttemptError::MayHaveRun(Problem::UpstreamFailed))
            }
        }
    }

    /// Handles what an upstream announces about itself in a response, and tells the peer through which the response came.
    pub(crate) fn take_notice(&self, upstream: &id::Upstream, head: &response::Parts, connection: &Connection) {
        let notice = self.dialect.notice(head);
        self.shared.handle_notice(&self.service, upstream, notice);
        if let Some(peer) = connection.via() {
            self.shared.with(|core, _| core.relay_notice(peer, &self.service, upstream, notice));
        }
    }

    /// Ends an attempt that may have run and got no response, and returns the resulting problem. Idle connections to
    /// the upstream are dropped, since they are probably no better than the one that failed.
    pub(crate) async fn fail_attempt(&self, fault: &Fault, permit: Permit) -> Problem {
        self.shared.upstreams.drop_idle(&permit.upstream.id);
        match fault {
            Fault::Unresponsive => {
                self.shared.metrics.count("upstream-silent");
                permit.end(self.outcome_of(Outcome::Silent));
                Problem::Timeout
            }
            Fault::Terminated => {
                self.upstream_terminated(permit);
                Problem::UpstreamFailed
            }
            Fault::Broken | Fault::Unreachable | Fault::NoPath | Fault::Unsent => {
                self.connection_broke(permit).await;
                Problem::UpstreamFailed
            }
        }
    }

    /// Ends a run whose connection the upstream broke. Whether the upstream is still alive is checked first: only a
    /// terminated upstream may have crashed because of the request.
    pub(crate) async fn connection_broke(&self, permit: Permit) {
        let Upstream { id, address, .. } = &permit.upstream;
        if self.shared.upstreams.has_terminated(id, *address).await {
            self.upstream_terminated(permit);
        } else {
            permit.end(self.outcome_of(Outcome::Failed));
        }
    }

    /// The outcome to report for a connection that failed. While this router reaches no upstream, that says nothing about
    /// the upstream.
    pub(crate) fn outcome_of(&self, failure: Outcome) -> Outcome {
        if self.shared.upstreams.is_isolated() { Outcome::Abandoned } else { failure }
    }

    /// Ends a run whose upstream terminated while the request ran there.
    pub(crate) fn upstream_terminated(&self, permit: Permit) {
        self.shared.metrics.count("upstream-ended");
        let customer = self.customer.as_ref().map(id::Customer::as_str);
        tracing::info!(
            id = self.head.id, route = self.route.name, fingerprint = %self.contents.fingerprint, customer,
            parts = %PartIds(&self.head.parts), upstream = %permit.upstream.id, ran_ms = millis(permit.held()),
            "an upstream ended under a request"
        );
        permit.end(Outcome::Ended);
    }

    /// Awaits an upstream's response until the attempt's deadline, or until the upstream's incarnation ends.
    pub(crate) async fn await_upstream<T>(
        &self,
        permit: &Permit,
        work: impl Future<Output = Result<T, Fault>>,
    ) -> Result<T, Fault> {
        tokio::select! {
            biased;
            result = self.shared.clock.with_deadline(self.attempt_deadline(), work) => {
                result.unwrap_or(Err(Fault::Unresponsive))
            }
            () = permit.upstream_replaced() => Err(Fault::Terminated),
        }
    }

    /// Reads a rejection's body to its end, so that its connection can be reused; one that is too long is closed.
    fn drain_rejection(&self, headers: HeaderMap, body: Incoming, connection: Connection) {
        let shared = self.shared.clone();
        tokio::spawn(async move {
            let limit = Duration::from_millis(200);
            if let Ok(Ok(_)) = tokio::time::timeout(limit, Limited::new(body, MAX_REJECTION_BYTES).collect()).await {
                shared.upstreams.release(connection, &headers);
            }
        });
    }

    /// Builds the request for the permit's upstream.
    fn request(&self, permit: &Permit, last_event: Option<&str>) -> Request<Content> {
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = self.parts.uri.clone();
        let headers = request.headers_mut();
        headers.clone_from(&self.parts.headers);
        strip(headers);
        if !self.body.is_empty() {
            headers.insert(header::CONTENT_LENGTH, self.body.len().into());
        }
        let order = Order {
            upstream: &permit.upstream.id,
            customer: self.customer.as_ref(),
            deadline: self.time_left(),
            priority: self.priority,
            source: permit.source,
            last_event: last_event.or(self.head.last_event.as_deref()),
        };
        self.dialect.write(headers, order);
        request
    }

    /// Counts an upstream's rejection, and returns an error if no other upstream is to be tried.
    fn count_rejection(&mut self) -> Result<(), Problem> {
        self.attempts.rejections += 1;
        let budgeted = self.take_retry("rejection");
        if self.attempts.rejections <= MAX_REJECTIONS && budgeted {
            return Ok(());
        }
        if self.attempts.runs > 0 {
            return Err(Problem::UpstreamFailed);
        }
        Err(Problem::Refused(Refusal::new(Reason::Busy, RETRY_AFTER)))
    }

    /// When this attempt stops waiting for its upstream.
    fn attempt_deadline(&self) -> Moment {
        let retryable = self.route.is_repeatable() && self.attempts.runs + 1 < self.route.attempts;
        if retryable {
            self.deadline.min(self.shared.now() + self.route.objective * ATTEMPT_TIMEOUT_OBJECTIVES)
        } else {
            self.deadline
        }
    }

    /// The problem for a request whose deadline passed before an attempt was sent.
    fn expired(&self, reason: Reason) -> Problem {
        if self.attempts.runs > 0 { Problem::Timeout } else { Problem::Refused(Refusal::new(reason, RETRY_AFTER)) }
    }
}
