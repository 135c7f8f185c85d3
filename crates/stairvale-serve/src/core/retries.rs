//! The retry budgets of this router, and the copies of them that survive its process.
//!
//! A router may send retries in proportion to its own requests. Its next process must count what this one has sent, or
//! a fleet that restarts spends its budget twice. So each router reports its account to a few peers while it holds
//! retries, and they return it to the router's next process. A process that has no complete account of the last window
//! yet gets only a small part of its budget.
//!
//! A router that its callers leave, or that dies, has sent more retries than its requests of the last window allow, while
//! the same callers earn retries at other routers. The peers that keep its account take the excess off their own budgets.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use stairvale_dispatch::{
    RetryWindow,
    budget::{Account, Usage},
};
use stairvale_placement::pick;
use stairvale_types::{Moment, id};
use stairvale_wire::{Member, Status};

use super::{Core, Effect};
use crate::frame::Frame;

/// Lower bound of the time between two reports, which bounds what a process that is killed has not reported.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Upper bound of the time between two reports of an account that holds retries: peers that don't learn of later requests
/// overestimate the excess.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which the stream to a peer that is needed is opened again.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(250);
/// Number of peers in other zones that keep a copy of this router's account, beside one in its own zone: the account
/// outlives the loss of a zone and the restart of a peer.
const REMOTE_REPLICAS: usize = 2;
/// The first minor version of the wire whose routers read accounts of retries.
const MIN_MINOR_VERSION: u16 = 1;

/// A peer's account of retries, kept for the peer's next process.
#[derive(Debug)]
struct AccountCopy {
    windows: HashMap<id::Service, RetryWindow>,
    /// How far back the account is complete, as of [`AccountCopy::received_at`].
    covered: Duration,
    received_at: Moment,
}

impl AccountCopy {
    fn covered(&self, now: Moment) -> Duration {
        self.covered + now.since(self.received_at)
    }
}

/// The retry budgets of this router, and the peers that it exchanges accounts with.
#[derive(Debug, Default)]
pub(super) struct Retries {
    windows: HashMap<id::Service, RetryWindow>,
    /// How far back before this process's start its account is complete.
    covered_before_start: Duration,
    /// The peers that keep copies of this router's account, and whether they have received all of it.
    replicas: BTreeMap<id::Router, bool>,
    /// The revision of the membership that [`Self::replicas`] were chosen from.
    members_revision: Option<u64>,
    /// Whether retries were counted that aren't reported yet.
    has_unreported: bool,
    reported_at: Moment,
    copies: HashMap<id::Router, AccountCopy>,
    /// Peers with a new process, whose account is to be returned.
    restarted: BTreeSet<id::Router>,
    /// Peers with an open stream that read accounts.
    connected: BTreeSet<id::Router>,
    /// Peers whose builds don't read accounts.
    unaware: BTreeSet<id::Router>,
    /// When the stream to a peer was last asked for.
    connecting: HashMap<id::Router, Moment>,
}

impl Core {
    /// States whether the fleet is started for the first time, so that no earlier process of this router has spent anything.
    #[must_use]
    pub fn with_first_start(mut self, is_first: bool) -> Self {
        self.streams.is_first_start = is_first;
        self.retries.covered_before_start = if is_first { self.bounds.budget().window } else { Duration::ZERO };
        self
    }

    /// Counts a request of a service towards its retry budget.
    pub fn count(&mut self, now: Moment, service: &id::Service) {
        let budget = self.bounds.budget();
        self.retries.windows.entry(service.clone()).or_default().request(now, budget);
    }

    /// Takes one retry from the service's budget; `false` if it is exhausted.
    #[must_use]
    pub fn take_retry(&mut self, now: Moment, service: &id::Service) -> bool {
        let full = self.bounds.budget();
        let is_covered = self.covered(now) >= full.window;
        let budget = if is_covered { full } else { self.bounds.uncovered_budget() };
        let routers = self.free_part_sharers(now);
        let excess = self.excess_of_peers(now, service);
        let window = self.retries.windows.entry(service.clone()).or_default();
        let taken = window.headroom(now, budget, routers) - excess >= 1.0 && window.spend(now, budget, routers);
        self.retries.has_unreported |= taken;
        taken
    }

    /// The number of routers that share the free part of the budget. A router that has just started, or that has started
    /// in a partition, doesn't know it yet, and gets none of that part.
    fn free_part_sharers(&self, now: Moment) -> usize {
        if self.knows_fleet(now) && self.knows_fleet_size() { self.budget_sharers() } else { usize::MAX }
    }

