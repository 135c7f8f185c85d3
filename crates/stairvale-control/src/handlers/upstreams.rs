//! Probes of upstreams, and the accounts that are kept here.

use std::time::Duration;

use stairvale_permit::Rules;
use stairvale_types::id;
use stairvale_wire::{Frame, Word, packet::State};

use crate::{Event, Node, Output, io::Report, node::Policy};

/// How often a home probes its upstreams.
const PROBE_EVERY: Duration = Duration::from_millis(400);
/// A probe that isn't answered by then counts as missed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);
/// Missed probes in a row after which an upstream counts as unreachable.
const MISSES: u32 = 2;

fn state_name(state: State) -> &'static str {
    match state {
        State::Serving => "serving",
        State::Draining => "draining",
        State::Unreachable => "unreachable",
    }
}

impl Node {
    pub(crate) fn tick_upstreams(&mut self) {
        self.fleet.upstreams.tick(self.now);
        let forgotten = self.fleet.upstreams.forget(self.now);
        for upstream in &forgotten {
            self.home.forget_upstream(upstream);
        }
        if !forgotten.is_empty() {
            self.digest_words();
            self.refresh();
        }
        let due: Vec<_> = self.probing.iter().filter(|(_, p)| self.is_probe_due(p)).map(|(u, _)| u.clone()).collect();
        for upstream in due {
            self.probe(&upstream);
        }
        let homed: Vec<_> = self.home.upstreams().cloned().collect();
        for upstream in homed {
            self.sync_open(&upstream);
        }
    }

    pub(crate) fn is_probe_due(&self, probing: &crate::node::Probing) -> bool {
        let wait = if probing.pending { PROBE_TIMEOUT } else { PROBE_EVERY };
        probing.asked.is_none_or(|asked| self.now.since(asked) >= wait)
    }

    pub(crate) fn probe(&mut self, upstream: &id::Upstream) {
        let Some(address) = self.fleet.upstream(upstream).map(|u| u.address) else {
            return;
        };
        let probing = self.probing.entry(upstream.clone()).or_default();
        probing.asked = Some(self.now);
        probing.pending = true;
        self.outputs.push(Output::Probe { upstream: upstream.clone(), address });
    }

    /// Works out the digest of all words anew, after any of them changed.
    pub(crate) fn digest_words(&mut self) {
        self.words = self.fleet.upstreams.digest();
        self.fleet.swim.set_words(self.words);
    }

    pub(crate) fn probed(&mut self, upstream: &id::Upstream, report: Option<Report>) {
        let Some(probing) = self.probing.get_mut(upstream) else {
            return;
        };
        probing.pending = false;
        let Some(report) = report else {
            probing.misses += 1;
            let missed = probing.misses >= MISSES;
            let word = self.fleet.upstreams.missed(upstream).filter(|_| missed);
            if let Some(word) = word {
                self.hear(&word);
            }
            return;
        };
        probing.misses = 0;
        probing.load = Some(report.load);
        probing.loaded = report.model;
        let answers = self.home.report(self.now, upstream, report.load);
        self.answers(answers);
        let word = self.fleet.upstreams.reached(upstream, report.boot, report.change, report.state);
        if let Some(word) = word {
            self.hear(&word);
        }
    }

    /// A word of an upstream, from this router's own probe or from a peer; a new one is passed on.
    pub(crate) fn hear(&mut self, word: &Word) {
        let before = self.fleet.upstream(&word.upstream).and_then(|u| u.word.as_ref().map(|word| word.state));
        if !self.fleet.upstreams.hear(self.now, word) {
            return;
        }
        if before != Some(word.state) {
            let from = before.map(|state| state_name(state).to_owned());
            let to = state_name(word.state).to_owned();
            self.audit(Event::UpstreamChanged { upstream: word.upstream.clone(), from, to });
        }
        self.digest_words();
        self.sync_open(&word.upstream);
        let effects = self.fleet.swim.spread(word.clone());
        self.swim_effects(effects);
    }

    /// Takes on the accounts of upstreams whose home is here now, and gives up the others.
    pub(crate) fn move_accounts(&mut self) {
        let mine: Vec<_> =
            self.fleet.homes().filter(|(_, home)| *home == Some(&self.me)).map(|(u, _)| u.clone()).collect();
        let lost: Vec<_> = self.home.upstreams().filter(|upstream| !mine.contains(upstream)).cloned().collect();
        for upstream in lost {
            self.probing.remove(&upstream);
            let answers = self.home.abandon(&upstream);
            self.answers(answers);
        }
        let mut new = false;
        for upstream in mine {
            let Some(rules) = self.rules(&upstream) else {
                continue;
            };
            let load = self.probing.entry(upstream.clone()).or_default().load;
            new |= self.home.adopt(self.now, upstream.clone(), rules, load);
            self.sync_open(&upstream);
        }
        if new {
            self.recount();
        }
    }

    /// Asks every router what it holds here. Renewals come too seldom to settle an account.
    pub(crate) fn recount(&mut self) {
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
        // As the home: what rests for this router may take work from others.
        let usable = self.fleet.takes_work(upstream);
        let answers = self.home.set_open(self.now, upstream, usable);
        self.answers(answers);
    }
}
