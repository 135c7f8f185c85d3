//! The state and the decisions of one router, without I/O: its copy of the store, its view of its peers, and the
//! accounts of the services that it is home of. The caller passes in messages and the current time, and carries out
//! the returned [`Effect`]s.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use stairvale_dispatch::{Contents, Held, Pool, SentPrefixes};
use stairvale_membership::{Swim, swim};
use stairvale_replica::{StoreUpdate, Upstream, View};
use stairvale_table::Table;
use stairvale_types::{Moment, Rest, id};
use stairvale_wire::{Member, Packet};

use crate::{
    dialect::Notice,
    frame::{Finding, Frame, Sync},
    settings::Bounds,
};

mod builds;
mod effect;
mod entry;
mod epochs;
mod freshness;
mod heirs;
mod home;
mod knowledge;
mod naming;
mod notices;
mod quarantine;
mod retries;
mod roles;
mod rollouts;
mod segments;
mod spread;
mod streams;
mod tunnels;
mod versions;
mod writing;

use builds::Builds;
use heirs::Successors;
use notices::Notices;
use quarantine::Quarantine;
use retries::Retries;
use roles::Roles;
use rollouts::Rollouts;
use spread::SentConfiguration;
use streams::Streams;

pub use effect::{Effect, Reply};
pub use freshness::Reading;
pub use home::CustomerCounts;
pub use spread::Peer;
pub(crate) use streams::RETURN_TIME;
pub use streams::{Lookup, VersionKnowledge};
pub use writing::{Obstacle, ProxyReport};

/// Interval at which an entry router reports its running requests to their homes.
const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// Key by which the fleet's reader of the store is selected among the zones' watchers.
const READER_KEY: u64 = 0;
/// Number of sync requests that a router sends to its watcher within [`Bounds::max_age`], the age at which its copy
/// counts as stale. Each one requests the latest changes and the age of the watcher's copy.
const SYNCS_PER_STALE_LIMIT: u32 = 6;
/// Upper limit of the sync interval until the age of this router's copy has been confirmed for the first time.
const UNCONFIRMED_SYNC_INTERVAL: Duration = Duration::from_millis(50);
/// Time after a start during which registered routers count as present although they haven't responded yet. A running
/// router responds within it: it covers many round trips and the start of a small VM.
const PRESUMED_ALIVE_PERIOD: Duration = Duration::from_millis(50);
/// If this process didn't run for longer than this, its view of the peers is outdated, and no peer is blamed for not
/// answering in the meantime.
const STALL_THRESHOLD: Duration = Duration::from_millis(900);

/// A request that was granted to this router as its entry and is still running.
#[derive(Clone, Debug)]
struct RunningRequest {
    service: id::Service,
    held: Held,
    /// The router that holds the request in its account.
    home: id::Router,
    /// The router that granted the request, whose account has the parts of its prompt as well.
    granted_by: id::Router,
    /// What the request consists of.
    contents: Contents,
}