    /// How many retries the peers whose accounts this router keeps have sent beyond what their requests allow now. They are
    /// taken off this router's budget.
    #[must_use]
    pub fn excess_of_peers(&mut self, now: Moment, service: &id::Service) -> f64 {
        let (budget, routers) = (self.bounds.budget(), self.free_part_sharers(now));
        let windows = self.retries.copies.values_mut().filter_map(|copy| copy.windows.get_mut(service));
        windows.map(|window| (-window.headroom(now, budget, routers)).max(0.0)).sum()
    }

    /// The requests and retries of a service on which its retry budget was last decided.
    #[must_use]
    pub fn retry_usage(&self, service: &id::Service) -> Usage {
        self.retries.windows.get(service).map(RetryWindow::usage).unwrap_or_default()
    }

    /// How far back this router's account of retries is complete.
    fn covered(&self, now: Moment) -> Duration {
        self.uptime(now) + self.retries.covered_before_start
    }

    /// Handles the opening of a stream to a peer that reads the frames of this minor version.
    pub fn opened(&mut self, now: Moment, peer: &id::Router, minor: u16) -> Vec<Effect> {
        let mut effects = self.send_waiting(peer, minor);
        self.retries.connecting.remove(peer);
        if minor < MIN_MINOR_VERSION {
            self.retries.unaware.insert(peer.clone());
            self.retries.members_revision = None;
            return effects;
        }
        self.retries.connected.insert(peer.clone());
        effects.extend(self.exchange_accounts(now));
        effects
    }

    /// Forgets the stream to a peer.
    pub(super) fn forget_stream(&mut self, peer: &id::Router) {
        self.builds.forget(peer);
        self.retries.connected.remove(peer);
        if let Some(is_informed) = self.retries.replicas.get_mut(peer) {
            *is_informed = false;
        }
    }

    /// Handles a peer's new process, which may run another build and needs the account of the one before.
    pub(super) fn handle_restart(&mut self, peer: &id::Router) {
        self.forget_stream(peer);
        if self.retries.unaware.remove(peer) {
            self.retries.members_revision = None;
        }
        if self.retries.copies.contains_key(peer) {
            self.retries.restarted.insert(peer.clone());
        }
    }

    /// Reports this router's account to the peers that keep it, and returns theirs to peers that restarted.
    pub(super) fn exchange_accounts(&mut self, now: Moment) -> Vec<Effect> {
        let mut effects = self.choose_replicas(now);
        effects.extend(self.connect_where_needed(now));
        effects.extend(self.return_copies(now));
        effects.extend(self.report_account(now));
        effects
    }

    /// Chooses the peers that keep this router's account, and has those that no longer do so drop it.
    fn choose_replicas(&mut self, now: Moment) -> Vec<Effect> {
        let revision = self.swim.revision();
        if !self.knows_fleet(now) || self.retries.members_revision == Some(revision) {
            return Vec::new();
        }
        self.retries.members_revision = Some(revision);
        let is_candidate = |member: &&Member| {
            member.router != self.me && member.status == Status::Alive && !self.retries.unaware.contains(&member.router)
        };
        let (near, far): (Vec<_>, Vec<_>) =
            self.responding_routers().filter(is_candidate).partition(|member| member.zone == self.zone);
        let key = self.me.hash64();
        let best = |members: &[&Member], except: &[id::Router]| {
            let rest = members.iter().filter(|member| !except.contains(&member.router));
            pick(key, rest.map(|member| (member.router.hash64(), &member.router))).cloned()
        };
        let mut chosen: Vec<_> = best(&near, &[]).into_iter().collect();
        for _ in 0..REMOTE_REPLICAS {
            chosen.extend(best(&far, &chosen));
        }
        let mut before = std::mem::take(&mut self.retries.replicas);
        let replicas = chosen.into_iter().map(|router| {
            let is_informed = before.remove(&router).unwrap_or(false);
            (router, is_informed)
        });
        self.retries.replicas = replicas.collect();
        let known: BTreeSet<_> = self.swim.peers().map(|member| &member.router).collect();
        self.retries.copies.retain(|router, _| known.contains(router));
        let informed = before.into_iter().filter(|(_, is_informed)| *is_informed);
        informed.flat_map(|(peer, _)| self.send(&peer, Frame::RetryAccount { account: Account::default() })).collect()
    }

    /// Opens streams to peers that accounts have to be sent to.
    fn connect_where_needed(&mut self, now: Moment) -> Vec<Effect> {
        let retries = &self.retries;
        let needed = retries.replicas.keys().chain(&retries.restarted);
        let missing = needed.filter(|peer| !retries.connected.contains(*peer) && !retries.unaware.contains(*peer));
        let due = missing
            .filter(|peer| retries.connecting.get(*peer).is_none_or(|since| now.since(*since) >= RECONNECT_INTERVAL));
        let due: BTreeMap<_, _> = due.filter_map(|peer| self.responding_peer(peer)).collect();
        self.retries.connecting.extend(due.keys().map(|peer| (peer.clone(), now)));
        due.into_iter().map(|(to, address)| Effect::Connect { to, address }).collect()
    }

