//! Orders, records of roll-outs and how they are written.

use std::time::Duration;

use stairvale_replica::{State, Subject, Value};
use stairvale_rollout::{Order, Record, Stage, Write, Written};
use stairvale_types::id;

use super::{World, name};

/// A call takes this long, in ms.
const CALL: u64 = 5;
/// A call without an answer is given up after this long, in ms.
const LIMIT: u64 = 1_000;
/// What is done late is done after this long, in ms.
const LATE: u64 = 1_500;

/// What is wrong with changes of records.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// The store refuses them.
    Busy,
    /// It does them, and the answer is lost.
    Lost,
    /// It does them some time after the caller has given up, if their condition still holds.
    Late,
}

/// The answer to a change, on its way.
#[derive(Debug)]
struct Answer {
    at: u64,
    index: usize,
    /// When the process started that waits for it.
    born: u64,
    peer: Option<(id::Router, u64)>,
    service: id::Service,
    written: Written,
}

/// Changes that are on their way.
#[derive(Debug, Default)]
pub struct Records {
    answers: Vec<Answer>,
    late: Vec<(u64, Write)>,
    /// Who made each call that reached the store, in order.
    pub callers: Vec<usize>,
}

impl World {
    /// An engine appears, with its software's version.
    pub fn put_version(&mut self, engine: usize, zone: usize, version: &str) {
        self.write_engine(engine, zone, Some(State::Ready), Duration::ZERO, Some(version));
    }

    /// The operator orders a version for the service, or takes the order away; gives the store's revision.
    pub fn order(&mut self, target: Option<&str>, over: Duration) -> u64 {
        let order = target.map(|target| Value::Order(Order { target: target.parse().unwrap(), over }));
        self.put(Subject::Order("chat".parse().unwrap()), order);
        self.store.len() as u64
    }

    /// The record of the roll-out as the store has it, with its revision.
    pub fn record(&self) -> Option<(u64, Record)> {
        let subject = Subject::Rollout("chat".parse().unwrap());
        let item = self.store.iter().rev().find(|item| item.subject == subject)?;
        match item.value.as_ref()? {
            Value::Rollout(record) => Some((item.revision, record.clone())),
            _ => None,
        }
    }

    /// All records that the store ever had, the earliest first.
    pub fn history(&self) -> Vec<Record> {
        let records = self.store.iter().filter_map(|item| match item.value.as_ref()? {
            Value::Rollout(record) => Some(record.clone()),
            _ => None,
        });
        records.collect()
    }

    /// Writes a record as some home would, whatever stands there.
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
            writer: name(0),
            number: 1,
        };
        self.put(Subject::Rollout("chat".parse().unwrap()), Some(Value::Rollout(record)));
        self.store.len() as u64
    }

    /// The stage at a router, by all that it knows.
    pub fn stage(&self, index: usize) -> Option<Stage> {
        self.nodes[index].core.policy(&"chat".parse().unwrap()).map(|policy| policy.stage)
    }

    /// The service's home, as a router sees it.
    pub fn home(&self, index: usize) -> usize {
        self.index(&self.nodes[index].core.home_of(&"chat".parse().unwrap()).unwrap())
    }

    /// Who made calls that changed records, in order.
    pub fn writers(&self) -> &[usize] {
        &self.records.callers
    }

    /// A router makes a call.
    pub(super) fn write(&mut self, index: usize, peer: Option<(id::Router, u64)>, write: Write) {
        let service = write.service.clone();
        let (after, written) = if self.cut_from_store.contains(&index) {
            (LIMIT, Written::Unknown)
        } else {
            self.records.callers.push(index);
            match self.trouble {
                Trouble::None => (CALL, self.swap(write)),
                Trouble::Busy => (CALL, Written::Refused),
                Trouble::Lost => {
                    self.swap(write);
                    (LIMIT, Written::Unknown)
                }
                Trouble::Late => {
                    self.records.late.push((self.now + LATE, write));
                    (LIMIT, Written::Unknown)
                }
            }
        };
        let (at, born) = (self.now + after, self.nodes[index].born);
        self.records.answers.push(Answer { at, index, born, peer, service, written });
    }

    /// Compares and swaps.
    fn swap(&mut self, write: Write) -> Written {
        let standing = self.record();
        if standing.as_ref().map_or(0, |(revision, _)| *revision) != write.expected {
            return Written::Conflict(standing);
        }
        self.put(Subject::Rollout(write.service), Some(Value::Rollout(write.record)));
        Written::Done(self.store.len() as u64)
    }

    /// Does what is late, and hands answers in that are due.
    pub(super) fn answer_writes(&mut self) {
        let now = self.now;
        let (due, late) = std::mem::take(&mut self.records.late).into_iter().partition(|(at, _)| *at <= now);
        self.records.late = late;
        for (_, write) in Vec::<(u64, Write)>::into_iter(due) {
            self.swap(write);
        }
        let due = |answer: &Answer| answer.at <= now && !self.nodes[answer.index].frozen;
        let (due, answers) = std::mem::take(&mut self.records.answers).into_iter().partition(due);
        self.records.answers = answers;
        for Answer { index, born, peer, service, written, .. } in Vec::<Answer>::into_iter(due) {
            if !self.nodes[index].alive || self.nodes[index].born != born {
                continue;
            }
            let now = self.local(index);
            let core = &mut self.nodes[index].core;
            let effects = match peer {
                Some((peer, number)) => core.written_for(&peer, number, written),
                None => core.written(now, &service, written),
            };
            self.perform(index, effects);
        }
    }
}
