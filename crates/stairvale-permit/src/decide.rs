//! The home's decisions: who is granted, who waits, who is sent on, who is refused.

use std::time::Duration;

use stairvale_admission::{
    queue::{Full, Item},
    shares::unreserved,
};
use stairvale_types::{Moment, Reason, Refusal, id};
use stairvale_wire::{Ask, Verdict};

use crate::{
    Account, Home,
    account::{Waiting, is_over_share},
    home::answer,
    mean::Sum,
    rules::{Answer, Rules},
};

/// The least time to tell a refused caller to wait.
const MIN_RETRY: Duration = Duration::from_millis(500);

/// A customer that asks for so many times its share of the bound surges.
const SURGE: u32 = 2;

/// Room for one more at an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Room {
    /// The bound that the grant must stay below.
    pub limit: u32,
    /// Whether the latest mean alone would have said no.
    pub over_latest: bool,
}

impl Home {
    /// Where a returning chat's prefix sits, if this home remembers that it is elsewhere.
    pub(crate) fn elsewhere(&self, now: Moment, ask: &Ask) -> Option<id::Upstream> {
        if !ask.first || !ask.profile.returning {
            return None;
        }
        let elsewhere = self.exceptions.find(now, ask.profile.chat?)?;
        (elsewhere != &ask.upstream).then(|| elsewhere.clone())
    }

    /// What this home's engines of a service carry, for the mean.
    pub(crate) fn sum(&self, now: Moment, service: &id::Service) -> Sum {
        let load = self.load(now, service);
        Sum { outstanding: load.outstanding, engines: load.engines, waiting: load.waiting }
    }

    /// The bound on an engine's outstanding requests, its slots included.
    pub(crate) fn limit(&self, now: Moment, rules: &Rules) -> u32 {
        let Some(multiple) = rules.multiple else {
            return rules.slots;
        };
        let own = self.sum(now, &rules.service);
        let mean = self.services.get(&rules.service).map(|view| view.mean.get(now, own));
        let bound = multiple.bound(mean.unwrap_or_else(|| own.mean()));
        bound.min(rules.slots)
    }

    /// The room that an engine has now, if any.
    pub(crate) fn room(&self, now: Moment, upstream: &id::Upstream) -> Option<Room> {
        let (rules, account) = self.accounts.get(upstream)?;
        let limit = self.limit(now, rules);
        let over_latest = self.is_over_latest(now, upstream);
        (account.open && account.outstanding(now)? < limit).then_some(Room { limit, over_latest })
    }

    /// Counts a customer among those who compete for an engine.
    pub(crate) fn notice(&mut self, now: Moment, ask: &Ask) {
        if let Some((_, account)) = self.accounts.get_mut(&ask.upstream) {
            account.notice(now, &ask.profile.customer, ask.profile.weight);
        }
    }

    /// Whether the room that an engine has is for none of those who wait there: nobody does, or only customers over their
    /// share, and what is left is for the others.
    pub(crate) fn goes_first(&self, now: Moment, upstream: &id::Upstream) -> bool {
        let Some((rules, account)) = self.accounts.get(upstream) else {
            return false;
        };
        let is_over = |item: &Item<Waiting>| account.is_over_share(now, &item.customer, rules.slots);
        account.queue.is_empty() || (!self.has_unreserved(now, upstream) && account.queue.iter().all(is_over))
    }

    /// Whether a customer may take what room there is: one over its share leaves some slots to the others.
    pub(crate) fn may_take(&self, now: Moment, waiting: &Waiting) -> bool {
        !self.is_over_share(now, waiting) || self.has_unreserved(now, &waiting.ask.upstream)
    }

    pub(crate) fn has_unreserved(&self, now: Moment, upstream: &id::Upstream) -> bool {
        let Some((rules, account)) = self.accounts.get(upstream) else {
            return false;
        };
        account.outstanding(now).is_some_and(|outstanding| outstanding < unreserved(rules.slots))
    }

    pub(crate) fn is_over_share(&self, now: Moment, waiting: &Waiting) -> bool {
        let account = self.accounts.get(&waiting.ask.upstream);
        account.is_some_and(|(rules, account)| account.is_over_share(now, &waiting.ask.profile.customer, rules.slots))
    }

