//! Counters and histograms, and their output as Prometheus text.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use hdrhistogram::Histogram;
use prometheus_client::{encoding::text::encode, metrics::gauge::Gauge, registry::Registry};

use crate::{Problem, shared::Status};

/// The result of a request, or an event during its processing, as it is counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A complete answer was sent to the caller.
    Ok,
    /// The caller disconnected before the end of the answer.
    CallerLeft,
    /// The answer was interrupted; the request may have run.
    Unknown,
    /// The request failed at an upstream and is retried at another one, if tries are left.
    Retried,
    /// An attempt was made to resume an interrupted stream.
    Resumed,
}

/// The largest duration that a histogram distinguishes: one hour in microseconds.
const MAX_DURATION_US: u64 = 3_600_000_000;
/// The number of significant decimal digits that a histogram keeps.
const SIGNIFICANT_DIGITS: u8 = 2;
/// The quantiles in the Prometheus text.
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

/// A histogram of durations in microseconds.
#[derive(Debug)]
struct DurationHistogram(Mutex<Histogram<u64>>);

impl DurationHistogram {
    fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_DURATION_US, SIGNIFICANT_DIGITS);
        Self(Mutex::new(histogram.unwrap_or_else(|_| unreachable!("the bounds are constants"))))
    }

    fn record(&self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(MAX_DURATION_US);
        if let Ok(mut histogram) = self.0.lock() {
            histogram.saturating_record(micros.max(1));
        }
    }

    fn write(&self, name: &str, text: &mut String) {
        let Ok(histogram) = self.0.lock() else {
            return;
        };
        let _ = writeln!(text, "# TYPE {name} summary");
        for quantile in QUANTILES {
            let seconds = Duration::from_micros(histogram.value_at_quantile(quantile)).as_secs_f64();
            let _ = writeln!(text, "{name}{{quantile=\"{quantile}\"}} {seconds}");
        }
        let _ = writeln!(text, "{name}_count {}", histogram.len());
    }
}

/// The number and total size of the sent messages of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Sent {
    messages: u64,
    bytes: u64,
}

/// The counters and histograms of a router.
#[derive(Debug)]
pub struct Metrics {
    outcomes: [AtomicU64; 5],
    problems: Mutex<BTreeMap<&'static str, u64>>,
    first_byte: DurationHistogram,
    permit: DurationHistogram,
    between_tokens: DurationHistogram,
    /// Control messages sent to peers and upstreams (probes and orders), by kind.
    sent: Mutex<BTreeMap<&'static str, Sent>>,
    /// Control bytes received from peers.
    pub control_received: AtomicU64,
    /// Callers' connections that were closed because there was no room for them.
    pub connections_refused: AtomicU64,
    /// Frames and datagrams dropped because a queue was full or because they were invalid.
    pub dropped: AtomicU64,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            outcomes: Default::default(),
            problems: Mutex::default(),
            first_byte: DurationHistogram::new(),
            permit: DurationHistogram::new(),
            between_tokens: DurationHistogram::new(),
            sent: Mutex::default(),
            control_received: AtomicU64::new(0),
            connections_refused: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
        }
    }
}

impl Metrics {
    /// Counts one occurrence of `outcome`.
    pub fn count(&self, outcome: Outcome) {
        self.outcomes[outcome as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an error response by its reason.
    pub fn count_problem(&self, problem: &Problem) {
        if let Ok(mut problems) = self.problems.lock() {
            *problems.entry(problem.reason()).or_default() += 1;
        }
    }

    /// Records how long a request waited until its permit was granted or refused.
    pub fn record_permit_wait(&self, time: Duration) {
        self.permit.record(time);
    }

    /// Records the time from receiving a request's head to the response's head.
    pub fn record_first_byte(&self, time: Duration) {
        self.first_byte.record(time);
    }

    /// Records the time between two events of a stream.
    pub fn record_between_tokens(&self, time: Duration) {
        self.between_tokens.record(time);
    }

    /// Counts a sent control message and its size in bytes.
    pub fn count_sent(&self, kind: &'static str, bytes: usize) {
        if let Ok(mut all) = self.sent.lock() {
            let sent = all.entry(kind).or_default();
            sent.messages += 1;
            sent.bytes += bytes as u64;
        }
    }

    /// Counts received control bytes.
    pub fn count_received(&self, bytes: usize) {
        self.control_received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Writes all metrics, with the counters of `status` and of the store's client, as Prometheus text.
    #[must_use]
    pub fn to_text(&self, status: &Status, store_bytes: u64, store_calls: u64) -> String {
        let mut registry = Registry::with_prefix("stairvale");
        let numbers = serde_json::to_value(status.stats).unwrap_or_default();
        for (name, value) in numbers.as_object().into_iter().flatten() {
            gauge(&mut registry, name, value.as_i64().unwrap_or(i64::MAX));
        }
        let names = ["ok", "caller_left", "unknown", "retried", "resumed"];
        for (name, count) in names.iter().zip(&self.outcomes) {
            gauge(&mut registry, &format!("requests_{name}"), saturating_i64(count.load(Ordering::Relaxed)));
        }
        let sent = self.sent_bytes() + store_bytes;
        gauge(&mut registry, "control_sent_bytes", saturating_i64(sent));
        gauge(&mut registry, "control_received_bytes", saturating_i64(self.control_received.load(Ordering::Relaxed)));
        let refused = self.connections_refused.load(Ordering::Relaxed);
        gauge(&mut registry, "connections_refused", saturating_i64(refused));
        gauge(&mut registry, "control_dropped", saturating_i64(self.dropped.load(Ordering::Relaxed)));
        gauge(&mut registry, "store_calls", saturating_i64(store_calls));
        gauge(&mut registry, "ready", i64::from(status.ready));
        let mut text = String::new();
        if encode(&mut text, &registry).is_err() {
            text.clear();
        }
        let mut text = text.replace("# EOF\n", "");
        self.write_problems(&mut text);
        self.write_sent(&mut text);
        self.first_byte.write("stairvale_first_byte_seconds", &mut text);
        self.permit.write("stairvale_permit_seconds", &mut text);
        self.between_tokens.write("stairvale_between_tokens_seconds", &mut text);
        text.push_str("# EOF\n");
        text
    }

    fn sent_bytes(&self) -> u64 {
        self.sent.lock().map_or(0, |all| all.values().map(|sent| sent.bytes).sum())
    }

    fn write_sent(&self, text: &mut String) {
        let Ok(all) = self.sent.lock() else {
            return;
        };
        text.push_str("# TYPE stairvale_control_kind_bytes gauge\n");
        for (kind, sent) in all.iter() {
            let _ = writeln!(text, "stairvale_control_kind_bytes{{kind=\"{kind}\"}} {}", sent.bytes);
        }
        text.push_str("# TYPE stairvale_control_kind_messages gauge\n");
        for (kind, sent) in all.iter() {
            let _ = writeln!(text, "stairvale_control_kind_messages{{kind=\"{kind}\"}} {}", sent.messages);
        }
    }

    fn write_problems(&self, text: &mut String) {
        let Ok(problems) = self.problems.lock() else {
            return;
        };
        text.push_str("# TYPE stairvale_problems gauge\n");
        for (reason, count) in problems.iter() {
            let _ = writeln!(text, "stairvale_problems{{reason=\"{reason}\"}} {count}");
        }
    }
}

fn gauge(registry: &mut Registry, name: &str, value: i64) {
    let gauge: Gauge = Gauge::default();
    gauge.set(value);
    registry.register(name, name.replace('_', " "), gauge);
}

fn saturating_i64(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
