//! Changes of the store on their way to all routers: from the fleet's reader to the watchers, and from a watcher to its zone.
//!
//! In a large zone the watcher tells some routers, which tell the others. So what one router sends of a change grows with the root
//! of the zone's size, and not with the size: of 10,000 upstreams that register with 985 routers 11 MB in place of 160 MB. Who tells
//! whom is another choice for each change. Nothing depends on a relay: each router asks its watcher several times a second what
//! is new, and hears of a change then whose relay was lost.

use std::net::SocketAddr;

use stairvale_placement::mix;
use stairvale_replica::News;
use stairvale_types::{Moment, id};
use stairvale_wire::{Member, Status};

use super::{Core, Effect, is_heard};
use crate::frame::Frame;

/// Peers of a zone up to which the watcher tells each of them itself: 80 bytes a change and peer are little then, and nobody waits
/// for a relay.
const DIRECT: usize = 32;

pub(super) type Peer = (id::Router, SocketAddr);

impl Core {
    /// Tells what is new since a revision: a zone's watcher to its zone, the fleet's reader to the other watchers, too. Who
    /// reads only for itself, since it heard too little, tells nobody: each of the others does the same.
    pub(super) fn tell(&mut self, now: Moment, before: u64) -> Vec<Effect> {
        if !self.is_watcher() {
            return Vec::new();
        }
        let Some(news) = self.view.since(before) else {
            return Vec::new();
        };
        let in_zone = |peer: &&Member| peer.zone == self.zone && is_heard(peer);
        if matches!(news, News::Everything { .. }) {
            // Who asks while that is on its way to it isn't told it twice. One that isn't known to know epochs may drop it, and is.
            let takes = |peer: &&Member| in_zone(peer) && self.knows_epochs(&peer.router);
            let told: Vec<_> = self.live_peers().filter(takes).map(|peer| (peer.router.clone(), now)).collect();
            self.told_all.extend(told);
        }
        let zone: Vec<_> = self.live_peers().filter(|peer| peer.zone == self.zone && is_heard(peer)).collect();
        let mut direct: Vec<Peer> = Vec::new();
        if self.roles.leader.as_ref() == Some(&self.me) {
            let watchers = self.roles.watchers.values().filter(|router| **router != self.me);
            direct.extend(watchers.filter_map(|router| self.heard(router)));
        }
        if zone.len() <= DIRECT {
            direct.extend(zone.into_iter().map(|peer| (peer.router.clone(), peer.address)));
            return self.news(direct, news);
        }
        // One that is suspected, or would misread what it passes on, is told like the others, and passes nothing on.
        let relays = |peer: &&Member| peer.status == Status::Alive && self.knows_epochs(&peer.router);
        let (mut relays, others): (Vec<_>, Vec<_>) = zone.into_iter().partition(relays);
        direct.extend(others.into_iter().map(|peer| (peer.router.clone(), peer.address)));
        relays.sort_by_cached_key(|peer| mix(peer.router.hash64(), self.view.revision()));
        let mut effects = Vec::new();
        for group in relays.chunks(relays.len().isqrt().max(1)) {
            if let [relay, others @ ..] = group {
                let to = others.iter().map(|peer| peer.router.clone()).collect();
                let frame = Box::new(Frame::Relay { news: news.clone(), to });
                effects.push(Effect::Frame { to: relay.router.clone(), address: relay.address, frame });
            }
        }
        effects.extend(self.news(direct, news));
        effects
    }

    /// Passes changes on to others of the zone.
    pub(super) fn pass_on(&self, news: &News, to: &[id::Router]) -> Vec<Effect> {
        let to: Vec<_> = to.iter().filter_map(|router| self.heard(router)).collect();
        if to.is_empty() { Vec::new() } else { vec![Effect::Frames { to, frame: Box::new(Frame::News(news.clone())) }] }
    }

    /// A peer told of changes.
    pub(super) fn learn_news(&mut self, now: Moment, from: &id::Router, news: News) -> Vec<Effect> {
        let after = self.view.revision();
        if !self.view.take(news) {
            return self.sync_with(now, from, after);
        }
        let mut effects = self.refresh(now);
        effects.extend(self.tell(now, after));
        effects
    }

    /// A peer that was heard of, with its address.
    pub(super) fn heard(&self, router: &id::Router) -> Option<Peer> {
        let peer = self.swim.peer(router).filter(|peer| is_heard(peer))?;
        Some((peer.router.clone(), peer.address))
    }
}
