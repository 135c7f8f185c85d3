//! Probes of upstreams, their status, and the accounts of the upstreams whose home is this router.

use std::time::Duration;

use stairvale_permit::Rules;
use stairvale_types::id;
use stairvale_wire::{Frame, UpstreamReport, packet::UpstreamState};

use crate::{Event, Node, Output, io::ProbeAnswer, node::Policy};

/// Interval at which a home probes each of its upstreams.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Time after which an upstream whose probe has no outcome yet is probed again.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);
/// Number of consecutive missed probes from which on an upstream counts as unreachable.
const MAX_MISSED_PROBES: u32 = 2;

fn state_name(state: UpstreamState) -> &'static str {
    match state {
        UpstreamState::Serving => "serving",
        UpstreamState::Draining => "draining",
        UpstreamState::Unreachable => "unreachable",
    }
}

impl Node {
    pub(crate) fn tick_upstreams(&mut self) {
        self.fleet.upstreams.tick(self.now);
        let forgotten = self.fleet.upstreams.remove_unlisted(self.now);
        for upstream in &forgotten {
            self.home.forget_upstream(upstream);
        }
        if !forgotten.is_empty() {
            self.update_status_digest();
            self.refresh();
        }
        let due: Vec<_> = self.probes.iter().filter(|(_, p)| self.is_probe_due(p)).map(|(u, _)| u.clone()).collect();
        for upstream in due {
            self.probe(&upstream);
        }
        let homed: Vec<_> = self.home.upstreams().cloned().collect();
        for upstream in homed {
            self.sync_open(&upstream);
        }
    }

    pub(crate) fn is_probe_due(&self, probe: &crate::node::ProbeState) -> bool {
        let interval = if probe.pending { PROBE_TIMEOUT } else { PROBE_INTERVAL };
        probe.sent.is_none_or(|sent| self.now.since(sent) >= interval)
    }

    pub(crate) fn probe(&mut self, upstream: &id::Upstream) {
        let Some(address) = self.fleet.upstream(upstream).map(|u| u.address) else {
            return;
        };
        let probe = self.probes.entry(upstream.clone()).or_default();
        probe.sent = Some(self.now);
        probe.pending = true;
        self.outputs.push(Output::Probe { upstream: upstream.clone(), address });
    }

    /// Recomputes the digest of all status reports after one of them changed.
    pub(crate) fn update_status_digest(&mut self) {
        let digest = self.fleet.upstreams.digest();
        if digest != self.status_digest {
            self.differing_digests.clear();
        }
        self.status_digest = digest;
        self.fleet.swim.set_upstream_digest(self.status_digest);
    }

    pub(crate) fn probed(&mut self, upstream: &id::Upstream, report: Option<ProbeAnswer>) {
        let Some(probe) = self.probes.get_mut(upstream) else {
            return;
        };
        probe.pending = false;
        let Some(report) = report else {
            probe.misses += 1;
            let missed = probe.misses >= MAX_MISSED_PROBES;
            let status = self.fleet.upstreams.unreachable_report(upstream).filter(|_| missed);
            if let Some(status) = status {
                self.apply_status(&status);
            }
            return;
        };
        probe.misses = 0;
        probe.load = Some(report.load);
        probe.loaded = report.model;
        let answers = self.home.report_load(self.now, upstream, report.load);
        self.send_answers(answers);
        let status = self.fleet.upstreams.reachable_report(upstream, report.boot, report.change, report.state);
        if let Some(status) = status {
            self.apply_status(&status);
        }
    }

    /// Applies a status report of an upstream, from this router's own probe or from a peer, and passes a new one on by
    /// gossip.
    pub(crate) fn apply_status(&mut self, status: &UpstreamReport) {
        let before =
            self.fleet.upstream(&status.upstream).and_then(|u| u.latest_report.as_ref().map(|status| status.state));
        if !self.fleet.upstreams.record_report(self.now, status) {
            return;
        }
        if before != Some(status.state) {
            let from = before.map(|state| state_name(state).to_owned());
            let to = state_name(status.state).to_owned();
            self.audit(Event::UpstreamChanged { upstream: status.upstream.clone(), from, to });
        }
        self.update_status_digest();
        self.sync_open(&status.upstream);
        let effects = self.fleet.swim.gossip_report(status.clone());
        self.swim_effects(effects);
    }

    /// Takes over the accounts of upstreams whose home is this router now, and abandons the others.
    pub(crate) fn move_accounts(&mut self) {
        let mine: Vec<_> =
            self.fleet.homes().filter(|(_, home)| *home == Some(&self.me)).map(|(u, _)| u.clone()).collect();
        let lost: Vec<_> = self.home.upstreams().filter(|upstream| !mine.contains(upstream)).cloned().collect();
        for upstream in lost {
            self.probes.remove(&upstream);
            let answers = self.home.abandon(&upstream);
            self.send_answers(answers);
        }
        let mut new = false;
        for upstream in mine {
            let Some(rules) = self.rules(&upstream) else {
                continue;
            };
            let load = self.probes.entry(upstream.clone()).or_default().load;
            new |= self.home.adopt(self.now, upstream.clone(), rules, load);
            self.sync_open(&upstream);
        }
        if new {
            self.request_recounts();
        }
    }

    /// Requests from every router the permits that it holds at this home. Renewals are too infrequent to rebuild an
    /// account in time.
    pub(crate) fn request_recounts(&mut self) {
        let routers: Vec<_> = self.fleet.swim.live().map(|member| member.router.clone()).collect();
        for router in routers {
            self.send(&router, Frame::Recount);
        }
    }

    pub(crate) fn rules(&self, upstream: &id::Upstream) -> Option<Rules> {
        let known = self.fleet.upstream(upstream)?;
        let service = self.fleet.service(&known.service)?;
        let queue = usize::try_from(service.queue).unwrap_or(usize::MAX);
        let rules = Rules::new(known.service.clone()).with_slots(service.slots).with_queue(queue);
        Some(match self.policy {
            Policy::Fleet => rules.with_multiple(service.load_multiple),
            Policy::Random | Policy::LeastLoaded | Policy::Hash => rules,
        })
    }

    pub(crate) fn sync_open(&mut self, upstream: &id::Upstream) {
        // The home's account serves all routers, so back-off that the upstream requested from this router alone doesn't
        // close it.
        let usable = self.fleet.takes_work(upstream);
        let answers = self.home.set_open(self.now, upstream, usable);
        self.send_answers(answers);
    }
}
