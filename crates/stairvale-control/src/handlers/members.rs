//! Membership of routers, the list of VMs, and the exchange of upstreams' status reports.

use std::time::Duration;

use stairvale_config::Generation;
use stairvale_membership::swim;
use stairvale_types::id;
use stairvale_wire::{Frame, Vm, packet::Role};

use crate::{Event, Node, Output};

/// Minimum interval between two fetches of the list of VMs from peers that announce a newer revision.
const HINT_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which status digests must differ before status reports are exchanged. A shorter difference is usually due
/// to reports that are still on their way.
const DIGEST_MISMATCH_GRACE: Duration = Duration::from_millis(1_000);
/// Minimum interval between two fetches of all status reports from peers.
const STATUS_FETCH_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of peers' digests that are remembered.
const MAX_DIFFERING_DIGESTS: usize = 64;
/// Name of the per-zone job of sending all status reports to routers that join.
const STATUS_SYNC_JOB: &str = "words";

impl Node {
    pub(crate) fn swim_effects(&mut self, effects: Vec<swim::Effect>) {
        let mut changed = false;
        for effect in effects {
            match effect {
                swim::Effect::Send { to, packet } => self.outputs.push(Output::Datagram { to, packet }),
                swim::Effect::Joined(router) => {
                    changed = true;
                    self.send_statuses_to_joined(&router);
                    self.audit(Event::RouterJoined { router });
                }
                swim::Effect::Died(router) => {
                    changed = true;
                    let answers = self.home.drop_entry(self.now, &router);
                    self.send_answers(answers);
                    self.audit(Event::RouterDied { router });
                }
                swim::Effect::Leaves(router) => {
                    changed = true;
                    self.audit(Event::RouterLeaves { router });
                }
                swim::Effect::Upstream(status) => self.apply_status(&status),
                swim::Effect::Versions { from, generation, vms, words } => {
                    self.observe_versions(&from, generation, vms);
                    self.compare_digests(&from, words);
                }
            }
        }
        if changed {
            self.refresh();
        }
    }

    /// Sends all status reports to a router that joined. Gossip repeats each update only a limited number of times, so
    /// a router that was away would miss some. One router per zone does this: for joiners of its own zone, and for the
    /// routers that do this job in the other zones.
    pub(crate) fn send_statuses_to_joined(&mut self, joined: &id::Router) {
        let here = self.fleet.zone().clone();
        let there = self.fleet.swim.peer(joined).map(|member| member.zone.clone());
        let Some(there) = there else {
            return;
        };
        let sends = self.fleet.zone_owner(STATUS_SYNC_JOB, &here).as_ref() == Some(&self.me);
        let receives = here == there || self.fleet.zone_owner(STATUS_SYNC_JOB, &there).as_ref() == Some(joined);
        if !sends || !receives {
            return;
        }
        self.send_statuses(joined);
    }

    pub(crate) fn send_statuses(&mut self, to: &id::Router) {
        let statuses: Vec<_> =
            self.fleet.upstreams.iter().filter_map(|upstream| upstream.latest_report.clone()).collect();
        if !statuses.is_empty() {
            self.send(to, Frame::Words(statuses));
        }
    }

    /// Compares a peer's digest of all status reports with this router's. Gossip repeats each update only a limited
    /// number of times and may lose it, so a difference that lasts is repaired by exchanging all reports. Peers with
    /// the same digest as this router's show nothing: they may lack the same report.
    pub(crate) fn compare_digests(&mut self, from: &id::Router, theirs: u64) {
        if theirs == self.status_digest {
            return;
        }
        if self.differing_digests.len() >= MAX_DIFFERING_DIGESTS {
            self.differing_digests.clear();
        }
        let since = *self.differing_digests.entry(theirs).or_insert(self.now);
        let recent = self.schedule.statuses_fetched.is_some_and(|at| self.now.since(at) < STATUS_FETCH_INTERVAL);
        if self.now.since(since) >= DIGEST_MISMATCH_GRACE && !recent {
            self.schedule.statuses_fetched = Some(self.now);
            // Either side may have the newer reports: each applies those that it lacks and passes them on by gossip.
            self.send_statuses(from);
            self.send(from, Frame::FetchWords);
        }
    }

    pub(crate) fn observe_versions(&mut self, from: &id::Router, generation: u64, vms: u64) {
        self.peer_generations.insert(from.clone(), generation);
        let effects = self.config.observe_generation(self.now, from, Generation(generation));
        self.config_effects(effects);
        let newer = vms > self.fleet.upstreams.revision();
        if newer && self.now.since(self.schedule.vms_hint_followed) >= HINT_INTERVAL {
            self.schedule.vms_hint_followed = self.now;
            self.send(from, Frame::FetchVms);
        }
    }

    /// Recomputes the homes of all upstreams and takes over or hands over accounts accordingly.
    pub(crate) fn refresh(&mut self) {
        if !self.fleet.refresh() {
            self.outputs.push(Output::FleetChanged);
            return;
        }
        self.move_accounts();
        let effects = self.entry.homes_changed(self.now, &self.fleet);
        self.entry_effects(effects);
        self.outputs.push(Output::FleetChanged);
    }

    pub(crate) fn update_vms(&mut self, revision: u64, vms: &[Vm]) {
        if !self.fleet.upstreams.apply_vm_list(self.now, revision, vms) {
            return;
        }
        let me = self.me.to_string();
        let routers = vms.iter().filter(|vm| vm.role == Role::Router && vm.name != me);
        for router in routers {
            self.fleet.swim.add_seed(router.address);
        }
        self.update_status_digest();
        self.refresh();
        self.announce_versions();
    }

    pub(crate) fn send_vms(&mut self, to: &id::Router) {
        let revision = self.fleet.upstreams.revision();
        if revision == 0 {
            return;
        }
        let vm = |upstream: &stairvale_membership::upstreams::Upstream| Vm {
            name: upstream.name.to_string(),
            role: Role::Upstream,
            zone: upstream.zone.clone(),
            service: Some(upstream.service.clone()),
            address: upstream.address,
            weight: upstream.weight,
            leaving: upstream.leaving,
        };
        let vms = self.fleet.upstreams.iter().filter(|u| u.is_listed()).map(vm).collect();
        self.send(to, Frame::Vms { revision, vms });
    }

    pub(crate) fn announce_versions(&mut self) {
        let generation = self.config.generation().0;
        let revision = self.fleet.upstreams.revision();
        let effects = self.fleet.swim.set_versions(generation, revision);
        self.swim_effects(effects);
    }
}
