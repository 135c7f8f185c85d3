//! How an upstream does, judged by what became of the requests it was given.

use std::time::Duration;

use stairvale_types::Moment;

use crate::Outcome;

/// Outcomes lose half of their weight in this time.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Bad outcomes that a judgement needs at least.
const ENOUGH: f64 = 2.5;
/// How much more often than the others an upstream must fail to be left alone.
const EXCESS: f64 = 0.25;
/// The first pause of an upstream that is left alone; it doubles up to [`LONGEST`].
const FIRST: Duration = Duration::from_millis(1_000);
/// The longest pause.
const LONGEST: Duration = Duration::from_secs(4);
/// A full upstream is left alone for this long.
const FULL: Duration = Duration::from_millis(50);
/// How much one answer's time counts in the mean.
const WEIGHT: f64 = 0.2;

/// What is known of one upstream's answers.
#[derive(Clone, Debug)]
pub struct Health {
    good: f64,
    bad: f64,
    at: Moment,
    /// The mean of answers' times over what was expected.
    pace: f64,
    closed_until: Moment,
    pause: Duration,
    /// One request is let through to see whether it is well again.
    trial: bool,
    trying: bool,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            good: 0.0,
            bad: 0.0,
            at: Moment::ZERO,
            pace: 1.0,
            closed_until: Moment::ZERO,
            pause: FIRST,
            trial: false,
            trying: false,
        }
    }
}

impl Health {
    /// Whether it may be given a request now.
    #[must_use]
    pub fn is_open(&self, now: Moment) -> bool {
        now >= self.closed_until && !(self.trial && self.trying)
    }

    /// Whether it is only being tried.
    #[must_use]
    pub fn is_trial(&self) -> bool {
        self.trial
    }

    /// How much longer than expected it takes; 1 is as expected.
    #[must_use]
    pub fn pace(&self) -> f64 {
        self.pace
    }

    /// The share of its outcomes that were bad.
    #[must_use]
    pub fn failing(&self) -> f64 {
        // Two good outcomes are assumed, so that one bad one says little.
        self.bad / (self.good + self.bad + 2.0)
    }

    /// It is given a request.
    pub fn given(&mut self) {
        self.trying = true;
    }

    /// An answer took `ratio` times what was expected.
    pub fn took(&mut self, ratio: f64) {
        self.pace += (ratio.clamp(0.2, 20.0) - self.pace) * WEIGHT;
    }

    /// A request ended; `usual` is the share of bad outcomes among the others.
    pub fn observe(&mut self, now: Moment, outcome: Outcome, usual: f64) {
        self.fade(now);
        match outcome {
            Outcome::Served => self.served(),
            Outcome::Failed => self.failed(now, usual),
            Outcome::Silent => {
                self.bad += 1.0;
                self.failed(now, usual);
            }
            Outcome::Unreachable | Outcome::Gone => self.close(now),
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
        if self.trial {
            self.trial = false;
            self.pause = FIRST;
            self.bad = 0.0;
        }
    }

    fn failed(&mut self, now: Moment, usual: f64) {
        self.bad += 1.0;
        self.trying = false;
        let clearly = self.bad >= ENOUGH && self.failing() > usual + EXCESS;
        if self.trial || clearly {
            self.close(now);
        }
    }

    fn close(&mut self, now: Moment) {
        self.trying = false;
        if now < self.closed_until {
            return;
        }
        self.trial = true;
        self.closed_until = now + self.pause;
        self.pause = (self.pause * 2).min(LONGEST);
    }

    fn fade(&mut self, now: Moment) {
        let halves = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let left = 0.5_f64.powf(halves);
        self.good *= left;
        self.bad *= left;
        self.at = now;
    }
}
