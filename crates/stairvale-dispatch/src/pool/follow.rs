//! Requests that wait for another one to read what they share with it.
//!
//! An engine that is given the same long beginning twice at the same time reads it twice, and each reading slows the other.
//! So the second request waits for the first one's first event, and finds the beginning kept, there or to be copied.

use std::time::Duration;

use stairvale_types::{Moment, id};

use super::Pool;
use crate::{Answer, Ask};

/// What takes less time to read isn't waited for.
const LEAST: Duration = Duration::from_millis(10);

#[derive(Clone, Debug)]
pub(super) struct Follower {
    ask: Ask,
    asked: Moment,
    leader: id::Attempt,
}

impl Follower {
    fn until(&self) -> Moment {
        self.asked + self.ask.follows()
    }
}

impl Pool {
    /// Whom a request would better follow: who reads a part that it would have to read, too, and will have done so soon.
    fn leader(&self, now: Moment, ask: &Ask, asked: Moment) -> Option<id::Attempt> {
        let until = asked + ask.follows();
        if until <= now || ask.shared().is_empty() || !ask.avoid.is_empty() {
            return None;
        }
        // Most often nobody reads any of it.
        if !ask.shared().iter().any(|part| self.readers.contains_key(&part.id)) {
            return None;
        }
        self.count_looks(2 * self.members.len());
        let within = self.reach(now);
        let reached = || self.members.values().filter(|member| within.has(member) && ask.allows(&member.zone));
        let ready = reached().map(|member| member.cache.ready(ask.shared())).max()?;
        let gain = |tokens: u32| self.reading.time(f64::from(tokens.saturating_sub(ready))) >= millis(LEAST);
        let ahead = reached().filter(|member| gain(member.cache.covers(ask.shared())));
        let mut leaders = ahead.filter_map(|member| {
            let leader = member.cache.reader(ask.shared())?;
            let hold = member.held().get(&leader)?;
            let left = hold.expected - millis(now.since(hold.since));
            (left > 0.0 && left <= millis(until.since(now))).then_some((left, leader))
        });
        let first = leaders.next()?;
        Some(leaders.fold(first, |best, next| if next.0 < best.0 { next } else { best }).1)
    }

    /// Lets a request follow another one, if there is one that is worth it.
    pub(super) fn follow(&mut self, now: Moment, ask: &Ask, asked: Moment) -> bool {
        let Some(leader) = self.leader(now, ask, asked) else {
            return false;
        };
        self.following.push(Follower { ask: ask.clone(), asked, leader });
        true
    }

    /// A request's first event came, or it ended: those that followed it are placed.
    pub(super) fn lead(&mut self, now: Moment, leader: id::Attempt) -> Vec<Answer> {
        self.release_followers(now, |follower| follower.leader == leader)
    }

    /// Those that followed for long enough are placed as they are.
    pub(super) fn end_following(&mut self, now: Moment) -> Vec<Answer> {
        self.release_followers(now, |follower| follower.until() <= now)
    }

    fn release_followers(&mut self, now: Moment, ready: impl Fn(&Follower) -> bool) -> Vec<Answer> {
        let mut released: Vec<_> = self.following.extract_if(.., |follower| ready(follower)).collect();
        released.sort_by_key(|follower| follower.ask.priority);
        released.into_iter().flat_map(|follower| self.enter(now, follower.ask, follower.asked)).collect()
    }

    /// A request no longer waits.
    pub(super) fn stop_following(&mut self, attempt: id::Attempt) {
        self.following.retain(|follower| follower.ask.attempt != attempt);
    }
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}
