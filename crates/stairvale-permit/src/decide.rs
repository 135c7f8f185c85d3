//! The home's decisions on permit requests: grant, queue, redirect to another engine (overflow) or refuse.

use std::time::Duration;

use stairvale_admission::{
    queue::{Full, Item},
    shares::unreserved_slots,
};
use stairvale_types::{Moment, Reason, Refusal, id};
use stairvale_wire::{PermitRequest, Verdict};

use crate::{
    Account, Home,
    account::{QueuedRequest, is_over_share},
    home::answer_to,
    mean::Sum,
    rules::{Answer, Rules},
};

/// Minimum retry delay that a refusal carries.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Multiple of the current bound whose share a customer's demand must reach to count as over its share.
///
/// A burst is then detected long before it fills the customer's share of all slots.
const BURST_BOUND_MULTIPLE: u32 = 2;

/// Free capacity for at least one more request at an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Room {
    /// Load bound: a grant requires that fewer requests than this are outstanding.
    pub limit: u32,
    /// Whether the bound by the latest mean alone would have denied the grant.
    pub over_latest: bool,
}

impl Home {
    /// Returns the engine that holds a returning chat's prefix if this home has recorded it as not the requested one.
    ///
    /// Only requests for the chat's first choice are checked.
    pub(crate) fn find_exception(&self, now: Moment, ask: &PermitRequest) -> Option<id::Upstream> {
        if !ask.first || !ask.profile.returning {
            return None;
        }
        let elsewhere = self.exceptions.find(now, ask.profile.chat?)?;
        (elsewhere != &ask.upstream).then(|| elsewhere.clone())
    }

    /// Returns the load of this home's engines of a service, as its own contribution to the mean.
    pub(crate) fn own_sum(&self, now: Moment, service: &id::Service) -> Sum {
        let load = self.load(now, service);
        Sum { outstanding: load.outstanding, engines: load.engines, waiting: load.waiting }
    }

    /// Returns the load bound of an engine: the multiple of the mean load, but at most the number of slots.
    pub(crate) fn limit(&self, now: Moment, rules: &Rules) -> u32 {
        let Some(multiple) = rules.multiple else {
            return rules.slots;
        };
        let own = self.own_sum(now, &rules.service);
        let mean = self.services.get(&rules.service).map(|service| service.mean.get(now, own));
        let bound = multiple.bound(mean.unwrap_or_else(|| own.mean()));
        bound.min(rules.slots)
    }

    /// Returns the free capacity of an engine, if it is open and below its bound.
    pub(crate) fn room(&self, now: Moment, upstream: &id::Upstream) -> Option<Room> {
        let (rules, account) = self.accounts.get(upstream)?;
        let limit = self.limit(now, rules);
        let over_latest = self.is_over_latest(now, upstream);
        (account.open && account.outstanding(now)? < limit).then_some(Room { limit, over_latest })
    }

    /// Records the request's customer as competing for the engine.
    pub(crate) fn record_request(&mut self, now: Moment, ask: &PermitRequest) {
        if let Some((_, account)) = self.accounts.get_mut(&ask.upstream) {
            account.record_request(now, &ask.profile.customer, ask.profile.weight);
        }
    }

    /// Returns whether a new request may be granted ahead of the queue.
    ///
    /// That is so if the queue is empty, or if all queued requests belong to customers over their share and only
    /// reserved slots are free, which such customers may not use.
    pub(crate) fn may_bypass_queue(&self, now: Moment, upstream: &id::Upstream) -> bool {
        let Some((rules, account)) = self.accounts.get(upstream) else {
            return false;
        };
        let is_over = |item: &Item<QueuedRequest>| account.is_over_share(now, &item.customer, rules.slots);
        account.queue.is_empty() || (!self.has_unreserved(now, upstream) && account.queue.iter().all(is_over))
    }

    /// Returns whether a request may use the free capacity. Customers over their share may not use the reserved slots.
    pub(crate) fn may_use_room(&self, now: Moment, queued: &QueuedRequest) -> bool {
        !self.is_over_share(now, queued) || self.has_unreserved(now, &queued.ask.upstream)
    }

    pub(crate) fn has_unreserved(&self, now: Moment, upstream: &id::Upstream) -> bool {
        let Some((rules, account)) = self.accounts.get(upstream) else {
            return false;
        };
        account.outstanding(now).is_some_and(|outstanding| outstanding < unreserved_slots(rules.slots))
    }

    pub(crate) fn is_over_share(&self, now: Moment, queued: &QueuedRequest) -> bool {
        let account = self.accounts.get(&queued.ask.upstream);
        account.is_some_and(|(rules, account)| account.is_over_share(now, &queued.ask.profile.customer, rules.slots))
    }

