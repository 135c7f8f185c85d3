//! How an upstream does, judged by what became of the requests it was given.

use std::time::Duration;

use stairvale_types::Moment;

use crate::Outcome;

/// What was seen loses half of its weight in this time, so that an upstream that was left alone is thought of again.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Bad outcomes that a judgement needs at least.
const ENOUGH: f64 = 2.5;
/// How much more often than the others an upstream must fail to be left alone.
const EXCESS: f64 = 0.25;
/// An upstream that fails more often than this is in doubt.
const DOUBT: f64 = 0.05;
/// The first pause of an upstream that is left alone; it doubles up to [`LONGEST`].
const FIRST: Duration = Duration::from_millis(1_000);
/// The longest pause.
const LONGEST: Duration = Duration::from_secs(4);
/// A full upstream is left alone for this long.
const FULL: Duration = Duration::from_millis(50);
/// Good outcomes in a row, one at a time, that show an upstream that failed to be well again.
const TRIALS: u8 = 3;
/// How much one answer's time counts in the mean.
const MEAN_WEIGHT: f64 = 0.2;

/// What is known of one upstream's answers.
#[derive(Clone, Debug)]
pub struct Health {
    good: f64,
    bad: f64,
    /// The mean of answers' times over what was expected, less one.
    excess: f64,
    /// When the three above were brought up to date.
    at: Moment,
    closed_until: Moment,
    pause: Duration,
    /// Good outcomes that are still needed, one at a time.
    trials: u8,
    trying: bool,
    given: Moment,
    /// Whether it was silent, or couldn't be reached, when it was last heard of.
    silent: bool,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            good: 0.0,
            bad: 0.0,
            excess: 0.0,
            at: Moment::ZERO,
            closed_until: Moment::ZERO,
            pause: FIRST,
            trials: 0,
            trying: false,
            given: Moment::ZERO,
            silent: false,
        }
    }
}

impl Health {
    /// Whether it may be given a request now.
    #[must_use]
    pub fn is_open(&self, now: Moment) -> bool {
        now >= self.closed_until && !(self.is_trial() && self.trying)
    }

    /// Whether nothing came from it when something was asked of it last. An error is an answer, too.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        self.silent
    }

    /// Whether it is only being tried, one request at a time.
    #[must_use]
    pub fn is_trial(&self) -> bool {
        self.trials > 0
    }

    /// Whether it is worth a request that may run twice, to see how it does: it failed, and hasn't been asked lately.
    #[must_use]
    pub fn is_due(&self, now: Moment) -> bool {
        self.is_trial() || (self.doubt(now) > 0.0 && now.since(self.given) >= FIRST)
    }

    /// How much longer than expected it takes; 1 is as expected.
    #[must_use]
    pub fn pace(&self, now: Moment) -> f64 {
        1.0 + self.excess * self.left(now)
    }

    /// How much more often it fails than one that isn't in doubt.
    #[must_use]
    pub fn doubt(&self, now: Moment) -> f64 {
        (self.failing(now) - DOUBT).max(0.0)
    }

    /// The share of its outcomes that were bad.
    #[must_use]
    pub fn failing(&self, now: Moment) -> f64 {
        let left = self.left(now);
        // Two good outcomes are assumed, so that one bad one says little.
        self.bad * left / ((self.good + self.bad) * left + 2.0)
    }

    /// It is given a request.
    pub fn given(&mut self, now: Moment) {
        self.trying = true;
        self.given = now;
    }

    /// An answer took `ratio` times what was expected.
    pub fn took(&mut self, now: Moment, ratio: f64) {
        self.fade(now);
        self.excess += (ratio.clamp(0.2, 20.0) - 1.0 - self.excess) * MEAN_WEIGHT;
    }

    /// A request ended; `usual` is the share of bad outcomes among the others.
    pub fn observe(&mut self, now: Moment, outcome: Outcome, usual: f64) {
        self.fade(now);
        match outcome {
            Outcome::Silent | Outcome::Unreachable | Outcome::Gone | Outcome::Ended => self.silent = true,
            Outcome::Served | Outcome::Failed | Outcome::Shed => self.silent = false,
            // It says nothing of the upstream.
            Outcome::Abandoned => {}
        }
        match outcome {
            Outcome::Served => self.served(),
            Outcome::Failed => self.failed(now, usual),
            Outcome::Silent => {
                self.bad += 1.0;
                self.failed(now, usual);
            }
            Outcome::Unreachable | Outcome::Gone | Outcome::Ended => self.close(now, 1),
            Outcome::Shed => {
                self.trying = false;
                self.closed_until = self.closed_until.max(now + FULL);
            }
            Outcome::Abandoned => self.trying = false,
        }
    }

    fn served(&mut self) {
        self.good += 1.0;
        self.trying = false;
        if self.trials == 1 {
            self.pause = (self.pause / 2).max(FIRST);
            self.bad = 0.0;
        }
        self.trials = self.trials.saturating_sub(1);
    }

    fn failed(&mut self, now: Moment, usual: f64) {
        self.bad += 1.0;
        self.trying = false;
        let clearly = self.bad >= ENOUGH && self.failing(now) > usual + EXCESS;
        if self.is_trial() || clearly {
            self.close(now, TRIALS);
        }
    }

    fn close(&mut self, now: Moment, trials: u8) {
        self.trying = false;
        if now < self.closed_until {
            return;
        }
        self.trials = self.trials.max(trials);
        self.closed_until = now + self.pause;
        self.pause = (self.pause * 2).min(LONGEST);
    }

    /// The weight that is left of what was seen when it was last brought up to date.
    fn left(&self, now: Moment) -> f64 {
        0.5_f64.powf(now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    fn fade(&mut self, now: Moment) {
        let left = self.left(now);
        self.good *= left;
        self.bad *= left;
        self.excess *= left;
        self.at = now;
    }
}
