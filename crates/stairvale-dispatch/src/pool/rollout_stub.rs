//! STUB: the names that roll-outs need of a pool, with nothing behind them, until the pool's own part is merged.

use stairvale_rollout::{Facts, Policy, Report, Reservation};
use stairvale_types::Moment;

use super::Pool;
use crate::Answer;

#[derive(Clone, Debug, Default)]
pub(super) struct Stub {
    policy: Option<Policy>,
}

impl Pool {
    /// What versions may be given from now on.
    pub fn set_policy(&mut self, now: Moment, policy: Option<Policy>) -> Vec<Answer> {
        self.rollout.policy = policy;
        self.serve(now)
    }

    /// Requests that may be given to the version on trial, in place of what is left of the last ones.
    pub fn reserve(&mut self, _reservation: Reservation) {}

    /// What was seen since this was asked last.
    pub fn report(&mut self) -> Report {
        Report::default()
    }

    /// What the service's home sees of its upstreams.
    #[must_use]
    pub fn facts(&self, _now: Moment) -> Facts {
        Facts::default()
    }
}
