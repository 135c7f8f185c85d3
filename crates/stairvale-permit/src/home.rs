//! The home: it grants permits for the engines it keeps the accounts of.

use std::{collections::BTreeMap, time::Duration};

use stairvale_placement::Exceptions;
use stairvale_types::{Moment, id};
use stairvale_wire::{Ask, Held, Load, Verdict};

use crate::{
    Account, Mean,
    account::Waiting,
    mean::Sum,
    rules::{Answer, Counts, Rules},
};

/// Chats that one home remembers as exceptions; at 40 bytes each this is 8 MB.
pub const EXCEPTIONS: usize = 200_000;
/// How long an exception is believed. docs/MEASUREMENTS.md compares times.
pub const EXCEPTION_KEEP: Duration = Duration::from_secs(1_800);
/// How many of the emptiest engines are named to those who overflow.
pub const EMPTIEST: usize = 3;

/// A service as a home sees it.
#[derive(Debug, Default)]
pub(crate) struct View {
    pub mean: Mean,
    pub emptiest: Vec<(id::Upstream, u32)>,
}

/// The home of some engines.
#[derive(Debug)]
pub struct Home {
    pub(crate) me: id::Router,
    pub(crate) accounts: BTreeMap<id::Upstream, (Rules, Account)>,
    pub(crate) services: BTreeMap<id::Service, View>,
    pub(crate) exceptions: Exceptions,
    pub(crate) counts: Counts,
}

impl Home {
    /// A home without engines.
    #[must_use]
    pub fn new(me: id::Router) -> Self {
        Self {
            me,
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

    /// The router this home runs in.
    #[must_use]
    pub fn router(&self) -> &id::Router {
        &self.me
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
    ///
    /// Says whether the account is new, so that entries must be asked what they hold.
    pub fn adopt(&mut self, now: Moment, upstream: id::Upstream, rules: Rules, reported: Option<u32>) -> bool {
        if let Some((old, account)) = self.accounts.get_mut(&upstream) {
            account.queue.set_capacity(rules.queue);
            *old = rules;
            return false;
        }
        let account = Account::new(now, rules.queue, reported);
        self.accounts.insert(upstream, (rules, account));
        true
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

    /// After a pause nothing that was known can be relied upon: the accounts start anew.
    pub fn distrust(&mut self, now: Moment) -> Vec<Answer> {
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
        let room = self.room(now, &upstream).filter(|_| self.goes_first(now, &upstream));
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
}

pub(crate) fn answer(waiting: &Waiting, verdict: Verdict) -> Answer {
    Answer { to: waiting.entry.clone(), upstream: waiting.ask.upstream.clone(), attempt: waiting.ask.attempt, verdict }
}
