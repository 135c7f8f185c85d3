//! What upstreams say of themselves in their answers to this router.

use std::time::Duration;

use rapidhash::{RapidHashMap, RapidHashSet};
use stairvale_types::{Moment, id};

use super::{Core, Effect};
use crate::dialect::{Notice, Rest};

/// The longest rest that an upstream is given for one answer; what asks for more is taken to ask for this.
const LONGEST_REST: Duration = Duration::from_hours(1);

/// What upstreams said of themselves.
#[derive(Debug, Default)]
pub(super) struct Notices {
    /// Lives that said that they leave.
    leaving: RapidHashSet<id::Upstream>,
    /// Until when lives want nothing from this router.
    rests: RapidHashMap<id::Upstream, Moment>,
}

impl Core {
    /// An upstream answered this router.
    pub fn hear(&mut self, now: Moment, upstream: &id::Upstream, notice: Notice) -> Vec<Effect> {
        let mut effects = Vec::new();
        if notice.leaves && self.notices.leaving.insert(upstream.clone()) {
            effects.push(Effect::Leaves(upstream.clone()));
        }
        match notice.rest {
            Rest::Unasked => {}
            Rest::Unreadable => effects.push(Effect::Unreadable(upstream.clone())),
            Rest::For(length) => {
                let length = length.min(LONGEST_REST);
                let until = self.notices.rests.entry(upstream.clone()).or_insert(Moment::ZERO);
                // Each answer asks for itself: a shorter rest doesn't end a longer one.
                *until = (*until).max(now + length);
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

    /// How much longer an upstream wants nothing from this router, if it does.
    #[must_use]
    pub fn rests(&self, now: Moment, upstream: &id::Upstream) -> Option<Duration> {
        let until = self.notices.rests.get(upstream).filter(|until| **until > now)?;
        Some(until.since(now))
    }
}
