//! Selection of the peers through which this router opens connections to upstreams that it can't reach itself.

use stairvale_placement::mix;
use stairvale_types::{Moment, id};
use stairvale_wire::{Member, Status};

use super::{Core, Effect, spread::Peer};
use crate::{dialect::Notice, frame::Frame};

/// Maximum number of peers of the own zone, and of others, that are offered for a connection.
const MAX_PEERS_PER_GROUP: usize = 32;

impl Core {
    /// Peers through which a connection to an upstream may be opened: those of the own zone, then those of others, since
    /// traffic between zones is charged. Their order varies, so that routers which are isolated at the same time spread
    /// their load.
    #[must_use]
    pub fn tunnel_peers(&self, now: Moment) -> [Vec<Peer>; 2] {
        let is_candidate = |member: &&Member| member.status == Status::Alive && member.router != self.me;
        let (mut near, mut far): (Vec<_>, Vec<_>) =
            self.responding_routers().filter(is_candidate).partition(|member| member.zone == self.zone);
        for group in [&mut near, &mut far] {
            group.sort_by_cached_key(|member| mix(now.0, member.router.hash64()));
            group.truncate(MAX_PEERS_PER_GROUP);
        }
        [near, far].map(|group| group.into_iter().map(|member| (member.router.clone(), member.address)).collect())
    }

    /// Passes the notice in an upstream's answer on to the peer through which the answer came: to the upstream, the peer is
    /// the router that sent the request.
    #[must_use]
    pub fn relay_notice(
        &self,
        peer: &id::Router,
        service: &id::Service,
        upstream: &id::Upstream,
        notice: Notice,
    ) -> Vec<Effect> {
        if notice == Notice::default() {
            return Vec::new();
        }
        let (service, upstream) = (service.clone(), upstream.clone());
        self.send(peer, Frame::Notice { service, upstream, leaves: notice.leaves, rest: notice.rest.length() })
    }
}
