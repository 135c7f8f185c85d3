//! The home: the router that owns the accounts of some engines and grants permits for them.

use std::{collections::BTreeMap, time::Duration};

use stairvale_placement::Exceptions;
use stairvale_types::{Moment, id};
use stairvale_wire::{HeldPermits, Load, PermitRequest, Verdict};

use crate::{
    Account, Mean,
    account::QueuedRequest,
    mean::Sum,
    rules::{Answer, Counts, Rules},
};

/// Maximum number of chats that one home records as exceptions; at 40 bytes each this is 8 MB.
pub const EXCEPTION_CAPACITY: usize = 200_000;
/// How long an exception is kept after it was last recorded.
pub const EXCEPTION_TTL: Duration = Duration::from_secs(1_800);
/// Maximum number of least-loaded engines that an overflow answer suggests.
pub const MAX_EMPTIEST: usize = 3;

/// Fleet-wide load of a service, as last received by this home.
#[derive(Debug, Default)]
pub(crate) struct ServiceLoad {
    pub mean: Mean,
    pub emptiest: Vec<(id::Upstream, u32)>,
}

/// The accounts of the engines whose home is this router.
#[derive(Debug)]
pub struct Home {
    pub(crate) router: id::Router,
    pub(crate) accounts: BTreeMap<id::Upstream, (Rules, Account)>,
    pub(crate) services: BTreeMap<id::Service, ServiceLoad>,
    pub(crate) exceptions: Exceptions,
    pub(crate) counts: Counts,
}

impl Home {
    /// Creates a home without engines; `router` is the router that it runs in.
    #[must_use]
    pub fn new(router: id::Router) -> Self {
        Self {
            router,
            accounts: BTreeMap::new(),
            services: BTreeMap::new(),
            exceptions: Exceptions::new(EXCEPTION_CAPACITY, EXCEPTION_TTL),
            counts: Counts::default(),
        }
    }

    /// Replaces the table of exceptions, and with it its capacity and retention time.
    #[must_use]
    pub fn with_exceptions(mut self, exceptions: Exceptions) -> Self {
        self.exceptions = exceptions;
        self
    }

    // ------------------------------------------------------------------------
    // Queries.

    /// Returns the router that this home runs in.
    #[must_use]
    pub fn router(&self) -> &id::Router {
        &self.router
    }

    /// Returns the counters since the start of this home.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the engines whose accounts this home owns.
    pub fn upstreams(&self) -> impl Iterator<Item = &id::Upstream> {
        self.accounts.keys()
    }

    /// Returns whether this home owns an engine's account.
    #[must_use]
    pub fn owns(&self, upstream: &id::Upstream) -> bool {
        self.accounts.contains_key(upstream)
    }

    /// Returns the number of permits held for an engine, or `None` if this home doesn't own its account.
    #[must_use]
    pub fn outstanding(&self, upstream: &id::Upstream) -> Option<usize> {
        self.accounts.get(upstream).map(|(_, account)| account.held.len())
    }

