//! What became of requests while a service moves to another version, for who judges it.
//!
//! Both versions are judged by the same measure: what an answer should have taken follows from the pool's model of its engines
//! and from what the old version's answers on the same route take. So a model that is wrong shows at both.

use std::{collections::VecDeque, time::Duration};

use rapidhash::RapidHashMap;
use stairvale_rollout::{Answer, Observation, Report};
use stairvale_types::{Moment, id};

use super::Pool;
use crate::{Outcome, member::Hold};

/// An answer that takes more than so many times what it should is slow. A queue or a neighbour's long prompt doubles the
/// time now and then; what is several times as slow by itself takes more.
const SLOW: f64 = 3.0;
/// ... and more than this beside that, in ms: a lost packet that is sent again, or a router that stands still for a moment,
/// takes as long.
const MARGIN: f64 = 60.0;
/// Observations that are kept until they are asked for, several hundred times what comes between two times; the oldest give
/// way, as where nobody asks.
const KEPT: usize = 8_192;
/// What nobody asked for in this time is dropped: who becomes the home judges by what happens then.
const STALE: Duration = Duration::from_secs(2);
/// Answers on a route after which it is known what they usually take.
const ENOUGH: u32 = 10;
/// How much one answer counts in what is usual.
const WEIGHT: f64 = 0.1;
/// An answer that took more than so many times the mean counts as if it had taken that.
const UNUSUAL: f64 = 3.0;
/// The share of streams whose time for each token stays below what is taken for usual: prompts may make more tokens than
/// most do.
const MOST: f64 = 0.9;

/// What a route's answers take at the version that serves.
#[derive(Clone, Copy, Debug, Default)]
struct Usual {
    answers: u32,
    /// The mean time of a plain answer, in ms.
    time: f64,
    /// The time from a stream's first event to its end for each token that it may make, in ms, which most of them don't
    /// exceed.
    token: f64,
}

impl Usual {
    fn answered(&mut self, took: f64) {
        if self.answers == 0 {
            self.time = took;
        }
        self.answers = self.answers.saturating_add(1);
        self.time += (took.min(self.time * UNUSUAL) - self.time) * WEIGHT;
    }

    fn streamed(&mut self, took: f64, output: u32) {
        let token = took / f64::from(output.max(1));
        if self.answers == 0 {
            self.token = token;
        }
        self.answers = self.answers.saturating_add(1);
        let step = if token > self.token { MOST } else { MOST - 1.0 };
        self.token *= 1.0 + step * WEIGHT;
    }
}

/// What was seen since it was asked for last.
#[derive(Debug, Default)]
pub(super) struct Watch {
    requests: u64,
    seen: VecDeque<Observation>,
    /// Whether it was asked for since time passed last, and when that was so last.
    asked: bool,
    at: Moment,
    usual: RapidHashMap<id::Route, Usual>,
}

impl Watch {
    /// A request was asked for.
    pub(super) fn count(&mut self) {
        self.requests += 1;
    }

    /// Begins anew: another version is ordered, or nobody asked for what was seen.
    pub(super) fn clear(&mut self, now: Moment) {
        self.at = now;
        self.requests = 0;
        self.seen.clear();
    }

    /// Time passes.
    fn pass(&mut self, now: Moment) {
        if std::mem::take(&mut self.asked) {
            self.at = now;
        } else if now.since(self.at) >= STALE {
            self.clear(now);
        }
    }

    fn see(&mut self, (upstream, is_new): (&id::Upstream, bool), route: id::Route, answer: Answer) {
        if self.seen.len() >= KEPT {
            self.seen.pop_front();
        }
        self.seen.push_back(Observation { route, upstream: upstream.clone(), is_new, answer });
    }

    fn usual(&self, route: id::Route) -> Option<&Usual> {
        self.usual.get(&route).filter(|usual| usual.answers >= ENOUGH)
    }

    /// When a request that runs is slow, if nothing more comes until then: since when that counts, and for how long, in ms.
    fn limit(&self, hold: &Hold, is_engine: bool) -> Option<(Moment, f64)> {
        let usual = self.usual(hold.route);
        let (since, should) = match (is_engine, hold.begun) {
            (false, _) => (hold.since, usual?.time),
            (true, None) => (hold.since, hold.due),
            (true, Some(begun)) => (begun, usual?.token * f64::from(hold.output)),
        };
        (should > 0.0).then_some((since, slow(should)))
    }
}

/// The time in ms beyond which an answer is slow that should take so long.
fn slow(should: f64) -> f64 {
    should * SLOW + MARGIN
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}

