//! The record with which a newly seen order is taken up.

use std::{collections::BTreeMap, time::Duration};

use stairvale_types::id;

use crate::{Facts, Order, Record, Stage};

/// Rejected versions that are remembered; the upstreams of earlier ones are long gone.
const MOST_REJECTED: usize = 8;

/// What is to stand in the store for an order that is newer than the record there.
pub fn record(
    me: &id::Router,
    order: (u64, &Order),
    elapsed: Duration,
    last: Option<&Record>,
    facts: &Facts,
    share: f64,
) -> Record {
    let (revision, Order { target, over }) = order;
    let Some(last) = last else {
        let serving = facts.serving.clone().filter(|version| version != target);
        return fresh(me, order, elapsed, serving, Vec::new());
    };
    if last.target == *target {
        let mut record = Record { order: revision, over: *over, elapsed, writer: me.clone(), ..last.clone() };
        match last.stage {
            Stage::Trial | Stage::Moving | Stage::Completed => {}
            Stage::RolledBack(_) => {
                record.stage = Stage::Trial;
                record.routes.clear();
                // What it got counts on; what it might have got beyond that, of requests of long ago, doesn't.
                record.requests = record.requests.min(behind(record.granted, share));
                record.rejected.retain(|version| version != target);
            }
        }
        return record;
    }
    let mut rejected = last.rejected.clone();
    rejected.retain(|version| version != target && *version != last.target);
    let has_served = last.stage == Stage::Completed;
    if !has_served {
        rejected.push(last.target.clone());
    }
    let surplus = rejected.len().saturating_sub(MOST_REJECTED);
    rejected.drain(..surplus);
    let told = facts.serving.clone().filter(|version| version != target);
    let serving = if has_served { told.or_else(|| Some(last.target.clone())) } else { last.serving.clone().or(told) };
    let is_back = !has_served && serving.as_ref() == Some(target);
    let mut record = fresh(me, order, elapsed, serving, rejected);
    if is_back {
        // It served all the time, and what was on trial beside it gets nothing.
        record.stage = Stage::Completed;
    }
    record
}

/// Whether a record that follows another one is of a trial that begins anew: what was seen before isn't its own.
pub fn is_anew(last: &Record, record: &Record) -> bool {
    last.target != record.target || last.order != record.order && last.stage.is_over()
}

/// The requests of a service of which so many are the share that a version may get.
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a number from 0, cut to what fits"
)]
fn behind(granted: u64, share: f64) -> u64 {
    (granted as f64 / share).ceil().max(0.0) as u64
}

fn fresh(
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
