//! The number of listed members of each software version, updated as members change.

use std::collections::BTreeMap;

use stairvale_types::id;

use crate::Member;

/// The versions of the members that the store lists. `None` stands for members that state no version.
#[derive(Debug, Default)]
pub(super) struct ListedVersions {
    counts: BTreeMap<Option<id::Version>, usize>,
}

impl ListedVersions {
    /// The versions of at least one listed member.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Option<id::Version>> {
        self.counts.keys()
    }

    /// Counts a member that is listed.
    pub(super) fn add(&mut self, member: &Member) {
        *self.counts.entry(member.version.clone()).or_default() += 1;
    }

    /// Stops counting a member, before it changes or is removed.
    pub(super) fn remove(&mut self, member: &Member) {
        if member.is_gone() {
            return;
        }
        if let Some(count) = self.counts.get_mut(&member.version) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&member.version);
            }
        }
    }
}
