//! Long randomised runs: everything that can fail fails, alone and together, and what must always hold is checked.
//!
//! The seeds are fixed in CI; `scripts/soak.sh SECONDS SEED` sets `STAIRVALE_SOAK_CASES` and `STAIRVALE_SOAK_SEED`.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod world;

use std::time::Duration;

use quickcheck::{Arbitrary, Gen};
use rand::Rng;
use stairvale_control::apply::{Machine, Outcome, Step};
use stairvale_wire::ClaimVerdict;
use world::{DOCUMENT, Fate, World};

/// Something that happens.
#[derive(Clone, Copy, Debug)]
enum Move {
    Requests(u8),
    Claims(u8),
    Kill(u8),
    Restart,
    Freeze(u8, u8),
    Cut(u8),
    Heal,
    Loss(u8),
    StoreDown(bool),
    LostAnswers(u8),
    Drain(u8),
    EngineDies(u8),
    NewEngine(u8),
    Race,
    Leave(u8),
    Quiet(u8),
}

impl Arbitrary for Move {
    fn arbitrary(g: &mut Gen) -> Self {
        let number = u8::arbitrary(g);
        match u8::arbitrary(g) % 24 {
            0..=5 => Self::Requests(number),
            6..=9 => Self::Claims(number),
            10 => Self::Kill(number),
            11 => Self::Restart,
            12 => Self::Freeze(number, u8::arbitrary(g)),
            13 => Self::Cut(number),
            14 => Self::Heal,
            15 => Self::Loss(number),
            16 => Self::StoreDown(number.is_multiple_of(2)),
            17 => Self::LostAnswers(number),
            18 => Self::Drain(number),
            19 => Self::EngineDies(number),
            20 => Self::NewEngine(number),
            21 => Self::Race,
            22 => Self::Leave(number),
            _ => Self::Quiet(number),
        }
    }
}

const SECOND: Duration = Duration::from_secs(1);
const ZONES: [&str; 3] = ["a", "b", "c"];

struct Run {
    world: World,
    applied: u64,
    dead: Vec<String>,
}

impl Run {
    fn new(seed: u64) -> Self {
        Self { world: World::settled(seed, 2, 2), applied: 0, dead: Vec::new() }
    }

    fn pick(&mut self, number: u8) -> Option<String> {
        let live = self.world.live();
        (!live.is_empty()).then(|| live[usize::from(number) % live.len()].clone())
    }

    fn step(&mut self, step: Move) {
        match step {
            Move::Requests(number) => self.requests(number),
            Move::Claims(number) => self.claims(number),
            Move::Kill(number) => self.kill(number),
            Move::Restart => {
                if let Some(name) = self.dead.pop() {
                    self.world.restart(&name);
                }
            }
            Move::Freeze(number, span) => {
                if let Some(name) = self.pick(number) {
                    self.world.freeze(&name, Duration::from_millis(u64::from(span) * 20));
                }
            }
            Move::Cut(number) => {
                let one = ZONES[usize::from(number) % 3];
                for other in ZONES.iter().filter(|other| **other != one) {
                    self.world.cut(one, other);
                }
                if number > 127 {
                    self.world.cut(one, "platform");
                }
            }
            Move::Heal => self.world.heal(),
            Move::Loss(number) => {
                self.world.faults.loss = f64::from(number % 40) / 100.0;
                self.world.faults.doubled = f64::from(number % 10) / 100.0;
                self.world.faults.delay_us = 500 + u64::from(number) * 100;
            }
            Move::StoreDown(down) => self.world.faults.store_down = down,
            Move::LostAnswers(number) => self.world.faults.lost_answers = f64::from(number % 50) / 100.0,
            Move::Drain(number) => {
                let names: Vec<_> = self.world.engines.keys().cloned().collect();
                self.world.drain(&names[usize::from(number) % names.len()]);
            }
            Move::EngineDies(number) => self.engine_dies(number),
            Move::NewEngine(number) => {
                let zone = ZONES[usize::from(number) % 3];
                let name = format!("{zone}-engine-new-{}", self.world.engines.len());
                self.world.add_engine(&name, "chat", zone);
            }
            Move::Race => self.race(),
            Move::Leave(number) => {
                if let Some(name) = self.pick(number).filter(|_| self.world.live().len() > 3) {
                    self.world.leave(&name);
                }
            }
            Move::Quiet(number) => self.world.run(Duration::from_millis(u64::from(number) * 8)),
        }
        self.world.run(Duration::from_millis(120));
    }

    fn requests(&mut self, number: u8) {
        for _ in 0..number % 12 {
            let number = number.wrapping_add(self.world.rng.random::<u8>());
            let Some(router) = self.pick(number) else {
                return;
            };
            let service = if self.world.rng.random_bool(0.8) { "chat" } else { "points" };
            let chat = self.world.rng.random_range(0..30);
            let deadline = Duration::from_millis(self.world.rng.random_range(200..6_000));
            let attempt = self.world.request(&router, service, Some(chat), deadline);
            self.world.run(Duration::from_millis(3));
            if self.world.rng.random_bool(0.1) {
                self.world.give_up(&router, attempt);
            }
        }
    }

