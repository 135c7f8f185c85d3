//! Frames from peers.

use stairvale_permit::{mean::Sum, rules::Answer as HomeAnswer};
use stairvale_types::id;
use stairvale_wire::{Ask, Frame, Verdict};

use crate::{Node, Output, node::TICK, orders::Loaded};

impl Node {
    pub(crate) fn frame(&mut self, from: &id::Router, frame: Frame) {
        match frame {
            Frame::Hello { .. } => {}
            Frame::Ask(ask) => self.ask(from, ask),
            Frame::Forget { upstream, attempt } => {
                let answers = self.home.forget(self.now, from, &upstream, attempt);
                self.answers(answers);
            }
            Frame::Answer { upstream, attempt, verdict } => {
                if let Verdict::Granted { outstanding, .. } = &verdict {
                    self.fleet.saw(&upstream, *outstanding);
                }
                let effects = self.entry.answer(self.now, &self.fleet, from, &upstream, attempt, verdict);
                self.entry_effects(effects);
            }
            Frame::Release { upstream, attempts } => {
                let answers = self.home.release(self.now, from, &upstream, &attempts);
                self.answers(answers);
            }
            Frame::Renew { held } => {
                let answers = self.home.renew(self.now, from, &held);
                self.answers(answers);
            }
            Frame::Recount => {
                let effects = self.entry.recount(self.now, from);
                self.entry_effects(effects);
            }
            Frame::Moved { chat, first, to } => self.home.moved(self.now, chat, &first, &to),
            Frame::Load(load) => self.sums.hear(self.now, from, load),
            Frame::Mean { service, outstanding, engines, waiting, emptiest } => {
                let others = Sum { outstanding, engines, waiting };
                self.hints.insert(service.clone(), emptiest.clone());
                let answers = self.home.mean(self.now, &service, others, emptiest);
                self.answers(answers);
            }
            Frame::Trouble { upstream } => self.trouble(&upstream),
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
                let effects = self.config.take(chunks);
                self.config_effects(effects);
            }
            Frame::FetchVms => self.send_vms(from),
            Frame::Vms { revision, vms } => self.vms(revision, &vms),
            Frame::FetchWords => self.send_words(from),
            Frame::Words(words) => {
                for word in &words {
                    self.hear(word);
                }
            }
            Frame::Claim { key, attempt } => self.keep_claim(from, key, attempt),
            Frame::Claimed { key, attempt, verdict } => self.claimed(key, attempt, verdict),
            Frame::Settled { key, attempt } => {
                self.unsettled.retain(|settled| (settled.key, settled.attempt) != (key, attempt));
            }
            Frame::Loaded { upstream, model, version } => self.mismatched(upstream, Loaded { model, version }),
            Frame::Usage(usages) => self.keep_usage(from, usages),
            Frame::Share { customer, millionths } => self.share(customer, millionths),
            Frame::Noted { attempt } => self.outputs.push(Output::Noted { attempt }),
            Frame::Settle { key, attempt, stored } => self.keep_settled(from, key, attempt, stored),
        }
    }

    pub(crate) fn ask(&mut self, from: &id::Router, ask: Ask) {
        if self.rejoining || self.leaving || !self.home.keeps(&ask.upstream) {
            let verdict = Verdict::NotHome { home: None };
            let answer = HomeAnswer { to: from.clone(), upstream: ask.upstream, attempt: ask.attempt, verdict };
            self.answers(vec![answer]);
            return;
        }
        let answers = self.home.ask(self.now, from, ask);
        self.answers(answers);
    }

    pub(crate) fn trouble(&mut self, upstream: &id::Upstream) {
        let recent = |asked| self.now.since(asked) < TICK;
        let known = self.probing.get(upstream);
        if known.is_some_and(|probing| !probing.pending && !probing.asked.is_some_and(recent)) {
            self.probe(upstream);
        }
    }

    pub(crate) fn peer_unreachable(&mut self, router: &id::Router) {
        self.fleet.swim.doubt(self.now, router);
        let effects = self.entry.unreachable(self.now, &self.fleet, router);
        self.entry_effects(effects);
        let lost = self.claiming.iter().filter(|(_, claiming)| &claiming.keeper == router);
        let lost: Vec<_> = lost.map(|(attempt, claiming)| (*attempt, claiming.key)).collect();
        self.abandon_claims(lost);
    }
}
