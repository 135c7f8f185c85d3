//! Whether a version is bad, by what became of its requests beside the old version's.

use stairvale_types::{Moment, id};

use crate::record::Cause;

/// What became of a request, as far as it says something of a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// It was served in about the time that was expected.
    Good,
    /// It was answered with a failure of the upstream's own, broken off, or not answered at all.
    Failed,
    /// It was served, or is still not, several times later than was expected.
    Slow,
}

/// What became of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// Its route.
    pub route: id::Route,
    /// Where it ran.
    pub upstream: id::Upstream,
    /// Whether that is of the version on trial.
    pub is_new: bool,
    /// What became of it.
    pub answer: Answer,
}

/// Compares two versions.
#[derive(Clone, Debug, Default)]
pub struct Judge {}

impl Judge {
    /// A request ended.
    pub fn observe(&mut self, _now: Moment, _observation: &Observation) {}

    /// The route on which the new version is bad, and in which way, if it is.
    #[must_use]
    pub fn verdict(&self, _now: Moment) -> Option<(id::Route, Cause)> {
        None
    }
}
