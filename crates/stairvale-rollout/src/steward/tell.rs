//! What a controller reports to operators and sends to the pool.

use stairvale_types::Moment;

use super::RolloutController;
use crate::{Event, Policy, Reservation, Stage, Step, outbox, trial::Plan};

impl RolloutController {
    /// Emits one event for each stage, at the router that wrote it, and one when the version is rejected.
    pub(super) fn log_transition(&mut self, now: Moment, steps: &mut Vec<Step>) {
        let Some((_, record)) = &self.record else { return };
        let rejection = self.verdict.filter(|(order, ..)| *order == record.order);
        let found = rejection.and_then(|(_, cause, route)| route.map(|route| (route, cause)));
        let (stage, is_stored) = match rejection {
            Some((_, cause, _)) if !record.stage.is_over() => (Stage::RolledBack(cause), false),
            _ => (record.stage, true),
        };
        let is_own = if is_stored { record.writer == self.me } else { found.is_some() };
        if self.last_logged == Some((record.order, stage, is_stored)) || !is_own {
            return;
        }
        self.last_logged = Some((record.order, stage, is_stored));
        let unrecorded = self.outbox.unrecorded();
        let mut routes = record.routes.clone();
        outbox::add(&mut routes, &unrecorded.routes);
        steps.push(Step::Log(Event {
            service: self.service.clone(),
            order: record.order,
            target: record.target.clone(),
            stage,
            is_committed: is_stored,
            found,
            elapsed: self.clock.age(now),
            requests: record.requests + unrecorded.requests,
            granted: record.granted,
            routes,
        }));
    }

    /// Sends the pool its policy, where that differs from what follows from this router's copy of the store.
    pub(super) fn update_policy(&mut self, steps: &mut Vec<Step>) {
        let order = self.order.as_ref().map(|(revision, order)| (*revision, order));
        let cached_policy = Policy::of(order, self.cached_record.as_ref().map(|(_, record)| record));
        let mut wanted = Policy::of(order, self.record.as_ref().map(|(_, record)| record));
        let cause = self.current_order().and_then(|order| self.rejection_cause(order));
        if let (Some(policy), Some(cause)) = (&mut wanted, cause)
            && !policy.stage.is_over()
        {
            policy.stage = Stage::RolledBack(cause);
        }
        let has_changed = std::mem::take(&mut self.has_cache_changed);
        let Some(wanted) = wanted else { return };
        let is_sent = self.policy_override.as_ref() == Some(&wanted);
        if self.policy_override.is_some() && !is_sent
            || cached_policy.as_ref() != Some(&wanted) && (!is_sent || has_changed)
        {
            self.policy_override = Some(wanted.clone());
            steps.push(Step::SetPolicy(wanted));
        }
    }

    /// Issues the committed reservation to the pool, or revokes what the pool may have left of one.
    pub(super) fn issue_reservation(&mut self, now: Moment, steps: &mut Vec<Step>) {
        let trial_order = self.trial_order();
        if let Some(reservation) = self.committed.take()
            && trial_order == Some(reservation.order)
            && now < reservation.until
        {
            self.trial.reservation_issued(now, reservation.plan);
            self.issued = Some((reservation.order, reservation.until));
            let Plan { requests, upstreams: upstream_count, unrepeatable, is_rehearsal: _ } = reservation.plan;
            steps.push(Step::Reserve(Reservation {
                requests,
                until: reservation.until,
                upstreams: upstream_count,
                unrepeatable,
            }));
        }
        if self.issued.is_some_and(|(order, until)| now < until && trial_order != Some(order)) {
            self.issued = None;
            steps.push(Step::Reserve(Reservation { requests: 0, until: now, upstreams: 1, unrepeatable: false }));
        }
    }
}
