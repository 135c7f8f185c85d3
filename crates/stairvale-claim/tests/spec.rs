//! Random walks, from fixed seeds, through the moves of the model spec/claims.pml, made with the code's own shard
//! owners.
//!
//! The entries behave as in `stairvale_control`: an entry requests a claim once, runs only on an answer that it still
//! waits for, and releases a claim only after it has stopped waiting for it.

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
/// Number of moves in a walk.
const DEPTH: usize = 26;
const WALKS: u64 = 20_000;

/// An entry that makes one attempt.
struct Entry {
    owner: Option<usize>,
    inbox: VecDeque<ClaimVerdict>,
    waiting: bool,
    gave_up: bool,
    copies: u8,
}

#[derive(Clone, Copy, Debug)]
enum Move {
    /// An entry requests the claim from an owner.
    Request(usize, usize),
    /// The store answers an owner's call.
    Reply(usize),
    /// The store performs an owner's call, and its answer is lost.
    LoseReply(usize),
    /// An entry receives an answer.
    Receive(usize),
    /// An answer to an entry is duplicated on the way.
    Duplicate(usize),
    /// An entry gives up waiting and releases the claim.
    StopWaiting(usize),
    /// An owner receives a release.
    Release,
    /// This many milliseconds pass.
    PassTime(u64),
}

struct Model {
    now: Moment,
    record: Option<(String, u64)>,
    owners: Vec<Shard>,
    calls: Vec<Option<Effect>>,
    entries: Vec<Entry>,
    /// Releases in transit: the number of the attempt and that of the owner.
    releases: VecDeque<(usize, usize)>,
    runs: u32,
    moves_made: BTreeSet<&'static str>,
}

impl Model {
    fn new() -> Self {
        let entry = |_| Entry { owner: None, inbox: VecDeque::new(), waiting: false, gave_up: false, copies: 0 };
        Self {
            now: Moment::from_millis(1_000),
            record: None,
            owners: (0..2).map(|_| Shard::new()).collect(),
            calls: vec![None, None],
            entries: (0..ATTEMPTS).map(entry).collect(),
            releases: VecDeque::new(),
            runs: 0,
            moves_made: BTreeSet::new(),
        }
    }

    /// The moves that are possible in the current state.
    fn enabled(&self) -> Vec<Move> {
        let mut moves = vec![Move::PassTime(50), Move::PassTime(500), Move::PassTime(2_100)];
        for (number, entry) in self.entries.iter().enumerate() {
            if entry.owner.is_none() {
                moves.extend([Move::Request(number, 0), Move::Request(number, 1)]);
            }
            if entry.waiting {
                moves.push(Move::StopWaiting(number));
            }
            if !entry.inbox.is_empty() {
                moves.push(Move::Receive(number));
                if entry.copies == 0 {
                    moves.push(Move::Duplicate(number));
                }
            }
        }
        for owner in 0..2 {
            if self.calls[owner].is_some() {
                moves.extend([Move::Reply(owner), Move::LoseReply(owner)]);
            }
        }
        if !self.releases.is_empty() {
            moves.push(Move::Release);
        }
        moves
    }

