//! Old chunks go, and no chunk goes that a configuration in force has, however submissions and sweeps interleave.

#![allow(clippy::unwrap_used, clippy::expect_used, dead_code)]

#[path = "world/store.rs"]
mod store;

use std::time::Duration;

use quickcheck::{QuickCheck, TestResult};
use stairvale_config::Generation;
use stairvale_control::{
    apply::{self, Intent, Machine, Outcome, Step, Submission},
    io::{Action, Answer},
    sweep::{self, HOLD, KEEP, Wish},
};
use stairvale_types::Moment;
use store::Store;

/// Submissions that run at once.
const OPERATORS: usize = 2;

struct Bench {
    store: Store,
    sweep: sweep::Machine,
    wish: Option<Wish>,
    submissions: Vec<Option<(Machine, Step)>>,
    now: Moment,
    number: u64,
}

impl Bench {
    fn new() -> Self {
        Self {
            store: Store::default(),
            sweep: sweep::Machine::default(),
            wish: None,
            submissions: (0..OPERATORS).map(|_| None).collect(),
            now: Moment::from_millis(60_000),
            number: 0,
        }
    }

    /// One of a few documents, so that chunks come back.
    fn submit(&mut self, operator: usize, document: u8) {
        let base = self.store.manifest().map_or(Generation(0), |manifest| manifest.generation());
        self.number += 1;
        let machine = Machine::new(Submission {
            id: format!("s{}", self.number),
            operator: "op".parse().unwrap(),
            intent: Intent::Document {
                text: format!("zones: []\nservices: []\ncustomers: []\noperators: []\n# {}\n", document % 4),
                base,
            },
            at_ms: 0,
        });
        let step = machine.start();
        self.submissions[operator] = Some((machine, step));
    }

    fn call(&mut self, key: &str, action: Action, lost: bool) -> Answer {
        let answer = self.store.call(self.now.0, key, action);
        if lost { Answer::Lost } else { answer }
    }

    /// One step of a submission.
    fn step(&mut self, operator: usize, lost: bool) {
        let Some((mut machine, step)) = self.submissions[operator].take() else {
            return;
        };
        match step {
            Step::Call(key, action) => {
                let answer = self.call(&key, action, lost);
                let step = machine.answer(answer);
                self.submissions[operator] = Some((machine, step));
            }
            Step::Done(Outcome::Accepted(_)) => self.sweep.in_force(self.now, &self.store.manifest().unwrap()),
            Step::Done(_) => {}
        }
    }

    /// One step of the sweep.
    fn sweep(&mut self, lost: bool) {
        let Some(wish) = self.wish.take() else {
            self.wish = self.sweep.tick(self.now, true);
            return;
        };
        let (key, action) = match wish {
            Wish::ReadChunk(chunk) => (apply::chunk_key(chunk), Action::Read),
            Wish::ReadManifest => (apply::MANIFEST_KEY.to_owned(), Action::Read),
            Wish::Delete(chunk, revision) => (apply::chunk_key(chunk), Action::Delete { revision }),
        };
        let answer = self.call(&key, action, lost);
        self.wish = self.sweep.answer(self.now, &answer);
    }

    /// Time passes, but never ten minutes in the middle of a submission.
    fn pass(&mut self, span: Duration) {
        if self.submissions.iter().all(Option::is_none) {
            self.now = self.now + span;
        }
    }

    fn has_all(&self) -> bool {
        let Some(manifest) = self.store.manifest() else {
            return true;
        };
        manifest.chunks.iter().all(|chunk| self.store.has(&apply::chunk_key(*chunk)))
    }

    fn apply(&mut self, document: u8) {
        self.submit(0, document);
        while self.submissions[0].is_some() {
            self.step(0, false);
        }
    }
}

#[test]
fn chunks_of_old_configurations_are_deleted() {
    let mut bench = Bench::new();
    for document in [0, 1, 2, 3, 0] {
        bench.apply(document);
    }
    assert_eq!(bench.store.count("config/chunk/"), 4);
    bench.pass(KEEP);
    for _ in 0..20 {
        bench.sweep(false);
    }
    assert_eq!(bench.store.count("config/chunk/"), 4, "nothing goes before it was held");
    bench.pass(HOLD);
    for _ in 0..20 {
        bench.sweep(false);
    }
    assert_eq!((bench.store.count("config/chunk/"), bench.sweep.deleted), (1, 3));
    assert!(bench.has_all());
}

#[test]
fn a_chunk_that_comes_back_while_it_is_held_stays() {
    let mut bench = Bench::new();
    bench.apply(0);
    bench.apply(1);
    bench.pass(KEEP);
    for _ in 0..4 {
        bench.sweep(false);
    }
    bench.pass(HOLD);
    // The sweep has looked at the manifest, and a submission brings the chunk back before the chunk is deleted.
    bench.sweep(false);
    bench.sweep(false);
    assert!(matches!(bench.wish, Some(Wish::Delete(..))), "{:?}", bench.wish);
    bench.apply(0);
    bench.sweep(false);
    assert!(bench.has_all(), "the chunk in force was deleted");
}

fn whatever_interleaves(moves: Vec<(u8, u8, bool)>) -> TestResult {
    let mut bench = Bench::new();
    bench.apply(0);
    for (kind, number, lost) in moves {
        let operator = usize::from(number) % OPERATORS;
        let lost = lost && number.is_multiple_of(4);
        match kind % 8 {
            0 if bench.submissions[operator].is_none() => bench.submit(operator, number / 2),
            0..=3 => bench.step(operator, lost),
            4..=5 => bench.sweep(lost),
            6 => bench.pass(HOLD),
            _ => bench.pass(KEEP),
        }
        if !bench.has_all() {
            return TestResult::failed();
        }
    }
    TestResult::passed()
}

#[test]
fn no_chunk_in_force_is_ever_deleted() {
    QuickCheck::new()
        .tests(3_000)
        .rng(quickcheck::Gen::from_size_and_seed(400, 1))
        .quickcheck(whatever_interleaves as fn(Vec<(u8, u8, bool)>) -> TestResult);
}
