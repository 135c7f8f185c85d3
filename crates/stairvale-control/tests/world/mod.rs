//! A deterministic simulation of several nodes, engines and a store, whose timing, messages and faults come from a
//! seed.
//!
//! The nodes run the production code; everything around them is a small fake. Invariants are asserted here or counted
//! by the nodes as violations.

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
    io::{Action, Answer, Call, ProbeAnswer, Purpose, Request},
    node::{Policy, Settings, TICK},
    orders::{Loaded, Order},
};
use stairvale_permit::request::Grant;
use stairvale_types::{Class, Moment, Refusal, id, unit};
use stairvale_wire::{
    ClaimVerdict, Profile, StoredAnswer, Vm,
    packet::{Role, UpstreamState},
};

use store::Store;

/// The initial configuration document of every simulation.
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

/// The faults to inject.
#[derive(Clone, Debug)]
pub struct Faults {
    /// The fraction of datagrams that are lost, from 0 to 1.
    pub datagram_loss: f64,
    /// The fraction of datagrams and frames that are delivered twice, from 0 to 1.
    pub duplication: f64,
    /// The maximum delay of a message, in microseconds.
    pub max_delay_us: u64,
    /// Whether updates about upstreams are removed from datagrams.
    pub drop_upstream_updates: bool,
    /// Ordered pairs of availability zones between which the network is cut; `platform` stands for the store.
    pub partitions: HashSet<(String, String)>,
    /// The fraction of the store's answers that are lost after the call took effect, from 0 to 1.
    pub lost_answer_rate: f64,
    /// Whether the store fails all calls without carrying them out.
    pub store_outage: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            datagram_loss: 0.0,
            duplication: 0.0,
            max_delay_us: 2_000,
            drop_upstream_updates: false,
            partitions: HashSet::new(),
            lost_answer_rate: 0.0,
            store_outage: false,
        }
    }
}

/// A simulated router.
pub struct SimRouter {
    /// The node under test.
    pub node: Node,
    /// The router's availability zone.
    pub zone: String,
    /// The router's address.
    pub address: SocketAddr,
    /// Whether the router runs.
    pub alive: bool,
    /// The end of the latest pause, in microseconds.
    pub paused_until: u64,
    /// The start time in microseconds, from which the router's own clock counts.
    pub started: u64,
    /// Whether a planned stop has begun, so that the load balancer sends it no requests.
    pub leaving: bool,
    /// The highest generation that was in force in this incarnation.
    pub generation: Generation,
    settings: Settings,
    /// A counter of crashes and restarts, so that events for an earlier incarnation are dropped.
    incarnation: u64,
}

/// A simulated upstream.
pub struct Engine {
    /// The service that the upstream belongs to.
    pub service: String,
    /// The upstream's availability zone.
    pub zone: String,
    /// Whether the upstream runs and answers.
    pub alive: bool,
    /// Whether the upstream reports that it drains.
    pub draining: bool,
    /// The upstream's incarnation, which its reports carry.
    pub boot: u64,
    /// The number of state changes in this incarnation.
    pub change: u64,
    /// The running attempts, with the entry router of each.
    pub running: HashMap<id::Attempt, String>,
    /// The time at which the upstream last received a request, in microseconds.
    pub last_request_at: u64,
    /// The time at which the upstream began to drain or crashed, in microseconds.
    pub closed_at: Option<u64>,
    /// The loaded model; `None` if the upstream isn't a model engine.
    pub loaded: Option<Loaded>,
    /// The highest fencing token of an order so far. The upstream carries out orders with lower tokens as well.
    pub highest_token: u64,
    /// The number of orders that came after one with a higher token.
    pub stale_orders: u64,
    address: SocketAddr,
}

/// The state of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestState {
    /// The request waits for a permit.
    Waiting,
    /// The request runs at an upstream.
    Running(id::Upstream),
    /// The request ended, by completion, failure or the caller's giving up.
    Done,
    /// The request was refused.
    Refused(Refusal),
    /// The request's entry router crashed.
    EntryDied,
}

/// An event in the queue. Each carries a router's name and, as a number, the incarnation that it is meant for.
#[derive(Debug)]
enum Event {
    Tick(String, u64),
    Input(String, u64, Input),
    EndRequest(String, u64, id::Attempt),
    Store(String, u64, Call),
    RunClaimed(String, u64, id::Key, id::Attempt),
}

