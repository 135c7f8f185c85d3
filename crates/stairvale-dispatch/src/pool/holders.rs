//! Who holds a shared part, so that a decision needn't look at every engine.
//!
//! An engine that holds all that a prompt shares with others is nearly always the best one, since any other has to copy or
//! read what it lacks. If the best of these costs less than the least that any other can, the others needn't be looked at: the
//! decision is the same, and takes as long with 3,000 engines as with the few that hold the prompt's beginning.

use rapidhash::RapidHashMap;
use stairvale_types::id;

use crate::Member;

/// The members that hold each shared part.
#[derive(Debug, Default)]
pub(super) struct Holders {
    of: RapidHashMap<u64, Vec<id::Upstream>>,
}

impl Holders {
    /// Those that hold a part, in no order.
    pub(super) fn of(&self, part: u64) -> &[id::Upstream] {
        self.of.get(&part).map(Vec::as_slice).unwrap_or_default()
    }

    /// Takes over what has changed at a member since it was asked last.
    pub(super) fn follow(&mut self, member: &mut Member) {
        for (part, held) in member.cache.take_changes() {
            if held {
                self.of.entry(part).or_default().push(member.id.clone());
            } else if let Some(holders) = self.of.get_mut(&part) {
                holders.retain(|holder| *holder != member.id);
                if holders.is_empty() {
                    self.of.remove(&part);
                }
            }
        }
    }
}
