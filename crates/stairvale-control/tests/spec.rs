//! Makes the moves of `spec/generations.pml` with the production code's submissions and holders, in many seeded random
//! orders.

#![allow(clippy::unwrap_used, clippy::expect_used)]

#[path = "../../../spec/walk.rs"]
mod walk;

use std::collections::BTreeSet;

use stairvale_config::{Generation, Manifest};
use stairvale_control::{
    apply::{Intent, MANIFEST_KEY, Machine, Outcome, Step, Submission},
    generation::{Effect, Holder},
    io::{Action, Answer},
};
use stairvale_types::{Moment, id};
use walk::{Walk, spec_moves};

const OPERATORS: usize = 2;
const ROUTERS: usize = 2;
const WALKS: u64 = 4_000;
const MOVES_PER_WALK: usize = 40;

/// The state of the specification's model, held in production types.
struct Model {
    /// The manifest in the store, with its revision.
    store: Option<(String, u64)>,
    /// All accepted manifests, in order.
    history: Vec<Manifest>,
    machines: Vec<(Machine, Step)>,
    holders: Vec<Holder>,
    /// The highest generation so far that was in force at each router.
    highest: Vec<Generation>,
    /// Manifests that each router received and hasn't handled yet. They may be outdated by the time they are handled.
    received: Vec<Vec<Manifest>>,
    /// The names of the moves made so far, as the specification marks them.
    moves_made: BTreeSet<&'static str>,
    now: Moment,
}

/// A move of the model; the first number is that of the operator or router.
#[derive(Clone, Copy, Debug)]
enum Move {
    /// An operator's next call to the store, and whether its answer is lost.
    OperatorCall(usize, bool),
    ReceiveFromStore(usize),
    ReceiveFromPeer(usize),
    /// A router handles one of the manifests that it received, by index.
    HandleReceived(usize, usize),
}

fn text(number: usize) -> String {
    format!("zones: []\nservices: []\ncustomers: []\noperators: []\n# {number}\n")
}

fn submission(number: usize, base: u64) -> Submission {
    Submission {
        id: format!("s{number}"),
        operator: format!("op-{number}").parse().unwrap(),
        intent: Intent::Document { text: text(number), base: Generation(base) },
        at_ms: 0,
    }
}

impl Model {
    fn new() -> Self {
        let mut model = Self {
            store: None,
            history: Vec::new(),
            machines: Vec::new(),
            holders: (0..ROUTERS).map(|_| Holder::new()).collect(),
            highest: vec![Generation(0); ROUTERS],
            received: vec![Vec::new(); ROUTERS],
            moves_made: BTreeSet::new(),
            now: Moment::ZERO,
        };
        model.apply_initial_configuration();
        for number in 1..=OPERATORS {
            let machine = Machine::new(submission(number, 1));
            let step = machine.start();
            model.machines.push((machine, step));
        }
        model
    }

    /// Applies the initial configuration, from which both operators start.
    fn apply_initial_configuration(&mut self) {
        let mut machine = Machine::new(submission(0, 0));
        let mut step = machine.start();
        while let Step::Call(key, action) = step {
            let answer = self.call(&key, action);
            step = machine.answer(answer);
        }
    }

    fn call(&mut self, key: &str, action: Action) -> Answer {
        let Action::Write { value, revision } = action else {
            return Answer::Value(self.store.clone());
        };
        if key != MANIFEST_KEY {
            return Answer::Written(1);
        }
        let found = self.store.as_ref().map_or(0, |(_, revision)| *revision);
        if found != revision {
            return Answer::Conflict;
        }
        self.history.push(serde_json::from_str(&value).unwrap());
        self.store = Some((value, found + 1));
        Answer::Written(found + 1)
    }

    fn enabled_moves(&self) -> Vec<Move> {
        let mut moves = Vec::new();
        for (number, (_, step)) in self.machines.iter().enumerate() {
            if matches!(step, Step::Call(..)) {
                moves.extend([Move::OperatorCall(number, false), Move::OperatorCall(number, true)]);
            }
        }
        for router in 0..ROUTERS {
            moves.extend([Move::ReceiveFromStore(router), Move::ReceiveFromPeer(router)]);
            moves.extend((0..self.received[router].len()).map(|index| Move::HandleReceived(router, index)));
        }
        moves
    }

