//! A process's counters and latency histograms.

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

use crate::{core::CustomerCounts, traffic::Traffic};

/// The label of the event counter.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Label {
    /// The event that is counted.
    pub event: &'static str,
}

/// A latency histogram in microseconds, up to one minute, with two significant digits.
#[derive(Debug)]
struct Latency {
    name: &'static str,
    histogram: Mutex<Histogram<u32>>,
}

impl Latency {
    fn new(name: &'static str) -> Self {
        let histogram = Histogram::new_with_bounds(100, 60_000_000, 2);
        // The bounds are constants within the library's range; an auto-resizing histogram is an equivalent fallback.
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

/// Counts of customers' requests by service, in the Prometheus text format. Requests without a customer have an empty
/// name.
pub fn customers<'a>(services: impl Iterator<Item = (&'a id::Service, CustomerCounts, Counts)>) -> String {
    let mut text = String::new();
    let mut write = |name: &str, labels: &str, counts: Counts| {
        for (outcome, count) in [("served", counts.served), ("waited", counts.waited), ("refused", counts.refused)] {
            let _ = writeln!(text, "stairvale_{name}_requests{{{labels},what=\"{outcome}\"}} {count}");
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
    /// Bytes sent and received, by kind and zones.
    pub traffic: Traffic,
    first_byte: Latency,
    placing: Latency,
    /// Number of requests in flight.
    pub in_flight: AtomicU64,
    /// Number of clients' connections.
    pub connections: AtomicU64,
    /// The count of log lines that were dropped because the log writer could not keep up.
    dropped_lines: OnceLock<DroppedLines>,
}

/// Returns how many log lines were dropped so far.
struct DroppedLines(Box<dyn Fn() -> usize + Send + Sync>);

impl std::fmt::Debug for DroppedLines {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Dropped").field(&self.0()).finish()
    }
}

impl Metrics {
    /// Creates the metrics of a router in `zone`, all of them zero.
    #[must_use]
    pub fn new(zone: id::Zone) -> Self {
        let (first_byte, placing) = (Latency::new("first_byte"), Latency::new("placing"));
        let (in_flight, connections, dropped_lines) = (AtomicU64::new(0), AtomicU64::new(0), OnceLock::new());
        let (events, traffic) = (Family::default(), Traffic::new(zone));
        Self { events, traffic, first_byte, placing, in_flight, connections, dropped_lines }
    }

    /// Counts an event.
    pub fn count(&self, event: &'static str) {
        self.events.get_or_create(&Label { event }).inc();
    }

    /// Sets the function that returns how many log lines were dropped so far. Only the first call has an effect.
    pub fn count_dropped_lines(&self, dropped: impl Fn() -> usize + Send + Sync + 'static) {
        // A process has one log writer; a second one would belong to another process.
        let _ = self.dropped_lines.set(DroppedLines(Box::new(dropped)));
    }

    /// Records the time from a request's arrival to its complete response or to the first event of a stream.
    pub fn record_first_byte(&self, after: Duration) {
        self.first_byte.record(after);
    }

    /// Records the time that a request took to get a permit or a refusal.
    pub fn record_placement(&self, after: Duration) {
        self.placing.record(after);
    }

    /// All metrics in the Prometheus text format; latencies are in microseconds.
    #[must_use]
    pub fn text(&self) -> String {
        let mut registry = Registry::with_prefix("stairvale");
        registry.register("events", "What happened", self.events.clone());
        let help = "Bytes of the application that this router sent, or upstreams answered, by kind and zones";
        registry.register("bytes", help, self.traffic.family());
        let mut text = String::new();
        for latency in [&self.first_byte, &self.placing] {
            latency.write(&mut text);
        }
        let _ = writeln!(text, "stairvale_in_flight {}", self.in_flight.load(Ordering::Relaxed));
        let _ = writeln!(text, "stairvale_connections {}", self.connections.load(Ordering::Relaxed));
        let _ =
            writeln!(text, "stairvale_log_lines_dropped {}", self.dropped_lines.get().map_or(0, |dropped| dropped.0()));
        // Writing to a string doesn't fail.
        let _ = encode(&mut text, &registry);
        text
    }
}
