//! The share of bad answers of the version that serves, on one route and at the current time.

use std::time::Duration;

use stairvale_types::Moment;

use crate::record::Counts;

/// Half-life of the counts for a fault that has just begun: it must show at the old version within a few tenths of a
/// second.
const FAST_HALF_LIFE: Duration = Duration::from_millis(300);
/// Half-life of the counts for a fault that lasts.
const SLOW_HALF_LIFE: Duration = Duration::from_secs(4);
/// Number of answers with which the estimate over a shorter period starts, at the share of the next longer period, so
/// that a single bad answer in it has little effect.
const PRIOR_ANSWERS: f64 = 6.0;
/// Minimum share to compare with. A version that fails less often than this is no worse than one that never fails,
/// since callers' retries hide it.
const MIN_SHARE: f64 = 0.02;
/// Maximum share to compare with. Beyond it the comparison shows nothing.
const MAX_SHARE: f64 = 0.7;
/// Share taken where there are no answers of the old version: far more than upstreams usually fail.
const DEFAULT_SHARE: f64 = 0.05;
/// The old version is compared with as long as it gets at least this fraction of its request rate of some seconds
/// before.
const MIN_TRAFFIC_RATIO: f64 = 0.7;
/// Minimum number of answers in the last seconds for a comparison.
const MIN_RECENT_ANSWERS: f64 = 10.0;

/// Counts that decay exponentially.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingCounts {
    /// Number of answers.
    answers: f64,
    /// Number of bad answers.
    bad: f64,
    /// When the counts were last decayed.
    decayed_at: Moment,
}

impl DecayingCounts {
    fn decayed_to(self, now: Moment, half_life: Duration) -> Self {
        let factor = (-now.since(self.decayed_at).as_secs_f64() / half_life.as_secs_f64()).exp2();
        Self { answers: self.answers * factor, bad: self.bad * factor, decayed_at: now.max(self.decayed_at) }
    }

    fn count(&mut self, now: Moment, half_life: Duration, is_bad: bool) {
        *self = self.decayed_to(now, half_life);
        self.answers += 1.0;
        self.bad += f64::from(u8::from(is_bad));
    }
}

/// The share of bad answers to compare with.
#[derive(Clone, Copy, Debug, Default)]
pub struct Baseline {
    fast: DecayingCounts,
    slow: DecayingCounts,
    answers: u64,
    bad: u64,
}

impl Baseline {
    /// Adds the counts of earlier homes from the record of the roll-out.
    pub fn add_recorded(&mut self, counts: &Counts) {
        self.answers += counts.answers;
        self.bad += counts.failed + counts.slow;
    }

    /// Counts an answer of the old version.
    pub fn count(&mut self, now: Moment, is_bad: bool) {
        self.fast.count(now, FAST_HALF_LIFE, is_bad);
        self.slow.count(now, SLOW_HALF_LIFE, is_bad);
        self.answers += 1;
        self.bad += u64::from(is_bad);
    }

    /// Whether there are enough recent answers of the old version to compare with it.
    #[must_use]
    pub fn has_enough_answers(&self, now: Moment) -> bool {
        self.slow.decayed_to(now, SLOW_HALF_LIFE).answers >= MIN_RECENT_ANSWERS
    }

    /// Whether the old version still gets about as many requests as before, so that a fault of both versions would show
    /// there.
    #[must_use]
    pub fn has_steady_traffic(&self, now: Moment) -> bool {
        let [fast, slow] =
            [self.fast.decayed_to(now, FAST_HALF_LIFE).answers, self.slow.decayed_to(now, SLOW_HALF_LIFE).answers];
        slow >= MIN_RECENT_ANSWERS
            && fast * SLOW_HALF_LIFE.as_secs_f64() >= MIN_TRAFFIC_RATIO * slow * FAST_HALF_LIFE.as_secs_f64()
    }

    /// The share of bad answers that a healthy version might currently have, from 0.02 to 0.7. The last seconds, and
    /// likewise the last tenths of a second, count only if they are significantly worse than the longer period:
    /// otherwise the result would be the highest of three estimates by chance.
    #[must_use]
    pub fn share(&self, now: Moment) -> f64 {
        let [long_term, recent, latest] = self.estimates(now);
        let mut share = long_term.share + long_term.error;
        if recent.share - recent.error > long_term.share {
            share = share.max(recent.share + recent.error);
        }
        if latest.share - latest.error > recent.share {
            share = share.max(latest.share);
        }
        share.clamp(MIN_SHARE, MAX_SHARE)
    }

    /// By how much the share of bad answers is significantly higher than the long-term one.
    #[must_use]
    pub fn recent_excess(&self, now: Moment) -> f64 {
        let [long_term, _, latest] = self.estimates(now);
        (latest.share - latest.error - long_term.share).max(0.0)
    }

    /// Estimates from all answers, from the last seconds and from the last tenths of a second.
    #[expect(clippy::cast_precision_loss, reason = "counts of answers are far below 2^52")]
    fn estimates(&self, now: Moment) -> [ShareEstimate; 3] {
        let fast = self.fast.decayed_to(now, FAST_HALF_LIFE);
        let slow = self.slow.decayed_to(now, SLOW_HALF_LIFE);
        let mut prior = DEFAULT_SHARE;
        [(self.answers as f64, self.bad as f64), (slow.answers, slow.bad), (fast.answers, fast.bad)].map(
            |(answers, bad)| {
                let weight = answers + PRIOR_ANSWERS;
                let share = (bad + PRIOR_ANSWERS * prior) / weight;
                prior = share;
                ShareEstimate { share, error: (share * (1.0 - share) / weight).sqrt() }
            },
        )
    }
}

/// An estimated share of bad answers, and its standard error.
struct ShareEstimate {
    share: f64,
    error: f64,
}
