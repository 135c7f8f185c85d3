//! The moves of spec/claims.pml, made with the code's own keepers, in many seeded orders.
//!
//! The entry's part is as in `stairvale_control`: it asks once, runs only on the answer it waits for, and gives back only
//! what it has given up.

#![allow(clippy::unwrap_used, clippy::expect_used)]

#[path = "../../../spec/walk.rs"]
mod walk;

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use stairvale_claim::{
    Shard,
    shard::{Effect, Reply},
};
use stairvale_types::{Moment, id};
use stairvale_wire::ClaimVerdict;
use walk::{Walk, spec_moves};

const KEY: id::Key = id::Key(5);
const ATTEMPTS: usize = 2;
const DEPTH: usize = 26;
const WALKS: u64 = 20_000;

struct Entry {
    keeper: Option<usize>,
    inbox: VecDeque<ClaimVerdict>,
    waits: bool,
    gave_up: bool,
    copies: u8,
}

#[derive(Clone, Copy, Debug)]
enum Move {
    Ask(usize, usize),
    Answer(usize),
    Lose(usize),
    Hear(usize),
    HearTwice(usize),
    StopWaiting(usize),
    GiveBack,
    Pass(u64),
}

struct Model {
    now: Moment,
    record: Option<(String, u64)>,
    keepers: Vec<Shard>,
    calls: Vec<Option<Effect>>,
    entries: Vec<Entry>,
    /// Give-backs on their way: the attempt and the keeper.
    backs: VecDeque<(usize, usize)>,
    runs: u32,
    made: BTreeSet<&'static str>,
}

impl Model {
    fn new() -> Self {
        let entry = |_| Entry { keeper: None, inbox: VecDeque::new(), waits: false, gave_up: false, copies: 0 };
        Self {
            now: Moment::from_millis(1_000),
            record: None,
            keepers: (0..2).map(|_| Shard::new()).collect(),
            calls: vec![None, None],
            entries: (0..ATTEMPTS).map(entry).collect(),
            backs: VecDeque::new(),
            runs: 0,
            made: BTreeSet::new(),
        }
    }

    fn enabled(&self) -> Vec<Move> {
        let mut moves = vec![Move::Pass(50), Move::Pass(500), Move::Pass(2_100)];
        for (number, entry) in self.entries.iter().enumerate() {
            if entry.keeper.is_none() {
                moves.extend([Move::Ask(number, 0), Move::Ask(number, 1)]);
            }
            if entry.waits {
                moves.push(Move::StopWaiting(number));
            }
            if !entry.inbox.is_empty() {
                moves.push(Move::Hear(number));
                if entry.copies == 0 {
                    moves.push(Move::HearTwice(number));
                }
            }
        }
        for keeper in 0..2 {
            if self.calls[keeper].is_some() {
                moves.extend([Move::Answer(keeper), Move::Lose(keeper)]);
            }
        }
        if !self.backs.is_empty() {
            moves.push(Move::GiveBack);
        }
        moves
    }

    fn make(&mut self, step: Move) {
        match step {
            Move::Ask(number, keeper) => {
                let entry = &mut self.entries[number];
                entry.keeper = Some(keeper);
                entry.waits = true;
                let attempt = id::Attempt(number as u128);
                let from = format!("r{number}").parse().unwrap();
                let effects = self.keepers[keeper].claim(self.now, self.now.millis(), from, KEY, attempt);
                self.effects(keeper, effects);
            }
            Move::Answer(keeper) => self.reply(keeper, false),
            Move::Lose(keeper) => self.reply(keeper, true),
            Move::Hear(number) => {
                self.made.insert("hear");
                let verdict = self.entries[number].inbox.pop_front().unwrap();
                self.hear(number, &verdict);
            }
            Move::HearTwice(number) => {
                self.made.insert("hear-twice");
                let entry = &mut self.entries[number];
                entry.copies += 1;
                let copy = entry.inbox[0].clone();
                entry.inbox.push_back(copy);
            }
            Move::StopWaiting(number) => {
                self.made.insert("stop-waiting");
                let entry = &mut self.entries[number];
                entry.waits = false;
                entry.gave_up = true;
                self.backs.push_back((number, entry.keeper.unwrap()));
            }
            Move::GiveBack => {
                self.made.insert("give-back");
                let (number, keeper) = self.backs.pop_front().unwrap();
                let from = format!("r{number}").parse().unwrap();
                let attempt = id::Attempt(number as u128);
                let effects = self.keepers[keeper].settle(self.now, self.now.millis(), &from, KEY, attempt, None);
                self.effects(keeper, effects);
            }
            Move::Pass(millis) => {
                self.now = self.now + Duration::from_millis(millis);
                for keeper in 0..2 {
                    let effects = self.keepers[keeper].tick(self.now, self.now.millis());
                    self.effects(keeper, effects);
                }
            }
        }
    }

    fn hear(&mut self, number: usize, verdict: &ClaimVerdict) {
        let entry = &mut self.entries[number];
        let yours = matches!(verdict, ClaimVerdict::Yours { .. });
        if yours && entry.waits {
            self.runs += 1;
            assert!(self.runs <= 1, "two attempts of one key run");
        }
        if yours && !entry.waits && entry.gave_up {
            self.backs.push_back((number, entry.keeper.unwrap()));
        }
        entry.waits = false;
    }

    fn reply(&mut self, keeper: usize, lost: bool) {
        let effect = self.calls[keeper].take().unwrap();
        let reply = match &effect {
            Effect::Read => Reply::Read(self.record.clone()),
            Effect::Write { text, revision } => {
                let found = self.record.as_ref().map_or(0, |(_, revision)| *revision);
                if found == *revision {
                    self.record = Some((text.clone(), found + 1));
                    self.made.insert(if lost { "answer-lost" } else { "answered" });
                    Reply::Written(found + 1)
                } else {
                    self.made.insert("conflict");
                    Reply::Conflict
                }
            }
            other => panic!("{other:?} in a world of one key"),
        };
        let reply = if lost { Reply::Lost } else { reply };
        let effects = self.keepers[keeper].reply(self.now, self.now.millis(), reply);
        self.effects(keeper, effects);
    }

    fn effects(&mut self, keeper: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Answer { attempt, verdict, .. } => {
                    if matches!(verdict, ClaimVerdict::Unavailable { .. }) {
                        self.made.insert("given-up");
                    }
                    self.entries[usize::try_from(attempt.0).unwrap()].inbox.push_back(verdict);
                }
                Effect::Settled { .. } | Effect::Noted { .. } => {}
                call => {
                    self.made.insert(if matches!(call, Effect::Read) { "read" } else { "write" });
                    assert!(self.calls[keeper].is_none(), "two calls at a time");
                    self.calls[keeper] = Some(call);
                }
            }
        }
        assert_eq!(self.keepers[keeper].counts().violations, 0);
    }
}

#[test]
fn in_every_order_at_most_one_attempt_runs() {
    let mut made = BTreeSet::new();
    let mut ran = 0;
    for walk in 1..=WALKS {
        let mut walk = Walk::new(walk);
        let mut model = Model::new();
        for _ in 0..DEPTH {
            let moves = model.enabled();
            let pick = walk.pick(moves.len());
            model.make(moves[pick]);
        }
        ran += u64::from(model.runs);
        made.extend(model.made);
    }
    assert!(ran > WALKS / 20, "only {ran} walks ran anything");
    let made: BTreeSet<String> = made.into_iter().map(str::to_owned).collect();
    assert_eq!(made, spec_moves("claims.pml"), "the code makes exactly the spec's moves");
}
