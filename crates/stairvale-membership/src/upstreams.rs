//! The recorded state of each upstream, and whether it may be sent work.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use stairvale_types::{Moment, id};
use stairvale_wire::{
    UpstreamReport, Vm,
    packet::{Role, UpstreamState},
};

/// How long this router sends an upstream nothing after a failed connection. The time doubles with each further
/// failure.
const COOL_DOWN: Duration = Duration::from_millis(500);
/// The longest cool-down that doubling leads to.
const MAX_COOL_DOWN: Duration = Duration::from_secs(8);
/// Flap penalty above which an upstream is suppressed. Each return from unreachable adds one.
const FLAP_SUPPRESS: f64 = 3.0;
/// Flap penalty below which a suppressed upstream is used again.
const FLAP_REUSE: f64 = 1.0;
/// Time in which the flap penalty halves.
const FLAP_HALF_LIFE: Duration = Duration::from_secs(20);
/// How long an upstream that the platform no longer lists keeps its rank, because it may only be flapping.
pub const UNLISTED_RETENTION: Duration = Duration::from_secs(120);

/// One upstream as recorded by this router.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// The upstream's name.
    pub name: id::Upstream,
    /// The upstream's service.
    pub service: id::Service,
    /// The upstream's availability zone.
    pub zone: id::Zone,
    /// The address at which the upstream is reached.
    pub address: SocketAddr,
    /// The upstream's capacity relative to others.
    pub weight: u32,
    /// The latest report of the upstream or of its prober.
    pub latest_report: Option<UpstreamReport>,
    /// Whether the platform is removing the upstream.
    pub leaving: bool,
    unlisted_since: Option<Moment>,
    cool_until: Moment,
    cool_down: Duration,
    backoff_until: Moment,
    flap_penalty: f64,
    flap_penalty_at: Moment,
    suppressed: bool,
}

impl Upstream {
    fn new(vm: &Vm, service: id::Service, name: id::Upstream) -> Self {
        Self {
            name,
            service,
            zone: vm.zone.clone(),
            address: vm.address,
            weight: vm.weight.max(1),
            latest_report: None,
            leaving: vm.leaving,
            unlisted_since: None,
            cool_until: Moment::ZERO,
            cool_down: Duration::ZERO,
            backoff_until: Moment::ZERO,
            flap_penalty: 0.0,
            flap_penalty_at: Moment::ZERO,
            suppressed: false,
        }
    }

    /// Whether the upstream may be sent new work. The evidence ranks in this order: its own reports, then this router's
    /// connections, then flap damping; the platform's lagging list can only withdraw an upstream.
    #[must_use]
    pub fn usable(&self, now: Moment) -> bool {
        let serving = self.latest_report.as_ref().is_some_and(|report| report.state == UpstreamState::Serving);
        serving && !self.leaving && self.unlisted_since.is_none() && !self.suppressed && now >= self.cool_until
    }

    /// Whether the upstream wants no requests from this router now, as it stated when it rejected one of them. Other
    /// routers may send it work.
    #[must_use]
    pub fn is_in_backoff(&self, now: Moment) -> bool {
        now < self.backoff_until
    }

    /// Whether the platform's latest list contains the upstream.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        self.unlisted_since.is_none()
    }

    fn decay_flap_penalty(&mut self, now: Moment) {
        let half_lives = now.since(self.flap_penalty_at).as_secs_f64() / FLAP_HALF_LIFE.as_secs_f64();
        self.flap_penalty *= (-half_lives).exp2();
        self.flap_penalty_at = now;
        if self.flap_penalty < FLAP_REUSE {
            self.suppressed = false;
        }
    }
}

/// All upstreams on record.
#[derive(Debug, Default)]
pub struct Upstreams {
    upstreams: BTreeMap<id::Upstream, Upstream>,
    revision: u64,
    /// Reports that were received before the list contained their upstream.
    early_reports: BTreeMap<id::Upstream, UpstreamReport>,
}

/// Maximum number of early reports that are kept.
const MAX_EARLY_REPORTS: usize = 4_096;

impl Upstreams {
    /// A record without any upstreams yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    // ------------------------------------------------------------------------
    // Queries.

    /// The record of one upstream.
    #[must_use]
    pub fn get(&self, name: &id::Upstream) -> Option<&Upstream> {
        self.upstreams.get(name)
    }

