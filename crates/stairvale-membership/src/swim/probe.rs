//! Probes: one peer each period, with indirect probes by other routers if it doesn't answer, and the removal of peers
//! that stay unresponsive.

use std::net::SocketAddr;

use rand::seq::{IndexedRandom, SliceRandom};
use stairvale_types::{Moment, id};
use stairvale_wire::{Member, Status, Update, packet::Body};

use super::{
    DEAD_RETENTION, Effect, ForwardedProbe, GOSSIPED_SUSPICION_FACTOR, MISSED_PROBES_TO_SUSPECT, PROBES_PER_DEAD_PING,
    Peer, Probe, Swim, is_live,
};

impl Swim {
    pub(super) fn start_probe(&mut self, now: Moment) -> Vec<Effect> {
        self.probe_number += 1;
        let number = self.probe_number;
        let mut effects = self.ping_seed_and_dead(number);
        if self.probe_round.is_empty() {
            self.probe_round = self.live_peers().map(|member| member.router.clone()).collect();
            self.probe_round.shuffle(&mut self.rng);
        }
        let Some(target) = self.probe_round.pop() else {
            return effects;
        };
        let Some(peer) = self.peers.get(&target).filter(|peer| is_live(peer.member.status)) else {
            return effects;
        };
        let to = peer.member.address;
        self.probe = Some(Probe { target, number, sent: now, indirect_requested: false });
        effects.push(self.send(to, Body::Ping { probe: number }));
        effects
    }

    /// Pings a seed at whose address no peer is known, and periodically a dead router.
    pub(super) fn ping_seed_and_dead(&mut self, number: u64) -> Vec<Effect> {
        let known: Vec<_> = self.peers.values().map(|peer| peer.member.address).collect();
        self.seeds.retain(|seed| !known.contains(seed));
        let mut to: Vec<SocketAddr> = Vec::new();
        to.extend(self.seeds.choose(&mut self.rng));
        if number.is_multiple_of(PROBES_PER_DEAD_PING) {
            let dead = self.peers.values().filter(|peer| peer.member.status == Status::Dead);
            let dead: Vec<_> = dead.map(|peer| peer.member.address).collect();
            to.extend(dead.choose(&mut self.rng));
        }
        to.into_iter().map(|to| self.send(to, Body::Ping { probe: 0 })).collect()
    }

    pub(super) fn request_indirect_probes(&mut self, now: Moment) -> Vec<Effect> {
        let timeout = self.settings.ack_timeout;
        let Some(probe) = self.probe.as_mut().filter(|p| !p.indirect_requested && now.since(p.sent) >= timeout) else {
            return Vec::new();
        };
        probe.indirect_requested = true;
        let Probe { number, target, .. } = probe.clone();
        self.send_indirect_requests(number, &target)
    }

    /// Requests a few other routers to probe a peer.
    fn send_indirect_requests(&mut self, number: u64, target: &id::Router) -> Vec<Effect> {
        let others: Vec<_> =
            self.live_peers().filter(|member| member.router != *target).map(|member| member.address).collect();
        let helpers: Vec<_> = others.choose_multiple(&mut self.rng, self.settings.indirect_probes).copied().collect();
        let body = Body::Indirect { probe: number, target: target.clone() };
        helpers.into_iter().map(|to| self.send(to, body.clone())).collect()
    }

    /// Evaluates the last probe, and the second one of a peer that left its first one unanswered.
    pub(super) fn evaluate_probes(&mut self, now: Moment) -> Vec<Effect> {
        let mut effects = Vec::new();
        if let Some(target) = self.second_probe.take().map(|probe| probe.target) {
            effects.extend(self.suspect(now, &target));
        }
        let Some(probe) = self.probe.take() else {
            return effects;
        };
        let Some(peer) = self.peers.get_mut(&probe.target).filter(|peer| is_live(peer.member.status)) else {
            return effects;
        };
        peer.missed_probes = peer.missed_probes.max(1);
        if !peer.is_suspected_directly() {
            effects.extend(self.probe_again(now, probe.target));
        }
        effects
    }

    /// Probes a peer for the second time, in addition to the peer that is due, and requests indirect probes at once.
    fn probe_again(&mut self, now: Moment, target: id::Router) -> Vec<Effect> {
        let Some(to) = self.peers.get(&target).map(|peer| peer.member.address) else {
            return Vec::new();
        };
        self.probe_number += 1;
        let number = self.probe_number;
        let mut effects = vec![self.send(to, Body::Ping { probe: number })];
        effects.extend(self.send_indirect_requests(number, &target));
        self.second_probe = Some(Probe { target, number, sent: now, indirect_requested: true });
        effects
    }

