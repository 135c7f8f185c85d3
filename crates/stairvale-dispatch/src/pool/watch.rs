//! Observations of requests while a service moves to another version, for the roll-out controller that judges the
//! version.
//!
//! Both versions are judged by the same measure: the expected time of an answer follows from the pool's model of its
//! engines and from the times of the old version's answers on the same route. So an error of the model affects both
//! versions alike.

use std::{collections::VecDeque, time::Duration};

use rapidhash::RapidHashMap;
use stairvale_rollout::{Answer, Observation, Report};
use stairvale_types::{Moment, id};

use super::Pool;
use crate::{Outcome, member::Hold};

/// An answer that takes more than this multiple of its expected time is slow. A queue or another request's long prompt
/// doubles the time now and then; a version that is several times as slow exceeds the multiple.
const SLOW_RATIO: f64 = 3.0;
/// An answer must also exceed the multiple by this to be slow, in ms: a retransmitted packet or a short pause of a
/// router takes as long.
const SLOW_MARGIN_MS: f64 = 60.0;
/// Maximum number of observations that are kept until the next report, several hundred times as many as arrive between
/// two reports. Beyond it the oldest are dropped, which limits the memory where no report is requested.
const MAX_OBSERVATIONS: usize = 8_192;
/// Observations are dropped if no report was requested for this long, since a router that becomes the home judges by
/// what happens from then on.
const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Number of answers on a route from which on their usual time is known.
const MIN_USUAL_ANSWERS: u32 = 10;
/// Weight of one answer in the usual time.
const MEAN_WEIGHT: f64 = 0.1;
/// An answer that took more than this multiple of the mean is counted as this multiple.
const MAX_DEVIATION_RATIO: f64 = 3.0;
/// Quantile of the streams' time per token that is taken as usual: prompts may produce more tokens than most do.
const USUAL_QUANTILE: f64 = 0.9;

/// The usual times of a route's answers at the version that serves.
#[derive(Clone, Copy, Debug, Default)]
struct Usual {
    answers: u32,
    /// The mean time of a plain answer, in ms.
    time_ms: f64,
    /// The time from a stream's first event to its end per permitted output token, in ms, at the quantile
    /// [`USUAL_QUANTILE`].
    token_ms: f64,
}

impl Usual {
    fn answered(&mut self, took: f64) {
        if self.answers == 0 {
            self.time_ms = took;
        }
        self.answers = self.answers.saturating_add(1);
        self.time_ms += (took.min(self.time_ms * MAX_DEVIATION_RATIO) - self.time_ms) * MEAN_WEIGHT;
    }

    fn streamed(&mut self, took: f64, output: u32) {
        let token = took / f64::from(output.max(1));
        if self.answers == 0 {
            self.token_ms = token;
        }
        self.answers = self.answers.saturating_add(1);
        let step = if token > self.token_ms { USUAL_QUANTILE } else { USUAL_QUANTILE - 1.0 };
        self.token_ms *= 1.0 + step * MEAN_WEIGHT;
    }
}

/// The observations since the last report.
#[derive(Debug, Default)]
pub(super) struct Watch {
    requests: u64,
    observations: VecDeque<Observation>,
    /// Whether a report was requested since the last tick.
    requested: bool,
    /// The last tick before which a report was requested, or when the observations were last dropped.
    last_request: Moment,
    usual: RapidHashMap<id::Route, Usual>,
}

impl Watch {
    /// Counts a request.
    pub(super) fn count(&mut self) {
        self.requests += 1;
    }

    /// Drops all observations, because another version was ordered or no report was requested in time.
    pub(super) fn clear(&mut self, now: Moment) {
        self.last_request = now;
        self.requests = 0;
        self.observations.clear();
    }

    /// Handles the passage of time: drops observations that no report was requested for.
    fn tick(&mut self, now: Moment) {
        if std::mem::take(&mut self.requested) {
            self.last_request = now;
        } else if now.since(self.last_request) >= MAX_REPORT_INTERVAL {
            self.clear(now);
        }
    }

    fn observe(&mut self, (upstream, is_new): (&id::Upstream, bool), route: id::Route, answer: Answer) {
        if self.observations.len() >= MAX_OBSERVATIONS {
            self.observations.pop_front();
        }
        self.observations.push_back(Observation { route, upstream: upstream.clone(), is_new, answer });
    }

    fn usual(&self, route: id::Route) -> Option<&Usual> {
        self.usual.get(&route).filter(|usual| usual.answers >= MIN_USUAL_ANSWERS)
    }

    /// Returns when a running request becomes slow if no further event arrives: the start of the interval and its
    /// length in ms.
    fn limit(&self, hold: &Hold, is_engine: bool) -> Option<(Moment, f64)> {
        let usual = self.usual(hold.route);
        let (since, expected_ms) = match (is_engine, hold.first_event) {
            (false, _) => (hold.since, usual?.time_ms),
            (true, None) => (hold.since, hold.typical_ms),
            (true, Some(begun)) => (begun, usual?.token_ms * f64::from(hold.output)),
        };
        (expected_ms > 0.0).then_some((since, slow_after(expected_ms)))
    }
}

/// Returns the time in ms beyond which an answer with this expected time is slow.
fn slow_after(expected_ms: f64) -> f64 {
    expected_ms * SLOW_RATIO + SLOW_MARGIN_MS
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}