    /// Whether a customer asks for more than its share, by what it holds and what it has waiting: then the engine serves
    /// others' prompts first.
    ///
    /// A surge shows long before it fills the slots: it asks for far more than its share of what may run now.
    pub(crate) fn asks_over_share(&self, now: Moment, waiting: &Waiting) -> bool {
        let Some((rules, account)) = self.accounts.get(&waiting.ask.upstream) else {
            return false;
        };
        let competed = self.limit(now, rules).saturating_mul(SURGE).min(rules.slots);
        account.asks_over_share(now, &waiting.ask.profile.customer, competed)
    }

    /// Makes a permit in the room that was seen.
    pub(crate) fn grant(&mut self, now: Moment, waiting: &Waiting, room: Room) -> Answer {
        let over_share = self.asks_over_share(now, waiting);
        let Some((_, account)) = self.accounts.get_mut(&waiting.ask.upstream) else {
            return answer(waiting, Verdict::NotHome { home: None });
        };
        // Held where the permit is made, whatever led here.
        if account.outstanding(now).is_none_or(|outstanding| outstanding >= room.limit) {
            self.counts.violations += 1;
            return answer(waiting, Verdict::Overflow { emptiest: Vec::new() });
        }
        account.hold(now, waiting.ask.attempt, &waiting.entry, Some(waiting.ask.profile.customer.clone()));
        let outstanding = u32::try_from(account.held.len()).unwrap_or(u32::MAX);
        self.counts.granted += 1;
        self.counts.over_bound += u64::from(room.over_latest);
        if let Some(chat) = waiting.ask.profile.chat.filter(|_| !self.exceptions.is_empty()) {
            self.settle_exception(now, chat, &waiting.ask);
        }
        answer(waiting, Verdict::Granted { outstanding, over_share })
    }

    /// A chat that runs at its first choice has its prefix there from now on.
    pub(crate) fn settle_exception(&mut self, now: Moment, chat: id::Chat, ask: &Ask) {
        let sits_elsewhere = self.exceptions.find(now, chat).is_some_and(|to| to != &ask.upstream);
        if ask.first && sits_elsewhere {
            self.exceptions.forget(chat);
        }
    }

    /// Whether one more would pass the bound by the latest mean alone.
    pub(crate) fn is_over_latest(&self, now: Moment, upstream: &id::Upstream) -> bool {
        let Some((rules, account)) = self.accounts.get(upstream) else {
            return false;
        };
        let Some(multiple) = rules.multiple else {
            return false;
        };
        let own = self.sum(now, &rules.service);
        let mean = self.services.get(&rules.service).map(|view| view.mean.latest(now, own));
        let bound = multiple.bound(mean.unwrap_or_default());
        mean.is_some() && account.outstanding(now).is_some_and(|outstanding| outstanding >= bound)
    }

    pub(crate) fn wait(&mut self, now: Moment, waiting: &Waiting) -> Vec<Answer> {
        let upstream = waiting.ask.upstream.clone();
        if waiting.ask.patience.is_zero() {
            self.counts.overflowed += 1;
            return vec![answer(waiting, self.overflow(&waiting.ask.profile.service))];
        }
        let predicted = self.predict(now, &waiting.ask);
        if waiting.last_resort && predicted > waiting.ask.deadline {
            return vec![self.refuse(waiting, Reason::Deadline, predicted)];
        }
        let item = Item::new(
            waiting.clone(),
            waiting.ask.profile.customer.clone(),
            waiting.ask.profile.class,
            now + waiting.ask.patience,
        );
        let item = item.with_weight(waiting.ask.profile.weight);
        let Some((_, account)) = self.accounts.get_mut(&upstream) else {
            return Vec::new();
        };
        self.counts.queued += 1;
        let Err(Full(out)) = account.queue.push(now, item) else {
            return self.serve(now, &upstream);
        };
        if out.value.last_resort {
            return vec![self.refuse(&out.value, Reason::Busy, predicted)];
        }
        self.counts.overflowed += 1;
        let verdict = self.overflow(&out.value.ask.profile.service);
        vec![answer(&out.value, verdict)]
    }

    pub(crate) fn predict(&self, now: Moment, ask: &Ask) -> Duration {
        let Some((rules, account)) = self.accounts.get(&ask.upstream) else {
            return Duration::ZERO;
        };
        let ahead = account.queue.ahead(now, &ask.profile.customer, ask.profile.weight, ask.profile.class);
        account.pace.wait(ahead, self.limit(now, rules))
    }

