//! A service's home as the one who carries a roll-out on: what it reserves, when it calls the version good or bad, and what
//! it writes.

mod tell;

use std::{collections::BTreeMap, time::Duration};

use stairvale_types::{Moment, Revision, id};

use crate::{
    Account, Bounds, Facts, Judge, Order, Policy, Record, Report, Stage, Step, Write, Written,
    clock::Clock,
    holding::Holding,
    outbox::{self, Outbox},
    record::{Cause, Tally},
    start,
    trial::{Next, Plan, Trial, View},
};

/// What was reserved and not given by then is lost: another home may have found the version bad meanwhile. In the users' terms
/// nothing may go to a bad version some seconds after it was seen to be bad.
const VALID: Duration = Duration::from_secs(2);
/// After a write that failed the next one waits so long, and twice as long each time, up to a most.
const RETRY: Duration = Duration::from_millis(250);
/// Calls have a price, and a store that is in trouble isn't helped by more of them.
const RETRY_MOST: Duration = Duration::from_secs(1);
/// Nothing runs at the old version for so long before it may be stopped: an entry may just be sending.
const QUIET: Duration = Duration::from_millis(300);
/// After the fleet was told to move, entries may still send by older copies for about so long.
const SPREADING: Duration = Duration::from_millis(500);
/// What stays of the time allowed when a roll-out is ended in any case: the store may take that long.
const LAST: Duration = Duration::from_millis(800);
/// A fleet that was told to move late gets so long all the same.
const LEAST_MOVING: Duration = Duration::from_secs(1);
/// What was counted is written with the next reservation, or after so long: a home may die, and the bound grows by requests
/// that stand in the record.
const KEEP: Duration = Duration::from_secs(1);
/// The same where much was seen of the version.
const KEEP_MUCH: Duration = Duration::from_millis(500);
/// Without any old upstream for so long, and before anything was tried, the ordered version is the one that serves.
const ONLY: Duration = Duration::from_secs(1);

/// A reservation whose write is under way.
#[derive(Clone, Copy, Debug)]
struct Reserving {
    order: u64,
    plan: Plan,
    until: Moment,
}

/// Carries the roll-outs of one service on, while its router is the service's home.
#[derive(Debug)]
pub struct Steward {
    me: id::Router,
    service: id::Service,
    bounds: Bounds,
    /// The newest order of the copy, with its revision.
    order: Option<(u64, Order)>,
    /// The record as the copy has it, and as it is known at its newest.
    copy: Option<(u64, Record)>,
    record: Option<(u64, Record)>,
    /// Whether the store may hold the record as it was earlier, or not at all: it was restored from a copy.
    is_unwritten: bool,
    clock: Clock,
    /// When the fleet was known to move.
    moving_since: Option<Moment>,
    judge: Option<Judge>,
    /// The order whose version was found bad, how, and where, if this router found it.
    condemned: Option<(u64, Cause, Option<id::Route>)>,
    trial: Trial,
    outbox: Outbox,
    number: u64,
    /// When something was sent to the store last.
    wrote: Moment,
    not_before: Moment,
    failures: u32,
    reserving: Option<Reserving>,
    /// A reservation that stands and is to be given out.
    granted: Option<Reserving>,
    /// Until when the pool may have something left of a reservation, and for which order.
    given: Option<(u64, Moment)>,
    /// What the pool was told to follow, until the copy changes.
    followed: Option<Policy>,
    has_copy_changed: bool,
    said: Option<(u64, Stage, bool)>,
    quiet: Holding,
    alone: Holding,
}

impl Steward {
    /// The steward of a service at a router.
    #[must_use]
    pub fn new(me: id::Router, service: id::Service, bounds: Bounds) -> Self {
        Self {
            me,
            service,
            bounds,
            order: None,
            copy: None,
            record: None,
            is_unwritten: false,
            clock: Clock::default(),
            moving_since: None,
            judge: None,
            condemned: None,
            trial: Trial::default(),
            outbox: Outbox::default(),
            number: 0,
            wrote: Moment::ZERO,
            not_before: Moment::ZERO,
            failures: 0,
            reserving: None,
            granted: None,
            given: None,
            followed: None,
            has_copy_changed: false,
            said: None,
            quiet: Holding::default(),
            alone: Holding::default(),
        }
    }

    // ----------------------------------------------------------------------------------------------------------------
    // What is told

