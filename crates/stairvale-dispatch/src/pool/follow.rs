//! Requests that wait for another one to read what they share with it.
//!
//! An engine that is given the same long beginning twice at the same time reads it twice, and each reading slows the other.
//! So the second request waits for the first one's first event, and finds the beginning kept, there or to be copied.

use std::{collections::BTreeSet, time::Duration};

use stairvale_types::{Moment, id};

use super::Pool;
use crate::{Answer, Ask, Member};

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
        let within = self.reach(now);
        let reached = |member: &&Member| within.has(member) && ask.allows(&member.zone);
        let readers = ask.shared().iter().filter_map(|part| self.readers.get(&part.id)).flatten();
        let readers: BTreeSet<_> = readers.filter_map(|attempt| self.places.get(*attempt)).collect();
        // Most often nobody reads any of it.
        if readers.is_empty() {
            return None;
        }
        self.count_looks(readers.len());
        let ready = self.ready(ask, reached);
        let gain = |tokens: u32| self.reading.time(f64::from(tokens.saturating_sub(ready))) >= millis(LEAST);
        let reading = readers.into_iter().filter_map(|place| self.members.get(place)).filter(reached);
        let ahead = reading.filter(|member| gain(member.cache.covers(ask.shared())));
        let mut leaders = ahead.filter_map(|member| {
            let leader = member.cache.reader(ask.shared())?;
            let hold = member.held().get(&leader)?;
            let left = hold.expected - millis(now.since(hold.since));
            (left > 0.0 && left <= millis(until.since(now))).then_some((left, leader))
        });
        let first = leaders.next()?;
        Some(leaders.fold(first, |best, next| if next.0 < best.0 { next } else { best }).1)
    }

    /// The most tokens of a prompt's shared parts that any of some members holds and nobody is still reading.
    fn ready(&self, ask: &Ask, reached: impl Fn(&&Member) -> bool) -> u32 {
        let mut most = 0;
        let mut tokens: u32 = ask.shared().iter().map(|part| part.tokens).sum();
        for part in ask.shared().iter().rev() {
            for member in self.holders.of(part.id).iter().filter_map(|id| self.members.get(id)).filter(&reached) {
                self.count_looks(1);
                most = most.max(member.cache.ready(ask.shared()));
                if most >= tokens {
                    return most;
                }
            }
            tokens -= part.tokens;
        }
        most
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
