//! The mean load over a service's engines, as received by a home.
//!
//! Reports arrive with a delay, so a home uses the lowest recent mean, which errs towards refusing.

use std::{collections::VecDeque, time::Duration};

use stairvale_types::{Moment, unit};

/// Age beyond which a received mean is not used. The home then computes the mean from its own engines only.
pub const MEAN_TTL: Duration = Duration::from_secs(2);
/// Age up to which all reports are considered; the lowest of their means is used.
pub const MEAN_WINDOW: Duration = Duration::from_millis(150);

/// A report of the load of the *other* homes' engines.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Report {
    at: Moment,
    sum: Sum,
}

/// The summed load of a set of engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sum {
    /// Number of requests outstanding at the engines.
    pub outstanding: u64,
    /// Number of engines.
    pub engines: u32,
    /// Lowest number of requests queued for any of the engines.
    pub waiting: u32,
}

impl Sum {
    /// Adds the load of another set of engines. A set without engines doesn't count towards the lowest queue length.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        let waiting = match (self.engines, other.engines) {
            (0, _) => other.waiting,
            (_, 0) => self.waiting,
            _ => self.waiting.min(other.waiting),
        };
        Self { outstanding: self.outstanding + other.outstanding, engines: self.engines + other.engines, waiting }
    }

    /// Returns the mean load per engine.
    ///
    /// Requests queued at *every* engine count as if they were running. They raise the load of all engines alike, so
    /// the mean reaches this value as soon as each engine has granted what the bound permits.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn mean(self) -> f64 {
        if self.engines == 0 {
            return 0.0;
        }
        self.outstanding as f64 / f64::from(self.engines) + f64::from(self.waiting)
    }
}

/// The mean load of a service.
///
/// A grant raises the sum at this home at once, but at other homes only with the next report. Using the lowest mean of
/// the recent reports errs towards refusing: the resulting bound is at most the true bound at the time of one of these
/// reports.
#[derive(Clone, Debug, Default)]
pub struct Mean {
    others: VecDeque<Report>,
}

impl Mean {
    /// Records a report of the load of all other homes' engines.
    pub fn report(&mut self, now: Moment, sum: Sum) {
        self.others.push_back(Report { at: now, sum });
        while self.others.len() > 1 && now.since(self.others[0].at) > MEAN_WINDOW {
            self.others.pop_front();
        }
    }

    /// Returns the lowest recent mean, including the current load of this home's own engines.
    #[must_use]
    pub fn get(&self, now: Moment, own: Sum) -> f64 {
        let fresh = self.others.iter().filter(|report| now.since(report.at) <= MEAN_TTL);
        let means = fresh.map(|report| report.sum.plus(own).mean());
        means.reduce(f64::min).unwrap_or_else(|| own.mean())
    }

    /// Returns the mean by the latest report alone, which serves to count grants that a stale bound allowed.
    #[must_use]
    pub fn latest(&self, now: Moment, own: Sum) -> f64 {
        let last = self.others.back().filter(|report| now.since(report.at) <= MEAN_TTL);
        last.map_or(own, |report| report.sum.plus(own)).mean()
    }

    /// Returns the load bound: the maximum number of requests that may be outstanding at one engine.
    #[must_use]
    pub fn bound(&self, now: Moment, multiple: unit::Multiple, own: Sum) -> u32 {
        multiple.bound(self.get(now, own))
    }
}
