//! The node: the composed state machines of one router, their settings and their shared state.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    str::FromStr,
    time::Duration,
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use stairvale_admission::{RetryBudget, limit};
use stairvale_claim::Shard;
use stairvale_config::{Generation, Manifest};
use stairvale_membership::{Swim, swim};
use stairvale_permit::{Entry, Home};
use stairvale_types::{Moment, id};
use stairvale_wire::{Frame, Member, Status, StoredAnswer};

use crate::{Event, Fleet, Input, Output, explain, generation, orders, stats::Stats, sums::Sums, sweep};

/// Interval at which the caller passes in [`Input::Tick`].
pub const TICK: Duration = Duration::from_millis(10);
/// Gap between two ticks from which on the process is taken to have been suspended. Its peers may have declared it dead
/// meanwhile and taken over its accounts, so the node discards them.
pub const MAX_TICK_GAP: Duration = Duration::from_millis(900);
/// Retries that a service's budget gains for every 100 successful requests.
const RETRY_BUDGET_PERCENT: u32 = 10;
/// Maximum number of unused retries that a service's budget accumulates.
const RETRY_BUDGET_CAP: u32 = 20;

/// Strategy for choosing an engine. All strategies but `Fleet` are baselines for comparison.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Engines ranked by the chat's hash and bounded in load, with a short wait for the engine that holds the prefix.
    #[default]
    Fleet,
    /// An engine chosen at random.
    Random,
    /// One of the least loaded engines according to the latest mean report.
    LeastLoaded,
    /// Engines ranked by the chat's hash, without a load bound.
    Hash,
}

/// Error returned when a text is not the name of a [`Policy`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("unknown policy; expected fleet, random, least-loaded or hash")]
pub struct PolicyError;

impl FromStr for Policy {
    type Err = PolicyError;

    fn from_str(text: &str) -> Result<Self, PolicyError> {
        match text {
            "fleet" => Ok(Self::Fleet),
            "random" => Ok(Self::Random),
            "least-loaded" => Ok(Self::LeastLoaded),
            "hash" => Ok(Self::Hash),
            _ => Err(PolicyError),
        }
    }
}

/// Identity and settings of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this router.
    pub router: id::Router,
    /// Availability zone of this router.
    pub zone: id::Zone,
    /// Address at which peers reach this router.
    pub address: SocketAddr,
    /// Incarnation of this process; higher than that of any earlier process of the same name.
    pub incarnation: id::Incarnation,
    /// Addresses of the peers that are contacted first.
    pub seeds: Vec<SocketAddr>,
    /// Settings of the membership protocol.
    pub swim: swim::Settings,
    /// Strategy for choosing an engine.
    pub policy: Policy,
    /// Seed of the random number generators.
    pub seed: u64,
}

impl Settings {
    /// Settings of a router without peers, with defaults for everything that isn't an argument.
    #[must_use]
    pub fn new(router: id::Router, zone: id::Zone, address: SocketAddr) -> Self {
        Self {
            router,
            zone,
            address,
            incarnation: id::Incarnation(1),
            seeds: Vec::new(),
            swim: swim::Settings::default(),
            policy: Policy::default(),
            seed: 0,
        }
    }

    /// Sets the addresses of the peers that are contacted first.
    #[must_use]
    pub fn with_seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Sets the incarnation of this process.
    #[must_use]
    pub fn with_incarnation(mut self, incarnation: id::Incarnation) -> Self {
        self.incarnation = incarnation;
        self
    }

    /// Sets the strategy for choosing an engine.
    #[must_use]
    pub fn with_policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Sets the seed of the random number generators.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the settings of the membership protocol.
    #[must_use]
    pub fn with_swim(mut self, swim: swim::Settings) -> Self {
        self.swim = swim;
        self
    }
}

/// A settlement of a claim that the shard's owner has not acknowledged yet; it is sent again until then.
#[derive(Clone, Debug)]
pub(crate) struct Unsettled {
    pub key: id::Key,
    pub attempt: id::Attempt,
    pub stored: Option<StoredAnswer>,
    pub sent: Moment,
    pub tries_left: u16,
}

/// A claim that was requested from the owner of its shard and is not answered yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingClaim {
    pub key: id::Key,
    pub owner: id::Router,
    pub requested: Moment,
}

/// Times of the latest periodic actions, and the state of the watch on the manifest.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Schedule {
    pub last_tick: Option<Moment>,
    pub vms_fetched: Option<Moment>,
    pub vms_hint_followed: Moment,
    pub manifest_requested: Option<Moment>,
    pub manifest_revision: u64,
    pub mismatches_sent: Option<Moment>,
    pub statuses_fetched: Option<Moment>,
    pub watching: bool,
    pub watch_after: Moment,
}

