//! The moves of spec/generations.pml, made with the code's own submissions and holders, in many seeded orders.

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
const DEPTH: usize = 40;

struct Model {
    store: Option<(String, u64)>,
    history: Vec<Manifest>,
    machines: Vec<(Machine, Step)>,
    holders: Vec<Holder>,
    had: Vec<Generation>,
    /// What routers heard and haven't acted on yet; it may be old by then.
    heard: Vec<Vec<Manifest>>,
    made: BTreeSet<&'static str>,
    now: Moment,
}

#[derive(Clone, Copy, Debug)]
enum Move {
    Call(usize, bool),
    FromStore(usize),
    FromPeer(usize),
    Act(usize, usize),
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
            had: vec![Generation(0); ROUTERS],
            heard: vec![Vec::new(); ROUTERS],
            made: BTreeSet::new(),
            now: Moment::ZERO,
        };
        model.first();
        for number in 1..=OPERATORS {
            let machine = Machine::new(submission(number, 1));
            let step = machine.start();
            model.machines.push((machine, step));
        }
        model
    }

    /// A first configuration that both operators start from.
    fn first(&mut self) {
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

    fn enabled(&self) -> Vec<Move> {
        let mut moves = Vec::new();
        for (number, (_, step)) in self.machines.iter().enumerate() {
            if matches!(step, Step::Call(..)) {
                moves.extend([Move::Call(number, false), Move::Call(number, true)]);
            }
        }
        for router in 0..ROUTERS {
            moves.extend([Move::FromStore(router), Move::FromPeer(router)]);
            moves.extend((0..self.heard[router].len()).map(|index| Move::Act(router, index)));
        }
        moves
    }

    fn make(&mut self, step: Move) {
        match step {
            Move::Call(number, lost) => self.operator(number, lost),
            Move::FromStore(router) => {
                self.made.insert("from-store");
                let manifest = self.store.as_ref().map(|(text, _)| serde_json::from_str(text).unwrap());
                self.heard[router].extend(manifest);
            }
            Move::FromPeer(router) => {
                self.made.insert("from-peer");
                let manifest = self.holders[1 - router].manifest().cloned();
                self.heard[router].extend(manifest);
            }
            Move::Act(router, index) => self.act(router, index),
        }
    }

    fn operator(&mut self, number: usize, lost: bool) {
        let (_, step) = &self.machines[number];
        let Step::Call(key, action) = step.clone() else {
            return;
        };
        let swap = key == MANIFEST_KEY && matches!(action, Action::Write { .. });
        let answer = self.call(&key, action.clone());
        if swap {
            self.made.insert("swap");
            self.made.insert(if lost { "answer-lost" } else { "answered" });
        }
        let answer = if lost { Answer::Lost } else { answer };
        let (machine, step) = &mut self.machines[number];
        *step = machine.answer(answer);
        let reads_back = matches!(step, Step::Call(key, Action::Read) if key == MANIFEST_KEY);
        if swap && reads_back {
            self.made.insert("settle");
        }
        self.check(number);
    }

    /// An operator who is told an outcome is told the truth.
    fn check(&self, number: usize) {
        let (_, step) = &self.machines[number];
        let Step::Done(outcome) = step else {
            return;
        };
        let operator: id::Operator = format!("op-{}", number + 1).parse().unwrap();
        let accepted = self.history.iter().filter(|manifest| manifest.change.operator == operator).count();
        match outcome {
            Outcome::Accepted(_) => assert_eq!(accepted, 1, "told that it was accepted"),
            Outcome::Conflict(change) => {
                assert_eq!(accepted, 0, "told of a conflict");
                assert_ne!(change.operator, operator);
            }
            Outcome::Unavailable | Outcome::NoConfiguration => {
                assert_eq!(accepted, 0, "told that nothing was changed");
            }
            Outcome::Unknown => {}
        }
    }

    fn act(&mut self, router: usize, index: usize) {
        let manifest = self.heard[router].remove(index);
        let chunks = vec![text(manifest.change.submission[1..].parse().unwrap())];
        let before = self.holders[router].generation();
        self.now = self.now + std::time::Duration::from_millis(1);
        let mut effects = self.holders[router].offer(self.now, None, manifest.clone());
        effects.extend(self.holders[router].take(chunks));
        let taken = effects.iter().any(|effect| matches!(effect, Effect::InForce(..)));
        self.made.insert(if taken { "take" } else { "refuse" });
        assert_eq!(taken, manifest.generation() > before);
        let generation = self.holders[router].generation();
        assert!(generation >= self.had[router], "a router went back");
        self.had[router] = generation;
        assert_eq!(self.holders[router].violations, 0);
        let document = self.holders[router].manifest().unwrap().change.document;
        let accepted = self.history.iter().find(|accepted| accepted.generation() == generation).unwrap();
        assert_eq!(document, accepted.change.document, "one generation is one document");
    }
}

#[test]
fn in_every_order_generations_rise_and_operators_hear_the_truth() {
    let mut made = BTreeSet::new();
    for walk in 1..=WALKS {
        let mut walk = Walk::new(walk);
        let mut model = Model::new();
        for _ in 0..DEPTH {
            let moves = model.enabled();
            let pick = walk.pick(moves.len());
            model.make(moves[pick]);
        }
        assert!(model.history.len() <= 2, "both of two racing operators were accepted");
        made.extend(model.made);
    }
    let made: BTreeSet<String> = made.into_iter().map(str::to_owned).collect();
    assert_eq!(made, spec_moves("generations.pml"), "the code makes exactly the spec's moves");
}