impl Pool {
    /// What was seen since this was asked last, while a roll-out is under way.
    pub fn report(&mut self) -> Report {
        self.watch.asked = true;
        let seen = std::mem::take(&mut self.watch.seen);
        Report { requests: std::mem::take(&mut self.watch.requests), observations: seen.into() }
    }

    /// Whether what a request copies from was lost meanwhile: how long it takes then says nothing of where it runs.
    fn lost_source(&self, now: Moment, hold: &Hold) -> bool {
        let Some(source) = &hold.source else {
            return false;
        };
        let within = self.reach(now);
        self.members.get(source).is_none_or(|member| !within.can_copy(member))
    }

    /// A request's first event came after `took` ms; `hold` is what it was until then.
    pub(super) fn watch_begin(&mut self, now: Moment, attempt: id::Attempt, hold: &Hold, took: f64) {
        if !self.versions.is_watched() || hold.told || hold.begun.is_some() || hold.due <= 0.0 || took <= slow(hold.due)
        {
            return;
        }
        if self.rules.engine.is_some() && !self.lost_source(now, hold) {
            self.tell(attempt);
        }
    }

    /// Tells that a request which runs is slow.
    fn tell(&mut self, attempt: id::Attempt) {
        let member = self.places.get(attempt).and_then(|place| self.members.get_mut(place));
        if let Some(member) = member
            && let Some(route) = member.held().get(&attempt).map(|hold| hold.route)
        {
            member.tell(attempt);
            self.watch.see((&member.id, member.is_new), route, Answer::Slow);
        }
    }

    /// A request ended at an upstream, which may be a new one; `took` is the time of a plain answer.
    pub(super) fn watch_end(
        &mut self,
        now: Moment,
        (place, is_new): (&id::Upstream, bool),
        hold: &Hold,
        outcome: Outcome,
        took: Option<Duration>,
    ) {
        let watched = self.versions.is_watched();
        let is_engine = self.rules.engine.is_some();
        let limit = self.watch.limit(hold, is_engine);
        let late = |since: Moment, most: f64| millis(now.since(since)) > most;
        let is_late = match (limit, is_engine, took) {
            // What the entry measured holds no way of a message.
            (Some((_, most)), false, Some(took)) => millis(took) > most,
            (Some((since, most)), _, _) => late(since, most),
            (None, _, _) => false,
        };
        let answer = match outcome {
            Outcome::Failed | Outcome::Silent | Outcome::Ended => Some(Answer::Failed),
            // Where no word of the first event came, the end says nothing of when that was.
            Outcome::Served if is_late && (!is_engine || hold.begun.is_some()) => Some(Answer::Slow),
            Outcome::Served => Some(Answer::Good),
            // Its caller left because nothing came.
            Outcome::Abandoned if is_late && hold.begun.is_none() => Some(Answer::Slow),
            Outcome::Abandoned | Outcome::Unreachable | Outcome::Gone | Outcome::Shed => None,
        };
        let answer =
            answer.filter(|answer| watched && !hold.told && !(*answer == Answer::Slow && self.lost_source(now, hold)));
        if let Some(answer) = answer {
            self.watch.see((place, is_new), hold.route, answer);
        }
        // What the new version takes isn't usual while it is judged.
        if outcome == Outcome::Served && !(watched && is_new) {
            let usual = self.watch.usual.entry(hold.route).or_default();
            match (took, hold.begun) {
                (Some(took), _) if !is_engine => usual.answered(millis(took)),
                (_, Some(begun)) if is_engine && hold.output > 0 => {
                    usual.streamed(millis(now.since(begun)), hold.output);
                }
                _ => {}
            }
        }
    }

    /// Tells which of those that run are slow already. Only what an entry says counts: that it still runs this one, late as
    /// it is.
    pub(super) fn watch_running(&mut self, now: Moment) {
        if !self.versions.is_watched() {
            return;
        }
        self.watch.pass(now);
        let is_engine = self.rules.engine.is_some();
        let watch = &self.watch;
        let late = |hold: &Hold| {
            let limit = watch.limit(hold, is_engine).filter(|_| !hold.told);
            limit.is_some_and(|(since, most)| millis(hold.named.since(since)) > most)
        };
        let is_late =
            |attempt, place| self.members.get(place).and_then(|member| member.held().get(&attempt)).is_some_and(late);
        let running = self.places.iter();
        let mut late: Vec<_> =
            running.filter(|(attempt, place)| is_late(*attempt, *place)).map(|(attempt, _)| attempt).collect();
        late.sort_unstable();
        for attempt in late {
            let hold = self.places.get(attempt).and_then(|place| self.members.get(place)?.held().get(&attempt));
            if hold.is_some_and(|hold| !self.lost_source(now, hold)) {
                self.tell(attempt);
            }
        }
    }
}
