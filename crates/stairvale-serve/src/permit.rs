//! A place at an upstream, from the ask to its end.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use stairvale_dispatch::{Ask, Held, Outcome, Verdict};
use stairvale_replica::Upstream;
use stairvale_types::{Moment, Refusal, id, outcome::Reason};
use tokio::sync::{Notify, mpsc};

use crate::{Shared, core::Reply};

/// The share of the objective that a home may take to say anything.
const ANSWER_SHARE: u32 = 5;
/// A home is given at least this long.
const ANSWER_LEAST: Duration = Duration::from_millis(40);
/// A home is given at most this long.
const ANSWER_MOST: Duration = Duration::from_millis(120);
/// Time to read what came while this process stood still.
const CATCH_UP: Duration = Duration::from_millis(5);
/// Homes that are asked before this router decides by itself: the home, its heir in another zone, and who decides for this zone
/// if it is cut off.
const HOMES: usize = 3;
/// Places that a request is granted at upstreams which, as this router has heard meanwhile, want nothing from it.
const UNWANTED: usize = 8;
/// When to come back if nobody can decide.
const COME_BACK: Duration = Duration::from_millis(500);

/// A place at an upstream. It is given back when the guard is dropped, however the request ended.
#[derive(Debug)]
pub struct Permit {
    shared: Arc<Shared>,
    attempt: id::Attempt,
    /// The upstream, as it was when the place was granted.
    pub upstream: Upstream,
    /// Tokens that it has to read.
    pub read: u32,
    /// Where it may copy what it lacks of the prompt's shared parts.
    pub source: Option<SocketAddr>,
    since: Moment,
    outcome: Outcome,
    took: Option<Duration>,
    over: Arc<Notify>,
}

impl Permit {
    /// The first event came.
    pub fn begun(&self) {
        let took = self.shared.now().since(self.since);
        self.shared.with(|core, now| core.begun(now, self.attempt, took));
    }

    /// Says how it ended.
    pub fn end(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Says that a plain answer came.
    pub fn served(mut self) {
        self.outcome = Outcome::Served;
        self.took = Some(self.shared.now().since(self.since));
    }

    /// Waits until the life of the upstream is over, since another one of its name has begun.
    pub async fn life_over(&self) {
        self.over.notified().await;
    }

    /// How long ago it was granted.
    #[must_use]
    pub fn held(&self) -> Duration {
        self.shared.now().since(self.since)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.shared.run_no_more(self.attempt);
        self.shared.with(|core, now| core.end(now, self.attempt, self.outcome, self.took));
    }
}

/// A request that wants a place.
#[derive(Clone, Debug)]
pub struct Want<'a> {
    /// The service.
    pub service: &'a id::Service,
    /// The ask, but for the attempt, which is new for each home.
    pub ask: Ask,
    /// The time to the answer that is aimed at.
    pub objective: Duration,
}

/// An ask that is taken back unless it is answered, also when the caller leaves.
struct Asking<'a> {
    shared: &'a Arc<Shared>,
    service: &'a id::Service,
    attempt: id::Attempt,
    home: id::Router,
    open: bool,
}

impl Drop for Asking<'_> {
    fn drop(&mut self) {
        self.shared.expect_no_more(self.attempt);
        if self.open {
            self.shared.with(|core, now| core.forget(now, self.service, self.attempt, &self.home));
        }
    }
}

/// The next reply of a home; `None` if it is silent. A timer that went off late, since this process stood still, says nothing
/// of the home: what came meanwhile is read first.
pub async fn next(replies: &mut mpsc::UnboundedReceiver<Reply>, limit: Duration) -> Option<Reply> {
    match tokio::time::timeout(limit, replies.recv()).await {
        Ok(reply) => reply,
        Err(_) => tokio::time::timeout(CATCH_UP, replies.recv()).await.ok().flatten(),
    }
}

/// Gets a place from the service's home; where no home answers, this router decides by what it knows itself.
///
/// # Errors
/// A [`Refusal`] if there is no place now.
pub async fn get(shared: &Arc<Shared>, mut want: Want<'_>) -> Result<Permit, Refusal> {
    let patience = (want.objective / ANSWER_SHARE).clamp(ANSWER_LEAST, ANSWER_MOST);
    let (mut silent, mut unwanted) = (0, 0);
    while silent <= HOMES && unwanted < UNWANTED {
        let (all_rest, resting) = shared.look(|core, now| {
            let zones = want.ask.within.as_deref();
            (core.all_rest(now, want.service, zones), core.resting(now, want.service))
        });
        if let Some(left) = all_rest {
            return Err(Refusal::new(Reason::Busy, left));
        }
        let attempt = id::Attempt(uuid::Uuid::new_v4().as_u128());
        let mut ask = Ask { attempt, ..want.ask.clone() };
        ask.avoid.extend(resting);
        let wait = ask.patience.max(ask.follows());
        let mut replies = shared.expect(attempt);
        let me = shared.settings.router.clone();
        let mut home = me.clone();
        shared.with(|core, now| {
            if silent == HOMES {
                return core.ask_self(now, want.service, ask);
            }
            let (asked, effects) = core.ask(now, want.service, ask);
            home = asked;
            effects
        });
        let mut asking = Asking { shared, service: want.service, attempt, home, open: true };
        let mut limit = if asking.home == me { wait + patience } else { patience };
        let verdict = loop {
            match next(&mut replies, limit).await {
                Some(Reply::Waits) => limit = wait + patience,
                Some(Reply::Decided(verdict)) => break verdict,
                None => {
                    shared.metrics.count("home-silent");
                    tracing::info!(service = %want.service, home = %asking.home, "a home did not answer");
                    break None;
                }
            }
        };
        match verdict {
            Some(Verdict::Granted { upstream, read, source }) => {
                let place = shared.look(|core, now| {
                    let rests = core.rest(now, want.service, &upstream).is_some();
                    core.place(&upstream).filter(|_| !rests)
                });
                let Some(place) = place else {
                    // It began to leave, or to rest, in between, by what this router knows.
                    shared.metrics.count("granted-unwanted");
                    unwanted += 1;
                    // The home may not know it yet, and would choose it again.
                    want.ask.avoid.push(upstream);
                    continue;
                };
                asking.open = false;
                let (customer, route, fingerprint) = (want.ask.customer.clone(), want.ask.route, want.ask.fingerprint);
                let held = Held { attempt, upstream, read, customer, route, fingerprint };
                let (since, source) = shared.change(|core, now| {
                    core.start(want.service, held, &asking.home, &want.ask.parts);
                    let rests = |source: &id::Upstream| core.rest(now, want.service, source).is_some();
                    (now, source.filter(|source| !rests(source)).and_then(|source| core.address(&source)))
                });
                let over = shared.run(attempt);
                let (shared, outcome) = (shared.clone(), Outcome::Abandoned);
                return Ok(Permit { shared, attempt, upstream: place, read, source, since, outcome, took: None, over });
            }
            Some(Verdict::Refused(refusal)) => {
                asking.open = false;
                return Err(refusal);
            }
            None => {
                silent += 1;
                shared.change(|core, now| core.distrust(now, &asking.home));
            }
        }
    }
    Err(Refusal::new(Reason::NoUpstream, COME_BACK))
}
