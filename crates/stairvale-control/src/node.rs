//! A router's decisions in one place.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    str::FromStr,
    time::Duration,
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use stairvale_admission::{Budget, limit};
use stairvale_claim::Shard;
use stairvale_config::{Generation, Manifest};
use stairvale_membership::{Swim, swim};
use stairvale_permit::{Entry, Home};
use stairvale_types::{Moment, id};
use stairvale_wire::{Frame, Member, Status, Stored};

use crate::{Event, Fleet, Input, Output, explain, generation, orders, stats::Stats, sums::Sums, sweep};

/// How often [`Input::Tick`] comes.
pub const TICK: Duration = Duration::from_millis(10);
/// A node that hasn't run for this long distrusts what it knew.
pub const PAUSE_LIMIT: Duration = Duration::from_millis(900);
/// Retries earned with a hundred successes.
const RETRY_PERCENT: u32 = 10;
/// Retries in hand at the most.
const RETRY_CAP: u32 = 20;

/// How engines are chosen; all but `Fleet` are baselines to compare with.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Ranked by chat, bounded, with a short wait for the prefix.
    #[default]
    Fleet,
    /// Any engine.
    Random,
    /// One of the emptiest engines by the latest news.
    LeastLoaded,
    /// Ranked by chat, without a bound.
    Hash,
}

/// The text names no policy.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("a policy is fleet, random, least-loaded or hash")]
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

/// Who a node is.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The router's name.
    pub router: id::Router,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// Its life; higher than any earlier one of the same name.
    pub incarnation: id::Incarnation,
    /// First peers.
    pub seeds: Vec<SocketAddr>,
    /// How it probes.
    pub swim: swim::Settings,
    /// How engines are chosen.
    pub policy: Policy,
    /// Decides all random choices.
    pub seed: u64,
}

impl Settings {
    /// Settings of a router without peers.
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

    /// Sets the first peers.
    #[must_use]
    pub fn with_seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Sets the life.
    #[must_use]
    pub fn with_incarnation(mut self, incarnation: id::Incarnation) -> Self {
        self.incarnation = incarnation;
        self
    }

    /// Sets the policy.
    #[must_use]
    pub fn with_policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Sets the seed.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets how peers are probed.
    #[must_use]
    pub fn with_swim(mut self, swim: swim::Settings) -> Self {
        self.swim = swim;
        self
    }
}

/// A settled claim on its way to the shard's keeper.
#[derive(Clone, Debug)]
pub(crate) struct Unsettled {
    pub key: id::Key,
    pub attempt: id::Attempt,
    pub stored: Option<Stored>,
    pub sent: Moment,
    pub left: u16,
}

/// A claim that was asked for.
#[derive(Clone, Debug)]
pub(crate) struct Claiming {
    pub key: id::Key,
    pub keeper: id::Router,
    pub asked: Moment,
}

/// When regular things happened last.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Schedule {
    pub ticked: Option<Moment>,
    pub vms: Option<Moment>,
    pub vms_hint: Moment,
    pub manifest: Option<Moment>,
    pub manifest_revision: u64,
    pub mismatches: Option<Moment>,
    pub words_differ: Option<Moment>,
    pub words_fetched: Option<Moment>,
    pub watching: bool,
    pub watch_after: Moment,
}

/// What is known of probing an upstream whose home is here.
#[derive(Clone, Debug, Default)]
pub(crate) struct Probing {
    pub asked: Option<Moment>,
    pub pending: bool,
    pub misses: u32,
    pub loaded: Option<orders::Loaded>,
    pub load: Option<u32>,
}

/// All decision machines of one router.
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
    pub(crate) claiming: HashMap<id::Attempt, Claiming>,
    pub(crate) given_up: HashMap<id::Attempt, Moment>,
    pub(crate) unsettled: Vec<Unsettled>,
    pub(crate) meter: limit::Meter,
    pub(crate) limits: BTreeMap<id::Customer, limit::Account>,
    pub(crate) orders: orders::Machine,
    /// Engines of this zone that have another model than the configuration says, as their homes told.
    pub(crate) mismatched: BTreeMap<id::Upstream, (orders::Loaded, Moment)>,
    pub(crate) budgets: HashMap<id::Service, Budget>,
    pub(crate) services: HashMap<id::Attempt, id::Service>,
    pub(crate) hints: HashMap<id::Service, Vec<(id::Upstream, u32)>>,
    pub(crate) probing: BTreeMap<id::Upstream, Probing>,
    pub(crate) generations: HashMap<id::Router, u64>,
    pub(crate) explain: explain::Memory,
    /// The digest of the words that this router knows.
    pub(crate) words: u64,
    pub(crate) schedule: Schedule,
    pub(crate) rejoining: bool,
    pub(crate) leaving: bool,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) inbox: VecDeque<Frame>,
    pub(crate) outputs: Vec<Output>,
    pub(crate) now: Moment,
    pub(crate) now_ms: u64,
}

