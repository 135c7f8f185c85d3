//! What passes between a steward and the shell that drives it.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use stairvale_types::{Moment, id};

use crate::{
    Observation, Policy, Record,
    record::{Cause, Stage, Tally},
};

/// What must hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The share of a service's requests since an order that a version which turns out bad may get...
    pub share: f64,
    /// ... and the requests beyond that.
    pub slack: f64,
    /// Nothing is sent to a bad version later than this after its 50th bad answer.
    pub rollback: Duration,
}

/// What the home sees of a service's upstreams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Facts {
    /// Upstreams of the ordered version that could be given work.
    pub ready_new: usize,
    /// Others that could be.
    pub ready_old: usize,
    /// Requests that run at the ordered version.
    pub running_new: u32,
    /// Requests that run elsewhere.
    pub running_old: u32,
    /// The version that most of the others tell.
    pub serving: Option<id::Version>,
}

/// What the pool saw since it was asked last.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests that asked for an upstream for the first time.
    pub requests: u64,
    /// Requests that ended.
    pub observations: Vec<Observation>,
}

/// Requests that a home may give to the version on trial.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reservation {
    /// How many.
    pub requests: u32,
    /// Until when: what isn't given by then is lost.
    pub until: Moment,
    /// Over how many upstreams, so that each of them carries what an old one does: what shows under load alone is to show.
    pub over: usize,
    /// Whether requests that may run only once are tried, too.
    pub unrepeatable: bool,
}

/// A change of the record, if it is still at the revision that this was worked out from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// The service.
    pub service: id::Service,
    /// The record's revision in the store; 0 if there is none yet.
    pub expected: u64,
    /// What is to stand there. The operator is told its stage in the same transaction.
    pub record: Record,
}

/// What became of a [`Write`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Written {
    /// It stands, at this revision of the store.
    Done(u64),
    /// The record was at another revision: this is what stands there, if anything does.
    Conflict(Option<(u64, Record)>),
    /// The store did nothing.
    Refused,
    /// It may have been done, or may be later.
    Unknown,
}

/// What a steward wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Write this; tell the steward by [`Steward::written`](crate::Steward::written).
    Write(Write),
    /// The pool may give this to the version on trial, in place of what is left of the last one.
    Reserve(Reservation),
    /// The pool is to follow this: it goes before what the copy of the store says.
    Follow(Policy),
    /// Something that operators are told.
    Say(Event),
}

/// A roll-out has reached a stage, or its version was found bad: one line of the log, with the figures that decided it.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// The service.
    pub service: id::Service,
    /// The store's revision of the order.
    pub order: u64,
    /// The version that was ordered.
    pub target: id::Version,
    /// The stage.
    pub stage: Stage,
    /// Whether it stands in the store; a version that was found bad gets nothing before that.
    pub stands: bool,
    /// The route that showed it, and how, if this router found the version bad itself.
    pub found: Option<(id::Route, Cause)>,
    /// Time since the order.
    pub elapsed: Duration,
    /// Requests that the service got since the order, as far as they were counted.
    pub requests: u64,
    /// Requests that were set aside for the version.
    pub granted: u64,
    /// What became of requests, by route.
    pub routes: BTreeMap<id::Route, Tally>,
}
