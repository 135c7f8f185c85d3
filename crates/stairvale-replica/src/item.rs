//! What the store says of one thing.

use std::{cmp::Ordering, net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use stairvale_rollout::{Order, Record};
use stairvale_table::Document;
use stairvale_types::id;

/// What an item is about. Upstreams sort last: there are thousands of them, and whoever looks for something else needn't pass
/// them. With 10,000 such a look took a router some 0.1 ms, ten times a second.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum Subject {
    /// The configuration.
    Configuration,
    /// An upstream, by its name: what is said of it tells the life that it is about.
    Upstream(id::Upstream),
    /// A router.
    Router(id::Router),
    /// The evacuation of an availability zone.
    Evacuation(id::Zone),
    /// An operator's order to move a service to another version.
    Order(id::Service),
    /// How far the fleet has come with that.
    Rollout(id::Service),
    /// A request that upstreams end because of.
    Quarantine(id::Fingerprint),
}

impl Subject {
    /// The kind, and what tells it from others of that kind.
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

/// Something that the store holds, or that it no longer does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// What it is about.
    pub subject: Subject,
    /// The store's revision of this change; later ones win.
    pub revision: u64,
    /// What is said; `None` if it is gone.
    pub value: Option<Value>,
    /// Whether that can be relied upon: what went while the store failed its reader may be back soon.
    pub sure: bool,
}

impl Item {
    /// What the store says.
    #[must_use]
    pub fn new(subject: Subject, revision: u64, value: Option<Value>) -> Self {
        Self { subject, revision, value, sure: true }
    }
}

/// What is said of a subject.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// The configuration.
    Configuration(Arc<Document>),
    /// An upstream.
    Upstream(Upstream),
    /// A router.
    Router(Router),
    /// Nothing new is to go to the upstreams of a zone.
    Evacuation,
    /// A service is to move to another version.
    Order(Order),
    /// How far it has come.
    Rollout(Record),
    /// A request goes nowhere for this long from when it was written.
    Quarantine(Duration),
    /// Something that can't be read: it says nothing, but that what stood there before is over.
    Unreadable,
}

/// One life of an upstream.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// The life that this is about.
    pub id: id::Upstream,
    /// The service it belongs to.
    pub service: id::Service,
    /// Where it is reached. The address may belong to another upstream later.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes work.
    pub state: State,
    /// How much longer it is cold, when this was written: just started, and able to bear only a few requests a second.
    pub cold: Duration,
    /// The software that it runs; `None` if it doesn't say.
    pub version: Option<id::Version>,
}

/// Whether an upstream takes work.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum State {
    /// It does.
    Ready,
    /// It finishes what it has.
    Draining,
}

/// A router that lives, or did a moment ago.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Router {
    /// Its name.
    pub id: id::Router,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// Its share of a processor, in hundredths of a core.
    pub strength: u32,
}
