//! The path by which a home's changes of records reach the store: its own calls, or a peer's while its own fail.

use std::{collections::BTreeMap, time::Duration};

use stairvale_rollout::Written;
use stairvale_types::{Moment, id};

/// Time after which a peer's result is no longer waited for and counts as unknown: several round trips and a slow
/// call to the store.
const PEER_WRITE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time of writing through peers after which this router tries its own calls again, even if the peers' writes
/// succeed.
const OWN_WRITE_RETRY_INTERVAL: Duration = Duration::from_secs(10);

/// Why a peer that reads the store for others isn't requested to write for this router.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Obstacle {
    /// The peer has never responded.
    Unresponsive,
    /// The peer isn't known to support epochs of the store.
    Epochs,
}

impl std::fmt::Display for Obstacle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Unresponsive => "unresponsive",
            Self::Epochs => "not known to support epochs",
        })
    }
}

/// The peers that can write to the store for this router, and those that read it for others but can't.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WriteProxies {
    /// The peers that can write.
    pub available: Vec<id::Router>,
    /// The peers that can't, and why.
    pub excluded: Vec<(id::Router, Obstacle)>,
}

/// The current path of writes. A path that works is kept; after a failure the other one is tried.
#[derive(Debug, Default)]
pub(super) struct Writing {
    /// Since when writes go through peers, if they do.
    via_peers_since: Option<Moment>,
    number: u64,
    /// Writes that peers were requested to make, with the deadline for the answer.
    pending: BTreeMap<u64, (id::Service, Moment)>,
    /// What was last reported about the peers that can write, while this router's own writes fail.
    reported: Option<WriteProxies>,
}

impl Writing {
    /// Whether the next write goes through a peer.
    pub(super) fn uses_peers(&mut self, now: Moment) -> bool {
        self.via_peers_since = self.via_peers_since.filter(|since| now.since(*since) < OWN_WRITE_RETRY_INTERVAL);
        self.via_peers_since.is_some()
    }

    /// Selects one of the given peers, another one for each write.
    pub(super) fn pick<'a>(&self, peers: &'a [id::Router]) -> Option<&'a id::Router> {
        let index = usize::try_from(self.number).unwrap_or(0).checked_rem(peers.len())?;
        peers.get(index)
    }

    /// Whether these peers differ from the last reported ones, which they replace.
    pub(super) fn should_report(&mut self, proxies: &WriteProxies) -> bool {
        let changed = self.reported.as_ref() != Some(proxies);
        if changed {
            self.reported = Some(proxies.clone());
        }
        changed
    }

    /// Records that a peer is requested to write; returns the number of the request.
    pub(super) fn forward(&mut self, now: Moment, service: id::Service) -> u64 {
        self.number = self.number.wrapping_add(1);
        self.pending.insert(self.number, (service, now + PEER_WRITE_TIMEOUT));
        self.number
    }

    /// Records a peer's answer; returns the service if the answer was still awaited.
    pub(super) fn take_forwarded(&mut self, number: u64, written: &Written) -> Option<id::Service> {
        let (service, _) = self.pending.remove(&number)?;
        if !was_processed(written) {
            self.via_peers_since = None;
        }
        Some(service)
    }

    /// Records the result of this router's own call.
    pub(super) fn own_write_ended(&mut self, now: Moment, written: &Written) {
        if was_processed(written) {
            (self.via_peers_since, self.reported) = (None, None);
        } else {
            self.via_peers_since = Some(now);
        }
    }

    /// Removes the writes that peers didn't answer in time, and returns their services.
    pub(super) fn take_timed_out(&mut self, now: Moment) -> Vec<id::Service> {
        let mut timed_out = Vec::new();
        self.pending.retain(|_, (service, until)| {
            let waits = *until > now;
            if !waits {
                timed_out.push(service.clone());
            }
            waits
        });
        if !timed_out.is_empty() {
            self.via_peers_since = None;
        }
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
