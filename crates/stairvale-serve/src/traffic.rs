//! Bytes that a router writes and reads, by what they are and by the zones that they pass between.
//!
//! Counted are bytes of the application: heads and bodies of HTTP messages to and from upstreams, and frames and datagrams
//! between routers, each by the router that sends it. What TCP, IP and HTTP/2 add isn't counted, nor what is sent again, nor
//! callers' connections and the store's, nor what engines copy from each other.

use std::{
    collections::{BTreeMap, HashMap},
    fmt::Write,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use http::{HeaderMap, Request};
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
};
use stairvale_types::id;

use crate::Shared;

/// Addresses whose zone is remembered; a fleet with its upstreams has fewer, and who has more looks them up again.
const REMEMBERED: usize = 8_192;
/// How often the totals are logged: a line of about 1 kB, so that logs alone tell what a day's bytes were.
const LOG: Duration = Duration::from_secs(10);
/// What stands between a header's name and value, and after it.
const HEADER: usize = 4;
/// A request's first line beside its method and target.
const REQUEST_LINE: usize = 12;
/// An answer's first line.
const STATUS_LINE: usize = 17;

/// What bytes are.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// A request to an upstream, its head included.
    Request,
    /// What an upstream answers, its head included.
    Answer,
    /// A frame to another router, by its name.
    Frame(&'static str),
    /// A datagram to another router.
    Datagram,
    /// What an engine says of what it holds of prompts.
    Inventory,
}

impl Kind {
    /// Its name in metrics and logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Answer => "answer",
            Self::Frame(name) => name,
            Self::Datagram => "datagram",
            Self::Inventory => "inventory",
        }
    }
}

/// What is counted apart.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Label {
    kind: &'static str,
    /// This router's zone.
    zone: String,
    /// The zone of the other end; empty if it isn't known.
    other_zone: String,
}

/// What passed with one other zone.
#[derive(Debug, Default)]
struct Passed {
    counters: HashMap<(Kind, Option<id::Zone>), Counter>,
    zones: HashMap<SocketAddr, id::Zone>,
}

/// A router's traffic.
#[derive(Debug)]
pub struct Traffic {
    zone: id::Zone,
    family: Family<Label, Counter>,
    passed: Mutex<Passed>,
}

impl Traffic {
    /// Nothing yet, of a router in a zone.
    #[must_use]
    pub fn new(zone: id::Zone) -> Self {
        Self { zone, family: Family::default(), passed: Mutex::default() }
    }

    /// Bytes passed between this router and something in another zone, or its own.
    pub fn count(&self, kind: Kind, other: Option<&id::Zone>, bytes: usize) {
        let mut passed = self.passed.lock().unwrap_or_else(PoisonError::into_inner);
        let counter = passed.counters.entry((kind, other.cloned())).or_insert_with(|| {
            let other_zone = other.map(ToString::to_string).unwrap_or_default();
            let label = Label { kind: kind.name(), zone: self.zone.to_string(), other_zone };
            self.family.get_or_create(&label).clone()
        });
        counter.inc_by(u64::try_from(bytes).unwrap_or(u64::MAX));
    }

    /// The same, where only the other end's address is known; `find` tells its zone where that isn't remembered.
    pub fn count_to(&self, kind: Kind, to: SocketAddr, bytes: usize, find: impl FnOnce() -> Option<id::Zone>) {
        let known = self.passed.lock().unwrap_or_else(PoisonError::into_inner).zones.get(&to).cloned();
        let zone = known.or_else(|| {
            let zone = find()?;
            let mut passed = self.passed.lock().unwrap_or_else(PoisonError::into_inner);
            if passed.zones.len() >= REMEMBERED {
                passed.zones.clear();
            }
            passed.zones.insert(to, zone.clone());
            Some(zone)
        });
        self.count(kind, zone.as_ref(), bytes);
    }

    /// The family of counters, to be registered.
    #[must_use]
    pub(crate) fn family(&self) -> impl prometheus_client::registry::Metric + use<> {
        self.family.clone()
    }

    /// All totals in one line, `kind/other zone=bytes`, in order.
    #[must_use]
    pub fn totals(&self) -> String {
        let passed = self.passed.lock().unwrap_or_else(PoisonError::into_inner);
        let total = |((kind, zone), counter): (&(Kind, Option<id::Zone>), &Counter)| {
            ((kind.name(), zone.as_ref().map_or("", id::Zone::as_str).to_owned()), counter.get())
        };
        let totals: BTreeMap<_, _> = passed.counters.iter().map(total).collect();
        let mut text = String::new();
        for ((kind, zone), bytes) in totals {
            let space = if text.is_empty() { "" } else { " " };
            // Writing into a string doesn't fail.
            let _ = write!(text, "{space}{kind}/{zone}={bytes}");
        }
        text
    }
}

/// Says the totals in the log now and then, until the task is dropped.
pub async fn log(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(LOG).await;
        tracing::info!(zone = %shared.settings.zone, totals = shared.metrics.traffic.totals(), "bytes passed so far");
    }
}

/// The bytes of a request's head.
#[must_use]
pub fn request_head<B>(request: &Request<B>) -> usize {
    let target = request.uri().path_and_query().map_or(1, |target| target.as_str().len());
    request.method().as_str().len() + target + REQUEST_LINE + headers(request.headers())
}

/// The bytes of an answer's head.
#[must_use]
pub fn answer_head(head: &HeaderMap) -> usize {
    STATUS_LINE + headers(head)
}

fn headers(headers: &HeaderMap) -> usize {
    let lines = headers.iter().map(|(name, value)| name.as_str().len() + value.len() + HEADER);
    lines.sum::<usize>() + 2
}
