//! Distribution of changes of the store to all routers: from the fleet's reader to the watchers, and from a watcher
//! to its zone.
//!
//! In a large zone the watcher sends a change to some routers, which relay it to the others. What one router sends
//! therefore grows with the square root of the zone's size: when 10,000 upstreams register with 985 routers it is 11
//! MB instead of 160 MB. The relays differ for each change. Nothing depends on a relay: each router requests the
//! latest changes from its watcher several times a second, and thereby receives a change whose relay was lost.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use stairvale_placement::mix;
use stairvale_replica::StoreUpdate;
use stairvale_types::{Moment, id};
use stairvale_wire::{Member, Status};

use super::{Core, Effect, has_responded};
use crate::frame::Frame;

/// Maximum number of peers in a zone that the watcher sends changes to directly: each change costs only 80 bytes per
/// peer then, and no router has to wait for a relay.
const MAX_DIRECT_PEERS: usize = 32;

/// Time for which a configuration that was sent to a peer counts as in transit.
const CONFIGURATION_TRANSIT_TIME: Duration = Duration::from_millis(500);

/// A peer, with its address.
pub type Peer = (id::Router, SocketAddr);

/// The configuration that this router sent last.
#[derive(Debug)]
pub(super) struct SentConfiguration {
    /// The revision that the changes with the configuration follow on.
    after: u64,
    sent_at: Moment,
    to: BTreeSet<id::Router>,
}

impl Core {
    /// Sends the changes since a revision: a zone's watcher to its zone, and the fleet's reader also to the other
    /// watchers. A router that read the store only because it received too few updates sends nothing, since all
    /// others in its position read, too.
    pub(super) fn broadcast(&mut self, now: Moment, before: u64) -> Vec<Effect> {
        if !self.is_watcher() {
            return Vec::new();
        }
        let Some(news) = self.view.since(before) else {
            return Vec::new();
        };
        let in_zone = |peer: &&Member| peer.zone == self.zone && has_responded(peer);
        if matches!(news, StoreUpdate::Everything { .. }) {
            // A router that requests a snapshot while this one is in transit isn't sent another. A peer that may not
            // support epochs may drop the snapshot, so it isn't recorded as having received it.
            let receives_snapshot = |peer: &&Member| in_zone(peer) && self.knows_epochs(&peer.router);
            let recipients: Vec<_> =
                self.live_peers().filter(receives_snapshot).map(|peer| (peer.router.clone(), now)).collect();
            self.snapshots_sent.extend(recipients);
        }
        if matches!(news, StoreUpdate::Changes { .. }) && news.has_configuration() {
            let is_reader = self.roles.reader.as_ref() == Some(&self.me);
            let is_watcher = |peer: &Member| self.roles.watchers.get(&peer.zone) == Some(&peer.router);
            let to =
                self.live_peers().filter(|peer| in_zone(peer) || has_responded(peer) && is_reader && is_watcher(peer));
            let to = to.map(|peer| peer.router.clone()).filter(|peer| self.knows_epochs(peer)).collect();
            self.sent_configuration = Some(SentConfiguration { after: before, sent_at: now, to });
        }
        let zone: Vec<_> = self.live_peers().filter(|peer| peer.zone == self.zone && has_responded(peer)).collect();
        let mut direct: Vec<Peer> = Vec::new();
        if self.roles.reader.as_ref() == Some(&self.me) {
            let watchers = self.roles.watchers.values().filter(|router| **router != self.me);
            direct.extend(watchers.filter_map(|router| self.responding_peer(router)));
        }
        if zone.len() <= MAX_DIRECT_PEERS {
            direct.extend(zone.into_iter().map(|peer| (peer.router.clone(), peer.address)));
            return self.news_frames(direct, news);
        }
        // A suspected peer, or one that would misread what it relays, receives the changes directly and relays
        // nothing.
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
        effects.extend(self.news_frames(direct, news));
        effects
    }

    /// Whether a peer that requests the changes after a revision was just sent the configuration among them. A second copy
    /// would occupy both routers' links while requests wait for permits.
    pub(super) fn is_in_transit(&self, now: Moment, to: &id::Router, after: u64, news: &StoreUpdate) -> bool {
        matches!(news, StoreUpdate::Changes { .. })
            && news.has_configuration()
            && self.sent_configuration.as_ref().is_some_and(|sent| {
                now.since(sent.sent_at) < CONFIGURATION_TRANSIT_TIME && after >= sent.after && sent.to.contains(to)
            })
    }

    /// Relays changes to other routers of the zone.
    pub(super) fn forward_news(&self, news: &StoreUpdate, to: &[id::Router]) -> Vec<Effect> {
        let to: Vec<_> = to.iter().filter_map(|router| self.responding_peer(router)).collect();
        if to.is_empty() { Vec::new() } else { vec![Effect::Frames { to, frame: Box::new(Frame::News(news.clone())) }] }
    }

    /// Handles changes that a peer sent.
    pub(super) fn handle_news(&mut self, now: Moment, from: &id::Router, news: StoreUpdate) -> Vec<Effect> {
        let after = self.view.revision();
        if !self.view.apply(news) {
            return self.send_sync(now, from, after);
        }
        let mut effects = self.apply_view(now);
        effects.extend(self.broadcast(now, after));
        effects
    }

    /// A peer that has responded, with its address.
    pub(super) fn responding_peer(&self, router: &id::Router) -> Option<Peer> {
        let peer = self.swim.peer(router).filter(|peer| has_responded(peer))?;
        Some((peer.router.clone(), peer.address))
    }
}
