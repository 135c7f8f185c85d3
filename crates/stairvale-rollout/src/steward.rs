//! The roll-out controller of a service, which runs at the service's home: it reserves requests for the new version,
//! accepts or rejects the version, and writes the record.

mod tell;

use std::{collections::BTreeMap, time::Duration};

use stairvale_types::{Moment, Revision, id};

use crate::{
    Bounds, ExposureBudget, FleetStatus, Judge, Order, Policy, Record, Report, Stage, Step, Write, Written,
    clock::OrderClock,
    holding::ConditionTimer,
    outbox::{self, Outbox},
    record::{Cause, Tally},
    start,
    trial::{Action, Plan, Progress, Trial},
};

/// Validity of a reservation. Requests that have not been issued by then are lost, because another home may have
/// rejected the version in the meantime. For users this bounds how long a rejected version still receives requests: a
/// few seconds after its failure was detected.
const RESERVATION_TTL: Duration = Duration::from_secs(2);
/// Delay before the next write after a failed one. It doubles with each failure, up to [`MAX_RETRY_DELAY`].
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Upper limit of the retry delay. Store calls have a cost, and more of them do not help a store that is failing.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// How long no request may run at the old version before it may be stopped: an entry router may just be sending one.
const OLD_VERSION_IDLE_PERIOD: Duration = Duration::from_millis(300);
/// Time after the switch to the new version during which entry routers may still send requests by an older copy of the
/// record.
const PROPAGATION_DELAY: Duration = Duration::from_millis(500);
/// Time reserved before the deadline for the write that ends a roll-out in any case: the store may take that long.
const FINAL_WRITE_MARGIN: Duration = Duration::from_millis(800);
/// Minimum time that the fleet gets to move, also when it started to move late.
const MIN_MOVING_TIME: Duration = Duration::from_secs(1);
/// Interval after which counts are written even without a new reservation: the home may die, and the exposure bound
/// grows only by requests that are in the record.
const PERSIST_INTERVAL: Duration = Duration::from_secs(1);
/// The same interval when there are many answers, or some bad ones, of the new version.
const URGENT_PERSIST_INTERVAL: Duration = Duration::from_millis(500);
/// How long there must be no old upstream, before anything was tried, until the ordered version is taken as the one
/// that serves.
const SOLE_VERSION_PERIOD: Duration = Duration::from_secs(1);

/// A reservation, from its planning until it is issued to the pool.
#[derive(Clone, Copy, Debug)]
struct PendingReservation {
    order: u64,
    plan: Plan,
    until: Moment,
}

/// The roll-out controller of one service. It carries the service's roll-outs on while its router is the service's
/// home.
#[derive(Debug)]
pub struct RolloutController {
    me: id::Router,
    service: id::Service,
    bounds: Bounds,
    /// The newest order in this router's copy of the store, with its revision.
    order: Option<(u64, Order)>,
    /// The record in this router's copy of the store, with its revision. `record` is the newest one known from any
    /// source.
    cached_record: Option<(u64, Record)>,
    record: Option<(u64, Record)>,
    /// Whether the store may hold an earlier version of the record, or none at all, because it was restored from a
    /// backup.
    needs_rewrite: bool,
    clock: OrderClock,
    /// When this router observed that the fleet has started to move.
    moving_since: Option<Moment>,
    judge: Option<Judge>,
    /// The order whose version was rejected, with the cause, and with the route if this router rejected it itself.
    verdict: Option<(u64, Cause, Option<id::Route>)>,
    trial: Trial,
    outbox: Outbox,
    number: u64,
    /// When the last write was sent to the store.
    last_write_at: Moment,
    not_before: Moment,
    failed_writes: u32,
    pending_reservation: Option<PendingReservation>,
    /// A reservation that has been written to the store and is to be issued to the pool.
    committed: Option<PendingReservation>,
    /// The order of the last issued reservation, and the time until which the pool may have requests left of it.
    issued: Option<(u64, Moment)>,
    /// The policy last sent to the pool in place of the one that follows from this router's copy of the store.
    policy_override: Option<Policy>,
    has_cache_changed: bool,
    last_logged: Option<(u64, Stage, bool)>,
    old_version_idle: ConditionTimer,
    only_new_version: ConditionTimer,
}

