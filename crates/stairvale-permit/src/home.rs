//! The home: it grants permits for the engines it keeps the accounts of.

use std::{collections::BTreeMap, time::Duration};

use stairvale_admission::{
    queue::{Full, Item},
    shares::unreserved,
};
use stairvale_placement::Exceptions;
use stairvale_types::{Moment, Reason, Refusal, id, unit};
use stairvale_wire::{Ask, Held, Load, Verdict};

use crate::{
    Account, Mean,
    account::{Waiting, is_over_share},
    mean::Sum,
};

/// Chats that one home remembers as exceptions; at 40 bytes each this is 8 MB.
pub const EXCEPTIONS: usize = 200_000;
/// How long an exception is believed. docs/MEASUREMENTS.md compares times.
pub const EXCEPTION_KEEP: Duration = Duration::from_secs(1_800);
/// How many of the emptiest engines are named to those who overflow.
pub const EMPTIEST: usize = 3;
/// The least time to tell a refused caller to wait.
const MIN_RETRY: Duration = Duration::from_millis(500);

/// How a service's engines are granted.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// The service.
    pub service: id::Service,
    /// Requests that one engine bears at once.
    pub slots: u32,
    /// The set multiple of the mean; `None` only in the baselines that are compared against.
    pub multiple: Option<unit::Multiple>,
    /// Requests that wait at the home.
    pub queue: usize,
}

impl Rules {
    /// Rules of a service with 16 slots, no bound and a queue of 64.
    #[must_use]
    pub fn new(service: id::Service) -> Self {
        Self { service, slots: 16, multiple: None, queue: 64 }
    }

    /// Sets the bound.
    #[must_use]
    pub fn with_multiple(mut self, multiple: unit::Multiple) -> Self {
        self.multiple = Some(multiple);
        self
    }

    /// Sets the slots.
    #[must_use]
    pub fn with_slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the queue's length.
    #[must_use]
    pub fn with_queue(mut self, queue: usize) -> Self {
        self.queue = queue;
        self
    }
}

/// An answer to send to an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The entry.
    pub to: id::Router,
    /// The engine that was asked for.
    pub upstream: id::Upstream,
    /// The attempt.
    pub attempt: id::Attempt,
    /// What was decided.
    pub verdict: Verdict,
}

/// What a home counted since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Permits granted.
    pub granted: u64,
    /// Grants above the bound by the latest mean; a stale mean let them through.
    pub over_bound: u64,
    /// Asks sent on to another engine.
    pub overflowed: u64,
    /// Asks that had to wait.
    pub queued: u64,
    /// Asks refused.
    pub refused: u64,
    /// Permits dropped because nobody renewed them.
    pub aged: u64,
    /// Times that this home found itself paused and started its accounts anew.
    pub distrusted: u64,
    /// Broken invariants: any but zero is a fault of the program.
    pub violations: u64,
}

/// Room for one more at an engine.
#[derive(Clone, Copy, Debug)]
struct Room {
    /// The bound that the grant must stay below.
    limit: u32,
    /// Whether the latest mean alone would have said no.
    over_latest: bool,
}

/// A service as a home sees it.
#[derive(Debug, Default)]
struct View {
    mean: Mean,
    emptiest: Vec<(id::Upstream, u32)>,
}

/// The home of some engines.
#[derive(Debug)]
pub struct Home {
    me: id::Router,
    incarnation: id::Incarnation,
    accounts: BTreeMap<id::Upstream, (Rules, Account)>,
    services: BTreeMap<id::Service, View>,
    exceptions: Exceptions,
    counts: Counts,
}

impl Home {
    /// A home without engines.
    #[must_use]
    pub fn new(me: id::Router, incarnation: id::Incarnation) -> Self {
        Self {
            me,
            incarnation,
            accounts: BTreeMap::new(),
            services: BTreeMap::new(),
            exceptions: Exceptions::new(EXCEPTIONS, EXCEPTION_KEEP),
            counts: Counts::default(),
        }
    }

    /// Sets how exceptions are remembered.
    #[must_use]
    pub fn with_exceptions(mut self, exceptions: Exceptions) -> Self {
        self.exceptions = exceptions;
        self
    }

    // ------------------------------------------------------------------------
    // Queries.

    /// This home's life; grants name it.
    #[must_use]
    pub fn incarnation(&self) -> id::Incarnation {
        self.incarnation
    }

