//! Requests that wait for another request's prefill of the parts that both share.
//!
//! An engine that is given the same long prefix twice at the same time prefills it twice, and each prefill slows the
//! other. So the second request waits for the first event of the first one, and finds the prefix cached, at the same
//! engine or to be copied from it.

use std::{collections::BTreeSet, time::Duration};

use stairvale_types::{Moment, id};

use super::Pool;
use crate::{Answer, Ask, Member};

/// A prefill that takes less time than this isn't waited for.
const MIN_PREFILL_TIME: Duration = Duration::from_millis(10);

#[derive(Clone, Debug)]
pub(super) struct Follower {
    ask: Ask,
    arrived: Moment,
    leader: id::Attempt,
}

impl Follower {
    fn until(&self) -> Moment {
        self.arrived + self.ask.max_prefill_wait()
    }
}

impl Pool {
    /// Returns the attempt that a request should wait for: one that is prefilling parts which the request lacks as
    /// well, and will finish soon.
    fn leader(&self, now: Moment, ask: &Ask, arrived: Moment) -> Option<id::Attempt> {
        let until = arrived + ask.max_prefill_wait();
        if until <= now || ask.shared().is_empty() || !ask.avoid.is_empty() {
            return None;
        }
        let reach = self.reach(now);
        let reached = |member: &&Member| reach.may_use(member) && ask.allows(&member.zone);
        let attempts = ask.shared().iter().filter_map(|part| self.prefilling.get(&part.id)).flatten();
        let upstreams: BTreeSet<_> = attempts.filter_map(|attempt| self.placements.get(*attempt)).collect();
        // Usually no attempt is prefilling any of its parts.
        if upstreams.is_empty() {
            return None;
        }
        self.count_scanned(upstreams.len());
        let ready = self.ready(ask, reached);
        let is_worthwhile =
            |tokens: u32| self.prefill.time(f64::from(tokens.saturating_sub(ready))) >= millis(MIN_PREFILL_TIME);
        let prefilling = upstreams.into_iter().filter_map(|upstream| self.members.get(upstream)).filter(reached);
        let ahead = prefilling.filter(|member| is_worthwhile(member.cache.covers(ask.shared())));
        let mut leaders = ahead.filter_map(|member| {
            let leader = member.cache.reader(ask.shared())?;
            let hold = member.held().get(&leader)?;
            let left = hold.expected_ms - millis(now.since(hold.since));
            (left > 0.0 && left <= millis(until.since(now))).then_some((left, leader))
        });
        let first = leaders.next()?;
        Some(leaders.fold(first, |best, next| if next.0 < best.0 { next } else { best }).1)
    }

    /// Returns the most tokens of a prompt's shared parts that any of some members holds with their prefill finished.
    fn ready(&self, ask: &Ask, reached: impl Fn(&&Member) -> bool) -> u32 {
        let mut max = 0;
        let mut tokens: u32 = ask.shared().iter().map(|part| part.tokens).sum();
        for part in ask.shared().iter().rev() {
            for member in self.holders.of(part.id).iter().filter_map(|id| self.members.get(id)).filter(&reached) {
                self.count_scanned(1);
                max = max.max(member.cache.ready(ask.shared()));
                if max >= tokens {
                    return max;
                }
            }
            tokens -= part.tokens;
        }
        max
    }

    /// Queues a request behind another one's prefill if that is worthwhile; returns whether it did.
    pub(super) fn follow(&mut self, now: Moment, ask: &Ask, arrived: Moment) -> bool {
        let Some(leader) = self.leader(now, ask, arrived) else {
            return false;
        };
        self.following.push(Follower { ask: ask.clone(), arrived, leader });
        true
    }

    /// Places the requests that waited for an attempt whose first event came, or which ended.
    pub(super) fn place_followers(&mut self, now: Moment, leader: id::Attempt) -> Vec<Answer> {
        self.release_followers(now, |follower| follower.leader == leader)
    }

    /// Places the requests that have waited for their maximum time.
    pub(super) fn end_following(&mut self, now: Moment) -> Vec<Answer> {
        self.release_followers(now, |follower| follower.until() <= now)
    }

    fn release_followers(&mut self, now: Moment, ready: impl Fn(&Follower) -> bool) -> Vec<Answer> {
        let mut released: Vec<_> = self.following.extract_if(.., |follower| ready(follower)).collect();
        released.sort_by_key(|follower| follower.ask.priority);
        released.into_iter().flat_map(|follower| self.admit(now, follower.ask, follower.arrived)).collect()
    }

    /// Removes an attempt from the requests that wait for a prefill.
    pub(super) fn stop_following(&mut self, attempt: id::Attempt) {
        self.following.retain(|follower| follower.ask.attempt != attempt);
    }
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}
