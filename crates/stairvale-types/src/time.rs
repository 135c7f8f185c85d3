//! Time as the pure machines see it: handed in, never read.

use std::{fmt, ops, time::Duration};

use serde::{Deserialize, Serialize};

/// A point on the process's monotonic clock, in microseconds since it started.
///
/// Two processes' moments are never compared.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Moment(pub u64);

impl Moment {
    /// The process's start.
    pub const ZERO: Self = Self(0);

    /// A moment `millis` milliseconds after the start.
    #[inline]
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Time passed since `earlier`; zero if that is later.
    #[inline]
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Whole milliseconds since the start.
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
