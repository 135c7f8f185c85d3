//! The mean load over a service's engines, as a home knows it: late, so used in its safe direction.

use std::{collections::VecDeque, time::Duration};

use stairvale_types::{Moment, unit};

/// A mean that was heard longer ago than this is not used; the home then knows only its own engines.
pub const MEAN_TTL: Duration = Duration::from_secs(2);
/// Reports this recent are all considered, and the least is used.
pub const MEAN_WINDOW: Duration = Duration::from_millis(150);

/// One report: what the *other* homes' engines carried, and how many they are.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Report {
    at: Moment,
    sum: Sum,
}

/// What some engines carry together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sum {
    /// Outstanding requests.
    pub outstanding: u64,
    /// The engines.
    pub engines: u32,
    /// The fewest requests that wait for any of them.
    pub waiting: u32,
}

impl Sum {
    /// Both together. Without engines nothing waits for any.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        let waiting = match (self.engines, other.engines) {
            (0, _) => other.waiting,
            (_, 0) => self.waiting,
            _ => self.waiting.min(other.waiting),
        };
        Self { outstanding: self.outstanding + other.outstanding, engines: self.engines + other.engines, waiting }
    }

    /// The mean load. What waits for *every* engine counts as if it ran: all are raised by it together, so the mean is
    /// that as soon as each has granted what the bound lets it.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn mean(self) -> f64 {
        if self.engines == 0 {
            return 0.0;
        }
        self.outstanding as f64 / f64::from(self.engines) + f64::from(self.waiting)
    }
}

/// The mean of a service.
///
/// A grant raises the sum by one at once here, and elsewhere only with the next report. Taking the least of the recent
/// reports errs towards refusing: the bound that is used is at most the bound that was true at one of these moments.
#[derive(Clone, Debug, Default)]
pub struct Mean {
    others: VecDeque<Report>,
}

impl Mean {
    /// A report of what all other homes' engines carry came in.
    pub fn report(&mut self, now: Moment, sum: Sum) {
        self.others.push_back(Report { at: now, sum });
        while self.others.len() > 1 && now.since(self.others[0].at) > MEAN_WINDOW {
            self.others.pop_front();
        }
    }

    /// The mean, given what this home's own engines carry now.
    #[must_use]
    pub fn get(&self, now: Moment, own: Sum) -> f64 {
        let fresh = self.others.iter().filter(|report| now.since(report.at) <= MEAN_TTL);
        let means = fresh.map(|report| report.sum.plus(own).mean());
        means.reduce(f64::min).unwrap_or_else(|| own.mean())
    }

    /// The mean by the latest report alone, to count grants that a stale bound let through.
    #[must_use]
    pub fn latest(&self, now: Moment, own: Sum) -> f64 {
        let last = self.others.back().filter(|report| now.since(report.at) <= MEAN_TTL);
        last.map_or(own, |report| report.sum.plus(own)).mean()
    }

    /// The most that an engine may carry.
    #[must_use]
    pub fn bound(&self, now: Moment, multiple: unit::Multiple, own: Sum) -> u32 {
        multiple.bound(self.get(now, own))
    }
}
