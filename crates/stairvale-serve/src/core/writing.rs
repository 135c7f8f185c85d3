//! The path by which a home's changes of records reach the store: its own calls, or a peer's while its own fail.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use stairvale_rollout::Written;
use stairvale_types::{Moment, id};

/// Time after which a peer's result is no longer waited for and counts as unknown: several round trips and a slow
/// call to the store.
const PEER_WRITE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time of writing through peers after which this router tries its own calls again, even if the peers' writes
/// succeed.
const OWN_WRITE_RETRY_INTERVAL: Duration = Duration::from_secs(10);

/// Why a peer doesn't write for this router.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Obstacle {
    /// The peer has never responded.
    Unresponsive,
    /// The peer isn't known to support epochs of the store.
    Epochs,
    /// The last write through the peer failed.
    Failed,
}

impl std::fmt::Display for Obstacle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Unresponsive => "unresponsive",
            Self::Epochs => "not known to support epochs",
            Self::Failed => "its write failed",
        })
    }
}

/// What a router whose own writes fail reports about the peers that could write for it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ProxyReport {
    /// This peer writes for the router.
    Found(id::Router),
    /// No peer can write for the router: the peers that were considered, and what prevents each.
    NotFound(Vec<(id::Router, Obstacle)>),
}

/// A write that a peer was requested to make.
#[derive(Debug)]
struct ForwardedWrite {
    proxy: id::Router,
    service: id::Service,
    deadline: Moment,
}

/// The current path of writes. A path that works is kept; after a failure another one is tried.
#[derive(Debug, Default)]
pub(super) struct Writing {
    /// Since when writes go through peers, if they do.
    via_peers_since: Option<Moment>,
    /// The peers through which a write failed since one last succeeded.
    failed: BTreeSet<id::Router>,
    number: u64,
    /// Writes that peers were requested to make.
    pending: BTreeMap<u64, ForwardedWrite>,
    /// Whether a peer was found, as last reported; `None` if this router's own writes work.
    found: Option<bool>,
}

impl Writing {
    /// Whether the next write goes through a peer.
    pub(super) fn uses_peers(&mut self, now: Moment) -> bool {
        self.via_peers_since = self.via_peers_since.filter(|since| now.since(*since) < OWN_WRITE_RETRY_INTERVAL);
        self.via_peers_since.is_some()
    }

    /// Selects the first of the given peers through which no write has failed.
    pub(super) fn pick<'a>(&self, mut peers: impl Iterator<Item = &'a id::Router>) -> Option<&'a id::Router> {
        peers.find(|peer| !self.failed.contains(*peer))
    }

    /// Records that no peer is left to write through, so that this router's own call is next, and then each of the
    /// peers again. `excluded` are the peers that can't be asked. Returns the report if it is a new one.
    pub(super) fn exhausted(&mut self, mut excluded: Vec<(id::Router, Obstacle)>) -> Option<ProxyReport> {
        self.via_peers_since = None;
        let failed = std::mem::take(&mut self.failed);
        excluded.extend(failed.into_iter().map(|peer| (peer, Obstacle::Failed)));
        (self.found.replace(false) != Some(false)).then_some(ProxyReport::NotFound(excluded))
    }

    /// Records that a peer is requested to write; returns the number of the request.
    pub(super) fn forward(&mut self, now: Moment, proxy: id::Router, service: id::Service) -> u64 {
        self.number = self.number.wrapping_add(1);
        self.pending.insert(self.number, ForwardedWrite { proxy, service, deadline: now + PEER_WRITE_TIMEOUT });
        self.number
    }

    /// Records a peer's answer; returns the service if the answer was still awaited, and the report if it is a new one.
    pub(super) fn take_forwarded(
        &mut self,
        number: u64,
        written: &Written,
    ) -> Option<(id::Service, Option<ProxyReport>)> {
        let ForwardedWrite { proxy, service, .. } = self.pending.remove(&number)?;
        if !was_processed(written) {
            self.failed.insert(proxy);
            return Some((service, None));
        }
        self.failed.clear();
        let report = (self.found.replace(true) != Some(true)).then_some(ProxyReport::Found(proxy));
        Some((service, report))
    }

    /// Records the result of this router's own call.
    pub(super) fn own_write_ended(&mut self, now: Moment, written: &Written) {
        if was_processed(written) {
            self.failed.clear();
            (self.via_peers_since, self.found) = (None, None);
        } else {
            self.via_peers_since = Some(now);
        }
    }

    /// Removes the writes that peers didn't answer in time, and returns their services.
    pub(super) fn take_timed_out(&mut self, now: Moment) -> Vec<id::Service> {
        let mut timed_out = Vec::new();
        let failed = &mut self.failed;
        self.pending.retain(|_, write| {
            let waits = write.deadline > now;
            if !waits {
                failed.insert(write.proxy.clone());
                timed_out.push(write.service.clone());
            }
            waits
        });
        timed_out
    }
}

/// Whether the store processed the change, so that its result is known.
fn was_processed(written: &Written) -> bool {
    match written {
        Written::Done(_) | Written::Conflict(_) => true,
        Written::Refused | Written::Unknown => false,
    }
}
