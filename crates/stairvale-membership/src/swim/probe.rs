//! Probing peers, one each period, by helpers where one doesn't answer, and burying those that don't.

use std::net::SocketAddr;

use rand::seq::{IndexedRandom, SliceRandom};
use stairvale_types::{Moment, id};
use stairvale_wire::{Member, Status, Update, packet::Body};

use super::{BURIAL, Effect, Favour, HEARSAY, MISSED, Peer, Probe, REVIVE_EVERY, Swim, is_live};

impl Swim {
    pub(super) fn start_probe(&mut self, now: Moment) -> Vec<Effect> {
        self.number += 1;
        let number = self.number;
        let mut effects = self.knock(number);
        if self.round.is_empty() {
            self.round = self.live_peers().map(|member| member.router.clone()).collect();
            self.round.shuffle(&mut self.rng);
        }
        let Some(target) = self.round.pop() else {
            return effects;
        };
        let Some(peer) = self.peers.get(&target).filter(|peer| is_live(peer.member.status)) else {
            return effects;
        };
        let to = peer.member.address;
        self.probe = Some(Probe { target, number, sent: now, helped: false });
        effects.push(self.packet(to, Body::Ping { probe: number }));
        effects
    }

    /// Tries addresses that nobody has answered from, and now and then a dead router.
    pub(super) fn knock(&mut self, number: u64) -> Vec<Effect> {
        let known: Vec<_> = self.peers.values().map(|peer| peer.member.address).collect();
        self.seeds.retain(|seed| !known.contains(seed));
        let mut to: Vec<SocketAddr> = Vec::new();
        to.extend(self.seeds.choose(&mut self.rng));
        if number.is_multiple_of(REVIVE_EVERY) {
            let dead = self.peers.values().filter(|peer| peer.member.status == Status::Dead);
            let dead: Vec<_> = dead.map(|peer| peer.member.address).collect();
            to.extend(dead.choose(&mut self.rng));
        }
        to.into_iter().map(|to| self.packet(to, Body::Ping { probe: 0 })).collect()
    }

    pub(super) fn ask_helpers(&mut self, now: Moment) -> Vec<Effect> {
        let timeout = self.settings.timeout;
        let Some(probe) = self.probe.as_mut().filter(|p| !p.helped && now.since(p.sent) >= timeout) else {
            return Vec::new();
        };
        probe.helped = true;
        let Probe { number, target, .. } = probe.clone();
        self.ask_others(number, &target)
    }

    /// Asks a few others to probe a router.
    fn ask_others(&mut self, number: u64, target: &id::Router) -> Vec<Effect> {
        let others: Vec<_> = self.live_peers().filter(|m| m.router != *target).map(|m| m.address).collect();
        let helpers: Vec<_> = others.choose_multiple(&mut self.rng, self.settings.helpers).copied().collect();
        let body = Body::Indirect { probe: number, target: target.clone() };
        helpers.into_iter().map(|to| self.packet(to, body.clone())).collect()
    }

    /// Judges the last probe, and the second one of who left one unanswered before.
    pub(super) fn judge_probe(&mut self, now: Moment) -> Vec<Effect> {
        let mut effects = Vec::new();
        if let Some(target) = self.second.take().map(|probe| probe.target) {
            effects.extend(self.accuse(now, &target));
        }
        let Some(probe) = self.probe.take() else {
            return effects;
        };
        let Some(peer) = self.peers.get_mut(&probe.target).filter(|peer| is_live(peer.member.status)) else {
            return effects;
        };
        peer.missed = peer.missed.max(1);
        if !peer.is_accused() {
            effects.extend(self.probe_again(now, probe.target));
        }
        effects
    }

