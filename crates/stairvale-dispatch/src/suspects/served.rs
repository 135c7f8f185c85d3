//! Parts of prompts that were served, as a bounded set.

use rapidhash::RapidHashSet;
use stairvale_types::id;

/// Number of parts after which the older half of the set is dropped: the parts that the prompts of many customers share,
/// and those of some thousand chats.
const HALF_CAPACITY: usize = 4_096;

/// The parts that were served most recently, at least [`HALF_CAPACITY`] of them and at most twice as many.
#[derive(Debug, Default)]
pub(super) struct Served {
    newer: RapidHashSet<id::Fingerprint>,
    older: RapidHashSet<id::Fingerprint>,
}

impl Served {
    pub(super) fn contains(&self, part: id::Fingerprint) -> bool {
        self.newer.contains(&part) || self.older.contains(&part)
    }

    pub(super) fn insert(&mut self, part: id::Fingerprint) {
        if self.newer.len() >= HALF_CAPACITY && !self.newer.contains(&part) {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(part);
    }
}
