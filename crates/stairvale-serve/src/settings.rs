//! The settings with which a process starts.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use error_stack::Report;
use serde::Deserialize;
use stairvale_dispatch::budget::Budget;
use stairvale_memory::machine;
use stairvale_types::id;

/// Why settings are invalid.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Fault {
    /// Not the expected YAML; the message tells where.
    #[error("{0}")]
    Syntax(String),
    /// A value is outside its range.
    #[error("{0}: {1}")]
    Range(&'static str, &'static str),
}

/// A process's settings. Unknown fields are ignored, since they may belong to a newer version of the platform.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// The router's name.
    pub router: id::Router,
    /// The router's availability zone.
    pub zone: id::Zone,
    /// The address on which clients connect.
    pub callers: SocketAddr,
    /// The address on which the load balancer probes whether the router is ready.
    pub ready: SocketAddr,
    /// The address on which peers connect, by TCP and UDP.
    pub peers: SocketAddr,
    /// The address on which metrics are served, if any.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Addresses of peers to contact at the start; they may be outdated.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The address of the store.
    pub store: SocketAddr,
    /// The VM's share of a processor, in cores. The strongest routers become homes.
    #[serde(default = "one")]
    pub cores: f64,
    /// The VM's memory in MB (2^20 bytes), which bounds what the router holds for its clients; by default what the system
    /// shows.
    #[serde(default)]
    pub memory_mb: Option<usize>,
    /// Whether the fleet is started for the first time, so that no earlier process of any router has sent anything.
    #[serde(default)]
    pub first_start: bool,
    /// The local address from which connections to upstreams are opened, if the VM has several; by default the system
    /// chooses.
    #[serde(default)]
    pub upstream_source: Option<IpAddr>,
    /// The region of each availability zone; required if routes or customers are restricted to some regions.
    #[serde(default)]
    pub zones: Option<BTreeMap<id::Zone, id::Region>>,
    /// The bounds that the fleet guarantees.
    #[serde(default)]
    pub bounds: Bounds,
}

fn one() -> f64 {
    1.0
}

/// The bounds that the fleet guarantees. The suffix of a field's name is its unit.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// How long a revoked key may still be accepted, at most, in ms.
    pub revoke_ms: u64,
    /// Whether [`Bounds::revoke_ms`] holds without exception, also for a router that is partitioned from the store and
    /// its peers.
    pub strict_revoke: bool,
    /// A new configuration is in force on all routers after this many ms.
    pub configuration_ms: u64,
    /// An upstream that is leaving gets no new requests after this many ms.
    pub leave_ms: u64,
    /// A process that was asked to stop is killed after this many seconds.
    pub grace_s: f64,
    /// Maximum ratio of retries to requests.
    pub retry_ratio: f64,
    /// Retries that are allowed in each window in addition to the ratio, over the whole fleet.
    pub retry_free: f64,
    /// Length of the retry budget's window, in seconds.
    pub retry_window_s: f64,
    /// An upstream runs at most this multiple of its service's mean load, plus [`Bounds::load_slack`]; 0 for no load
    /// bound.
    pub load_multiple: f64,
    /// Requests that an upstream may run beyond the load multiple.
    pub load_slack: f64,
    /// A cold upstream is never given more requests within a second than this multiple of the rate that it can
    /// sustain, plus [`Bounds::cold_slack`].
    pub cold_excess: f64,
    /// Requests that a cold upstream may be given beyond the multiple.
    pub cold_slack: f64,
    /// The upstreams of an evacuated zone get no new requests after this many ms.
    pub evacuation_ms: u64,
    /// The share of a service's requests since the order of a roll-out that a version which proves to be failing may
    /// get, plus [`Bounds::exposure_slack`].
    pub exposure_share: f64,
    /// Requests that such a version may get beyond the share.
    pub exposure_slack: f64,
    /// A failing version gets no requests later than this many ms after its 50th failed response.
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
    /// Parses settings.
    ///
    /// # Errors
    /// A [`Fault`] that names the field and what was expected.
    pub fn parse(text: &str) -> Result<Self, Report<Fault>> {
        let settings: Self = serde_norway::from_str(text).map_err(|error| Fault::Syntax(error.to_string()))?;
        if !settings.cores.is_finite() || settings.cores <= 0.0 {
            return Err(Fault::Range("cores", "a number above 0 is expected").into());
        }
        if settings.memory_mb == Some(0) {
            return Err(Fault::Range("memory_mb", "a number of MB above 0 is expected").into());
        }
        settings.bounds.check()?;
        Ok(settings)
    }

    /// The bytes that the process may hold for its clients.
    #[must_use]
    pub fn memory_budget(&self) -> usize {
        machine::budget_of(self.memory_mb)
    }

    /// The zones that lie in any of the given regions.
    #[must_use]
    pub fn zones_of(&self, regions: &[id::Region]) -> BTreeSet<id::Zone> {
        let all = self.zones.iter().flatten();
        all.filter(|(_, region)| regions.contains(region)).map(|(zone, _)| zone.clone()).collect()
    }

    /// The VM's share of a processor, in hundredths of a core, rounded up.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn strength(&self) -> u32 {
        (self.cores * 100.0).ceil() as u32
    }
}

