//! Requests that go nowhere for a while, since upstreams end when they run them.
//!
//! A service's home finds them, by what entries tell it of the ends of requests. It tells all routers at once, and the store,
//! so that routers that start later know it, too, also when all have started anew. When its time is over a request is tried once:
//! either it ends well and is like any other again, or it is kept for twice as long.

use std::{collections::BTreeSet, time::Duration};

use rapidhash::RapidHashMap;
use stairvale_dispatch::{Answer, Ask, Verdict, suspects::Evidence};
use stairvale_replica::Subject;
use stairvale_types::{Moment, Refusal, id, outcome::Reason};

use super::{Core, Effect};
use crate::frame::Frame;

/// How long a request is kept from upstreams at first: as long as it takes to notice that it ends them and to mend that, and
/// no more of them end than one each time.
const FIRST: Duration = Duration::from_secs(120);
/// And at most, however often it was tried: the longest lease of the users' store.
const LONGEST: Duration = Duration::from_secs(600);
/// Requests that are kept at once; each has ended three upstreams. Of more those go first whose time is over first.
const CAPACITY: usize = 4_096;

/// How long a request goes nowhere.
#[derive(Clone, Copy, Debug)]
struct Term {
    until: Moment,
    length: Duration,
}

/// Requests that go nowhere.
#[derive(Debug, Default)]
pub(super) struct Quarantine {
    terms: RapidHashMap<id::Fingerprint, Term>,
}

impl Quarantine {
    fn left(&self, now: Moment, fingerprint: id::Fingerprint) -> Option<Duration> {
        let term = self.terms.get(&fingerprint).filter(|term| term.until > now)?;
        Some(term.until.since(now))
    }

    /// How long one that was found is kept: twice as long as the last time.
    fn next(&self, fingerprint: id::Fingerprint) -> Duration {
        self.terms.get(&fingerprint).map_or(FIRST, |term| (term.length * 2).min(LONGEST))
    }

    fn keep(&mut self, now: Moment, fingerprint: id::Fingerprint, left: Duration, length: Duration) {
        let (left, length) = (left.min(LONGEST), length.min(LONGEST));
        let term = self.terms.entry(fingerprint).or_insert(Term { until: Moment::ZERO, length });
        term.until = term.until.max(now + left);
        term.length = term.length.max(length);
        if self.terms.len() <= CAPACITY {
            return;
        }
        let first = self.terms.iter().min_by_key(|(_, term)| term.until).map(|(fingerprint, _)| *fingerprint);
        if let Some(first) = first {
            self.terms.remove(&first);
        }
    }

    /// Forgets those whose time has been over for as long as any is kept.
    fn forget(&mut self, now: Moment) {
        self.terms.retain(|_, term| now.since(term.until) < LONGEST);
    }
}

impl Core {
    /// How much longer a request goes nowhere, if it does.
    #[must_use]
    pub fn quarantined(&self, now: Moment, fingerprint: id::Fingerprint) -> Option<Duration> {
        self.quarantine.left(now, fingerprint)
    }

    /// The answer to a request that goes nowhere.
    pub(super) fn turn_away(&self, now: Moment, ask: &Ask) -> Option<Answer> {
        let left = self.quarantined(now, ask.fingerprint)?;
        let verdict = Verdict::Refused(Refusal::new(Reason::Quarantined, left));
        Some(Answer { entry: ask.entry.clone(), attempt: ask.attempt, verdict })
    }

    /// Tells what this router's pool of a service learnt of requests that upstreams end under, and keeps those from them that
    /// were found to be the cause.
    pub(super) fn spread_suspicion(&mut self, now: Moment, service: &id::Service) -> Vec<Effect> {
        let Some(pool) = self.pools.get_mut(service) else {
            return Vec::new();
        };
        let (evidence, found) = (pool.take_evidence(), pool.take_found());
        if evidence.is_empty() && found.is_empty() {
            return Vec::new();
        }
        let heirs = self.heirs_of(service);
        let mut effects = Vec::new();
        for evidence in evidence {
            let frame = Frame::Evidence { service: service.clone(), evidence };
            effects.extend(heirs.all().flat_map(|heir| self.send(heir, frame.clone())));
        }
        for fingerprint in found {
            effects.extend(self.found(now, service, fingerprint));
        }
        effects
    }

    fn found(&mut self, now: Moment, service: &id::Service, fingerprint: id::Fingerprint) -> Vec<Effect> {
        if self.quarantined(now, fingerprint).is_some() {
            return Vec::new();
        }
        let length = self.quarantine.next(fingerprint);
        self.quarantine.keep(now, fingerprint, length, length);
        let peers = self.present().filter(|peer| peer.router != self.me);
        let to: Vec<_> = peers.map(|peer| (peer.router.clone(), peer.address)).collect();
        let frame = Box::new(Frame::Quarantined { fingerprint, left: length, length });
        let mut effects = vec![Effect::Quarantined { service: service.clone(), fingerprint, length }];
        if !to.is_empty() {
            effects.push(Effect::Frames { to, frame });
        }
        effects
    }

    /// Somebody found that upstreams end because of a request.
    pub(super) fn keep_away(&mut self, now: Moment, fingerprint: id::Fingerprint, left: Duration, length: Duration) {
        self.quarantine.forget(now);
        self.quarantine.keep(now, fingerprint, left, length);
        for pool in self.pools.values_mut() {
            pool.learn_evidence(now, &Evidence::Found { fingerprint });
        }
    }

    /// Takes what changed in the store. An entry that is gone says nothing: its lease may have run out with the store.
    pub(super) fn learn_quarantines(&mut self, now: Moment, changed: &BTreeSet<Subject>) {
        let fingerprints = changed.iter().filter_map(|subject| match subject {
            Subject::Quarantine(fingerprint) => Some(*fingerprint),
            Subject::Configuration
            | Subject::Upstream(_)
            | Subject::Router(_)
            | Subject::Evacuation(_)
            | Subject::Order(_)
            | Subject::Rollout(_) => None,
        });
        let known: Vec<_> = fingerprints.filter_map(|print| Some((print, self.view.quarantine(print)?))).collect();
        for (fingerprint, length) in known {
            // How much of it is over isn't known to who has just started; whoever knows it has it already.
            if self.quarantined(now, fingerprint).is_none() {
                self.keep_away(now, fingerprint, length, length);
            }
        }
    }

    /// Tells a router that has just joined what goes nowhere, as far as the store doesn't say so.
    pub(super) fn tell_quarantines(&self, now: Moment, to: &id::Router) -> Vec<Effect> {
        let kept = self.quarantine.terms.iter().filter(|(print, _)| self.view.quarantine(**print).is_none());
        let frames = kept.filter_map(|(fingerprint, term)| {
            let left = self.quarantined(now, *fingerprint)?;
            Some(Frame::Quarantined { fingerprint: *fingerprint, left, length: term.length })
        });
        frames.flat_map(|frame| self.send(to, frame)).collect()
    }
}