    /// Takes what this router's copy of the store says, with revisions. It is told at every router, so that time is counted
    /// from the order also where a home takes over.
    pub fn learn(&mut self, now: Moment, order: Option<(u64, &Order)>, record: Option<(u64, &Record)>) {
        self.has_copy_changed = true;
        if let Some((revision, record)) = record {
            self.copy = Some((revision, record.clone()));
            self.adopt(now, revision, record);
        }
        let Some((revision, order)) = order else {
            self.order = None;
            return;
        };
        let is_new = self.order.as_ref().is_none_or(|(known, _)| *known < revision);
        self.order = Some((revision, order.clone()));
        if is_new {
            self.clock.note(now, revision, Duration::ZERO);
            self.outbox.mark();
        }
    }

    /// Takes what the pool saw.
    pub fn observe(&mut self, now: Moment, report: Report) {
        self.trial.count(now, report.requests);
        if !self.is_open() {
            return;
        }
        self.outbox.count(report.requests);
        let judge = self.judge.get_or_insert_with(|| Judge::resumed(now, &routes_of(self.record.as_ref())));
        // What the old version did in the same moment goes first: trouble of both is to be known as such.
        let (new, old): (Vec<_>, Vec<_>) = report.observations.into_iter().partition(|observation| observation.is_new);
        for observation in old.iter().chain(&new) {
            judge.observe(now, observation);
            self.outbox.observe(observation);
        }
    }

    /// What became of a write.
    pub fn written(&mut self, now: Moment, written: Written) {
        if !self.outbox.is_under_way() {
            return;
        }
        let own = self.outbox.answered();
        let reserving = self.reserving.take();
        match written {
            Written::Done(revision) => {
                self.failures = 0;
                self.granted = reserving;
                if let Some(own) = own {
                    self.adopt(now, revision, &own);
                }
            }
            // Also one's own may stand there, when it was handed on and done twice. Nothing is given then: an earlier life of this
            // router might have written the very same, and given it.
            Written::Conflict(Some((revision, record))) => {
                let known = self.record.as_ref().map(|(revision, _)| *revision);
                self.adopt(now, revision, &record);
                if known == self.record.as_ref().map(|(revision, _)| *revision) {
                    // A store that shows less than it did: nothing is learned by asking it again at once.
                    self.put_off(now);
                } else {
                    self.failures = 0;
                }
            }
            Written::Conflict(None) => {
                self.outbox.forget();
                // It was taken out of the store. What was set aside stays so: it is written anew.
                if let Some((revision, _)) = &mut self.record {
                    *revision = 0;
                }
                self.put_off(now);
            }
            Written::Refused => {
                self.outbox.refused();
                self.put_off(now);
            }
            Written::Unknown => {
                self.outbox.unknown();
                self.put_off(now);
            }
        }
    }

    /// This router isn't the home: nothing that was reserved counts any longer.
    pub fn rest(&mut self) {
        self.reserving = None;
        self.granted = None;
        self.given = None;
        self.followed = None;
        self.quiet = Holding::default();
        self.alone = Holding::default();
        self.trial.restart();
    }

    /// The revision of the order whose version this router, or one that told it, found bad last.
    #[must_use]
    pub fn condemns(&self) -> Option<u64> {
        self.condemned.map(|(order, ..)| order)
    }

    /// A peer found the version bad that an order of this revision names.
    pub fn condemned(&mut self, order: u64) {
        if self.condemned.is_none_or(|(known, ..)| known < order) {
            self.condemned = Some((order, Cause::Failing, None));
        }
    }

    // ----------------------------------------------------------------------------------------------------------------
    // What is wanted

    /// Lets time pass at the service's home, some twenty times a second.
    pub fn tick(&mut self, now: Moment, facts: &Facts) -> Vec<Step> {
        let mut steps = Vec::new();
        self.quiet.note(now, facts.running_old == 0);
        self.alone.note(now, facts.ready_old == 0 && facts.running_old == 0 && facts.ready_new > 0);
        if let Some(judge) = &mut self.judge {
            judge.settle(now);
        }
        self.convict(now);
        self.say(now, &mut steps);
        self.follow(&mut steps);
        self.hand_out(now, &mut steps);
        if !self.outbox.is_under_way()
            && now >= self.not_before
            && let Some((record, plan)) = self.next(now, facts)
        {
            steps.push(self.write(now, record, plan));
        }
        steps
    }