    /// What was counted.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The engines whose accounts are here.
    pub fn upstreams(&self) -> impl Iterator<Item = &id::Upstream> {
        self.accounts.keys()
    }

    /// Whether an engine's account is here.
    #[must_use]
    pub fn keeps(&self, upstream: &id::Upstream) -> bool {
        self.accounts.contains_key(upstream)
    }

    /// Permits held of an engine; `None` if its account isn't here.
    #[must_use]
    pub fn outstanding(&self, upstream: &id::Upstream) -> Option<usize> {
        self.accounts.get(upstream).map(|(_, account)| account.held.len())
    }

    /// Asks waiting here.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.accounts.values().map(|(_, account)| account.queue.len()).sum()
    }

    /// The chats remembered as exceptions, and their bytes.
    #[must_use]
    pub fn exceptions(&self) -> (usize, usize) {
        (self.exceptions.len(), self.exceptions.bytes())
    }

    /// What this home's engines of a service carry.
    #[must_use]
    pub fn load(&self, now: Moment, service: &id::Service) -> Load {
        let mut load =
            Load { service: service.clone(), zone: None, outstanding: 0, engines: 0, waiting: 0, emptiest: Vec::new() };
        let mut waiting = usize::MAX;
        for (upstream, (rules, account)) in &self.accounts {
            if &rules.service != service || !account.open {
                continue;
            }
            let outstanding = account.outstanding(now).unwrap_or(rules.slots);
            load.outstanding += u64::from(outstanding);
            load.engines += 1;
            waiting = waiting.min(account.queue.len());
            load.emptiest.push((upstream.clone(), outstanding));
        }
        load.waiting = if load.engines > 0 { u32::try_from(waiting).unwrap_or(0) } else { 0 };
        load.emptiest.sort_by(|(x, a), (y, b)| a.cmp(b).then_with(|| x.cmp(y)));
        load.emptiest.truncate(EMPTIEST);
        load
    }

    /// The services that have engines here.
    #[must_use]
    pub fn services(&self) -> Vec<id::Service> {
        let mut services: Vec<_> = self.accounts.values().map(|(rules, _)| rules.service.clone()).collect();
        services.sort();
        services.dedup();
        services
    }

    /// The bound on an engine's outstanding requests now, slots included.
    #[must_use]
    pub fn bound(&self, now: Moment, upstream: &id::Upstream) -> Option<u32> {
        let (rules, _) = self.accounts.get(upstream)?;
        Some(self.limit(now, rules))
    }

    // ------------------------------------------------------------------------
    // Changes of what is kept here.

    /// Takes on an engine's account, or changes its rules.
    pub fn adopt(&mut self, now: Moment, upstream: id::Upstream, rules: Rules, reported: Option<u32>) {
        if let Some((old, account)) = self.accounts.get_mut(&upstream) {
            account.queue.set_capacity(rules.queue);
            *old = rules;
            return;
        }
        let account = Account::new(now, rules.queue, reported);
        self.accounts.insert(upstream, (rules, account));
    }

    /// Gives an engine's account up; those who wait are told to ask anew.
    pub fn abandon(&mut self, upstream: &id::Upstream) -> Vec<Answer> {
        let Some((_, mut account)) = self.accounts.remove(upstream) else {
            return Vec::new();
        };
        let waiting = account.queue.remove(|_| true);
        let verdict = Verdict::NotHome { home: None };
        waiting.into_iter().map(|item| answer(&item.value, verdict.clone())).collect()
    }

    /// Opens or closes an engine for new work. Closing sends on all that waits for it.
    pub fn set_open(&mut self, now: Moment, upstream: &id::Upstream, open: bool) -> Vec<Answer> {
        let Some((_, account)) = self.accounts.get_mut(upstream) else {
            return Vec::new();
        };
        if account.open == open {
            return Vec::new();
        }
        account.open = open;
        if open {
            return self.serve(now, upstream);
        }
        let waiting = account.queue.remove(|_| true);
        waiting.into_iter().map(|item| answer(&item.value, Verdict::Closed)).collect()
    }

    /// An upstream is gone for good: no prefix is there.
    pub fn forget_upstream(&mut self, upstream: &id::Upstream) {
        self.exceptions.forget_upstream(upstream);
    }

    /// After a pause nothing that was known can be relied upon: a new life, new accounts.
    pub fn distrust(&mut self, now: Moment) -> Vec<Answer> {
        self.incarnation.0 += 1;
        self.counts.distrusted += 1;
        let mut answers = Vec::new();
        for (_, account) in self.accounts.values_mut() {
            account.restart(now);
            let waiting = account.queue.remove(|_| true);
            let verdict = Verdict::NotHome { home: None };
            answers.extend(waiting.into_iter().map(|item| answer(&item.value, verdict.clone())));
        }
        answers
    }

    // ------------------------------------------------------------------------
    // Messages.

    /// An entry asks for a permit.
    pub fn ask(&mut self, now: Moment, entry: &id::Router, ask: Ask) -> Vec<Answer> {
        let upstream = ask.upstream.clone();
        let waiting = Waiting { entry: entry.clone(), last_resort: ask.patience >= ask.deadline, ask };
        let Some((_, account)) = self.accounts.get(&upstream) else {
            return vec![answer(&waiting, Verdict::NotHome { home: None })];
        };
        if account.held.contains_key(&waiting.ask.attempt) {
            // The ask was doubled on the way, or its answer was lost: the permit stands.
            let outstanding = u32::try_from(account.held.len()).unwrap_or(u32::MAX);
            return vec![answer(&waiting, Verdict::Granted { outstanding, over_share: false })];
        }
        if account.queue.iter().any(|item| item.value.ask.attempt == waiting.ask.attempt) {
            return Vec::new();
        }
        if let Some(elsewhere) = self.elsewhere(now, &waiting.ask) {
            return vec![answer(&waiting, Verdict::Elsewhere { upstream: elsewhere })];
        }
        if !account.open {
            return vec![answer(&waiting, Verdict::Closed)];
        }
        self.notice(now, &waiting.ask);
        let room = self.room(now, &upstream).filter(|_| self.queue_is_empty(&upstream));
        if let Some(room) = room.filter(|_| self.may_take(now, &waiting)) {
            return vec![self.grant(now, &waiting, room)];
        }
        self.wait(now, &waiting)
    }

    /// An entry no longer waits for an attempt.
    pub fn forget(
        &mut self,
        now: Moment,
        entry: &id::Router,
        upstream: &id::Upstream,
        attempt: id::Attempt,
    ) -> Vec<Answer> {
        let Some((_, account)) = self.accounts.get_mut(upstream) else {
            return Vec::new();
        };
        account.queue.remove(|waiting| waiting.ask.attempt == attempt && &waiting.entry == entry);
        self.release(now, entry, upstream, &[attempt])
    }

    /// An entry gives permits back.
    pub fn release(
        &mut self,
        now: Moment,
        entry: &id::Router,
        upstream: &id::Upstream,
        attempts: &[id::Attempt],
    ) -> Vec<Answer> {
        let Some((_, account)) = self.accounts.get_mut(upstream) else {
            return Vec::new();
        };
        for attempt in attempts {
            account.release(now, entry, *attempt);
        }
        self.serve(now, upstream)
    }

    /// An entry tells all that it holds of the engines kept here.
    pub fn renew(&mut self, now: Moment, entry: &id::Router, held: &[Held]) -> Vec<Answer> {
        let mut answers = Vec::new();
        for upstream in self.accounts.keys().cloned().collect::<Vec<_>>() {
            let attempts = held.iter().find(|held| held.upstream == upstream);
            let attempts = attempts.map_or(&[][..], |held| held.attempts.as_slice());
            if let Some((_, account)) = self.accounts.get_mut(&upstream) {
                account.renew(now, entry, attempts);
            }
            answers.extend(self.serve(now, &upstream));
        }
        answers
    }

    /// A chat's prefix moved away from its first choice, or back to it.
    pub fn moved(&mut self, now: Moment, chat: id::Chat, first: &id::Upstream, to: &id::Upstream) {
        if first == to {
            self.exceptions.forget(chat);
            return;
        }
        self.exceptions.remember(now, chat, to);
    }

    /// An entry is confirmed dead.
    pub fn drop_entry(&mut self, now: Moment, entry: &id::Router) -> Vec<Answer> {
        for (_, account) in self.accounts.values_mut() {
            account.drop_entry(entry);
        }
        self.serve_all(now)
    }

    /// An engine reported its load.
    pub fn report(&mut self, now: Moment, upstream: &id::Upstream, load: u32) -> Vec<Answer> {
        let Some((_, account)) = self.accounts.get_mut(upstream) else {
            return Vec::new();
        };
        account.report(load);
        if account.settled(now) {
            return Vec::new();
        }
        self.serve(now, upstream)
    }

    /// The sum over a service's engines came in, this home's own last report included.
    pub fn mean(
        &mut self,
        now: Moment,
        service: &id::Service,
        others: Sum,
        emptiest: Vec<(id::Upstream, u32)>,
    ) -> Vec<Answer> {
        let view = self.services.entry(service.clone()).or_default();
        view.mean.report(now, others);
        view.emptiest = emptiest;
        let mut answers = self.serve_all(now);
        answers.extend(self.send_on(now, service));
        answers
    }

    /// Lets time pass: waits end, permits age, what can't be served in time is refused now.
    pub fn tick(&mut self, now: Moment) -> Vec<Answer> {
        let mut answers = Vec::new();
        for upstream in self.accounts.keys().cloned().collect::<Vec<_>>() {
            answers.extend(self.expire(now, &upstream));
            answers.extend(self.refuse_hopeless(now, &upstream));
            if let Some((_, account)) = self.accounts.get_mut(&upstream) {
                self.counts.aged += account.age(now) as u64;
            }
            answers.extend(self.serve(now, &upstream));
        }
        answers
    }

    // ------------------------------------------------------------------------
    // Decisions.

    fn elsewhere(&self, now: Moment, ask: &Ask) -> Option<id::Upstream> {
        if !ask.first || !ask.returning {
            return None;
        }
        let elsewhere = self.exceptions.find(now, ask.chat?)?;
        (elsewhere != &ask.upstream).then(|| elsewhere.clone())
    }

    /// What this home's engines of a service carry, for the mean.
    fn sum(&self, now: Moment, service: &id::Service) -> Sum {
        let load = self.load(now, service);
        Sum { outstanding: load.outstanding, engines: load.engines, waiting: load.waiting }
    }

    fn limit(&self, now: Moment, rules: &Rules) -> u32 {
        let Some(multiple) = rules.multiple else {
            return rules.slots;
        };
        let own = self.sum(now, &rules.service);
        let mean = self.services.get(&rules.service).map(|view| view.mean.get(now, own));
        let bound = multiple.bound(mean.unwrap_or_else(|| own.mean()));
        bound.min(rules.slots)
    }

    /// The room that an engine has now, if any.
    fn room(&self, now: Moment, upstream: &id::Upstream) -> Option<Room> {
        let (rules, account) = self.accounts.get(upstream)?;
        let limit = self.limit(now, rules);
        let over_latest = self.is_over_latest(now, upstream);
        (account.open && account.outstanding(now)? < limit).then_some(Room { limit, over_latest })
    }

    fn notice(&mut self, now: Moment, ask: &Ask) {
        if let Some((_, account)) = self.accounts.get_mut(&ask.upstream) {
            account.notice(now, &ask.customer, ask.weight);
        }
    }

    fn queue_is_empty(&self, upstream: &id::Upstream) -> bool {
        self.accounts.get(upstream).is_some_and(|(_, account)| account.queue.is_empty())
    }

    /// Whether a customer may take what room there is: one over its share leaves some slots to the others.
    fn may_take(&self, now: Moment, waiting: &Waiting) -> bool {
        !self.is_over_share(now, waiting) || self.has_unreserved(now, &waiting.ask.upstream)
    }

    fn has_unreserved(&self, now: Moment, upstream: &id::Upstream) -> bool {
        let Some((rules, account)) = self.accounts.get(upstream) else {
            return false;
        };
        account.outstanding(now).is_some_and(|outstanding| outstanding < unreserved(rules.slots))
    }

    fn is_over_share(&self, now: Moment, waiting: &Waiting) -> bool {
        let account = self.accounts.get(&waiting.ask.upstream);
        account.is_some_and(|(rules, account)| account.is_over_share(now, &waiting.ask.customer, rules.slots))
    }

    /// Whether a customer asks for more than its share, by what it holds and what it has waiting: then the engine serves
    /// others' prompts first.
    fn asks_over_share(&self, now: Moment, waiting: &Waiting) -> bool {
        let account = self.accounts.get(&waiting.ask.upstream);
        account.is_some_and(|(rules, account)| account.asks_over_share(now, &waiting.ask.customer, rules.slots))
    }

    fn grant(&mut self, now: Moment, waiting: &Waiting, room: Room) -> Answer {
        let over_share = self.asks_over_share(now, waiting);
        let Some((_, account)) = self.accounts.get_mut(&waiting.ask.upstream) else {
            return answer(waiting, Verdict::NotHome { home: None });
        };
        // Held where the permit is made, whatever led here.
        if account.outstanding(now).is_none_or(|outstanding| outstanding >= room.limit) {
            self.counts.violations += 1;
            return answer(waiting, Verdict::Overflow { emptiest: Vec::new() });
        }
        account.hold(now, waiting.ask.attempt, &waiting.entry, Some(waiting.ask.customer.clone()));
        let outstanding = u32::try_from(account.held.len()).unwrap_or(u32::MAX);
        self.counts.granted += 1;
        self.counts.over_bound += u64::from(room.over_latest);
        if let Some(chat) = waiting.ask.chat.filter(|_| !self.exceptions.is_empty()) {
            self.settle_exception(now, chat, &waiting.ask);
        }
        answer(waiting, Verdict::Granted { outstanding, over_share })
    }

    /// A chat that runs at its first choice has its prefix there from now on.
    fn settle_exception(&mut self, now: Moment, chat: id::Chat, ask: &Ask) {
        let sits_elsewhere = self.exceptions.find(now, chat).is_some_and(|to| to != &ask.upstream);
        if ask.first && sits_elsewhere {
            self.exceptions.forget(chat);
        }
    }

    /// Whether one more would pass the bound by the latest mean alone.
    fn is_over_latest(&self, now: Moment, upstream: &id::Upstream) -> bool {
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

    fn wait(&mut self, now: Moment, waiting: &Waiting) -> Vec<Answer> {
        let upstream = waiting.ask.upstream.clone();
        if waiting.ask.patience.is_zero() {
            self.counts.overflowed += 1;
            return vec![answer(waiting, self.overflow(&waiting.ask.service))];
        }
        let predicted = self.predict(now, &waiting.ask);
        if waiting.last_resort && predicted > waiting.ask.deadline {
            return vec![self.refuse(waiting, Reason::Deadline, predicted)];
        }
        let item =
            Item::new(waiting.clone(), waiting.ask.customer.clone(), waiting.ask.class, now + waiting.ask.patience);
        let item = item.with_weight(waiting.ask.weight);
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
        let verdict = self.overflow(&out.value.ask.service);
        vec![answer(&out.value, verdict)]
    }

    fn predict(&self, now: Moment, ask: &Ask) -> Duration {
        let Some((rules, account)) = self.accounts.get(&ask.upstream) else {
            return Duration::ZERO;
        };
        let ahead = account.queue.ahead(now, &ask.customer, ask.weight, ask.class);
        account.pace.wait(ahead, self.limit(now, rules))
    }

    fn refuse(&mut self, waiting: &Waiting, reason: Reason, predicted: Duration) -> Answer {
        self.counts.refused += 1;
        let refusal = Refusal::new(reason, predicted.max(MIN_RETRY));
        answer(waiting, Verdict::Refused(refusal))
    }

    fn overflow(&self, service: &id::Service) -> Verdict {
        let view = self.services.get(service);
        let emptiest = view.map(|view| view.emptiest.iter().map(|(upstream, _)| upstream.clone()).collect());
        Verdict::Overflow { emptiest: emptiest.unwrap_or_default() }
    }

    /// Grants to those who wait, in turn, while there is room.
    fn serve(&mut self, now: Moment, upstream: &id::Upstream) -> Vec<Answer> {
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

    fn serve_all(&mut self, now: Moment) -> Vec<Answer> {
        let upstreams: Vec<_> = self.accounts.keys().cloned().collect();
        upstreams.iter().flat_map(|upstream| self.serve(now, upstream)).collect()
    }

    fn expire(&mut self, now: Moment, upstream: &id::Upstream) -> Vec<Answer> {
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
            let verdict = self.overflow(&item.value.ask.service);
            answers.push(answer(&item.value, verdict));
        }
        answers
    }

    /// Refuses now what would only be refused at its deadline later.
    fn refuse_hopeless(&mut self, now: Moment, upstream: &id::Upstream) -> Vec<Answer> {
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
                let ahead = account.queue.ahead(now, &ask.customer, ask.weight, ask.class).min(count);
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
    fn send_on(&mut self, now: Moment, service: &id::Service) -> Vec<Answer> {
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

    /// The router this home runs in.
    #[must_use]
    pub fn router(&self) -> &id::Router {
        &self.me
    }
}

fn answer(waiting: &Waiting, verdict: Verdict) -> Answer {
    Answer { to: waiting.entry.clone(), upstream: waiting.ask.upstream.clone(), attempt: waiting.ask.attempt, verdict }
}