    fn make(&mut self, step: Move) {
        match step {
            Move::Request(number, owner) => {
                let entry = &mut self.entries[number];
                entry.owner = Some(owner);
                entry.waiting = true;
                let attempt = id::Attempt(number as u128);
                let from = format!("r{number}").parse().unwrap();
                let effects = self.owners[owner].claim(self.now, self.now.millis(), from, KEY, attempt);
                self.effects(owner, effects);
            }
            Move::Reply(owner) => self.reply(owner, false),
            Move::LoseReply(owner) => self.reply(owner, true),
            Move::Receive(number) => {
                self.moves_made.insert("hear");
                let verdict = self.entries[number].inbox.pop_front().unwrap();
                self.receive(number, &verdict);
            }
            Move::Duplicate(number) => {
                self.moves_made.insert("hear-twice");
                let entry = &mut self.entries[number];
                entry.copies += 1;
                let copy = entry.inbox[0].clone();
                entry.inbox.push_back(copy);
            }
            Move::StopWaiting(number) => {
                self.moves_made.insert("stop-waiting");
                let entry = &mut self.entries[number];
                entry.waiting = false;
                entry.gave_up = true;
                self.releases.push_back((number, entry.owner.unwrap()));
            }
            Move::Release => {
                self.moves_made.insert("give-back");
                let (number, owner) = self.releases.pop_front().unwrap();
                let from = format!("r{number}").parse().unwrap();
                let attempt = id::Attempt(number as u128);
                let effects = self.owners[owner].settle(self.now, self.now.millis(), &from, KEY, attempt, None);
                self.effects(owner, effects);
            }
            Move::PassTime(millis) => {
                self.now = self.now + Duration::from_millis(millis);
                for owner in 0..2 {
                    let effects = self.owners[owner].tick(self.now, self.now.millis());
                    self.effects(owner, effects);
                }
            }
        }
    }

    /// Handles an answer as the entry in `stairvale_control` does.
    fn receive(&mut self, number: usize, verdict: &ClaimVerdict) {
        let entry = &mut self.entries[number];
        let yours = matches!(verdict, ClaimVerdict::Yours { .. });
        if yours && entry.waiting {
            self.runs += 1;
            assert!(self.runs <= 1, "two attempts of one key run");
        }
        if yours && !entry.waiting && entry.gave_up {
            self.releases.push_back((number, entry.owner.unwrap()));
        }
        entry.waiting = false;
    }

    fn reply(&mut self, owner: usize, lost: bool) {
        let effect = self.calls[owner].take().unwrap();
        let reply = match &effect {
            Effect::Read => Reply::Read(self.record.clone()),
            Effect::Write { text, revision } => {
                let found = self.record.as_ref().map_or(0, |(_, revision)| *revision);
                if found == *revision {
                    self.record = Some((text.clone(), found + 1));
                    self.moves_made.insert(if lost { "answer-lost" } else { "answered" });
                    Reply::Written(found + 1)
                } else {
                    self.moves_made.insert("conflict");
                    Reply::Conflict
                }
            }
            other => panic!("{other:?}, though a single claim needs no segment"),
        };
        let reply = if lost { Reply::Lost } else { reply };
        let effects = self.owners[owner].reply(self.now, self.now.millis(), reply);
        self.effects(owner, effects);
    }

    fn effects(&mut self, owner: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Answer { attempt, verdict, .. } => {
                    if matches!(verdict, ClaimVerdict::Unavailable { .. }) {
                        self.moves_made.insert("given-up");
                    }
                    self.entries[usize::try_from(attempt.0).unwrap()].inbox.push_back(verdict);
                }
                Effect::Settled { .. } | Effect::Noted { .. } => {}
                call => {
                    self.moves_made.insert(if matches!(call, Effect::Read) { "read" } else { "write" });
                    assert!(self.calls[owner].is_none(), "two calls to the store in flight");
                    self.calls[owner] = Some(call);
                }
            }
        }
        assert_eq!(self.owners[owner].counts().violations, 0);
    }
}

#[test]
fn at_most_one_attempt_runs_in_any_order_of_moves() {
    let mut moves_made = BTreeSet::new();
    let mut walks_with_run = 0;
    for seed in 1..=WALKS {
        let mut walk = Walk::new(seed);
        let mut model = Model::new();
        for _ in 0..DEPTH {
            let moves = model.enabled();
            let pick = walk.pick(moves.len());
            model.make(moves[pick]);
        }
        walks_with_run += u64::from(model.runs);
        moves_made.extend(model.moves_made);
    }
    assert!(walks_with_run > WALKS / 20, "an attempt ran in only {walks_with_run} walks");
    let moves_made: BTreeSet<String> = moves_made.into_iter().map(str::to_owned).collect();
    assert_eq!(moves_made, spec_moves("claims.pml"), "the moves of the code and of the model differ");
}
