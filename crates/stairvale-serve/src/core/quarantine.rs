//! Quarantine: requests that make upstreams crash, and requests with a part of their prompts that does, are kept from all
//! upstreams for a while.
//!
//! A service's home detects them from the outcomes that entries report. It notifies all routers at once and writes to
//! the store, so that routers which start later know of them, too, even after a restart of the whole fleet. When the
//! quarantine ends, one such request is tried: either it completes, and all are treated like any other, or they are
//! quarantined for twice as long.

use std::{collections::BTreeSet, time::Duration};

use rapidhash::RapidHashMap;
use stairvale_dispatch::{
    Answer, Ask, Contents, Outcome, Verdict,
    suspects::{Cause, Evidence},
};
use stairvale_replica::Subject;
use stairvale_types::{Moment, Refusal, id, outcome::Reason};

use super::{Core, Effect, RunningRequest};
use crate::frame::Frame;

/// Length of the first quarantine: enough time to notice that upstreams crash and to fix that. Each retry crashes at
/// most one more upstream.
const INITIAL_LENGTH: Duration = Duration::from_secs(120);
/// Maximum length of a quarantine, however often the request was retried: the longest lease that the store grants.
const MAX_LENGTH: Duration = Duration::from_secs(600);
/// Maximum number of quarantined requests and parts; each has crashed three upstreams. Beyond it the one whose
/// quarantine ends first is dropped.
const CAPACITY: usize = 4_096;

/// The quarantine of one request or part.
#[derive(Clone, Copy, Debug)]
struct Term {
    until: Moment,
    length: Duration,
    /// Whether it was lifted before. It is lifted once only: upstreams of one version may serve what crashes another.
    was_lifted: bool,
}

/// All quarantined requests and parts, including those whose quarantine ended recently.
#[derive(Debug, Default)]
pub(super) struct Quarantine {
    terms: RapidHashMap<id::Fingerprint, Term>,
}

impl Quarantine {
    fn remaining(&self, now: Moment, fingerprint: id::Fingerprint) -> Option<Duration> {
        let term = self.terms.get(&fingerprint).filter(|term| term.until > now)?;
        Some(term.until.since(now))
    }

    /// The remaining time until a request is no longer quarantined, and neither is any part of its prompt.
    fn remaining_of(&self, now: Moment, contents: &Contents) -> Option<Duration> {
        if self.terms.is_empty() {
            return None;
        }
        contents.fingerprints().filter_map(|fingerprint| self.remaining(now, fingerprint)).max()
    }

    /// The length of a request's next quarantine: twice that of its last one.
    fn next_length(&self, fingerprint: id::Fingerprint) -> Duration {
        self.terms.get(&fingerprint).map_or(INITIAL_LENGTH, |term| (term.length * 2).min(MAX_LENGTH))
    }

    fn insert(&mut self, now: Moment, fingerprint: id::Fingerprint, remaining: Duration, length: Duration) {
        let (remaining, length) = (remaining.min(MAX_LENGTH), length.min(MAX_LENGTH));
        let term = self.terms.entry(fingerprint).or_insert(Term { until: Moment::ZERO, length, was_lifted: false });
        term.until = term.until.max(now + remaining);
        term.length = term.length.max(length);
        if self.terms.len() <= CAPACITY {
            return;
        }
        let earliest = self.terms.iter().min_by_key(|(_, term)| term.until).map(|(fingerprint, _)| *fingerprint);
        if let Some(earliest) = earliest {
            self.terms.remove(&earliest);
        }
    }

    /// Ends a quarantine early; returns whether it was in force.
    fn lift(&mut self, now: Moment, fingerprint: id::Fingerprint) -> bool {
        let Some(term) = self.terms.get_mut(&fingerprint).filter(|term| term.until > now && !term.was_lifted) else {
            return false;
        };
        term.until = now;
        term.was_lifted = true;
        true
    }

    /// Drops requests whose quarantine ended at least [`MAX_LENGTH`] ago.
    fn remove_expired(&mut self, now: Moment) {
        self.terms.retain(|_, term| now.since(term.until) < MAX_LENGTH);
    }
}

impl Core {
    /// How much longer the request or part with a fingerprint is quarantined; `None` if it isn't.
    #[must_use]
    pub fn quarantined(&self, now: Moment, fingerprint: id::Fingerprint) -> Option<Duration> {
        self.quarantine.remaining(now, fingerprint)
    }

    /// How much longer a request must not be sent to any upstream, since it or a part of its prompt is quarantined.
    #[must_use]
    pub fn quarantine_of(&self, now: Moment, contents: &Contents) -> Option<Duration> {
        self.quarantine.remaining_of(now, contents)
    }

    /// The refusal of a request that is quarantined; `None` if it isn't.
    pub(super) fn refuse_quarantined(&self, now: Moment, ask: &Ask) -> Option<Answer> {
        if self.quarantine.terms.is_empty() {
            return None;
        }
        let remaining = self.quarantine_of(now, &Contents::of(ask))?;
        let verdict = Verdict::Refused(Refusal::new(Reason::Quarantined, remaining));
        Some(Answer { entry: ask.entry.clone(), attempt: ask.attempt, verdict })
    }

