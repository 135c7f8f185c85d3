//! Which upstreams can be reached, as far as the home can tell.

use std::time::Duration;

use stairvale_types::{Moment, id};

use crate::{Member, Pool};

/// A zone one of whose upstreams answered this lately isn't behind a cut, whatever its routers do: several times the pause
/// between two answers of a zone that is in use.
const LIT: Duration = Duration::from_millis(500);

/// What can be reached at one moment.
pub(in crate::pool) struct Reach<'a> {
    now: Moment,
    /// Zones behind a cut.
    cut: Vec<&'a id::Zone>,
    /// Whether there is nothing on this side of it.
    beyond_only: bool,
}

impl Reach<'_> {
    /// Whether a member may be given whatever comes: it serves by its version, and it can be reached.
    pub(in crate::pool) fn has(&self, member: &Member) -> bool {
        member.serves() && self.reaches(member)
    }

    /// Whether work would reach a member. Behind a cut there may be upstreams that can be reached after all; where nothing
    /// else is left they are tried, now and then: what finds them silent would rather have been refused at once.
    pub(in crate::pool) fn reaches(&self, member: &Member) -> bool {
        let beyond = self.cut.contains(&&member.zone);
        let worth_trying = || self.beyond_only && (!member.health.is_silent() || member.health.is_open(self.now));
        member.usable && (!beyond || worth_trying())
    }

    /// Whether a member may be given work and is on this side of any cut.
    pub(super) fn is_near(&self, member: &Member) -> bool {
        member.usable && !self.cut.contains(&&member.zone)
    }

    /// Whether nothing is behind a cut.
    pub(in crate::pool) fn is_whole(&self) -> bool {
        self.cut.is_empty()
    }

    /// Whether all members of a zone that may be given new work are reached; `None` if that depends on each of them.
    pub(in crate::pool) fn reaches_zone(&self, zone: &id::Zone) -> Option<bool> {
        let beyond = self.cut.contains(&zone);
        if beyond && self.beyond_only { None } else { Some(!beyond) }
    }

    /// Whether an engine can be copied from. One that is told to copy from an engine that says nothing waits in vain, and
    /// reads all of it after that. Nor is one asked whose version is on trial or gets nothing any more: the former may be bad,
    /// and the latter stops.
    pub(in crate::pool) fn can_copy(&self, member: &Member) -> bool {
        member.serves() && !self.cut.contains(&&member.zone) && !member.health.is_silent()
    }
}

impl Pool {
    /// What can be reached now.
    pub(in crate::pool) fn reach(&self, now: Moment) -> Reach<'_> {
        let cut: Vec<_> = self.dark.iter().filter(|zone| self.is_cut(now, zone)).collect();
        let near = |member: &Member| member.usable && member.serves() && !cut.contains(&&member.zone);
        let beyond_only = !self.members.values().any(near);
        Reach { now, cut, beyond_only }
    }

    /// Whether a zone none of whose routers is heard of is behind a cut: its routers may have been killed, and its upstreams
    /// go on.
    fn is_cut(&self, now: Moment, zone: &id::Zone) -> bool {
        let answers = self.answered.get(zone).is_some_and(|at| now.since(*at) < LIT);
        let silent = |member: &Member| &member.zone == zone && member.health.is_silent();
        !answers && self.members.values().any(silent)
    }
}