    /// Whether what is seen belongs to a roll-out that goes on, or is about to begin.
    fn is_open(&self) -> bool {
        self.unseen_order().is_some() || self.record.as_ref().is_some_and(|(_, record)| !record.stage.is_over())
    }

    /// The order that no record is about yet.
    fn unseen_order(&self) -> Option<(u64, &Order)> {
        let (revision, order) = self.order.as_ref()?;
        let is_taken_up = self.record.as_ref().is_some_and(|(_, record)| record.order >= *revision);
        (!is_taken_up).then_some((*revision, order))
    }

    /// Whether the operator took the order away that the record is about. A copy that is older than the record doesn't say so.
    fn is_withdrawn(&self, record: &Record) -> bool {
        self.order.is_none() && self.copy.as_ref().is_some_and(|(_, copy)| copy.order == record.order)
    }

    /// The stage, and whether this router has found the version bad since.
    fn is_condemned(&self, order: u64) -> Option<Cause> {
        self.condemned.filter(|(condemned, ..)| *condemned == order).map(|(_, cause, _)| cause)
    }

    /// The order that is in force here: of the record, or one that nobody has taken up.
    fn current(&self) -> Option<u64> {
        self.unseen_order()
            .map(|(revision, _)| revision)
            .or_else(|| self.record.as_ref().map(|(_, record)| record.order))
    }

    fn convict(&mut self, now: Moment) {
        let Some((_, record)) = &self.record else { return };
        let order = record.order;
        if record.stage.is_over() || self.unseen_order().is_some() || self.is_condemned(order).is_some() {
            return;
        }
        if let Some((route, cause)) = self.judge.as_ref().and_then(|judge| judge.verdict(now)) {
            self.condemned = Some((order, cause, Some(route)));
        }
    }

    /// The order whose version may get what is reserved.
    fn on_trial(&self) -> Option<u64> {
        let (_, record) = self.record.as_ref()?;
        let is_in_force = self.unseen_order().is_none() && !self.is_withdrawn(record);
        let is_on_trial = record.stage == Stage::Trial && self.is_condemned(record.order).is_none();
        (is_in_force && is_on_trial).then_some(record.order)
    }

    /// What is to stand in the store next, and the reservation in it.
    fn next(&mut self, now: Moment, facts: &Facts) -> Option<(Record, Option<Plan>)> {
        let elapsed = self.clock.age(now);
        if let Some(order) = self.unseen_order() {
            let last = self.record.as_ref().map(|(_, record)| record);
            let mut record = start::record(&self.me, order, elapsed, last, facts, self.bounds.share);
            let is_anew = last.is_none_or(|last| start::is_anew(last, &record));
            if let (false, Some(cause)) = (record.stage.is_over(), self.is_condemned(record.order)) {
                record.stage = Stage::RolledBack(cause);
            }
            if is_anew {
                self.outbox.drop_earlier();
            }
            return Some((record, None));
        }
        let (_, record) = self.record.as_ref()?;
        let mut record = record.clone();
        if record.stage.is_over() {
            return self.is_unwritten.then_some((record, None));
        }
        if let Some(cause) = self.is_condemned(record.order) {
            record.stage = Stage::RolledBack(cause);
            return Some((record, None));
        }
        if self.is_withdrawn(&record) {
            record.stage = Stage::RolledBack(Cause::Withdrawn);
            return Some((record, None));
        }
        match record.stage {
            Stage::Trial => self.next_of_trial(now, record, facts),
            Stage::Moving => {
                record.stage = self.end_of_moving(now, &record, facts)?;
                Some((record, None))
            }
            Stage::Completed | Stage::RolledBack(_) => None,
        }
    }