    fn return_copies(&mut self, now: Moment) -> Vec<Effect> {
        let budget = self.bounds.budget();
        let due: Vec<_> = self.retries.restarted.intersection(&self.retries.connected).cloned().collect();
        let mut effects = Vec::new();
        for peer in due {
            self.retries.restarted.remove(&peer);
            // The new process may choose other peers, so this copy is no longer known to be complete.
            if let Some(copy) = self.retries.copies.remove(&peer) {
                let services =
                    copy.windows.iter().map(|(service, window)| (service.clone(), window.periods(now, budget, None)));
                let services = services.filter(|(_, periods)| !periods.is_empty()).collect();
                let account = Account { covered: copy.covered(now), services };
                effects.extend(self.send(&peer, Frame::RetryAccountCopy { account }));
            }
        }
        effects
    }

    /// Reports the recent part of the account to the replicas, and the whole account to those that don't have it yet.
    fn report_account(&mut self, now: Moment) -> Vec<Effect> {
        let mut effects = Vec::new();
        let is_new = |(peer, is_informed): (&id::Router, &bool)| {
            (!is_informed && self.retries.connected.contains(peer)).then(|| peer.clone())
        };
        let new: Vec<_> = self.retries.replicas.iter().filter_map(is_new).collect();
        let since_report = now.since(self.retries.reported_at);
        let interval = if self.retries.has_unreported { REPORT_INTERVAL } else { REFRESH_INTERVAL };
        if since_report >= interval {
            let account = self.account(now, Some(since_report));
            let informed = self.retries.replicas.iter().filter(|(_, is_informed)| **is_informed);
            for (peer, _) in informed.filter(|_| !account.services.is_empty()) {
                effects.extend(self.send(peer, Frame::RetryAccount { account: account.clone() }));
            }
            self.retries.has_unreported = false;
            self.retries.reported_at = now;
        }
        for peer in new {
            effects.extend(self.send(&peer, Frame::RetryAccount { account: self.account(now, None) }));
            self.retries.replicas.insert(peer, true);
        }
        effects
    }

    /// This router's account of the last `length`, or of the whole window.
    fn account(&self, now: Moment, length: Option<Duration>) -> Account {
        let budget = self.bounds.budget();
        // A service without retries has nothing that peers or the next process must know.
        let windows = self.retries.windows.iter().filter(|(_, window)| window.has_retries(now, budget));
        let services = windows.map(|(service, window)| (service.clone(), window.periods(now, budget, length)));
        let services = services.filter(|(_, periods)| !periods.is_empty()).collect();
        Account { covered: self.covered(now), services }
    }

    /// Keeps a peer's account for the peer's next process. An empty one means that the peer has chosen other peers.
    pub(super) fn keep_account(&mut self, now: Moment, from: &id::Router, account: Account) -> Vec<Effect> {
        let copies = &mut self.retries.copies;
        if account == Account::default() {
            copies.remove(from);
            return Vec::new();
        }
        let budget = self.bounds.budget();
        let copy = copies.entry(from.clone()).or_insert_with(|| AccountCopy {
            windows: HashMap::new(),
            covered: Duration::ZERO,
            received_at: now,
        });
        (copy.covered, copy.received_at) = (copy.covered(now).max(account.covered), now);
        for (service, periods) in account.services {
            copy.windows.entry(service).or_default().merge(now, budget, &periods);
        }
        Vec::new()
    }

    /// Takes over what earlier processes of this router have spent, as a peer kept it.
    pub(super) fn restore_account(&mut self, now: Moment, from: &id::Router, account: &Account) -> Vec<Effect> {
        let budget = self.bounds.budget();
        let uptime = self.uptime(now);
        if uptime >= budget.window {
            return Vec::new();
        }
        let started = self.started_at.unwrap_or(now);
        for (service, periods) in &account.services {
            self.retries.windows.entry(service.clone()).or_default().inherit(now, budget, periods, started);
        }
        let covered = account.covered.saturating_sub(uptime);
        self.retries.covered_before_start = self.retries.covered_before_start.max(covered);
        // What was restored has to outlive this process as well.
        self.retries.replicas.values_mut().for_each(|is_informed| *is_informed = false);
        vec![Effect::RetriesRestored { from: from.clone(), covered: self.covered(now) }]
    }
}
