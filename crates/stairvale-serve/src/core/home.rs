//! This router as the home of services: what it decides for others, and whom it tells what it knows.

use std::{collections::BTreeMap, time::Duration};

use stairvale_dispatch::{Answer, Ask, Held, Outcome, Part, Verdict, shares::Counts};
use stairvale_types::{Moment, id};

use super::{Core, Effect, Reply};
use crate::frame::Frame;

/// Customers by name, with what was counted for them; `None` for requests without one.
pub type Named = Vec<(Option<id::Customer>, Counts)>;

impl Core {
    pub(super) fn asked(&mut self, now: Moment, from: &id::Router, service: &id::Service, ask: Ask) -> Vec<Effect> {
        let attempt = ask.attempt;
        if self.leaving || !self.pools.contains_key(service) {
            return self.send(from, Frame::Decided { attempt, verdict: None });
        }
        let mut effects = self.decide(now, service, ask);
        let decided = effects.iter().any(|effect| match effect {
            Effect::Frame { frame, .. } => matches!(&**frame, Frame::Decided { attempt: a, .. } if *a == attempt),
            Effect::Datagram { .. }
            | Effect::Frames { .. }
            | Effect::Reply { .. }
            | Effect::Inspect { .. }
            | Effect::Begun(_)
            | Effect::Over(_)
            | Effect::Configured(_)
            | Effect::Evacuated { .. }
            | Effect::Write(_)
            | Effect::WriteFor { .. }
            | Effect::Stage { .. }
            | Effect::Say(_)
            | Effect::Surplus { .. }
            | Effect::Quarantined { .. }
            | Effect::Leaves(_)
            | Effect::Rests { .. }
            | Effect::Unreadable(_)
            | Effect::Lost(_) => false,
        });
        if !decided {
            effects.extend(self.send(from, Frame::Waits { attempt }));
        }
        effects
    }

    pub(super) fn decide(&mut self, now: Moment, service: &id::Service, ask: Ask) -> Vec<Effect> {
        let attempt = ask.attempt;
        if let Some(answer) = self.turn_away(now, &ask) {
            return self.answers(vec![answer]);
        }
        let Some(pool) = self.pools.get_mut(service) else {
            return vec![Effect::Reply { attempt, reply: Reply::Decided(None) }];
        };
        let parts = ask.parts.clone();
        let answers = pool.ask(now, ask);
        let place = answers.iter().find_map(|answer| match &answer.verdict {
            Verdict::Granted { upstream, .. } if answer.attempt == attempt => Some(upstream.clone()),
            Verdict::Granted { .. } | Verdict::Refused(_) => None,
        });
        let mut effects = self.answers(answers);
        effects.extend(self.inspect(now, service));
        if let Some(upstream) = place.filter(|_| parts.len() > 1) {
            let frame = Frame::Read { service: service.clone(), upstream: upstream.clone(), parts };
            effects.extend(self.tell_heirs(service, &upstream, &frame));
        }
        effects
    }

    /// Lets time pass for a service's pool.
    pub(super) fn tick_pool(&mut self, now: Moment, service: &id::Service) -> Vec<Effect> {
        let Some(pool) = self.pools.get_mut(service) else {
            return Vec::new();
        };
        let answers = pool.tick(now);
        let surpluses = pool.surpluses(now).into_iter();
        let told = surpluses.map(|surplus| Effect::Surplus { service: service.clone(), surplus }).collect::<Vec<_>>();
        let mut effects = self.answers(answers);
        effects.extend(told);
        effects.extend(self.spread_suspicion(now, service));
        effects
    }

    /// What was counted here, as the home of services, for the largest customers of each, and for all others together.
    pub fn customers(&self, most: usize) -> impl Iterator<Item = (&id::Service, Named, Counts)> {
        self.pools.iter().map(move |(service, pool)| {
            let (named, others) = pool.shares().counts(most);
            (service, named, others)
        })
    }

    /// An engine said what it holds.
    pub fn inspected(&mut self, service: &id::Service, upstream: &id::Upstream, parts: Vec<Part>) -> Vec<Effect> {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.learn_prefixes(upstream, &parts);
        }
        let frame = Frame::Prefixes { service: service.clone(), upstream: upstream.clone(), parts };
        self.tell_heirs(service, upstream, &frame)
    }

    /// Asks engines what they hold, as a home that nobody told. Who only stands in for a home that doesn't answer leaves
    /// that: when all routers start at once each would ask all engines, and every list holds an engine's work up.
    pub(super) fn inspect(&mut self, now: Moment, service: &id::Service) -> Vec<Effect> {
        if !self.has_joined(now) || self.standing_home(service) != Some(&self.me) {
            return Vec::new();
        }
        let resting = self.resting(now, service);
        let pool = self.pools.get_mut(service);
        let unknown = pool.map(|pool| pool.unknown(|engine| !resting.contains(engine))).unwrap_or_default();
        let asked = unknown.into_iter().filter_map(|upstream| {
            let address = self.address(&upstream)?;
            Some(Effect::Inspect { service: service.clone(), upstream, address })
        });
        asked.collect()
    }

    pub(super) fn began(
        &mut self,
        now: Moment,
        service: &id::Service,
        attempt: id::Attempt,
        took: Duration,
    ) -> Vec<Effect> {
        let answers = self.pools.get_mut(service).map(|pool| pool.begun(now, attempt, took));
        self.answers(answers.unwrap_or_default())
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
        let mut effects = self.answers(answers.unwrap_or_default());
        effects.extend(self.spread_suspicion(now, service));
        effects
    }

    pub(super) fn answers(&mut self, answers: Vec<Answer>) -> Vec<Effect> {
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

    /// Tells each home what runs here of its service.
    pub(super) fn renew(&mut self, now: Moment) -> Vec<Effect> {
        let mut by_service: BTreeMap<id::Service, Vec<Held>> = BTreeMap::new();
        for running in self.running.values() {
            by_service.entry(running.service.clone()).or_default().push(running.held.clone());
        }
        by_service.into_iter().flat_map(|(service, held)| self.renew_at_home(now, service, held)).collect()
    }

    /// Tells routers that became homes what runs here of their services, also if that is nothing: so the stream to a home
    /// is open before the first request needs it, and a new home's account is right at once.
    pub(super) fn greet_homes(&mut self, now: Moment) -> Vec<Effect> {
        let mut effects = Vec::new();
        for service in self.pools.keys().cloned().collect::<Vec<_>>() {
            let home = self.home(now, &service);
            if self.homes.get(&service) == Some(&home) {
                continue;
            }
            self.homes.insert(service.clone(), home);
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
        self.answers(answers.unwrap_or_default())
    }
}
