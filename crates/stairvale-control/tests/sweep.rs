//! Old chunks are deleted, but never a chunk of the configuration in force, however submissions and sweeps interleave.

#![allow(clippy::unwrap_used, clippy::expect_used, dead_code)]

#[path = "world/store.rs"]
mod store;

use std::time::Duration;

use quickcheck::{QuickCheck, TestResult};
use stairvale_config::Generation;
use stairvale_control::{
    apply::{self, Intent, Machine, Outcome, Step, Submission},
    io::{Action, Answer},
    sweep::{self, CHUNK_RETENTION, CONFIRM_DELAY, StoreCall},
};
use stairvale_types::Moment;
use store::Store;

/// Maximum number of concurrent submissions.
const OPERATORS: usize = 2;

struct Harness {
    store: Store,
    sweep: sweep::Machine,
    /// The sweep's store call that hasn't been carried out yet.
    pending_call: Option<StoreCall>,
    submissions: Vec<Option<(Machine, Step)>>,
    now: Moment,
    submission_count: u64,
}

impl Harness {
    fn new() -> Self {
        Self {
            store: Store::default(),
            sweep: sweep::Machine::default(),
            pending_call: None,
            submissions: (0..OPERATORS).map(|_| None).collect(),
            now: Moment::from_millis(60_000),
            submission_count: 0,
        }
    }

    /// Starts a submission of one of four documents, so that chunks of earlier documents are used again.
    fn submit(&mut self, operator: usize, document: u8) {
        let base = self.store.manifest().map_or(Generation(0), |manifest| manifest.generation());
        self.submission_count += 1;
        let machine = Machine::new(Submission {
            id: format!("s{}", self.submission_count),
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

    /// Carries out one step of a submission.
    fn step_submission(&mut self, operator: usize, lost: bool) {
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

    /// Carries out one step of the sweep.
    fn step_sweep(&mut self, lost: bool) {
        let Some(call) = self.pending_call.take() else {
            self.pending_call = self.sweep.tick(self.now, true);
            return;
        };
        let (key, action) = match call {
            StoreCall::ReadChunk(chunk) => (apply::chunk_key(chunk), Action::Read),
            StoreCall::ReadManifest => (apply::MANIFEST_KEY.to_owned(), Action::Read),
            StoreCall::Delete(chunk, revision) => (apply::chunk_key(chunk), Action::Delete { revision }),
        };
        let answer = self.call(&key, action, lost);
        self.pending_call = self.sweep.answer(self.now, &answer);
    }

    /// Advances the time, unless a submission runs, since a submission never takes as long as the hold time of ten
    /// minutes.
    fn advance_time(&mut self, span: Duration) {
        if self.submissions.iter().all(Option::is_none) {
            self.now = self.now + span;
        }
    }

    fn has_all_chunks_in_force(&self) -> bool {
        let Some(manifest) = self.store.manifest() else {
            return true;
        };
        manifest.chunks.iter().all(|chunk| self.store.has(&apply::chunk_key(*chunk)))
    }

    fn apply(&mut self, document: u8) {
        self.submit(0, document);
        while self.submissions[0].is_some() {
            self.step_submission(0, false);
        }
    }
}

#[test]
fn chunks_of_old_configurations_are_deleted() {
    let mut harness = Harness::new();
    for document in [0, 1, 2, 3, 0] {
        harness.apply(document);
    }
    assert_eq!(harness.store.count("config/chunk/"), 4);
    harness.advance_time(CHUNK_RETENTION);
    for _ in 0..20 {
        harness.step_sweep(false);
    }
    assert_eq!(harness.store.count("config/chunk/"), 4, "no chunk is deleted before the hold time is over");
    harness.advance_time(CONFIRM_DELAY);
    for _ in 0..20 {
        harness.step_sweep(false);
    }
    assert_eq!((harness.store.count("config/chunk/"), harness.sweep.deleted), (1, 3));
    assert!(harness.has_all_chunks_in_force());
}

#[test]
fn a_chunk_that_is_used_again_during_the_hold_time_is_kept() {
    let mut harness = Harness::new();
    harness.apply(0);
    harness.apply(1);
    harness.advance_time(CHUNK_RETENTION);
    for _ in 0..4 {
        harness.step_sweep(false);
    }
    harness.advance_time(CONFIRM_DELAY);
    // The sweep has read the manifest, and a submission uses the chunk again before the chunk is deleted.
    harness.step_sweep(false);
    harness.step_sweep(false);
    assert!(matches!(harness.pending_call, Some(StoreCall::Delete(..))), "{:?}", harness.pending_call);
    harness.apply(0);
    harness.step_sweep(false);
    assert!(harness.has_all_chunks_in_force(), "the chunk in force was deleted");
}

fn keeps_chunks_in_force_when_interleaved(steps: Vec<(u8, u8, bool)>) -> TestResult {
    let mut harness = Harness::new();
    harness.apply(0);
    for (kind, number, lost) in steps {
        let operator = usize::from(number) % OPERATORS;
        let lost = lost && number.is_multiple_of(4);
        match kind % 8 {
            0 if harness.submissions[operator].is_none() => harness.submit(operator, number / 2),
            0..=3 => harness.step_submission(operator, lost),
            4..=5 => harness.step_sweep(lost),
            6 => harness.advance_time(CONFIRM_DELAY),
            _ => harness.advance_time(CHUNK_RETENTION),
        }
        if !harness.has_all_chunks_in_force() {
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
        .quickcheck(keeps_chunks_in_force_when_interleaved as fn(Vec<(u8, u8, bool)>) -> TestResult);
}
