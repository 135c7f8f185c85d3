//! A router's decisions and beliefs, without I/O: what it knows of the store, of its peers and of the services it is the
//! home of. The shell hands in messages and the time and carries out the [`Effect`]s.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use stairvale_dispatch::{Held, Pool, Seen, Window};
use stairvale_membership::{Swim, swim};
use stairvale_replica::{News, Upstream, View};
use stairvale_table::Table;
use stairvale_types::{Moment, id};
use stairvale_wire::{Member, Packet};

use crate::{
    frame::{Frame, Sync},
    settings::Bounds,
};

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
mod roles;
mod rollouts;
mod spread;
mod writing;

use heirs::Heirs;
use notices::Notices;
use quarantine::Quarantine;
use roles::Roles;
use rollouts::Rollouts;

pub use effect::{Effect, Reply};
pub use freshness::Reading;
pub use home::Named;

/// How often entries name what they hold.
const RENEW: Duration = Duration::from_millis(500);
/// What the fleet's reader of the store is picked by, among the zones' watchers.
const LEADER: u64 = 0;
/// A router asks a watcher what is new, and how fresh it is, this many times while its copy goes stale.
const SYNCS: u32 = 6;
/// And this often until it knows for the first time how fresh its copy is.
const FIRST_SYNCS: Duration = Duration::from_millis(50);
/// Named routers have answered this long after a start, if they run: many round trips, and the time of a small VM to start.
const PRESUMED: Duration = Duration::from_millis(50);
/// A process that didn't run for this long distrusts what it was about to do.
const STALL_THRESHOLD: Duration = Duration::from_millis(900);

/// A request that this router runs.
#[derive(Clone, Debug)]
struct Running {
    service: id::Service,
    held: Held,
    /// Who keeps its account.
    home: id::Router,
}

/// All decisions of one router. Each job has a file of its own beside this one.
#[derive(Debug)]
pub struct Core {
    me: id::Router,
    zone: id::Zone,
    bounds: Bounds,
    swim: Swim,
    view: View,
    table: Arc<Table>,
    pools: BTreeMap<id::Service, Pool>,
    windows: HashMap<id::Service, Window>,
    running: HashMap<id::Attempt, Running>,
    distrusted: HashMap<id::Router, Moment>,
    seen: Seen,
    /// The home of each service that was told last what runs here.
    homes: HashMap<id::Service, id::Router>,
    /// Who was told, by this router as a service's home, what the service's upstreams hold.
    heirs: HashMap<id::Service, Heirs>,
    syncs: HashMap<u64, Moment>,
    /// Who asked while this router's own copy wasn't known to be the newest yet.
    askers: HashMap<id::Router, Sync>,
    number: u64,
    next_renew: Moment,
    next_sync: Moment,
    next_members: Moment,
    next_whole: Moment,
    /// How often everything was asked for.
    wholes: usize,
    /// When the names of routers were read, as the first thing of all.
    names_read: Option<Moment>,
    /// The question by which this router asked for everything last, as one that knows epochs.
    epoch_asked: Option<u64>,
    /// Whether it asks the next one as builds do that don't.
    asks_plainly: bool,
    /// Peers that know epochs of the store.
    epoch_peers: BTreeSet<id::Router>,
    /// Routers that were told everything a moment ago.
    told_all: HashMap<id::Router, Moment>,
    last_tick: Moment,
    dark: BTreeSet<id::Zone>,
    /// Zones to whose upstreams nothing new goes.
    evacuated: BTreeSet<id::Zone>,
    /// Routers that didn't keep this one up to date, and until when they aren't relied upon for that.
    blind: HashMap<id::Router, Moment>,
    /// Rises when those change.
    blind_changes: u64,
    /// Services that move to another version.
    rollouts: Rollouts,
    /// Requests that go nowhere.
    quarantine: Quarantine,
    /// What upstreams said of themselves.
    notices: Notices,
    /// Who does what, as far as that was worked out.
    roles: Roles,
    /// Whom this router hears of the store from, and since when.
    relied: Option<(id::Router, Moment)>,
    /// Since when this router is its zone's watcher.
    watcher_since: Option<Moment>,
    /// When this router first let time pass.
    born: Option<Moment>,
    /// Whether a peer told this router of all others.
    told: bool,
    leaving: bool,
}

