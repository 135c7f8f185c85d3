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
    outstanding: u64,
    engines: u32,
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
    /// A report came in; `outstanding` and `engines` are those of all other homes.
    pub fn report(&mut self, now: Moment, outstanding: u64, engines: u32) {
        self.others.push_back(Report { at: now, outstanding, engines });
        while self.others.len() > 1 && now.since(self.others[0].at) > MEAN_WINDOW {
            self.others.pop_front();
        }
    }

    /// The mean, given what this home's own engines carry now.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn get(&self, now: Moment, own_outstanding: u64, own_engines: u32) -> f64 {
        let own = mean(own_outstanding, own_engines);
        let fresh = self.others.iter().filter(|report| now.since(report.at) <= MEAN_TTL);
        let means = fresh.map(|r| mean(r.outstanding + own_outstanding, r.engines + own_engines));
        means.reduce(f64::min).unwrap_or(own)
    }

    /// The mean by the latest report alone, to count grants that a stale bound let through.
    #[must_use]
    pub fn latest(&self, now: Moment, own_outstanding: u64, own_engines: u32) -> f64 {
        let last = self.others.back().filter(|report| now.since(report.at) <= MEAN_TTL);
        last.map_or_else(
            || mean(own_outstanding, own_engines),
            |r| mean(r.outstanding + own_outstanding, r.engines + own_engines),
        )
    }

    /// The most that an engine may carry.
    #[must_use]
    pub fn bound(&self, now: Moment, multiple: unit::Multiple, own_outstanding: u64, own_engines: u32) -> u32 {
        multiple.bound(self.get(now, own_outstanding, own_engines))
    }
}

#[allow(clippy::cast_precision_loss)]
fn mean(outstanding: u64, engines: u32) -> f64 {
    if engines == 0 {
        return 0.0;
    }
    outstanding as f64 / f64::from(engines)
}
