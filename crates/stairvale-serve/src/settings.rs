//! What a process is told at its start.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use error_stack::Report;
use serde::Deserialize;
use stairvale_dispatch::budget::Budget;
use stairvale_types::id;

/// Why settings can't be used.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Fault {
    /// Not the YAML that is expected; says where.
    #[error("{0}")]
    Syntax(String),
    /// A number is out of its range.
    #[error("{0}: {1}")]
    Range(&'static str, &'static str),
}

/// A process's settings. Unknown fields are passed over, since newer ones may come with a newer platform.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// The router's name.
    pub router: id::Router,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether it is ready.
    pub ready: SocketAddr,
    /// Where peers connect, by TCP and UDP.
    pub peers: SocketAddr,
    /// Where metrics are told, if anywhere.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Addresses of peers to begin with; they may be old.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Where the store is.
    pub store: SocketAddr,
    /// The VM's share of a processor, in cores. The strongest routers are homes.
    #[serde(default = "one")]
    pub cores: f64,
    /// The region that each availability zone lies in; needed where routes or customers are kept to some regions.
    #[serde(default)]
    pub zones: Option<BTreeMap<id::Zone, id::Region>>,
    /// What must hold.
    #[serde(default)]
    pub bounds: Bounds,
}

fn one() -> f64 {
    1.0
}

/// What must hold, in the units of the field's name.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// A key that was taken away counts for this long at most, in ms.
    pub revoke_ms: u64,
    /// Whether that holds without exception, also for a router that is cut off.
    pub strict_revoke: bool,
    /// A configuration is in force everywhere after this many ms.
    pub configuration_ms: u64,
    /// An upstream that leaves gets no new work after this many ms.
    pub leave_ms: u64,
    /// A process that is told to stop is killed after this many seconds.
    pub grace_s: f64,
    /// Retries for each request, at most.
    pub retry_ratio: f64,
    /// Retries that are free in each window, over the whole fleet.
    pub retry_free: f64,
    /// The window's length in seconds.
    pub retry_window_s: f64,
    /// No upstream runs more than this multiple of its service's mean, and [`Bounds::load_slack`]; 0 for no such bound.
    pub load_multiple: f64,
    /// Requests beyond the multiple.
    pub load_slack: f64,
    /// The multiple of the pace that a cold upstream bears which it must never be given in a second...
    pub cold_excess: f64,
    /// ... and the requests beyond that.
    pub cold_slack: f64,
    /// Nothing new goes to the upstreams of an evacuated zone after this many ms.
    pub evacuation_ms: u64,
    /// The share of a service's requests since an order that a version which turns out bad may get...
    pub exposure_share: f64,
    /// ... and the requests beyond that.
    pub exposure_slack: f64,
    /// Nothing goes to a bad version later than this many ms after its 50th bad answer.
    pub rollback_ms: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            revoke_ms: 5_000,
            strict_revoke: true,
            configuration_ms: 2_000,
            leave_ms: 2_000,
            grace_s: 8.0,
            retry_ratio: 0.1,
            retry_free: 10.0,
            retry_window_s: 10.0,
            load_multiple: 2.0,
            load_slack: 3.0,
            cold_excess: 1.0,
            cold_slack: 0.0,
            evacuation_ms: 5_000,
            exposure_share: 0.1,
            exposure_slack: 0.0,
            rollback_ms: 5_000,
        }
    }
}

impl Settings {
    /// Reads settings.
    ///
    /// # Errors
    /// A [`Fault`] that names the field and what was expected.
    pub fn parse(text: &str) -> Result<Self, Report<Fault>> {
        let settings: Self = serde_norway::from_str(text).map_err(|error| Fault::Syntax(error.to_string()))?;
        if !settings.cores.is_finite() || settings.cores <= 0.0 {
            return Err(Fault::Range("cores", "a number above 0 is expected").into());
        }
        settings.bounds.check()?;
        Ok(settings)
    }

    /// The zones that lie in one of some regions.
    #[must_use]
    pub fn zones_of(&self, regions: &[id::Region]) -> BTreeSet<id::Zone> {
        let all = self.zones.iter().flatten();
        all.filter(|(_, region)| regions.contains(region)).map(|(zone, _)| zone.clone()).collect()
    }