impl Core {
    /// A router that knows nothing yet. `seed` decides its random choices.
    #[must_use]
    pub fn new(me: Member, seeds: Vec<SocketAddr>, bounds: Bounds, seed: u64) -> Self {
        let (router, zone) = (me.router.clone(), me.zone.clone());
        Self {
            me: router,
            zone,
            bounds,
            swim: Swim::new(me, swim::Settings::default(), seed).with_seeds(seeds),
            view: View::default(),
            table: Arc::default(),
            pools: BTreeMap::new(),
            windows: HashMap::new(),
            running: HashMap::new(),
            distrusted: HashMap::new(),
            seen: Seen::default(),
            homes: HashMap::new(),
            heirs: HashMap::new(),
            syncs: HashMap::new(),
            askers: HashMap::new(),
            number: seed,
            next_renew: Moment::ZERO,
            next_sync: Moment::ZERO,
            next_members: Moment::ZERO,
            next_whole: Moment::ZERO,
            wholes: 0,
            names_read: None,
            epoch_asked: None,
            asks_plainly: false,
            epoch_peers: BTreeSet::new(),
            told_all: HashMap::new(),
            last_tick: Moment::ZERO,
            dark: BTreeSet::new(),
            evacuated: BTreeSet::new(),
            blind: HashMap::new(),
            blind_changes: 0,
            rollouts: Rollouts::default(),
            quarantine: Quarantine::default(),
            notices: Notices::default(),
            roles: Roles::default(),
            relied: None,
            watcher_since: None,
            born: None,
            told: false,
            leaving: false,
        }
    }

    // ------------------------------------------------------------------------
    // Queries.

    /// The copy of the store.
    #[must_use]
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The configuration in force.
    #[must_use]
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Routers that live, this one included.
    #[must_use]
    pub fn routers(&self) -> usize {
        self.swim.live().count()
    }

    /// The availability zone of the router at an address, if there is one that is known to live.
    #[must_use]
    pub fn zone_at(&self, address: SocketAddr) -> Option<id::Zone> {
        self.swim.live().find(|member| member.address == address).map(|member| member.zone.clone())
    }

    /// Requests of a service that run, by what this router knows as its home.
    #[must_use]
    pub fn running_at_home(&self, service: &id::Service) -> u32 {
        let members = self.pools.get(service).into_iter().flat_map(Pool::members);
        members.map(stairvale_dispatch::Member::running).sum()
    }

    /// Whether the configuration is fresh enough for keys to count.
    #[must_use]
    pub fn trusts_keys(&self, now: Moment) -> bool {
        let age = self.view.age(now);
        self.bounds.trust().is_none_or(|limit| age.is_some_and(|age| age < limit))
    }

    /// Whether the configuration is so fresh that what it doesn't have doesn't exist.
    #[must_use]
    pub fn is_current(&self, now: Moment) -> bool {
        let limit = Duration::from_millis(self.bounds.configuration_ms);
        self.view.age(now).is_some_and(|age| age < limit)
    }

    /// Whether there is something to serve with.
    #[must_use]
    pub fn is_ready(&self, now: Moment) -> bool {
        let known = self.view.document().is_some() && self.view.upstreams().next().is_some();
        // The balancer needs a while to notice: callers are to be elsewhere before their keys no longer count here.
        let trust = self.bounds.trust().map(|trust| trust / 2);
        let fresh = trust.is_none_or(|limit| self.view.age(now).is_some_and(|age| age < limit));
        known && !self.leaving && fresh
    }

