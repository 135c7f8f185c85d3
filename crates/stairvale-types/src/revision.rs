//! Revisions, which order the changes of a store that may be restored from a copy.

use std::fmt;

/// Bits of the change number within an epoch, enough for twelve days at a million changes a second, or for 34 years at
/// a thousand.
const NUMBER_BITS: u32 = 40;

/// The number that the store assigned to a change, and the epoch in which it was assigned.
///
/// A store that is restored from a copy assigns the same numbers again, to other changes, and begins a new epoch.
/// Epochs are therefore compared first, as in ZooKeeper's transaction ids. A revision is sent and stored as a single
/// number, its [`u64::from`]. For a store that reports no epoch, which counts as epoch 0, this is the store's own
/// number.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Revision(u64);

impl Revision {
    /// The highest epoch that a revision can hold.
    pub const LAST_EPOCH: u64 = u64::MAX >> NUMBER_BITS;
    /// The highest change number that a revision can hold.
    pub const LAST_NUMBER: u64 = (1 << NUMBER_BITS) - 1;
    /// The position before all changes, as sent by a router that supports epochs.
    pub const BEFORE_ALL: Self = Self(1 << NUMBER_BITS);

    /// The revision of a change; `None` if `epoch` exceeds [`Revision::LAST_EPOCH`] or `number` exceeds
    /// [`Revision::LAST_NUMBER`].
    #[must_use]
    pub fn new(epoch: u64, number: u64) -> Option<Self> {
        (epoch <= Self::LAST_EPOCH && number <= Self::LAST_NUMBER).then_some(Self(epoch << NUMBER_BITS | number))
    }

    /// The epoch in which the number was assigned; 0 if the store reports no epoch.
    #[must_use]
    pub fn epoch(self) -> u64 {
        self.0 >> NUMBER_BITS
    }

    /// The store's number of the change; 0 before all changes of the epoch.
    #[must_use]
    pub fn number(self) -> u64 {
        self.0 & Self::LAST_NUMBER
    }
}

impl From<u64> for Revision {
    fn from(revision: u64) -> Self {
        Self(revision)
    }
}

impl From<Revision> for u64 {
    fn from(revision: Revision) -> Self {
        revision.0
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch(), self.number())
    }
}
