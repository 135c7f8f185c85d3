//! The pace of a trial: how many requests the new version gets at which time, and when it has answered enough of them.

use std::{collections::BTreeMap, time::Duration};

use stairvale_types::{Moment, id};

use crate::{Bounds, ExposureBudget, FleetStatus, record::Tally};

/// Fraction of the exposure bound that is used before the rehearsal. The rest is kept for the rehearsal and for
/// requests that are in flight.
const PROBE_FRACTION: f64 = 0.55;
/// Maximum fraction of the exposure bound that is used before the version is accepted.
const MAX_TRIAL_FRACTION: f64 = 0.85;
/// With less than this fraction of the bound left below [`MAX_TRIAL_FRACTION`], an earlier home has already made the
/// rehearsal: before a rehearsal more is left.
const MIN_REHEARSAL_FRACTION: f64 = 0.15;
/// Minimum interval between two reservations. Each of them is a call to the store and replaces what is left of the one
/// before, so the interval is longer when that one takes longer to be used, up to [`MAX_RESERVATION_INTERVAL`].
const MIN_RESERVATION_INTERVAL: Duration = Duration::from_millis(900);
/// Maximum interval between two reservations: about the time after which a reservation expires.
const MAX_RESERVATION_INTERVAL: Duration = Duration::from_millis(1_900);
/// Minimum interval after a reservation that only covers requests that may be repeated. They may be a small part of all
/// requests, so such a reservation takes about this long to be used.
const MIN_REPEATABLE_INTERVAL: Duration = Duration::from_millis(1_500);
/// Factor by which a reservation takes longer to be used than the request rate of the old upstreams suggests, since new
/// upstreams share the requests with old ones.
const ISSUE_TIME_FACTOR: f64 = 1.3;
/// Minimum number of requests in a reservation: fewer show nothing about an upstream.
const MIN_REQUESTS: f64 = 6.0;
/// A reservation of this many requests is made even if it loads an upstream for less than [`MIN_LOAD_SECONDS`].
const SUFFICIENT_REQUESTS: f64 = 24.0;
/// Minimum time, in seconds, for which a reservation loads an upstream as old upstreams are loaded.
const MIN_LOAD_SECONDS: f64 = 0.5;
/// Maximum number of requests in each of the first reservations, while little is known about the version.
const MAX_FIRST_REQUESTS: u32 = 10;
/// Number of answers of the new version from which requests that may run only once are tried as well.
const MIN_ANSWERS_FOR_UNREPEATABLE: u64 = 8;
/// Maximum share of bad answers, beyond the old version's share, with which requests that may run only once are tried.
const MAX_EXCESS_BAD_SHARE: f64 = 0.25;
/// Without any answer for this long after the first reservation, and with nothing running, the service is taken to have
/// no repeatable routes. Until then no more is reserved, or most of a small service's bound would expire unused.
const UNANSWERED_TIMEOUT: Duration = Duration::from_millis(2_200);
/// Minimum number of answers of the new version before it is accepted.
const MIN_ANSWERS: u64 = 30;
/// Minimum number of answers on each route that has more than [`COMMON_ROUTE_SHARE`] of the old version's answers.
const MIN_ANSWERS_PER_ROUTE: u64 = 5;
/// Share of a service's answers above which a route must have been tried.
const COMMON_ROUTE_SHARE: f64 = 0.05;
/// The fleet only moves when the new version has at least as many upstreams as the old one, divided by this number. It
/// is more than one, since a zone may be evacuated or unavailable and some upstreams may have crashed.
const CAPACITY_DIVISOR: usize = 2;
/// How long the results of the rehearsal are awaited, from the time when it has been issued.
const REHEARSAL_OBSERVATION: Duration = Duration::from_millis(800);
/// Maximum time after the rehearsal for which the fleet waits for more answers while there is evidence against the
/// version, even of a single upstream.
const MAX_SUSPICION_DELAY: Duration = Duration::from_secs(3);
/// While there is evidence against the version beyond its worst upstream, the fleet does not move until this long
/// before the deadline.
const SUSPICION_DEADLINE_MARGIN: Duration = Duration::from_millis(2_000);
/// Fraction of the time that the order allows which is kept for the rehearsal and the move, between [`MIN_MOVING_TIME`]
/// and [`MAX_MOVING_TIME`].
const MOVING_FRACTION: f64 = 0.33;
const MIN_MOVING_TIME: Duration = Duration::from_millis(2_500);
const MAX_MOVING_TIME: Duration = Duration::from_secs(15);
/// Minimum number of upstreams tried at once while there is evidence against the version: one may be faulty, and two
/// more must show the fault as well.
const MIN_UPSTREAMS_IF_SUSPECTED: usize = 3;
/// Half-life of the request rate, in seconds.
const RATE_HALF_LIFE_SECONDS: f64 = 2.0;
/// Below this rate, in requests per second, nothing is reserved, since a reservation would expire unused.
const MIN_RATE: f64 = 0.2;