    fn claims(&mut self, number: u8) {
        for _ in 0..number % 6 {
            let number = number.wrapping_add(self.world.rng.random::<u8>());
            let Some(router) = self.pick(number) else {
                return;
            };
            let key = self.world.rng.random_range(1..20);
            self.world.claim(&router, key);
            self.world.run(Duration::from_millis(2));
        }
    }

    fn kill(&mut self, number: u8) {
        if self.world.live().len() <= 2 {
            return;
        }
        if let Some(name) = self.pick(number) {
            self.world.kill(&name);
            self.dead.push(name);
        }
    }

    fn engine_dies(&mut self, number: u8) {
        let names: Vec<_> = self.world.engines.iter().filter(|(_, e)| e.alive).map(|(name, _)| name.clone()).collect();
        if names.len() <= 4 {
            return;
        }
        let name = &names[usize::from(number) % names.len()];
        self.world.engine_dies(name);
    }

    /// Two operators submit from the same generation, their calls interleaved.
    fn race(&mut self) {
        let live = self.world.live();
        if live.is_empty() {
            return;
        }
        let base = self.world.store.manifest().map_or(0, |manifest| manifest.generation().0);
        let mut racers: Vec<(Machine, Step, String)> = Vec::new();
        for _ in 0..2 {
            self.applied += 1;
            let text = format!("{DOCUMENT}# change {}\n", self.applied);
            let machine = self.world.submission(&text, base, &format!("s{}", self.applied));
            let first = machine.start();
            let router = live[self.world.rng.random_range(0..live.len())].clone();
            racers.push((machine, first, router));
        }
        let mut accepted = 0;
        while racers.iter().any(|(_, step, _)| matches!(step, Step::Call(..))) {
            let turn = self.world.rng.random_range(0..2);
            let (machine, step, router) = &mut racers[turn];
            let Step::Call(key, action) = step.clone() else {
                continue;
            };
            let answer = self.world.store_call(&key, action);
            *step = machine.answer(answer);
            if let Step::Done(outcome) = step {
                accepted += usize::from(matches!(outcome, Outcome::Accepted(_)));
                self.world.accepted(router, machine, outcome);
            }
        }
        assert!(accepted <= 1, "both of two racing operators were told that they won");
    }

    /// Everything works again, and in the end everything must be in order.
    fn finish(mut self) {
        self.world.heal();
        self.world.faults = world::Faults::default();
        while let Some(name) = self.dead.pop() {
            self.world.restart(&name);
        }
        self.world.run(Duration::from_secs(20));
        self.world.assert_all_told();
        self.world.assert_no_leaks();
        self.world.assert_one_generation();
        self.world.assert_at_most_once();
        self.assert_serves();
    }

    /// After all that, a new request is served by every router that callers may come to.
    fn assert_serves(&mut self) {
        let any = self.world.engines.values().any(|e| e.alive && !e.draining && e.service == "chat");
        if !any {
            return;
        }
        for router in self.world.live() {
            let attempt = self.world.request(&router, "chat", None, Duration::from_secs(5));
            self.world.run(SECOND);
            let fate = &self.world.fates[&attempt];
            assert!(
                matches!(fate, Fate::Running(_) | Fate::Done),
                "{router} doesn't serve after all is well again: {fate:?}"
            );
        }
    }
}

fn settings() -> (u64, usize) {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let seed = number("STAIRVALE_SOAK_SEED").unwrap_or(1);
    let cases = number("STAIRVALE_SOAK_CASES").unwrap_or(60);
    (seed, usize::try_from(cases).unwrap())
}

#[test]
fn whatever_fails_together_what_must_hold_holds() {
    let (first, cases) = settings();
    for seed in first..first + cases as u64 {
        let mut g = Gen::from_size_and_seed(60, seed);
        let moves: Vec<Move> = Arbitrary::arbitrary(&mut g);
        let described = format!("{moves:?}");
        let result = std::panic::catch_unwind(|| {
            let mut run = Run::new(seed);
            for step in moves {
                run.step(step);
            }
            run.finish();
        });
        assert!(result.is_ok(), "seed {seed} fails: {described}");
    }
}

#[test]
fn a_claim_never_runs_twice_under_lost_answers_and_deaths() {
    for seed in 1..=20 {
        let mut run = Run::new(seed);
        run.world.faults.lost_answers = 0.3;
        for round in 0..30_u8 {
            run.claims(5);
            run.world.run(Duration::from_millis(150));
            if round % 10 == 9 {
                run.kill(round);
            }
        }
        run.world.faults.lost_answers = 0.0;
        run.world.run(Duration::from_secs(10));
        run.world.assert_at_most_once();
        let yours = run.world.claims.values().filter(|v| matches!(v, ClaimVerdict::Yours { .. })).count();
        assert!(yours > 0, "seed {seed}: nothing ran at all");
    }
}
