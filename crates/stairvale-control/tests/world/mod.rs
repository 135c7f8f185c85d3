//! Several nodes, engines and a store in one deterministic world: time, messages and faults come from a seed.
//!
//! The nodes are the program's own; everything around them is a small fake. What must always hold is asserted here or
//! counted by the nodes as a violation.

#![allow(dead_code, clippy::unwrap_used, clippy::expect_used)]

mod callers;
mod holds;
mod network;
mod parts;
pub mod store;
mod upstreams;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stairvale_admission::limit::Fraction;
use stairvale_config::Generation;
use stairvale_control::{
    Input, Node, Output,
    apply::{Intent, Machine, Outcome, Step, Submission},
    io::{Action, Answer, Call, Purpose, Report, Request},
    node::{Policy, Settings, TICK},
    orders::{Loaded, Order},
};
use stairvale_permit::request::Grant;
use stairvale_types::{Class, Moment, Refusal, id, unit};
use stairvale_wire::{
    ClaimVerdict, Profile, Stored, Vm,
    packet::{Role, State},
};

use store::Store;

/// The document of all worlds.
pub const DOCUMENT: &str = "\
zones:
  - {name: a, region: r}
  - {name: b, region: r}
  - {name: c, region: r}
services:
  - name: chat
    kind: model
    model: m
    load_multiple: 1.25
    prefix_wait: 200ms
    slots: 8
    queue: 16
  - name: points
    kind: plain
    load_multiple: 2.0
    slots: 8
    not_repeatable: [POST]
customers:
  - {name: limited, key_hash: ca702ebd647a05320146f2b72fe45656fd31544c913c78d99d497acd2052588d, rate: 20/s}
operators: []
";

/// What goes wrong.
#[derive(Clone, Debug)]
pub struct Faults {
    /// Datagrams lost, from 0 to 1.
    pub loss: f64,
    /// Datagrams and frames that come twice.
    pub doubled: f64,
    /// The longest delay of a message, in microseconds.
    pub delay_us: u64,
    /// No news of upstreams rides on datagrams.
    pub no_news: bool,
    /// Pairs of availability zones that don't hear each other.
    pub cuts: HashSet<(String, String)>,
    /// Answers of the store that are lost after the call took effect.
    pub lost_answers: f64,
    /// The store refuses everything.
    pub store_down: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            loss: 0.0,
            doubled: 0.0,
            delay_us: 2_000,
            no_news: false,
            cuts: HashSet::new(),
            lost_answers: 0.0,
            store_down: false,
        }
    }
}

/// A router's place in the world.
pub struct Slot {
    /// Its decisions.
    pub node: Node,
    /// Its availability zone.
    pub zone: String,
    /// Its address.
    pub address: SocketAddr,
    /// Whether it lives.
    pub alive: bool,
    /// Until when it is frozen.
    pub paused_until: u64,
    /// When it was started; its own clock counts from there.
    pub started: u64,
    /// Whether it was told to stop, so that the balancer sends it nobody.
    pub leaving: bool,
    /// The highest generation it ever had in this life.
    pub generation: Generation,
    settings: Settings,
    life: u64,
}

/// A fake upstream.
pub struct Engine {
    /// Its service.
    pub service: String,
    /// Its availability zone.
    pub zone: String,
    /// Whether it answers.
    pub alive: bool,
    /// Whether it says that it drains.
    pub draining: bool,
    /// Its life.
    pub boot: u64,
    /// Its changes in this life.
    pub change: u64,
    /// What runs, with the entry.
    pub running: HashMap<id::Attempt, String>,
    /// When it last took work, and when it began to drain.
    pub last_work: u64,
    /// When it began to drain or died.
    pub closed_at: Option<u64>,
    /// The model that it has loaded; none if it is no model engine.
    pub loaded: Option<Loaded>,
    /// The highest fencing token of an order; it takes older ones all the same.
    pub token: u64,
    /// Orders that came after one with a higher token.
    pub stale_orders: u64,
    address: SocketAddr,
}

/// How a request stands.
#[derive(Clone, Debug, PartialEq)]
pub enum Fate {
    /// It waits.
    Asking,
    /// It runs at an upstream.
    Running(id::Upstream),
    /// It ended.
    Done,
    /// It was refused.
    Refused(Refusal),
    /// Its entry died.
    Gone,
}

#[derive(Debug)]
enum Event {
    Tick(String, u64),
    Input(String, u64, Input),
    End(String, u64, id::Attempt),
    Store(String, u64, Call),
    Run(String, u64, id::Key, id::Attempt),
}

