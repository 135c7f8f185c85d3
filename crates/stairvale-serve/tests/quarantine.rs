//! A request under which upstreams terminate, while routers are partitioned, started and killed, and while several routers run
//! that request at once.

#![allow(clippy::unwrap_used, clippy::print_stdout)]

mod world;

use std::collections::BTreeSet;

use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use stairvale_dispatch::Outcome;
use stairvale_replica::State;
use stairvale_types::id;
use world::World;

/// The fingerprint of the request under which upstreams terminate.
const FATAL: id::Fingerprint = id::Fingerprint(0xdead);
/// Time for a fleet to agree on its members and homes, in ms.
const SETTLE_MS: u64 = 4_000;
/// Time from the start of the request to the termination of its upstream, in ms.
const TIME_TO_CRASH_MS: u64 = 120;
/// Time from an upstream's termination until its entry is removed from the store, in ms.
const EXPIRY_MS: u64 = 900;
/// Time from an upstream's termination until another one is registered in its place, in ms.
const RESTART_MS: u64 = 3_000;
/// A router counts as connected when no fault has affected it for this long, in ms.
const CONNECTED_AFTER_MS: u64 = 3_000;

/// One sending of the request, at its entry router.
struct Request {
    router: usize,
    number: u128,
    /// The home that got the permit request.
    home: id::Router,
    /// The engine that runs the request, and since when, in ms.
    runs: Option<(usize, u64)>,
}

/// A fleet, its engines, and a caller that sends the same request repeatedly.
struct Scenario {
    world: World,
    zones: usize,
    /// The engines that run.
    running: BTreeSet<usize>,
    /// The engines that have terminated, each with the time, in ms.
    terminated: Vec<(usize, u64)>,
    next: usize,
    number: u128,
    under_way: Vec<Request>,
    /// The times at which engines terminated, in ms.
    terminations: Vec<u64>,
    /// The times, in ms, at which the request was sent to an engine, each with the entry router.
    sent: Vec<(u64, usize)>,
    /// When a fault last affected each router, in ms.
    disturbed: Vec<u64>,
}

impl Scenario {
    fn new(routers: usize, zones: usize, engines: usize) -> Self {
        let mut world = World::new(routers, zones, engines);
        world.run(SETTLE_MS);
        Self {
            world,
            zones,
            running: (0..engines).collect(),
            terminated: Vec::new(),
            next: engines,
            number: 1,
            under_way: Vec::new(),
            terminations: Vec::new(),
            sent: Vec::new(),
            disturbed: vec![0; routers],
        }
    }

    /// Sends the request to a router, if it runs and has a configuration.
    fn send(&mut self, router: usize) {
        if self.world.is_alive(router) && self.world.version(router) > 0 {
            self.number += 1;
            let (number, home) = (self.number, self.world.request_permit_for(router, self.number, FATAL));
            self.under_way.push(Request { router, number, home, runs: None });
        }
    }

    /// Advances the time, the requests under way, and the engines' entries in the store.
    fn run(&mut self, millis: u64) {
        let end = self.world.now + millis;
        while self.world.now < end {
            self.world.run(5);
            let under_way = std::mem::take(&mut self.under_way);
            self.under_way = under_way.into_iter().filter_map(|request| self.advance(request)).collect();
            self.replace_engines();
        }
    }

    /// Advances one sending by a step; returns `None` once it has ended.
    fn advance(&mut self, request: Request) -> Option<Request> {
        let Request { router, number, .. } = request;
        if !self.world.is_alive(router) {
            return None;
        }
        let Some((engine, since)) = request.runs else {
            return self.start_if_granted(request);
        };
        if self.world.now < since + TIME_TO_CRASH_MS && self.running.contains(&engine) {
            return Some(request);
        }
        if self.running.remove(&engine) {
            self.terminated.push((engine, self.world.now));
            self.terminations.push(self.world.now);
        }
        self.world.end_with(router, number, Outcome::Ended);
        None
    }

    fn start_if_granted(&mut self, request: Request) -> Option<Request> {
        let Request { router, number, home, .. } = &request;
        let Some(upstream) = self.world.start_request(*router, *number, home, FATAL) else {
            let decided = self.world.nodes[*router].replies.contains_key(&id::Attempt(*number));
            return (!decided).then_some(request);
        };
        let engine: usize = upstream.as_str()[1..].parse().unwrap();
        if !self.running.contains(&engine) {
            self.world.end_with(*router, *number, Outcome::Unreachable);
            return None;
        }
        self.sent.push((self.world.now, *router));
        Some(Request { runs: Some((engine, self.world.now)), ..request })
    }

    /// Removes the entries of terminated engines and registers their replacements, when due.
    fn replace_engines(&mut self) {
        let now = self.world.now;
        for (engine, since) in self.terminated.clone() {
            if now == since + EXPIRY_MS {
                self.world.put_engine(engine, engine % self.zones, None);
            }
            if now == since + RESTART_MS {
                self.world.put_engine(self.next, engine % self.zones, Some(State::Ready));
                self.running.insert(self.next);
                self.next += 1;
            }
        }
    }

    /// How often connected routers sent the request to an engine later than [`CONNECTED_AFTER_MS`] after the third termination.
    fn late_sends(&self) -> usize {
        let Some(third) = self.terminations.get(2) else {
            return 0;
        };
        let counts = |(at, router): &&(u64, usize)| {
            *at > third + CONNECTED_AFTER_MS && *at > self.disturbed[*router] + CONNECTED_AFTER_MS
        };
        self.sent.iter().filter(counts).count()
    }
}

