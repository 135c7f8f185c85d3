//! One request on its way: placed, sent, and where that is allowed sent again elsewhere.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, header, request, response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use stairvale_dispatch::{Ask, Outcome};
use stairvale_replica::Upstream;
use stairvale_table::{self as table, Route};
use stairvale_types::{Moment, Refusal, id, outcome::Reason};

use crate::{
    Dialect, Shared,
    body::Body,
    dialect::{Head, Mark, Order},
    fingerprint,
    hop::strip,
    permit::{self, Permit, Want},
    problem::Problem,
    relay,
    traffic::{self, Kind},
    upstream::{Connection, Fault},
};

/// The share of the objective within which a request that can't be placed is refused.
const REFUSE_WITHIN: u32 = 5;
/// Upstreams that say they are full or gone are left for others this often.
const TURNED_AWAY: u32 = 3;
/// An answer that may be asked for again elsewhere is waited for this many times the objective.
const SILENCE: u32 = 2;
/// Larger answers aren't held back until they are whole.
const HELD_BACK: u64 = 1 << 20;
/// When to come back after a request that couldn't be sent in its time.
const COME_BACK: Duration = Duration::from_millis(300);
/// A request that is being served.
pub struct Exchange<D> {
    /// What the process's tasks share.
    pub shared: Arc<Shared>,
    /// How the installation speaks.
    pub dialect: D,
    /// Its route.
    pub route: Route,
    /// Its service.
    pub service: id::Service,
    /// What its head says.
    pub head: Head,
    /// The head itself.
    pub parts: request::Parts,
    /// Its body.
    pub body: Bytes,
    /// Whose it is.
    pub customer: Option<id::Customer>,
    /// Its rank, 0 to 9.
    pub priority: u8,
    /// The only zones whose upstreams it may go to; `None` for any.
    pub within: Option<Vec<id::Zone>>,
    /// When it came.
    pub came: Moment,
    /// When nobody waits for it any longer.
    pub until: Moment,
    /// What tells it from others, once its body is known.
    pub fingerprint: id::Fingerprint,
    tries: Tries,
}

/// What was tried.
#[derive(Debug, Default)]
struct Tries {
    /// Upstreams that it may have run at.
    runs: u32,
    /// Upstreams that said they don't run it.
    turned_away: u32,
    avoid: Vec<id::Upstream>,
    /// A failure that an upstream answered itself, until another one has been asked.
    failure: Option<Failure>,
}

/// An upstream's own answer that was held back, since another upstream may do better.
#[derive(Debug)]
struct Failure {
    answer: Response<Body>,
    /// How many upstreams it may have run at by then.
    runs: u32,
}

/// An upstream's answer, with its head read.
#[derive(Debug)]
pub struct Reply {
    /// The head.
    pub head: response::Parts,
    /// The body, still coming.
    pub body: Incoming,
    /// The connection that it comes on.
    pub connection: Connection,
    /// The place at the upstream.
    pub permit: Permit,
}

/// Why there is no reply.
enum Missed {
    /// Nothing may have run: another upstream may be tried, at no cost.
    NotRun,
    /// It may have run, and this is what the caller is told.
    MayHaveRun(Problem),
}