impl Node {
    /// A node that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let member = Member {
            router: settings.router.clone(),
            zone: settings.zone,
            address: settings.address,
            incarnation: settings.incarnation,
            status: Status::Alive,
            strength: Member::ALIKE,
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
            claiming: HashMap::new(),
            given_up: HashMap::new(),
            unsettled: Vec::new(),
            meter: limit::Meter::default(),
            limits: BTreeMap::new(),
            orders: orders::Machine::default(),
            mismatched: BTreeMap::new(),
            budgets: HashMap::new(),
            services: HashMap::new(),
            hints: HashMap::new(),
            probing: BTreeMap::new(),
            generations: HashMap::new(),
            explain: explain::Memory::default(),
            words: 0,
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

    /// Whether callers may come: a configuration is in force and the router doesn't stop.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.config.generation() > Generation(0) && !self.leaving
    }

    /// Whether every request and claim has ended.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let shards_idle = self.shards.values().all(Shard::is_idle);
        self.entry.asking() == 0 && self.entry.holding() == 0 && shards_idle && self.unsettled.is_empty()
    }

    /// What this router knows of the fleet.
    #[must_use]
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The accounts that this router keeps.
    #[must_use]
    pub fn home(&self) -> &Home {
        &self.home
    }

    /// The requests that came in here.
    #[must_use]
    pub fn entry(&self) -> &Entry {
        &self.entry
    }

    /// The manifest in force.
    #[must_use]
    pub fn manifest(&self) -> Option<&Manifest> {
        self.config.manifest()
    }

    /// The chunks of the document in force, in order.
    #[must_use]
    pub fn chunks(&self) -> Vec<String> {
        self.config.manifest().map(|manifest| self.config.find(&manifest.chunks)).unwrap_or_default()
    }

    /// The generation that a peer told last; zero if none.
    #[must_use]
    pub fn generation_of(&self, peer: &id::Router) -> u64 {
        self.generations.get(peer).copied().unwrap_or(0)
    }

    /// What is remembered of a request or chat.
    #[must_use]
    pub fn explain(&self, number: &str) -> Vec<explain::Record> {
        self.explain.find(number)
    }

    /// All counters.
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
            holding: self.entry.holding(),
            asking: self.entry.asking(),
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
    // The one way in.

    /// Takes what happened and says what to do. `now_ms` is the platform's time in milliseconds since 1970.
    pub fn handle(&mut self, now: Moment, now_ms: u64, input: Input) -> Vec<Output> {
        self.now = now;
        self.now_ms = now_ms;
        self.fleet.now = now;
        self.notice_pause();
        self.dispatch(input);
        while let Some(frame) = self.inbox.pop_front() {
            let me = self.me.clone();
            self.frame(&me, frame);
        }
        std::mem::take(&mut self.outputs)
    }

    /// A stopped and continued process must not act on what it knew.
    fn notice_pause(&mut self) {
        let Some(last) = self.schedule.ticked else {
            return;
        };
        let paused = self.now.since(last);
        if paused < PAUSE_LIMIT {
            return;
        }
        self.schedule.ticked = Some(self.now);
        let millis = u64::try_from(paused.as_millis()).unwrap_or(u64::MAX);
        self.audit(Event::Paused { millis });
        self.fleet.swim.resumed(self.now);
        // With nobody else alive there is nobody who could have taken over.
        self.rejoining = self.fleet.swim.live().count() > 1;
        let answers = self.home.distrust(self.now);
        self.answers(answers);
        self.recount();
        let effects = self.entry.homes_changed(self.now, &self.fleet);
        self.entry_effects(effects);
    }

    pub(crate) fn audit(&mut self, event: Event) {
        self.outputs.push(Output::Audit(event));
    }

    /// Sends a frame to a peer, or to this router itself.
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

    pub(crate) fn budget(&mut self, service: &id::Service) -> &mut Budget {
        let fresh = || Budget::new(RETRY_PERCENT, RETRY_CAP);
        self.budgets.entry(service.clone()).or_insert_with(fresh)
    }
}