    /// Returns the number of requests queued for all engines of this home.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.accounts.values().map(|(_, account)| account.queue.len()).sum()
    }

    /// Returns the number of chats recorded as exceptions, and the memory they take in bytes.
    #[must_use]
    pub fn exceptions(&self) -> (usize, usize) {
        (self.exceptions.len(), self.exceptions.bytes())
    }

    /// Returns the load of this home's open engines of a service.
    ///
    /// An engine whose load can't be determined yet counts as full.
    #[must_use]
    pub fn load(&self, now: Moment, service: &id::Service) -> Load {
        let mut load =
            Load { service: service.clone(), zone: None, outstanding: 0, engines: 0, waiting: 0, emptiest: Vec::new() };
        let mut min_queued = usize::MAX;
        for (upstream, (rules, account)) in &self.accounts {
            if &rules.service != service || !account.open {
                continue;
            }
            let outstanding = account.outstanding(now).unwrap_or(rules.slots);
            load.outstanding += u64::from(outstanding);
            load.engines += 1;
            min_queued = min_queued.min(account.queue.len());
            load.emptiest.push((upstream.clone(), outstanding));
        }
        load.waiting = if load.engines > 0 { u32::try_from(min_queued).unwrap_or(0) } else { 0 };
        load.emptiest.sort_by(|(x, a), (y, b)| a.cmp(b).then_with(|| x.cmp(y)));
        load.emptiest.truncate(MAX_EMPTIEST);
        load
    }

    /// Returns the services that have engines at this home, sorted by name.
    #[must_use]
    pub fn services(&self) -> Vec<id::Service> {
        let mut services: Vec<_> = self.accounts.values().map(|(rules, _)| rules.service.clone()).collect();
        services.sort();
        services.dedup();
        services
    }

    /// Returns the current load bound of an engine, which is at most its slots, or `None` if this home doesn't own its
    /// account.
    #[must_use]
    pub fn bound(&self, now: Moment, upstream: &id::Upstream) -> Option<u32> {
        let (rules, _) = self.accounts.get(upstream)?;
        Some(self.limit(now, rules))
    }

    // ------------------------------------------------------------------------
    // Account ownership.

    /// Starts an engine's account, or updates the rules of an existing one.
    ///
    /// Returns whether the account is new; the entries must then be requested to register the permits that they hold.
    pub fn adopt(&mut self, now: Moment, upstream: id::Upstream, rules: Rules, reported: Option<u32>) -> bool {
        if let Some((current, account)) = self.accounts.get_mut(&upstream) {
            account.queue.set_capacity(rules.queue);
            *current = rules;
            return false;
        }
        let account = Account::new(now, rules.queue, reported);
        self.accounts.insert(upstream, (rules, account));
        true
    }

    /// Gives up an engine's account. Queued requests are answered with `NotHome`, so that their entries
    /// request again elsewhere.
    pub fn abandon(&mut self, upstream: &id::Upstream) -> Vec<Answer> {
        let Some((_, mut account)) = self.accounts.remove(upstream) else {
            return Vec::new();
        };
        let queued = account.queue.remove(|_| true);
        let verdict = Verdict::NotHome { home: None };
        queued.into_iter().map(|item| answer_to(&item.value, verdict.clone())).collect()
    }

    /// Opens or closes an engine for new work. Closing answers its queued requests with `Closed`.
    pub fn set_open(&mut self, now: Moment, upstream: &id::Upstream, open: bool) -> Vec<Answer> {
        let Some((_, account)) = self.accounts.get_mut(upstream) else {
            return Vec::new();
        };
        if account.open == open {
            return Vec::new();
        }
        account.open = open;
        if open {
            return self.grant_queued(now, upstream);
        }
        let queued = account.queue.remove(|_| true);
        queued.into_iter().map(|item| answer_to(&item.value, Verdict::Closed)).collect()
    }

    /// Removes the exceptions that point to an upstream which is permanently gone, since its prefixes are lost.
    pub fn forget_upstream(&mut self, upstream: &id::Upstream) {
        self.exceptions.remove_upstream(upstream);
    }

    /// Restarts all accounts after the process was paused, as their state may be out of date.
    ///
    /// Queued requests are answered with `NotHome`.
    pub fn restart_accounts(&mut self, now: Moment) -> Vec<Answer> {
        self.counts.distrusted += 1;
        let mut answers = Vec::new();
        for (_, account) in self.accounts.values_mut() {
            account.reset(now);
            let queued = account.queue.remove(|_| true);
            let verdict = Verdict::NotHome { home: None };
            answers.extend(queued.into_iter().map(|item| answer_to(&item.value, verdict.clone())));
        }
        answers
    }

    // ------------------------------------------------------------------------
    // Messages.

    /// Handles an entry's request for a permit.
    ///
    /// There is no answer while the request is queued.
    pub fn request_permit(&mut self, now: Moment, entry: &id::Router, ask: PermitRequest) -> Vec<Answer> {
        let upstream = ask.upstream.clone();
        let queued = QueuedRequest { entry: entry.clone(), last_resort: ask.patience >= ask.deadline, ask };
        let Some((_, account)) = self.accounts.get(&upstream) else {
            return vec![answer_to(&queued, Verdict::NotHome { home: None })];
        };
        if account.held.contains_key(&queued.ask.attempt) {
            // The request was duplicated in transit, or its answer was lost: the permit remains valid.
            let outstanding = u32::try_from(account.held.len()).unwrap_or(u32::MAX);
            return vec![answer_to(&queued, Verdict::Granted { outstanding, over_share: false })];
        }
        if account.queue.iter().any(|item| item.value.ask.attempt == queued.ask.attempt) {
            return Vec::new();
        }
        if let Some(elsewhere) = self.find_exception(now, &queued.ask) {
            return vec![answer_to(&queued, Verdict::Elsewhere { upstream: elsewhere })];
        }
        if !account.open {
            return vec![answer_to(&queued, Verdict::Closed)];
        }
        self.record_request(now, &queued.ask);
        let room = self.room(now, &upstream).filter(|_| self.may_bypass_queue(now, &upstream));
        if let Some(room) = room.filter(|_| self.may_use_room(now, &queued)) {
            return vec![self.grant(now, &queued, room)];
        }
        self.enqueue(now, &queued)
    }

    /// Handles an entry's notice that it no longer waits for an attempt.
    ///
    /// A permit that the attempt has been granted in the meantime is released.
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
        account.queue.remove(|queued| queued.ask.attempt == attempt && &queued.entry == entry);
        self.release(now, entry, upstream, &[attempt])
    }

    /// Releases permits that an entry returns.
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
        self.grant_queued(now, upstream)
    }

    /// Applies an entry's renewal, which lists all permits that it holds for the engines of this home.
    pub fn renew(&mut self, now: Moment, entry: &id::Router, held: &[HeldPermits]) -> Vec<Answer> {
        let mut answers = Vec::new();
        for upstream in self.accounts.keys().cloned().collect::<Vec<_>>() {
            let attempts = held.iter().find(|held| held.upstream == upstream);
            let attempts = attempts.map_or(&[][..], |held| held.attempts.as_slice());
            if let Some((_, account)) = self.accounts.get_mut(&upstream) {
                account.renew(now, entry, attempts);
            }
            answers.extend(self.grant_queued(now, &upstream));
        }
        answers
    }

    /// Records that a chat's prefix moved away from its first choice `first`, or back to it.
    pub fn record_prefix_move(&mut self, now: Moment, chat: id::Chat, first: &id::Upstream, to: &id::Upstream) {
        if first == to {
            self.exceptions.remove(chat);
            return;
        }
        self.exceptions.record(now, chat, to);
    }

    /// Removes the permits and queued requests of an entry that is confirmed dead.
    pub fn drop_entry(&mut self, now: Moment, entry: &id::Router) -> Vec<Answer> {
        for (_, account) in self.accounts.values_mut() {
            account.drop_entry(entry);
        }
        self.grant_all_queued(now)
    }

    /// Records the load that an engine reported.
    pub fn report_load(&mut self, now: Moment, upstream: &id::Upstream, load: u32) -> Vec<Answer> {
        let Some((_, account)) = self.accounts.get_mut(upstream) else {
            return Vec::new();
        };
        account.set_reported_load(load);
        if account.settled(now) {
            return Vec::new();
        }
        self.grant_queued(now, upstream)
    }

    /// Records the summed load of all other homes' engines of a service, and the emptiest engines of the fleet, which
    /// include those of this home as it last reported them.
    pub fn update_mean(
        &mut self,
        now: Moment,
        service: &id::Service,
        others: Sum,
        emptiest: Vec<(id::Upstream, u32)>,
    ) -> Vec<Answer> {
        let fleet = self.services.entry(service.clone()).or_default();
        fleet.mean.report(now, others);
        fleet.emptiest = emptiest;
        let mut answers = self.grant_all_queued(now);
        answers.extend(self.redirect_queued(now, service));
        answers
    }

    /// Processes time-outs: ends waits that are over, removes permits that were not renewed, and refuses requests that
    /// can't be served in time.
    pub fn tick(&mut self, now: Moment) -> Vec<Answer> {
        let mut answers = Vec::new();
        for upstream in self.accounts.keys().cloned().collect::<Vec<_>>() {
            answers.extend(self.expire_queued(now, &upstream));
            answers.extend(self.refuse_unservable(now, &upstream));
            if let Some((_, account)) = self.accounts.get_mut(&upstream) {
                self.counts.aged += account.expire_permits(now) as u64;
            }
            answers.extend(self.grant_queued(now, &upstream));
        }
        answers
    }
}

/// Builds the answer to a permit request, whether it was queued or not.
pub(crate) fn answer_to(queued: &QueuedRequest, verdict: Verdict) -> Answer {
    Answer { to: queued.entry.clone(), upstream: queued.ask.upstream.clone(), attempt: queued.ask.attempt, verdict }
}
