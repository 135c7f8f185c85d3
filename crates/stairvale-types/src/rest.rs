//! The pause that an upstream requests when it refuses a request: how long the router should send it nothing more.

use std::time::Duration;

/// The pause requested by the `Retry-After` headers of a refusal.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Rest {
    /// No pause, or one of zero length, was requested.
    #[default]
    NotRequested,
    /// A pause of this length, at most [`Rest::LONGEST`].
    For(Duration),
    /// The headers have no value that can be parsed.
    Invalid,
}

impl Rest {
    /// The longest pause that one response can request; longer requests are cut to this length.
    pub const LONGEST: Duration = Duration::from_secs(3_600);

    /// The length of the pause; `None` if no valid one was requested.
    #[must_use]
    pub fn length(self) -> Option<Duration> {
        match self {
            Self::For(length) => Some(length),
            Self::NotRequested | Self::Invalid => None,
        }
    }

    /// Parses the values of the header: seconds, which may have a fraction. The longest of several values counts, so
    /// that all of them are respected. Dates are not supported, since a router's time of day may be wrong.
    pub fn read<'a>(values: impl Iterator<Item = &'a str>) -> Self {
        let mut values = values.peekable();
        if values.peek().is_none() {
            return Self::NotRequested;
        }
        let seconds = values.filter_map(|value| value.trim().parse::<f64>().ok());
        match seconds.filter(|seconds| seconds.is_finite() && *seconds >= 0.0).reduce(f64::max) {
            None => Self::Invalid,
            Some(0.0) => Self::NotRequested,
            Some(longest) => Self::For(Duration::from_secs_f64(longest.min(Self::LONGEST.as_secs_f64()))),
        }
    }
}