    /// Suspects a peer that left its second probe unanswered, too, unless a packet from it was received meanwhile.
    fn suspect(&mut self, now: Moment, target: &id::Router) -> Vec<Effect> {
        let Some(peer) = self.peers.get_mut(target).filter(|peer| peer.missed_probes > 0) else {
            return Vec::new();
        };
        peer.missed_probes = MISSED_PROBES_TO_SUSPECT;
        if peer.member.status != Status::Alive {
            return Vec::new();
        }
        let member = Member { status: Status::Suspect, ..peer.member.clone() };
        self.apply_update(now, Update::Member(member))
    }

    /// Pings the peers that this router suspects because of its own probes, again with each probe: such a ping carries
    /// the suspicion, so that a live peer refutes it at once, and not only when gossip has reached it.
    pub(super) fn ping_suspects(&mut self) -> Vec<Effect> {
        let suspects = self.peers.values().filter(|peer| peer.is_suspected_directly());
        let to: Vec<_> = suspects.map(|peer| peer.member.address).collect();
        to.into_iter().map(|to| self.send(to, Body::Ping { probe: 0 })).collect()
    }

    pub(super) fn receive_ack(&mut self, now: Moment, number: u64, from: SocketAddr, name: &id::Router) -> Vec<Effect> {
        if let Some(index) = self.forwarded_probes.iter().position(|probe| probe.number == number && number != 0) {
            let forwarded = self.forwarded_probes.swap_remove(index);
            return vec![self.send(forwarded.requester, Body::Ack { probe: forwarded.requester_number })];
        }
        if let Some(target) = self.probe.as_ref().filter(|probe| probe.number == number).map(|probe| &probe.target) {
            let replaced =
                self.peers.get(target).filter(|peer| &peer.member.router != name && peer.member.address == from);
            // Another router answers at the target's address, so the target is gone.
            if let Some(gone) = replaced.map(|peer| Member { status: Status::Dead, ..peer.member.clone() }) {
                self.probe = None;
                return self.apply_update(now, Update::Member(gone));
            }
            self.probe = None;
        }
        if let Some(probe) = self.second_probe.take_if(|probe| probe.number == number)
            && let Some(peer) = self.peers.get_mut(&probe.target)
        {
            peer.missed_probes = 0;
        }
        // A suspect that answers refutes the suspicion by its own entry, which the same packet carries.
        Vec::new()
    }

    pub(super) fn forward_probe(
        &mut self,
        now: Moment,
        requester: SocketAddr,
        requester_number: u64,
        target: &id::Router,
    ) -> Vec<Effect> {
        let Some(address) = self.peers.get(target).map(|peer| peer.member.address) else {
            return Vec::new();
        };
        self.probe_number += 1;
        let deadline = now + self.settings.probe_interval;
        self.forwarded_probes.push(ForwardedProbe { number: self.probe_number, requester_number, requester, deadline });
        vec![self.send(address, Body::Ping { probe: self.probe_number })]
    }

    pub(super) fn expire_peers(&mut self, now: Moment) -> Vec<Effect> {
        let suspicion = self.settings.suspicion_timeout;
        let timeout =
            |peer: &Peer| if peer.is_suspected_directly() { suspicion } else { suspicion * GOSSIPED_SUSPICION_FACTOR };
        let overdue =
            |peer: &&Peer| peer.member.status == Status::Suspect && now.since(peer.status_since) >= timeout(peer);
        let overdue: Vec<_> = self.peers.values().filter(overdue).map(|peer| peer.member.clone()).collect();
        let is_obsolete =
            |peer: &Peer| peer.member.status >= Status::Leaving && now.since(peer.status_since) >= DEAD_RETENTION;
        let old_len = self.peers.len();
        self.peers.retain(|_, peer| !is_obsolete(peer));
        self.revision += u64::from(self.peers.len() != old_len);
        let dead = overdue.into_iter().map(|member| Member { status: Status::Dead, ..member });
        let dead: Vec<_> = dead.collect();
        dead.into_iter().flat_map(|member| self.apply_update(now, Update::Member(member))).collect()
    }
}
