//! Routers and the list of VMs.

use std::time::Duration;

use stairvale_config::Generation;
use stairvale_membership::swim;
use stairvale_types::id;
use stairvale_wire::{Frame, Vm, packet::Role};

use crate::{Event, Node, Output};

/// A peer's hint of a newer list is followed this often at the most.
const HINT_EVERY: Duration = Duration::from_millis(100);

/// Words that differ for so long are not just on their way.
const WORDS_PATIENCE: Duration = Duration::from_millis(1_000);
/// All words are asked for this often at the most.
const WORDS_EVERY: Duration = Duration::from_secs(2);
/// The job of telling joiners what is known of upstreams.
const WORDS: &str = "words";

impl Node {
    pub(crate) fn swim_effects(&mut self, effects: Vec<swim::Effect>) {
        let mut changed = false;
        for effect in effects {
            match effect {
                swim::Effect::Send { to, packet } => self.outputs.push(Output::Datagram { to, packet }),
                swim::Effect::Joined(router) => {
                    changed = true;
                    self.share_words(&router);
                    self.audit(Event::RouterJoined { router });
                }
                swim::Effect::Died(router) => {
                    changed = true;
                    let answers = self.home.drop_entry(self.now, &router);
                    self.answers(answers);
                    self.audit(Event::RouterDied { router });
                }
                swim::Effect::Leaves(router) => {
                    changed = true;
                    self.audit(Event::RouterLeaves { router });
                }
                swim::Effect::Upstream(word) => self.hear(&word),
                swim::Effect::Versions { from, generation, vms, words } => {
                    self.versions(&from, generation, vms);
                    self.compare_words(&from, words);
                }
            }
        }
        if changed {
            self.refresh();
        }
    }

    /// News is passed on only so often, so who was away gets all of it. One router a zone sees to that: to joiners of its
    /// own zone, and to the other zones' one.
    pub(crate) fn share_words(&mut self, joined: &id::Router) {
        let here = self.fleet.zone().clone();
        let there = self.fleet.swim.peer(joined).map(|member| member.zone.clone());
        let Some(there) = there else {
            return;
        };
        let tells = self.fleet.holder(WORDS, &here).as_ref() == Some(&self.me);
        let hears = here == there || self.fleet.holder(WORDS, &there).as_ref() == Some(joined);
        if !tells || !hears {
            return;
        }
        self.send_words(joined);
    }

    pub(crate) fn send_words(&mut self, to: &id::Router) {
        let words: Vec<_> = self.fleet.upstreams.iter().filter_map(|upstream| upstream.word.clone()).collect();
        if !words.is_empty() {
            self.send(to, Frame::Words(words));
        }
    }

    /// News is passed on only so often and may get lost, so routers compare digests of what they know. A difference that
    /// lasts is made up for by asking for everything.
    pub(crate) fn compare_words(&mut self, from: &id::Router, theirs: u64) {
        if theirs == self.words {
            self.schedule.words_differ = None;
            return;
        }
        let since = *self.schedule.words_differ.get_or_insert(self.now);
        let recent = self.schedule.words_fetched.is_some_and(|at| self.now.since(at) < WORDS_EVERY);
        if self.now.since(since) >= WORDS_PATIENCE && !recent {
            self.schedule.words_fetched = Some(self.now);
            // Whichever of the two knows more, the other learns it, and passes it on as news.
            self.send_words(from);
            self.send(from, Frame::FetchWords);
        }
    }

    pub(crate) fn versions(&mut self, from: &id::Router, generation: u64, vms: u64) {
        self.generations.insert(from.clone(), generation);
        let effects = self.config.hear(self.now, from, Generation(generation));
        self.config_effects(effects);
        let newer = vms > self.fleet.upstreams.revision();
        if newer && self.now.since(self.schedule.vms_hint) >= HINT_EVERY {
            self.schedule.vms_hint = self.now;
            self.send(from, Frame::FetchVms);
        }
    }

    /// Works out homes anew and moves accounts accordingly.
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

    pub(crate) fn vms(&mut self, revision: u64, vms: &[Vm]) {
        if !self.fleet.upstreams.list(self.now, revision, vms) {
            return;
        }
        let me = self.me.to_string();
        let routers = vms.iter().filter(|vm| vm.role == Role::Router && vm.name != me);
        for router in routers {
            self.fleet.swim.introduce(router.address);
        }
        self.digest_words();
        self.refresh();
        self.tell_versions();
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

    pub(crate) fn tell_versions(&mut self) {
        let generation = self.config.generation().0;
        let revision = self.fleet.upstreams.revision();
        let effects = self.fleet.swim.set_versions(generation, revision);
        self.swim_effects(effects);
    }
}
