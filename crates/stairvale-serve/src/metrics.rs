//! What a process counts and measures.

use std::{
    fmt::Write,
    sync::{
        Mutex, OnceLock, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use hdrhistogram::Histogram;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};
use stairvale_dispatch::shares::Counts;
use stairvale_types::id;

use crate::{core::Named, traffic::Traffic};

/// What a counter is about.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Label {
    /// The event.
    pub event: &'static str,
}

/// A latency in microseconds, up to a minute, to two digits.
#[derive(Debug)]
struct Latency {
    name: &'static str,
    histogram: Mutex<Histogram<u32>>,
}

impl Latency {
    fn new(name: &'static str) -> Self {
        let histogram = Histogram::new_with_bounds(100, 60_000_000, 2);
        // The bounds are constants within the library's range; an empty histogram that grows is as good.
        let histogram = histogram.unwrap_or_else(|_| Histogram::new(2).unwrap_or_else(|_| unreachable!()));
        Self { name, histogram: Mutex::new(histogram) }
    }

    fn record(&self, span: Duration) {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        self.histogram.lock().unwrap_or_else(PoisonError::into_inner).saturating_record(micros);
    }

    fn write(&self, text: &mut String) {
        let histogram = self.histogram.lock().unwrap_or_else(PoisonError::into_inner);
        for quantile in [0.5, 0.95, 0.99] {
            let micros = histogram.value_at_quantile(quantile);
            let _ = writeln!(text, "stairvale_{}_microseconds{{quantile=\"{quantile}\"}} {micros}", self.name);
        }
        let _ = writeln!(text, "stairvale_{}_microseconds_count {}", self.name, histogram.len());
    }
}

/// What was counted of customers, by service, in the Prometheus text format. Those without a name have an empty one.
pub fn customers<'a>(services: impl Iterator<Item = (&'a id::Service, Named, Counts)>) -> String {
    let mut text = String::new();
    let mut write = |name: &str, labels: &str, counts: Counts| {
        for (what, count) in [("served", counts.served), ("waited", counts.waited), ("refused", counts.refused)] {
            let _ = writeln!(text, "stairvale_{name}_requests{{{labels},what=\"{what}\"}} {count}");
        }
    };
    for (service, named, others) in services {
        for (customer, counts) in named {
            let customer = customer.as_ref().map_or("", id::Customer::as_str);
            write("customer", &format!("service=\"{service}\",customer=\"{customer}\""), counts);
        }
        write("other_customers", &format!("service=\"{service}\""), others);
    }
    text
}

/// A process's metrics.
#[derive(Debug)]
pub struct Metrics {
    events: Family<Label, Counter>,
    /// Bytes that passed.
    pub traffic: Traffic,
    first: Latency,
    placing: Latency,
    /// Requests that are being served.
    pub in_flight: AtomicU64,
    /// Log lines that were dropped because nobody took them fast enough.
    dropped: OnceLock<Dropped>,
}

/// Tells how many log lines were dropped so far.
struct Dropped(Box<dyn Fn() -> usize + Send + Sync>);

impl std::fmt::Debug for Dropped {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Dropped").field(&self.0()).finish()
    }
}

impl Metrics {
    /// Nothing yet, of a router in a zone.
    #[must_use]
    pub fn new(zone: id::Zone) -> Self {
        let (first, placing) = (Latency::new("first_byte"), Latency::new("placing"));
        let (in_flight, dropped) = (AtomicU64::new(0), OnceLock::new());
        Self { events: Family::default(), traffic: Traffic::new(zone), first, placing, in_flight, dropped }
    }

    /// Counts an event.
    pub fn count(&self, event: &'static str) {
        self.events.get_or_create(&Label { event }).inc();
    }

    /// Whoever writes the logs counts the lines that it drops; the first one that says how is asked.
    pub fn count_dropped_lines(&self, dropped: impl Fn() -> usize + Send + Sync + 'static) {
        // A second writer would be a second process's.
        let _ = self.dropped.set(Dropped(Box::new(dropped)));
    }

    /// A request's answer, or a stream's first event, came this long after the request.
    pub fn answered(&self, after: Duration) {
        self.first.record(after);
    }

    /// A request was placed this long after it asked.
    pub fn placed(&self, after: Duration) {
        self.placing.record(after);
    }

    /// All of it in the Prometheus text format; latencies in microseconds.
    #[must_use]
    pub fn text(&self) -> String {
        let mut registry = Registry::with_prefix("stairvale");
        registry.register("events", "What happened", self.events.clone());
        let help = "Bytes of the application that this router sent, or upstreams answered, by kind and zones";
        registry.register("bytes", help, self.traffic.family());
        let mut text = String::new();
        for latency in [&self.first, &self.placing] {
            latency.write(&mut text);
        }
        let _ = writeln!(text, "stairvale_in_flight {}", self.in_flight.load(Ordering::Relaxed));
        let _ = writeln!(text, "stairvale_log_lines_dropped {}", self.dropped.get().map_or(0, |dropped| dropped.0()));
        // Writing into a string doesn't fail.
        let _ = encode(&mut text, &registry);
        text
    }
}
