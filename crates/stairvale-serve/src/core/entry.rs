//! Requests of this router's own callers: asked for, begun, ended.

use std::{net::SocketAddr, time::Duration};

use stairvale_dispatch::{Ask, Held, Outcome, Part};
use stairvale_types::{Moment, id};

use super::{Core, Effect, Running};
use crate::frame::Frame;

/// A router that didn't answer as a home is passed over for this long.
const DISTRUST: Duration = Duration::from_millis(1_000);

impl Core {
    /// A request came in for a service.
    pub fn count(&mut self, now: Moment, service: &id::Service) {
        let budget = self.bounds.budget();
        self.windows.entry(service.clone()).or_default().request(now, budget);
    }

    /// Takes a retry from the budget, if there is one.
    #[must_use]
    pub fn spend(&mut self, now: Moment, service: &id::Service) -> bool {
        // Who has just started doesn't know yet how many share what is free of it.
        let routers = if self.knows_fleet(now) { self.routers() } else { usize::MAX };
        let budget = self.bounds.budget();
        self.windows.entry(service.clone()).or_default().spend(now, budget, routers)
    }

    /// Asks the service's home for an upstream, and tells which router that is.
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

    /// Asks this router's own account, whatever other homes there are.
    pub fn ask_self(&mut self, now: Moment, service: &id::Service, ask: Ask) -> Vec<Effect> {
        self.decide(now, service, ask)
    }

    /// A home didn't answer, or can't decide: it is passed over for a while.
    pub fn distrust(&mut self, now: Moment, home: &id::Router) {
        if home != &self.me {
            self.distrusted.insert(home.clone(), now + DISTRUST);
        }
    }

    /// A home decided after all: its answer was held up on its way, as by a packet that was lost and sent again, and to pass it
    /// over for longer would only lead to routers that know less.
    pub(super) fn trust(&mut self, home: &id::Router) {
        self.distrusted.remove(home);
    }

    /// A request no longer waits for a home's answer.
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
        let answers = self.pools.get_mut(service).map(|pool| pool.forget(now, attempt));
        self.answers(answers.unwrap_or_default())
    }

    /// Where the longest chain of a prompt's shared parts was last seen to go.
    #[must_use]
    pub fn seen(&self, parts: &[Part]) -> Option<(usize, id::Upstream)> {
        self.seen.find(parts)
    }

    /// Where an upstream is reached, whether it takes new work or not.
    #[must_use]
    pub fn address(&self, upstream: &id::Upstream) -> Option<SocketAddr> {
        self.view.upstream(upstream).map(|known| known.address)
    }

    /// A granted request goes to its upstream.
    pub fn start(&mut self, service: &id::Service, held: Held, home: &id::Router, parts: &[Part]) {
        self.seen.remember(parts, &held.upstream);
        let running = Running { service: service.clone(), held, home: home.clone() };
        self.running.insert(running.held.attempt, running);
    }

    /// The first event of a request came, this long after it was sent.
    pub fn begun(&mut self, now: Moment, attempt: id::Attempt, took: Duration) -> Vec<Effect> {
        let Some(running) = self.running.get_mut(&attempt) else {
            return Vec::new();
        };
        running.held.read = 0;
        let (service, home) = (running.service.clone(), running.home.clone());
        if home != self.me {
            return self.send(&home, Frame::Begun { service, attempt, took });
        }
        self.began(now, &service, attempt, took)
    }

    /// A granted request ended, however it did.
    pub fn end(&mut self, now: Moment, attempt: id::Attempt, outcome: Outcome, took: Option<Duration>) -> Vec<Effect> {
        let Some(Running { service, home, .. }) = self.running.remove(&attempt) else {
            return Vec::new();
        };
        if home != self.me {
            return self.send(&home, Frame::Release { service, attempt, outcome, took });
        }
        self.release(now, &service, attempt, outcome, took)
    }
}
