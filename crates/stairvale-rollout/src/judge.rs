//! Whether a version is bad, by what became of its requests beside the old version's.

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

/// The new version's answers are weighed so much later, when the old version has shown the trouble of the same moment, too.
const WAIT: Duration = Duration::from_millis(500);
/// Among so many first answers of an upstream slow ones say nothing: it may have been cold...
const COLD: u32 = 2;
/// ... until later ones were slow at so many upstreams.
const WARM: usize = 2;
/// How much more must speak against a version where the old one gets too little to be compared with.
const CAUTION: f64 = 8.0;
/// Beyond this share nothing can be told from the comparison.
const HIGHEST: f64 = 0.7;
/// Answers of each route and upstream that are kept until they are weighed.
const MOST_WAITING: usize = 20_000;

/// What became of a request, as far as it says something of a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// It was served in about the time that was expected.
    Good,
    /// It was answered with a failure of the upstream's own, broken off, or not answered at all.
    Failed,
    /// It was served, or is still not, several times later than was expected.
    Slow,
}

/// What became of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// Its route.
    pub route: id::Route,
    /// Where it ran.
    pub upstream: id::Upstream,
    /// Whether that is of the version on trial.
    pub is_new: bool,
    /// What became of it.
    pub answer: Answer,
}

/// One route at both versions.
#[derive(Clone, Debug, Default)]
struct Pair {
    old: Baseline,
    new: Evidence,
}

/// Compares two versions, route by route and over all routes together.
///
/// The old version's answers on a route in these seconds say which share of bad answers a good version might have; each
/// answer of the new one then speaks for or against it. One sick upstream condemns no version where others were tried.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    routes: BTreeMap<id::Route, Pair>,
    /// Over all routes: trouble that has just begun shows sooner there, and so does what is bad a little on each.
    whole: Pair,
    /// Answers of the new version that aren't weighed yet, in the order in which they came.
    waiting: VecDeque<(Moment, Observation)>,
    /// Answers of each upstream of the new version.
    answers: BTreeMap<id::Upstream, u32>,
    /// Slow ones among their first: where, on which route, with the share of bad answers to compare with.
    cold: Vec<(id::Upstream, id::Route, f64)>,
    /// Upstreams that were slow later, too.
    warm: BTreeSet<id::Upstream>,
}

impl Judge {
    /// A judge that goes on with what earlier homes counted.
    #[must_use]
    pub fn resumed(now: Moment, routes: &BTreeMap<id::Route, Tally>) -> Self {
        let mut judge = Self::default();
        for (route, tally) in routes {
            let pair = judge.routes.entry(*route).or_default();
            pair.old.recall(&tally.old);
            let bad = tally.new.failed + tally.new.slow;
            let [answers, bad] = [tally.new.answers, bad].map(|count| u32::try_from(count).unwrap_or(u32::MAX));
            pair.new.recall(pair.old.share(now), answers, bad);
            judge.whole.new.recall(pair.old.share(now), answers, bad);
        }
        judge
    }

    /// A request ended.
    pub fn observe(&mut self, now: Moment, observation: &Observation) {
        if !observation.is_new {
            let pair = self.routes.entry(observation.route).or_default();
            pair.old.count(now, observation.answer != Answer::Good);
            self.whole.old.count(now, observation.answer != Answer::Good);
            return;
        }
        self.waiting.push_back((now, observation.clone()));
        if self.waiting.len() > MOST_WAITING {
            self.weigh_first(now);
        }
    }

    /// Weighs what has waited for long enough.
    pub fn settle(&mut self, now: Moment) {
        while self.waiting.front().is_some_and(|(at, _)| now.since(*at) >= WAIT) {
            self.weigh_first(now);
        }
    }

    /// The route on which the new version is bad, and in which way, if it is.
    #[must_use]
    pub fn verdict(&self, now: Moment) -> Option<(id::Route, Cause)> {
        let of_route = self.routes.iter().find_map(|(route, pair)| {
            let cause = pair.new.verdict(self.caution(&pair.old, now), self.waiting(Some(*route)))?;
            Some((*route, cause))
        });
        of_route.or_else(|| {
            let (route, _) = self.routes.iter().max_by_key(|(_, pair)| pair.new.bad())?;
            let cause = self.whole.new.verdict(self.caution(&self.whole.old, now), self.waiting(None))?;
            Some((*route, cause))
        })
    }

    /// Whether something speaks against the version, be it a single upstream: others should be tried.
    #[must_use]
    pub fn suspects(&self) -> bool {
        self.whole.new.suspects() || self.routes.values().any(|pair| pair.new.suspects())
    }

    /// Whether something speaks against the version that isn't a single upstream's: more should be seen of it.
    #[must_use]
    pub fn doubts(&self) -> bool {
        self.whole.new.doubts() || self.routes.values().any(|pair| pair.new.doubts())
    }

    /// Bad answers that aren't weighed yet, of one route or of all.
    fn waiting(&self, route: Option<id::Route>) -> u32 {
        let bad = self.waiting.iter().filter(|(_, observation)| observation.answer != Answer::Good);
        let bad = bad.filter(|(_, observation)| route.is_none_or(|route| observation.route == route)).count();
        u32::try_from(bad).unwrap_or(u32::MAX)
    }

    /// What a verdict takes more than usual, on a route or on all: trouble of both versions shows at the old one only as long as
    /// that one gets about what it got.
    fn caution(&self, old: &Baseline, now: Moment) -> f64 {
        if old.is_known(now) && self.whole.old.is_recent(now) { 1.0 } else { CAUTION }
    }

    fn weigh_first(&mut self, now: Moment) {
        let Some((_, observation)) = self.waiting.pop_front() else { return };
        let Observation { route, upstream, is_new: _, answer } = observation;
        let share = self.share(now, route);
        let answers = self.answers.entry(upstream.clone()).or_default();
        *answers = answers.saturating_add(1);
        if answer == Answer::Slow && self.warm.len() < WARM {
            if *answers <= COLD {
                self.cold.push((upstream, route, share));
                return;
            }
            self.warm.insert(upstream.clone());
            if self.warm.len() >= WARM {
                for (upstream, route, share) in std::mem::take(&mut self.cold) {
                    self.add(route, &upstream, answer, share);
                }
            }
        }
        self.add(route, &upstream, answer, share);
    }

    /// The share of bad answers that a good version might have on a route now.
    fn share(&self, now: Moment, route: id::Route) -> f64 {
        let old = self.routes.get(&route).map(|pair| pair.old).unwrap_or_default();
        (old.share(now) + self.whole.old.excess(now)).min(HIGHEST)
    }

    fn add(&mut self, route: id::Route, upstream: &id::Upstream, answer: Answer, share: f64) {
        self.routes.entry(route).or_default().new.add(upstream, answer, share);
        self.whole.new.add(upstream, answer, share);
    }
}