/// The faults that affect the fleet during a run.
#[derive(Clone, Copy, Debug)]
enum FaultKind {
    None,
    Partition,
    Restart,
    HomeKilled,
    AllKilled,
    StoreDown,
    /// No fault, but several routers run the request at the same time.
    Concurrent,
}

fn run_scenario(kind: FaultKind, seed: u64) -> Scenario {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut scenario = Scenario::new(9, 3, 12);
    let service: id::Service = "chat".parse().unwrap();
    // The offset puts faults before, during and after the first terminations.
    let offset = rng.random_range(0..10);
    let per_round = if matches!(kind, FaultKind::Concurrent) { 6 } else { 1 };
    for round in 0..60_u64 {
        for _ in 0..per_round {
            scenario.send(rng.random_range(0..9));
        }
        scenario.run(rng.random_range(20..40) * 10);
        let now = scenario.world.now;
        let home = scenario.world.nodes[0].core.home_of(&service).unwrap();
        let home = scenario.world.index_of(&home);
        match (kind, (round + offset) % 10) {
            (FaultKind::Partition, 3) => {
                let index = *(0..9).collect::<Vec<_>>().choose(&mut rng).unwrap();
                for other in 0..9 {
                    scenario.world.set_cut(index, other, true);
                }
                scenario.disturbed[index] = u64::MAX - CONNECTED_AFTER_MS;
            }
            (FaultKind::Partition, 8) => {
                for (a, b) in (0..9).flat_map(|a| (0..9).map(move |b| (a, b))) {
                    scenario.world.set_cut(a, b, false);
                }
                scenario.disturbed.iter_mut().filter(|at| **at > now).for_each(|at| *at = now);
            }
            (FaultKind::HomeKilled, 2 | 5) => {
                scenario.world.kill(home);
            }
            (FaultKind::Restart, 4) => {
                let index = rng.random_range(0..9);
                scenario.world.kill(index);
                scenario.world.start(index, 3);
                scenario.disturbed[index] = now;
            }
            (FaultKind::AllKilled, 7) => (0..9).for_each(|index| scenario.world.kill(index)),
            (FaultKind::AllKilled, 8) | (FaultKind::HomeKilled, 9) => {
                for index in 0..9 {
                    if !scenario.world.is_alive(index) {
                        scenario.world.start(index, 3);
                        scenario.disturbed[index] = now;
                    }
                }
            }
            (FaultKind::StoreDown, 1) => scenario.world.set_store_down(true),
            (FaultKind::StoreDown, 9) => scenario.world.set_store_down(false),
            _ => {}
        }
    }
    scenario.run(2_000);
    scenario
}

#[test]
fn a_crashing_request_terminates_few_upstreams_under_any_faults() {
    for (kind, max) in [
        (FaultKind::None, 3),
        (FaultKind::Partition, 6),
        (FaultKind::Restart, 4),
        (FaultKind::HomeKilled, 6),
        (FaultKind::AllKilled, 6),
        (FaultKind::StoreDown, 3),
        (FaultKind::Concurrent, 8),
    ] {
        let mut terminations = Vec::new();
        for seed in 0..20 {
            let scenario = run_scenario(kind, seed);
            terminations.push(scenario.terminations.len());
            assert!(
                scenario.late_sends() <= 3,
                "{kind:?}, seed {seed}: {} sent late, {:?}",
                scenario.late_sends(),
                scenario.terminations
            );
        }
        terminations.sort_unstable();
        println!("{kind:?}: median {}, maximum {} terminated upstreams", terminations[10], terminations[19]);
        assert!(terminations[19] <= max, "{kind:?}: {terminations:?}");
    }
}

/// Sends the request 40 times, by the end of which it is refused; returns how many engines have terminated so far.
fn send_until_refused(scenario: &mut Scenario) -> usize {
    for round in 0..40 {
        scenario.send(round % 9);
        scenario.run(300);
    }
    scenario.terminations.len()
}

#[test]
fn an_expired_quarantine_is_retried_once_and_then_ended_or_extended() {
    let mut scenario = Scenario::new(9, 3, 12);
    assert_eq!(send_until_refused(&mut scenario), 3);
    // The quarantine lasts two minutes from its start, and the rounds above took twelve seconds.
    scenario.run(121_000);
    assert_eq!(send_until_refused(&mut scenario), 4, "one more engine, not three");
    scenario.run(121_000);
    assert_eq!(send_until_refused(&mut scenario), 4, "the quarantine lasts four minutes now");
    scenario.run(121_000);
    // The cause was fixed meanwhile, so the request succeeds.
    let home = scenario.world.request_permit_for(2, 900_000, FATAL);
    scenario.world.run(100);
    scenario.world.start_request(2, 900_000, &home, FATAL).unwrap();
    scenario.world.end(2, 900_000);
    scenario.world.run(200);
    for number in 900_001..900_010 {
        let home = scenario.world.request_permit_for(4, number, FATAL);
        scenario.world.run(50);
        assert!(scenario.world.start_request(4, number, &home, FATAL).is_some(), "the request is no longer restricted");
        scenario.world.end(4, number);
    }
}
