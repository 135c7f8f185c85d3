//! The inputs and outputs of a roll-out controller, which are exchanged with the code that runs it.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use stairvale_types::{Moment, id};

use crate::{
    Observation, Policy, Record,
    record::{Cause, Stage, Tally},
};

/// The limits that a roll-out must keep.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The share of a service's requests since an order that a version may get if it turns out to be failing.
    pub share: f64,
    /// Number of requests that such a version may get beyond that share.
    pub slack: f64,
    /// Maximum time from a failing version's 50th bad answer until nothing is sent to it any more.
    pub rollback: Duration,
}

/// The state of a service's upstreams, as its home observes it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetStatus {
    /// Number of upstreams of the ordered version that can take requests.
    pub ready_new: usize,
    /// Number of other upstreams that can take requests.
    pub ready_old: usize,
    /// Number of requests running at the ordered version.
    pub running_new: u32,
    /// Number of requests running at other versions.
    pub running_old: u32,
    /// The version that most of the other upstreams report.
    pub serving: Option<id::Version>,
}

/// What the pool has observed since its last report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Number of new requests, each counted when it first needed an upstream.
    pub requests: u64,
    /// Results of requests that ended.
    pub observations: Vec<Observation>,
}

/// Requests that a home may give to the version on trial.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reservation {
    /// Number of reserved requests.
    pub requests: u32,
    /// When the reservation expires. Requests that were not given out by then are lost.
    pub until: Moment,
    /// Number of upstreams among which the requests are distributed. It is chosen so that each carries the load of an
    /// old upstream and faults that occur only under load show.
    pub upstreams: usize,
    /// Whether requests that may run only once are included.
    pub unrepeatable: bool,
}

/// A change of the record, on the condition that it is still at the revision from which the change was computed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// The service that the record belongs to.
    pub service: id::Service,
    /// The record's revision in the store; 0 if there is none yet.
    pub expected: u64,
    /// The new record. The same transaction publishes its stage to the operator.
    pub record: Record,
}

/// The result of a [`Write`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Written {
    /// The record was written, at this revision of the store.
    Done(u64),
    /// The record was at another revision. This is the record in the store, if there is one.
    Conflict(Option<(u64, Record)>),
    /// The store did not execute the write.
    Refused,
    /// The write may have been executed, or may still be executed later.
    Unknown,
}

/// An action that a roll-out controller requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Perform this write, and pass its result back to the controller.
    Write(Write),
    /// Let the pool give this to the version on trial, in place of what is left of the previous reservation.
    Reserve(Reservation),
    /// Let the pool follow this policy, which takes precedence over the router's copy of the store.
    SetPolicy(Policy),
    /// Report this to operators.
    Log(Event),
}

/// A roll-out has reached a stage, or its version was rejected: one log line, with the figures behind the decision.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// The service that is rolled out.
    pub service: id::Service,
    /// The store's revision of the order.
    pub order: u64,
    /// The version that was ordered.
    pub target: id::Version,
    /// The stage that was reached.
    pub stage: Stage,
    /// Whether the stage is written to the store. A rejected version gets no requests even before that.
    pub is_committed: bool,
    /// The route that showed the fault, and the cause, if this router rejected the version itself.
    pub found: Option<(id::Route, Cause)>,
    /// Time since the order.
    pub elapsed: Duration,
    /// Requests of the service since the order, as far as they were counted.
    pub requests: u64,
    /// Requests that were granted to the version.
    pub granted: u64,
    /// Results of requests, by route.
    pub routes: BTreeMap<id::Route, Tally>,
}
