//! Health of an upstream, derived from the outcomes of the requests it was given.

use std::time::Duration;

use stairvale_types::Moment;

use crate::Outcome;

/// Outcomes lose half of their weight in this time, so that an upstream that was avoided is considered again.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Minimum weight of bad outcomes before an upstream is closed.
const MIN_BAD_WEIGHT: f64 = 2.5;
/// An upstream is closed when its failure rate exceeds that of the others by this.
const FAILURE_RATE_MARGIN: f64 = 0.25;
/// Failure rate above which an upstream is in doubt.
const DOUBT_FAILURE_RATE: f64 = 0.05;
/// The first pause of a closed upstream; it doubles up to [`MAX_PAUSE`].
const INITIAL_PAUSE: Duration = Duration::from_millis(1_000);
/// The longest pause of a closed upstream.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// How long a full upstream gets no requests.
const FULL_PAUSE: Duration = Duration::from_millis(50);
/// Number of good outcomes in a row, one request at a time, that show that an upstream which failed has recovered.
const PROBATION_REQUESTS: u8 = 3;
/// Weight of one answer's time in the mean.
const MEAN_WEIGHT: f64 = 0.2;

/// The recent outcomes of one upstream, and whether it may be given requests.
#[derive(Clone, Debug)]
pub struct Health {
    good: f64,
    bad: f64,
    /// The mean of the answers' times relative to the expected time, less one.
    slowdown: f64,
    /// When the three values above were last updated.
    updated: Moment,
    closed_until: Moment,
    pause: Duration,
    /// Good outcomes that are still needed, one request at a time.
    probation: u8,
    probing: bool,
    last_given: Moment,
    /// Whether the last request whose outcome concerns the upstream got no response, or no connection.
    unresponsive: bool,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            good: 0.0,
            bad: 0.0,
            slowdown: 0.0,
            updated: Moment::ZERO,
            closed_until: Moment::ZERO,
            pause: INITIAL_PAUSE,
            probation: 0,
            probing: false,
            last_given: Moment::ZERO,
            unresponsive: false,
        }
    }
}

impl Health {
    /// Whether the upstream may be given a request now.
    #[must_use]
    pub fn is_open(&self, now: Moment) -> bool {
        now >= self.closed_until && !(self.is_on_probation() && self.probing)
    }

    /// Whether the last request to the upstream got no response. An error counts as a response.
    #[must_use]
    pub fn is_unresponsive(&self) -> bool {
        self.unresponsive
    }

    /// Whether the upstream is on probation, with one request at a time.
    #[must_use]
    pub fn is_on_probation(&self) -> bool {
        self.probation > 0
    }

    /// Whether the upstream should be probed with a request that may run twice: it failed, and hasn't been given a
    /// request lately.
    #[must_use]
    pub fn needs_probe(&self, now: Moment) -> bool {
        self.is_on_probation() || (self.excess_failure_rate(now) > 0.0 && now.since(self.last_given) >= INITIAL_PAUSE)
    }

    /// Returns the time of answers relative to the expected time; 1 is as expected.
    #[must_use]
    pub fn pace(&self, now: Moment) -> f64 {
        1.0 + self.slowdown * self.remaining_weight(now)
    }

    /// Returns by how much the failure rate exceeds the rate from which an upstream is in doubt.
    #[must_use]
    pub fn excess_failure_rate(&self, now: Moment) -> f64 {
        (self.failure_rate(now) - DOUBT_FAILURE_RATE).max(0.0)
    }

    /// Returns the share of bad outcomes.
    #[must_use]
    pub fn failure_rate(&self, now: Moment) -> f64 {
        let weight = self.remaining_weight(now);
        // Two good outcomes are assumed in addition, so that a single bad one has little effect.
        self.bad * weight / ((self.good + self.bad) * weight + 2.0)
    }

    /// Records that the upstream is given a request.
    pub fn record_given(&mut self, now: Moment) {
        self.probing = true;
        self.last_given = now;
    }

    /// Records an answer that took `ratio` times the expected time.
    pub fn record_time(&mut self, now: Moment, ratio: f64) {
        self.fade(now);
        self.slowdown += (ratio.clamp(0.2, 20.0) - 1.0 - self.slowdown) * MEAN_WEIGHT;
    }

    /// Records the outcome of a request; `usual` is the share of bad outcomes among the other upstreams.
    pub fn observe(&mut self, now: Moment, outcome: Outcome, usual: f64) {
        self.fade(now);
        match outcome {
            Outcome::Silent | Outcome::Unreachable | Outcome::Gone | Outcome::Ended => self.unresponsive = true,
            Outcome::Served | Outcome::Failed | Outcome::Shed => self.unresponsive = false,
            // The outcome was caused by the entry router and says nothing about the upstream.
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
                self.probing = false;
                self.closed_until = self.closed_until.max(now + FULL_PAUSE);
            }
            Outcome::Abandoned => self.probing = false,
        }
    }

    fn served(&mut self) {
        self.good += 1.0;
        self.probing = false;
        if self.probation == 1 {
            self.pause = (self.pause / 2).max(INITIAL_PAUSE);
            self.bad = 0.0;
        }
        self.probation = self.probation.saturating_sub(1);
    }

    fn failed(&mut self, now: Moment, usual: f64) {
        self.bad += 1.0;
        self.probing = false;
        let exceeds_others = self.bad >= MIN_BAD_WEIGHT && self.failure_rate(now) > usual + FAILURE_RATE_MARGIN;
        if self.is_on_probation() || exceeds_others {
            self.close(now, PROBATION_REQUESTS);
        }
    }

    fn close(&mut self, now: Moment, probation: u8) {
        self.probing = false;
        if now < self.closed_until {
            return;
        }
        self.probation = self.probation.max(probation);
        self.closed_until = now + self.pause;
        self.pause = (self.pause * 2).min(MAX_PAUSE);
    }

    /// Returns the remaining weight of the outcomes since the last update.
    fn remaining_weight(&self, now: Moment) -> f64 {
        0.5_f64.powf(now.since(self.updated).as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    fn fade(&mut self, now: Moment) {
        let weight = self.remaining_weight(now);
        self.good *= weight;
        self.bad *= weight;
        self.slowdown *= weight;
        self.updated = now;
    }
}
