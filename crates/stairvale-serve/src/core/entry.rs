//! The entry's side of requests from this router's own callers, from asking for an upstream to the end of the
//! request.

use std::{net::SocketAddr, time::Duration};

use stairvale_dispatch::{Ask, Contents, Held, Outcome, Part};
use stairvale_types::{Moment, id};

use super::{Core, Effect, RunningRequest};
use crate::frame::Frame;

/// Time for which a router is skipped after it failed to answer as a home.
const DISTRUST_PERIOD: Duration = Duration::from_millis(1_000);

impl Core {
    /// Requests an upstream from the service's home. Returns the home and the effects.
    pub fn ask(&mut self, now: Moment, service: &id::Service, ask: Ask) -> (id::Router, Vec<Effect>) {
        let home = self.home(now, service);
        let effects = if home == self.me {
            self.decide(now, service, ask)
        } else {
            let frame = Frame::Ask { service: service.clone(), ask };
            self.send(&home, frame)
        };
        (home, effects)
    }

    /// Requests an upstream from this router's own account, regardless of other homes.
    pub fn decide_locally(&mut self, now: Moment, service: &id::Service, ask: Ask) -> Vec<Effect> {
        self.decide(now, service, ask)
    }

    /// Skips a home for a while, since it didn't answer or can't decide.
    pub fn distrust(&mut self, now: Moment, home: &id::Router) {
        if home != &self.me {
            self.distrusted.insert(home.clone(), now + DISTRUST_PERIOD);
        }
    }

    /// Stops skipping a home that decided after all. Its answer was only delayed, for example by a packet that was
    /// lost and retransmitted, and skipping it for longer would only route requests to routers with less information.
    pub(super) fn restore_trust(&mut self, home: &id::Router) {
        self.distrusted.remove(home);
    }

    /// Withdraws a request that no longer waits for a home's answer.
    pub fn forget(
        &mut self,
        now: Moment,
        service: &id::Service,
        attempt: id::Attempt,
        home: &id::Router,
    ) -> Vec<Effect> {
        if home != &self.me {
            return self.send(home, Frame::Forget { service: service.clone(), attempt });
        }
        let answers = self.pools.get_mut(service).map(|pool| pool.cancel(now, attempt));
        self.deliver_answers(answers.unwrap_or_default())
    }

    /// The upstream that most recently received the longest known prefix of a prompt's shared blocks, and the length
    /// of that prefix in blocks.
    #[must_use]
    pub fn last_upstream_of_prefix(&self, parts: &[Part]) -> Option<(usize, id::Upstream)> {
        self.recent_prefixes.find(parts)
    }

    /// The upstream's address, whether or not it takes new work.
    #[must_use]
    pub fn address(&self, upstream: &id::Upstream) -> Option<SocketAddr> {
        self.view.upstream(upstream).map(|known| known.address)
    }

    /// Records that a granted request is sent to its upstream.
    pub fn start(&mut self, service: &id::Service, held: Held, home: &id::Router, parts: &[Part]) {
        self.recent_prefixes.remember(parts, &held.upstream);
        let contents = Contents::new(held.fingerprint, held.customer.clone(), parts);
        let (home, granted_by) = (home.clone(), home.clone());
        let running = RunningRequest { service: service.clone(), held, home, granted_by, contents };
        self.running.insert(running.held.attempt, running);
    }

    /// Records the first event of a request, which arrived `took` after the request was sent.
    pub fn begun(&mut self, now: Moment, attempt: id::Attempt, took: Duration) -> Vec<Effect> {
        let Some(running) = self.running.get_mut(&attempt) else {
            return Vec::new();
        };
        running.held.read = 0;
        let (service, home) = (running.service.clone(), running.home.clone());
        if home != self.me {
            return self.send(&home, Frame::Begun { service, attempt, took });
        }
        self.handle_begun(now, &service, attempt, took)
    }

    /// Records the end of a granted request, whatever its outcome.
    pub fn end(&mut self, now: Moment, attempt: id::Attempt, outcome: Outcome, took: Option<Duration>) -> Vec<Effect> {
        let Some(running) = self.running.remove(&attempt) else {
            return Vec::new();
        };
        let mut effects = self.report_evidence(now, &running, outcome);
        let RunningRequest { service, home, .. } = running;
        if home == self.me {
            effects.extend(self.release(now, &service, attempt, outcome, took));
        } else {
            effects.extend(self.send(&home, Frame::Release { service, attempt, outcome, took }));
        }
        effects
    }
}
