//! A request's permit for an upstream, from the ask to the end of the request.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use stairvale_dispatch::{Ask, Held, Outcome, Verdict};
use stairvale_replica::Upstream;
use stairvale_types::{Moment, Refusal, id, outcome::Reason};
use tokio::sync::{Notify, mpsc};

use crate::{Shared, core::Reply, frame::Origin};

/// Fraction of a request's objective, as a divisor, that a home may take for its first reply.
const ANSWER_TIMEOUT_DIVISOR: u32 = 5;
/// Lower limit of the time that a home has for its first reply.
const MIN_ANSWER_TIMEOUT: Duration = Duration::from_millis(40);
/// Upper limit of the time that a home has for its first reply.
const MAX_ANSWER_TIMEOUT: Duration = Duration::from_millis(120);
/// Extra time, after a timeout, to read replies that arrived while this process wasn't running.
const LATE_REPLY_GRACE: Duration = Duration::from_millis(5);
/// Number of homes that are tried before this router decides by itself: the home, its successor in another zone, and
/// the router that decides for this zone if it is cut off.
const MAX_HOMES: usize = 3;
/// Maximum number of grants for upstreams which, by notices that this router received in the meantime, want no
/// requests from it.
const MAX_UNUSABLE_GRANTS: usize = 8;
/// Time after which a client should retry if no router can decide.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Permission to send a request to an upstream. It is released when this guard is dropped, however the request ended.
#[derive(Debug)]
pub struct Permit {
    shared: Arc<Shared>,
    attempt: id::Attempt,
    /// The upstream's entry at the time of the grant.
    pub upstream: Upstream,
    /// The number of tokens that the upstream has to prefill.
    pub read: u32,
    /// The address of an engine from which the upstream can copy the missing part of the prompt's shared blocks.
    pub source: Option<SocketAddr>,
    since: Moment,
    outcome: Outcome,
    took: Option<Duration>,
    replaced: Arc<Notify>,
}

impl Permit {
    /// Reports that the first event of the answer arrived.
    pub fn begun(&self) {
        let took = self.shared.now().since(self.since);
        self.shared.with(|core, now| core.begun(now, self.attempt, took));
    }

    /// Releases the permit with an outcome.
    pub fn end(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Releases the permit after a complete plain answer.
    pub fn served(mut self) {
        self.outcome = Outcome::Served;
        self.took = Some(self.shared.now().since(self.since));
    }

    /// Waits until the upstream was replaced by another incarnation under the same name.
    pub async fn upstream_replaced(&self) {
        self.replaced.notified().await;
    }

    /// The time since the permit was granted.
    #[must_use]
    pub fn held(&self) -> Duration {
        self.shared.now().since(self.since)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.shared.unregister_running(self.attempt);
        self.shared.with(|core, now| core.end(now, self.attempt, self.outcome, self.took));
    }
}

/// A request for a permit.
#[derive(Clone, Debug)]
pub struct PermitRequest<'a> {
    /// The service whose upstreams may serve the request.
    pub service: &'a id::Service,
    /// The ask to send, except for the attempt, which is new for each home.
    pub ask: Ask,
    /// The targeted time until the answer.
    pub objective: Duration,
    /// The origin of the stream that the request continues; `None` if any version may serve it.
    pub origin: Option<&'a Origin>,
}

impl PermitRequest<'_> {
    /// Whether an upstream of this version may serve the request.
    fn allows(&self, version: Option<&id::Version>) -> bool {
        self.origin.is_none_or(|origin| origin.version.as_ref() == version)
    }
}

/// An ask that is withdrawn on drop unless it was answered, also when the caller disconnects.
struct PendingAsk<'a> {
    shared: &'a Arc<Shared>,
    service: &'a id::Service,
    attempt: id::Attempt,
    home: id::Router,
    open: bool,
}

impl Drop for PendingAsk<'_> {
    fn drop(&mut self) {
        self.shared.close_replies(self.attempt);
        if self.open {
            self.shared.with(|core, now| core.forget(now, self.service, self.attempt, &self.home));
        }
    }
}

