//! Placement of requests under which upstreams crashed, and detection of those that must not be sent to any upstream
//! again.
//!
//! A request is a suspect when upstreams crashed under it or under a part of its prompt. It is kept away from further
//! upstreams: where a request with the same fingerprint or part runs already, it joins that one, so that both crash one
//! upstream at most; where two upstreams crashed, it goes where no other suspect runs, so that the next crash implicates
//! it alone; and while it is being judged it isn't placed at all. Requests with a part that was quarantined before run
//! one at a time. A request that is served is treated like any other again, and so are the parts of its prompt.

use std::collections::BTreeSet;

use stairvale_types::{Moment, id};

use super::Pool;
use crate::{
    Ask, Contents, Member, Outcome, Suspects,
    member::Hold,
    suspects::{Cause, Evidence},
};

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

    /// Returns the causes of crashes that were found since the last call.
    pub fn take_crash_causes(&mut self) -> Vec<Cause> {
        std::mem::take(&mut self.found)
    }

    /// Returns the requests and parts that were served since the last call although they had been found to be the cause of
    /// crashes.
    pub fn take_cleared(&mut self) -> Vec<id::Fingerprint> {
        self.suspects.take_cleared()
    }

    /// Forgets that a request or a part was found to be the cause of crashes.
    pub fn forget_cause(&mut self, fingerprint: id::Fingerprint) {
        self.suspects.forget_found(fingerprint);
    }

    /// Applies evidence that another router collected.
    pub fn learn_evidence(&mut self, now: Moment, evidence: &Evidence) {
        self.suspects.learn(now, evidence);
    }

    /// Derives evidence from the end of a request at an upstream.
    pub(super) fn record_outcome(&mut self, now: Moment, upstream: &id::Upstream, hold: &Hold, outcome: Outcome) {
        let form = |evidence: Evidence| {
            if hold.contents.parts.is_empty() { evidence.without_parts() } else { evidence }
        };
        let evidence = match outcome {
            Outcome::Ended => {
                let (contents, ran) = (Contents::clone(&hold.contents), now.since(hold.since));
                form(Evidence::Crashed { contents, upstream: upstream.clone(), ran })
            }
            Outcome::Served => {
                if !self.suspects.is_empty() {
                    self.suspects.answered(now, upstream, hold.since);
                }
                if self.suspects.record_served(&hold.contents) {
                    self.evidence.push(form(Evidence::Completed { contents: Contents::clone(&hold.contents) }));
                }
                return;
            }
            // An error shows that the upstream still runs, but not that the request ran in the way in which it crashes
            // upstreams.
            Outcome::Failed
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

    /// Whether a request has to wait for a judgement on it or on a part of its prompt. A part that was quarantined is
    /// judged by one request at a time.
    pub(super) fn awaits_judgement(&self, ask: &Ask) -> bool {
        if self.suspects.is_empty() {
            return false;
        }
        let contents = Contents::of(ask);
        let found = self.suspects.found_parts(&contents);
        self.suspects.is_pending(&contents)
            || !found.is_empty() && self.members_running(|hold| holds_any(hold, &found)).next().is_some()
    }

    /// Whether upstreams crashed under a request or a part of its prompt that may be the cause.
    pub(super) fn is_suspect(&self, ask: &Ask) -> bool {
        let has_crashes = || {
            let contents = Contents::of(ask);
            self.suspects.crash_count(ask.fingerprint) > 0 || !self.suspects.suspect_parts(&contents).is_empty()
        };
        !self.suspects.is_empty() && has_crashes()
    }

    /// Returns the members that a request may go to.
    pub(super) fn scope(&self, ask: &Ask) -> Scope {
        if !self.is_suspect(ask) {
            return Scope::Any;
        }
        let crashes = self.suspects.crash_count(ask.fingerprint);
        let parts = self.suspects.suspect_parts(&Contents::of(ask));
        let ids: Vec<_> = parts.iter().map(|(part, _)| *part).collect();
        let is_same =
            |hold: &Hold| crashes > 0 && hold.contents.fingerprint == ask.fingerprint || holds_any(hold, &ids);
        if let Some(member) = self.members_running(is_same).find(|member| !ask.avoid.contains(&member.id)) {
            return Scope::With(member.id.clone());
        }
        let most_crashes = parts.iter().map(|(_, crashes)| *crashes).fold(crashes, usize::max);
        if most_crashes < MIN_CRASHES_APART {
            return Scope::Any;
        }
        let suspected = |hold: &Hold| {
            let parts = self.suspects.suspect_parts(&hold.contents);
            let part_crashes = parts.iter().map(|(_, crashes)| *crashes).max().unwrap_or(0);
            self.suspects.crash_count(hold.contents.fingerprint).max(part_crashes) >= MIN_CRASHES_APART
        };
        let occupied = self.members.values().filter(|member| member.held().values().any(suspected));
        let occupied: BTreeSet<_> = occupied.map(|member| member.id.clone()).collect();
        // Where there are as many suspects as upstreams, they can't be kept apart.
        if occupied.len() >= self.usable.all() { Scope::Any } else { Scope::Without(occupied) }
    }

    /// Returns the usable members that run a request which matches a condition.
    fn members_running(&self, matches: impl Fn(&Hold) -> bool) -> impl Iterator<Item = &Member> {
        self.members.values().filter(move |member| member.usable && member.held().values().any(&matches))
    }
}

/// Whether a request's prompt holds any of some parts.
fn holds_any(hold: &Hold, parts: &[u64]) -> bool {
    hold.contents.parts.iter().any(|part| parts.contains(part))
}
