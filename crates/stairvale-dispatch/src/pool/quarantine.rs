//! Requests that upstreams end under: how they are placed, and which are to go nowhere any more.
//!
//! A request that an upstream ended under is given only what can be spared: where the same request runs already, it joins that
//! one, so that both end one upstream at most; where two upstreams ended under it, it goes where no other such request runs, so
//! that the next end accuses one alone; and while it is being judged it isn't placed at all. What ends well is like any other
//! again.

use std::collections::BTreeSet;

use stairvale_types::{Moment, id};

use super::Pool;
use crate::{Ask, Member, Outcome, Suspects, member::Hold, suspects::Evidence};

/// Ends under a request from which on it is kept apart from others of this kind.
const APART: usize = 2;

/// Where a request may go by what is suspected of it.
pub(super) enum Sphere {
    /// Anywhere.
    Any,
    /// Only where the same request runs already.
    With(id::Upstream),
    /// Anywhere but there.
    Without(BTreeSet<id::Upstream>),
}

impl Sphere {
    /// Whether a member is within it.
    pub(super) fn has(&self, member: &Member) -> bool {
        match self {
            Self::Any => true,
            Self::With(upstream) => *upstream == member.id,
            Self::Without(upstreams) => !upstreams.contains(&member.id),
        }
    }
}

impl Pool {
    /// Requests that its upstreams ended under.
    #[must_use]
    pub fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// What was learnt here of requests that upstreams end under, since this was asked last: for whoever may be home next.
    pub fn take_evidence(&mut self) -> Vec<Evidence> {
        std::mem::take(&mut self.evidence)
    }

    /// Requests that upstreams were found to end because of, since this was asked last.
    pub fn take_found(&mut self) -> Vec<id::Fingerprint> {
        std::mem::take(&mut self.found)
    }

    /// Takes what another router learnt.
    pub fn learn_evidence(&mut self, now: Moment, evidence: &Evidence) {
        self.suspects.learn(now, evidence);
    }

    /// A request ended at an upstream.
    pub(super) fn suspect(&mut self, now: Moment, place: &id::Upstream, hold: &Hold, outcome: Outcome) {
        let fingerprint = hold.fingerprint;
        let evidence = match outcome {
            Outcome::Ended => Evidence::Ended { fingerprint, upstream: place.clone(), ran: now.since(hold.since) },
            Outcome::Served if !self.suspects.is_empty() => {
                self.suspects.answered(now, place, hold.since);
                Evidence::Served { fingerprint }
            }
            // An error says that the upstream lives, but not that the request ran as it does when it ends one.
            Outcome::Served
            | Outcome::Failed
            | Outcome::Shed
            | Outcome::Silent
            | Outcome::Unreachable
            | Outcome::Gone
            | Outcome::Abandoned => return,
        };
        if self.suspects.learn(now, &evidence) {
            self.evidence.push(evidence);
        }
    }

    pub(super) fn judge_suspects(&mut self, now: Moment) {
        let found = self.suspects.judge(now, self.usable.all());
        self.found.extend(found);
    }

    /// Where a request may go.
    pub(super) fn sphere(&self, ask: &Ask) -> Sphere {
        let ends = self.suspects.ends(ask.fingerprint);
        if ends == 0 {
            return Sphere::Any;
        }
        let runs = |member: &&Member| {
            let may = member.usable && !ask.avoid.contains(&member.id);
            may && member.held().values().any(|hold| hold.fingerprint == ask.fingerprint)
        };
        if let Some(member) = self.members.values().find(runs) {
            return Sphere::With(member.id.clone());
        }
        if ends < APART {
            return Sphere::Any;
        }
        let suspected = |hold: &Hold| self.suspects.ends(hold.fingerprint) >= APART;
        let taken = self.members.values().filter(|member| member.held().values().any(suspected));
        let taken: BTreeSet<_> = taken.map(|member| member.id.clone()).collect();
        // Where there are as many of them as upstreams, they can't be kept apart.
        if taken.len() >= self.usable.all() { Sphere::Any } else { Sphere::Without(taken) }
    }
}
