//! Handling of frames from peers.

use stairvale_permit::{mean::Sum, rules::Answer as HomeAnswer};
use stairvale_types::id;
use stairvale_wire::{Frame, PermitRequest, Verdict};

use crate::{Node, Output, node::TICK, orders::Loaded};

impl Node {
    pub(crate) fn receive_frame(&mut self, from: &id::Router, frame: Frame) {
        match frame {
            Frame::Hello { .. } => {}
            Frame::Ask(ask) => self.permit_requested(from, ask),
            Frame::Forget { upstream, attempt } => {
                let answers = self.home.forget(self.now, from, &upstream, attempt);
                self.send_answers(answers);
            }
            Frame::Answer { upstream, attempt, verdict } => {
                if let Verdict::Granted { outstanding, .. } = &verdict {
                    self.fleet.record_load(&upstream, *outstanding);
                }
                let effects = self.entry.answer(self.now, &self.fleet, from, &upstream, attempt, verdict);
                self.entry_effects(effects);
            }
            Frame::Release { upstream, attempts } => {
                let answers = self.home.release(self.now, from, &upstream, &attempts);
                self.send_answers(answers);
            }
            Frame::Renew { held } => {
                let answers = self.home.renew(self.now, from, &held);
                self.send_answers(answers);
            }
            Frame::Recount => {
                let effects = self.entry.recount(self.now, from);
                self.entry_effects(effects);
            }
            Frame::Moved { chat, first, to } => self.home.record_prefix_move(self.now, chat, &first, &to),
            Frame::Load(load) => self.sums.receive(self.now, from, load),
            Frame::Mean { service, outstanding, engines, waiting, emptiest } => {
                let others = Sum { outstanding, engines, waiting };
                self.emptiest.insert(service.clone(), emptiest.clone());
                let answers = self.home.update_mean(self.now, &service, others, emptiest);
                self.send_answers(answers);
            }
            Frame::Trouble { upstream } => self.probe_suspect(&upstream),
            Frame::Manifest(manifest) => {
                let effects = self.config.offer(self.now, Some(from), *manifest);
                self.config_effects(effects);
            }
            Frame::FetchManifest => {
                if let Some(manifest) = self.config.manifest().cloned() {
                    self.send(from, Frame::Manifest(Box::new(manifest)));
                }
            }
            Frame::FetchChunks(wanted) => {
                let chunks = self.config.find(&wanted);
                self.send(from, Frame::Chunks(chunks));
            }
            Frame::Chunks(chunks) => {
                let effects = self.config.add_chunks(chunks);
                self.config_effects(effects);
            }
            Frame::FetchVms => self.send_vms(from),
            Frame::Vms { revision, vms } => self.update_vms(revision, &vms),
            Frame::FetchWords => self.send_statuses(from),
            Frame::Words(statuses) => {
                for status in &statuses {
                    self.apply_status(status);
                }
            }
            Frame::Claim { key, attempt } => self.record_claim(from, key, attempt),
            Frame::Claimed { key, attempt, verdict } => self.claim_answered(key, attempt, verdict),
            Frame::Settled { key, attempt } => {
                self.unsettled.retain(|settled| (settled.key, settled.attempt) != (key, attempt));
            }
            Frame::Loaded { upstream, model, version } => self.record_mismatch(upstream, Loaded { model, version }),
            Frame::Usage(usages) => self.add_usage(from, usages),
            Frame::Share { customer, millionths } => self.set_share(customer, millionths),
            Frame::Noted { attempt } => self.outputs.push(Output::OutcomeRecorded { attempt }),
            Frame::Settle { key, attempt, stored } => self.record_settlement(from, key, attempt, stored),
        }
    }

    pub(crate) fn permit_requested(&mut self, from: &id::Router, ask: PermitRequest) {
        if self.rejoining || self.leaving || !self.home.owns(&ask.upstream) {
            let verdict = Verdict::NotHome { home: None };
            let answer = HomeAnswer { to: from.clone(), upstream: ask.upstream, attempt: ask.attempt, verdict };
            self.send_answers(vec![answer]);
            return;
        }
        let answers = self.home.request_permit(self.now, from, ask);
        self.send_answers(answers);
    }

    pub(crate) fn probe_suspect(&mut self, upstream: &id::Upstream) {
        let recent = |sent| self.now.since(sent) < TICK;
        let probe = self.probes.get(upstream);
        if probe.is_some_and(|probe| !probe.pending && !probe.sent.is_some_and(recent)) {
            self.probe(upstream);
        }
    }

    pub(crate) fn peer_unreachable(&mut self, router: &id::Router) {
        self.fleet.swim.probe_next(self.now, router);
        let effects = self.entry.home_unreachable(self.now, &self.fleet, router);
        self.entry_effects(effects);
        let lost = self.pending_claims.iter().filter(|(_, pending)| &pending.owner == router);
        let lost: Vec<_> = lost.map(|(attempt, pending)| (*attempt, pending.key)).collect();
        self.abandon_claims(lost);
    }
}
