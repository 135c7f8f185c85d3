//! Writes whose end isn't known, and what was counted since the record was written last.

use std::collections::BTreeMap;

use stairvale_types::id;

use crate::{
    Answer, Observation, Record,
    record::{Counts, Tally},
};

/// Answers of the new version that are worth a call to the store...
const MANY: u64 = 8;
/// ... and bad ones.
const SOME_BAD: u64 = 2;

/// What was counted and stands in no record yet, as far as is known.
#[derive(Clone, Debug, Default)]
pub struct Delta {
    /// Requests.
    pub requests: u64,
    /// What became of them.
    pub routes: BTreeMap<id::Route, Tally>,
}

impl Delta {
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

    /// Takes away what is in the record now.
    fn subtract(&mut self, other: &Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        for (route, taken) in &other.routes {
            let Some(tally) = self.routes.get_mut(route) else { continue };
            subtract(&mut tally.old, taken.old);
            subtract(&mut tally.new, taken.new);
        }
        self.routes.retain(|_, tally| *tally != Tally::default());
    }

    /// Adds all to a record.
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

/// What was counted before and since the newest order was seen: an account that begins with the order has the latter alone.
#[derive(Clone, Debug, Default)]
struct Counted {
    earlier: Delta,
    latest: Delta,
}

impl Counted {
    fn mark(&mut self) {
        let latest = std::mem::take(&mut self.latest);
        self.earlier.requests += latest.requests;
        add(&mut self.earlier.routes, &latest.routes);
    }

    fn subtract(&mut self, other: &Self) {
        self.earlier.subtract(&other.earlier);
        self.latest.subtract(&other.latest);
    }

    fn sum(&self) -> Delta {
        let mut sum = self.earlier.clone();
        sum.requests += self.latest.requests;
        add(&mut sum.routes, &self.latest.routes);
        sum
    }
}

/// A write that may be done, or may be later.
#[derive(Clone, Debug)]
struct Sent {
    expected: u64,
    record: Record,
    counted: Counted,
}

/// What this router counted, and what it sent to the store without knowing yet what became of it.
#[derive(Debug, Default)]
pub struct Outbox {
    counted: Counted,
    /// All of one revision expected, so one of them at most is ever done. The last may be under way.
    sent: Vec<Sent>,
    is_under_way: bool,
}

impl Outbox {
    /// What stands in no record yet, as far as is known.
    #[must_use]
    pub fn counted(&self) -> Delta {
        self.counted.sum()
    }

    /// Whether so much was seen of the new version, or of its failing, that the next home should know it soon.
    #[must_use]
    pub fn is_much(&self) -> bool {
        let new = self.counted.latest.routes.values().map(|tally| tally.new);
        let (answers, bad) =
            new.fold((0, 0), |(answers, bad), counts| (answers + counts.answers, bad + counts.failed + counts.slow));
        answers >= MANY || bad >= SOME_BAD
    }

    /// Whether an answer is still to come.
    #[must_use]
    pub fn is_under_way(&self) -> bool {
        self.is_under_way
    }

    /// Requests came.
    pub fn count(&mut self, requests: u64) {
        self.counted.latest.requests += requests;
    }

    /// A request ended.
    pub fn observe(&mut self, observation: &Observation) {
        self.counted.latest.observe(observation);
    }

    /// An order is seen for the first time.
    pub fn mark(&mut self) {
        self.counted.mark();
        for sent in &mut self.sent {
            sent.counted.mark();
        }
    }

    /// An account begins with the newest order that was seen: what was counted before belongs to another one.
    pub fn drop_earlier(&mut self) {
        self.counted.earlier = Delta::default();
    }

    /// An account began with an order that wasn't seen here yet.
    pub fn drop_all(&mut self) {
        self.counted = Counted::default();
    }

    /// A record goes to the store, with all that was counted.
    pub fn send(&mut self, expected: u64, record: Record) {
        self.sent.push(Sent { expected, record, counted: self.counted.clone() });
        self.is_under_way = true;
    }

    /// The store did nothing of what is under way.
    pub fn refused(&mut self) {
        self.is_under_way = false;
        self.sent.pop();
    }

    /// What is under way may be done, or may be later.
    pub fn unknown(&mut self) {
        self.is_under_way = false;
    }

    /// What is under way ended, and the record that was sent, if it may still be one's own.
    pub fn answered(&mut self) -> Option<Record> {
        self.is_under_way = false;
        self.sent.last().map(|sent| sent.record.clone())
    }

    /// This is what the store has, at a later revision than before. Whatever was sent and isn't it will never be done.
    pub fn settle(&mut self, revision: u64, record: &Record) {
        if let Some(own) = self.sent.iter().find(|sent| sent.record == *record) {
            self.counted.subtract(&own.counted);
            self.sent.clear();
            return;
        }
        // One's own may have been done and written over since: what it held counts as written then, since fewer requests than
        // there were allow less, and more would allow too much.
        let hidden = self.sent.iter().filter(|sent| sent.expected != revision);
        let mut hidden =
            hidden.filter(|sent| sent.record.order == record.order && sent.record.requests <= record.requests);
        if let Some(sent) = hidden.next_back() {
            self.counted.subtract(&sent.counted);
        }
        self.sent.retain(|sent| sent.expected == revision);
    }

    /// There is no record at all.
    pub fn forget(&mut self) {
        self.sent.clear();
    }
}
