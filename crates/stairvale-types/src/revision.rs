//! What orders the changes of a store that may be restored from a copy.

use std::fmt;

/// Bits of the number within an epoch: at a million changes a second they last for twelve days, at a thousand for 34 years.
const NUMBER_BITS: u32 = 40;

/// The store's number of a change, and the epoch that it was given out in.
///
/// A store that is restored from a copy gives out the same numbers again, for other changes, and begins a new epoch. So epochs are
/// compared first, as in ZooKeeper's transaction ids. A revision travels and is kept as one number, [`u64::from`] it: of a store
/// that tells no epoch, which is epoch 0, that is the store's own.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Revision(u64);

impl Revision {
    /// The latest epoch that there can be.
    pub const LAST_EPOCH: u64 = u64::MAX >> NUMBER_BITS;
    /// The largest number within an epoch.
    pub const LAST_NUMBER: u64 = (1 << NUMBER_BITS) - 1;
    /// Before all changes, as told by a router that understands epochs.
    pub const BEFORE_ALL: Self = Self(1 << NUMBER_BITS);

    /// The revision of a change; `None` if the epoch or the number is larger than there can be.
    #[must_use]
    pub fn new(epoch: u64, number: u64) -> Option<Self> {
        (epoch <= Self::LAST_EPOCH && number <= Self::LAST_NUMBER).then_some(Self(epoch << NUMBER_BITS | number))
    }

    /// The epoch that the number was given out in; 0 of a store that tells none.
    #[must_use]
    pub fn epoch(self) -> u64 {
        self.0 >> NUMBER_BITS
    }

    /// The store's number, 0 before all changes of the epoch.
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
