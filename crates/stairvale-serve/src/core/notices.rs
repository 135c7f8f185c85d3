//! What upstreams report about themselves in their answers.
//!
//! An upstream that is leaving says so in each answer, and in its entry in the store, which may come late, or never
//! while the store is unavailable. The first such answer therefore binds the router that receives it, whichever home
//! decides: a granted upstream is checked again before anything is sent. The other routers are notified by datagrams
//! of the membership protocol.
//!
//! An upstream that refuses a request may ask the router that sent it for a rest. This concerns that router alone:
//! each of its asks lists the resting upstreams among those to avoid, so any home respects them and a change of homes
//! loses nothing. A router learns of a rest only from an answer to a request of its own, which bounds the number of
//! rests.

use std::time::Duration;

use rapidhash::{RapidHashMap, RapidHashSet};
use stairvale_replica::{State, Subject};
use stairvale_types::{Moment, Rest, id};
use stairvale_wire::{UpstreamReport, packet};

use super::{Core, Effect};
use crate::dialect::Notice;

/// Number of remembered leaving upstreams above which those without an entry in the store are dropped. They are kept
/// up to this number, since an entry that vanished may come back.
const MAX_LEAVING: usize = 4_096;

/// What upstreams reported about themselves.
#[derive(Debug, Default)]
pub(super) struct Notices {
    /// Incarnations of upstreams that announced that they are leaving. Only a new incarnation takes requests again.
    leaving: RapidHashSet<id::Upstream>,
    /// For each service, the upstreams that asked this router for a rest, and until when.
    rests: RapidHashMap<id::Service, RapidHashMap<id::Upstream, Moment>>,
}

impl Notices {
    fn rest(&mut self, service: &id::Service, upstream: &id::Upstream, until: Moment) {
        let rests = self.rests.entry(service.clone()).or_default();
        let latest = rests.entry(upstream.clone()).or_insert(Moment::ZERO);
        // Each answer asks for a rest of its own, so a shorter rest doesn't end a longer one.
        *latest = (*latest).max(until);
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
    /// Handles the notice in an upstream's answer to this router.
    pub fn handle_notice(
        &mut self,
        now: Moment,
        service: &id::Service,
        upstream: &id::Upstream,
        notice: Notice,
    ) -> Vec<Effect> {
        let mut effects = if notice.leaves { self.record_leaving(now, upstream) } else { Vec::new() };
        match notice.rest {
            Rest::NotRequested => {}
            Rest::Invalid => effects.push(Effect::Unreadable(upstream.clone())),
            Rest::For(length) => {
                self.notices.rest(service, upstream, now + length);
                effects.push(Effect::Rests { upstream: upstream.clone(), length });
            }
        }
        effects
    }

    /// Whether this incarnation of an upstream has announced that it is leaving.
    #[must_use]
    pub fn is_leaving(&self, upstream: &id::Upstream) -> bool {
        self.notices.leaving.contains(upstream)
    }

    /// The number of remembered notices of upstreams.
    #[must_use]
    pub fn notice_count(&self) -> usize {
        self.notices.leaving.len() + self.notices.rests.values().map(RapidHashMap::len).sum::<usize>()
    }

    /// The remaining rest that an upstream of a service asked this router for; `None` if there is none.
    #[must_use]
    pub fn remaining_rest(&self, now: Moment, service: &id::Service, upstream: &id::Upstream) -> Option<Duration> {
        let until = self.notices.rests.get(service)?.get(upstream).filter(|until| **until > now)?;
        Some(until.since(now))
    }

    /// The upstreams of a service that currently rest from this router.
    #[must_use]
    pub fn resting(&self, now: Moment, service: &id::Service) -> Vec<id::Upstream> {
        self.notices.resting(now, service).cloned().collect()
    }

    /// The time until the first upstream of a service takes work from this router again, if all usable ones in the
    /// given zones rest. A request that only they could serve is best refused at once, with this time.
    #[must_use]
    pub fn time_until_usable(
        &self,
        now: Moment,
        service: &id::Service,
        zones: Option<&[id::Zone]>,
    ) -> Option<Duration> {
        self.notices.resting(now, service).next()?;
        let members = self.pools.get(service)?.members();
        let allowed = members.filter(|member| zones.is_none_or(|zones| zones.contains(&member.zone)));
        let mut first = None;
        for member in allowed.filter(|member| self.usable_upstream(&member.id).is_some()) {
            let left = self.remaining_rest(now, service, &member.id)?;
            first = Some(first.map_or(left, |first: Duration| first.min(left)));
        }
        first
    }

    /// Removes expired rests.
    pub(super) fn end_rests(&mut self, now: Moment) {
        self.notices.end_rests(now);
    }

    /// Records that an incarnation of an upstream is leaving, by its answer to this router or to a peer. It receives
    /// no new requests, and the other routers are notified.
    fn record_leaving(&mut self, now: Moment, upstream: &id::Upstream) -> Vec<Effect> {
        if !self.notices.leaving.insert(upstream.clone()) {
            return Vec::new();
        }
        if self.notices.leaving.len() > MAX_LEAVING {
            let view = &self.view;
            self.notices.leaving.retain(|known| view.upstream(known).is_some() || known == upstream);
        }
        let mut effects = vec![Effect::Leaves(upstream.clone())];
        effects.extend(self.update_pool_members(now, &[Subject::Upstream(upstream.name())].into()));
        effects.extend(self.spread_leaving(now, upstream));
        effects
    }

    /// Handles a peer's update about an upstream.
    pub(super) fn handle_upstream_update(&mut self, now: Moment, update: &UpstreamReport) -> Vec<Effect> {
        match update.state {
            packet::UpstreamState::Draining => self.record_leaving(now, &update.upstream),
            packet::UpstreamState::Serving | packet::UpstreamState::Unreachable => Vec::new(),
        }
    }

    fn spread_leaving(&mut self, now: Moment, upstream: &id::Upstream) -> Vec<Effect> {
        let (boot, state) = (upstream.start().unwrap_or_default(), packet::UpstreamState::Draining);
        let effects =
            self.swim.gossip_report(UpstreamReport { upstream: upstream.clone(), boot, change: 0, reach: 0, state });
        self.handle_membership(now, effects)
    }

    /// Notifies the peers again of leaving upstreams that the store still shows as ready, since a router that has
    /// just joined missed the first notification. One router of a zone does this.
    pub(super) fn resend_leaving(&mut self, now: Moment) -> Vec<Effect> {
        if self.notices.leaving.is_empty() || self.watcher().as_ref() != Some(&self.me) {
            return Vec::new();
        }
        let shown_ready =
            |upstream: &&id::Upstream| self.view.upstream(upstream).is_some_and(|entry| entry.state == State::Ready);
        let shown_ready: Vec<_> = self.notices.leaving.iter().filter(shown_ready).cloned().collect();
        shown_ready.iter().flat_map(|upstream| self.spread_leaving(now, upstream)).collect()
    }
}