impl<D: Dialect> Exchange<D> {
    /// A request that came at `came`.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        shared: Arc<Shared>,
        dialect: D,
        route: Route,
        service: id::Service,
        head: Head,
        parts: request::Parts,
        came: Moment,
    ) -> Self {
        let limit = head.deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
        let until = came + limit;
        let (body, customer, priority, tries) = (Bytes::new(), None, route.priority, Tries::default());
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
            within: None,
            came,
            until,
            fingerprint: id::Fingerprint::default(),
            tries,
        };
        let regions = exchange.route.regions.clone();
        exchange.within_regions(&regions)
    }

    /// Sets the body.
    #[must_use]
    pub fn with_body(mut self, body: Bytes) -> Self {
        self.body = body;
        self
    }

    /// Sets whose request it is; the customer's rank goes before the route's.
    #[must_use]
    pub fn with_customer(mut self, customer: &stairvale_table::Customer) -> Self {
        /// Ranks of routes that are told apart within a customer's.
        const ROUTES: u8 = 3;
        self = self.within_regions(&customer.regions);
        self.customer = Some(customer.name.clone());
        let rank = customer.priority.saturating_mul(ROUTES).saturating_add(self.route.priority.min(ROUTES - 1));
        self.priority = rank.min(9);
        self
    }

    /// Keeps it to upstreams of some regions, if any are named. Where route and customer both name some, each binds.
    fn within_regions(mut self, regions: &[id::Region]) -> Self {
        if !regions.is_empty() {
            let zones = self.shared.settings.zones_of(regions);
            let allowed = zones.into_iter().filter(|zone| self.within.as_ref().is_none_or(|all| all.contains(zone)));
            self.within = Some(allowed.collect());
        }
        self
    }

    /// Serves it.
    pub async fn run(mut self) -> Response<Body> {
        self.shared.change(|core, now| core.count(now, &self.service));
        self.fingerprint = fingerprint::of(&self.parts, self.customer.as_ref(), &self.body);
        match self.serve().await {
            Ok(Served::Whole(answer)) => answer,
            Ok(Served::Stream(reply, first)) => relay::start(self, *reply, first),
            Err(problem) => {
                self.log_problem(problem);
                problem.answer(&self.dialect, &self.head.id)
            }
        }
    }

    async fn serve(&mut self) -> Result<Served, Problem> {
        loop {
            let reply = match self.reply(None).await {
                Ok(reply) => reply,
                Err(problem) => return self.failure().map(Served::Whole).ok_or(problem),
            };
            // Wherever it goes next, it doesn't go there again.
            self.tries.avoid.push(reply.permit.upstream.id.clone());
            if self.route.kind == table::Kind::Stream && reply.head.status.is_success() || is_large(&reply.head) {
                match self.first_piece(reply).await {
                    Ok((reply, first)) => return Ok(Served::Stream(Box::new(reply), first)),
                    Err(problem) => self.again(problem)?,
                }
                continue;
            }
            let failed = reply.head.status.is_server_error();
            match self.whole(reply).await {
                Ok(answer) if failed && self.may_repeat() => {
                    self.tries.failure = Some(Failure { answer, runs: self.tries.runs });
                }
                Ok(answer) => return Ok(Served::Whole(answer)),
                Err(problem) => self.again(problem)?,
            }
        }
    }

    /// Waits for a stream's first piece, so that a failure before it can be told as one.
    async fn first_piece(&mut self, mut reply: Reply) -> Result<(Reply, Option<Bytes>), Problem> {
        match self.hear(&reply.permit, relay::next(&mut reply.body)).await {
            Ok(piece) => {
                reply.permit.begun();
                self.shared.passed(Kind::Answer, &reply.permit, piece.as_ref().map_or(0, Bytes::len));
                self.shared.metrics.answered(self.age());
                Ok((reply, piece))
            }
            Err(fault) => Err(self.missed(&fault, reply.permit).await),
        }
    }

    /// Reads a plain answer to its end before any of it goes back.
    async fn whole(&mut self, reply: Reply) -> Result<Response<Body>, Problem> {
        let Reply { mut head, body, connection, permit } = reply;
        let reading = async { body.collect().await.map_err(|error| Fault::of(&error)) };
        let collected = match self.hear(&permit, reading).await {
            Ok(collected) => collected.to_bytes(),
            Err(fault) => return Err(self.missed(&fault, permit).await),
        };
        self.shared.passed(Kind::Answer, &permit, collected.len());
        self.shared.upstreams.keep(connection, &head.headers);
        tracing::info!(
            id = self.head.id, route = self.route.name, upstream = %permit.upstream.id, status = head.status.as_u16(),
            tries = self.tries.runs, ms = millis(self.age()), "answered"
        );
        self.shared.metrics.answered(self.age());
        match head.status {
            // Its time was over, and how short that was is not its fault.
            StatusCode::GATEWAY_TIMEOUT => permit.end(Outcome::Abandoned),
            status if status.is_server_error() => permit.end(Outcome::Failed),
            _ => permit.served(),
        }
        strip(&mut head.headers);
        head.headers.remove(header::CONTENT_LENGTH);
        Ok(Response::from_parts(head, Body::whole(collected)))
    }

    // ------------------------------------------------------------------------
    // Tries.

    /// Places and sends it until an upstream answers. `last_event` asks for what comes after that event.
    pub(crate) async fn reply(&mut self, last_event: Option<&str>) -> Result<Reply, Problem> {
        loop {
            if self.left().is_zero() {
                return Err(self.unsent(Reason::Deadline));
            }
            self.check_quarantine()?;
            let permit = self.place().await?;
            self.check_key()?;
            // It may have waited while others like it ended upstreams, or the VM was suspended.
            self.check_quarantine()?;
            if self.left().is_zero() {
                return Err(self.unsent(Reason::Deadline));
            }
            let upstream = permit.upstream.id.clone();
            match self.send(permit, last_event).await {
                Ok(reply) => return Ok(reply),
                Err(missed) => {
                    self.tries.avoid.push(upstream);
                    match missed {
                        Missed::NotRun => self.turn_away()?,
                        Missed::MayHaveRun(problem) => self.again(problem)?,
                    }
                }
            }
        }
    }

    /// Whether the key that it came with still counts: it may have been taken away while the request waited, or this copy of
    /// the configuration may have grown too old to tell.
    fn check_key(&self) -> Result<(), Problem> {
        let Some(customer) = &self.customer else {
            return Ok(());
        };
        let table = self.shared.table.load();
        let key = self.head.key.as_deref();
        let known = key.and_then(|key| table.customer(key)).is_some_and(|known| &known.name == customer);
        let (current, trusted) = self.shared.look(|core, now| (core.is_current(now), core.trusts_keys(now)));
        if known && trusted {
            return Ok(());
        }
        // Who isn't up to date can't tell that something doesn't exist.
        let unsure = Problem::Refused(Refusal::new(Reason::NotReady, COME_BACK));
        let problem = if current && !known { Problem::Key } else { unsure };
        Err(if self.tries.runs > 0 { Problem::Broken } else { problem })
    }

    /// Whether upstreams end when they run it, by what the fleet has seen so far.
    fn check_quarantine(&self) -> Result<(), Problem> {
        let Some(left) = self.shared.look(|core, now| core.quarantined(now, self.fingerprint)) else {
            return Ok(());
        };
        let refused = Problem::Refused(Refusal::new(Reason::Quarantined, left));
        Err(if self.tries.runs > 0 { Problem::Broken } else { refused })
    }

    async fn place(&mut self) -> Result<Permit, Problem> {
        let patience = self.route.objective / REFUSE_WITHIN;
        let patience = patience.saturating_sub(self.age()).max(patience / 4).min(self.left());
        let ask = Ask {
            attempt: id::Attempt(0),
            entry: self.shared.settings.router.clone(),
            zone: self.shared.settings.zone.clone(),
            customer: self.customer.clone(),
            route: id::Route::of(&self.route.name),
            fingerprint: self.fingerprint,
            priority: self.priority,
            repeatable: self.route.is_repeatable(),
            parts: self.head.parts.clone(),
            output: self.head.output,
            objective: self.route.objective,
            patience,
            avoid: self.tries.avoid.clone(),
            within: self.within.clone(),
            seen: self.shared.look(|core, _| core.seen(&self.head.parts)),
        };
        let want = Want { service: &self.service, ask, objective: self.route.objective };
        let asked = self.shared.now();
        let permit = permit::get(&self.shared, want).await;
        self.shared.metrics.placed(self.shared.now().since(asked));
        permit.map_err(|refusal| if self.tries.runs > 0 { Problem::Broken } else { Problem::Refused(refusal) })
    }

    async fn send(&mut self, permit: Permit, last_event: Option<&str>) -> Result<Reply, Missed> {
        let request = self.request(&permit, last_event);
        self.shared.passed(Kind::Request, &permit, traffic::request_head(&request) + self.body.len());
        let (id, address) = (permit.upstream.id.clone(), permit.upstream.address);
        let sending = self.shared.upstreams.send(&id, address, request);
        let (answer, connection) = match self.hear(&permit, sending).await {
            Ok(sent) => sent,
            Err(Fault::Unreachable | Fault::Unsent) => {
                permit.end(Outcome::Unreachable);
                return Err(Missed::NotRun);
            }
            Err(fault @ (Fault::Broken | Fault::Ended | Fault::Silent)) => {
                self.tries.runs += 1;
                return Err(Missed::MayHaveRun(self.missed(&fault, permit).await));
            }
        };
        let (head, body) = answer.into_parts();
        self.shared.passed(Kind::Answer, &permit, traffic::answer_head(&head.headers));
        match self.dialect.judge(&self.head.id, &head) {
            Mark::Answer | Mark::Unfit => {
                self.tries.runs += 1;
                Ok(Reply { head, body, connection, permit })
            }
            Mark::Full => {
                permit.end(Outcome::Shed);
                self.read_away(head.headers, body, connection);
                Err(Missed::NotRun)
            }
            Mark::Gone => {
                permit.end(Outcome::Gone);
                Err(Missed::NotRun)
            }
            Mark::Foreign => {
                self.tries.runs += 1;
                permit.end(Outcome::Failed);
                Err(Missed::MayHaveRun(Problem::Broken))
            }
        }
    }

    /// An upstream that may have run it didn't answer. What else idles there is no better than the connection that failed.
    async fn missed(&self, fault: &Fault, permit: Permit) -> Problem {
        self.shared.upstreams.forget(&permit.upstream.id);
        match fault {
            Fault::Silent => {
                self.shared.metrics.count("upstream-silent");
                permit.end(Outcome::Silent);
                Problem::Late
            }
            Fault::Ended => {
                self.ended(permit);
                Problem::Broken
            }
            Fault::Broken | Fault::Unreachable | Fault::Unsent => {
                self.broke_off(permit).await;
                Problem::Broken
            }
        }
    }

    /// An upstream broke off a run. Whether it lives on is looked at before the run counts as ended: only an upstream that has
    /// ended may have ended because of the request.
    pub(crate) async fn broke_off(&self, permit: Permit) {
        let Upstream { id, address, .. } = &permit.upstream;
        if self.shared.upstreams.has_ended(id, *address).await {
            self.ended(permit);
        } else {
            permit.end(Outcome::Failed);
        }
    }

    /// An upstream ended while the request ran there.
    pub(crate) fn ended(&self, permit: Permit) {
        self.shared.metrics.count("upstream-ended");
        tracing::info!(
            id = self.head.id, route = self.route.name, fingerprint = %self.fingerprint, upstream = %permit.upstream.id,
            ran_ms = millis(permit.held()), "an upstream ended under a request"
        );
        permit.end(Outcome::Ended);
    }

    /// Waits for what an upstream says, for as long as this try may take and its life lasts.
    async fn hear<T>(&self, permit: &Permit, work: impl Future<Output = Result<T, Fault>>) -> Result<T, Fault> {
        tokio::select! {
            biased;
            heard = self.shared.clock.before(self.try_until(), work) => heard.unwrap_or(Err(Fault::Silent)),
            () = permit.life_over() => Err(Fault::Ended),
        }
    }

    /// Reads a refusal to its end, so that its connection can be used again.
    fn read_away(&self, headers: HeaderMap, body: Incoming, connection: Connection) {
        let shared = self.shared.clone();
        tokio::spawn(async move {
            let limit = Duration::from_millis(200);
            if let Ok(Ok(_)) = tokio::time::timeout(limit, body.collect()).await {
                shared.upstreams.keep(connection, &headers);
            }
        });
    }

    fn request(&self, permit: &Permit, last_event: Option<&str>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
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
            deadline: self.left(),
            priority: self.priority,
            source: permit.source,
            last_event: last_event.or(self.head.last_event.as_deref()),
        };
        self.dialect.write(headers, order);
        request
    }

    /// An upstream said that it doesn't run it.
    fn turn_away(&mut self) -> Result<(), Problem> {
        self.tries.turned_away += 1;
        let paid = self.shared.change(|core, now| core.spend(now, &self.service));
        if self.tries.turned_away <= TURNED_AWAY && paid {
            return Ok(());
        }
        if self.tries.runs > 0 {
            return Err(Problem::Broken);
        }
        Err(Problem::Refused(Refusal::new(Reason::Busy, COME_BACK)))
    }

    /// An upstream may have run it, and didn't answer well.
    fn again(&mut self, problem: Problem) -> Result<(), Problem> {
        if self.may_repeat() { Ok(()) } else { Err(problem) }
    }

    /// Whether it may go to another upstream after it may have run; takes that from the budget.
    pub(crate) fn may_repeat(&mut self) -> bool {
        let allowed = self.route.is_repeatable() && self.tries.runs < self.route.attempts && !self.left().is_zero();
        let allowed = allowed && self.shared.change(|core, now| core.spend(now, &self.service));
        if allowed {
            self.shared.metrics.count("retry");
            tracing::info!(
                id = self.head.id,
                route = self.route.name,
                tries = self.tries.runs,
                "tried again elsewhere"
            );
        }
        allowed
    }

    /// The failure that the last upstream answered, if the request ran nowhere after it: it is the whole truth, which no word
    /// of ours is.
    fn failure(&mut self) -> Option<Response<Body>> {
        let runs = self.tries.runs;
        self.tries.failure.take().filter(|failure| failure.runs == runs).map(|failure| {
            self.shared.metrics.count("failure-handed-on");
            failure.answer
        })
    }

    /// Another try shall not go where this one was.
    pub(crate) fn avoid(&mut self, upstream: &id::Upstream) {
        self.tries.avoid.push(upstream.clone());
    }

    // ------------------------------------------------------------------------

    /// What is left of its time.
    pub(crate) fn left(&self) -> Duration {
        self.until.since(self.shared.now())
    }

    /// How long ago it came.
    pub(crate) fn age(&self) -> Duration {
        self.shared.now().since(self.came)
    }

    /// Until when one upstream is waited for.
    fn try_until(&self) -> Moment {
        let others = self.route.is_repeatable() && self.tries.runs + 1 < self.route.attempts;
        if others { self.until.min(self.shared.now() + self.route.objective * SILENCE) } else { self.until }
    }

    fn unsent(&self, reason: Reason) -> Problem {
        if self.tries.runs > 0 { Problem::Late } else { Problem::Refused(Refusal::new(reason, COME_BACK)) }
    }

    fn log_problem(&self, problem: Problem) {
        self.shared.metrics.count(problem.word());
        let (version, age) = self.shared.look(|core, now| (core.table().version(), core.view().age(now)));
        tracing::info!(
            id = self.head.id, route = self.route.name, service = %self.service, fingerprint = %self.fingerprint, version, age_ms = age.map(millis),
            runs = self.tries.runs, turned_away = self.tries.turned_away, avoided = ?self.tries.avoid,
            ms = millis(self.age()), status = problem.status().as_u16(), reason = problem.word(), "not served"
        );
    }
}

enum Served {
    Whole(Response<Body>),
    Stream(Box<Reply>, Option<Bytes>),
}

fn is_large(head: &response::Parts) -> bool {
    let length = head.headers.get(header::CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    length.is_some_and(|length| length > HELD_BACK)
}

pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