    /// Where an upstream is, if it may still be sent new work.
    #[must_use]
    pub fn place(&self, upstream: &id::Upstream) -> Option<Upstream> {
        // The store may not say yet that it leaves, or not be there to say so.
        if !self.view.is_usable(upstream) || self.leaves(upstream) {
            return None;
        }
        let known = self.view.upstream(upstream)?;
        self.admits(&known.service, known.version.as_ref()).then(|| known.clone())
    }

    /// The service's home, as far as this router knows.
    #[must_use]
    pub fn home_of(&self, service: &id::Service) -> Option<id::Router> {
        self.standing_home(service).cloned()
    }

    /// The service's home, whether it answers or not.
    fn standing_home(&self, service: &id::Service) -> Option<&id::Router> {
        self.roles.home(service.hash64())
    }

    /// Routers that live and were heard of, rather than only named.
    fn present(&self) -> impl Iterator<Item = &Member> {
        self.swim.live().filter(|member| is_heard(member))
    }

    /// The router of this zone that keeps it up to date: it sends what changes to all others, so it is a strong one.
    fn watcher(&self) -> Option<id::Router> {
        self.roles.watchers.get(&self.zone).cloned()
    }

    /// Whom this router hears of the store from.
    fn informant(&self) -> Option<id::Router> {
        let watcher = self.watcher();
        if watcher.as_ref() == Some(&self.me) { self.roles.leader.clone() } else { watcher }
    }

    // ------------------------------------------------------------------------
    // The store.

    /// The store was read: `news` came to a call that was made at `asked`.
    pub fn read(&mut self, now: Moment, asked: Moment, news: News) -> Vec<Effect> {
        self.assign(now);
        self.judge_informant(now);
        let before = self.view.revision();
        if !self.view.read(now, asked, news) {
            return Vec::new();
        }
        let mut effects = self.refresh(now);
        effects.extend(self.tell(now, before));
        effects
    }

    /// The store was read as it was a while ago: enough to begin with, and to be made the newest by others or by a later call.
    pub fn read_stale(&mut self, now: Moment, news: News) -> Vec<Effect> {
        if !self.view.take(news) {
            return Vec::new();
        }
        let mut effects = self.refresh(now);
        effects.extend(self.sync(now));
        effects
    }

    /// The store failed this router.
    pub fn disturbed(&mut self, now: Moment) {
        self.view.disturb(now);
    }

    // ------------------------------------------------------------------------
    // Messages.

    /// A peer's stream broke.
    pub fn broken(&mut self, now: Moment, peer: &id::Router) {
        self.swim.doubt(now, peer);
    }

    /// A datagram came in.
    pub fn datagram(&mut self, now: Moment, from: SocketAddr, packet: Packet) -> Vec<Effect> {
        let effects = self.swim.receive(now, from, packet);
        self.members(now, effects)
    }

