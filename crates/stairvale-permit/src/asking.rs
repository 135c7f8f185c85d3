//! One attempt that waits for a permit: where it was, and where it goes next.

use std::time::Duration;

use stairvale_placement::choice;
use stairvale_types::{Moment, id};
use stairvale_wire::{Ask, Profile};

use crate::{
    entry::MAX_ASKS,
    request::{Directory, Effect, Step, Want},
};

/// Ranked engines tried before the emptiest are.
const RANKED_HOPS: usize = 2;

#[derive(Debug)]
pub(crate) struct Asking {
    pub want: Want,
    pub plan: choice::Plan,
    pub deadline: Moment,
    pub upstream: id::Upstream,
    pub home: id::Router,
    pub home_rank: usize,
    pub answer_by: Moment,
    pub asks: u32,
    pub next: usize,
    pub emptiest: Vec<id::Upstream>,
    pub last_resort: bool,
    /// Where the prefix is, by exception or by being the first choice.
    pub prefix_at: Option<id::Upstream>,
    pub steps: Vec<Step>,
}

impl Asking {
    /// The ranked list first, then the emptiest, then the first usable choice as a last resort.
    pub(crate) fn next_upstream<D: Directory>(&mut self, directory: &D) -> Option<id::Upstream> {
        let candidates = &self.want.candidates;
        while self.next < candidates.len() && self.usable_before(directory) < RANKED_HOPS {
            let upstream = candidates[self.next].clone();
            self.next += 1;
            if upstream != self.upstream || self.asks == 0 || self.next == 1 {
                return Some(upstream);
            }
        }
        while !self.emptiest.is_empty() {
            let upstream = self.emptiest.remove(0);
            let known = candidates.contains(&upstream);
            if known && upstream != self.upstream {
                // One hint a round; the next overflow brings fresher ones.
                self.emptiest.clear();
                self.last_resort = false;
                if self.asks + 2 < MAX_ASKS && self.asks < self.hint_asks() {
                    return Some(upstream);
                }
            }
        }
        self.last_resort = true;
        candidates.iter().find(|candidate| directory.usable(candidate)).cloned()
    }

    /// After this many asks the last resort comes, with a fresh hint now and then in between.
    pub(crate) fn hint_asks(&self) -> u32 {
        const HINTS: u32 = 4;
        u32::try_from(RANKED_HOPS).unwrap_or(0) + HINTS
    }

    pub(crate) fn usable_before<D: Directory>(&self, directory: &D) -> usize {
        self.want.candidates[..self.next].iter().filter(|candidate| directory.usable(candidate)).count()
    }

    pub(crate) fn to_ask(&self, now: Moment) -> Ask {
        let left = self.deadline.since(now);
        let has_prefix = self.prefix_at.as_ref() == Some(&self.upstream);
        let patience = match (self.last_resort, has_prefix) {
            (true, _) => left,
            (false, true) => self.plan.patience.min(left / 2),
            (false, false) => Duration::ZERO,
        };
        let first = self.want.candidates.first() == Some(&self.upstream);
        let knows_exception = self.prefix_at.as_ref().is_some_and(|at| at != &self.upstream);
        let returning = self.want.profile.returning && !knows_exception;
        Ask {
            attempt: self.want.attempt,
            upstream: self.upstream.clone(),
            profile: Profile { returning, ..self.want.profile.clone() },
            first,
            patience,
            deadline: left,
        }
    }

    /// Tells the first choice's home where the prefix goes, if that changes what it knows.
    pub(crate) fn moved<D: Directory>(&self, upstream: &id::Upstream, directory: &D) -> Option<Effect> {
        let chat = self.want.profile.chat?;
        let first = self.want.candidates.first()?;
        let known = self.prefix_at.as_ref().unwrap_or(first);
        if known == upstream {
            return None;
        }
        let to = directory.home(first, 0)?;
        Some(Effect::Moved { to, chat, first: first.clone(), upstream: upstream.clone() })
    }

    pub(crate) fn import_from<D: Directory>(&self, upstream: &id::Upstream, directory: &D) -> Option<id::Upstream> {
        if !self.plan.transfer {
            return None;
        }
        let source = self.prefix_at.clone()?;
        (&source != upstream && directory.usable(&source)).then_some(source)
    }
}

/// Stands until the first ask names the real home.
pub(crate) fn placeholder() -> id::Router {
    "none".parse().unwrap_or_else(|_| unreachable!("a plain word is a name"))
}