/// Probe state of an upstream whose home is this router.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeState {
    pub sent: Option<Moment>,
    pub pending: bool,
    pub misses: u32,
    pub loaded: Option<orders::Loaded>,
    pub load: Option<u32>,
}

/// The control logic of one router, composed of its state machines.
#[derive(Debug)]
pub struct Node {
    pub(crate) me: id::Router,
    pub(crate) policy: Policy,
    pub(crate) fleet: Fleet,
    pub(crate) home: Home,
    pub(crate) entry: Entry,
    pub(crate) config: generation::Holder,
    pub(crate) sums: Sums,
    pub(crate) sweep: sweep::Machine,
    pub(crate) shards: BTreeMap<u32, Shard>,
    pub(crate) pending_claims: HashMap<id::Attempt, PendingClaim>,
    /// Abandoned claims, with the time at which each was abandoned.
    pub(crate) given_up: HashMap<id::Attempt, Moment>,
    pub(crate) unsettled: Vec<Unsettled>,
    pub(crate) meter: limit::Meter,
    pub(crate) limits: BTreeMap<id::Customer, limit::Account>,
    pub(crate) orders: orders::Machine,
    /// Engines of this zone whose model differs from the configured one, with the model they have loaded and the time
    /// of their home's report.
    pub(crate) mismatched: BTreeMap<id::Upstream, (orders::Loaded, Moment)>,
    pub(crate) budgets: HashMap<id::Service, RetryBudget>,
    /// Services of the attempts under way, to credit their retry budgets.
    pub(crate) attempt_services: HashMap<id::Attempt, id::Service>,
    /// Least loaded engines of each service with their load, from the latest mean report.
    pub(crate) emptiest: HashMap<id::Service, Vec<(id::Upstream, u32)>>,
    pub(crate) probes: BTreeMap<id::Upstream, ProbeState>,
    /// Configuration generation that each peer announced last.
    pub(crate) peer_generations: HashMap<id::Router, u64>,
    pub(crate) explain: explain::RecentRequests,
    /// Digest of the status reports of all upstreams, which peers compare with their own.
    pub(crate) status_digest: u64,
    /// Digests of peers that differ from this router's, and since when; empty after each change of this router's own.
    pub(crate) differing_digests: BTreeMap<u64, Moment>,
    pub(crate) schedule: Schedule,
    /// Set after a suspension until a peer's datagram arrives: meanwhile this router answers no permit requests, since
    /// another one may have become home.
    pub(crate) rejoining: bool,
    pub(crate) leaving: bool,
    pub(crate) rng: ChaCha8Rng,
    /// Frames that this router sent to itself.
    pub(crate) inbox: VecDeque<Frame>,
    pub(crate) outputs: Vec<Output>,
    pub(crate) now: Moment,
    pub(crate) now_ms: u64,
}