/// All state and decisions of one router. Each concern is implemented in a submodule of its own.
#[derive(Debug)]
pub struct Core {
    me: id::Router,
    zone: id::Zone,
    bounds: Bounds,
    swim: Swim,
    view: View,
    table: Arc<Table>,
    pools: BTreeMap<id::Service, Pool>,
    /// The retry budgets of this router, and the accounts that it exchanges with peers.
    retries: Retries,
    running: HashMap<id::Attempt, RunningRequest>,
    distrusted: HashMap<id::Router, Moment>,
    recent_prefixes: SentPrefixes,
    /// For each service, the home that last received the list of requests running here.
    notified_homes: HashMap<id::Service, id::Router>,
    /// For each service that this router is home of, the routers that receive copies of its upstreams' cached
    /// prompts.
    successors: HashMap<id::Service, Successors>,
    pending_syncs: HashMap<u64, Moment>,
    /// Sync requests that arrived before this router's own copy was confirmed to be the newest; they are answered
    /// again once it is.
    deferred_syncs: HashMap<id::Router, Sync>,
    sync_number: u64,
    next_renew: Moment,
    next_sync: Moment,
    next_member_list: Moment,
    next_snapshot: Moment,
    /// Number of full snapshots requested so far.
    snapshot_requests: usize,
    /// When the registrations of routers were read, which is the first read of the store after a start.
    registrations_read_at: Option<Moment>,
    /// The number of the last snapshot request that was sent with an epoch, to find out whether the peer supports
    /// epochs.
    epoch_probe: Option<u64>,
    /// Whether the next snapshot request is sent without an epoch, as builds without support for epochs do.
    omit_epoch: bool,
    /// Peers whose frames showed that they support epochs of the store.
    epoch_aware_peers: BTreeSet<id::Router>,
    /// The configuration that was last sent to peers.
    sent_configuration: Option<SentConfiguration>,
    /// Routers that were recently sent a full snapshot, and when.
    snapshots_sent: HashMap<id::Router, Moment>,
    last_tick: Moment,
    unreachable_zones: BTreeSet<id::Zone>,
    /// Zones that are evacuated: their upstreams receive no new requests.
    evacuated: BTreeSet<id::Zone>,
    /// Routers that failed to keep this one up to date, and until when they are excluded from the choice of watchers.
    excluded_watchers: HashMap<id::Router, Moment>,
    /// Increases whenever the set of excluded watchers changes.
    excluded_watchers_revision: u64,
    /// Services that are being rolled out to another version.
    rollouts: Rollouts,
    /// Requests that are kept from all upstreams.
    quarantine: Quarantine,
    /// What upstreams reported about themselves in their answers.
    notices: Notices,
    /// The versions at which streams began.
    streams: Streams,
    builds: Builds,
    /// The cached assignment of homes, watchers and the reader.
    roles: Roles,
    /// The router that this one receives store updates from, and since when.
    current_update_source: Option<(id::Router, Moment)>,
    /// Since when this router has been its zone's watcher.
    watcher_since: Option<Moment>,
    /// The time of the first tick.
    started_at: Option<Moment>,
    /// Whether a peer that knows the whole fleet has answered a sync request, with the members that this router lacks.
    learned_fleet: bool,
    leaving: bool,
}

impl Core {
    /// Creates a router with an empty copy of the store. `seed` seeds its random choices.
    #[must_use]
    pub fn new(me: Member, seeds: Vec<SocketAddr>, bounds: Bounds, seed: u64) -> Self {
        let (router, zone) = (me.router.clone(), me.zone.clone());
        let streams = Streams::new(me.incarnation);
        Self {
            me: router,
            zone,
            bounds,
            swim: Swim::new(me, swim::Settings::default(), seed).with_seeds(seeds),
            view: View::default(),
            table: Arc::default(),
            pools: BTreeMap::new(),
            retries: Retries::default(),
            running: HashMap::new(),
            distrusted: HashMap::new(),
            recent_prefixes: SentPrefixes::default(),
            notified_homes: HashMap::new(),
            successors: HashMap::new(),
            pending_syncs: HashMap::new(),
            deferred_syncs: HashMap::new(),
            sync_number: seed,
            next_renew: Moment::ZERO,
            next_sync: Moment::ZERO,
            next_member_list: Moment::ZERO,
            next_snapshot: Moment::ZERO,
            snapshot_requests: 0,
            registrations_read_at: None,
            epoch_probe: None,
            omit_epoch: false,
            epoch_aware_peers: BTreeSet::new(),
            sent_configuration: None,
            snapshots_sent: HashMap::new(),
            last_tick: Moment::ZERO,
            unreachable_zones: BTreeSet::new(),
            evacuated: BTreeSet::new(),
            excluded_watchers: HashMap::new(),
            excluded_watchers_revision: 0,
            rollouts: Rollouts::default(),
            quarantine: Quarantine::default(),
            notices: Notices::default(),
            streams,
            builds: Builds::default(),
            roles: Roles::default(),
            current_update_source: None,
            watcher_since: None,
            started_at: None,
            learned_fleet: false,
            leaving: false,
        }
    }

    // ------------------------------------------------------------------------
    // Read-only queries of the current state.

    /// The router's copy of the store.
    #[must_use]
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The configuration in force.
    #[must_use]
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// The number of live routers, including this one.
    #[must_use]
    pub fn routers(&self) -> usize {
        self.swim.live().count()
    }

