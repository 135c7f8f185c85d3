//! The record that is written for a newly received order.

use std::{collections::BTreeMap, time::Duration};

use stairvale_types::id;

use crate::{FleetStatus, Order, Record, Stage};

/// Maximum number of rejected versions that are kept. The upstreams of earlier ones no longer exist.
const MAX_REJECTED: usize = 8;

/// The record to be written for an order that is newer than the record in the store.
pub fn record_for_order(
    me: &id::Router,
    order: (u64, &Order),
    elapsed: Duration,
    last: Option<&Record>,
    fleet: &FleetStatus,
    share: f64,
) -> Record {
    let (revision, Order { target, over }) = order;
    let Some(last) = last else {
        let serving = fleet.serving.clone().filter(|version| version != target);
        return new_record(me, order, elapsed, serving, Vec::new());
    };
    if last.target == *target {
        let mut record = Record { order: revision, over: *over, elapsed, writer: me.clone(), ..last.clone() };
        match last.stage {
            Stage::Trial | Stage::Moving | Stage::Completed => {}
            Stage::RolledBack(_) => {
                record.stage = Stage::Trial;
                record.routes.clear();
                // Requests that the version got still count, but unused room from requests of long ago doesn't.
                record.requests = record.requests.min(requests_backing(record.granted, share));
                record.rejected.retain(|version| version != target);
            }
        }
        return record;
    }
    let mut rejected = last.rejected.clone();
    rejected.retain(|version| version != target && *version != last.target);
    let was_completed = last.stage == Stage::Completed;
    if !was_completed {
        rejected.push(last.target.clone());
    }
    let surplus = rejected.len().saturating_sub(MAX_REJECTED);
    rejected.drain(..surplus);
    let reported = fleet.serving.clone().filter(|version| version != target);
    let serving =
        if was_completed { reported.or_else(|| Some(last.target.clone())) } else { last.serving.clone().or(reported) };
    let is_reverted = !was_completed && serving.as_ref() == Some(target);
    let mut record = new_record(me, order, elapsed, serving, rejected);
    if is_reverted {
        // The target has been serving throughout, and the version on trial beside it gets nothing.
        record.stage = Stage::Completed;
    }
    record
}

/// Whether `record`, which follows `last`, starts a new trial, so that earlier observations don't belong to it.
pub fn starts_new_trial(last: &Record, record: &Record) -> bool {
    last.target != record.target || last.order != record.order && last.stage.is_over()
}

/// The number of the service's requests of which `granted` is the share that a version may get.
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "not negative, and the cast saturates"
)]
fn requests_backing(granted: u64, share: f64) -> u64 {
    (granted as f64 / share).ceil().max(0.0) as u64
}

fn new_record(
    me: &id::Router,
    (revision, order): (u64, &Order),
    elapsed: Duration,
    serving: Option<id::Version>,
    rejected: Vec<id::Version>,
) -> Record {
    Record {
        order: revision,
        target: order.target.clone(),
        over: order.over,
        stage: Stage::Trial,
        elapsed,
        serving,
        rejected,
        requests: 0,
        granted: 0,
        routes: BTreeMap::new(),
        writer: me.clone(),
        number: 0,
    }
}
