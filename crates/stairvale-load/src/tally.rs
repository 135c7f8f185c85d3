//! What came of all requests.

use std::{collections::HashMap, time::Duration};

use hdrhistogram::Histogram;

/// What came of one request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// A whole and right answer.
    Ok,
    /// Refused, and told that it was not run.
    NotRun,
    /// Told that its fate is unknown, or the connection broke.
    Unknown,
    /// Something that looks like a whole answer but isn't.
    Lost,
    /// Somebody else's answer, or one twice.
    Mixed,
}

/// What a request measured.
#[derive(Clone, Copy, Debug)]
pub struct Measure {
    /// What came of it.
    pub outcome: Outcome,
    /// From the intended start to the first token.
    pub first: Option<Duration>,
    /// How long it waited for permits, as its router told.
    pub waited: Option<Duration>,
    /// Whose it was.
    pub customer: usize,
    /// Whether it was urgent.
    pub urgent: bool,
    /// Whether it was a long job.
    pub bulk: bool,
    /// Whether it was due after the surge began.
    pub late: bool,
    /// Prompt tokens found cached, and prompt tokens that a past turn had put in some cache.
    pub reuse: Option<(u64, u64)>,
}

/// Milliseconds, in hundredths, as the histograms keep them.
fn hundredths(time: Duration) -> u64 {
    u64::try_from(time.as_micros() / 10).unwrap_or(u64::MAX)
}

/// Times.
#[derive(Clone, Debug)]
pub struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, 100_000_000, 3);
        Self(histogram.unwrap_or_else(|_| unreachable!("the bounds are constants")))
    }
}

impl Times {
    /// Adds a time.
    pub fn record(&mut self, time: Duration) {
        self.0.saturating_record(hundredths(time).max(1));
    }

    /// A quantile in milliseconds; `None` of nothing.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn quantile(&self, quantile: f64) -> Option<f64> {
        if self.0.is_empty() {
            return None;
        }
        Some(self.0.value_at_quantile(quantile) as f64 / 100.0)
    }
}

/// Everything that was counted.
#[derive(Debug, Default)]
pub struct Tally {
    /// Requests by outcome.
    pub outcomes: HashMap<Outcome, u64>,
    /// "No"s by reason.
    pub reasons: HashMap<String, u64>,
    /// Intended start to first token.
    pub first: Times,
    /// The same for customers other than the first, before and after the middle of the run.
    pub others_early: Times,
    /// After the middle.
    pub others_late: Times,
    /// Urgent requests' first tokens.
    pub urgent: Times,
    /// Urgent requests' waits for permits.
    pub urgent_wait: Times,
    /// The waits for permits of customers other than the first, before and after the middle of the run.
    pub others_early_wait: Times,
    /// After the middle.
    pub others_late_wait: Times,
    /// Long jobs' first tokens.
    pub bulk: Times,
    /// Long jobs that were answered whole, and all of them.
    pub bulk_done: (u64, u64),
    /// Between tokens.
    pub between: Times,
    /// Tokens found cached on returning turns.
    pub cached: u64,
    /// Tokens that a past turn had put in some cache.
    pub cacheable: u64,
    /// Idempotency keys of plain calls, with what their caller was told.
    pub keys: HashMap<String, Vec<Outcome>>,
}

impl Tally {
    /// Counts a request.
    pub fn count(&mut self, measure: Measure) {
        *self.outcomes.entry(measure.outcome).or_default() += 1;
        if measure.bulk {
            self.bulk_done.0 += u64::from(measure.outcome == Outcome::Ok);
            self.bulk_done.1 += 1;
        }
        if let Some((cached, cacheable)) = measure.reuse {
            self.cached += cached;
            self.cacheable += cacheable;
        }
        let Some(first) = measure.first else {
            return;
        };
        self.first.record(first);
        if measure.customer > 0 {
            let others = if measure.late { &mut self.others_late } else { &mut self.others_early };
            others.record(first);
        }
        if measure.urgent {
            self.urgent.record(first);
        }
        if let Some(waited) = measure.waited {
            self.count_wait(measure, waited);
        }
        if measure.bulk {
            self.bulk.record(first);
        }
    }

    fn count_wait(&mut self, measure: Measure, waited: Duration) {
        if measure.urgent {
            self.urgent_wait.record(waited);
        }
        if measure.customer > 0 {
            let others = if measure.late { &mut self.others_late_wait } else { &mut self.others_early_wait };
            others.record(waited);
        }
    }

    /// How many had an outcome.
    #[must_use]
    pub fn of(&self, outcome: Outcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or(0)
    }

    /// All requests.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.outcomes.values().sum()
    }
}
