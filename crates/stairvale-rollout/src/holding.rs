//! How long something has held.

use std::time::Duration;

use stairvale_types::Moment;

/// Since when something has held without a break.
#[derive(Clone, Copy, Debug, Default)]
pub struct Holding(Option<Moment>);

impl Holding {
    /// Whether it holds now.
    pub fn note(&mut self, now: Moment, holds: bool) {
        self.0 = if holds { self.0.or(Some(now)) } else { None };
    }

    /// Whether it has held for so long.
    #[must_use]
    pub fn is_for(self, now: Moment, span: Duration) -> bool {
        self.0.is_some_and(|since| now.since(since) >= span)
    }
}
