//! Points in time for the state machines that do no I/O: they get the time as an argument and never read a clock.

use std::{fmt, ops, time::Duration};

use serde::{Deserialize, Serialize};

/// A point on the process's monotonic clock, in microseconds since it started.
///
/// Moments of different processes can't be compared.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Moment(pub u64);

impl Moment {
    /// The start of the process.
    pub const ZERO: Self = Self(0);

    /// The moment `millis` milliseconds after the start of the process.
    #[inline]
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// The time elapsed since `earlier`; zero if `earlier` is the later one.
    #[inline]
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Whole milliseconds since the start of the process.
    #[inline]
    #[must_use]
    pub const fn millis(self) -> u64 {
        self.0 / 1_000
    }
}

impl ops::Add<Duration> for Moment {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl fmt::Display for Moment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
