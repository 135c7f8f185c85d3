//! Writes whose end isn't known, and what was counted since the record was written last.

use std::collections::BTreeMap;

use stairvale_types::id;

use crate::{
    Answer, Observation, Record,
    record::{Counts, Tally},
};

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

/// A write that may be done, or may be later.
#[derive(Clone, Debug)]
struct Sent {
    expected: u64,
    record: Record,
    delta: Delta,
}

/// What this router counted, and what it sent to the store without knowing yet what became of it.
#[derive(Debug, Default)]
pub struct Outbox {
    counted: Delta,
    /// All of one revision expected, so one of them at most is ever done. The last may be under way.
    sent: Vec<Sent>,
    is_under_way: bool,
}

impl Outbox {
    /// What stands in no record yet, as far as is known.
    #[must_use]
    pub fn counted(&self) -> &Delta {
        &self.counted
    }

    /// Whether an answer is still to come.
    #[must_use]
    pub fn is_under_way(&self) -> bool {
        self.is_under_way
    }

    /// Requests came.
    pub fn count(&mut self, requests: u64) {
        self.counted.requests += requests;
    }

    /// A request ended.
    pub fn observe(&mut self, observation: &Observation) {
        self.counted.observe(observation);
    }

    /// A new account begins: what was counted before belongs to none.
    pub fn begin(&mut self) {
        self.counted = Delta::default();
        for sent in &mut self.sent {
            sent.delta = Delta::default();
        }
    }

    /// A record goes to the store, with all that was counted.
    pub fn send(&mut self, expected: u64, record: Record) {
        self.sent.push(Sent { expected, record, delta: self.counted.clone() });
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
            let delta = own.delta.clone();
            self.counted.subtract(&delta);
            self.sent.clear();
            return;
        }
        // One's own may have been done and written over since: what it held counts as written then, since fewer requests than
        // there were allow less, and more would allow too much.
        let hidden = self.sent.iter().filter(|sent| sent.expected != revision);
        let hidden = hidden.filter(|sent| sent.record.order == record.order && sent.record.requests <= record.requests);
        if let Some(delta) = hidden.map(|sent| sent.delta.clone()).next_back() {
            self.counted.subtract(&delta);
        }
        self.sent.retain(|sent| sent.expected == revision);
    }

    /// There is no record at all.
    pub fn forget(&mut self) {
        self.sent.clear();
    }
}
