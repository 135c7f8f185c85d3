//! Counters and histograms, and their Prometheus text.

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

/// What became of a request, or happened on its way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A whole answer went to the caller.
    Ok,
    /// The caller left before its end.
    CallerLeft,
    /// No whole answer; it may have run.
    Unknown,
    /// Another upstream was tried.
    Retried,
    /// A cut stream was taken up again.
    Resumed,
}

/// The largest time that a histogram tells apart, in microseconds: an hour.
const MAX_US: u64 = 3_600_000_000;
/// Digits that a histogram keeps.
const DIGITS: u8 = 2;
/// The quantiles that are shown.
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

/// Times in microseconds.
#[derive(Debug)]
struct Times(Mutex<Histogram<u64>>);

impl Times {
    fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_US, DIGITS);
        Self(Mutex::new(histogram.unwrap_or_else(|_| unreachable!("the bounds are constants"))))
    }

    fn record(&self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(MAX_US);
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

/// Messages of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Sent {
    messages: u64,
    bytes: u64,
}

/// A router's counters.
#[derive(Debug)]
pub struct Metrics {
    outcomes: [AtomicU64; 5],
    problems: Mutex<BTreeMap<&'static str, u64>>,
    first_byte: Times,
    permit: Times,
    between_tokens: Times,
    /// Messages and bytes sent to peers and upstreams (probes), by kind.
    sent: Mutex<BTreeMap<&'static str, Sent>>,
    /// Control bytes received from peers.
    pub control_received: AtomicU64,
    /// Frames and packets dropped because a queue was full or they made no sense.
    pub dropped: AtomicU64,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            outcomes: Default::default(),
            problems: Mutex::default(),
            first_byte: Times::new(),
            permit: Times::new(),
            between_tokens: Times::new(),
            sent: Mutex::default(),
            control_received: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
        }
    }
}

impl Metrics {
    /// Counts an outcome.
    pub fn count(&self, outcome: Outcome) {
        self.outcomes[outcome as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a "no".
    pub fn problem(&self, problem: &Problem) {
        if let Ok(mut problems) = self.problems.lock() {
            *problems.entry(problem.reason()).or_default() += 1;
        }
    }

    /// A request waited this long for a permit, or for a no.
    pub fn permit(&self, time: Duration) {
        self.permit.record(time);
    }

    /// The time from a request's head to its first byte.
    pub fn first_byte(&self, time: Duration) {
        self.first_byte.record(time);
    }

    /// The time from one event of a stream to the next.
    pub fn between_tokens(&self, time: Duration) {
        self.between_tokens.record(time);
    }

    /// Counts a control message of some bytes that left.
    pub fn sent(&self, kind: &'static str, bytes: usize) {
        if let Ok(mut all) = self.sent.lock() {
            let sent = all.entry(kind).or_default();
            sent.messages += 1;
            sent.bytes += bytes as u64;
        }
    }

    /// Counts control bytes that came.
    pub fn received(&self, bytes: usize) {
        self.control_received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Everything as Prometheus text.
    #[must_use]
    pub fn to_text(&self, status: &Status, store_bytes: u64, store_calls: u64) -> String {
        let mut registry = Registry::with_prefix("stairvale");
        let numbers = serde_json::to_value(status.stats).unwrap_or_default();
        for (name, value) in numbers.as_object().into_iter().flatten() {
            gauge(&mut registry, name, value.as_i64().unwrap_or(i64::MAX));
        }
        let names = ["ok", "caller_left", "unknown", "retried", "resumed"];
        for (name, count) in names.iter().zip(&self.outcomes) {
            gauge(&mut registry, &format!("requests_{name}"), whole(count.load(Ordering::Relaxed)));
        }
        let sent = self.sent_bytes() + store_bytes;
        gauge(&mut registry, "control_sent_bytes", whole(sent));
        gauge(&mut registry, "control_received_bytes", whole(self.control_received.load(Ordering::Relaxed)));
        gauge(&mut registry, "control_dropped", whole(self.dropped.load(Ordering::Relaxed)));
        gauge(&mut registry, "store_calls", whole(store_calls));
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

fn whole(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
