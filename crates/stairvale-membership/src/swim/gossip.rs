//! News of routers: whom it is taken from, how it is passed on, and what this router says against what is said of it.

use std::net::SocketAddr;

use rand::{Rng, seq::IndexedRandom};
use stairvale_types::{Moment, id};
use stairvale_wire::{Member, Packet, Status, Update, VERSION, codec, packet::Body};

use super::{CROSS_ZONE_COPIES, Effect, News, Peer, RETURNED, RUMOUR, SPREAD, Swim, is_live, same_subject, supersedes};

impl Swim {
    /// Whether a router is held for dead, or was until a moment ago: both of us may have been on the two sides of a cut.
    pub(super) fn is_returning(&self, now: Moment, router: &id::Router) -> bool {
        let Some(peer) = self.peers.get(router) else {
            return false;
        };
        let lately = peer.returned.is_some_and(|returned| now.since(returned) < RETURNED);
        peer.member.status == Status::Dead || lately
    }

    /// Whether news says that a router other than this one doesn't answer. What is said of this one it can refute itself.
    pub(super) fn is_blame(&self, update: &Update) -> bool {
        match update {
            Update::Member(member) => {
                member.router != self.me.router && matches!(member.status, Status::Suspect | Status::Dead)
            }
            Update::Upstream(_) => false,
        }
    }

    pub(super) fn learn(&mut self, now: Moment, update: Update) -> Vec<Effect> {
        match update {
            Update::Upstream(word) => vec![Effect::Upstream(word)],
            Update::Member(member) if member.router == self.me.router => self.refute(&member),
            Update::Member(member) => self.learn_member(now, member),
        }
    }

    /// Somebody says something about this router that isn't so.
    pub(super) fn refute(&mut self, said: &Member) -> Vec<Effect> {
        let wrong = said.status != self.me.status && said.incarnation >= self.me.incarnation;
        if !wrong {
            return Vec::new();
        }
        self.revision += 1;
        self.me.incarnation = id::Incarnation(said.incarnation.0 + 1);
        self.enqueue(Update::Member(self.me.clone()));
        self.rumour()
    }

    pub(super) fn learn_member(&mut self, now: Moment, member: Member) -> Vec<Effect> {
        let Some(effects) = self.adopt(now, member.clone()) else {
            return Vec::new();
        };
        self.enqueue(Update::Member(member));
        effects
    }

    /// Takes what is said of a router; `None` if it is known already.
    pub(super) fn adopt(&mut self, now: Moment, member: Member) -> Option<Vec<Effect>> {
        let old = self.peers.get(&member.router).map(|peer| &peer.member);
        if old.is_some_and(|old| !supersedes(&member, old)) {
            return None;
        }
        let was = old.map(|old| old.status);
        let (before, missed) = self.peers.get(&member.router).map_or((None, 0), |peer| (peer.returned, peer.missed));
        let reborn = old.is_some_and(|old| old.incarnation < member.incarnation);
        let router = member.router.clone();
        let status = member.status;
        let returned = if was == Some(Status::Dead) && status == Status::Alive { Some(now) } else { before };
        self.revision += 1;
        // Who refutes is heard of; what this router found out itself stays.
        let missed = if status == Status::Alive { 0 } else { missed };
        self.peers.insert(router.clone(), Peer { member, since: now, returned, missed });
        Some(match status {
            Status::Alive | Status::Suspect if was.is_none_or(|was| !is_live(was)) => vec![Effect::Joined(router)],
            Status::Alive if reborn => vec![Effect::Joined(router)],
            Status::Alive | Status::Suspect => Vec::new(),
            Status::Leaving if was != Some(Status::Leaving) => vec![Effect::Leaves(router)],
            Status::Dead if was != Some(Status::Dead) => vec![Effect::Died(router)],
            Status::Leaving | Status::Dead => Vec::new(),
        })
    }

    pub(super) fn enqueue(&mut self, update: Update) {
        self.news.retain(|news| !same_subject(&news.update, &update));
        let size = u32::try_from(self.peers.len() + 2).unwrap_or(u32::MAX);
        let left = SPREAD * size.ilog2().max(1);
        let here = self.live_peers().filter(|member| member.zone == self.me.zone).count() + 1;
        let here = u32::try_from(here).unwrap_or(u32::MAX);
        let all = left * CROSS_ZONE_COPIES;
        // Where a zone has many routers, what is left of a whole time is drawn.
        let drawn = all / here < CROSS_ZONE_COPIES && self.rng.random_range(0..here) < all % here;
        let far = (all / here + u32::from(drawn)).min(left);
        self.news.push(News { update, left, far });
    }

    pub(super) fn rumour(&mut self) -> Vec<Effect> {
        let addresses: Vec<_> = self.live_peers().map(|member| member.address).collect();
        let told: Vec<_> = addresses.choose_multiple(&mut self.rng, RUMOUR).copied().collect();
        told.into_iter().map(|to| self.packet(to, Body::News)).collect()
    }

    /// A packet that tells of this router alone.
    pub(super) fn bare_packet(&self, body: Body) -> Packet {
        Packet {
            version: VERSION,
            from: self.me.router.clone(),
            generation: self.generation,
            vms: self.vms,
            words: self.words,
            body,
            updates: vec![Update::Member(self.me.clone())],
        }
    }

    /// A packet with as much news as fits, the least spread first. This router itself always stands first.
    pub(super) fn packet(&mut self, to: SocketAddr, body: Body) -> Effect {
        self.news.sort_by_key(|news| std::cmp::Reverse(news.left));
        let mut packet = self.bare_packet(body);
        let receiver = self.peers.values().find(|peer| peer.member.address == to);
        let far = receiver.is_some_and(|peer| peer.member.zone != self.me.zone);
        // Whom the receiver suspects or holds dead is told so, and can refute.
        let blamed = self.peers.values().find(|peer| peer.member.address == to && peer.member.status != Status::Alive);
        packet.updates.extend(blamed.map(|peer| Update::Member(peer.member.clone())));
        // The envelope's tag and the coding's slack stay below the limit.
        const RESERVE: usize = 64;
        let mut size = codec::pack(&packet).map_or(0, |bytes| bytes.len());
        for news in self.news.iter_mut().filter(|news| !far || news.far > 0) {
            let bytes = codec::pack(&news.update).map_or(usize::MAX, |bytes| bytes.len());
            if size.saturating_add(bytes) > codec::MAX_PACKET - RESERVE {
                break;
            }
            size += bytes;
            news.left -= 1;
            news.far = if far { news.far - 1 } else { news.far };
            packet.updates.push(news.update.clone());
        }
        self.news.retain(|news| news.left > 0);
        Effect::Send { to, packet }
    }

    pub(super) fn live_peers(&self) -> impl Iterator<Item = &Member> {
        self.peers.values().map(|peer| &peer.member).filter(|member| is_live(member.status))
    }
}
