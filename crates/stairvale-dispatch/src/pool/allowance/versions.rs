//! Admission of upstreams by their versions: the roll-out policy, and the reservation for a version on trial.
//!
//! A version on trial gets at most the requests that were reserved for it, on a few upstreams that are selected anew in
//! turn for each reservation. Each of them is given as many of the service's requests as the busiest upstream of the
//! old version may get, so that faults under load show, and every route gets its share.

use std::{collections::BTreeMap, time::Duration};

use stairvale_rollout::{Admission, FleetStatus, Policy, Reservation, Stage};
use stairvale_types::{Moment, id};

use crate::{Answer, Ask, Member, Pool};

/// A route's request is tried once this much of a request is due to the route, so that as many are tried too early as
/// too late.
const TRY_THRESHOLD: f64 = 0.5;
/// Maximum number of requests due to a route. Those beyond it go to other routes, since the route doesn't have enough
/// requests in time.
const MAX_DUE: f64 = 2.0;
/// Share of a route's past requests that counts for the next reservation.
const PAST_REQUESTS_SHARE: f64 = 0.5;
/// A selected upstream that got more requests than another one by more than this gets no further ones while the other
/// has room: their costs may differ, but each of them has to be tried.
const MAX_IMBALANCE: u32 = 1;
/// Interval after which the selected upstreams are checked again for whether they can be given requests: short compared
/// with the time of a reservation, long compared with the interval between two requests of a busy service.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// A route with fewer requests than this is removed.
const MIN_ROUTE_REQUESTS: f64 = 0.1;

/// The share of a trial that one route gets.
#[derive(Clone, Copy, Debug, Default)]
struct RouteShare {
    /// Requests that could have been tried; older ones count less.
    requests: f64,
    /// Requests that are due to the route.
    due: f64,
    /// How many of the next requests of the route aren't tried, including the current one.
    skips: u8,
}

/// A reservation in use.
#[derive(Clone, Debug)]
struct ActiveReservation {
    reserved: Reservation,
    /// Requests that remain of the reservation.
    left: u32,
    /// The selected upstreams, with the number of reserved requests that each of them got.
    selected: Vec<(id::Upstream, u32)>,
    /// When the selected upstreams were last checked.
    last_check: Option<Moment>,
}

impl ActiveReservation {
    fn is_active(&self, now: Moment) -> bool {
        self.left > 0 && now < self.reserved.until
    }
}

/// The admission of a service's versions.
#[derive(Debug, Default)]
pub(in crate::pool) struct Versions {
    policy: Option<Policy>,
    active: Option<ActiveReservation>,
    /// The number of the last reservation.
    reservation_number: u64,
    route_shares: BTreeMap<id::Route, RouteShare>,
    /// The number of upstreams that served untried requests when the selected upstreams were last checked.
    serving: usize,
}

impl Versions {
    /// Whether the fleet moves from one version to another.
    pub(super) fn is_moving(&self) -> bool {
        self.policy.as_ref().is_some_and(|policy| policy.stage == Stage::Moving)
    }

    /// Whether observations of requests are needed.
    pub(in crate::pool) fn is_watched(&self) -> bool {
        self.policy.as_ref().is_some_and(|policy| !policy.stage.is_over())
    }

    /// Sets what a member may be given by its version.
    pub(in crate::pool) fn set_admission(&self, member: &mut Member) {
        let version = member.version.as_ref();
        let policy = self.policy.as_ref();
        member.admission = policy.map_or(Admission::Any, |policy| policy.admits(version));
        member.is_new = policy.is_some_and(|policy| version == Some(&policy.target));
    }

    /// Whether a request may be tried, by its own properties and by the reservation.
    fn may_try(&self, now: Moment, ask: &Ask) -> bool {
        let active = self.active.as_ref().filter(|active| active.is_active(now));
        active.is_some_and(|active| ask.avoid.is_empty() && (ask.repeatable || active.reserved.unrepeatable))
    }

