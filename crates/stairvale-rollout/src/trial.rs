//! The pace of a trial: when the new version gets how much, and when it has shown enough.

use std::{collections::BTreeMap, time::Duration};

use stairvale_types::{Moment, id};

use crate::{Account, Bounds, Facts, record::Tally};

/// Part of the bound that is used before the rehearsal; the rest is for that, and for what is under way.
const PROBING: f64 = 0.55;
/// Part of the bound that is ever used before the version is found good.
const MOST: f64 = 0.85;
/// With less than this part of the bound left, below [`MOST`], an earlier home has made the rehearsal: before it there is more.
const REHEARSAL: f64 = 0.15;
/// Between two reservations, each of which is a call to the store and replaces what is left of the one before; longer when that
/// one takes longer to be given, up to its end.
const PACE: Duration = Duration::from_millis(900);
const PACE_MOST: Duration = Duration::from_millis(1_900);
/// Of requests that may be repeated alone, which may be few of all, a reservation takes about so long.
const PACE_REPEATABLE: Duration = Duration::from_millis(1_500);
/// How much longer than by the rate of old upstreams a reservation takes to be given: new ones come beside old ones.
const SHARED: f64 = 1.3;
/// A reservation's fewest requests: fewer say nothing of an upstream.
const FEWEST: f64 = 6.0;
/// A reservation that is as large as this is made even if it loads an upstream for less than [`SPELL`].
const AMPLE: f64 = 24.0;
/// How long a reservation loads an upstream at least as old ones are loaded, in seconds.
const SPELL: f64 = 0.5;
/// The first reservations' most requests, until something is known of the version.
const FIRST: u32 = 10;
/// Answers from which requests that may run only once are tried, too...
const KNOWN: u64 = 8;
/// ... and the share of them that may be bad beyond the old version's.
const BEARABLE: f64 = 0.25;
/// Without any answer for so long since the first reservation, and with nothing running, the service has none of the routes
/// that may be repeated. Until then no more is reserved, or most of a small service's bound would run out unused.
const UNANSWERED: Duration = Duration::from_millis(2_200);
/// Answers of the new version without which it isn't called good...
const ENOUGH: u64 = 30;
/// ... and those on each route that has more than [`COMMON`] of the old version's answers.
const ENOUGH_OF_ROUTE: u64 = 5;
/// Share of a service's answers from which a route must have been tried.
const COMMON: f64 = 0.05;
/// The fleet moves to as many upstreams as carry the service now, divided by this: a zone may be evacuated or away, and a crash
/// may have taken some.
const MANNED: usize = 2;
/// How long what comes of the rehearsal is waited for, from when it was given out.
const AFTERMATH: Duration = Duration::from_millis(800);
/// While something speaks against the version, be it one upstream, the fleet waits so long for more.
const SUSPECTED_FOR: Duration = Duration::from_secs(3);
/// While there are doubts that aren't one upstream's, it moves only so long before the deadline.
const DOUBTED: Duration = Duration::from_millis(2_000);
/// Time for the fleet to move, with the rehearsal, as a part of what the order allows, and its limits.
const MOVING: f64 = 0.33;
const MOVING_LEAST: Duration = Duration::from_millis(2_500);
const MOVING_MOST: Duration = Duration::from_secs(15);
/// When something speaks against a version, so many upstreams are tried at once: one may be sick, and two must show it, too.
const SUSPECTED: usize = 3;
/// Half-life of the rate of requests, in seconds.
const RATE: f64 = 2.0;
/// Below this rate, in requests a second, nothing is reserved: it would run out unused.
const IDLE: f64 = 0.2;

/// What the trial needs next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Nothing yet.
    Wait,
    /// A reservation.
    Reserve(Plan),
    /// The version is good: the fleet moves.
    Move,
    /// Too little was seen of it.
    Unproven,
    /// None of its upstreams came.
    Missing,
}

/// A reservation to be made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Plan {
    /// Requests.
    pub requests: u32,
    /// Upstreams.
    pub over: usize,
    /// Whether requests that may run only once are tried.
    pub unrepeatable: bool,
    /// Whether it is the last one, over all upstreams.
    pub is_rehearsal: bool,
}

/// How far a trial is.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// Time since the order.
    pub elapsed: Duration,
    /// Time that the order allows.
    pub over: Duration,
    /// What was set aside so far, and what the service got.
    pub account: Account,
    /// What became of requests.
    pub routes: &'a BTreeMap<id::Route, Tally>,
    /// What the home sees.
    pub facts: &'a Facts,
    /// Whether something speaks against the version, be it at one upstream.
    pub suspects: bool,
    /// Whether something speaks against it that isn't one upstream's.
    pub doubts: bool,
}