    /// Probes somebody for the second time, beside whoever is due, and by helpers at once.
    fn probe_again(&mut self, now: Moment, target: id::Router) -> Vec<Effect> {
        let Some(to) = self.peers.get(&target).map(|peer| peer.member.address) else {
            return Vec::new();
        };
        self.number += 1;
        let number = self.number;
        let mut effects = vec![self.packet(to, Body::Ping { probe: number })];
        effects.extend(self.ask_others(number, &target));
        self.second = Some(Probe { target, number, sent: now, helped: true });
        effects
    }

    /// A second probe was left unanswered, too: its target is suspected from now on, unless it was heard of meanwhile.
    fn accuse(&mut self, now: Moment, target: &id::Router) -> Vec<Effect> {
        let Some(peer) = self.peers.get_mut(target).filter(|peer| peer.missed > 0) else {
            return Vec::new();
        };
        peer.missed = MISSED;
        if peer.member.status != Status::Alive {
            return Vec::new();
        }
        let member = Member { status: Status::Suspect, ..peer.member.clone() };
        self.learn(now, Update::Member(member))
    }

    /// Tells those that this router suspects so, again with each probe: one that lives refutes it at once, and not only when
    /// gossip has reached it.
    pub(super) fn tell_accused(&mut self) -> Vec<Effect> {
        let accused = self.peers.values().filter(|peer| peer.is_accused());
        let to: Vec<_> = accused.map(|peer| peer.member.address).collect();
        to.into_iter().map(|to| self.packet(to, Body::Ping { probe: 0 })).collect()
    }

    pub(super) fn acked(&mut self, now: Moment, number: u64, from: SocketAddr, name: &id::Router) -> Vec<Effect> {
        if let Some(index) = self.favours.iter().position(|favour| favour.number == number && number != 0) {
            let favour = self.favours.swap_remove(index);
            return vec![self.packet(favour.asker, Body::Ack { probe: favour.theirs })];
        }
        if let Some(target) = self.probe.as_ref().filter(|probe| probe.number == number).map(|probe| &probe.target) {
            let replaced =
                self.peers.get(target).filter(|peer| &peer.member.router != name && peer.member.address == from);
            // Another router has its address: it is gone.
            if let Some(gone) = replaced.map(|peer| Member { status: Status::Dead, ..peer.member.clone() }) {
                self.probe = None;
                return self.learn(now, Update::Member(gone));
            }
            self.probe = None;
        }
        if let Some(second) = self.second.take_if(|second| second.number == number)
            && let Some(peer) = self.peers.get_mut(&second.target)
        {
            peer.missed = 0;
        }
        // A suspect that answers refutes by its own update, which rides on the same packet.
        Vec::new()
    }

    pub(super) fn favour(&mut self, now: Moment, asker: SocketAddr, theirs: u64, target: &id::Router) -> Vec<Effect> {
        let Some(address) = self.peers.get(target).map(|peer| peer.member.address) else {
            return Vec::new();
        };
        self.number += 1;
        let until = now + self.settings.every;
        self.favours.push(Favour { number: self.number, theirs, asker, until });
        vec![self.packet(address, Body::Ping { probe: self.number })]
    }

    pub(super) fn bury(&mut self, now: Moment) -> Vec<Effect> {
        let suspicion = self.settings.suspicion;
        let patience = |peer: &Peer| if peer.is_accused() { suspicion } else { suspicion * HEARSAY };
        let overdue = |peer: &&Peer| peer.member.status == Status::Suspect && now.since(peer.since) >= patience(peer);
        let overdue: Vec<_> = self.peers.values().filter(overdue).map(|peer| peer.member.clone()).collect();
        let forgotten = |peer: &Peer| peer.member.status >= Status::Leaving && now.since(peer.since) >= BURIAL;
        let before = self.peers.len();
        self.peers.retain(|_, peer| !forgotten(peer));
        self.revision += u64::from(self.peers.len() != before);
        let dead = overdue.into_iter().map(|member| Member { status: Status::Dead, ..member });
        let dead: Vec<_> = dead.collect();
        dead.into_iter().flat_map(|member| self.learn(now, Update::Member(member))).collect()
    }
}