    pub(crate) fn refuse(&mut self, waiting: &Waiting, reason: Reason, predicted: Duration) -> Answer {
        self.counts.refused += 1;
        let refusal = Refusal::new(reason, predicted.max(MIN_RETRY));
        answer(waiting, Verdict::Refused(refusal))
    }

    pub(crate) fn overflow(&self, service: &id::Service) -> Verdict {
        let view = self.services.get(service);
        let emptiest = view.map(|view| view.emptiest.iter().map(|(upstream, _)| upstream.clone()).collect());
        Verdict::Overflow { emptiest: emptiest.unwrap_or_default() }
    }

    /// Grants to those who wait, in turn, while there is room.
    pub(crate) fn serve(&mut self, now: Moment, upstream: &id::Upstream) -> Vec<Answer> {
        let mut answers = Vec::new();
        // The room is that with the item still in the queue: it counts as waiting until it runs.
        while let Some(room) = self.room(now, upstream) {
            let full_for_most = !self.has_unreserved(now, upstream);
            let Some((rules, account)) = self.accounts.get_mut(upstream) else {
                break;
            };
            let slots = rules.slots;
            let Account { queue, held, shares, .. } = account;
            let is_over = |customer: &id::Customer| is_over_share(held, shares, now, customer, slots);
            let Some(item) = queue.pop_if(now, |item| !full_for_most || !is_over(&item.customer)) else {
                break;
            };
            answers.push(self.grant(now, &item.value, room));
        }
        answers
    }

    pub(crate) fn serve_all(&mut self, now: Moment) -> Vec<Answer> {
        let upstreams: Vec<_> = self.accounts.keys().cloned().collect();
        upstreams.iter().flat_map(|upstream| self.serve(now, upstream)).collect()
    }

    pub(crate) fn expire(&mut self, now: Moment, upstream: &id::Upstream) -> Vec<Answer> {
        let Some((_, account)) = self.accounts.get_mut(upstream) else {
            return Vec::new();
        };
        let expired = account.queue.expire(now);
        let mut answers = Vec::new();
        for item in expired {
            if item.value.last_resort {
                answers.push(self.refuse(&item.value, Reason::Deadline, MIN_RETRY));
                continue;
            }
            self.counts.overflowed += 1;
            let verdict = self.overflow(&item.value.ask.profile.service);
            answers.push(answer(&item.value, verdict));
        }
        answers
    }

    /// Refuses now what would only be refused at its deadline later.
    pub(crate) fn refuse_hopeless(&mut self, now: Moment, upstream: &id::Upstream) -> Vec<Answer> {
        let Some((rules, account)) = self.accounts.get(upstream) else {
            return Vec::new();
        };
        let limit = self.limit(now, rules);
        let count = account.queue.len();
        let hopeless: Vec<_> = account
            .queue
            .iter()
            .filter(|item| item.value.last_resort)
            .filter(|item| {
                let ask = &item.value.ask;
                let ahead =
                    account.queue.ahead(now, &ask.profile.customer, ask.profile.weight, ask.profile.class).min(count);
                let ahead = ahead.saturating_sub(1);
                now + account.pace.wait(ahead, limit) / 2 > item.until
            })
            .map(|item| item.value.clone())
            .collect();
        let mut answers = Vec::new();
        for waiting in hopeless {
            if let Some((_, account)) = self.accounts.get_mut(upstream) {
                account.queue.remove(|other| other.ask.attempt == waiting.ask.attempt);
            }
            answers.push(self.refuse(&waiting, Reason::Deadline, MIN_RETRY));
        }
        answers
    }

    /// Sends one that waits as a last resort to an engine that has room by now.
    pub(crate) fn send_on(&mut self, now: Moment, service: &id::Service) -> Vec<Answer> {
        let Some(least) = self.services.get(service).and_then(|view| view.emptiest.first().cloned()) else {
            return Vec::new();
        };
        let here = self.accounts.iter().filter(|(_, (rules, _))| &rules.service == service);
        let full =
            here.filter(|(_, (rules, account))| !account.queue.is_empty() && least.1 + 1 < self.limit(now, rules));
        let upstreams: Vec<_> = full.map(|(upstream, _)| upstream.clone()).filter(|u| u != &least.0).collect();
        let mut answers = Vec::new();
        for upstream in upstreams {
            let Some((_, account)) = self.accounts.get_mut(&upstream) else {
                continue;
            };
            if let Some(item) = account.queue.pop_if(now, |item| item.value.last_resort) {
                answers.push(answer(&item.value, self.overflow(service)));
            }
        }
        answers
    }
}
