//! Items of the store: their subjects and values.

use std::{cmp::Ordering, net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use stairvale_rollout::{Order, Record};
use stairvale_table::Document;
use stairvale_types::id;

/// What an item is about. Upstreams sort last, because there are thousands of them and a scan for other subjects
/// needn't pass them: with 10,000 upstreams such a scan took a router some 0.1 ms, ten times a second.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum Subject {
    /// The configuration of the fleet.
    Configuration,
    /// An upstream, by its name. The value states which incarnation it describes.
    Upstream(id::Upstream),
    /// A router's registration, by the router's name.
    Router(id::Router),
    /// The evacuation of an availability zone.
    Evacuation(id::Zone),
    /// An operator's order to move a service to another version.
    Order(id::Service),
    /// The fleet's progress with an operator's order for a service.
    Rollout(id::Service),
    /// A request that crashes the upstreams that run it.
    Quarantine(id::Fingerprint),
}

impl Subject {
    /// The sort key: the rank of the kind, and what distinguishes subjects of that kind.
    fn key(&self) -> (u8, &str, u64) {
        match self {
            Self::Configuration => (0, "", 0),
            Self::Router(router) => (1, router.as_str(), 0),
            Self::Evacuation(zone) => (2, zone.as_str(), 0),
            Self::Order(service) => (3, service.as_str(), 0),
            Self::Rollout(service) => (4, service.as_str(), 0),
            Self::Quarantine(fingerprint) => (5, "", fingerprint.0),
            Self::Upstream(upstream) => (6, upstream.as_str(), 0),
        }
    }
}

impl Ord for Subject {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key().cmp(&other.key())
    }
}

impl PartialOrd for Subject {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// An entry of the store, or the tombstone of one that was removed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// The subject of the entry.
    pub subject: Subject,
    /// The store's revision of this change. The item with the higher revision wins.
    pub revision: u64,
    /// The value of the entry; `None` if it was removed.
    pub value: Option<Value>,
    /// Whether a removal is conclusive: an entry that was removed while the store failed its reader may be registered
    /// again soon.
    pub sure: bool,
}

impl Item {
    /// An item as read from a store that works, so that a removal is conclusive.
    #[must_use]
    pub fn new(subject: Subject, revision: u64, value: Option<Value>) -> Self {
        Self { subject, revision, value, sure: true }
    }
}

/// The value of a subject.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// The document that is the configuration of the fleet.
    Configuration(Arc<Document>),
    /// An upstream's registration.
    Upstream(Upstream),
    /// A router's registration.
    Router(Router),
    /// The zone is evacuated: its upstreams are sent no new work.
    Evacuation,
    /// An operator's order that a service move to another version.
    Order(Order),
    /// The fleet's progress with the order for the service.
    Rollout(Record),
    /// The request is quarantined for this long, counted from when the entry was written.
    Quarantine(Duration),
    /// An entry that can't be parsed. It holds no information, except that the previous value no longer applies.
    Unreadable,
}

/// One incarnation of an upstream.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// The incarnation's identifier.
    pub id: id::Upstream,
    /// The service that the upstream belongs to.
    pub service: id::Service,
    /// The address at which the upstream is reached. It may belong to another upstream later.
    pub address: SocketAddr,
    /// The upstream's availability zone.
    pub zone: id::Zone,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the upstream takes new work.
    pub state: State,
    /// How much longer the upstream is cold, as of when the entry was written: it has just started and can sustain only
    /// a few requests a second.
    pub cold: Duration,
    /// The software version that the upstream runs; `None` if it doesn't report one.
    pub version: Option<id::Version>,
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum State {
    /// The upstream takes new work.
    Ready,
    /// The upstream finishes its outstanding requests and takes no new ones.
    Draining,
}

/// A router that is alive, or was a moment ago.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Router {
    /// The router's name.
    pub id: id::Router,
    /// The router's availability zone.
    pub zone: id::Zone,
    /// The address at which peers reach the router.
    pub address: SocketAddr,
    /// The router's share of a processor, in hundredths of a core.
    pub strength: u32,
}