impl RolloutController {
    /// Creates the controller of a service's roll-outs at a router.
    #[must_use]
    pub fn new(me: id::Router, service: id::Service, bounds: Bounds) -> Self {
        Self {
            me,
            service,
            bounds,
            order: None,
            cached_record: None,
            record: None,
            needs_rewrite: false,
            clock: OrderClock::default(),
            moving_since: None,
            judge: None,
            verdict: None,
            trial: Trial::default(),
            outbox: Outbox::default(),
            number: 0,
            last_write_at: Moment::ZERO,
            not_before: Moment::ZERO,
            failed_writes: 0,
            pending_reservation: None,
            committed: None,
            issued: None,
            policy_override: None,
            has_cache_changed: false,
            last_logged: None,
            old_version_idle: ConditionTimer::default(),
            only_new_version: ConditionTimer::default(),
        }
    }

    // ----------------------------------------------------------------------------------------------------------------
    // Inputs

    /// Updates the order and the record from this router's copy of the store, each with its revision. It is called at
    /// every router, so that a router that takes over as home also measures time from the order.
    pub fn store_updated(&mut self, now: Moment, order: Option<(u64, &Order)>, record: Option<(u64, &Record)>) {
        self.has_cache_changed = true;
        if let Some((revision, record)) = record {
            self.cached_record = Some((revision, record.clone()));
            self.adopt(now, revision, record);
        }
        let Some((revision, order)) = order else {
            self.order = None;
            return;
        };
        let is_new = self.order.as_ref().is_none_or(|(known, _)| *known < revision);
        self.order = Some((revision, order.clone()));
        if is_new {
            self.clock.observe_age(now, revision, Duration::ZERO);
            self.outbox.start_order();
        }
    }

    /// Takes a report of the pool on the requests that it observed.
    pub fn observe(&mut self, now: Moment, report: Report) {
        self.trial.count(now, report.requests);
        if !self.is_collecting() {
            return;
        }
        self.outbox.count(report.requests);
        let judge = self.judge.get_or_insert_with(|| Judge::resume(now, &routes_of(self.record.as_ref())));
        // The old version's answers go first, so that a fault that affects both versions at the same moment is
        // recognised as such.
        let (new, old): (Vec<_>, Vec<_>) = report.observations.into_iter().partition(|observation| observation.is_new);
        for observation in old.iter().chain(&new) {
            judge.observe(now, observation);
            self.outbox.observe(observation);
        }
    }

    /// Takes the result of a write.
    pub fn write_finished(&mut self, now: Moment, written: Written) {
        if !self.outbox.is_write_in_flight() {
            return;
        }
        let own = self.outbox.write_answered();
        let pending_reservation = self.pending_reservation.take();
        match written {
            Written::Done(revision) => {
                self.failed_writes = 0;
                self.committed = pending_reservation;
                if let Some(own) = own {
                    self.adopt(now, revision, &own);
                }
            }
            // The record in the store may be this router's own, if the write was forwarded and executed twice. No
            // reservation is issued then: an earlier incarnation of this router might have written the same record and
            // issued it.
            Written::Conflict(Some((revision, record))) => {
                let known = self.record.as_ref().map(|(revision, _)| *revision);
                self.adopt(now, revision, &record);
                if known == self.record.as_ref().map(|(revision, _)| *revision) {
                    // The store returned an older record than before, so an immediate retry would give nothing new.
                    self.back_off(now);
                } else {
                    self.failed_writes = 0;
                }
            }
            Written::Conflict(None) => {
                self.outbox.clear_sent();
                // The record was deleted from the store. The granted requests remain granted, so the record is written
                // anew.
                if let Some((revision, _)) = &mut self.record {
                    *revision = 0;
                }
                self.back_off(now);
            }
            Written::Refused => {
                self.outbox.write_refused();
                self.back_off(now);
            }
            Written::Unknown => {
                self.outbox.write_unknown();
                self.back_off(now);
            }
        }
    }

