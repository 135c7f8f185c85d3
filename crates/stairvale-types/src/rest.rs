//! How long an upstream that turned a request away wants nothing more from the router that sent it.

use std::time::Duration;

/// What a refusal says of that, in its `Retry-After` headers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Rest {
    /// Nothing.
    #[default]
    Unasked,
    /// For this long, at most [`Rest::LONGEST`].
    For(Duration),
    /// Something that can't be understood.
    Unreadable,
}

impl Rest {
    /// The longest rest for one answer; what asks for more gets this.
    pub const LONGEST: Duration = Duration::from_secs(3_600);

    /// Reads the values of the header: seconds, also with a fraction. Of several the longest counts, so that each of them is
    /// kept to. A date can't be kept to by routers whose time of day may be wrong.
    pub fn read<'a>(values: impl Iterator<Item = &'a str>) -> Self {
        let mut values = values.peekable();
        if values.peek().is_none() {
            return Self::Unasked;
        }
        let seconds = values.filter_map(|value| value.trim().parse::<f64>().ok());
        match seconds.filter(|seconds| seconds.is_finite() && *seconds >= 0.0).reduce(f64::max) {
            None => Self::Unreadable,
            Some(0.0) => Self::Unasked,
            Some(longest) => Self::For(Duration::from_secs_f64(longest.min(Self::LONGEST.as_secs_f64()))),
        }
    }
}
