//! Compatibility with peers whose builds don't support epochs of the store.
//!
//! Such a build orders changes by the store's own numbers, so it is sent these. What it sends of the store is ignored
//! once this router has read an epoch itself, since nothing shows which epoch it belongs to.

use stairvale_replica::{Revision, StoreUpdate};
use stairvale_rollout::{Write, Written};
use stairvale_types::id;

use super::{Core, Effect, spread::Peer};
use crate::frame::Frame;

impl Core {
    /// Whether a peer may be sent revisions that contain an epoch.
    pub(super) fn knows_epochs(&self, peer: &id::Router) -> bool {
        self.view.epoch() == 0 || self.epoch_aware_peers.contains(peer)
    }

    /// Records from a peer's frame whether the peer supports epochs.
    pub(super) fn record_epoch_support(&mut self, from: &id::Router, frame: &Frame) -> Vec<Effect> {
        let Some(revision) = frame.revision() else {
            return Vec::new();
        };
        let supported = Revision::from(revision).epoch() > 0;
        if supported == self.epoch_aware_peers.contains(from) {
            return Vec::new();
        }
        if supported {
            self.epoch_aware_peers.insert(from.clone());
        } else if matches!(frame, Frame::Sync(_)) {
            self.epoch_aware_peers.remove(from);
        } else {
            // A peer that supports epochs omits them in answers to routers that may not, but not in its requests.
            return Vec::new();
        }
        vec![Effect::EpochSupport { peer: from.clone(), supported }]
    }

    /// Converts a revision without an epoch, as sent by a peer, to one of this router's epoch.
    pub(super) fn in_own_epoch(&self, revision: u64) -> u64 {
        let received = Revision::from(revision);
        if received.epoch() > 0 || received.number() == 0 {
            return revision;
        }
        Revision::new(self.view.epoch(), received.number()).unwrap_or(received).into()
    }

    /// Converts the revisions in a peer's change of a record to ones of this router's epoch.
    pub(super) fn write_in_own_epoch(&self, mut write: Write) -> Write {
        write.expected = self.in_own_epoch(write.expected);
        write.record.order = self.in_own_epoch(write.record.order);
        write
    }

    /// Converts the result of a peer's write to the form that the peer supports.
    pub(super) fn written_for_peer(&self, peer: &id::Router, written: Written) -> Written {
        let number = |revision: u64| Revision::from(revision).number();
        match written {
            written if self.knows_epochs(peer) => written,
            Written::Done(revision) => Written::Done(number(revision)),
            Written::Conflict(Some((revision, mut record))) => {
                record.order = number(record.order);
                Written::Conflict(Some((number(revision), record)))
            }
            Written::Conflict(None) | Written::Refused | Written::Unknown => written,
        }
    }

    /// Sends changes to some peers, to each in the form that it supports.
    pub(super) fn news_frames(&self, to: Vec<Peer>, news: StoreUpdate) -> Vec<Effect> {
        let (aware, unaware): (Vec<_>, Vec<_>) = to.into_iter().partition(|(peer, _)| self.knows_epochs(peer));
        let mut effects = Vec::new();
        if !unaware.is_empty() {
            effects.push(Effect::Frames { to: unaware, frame: Box::new(Frame::News(news.clone().without_epochs())) });
        }
        if !aware.is_empty() {
            effects.push(Effect::Frames { to: aware, frame: Box::new(Frame::News(news)) });
        }
        effects
    }

    /// Reports a rejected version to some peers, to each in the form that it supports.
    pub(super) fn rejection_frames(&self, to: Vec<Peer>, service: &id::Service, order: u64) -> Vec<Effect> {
        let (aware, unaware): (Vec<_>, Vec<_>) = to.into_iter().partition(|(peer, _)| self.knows_epochs(peer));
        let groups = [(aware, order), (unaware, Revision::from(order).number())];
        let groups = groups.into_iter().filter(|(to, _)| !to.is_empty());
        let frame = |order| Box::new(Frame::Condemned { service: service.clone(), order });
        groups.map(|(to, order)| Effect::Frames { to, frame: frame(order) }).collect()
    }
}