    /// Drops all reservations, since this router is not the service's home.
    pub fn step_down(&mut self) {
        self.pending_reservation = None;
        self.committed = None;
        self.issued = None;
        self.policy_override = None;
        self.old_version_idle = ConditionTimer::default();
        self.only_new_version = ConditionTimer::default();
        self.trial.restart();
    }

    /// The revision of the last order whose version was rejected, by this router or by a peer that notified it.
    #[must_use]
    pub fn rejected_order(&self) -> Option<u64> {
        self.verdict.map(|(order, ..)| order)
    }

    /// Records that a peer has rejected the version of the order with this revision.
    pub fn peer_rejected(&mut self, order: u64) {
        if self.verdict.is_none_or(|(known, ..)| known < order) {
            self.verdict = Some((order, Cause::Failing, None));
        }
    }

    // ----------------------------------------------------------------------------------------------------------------
    // Decisions

    /// Advances the roll-out at the service's home; it is called about 20 times a second.
    pub fn tick(&mut self, now: Moment, fleet: &FleetStatus) -> Vec<Step> {
        let mut steps = Vec::new();
        self.old_version_idle.update(now, fleet.running_old == 0);
        self.only_new_version.update(now, fleet.ready_old == 0 && fleet.running_old == 0 && fleet.ready_new > 0);
        if let Some(judge) = &mut self.judge {
            judge.weigh_due(now);
        }
        self.evaluate_verdict(now);
        self.log_transition(now, &mut steps);
        self.update_policy(&mut steps);
        self.issue_reservation(now, &mut steps);
        if !self.outbox.is_write_in_flight()
            && now >= self.not_before
            && let Some((record, plan)) = self.next_record(now, fleet)
        {
            steps.push(self.write(now, record, plan));
        }
        steps
    }

    /// Whether observations belong to a roll-out that is running or about to begin.
    fn is_collecting(&self) -> bool {
        self.pending_order().is_some() || self.record.as_ref().is_some_and(|(_, record)| !record.stage.is_over())
    }

    /// The newest order, if it is newer than the record.
    fn pending_order(&self) -> Option<(u64, &Order)> {
        let (revision, order) = self.order.as_ref()?;
        let is_recorded = self.record.as_ref().is_some_and(|(_, record)| record.order >= *revision);
        (!is_recorded).then_some((*revision, order))
    }

    /// Whether the operator has withdrawn the record's order. A copy that is older than the record does not show that.
    fn is_withdrawn(&self, record: &Record) -> bool {
        self.order.is_none() && self.cached_record.as_ref().is_some_and(|(_, cached)| cached.order == record.order)
    }

    /// The cause for which the version of an order was rejected, if it was.
    fn rejection_cause(&self, order: u64) -> Option<Cause> {
        self.verdict.filter(|(rejected, ..)| *rejected == order).map(|(_, cause, _)| cause)
    }

    /// The revision of the order in force at this router: the newest order that is not in a record yet, or else the
    /// record's.
    fn current_order(&self) -> Option<u64> {
        self.pending_order()
            .map(|(revision, _)| revision)
            .or_else(|| self.record.as_ref().map(|(_, record)| record.order))
    }

    fn evaluate_verdict(&mut self, now: Moment) {
        let Some((_, record)) = &self.record else { return };
        let order = record.order;
        if record.stage.is_over() || self.pending_order().is_some() || self.rejection_cause(order).is_some() {
            return;
        }
        if let Some((route, cause)) = self.judge.as_ref().and_then(|judge| judge.verdict(now)) {
            self.verdict = Some((order, cause, Some(route)));
        }
    }