struct ScheduledEvent {
    at: u64,
    sequence: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// The simulated fleet, with its clock and event queue.
pub struct World {
    /// The current time, in microseconds.
    pub now: u64,
    /// The routers by name, crashed ones included.
    pub routers: BTreeMap<String, SimRouter>,
    /// The upstreams by name, crashed ones included.
    pub engines: BTreeMap<String, Engine>,
    /// The platform's store.
    pub store: Store,
    /// The faults that are injected at present.
    pub faults: Faults,
    /// The state of every request.
    pub request_states: HashMap<id::Attempt, RequestState>,
    /// The entry router of each request.
    pub entry_routers: HashMap<id::Attempt, String>,
    /// The attempts that ran for each idempotency key.
    pub executions: HashMap<id::Key, Vec<id::Attempt>>,
    /// The shares of customers' requests that may pass, by router and customer.
    pub shares: HashMap<(String, id::Customer), Fraction>,
    /// Attempts whose answer the entry router may hand out, since the owner of the claim has recorded it.
    pub answered: HashSet<id::Attempt>,
    /// The verdicts on claims.
    pub claim_verdicts: HashMap<id::Attempt, ClaimVerdict>,
    /// The idempotency keys of claims.
    pub claim_keys: HashMap<id::Attempt, id::Key>,
    /// All grants in order, with their times in microseconds.
    pub grants: Vec<(u64, Grant)>,
    /// The source of all randomness in the simulation.
    pub rng: ChaCha8Rng,
    /// The probability that the outcome of a claimed request is reported.
    pub settle_probability: f64,
    /// The range of the run time of a request, in microseconds.
    pub run_time_range_us: (u64, u64),
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    /// The time at which the last frame arrives, by sender and receiver.
    last_frame_times: HashMap<(String, String), u64>,
    sequence: u64,
    last_number: u128,
    vm_revision: u64,
}

impl World {
    /// Creates three zones, each with this many routers and chat engines, and one upstream of the plain service.
    pub fn new(seed: u64, routers: usize, engines: usize) -> Self {
        let mut world = Self {
            now: 1_000_000,
            routers: BTreeMap::new(),
            engines: BTreeMap::new(),
            store: Store::default(),
            faults: Faults::default(),
            request_states: HashMap::new(),
            entry_routers: HashMap::new(),
            executions: HashMap::new(),
            shares: HashMap::new(),
            answered: HashSet::new(),
            claim_verdicts: HashMap::new(),
            claim_keys: HashMap::new(),
            grants: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            settle_probability: 0.8,
            run_time_range_us: (50_000, 600_000),
            queue: BinaryHeap::new(),
            last_frame_times: HashMap::new(),
            sequence: 0,
            last_number: 0,
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

    /// Creates a simulation in which the configuration is in force and all routers have joined.
    pub fn settled(seed: u64, routers: usize, engines: usize) -> Self {
        let mut world = Self::new(seed, routers, engines);
        assert!(matches!(world.apply("a-router-0", DOCUMENT, 0, "first"), Outcome::Accepted(_)));
        world.run(Duration::from_secs(4));
        world
    }

    // ------------------------------------------------------------------------
    // Time and events.

    /// Advances the time by `span` and processes the events that fall due.
    pub fn run(&mut self, span: Duration) {
        let until = self.now + micros(span);
        while let Some(Reverse(next)) = self.queue.peek() {
            if next.at > until {
                break;
            }
            let Reverse(scheduled) = self.queue.pop().unwrap();
            self.now = self.now.max(scheduled.at);
            self.process_event(scheduled.event);
        }
        self.now = until;
    }

    fn process_event(&mut self, event: Event) {
        match event {
            Event::Tick(name, incarnation) => {
                if !self.is_current(&name, incarnation) {
                    return;
                }
                let paused = self.routers[&name].paused_until;
                if paused > self.now {
                    self.schedule(paused, Event::Tick(name, incarnation));
                    return;
                }
                self.handle(&name, Input::Tick);
                self.schedule(self.now + micros(TICK), Event::Tick(name, incarnation));
            }
            Event::Input(name, incarnation, input) => {
                if !self.is_current(&name, incarnation) {
                    return;
                }
                let paused = self.routers[&name].paused_until;
                if paused > self.now {
                    self.schedule(paused, Event::Input(name, incarnation, input));
                    return;
                }
                self.handle(&name, input);
            }
            Event::EndRequest(name, incarnation, attempt) => {
                if self.is_current(&name, incarnation) {
                    self.end_request(&name, attempt);
                }
            }
            Event::Store(name, incarnation, call) => {
                let Call { purpose, key, action } = call;
                let is_cut_off =
                    self.faults.partitions.contains(&(self.routers[&name].zone.clone(), "platform".to_owned()));
                let answer = if is_cut_off { Answer::Lost } else { self.call_store(&key, action) };
                let delay = if answer == Answer::Lost { 1_500_000 } else { self.delay() };
                self.schedule(self.now + delay, Event::Input(name, incarnation, Input::Store { purpose, answer }));
            }
            Event::RunClaimed(name, incarnation, key, attempt) => {
                let paused = self.routers[&name].paused_until;
                if paused > self.now {
                    // A paused entry router sends the request when it resumes, since it doesn't notice the pause.
                    self.schedule(paused, Event::RunClaimed(name, incarnation, key, attempt));
                    return;
                }
                if self.is_current(&name, incarnation) {
                    self.executions.entry(key).or_default().push(attempt);
                    let stored = StoredAnswer {
                        print: id::Print(1),
                        status: 200,
                        content_type: "text/plain".into(),
                        body: Some("done".into()),
                    };
                    if self.rng.random_bool(self.settle_probability) {
                        self.input_now(&name, Input::Settle { key, attempt, stored: Some(stored) });
                    }
                }
            }
        }
    }

    fn is_current(&self, name: &str, incarnation: u64) -> bool {
        let router = &self.routers[name];
        router.alive && router.incarnation == incarnation
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse(ScheduledEvent { at, sequence: self.sequence, event }));
    }

    fn input_now(&mut self, name: &str, input: Input) {
        let incarnation = self.routers[name].incarnation;
        self.schedule(self.now, Event::Input(name.to_owned(), incarnation, input));
    }

    fn delay(&mut self) -> u64 {
        self.rng.random_range(200..=self.faults.max_delay_us.max(201))
    }

    // ------------------------------------------------------------------------
    // Nodes.

    fn handle(&mut self, name: &str, input: Input) {
        let router = self.routers.get_mut(name).unwrap();
        let moment = Moment(self.now - router.started);
        let outputs = router.node.handle(moment, self.now / 1_000, input);
        let generation = router.node.manifest().map_or(Generation(0), stairvale_config::Manifest::generation);
        assert!(
            generation >= router.generation,
            "{name} went back from generation {} to {generation}",
            router.generation
        );
        router.generation = generation;
        assert_eq!(router.node.stats().violations, 0, "{name} counted a violated invariant");
        for output in outputs {
            self.process_output(name, output);
        }
    }

    fn process_output(&mut self, name: &str, output: Output) {
        match output {
            Output::Frame { to, frame, .. } => self.send_frame(name, to.as_str(), frame),
            Output::Datagram { to, packet } => self.send_datagram(name, to, packet),
            Output::Granted(grant) => self.start_granted(name, grant),
            Output::Refused { attempt, refusal } => {
                let before = self.request_states[&attempt].clone();
                // A caller may give up while the refusal is in transit.
                assert!(
                    matches!(before, RequestState::Waiting | RequestState::Done),
                    "{attempt} was refused in state {before:?}"
                );
                if before == RequestState::Waiting {
                    self.request_states.insert(attempt, RequestState::Refused(refusal));
                }
            }
            Output::Claimed { attempt, verdict } => self.record_verdict(name, attempt, &verdict),
            Output::OutcomeRecorded { attempt } => drop(self.answered.insert(attempt)),
            Output::Probe { upstream, .. } => self.probe(name, &upstream),
            Output::Store(call) => {
                let incarnation = self.routers[name].incarnation;
                let delay = match &call.action {
                    Action::Watch { .. } => 100_000,
                    _ => self.delay(),
                };
                self.schedule(self.now + delay, Event::Store(name.to_owned(), incarnation, call));
            }
            Output::FetchVms => {
                if self.faults.store_outage {
                    return;
                }
                let vms = self.vms();
                self.input_now(name, Input::Vms(Some((self.vm_revision, vms))));
            }
            Output::Share { customer, fraction } => drop(self.shares.insert((name.to_owned(), customer), fraction)),
            Output::Order(order) => self.apply_order(name, &order),
            Output::InForce { .. } | Output::FleetChanged | Output::Audit(_) => {}
        }
    }

    fn vms(&self) -> Vec<Vm> {
        let routers = self.routers.iter().map(|(name, router)| Vm {
            name: name.clone(),
            role: Role::Router,
            zone: router.zone.parse().unwrap(),
            service: None,
            address: router.address,
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

/// Whether a store call is about claims; used to count writes.
pub fn is_claim(purpose: &Purpose) -> bool {
    matches!(purpose, Purpose::Claims(_))
}
