//! Upstreams that are cold: just started, or empty again, and able to bear only a few requests a second.
//!
//! What one of them is given must stay below a bound over the whole fleet, whoever decides. So only a service's home gives
//! them anything: as much as its part of the fleet allows, less behind a cut, and nothing at first, since it doesn't know what
//! the home before it gave. Two routers that both believe to be the home stay below the bound together. Who only stands in
//! for a home that doesn't answer uses the warm ones.

use std::time::Duration;

use stairvale_types::{Moment, id};

use super::Care;
use crate::{Member, Pool};

/// What a cold upstream bears, and what it must never be given.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cold {
    /// Requests a second that it bears.
    pub pace: f64,
    /// Requests in any second that must not be exceeded over the whole fleet.
    pub bound: f64,
    /// How long an upstream is cold that has just started or is taken back into use.
    pub time: Duration,
}

/// Grants are counted over this long: what is sent within a second was granted within that second and the time that a home's
/// answer and a new connection may take beside it, 120 ms each.
const WINDOW: Duration = Duration::from_millis(1_250);
/// The part of the bound that one home may use: two that both take themselves for the home stay below it together.
const PART: f64 = 0.4;
/// The part of the bound that any upstream is given in a second while another one has room. It may turn cold at any moment, and
/// says so a heartbeat later. A tighter limit spreads prompts over more
/// engines, which copy them; what that costs wasn't measured apart.
const UNSUSPECTED: f64 = 0.95;
/// What counts for those.
const SECOND: Duration = Duration::from_secs(1);

/// This router's part of what the whole fleet may give to cold upstreams.
#[derive(Clone, Copy, Debug)]
pub(in crate::pool) struct Share {
    part: f64,
    /// Since when it has any.
    since: Moment,
}

impl Share {
    /// That of a router alone in the world.
    pub(in crate::pool) const ALL: Self = Self { part: 1.0, since: Moment::ZERO };
}

impl Pool {
    /// Sets this router's part of what the whole fleet may give to cold upstreams: that of the routers which ask it, if it is
    /// the service's home, and otherwise none.
    pub fn set_share(&mut self, now: Moment, part: f64) {
        let since = if self.share.part > 0.0 { self.share.since } else { now + WINDOW };
        self.share = Share { part: part.clamp(0.0, 1.0), since };
    }

    /// The upstreams of a zone are taken back into use: they may have turned cold meanwhile.
    pub fn take_back(&mut self, now: Moment, zone: &id::Zone) {
        let time = self.rules.cold.map_or(Duration::ZERO, |cold| cold.time);
        for member in self.members.values_mut().filter(|member| &member.zone == zone) {
            member.presume_cold(now + time);
        }
    }

    /// Whether a member can be given one more request without overdoing it.
    pub(in crate::pool) fn bears(&self, now: Moment, member: &Member, care: Care) -> bool {
        let fits = |window, most: f64| most >= 1.0 && member.was_given_at_most(whole(most) - 1, now, window);
        match (member.is_cold(now), self.rules.cold, care) {
            (true, Some(cold), _) => {
                now >= self.share.since && fits(WINDOW, self.share.part * cold.pace.min(cold.bound * PART))
            }
            (false, Some(cold), Care::Full) => fits(SECOND, cold.bound * UNSUSPECTED),
            (true, None, Care::Full) => false,
            (true, None, Care::Known) | (false, Some(_), Care::Known) | (false, None, _) => true,
        }
    }
}

/// The whole requests in a number of them.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(requests: f64) -> usize {
    requests.max(0.0) as usize
}
