//! How far a roll-out has come: what the store keeps of it.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use stairvale_types::id;

/// Where a roll-out stands. It only goes down this list; what is completed or rolled back stays so until it is ordered anew.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Stage {
    /// The new version gets little, from reservations alone.
    Trial,
    /// It was found good: new work goes there, and what runs at the old version ends.
    Moving,
    /// Nothing runs at the old version any more, and it may be stopped.
    Completed,
    /// The new version gets nothing.
    RolledBack(Cause),
}

impl Stage {
    /// Whether it is over.
    #[must_use]
    pub fn is_over(self) -> bool {
        match self {
            Self::Trial | Self::Moving => false,
            Self::Completed | Self::RolledBack(_) => true,
        }
    }

    /// How far down the list it is.
    fn rank(self) -> u8 {
        match self {
            Self::Trial => 0,
            Self::Moving => 1,
            Self::Completed => 2,
            Self::RolledBack(_) => 3,
        }
    }
}

/// Why a version was rolled back.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Cause {
    /// It failed more often than the old one.
    Failing,
    /// It was slow more often than the old one.
    Slow,
    /// The operator took the order away, or ordered another version.
    Withdrawn,
    /// None of its upstreams came in time.
    Missing,
    /// Too little was seen of it in time to call it good.
    Unproven,
}

/// What became of requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Those that were answered, well or badly.
    pub answers: u64,
    /// Those among them that failed.
    pub failed: u64,
    /// Those among them that were served several times more slowly than they should have been.
    pub slow: u64,
}

/// What became of one route's requests at either version.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// At the version that served before.
    pub old: Counts,
    /// At the version that is on trial.
    pub new: Counts,
}

/// All of a roll-out that must outlive a router. It is changed by compare and swap on its revision in the store, so of two
/// routers that both take themselves for the home one always learns what the other wrote before it can write itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The store's revision of the order that it is about.
    pub order: u64,
    /// The version that was ordered.
    pub target: id::Version,
    /// Within this time after the order it is to be over.
    pub over: Duration,
    /// Where it stands.
    pub stage: Stage,
    /// How long ago the order was seen first, when this was written.
    pub elapsed: Duration,
    /// The version that served before, if most of the upstreams told one.
    pub serving: Option<id::Version>,
    /// Versions that get nothing until they are ordered again; the latest last.
    pub rejected: Vec<id::Version>,
    /// Requests that the service got since the order, as far as they were counted: never more than there were.
    pub requests: u64,
    /// Requests that were set aside for the new version: never fewer than it got.
    pub granted: u64,
    /// What became of requests, by route.
    pub routes: BTreeMap<id::Route, Tally>,
    /// Who wrote this.
    pub writer: id::Router,
    /// And that router's number for the write, by which it knows its own again when the store's answer was lost.
    pub number: u64,
}

impl Record {
    /// Of two records of one order, the one that has come further, with all that either counted: neither may be undone by a store
    /// that was restored with the other.
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
