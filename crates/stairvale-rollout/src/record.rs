//! The state of a roll-out, as the store keeps it.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use stairvale_types::id;

/// The stage of a roll-out. It only advances in the order of this list; a roll-out that is completed or rolled back
/// stays so until there is a new order.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Stage {
    /// The new version gets a few requests, from reservations only.
    Trial,
    /// The new version was accepted: new requests go there, and those that run at the old version finish.
    Moving,
    /// Nothing runs at the old version any more, and it may be stopped.
    Completed,
    /// The new version gets no requests.
    RolledBack(Cause),
}

impl Stage {
    /// Whether the roll-out has ended.
    #[must_use]
    pub fn is_over(self) -> bool {
        match self {
            Self::Trial | Self::Moving => false,
            Self::Completed | Self::RolledBack(_) => true,
        }
    }

    /// The stage's position in the list.
    fn rank(self) -> u8 {
        match self {
            Self::Trial => 0,
            Self::Moving => 1,
            Self::Completed => 2,
            Self::RolledBack(_) => 3,
        }
    }
}

/// The cause of a roll-back.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Cause {
    /// The new version failed more often than the old one.
    Failing,
    /// The new version was slow more often than the old one.
    Slow,
    /// The operator withdrew the order, or ordered another version.
    Withdrawn,
    /// No upstream of the version became ready in time.
    Missing,
    /// Too few answers of the version were observed in time to accept it.
    Unproven,
}

/// Counts of the results of requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that were answered, well or badly.
    pub answers: u64,
    /// Requests among them that failed.
    pub failed: u64,
    /// Requests among them that were served several times more slowly than expected.
    pub slow: u64,
}

/// Results of one route's requests at either version.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// Results at the version that served before.
    pub old: Counts,
    /// Results at the version on trial.
    pub new: Counts,
}

/// The state of a roll-out that must survive a router. It is changed by compare and swap on its revision in the store,
/// so of two routers that both act as home, one always learns what the other has written before it can write itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The store's revision of the order that this record is about.
    pub order: u64,
    /// The version that was ordered.
    pub target: id::Version,
    /// Time after the order within which the roll-out shall end.
    pub over: Duration,
    /// The current stage.
    pub stage: Stage,
    /// Time from when the order was first received until this record was written.
    pub elapsed: Duration,
    /// The version that served before, if most of the upstreams reported one.
    pub serving: Option<id::Version>,
    /// Versions that get no requests until they are ordered again; the latest comes last.
    pub rejected: Vec<id::Version>,
    /// Requests of the service since the order, as far as they were counted: never more than there were.
    pub requests: u64,
    /// Requests that were granted to the new version: never fewer than it got.
    pub granted: u64,
    /// Results of requests, by route.
    pub routes: BTreeMap<id::Route, Tally>,
    /// The router that wrote this record.
    pub writer: id::Router,
    /// The writer's number for this write, by which it recognises its own write when the store's answer was lost.
    pub number: u64,
}

impl Record {
    /// Merges two records of one order: the one that has advanced further, with the higher counts of both. Neither may
    /// be undone by a store that was restored with the other.
    #[must_use]
    pub fn furthest(self, other: Self) -> Self {
        let rank = |record: &Self| (record.stage.rank(), record.granted, record.requests);
        let (further, behind) = if rank(&other) > rank(&self) { (other, self) } else { (self, other) };
        Self {
            granted: further.granted.max(behind.granted),
            requests: further.requests.max(behind.requests),
            elapsed: further.elapsed.max(behind.elapsed),
            ..further
        }
    }
}
