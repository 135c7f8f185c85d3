//! One try: a place at an upstream, the request on its way there, and the head of its answer.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use stairvale_dispatch::{Ask, Outcome};
use stairvale_replica::Upstream;
use stairvale_types::{Moment, Refusal, id, outcome::Reason};

use super::{Exchange, Reply, millis};
use crate::{
    Dialect,
    dialect::{Mark, Order},
    hop::strip,
    permit::{self, Permit, Want},
    problem::Problem,
    traffic::{self, Kind},
    upstream::{Connection, Fault},
};

/// The share of the objective within which a request that can't be placed is refused.
const REFUSE_WITHIN: u32 = 5;
/// Upstreams that say they are full or gone are left for others this often.
const TURNED_AWAY: u32 = 3;
/// An answer that may be asked for again elsewhere is waited for this many times the objective.
const SILENCE: u32 = 2;
/// When to come back after a request that couldn't be sent in its time.
const COME_BACK: Duration = Duration::from_millis(300);

/// Why there is no reply.
enum Missed {
    /// Nothing may have run: another upstream may be tried, at no cost.
    NotRun,
    /// It may have run, and this is what the caller is told.
    MayHaveRun(Problem),
}

impl<D: Dialect> Exchange<D> {
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
        let mark = self.dialect.judge(&self.head.id, &head);
        // What another upstream answers, or nobody that can be named, says nothing of this one.
        if !matches!(mark, Mark::Gone | Mark::Foreign) {
            self.shared.hear(&self.service, &id, self.dialect.notice(&head));
        }
        match mark {
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
    pub(super) async fn missed(&self, fault: &Fault, permit: Permit) -> Problem {
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
    pub(super) async fn hear<T>(
        &self,
        permit: &Permit,
        work: impl Future<Output = Result<T, Fault>>,
    ) -> Result<T, Fault> {
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

    /// Until when one upstream is waited for.
    fn try_until(&self) -> Moment {
        let others = self.route.is_repeatable() && self.tries.runs + 1 < self.route.attempts;
        if others { self.until.min(self.shared.now() + self.route.objective * SILENCE) } else { self.until }
    }

    fn unsent(&self, reason: Reason) -> Problem {
        if self.tries.runs > 0 { Problem::Late } else { Problem::Refused(Refusal::new(reason, COME_BACK)) }
    }
}