    /// Returns whether a customer's demand, that is its held permits and queued requests, exceeds its share. The engine
    /// then serves the prompts of other customers first.
    ///
    /// The share is taken of a multiple of the current bound rather than of all slots, which detects a burst long
    /// before it fills the slots.
    pub(crate) fn demand_exceeds_share(&self, now: Moment, queued: &QueuedRequest) -> bool {
        let Some((rules, account)) = self.accounts.get(&queued.ask.upstream) else {
            return false;
        };
        let contested_slots = self.limit(now, rules).saturating_mul(BURST_BOUND_MULTIPLE).min(rules.slots);
        account.demand_exceeds_share(now, &queued.ask.profile.customer, contested_slots)
    }

    /// Grants a permit within the given free capacity.
    pub(crate) fn grant(&mut self, now: Moment, queued: &QueuedRequest, room: Room) -> Answer {
        let over_share = self.demand_exceeds_share(now, queued);
        let Some((_, account)) = self.accounts.get_mut(&queued.ask.upstream) else {
            return answer_to(queued, Verdict::NotHome { home: None });
        };
        // Enforces the bound at the one place where permits are created, whichever path led here.
        if account.outstanding(now).is_none_or(|outstanding| outstanding >= room.limit) {
            self.counts.violations += 1;
            return answer_to(queued, Verdict::Overflow { emptiest: Vec::new() });
        }
        account.insert_permit(now, queued.ask.attempt, &queued.entry, Some(queued.ask.profile.customer.clone()));
        let outstanding = u32::try_from(account.held.len()).unwrap_or(u32::MAX);
        self.counts.granted += 1;
        self.counts.over_bound += u64::from(room.over_latest);
        if let Some(chat) = queued.ask.profile.chat.filter(|_| !self.exceptions.is_empty()) {
            self.clear_exception(now, chat, &queued.ask);
        }
        answer_to(queued, Verdict::Granted { outstanding, over_share })
    }

    /// Removes the exception of a chat that is granted at its first choice, since its prefix is cached there from now
    /// on.
    pub(crate) fn clear_exception(&mut self, now: Moment, chat: id::Chat, ask: &PermitRequest) {
        let is_elsewhere = self.exceptions.find(now, chat).is_some_and(|to| to != &ask.upstream);
        if ask.first && is_elsewhere {
            self.exceptions.remove(chat);
        }
    }

    /// Returns whether one more request would exceed the bound computed from the latest mean alone.
    pub(crate) fn is_over_latest(&self, now: Moment, upstream: &id::Upstream) -> bool {
        let Some((rules, account)) = self.accounts.get(upstream) else {
            return false;
        };
        let Some(multiple) = rules.multiple else {
            return false;
        };
        let own = self.own_sum(now, &rules.service);
        let mean = self.services.get(&rules.service).map(|service| service.mean.latest(now, own));
        let bound = multiple.bound(mean.unwrap_or_default());
        mean.is_some() && account.outstanding(now).is_some_and(|outstanding| outstanding >= bound)
    }

    pub(crate) fn enqueue(&mut self, now: Moment, queued: &QueuedRequest) -> Vec<Answer> {
        let upstream = queued.ask.upstream.clone();
        if queued.ask.patience.is_zero() {
            self.counts.overflowed += 1;
            return vec![answer_to(queued, self.overflow_verdict(&queued.ask.profile.service))];
        }
        let predicted = self.predict_wait(now, &queued.ask);
        if queued.last_resort && predicted > queued.ask.deadline {
            return vec![self.refuse(queued, Reason::Deadline, predicted)];
        }
        let item = Item::new(
            queued.clone(),
            queued.ask.profile.customer.clone(),
            queued.ask.profile.class,
            now + queued.ask.patience,
        );
        let item = item.with_weight(queued.ask.profile.weight);
        let Some((_, account)) = self.accounts.get_mut(&upstream) else {
            return Vec::new();
        };
        self.counts.queued += 1;
        let Err(Full(evicted)) = account.queue.push(now, item) else {
            return self.grant_queued(now, &upstream);
        };
        if evicted.value.last_resort {
            return vec![self.refuse(&evicted.value, Reason::Busy, predicted)];
        }
        self.counts.overflowed += 1;
        let verdict = self.overflow_verdict(&evicted.value.ask.profile.service);
        vec![answer_to(&evicted.value, verdict)]
    }

    pub(crate) fn predict_wait(&self, now: Moment, ask: &PermitRequest) -> Duration {
        let Some((rules, account)) = self.accounts.get(&ask.upstream) else {
            return Duration::ZERO;
        };
        let ahead = account.queue.count_ahead(now, &ask.profile.customer, ask.profile.weight, ask.profile.class);
        account.pace.expected_wait(ahead, self.limit(now, rules))
    }