/// Waits for a home's next reply; `None` if it doesn't respond in time. A timer that fired late because this process
/// wasn't running says nothing about the home, so replies that arrived in the meantime are read first.
pub async fn next(replies: &mut mpsc::UnboundedReceiver<Reply>, limit: Duration) -> Option<Reply> {
    match tokio::time::timeout(limit, replies.recv()).await {
        Ok(reply) => reply,
        Err(_) => tokio::time::timeout(LATE_REPLY_GRACE, replies.recv()).await.ok().flatten(),
    }
}

/// Obtains a permit from the service's home. If no home responds, this router decides from its own account.
///
/// # Errors
/// A [`Refusal`] if no permit can be granted now.
pub async fn get(shared: &Arc<Shared>, mut want: PermitRequest<'_>) -> Result<Permit, Refusal> {
    let answer_timeout = (want.objective / ANSWER_TIMEOUT_DIVISOR).clamp(MIN_ANSWER_TIMEOUT, MAX_ANSWER_TIMEOUT);
    let (mut unresponsive, mut unusable) = (0, 0);
    while unresponsive <= MAX_HOMES && unusable < MAX_UNUSABLE_GRANTS {
        let (all_rest, resting) = shared.query(|core, now| {
            let zones = want.ask.within.as_deref();
            (core.time_until_usable(now, want.service, zones), core.resting(now, want.service))
        });
        if let Some(remaining) = all_rest {
            return Err(Refusal::new(Reason::Busy, remaining));
        }
        let attempt = id::Attempt(uuid::Uuid::new_v4().as_u128());
        let mut ask = Ask { attempt, ..want.ask.clone() };
        ask.avoid.extend(resting);
        let wait = ask.patience.max(ask.max_prefill_wait());
        let mut replies = shared.open_replies(attempt);
        let me = shared.settings.router.clone();
        let mut home = me.clone();
        shared.with(|core, now| {
            if unresponsive == MAX_HOMES {
                return core.decide_locally(now, want.service, ask);
            }
            let (current_home, effects) = core.ask(now, want.service, ask);
            home = current_home;
            effects
        });
        let mut pending = PendingAsk { shared, service: want.service, attempt, home, open: true };
        let mut limit = if pending.home == me { wait + answer_timeout } else { answer_timeout };
        let verdict = loop {
            match next(&mut replies, limit).await {
                Some(Reply::Waits) => limit = wait + answer_timeout,
                Some(Reply::Decided(verdict)) => break verdict,
                Some(Reply::StreamFound(_)) => {}
                None => {
                    shared.metrics.count("home-silent");
                    tracing::info!(service = %want.service, home = %pending.home, "a home did not answer");
                    break None;
                }
            }
        };
        match verdict {
            Some(Verdict::Granted { upstream, read, source }) => {
                let entry = shared.query(|core, now| {
                    let rests = core.remaining_rest(now, want.service, &upstream).is_some();
                    core.usable_upstream(&upstream).filter(|entry| !rests && want.allows(entry.version.as_ref()))
                });
                let Some(entry) = entry else {
                    // By notices that this router received in the meantime, the upstream began to leave or to rest, or
                    // the home takes it for one of another version.
                    shared.metrics.count("granted-unwanted");
                    unusable += 1;
                    // The home may not know this yet and would choose the same upstream again.
                    want.ask.avoid.push(upstream);
                    continue;
                };
                pending.open = false;
                let (customer, route, fingerprint) = (want.ask.customer.clone(), want.ask.route, want.ask.fingerprint);
                let held = Held { attempt, upstream, read, customer, route, fingerprint };
                let (since, source) = shared.modify(|core, now| {
                    core.start(want.service, held, &pending.home, &want.ask.parts);
                    let rests = |source: &id::Upstream| core.remaining_rest(now, want.service, source).is_some();
                    (now, source.filter(|source| !rests(source)).and_then(|source| core.address(&source)))
                });
                let replaced = shared.register_running(attempt);
                let (shared, outcome) = (shared.clone(), Outcome::Abandoned);
                return Ok(Permit {
                    shared,
                    attempt,
                    upstream: entry,
                    read,
                    source,
                    since,
                    outcome,
                    took: None,
                    replaced,
                });
            }
            Some(Verdict::Refused(refusal)) => {
                pending.open = false;
                return Err(refusal);
            }
            None => {
                unresponsive += 1;
                shared.modify(|core, now| core.distrust(now, &pending.home));
            }
        }
    }
    Err(Refusal::new(Reason::NoUpstream, RETRY_AFTER))
}
