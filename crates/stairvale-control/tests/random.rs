//! Long randomised runs that inject all faults, alone and in combination, and check the invariants.
//!
//! The seeds are fixed in CI; `scripts/soak.sh SECONDS SEED` sets `STAIRVALE_SOAK_CASES` and `STAIRVALE_SOAK_SEED`.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod world;

use std::time::Duration;

use quickcheck::{Arbitrary, Gen};
use rand::Rng;
use stairvale_control::apply::{Machine, Outcome, Step};
use stairvale_wire::ClaimVerdict;
use world::{DOCUMENT, RequestState, World};

/// An action in a run: load, a fault, or the removal of one. Numbers choose the target or the amount.
#[derive(Clone, Copy, Debug)]
enum Action {
    SendRequests(u8),
    SendClaims(u8),
    KillRouter(u8),
    RestartRouter,
    PauseRouter(u8, u8),
    PartitionZone(u8),
    HealPartitions,
    SetNetworkFaults(u8),
    SetStoreOutage(bool),
    SetLostAnswers(u8),
    DrainEngine(u8),
    CrashEngine(u8),
    AddEngine(u8),
    RaceSubmissions,
    StopRouter(u8),
    Wait(u8),
}

impl Arbitrary for Action {
    fn arbitrary(g: &mut Gen) -> Self {
        let number = u8::arbitrary(g);
        match u8::arbitrary(g) % 24 {
            0..=5 => Self::SendRequests(number),
            6..=9 => Self::SendClaims(number),
            10 => Self::KillRouter(number),
            11 => Self::RestartRouter,
            12 => Self::PauseRouter(number, u8::arbitrary(g)),
            13 => Self::PartitionZone(number),
            14 => Self::HealPartitions,
            15 => Self::SetNetworkFaults(number),
            16 => Self::SetStoreOutage(number.is_multiple_of(2)),
            17 => Self::SetLostAnswers(number),
            18 => Self::DrainEngine(number),
            19 => Self::CrashEngine(number),
            20 => Self::AddEngine(number),
            21 => Self::RaceSubmissions,
            22 => Self::StopRouter(number),
            _ => Self::Wait(number),
        }
    }
}

const SECOND: Duration = Duration::from_secs(1);
const ZONES: [&str; 3] = ["a", "b", "c"];

struct Run {
    world: World,
    /// The number of submissions so far.
    submissions: u64,
    /// The names of crashed routers that can be restarted.
    dead_routers: Vec<String>,
}

impl Run {
    fn new(seed: u64) -> Self {
        Self { world: World::settled(seed, 2, 2), submissions: 0, dead_routers: Vec::new() }
    }

