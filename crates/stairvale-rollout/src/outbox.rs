//! Writes whose result is unknown, and the counts since the record was last written.

use std::collections::BTreeMap;

use stairvale_types::id;

use crate::{
    Answer, Observation, Record,
    record::{Counts, Tally},
};

/// Number of answers of the new version from which an extra write to the store is worthwhile.
const URGENT_ANSWERS: u64 = 8;
/// Number of bad answers of the new version from which such a write is worthwhile.
const URGENT_BAD_ANSWERS: u64 = 2;

/// Counts that, as far as this router knows, are not in any record yet.
#[derive(Clone, Debug, Default)]
pub struct UnrecordedCounts {
    /// Number of requests.
    pub requests: u64,
    /// Results of the requests, by route.
    pub routes: BTreeMap<id::Route, Tally>,
}

impl UnrecordedCounts {
    fn observe(&mut self, observation: &Observation) {
        let tally = self.routes.entry(observation.route).or_default();
        let counts = if observation.is_new { &mut tally.new } else { &mut tally.old };
        counts.answers += 1;
        match observation.answer {
            Answer::Good => {}
            Answer::Failed => counts.failed += 1,
            Answer::Slow => counts.slow += 1,
        }
    }

    /// Subtracts counts that are now in the record.
    fn subtract(&mut self, other: &Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        for (route, taken) in &other.routes {
            let Some(tally) = self.routes.get_mut(route) else { continue };
            subtract(&mut tally.old, taken.old);
            subtract(&mut tally.new, taken.new);
        }
        self.routes.retain(|_, tally| *tally != Tally::default());
    }

    /// Adds the counts to a record.
    pub fn add_to(&self, record: &mut Record) {
        record.requests += self.requests;
        add(&mut record.routes, &self.routes);
    }
}

fn subtract(counts: &mut Counts, taken: Counts) {
    counts.answers = counts.answers.saturating_sub(taken.answers);
    counts.failed = counts.failed.saturating_sub(taken.failed);
    counts.slow = counts.slow.saturating_sub(taken.slow);
}

/// Adds tallies to others.
pub fn add(routes: &mut BTreeMap<id::Route, Tally>, more: &BTreeMap<id::Route, Tally>) {
    for (route, tally) in more {
        let sum = routes.entry(*route).or_default();
        for (counts, other) in [(&mut sum.old, tally.old), (&mut sum.new, tally.new)] {
            counts.answers += other.answers;
            counts.failed += other.failed;
            counts.slow += other.slow;
        }
    }
}

/// Counts from before and since the newest order was received. An exposure budget that begins with the order only
/// includes the latter.
#[derive(Clone, Debug, Default)]
struct CountsByOrder {
    before_order: UnrecordedCounts,
    since_order: UnrecordedCounts,
}

impl CountsByOrder {
    fn start_order(&mut self) {
        let since_order = std::mem::take(&mut self.since_order);
        self.before_order.requests += since_order.requests;
        add(&mut self.before_order.routes, &since_order.routes);
    }

    fn subtract(&mut self, other: &Self) {
        self.before_order.subtract(&other.before_order);
        self.since_order.subtract(&other.since_order);
    }

    fn total(&self) -> UnrecordedCounts {
        let mut sum = self.before_order.clone();
        sum.requests += self.since_order.requests;
        add(&mut sum.routes, &self.since_order.routes);
        sum
    }
}

/// A write that may have been executed, or may still be executed later.
#[derive(Clone, Debug)]
struct SentWrite {
    expected: u64,
    record: Record,
    counted: CountsByOrder,
}

/// The counts of this router, and the writes that it sent to the store and whose result it doesn't know yet.
#[derive(Debug, Default)]
pub struct Outbox {
    counted: CountsByOrder,
    /// These writes all expect the same revision, so at most one of them is ever executed. The last one may be in
    /// flight.
    sent: Vec<SentWrite>,
    is_write_in_flight: bool,
}

impl Outbox {
    /// The counts that, as far as this router knows, are not in any record yet.
    #[must_use]
    pub fn unrecorded(&self) -> UnrecordedCounts {
        self.counted.total()
    }

    /// Whether there are so many answers of the new version, or so many bad ones, that the next home should soon find
    /// them in the record.
    #[must_use]
    pub fn has_urgent_evidence(&self) -> bool {
        let new = self.counted.since_order.routes.values().map(|tally| tally.new);
        let (answers, bad) =
            new.fold((0, 0), |(answers, bad), counts| (answers + counts.answers, bad + counts.failed + counts.slow));
        answers >= URGENT_ANSWERS || bad >= URGENT_BAD_ANSWERS
    }

    /// Whether the result of a write is still outstanding.
    #[must_use]
    pub fn is_write_in_flight(&self) -> bool {
        self.is_write_in_flight
    }

    /// Counts requests of the service.
    pub fn count(&mut self, requests: u64) {
        self.counted.since_order.requests += requests;
    }

    /// Counts the result of a request.
    pub fn observe(&mut self, observation: &Observation) {
        self.counted.since_order.observe(observation);
    }

    /// Begins to count for a newly received order.
    pub fn start_order(&mut self) {
        self.counted.start_order();
        for sent in &mut self.sent {
            sent.counted.start_order();
        }
    }

    /// Discards the counts from before the newest order received, since an exposure budget begins with that order.
    pub fn discard_before_order(&mut self) {
        self.counted.before_order = UnrecordedCounts::default();
    }

    /// Discards all counts, since an exposure budget began with an order which this router has not received yet.
    pub fn discard_all(&mut self) {
        self.counted = CountsByOrder::default();
    }

    /// Records that a record, which includes all counts, is sent to the store.
    pub fn send(&mut self, expected: u64, record: Record) {
        self.sent.push(SentWrite { expected, record, counted: self.counted.clone() });
        self.is_write_in_flight = true;
    }

    /// Drops the write in flight, which the store did not execute.
    pub fn write_refused(&mut self) {
        self.is_write_in_flight = false;
        self.sent.pop();
    }

    /// Ends the write in flight with an unknown result: it may have been executed, or may still be executed later.
    pub fn write_unknown(&mut self) {
        self.is_write_in_flight = false;
    }

    /// Ends the write in flight. Returns the record that was sent, unless it is known by now to be superseded.
    pub fn write_answered(&mut self) -> Option<Record> {
        self.is_write_in_flight = false;
        self.sent.last().map(|sent| sent.record.clone())
    }

    /// Reconciles the counts with a record of the store, at a later revision than before. Any other write that was sent
    /// for an earlier revision will never be executed.
    pub fn reconcile(&mut self, revision: u64, record: &Record) {
        if let Some(own_write) = self.sent.iter().find(|sent| sent.record == *record) {
            self.counted.subtract(&own_write.counted);
            self.sent.clear();
            return;
        }
        // A write of this router may have been executed and then overwritten. Its counts are taken as recorded:
        // counting fewer requests than there were allows less, whereas counting more would allow too much.
        let overwritten = self.sent.iter().filter(|sent| sent.expected != revision);
        let mut overwritten =
            overwritten.filter(|sent| sent.record.order == record.order && sent.record.requests <= record.requests);
        if let Some(sent) = overwritten.next_back() {
            self.counted.subtract(&sent.counted);
        }
        self.sent.retain(|sent| sent.expected == revision);
    }

    /// Drops the sent writes, since the store has no record at all.
    pub fn clear_sent(&mut self) {
        self.sent.clear();
    }
}