/// The next action of a trial.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// There is nothing to do yet.
    Wait,
    /// Make this reservation.
    Reserve(Plan),
    /// The version is accepted, and the fleet moves to it.
    Move,
    /// Too few answers of the version were observed in time.
    Unproven,
    /// None of the version's upstreams became ready in time.
    Missing,
}

/// A reservation to be made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Plan {
    /// Number of requests to reserve.
    pub requests: u32,
    /// Number of upstreams among which the requests are distributed.
    pub upstreams: usize,
    /// Whether requests that may run only once are included.
    pub unrepeatable: bool,
    /// Whether this is the rehearsal: the last reservation, which covers all upstreams.
    pub is_rehearsal: bool,
}

/// The progress of a trial.
#[derive(Clone, Copy, Debug)]
pub struct Progress<'a> {
    /// Time since the order.
    pub elapsed: Duration,
    /// Time that the order allows.
    pub deadline: Duration,
    /// The requests granted so far, and the service's requests.
    pub budget: ExposureBudget,
    /// Results of requests at both versions, by route.
    pub routes: &'a BTreeMap<id::Route, Tally>,
    /// The upstreams and running requests that the home observes.
    pub fleet: &'a FleetStatus,
    /// Whether there is evidence against the version, even of a single upstream.
    pub is_suspected: bool,
    /// Whether there is evidence against the version even without its worst upstream.
    pub is_suspected_without_worst: bool,
}

impl Progress<'_> {
    fn answers(&self) -> u64 {
        self.routes.values().map(|tally| tally.new.answers).sum()
    }

    fn bad(&self) -> u64 {
        self.routes.values().map(|tally| tally.new.failed + tally.new.slow).sum()
    }

    /// The share of bad answers among the old version's answers, since routes fail at a healthy version as well.
    #[expect(clippy::cast_precision_loss, reason = "counts of answers are far below 2^52")]
    fn old_bad_share(&self) -> f64 {
        let answers: u64 = self.routes.values().map(|tally| tally.old.answers).sum();
        let bad: u64 = self.routes.values().map(|tally| tally.old.failed + tally.old.slow).sum();
        bad as f64 / answers.max(1) as f64
    }

    /// Whether the version has enough upstreams to sustain the service. A few early ones would be overloaded if all
    /// requests went there, and the old upstreams stop once the roll-out is completed.
    fn has_capacity(&self) -> bool {
        self.fleet.ready_new * CAPACITY_DIVISOR >= self.fleet.ready_old
    }

    /// Whether the version has given enough answers to be accepted. After the deadline, a route on which few requests
    /// may go to the new version no longer delays that.
    #[expect(clippy::cast_precision_loss, reason = "counts of answers are far below 2^52")]
    fn has_enough_answers(&self) -> bool {
        if self.answers() < MIN_ANSWERS {
            return false;
        }
        let old: u64 = self.routes.values().map(|tally| tally.old.answers).sum();
        let is_common = |tally: &&Tally| tally.old.answers as f64 > COMMON_ROUTE_SHARE * old as f64;
        self.elapsed >= self.deadline
            || self.routes.values().filter(is_common).all(|tally| tally.new.answers >= MIN_ANSWERS_PER_ROUTE)
    }
}

/// Time that is kept for the rehearsal and the move.
pub fn moving_time(deadline: Duration) -> Duration {
    deadline.mul_f64(MOVING_FRACTION).clamp(MIN_MOVING_TIME, MAX_MOVING_TIME).min(deadline.mul_f64(0.6))
}

/// The trial of one version, as run by one home. Nothing in it needs to survive that home.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trial {
    /// Number of requests, decaying exponentially.
    recent_requests: f64,
    /// When `recent_requests` was last decayed.
    decayed_at: Moment,
    /// Since when requests are counted.
    counting_since: Option<Moment>,
    /// How long the pool takes to use the last reservation.
    issue_time: Duration,
    /// The earliest time at which the next reservation may be sent to the store.
    next_reservation_at: Option<Moment>,
    /// When the first reservation was issued.
    first_issued_at: Option<Moment>,
    /// When the rehearsal is expected to have been used, or when it was skipped.
    rehearsed_at: Option<Moment>,
    /// Whether any upstream of the version has been ready.
    was_ready: bool,
    /// Whether no repeatable route of the service was observed.
    is_only_unrepeatable: bool,
}