    fn pick_router(&mut self, number: u8) -> Option<String> {
        let live = self.world.available_routers();
        (!live.is_empty()).then(|| live[usize::from(number) % live.len()].clone())
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::SendRequests(number) => self.send_requests(number),
            Action::SendClaims(number) => self.send_claims(number),
            Action::KillRouter(number) => self.kill_router(number),
            Action::RestartRouter => {
                if let Some(name) = self.dead_routers.pop() {
                    self.world.restart_router(&name);
                }
            }
            Action::PauseRouter(number, span) => {
                if let Some(name) = self.pick_router(number) {
                    self.world.pause_router(&name, Duration::from_millis(u64::from(span) * 20));
                }
            }
            Action::PartitionZone(number) => {
                let one = ZONES[usize::from(number) % 3];
                for other in ZONES.iter().filter(|other| **other != one) {
                    self.world.partition(one, other);
                }
                if number > 127 {
                    self.world.partition(one, "platform");
                }
            }
            Action::HealPartitions => self.world.heal_partitions(),
            Action::SetNetworkFaults(number) => {
                self.world.faults.datagram_loss = f64::from(number % 40) / 100.0;
                self.world.faults.duplication = f64::from(number % 10) / 100.0;
                self.world.faults.max_delay_us = 500 + u64::from(number) * 100;
            }
            Action::SetStoreOutage(down) => self.world.faults.store_outage = down,
            Action::SetLostAnswers(number) => self.world.faults.lost_answer_rate = f64::from(number % 50) / 100.0,
            Action::DrainEngine(number) => {
                let names: Vec<_> = self.world.engines.keys().cloned().collect();
                self.world.drain_engine(&names[usize::from(number) % names.len()]);
            }
            Action::CrashEngine(number) => self.crash_engine(number),
            Action::AddEngine(number) => {
                let zone = ZONES[usize::from(number) % 3];
                let name = format!("{zone}-engine-new-{}", self.world.engines.len());
                self.world.add_engine(&name, "chat", zone);
            }
            Action::RaceSubmissions => self.race_submissions(),
            Action::StopRouter(number) => {
                if let Some(name) = self.pick_router(number).filter(|_| self.world.available_routers().len() > 3) {
                    self.world.begin_stop(&name);
                }
            }
            Action::Wait(number) => self.world.run(Duration::from_millis(u64::from(number) * 8)),
        }
        self.world.run(Duration::from_millis(120));
    }

    fn send_requests(&mut self, number: u8) {
        for _ in 0..number % 12 {
            let number = number.wrapping_add(self.world.rng.random::<u8>());
            let Some(router) = self.pick_router(number) else {
                return;
            };
            let service = if self.world.rng.random_bool(0.8) { "chat" } else { "points" };
            let chat = self.world.rng.random_range(0..30);
            let deadline = Duration::from_millis(self.world.rng.random_range(200..6_000));
            let attempt = self.world.send_request(&router, service, Some(chat), deadline);
            self.world.run(Duration::from_millis(3));
            if self.world.rng.random_bool(0.1) {
                self.world.abandon_request(&router, attempt);
            }
        }
    }

    fn send_claims(&mut self, number: u8) {
        for _ in 0..number % 6 {
            let number = number.wrapping_add(self.world.rng.random::<u8>());
            let Some(router) = self.pick_router(number) else {
                return;
            };
            let key = self.world.rng.random_range(1..20);
            self.world.send_claim(&router, key);
            self.world.run(Duration::from_millis(2));
        }
    }

    fn kill_router(&mut self, number: u8) {
        if self.world.available_routers().len() <= 2 {
            return;
        }
        if let Some(name) = self.pick_router(number) {
            self.world.kill_router(&name);
            self.dead_routers.push(name);
        }
    }

    fn crash_engine(&mut self, number: u8) {
        let names: Vec<_> = self.world.engines.iter().filter(|(_, e)| e.alive).map(|(name, _)| name.clone()).collect();
        if names.len() <= 4 {
            return;
        }
        let name = &names[usize::from(number) % names.len()];
        self.world.crash_engine(name);
    }

    /// Runs the submissions of two operators from the same generation, with their store calls interleaved.
    fn race_submissions(&mut self) {
        let live = self.world.available_routers();
        if live.is_empty() {
            return;
        }
        let base = self.world.store.manifest().map_or(0, |manifest| manifest.generation().0);
        let mut submissions: Vec<(Machine, Step, String)> = Vec::new();
        for _ in 0..2 {
            self.submissions += 1;
            let text = format!("{DOCUMENT}# change {}\n", self.submissions);
            let machine = self.world.submission(&text, base, &format!("s{}", self.submissions));
            let first = machine.start();
            let router = live[self.world.rng.random_range(0..live.len())].clone();
            submissions.push((machine, first, router));
        }
        let mut accepted = 0;
        while submissions.iter().any(|(_, step, _)| matches!(step, Step::Call(..))) {
            let next = self.world.rng.random_range(0..2);
            let (machine, step, router) = &mut submissions[next];
            let Step::Call(key, action) = step.clone() else {
                continue;
            };
            let answer = self.world.call_store(&key, action);
            *step = machine.answer(answer);
            if let Step::Done(outcome) = step {
                accepted += usize::from(matches!(outcome, Outcome::Accepted(_)));
                self.world.notify_accepted(router, machine, outcome);
            }
        }
        assert!(accepted <= 1, "the submissions of both operators were accepted");
    }

    /// Removes all faults, restarts all routers and checks the invariants after 20 s of recovery.
    fn finish(mut self) {
        self.world.heal_partitions();
        self.world.faults = world::Faults::default();
        while let Some(name) = self.dead_routers.pop() {
            self.world.restart_router(&name);
        }
        self.world.run(Duration::from_secs(20));
        self.world.assert_no_request_waits();
        self.world.assert_no_leaks();
        self.world.assert_one_generation();
        self.world.assert_at_most_once();
        self.assert_serves();
    }

    /// Asserts that every available router serves a new request.
    fn assert_serves(&mut self) {
        let has_usable_engine = self.world.engines.values().any(|e| e.alive && !e.draining && e.service == "chat");
        if !has_usable_engine {
            return;
        }
        for router in self.world.available_routers() {
            let attempt = self.world.send_request(&router, "chat", None, Duration::from_secs(5));
            self.world.run(SECOND);
            let state = &self.world.request_states[&attempt];
            assert!(
                matches!(state, RequestState::Running(_) | RequestState::Done),
                "{router} doesn't serve a request after recovery: {state:?}"
            );
        }
    }
}

/// The first seed and the number of seeds to run.
fn settings() -> (u64, usize) {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let seed = number("STAIRVALE_SOAK_SEED").unwrap_or(1);
    let cases = number("STAIRVALE_SOAK_CASES").unwrap_or(60);
    (seed, usize::try_from(cases).unwrap())
}

#[test]
fn whatever_faults_combine_the_invariants_hold() {
    let (first_seed, cases) = settings();
    for seed in first_seed..first_seed + cases as u64 {
        let mut g = Gen::from_size_and_seed(60, seed);
        let actions: Vec<Action> = Arbitrary::arbitrary(&mut g);
        let description = format!("{actions:?}");
        let result = std::panic::catch_unwind(|| {
            let mut run = Run::new(seed);
            for action in actions {
                run.apply(action);
            }
            run.finish();
        });
        assert!(result.is_ok(), "seed {seed} fails: {description}");
    }
}

#[test]
fn a_claim_never_runs_twice_under_lost_answers_and_router_crashes() {
    for seed in 1..=20 {
        let mut run = Run::new(seed);
        run.world.faults.lost_answer_rate = 0.3;
        for round in 0..30_u8 {
            run.send_claims(5);
            run.world.run(Duration::from_millis(150));
            if round % 10 == 9 {
                run.kill_router(round);
            }
        }
        run.world.faults.lost_answer_rate = 0.0;
        run.world.run(Duration::from_secs(10));
        run.world.assert_at_most_once();
        let won = run.world.claim_verdicts.values().filter(|v| matches!(v, ClaimVerdict::Yours { .. })).count();
        assert!(won > 0, "seed {seed}: no claim ran");
    }
}
