//! Limits for cold upstreams: upstreams that have just started, or whose caches are empty again, and that sustain only
//! a few requests per second.
//!
//! The rate of requests to a cold upstream must stay below a bound over the whole fleet, whichever routers send them.
//! So only a service's home grants requests to cold upstreams: as many as its share of the fleet allows, fewer during a
//! network partition, and none at first, since it doesn't know the grants of the home before it. Two routers that both
//! act as the home stay below the bound together. A router that stands in for an unresponsive home uses only warm
//! upstreams.

use std::time::Duration;

use stairvale_types::{Moment, id};

use super::Limits;
use crate::{Member, Pool};

/// The rates that a cold upstream sustains and must not exceed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimits {
    /// Requests per second that a cold upstream sustains.
    pub pace: f64,
    /// Requests in any second that the whole fleet must not exceed.
    pub bound: f64,
    /// How long an upstream is cold after it has started or its zone is back in use.
    pub time: Duration,
}

/// Interval over which grants are counted. A request that is sent within a second was granted within that second or
/// before it by the time that the home's answer and a new connection take, 120 ms each.
const GRANT_WINDOW: Duration = Duration::from_millis(1_250);
/// Share of the bound that one home may use: two routers that both act as the home stay below the bound together.
const HOME_SHARE: f64 = 0.4;
/// Share of the bound that any warm upstream may be given in a second while another one has room. It may turn cold at
/// any moment, and reports that a heartbeat later. A tighter limit spreads prompts over more engines, which have to
/// copy them.
const WARM_SHARE: f64 = 0.95;
/// Interval over which grants to warm upstreams are counted.
const WARM_GRANT_WINDOW: Duration = Duration::from_secs(1);

/// This router's share of the fleet-wide limit for cold upstreams.
#[derive(Clone, Copy, Debug)]
pub(in crate::pool) struct Share {
    fraction: f64,
    /// The time from which on this router may use its share.
    since: Moment,
}

impl Share {
    /// The share of a router that is alone in the fleet.
    pub(in crate::pool) const ALL: Self = Self { fraction: 1.0, since: Moment::ZERO };
}

impl Pool {
    /// Sets this router's share of the fleet-wide limit for cold upstreams: the share of the routers that send it their
    /// requests if it is the service's home, otherwise zero.
    pub fn set_cold_share(&mut self, now: Moment, fraction: f64) {
        let since = if self.share.fraction > 0.0 { self.share.since } else { now + GRANT_WINDOW };
        self.share = Share { fraction: fraction.clamp(0.0, 1.0), since };
    }

    /// Presumes that the upstreams of a zone that is used again are cold, since they may have turned cold meanwhile.
    pub fn presume_zone_cold(&mut self, now: Moment, zone: &id::Zone) {
        let time = self.rules.cold.map_or(Duration::ZERO, |cold| cold.time);
        for member in self.members.values_mut().filter(|member| &member.zone == zone) {
            member.presume_cold(now + time);
        }
    }

    /// Whether a member can be given one more request within its rate limit.
    pub(in crate::pool) fn is_within_rate(&self, now: Moment, member: &Member, limits: Limits) -> bool {
        let fits = |window, most: f64| most >= 1.0 && member.granted_at_most(floor(most) - 1, now, window);
        match (member.is_cold(now), self.rules.cold, limits) {
            (true, Some(cold), _) => {
                now >= self.share.since
                    && fits(GRANT_WINDOW, self.share.fraction * cold.pace.min(cold.bound * HOME_SHARE))
            }
            (false, Some(cold), Limits::Strict) => fits(WARM_GRANT_WINDOW, cold.bound * WARM_SHARE),
            (true, None, Limits::Strict) => false,
            (true, None, Limits::Relaxed) | (false, Some(_), Limits::Relaxed) | (false, None, _) => true,
        }
    }
}

/// Rounds a number of requests down to a whole number.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn floor(requests: f64) -> usize {
    requests.max(0.0) as usize
}