    pub(crate) fn refuse(&mut self, queued: &QueuedRequest, reason: Reason, predicted: Duration) -> Answer {
        self.counts.refused += 1;
        let refusal = Refusal::new(reason, predicted.max(MIN_RETRY_AFTER));
        answer_to(queued, Verdict::Refused(refusal))
    }

    pub(crate) fn overflow_verdict(&self, service: &id::Service) -> Verdict {
        let service = self.services.get(service);
        let emptiest = service.map(|service| service.emptiest.iter().map(|(upstream, _)| upstream.clone()).collect());
        Verdict::Overflow { emptiest: emptiest.unwrap_or_default() }
    }

    /// Grants queued requests in queue order while the engine has free capacity.
    pub(crate) fn grant_queued(&mut self, now: Moment, upstream: &id::Upstream) -> Vec<Answer> {
        let mut answers = Vec::new();
        // Computed while the item is still in the queue, since it counts as waiting until it is granted.
        while let Some(room) = self.room(now, upstream) {
            let only_reserved = !self.has_unreserved(now, upstream);
            let Some((rules, account)) = self.accounts.get_mut(upstream) else {
                break;
            };
            let slots = rules.slots;
            let Account { queue, held, shares, .. } = account;
            let is_over = |customer: &id::Customer| is_over_share(held, shares, now, customer, slots);
            let Some(item) = queue.pop_if(now, |item| !only_reserved || !is_over(&item.customer)) else {
                break;
            };
            answers.push(self.grant(now, &item.value, room));
        }
        answers
    }

    pub(crate) fn grant_all_queued(&mut self, now: Moment) -> Vec<Answer> {
        let upstreams: Vec<_> = self.accounts.keys().cloned().collect();
        upstreams.iter().flat_map(|upstream| self.grant_queued(now, upstream)).collect()
    }

    pub(crate) fn expire_queued(&mut self, now: Moment, upstream: &id::Upstream) -> Vec<Answer> {
        let Some((_, account)) = self.accounts.get_mut(upstream) else {
            return Vec::new();
        };
        let expired = account.queue.expire(now);
        let mut answers = Vec::new();
        for item in expired {
            if item.value.last_resort {
                answers.push(self.refuse(&item.value, Reason::Deadline, MIN_RETRY_AFTER));
                continue;
            }
            self.counts.overflowed += 1;
            let verdict = self.overflow_verdict(&item.value.ask.profile.service);
            answers.push(answer_to(&item.value, verdict));
        }
        answers
    }

    /// Refuses queued last-resort requests at once if half of their predicted wait already exceeds their deadline,
    /// since they would only be refused then.
    pub(crate) fn refuse_unservable(&mut self, now: Moment, upstream: &id::Upstream) -> Vec<Answer> {
        let Some((rules, account)) = self.accounts.get(upstream) else {
            return Vec::new();
        };
        let limit = self.limit(now, rules);
        let count = account.queue.len();
        let unservable: Vec<_> = account
            .queue
            .iter()
            .filter(|item| item.value.last_resort)
            .filter(|item| {
                let ask = &item.value.ask;
                let ahead = account
                    .queue
                    .count_ahead(now, &ask.profile.customer, ask.profile.weight, ask.profile.class)
                    .min(count);
                let ahead = ahead.saturating_sub(1);
                now + account.pace.expected_wait(ahead, limit) / 2 > item.expires_at
            })
            .map(|item| item.value.clone())
            .collect();
        let mut answers = Vec::new();
        for queued in unservable {
            if let Some((_, account)) = self.accounts.get_mut(upstream) {
                account.queue.remove(|other| other.ask.attempt == queued.ask.attempt);
            }
            answers.push(self.refuse(&queued, Reason::Deadline, MIN_RETRY_AFTER));
        }
        answers
    }

    /// Redirects one queued last-resort request of each engine if the service's emptiest engine has free capacity.
    pub(crate) fn redirect_queued(&mut self, now: Moment, service: &id::Service) -> Vec<Answer> {
        let Some(emptiest) = self.services.get(service).and_then(|service| service.emptiest.first().cloned()) else {
            return Vec::new();
        };
        let accounts = self.accounts.iter().filter(|(_, (rules, _))| &rules.service == service);
        let full = accounts
            .filter(|(_, (rules, account))| !account.queue.is_empty() && emptiest.1 + 1 < self.limit(now, rules));
        let upstreams: Vec<_> = full.map(|(upstream, _)| upstream.clone()).filter(|u| u != &emptiest.0).collect();
        let mut answers = Vec::new();
        for upstream in upstreams {
            let Some((_, account)) = self.accounts.get_mut(&upstream) else {
                continue;
            };
            if let Some(item) = account.queue.pop_if(now, |item| item.value.last_resort) {
                answers.push(answer_to(&item.value, self.overflow_verdict(service)));
            }
        }
        answers
    }
}