    /// Reports the outcome of a request whose home has changed since it was granted. The account of the new home lacks the
    /// parts of its prompt.
    pub(super) fn report_evidence(&mut self, now: Moment, running: &RunningRequest, outcome: Outcome) -> Vec<Effect> {
        let RunningRequest { service, held, home, granted_by, contents } = running;
        if home == granted_by || contents.parts.is_empty() {
            return Vec::new();
        }
        let contents = contents.clone();
        let evidence = match outcome {
            Outcome::Ended => Evidence::Crashed { contents, upstream: held.upstream.clone(), ran: Duration::ZERO },
            Outcome::Served => Evidence::Completed { contents },
            Outcome::Failed
            | Outcome::Shed
            | Outcome::Silent
            | Outcome::Unreachable
            | Outcome::Gone
            | Outcome::Abandoned => return Vec::new(),
        };
        if home != &self.me {
            return self.send_when_known(home, Frame::Evidence { service: service.clone(), evidence });
        }
        if let Some(pool) = self.pools.get_mut(service) {
            pool.learn_evidence(now, &evidence);
        }
        Vec::new()
    }

    /// Sends the successors what this router's pool of a service learned about requests under which upstreams crash,
    /// and quarantines the causes that were found.
    pub(super) fn send_evidence(&mut self, now: Moment, service: &id::Service) -> Vec<Effect> {
        let Some(pool) = self.pools.get_mut(service) else {
            return Vec::new();
        };
        let (evidence, found, cleared) = (pool.take_evidence(), pool.take_crash_causes(), pool.take_cleared());
        if evidence.is_empty() && found.is_empty() && cleared.is_empty() {
            return Vec::new();
        }
        let successors = self.successors_of(service);
        let mut effects = Vec::new();
        for evidence in evidence {
            let frame = Frame::Evidence { service: service.clone(), evidence };
            effects.extend(successors.all().flat_map(|successor| self.send_when_known(successor, frame.clone())));
        }
        for cause in found {
            effects.extend(self.start_quarantine(now, service, cause));
        }
        for fingerprint in cleared {
            if self.lift_quarantine(now, fingerprint) {
                effects.push(Effect::QuarantineLifted { service: service.clone(), fingerprint });
                effects.extend(self.broadcast_quarantine(fingerprint, Duration::ZERO));
            }
        }
        effects
    }

    fn start_quarantine(&mut self, now: Moment, service: &id::Service, cause: Cause) -> Vec<Effect> {
        let fingerprint = cause.fingerprint;
        if self.quarantined(now, fingerprint).is_some() {
            return Vec::new();
        }
        let length = self.quarantine.next_length(fingerprint);
        self.quarantine.insert(now, fingerprint, length, length);
        let report = Effect::Quarantined { service: service.clone(), cause, length };
        std::iter::once(report).chain(self.broadcast_quarantine(fingerprint, length)).collect()
    }

    /// Tells all routers of a quarantine that begins now, or with a length of zero of one that was lifted.
    fn broadcast_quarantine(&self, fingerprint: id::Fingerprint, length: Duration) -> Option<Effect> {
        let peers = self.responding_routers().filter(|peer| peer.router != self.me);
        let to: Vec<_> = peers.map(|peer| (peer.router.clone(), peer.address)).collect();
        let frame = Box::new(Frame::Quarantined { fingerprint, left: length, length });
        (!to.is_empty()).then_some(Effect::Frames { to, frame })
    }

    /// Ends a quarantine early; returns whether it was in force.
    fn lift_quarantine(&mut self, now: Moment, fingerprint: id::Fingerprint) -> bool {
        let was_in_force = self.quarantine.lift(now, fingerprint);
        if was_in_force {
            for pool in self.pools.values_mut() {
                pool.forget_cause(fingerprint);
            }
        }
        was_in_force
    }

    /// Handles a peer's report that a request or a part makes upstreams crash.
    pub(super) fn add_quarantine(
        &mut self,
        now: Moment,
        fingerprint: id::Fingerprint,
        left: Duration,
        length: Duration,
    ) {
        if length.is_zero() {
            self.lift_quarantine(now, fingerprint);
            return;
        }
        self.quarantine.remove_expired(now);
        self.quarantine.insert(now, fingerprint, left, length);
        for pool in self.pools.values_mut() {
            pool.learn_evidence(now, &Evidence::Found { fingerprint });
        }
    }

    /// Applies changes of quarantines in the store. A removed entry changes nothing: its lease may have expired while
    /// the store was failing.
    pub(super) fn apply_quarantine_changes(&mut self, now: Moment, changed: &BTreeSet<Subject>) {
        let fingerprints = changed.iter().filter_map(|subject| match subject {
            Subject::Quarantine(fingerprint) => Some(*fingerprint),
            Subject::Configuration
            | Subject::Upstream(_)
            | Subject::Router(_)
            | Subject::Evacuation(_)
            | Subject::Order(_)
            | Subject::Rollout(_) => None,
        });
        let stored: Vec<_> =
            fingerprints.filter_map(|fingerprint| Some((fingerprint, self.view.quarantine(fingerprint)?))).collect();
        for (fingerprint, length) in stored {
            // A router that has just started doesn't know how much of the quarantine has passed. A router that does
            // know has it already.
            if self.quarantined(now, fingerprint).is_none() || length.is_zero() {
                self.add_quarantine(now, fingerprint, length, length);
            }
        }
    }

    /// Sends a router that has just joined the quarantines that the store doesn't show.
    pub(super) fn send_quarantines(&self, now: Moment, to: &id::Router) -> Vec<Effect> {
        let unstored =
            self.quarantine.terms.iter().filter(|(fingerprint, _)| self.view.quarantine(**fingerprint).is_none());
        let frames = unstored.filter_map(|(fingerprint, term)| {
            let left = self.quarantined(now, *fingerprint)?;
            Some(Frame::Quarantined { fingerprint: *fingerprint, left, length: term.length })
        });
        frames.flat_map(|frame| self.send(to, frame)).collect()
    }
}