    /// The revision of the order whose version may receive reserved requests.
    fn trial_order(&self) -> Option<u64> {
        let (_, record) = self.record.as_ref()?;
        let is_in_force = self.pending_order().is_none() && !self.is_withdrawn(record);
        let is_on_trial = record.stage == Stage::Trial && self.rejection_cause(record.order).is_none();
        (is_in_force && is_on_trial).then_some(record.order)
    }

    /// The record to be written next, with the reservation that it contains.
    fn next_record(&mut self, now: Moment, fleet: &FleetStatus) -> Option<(Record, Option<Plan>)> {
        let elapsed = self.clock.age(now);
        if let Some(order) = self.pending_order() {
            let last = self.record.as_ref().map(|(_, record)| record);
            let mut record = start::record_for_order(&self.me, order, elapsed, last, fleet, self.bounds.share);
            let starts_new_trial = last.is_none_or(|last| start::starts_new_trial(last, &record));
            if let (false, Some(cause)) = (record.stage.is_over(), self.rejection_cause(record.order)) {
                record.stage = Stage::RolledBack(cause);
            }
            if starts_new_trial {
                self.outbox.discard_before_order();
            }
            return Some((record, None));
        }
        let (_, record) = self.record.as_ref()?;
        let mut record = record.clone();
        if record.stage.is_over() {
            return self.needs_rewrite.then_some((record, None));
        }
        if let Some(cause) = self.rejection_cause(record.order) {
            record.stage = Stage::RolledBack(cause);
            return Some((record, None));
        }
        if self.is_withdrawn(&record) {
            record.stage = Stage::RolledBack(Cause::Withdrawn);
            return Some((record, None));
        }
        match record.stage {
            Stage::Trial => self.next_trial_record(now, record, fleet),
            Stage::Moving => {
                record.stage = self.stage_after_moving(now, &record, fleet)?;
                Some((record, None))
            }
            Stage::Completed | Stage::RolledBack(_) => None,
        }
    }

    fn next_trial_record(
        &mut self,
        now: Moment,
        mut record: Record,
        fleet: &FleetStatus,
    ) -> Option<(Record, Option<Plan>)> {
        if record.granted == 0 && record.serving.is_none() && self.only_new_version.has_held_for(now, Duration::ZERO) {
            if !self.only_new_version.has_held_for(now, SOLE_VERSION_PERIOD) {
                return None;
            }
            record.stage = Stage::Completed;
            return Some((record, None));
        }
        let unrecorded = self.outbox.unrecorded();
        let mut routes = record.routes.clone();
        outbox::add(&mut routes, &unrecorded.routes);
        let progress = Progress {
            elapsed: self.clock.age(now),
            deadline: record.over,
            budget: ExposureBudget { requests: record.requests + unrecorded.requests, granted: record.granted },
            routes: &routes,
            fleet,
            is_suspected: self.judge.as_ref().is_some_and(Judge::is_suspected),
            is_suspected_without_worst: self.judge.as_ref().is_some_and(Judge::is_suspected_without_worst),
        };
        match self.trial.next_action(now, &self.bounds, &progress) {
            Action::Wait => {
                let interval =
                    if self.outbox.has_urgent_evidence() { URGENT_PERSIST_INTERVAL } else { PERSIST_INTERVAL };
                (unrecorded.requests > 0 && now >= self.last_write_at + interval).then_some((record, None))
            }
            Action::Reserve(plan) => {
                record.granted += u64::from(plan.requests);
                self.trial.reservation_sent(now, plan, fleet);
                Some((record, Some(plan)))
            }
            Action::Move => {
                record.stage = Stage::Moving;
                Some((record, None))
            }
            Action::Unproven => {
                record.stage = Stage::RolledBack(Cause::Unproven);
                Some((record, None))
            }
            Action::Missing => {
                record.stage = Stage::RolledBack(Cause::Missing);
                Some((record, None))
            }
        }
    }