impl Trial {
    /// Begins the trial of another version, keeping the request rate.
    pub fn restart(&mut self) {
        *self = Self {
            recent_requests: self.recent_requests,
            decayed_at: self.decayed_at,
            counting_since: self.counting_since,
            ..Self::default()
        };
    }

    /// Counts requests of the service.
    #[expect(clippy::cast_precision_loss, reason = "requests within one tick are far below 2^52")]
    pub fn count(&mut self, now: Moment, requests: u64) {
        self.counting_since.get_or_insert(now);
        self.recent_requests = self.decayed_requests(now) + requests as f64;
        self.decayed_at = now;
    }

    /// Records that a reservation was sent to the store.
    pub fn reservation_sent(&mut self, now: Moment, plan: Plan, fleet: &FleetStatus) {
        let min_interval = if plan.unrepeatable { MIN_RESERVATION_INTERVAL } else { MIN_REPEATABLE_INTERVAL };
        self.issue_time = self.issue_time_of(now, plan, fleet);
        self.next_reservation_at = Some(now + self.issue_time.clamp(min_interval, MAX_RESERVATION_INTERVAL));
    }

    /// Records that a reservation was written to the store and is issued to the pool.
    pub fn reservation_issued(&mut self, now: Moment, plan: Plan) {
        self.first_issued_at.get_or_insert(now);
        if plan.is_rehearsal {
            self.rehearsed_at.get_or_insert(now + self.issue_time.min(MAX_RESERVATION_INTERVAL));
        }
    }

    /// The next action of the trial.
    pub fn next_action(&mut self, now: Moment, bounds: &Bounds, progress: &Progress<'_>) -> Action {
        self.was_ready |= progress.fleet.ready_new > 0 || progress.budget.granted > 0;
        let is_unanswered = progress.answers() == 0 && progress.fleet.running_new == 0;
        self.is_only_unrepeatable |=
            is_unanswered && self.first_issued_at.is_some_and(|first| now.since(first) >= UNANSWERED_TIMEOUT);
        if progress.elapsed >= progress.deadline && !self.was_ready {
            return Action::Missing;
        }
        let is_time_to_move = progress.elapsed >= progress.deadline.saturating_sub(moving_time(progress.deadline));
        if is_time_to_move && progress.has_enough_answers() && progress.has_capacity() {
            return self.rehearse_or_move(now, bounds, progress);
        }
        if progress.elapsed >= 2 * progress.deadline {
            return Action::Unproven;
        }
        self.probe(now, bounds, progress)
    }

    fn probe(&self, now: Moment, bounds: &Bounds, progress: &Progress<'_>) -> Action {
        let rate = self.rate(now);
        if progress.fleet.ready_new == 0 || rate < MIN_RATE || !self.is_interval_over(now) {
            return Action::Wait;
        }
        if progress.answers() == 0 && self.first_issued_at.is_some_and(|first| now.since(first) < UNANSWERED_TIMEOUT) {
            return Action::Wait;
        }
        let rate_per_upstream = self.rate_per_old_upstream(now, progress.fleet);
        let min_requests = (MIN_LOAD_SECONDS * rate_per_upstream).clamp(MIN_REQUESTS, SUFFICIENT_REQUESTS);
        // Evidence against a version is followed up at once, if necessary with what was kept for the rehearsal. When it
        // is time to move and there are too few answers, getting them takes precedence over a rehearsal.
        let is_time_to_move = progress.elapsed >= progress.deadline.saturating_sub(moving_time(progress.deadline));
        let room = progress
            .budget
            .room(bounds, if progress.is_suspected || is_time_to_move { MAX_TRIAL_FRACTION } else { PROBE_FRACTION });
        if f64::from(room) < min_requests {
            return Action::Wait;
        }
        let full = ceil_to_u32((rate_per_upstream * to_f64(progress.fleet.ready_new)).max(min_requests));
        let unrepeatable = self.may_include_unrepeatable(progress);
        let max_requests = if progress.answers() >= MIN_ANSWERS_FOR_UNREPEATABLE {
            full
        } else if unrepeatable {
            ceil_to_u32(MIN_REQUESTS)
        } else {
            MAX_FIRST_REQUESTS.min(full)
        };
        let requests = room.min(if progress.is_suspected {
            max_requests.min(ceil_to_u32(SUFFICIENT_REQUESTS))
        } else {
            max_requests
        });
        let upstreams = upstreams_for(requests, rate_per_upstream)
            .max(if progress.is_suspected { MIN_UPSTREAMS_IF_SUSPECTED } else { 1 })
            .min(progress.fleet.ready_new);
        Action::Reserve(Plan { requests, upstreams, unrepeatable, is_rehearsal: false })
    }