    fn make_move(&mut self, next: Move) {
        match next {
            Move::OperatorCall(number, lost) => self.step_operator(number, lost),
            Move::ReceiveFromStore(router) => {
                self.moves_made.insert("from-store");
                let manifest = self.store.as_ref().map(|(text, _)| serde_json::from_str(text).unwrap());
                self.received[router].extend(manifest);
            }
            Move::ReceiveFromPeer(router) => {
                self.moves_made.insert("from-peer");
                let manifest = self.holders[1 - router].manifest().cloned();
                self.received[router].extend(manifest);
            }
            Move::HandleReceived(router, index) => self.handle_received(router, index),
        }
    }

    fn step_operator(&mut self, number: usize, lost: bool) {
        let (_, step) = &self.machines[number];
        let Step::Call(key, action) = step.clone() else {
            return;
        };
        let swap = key == MANIFEST_KEY && matches!(action, Action::Write { .. });
        let answer = self.call(&key, action.clone());
        if swap {
            self.moves_made.insert("swap");
            self.moves_made.insert(if lost { "answer-lost" } else { "answered" });
        }
        let answer = if lost { Answer::Lost } else { answer };
        let (machine, step) = &mut self.machines[number];
        *step = machine.answer(answer);
        let reads_back = matches!(step, Step::Call(key, Action::Read) if key == MANIFEST_KEY);
        if swap && reads_back {
            self.moves_made.insert("settle");
        }
        self.check_outcome(number);
    }

    /// Asserts that the outcome reported to an operator, if there is one yet, is true.
    fn check_outcome(&self, number: usize) {
        let (_, step) = &self.machines[number];
        let Step::Done(outcome) = step else {
            return;
        };
        let operator: id::Operator = format!("op-{}", number + 1).parse().unwrap();
        let accepted = self.history.iter().filter(|manifest| manifest.change.operator == operator).count();
        match outcome {
            Outcome::Accepted(_) => assert_eq!(accepted, 1, "reported as accepted"),
            Outcome::Conflict(change) => {
                assert_eq!(accepted, 0, "reported as a conflict");
                assert_ne!(change.operator, operator);
            }
            Outcome::Unavailable | Outcome::NoConfiguration => {
                assert_eq!(accepted, 0, "reported as not applied");
            }
            Outcome::Unknown => {}
        }
    }

    fn handle_received(&mut self, router: usize, index: usize) {
        let manifest = self.received[router].remove(index);
        let chunks = vec![text(manifest.change.submission[1..].parse().unwrap())];
        let before = self.holders[router].generation();
        self.now = self.now + std::time::Duration::from_millis(1);
        let mut effects = self.holders[router].offer(self.now, None, manifest.clone());
        effects.extend(self.holders[router].add_chunks(chunks));
        let taken = effects.iter().any(|effect| matches!(effect, Effect::InForce(..)));
        self.moves_made.insert(if taken { "take" } else { "refuse" });
        assert_eq!(taken, manifest.generation() > before);
        let generation = self.holders[router].generation();
        assert!(generation >= self.highest[router], "a router went back to a lower generation");
        self.highest[router] = generation;
        assert_eq!(self.holders[router].violations, 0);
        let document = self.holders[router].manifest().unwrap().change.document;
        let accepted = self.history.iter().find(|accepted| accepted.generation() == generation).unwrap();
        assert_eq!(document, accepted.change.document, "a generation has only one document");
    }
}

#[test]
fn generations_only_rise_and_reported_outcomes_are_true_in_every_order() {
    let mut moves_made = BTreeSet::new();
    for number in 1..=WALKS {
        let mut walk = Walk::new(number);
        let mut model = Model::new();
        for _ in 0..MOVES_PER_WALK {
            let moves = model.enabled_moves();
            let index = walk.pick(moves.len());
            model.make_move(moves[index]);
        }
        assert!(model.history.len() <= 2, "the submissions of both operators were accepted");
        moves_made.extend(model.moves_made);
    }
    let moves_made: BTreeSet<String> = moves_made.into_iter().map(str::to_owned).collect();
    assert_eq!(moves_made, spec_moves("generations.pml"), "the code must make exactly the moves of the specification");
}
