//! Cuts between availability zones, for tests on one machine; compiled in with the feature `faults` only.

use std::collections::HashSet;

use arc_swap::ArcSwap;
use stairvale_types::id;

/// What this router is cut off from.
#[derive(Clone, Debug, Default, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Cut {
    /// Availability zones, with their routers and upstreams.
    pub zones: HashSet<id::Zone>,
    /// The platform.
    pub platform: bool,
}

/// The cuts in force.
#[derive(Debug, Default)]
pub struct Cuts {
    cut: ArcSwap<Cut>,
}

impl Cuts {
    /// Whether tests can make cuts in this build.
    pub const ENABLED: bool = cfg!(feature = "faults");

    /// Whether an availability zone is cut off.
    #[inline]
    #[must_use]
    pub fn zone(&self, zone: &id::Zone) -> bool {
        Self::ENABLED && self.cut.load().zones.contains(zone)
    }

    /// Whether the platform is cut off.
    #[inline]
    #[must_use]
    pub fn platform(&self) -> bool {
        Self::ENABLED && self.cut.load().platform
    }

    /// Sets the cuts; without the feature this changes nothing.
    pub fn set(&self, cut: Cut) {
        if Self::ENABLED {
            self.cut.store(cut.into());
        }
    }
}
