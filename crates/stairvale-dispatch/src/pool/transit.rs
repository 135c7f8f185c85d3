//! Places whose request is on its way to the upstream, or whose answer is on its way back.
//!
//! The home counts a place from the grant to the word that the request has ended. For part of that time the upstream doesn't
//! run it yet, or no longer. Between availability zones and on small VMs that is a fourth of a short request's time, for
//! which a place stands empty while others wait. So a plain upstream may be given as many more as are on their way in the
//! mean. Engines have a bound of their own.

use std::time::Duration;

use super::{Pool, WEIGHT};
use crate::Member;

/// What may be on its way, as a share of what an upstream runs: more would be a queue at the upstream, where nobody can take
/// a turn before another.
const MOST: f64 = 0.5;
/// The least time that a request is believed to take, in ms.
const LEAST_TIME: f64 = 1.0;

impl Pool {
    /// Requests that an upstream may be given at once.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(super) fn places(&self, member: &Member) -> u32 {
        if self.rules.engine.is_some() {
            return member.slots;
        }
        // The way between the entry and the upstream isn't seen here: it is taken to be as long as that to the entry.
        let away = self.transit * 2.0;
        let share = (away / (self.time - self.transit).max(LEAST_TIME)).clamp(0.0, MOST);
        member.slots + (f64::from(member.slots) * share) as u32
    }

    /// How long a place is taken by one request, in ms.
    pub(super) fn hold_time(&self) -> f64 {
        self.time + self.transit
    }

    /// A place was held for a time, and its request's answer took a part of it.
    pub(super) fn learn_transit(&mut self, held: Duration, took: Duration) {
        let transit = held.saturating_sub(took).as_secs_f64() * 1e3;
        // A word that came late says little of the others.
        self.transit += (transit.min(self.time) - self.transit) * WEIGHT;
    }

    /// An upstream said that it is full, though it runs no more than it may by what is known here.
    pub(super) fn doubt_transit(&mut self) {
        self.transit /= 2.0;
    }
}