    fn next_of_trial(&mut self, now: Moment, mut record: Record, facts: &Facts) -> Option<(Record, Option<Plan>)> {
        if record.granted == 0 && record.serving.is_none() && self.alone.is_for(now, Duration::ZERO) {
            if !self.alone.is_for(now, ONLY) {
                return None;
            }
            record.stage = Stage::Completed;
            return Some((record, None));
        }
        let counted = self.outbox.counted();
        let mut routes = record.routes.clone();
        outbox::add(&mut routes, &counted.routes);
        let view = View {
            elapsed: self.clock.age(now),
            over: record.over,
            account: Account { requests: record.requests + counted.requests, granted: record.granted },
            routes: &routes,
            facts,
            suspects: self.judge.as_ref().is_some_and(Judge::suspects),
            doubts: self.judge.as_ref().is_some_and(Judge::doubts),
        };
        match self.trial.next(now, &self.bounds, &view) {
            Next::Wait => {
                let keep = if self.outbox.is_much() { KEEP_MUCH } else { KEEP };
                (counted.requests > 0 && now >= self.wrote + keep).then_some((record, None))
            }
            Next::Reserve(plan) => {
                record.granted += u64::from(plan.requests);
                self.trial.sent(now, plan, facts);
                Some((record, Some(plan)))
            }
            Next::Move => {
                record.stage = Stage::Moving;
                Some((record, None))
            }
            Next::Unproven => {
                record.stage = Stage::RolledBack(Cause::Unproven);
                Some((record, None))
            }
            Next::Missing => {
                record.stage = Stage::RolledBack(Cause::Missing);
                Some((record, None))
            }
        }
    }

    /// The stage that follows once the fleet has moved, or has had the time for it.
    fn end_of_moving(&self, now: Moment, record: &Record, facts: &Facts) -> Option<Stage> {
        let has_spread = self.moving_since.is_some_and(|since| now.since(since) >= SPREADING);
        let last = record.over.saturating_sub(LAST.min(record.over / 4)).max(record.elapsed + LEAST_MOVING);
        let is_last = self.clock.age(now) >= last;
        if facts.ready_new == 0 {
            return is_last.then_some(Stage::RolledBack(Cause::Missing));
        }
        let is_doubted = self.judge.as_ref().is_some_and(Judge::doubts);
        let is_quiet = self.quiet.is_for(now, QUIET) && !is_doubted;
        (has_spread && (is_quiet || is_last)).then_some(Stage::Completed)
    }

    fn write(&mut self, now: Moment, mut record: Record, plan: Option<Plan>) -> Step {
        self.outbox.counted().add_to(&mut record);
        record.elapsed = self.clock.age(now);
        self.number = self.number.max(record.number) + 1;
        record.number = self.number;
        record.writer = self.me.clone();
        let expected = self.record.as_ref().map_or(0, |(revision, _)| *revision);
        self.reserving = plan.map(|plan| Reserving { order: record.order, plan, until: now + VALID });
        self.wrote = now;
        self.outbox.send(expected, record.clone());
        Step::Write(Write { service: self.service.clone(), expected, record })
    }

    // ----------------------------------------------------------------------------------------------------------------
    // What is known

    /// Takes a record that the store has, unless a newer one is known.
    fn adopt(&mut self, now: Moment, revision: u64, record: &Record) {
        if self.record.as_ref().is_some_and(|(known, _)| *known >= revision) {
            return;
        }
        let epoch_of = |revision: u64| Revision::from(revision).epoch();
        self.is_unwritten = self.record.as_ref().is_some_and(|(known, _)| epoch_of(*known) < epoch_of(revision));
        self.outbox.settle(revision, record);
        self.clock.note(now, record.order, record.elapsed);
        let last = self.record.replace((revision, record.clone()));
        if last.as_ref().is_none_or(|(_, last)| start::is_anew(last, record)) {
            self.judge = None;
            self.trial.restart();
        }
        // Of a later order that another router took up it isn't known whether its account goes on: there may have been a
        // record of another version between. Fewer requests than there were allow less.
        let goes_on = last.as_ref().is_some_and(|(_, last)| {
            last.order == record.order || record.writer == self.me && !start::is_anew(last, record)
        });
        if !goes_on {
            self.begin_account(record.order);
        }
        let was = last.map(|(_, last)| (last.order, last.stage));
        if was == Some((record.order, record.stage)) {
            return;
        }
        self.moving_since = (record.stage == Stage::Moving).then_some(now);
    }

    /// Another account begins, with an order of this revision: what was counted before isn't its own.
    fn begin_account(&mut self, order: u64) {
        if self.order.as_ref().is_some_and(|(seen, _)| *seen >= order) {
            self.outbox.drop_earlier();
        } else {
            self.outbox.drop_all();
        }
    }

    fn put_off(&mut self, now: Moment) {
        let wait = (RETRY * 2_u32.saturating_pow(self.failures)).min(RETRY_MOST);
        self.failures = (self.failures + 1).min(4);
        self.not_before = now + wait;
    }
}

fn routes_of(record: Option<&(u64, Record)>) -> BTreeMap<id::Route, Tally> {
    record.map(|(_, record)| record.routes.clone()).unwrap_or_default()
}
