//! The number of members that accept new work, updated as members change. The load bound of each decision follows from
//! it.

use std::collections::BTreeMap;

use stairvale_types::id;

use crate::Member;

/// The number of usable members, in total and per availability zone.
#[derive(Debug, Default)]
pub(super) struct Usable {
    all: usize,
    zones: BTreeMap<id::Zone, usize>,
}

impl Usable {
    /// Returns the number over all zones.
    pub(super) fn all(&self) -> usize {
        self.all
    }

    /// Iterates over the zones that have members, or had some.
    pub(super) fn zones(&self) -> impl Iterator<Item = &id::Zone> {
        self.zones.keys()
    }

    /// Returns the number in the zones that match a condition.
    pub(super) fn in_zones(&self, mut matches: impl FnMut(&id::Zone) -> bool) -> usize {
        self.zones.iter().filter(|(zone, _)| matches(zone)).map(|(_, count)| count).sum()
    }

    /// Counts a member if it is usable.
    pub(super) fn add(&mut self, member: &Member) {
        let count = usize::from(member.usable);
        self.all += count;
        *self.zones.entry(member.zone.clone()).or_default() += count;
    }

    /// Stops counting a member, before it changes or is removed.
    pub(super) fn remove(&mut self, member: &Member) {
        if member.usable {
            self.all -= 1;
            if let Some(count) = self.zones.get_mut(&member.zone) {
                *count -= 1;
            }
        }
    }
}
