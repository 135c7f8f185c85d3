//! Gossip among routers: which updates are accepted, how they are piggybacked, and how this router refutes wrong
//! updates about itself.

use std::net::SocketAddr;

use rand::{Rng, seq::IndexedRandom};
use stairvale_types::{Moment, id};
use stairvale_wire::{Member, Packet, Status, Update, VERSION, codec, packet::Body};

use super::{
    CROSS_ZONE_COPIES, Effect, Peer, QueuedUpdate, REJOIN_DISTRUST_PERIOD, RETRANSMIT_FACTOR, Swim, URGENT_FANOUT,
    is_live, same_subject, supersedes,
};

impl Swim {
    /// Whether a router is recorded as dead, or was until a moment ago: it and this router may have been on the two
    /// sides of a network partition.
    pub(super) fn is_returning(&self, now: Moment, router: &id::Router) -> bool {
        let Some(peer) = self.peers.get(router) else {
            return false;
        };
        let returned_recently =
            peer.returned_at.is_some_and(|returned_at| now.since(returned_at) < REJOIN_DISTRUST_PERIOD);
        peer.member.status == Status::Dead || returned_recently
    }

    /// Whether an update states that a router other than this one is suspect or dead. This router can refute such
    /// updates about itself.
    pub(super) fn is_accusation(&self, update: &Update) -> bool {
        match update {
            Update::Member(member) => {
                member.router != self.me.router && matches!(member.status, Status::Suspect | Status::Dead)
            }
            Update::Upstream(_) => false,
        }
    }

    pub(super) fn apply_update(&mut self, now: Moment, update: Update) -> Vec<Effect> {
        match update {
            Update::Upstream(report) => vec![Effect::Upstream(report)],
            Update::Member(member) if member.router == self.me.router => self.refute(&member),
            Update::Member(member) => self.apply_member(now, member),
        }
    }

    /// Refutes an update about this router if it is wrong, by a higher incarnation number.
    pub(super) fn refute(&mut self, claimed: &Member) -> Vec<Effect> {
        let is_wrong = claimed.status != self.me.status && claimed.incarnation >= self.me.incarnation;
        if !is_wrong {
            return Vec::new();
        }
        self.revision += 1;
        self.me.incarnation = id::Incarnation(claimed.incarnation.0 + 1);
        self.enqueue(Update::Member(self.me.clone()));
        self.notify_some_peers()
    }

    pub(super) fn apply_member(&mut self, now: Moment, member: Member) -> Vec<Effect> {
        let Some(effects) = self.merge_member(now, member.clone()) else {
            return Vec::new();
        };
        self.enqueue(Update::Member(member));
        effects
    }

    /// Merges an update about a router; `None` if it isn't newer than the recorded entry.
    pub(super) fn merge_member(&mut self, now: Moment, member: Member) -> Option<Vec<Effect>> {
        let old = self.peers.get(&member.router).map(|peer| &peer.member);
        if old.is_some_and(|old| !supersedes(&member, old)) {
            return None;
        }
        let old_status = old.map(|old| old.status);
        let (old_returned_at, missed_probes) =
            self.peers.get(&member.router).map_or((None, 0), |peer| (peer.returned_at, peer.missed_probes));
        let is_new_incarnation = old.is_some_and(|old| old.incarnation < member.incarnation);
        let router = member.router.clone();
        let status = member.status;
        let returned_at =
            if old_status == Some(Status::Dead) && status == Status::Alive { Some(now) } else { old_returned_at };
        self.revision += 1;
        // A router that refutes is alive. Otherwise the probes that it left unanswered at this router still count.
        let missed_probes = if status == Status::Alive { 0 } else { missed_probes };
        self.peers.insert(router.clone(), Peer { member, status_since: now, returned_at, missed_probes });
        Some(match status {
            Status::Alive | Status::Suspect if old_status.is_none_or(|old_status| !is_live(old_status)) => {
                vec![Effect::Joined(router)]
            }
            Status::Alive if is_new_incarnation => vec![Effect::Joined(router)],
            Status::Alive | Status::Suspect => Vec::new(),
            Status::Leaving if old_status != Some(Status::Leaving) => vec![Effect::Leaves(router)],
            Status::Dead if old_status != Some(Status::Dead) => vec![Effect::Died(router)],
            Status::Leaving | Status::Dead => Vec::new(),
        })
    }

