//! The duration for which a condition has held.

use std::time::Duration;

use stairvale_types::Moment;

/// The moment since which a condition has held without interruption.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConditionTimer(Option<Moment>);

impl ConditionTimer {
    /// Records whether the condition holds now.
    pub fn update(&mut self, now: Moment, holds: bool) {
        self.0 = if holds { self.0.or(Some(now)) } else { None };
    }

    /// Whether the condition has held for at least this duration.
    #[must_use]
    pub fn has_held_for(self, now: Moment, span: Duration) -> bool {
        self.0.is_some_and(|since| now.since(since) >= span)
    }
}
