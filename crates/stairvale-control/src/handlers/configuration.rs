//! Distribution of the configuration, the list of VMs, and dispatch of the store's answers.

use std::time::Duration;

use stairvale_config::{Generation, Manifest};
use stairvale_types::id;
use stairvale_wire::Frame;

use crate::{
    Event, Node, Output, apply, generation,
    io::{Action, Answer, Call, Purpose},
    sweep,
};

/// Interval at which one router of each availability zone fetches the platform's list of VMs.
const VMS_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which a router without a configuration requests the manifest from a peer.
const MANIFEST_INTERVAL: Duration = Duration::from_millis(500);
/// Delay between the end of one watch on the manifest and the start of the next, which keeps the routers from flooding
/// the store with calls during an outage.
const WATCH_DELAY: Duration = Duration::from_millis(200);

impl Node {
    pub(crate) fn tick_config(&mut self) {
        let peer = self.random_peer();
        let effects = self.config.tick(self.now, peer.as_ref());
        self.config_effects(effects);
        let unconfigured = self.config.generation() == Generation(0);
        let due = self.schedule.manifest_requested.is_none_or(|at| self.now.since(at) >= MANIFEST_INTERVAL);
        if unconfigured && due {
            self.schedule.manifest_requested = Some(self.now);
            if let Some(peer) = peer {
                self.send(&peer, Frame::FetchManifest);
            }
        }
        let zone = self.fleet.zone().clone();
        let watches = unconfigured || self.fleet.zone_owner("config", &zone).as_ref() == Some(&self.me);
        if watches && !self.schedule.watching && self.now >= self.schedule.watch_after {
            self.schedule.watching = true;
            let action = Action::Watch { revision: self.schedule.manifest_revision };
            self.call(Purpose::Manifest, apply::MANIFEST_KEY.to_owned(), action);
        }
        self.tick_vms(&zone);
        let sweeps = self.fleet.owner("sweep").as_ref() == Some(&self.me);
        let call = self.sweep.tick(self.now, sweeps);
        self.call_sweep(call);
    }

    /// Makes a store call of the sweep that deletes unused chunks.
    fn call_sweep(&mut self, call: Option<sweep::StoreCall>) {
        let (key, action) = match call {
            None => return,
            Some(sweep::StoreCall::ReadChunk(chunk)) => (apply::chunk_key(chunk), Action::Read),
            Some(sweep::StoreCall::ReadManifest) => (apply::MANIFEST_KEY.to_owned(), Action::Read),
            Some(sweep::StoreCall::Delete(chunk, revision)) => (apply::chunk_key(chunk), Action::Delete { revision }),
        };
        self.call(Purpose::Sweep, key, action);
    }

    pub(crate) fn tick_vms(&mut self, zone: &id::Zone) {
        let due = self.schedule.vms_fetched.is_none_or(|at| self.now.since(at) >= VMS_INTERVAL);
        let fetches =
            self.fleet.upstreams.revision() == 0 || self.fleet.zone_owner("vms", zone).as_ref() == Some(&self.me);
        if due && fetches {
            self.schedule.vms_fetched = Some(self.now);
            self.outputs.push(Output::FetchVms);
        }
    }

    pub(crate) fn accepted(&mut self, manifest: Manifest, chunks: Vec<String>) {
        let effects = self.config.offer(self.now, None, manifest);
        let without_reads = effects.into_iter().filter(|effect| !matches!(effect, generation::Effect::ReadChunk(_)));
        self.config_effects(without_reads.collect());
        let effects = self.config.add_chunks(chunks);
        self.config_effects(effects);
    }

    pub(crate) fn config_effects(&mut self, effects: Vec<generation::Effect>) {
        for effect in effects {
            match effect {
                generation::Effect::FetchManifest(peer) => self.send(&peer, Frame::FetchManifest),
                generation::Effect::FetchChunks(peer, wanted) => self.send(&peer, Frame::FetchChunks(wanted)),
                generation::Effect::ReadChunk(digest) => {
                    self.call(Purpose::Chunk(digest), apply::chunk_key(digest), Action::Read);
                }
                generation::Effect::InForce(generation, document) => {
                    if let Some(manifest) = self.config.manifest() {
                        self.sweep.in_force(self.now, manifest);
                        self.fleet.evacuated = manifest.evacuated.keys().cloned().collect();
                    }
                    self.fleet.document = document.clone();
                    self.fleet.refresh();
                    self.move_accounts();
                    self.outputs.push(Output::InForce { generation, document });
                    self.announce_versions();
                }
                generation::Effect::Audit(event) => self.audit(event),
            }
        }
    }

    pub(crate) fn random_peer(&mut self) -> Option<id::Router> {
        let random = usize::try_from(self.random() >> 1).unwrap_or(0);
        let peers: Vec<_> = self.fleet.swim.live().map(|m| &m.router).filter(|router| **router != self.me).collect();
        if peers.is_empty() {
            return None;
        }
        Some(peers[random % peers.len()].clone())
    }

    pub(crate) fn call(&mut self, purpose: Purpose, key: String, action: Action) {
        self.outputs.push(Output::Store(Call { purpose, key, action }));
    }

    pub(crate) fn store_answered(&mut self, purpose: &Purpose, answer: Answer) {
        match purpose {
            Purpose::Manifest => {
                self.schedule.watching = false;
                self.schedule.watch_after = self.now + WATCH_DELAY;
                if let Answer::Value(Some((text, revision))) = answer {
                    self.schedule.manifest_revision = revision;
                    self.read_manifest(&text);
                }
            }
            Purpose::Chunk(_) => {
                if let Answer::Value(Some((text, _))) = answer {
                    let effects = self.config.add_chunks(vec![text]);
                    self.config_effects(effects);
                }
            }
            Purpose::Claims(number) => self.claims_answer(*number, answer),
            Purpose::Segment(number, id) => self.segment_answer(*number, id, answer),
            Purpose::Sweep => {
                let call = self.sweep.answer(self.now, &answer);
                self.call_sweep(call);
            }
            Purpose::Orders => {
                let holds = self.orders.answer(self.now, &answer);
                if let Some(holds) = holds {
                    let token = self.orders.fencing_token(self.now).unwrap_or(0);
                    self.audit(Event::OrderHolder { holds, token });
                }
            }
        }
    }

    pub(crate) fn read_manifest(&mut self, text: &str) {
        let Ok(manifest) = serde_json::from_str::<Manifest>(text) else {
            return;
        };
        let peer = self.random_peer();
        let effects = self.config.offer(self.now, peer.as_ref(), manifest);
        self.config_effects(effects);
    }

    pub(crate) fn order_answered(&mut self, upstream: &id::Upstream, taken: bool) {
        // An engine refuses an order if it has seen a later holder's token. That holder's orders take precedence, so
        // this router only probes the engine again.
        if !taken {
            self.probe(upstream);
        }
    }
}