impl Node {
    /// Creates a node without a configuration, peers or upstreams.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let member = Member {
            router: settings.router.clone(),
            zone: settings.zone,
            address: settings.address,
            incarnation: settings.incarnation,
            status: Status::Alive,
            strength: Member::DEFAULT_STRENGTH,
        };
        let swim = Swim::new(member, settings.swim, settings.seed).with_seeds(settings.seeds);
        Self {
            me: settings.router.clone(),
            policy: settings.policy,
            fleet: Fleet::new(swim),
            home: Home::new(settings.router),
            entry: Entry::new(),
            config: generation::Holder::new(),
            sums: Sums::new(),
            sweep: sweep::Machine::default(),
            shards: BTreeMap::new(),
            pending_claims: HashMap::new(),
            given_up: HashMap::new(),
            unsettled: Vec::new(),
            meter: limit::Meter::default(),
            limits: BTreeMap::new(),
            orders: orders::Machine::default(),
            mismatched: BTreeMap::new(),
            budgets: HashMap::new(),
            attempt_services: HashMap::new(),
            emptiest: HashMap::new(),
            probes: BTreeMap::new(),
            peer_generations: HashMap::new(),
            explain: explain::RecentRequests::default(),
            status_digest: 0,
            differing_digests: BTreeMap::new(),
            schedule: Schedule::default(),
            rejoining: false,
            leaving: false,
            rng: ChaCha8Rng::seed_from_u64(settings.seed ^ 0x5eed),
            inbox: VecDeque::new(),
            outputs: Vec::new(),
            now: Moment::ZERO,
            now_ms: 0,
        }
    }

    // ------------------------------------------------------------------------
    // Queries.

    /// Whether this router accepts requests: a configuration is in force and the router isn't stopping.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.config.generation() > Generation(0) && !self.leaving
    }

    /// Whether no request, claim or unacknowledged settlement is under way.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let shards_idle = self.shards.values().all(Shard::is_idle);
        self.entry.pending_attempts() == 0 && self.entry.held_permits() == 0 && shards_idle && self.unsettled.is_empty()
    }

    /// This router's view of the fleet.
    #[must_use]
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The accounts of the upstreams whose home is this router.
    #[must_use]
    pub fn home(&self) -> &Home {
        &self.home
    }

    /// The state of the requests that this router received as their entry.
    #[must_use]
    pub fn entry(&self) -> &Entry {
        &self.entry
    }

    /// The manifest in force, if there is one.
    #[must_use]
    pub fn manifest(&self) -> Option<&Manifest> {
        self.config.manifest()
    }

    /// The chunks of the document in force, in their order; empty if no configuration is in force.
    #[must_use]
    pub fn chunks(&self) -> Vec<String> {
        self.config.manifest().map(|manifest| self.config.find(&manifest.chunks)).unwrap_or_default()
    }

    /// The configuration generation that a peer announced last; zero if it has announced none.
    #[must_use]
    pub fn generation_of(&self, peer: &id::Router) -> u64 {
        self.peer_generations.get(peer).copied().unwrap_or(0)
    }

    /// Records of the recent requests whose attempt or chat has this number, the latest first.
    #[must_use]
    pub fn explain(&self, number: &str) -> Vec<explain::Record> {
        self.explain.find(number)
    }

    /// A snapshot of all counters of this node.
    #[must_use]
    pub fn stats(&self) -> Stats {
        let home = self.home.counts();
        let entry = self.entry.counts();
        let mut stats = Stats {
            home,
            degraded: entry.degraded,
            late: entry.late,
            unanswered: entry.unanswered,
            lower_refused: self.config.refused_lower,
            violations: home.violations + entry.violations + self.config.violations,
            holding: self.entry.held_permits(),
            asking: self.entry.pending_attempts(),
            waiting: self.home.waiting(),
            routers: self.fleet.swim.live().count(),
            usable: self.fleet.upstreams.iter().filter(|u| self.fleet.takes_work(&u.name)).count(),
            generation: self.config.generation().0,
            ..Stats::default()
        };
        (stats.exceptions, stats.exception_bytes) = self.home.exceptions();
        for shard in self.shards.values() {
            let counts = shard.counts();
            stats.claims += counts.claims;
            stats.claim_writes += counts.writes;
            stats.claim_bytes += counts.written_bytes;
            stats.claim_segments += counts.sealed;
            stats.claims_recognised += counts.recognised;
            stats.claims_unavailable += counts.unavailable;
            stats.violations += counts.violations;
        }
        stats
    }

    // ------------------------------------------------------------------------
    // Input handling.

    /// Handles an input and returns the resulting outputs. `now_ms` is the platform's time in milliseconds since 1970.
    pub fn handle(&mut self, now: Moment, now_ms: u64, input: Input) -> Vec<Output> {
        self.now = now;
        self.now_ms = now_ms;
        self.fleet.now = now;
        self.detect_pause();
        self.dispatch(input);
        while let Some(frame) = self.inbox.pop_front() {
            let me = self.me.clone();
            self.receive_frame(&me, frame);
        }
        std::mem::take(&mut self.outputs)
    }

    /// Detects that the process was suspended by the gap since the last tick. Its state may be outdated then, so it
    /// discards the accounts and requests recounts before it grants anything again.
    fn detect_pause(&mut self) {
        let Some(last) = self.schedule.last_tick else {
            return;
        };
        let paused = self.now.since(last);
        if paused < MAX_TICK_GAP {
            return;
        }
        self.schedule.last_tick = Some(self.now);
        let millis = u64::try_from(paused.as_millis()).unwrap_or(u64::MAX);
        self.audit(Event::Paused { millis });
        self.fleet.swim.resumed(self.now);
        // Without a live peer no router can have taken over the accounts.
        self.rejoining = self.fleet.swim.live().count() > 1;
        let answers = self.home.restart_accounts(self.now);
        self.send_answers(answers);
        self.request_recounts();
        let effects = self.entry.homes_changed(self.now, &self.fleet);
        self.entry_effects(effects);
    }

    pub(crate) fn audit(&mut self, event: Event) {
        self.outputs.push(Output::Audit(event));
    }

    /// Sends a frame to a peer, or puts it into the inbox if it is for this router itself.
    pub(crate) fn send(&mut self, to: &id::Router, frame: Frame) {
        if to == &self.me {
            self.inbox.push_back(frame);
            return;
        }
        let Some(address) = self.fleet.swim.peer(to).map(|member| member.address) else {
            return;
        };
        self.outputs.push(Output::Frame { to: to.clone(), address, frame });
    }

    pub(crate) fn random(&mut self) -> u64 {
        self.rng.random()
    }

    pub(crate) fn budget(&mut self, service: &id::Service) -> &mut RetryBudget {
        let new_budget = || RetryBudget::new(RETRY_BUDGET_PERCENT, RETRY_BUDGET_CAP);
        self.budgets.entry(service.clone()).or_insert_with(new_budget)
    }
}
