//! An attempt that waits for a permit: the upstreams it has tried, and the one it tries next.

use std::time::Duration;

use stairvale_placement::choice;
use stairvale_types::{Moment, id};
use stairvale_wire::{PermitRequest, Profile};

use crate::{
    entry::MAX_PERMIT_REQUESTS,
    request::{Directory, Effect, Step, UpstreamRequest},
};

/// Number of usable ranked engines tried before the emptiest ones.
const MAX_RANKED_TRIES: usize = 2;

/// The state of an attempt that waits for a permit.
#[derive(Debug)]
pub(crate) struct PendingAttempt {
    pub request: UpstreamRequest,
    pub plan: choice::Plan,
    pub deadline: Moment,
    pub upstream: id::Upstream,
    pub home: id::Router,
    pub home_rank: usize,
    pub answer_deadline: Moment,
    pub requests_sent: u32,
    pub next_candidate: usize,
    pub emptiest_hints: Vec<id::Upstream>,
    pub last_resort: bool,
    /// Upstream that holds the chat's prefix: the one that the first choice's home named, otherwise the first choice.
    pub prefix_at: Option<id::Upstream>,
    pub steps: Vec<Step>,
}

impl PendingAttempt {
    /// Returns the next upstream to try: the first candidates of the ranked list, then the emptiest engines that
    /// overflow answers suggest, then the first usable candidate as a last resort.
    pub(crate) fn next_upstream<D: Directory>(&mut self, directory: &D) -> Option<id::Upstream> {
        let candidates = &self.request.candidates;
        while self.next_candidate < candidates.len() && self.usable_tried(directory) < MAX_RANKED_TRIES {
            let upstream = candidates[self.next_candidate].clone();
            self.next_candidate += 1;
            if upstream != self.upstream || self.requests_sent == 0 || self.next_candidate == 1 {
                return Some(upstream);
            }
        }
        while !self.emptiest_hints.is_empty() {
            let upstream = self.emptiest_hints.remove(0);
            let is_candidate = candidates.contains(&upstream);
            if is_candidate && upstream != self.upstream {
                // Only one hint per overflow answer is followed, since the next answer brings fresher ones.
                self.emptiest_hints.clear();
                self.last_resort = false;
                if self.requests_sent + 2 < MAX_PERMIT_REQUESTS && self.requests_sent < self.max_hinted_requests() {
                    return Some(upstream);
                }
            }
        }
        self.last_resort = true;
        candidates.iter().find(|candidate| directory.usable(candidate)).cloned()
    }

    /// Returns the number of requests after which no more hints are followed, so that only the last resort remains.
    /// Until then each overflow answer may bring a fresh hint.
    pub(crate) fn max_hinted_requests(&self) -> u32 {
        const MAX_HINTS: u32 = 4;
        u32::try_from(MAX_RANKED_TRIES).unwrap_or(0) + MAX_HINTS
    }

    /// Returns how many of the candidates tried so far are usable.
    pub(crate) fn usable_tried<D: Directory>(&self, directory: &D) -> usize {
        self.request.candidates[..self.next_candidate].iter().filter(|candidate| directory.usable(candidate)).count()
    }

    /// Builds the permit request for the current upstream.
    ///
    /// It may wait in the home's queue for as long as the plan permits if the upstream holds the prefix, up to its
    /// deadline as a last resort, and not at all otherwise.
    pub(crate) fn build_request(&self, now: Moment) -> PermitRequest {
        let remaining = self.deadline.since(now);
        let has_prefix = self.prefix_at.as_ref() == Some(&self.upstream);
        let max_wait = match (self.last_resort, has_prefix) {
            (true, _) => remaining,
            (false, true) => self.plan.max_wait.min(remaining / 2),
            (false, false) => Duration::ZERO,
        };
        let first = self.request.candidates.first() == Some(&self.upstream);
        let has_exception = self.prefix_at.as_ref().is_some_and(|at| at != &self.upstream);
        let returning = self.request.profile.returning && !has_exception;
        PermitRequest {
            attempt: self.request.attempt,
            upstream: self.upstream.clone(),
            profile: Profile { returning, ..self.request.profile.clone() },
            first,
            patience: max_wait,
            deadline: remaining,
        }
    }

    /// Returns the notice to the first choice's home that the prefix moves to `upstream`, unless it has recorded that
    /// already.
    pub(crate) fn prefix_move<D: Directory>(&self, upstream: &id::Upstream, directory: &D) -> Option<Effect> {
        let chat = self.request.profile.chat?;
        let first = self.request.candidates.first()?;
        let recorded = self.prefix_at.as_ref().unwrap_or(first);
        if recorded == upstream {
            return None;
        }
        let to = directory.home(first, 0)?;
        Some(Effect::Moved { to, chat, first: first.clone(), upstream: upstream.clone() })
    }

    /// Returns the upstream to import the prefix from, if it is usable and the plan favours a transfer.
    pub(crate) fn import_from<D: Directory>(&self, upstream: &id::Upstream, directory: &D) -> Option<id::Upstream> {
        if !self.plan.transfer {
            return None;
        }
        let source = self.prefix_at.clone()?;
        (&source != upstream && directory.usable(&source)).then_some(source)
    }
}

/// Returns a placeholder for the home, which stands until the first permit request sets it.
pub(crate) fn placeholder() -> id::Router {
    "none".parse().unwrap_or_else(|_| unreachable!("`none` is a valid router name"))
}