    /// Returns the upstreams on trial that a request may go to, in two groups: those that have got fewer reserved
    /// requests, and the others.
    pub(in crate::pool) fn selected(&self, now: Moment, ask: &Ask) -> [Vec<&id::Upstream>; 2] {
        let (Some(active), true) = (&self.active, self.may_try(now, ask)) else {
            return [Vec::new(), Vec::new()];
        };
        let share = self.route_shares.get(&ask.route).copied().unwrap_or_default();
        if share.due < TRY_THRESHOLD || (share.skips > 0 && self.serving > 0) {
            return [Vec::new(), Vec::new()];
        }
        let least = active.selected.iter().map(|(_, given)| *given).min().unwrap_or(0);
        let group = |behind: bool| {
            let group = active.selected.iter().filter(move |(_, given)| (*given <= least + MAX_IMBALANCE) == behind);
            group.map(|(id, _)| id).collect()
        };
        [group(true), group(false)]
    }

    fn selected_count(&self) -> usize {
        self.active.as_ref().map_or(0, |active| active.selected.len())
    }

    /// Records that a request was given to a selected upstream.
    pub(in crate::pool) fn record_trial(&mut self, route: id::Route, upstream: &id::Upstream) {
        if let Some(active) = &mut self.active {
            active.left = active.left.saturating_sub(1);
            for (_, given) in active.selected.iter_mut().filter(|(id, _)| id == upstream) {
                *given += 1;
            }
        }
        let carries_all = self.serving > 1 && self.selected_count() >= self.serving;
        let share = self.route_shares.entry(route).or_default();
        share.due -= 1.0;
        // At most one of two requests of a route is tried, so that the old version is there for comparison. But where
        // as many upstreams are selected as serve the old version, they are to carry the full load for a moment.
        share.skips = if carries_all { 0 } else { 2 };
    }

    /// Distributes a request's contribution to the trial among the routes, half of it by their numbers of requests and
    /// half of it equally.
    #[allow(clippy::cast_precision_loss)]
    fn distribute(&mut self, now: Moment, ask: &Ask, multiple: f64) {
        let selected = self.selected_count();
        if self.may_try(now, ask) {
            let share = self.route_shares.entry(ask.route).or_default();
            share.requests += 1.0;
            share.skips = share.skips.saturating_sub(1);
        }
        let fraction = selected as f64 / (self.serving + selected).max(1) as f64;
        // As much load as the busiest upstream of the old version may carry, so that faults under load show while few
        // requests depend on the new version.
        let fraction = (fraction * multiple.max(1.0)).min(1.0);
        let all: f64 = self.route_shares.values().map(|share| share.requests).sum();
        let equal = 1.0 / self.route_shares.len().max(1) as f64;
        let weight = |share: &RouteShare| share.requests / all + equal;
        let open = self.route_shares.values().filter(|share| share.due < MAX_DUE);
        let sum: f64 = open.map(weight).sum();
        for share in self.route_shares.values_mut().filter(|share| share.due < MAX_DUE) {
            share.due += fraction * weight(share) / sum;
        }
    }
}

impl Pool {
    /// Sets the roll-out policy; without a policy all versions are treated alike. Waiting requests may be granted as a
    /// result.
    pub fn set_policy(&mut self, now: Moment, policy: Option<Policy>) -> Vec<Answer> {
        let before = self.versions.policy.as_ref();
        if before == policy.as_ref() {
            return Vec::new();
        }
        let same = before.zip(policy.as_ref()).is_some_and(|(before, policy)| before.target == policy.target);
        if !same {
            self.watch.clear(now);
        }
        // A reservation for one version's trial can't be used by another.
        if !same || policy.as_ref().is_none_or(|policy| policy.stage != Stage::Trial) {
            self.versions.active = None;
            self.versions.route_shares.clear();
        }
        self.versions.policy = policy;
        for member in self.members.values_mut() {
            self.versions.set_admission(member);
        }
        self.grant_waiting(now)
    }

