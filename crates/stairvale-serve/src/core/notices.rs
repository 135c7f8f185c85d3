//! What upstreams say of themselves in their answers.
//!
//! An upstream that leaves says so in each answer, and in its entry in the store, which may come late or never while the store is
//! away. So the first answer binds the router that hears it, whoever decides where its requests go: a place that is
//! granted is looked at again before anything is sent. The other routers are told in datagrams, by way of their membership.
//!
//! An upstream that turns a request away may ask the router that sent it for rest. That concerns this router alone: each ask names
//! what rests for its router among the upstreams to avoid, so that whoever decides keeps to it and a change of homes loses
//! nothing. A router hears of a rest only in an answer to a request of its own, which bounds how many there are.

use std::time::Duration;

use rapidhash::{RapidHashMap, RapidHashSet};
use stairvale_replica::{State, Subject};
use stairvale_types::{Moment, Rest, id};
use stairvale_wire::{Word, packet};

use super::{Core, Effect};
use crate::dialect::Notice;

/// Lives that left and are remembered beside those that the store names: an entry that vanished may come back.
const GONE: usize = 4_096;

/// What upstreams said of themselves.
#[derive(Debug, Default)]
pub(super) struct Notices {
    /// Lives that said that they leave. There is no way back from that but another life.
    leaving: RapidHashSet<id::Upstream>,
    /// Until when lives want nothing from this router, by their service.
    rests: RapidHashMap<id::Service, RapidHashMap<id::Upstream, Moment>>,
}

impl Notices {
    fn rest(&mut self, service: &id::Service, upstream: &id::Upstream, until: Moment) {
        let rests = self.rests.entry(service.clone()).or_default();
        let known = rests.entry(upstream.clone()).or_insert(Moment::ZERO);
        // Each answer asks for itself: a shorter rest doesn't end a longer one.
        *known = (*known).max(until);
    }

    fn resting(&self, now: Moment, service: &id::Service) -> impl Iterator<Item = &id::Upstream> {
        let rests = self.rests.get(service).into_iter().flatten();
        rests.filter(move |(_, until)| **until > now).map(|(upstream, _)| upstream)
    }

    fn end_rests(&mut self, now: Moment) {
        self.rests.retain(|_, rests| {
            rests.retain(|_, until| *until > now);
            !rests.is_empty()
        });
    }
}

impl Core {
    /// An upstream of a service answered this router.
    pub fn hear(&mut self, now: Moment, service: &id::Service, upstream: &id::Upstream, notice: Notice) -> Vec<Effect> {
        let mut effects = if notice.leaves { self.learn_leaving(now, upstream) } else { Vec::new() };
        match notice.rest {
            Rest::Unasked => {}
            Rest::Unreadable => effects.push(Effect::Unreadable(upstream.clone())),
            Rest::For(length) => {
                self.notices.rest(service, upstream, now + length);
                effects.push(Effect::Rests { upstream: upstream.clone(), length });
            }
        }
        effects
    }

    /// Whether a life of an upstream has said that it leaves.
    #[must_use]
    pub fn leaves(&self, upstream: &id::Upstream) -> bool {
        self.notices.leaving.contains(upstream)
    }

    /// How many words of upstreams are remembered.
    #[must_use]
    pub fn remembered_notices(&self) -> usize {
        self.notices.leaving.len() + self.notices.rests.values().map(RapidHashMap::len).sum::<usize>()
    }

    /// How much longer an upstream of a service wants nothing from this router, if it does.
    #[must_use]
    pub fn rest(&self, now: Moment, service: &id::Service, upstream: &id::Upstream) -> Option<Duration> {
        let until = self.notices.rests.get(service)?.get(upstream).filter(|until| **until > now)?;
        Some(until.since(now))
    }

    /// The upstreams of a service that want nothing from this router.
    #[must_use]
    pub fn resting(&self, now: Moment, service: &id::Service) -> Vec<id::Upstream> {
        self.notices.resting(now, service).cloned().collect()
    }

    /// When the first upstream of a service takes work from this router again, if all that it could use in some zones rest:
    /// what only they could serve is best refused at once, with that time.
    #[must_use]
    pub fn all_rest(&self, now: Moment, service: &id::Service, zones: Option<&[id::Zone]>) -> Option<Duration> {
        self.notices.resting(now, service).next()?;
        let members = self.pools.get(service)?.members();
        let allowed = members.filter(|member| zones.is_none_or(|zones| zones.contains(&member.zone)));
        let mut first = None;
        for member in allowed.filter(|member| self.place(&member.id).is_some()) {
            let left = self.rest(now, service, &member.id)?;
            first = Some(first.map_or(left, |first: Duration| first.min(left)));
        }
        first
    }

    /// Forgets rests that are over.
    pub(super) fn end_rests(&mut self, now: Moment) {
        self.notices.end_rests(now);
    }

    /// A life of an upstream leaves, by its answer to this router or by what a peer heard: nothing new goes there, and the
    /// others are told.
    fn learn_leaving(&mut self, now: Moment, upstream: &id::Upstream) -> Vec<Effect> {
        if !self.notices.leaving.insert(upstream.clone()) {
            return Vec::new();
        }
        if self.notices.leaving.len() > GONE {
            let view = &self.view;
            self.notices.leaving.retain(|life| view.upstream(life).is_some() || life == upstream);
        }
        let mut effects = vec![Effect::Leaves(upstream.clone())];
        effects.extend(self.regroup_some(now, &[Subject::Upstream(upstream.name())].into()));
        effects.extend(self.spread_leaving(now, upstream));
        effects
    }

    /// A peer passed on what is said of an upstream.
    pub(super) fn heard_of(&mut self, now: Moment, word: &Word) -> Vec<Effect> {
        match word.state {
            packet::State::Draining => self.learn_leaving(now, &word.upstream),
            packet::State::Serving | packet::State::Unreachable => Vec::new(),
        }
    }

    fn spread_leaving(&mut self, now: Moment, upstream: &id::Upstream) -> Vec<Effect> {
        let (boot, state) = (upstream.start().unwrap_or_default(), packet::State::Draining);
        let told = self.swim.spread(Word { upstream: upstream.clone(), boot, change: 0, reach: 0, state });
        self.members(now, told)
    }

    /// Tells again of those that leave without the store saying so: a router that has just joined missed it. One router of a
    /// zone is enough.
    pub(super) fn retell_leaving(&mut self, now: Moment) -> Vec<Effect> {
        if self.notices.leaving.is_empty() || self.watcher().as_ref() != Some(&self.me) {
            return Vec::new();
        }
        let unsaid = |life: &&id::Upstream| self.view.upstream(life).is_some_and(|known| known.state == State::Ready);
        let unsaid: Vec<_> = self.notices.leaving.iter().filter(unsaid).cloned().collect();
        unsaid.iter().flat_map(|life| self.spread_leaving(now, life)).collect()
    }
}