    /// Sends the version the full load once, as far as the bound allows, and then moves the fleet.
    fn rehearse_or_move(&mut self, now: Moment, bounds: &Bounds, progress: &Progress<'_>) -> Action {
        if progress.elapsed >= progress.deadline {
            // After the deadline there is no rehearsal, for instance if one home after another has died.
            self.rehearsed_at.get_or_insert(now);
        }
        if let Some(rehearsed_at) = self.rehearsed_at {
            if now < rehearsed_at + REHEARSAL_OBSERVATION && progress.elapsed < progress.deadline {
                return Action::Wait;
            }
            let waits = progress.is_suspected_without_worst
                || progress.is_suspected && now < rehearsed_at + MAX_SUSPICION_DELAY;
            if !waits || progress.elapsed + SUSPICION_DEADLINE_MARGIN >= progress.deadline {
                return Action::Move;
            }
        }
        if !self.is_interval_over(now) {
            return Action::Wait;
        }
        if progress.fleet.ready_new == 0 {
            return Action::Wait;
        }
        let room = progress.budget.room(bounds, MAX_TRIAL_FRACTION);
        let min_requests = MIN_REQUESTS.max(MIN_REHEARSAL_FRACTION * progress.budget.bound(bounds));
        if self.rehearsed_at.is_none() && f64::from(room) < min_requests
            || f64::from(room) < MIN_REQUESTS
            || self.rate(now) < MIN_RATE
        {
            self.rehearsed_at.get_or_insert(now);
            return Action::Wait;
        }
        let requests = room.min(ceil_to_u32((2.0 * self.rate(now)).max(MIN_REQUESTS)));
        let unrepeatable = self.may_include_unrepeatable(progress);
        Action::Reserve(Plan { requests, upstreams: progress.fleet.ready_new, unrepeatable, is_rehearsal: true })
    }

    #[expect(clippy::cast_precision_loss, reason = "counts of answers are far below 2^52")]
    fn may_include_unrepeatable(&self, progress: &Progress<'_>) -> bool {
        let answers = progress.answers();
        let max_bad_share = MAX_EXCESS_BAD_SHARE + progress.old_bad_share();
        (answers >= MIN_ANSWERS_FOR_UNREPEATABLE || self.is_only_unrepeatable)
            && progress.bad() as f64 <= max_bad_share * answers as f64
    }

    /// How long the pool takes to use a reservation.
    fn issue_time_of(&self, now: Moment, plan: Plan, fleet: &FleetStatus) -> Duration {
        let rate = self.rate_per_old_upstream(now, fleet) * to_f64(plan.upstreams);
        Duration::from_secs_f64(ISSUE_TIME_FACTOR * f64::from(plan.requests) / rate.max(1.0))
    }

    fn is_interval_over(&self, now: Moment) -> bool {
        self.next_reservation_at.is_none_or(|next| now >= next)
    }

    /// Request rate of the service, per second.
    fn rate(&self, now: Moment) -> f64 {
        let Some(since) = self.counting_since else { return 0.0 };
        let observed = now.since(since).as_secs_f64();
        // Before a half-life has passed, the decayed count covers less than a full window. A tick of 50 ms is the
        // minimum.
        let full = (1.0 - (-observed.max(0.05) / RATE_HALF_LIFE_SECONDS).exp2()) * RATE_HALF_LIFE_SECONDS
            / std::f64::consts::LN_2;
        self.decayed_requests(now) / full
    }

    /// Request rate per upstream of the old version, per second.
    fn rate_per_old_upstream(&self, now: Moment, fleet: &FleetStatus) -> f64 {
        self.rate(now) / to_f64(fleet.ready_old.max(1))
    }

    fn decayed_requests(&self, now: Moment) -> f64 {
        self.recent_requests * (-now.since(self.decayed_at).as_secs_f64() / RATE_HALF_LIFE_SECONDS).exp2()
    }
}

/// The number of upstreams that this many requests load for one second.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped to 1..=requests before the cast")]
fn upstreams_for(requests: u32, rate_per_upstream: f64) -> usize {
    (f64::from(requests) / rate_per_upstream.max(0.1)).round().clamp(1.0, f64::from(requests.max(1))) as usize
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped before the cast")]
fn ceil_to_u32(requests: f64) -> u32 {
    requests.ceil().clamp(0.0, 1e9) as u32
}

#[expect(clippy::cast_precision_loss, reason = "a service has far fewer than 2^52 upstreams")]
fn to_f64(upstreams: usize) -> f64 {
    upstreams as f64
}
