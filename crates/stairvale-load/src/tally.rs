//! Counts and latencies of all requests of a run.

use std::{collections::HashMap, time::Duration};

use hdrhistogram::Histogram;

/// The outcome of one request, as observed by its caller.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// The answer is complete and correct.
    Ok,
    /// The request was refused with a statement that it was not run, or no connection was made.
    NotRun,
    /// The response leaves open whether the request ran, the connection broke, or the request timed out.
    Unknown,
    /// The answer looks complete but is not, or the response states no outcome.
    Lost,
    /// The answer has data of another request, or repeated data.
    Mixed,
}

/// The outcome and the measurements of one chat turn.
#[derive(Clone, Copy, Debug)]
pub struct Measurement {
    /// The outcome of the turn.
    pub outcome: Outcome,
    /// The time from the scheduled start to the first token.
    pub time_to_first_token: Option<Duration>,
    /// The time that the request waited for permits, as reported by its router.
    pub permit_wait: Option<Duration>,
    /// The index of the customer.
    pub customer: usize,
    /// Whether the request was urgent.
    pub urgent: bool,
    /// Whether the chat was a long-running job.
    pub bulk: bool,
    /// Whether the turn was scheduled after the first customer's rate rose.
    pub after_surge_start: bool,
    /// The prompt tokens found cached, and those that an earlier turn left in some cache.
    pub reuse: Option<(u64, u64)>,
}

/// Converts a duration to the unit of the histograms, hundredths of a millisecond.
fn histogram_value(time: Duration) -> u64 {
    u64::try_from(time.as_micros() / 10).unwrap_or(u64::MAX)
}

/// A histogram of durations.
#[derive(Clone, Debug)]
pub struct DurationHistogram(Histogram<u64>);

impl Default for DurationHistogram {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, 100_000_000, 3);
        Self(histogram.unwrap_or_else(|_| unreachable!("the bounds are constants")))
    }
}

impl DurationHistogram {
    /// Adds a duration.
    pub fn record(&mut self, time: Duration) {
        self.0.saturating_record(histogram_value(time).max(1));
    }

    /// A quantile in milliseconds; `None` if nothing was recorded.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn quantile(&self, quantile: f64) -> Option<f64> {
        if self.0.is_empty() {
            return None;
        }
        Some(self.0.value_at_quantile(quantile) as f64 / 100.0)
    }
}

/// Counts and latencies of all requests so far.
#[derive(Debug, Default)]
pub struct Tally {
    /// The number of requests by outcome.
    pub outcomes: HashMap<Outcome, u64>,
    /// The number of refusals and failed connections by reason.
    pub reasons: HashMap<String, u64>,
    /// Times from the scheduled start to the first token.
    pub first_token: DurationHistogram,
    /// First-token times of customers other than the first, in the first half of the run.
    pub others_early: DurationHistogram,
    /// First-token times of customers other than the first, in the second half of the run.
    pub others_late: DurationHistogram,
    /// First-token times of urgent requests.
    pub urgent_first_token: DurationHistogram,
    /// Times that urgent requests waited for permits.
    pub urgent_wait: DurationHistogram,
    /// Times that requests of customers other than the first waited for permits, in the first half of the run.
    pub others_early_wait: DurationHistogram,
    /// Times that requests of customers other than the first waited for permits, in the second half of the run.
    pub others_late_wait: DurationHistogram,
    /// First-token times of long-running jobs.
    pub bulk_first_token: DurationHistogram,
    /// The number of turns of long-running jobs that were answered completely, and the number of all their turns.
    pub bulk_done: (u64, u64),
    /// Times between the tokens of an answer.
    pub inter_token: DurationHistogram,
    /// Prompt tokens found cached, over all turns that had an earlier answered turn.
    pub cached: u64,
    /// Prompt tokens that earlier turns had left in some cache.
    pub cacheable: u64,
    /// The outcomes of plain calls, by idempotency key.
    pub plain_outcomes: HashMap<String, Vec<Outcome>>,
}

impl Tally {
    /// Counts a chat turn.
    pub fn count(&mut self, measurement: Measurement) {
        *self.outcomes.entry(measurement.outcome).or_default() += 1;
        if measurement.bulk {
            self.bulk_done.0 += u64::from(measurement.outcome == Outcome::Ok);
            self.bulk_done.1 += 1;
        }
        if let Some((cached, cacheable)) = measurement.reuse {
            self.cached += cached;
            self.cacheable += cacheable;
        }
        let Some(time_to_first_token) = measurement.time_to_first_token else {
            return;
        };
        self.first_token.record(time_to_first_token);
        if measurement.customer > 0 {
            let others = if measurement.after_surge_start { &mut self.others_late } else { &mut self.others_early };
            others.record(time_to_first_token);
        }
        if measurement.urgent {
            self.urgent_first_token.record(time_to_first_token);
        }
        if let Some(permit_wait) = measurement.permit_wait {
            self.count_permit_wait(measurement, permit_wait);
        }
        if measurement.bulk {
            self.bulk_first_token.record(time_to_first_token);
        }
    }

    fn count_permit_wait(&mut self, measurement: Measurement, permit_wait: Duration) {
        if measurement.urgent {
            self.urgent_wait.record(permit_wait);
        }
        if measurement.customer > 0 {
            let others =
                if measurement.after_surge_start { &mut self.others_late_wait } else { &mut self.others_early_wait };
            others.record(permit_wait);
        }
    }

    /// The number of requests that had this outcome.
    #[must_use]
    pub fn count_of(&self, outcome: Outcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or(0)
    }

    /// The number of all requests.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.outcomes.values().sum()
    }
}