    /// Sets a reservation for the version on trial; it replaces what remains of the last one.
    pub fn reserve(&mut self, reservation: Reservation) {
        let versions = &mut self.versions;
        versions.reservation_number += 1;
        for share in versions.route_shares.values_mut() {
            share.requests *= PAST_REQUESTS_SHARE;
        }
        versions.route_shares.retain(|_, share| share.requests >= MIN_ROUTE_REQUESTS);
        versions.active = Some(ActiveReservation {
            reserved: reservation,
            left: reservation.requests,
            selected: Vec::new(),
            last_check: None,
        });
    }

    /// Returns the state of the upstreams that the roll-out controller decides by.
    #[must_use]
    pub fn facts(&self, now: Moment) -> FleetStatus {
        let mut facts = FleetStatus::default();
        let mut serving_counts: BTreeMap<Option<&id::Version>, usize> = BTreeMap::new();
        let reach = self.reach(now);
        for member in self.members.values() {
            // A member that failed and is only being probed doesn't count as ready.
            let may = member.admission != Admission::Nothing;
            // But a member on trial counts, since the trial has to show whether it fails.
            let healthy = !member.health.is_on_probation() || member.admission == Admission::Trial;
            let ready = usize::from(may && reach.reaches(member) && healthy);
            if member.is_new {
                facts.ready_new += ready;
                facts.running_new += member.running();
                continue;
            }
            facts.ready_old += ready;
            facts.running_old += member.running();
            if member.serves() {
                *serving_counts.entry(member.version.as_ref()).or_default() += 1;
            }
        }
        facts.serving =
            serving_counts.into_iter().max_by_key(|(_, count)| *count).and_then(|(version, _)| version.cloned());
        facts
    }

    /// Counts a request for the roll-out.
    pub(in crate::pool) fn count_request(&mut self, now: Moment, ask: &Ask) {
        if !self.versions.is_watched() || !ask.avoid.is_empty() {
            return;
        }
        self.watch.count();
        if self.versions.active.as_ref().is_some_and(|active| active.is_active(now)) {
            self.select(now);
            self.versions.distribute(now, ask, self.rules.load_multiple);
        }
    }

    /// Selects the upstreams that get the reserved requests, and replaces those that can't be given requests any more.
    /// Members that weren't selected for the longest time come first.
    fn select(&mut self, now: Moment) {
        let due = |active: &mut ActiveReservation| active.last_check.is_none_or(|at| now.since(at) >= CHECK_INTERVAL);
        let Some(mut active) = self.versions.active.take_if(due) else {
            return;
        };
        active.last_check = Some(now);
        let reach = self.reach(now);
        let serves_untried = |member: &&Member| {
            member.admission == Admission::Any && reach.reaches(member) && !member.health.is_on_probation()
        };
        let serving = self.members.values().filter(serves_untried).count();
        let near = |member: &Member| member.admission == Admission::Trial && reach.is_near(member);
        // If all have failed so often that other requests would avoid them, they are tried all the same: two of them
        // with a few failures each may be chance, and only more failures show that the version is the cause.
        let any_open = self.members.values().any(|member| near(member) && member.health.is_open(now));
        let fits = |member: &Member| near(member) && (!any_open || member.health.is_open(now));
        active.selected.retain(|(id, _)| self.members.get(id).is_some_and(fits));
        let missing = active.reserved.upstreams.saturating_sub(active.selected.len());
        let mut others = Vec::new();
        if missing > 0 {
            let is_selected = |member: &Member| active.selected.iter().any(|(id, _)| *id == member.id);
            let fit = self.members.values().filter(|member| fits(member) && !is_selected(member));
            let within_rate = |member: &Member| self.is_within_rate(now, member, super::Limits::Strict);
            others.extend(
                fit.map(|member| (!within_rate(member), member.last_reservation, member.hash, member.id.clone())),
            );
            others.sort_unstable();
            others.truncate(missing);
        }
        let least = active.selected.iter().map(|(_, given)| *given).min().unwrap_or(0);
        for (_, _, _, id) in others {
            if let Some(member) = self.members.get_mut(&id) {
                member.last_reservation = self.versions.reservation_number;
            }
            active.selected.push((id, least));
        }
        self.versions.active = Some(active);
        self.versions.serving = serving;
    }
}
