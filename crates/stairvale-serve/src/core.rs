//! A router's decisions and beliefs, without I/O: what it knows of the store, of its peers and of the services it is the
//! home of. The shell hands in messages and the time and carries out the [`Effect`]s.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use stairvale_dispatch::{Answer, Ask, Held, Outcome, Part, Pool, Seen, Verdict, Window, pool::Rules};
use stairvale_membership::{Swim, swim};
use stairvale_placement::pick;
use stairvale_replica::{News, Upstream, View};
use stairvale_table::{Document, Table};
use stairvale_types::{Moment, id, unit};
use stairvale_wire::{Member, Packet, Status};

use crate::{frame::Frame, settings::Bounds};

/// A router that didn't answer as a home is passed over for this long.
const DISTRUST: Duration = Duration::from_millis(1_000);
/// How often entries name what they hold.
const RENEW: Duration = Duration::from_millis(500);
/// A router asks a watcher what is new, and how fresh it is, this many times while its copy goes stale.
const SYNCS: u32 = 6;
/// A router whose word on the store was too old isn't relied upon as a watcher for this long.
const BLIND: Duration = Duration::from_secs(3);
/// A process that didn't run for this long distrusts what it was about to do.
const PAUSE: Duration = Duration::from_millis(900);
/// A question about freshness is remembered this long.
const ASKED: Duration = Duration::from_secs(5);

/// Something to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a frame.
    Frame {
        /// The peer.
        to: id::Router,
        /// Where it is.
        address: SocketAddr,
        /// The frame.
        frame: Box<Frame>,
    },
    /// Send a datagram.
    Datagram {
        /// Where to.
        to: SocketAddr,
        /// What it says.
        packet: Packet,
    },
    /// Tell a request what its home said.
    Reply {
        /// The attempt.
        attempt: id::Attempt,
        /// What was said.
        reply: Reply,
    },
    /// Ask an engine what it holds of prompts.
    Inspect {
        /// Its service.
        service: id::Service,
        /// The engine.
        upstream: id::Upstream,
        /// Where it is.
        address: SocketAddr,
    },
    /// Another configuration is in force.
    Configured(Arc<Table>),
    /// A peer is gone, so its stream can be closed.
    Lost(id::Router),
}

/// What a home says of an ask.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// It waits.
    Waits,
    /// It is decided; `None` if that home can't.
    Decided(Option<Verdict>),
}

/// A request that this router runs.
#[derive(Clone, Debug)]
struct Running {
    service: id::Service,
    held: Held,
    /// Who keeps its account; `None` for this router itself.
    home: id::Router,
}