impl View<'_> {
    fn answers(&self) -> u64 {
        self.routes.values().map(|tally| tally.new.answers).sum()
    }

    fn bad(&self) -> u64 {
        self.routes.values().map(|tally| tally.new.failed + tally.new.slow).sum()
    }

    /// The share of the old version's answers that were bad: routes fail by themselves.
    #[expect(clippy::cast_precision_loss, reason = "counts of answers are far below 2^52")]
    fn share_of_old(&self) -> f64 {
        let answers: u64 = self.routes.values().map(|tally| tally.old.answers).sum();
        let bad: u64 = self.routes.values().map(|tally| tally.old.failed + tally.old.slow).sum();
        bad as f64 / answers.max(1) as f64
    }

    /// Whether the version's upstreams could carry the service: a few early ones would fall over when all requests go there, and the
    /// old ones stop when that is over.
    fn is_manned(&self) -> bool {
        self.facts.ready_new * MANNED >= self.facts.ready_old
    }

    /// Whether enough was seen of the version to call it good. After the deadline a route that is seldom asked for by what
    /// may go there holds it up no longer.
    #[expect(clippy::cast_precision_loss, reason = "counts of answers are far below 2^52")]
    fn is_enough(&self) -> bool {
        if self.answers() < ENOUGH {
            return false;
        }
        let old: u64 = self.routes.values().map(|tally| tally.old.answers).sum();
        let is_common = |tally: &&Tally| tally.old.answers as f64 > COMMON * old as f64;
        self.elapsed >= self.over
            || self.routes.values().filter(is_common).all(|tally| tally.new.answers >= ENOUGH_OF_ROUTE)
    }
}

/// Time that is kept for the fleet to move, with the rehearsal.
pub fn moving(over: Duration) -> Duration {
    over.mul_f64(MOVING).clamp(MOVING_LEAST, MOVING_MOST).min(over.mul_f64(0.6))
}

/// The trial of one version, as one home carries it on. Nothing here must outlive it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trial {
    /// Requests, fading.
    recent: f64,
    /// When they were faded last.
    faded: Moment,
    /// Since when requests are counted.
    since: Option<Moment>,
    /// How long the last reservation takes to be given out.
    takes: Duration,
    /// From when the next reservation may be sent to the store.
    next: Option<Moment>,
    /// When the first one was given out.
    first: Option<Moment>,
    /// When the rehearsal has been given out, or was left out.
    rehearsed: Option<Moment>,
    /// Whether any upstream of the version was ready.
    was_ready: bool,
    /// Whether the service showed none of the routes that may be repeated.
    is_unrepeatable: bool,
}

impl Trial {
    /// A new version is tried; the rate of requests goes on.
    pub fn restart(&mut self) {
        *self = Self { recent: self.recent, faded: self.faded, since: self.since, ..Self::default() };
    }

    /// Requests came.
    #[expect(clippy::cast_precision_loss, reason = "requests of a twentieth of a second")]
    pub fn count(&mut self, now: Moment, requests: u64) {
        self.since.get_or_insert(now);
        self.recent = self.faded_to(now) + requests as f64;
        self.faded = now;
    }

    /// A reservation was sent to the store.
    pub fn sent(&mut self, now: Moment, plan: Plan, facts: &Facts) {
        let least = if plan.unrepeatable { PACE } else { PACE_REPEATABLE };
        self.takes = self.time_of(now, plan, facts);
        self.next = Some(now + self.takes.clamp(least, PACE_MOST));
    }

    /// A reservation stands and is given out.
    pub fn given(&mut self, now: Moment, plan: Plan) {
        self.first.get_or_insert(now);
        if plan.is_rehearsal {
            self.rehearsed.get_or_insert(now + self.takes.min(PACE_MOST));
        }
    }

    /// What the trial needs next.
    pub fn next(&mut self, now: Moment, bounds: &Bounds, view: &View<'_>) -> Next {
        self.was_ready |= view.facts.ready_new > 0 || view.account.granted > 0;
        let is_unanswered = view.answers() == 0 && view.facts.running_new == 0;
        self.is_unrepeatable |= is_unanswered && self.first.is_some_and(|first| now.since(first) >= UNANSWERED);
        if view.elapsed >= view.over && !self.was_ready {
            return Next::Missing;
        }
        let is_due = view.elapsed >= view.over.saturating_sub(moving(view.over));
        if is_due && view.is_enough() && view.is_manned() {
            return self.finish(now, bounds, view);
        }
        if view.elapsed >= 2 * view.over {
            return Next::Unproven;
        }
        self.probe(now, bounds, view)
    }

