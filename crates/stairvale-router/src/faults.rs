//! Injected network cuts between availability zones, for tests on one machine; only effective with the feature
//! `faults`.

use std::collections::HashSet;

use arc_swap::ArcSwap;
use stairvale_types::id;

/// The network cuts of one router.
#[derive(Clone, Debug, Default, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Cut {
    /// The availability zones whose routers and upstreams can't be reached.
    pub zones: HashSet<id::Zone>,
    /// Whether the platform can't be reached.
    pub platform: bool,
}

/// The network cuts in force.
#[derive(Debug, Default)]
pub struct Cuts {
    cut: ArcSwap<Cut>,
}

impl Cuts {
    /// Whether tests can set cuts in this build.
    pub const ENABLED: bool = cfg!(feature = "faults");

    /// Whether an availability zone is cut off.
    #[inline]
    #[must_use]
    pub fn is_zone_cut(&self, zone: &id::Zone) -> bool {
        Self::ENABLED && self.cut.load().zones.contains(zone)
    }

    /// Whether the platform is cut off.
    #[inline]
    #[must_use]
    pub fn is_platform_cut(&self) -> bool {
        Self::ENABLED && self.cut.load().platform
    }

    /// Replaces the cuts; without the feature `faults` this has no effect.
    pub fn set(&self, cut: Cut) {
        if Self::ENABLED {
            self.cut.store(cut.into());
        }
    }
}