    /// A peer sent a frame.
    pub fn frame(&mut self, now: Moment, from: &id::Router, frame: Frame) -> Vec<Effect> {
        match frame {
            Frame::Ask { service, ask } => self.asked(now, from, &service, ask),
            Frame::Decided { attempt, verdict } => {
                if verdict.is_some() {
                    self.trust(from);
                }
                vec![Effect::Reply { attempt, reply: Reply::Decided(verdict) }]
            }
            Frame::Waits { attempt } => {
                self.trust(from);
                vec![Effect::Reply { attempt, reply: Reply::Waits }]
            }
            Frame::Forget { service, attempt } => {
                let answers = self.pools.get_mut(&service).map(|pool| pool.forget(now, attempt));
                self.answers(answers.unwrap_or_default())
            }
            Frame::Begun { service, attempt, took } => self.began(now, &service, attempt, took),
            Frame::Release { service, attempt, outcome, took } => self.release(now, &service, attempt, outcome, took),
            Frame::Renew { service, held } => {
                let answers = self.pools.get_mut(&service).map(|pool| pool.renew(now, from, &held));
                self.answers(answers.unwrap_or_default())
            }
            Frame::Prefixes { service, upstream, parts } => {
                if let Some(pool) = self.pools.get_mut(&service) {
                    pool.learn_prefixes(&upstream, &parts);
                }
                Vec::new()
            }
            Frame::Read { service, upstream, parts } => {
                if let Some(pool) = self.pools.get_mut(&service) {
                    pool.learn_read(&upstream, &parts);
                }
                Vec::new()
            }
            Frame::Sync(sync) => self.asked_to_sync(now, from, sync),
            Frame::Synced { number, age, revision, calm, news, knows_fleet, members } => {
                self.told |= knows_fleet;
                let effects = self.swim.learn_members(now, members);
                let mut effects = self.members(now, effects);
                effects.extend(self.synced(now, number, age, revision, calm, news));
                effects
            }
            Frame::News(news) => self.learn_news(now, from, news),
            Frame::Relay { news, to } => {
                let mut effects = self.pass_on(&news, &to);
                effects.extend(self.learn_news(now, from, news));
                effects
            }
            Frame::Write { number, write } => {
                let write = self.write_in_own_epoch(write);
                vec![Effect::WriteFor { peer: from.clone(), number, write }]
            }
            Frame::Written { number, written } => self.forwarded(now, number, written),
            Frame::Condemned { service, order } => {
                let order = self.in_own_epoch(order);
                self.condemned(now, &service, order)
            }
            Frame::Evidence { service, evidence } => {
                if let Some(pool) = self.pools.get_mut(&service) {
                    pool.learn_evidence(now, &evidence);
                }
                Vec::new()
            }
            Frame::Quarantined { fingerprint, left, length } => {
                self.keep_away(now, fingerprint, left, length);
                Vec::new()
            }
        }
    }

    /// Time passed. `introduced` are addresses of routers that the store names.
    pub fn tick(&mut self, now: Moment) -> Vec<Effect> {
        if now.since(self.last_tick) > STALL_THRESHOLD {
            self.swim.resumed(now);
        }
        self.last_tick = now;
        self.assign(now);
        let mut effects = Vec::new();
        if self.born.is_none() {
            self.born = Some(now);
            let knocks = self.swim.knock_at_seeds();
            effects.extend(self.members(now, knocks));
        }
        let ticked = self.swim.tick(now);
        effects.extend(self.members(now, ticked));
        if self.view.tick(now) {
            effects.extend(self.refresh(now));
        }
        self.share_out(now);
        for service in self.pools.keys().cloned().collect::<Vec<_>>() {
            effects.extend(self.tick_pool(now, &service));
            // Before the first requests come, as soon as it is clear who the homes are.
            effects.extend(self.inspect(now, &service));
        }
        effects.extend(self.tick_rollouts(now));
        effects.extend(self.greet_homes(now));
        if now >= self.next_renew {
            self.next_renew = now + RENEW;
            effects.extend(self.renew(now));
            effects.extend(self.inherit());
            self.end_rests(now);
        }
        if now >= self.next_sync {
            let often = self.bounds.stale() / SYNCS;
            self.next_sync = now + if self.view.is_confirmed() { often } else { often.min(FIRST_SYNCS) };
            effects.extend(self.sync(now));
        }
        effects
    }

    /// Whether something waits, so that time is to be told more often.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.pools.values().any(|pool| pool.waiting() > 0)
    }

    /// Addresses at which there may be routers.
    pub fn introduce(&mut self, addresses: &[SocketAddr]) {
        for address in addresses {
            self.swim.introduce(*address);
        }
    }

    /// This router stops as planned.
    pub fn leave(&mut self, now: Moment) -> Vec<Effect> {
        self.leaving = true;
        let effects = self.swim.leave();
        let mut effects = self.members(now, effects);
        effects.extend(self.inherit());
        effects
    }
}

/// Whether a router has said something itself; one that is only named hasn't.
fn is_heard(member: &Member) -> bool {
    member.incarnation.0 > 0
}