    fn probe(&self, now: Moment, bounds: &Bounds, view: &View<'_>) -> Next {
        let rate = self.rate(now);
        if view.facts.ready_new == 0 || rate < IDLE || !self.is_time(now) {
            return Next::Wait;
        }
        if view.answers() == 0 && self.first.is_some_and(|first| now.since(first) < UNANSWERED) {
            return Next::Wait;
        }
        let each = self.rate_of_one(now, view.facts);
        let least = (SPELL * each).clamp(FEWEST, AMPLE);
        // What speaks against a version is looked into at once, with what was kept for the rehearsal if need be.
        // When it is time to move and too little was seen, that goes before a rehearsal.
        let is_due = view.elapsed >= view.over.saturating_sub(moving(view.over));
        let room = view.account.room(bounds, if view.suspects || is_due { MOST } else { PROBING });
        if f64::from(room) < least {
            return Next::Wait;
        }
        let full = count((each * counted(view.facts.ready_new)).max(least));
        let unrepeatable = self.may_be_unrepeatable(view);
        let most = if view.answers() >= KNOWN {
            full
        } else if unrepeatable {
            count(FEWEST)
        } else {
            FIRST.min(full)
        };
        let requests = room.min(if view.suspects { most.min(count(AMPLE)) } else { most });
        let over = spread(requests, each).max(if view.suspects { SUSPECTED } else { 1 }).min(view.facts.ready_new);
        Next::Reserve(Plan { requests, over, unrepeatable, is_rehearsal: false })
    }

    /// The version goes through the full load once, as far as the bound allows, and then the fleet moves.
    fn finish(&mut self, now: Moment, bounds: &Bounds, view: &View<'_>) -> Next {
        if view.elapsed >= view.over {
            // A fleet whose homes die one after the other gets no rehearsal.
            self.rehearsed.get_or_insert(now);
        }
        if let Some(rehearsed) = self.rehearsed {
            if now < rehearsed + AFTERMATH && view.elapsed < view.over {
                return Next::Wait;
            }
            let waits = view.doubts || view.suspects && now < rehearsed + SUSPECTED_FOR;
            if !waits || view.elapsed + DOUBTED >= view.over {
                return Next::Move;
            }
        }
        if !self.is_time(now) {
            return Next::Wait;
        }
        if view.facts.ready_new == 0 {
            return Next::Wait;
        }
        let room = view.account.room(bounds, MOST);
        let least = FEWEST.max(REHEARSAL * view.account.bound(bounds));
        if self.rehearsed.is_none() && f64::from(room) < least || f64::from(room) < FEWEST || self.rate(now) < IDLE {
            self.rehearsed.get_or_insert(now);
            return Next::Wait;
        }
        let requests = room.min(count((2.0 * self.rate(now)).max(FEWEST)));
        let unrepeatable = self.may_be_unrepeatable(view);
        Next::Reserve(Plan { requests, over: view.facts.ready_new, unrepeatable, is_rehearsal: true })
    }

    #[expect(clippy::cast_precision_loss, reason = "counts of answers are far below 2^52")]
    fn may_be_unrepeatable(&self, view: &View<'_>) -> bool {
        let answers = view.answers();
        let bearable = BEARABLE + view.share_of_old();
        (answers >= KNOWN || self.is_unrepeatable) && view.bad() as f64 <= bearable * answers as f64
    }

    /// How long the pool takes to give a reservation out.
    fn time_of(&self, now: Moment, plan: Plan, facts: &Facts) -> Duration {
        let rate = self.rate_of_one(now, facts) * counted(plan.over);
        Duration::from_secs_f64(SHARED * f64::from(plan.requests) / rate.max(1.0))
    }

    fn is_time(&self, now: Moment) -> bool {
        self.next.is_none_or(|next| now >= next)
    }

    /// Requests a second of the service.
    fn rate(&self, now: Moment) -> f64 {
        let Some(since) = self.since else { return 0.0 };
        let seen = now.since(since).as_secs_f64();
        // Before a half-life has passed, what there is stands for less than a whole one; a tick is the least.
        let full = (1.0 - (-seen.max(0.05) / RATE).exp2()) * RATE / std::f64::consts::LN_2;
        self.faded_to(now) / full
    }

    /// Requests a second of one upstream of the old version.
    fn rate_of_one(&self, now: Moment, facts: &Facts) -> f64 {
        self.rate(now) / counted(facts.ready_old.max(1))
    }

    fn faded_to(&self, now: Moment) -> f64 {
        self.recent * (-now.since(self.faded).as_secs_f64() / RATE).exp2()
    }
}

/// How many upstreams so many requests load for a second.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "between 1 and the requests")]
fn spread(requests: u32, each: f64) -> usize {
    (f64::from(requests) / each.max(0.1)).round().clamp(1.0, f64::from(requests.max(1))) as usize
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "cut to what fits")]
fn count(requests: f64) -> u32 {
    requests.ceil().clamp(0.0, 1e9) as u32
}

#[expect(clippy::cast_precision_loss, reason = "upstreams of a service")]
fn counted(upstreams: usize) -> f64 {
    upstreams as f64
}
