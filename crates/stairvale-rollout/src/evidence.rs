//! The evidence against a version: cumulative sums of log-likelihood ratios.
//!
//! Each sum is cut off at zero (Page, "Continuous inspection schemes", 1954), so good answers at first don't hide a
//! version that begins to fail later. The steps are those of Wald's sequential probability ratio test (1945).

use std::collections::BTreeMap;

use stairvale_types::id;

use crate::{Answer, record::Cause};

/// By how much the share of bad answers of a failing version is raised: one slight and one severe degradation, each
/// with a sum of its own.
const DEGRADATIONS: [f64; 2] = [0.1, 0.4];
/// The value that a sum must reach for a verdict. A healthy version reaches it once in more than e^9, about 8,000,
/// answers, and far more rarely where it fails less often than the share that it is compared with.
const DECISION_THRESHOLD: f64 = 9.0;
/// The value that the sum must still reach without the worst upstream.
const THRESHOLD_WITHOUT_WORST: f64 = 6.0;
/// The same value when that upstream gave more than [`DOMINANT_SHARE`] of the bad answers: the others' bad answers may
/// then be the usual ones of the route.
const THRESHOLD_WITHOUT_DOMINANT: f64 = 8.0;
/// Maximum value of a sum that comes from the counts of earlier homes: below [`THRESHOLD_WITHOUT_DOMINANT`].
const MAX_RECORDED_SUM: f64 = 7.0;
/// Share of the bad answers above which one upstream dominates them.
const DOMINANT_SHARE: f64 = 0.6;
/// The value of a sum from which other upstreams should be tried as well.
const SUSPICION_THRESHOLD: f64 = 3.0;
/// Minimum number of bad answers for a verdict. A few upstreams that crash at once give about as many before they get
/// no more requests.
const MIN_BAD_ANSWERS: u32 = 14;
/// Minimum number of bad answers of upstreams that answered well afterwards. Fewer are enough, since those upstreams
/// haven't crashed.
const MIN_RECOVERED_BAD_ANSWERS: u32 = 9;
/// Minimum number of bad answers of the upstreams other than the worst one.
const MIN_BAD_ANSWERS_OF_OTHERS: u32 = 4;
/// Minimum number of bad answers for a verdict by a single upstream, where no other was tried.
const MIN_BAD_ANSWERS_SINGLE_UPSTREAM: u32 = 25;
/// The answers of upstreams with bad ones must be at least this fraction of what an evenly failing version would show.
/// It excludes a zone that is cut off, which has a third of the upstreams.
const MIN_SPREAD: f64 = 0.65;

/// The cumulative sums of one sequence of answers, one for each degradation.
#[derive(Clone, Copy, Debug, Default)]
struct CumulativeSums([f64; 2]);

impl CumulativeSums {
    fn add(&mut self, steps: [f64; 2]) {
        for (sum, step) in self.0.iter_mut().zip(steps) {
            *sum = (*sum + step).max(0.0);
        }
    }

    fn highest(self) -> f64 {
        self.0[0].max(self.0[1])
    }
}

/// The answers of one upstream since the sums were last at zero.
#[derive(Clone, Copy, Debug, Default)]
struct UpstreamTally {
    answers: u32,
    failed: u32,
    slow: u32,
    /// Bad answers that were followed by a good one.
    recovered: u32,
}

impl UpstreamTally {
    fn bad(self) -> u32 {
        self.failed + self.slow
    }
}

/// The evidence against a version on one route, or on all.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    all: CumulativeSums,
    /// For each upstream, the sums as they would be without its answers.
    without_one: BTreeMap<id::Upstream, CumulativeSums>,
    tallies: BTreeMap<id::Upstream, UpstreamTally>,
    /// Bad answers that earlier homes counted.
    recorded_bad: u32,
}

impl Evidence {
    /// Begins with the counts of earlier homes. A verdict then still needs more evidence than that, from at least two
    /// upstreams, since the counts don't show how many upstreams they come from.
    pub fn add_recorded(&mut self, share: f64, answers: u32, bad: u32) {
        let good = f64::from(answers.saturating_sub(bad));
        let steps = Self::log_likelihood_ratios(share, true).map(|step| step * f64::from(bad));
        let back = Self::log_likelihood_ratios(share, false).map(|step| step * good);
        for (sum, (up, down)) in self.all.0.iter_mut().zip(steps.into_iter().zip(back)) {
            *sum = (*sum + up + down).clamp(0.0, MAX_RECORDED_SUM);
        }
        self.recorded_bad += bad;
    }

