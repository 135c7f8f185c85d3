//! How much speaks against a version: cumulative sums of the logarithm of a ratio of likelihoods.
//!
//! Each sum is cut at zero (Page, "Continuous inspection schemes", 1954), so a version that turns bad late isn't hidden by
//! what it did well before; the steps are those of Wald's sequential test (1945).

use std::collections::BTreeMap;

use stairvale_types::id;

use crate::{Answer, record::Cause};

/// How much worse a bad version is, in shares of answers: a mild one and a gross one, each with a sum of its own.
const WORSE: [f64; 2] = [0.1, 0.4];
/// What a sum must reach. A good version reaches it once in more than e^9, some 8,000, answers, and once in far more where it
/// fails less often than the share that it is compared with.
const THRESHOLD: f64 = 9.0;
/// What it must still be without the worst upstream...
const WITHOUT: f64 = 6.0;
/// ... and where that one gave more than [`MOST`] of the bad answers: then the others' may be those that a route has by itself.
const WITHOUT_WORST: f64 = 8.0;
/// What counts of earlier homes come to at most: below what must speak against a version without its worst upstream.
const RECALLED: f64 = 7.0;
/// A part of the bad answers.
const MOST: f64 = 0.6;
/// From here on other upstreams should be tried, too.
const SUSPICION: f64 = 3.0;
/// Bad answers below which nothing is decided: some upstreams that crash at once give about as many before they are left.
const FEWEST: u32 = 14;
/// Fewer are enough of upstreams that answered well afterwards: those haven't crashed.
const FEWEST_OUTLIVED: u32 = 9;
/// And those without the worst upstream's.
const FEWEST_OTHERS: u32 = 4;
/// Bad answers by which a version is condemned by one upstream alone, where no other was tried.
const ALONE: u32 = 25;
/// Of the answers that a version's upstreams gave, those that came from upstreams with bad ones must be this part of what
/// an evenly bad version would show: a zone that is cut off is a third of the upstreams.
const SPREAD: f64 = 0.65;

/// The sums of one stream of answers.
#[derive(Clone, Copy, Debug, Default)]
struct Sums([f64; 2]);

impl Sums {
    fn add(&mut self, steps: [f64; 2]) {
        for (sum, step) in self.0.iter_mut().zip(steps) {
            *sum = (*sum + step).max(0.0);
        }
    }

    fn highest(self) -> f64 {
        self.0[0].max(self.0[1])
    }
}

/// What one upstream did since the sums were last at zero.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    answers: u32,
    failed: u32,
    slow: u32,
    /// Bad answers that were followed by a good one.
    outlived: u32,
}

impl Seen {
    fn bad(self) -> u32 {
        self.failed + self.slow
    }
}

/// What speaks against a version on one route, or on all.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    all: Sums,
    /// The sums as they would be if an upstream had never been tried.
    without: BTreeMap<id::Upstream, Sums>,
    seen: BTreeMap<id::Upstream, Seen>,
    /// Bad answers that earlier homes counted.
    recalled: u32,
}

impl Evidence {
    /// Begins with what earlier homes counted: more than without it must be seen then, and at two upstreams at least, since
    /// counts can't say whether they are one upstream's.
    pub fn recall(&mut self, share: f64, answers: u32, bad: u32) {
        let good = f64::from(answers.saturating_sub(bad));
        let steps = Self::steps(share, true).map(|step| step * f64::from(bad));
        let back = Self::steps(share, false).map(|step| step * good);
        for (sum, (up, down)) in self.all.0.iter_mut().zip(steps.into_iter().zip(back)) {
            *sum = (*sum + up + down).clamp(0.0, RECALLED);
        }
        self.recalled += bad;
    }

    /// An upstream of the version answered; a good version's answers would be bad in this share.
    pub fn add(&mut self, upstream: &id::Upstream, answer: Answer, share: f64) {
        let steps = Self::steps(share, answer != Answer::Good);
        self.without.entry(upstream.clone()).or_insert(self.all);
        self.all.add(steps);
        for (other, sums) in &mut self.without {
            if other != upstream {
                sums.add(steps);
            }
        }
        if self.all.highest() <= 0.0 {
            self.seen.clear();
            self.recalled = 0;
            return;
        }
        let seen = self.seen.entry(upstream.clone()).or_default();
        seen.answers += 1;
        match answer {
            Answer::Good => seen.outlived = seen.bad(),
            Answer::Failed => seen.failed += 1,
            Answer::Slow => seen.slow += 1,
        }
    }

    /// Whether enough speaks against the version if one forgets that it may be a single upstream.
    #[must_use]
    pub fn suspects(&self) -> bool {
        self.all.highest() >= SUSPICION
    }

    /// Whether something speaks against the version even without the worst of its upstreams.
    #[must_use]
    pub fn doubts(&self) -> bool {
        self.without.len() > 1 && self.lowest() >= SUSPICION
    }

    /// How the version is bad, if it is. `caution` raises what must be reached, where there is nothing to compare with;
    /// `waiting` are bad answers that aren't weighed yet.
    #[must_use]
    pub fn verdict(&self, caution: f64, waiting: u32) -> Option<Cause> {
        let bad: u32 = self.seen.values().map(|seen| seen.bad()).sum();
        let worst = self.seen.values().map(|seen| seen.bad()).max().unwrap_or(0);
        let outlived: u32 = self.seen.values().map(|seen| seen.outlived).sum();
        let is_of_others = if self.without.len() > 1 {
            let least = if f64::from(worst) > MOST * f64::from(bad) { WITHOUT_WORST } else { WITHOUT };
            self.lowest() >= least * caution
                && (bad + waiting + self.recalled >= FEWEST || outlived >= FEWEST_OUTLIVED)
                && bad - worst >= FEWEST_OTHERS
                && self.is_spread(bad)
        } else {
            bad >= ALONE
        };
        if !is_of_others || self.all.highest() < THRESHOLD * caution {
            return None;
        }
        let failed: u32 = self.seen.values().map(|seen| seen.failed).sum();
        Some(if 2 * failed >= bad { Cause::Failing } else { Cause::Slow })
    }

    /// Bad answers since the sums were last at zero.
    #[must_use]
    pub fn bad(&self) -> u32 {
        self.seen.values().map(|seen| seen.bad()).sum()
    }

    /// What speaks against it without the worst of its upstreams.
    fn lowest(&self) -> f64 {
        self.without.values().map(|sums| sums.highest()).fold(f64::INFINITY, f64::min)
    }

    /// Whether bad answers came from as many upstreams as an evenly bad version's would.
    fn is_spread(&self, bad: u32) -> bool {
        let answers: u32 = self.seen.values().map(|seen| seen.answers).sum();
        let share = f64::from(bad) / f64::from(answers.max(1));
        let (mut shown, mut expected) = (0.0, 0.0);
        for seen in self.seen.values() {
            let weight = f64::from(seen.answers);
            expected += weight * (1.0 - (1.0 - share).powf(weight));
            shown += if seen.bad() > 0 { weight } else { 0.0 };
        }
        shown >= SPREAD * expected
    }

    fn steps(share: f64, is_bad: bool) -> [f64; 2] {
        WORSE.map(|worse| {
            let other = share + worse * (1.0 - share);
            if is_bad { (other / share).ln() } else { ((1.0 - other) / (1.0 - share)).ln() }
        })
    }
}
