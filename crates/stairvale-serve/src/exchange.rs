//! One request on its way: placed, sent, and where that is allowed sent again elsewhere.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Response, StatusCode, header, request, response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use stairvale_dispatch::Outcome;
use stairvale_table::{self as table, Route};
use stairvale_types::{Moment, id};

use crate::{
    Dialect, Shared,
    body::{Body, next},
    dialect::Head,
    fingerprint,
    hop::strip,
    permit::Permit,
    problem::Problem,
    traffic::Kind,
    upstream::{Connection, Fault},
};

mod send;

/// Larger answers aren't held back until they are whole.
const HELD_BACK: u64 = 1 << 20;

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

    /// Serves it: a whole answer, an upstream's or our own, or the beginning of a stream.
    pub async fn run(&mut self) -> Served {
        self.shared.change(|core, now| core.count(now, &self.service));
        self.fingerprint = fingerprint::of(&self.parts, self.customer.as_ref(), &self.body);
        self.serve().await.unwrap_or_else(|problem| {
            self.log_problem(problem);
            Served::Whole(problem.answer(&self.dialect, &self.head.id))
        })
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
        match self.hear(&reply.permit, next(&mut reply.body)).await {
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

/// What came of a request.
#[derive(Debug)]
pub enum Served {
    /// The whole answer.
    Whole(Response<Body>),
    /// A stream, with its first piece if it has one.
    Stream(Box<Reply>, Option<Bytes>),
}

fn is_large(head: &response::Parts) -> bool {
    let length = head.headers.get(header::CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    length.is_some_and(|length| length > HELD_BACK)
}

pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
