//! The judge of a canary analysis: whether a version is failing, by comparing the results of its requests with the old
//! version's. A bad answer is one that failed or was slow; a failing version gives significantly more of them.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use stairvale_types::{Moment, id};

use crate::{
    baseline::Baseline,
    evidence::Evidence,
    record::{Cause, Tally},
};

/// Delay after which the new version's answers are weighed. By then a fault that affects both versions has also shown
/// at the old one.
const WEIGHING_DELAY: Duration = Duration::from_millis(500);
/// Number of first answers of an upstream among which slow ones are ignored, since the upstream may be warming up.
const WARM_UP_ANSWERS: u32 = 2;
/// Once this many upstreams were slow after their warm-up, slow first answers count as well.
const MIN_SLOW_UPSTREAMS: usize = 2;
/// Factor by which the required evidence is raised where the old version gets too few requests to be compared with.
const NO_BASELINE_CAUTION: f64 = 8.0;
/// Maximum share of bad answers to compare with. Beyond it the comparison shows nothing.
const MAX_BASELINE_SHARE: f64 = 0.7;
/// Maximum number of answers that wait to be weighed.
const MAX_WAITING: usize = 20_000;

/// The result of a request, as far as it says something about a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The request was served in about the expected time.
    Good,
    /// The upstream itself answered with a failure, broke off its answer or did not answer.
    Failed,
    /// The request was served several times later than expected, or still is not.
    Slow,
}

/// The result of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// The request's route.
    pub route: id::Route,
    /// The upstream at which the request ran.
    pub upstream: id::Upstream,
    /// Whether that upstream is of the version on trial.
    pub is_new: bool,
    /// The result of the request.
    pub answer: Answer,
}

/// The results on one route at both versions.
#[derive(Clone, Debug, Default)]
struct Comparison {
    old: Baseline,
    new: Evidence,
}

/// Compares two versions, on each route and on all routes together.
///
/// The old version's recent answers on a route show which share of bad answers a healthy version might have. Each
/// answer of the new version is then evidence for or against it. One faulty upstream doesn't lead to the rejection of a
/// version when others were tried.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    routes: BTreeMap<id::Route, Comparison>,
    /// The comparison over all routes. A fault that has just begun shows sooner there, and so does a version that is
    /// slightly worse on every route.
    all_routes: Comparison,
    /// Answers of the new version that have not been weighed yet, in the order of their arrival.
    waiting: VecDeque<(Moment, Observation)>,
    /// Number of answers of each upstream of the new version.
    answers: BTreeMap<id::Upstream, u32>,
    /// Slow first answers that were ignored: the upstream, the route and the share of bad answers to compare with.
    slow_starts: Vec<(id::Upstream, id::Route, f64)>,
    /// Upstreams that were still slow after their warm-up.
    slow_after_warm_up: BTreeSet<id::Upstream>,
}

impl Judge {
    /// Creates a judge that continues from the counts of earlier homes.
    #[must_use]
    pub fn resume(now: Moment, routes: &BTreeMap<id::Route, Tally>) -> Self {
        let mut judge = Self::default();
        for (route, tally) in routes {
            let comparison = judge.routes.entry(*route).or_default();
            comparison.old.add_recorded(&tally.old);
            let bad = tally.new.failed + tally.new.slow;
            let [answers, bad] = [tally.new.answers, bad].map(|count| u32::try_from(count).unwrap_or(u32::MAX));
            comparison.new.add_recorded(comparison.old.share(now), answers, bad);
            judge.all_routes.new.add_recorded(comparison.old.share(now), answers, bad);
        }
        judge
    }

    /// Takes the result of a request.
    pub fn observe(&mut self, now: Moment, observation: &Observation) {
        if !observation.is_new {
            let comparison = self.routes.entry(observation.route).or_default();
            comparison.old.count(now, observation.answer != Answer::Good);
            self.all_routes.old.count(now, observation.answer != Answer::Good);
            return;
        }
        self.waiting.push_back((now, observation.clone()));
        if self.waiting.len() > MAX_WAITING {
            self.weigh_first(now);
        }
    }