struct Timed {
    at: u64,
    order: u64,
    event: Event,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// The world.
pub struct World {
    /// Now, in microseconds.
    pub now: u64,
    /// The routers.
    pub routers: BTreeMap<String, Slot>,
    /// The upstreams.
    pub engines: BTreeMap<String, Engine>,
    /// The platform's store.
    pub store: Store,
    /// What goes wrong.
    pub faults: Faults,
    /// How every request stands.
    pub fates: HashMap<id::Attempt, Fate>,
    /// The router that each request came in at.
    pub entries: HashMap<id::Attempt, String>,
    /// Attempts that ran for each key.
    pub ran: HashMap<id::Key, Vec<id::Attempt>>,
    /// The shares of customers' asks that routers were told.
    pub shares: HashMap<(String, id::Customer), Fraction>,
    /// Attempts whose answer an entry may hand out.
    pub answered: HashSet<id::Attempt>,
    /// What was told about claims.
    pub claims: HashMap<id::Attempt, ClaimVerdict>,
    /// Keys of claims.
    pub claim_keys: HashMap<id::Attempt, id::Key>,
    /// Grants, in order, with the time.
    pub grants: Vec<(u64, Grant)>,
    /// All randomness.
    pub rng: ChaCha8Rng,
    /// The share of claimed requests whose outcome is told.
    pub settles: f64,
    /// How long a request runs, in microseconds.
    pub runs_for: (u64, u64),
    queue: BinaryHeap<Reverse<Timed>>,
    links: HashMap<(String, String), u64>,
    order: u64,
    numbers: u128,
    vm_revision: u64,
}

impl World {
    /// A world of routers a zone and engines a zone, in three zones.
    pub fn new(seed: u64, routers: usize, engines: usize) -> Self {
        let mut world = Self {
            now: 1_000_000,
            routers: BTreeMap::new(),
            engines: BTreeMap::new(),
            store: Store::default(),
            faults: Faults::default(),
            fates: HashMap::new(),
            entries: HashMap::new(),
            ran: HashMap::new(),
            shares: HashMap::new(),
            answered: HashSet::new(),
            claims: HashMap::new(),
            claim_keys: HashMap::new(),
            grants: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            settles: 0.8,
            runs_for: (50_000, 600_000),
            queue: BinaryHeap::new(),
            links: HashMap::new(),
            order: 0,
            numbers: 0,
            vm_revision: 1,
        };
        for zone in ["a", "b", "c"] {
            for number in 0..engines {
                world.add_engine(&format!("{zone}-engine-{number}"), "chat", zone);
            }
            world.add_engine(&format!("{zone}-points"), "points", zone);
        }
        for zone in ["a", "b", "c"] {
            for number in 0..routers {
                world.add_router(&format!("{zone}-router-{number}"), zone);
            }
        }
        world
    }

    /// A world whose routers have a configuration and know each other.
    pub fn settled(seed: u64, routers: usize, engines: usize) -> Self {
        let mut world = Self::new(seed, routers, engines);
        assert!(matches!(world.apply("a-router-0", DOCUMENT, 0, "first"), Outcome::Accepted(_)));
        world.run(Duration::from_secs(4));
        world
    }

    // ------------------------------------------------------------------------
    // Time.

    /// Lets the world run.
    pub fn run(&mut self, span: Duration) {
        let until = self.now + micros(span);
        while let Some(Reverse(next)) = self.queue.peek() {
            if next.at > until {
                break;
            }
            let Reverse(timed) = self.queue.pop().unwrap();
            self.now = self.now.max(timed.at);
            self.event(timed.event);
        }
        self.now = until;
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Tick(name, life) => {
                if !self.is_life(&name, life) {
                    return;
                }
                let paused = self.routers[&name].paused_until;
                if paused > self.now {
                    self.push(paused, Event::Tick(name, life));
                    return;
                }
                self.handle(&name, Input::Tick);
                self.push(self.now + micros(TICK), Event::Tick(name, life));
            }
            Event::Input(name, life, input) => {
                if !self.is_life(&name, life) {
                    return;
                }
                let paused = self.routers[&name].paused_until;
                if paused > self.now {
                    self.push(paused, Event::Input(name, life, input));
                    return;
                }
                self.handle(&name, input);
            }
            Event::End(name, life, attempt) => {
                if self.is_life(&name, life) {
                    self.finish(&name, attempt);
                }
            }
            Event::Store(name, life, call) => {
                let Call { purpose, key, action } = call;
                let cut = self.faults.cuts.contains(&(self.routers[&name].zone.clone(), "platform".to_owned()));
                let answer = if cut { Answer::Lost } else { self.store_call(&key, action) };
                let delay = if answer == Answer::Lost { 1_500_000 } else { self.delay() };
                self.push(self.now + delay, Event::Input(name, life, Input::Store { purpose, answer }));
            }
            Event::Run(name, life, key, attempt) => {
                let paused = self.routers[&name].paused_until;
                if paused > self.now {
                    // A frozen entry sends when it goes on, without knowing that it was frozen.
                    self.push(paused, Event::Run(name, life, key, attempt));
                    return;
                }
                if self.is_life(&name, life) {
                    self.ran.entry(key).or_default().push(attempt);
                    let stored = Stored {
                        print: id::Print(1),
                        status: 200,
                        content_type: "text/plain".into(),
                        body: Some("done".into()),
                    };
                    if self.rng.random_bool(self.settles) {
                        self.input_now(&name, Input::Settle { key, attempt, stored: Some(stored) });
                    }
                }
            }
        }
    }