/// See the module.
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
    /// Who was told, by this router as a service's home, what the service's upstreams hold.
    heirs: HashMap<id::Service, id::Router>,
    syncs: HashMap<u64, Moment>,
    number: u64,
    next_renew: Moment,
    next_sync: Moment,
    last_tick: Moment,
    dark: BTreeSet<id::Zone>,
    /// Routers that didn't keep this one up to date, and until when they aren't relied upon for that.
    blind: HashMap<id::Router, Moment>,
    /// Routers that the store named, each of which was pinged when it was new.
    greeted: BTreeSet<SocketAddr>,
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
            heirs: HashMap::new(),
            syncs: HashMap::new(),
            number: seed,
            next_renew: Moment::ZERO,
            next_sync: Moment::ZERO,
            last_tick: Moment::ZERO,
            dark: BTreeSet::new(),
            blind: HashMap::new(),
            greeted: BTreeSet::new(),
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
        if !self.view.is_usable(upstream) {
            return None;
        }
        self.view.upstreams().find(|known| &known.id == upstream).cloned()
    }

    /// Whether this router reads the store: one in each zone does, and others only when they hear too little.
    #[must_use]
    pub fn watches(&self, now: Moment) -> bool {
        if self.watcher().as_ref() == Some(&self.me) {
            return true;
        }
        self.is_stale(now)
    }

    /// The service's home, and whether it is this router.
    fn home(&self, now: Moment, service: &id::Service) -> id::Router {
        let trusted = |member: &&Member| self.distrusted.get(&member.router).is_none_or(|until| *until <= now);
        let live = self.swim.live().filter(trusted).map(|member| (member.router.hash64(), &member.router));
        pick(service.hash64(), live).cloned().unwrap_or_else(|| self.me.clone())
    }

    fn is_stale(&self, now: Moment) -> bool {
        self.view.age(now).is_none_or(|age| age > self.bounds.stale())
    }

    /// The router of this zone that reads the store.
    fn watcher(&self) -> Option<id::Router> {
        let sees = |member: &&Member| member.zone == self.zone && !self.blind.contains_key(&member.router);
        let live = self.swim.live().filter(|member| member.status == Status::Alive).filter(sees);
        pick(self.zone.hash64(), live.map(|member| (member.router.hash64(), &member.router))).cloned()
    }

    // ------------------------------------------------------------------------
    // Requests of this router's callers.

    /// A request came in for a service.
    pub fn count(&mut self, now: Moment, service: &id::Service) {
        let budget = self.bounds.budget();
        self.windows.entry(service.clone()).or_default().request(now, budget);
    }

    /// Takes a retry from the budget, if there is one.
    #[must_use]
    pub fn spend(&mut self, now: Moment, service: &id::Service) -> bool {
        let (budget, routers) = (self.bounds.budget(), self.routers());
        self.windows.entry(service.clone()).or_default().spend(now, budget, routers)
    }

    /// Asks the service's home for an upstream, and tells which router that is.
    pub fn ask(&mut self, now: Moment, service: &id::Service, ask: Ask) -> (id::Router, Vec<Effect>) {
        let home = self.home(now, service);
        let effects = if home == self.me {
            self.decide(now, service, ask)
        } else {
            let frame = Frame::Ask { service: service.clone(), ask };
            self.send(&home, frame)
        };
        (home, effects)
    }

    /// Asks this router's own account, whatever other homes there are.
    pub fn ask_self(&mut self, now: Moment, service: &id::Service, ask: Ask) -> Vec<Effect> {
        self.decide(now, service, ask)
    }

    /// A home didn't answer, or can't decide: it is passed over for a while.
    pub fn distrust(&mut self, now: Moment, home: &id::Router) {
        if home != &self.me {
            self.distrusted.insert(home.clone(), now + DISTRUST);
        }
    }

    /// A request no longer waits for a home's answer.
    pub fn forget(
        &mut self,
        now: Moment,
        service: &id::Service,
        attempt: id::Attempt,
        home: &id::Router,
    ) -> Vec<Effect> {
        if home != &self.me {
            return self.send(home, Frame::Forget { service: service.clone(), attempt });
        }
        let answers = self.pools.get_mut(service).map(|pool| pool.forget(now, attempt));
        self.answers(answers.unwrap_or_default())
    }

    /// Where the longest chain of a prompt's shared parts was last seen to go.
    #[must_use]
    pub fn seen(&self, parts: &[Part]) -> Option<(usize, id::Upstream)> {
        self.seen.find(parts)
    }

    /// Where an upstream is reached, whether it takes new work or not.
    #[must_use]
    pub fn address(&self, upstream: &id::Upstream) -> Option<SocketAddr> {
        self.view.upstreams().find(|known| &known.id == upstream).map(|known| known.address)
    }

    /// A granted request goes to its upstream.
    pub fn start(&mut self, service: &id::Service, held: Held, home: &id::Router, parts: &[Part]) {
        self.seen.remember(parts, &held.upstream);
        let running = Running { service: service.clone(), held, home: home.clone() };
        self.running.insert(running.held.attempt, running);
    }

    /// The first event of a request came, this long after it was sent.
    pub fn begun(&mut self, now: Moment, attempt: id::Attempt, took: Duration) -> Vec<Effect> {
        let Some(running) = self.running.get_mut(&attempt) else {
            return Vec::new();
        };
        running.held.read = 0;
        let (service, home) = (running.service.clone(), running.home.clone());
        if home != self.me {
            return self.send(&home, Frame::Begun { service, attempt, took });
        }
        if let Some(pool) = self.pools.get_mut(&service) {
            pool.begun(now, attempt, took);
        }
        Vec::new()
    }

    /// A granted request ended, however it did.
    pub fn end(&mut self, now: Moment, attempt: id::Attempt, outcome: Outcome, took: Option<Duration>) -> Vec<Effect> {
        let Some(Running { service, home, .. }) = self.running.remove(&attempt) else {
            return Vec::new();
        };
        if home != self.me {
            return self.send(&home, Frame::Release { service, attempt, outcome, took });
        }
        self.release(now, &service, attempt, outcome, took)
    }

    // ------------------------------------------------------------------------
    // The store.

    /// The store was read: `news` came to a call that was made at `asked`.
    pub fn read(&mut self, now: Moment, asked: Moment, news: News) -> Vec<Effect> {
        let before = self.view.revision();
        if !self.view.read(now, asked, news) {
            return Vec::new();
        }
        let mut effects = self.refresh(now);
        if let Some(news) = self.view.since(before) {
            let zone = self.zone.clone();
            let peers: Vec<_> = self.live_peers().filter(|peer| peer.zone == zone).map(|p| p.router.clone()).collect();
            for peer in peers {
                effects.extend(self.send(&peer, Frame::News(news.clone())));
            }
        }
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
            Frame::Decided { attempt, verdict } => vec![Effect::Reply { attempt, reply: Reply::Decided(verdict) }],
            Frame::Waits { attempt } => vec![Effect::Reply { attempt, reply: Reply::Waits }],
            Frame::Forget { service, attempt } => {
                let answers = self.pools.get_mut(&service).map(|pool| pool.forget(now, attempt));
                self.answers(answers.unwrap_or_default())
            }
            Frame::Begun { service, attempt, took } => {
                if let Some(pool) = self.pools.get_mut(&service) {
                    pool.begun(now, attempt, took);
                }
                Vec::new()
            }
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
            Frame::Sync { number, after } => {
                let frame = Frame::Synced {
                    number,
                    age: self.view.age(now),
                    revision: self.view.revision(),
                    calm: self.view.calm(now),
                    news: self.view.since(after),
                };
                self.send(from, frame)
            }
            Frame::Synced { number, age, revision, calm, news } => self.synced(now, number, age, revision, calm, news),
            Frame::News(news) => {
                let after = self.view.revision();
                if !self.view.take(news) {
                    return self.sync_with(now, from, after);
                }
                self.refresh(now)
            }
        }
    }

    /// Time passed. `introduced` are addresses of routers that the store names.
    pub fn tick(&mut self, now: Moment) -> Vec<Effect> {
        if now.since(self.last_tick) > PAUSE {
            self.swim.resumed(now);
        }
        self.last_tick = now;
        let effects = self.swim.tick(now);
        let mut effects = self.members(now, effects);
        if self.view.tick(now) {
            effects.extend(self.refresh(now));
        }
        for service in self.pools.keys().cloned().collect::<Vec<_>>() {
            let answers = self.pools.get_mut(&service).map(|pool| pool.tick(now));
            effects.extend(self.answers(answers.unwrap_or_default()));
        }
        if now >= self.next_renew {
            self.next_renew = now + RENEW;
            effects.extend(self.renew(now));
            effects.extend(self.inherit());
        }
        if now >= self.next_sync {
            self.next_sync = now + self.bounds.stale() / SYNCS;
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

    // ------------------------------------------------------------------------
    // As a home.

    fn asked(&mut self, now: Moment, from: &id::Router, service: &id::Service, ask: Ask) -> Vec<Effect> {
        let attempt = ask.attempt;
        if self.leaving || !self.pools.contains_key(service) {
            return self.send(from, Frame::Decided { attempt, verdict: None });
        }
        let mut effects = self.decide(now, service, ask);
        let decided = effects.iter().any(|effect| match effect {
            Effect::Frame { frame, .. } => matches!(&**frame, Frame::Decided { attempt: a, .. } if *a == attempt),
            Effect::Datagram { .. }
            | Effect::Reply { .. }
            | Effect::Inspect { .. }
            | Effect::Configured(_)
            | Effect::Lost(_) => false,
        });
        if !decided {
            effects.extend(self.send(from, Frame::Waits { attempt }));
        }
        effects
    }

    fn decide(&mut self, now: Moment, service: &id::Service, ask: Ask) -> Vec<Effect> {
        let attempt = ask.attempt;
        let Some(pool) = self.pools.get_mut(service) else {
            return vec![Effect::Reply { attempt, reply: Reply::Decided(None) }];
        };
        let parts = ask.parts.clone();
        let answers = pool.ask(now, ask);
        let place = answers.iter().find_map(|answer| match &answer.verdict {
            Verdict::Granted { upstream, .. } if answer.attempt == attempt => Some(upstream.clone()),
            Verdict::Granted { .. } | Verdict::Refused(_) => None,
        });
        let mut effects = self.answers(answers);
        effects.extend(self.inspect(service));
        if let Some(upstream) = place.filter(|_| parts.len() > 1)
            && let Some(heir) = self.heirs.get(service).cloned()
        {
            effects.extend(self.send(&heir, Frame::Read { service: service.clone(), upstream, parts }));
        }
        effects
    }

    /// An engine said what it holds.
    pub fn inspected(&mut self, service: &id::Service, upstream: &id::Upstream, parts: Vec<Part>) -> Vec<Effect> {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.learn_prefixes(upstream, &parts);
        }
        let Some(heir) = self.heirs.get(service).cloned() else {
            return Vec::new();
        };
        self.send(&heir, Frame::Prefixes { service: service.clone(), upstream: upstream.clone(), parts })
    }

    /// Asks engines what they hold, as a home that nobody told.
    fn inspect(&mut self, service: &id::Service) -> Vec<Effect> {
        if !self.has_joined() {
            return Vec::new();
        }
        let unknown = self.pools.get_mut(service).map(Pool::unknown).unwrap_or_default();
        let asked = unknown.into_iter().filter_map(|upstream| {
            let address = self.address(&upstream)?;
            Some(Effect::Inspect { service: service.clone(), upstream, address })
        });
        asked.collect()
    }

    /// Tells the next home of each service what this router knows of it as the home: all of it to a new one.
    fn inherit(&mut self) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (service, pool) in self.pools.iter().filter(|(_, pool)| pool.has_engines()) {
            let mut order: Vec<_> = self.swim.live().map(|member| (member.router.hash64(), &member.router)).collect();
            let Some(home) = pick(service.hash64(), order.iter().copied()).cloned() else {
                continue;
            };
            let heir = if home == self.me {
                order.retain(|(_, router)| **router != home);
                pick(service.hash64(), order.iter().copied()).cloned()
            } else {
                // Only who was the home has something to tell.
                Some(home).filter(|_| self.heirs.contains_key(service))
            };
            let Some(heir) = heir else {
                self.heirs.remove(service);
                continue;
            };
            if self.heirs.get(service) == Some(&heir) {
                continue;
            }
            for (upstream, parts) in pool.prefixes() {
                let frame = Frame::Prefixes { service: service.clone(), upstream: upstream.clone(), parts };
                effects.extend(self.send(&heir, frame));
            }
            self.heirs.insert(service.clone(), heir);
        }
        effects
    }

    fn release(
        &mut self,
        now: Moment,
        service: &id::Service,
        attempt: id::Attempt,
        outcome: Outcome,
        took: Option<Duration>,
    ) -> Vec<Effect> {
        let answers = self.pools.get_mut(service).map(|pool| pool.release(now, attempt, outcome, took));
        self.answers(answers.unwrap_or_default())
    }

    fn answers(&mut self, answers: Vec<Answer>) -> Vec<Effect> {
        let mut effects = Vec::new();
        for Answer { entry, attempt, verdict } in answers {
            if entry == self.me {
                effects.push(Effect::Reply { attempt, reply: Reply::Decided(Some(verdict)) });
            } else {
                effects.extend(self.send(&entry, Frame::Decided { attempt, verdict: Some(verdict) }));
            }
        }
        effects
    }

    /// Tells each home what runs here of its service.
    fn renew(&mut self, now: Moment) -> Vec<Effect> {
        let mut by_service: BTreeMap<id::Service, Vec<Held>> = BTreeMap::new();
        for running in self.running.values() {
            by_service.entry(running.service.clone()).or_default().push(running.held.clone());
        }
        let mut effects = Vec::new();
        for (service, held) in by_service {
            let home = self.home(now, &service);
            for running in self.running.values_mut().filter(|running| running.service == service) {
                running.home = home.clone();
            }
            if home == self.me {
                let me = self.me.clone();
                let answers = self.pools.get_mut(&service).map(|pool| pool.renew(now, &me, &held));
                effects.extend(self.answers(answers.unwrap_or_default()));
            } else {
                effects.extend(self.send(&home, Frame::Renew { service, held }));
            }
        }
        effects
    }

    // ------------------------------------------------------------------------
    // What is known.

    /// Applies the view to what is decided by it.
    fn refresh(&mut self, now: Moment) -> Vec<Effect> {
        let mut effects = Vec::new();
        if let Some(document) = self.view.document()
            && document.version > self.table.version()
        {
            self.table = Arc::new(Table::new(Document::clone(document)));
            effects.push(Effect::Configured(self.table.clone()));
        }
        effects.extend(self.greet(now));
        effects.extend(self.regroup(now));
        effects
    }

    /// Pings routers that the store named just now.
    fn greet(&mut self, now: Moment) -> Vec<Effect> {
        let named: BTreeSet<_> = self.view.routers().map(|router| router.address).collect();
        let new: Vec<_> = named.difference(&self.greeted).copied().collect();
        self.greeted = named;
        let effects = self.swim.greet(&new);
        self.members(now, effects)
    }

    /// Whether most routers that the store names are known to live, so that all agree on homes.
    fn has_joined(&self) -> bool {
        self.routers() * 2 >= self.view.routers().count()
    }

    /// Hands each service's upstreams to its pool.
    fn regroup(&mut self, now: Moment) -> Vec<Effect> {
        let mut effects = Vec::new();
        let table = self.table.clone();
        for service in &table.document().services {
            let known = self.view.upstreams().filter(|upstream| upstream.service == service.name);
            let lit = |zone: &id::Zone| !self.dark.contains(zone);
            let mut known: Vec<_> = known
                .map(|upstream| {
                    let usable = self.view.is_usable(&upstream.id);
                    (upstream.id.clone(), upstream.zone.clone(), upstream.slots, usable)
                })
                .collect();
            // Behind a cut there may be upstreams that can't be reached; where nothing else is left, they are tried.
            if known.iter().any(|(_, zone, _, usable)| *usable && lit(zone)) {
                for (_, zone, _, usable) in &mut known {
                    *usable &= lit(zone);
                }
            }
            let memory = service.engine.map(|engine| unit::Tokens(u32::try_from(engine.memory).unwrap_or(u32::MAX)));
            let rules = Rules {
                engine: memory,
                copies: service.engine.is_some_and(|engine| engine.copies),
                multiple: self.bounds.load_multiple,
                slack: self.bounds.load_slack,
            };
            let pool = self.pools.entry(service.name.clone()).or_insert_with(|| Pool::new(rules));
            pool.set_rules(rules);
            let answers = pool.set_members(now, &known);
            effects.extend(self.answers(answers));
        }
        self.pools.retain(|name, _| table.service(name).is_some());
        effects
    }

    /// A zone none of whose routers answers is behind a cut, as far as this router can tell.
    fn find_dark(&self) -> BTreeSet<id::Zone> {
        let mut seen: BTreeMap<id::Zone, bool> = BTreeMap::new();
        for peer in self.swim.peers().filter(|peer| peer.zone != self.zone && peer.status != Status::Leaving) {
            *seen.entry(peer.zone.clone()).or_default() |= peer.status == Status::Alive;
        }
        seen.into_iter().filter(|(_, alive)| !alive).map(|(zone, _)| zone).collect()
    }

    fn members(&mut self, now: Moment, effects: Vec<swim::Effect>) -> Vec<Effect> {
        let mut out = Vec::new();
        let mut joined = false;
        for effect in effects {
            match effect {
                swim::Effect::Send { to, packet } => out.push(Effect::Datagram { to, packet }),
                swim::Effect::Died(router) => out.push(Effect::Lost(router)),
                swim::Effect::Joined(router) => {
                    self.distrusted.remove(&router);
                    joined = true;
                }
                swim::Effect::Leaves(_) | swim::Effect::Upstream(_) | swim::Effect::Versions { .. } => {}
            }
        }
        if joined {
            out.extend(self.inherit());
        }
        let dark = self.find_dark();
        if dark != self.dark {
            self.dark = dark;
            out.extend(self.regroup(now));
        }
        out
    }

    // ------------------------------------------------------------------------
    // Freshness.

    /// Asks those who read the store; who knows nothing yet asks anybody.
    fn sync(&mut self, now: Moment) -> Vec<Effect> {
        self.syncs.retain(|_, asked| now.since(*asked) < ASKED);
        self.blind.retain(|_, until| *until > now);
        if self.is_stale(now)
            && let Some(watcher) = self.watcher()
        {
            self.blind.insert(watcher, now + BLIND);
        }
        let after = self.view.revision();
        let mut to = Vec::new();
        to.extend(self.watcher().filter(|watcher| watcher != &self.me));
        let old = self.bounds.stale() * 3 / 4;
        if self.view.age(now).is_none_or(|age| age > old) {
            to.extend(self.any_peer());
        }
        to.dedup();
        to.iter().flat_map(|peer| self.sync_with(now, peer, after)).collect()
    }

    fn sync_with(&mut self, now: Moment, peer: &id::Router, after: u64) -> Vec<Effect> {
        self.number = self.number.wrapping_add(1);
        self.syncs.insert(self.number, now);
        self.send(peer, Frame::Sync { number: self.number, after })
    }

    /// The peer's copy was the newest `age` before it answered, which was after it was asked.
    fn synced(
        &mut self,
        now: Moment,
        number: u64,
        age: Option<Duration>,
        revision: u64,
        calm: Option<Duration>,
        news: Option<News>,
    ) -> Vec<Effect> {
        let Some(asked) = self.syncs.remove(&number) else {
            return Vec::new();
        };
        let mut changed = false;
        if let Some(news) = news {
            if !self.view.take(news) {
                return Vec::new();
            }
            changed = true;
        }
        changed |= revision >= self.view.revision() && self.view.vouched(calm);
        // A peer that is behind says nothing about this copy, unless this copy is as old as the peer's.
        if let Some(age) = age
            && revision >= self.view.revision()
            && micros(age) <= asked.0
        {
            self.view.confirm(Moment(asked.0 - micros(age)));
        }
        if changed { self.refresh(now) } else { Vec::new() }
    }

    fn any_peer(&mut self) -> Option<id::Router> {
        self.number = self.number.wrapping_add(1);
        let number = self.number;
        let peers: Vec<_> = self.live_peers().map(|peer| peer.router.clone()).collect();
        let index = usize::try_from(number).unwrap_or(0).checked_rem(peers.len())?;
        peers.get(index).cloned()
    }

    fn live_peers(&self) -> impl Iterator<Item = &Member> {
        self.swim.live().filter(|member| member.router != self.me)
    }

    fn send(&self, to: &id::Router, frame: Frame) -> Vec<Effect> {
        let Some(peer) = self.swim.peer(to) else {
            return Vec::new();
        };
        vec![Effect::Frame { to: to.clone(), address: peer.address, frame: Box::new(frame) }]
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