    /// The VM's share of a processor, in hundredths of a core.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn strength(&self) -> u32 {
        (self.cores * 100.0).ceil() as u32
    }
}

/// The share of the retry budget that is used: what is on its way isn't counted yet.
const USED: f64 = 0.8;

impl Bounds {
    fn check(&self) -> Result<(), Report<Fault>> {
        let positive = [("bounds.grace_s", self.grace_s), ("bounds.retry_window_s", self.retry_window_s)];
        for (name, value) in positive {
            if !value.is_finite() || value <= 0.0 {
                return Err(Fault::Range(name, "a number of seconds above 0 is expected").into());
            }
        }
        let natural = [
            ("bounds.retry_ratio", self.retry_ratio),
            ("bounds.retry_free", self.retry_free),
            ("bounds.load_multiple", self.load_multiple),
            ("bounds.load_slack", self.load_slack),
            ("bounds.cold_excess", self.cold_excess),
            ("bounds.cold_slack", self.cold_slack),
            ("bounds.exposure_slack", self.exposure_slack),
        ];
        for (name, value) in natural {
            if !value.is_finite() || value < 0.0 {
                return Err(Fault::Range(name, "a number of 0 or more is expected").into());
            }
        }
        if !(0.0..=1.0).contains(&self.exposure_share) {
            return Err(Fault::Range("bounds.exposure_share", "a share from 0 to 1 is expected").into());
        }
        if self.rollback_ms == 0 {
            return Err(Fault::Range("bounds.rollback_ms", "a number of ms above 0 is expected").into());
        }
        Ok(())
    }

    /// What must hold while a service moves to another version.
    #[must_use]
    pub fn rollout(&self) -> stairvale_rollout::Bounds {
        stairvale_rollout::Bounds {
            share: self.exposure_share,
            slack: self.exposure_slack,
            rollback: Duration::from_millis(self.rollback_ms),
        }
    }

    /// How old a router's copy of the configuration may be while keys count; `None` for any age.
    #[must_use]
    pub fn trust(&self) -> Option<Duration> {
        self.strict_revoke.then(|| Duration::from_millis(self.revoke_ms) * 19 / 20)
    }

    /// How soon a change in the store must be known here.
    #[must_use]
    pub fn notice(&self) -> Duration {
        Duration::from_millis(self.configuration_ms.min(self.leave_ms).min(self.evacuation_ms))
    }

    /// How long a watch of the store waits: each answer says that nothing newer was there when it was asked for, so the
    /// reader's own copy is up to twice as old when the next answer comes.
    #[must_use]
    pub fn watch(&self) -> Duration {
        self.notice() / 5
    }

    /// How long the reader lets changes come together before it asks for the next ones: a release or a start of many upstreams
    /// changes an entry every few ms, and each answer costs a call.
    #[must_use]
    pub fn gather(&self) -> Duration {
        self.notice() / 20
    }

    /// A zone's watcher whose copy may be older than this reads the store itself: more than twice [`Self::watch`] and the time
    /// between two questions to the fleet's reader, so in calm times it needn't, and less than [`Self::stale`], so that the zone's other
    /// routers needn't either.
    #[must_use]
    pub fn late(&self) -> Duration {
        self.notice() * 11 / 20
    }

    /// A copy that may be older than this is no longer left to others: this router reads the store itself.
    #[must_use]
    pub fn stale(&self) -> Duration {
        self.notice() * 7 / 10
    }

    /// Requests that a cold upstream which bears `pace` a second may be given in any second, over the whole fleet.
    #[must_use]
    pub fn cold(&self, pace: f64) -> f64 {
        pace * self.cold_excess + self.cold_slack
    }

    /// What the fleet may send beyond first tries.
    #[must_use]
    pub fn budget(&self) -> Budget {
        let window = Duration::from_secs_f64(self.retry_window_s);
        Budget { ratio: self.retry_ratio * USED, free: self.retry_free * USED, window }
    }
}