    /// The number of routers that share a budget, including this one: all on record. A router that doesn't respond may be
    /// live on the other side of a network partition, and one that has died may have spent its part already.
    #[must_use]
    pub fn budget_sharers(&self) -> usize {
        let on_record = self.swim.peers().count() + 1;
        on_record.max(self.view.routers().count())
    }

    /// The availability zone of the live router at an address; `None` if no live router is known there.
    #[must_use]
    pub fn zone_at(&self, address: SocketAddr) -> Option<id::Zone> {
        self.swim.live().find(|member| member.address == address).map(|member| member.zone.clone())
    }

    /// The number of running requests of a service, according to this router's account as its home.
    #[must_use]
    pub fn running_at_home(&self, service: &id::Service) -> u32 {
        let members = self.pools.get(service).into_iter().flat_map(Pool::members);
        members.map(stairvale_dispatch::Member::running).sum()
    }

    /// Whether the configuration is recent enough to accept API keys by it.
    #[must_use]
    pub fn trusts_keys(&self, now: Moment) -> bool {
        let age = self.view.age(now);
        self.bounds.key_trust_limit().is_none_or(|limit| age.is_some_and(|age| age < limit))
    }

    /// Whether there is a configuration that is recent enough to conclude that something missing from it doesn't exist.
    #[must_use]
    pub fn is_current(&self, now: Moment) -> bool {
        let limit = Duration::from_millis(self.bounds.configuration_ms);
        self.table.version() > 0 && self.view.age(now).is_some_and(|age| age < limit)
    }

    /// Whether this router can serve requests: it has a configuration and upstreams, its copy is recent enough, and
    /// it isn't leaving.
    #[must_use]
    pub fn is_ready(&self, now: Moment) -> bool {
        let has_data = self.view.document().is_some() && self.view.upstreams().next().is_some();
        // The balancer takes a while to react, so readiness ends at half the trust limit: callers are then elsewhere
        // before their keys are no longer accepted here.
        let limit = self.bounds.key_trust_limit().map(|limit| limit / 2);
        let is_fresh = limit.is_none_or(|limit| self.view.age(now).is_some_and(|age| age < limit));
        has_data && !self.leaving && is_fresh
    }

    /// The upstream's entry, if it may still be sent new work.
    #[must_use]
    pub fn usable_upstream(&self, upstream: &id::Upstream) -> Option<Upstream> {
        // The upstream may have announced that it is leaving while its entry in the store doesn't show that yet, or
        // the store is unavailable.
        if !self.view.is_usable(upstream) || self.is_leaving(upstream) {
            return None;
        }
        let entry = self.view.upstream(upstream)?;
        self.admits(&entry.service, entry.version.as_ref()).then(|| entry.clone())
    }

    /// The service's home according to this router's cached roles.
    #[must_use]
    pub fn home_of(&self, service: &id::Service) -> Option<id::Router> {
        self.assigned_home(service).cloned()
    }

    /// The service's home by assignment, whether or not it currently responds.
    fn assigned_home(&self, service: &id::Service) -> Option<&id::Router> {
        self.roles.home(service.hash64())
    }

    /// Live routers that have responded themselves, in contrast to those that are only registered in the store.
    fn responding_routers(&self) -> impl Iterator<Item = &Member> {
        self.swim.live().filter(|member| has_responded(member))
    }

    /// The watcher of this router's zone. It forwards changes of the store to all other routers of the zone, so it is
    /// selected among the ones with enough processor capacity.
    fn watcher(&self) -> Option<id::Router> {
        self.roles.watchers.get(&self.zone).cloned()
    }

    /// The router that this one receives store updates from: its zone's watcher or, if this is the watcher itself,
    /// the fleet's reader.
    fn update_source(&self) -> Option<id::Router> {
        let watcher = self.watcher();
        if watcher.as_ref() == Some(&self.me) { self.roles.reader.clone() } else { watcher }
    }

    // ------------------------------------------------------------------------
    // Reads of the store.

