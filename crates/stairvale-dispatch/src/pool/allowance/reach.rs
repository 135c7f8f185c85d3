//! The upstreams that are reachable, as far as the home can tell.

use std::time::Duration;

use stairvale_types::{Moment, id};

use crate::{Member, Pool};

/// A zone is not treated as partitioned if one of its upstreams answered within this time, even if its routers don't
/// respond. It is several times the interval between two answers from a zone that is in use.
const RECENT_ANSWER: Duration = Duration::from_millis(500);

/// The upstreams that are reachable at one moment.
pub(in crate::pool) struct Reach<'a> {
    now: Moment,
    /// Zones that are partitioned from this router.
    partitioned: Vec<&'a id::Zone>,
    /// Whether all usable upstreams are in partitioned zones.
    only_partitioned: bool,
}

impl Reach<'_> {
    /// Whether a member may be given any request: its version serves, and it is reachable.
    pub(in crate::pool) fn may_use(&self, member: &Member) -> bool {
        member.serves() && self.reaches(member)
    }

    /// Whether a request would reach a member. In a partitioned zone some upstreams may be reachable after all. They
    /// are tried now and then if no others are left, but unresponsive ones only when their health allows it: a request
    /// that is sent to an unresponsive upstream fails later than one that is refused at once.
    pub(in crate::pool) fn reaches(&self, member: &Member) -> bool {
        let partitioned = self.partitioned.contains(&&member.zone);
        let worth_trying =
            || self.only_partitioned && (!member.health.is_unresponsive() || member.health.is_open(self.now));
        member.usable && (!partitioned || worth_trying())
    }

    /// Whether a member is usable and not in a partitioned zone.
    pub(super) fn is_near(&self, member: &Member) -> bool {
        member.usable && !self.partitioned.contains(&&member.zone)
    }

    /// Whether no zone is partitioned.
    pub(in crate::pool) fn all_reachable(&self) -> bool {
        self.partitioned.is_empty()
    }

    /// Whether all usable members of a zone are reachable; `None` if that depends on the member.
    pub(in crate::pool) fn reaches_zone(&self, zone: &id::Zone) -> Option<bool> {
        let partitioned = self.partitioned.contains(&zone);
        if partitioned && self.only_partitioned { None } else { Some(!partitioned) }
    }

    /// Whether an engine can be the source of a copy. An engine that copies from an unresponsive one waits for a
    /// time-out and prefills all parts after that. Engines whose version is on trial or gets no requests any more
    /// aren't sources either: the former may be faulty, and the latter are about to stop.
    pub(in crate::pool) fn can_copy(&self, member: &Member) -> bool {
        member.serves() && !self.partitioned.contains(&&member.zone) && !member.health.is_unresponsive()
    }
}

impl Pool {
    /// Determines which upstreams are reachable now.
    pub(in crate::pool) fn reach(&self, now: Moment) -> Reach<'_> {
        let partitioned: Vec<_> =
            self.unresponsive_zones.iter().filter(|zone| self.is_partitioned(now, zone)).collect();
        let near = |member: &Member| member.usable && member.serves() && !partitioned.contains(&&member.zone);
        let only_partitioned = !self.members.values().any(near);
        Reach { now, partitioned, only_partitioned }
    }

    /// Whether a zone none of whose routers responds is partitioned. Its routers may have crashed while its upstreams
    /// still run.
    fn is_partitioned(&self, now: Moment, zone: &id::Zone) -> bool {
        let answers = self.last_answers.get(zone).is_some_and(|at| now.since(*at) < RECENT_ANSWER);
        let silent = |member: &Member| &member.zone == zone && member.health.is_unresponsive();
        !answers && self.members.values().any(silent)
    }
}