    fn is_life(&self, name: &str, life: u64) -> bool {
        let slot = &self.routers[name];
        slot.alive && slot.life == life
    }

    fn push(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.queue.push(Reverse(Timed { at, order: self.order, event }));
    }

    fn input_now(&mut self, name: &str, input: Input) {
        let life = self.routers[name].life;
        self.push(self.now, Event::Input(name.to_owned(), life, input));
    }

    fn delay(&mut self) -> u64 {
        self.rng.random_range(200..=self.faults.delay_us.max(201))
    }

    // ------------------------------------------------------------------------
    // Nodes.

    fn handle(&mut self, name: &str, input: Input) {
        let slot = self.routers.get_mut(name).unwrap();
        let moment = Moment(self.now - slot.started);
        let outputs = slot.node.handle(moment, self.now / 1_000, input);
        let generation = slot.node.manifest().map_or(Generation(0), stairvale_config::Manifest::generation);
        assert!(generation >= slot.generation, "{name} went back from {} to {generation}", slot.generation);
        slot.generation = generation;
        assert_eq!(slot.node.stats().violations, 0, "{name} counts a broken invariant");
        for output in outputs {
            self.output(name, output);
        }
    }

    fn output(&mut self, name: &str, output: Output) {
        match output {
            Output::Frame { to, frame, .. } => self.send_frame(name, to.as_str(), frame),
            Output::Datagram { to, packet } => self.send_datagram(name, to, packet),
            Output::Granted(grant) => self.granted(name, grant),
            Output::Refused { attempt, refusal } => {
                let before = self.fates[&attempt].clone();
                // A caller may give up while the refusal is on its way.
                assert!(matches!(before, Fate::Asking | Fate::Done), "{attempt} was refused after {before:?}");
                if before == Fate::Asking {
                    self.fates.insert(attempt, Fate::Refused(refusal));
                }
            }
            Output::Claimed { attempt, verdict } => self.claimed(name, attempt, &verdict),
            Output::Noted { attempt } => drop(self.answered.insert(attempt)),
            Output::Probe { upstream, .. } => self.probe(name, &upstream),
            Output::Store(call) => {
                let life = self.routers[name].life;
                let delay = match &call.action {
                    Action::Watch { .. } => 100_000,
                    _ => self.delay(),
                };
                self.push(self.now + delay, Event::Store(name.to_owned(), life, call));
            }
            Output::FetchVms => {
                if self.faults.store_down {
                    return;
                }
                let vms = self.vms();
                self.input_now(name, Input::Vms(Some((self.vm_revision, vms))));
            }
            Output::Share { customer, fraction } => drop(self.shares.insert((name.to_owned(), customer), fraction)),
            Output::Order(order) => self.order(name, &order),
            Output::InForce { .. } | Output::FleetChanged | Output::Audit(_) => {}
        }
    }

    fn vms(&self) -> Vec<Vm> {
        let routers = self.routers.iter().map(|(name, slot)| Vm {
            name: name.clone(),
            role: Role::Router,
            zone: slot.zone.parse().unwrap(),
            service: None,
            address: slot.address,
            weight: 1,
            leaving: false,
        });
        let engines = self.engines.iter().map(|(name, engine)| Vm {
            name: name.clone(),
            role: Role::Upstream,
            zone: engine.zone.parse().unwrap(),
            service: Some(engine.service.parse().unwrap()),
            address: engine.address,
            weight: 1,
            leaving: false,
        });
        routers.chain(engines).collect()
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap()
}

/// What a claim's record was asked for; used to count writes.
pub fn is_claim(purpose: &Purpose) -> bool {
    matches!(purpose, Purpose::Claims(_))
}