    /// The stage that follows once the fleet has moved, or once the time for it has run out.
    fn stage_after_moving(&self, now: Moment, record: &Record, fleet: &FleetStatus) -> Option<Stage> {
        let has_propagated = self.moving_since.is_some_and(|since| now.since(since) >= PROPAGATION_DELAY);
        let latest_end =
            record.over.saturating_sub(FINAL_WRITE_MARGIN.min(record.over / 4)).max(record.elapsed + MIN_MOVING_TIME);
        let is_time_up = self.clock.age(now) >= latest_end;
        if fleet.ready_new == 0 {
            return is_time_up.then_some(Stage::RolledBack(Cause::Missing));
        }
        let is_suspected = self.judge.as_ref().is_some_and(Judge::is_suspected_without_worst);
        let is_idle = self.old_version_idle.has_held_for(now, OLD_VERSION_IDLE_PERIOD) && !is_suspected;
        (has_propagated && (is_idle || is_time_up)).then_some(Stage::Completed)
    }

    fn write(&mut self, now: Moment, mut record: Record, plan: Option<Plan>) -> Step {
        self.outbox.unrecorded().add_to(&mut record);
        record.elapsed = self.clock.age(now);
        self.number = self.number.max(record.number) + 1;
        record.number = self.number;
        record.writer = self.me.clone();
        let expected = self.record.as_ref().map_or(0, |(revision, _)| *revision);
        self.pending_reservation =
            plan.map(|plan| PendingReservation { order: record.order, plan, until: now + RESERVATION_TTL });
        self.last_write_at = now;
        self.outbox.send(expected, record.clone());
        Step::Write(Write { service: self.service.clone(), expected, record })
    }

    // ----------------------------------------------------------------------------------------------------------------
    // State

    /// Takes over a record of the store, unless a newer one is known.
    fn adopt(&mut self, now: Moment, revision: u64, record: &Record) {
        if self.record.as_ref().is_some_and(|(known, _)| *known >= revision) {
            return;
        }
        let epoch_of = |revision: u64| Revision::from(revision).epoch();
        self.needs_rewrite = self.record.as_ref().is_some_and(|(known, _)| epoch_of(*known) < epoch_of(revision));
        self.outbox.reconcile(revision, record);
        self.clock.observe_age(now, record.order, record.elapsed);
        let last = self.record.replace((revision, record.clone()));
        if last.as_ref().is_none_or(|(_, last)| start::starts_new_trial(last, record)) {
            self.judge = None;
            self.trial.restart();
        }
        // When another router has started a later order, it isn't known whether that order continues the same exposure
        // budget: a record of another version may have come between. Counting fewer requests than there were is safe,
        // since it allows less.
        let continues_budget = last.as_ref().is_some_and(|(_, last)| {
            last.order == record.order || record.writer == self.me && !start::starts_new_trial(last, record)
        });
        if !continues_budget {
            self.discard_previous_budget(record.order);
        }
        let previous = last.map(|(_, last)| (last.order, last.stage));
        if previous == Some((record.order, record.stage)) {
            return;
        }
        self.moving_since = (record.stage == Stage::Moving).then_some(now);
    }

    /// Discards the counts that belong to an earlier exposure budget, when a new one begins with the order of this
    /// revision.
    fn discard_previous_budget(&mut self, order: u64) {
        if self.order.as_ref().is_some_and(|(seen, _)| *seen >= order) {
            self.outbox.discard_before_order();
        } else {
            self.outbox.discard_all();
        }
    }

    fn back_off(&mut self, now: Moment) {
        let wait = (RETRY_DELAY * 2_u32.saturating_pow(self.failed_writes)).min(MAX_RETRY_DELAY);
        self.failed_writes = (self.failed_writes + 1).min(4);
        self.not_before = now + wait;
    }
}

fn routes_of(record: Option<&(u64, Record)>) -> BTreeMap<id::Route, Tally> {
    record.map(|(_, record)| record.routes.clone()).unwrap_or_default()
}