    /// Takes an answer of an upstream of the version; `share` is the share of bad answers that a healthy version would
    /// have.
    pub fn add(&mut self, upstream: &id::Upstream, answer: Answer, share: f64) {
        let steps = Self::log_likelihood_ratios(share, answer != Answer::Good);
        self.without_one.entry(upstream.clone()).or_insert(self.all);
        self.all.add(steps);
        for (other, sums) in &mut self.without_one {
            if other != upstream {
                sums.add(steps);
            }
        }
        if self.all.highest() <= 0.0 {
            self.tallies.clear();
            self.recorded_bad = 0;
            return;
        }
        let tally = self.tallies.entry(upstream.clone()).or_default();
        tally.answers += 1;
        match answer {
            Answer::Good => tally.recovered = tally.bad(),
            Answer::Failed => tally.failed += 1,
            Answer::Slow => tally.slow += 1,
        }
    }

    /// Whether there is evidence against the version, even if it all comes from a single upstream.
    #[must_use]
    pub fn is_suspected(&self) -> bool {
        self.all.highest() >= SUSPICION_THRESHOLD
    }

    /// Whether there is evidence against the version even without its worst upstream.
    #[must_use]
    pub fn is_suspected_without_worst(&self) -> bool {
        self.without_one.len() > 1 && self.lowest_without_one() >= SUSPICION_THRESHOLD
    }

    /// The cause for which the version is rejected, if it is. `caution` raises the required evidence where there is no
    /// old version to compare with; `waiting` is the number of bad answers that have not been weighed yet.
    #[must_use]
    pub fn verdict(&self, caution: f64, waiting: u32) -> Option<Cause> {
        let bad: u32 = self.tallies.values().map(|tally| tally.bad()).sum();
        let worst = self.tallies.values().map(|tally| tally.bad()).max().unwrap_or(0);
        let recovered: u32 = self.tallies.values().map(|tally| tally.recovered).sum();
        let is_conclusive = if self.without_one.len() > 1 {
            let threshold = if f64::from(worst) > DOMINANT_SHARE * f64::from(bad) {
                THRESHOLD_WITHOUT_DOMINANT
            } else {
                THRESHOLD_WITHOUT_WORST
            };
            self.lowest_without_one() >= threshold * caution
                && (bad + waiting + self.recorded_bad >= MIN_BAD_ANSWERS || recovered >= MIN_RECOVERED_BAD_ANSWERS)
                && bad - worst >= MIN_BAD_ANSWERS_OF_OTHERS
                && self.is_spread(bad)
        } else {
            bad >= MIN_BAD_ANSWERS_SINGLE_UPSTREAM
        };
        if !is_conclusive || self.all.highest() < DECISION_THRESHOLD * caution {
            return None;
        }
        let failed: u32 = self.tallies.values().map(|tally| tally.failed).sum();
        Some(if 2 * failed >= bad { Cause::Failing } else { Cause::Slow })
    }

    /// Number of bad answers since the sums were last at zero.
    #[must_use]
    pub fn bad(&self) -> u32 {
        self.tallies.values().map(|tally| tally.bad()).sum()
    }

    /// The evidence against the version without its worst upstream.
    fn lowest_without_one(&self) -> f64 {
        self.without_one.values().map(|sums| sums.highest()).fold(f64::INFINITY, f64::min)
    }

    /// Whether the bad answers came from about as many upstreams as an evenly failing version's would.
    fn is_spread(&self, bad: u32) -> bool {
        let answers: u32 = self.tallies.values().map(|tally| tally.answers).sum();
        let share = f64::from(bad) / f64::from(answers.max(1));
        let (mut shown, mut expected) = (0.0, 0.0);
        for tally in self.tallies.values() {
            let weight = f64::from(tally.answers);
            expected += weight * (1.0 - (1.0 - share).powf(weight));
            shown += if tally.bad() > 0 { weight } else { 0.0 };
        }
        shown >= MIN_SPREAD * expected
    }

    fn log_likelihood_ratios(share: f64, is_bad: bool) -> [f64; 2] {
        DEGRADATIONS.map(|degradation| {
            let degraded = share + degradation * (1.0 - share);
            if is_bad { (degraded / share).ln() } else { ((1.0 - degraded) / (1.0 - share)).ln() }
        })
    }
}
