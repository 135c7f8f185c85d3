//! How fresh this router's copy of the store is, and whom it asks.

use std::time::Duration;

use stairvale_replica::News;
use stairvale_types::{Moment, id};
use stairvale_wire::Member;

use super::{Core, Effect};
use crate::frame::Frame;

/// A question about freshness is remembered this long.
const ASKED: Duration = Duration::from_secs(5);
/// A router whose word on the store was too old isn't relied upon as a watcher for this long.
const BLIND: Duration = Duration::from_secs(3);

impl Core {
    /// Asks those who read the store; who knows nothing yet asks anybody.
    pub(super) fn sync(&mut self, now: Moment) -> Vec<Effect> {
        self.syncs.retain(|_, asked| now.since(*asked) < ASKED);
        self.blind.retain(|_, until| *until > now);
        self.judge_informant(now);
        let after = self.view.revision();
        let mut to = Vec::new();
        to.extend(self.informant().filter(|informant| informant != &self.me));
        let old = self.bounds.stale() * 3 / 4;
        if self.view.age(now).is_none_or(|age| age > old) {
            to.extend(self.any_peer());
        }
        to.dedup();
        to.iter().flat_map(|peer| self.sync_with(now, peer, after)).collect()
    }

    /// One that was relied upon for long enough and let this copy grow old is passed over. One that only just took over
    /// isn't blamed for what the last one left, or routers would go on choosing different ones.
    pub(super) fn judge_informant(&mut self, now: Moment) {
        let (informant, patience) = (self.informant(), self.patience());
        if self.relied.as_ref().map(|(relied, _)| relied) != informant.as_ref() {
            self.relied = informant.map(|informant| (informant, now));
        }
        if let Some((informant, since)) = &self.relied
            && self.is_older(now, patience)
            && now.since(*since) >= patience
        {
            self.blind.insert(informant.clone(), now + BLIND);
        }
    }

    pub(super) fn sync_with(&mut self, now: Moment, peer: &id::Router, after: u64) -> Vec<Effect> {
        self.number = self.number.wrapping_add(1);
        self.syncs.insert(self.number, now);
        self.send(peer, Frame::Sync { number: self.number, after })
    }

    /// The peer's copy was the newest `age` before it answered, which was after it was asked.
    pub(super) fn synced(
        &mut self,
        now: Moment,
        number: u64,
        age: Option<Duration>,
        revision: u64,
        calm: Option<Duration>,
        news: Option<News>,
    ) -> Vec<Effect> {
        let Some(asked) = self.syncs.remove(&number) else {
            return Vec::new();
        };
        let mut changed = false;
        if let Some(news) = news {
            if !self.view.take(news) {
                return Vec::new();
            }
            changed = true;
        }
        changed |= revision >= self.view.revision() && self.view.vouched(calm);
        // A peer that is behind says nothing about this copy, unless this copy is as old as the peer's.
        if let Some(age) = age
            && revision >= self.view.revision()
            && micros(age) <= asked.0
        {
            self.view.confirm(Moment(asked.0 - micros(age)));
        }
        if changed { self.refresh(now) } else { Vec::new() }
    }

    pub(super) fn any_peer(&mut self) -> Option<id::Router> {
        self.number = self.number.wrapping_add(1);
        let number = self.number;
        let peers: Vec<_> = self.live_peers().map(|peer| peer.router.clone()).collect();
        let index = usize::try_from(number).unwrap_or(0).checked_rem(peers.len())?;
        peers.get(index).cloned()
    }

    pub(super) fn live_peers(&self) -> impl Iterator<Item = &Member> {
        self.swim.live().filter(|member| member.router != self.me)
    }

    pub(super) fn send(&self, to: &id::Router, frame: Frame) -> Vec<Effect> {
        let Some(peer) = self.swim.peer(to) else {
            return Vec::new();
        };
        vec![Effect::Frame { to: to.clone(), address: peer.address, frame: Box::new(frame) }]
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
