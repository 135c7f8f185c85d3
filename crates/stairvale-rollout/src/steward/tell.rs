//! What a steward tells operators and the pool.

use stairvale_types::Moment;

use super::Steward;
use crate::{Event, Policy, Reservation, Stage, Step, outbox, trial::Plan};

impl Steward {
    /// One line a stage, by the router that wrote it, and one when a version is found bad.
    pub(super) fn say(&mut self, now: Moment, steps: &mut Vec<Step>) {
        let Some((_, record)) = &self.record else { return };
        let condemned = self.condemned.filter(|(order, ..)| *order == record.order);
        let found = condemned.and_then(|(_, cause, route)| route.map(|route| (route, cause)));
        let (stage, stands) = match condemned {
            Some((_, cause, _)) if !record.stage.is_over() => (Stage::RolledBack(cause), false),
            _ => (record.stage, true),
        };
        let is_own = if stands { record.writer == self.me } else { found.is_some() };
        if self.said == Some((record.order, stage, stands)) || !is_own {
            return;
        }
        self.said = Some((record.order, stage, stands));
        let counted = self.outbox.counted();
        let mut routes = record.routes.clone();
        outbox::add(&mut routes, &counted.routes);
        steps.push(Step::Say(Event {
            service: self.service.clone(),
            order: record.order,
            target: record.target.clone(),
            stage,
            stands,
            found,
            elapsed: self.clock.age(now),
            requests: record.requests + counted.requests,
            granted: record.granted,
            routes,
        }));
    }

    /// What the pool is to follow, where that isn't what the copy says.
    pub(super) fn follow(&mut self, steps: &mut Vec<Step>) {
        let order = self.order.as_ref().map(|(revision, order)| (*revision, order));
        let by_copy = Policy::of(order, self.copy.as_ref().map(|(_, record)| record));
        let mut wanted = Policy::of(order, self.record.as_ref().map(|(_, record)| record));
        let cause = self.current().and_then(|order| self.is_condemned(order));
        if let (Some(policy), Some(cause)) = (&mut wanted, cause)
            && !policy.stage.is_over()
        {
            policy.stage = Stage::RolledBack(cause);
        }
        let has_changed = std::mem::take(&mut self.has_copy_changed);
        let Some(wanted) = wanted else { return };
        let is_told = self.followed.as_ref() == Some(&wanted);
        if self.followed.is_some() && !is_told || by_copy.as_ref() != Some(&wanted) && (!is_told || has_changed) {
            self.followed = Some(wanted.clone());
            steps.push(Step::Follow(wanted));
        }
    }

    /// Gives out what stands in the store, or takes back what the pool may have left of it.
    pub(super) fn hand_out(&mut self, now: Moment, steps: &mut Vec<Step>) {
        let on_trial = self.on_trial();
        if let Some(reserving) = self.granted.take()
            && on_trial == Some(reserving.order)
            && now < reserving.until
        {
            self.trial.given(now, reserving.plan);
            self.given = Some((reserving.order, reserving.until));
            let Plan { requests, over, unrepeatable, is_rehearsal: _ } = reserving.plan;
            steps.push(Step::Reserve(Reservation { requests, until: reserving.until, over, unrepeatable }));
        }
        if self.given.is_some_and(|(order, until)| now < until && on_trial != Some(order)) {
            self.given = None;
            steps.push(Step::Reserve(Reservation { requests: 0, until: now, over: 1, unrepeatable: false }));
        }
    }
}