    /// Weighs the answers whose delay is over.
    pub fn weigh_due(&mut self, now: Moment) {
        while self.waiting.front().is_some_and(|(at, _)| now.since(*at) >= WEIGHING_DELAY) {
            self.weigh_first(now);
        }
    }

    /// The route on which the new version is failing, and the cause, if it is.
    #[must_use]
    pub fn verdict(&self, now: Moment) -> Option<(id::Route, Cause)> {
        let on_one_route = self.routes.iter().find_map(|(route, comparison)| {
            let cause = comparison.new.verdict(self.caution(&comparison.old, now), self.waiting_bad(Some(*route)))?;
            Some((*route, cause))
        });
        on_one_route.or_else(|| {
            let (route, _) = self.routes.iter().max_by_key(|(_, comparison)| comparison.new.bad())?;
            let cause = self.all_routes.new.verdict(self.caution(&self.all_routes.old, now), self.waiting_bad(None))?;
            Some((*route, cause))
        })
    }

    /// Whether there is evidence against the version, even of a single upstream. Other upstreams should be tried then.
    #[must_use]
    pub fn is_suspected(&self) -> bool {
        self.all_routes.new.is_suspected() || self.routes.values().any(|comparison| comparison.new.is_suspected())
    }

    /// Whether there is evidence against the version even without its worst upstream. More answers should be observed
    /// then.
    #[must_use]
    pub fn is_suspected_without_worst(&self) -> bool {
        self.all_routes.new.is_suspected_without_worst()
            || self.routes.values().any(|comparison| comparison.new.is_suspected_without_worst())
    }

    /// Number of bad answers that have not been weighed yet, on one route or on all.
    fn waiting_bad(&self, route: Option<id::Route>) -> u32 {
        let bad = self.waiting.iter().filter(|(_, observation)| observation.answer != Answer::Good);
        let bad = bad.filter(|(_, observation)| route.is_none_or(|route| observation.route == route)).count();
        u32::try_from(bad).unwrap_or(u32::MAX)
    }

    /// The factor by which a verdict on a route, or on all, needs more evidence than usual. A fault of both versions
    /// shows at the old version only as long as that gets about as many requests as before.
    fn caution(&self, old: &Baseline, now: Moment) -> f64 {
        if old.has_enough_answers(now) && self.all_routes.old.has_steady_traffic(now) {
            1.0
        } else {
            NO_BASELINE_CAUTION
        }
    }

    fn weigh_first(&mut self, now: Moment) {
        let Some((_, observation)) = self.waiting.pop_front() else { return };
        let Observation { route, upstream, is_new: _, answer } = observation;
        let share = self.baseline_share(now, route);
        let answers = self.answers.entry(upstream.clone()).or_default();
        *answers = answers.saturating_add(1);
        if answer == Answer::Slow && self.slow_after_warm_up.len() < MIN_SLOW_UPSTREAMS {
            if *answers <= WARM_UP_ANSWERS {
                self.slow_starts.push((upstream, route, share));
                return;
            }
            self.slow_after_warm_up.insert(upstream.clone());
            if self.slow_after_warm_up.len() >= MIN_SLOW_UPSTREAMS {
                for (upstream, route, share) in std::mem::take(&mut self.slow_starts) {
                    self.add(route, &upstream, answer, share);
                }
            }
        }
        self.add(route, &upstream, answer, share);
    }

    /// The share of bad answers that a healthy version might currently have on a route.
    fn baseline_share(&self, now: Moment, route: id::Route) -> f64 {
        let old = self.routes.get(&route).map(|comparison| comparison.old).unwrap_or_default();
        (old.share(now) + self.all_routes.old.recent_excess(now)).min(MAX_BASELINE_SHARE)
    }

    fn add(&mut self, route: id::Route, upstream: &id::Upstream, answer: Answer, share: f64) {
        self.routes.entry(route).or_default().new.add(upstream, answer, share);
        self.all_routes.new.add(upstream, answer, share);
    }
}