impl Pool {
    /// Returns the observations since the last call, while a roll-out is under way.
    pub fn report(&mut self) -> Report {
        self.watch.requested = true;
        let observations = std::mem::take(&mut self.watch.observations);
        Report { requests: std::mem::take(&mut self.watch.requests), observations: observations.into() }
    }

    /// Whether the engine that a request copies from was lost meanwhile: the time of the request then says nothing
    /// about the engine that runs it.
    fn lost_source(&self, now: Moment, hold: &Hold) -> bool {
        let Some(source) = &hold.source else {
            return false;
        };
        let reach = self.reach(now);
        self.members.get(source).is_none_or(|member| !reach.can_copy(member))
    }

    /// Records a request's first event, which came after `took` ms; `hold` is its state before that.
    pub(super) fn watch_begin(&mut self, now: Moment, attempt: id::Attempt, hold: &Hold, took: f64) {
        if !self.versions.is_watched()
            || hold.reported_slow
            || hold.first_event.is_some()
            || hold.typical_ms <= 0.0
            || took <= slow_after(hold.typical_ms)
        {
            return;
        }
        if self.rules.engine.is_some() && !self.lost_source(now, hold) {
            self.report_slow(attempt);
        }
    }

    /// Records that a running request is slow.
    fn report_slow(&mut self, attempt: id::Attempt) {
        let member = self.placements.get(attempt).and_then(|upstream| self.members.get_mut(upstream));
        if let Some(member) = member
            && let Some(route) = member.held().get(&attempt).map(|hold| hold.route)
        {
            member.mark_reported_slow(attempt);
            self.watch.observe((&member.id, member.is_new), route, Answer::Slow);
        }
    }

    /// Records the end of a request at an upstream, which may run the new version; `took` is the time of a plain
    /// answer.
    pub(super) fn watch_end(
        &mut self,
        now: Moment,
        (upstream, is_new): (&id::Upstream, bool),
        hold: &Hold,
        outcome: Outcome,
        took: Option<Duration>,
    ) {
        let watched = self.versions.is_watched();
        let is_engine = self.rules.engine.is_some();
        let limit = self.watch.limit(hold, is_engine);
        let late = |since: Moment, limit_ms: f64| millis(now.since(since)) > limit_ms;
        let is_late = match (limit, is_engine, took) {
            // The time that the entry router measured excludes the delay of its messages to the home.
            (Some((_, limit_ms)), false, Some(took)) => millis(took) > limit_ms,
            (Some((since, limit_ms)), _, _) => late(since, limit_ms),
            (None, _, _) => false,
        };
        let answer = match outcome {
            Outcome::Failed | Outcome::Silent | Outcome::Ended => Some(Answer::Failed),
            // If the first event wasn't reported, the time of the end doesn't show when it came.
            Outcome::Served if is_late && (!is_engine || hold.first_event.is_some()) => Some(Answer::Slow),
            Outcome::Served => Some(Answer::Good),
            // The client cancelled because no event came.
            Outcome::Abandoned if is_late && hold.first_event.is_none() => Some(Answer::Slow),
            Outcome::Abandoned | Outcome::Unreachable | Outcome::Gone | Outcome::Shed => None,
        };
        let answer = answer.filter(|answer| {
            watched && !hold.reported_slow && !(*answer == Answer::Slow && self.lost_source(now, hold))
        });
        if let Some(answer) = answer {
            self.watch.observe((upstream, is_new), hold.route, answer);
        }
        // The times of the new version don't count as usual while it is judged.
        if outcome == Outcome::Served && !(watched && is_new) {
            let usual = self.watch.usual.entry(hold.route).or_default();
            match (took, hold.first_event) {
                (Some(took), _) if !is_engine => usual.answered(millis(took)),
                (_, Some(begun)) if is_engine && hold.output > 0 => {
                    usual.streamed(millis(now.since(begun)), hold.output);
                }
                _ => {}
            }
        }
    }

    /// Records which running requests are already slow. Only an entry router's renewal counts, which shows that the
    /// request was still running when it was late.
    pub(super) fn watch_running(&mut self, now: Moment) {
        if !self.versions.is_watched() {
            return;
        }
        self.watch.tick(now);
        let is_engine = self.rules.engine.is_some();
        let watch = &self.watch;
        let late = |hold: &Hold| {
            let limit = watch.limit(hold, is_engine).filter(|_| !hold.reported_slow);
            limit.is_some_and(|(since, limit_ms)| millis(hold.renewed.since(since)) > limit_ms)
        };
        let is_late = |attempt, upstream| {
            self.members.get(upstream).and_then(|member| member.held().get(&attempt)).is_some_and(late)
        };
        let running = self.placements.iter();
        let mut late: Vec<_> =
            running.filter(|(attempt, upstream)| is_late(*attempt, *upstream)).map(|(attempt, _)| attempt).collect();
        late.sort_unstable();
        for attempt in late {
            let hold =
                self.placements.get(attempt).and_then(|upstream| self.members.get(upstream)?.held().get(&attempt));
            if hold.is_some_and(|hold| !self.lost_source(now, hold)) {
                self.report_slow(attempt);
            }
        }
    }
}
