//! The home's side of requests: decisions for entry routers, the account of what runs, and reports of it to other
//! routers.

use std::{collections::BTreeMap, time::Duration};

use stairvale_dispatch::{Answer, Ask, Held, Outcome, Part, Verdict, shares::Counts};
use stairvale_types::{Moment, id};

use super::{Core, Effect, Reply};
use crate::frame::Frame;

/// The counts of customers by name; `None` stands for requests without a customer.
pub type CustomerCounts = Vec<(Option<id::Customer>, Counts)>;

impl Core {
    pub(super) fn handle_ask(
        &mut self,
        now: Moment,
        from: &id::Router,
        service: &id::Service,
        ask: Ask,
    ) -> Vec<Effect> {
        let attempt = ask.attempt;
        if self.leaving || !self.pools.contains_key(service) {
            return self.send(from, Frame::Decided { attempt, verdict: None });
        }
        let mut effects = self.decide(now, service, ask);
        let decided = effects.iter().any(|effect| match effect {
            Effect::Frame { frame, .. } => matches!(&**frame, Frame::Decided { attempt: a, .. } if *a == attempt),
            Effect::Datagram { .. }
            | Effect::Frames { .. }
            | Effect::Connect { .. }
            | Effect::RetriesRestored { .. }
            | Effect::Reply { .. }
            | Effect::Inspect { .. }
            | Effect::UpstreamReplaced(_)
            | Effect::EndRequest(_)
            | Effect::Configured(_)
            | Effect::Evacuated { .. }
            | Effect::Write(_)
            | Effect::WriteFor { .. }
            | Effect::ProxyReport(_)
            | Effect::WriteWithoutProxy
            | Effect::EpochSupport { .. }
            | Effect::Stage { .. }
            | Effect::ReportEvent(_)
            | Effect::Surplus { .. }
            | Effect::Quarantined { .. }
            | Effect::QuarantineLifted { .. }
            | Effect::Leaves(_)
            | Effect::Rests { .. }
            | Effect::Unreadable(_)
            | Effect::StreamCall(_)
            | Effect::Lost(_) => false,
        });
        if !decided {
            effects.extend(self.send(from, Frame::Waits { attempt }));
        }
        effects
    }

    pub(super) fn decide(&mut self, now: Moment, service: &id::Service, ask: Ask) -> Vec<Effect> {
        let attempt = ask.attempt;
        if let Some(answer) = self.refuse_quarantined(now, &ask) {
            return self.deliver_answers(vec![answer]);
        }
        let Some(pool) = self.pools.get_mut(service) else {
            return vec![Effect::Reply { attempt, reply: Reply::Decided(None) }];
        };
        let parts = ask.parts.clone();
        let answers = pool.ask(now, ask);
        let granted = answers.iter().find_map(|answer| match &answer.verdict {
            Verdict::Granted { upstream, .. } if answer.attempt == attempt => Some(upstream.clone()),
            Verdict::Granted { .. } | Verdict::Refused(_) => None,
        });
        let mut effects = self.deliver_answers(answers);
        effects.extend(self.inspect(now, service));
        if let Some(upstream) = granted.filter(|_| parts.len() > 1) {
            let frame = Frame::Read { service: service.clone(), upstream: upstream.clone(), parts };
            effects.extend(self.send_to_successors(service, &upstream, &frame));
        }
        effects
    }

    /// Advances the clock of a service's pool.
    pub(super) fn tick_pool(&mut self, now: Moment, service: &id::Service) -> Vec<Effect> {
        let Some(pool) = self.pools.get_mut(service) else {
            return Vec::new();
        };
        let answers = pool.tick(now);
        let surpluses = pool.surpluses(now).into_iter();
        let reports =
            surpluses.map(|surplus| Effect::Surplus { service: service.clone(), surplus }).collect::<Vec<_>>();
        let mut effects = self.deliver_answers(answers);
        effects.extend(reports);
        effects.extend(self.send_evidence(now, service));
        effects
    }

    /// For each service that this router is home of: the counts of the `max_named` largest customers, and the total
    /// of all others.
    pub fn customers(&self, max_named: usize) -> impl Iterator<Item = (&id::Service, CustomerCounts, Counts)> {
        self.pools.iter().map(move |(service, pool)| {
            let (named, others) = pool.shares().counts(max_named);
            (service, named, others)
        })
    }

