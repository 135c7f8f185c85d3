//! Placement of requests under which upstreams crashed, and detection of those that must not be sent to any upstream
//! again.
//!
//! A request under which an upstream crashed is kept away from further upstreams: where the same request runs already,
//! it joins that one, so that both crash one upstream at most; where two upstreams crashed under it, it goes where no
//! other such request runs, so that the next crash implicates it alone; and while it is being judged it isn't placed at
//! all. A request that is served is treated like any other again.

use std::collections::BTreeSet;

use stairvale_types::{Moment, id};

use super::Pool;
use crate::{Ask, Member, Outcome, Suspects, member::Hold, suspects::Evidence};

/// Number of crashes under a request from which on it is kept apart from other suspects.
const MIN_CRASHES_APART: usize = 2;

/// The members that a request may go to, by the upstreams that crashed under it.
pub(super) enum Scope {
    /// The request may go to any member.
    Any,
    /// The request may go only to the member that runs the same request already.
    With(id::Upstream),
    /// The request may go to any member but these.
    Without(BTreeSet<id::Upstream>),
}

impl Scope {
    /// Whether the request may go to a member.
    pub(super) fn contains(&self, member: &Member) -> bool {
        match self {
            Self::Any => true,
            Self::With(upstream) => *upstream == member.id,
            Self::Without(upstreams) => !upstreams.contains(&member.id),
        }
    }
}

impl Pool {
    /// Returns the requests under which upstreams crashed.
    #[must_use]
    pub fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// Returns the evidence that was collected here since the last call; it is sent to the routers that may become home
    /// next.
    pub fn take_evidence(&mut self) -> Vec<Evidence> {
        std::mem::take(&mut self.evidence)
    }

    /// Returns the requests that were found to crash upstreams since the last call.
    pub fn take_crash_causes(&mut self) -> Vec<id::Fingerprint> {
        std::mem::take(&mut self.found)
    }

    /// Applies evidence that another router collected.
    pub fn learn_evidence(&mut self, now: Moment, evidence: &Evidence) {
        self.suspects.learn(now, evidence);
    }

    /// Derives evidence from the end of a request at an upstream.
    pub(super) fn record_outcome(&mut self, now: Moment, upstream: &id::Upstream, hold: &Hold, outcome: Outcome) {
        let fingerprint = hold.fingerprint;
        let evidence = match outcome {
            Outcome::Ended => Evidence::Ended { fingerprint, upstream: upstream.clone(), ran: now.since(hold.since) },
            Outcome::Served if !self.suspects.is_empty() => {
                self.suspects.answered(now, upstream, hold.since);
                Evidence::Served { fingerprint }
            }
            // An error shows that the upstream still runs, but not that the request ran in the way in which it crashes
            // upstreams.
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

    /// Returns the members that a request may go to.
    pub(super) fn scope(&self, ask: &Ask) -> Scope {
        let ends = self.suspects.crash_count(ask.fingerprint);
        if ends == 0 {
            return Scope::Any;
        }
        let runs_same = |member: &&Member| {
            let may_use = member.usable && !ask.avoid.contains(&member.id);
            may_use && member.held().values().any(|hold| hold.fingerprint == ask.fingerprint)
        };
        if let Some(member) = self.members.values().find(runs_same) {
            return Scope::With(member.id.clone());
        }
        if ends < MIN_CRASHES_APART {
            return Scope::Any;
        }
        let suspected = |hold: &Hold| self.suspects.crash_count(hold.fingerprint) >= MIN_CRASHES_APART;
        let occupied = self.members.values().filter(|member| member.held().values().any(suspected));
        let occupied: BTreeSet<_> = occupied.map(|member| member.id.clone()).collect();
        // Where there are as many suspects as upstreams, they can't be kept apart.
        if occupied.len() >= self.usable.all() { Scope::Any } else { Scope::Without(occupied) }
    }
}