    /// Handles a read of the store: `news` is the result of a call that was made at `asked`.
    pub fn read(&mut self, now: Moment, asked: Moment, news: StoreUpdate) -> Vec<Effect> {
        self.update_roles(now);
        self.check_update_source(now);
        let before = self.view.revision();
        if !self.view.apply_read(now, asked, news) {
            return Vec::new();
        }
        let mut effects = self.apply_view(now);
        effects.extend(self.broadcast(now, before));
        effects
    }

    /// Handles a stale read of the store, whose result may be seconds old. It is enough to start with; peers or a
    /// later call bring the copy up to date.
    pub fn read_stale(&mut self, now: Moment, news: StoreUpdate) -> Vec<Effect> {
        if !self.view.apply(news) {
            return Vec::new();
        }
        let mut effects = self.apply_view(now);
        effects.extend(self.sync(now));
        effects
    }

    /// Records that a call of this router to the store failed.
    pub fn record_store_failure(&mut self, now: Moment) {
        self.view.record_store_failure(now);
    }

    // ------------------------------------------------------------------------
    // Messages from peers.

    /// Handles the loss of a peer's stream: the peer is probed next.
    pub fn broken(&mut self, now: Moment, peer: &id::Router) {
        self.swim.probe_next(now, peer);
        self.forget_stream(peer);
    }

    /// Handles a datagram of the membership protocol.
    pub fn datagram(&mut self, now: Moment, from: SocketAddr, packet: Packet) -> Vec<Effect> {
        let effects = self.swim.receive(now, from, packet);
        self.handle_membership(now, effects)
    }

    /// Handles a frame that a peer sent.
    pub fn frame(&mut self, now: Moment, from: &id::Router, frame: Frame) -> Vec<Effect> {
        let mut effects = self.record_epoch_support(from, &frame);
        effects.extend(self.handle_frame(now, from, frame));
        effects
    }

    fn handle_frame(&mut self, now: Moment, from: &id::Router, frame: Frame) -> Vec<Effect> {
        match frame {
            Frame::Ask { service, ask } => self.handle_ask(now, from, &service, ask),
            Frame::Decided { attempt, verdict } => {
                if verdict.is_some() {
                    self.restore_trust(from);
                }
                vec![Effect::Reply { attempt, reply: Reply::Decided(verdict) }]
            }
            Frame::Waits { attempt } => {
                self.restore_trust(from);
                vec![Effect::Reply { attempt, reply: Reply::Waits }]
            }
            Frame::Forget { service, attempt } => {
                let answers = self.pools.get_mut(&service).map(|pool| pool.cancel(now, attempt));
                self.deliver_answers(answers.unwrap_or_default())
            }
            Frame::Begun { service, attempt, took } => self.handle_begun(now, &service, attempt, took),
            Frame::Release { service, attempt, outcome, took } => self.release(now, &service, attempt, outcome, took),
            Frame::Renew { service, held } => {
                let answers = self.pools.get_mut(&service).map(|pool| pool.renew(now, from, &held));
                self.deliver_answers(answers.unwrap_or_default())
            }
            Frame::Prefixes { service, upstream, parts } => {
                if let Some(pool) = self.pools.get_mut(&service) {
                    pool.learn_prefixes(&upstream, &parts);
                }
                Vec::new()
            }
            Frame::Read { service, upstream, parts } => {
                if let Some(pool) = self.pools.get_mut(&service) {
                    pool.record_prefill(&upstream, &parts);
                }
                Vec::new()
            }
            Frame::Sync(sync) => self.handle_sync(now, from, sync),
            Frame::Synced { number, age, revision, calm, news, knows_fleet, members } => {
                self.learned_fleet |= knows_fleet;
                let effects = self.swim.merge_members(now, members);
                let mut effects = self.handle_membership(now, effects);
                effects.extend(self.handle_synced(now, number, age, revision, calm, news));
                effects
            }
            Frame::News(news) => self.handle_news(now, from, news),
            Frame::Relay { news, to } => {
                let mut effects = self.forward_news(&news, &to);
                effects.extend(self.handle_news(now, from, news));
                effects
            }
            Frame::Write { number, write } => {
                let write = self.write_in_own_epoch(write);
                vec![Effect::WriteFor { peer: from.clone(), number, write }]
            }
            Frame::Written { number, written } => self.handle_forwarded_write(now, number, written),
            Frame::Condemned { service, order } => {
                let order = self.in_own_epoch(order);
                self.handle_rejection(now, &service, order)
            }
            Frame::Evidence { service, evidence } => {
                if let Some(pool) = self.pools.get_mut(&service) {
                    pool.learn_evidence(now, &evidence);
                }
                Vec::new()
            }
            Frame::Quarantined { fingerprint, left, length } => {
                self.add_quarantine(now, fingerprint, left, length);
                Vec::new()
            }
            Frame::Notice { service, upstream, leaves, rest } => {
                let rest = rest.map_or(Rest::NotRequested, |rest| Rest::For(rest.min(Rest::LONGEST)));
                self.handle_notice(now, &service, &upstream, Notice { leaves, rest })
            }
            Frame::StreamBegan { service, stream, origin, lasts } => {
                self.keep_stream(now, service, stream, origin, lasts)
            }
            Frame::FindStream { attempt, stream } => self.answer_find_stream(now, from, attempt, stream),
            Frame::FindOrigin { attempt, service, stream } => {
                self.answer_find_origin(now, from, attempt, &service, stream)
            }
            Frame::StreamFound { attempt, origin } => {
                let finding = origin.map_or(Finding::Unknown, Finding::Recorded);
                vec![Effect::Reply { attempt, reply: Reply::StreamFound(finding) }]
            }
            Frame::OriginFound { attempt, answer } => {
                vec![Effect::Reply { attempt, reply: Reply::StreamFound(answer) }]
            }
            Frame::RetryAccount { account } => self.keep_account(now, from, account),
            Frame::RetryAccountCopy { account } => self.restore_account(now, from, &account),
        }
    }

