//! Roll-out orders and records in the simulated store, and the conditional writes that change records.

use std::time::Duration;

use stairvale_replica::{Revision, State, Subject, Value};
use stairvale_rollout::{Order, Record, Stage, Write, Written};
use stairvale_types::id;

use super::{World, epoch_revision, router_id};

/// How long a write takes, in ms.
const WRITE_DELAY_MS: u64 = 5;
/// A write without an answer times out after this long, in ms.
const WRITE_TIMEOUT_MS: u64 = 1_000;
/// A late write ([`Fault::Late`]) is applied after this long, in ms: later than the caller's timeout.
const LATE_WRITE_DELAY_MS: u64 = 1_500;

/// The fault that affects writes of roll-out records.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Writes work.
    None,
    /// The store refuses writes.
    Busy,
    /// The store applies writes, but its answer is lost.
    Lost,
    /// The store applies a write after the caller's timeout, if the write's condition still holds then.
    Late,
}

/// The outstanding answer to a write.
#[derive(Debug)]
struct Answer {
    at: u64,
    index: usize,
    /// When the waiting process started; a later process with the same index doesn't get the answer.
    started_at: u64,
    peer: Option<(id::Router, u64)>,
    service: id::Service,
    written: Written,
}

/// Writes that are outstanding, and a log of callers.
#[derive(Debug, Default)]
pub struct Records {
    answers: Vec<Answer>,
    late: Vec<(u64, Write)>,
    /// The index of the router that made each call that reached the store, in order.
    pub callers: Vec<usize>,
}

/// A write as the store receives it: its revisions are the store's own numbers.
fn without_epoch(mut write: Write) -> Write {
    write.expected = Revision::from(write.expected).number();
    write.record.order = Revision::from(write.record.order).number();
    write
}

/// The result of a write as it is read in an epoch.
fn written_with_epoch(epoch: u64, written: Written) -> Written {
    match written {
        Written::Done(revision) => Written::Done(epoch_revision(epoch, revision)),
        Written::Conflict(Some((revision, mut record))) => {
            record.order = epoch_revision(epoch, record.order);
            Written::Conflict(Some((epoch_revision(epoch, revision), record)))
        }
        Written::Conflict(None) | Written::Refused | Written::Unknown => written,
    }
}

impl World {
    /// Writes the entry of a ready engine with its software version to the store.
    pub fn put_engine_version(&mut self, engine: usize, zone: usize, version: &str) {
        self.write_engine(engine, zone, Some(State::Ready), Duration::ZERO, Some(version));
    }

    /// Writes the operator's order of a version for the service, or removes it; returns the store's revision.
    pub fn set_order(&mut self, target: Option<&str>, over: Duration) -> u64 {
        let order = target.map(|target| Value::Order(Order { target: target.parse().unwrap(), over }));
        self.put(Subject::Order("chat".parse().unwrap()), order);
        self.store.len() as u64
    }

    /// The roll-out record in the store, with its revision.
    pub fn record(&self) -> Option<(u64, Record)> {
        let subject = Subject::Rollout("chat".parse().unwrap());
        let item = self.store.iter().rev().find(|item| item.subject == subject)?;
        match item.value.as_ref()? {
            Value::Rollout(record) => Some((item.revision, record.clone())),
            _ => None,
        }
    }

    /// All roll-out records that the store has held, the earliest first.
    pub fn history(&self) -> Vec<Record> {
        let records = self.store.iter().filter_map(|item| match item.value.as_ref()? {
            Value::Rollout(record) => Some(record.clone()),
            _ => None,
        });
        records.collect()
    }

    /// Writes a roll-out record unconditionally; returns the store's revision.
    pub fn put_record(&mut self, order: u64, target: &str, stage: Stage) -> u64 {
        let record = Record {
            order,
            target: target.parse().unwrap(),
            over: Duration::from_secs(60),
            stage,
            elapsed: Duration::from_secs(1),
            serving: "v1".parse().ok(),
            rejected: Vec::new(),
            requests: 0,
            granted: 0,
            routes: std::collections::BTreeMap::new(),
            writer: router_id(0),
            number: 1,
        };
        self.put(Subject::Rollout("chat".parse().unwrap()), Some(Value::Rollout(record)));
        self.store.len() as u64
    }

    /// The stage of the roll-out that a router follows, derived from its copy of the store and its peers' reports.
    pub fn stage(&self, index: usize) -> Option<Stage> {
        self.nodes[index].core.policy(&"chat".parse().unwrap()).map(|policy| policy.stage)
    }

    /// The index of the service's home, in a router's view.
    pub fn home(&self, index: usize) -> usize {
        self.index_of(&self.nodes[index].core.home_of(&"chat".parse().unwrap()).unwrap())
    }

    /// The indexes of the routers whose write calls reached the store, in order.
    pub fn writers(&self) -> &[usize] {
        &self.records.callers
    }

    /// Sends a router's write to the store, for itself or on behalf of a peer.
    pub(super) fn write(&mut self, index: usize, peer: Option<(id::Router, u64)>, write: Write) {
        let service = write.service.clone();
        let (after, written) = if self.cut_from_store.contains(&index) {
            (WRITE_TIMEOUT_MS, Written::Unknown)
        } else {
            self.records.callers.push(index);
            let (epoch, write) = (self.epoch_for(index), without_epoch(write));
            match self.record_fault {
                _ if self.refused_writers.contains(&index) => (WRITE_DELAY_MS, Written::Refused),
                Fault::None => (WRITE_DELAY_MS, written_with_epoch(epoch, self.compare_and_swap(write))),
                Fault::Busy => (WRITE_DELAY_MS, Written::Refused),
                Fault::Lost => {
                    self.compare_and_swap(write);
                    (WRITE_TIMEOUT_MS, Written::Unknown)
                }
                Fault::Late => {
                    self.records.late.push((self.now + LATE_WRITE_DELAY_MS, write));
                    (WRITE_TIMEOUT_MS, Written::Unknown)
                }
            }
        };
        let (at, started_at) = (self.now + after, self.nodes[index].started_at);
        self.records.answers.push(Answer { at, index, started_at, peer, service, written });
    }

    /// Applies a write if the record still has the revision that the writer expects.
    fn compare_and_swap(&mut self, write: Write) -> Written {
        let current = self.record();
        if current.as_ref().map_or(0, |(revision, _)| *revision) != write.expected {
            return Written::Conflict(current);
        }
        self.put(Subject::Rollout(write.service), Some(Value::Rollout(write.record)));
        Written::Done(self.store.len() as u64)
    }

    /// Applies late writes, and delivers answers, that are due.
    pub(super) fn deliver_write_results(&mut self) {
        let now = self.now;
        let (due, late) = std::mem::take(&mut self.records.late).into_iter().partition(|(at, _)| *at <= now);
        self.records.late = late;
        for (_, write) in Vec::<(u64, Write)>::into_iter(due) {
            self.compare_and_swap(write);
        }
        let due = |answer: &Answer| answer.at <= now && !self.nodes[answer.index].frozen;
        let (due, answers) = std::mem::take(&mut self.records.answers).into_iter().partition(due);
        self.records.answers = answers;
        for Answer { index, started_at, peer, service, written, .. } in Vec::<Answer>::into_iter(due) {
            if !self.nodes[index].alive || self.nodes[index].started_at != started_at {
                continue;
            }
            let now = self.local_time(index);
            let core = &mut self.nodes[index].core;
            let effects = match peer {
                Some((peer, number)) => core.written_for(&peer, number, written),
                None => core.written(now, &service, written),
            };
            self.perform(index, effects);
        }
    }
}