/// The share of the retry budget that routers use; the rest covers retries in flight, which are not counted yet.
const BUDGET_SHARE: f64 = 0.8;
/// The share of the ratio of retries that a router uses while it doesn't know what its earlier processes have spent: these
/// may have spent [`BUDGET_SHARE`] within the same window.
const UNCOVERED_BUDGET_SHARE: f64 = 0.1;

impl Bounds {
    fn check(&self) -> Result<(), Report<Fault>> {
        let positive = [("bounds.grace_s", self.grace_s), ("bounds.retry_window_s", self.retry_window_s)];
        for (name, value) in positive {
            if !value.is_finite() || value <= 0.0 {
                return Err(Fault::Range(name, "a number of seconds above 0 is expected").into());
            }
        }
        let non_negative = [
            ("bounds.retry_ratio", self.retry_ratio),
            ("bounds.retry_free", self.retry_free),
            ("bounds.load_multiple", self.load_multiple),
            ("bounds.load_slack", self.load_slack),
            ("bounds.cold_excess", self.cold_excess),
            ("bounds.cold_slack", self.cold_slack),
            ("bounds.exposure_slack", self.exposure_slack),
        ];
        for (name, value) in non_negative {
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

    /// The bounds that apply while a service moves to another version.
    #[must_use]
    pub fn rollout(&self) -> stairvale_rollout::Bounds {
        stairvale_rollout::Bounds {
            share: self.exposure_share,
            slack: self.exposure_slack,
            rollback: Duration::from_millis(self.rollback_ms),
        }
    }

    /// The age of a router's copy of the configuration from which keys are no longer accepted; `None` for no limit.
    #[must_use]
    pub fn key_trust_limit(&self) -> Option<Duration> {
        self.strict_revoke.then(|| Duration::from_millis(self.revoke_ms) * 19 / 20)
    }

    /// How soon this router must observe a change in the store.
    #[must_use]
    pub fn propagation_limit(&self) -> Duration {
        Duration::from_millis(self.configuration_ms.min(self.leave_ms).min(self.evacuation_ms))
    }

    /// How long a long poll of the store waits. Each response confirms that nothing newer existed when the poll was
    /// sent, so the reader's own copy is up to twice this old when the next response arrives.
    #[must_use]
    pub fn watch_timeout(&self) -> Duration {
        self.propagation_limit() / 5
    }

    /// How long the reader waits to batch changes before its next call: a release or a start of many upstreams changes
    /// an entry every few ms, and each response costs a call.
    #[must_use]
    pub fn batch_delay(&self) -> Duration {
        self.propagation_limit() / 20
    }

    /// A zone's watcher whose copy may be older than this reads the store itself. This is more than twice the duration
    /// of a long poll plus the time between two requests to the fleet's reader, so that it isn't needed in steady
    /// operation. It is less than the limit for the zone's other routers, so that they needn't read the store either.
    #[must_use]
    pub fn watcher_max_age(&self) -> Duration {
        self.propagation_limit() * 11 / 20
    }

    /// A router whose copy may be older than this no longer relies on its peers and reads the store itself.
    #[must_use]
    pub fn max_age(&self) -> Duration {
        self.propagation_limit() * 7 / 10
    }

    /// Number of requests that a cold upstream which sustains `pace` requests per second may be given within any
    /// second, over the whole fleet.
    #[must_use]
    pub fn cold_burst(&self, pace: f64) -> f64 {
        pace * self.cold_excess + self.cold_slack
    }

    /// The fleet's budget for retries.
    #[must_use]
    pub fn budget(&self) -> Budget {
        let window = Duration::from_secs_f64(self.retry_window_s);
        Budget { ratio: self.retry_ratio * BUDGET_SHARE, free: self.retry_free * BUDGET_SHARE, window }
    }

    /// The budget of a router that doesn't know what its earlier processes have spent in the last window.
    #[must_use]
    pub fn uncovered_budget(&self) -> Budget {
        Budget { ratio: self.retry_ratio * UNCOVERED_BUDGET_SHARE, free: 0.0, ..self.budget() }
    }
}