    /// Handles an engine's report of the prompt prefixes that it holds.
    pub fn record_inventory(
        &mut self,
        service: &id::Service,
        upstream: &id::Upstream,
        parts: Vec<Part>,
    ) -> Vec<Effect> {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.learn_prefixes(upstream, &parts);
        }
        let frame = Frame::Prefixes { service: service.clone(), upstream: upstream.clone(), parts };
        self.send_to_successors(service, upstream, &frame)
    }

    /// Requests inventories from engines whose cached prefixes are unknown to this router as their home. A router
    /// that only stands in for a home that doesn't respond doesn't: when all routers start at once, each would query
    /// all engines, and every inventory delays the engine's own work.
    pub(super) fn inspect(&mut self, now: Moment, service: &id::Service) -> Vec<Effect> {
        if !self.has_joined(now) || self.assigned_home(service) != Some(&self.me) {
            return Vec::new();
        }
        let resting = self.resting(now, service);
        let pool = self.pools.get_mut(service);
        let unknown = pool.map(|pool| pool.take_unknown_caches(|engine| !resting.contains(engine))).unwrap_or_default();
        let inspections = unknown.into_iter().filter_map(|upstream| {
            let address = self.address(&upstream)?;
            Some(Effect::Inspect { service: service.clone(), upstream, address })
        });
        inspections.collect()
    }

    pub(super) fn handle_begun(
        &mut self,
        now: Moment,
        service: &id::Service,
        attempt: id::Attempt,
        took: Duration,
    ) -> Vec<Effect> {
        let answers = self.pools.get_mut(service).map(|pool| pool.record_first_event(now, attempt, took));
        self.deliver_answers(answers.unwrap_or_default())
    }

    pub(super) fn release(
        &mut self,
        now: Moment,
        service: &id::Service,
        attempt: id::Attempt,
        outcome: Outcome,
        took: Option<Duration>,
    ) -> Vec<Effect> {
        let answers = self.pools.get_mut(service).map(|pool| pool.release(now, attempt, outcome, took));
        let mut effects = self.deliver_answers(answers.unwrap_or_default());
        effects.extend(self.send_evidence(now, service));
        effects
    }

    pub(super) fn deliver_answers(&mut self, answers: Vec<Answer>) -> Vec<Effect> {
        let mut effects = Vec::new();
        for Answer { entry, attempt, verdict } in answers {
            if entry == self.me {
                effects.push(Effect::Reply { attempt, reply: Reply::Decided(Some(verdict)) });
            } else {
                effects.extend(self.send(&entry, Frame::Decided { attempt, verdict: Some(verdict) }));
            }
        }
        effects
    }

    /// Reports to each home the requests of its service that run at this router.
    pub(super) fn renew(&mut self, now: Moment) -> Vec<Effect> {
        let mut by_service: BTreeMap<id::Service, Vec<Held>> = BTreeMap::new();
        for running in self.running.values() {
            by_service.entry(running.service.clone()).or_default().push(running.held.clone());
        }
        by_service.into_iter().flat_map(|(service, held)| self.renew_at_home(now, service, held)).collect()
    }

    /// Reports to routers that became homes which requests of their services run here, even if there are none: this
    /// opens the stream to a home before the first request needs it, and makes a new home's account correct at once.
    pub(super) fn renew_at_new_homes(&mut self, now: Moment) -> Vec<Effect> {
        let mut effects = Vec::new();
        for service in self.pools.keys().cloned().collect::<Vec<_>>() {
            let home = self.home(now, &service);
            if self.notified_homes.get(&service) == Some(&home) {
                continue;
            }
            self.notified_homes.insert(service.clone(), home);
            let running = self.running.values().filter(|running| running.service == service);
            let held = running.map(|running| running.held.clone()).collect();
            effects.extend(self.renew_at_home(now, service, held));
        }
        effects
    }

    fn renew_at_home(&mut self, now: Moment, service: id::Service, held: Vec<Held>) -> Vec<Effect> {
        let home = self.home(now, &service);
        for running in self.running.values_mut().filter(|running| running.service == service) {
            running.home = home.clone();
        }
        if home != self.me {
            return self.send(&home, Frame::Renew { service, held });
        }
        let answers = self.pools.get_mut(&service).map(|pool| pool.renew(now, &home, &held));
        self.deliver_answers(answers.unwrap_or_default())
    }
}
