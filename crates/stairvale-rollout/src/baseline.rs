//! How often answers are bad at the version that serves, on one route and in these seconds.

use std::time::Duration;

use stairvale_types::Moment;

use crate::record::Counts;

/// Memory for trouble that has just begun: it is to show at the old version within a few tenths of a second.
const FAST: Duration = Duration::from_millis(300);
/// Memory for trouble that lasts.
const SLOW: Duration = Duration::from_secs(4);
/// A shorter memory begins with so many answers of the next longer one, so that a single bad answer in it says little.
const PRIOR: f64 = 8.0;
/// A version that fails less often than this is no worse than one that never fails: callers' retries hide it.
const FLOOR: f64 = 0.02;
/// Beyond this share nothing can be told from the comparison.
const CEILING: f64 = 0.7;
/// What is taken where the old version was never seen: far more than upstreams usually fail.
const UNSEEN: f64 = 0.1;
/// The old version is compared with as long as it gets this part of the requests that it got some seconds before.
const STILL: f64 = 0.5;
/// Answers in the last seconds without which there is nothing to compare with.
const FEWEST: f64 = 10.0;

/// Counts that fade by half in a set time.
#[derive(Clone, Copy, Debug, Default)]
struct Fading {
    /// Answers.
    answers: f64,
    /// Bad ones.
    bad: f64,
    /// When they were faded last.
    at: Moment,
}

impl Fading {
    fn at(self, now: Moment, half: Duration) -> Self {
        let kept = (-now.since(self.at).as_secs_f64() / half.as_secs_f64()).exp2();
        Self { answers: self.answers * kept, bad: self.bad * kept, at: now.max(self.at) }
    }

    fn count(&mut self, now: Moment, half: Duration, is_bad: bool) {
        *self = self.at(now, half);
        self.answers += 1.0;
        self.bad += f64::from(u8::from(is_bad));
    }
}

/// The share of bad answers to compare with.
#[derive(Clone, Copy, Debug, Default)]
pub struct Baseline {
    fast: Fading,
    slow: Fading,
    answers: u64,
    bad: u64,
}

impl Baseline {
    /// Takes what the record of a roll-out has from earlier homes.
    pub fn recall(&mut self, counts: &Counts) {
        self.answers += counts.answers;
        self.bad += counts.failed + counts.slow;
    }

    /// The old version answered.
    pub fn count(&mut self, now: Moment, is_bad: bool) {
        self.fast.count(now, FAST, is_bad);
        self.slow.count(now, SLOW, is_bad);
        self.answers += 1;
        self.bad += u64::from(is_bad);
    }

    /// Whether the old version still gets about what it got, so that trouble of both would show there.
    #[must_use]
    pub fn is_recent(&self, now: Moment) -> bool {
        let [fast, slow] = [self.fast.at(now, FAST).answers, self.slow.at(now, SLOW).answers];
        slow >= FEWEST && fast * SLOW.as_secs_f64() >= STILL * slow * FAST.as_secs_f64()
    }

    /// The share of bad answers that a good version might have now, in 0.02 to 0.7.
    #[must_use]
    pub fn share(&self, now: Moment) -> f64 {
        let [usual, lately, just_now] = self.shares(now);
        (usual.share + usual.error).max(lately.share + lately.error).max(just_now.share).clamp(FLOOR, CEILING)
    }

    /// How much higher the share of bad answers is than it was, if that isn't chance.
    #[must_use]
    pub fn excess(&self, now: Moment) -> f64 {
        let [usual, _, just_now] = self.shares(now);
        (just_now.share - just_now.error - usual.share).max(0.0)
    }

    /// Of all that was seen, of the last seconds, and of the last tenths of a second.
    #[expect(clippy::cast_precision_loss, reason = "counts of answers are far below 2^52")]
    fn shares(&self, now: Moment) -> [Share; 3] {
        let fast = self.fast.at(now, FAST);
        let slow = self.slow.at(now, SLOW);
        let mut prior = UNSEEN;
        [(self.answers as f64, self.bad as f64), (slow.answers, slow.bad), (fast.answers, fast.bad)].map(
            |(answers, bad)| {
                let weight = answers + PRIOR;
                let share = (bad + PRIOR * prior) / weight;
                prior = share;
                Share { share, error: (share * (1.0 - share) / weight).sqrt() }
            },
        )
    }
}

/// A share of bad answers, and its standard error.
struct Share {
    share: f64,
    error: f64,
}