    /// All upstreams that keep their rank, usable or not.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// A digest of all reports: two routers with the same digest have the same reports.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let reports = self.upstreams.values().filter_map(|upstream| upstream.latest_report.as_ref());
        reports.map(report_digest).fold(0, u64::wrapping_add)
    }

    /// The revision of the platform's list that this record is based on.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    // ------------------------------------------------------------------------
    // Changes.

    /// Applies the platform's list of VMs. Returns `false` if it isn't newer than the last one, so that nothing
    /// changes.
    pub fn apply_vm_list(&mut self, now: Moment, revision: u64, vms: &[Vm]) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.revision = revision;
        for upstream in self.upstreams.values_mut() {
            upstream.unlisted_since.get_or_insert(now);
        }
        for vm in vms.iter().filter(|vm| vm.role == Role::Upstream) {
            self.apply_vm(vm);
        }
        true
    }

    fn apply_vm(&mut self, vm: &Vm) {
        let Ok(name) = vm.name.parse::<id::Upstream>() else {
            return;
        };
        let Some(service) = vm.service.clone() else {
            return;
        };
        let early = self.early_reports.remove(&name);
        let new = || Upstream { latest_report: early, ..Upstream::new(vm, service, name.clone()) };
        let upstream = self.upstreams.entry(name.clone()).or_insert_with(new);
        upstream.unlisted_since = None;
        upstream.leaving = vm.leaving;
        upstream.weight = vm.weight.max(1);
        upstream.address = vm.address;
        upstream.zone = vm.zone.clone();
    }

    /// Removes upstreams that the platform hasn't listed for long, and returns their names.
    pub fn remove_unlisted(&mut self, now: Moment) -> Vec<id::Upstream> {
        let is_due =
            |upstream: &Upstream| upstream.unlisted_since.is_some_and(|since| now.since(since) >= UNLISTED_RETENTION);
        let names: Vec<_> =
            self.upstreams.values().filter(|upstream| is_due(upstream)).map(|upstream| upstream.name.clone()).collect();
        for name in &names {
            self.upstreams.remove(name);
        }
        names
    }

    /// Applies a report that was received from the upstream or through peers. Only a later one changes anything;
    /// returns whether it did.
    pub fn record_report(&mut self, now: Moment, report: &UpstreamReport) -> bool {
        let Some(upstream) = self.upstreams.get_mut(&report.upstream) else {
            self.store_early(report);
            return false;
        };
        let old = upstream.latest_report.as_ref();
        if old.is_some_and(|old| report.order() <= old.order()) {
            return false;
        }
        let returned =
            old.is_some_and(|old| old.state == UpstreamState::Unreachable) && report.state == UpstreamState::Serving;
        upstream.latest_report = Some(report.clone());
        if returned {
            upstream.decay_flap_penalty(now);
            upstream.flap_penalty += 1.0;
            upstream.suppressed |= upstream.flap_penalty > FLAP_SUPPRESS;
            upstream.cool_until = now;
            upstream.cool_down = Duration::ZERO;
        }
        true
    }

    fn store_early(&mut self, report: &UpstreamReport) {
        let later = self.early_reports.get(&report.upstream).is_none_or(|old| report.order() > old.order());
        if later && self.early_reports.len() < MAX_EARLY_REPORTS {
            self.early_reports.insert(report.upstream.clone(), report.clone());
        }
    }

    /// The prober's next report, after the upstream answered with its own counters.
    #[must_use]
    pub fn reachable_report(
        &self,
        name: &id::Upstream,
        boot: u64,
        change: u64,
        state: UpstreamState,
    ) -> Option<UpstreamReport> {
        let old = self.upstreams.get(name)?.latest_report.as_ref();
        let same = old.filter(|old| (old.boot, old.change) == (boot, change));
        let reach = same.map_or(0, |old| old.reach + u64::from(old.state == UpstreamState::Unreachable));
        Some(UpstreamReport { upstream: name.clone(), boot, change, reach, state })
    }

    /// The prober's next report, after the upstream didn't answer; `None` if there is no report yet or it already
    /// states that.
    #[must_use]
    pub fn unreachable_report(&self, name: &id::Upstream) -> Option<UpstreamReport> {
        let old = self.upstreams.get(name)?.latest_report.as_ref()?;
        if old.state == UpstreamState::Unreachable {
            return None;
        }
        Some(UpstreamReport { reach: old.reach + 1, state: UpstreamState::Unreachable, ..old.clone() })
    }

    /// Records that a connection from this router failed, so that the upstream is sent nothing for a while.
    pub fn record_connection_failure(&mut self, now: Moment, name: &id::Upstream) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            let cool_down = (upstream.cool_down * 2).clamp(COOL_DOWN, MAX_COOL_DOWN);
            upstream.cool_down = cool_down;
            upstream.cool_until = now + cool_down;
        }
    }

    /// Records that an upstream rejected a request of this router and wants no more of them for the given duration. A
    /// shorter duration doesn't end a longer one in force.
    pub fn set_backoff(&mut self, now: Moment, name: &id::Upstream, duration: Duration) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.backoff_until = upstream.backoff_until.max(now + duration);
        }
    }

    /// Records that a request from this router was answered.
    pub fn succeeded(&mut self, name: &id::Upstream) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.cool_down = Duration::ZERO;
        }
    }

    /// Lets flap penalties decay.
    pub fn tick(&mut self, now: Moment) {
        for upstream in self.upstreams.values_mut().filter(|upstream| upstream.flap_penalty > 0.0) {
            upstream.decay_flap_penalty(now);
        }
    }
}

/// The part of the digest that one report makes up.
fn report_digest(report: &UpstreamReport) -> u64 {
    /// The fraction of the golden ratio, which spreads small differences over all bits as in Fibonacci hashing.
    const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
    let (boot, change, reach) = report.order();
    let mixed = |hash: u64, value: u64| (hash ^ value).wrapping_mul(GOLDEN_RATIO).rotate_left(23);
    [boot, change, reach].into_iter().fold(report.upstream.hash64(), mixed)
}