    pub(super) fn enqueue(&mut self, update: Update) {
        self.gossip_queue.retain(|queued| !same_subject(&queued.update, &update));
        let fleet_size = u32::try_from(self.peers.len() + 2).unwrap_or(u32::MAX);
        let remaining = RETRANSMIT_FACTOR * fleet_size.ilog2().max(1);
        let zone_size = self.live_peers().filter(|member| member.zone == self.me.zone).count() + 1;
        let zone_size = u32::try_from(zone_size).unwrap_or(u32::MAX);
        let zone_total = remaining * CROSS_ZONE_COPIES;
        // In a zone of many routers the fraction of a transmission that is left over is decided by a random draw.
        let has_extra =
            zone_total / zone_size < CROSS_ZONE_COPIES && self.rng.random_range(0..zone_size) < zone_total % zone_size;
        let remaining_cross_zone = (zone_total / zone_size + u32::from(has_extra)).min(remaining);
        self.gossip_queue.push(QueuedUpdate { update, remaining, remaining_cross_zone });
    }

    pub(super) fn notify_some_peers(&mut self) -> Vec<Effect> {
        let addresses: Vec<_> = self.live_peers().map(|member| member.address).collect();
        let notified: Vec<_> = addresses.choose_multiple(&mut self.rng, URGENT_FANOUT).copied().collect();
        notified.into_iter().map(|to| self.send(to, Body::News)).collect()
    }

    /// A packet whose only update is this router's own entry.
    pub(super) fn packet_without_gossip(&self, body: Body) -> Packet {
        Packet {
            version: VERSION,
            from: self.me.router.clone(),
            generation: self.generation,
            vms: self.vms,
            words: self.upstream_digest,
            body,
            updates: vec![Update::Member(self.me.clone())],
        }
    }

    /// A packet with as many updates as fit, the least disseminated first. This router's own entry always stands first.
    pub(super) fn send(&mut self, to: SocketAddr, body: Body) -> Effect {
        self.gossip_queue.sort_by_key(|queued| std::cmp::Reverse(queued.remaining));
        let mut packet = self.packet_without_gossip(body);
        let receiver = self.peers.values().find(|peer| peer.member.address == to);
        let is_cross_zone = receiver.is_some_and(|peer| peer.member.zone != self.me.zone);
        // A receiver that isn't recorded as alive is sent its entry, so that it can refute it.
        let accused = self.peers.values().find(|peer| peer.member.address == to && peer.member.status != Status::Alive);
        packet.updates.extend(accused.map(|peer| Update::Member(peer.member.clone())));
        // Bytes that are kept free for the envelope's tag and the encoding's slack.
        const RESERVED_BYTES: usize = 64;
        let mut size = codec::pack(&packet).map_or(0, |bytes| bytes.len());
        for queued in self.gossip_queue.iter_mut().filter(|queued| !is_cross_zone || queued.remaining_cross_zone > 0) {
            let bytes = codec::pack(&queued.update).map_or(usize::MAX, |bytes| bytes.len());
            if size.saturating_add(bytes) > codec::MAX_PACKET - RESERVED_BYTES {
                break;
            }
            size += bytes;
            queued.remaining -= 1;
            queued.remaining_cross_zone =
                if is_cross_zone { queued.remaining_cross_zone - 1 } else { queued.remaining_cross_zone };
            packet.updates.push(queued.update.clone());
        }
        self.gossip_queue.retain(|queued| queued.remaining > 0);
        Effect::Send { to, packet }
    }

    pub(super) fn live_peers(&self) -> impl Iterator<Item = &Member> {
        self.peers.values().map(|peer| &peer.member).filter(|member| is_live(member.status))
    }
}