    /// Advances the clock: runs all periodic work that is due.
    pub fn tick(&mut self, now: Moment) -> Vec<Effect> {
        if now.since(self.last_tick) > STALL_THRESHOLD {
            self.swim.resumed(now);
        }
        self.last_tick = now;
        self.update_roles(now);
        let mut effects = Vec::new();
        if self.started_at.is_none() {
            self.started_at = Some(now);
            let probes = self.swim.ping_seeds();
            effects.extend(self.handle_membership(now, probes));
        }
        let ticked = self.swim.tick(now);
        effects.extend(self.handle_membership(now, ticked));
        if self.view.tick(now) {
            effects.extend(self.apply_view(now));
        }
        self.update_cold_shares(now);
        for service in self.pools.keys().cloned().collect::<Vec<_>>() {
            effects.extend(self.tick_pool(now, &service));
            // Engines are inspected as soon as the homes are settled, before the first requests arrive.
            effects.extend(self.inspect(now, &service));
        }
        effects.extend(self.tick_rollouts(now));
        effects.extend(self.tick_streams(now));
        effects.extend(self.exchange_accounts(now));
        effects.extend(self.renew_at_new_homes(now));
        if now >= self.next_renew {
            self.next_renew = now + RENEW_INTERVAL;
            effects.extend(self.renew(now));
            effects.extend(self.update_versions(now));
            effects.extend(self.update_successors());
            self.end_rests(now);
        }
        if now >= self.next_sync {
            let interval = self.bounds.max_age() / SYNCS_PER_STALE_LIMIT;
            self.next_sync =
                now + if self.view.is_confirmed() { interval } else { interval.min(UNCONFIRMED_SYNC_INTERVAL) };
            effects.extend(self.sync(now));
        }
        effects
    }

    /// Whether any request is waiting, so that ticks have to come more often.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.pools.values().any(|pool| pool.waiting() > 0)
    }

    /// Adds addresses at which routers may be found.
    pub fn introduce(&mut self, addresses: &[SocketAddr]) {
        for address in addresses {
            self.swim.add_seed(*address);
        }
    }

    /// Starts a planned shutdown of this router.
    pub fn leave(&mut self, now: Moment) -> Vec<Effect> {
        self.leaving = true;
        let effects = self.swim.leave();
        let mut effects = self.handle_membership(now, effects);
        effects.extend(self.update_successors());
        effects
    }
}

/// Whether a router has sent any message itself; one that is only registered in the store hasn't.
fn has_responded(member: &Member) -> bool {
    member.incarnation.0 > 0
}
