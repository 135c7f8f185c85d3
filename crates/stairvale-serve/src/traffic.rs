//! Counters of the bytes that a router sends and receives, by kind and by the zones between which they pass.
//!
//! Only bytes of the application count: heads and bodies of HTTP messages to and from upstreams, and frames and
//! datagrams between routers, each counted by the router that sends it. The overhead of TCP, IP and HTTP/2 and
//! retransmissions aren't counted, nor are connections of callers and of the store, nor what engines copy from each
//! other.

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

/// Maximum number of addresses whose zone is cached. A fleet with its upstreams has fewer; beyond it the cache is
/// cleared and zones are looked up again.
const MAX_CACHED_ZONES: usize = 8_192;
/// Interval at which the totals are logged. A line has about 1 kB, so logs alone show what a day's bytes were.
const LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Bytes of the separator between a header's name and value, and of the line end.
const HEADER_OVERHEAD_BYTES: usize = 4;
/// Bytes of a request's first line besides its method and target.
const REQUEST_LINE_OVERHEAD_BYTES: usize = 12;
/// Bytes of the first line of an answer.
const STATUS_LINE_BYTES: usize = 17;

/// The kinds of counted bytes.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// A request to an upstream, including its head.
    Request,
    /// An upstream's answer, including its head.
    Answer,
    /// A frame to another router, by the frame's name.
    Frame(&'static str),
    /// A datagram to another router.
    Datagram,
    /// An engine's inventory of the prompt prefixes that it holds.
    Inventory,
    /// A question which upstream it is that answers, and the answer.
    Identity,
}

impl Kind {
    /// The kind's name in metrics and logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Answer => "answer",
            Self::Frame(name) => name,
            Self::Datagram => "datagram",
            Self::Inventory => "inventory",
            Self::Identity => "identity",
        }
    }
}

/// The labels of one counter.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Label {
    kind: &'static str,
    /// The zone of this router.
    zone: String,
    /// The zone of the other end; empty if it isn't known.
    other_zone: String,
}

/// The counters, and the cached zones of addresses.
#[derive(Debug, Default)]
struct Passed {
    counters: HashMap<(Kind, Option<id::Zone>), Counter>,
    zones: HashMap<SocketAddr, id::Zone>,
}

/// The traffic counters of a router.
#[derive(Debug)]
pub struct Traffic {
    zone: id::Zone,
    family: Family<Label, Counter>,
    passed: Mutex<Passed>,
}

impl Traffic {
    /// Creates empty counters for a router in the given zone.
    #[must_use]
    pub fn new(zone: id::Zone) -> Self {
        Self { zone, family: Family::default(), passed: Mutex::default() }
    }

    /// Counts bytes that passed between this router and an end in another zone or in its own.
    pub fn count(&self, kind: Kind, other: Option<&id::Zone>, bytes: usize) {
        let mut passed = self.passed.lock().unwrap_or_else(PoisonError::into_inner);
        let counter = passed.counters.entry((kind, other.cloned())).or_insert_with(|| {
            let other_zone = other.map(ToString::to_string).unwrap_or_default();
            let label = Label { kind: kind.name(), zone: self.zone.to_string(), other_zone };
            self.family.get_or_create(&label).clone()
        });
        counter.inc_by(u64::try_from(bytes).unwrap_or(u64::MAX));
    }

    /// Counts bytes for which only the other end's address is known; `find` looks up the zone of an address that
    /// isn't cached.
    pub fn count_to(&self, kind: Kind, to: SocketAddr, bytes: usize, find: impl FnOnce() -> Option<id::Zone>) {
        let cached = self.passed.lock().unwrap_or_else(PoisonError::into_inner).zones.get(&to).cloned();
        let zone = cached.or_else(|| {
            let zone = find()?;
            let mut passed = self.passed.lock().unwrap_or_else(PoisonError::into_inner);
            if passed.zones.len() >= MAX_CACHED_ZONES {
                passed.zones.clear();
            }
            passed.zones.insert(to, zone.clone());
            Some(zone)
        });
        self.count(kind, zone.as_ref(), bytes);
    }

    /// The family of counters, for registration in the metrics.
    #[must_use]
    pub(crate) fn family(&self) -> impl prometheus_client::registry::Metric + use<> {
        self.family.clone()
    }

    /// All totals in one line, `kind/other zone=bytes`, in sorted order.
    #[must_use]
    pub fn totals(&self) -> String {
        let passed = self.passed.lock().unwrap_or_else(PoisonError::into_inner);
        let total = |((kind, zone), counter): (&(Kind, Option<id::Zone>), &Counter)| {
            ((kind.name(), zone.as_ref().map_or("", id::Zone::as_str).to_owned()), counter.get())
        };
        let totals: BTreeMap<_, _> = passed.counters.iter().map(total).collect();
        let mut text = String::new();
        for ((kind, zone), bytes) in totals {
            let separator = if text.is_empty() { "" } else { " " };
            // Writing into a string can't fail.
            let _ = write!(text, "{separator}{kind}/{zone}={bytes}");
        }
        text
    }
}

/// Logs the totals at an interval until the task is dropped.
pub async fn log(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(LOG_INTERVAL).await;
        let (memory_peak, memory_refusals) = (shared.memory.peak(), shared.memory.refusals());
        tracing::info!(
            zone = %shared.settings.zone, totals = shared.metrics.traffic.totals(), memory_peak, memory_refusals,
            "bytes passed so far"
        );
    }
}

/// The number of bytes of a request's head.
#[must_use]
pub fn request_head<B>(request: &Request<B>) -> usize {
    let target = request.uri().path_and_query().map_or(1, |target| target.as_str().len());
    request.method().as_str().len() + target + REQUEST_LINE_OVERHEAD_BYTES + headers(request.headers())
}

/// The number of bytes of an answer's head.
#[must_use]
pub fn answer_head(head: &HeaderMap) -> usize {
    STATUS_LINE_BYTES + headers(head)
}

fn headers(headers: &HeaderMap) -> usize {
    let lines = headers.iter().map(|(name, value)| name.as_str().len() + value.len() + HEADER_OVERHEAD_BYTES);
    lines.sum::<usize>() + 2
}
