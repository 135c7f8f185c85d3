//! How many members may be given new work, kept as they change: the bound of each decision follows from it.

use std::collections::BTreeMap;

use stairvale_types::id;

use crate::Member;

/// The counts, over all and in each availability zone.
#[derive(Debug, Default)]
pub(super) struct Usable {
    all: usize,
    zones: BTreeMap<id::Zone, usize>,
}

impl Usable {
    /// Over all zones.
    pub(super) fn all(&self) -> usize {
        self.all
    }

    /// The zones that have members, or had some.
    pub(super) fn zones(&self) -> impl Iterator<Item = &id::Zone> {
        self.zones.keys()
    }

    /// In some zones.
    pub(super) fn within(&self, mut is: impl FnMut(&id::Zone) -> bool) -> usize {
        self.zones.iter().filter(|(zone, _)| is(zone)).map(|(_, count)| count).sum()
    }

    /// Counts a member, if it may be given new work.
    pub(super) fn add(&mut self, member: &Member) {
        let count = usize::from(member.usable);
        self.all += count;
        *self.zones.entry(member.zone.clone()).or_default() += count;
    }

    /// Counts a member no longer, before it changes or leaves.
    pub(super) fn remove(&mut self, member: &Member) {
        if member.usable {
            self.all -= 1;
            if let Some(count) = self.zones.get_mut(&member.zone) {
                *count -= 1;
            }
        }
    }
}
