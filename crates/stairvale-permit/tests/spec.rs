//! The moves of spec/permits.pml, made with the code's own transitions, in every order up to a depth.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod sample;

#[path = "../../../spec/walk.rs"]
mod walk;

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use sample::profile;
use stairvale_permit::{
    Entry, Home,
    account::SETTLE,
    request::{Directory, Effect, Share, Want},
    rules::{Answer, Rules},
};
use stairvale_placement::choice::Estimate;
use stairvale_types::{Moment, id};
use stairvale_wire::{Ask, Held, Profile, Verdict};
use walk::{Walk, spec_moves};

const ENTRIES: usize = 2;
const BOUND: u32 = 1;
const DEPTH: usize = 11;

/// The labels in the specification.
const MOVES: [&str; 14] = [
    "ask",
    "distrust",
    "end",
    "grant",
    "overflow",
    "pause",
    "re-register",
    "register",
    "release",
    "resume",
    "return-late",
    "stop-waiting",
    "take",
    "none",
];

/// Which home an entry believes in.
struct View(usize);

impl Directory for View {
    fn home(&self, _: &id::Upstream, rank: usize) -> Option<id::Router> {
        (rank == 0).then(|| home_name(self.0))
    }

    fn usable(&self, _: &id::Upstream) -> bool {
        true
    }

    fn share(&self, _: &id::Upstream) -> Option<Share> {
        None
    }
}

fn home_name(number: usize) -> id::Router {
    format!("h{number}").parse().unwrap()
}

fn entry_name(number: usize) -> id::Router {
    format!("r{number}").parse().unwrap()
}

fn engine() -> id::Upstream {
    "e".parse().unwrap()
}

enum ToHome {
    Ask(Ask),
    Release(id::Attempt),
    Register(Vec<Held>),
}

struct Side {
    entry: Entry,
    view: usize,
    told: bool,
    asks: u128,
    attempt: Option<id::Attempt>,
    runs: bool,
}

struct Model {
    now: Moment,
    homes: Vec<Home>,
    to_home: [VecDeque<(usize, ToHome)>; 2],
    to_entry: Vec<VecDeque<(usize, Answer)>>,
    sides: Vec<Side>,
    home: usize,
    paused: bool,
    resumed: bool,
    in_flight: u32,
    made: BTreeSet<&'static str>,
}

#[derive(Clone, Copy, Debug)]
enum Move {
    Ask(usize),
    StopWaiting(usize),
    Hear(usize),
    End(usize),
    Reregister(usize),
    Serve(usize),
    Pause,
    Resume,
}

impl Model {
    fn new() -> Self {
        let rules = Rules::new("chat".parse().unwrap()).with_slots(BOUND).with_queue(0);
        let mut homes: Vec<_> = (0..2).map(|n| Home::new(home_name(n))).collect();
        homes[0].adopt(Moment::ZERO, engine(), rules, Some(0));
        let side = |_| Side { entry: Entry::new(), view: 0, told: false, asks: 0, attempt: None, runs: false };
        Self {
            now: Moment::ZERO + SETTLE,
            homes,
            to_home: Default::default(),
            to_entry: (0..ENTRIES).map(|_| VecDeque::new()).collect(),
            sides: (0..ENTRIES).map(side).collect(),
            home: 0,
            paused: false,
            resumed: false,
            in_flight: 0,
            made: BTreeSet::new(),
        }
    }

    fn runs(&self) -> u32 {
        u32::try_from(self.sides.iter().filter(|side| side.runs).count()).unwrap()
    }

    fn enabled(&self) -> Vec<Move> {
        let mut moves = Vec::new();
        for (number, side) in self.sides.iter().enumerate() {
            if side.attempt.is_none() && side.asks < 2 {
                moves.push(Move::Ask(number));
            }
            if side.attempt.is_some() && !side.runs {
                moves.push(Move::StopWaiting(number));
            }
            if side.runs {
                moves.push(Move::End(number));
            }
            if !self.to_entry[number].is_empty() {
                moves.push(Move::Hear(number));
            }
            if self.home == 1 && !side.told {
                moves.push(Move::Reregister(number));
            }
        }
        for home in 0..2 {
            let runs = home == 1 || !self.paused;
            if runs && !self.to_home[home].is_empty() {
                moves.push(Move::Serve(home));
            }
        }
        if self.home == 0 {
            moves.push(Move::Pause);
        } else if self.paused {
            moves.push(Move::Resume);
        }
        moves
    }

    fn make(&mut self, step: Move) {
        match step {
            Move::Ask(number) => self.ask(number),
            Move::StopWaiting(number) => {
                self.made.insert("stop-waiting");
                let attempt = self.sides[number].attempt.take().unwrap();
                // Whether the home hears of it in time makes no difference: the word may be lost.
                self.sides[number].entry.end(attempt);
            }
            Move::Hear(number) => self.hear(number),
            Move::End(number) => {
                self.made.insert("end");
                let attempt = self.sides[number].attempt.take().unwrap();
                self.sides[number].runs = false;
                let effects = self.sides[number].entry.end(attempt);
                self.effects(number, effects);
            }
            Move::Reregister(number) => self.reregister(number),
            Move::Serve(home) => self.serve(home),
            Move::Pause => {
                self.made.insert("pause");
                self.paused = true;
                self.home = 1;
                let on_their_way = self.to_entry.iter().flatten();
                let grants = on_their_way.filter(|(_, answer)| matches!(answer.verdict, Verdict::Granted { .. }));
                self.in_flight = u32::try_from(grants.count()).unwrap();
                let rules = Rules::new("chat".parse().unwrap()).with_slots(BOUND).with_queue(0);
                let runs = self.runs();
                self.homes[1].adopt(self.now, engine(), rules, Some(runs));
            }
            Move::Resume => {
                self.made.insert("resume");
                self.paused = false;
                self.resumed = true;
            }
        }
        assert!(self.runs() <= BOUND + self.in_flight, "{} run, {} were on their way", self.runs(), self.in_flight);
    }

    fn ask(&mut self, number: usize) {
        self.made.insert("ask");
        let side = &mut self.sides[number];
        side.asks += 1;
        let attempt = id::Attempt(number as u128 * 100 + side.asks);
        side.attempt = Some(attempt);
        let want = Want {
            attempt,
            profile: Profile { chat: None, returning: false, ..profile() },
            estimate: Estimate { deadline: Duration::from_secs(60), ..Estimate::default() },
            candidates: vec![engine()],
        };
        let effects = side.entry.want(self.now, &View(side.view), want);
        self.effects(number, effects);
    }

    fn hear(&mut self, number: usize) {
        let (from, answer) = self.to_entry[number].pop_front().unwrap();
        let side = &mut self.sides[number];
        let (view, name) = (View(side.view), home_name(from));
        let granted = matches!(answer.verdict, Verdict::Granted { .. });
        let effects = side.entry.answer(self.now, &view, &name, &answer.upstream, answer.attempt, answer.verdict);
        if granted {
            let taken = effects.iter().any(|effect| matches!(effect, Effect::Granted(_)));
            self.made.insert(if taken { "take" } else { "return-late" });
        }
        self.effects(number, effects);
    }

    fn reregister(&mut self, number: usize) {
        self.made.insert("re-register");
        let side = &mut self.sides[number];
        side.told = true;
        side.view = 1;
        let effects = side.entry.homes_changed(self.now, &View(1));
        let empty = !effects.iter().any(|effect| matches!(effect, Effect::Renew { .. }));
        self.effects(number, effects);
        if empty {
            self.to_home[1].push_back((number, ToHome::Register(Vec::new())));
        }
        if self.sides.iter().all(|side| side.told) {
            // Settling takes longer than it takes entries to register; that is its purpose.
            while let Some(index) = self.to_home[1].iter().position(|(_, frame)| matches!(frame, ToHome::Register(_))) {
                let frame = self.to_home[1].remove(index).unwrap();
                self.to_home[1].push_front(frame);
                self.serve(1);
            }
            self.now = self.now + SETTLE;
        }
    }

    fn serve(&mut self, home: usize) {
        if home == 0 && self.resumed {
            self.made.insert("distrust");
            self.resumed = false;
            let answers = self.homes[0].distrust(self.now);
            self.answers(0, answers);
        }
        let (from, frame) = self.to_home[home].pop_front().unwrap();
        let entry = entry_name(from);
        let runs = self.runs();
        self.homes[home].report(self.now, &engine(), runs);
        let answers = match frame {
            ToHome::Ask(ask) => {
                // A router that joined again knows that it isn't the home.
                if home == 0 && self.home == 1 && !self.paused {
                    return;
                }
                self.homes[home].ask(self.now, &entry, ask)
            }
            ToHome::Release(attempt) => {
                self.made.insert("release");
                self.homes[home].release(self.now, &entry, &engine(), &[attempt])
            }
            ToHome::Register(held) => {
                self.made.insert("register");
                self.homes[home].renew(self.now, &entry, &held)
            }
        };
        self.answers(home, answers);
        assert_eq!(self.homes[home].counts().violations, 0);
    }

    fn answers(&mut self, home: usize, answers: Vec<Answer>) {
        for answer in answers {
            let granted = matches!(answer.verdict, Verdict::Granted { .. });
            self.made.insert(if granted { "grant" } else { "overflow" });
            let number = (0..ENTRIES).find(|number| entry_name(*number) == answer.to).unwrap();
            self.to_entry[number].push_back((home, answer));
        }
    }

    fn effects(&mut self, number: usize, effects: Vec<Effect>) {
        for effect in effects {
            let home = |to: &id::Router| usize::from(to == &home_name(1));
            match effect {
                Effect::Ask { to, ask } => self.to_home[home(&to)].push_back((number, ToHome::Ask(ask))),
                Effect::Release { to, attempt, .. } => {
                    self.to_home[home(&to)].push_back((number, ToHome::Release(attempt)));
                }
                Effect::Renew { to, held } => self.to_home[home(&to)].push_back((number, ToHome::Register(held))),
                Effect::Granted(_) => self.sides[number].runs = true,
                Effect::Refused { .. } => self.sides[number].attempt = None,
                Effect::Forget { .. } | Effect::Moved { .. } => {}
            }
        }
    }
}

/// Makes the moves that `path` picks; returns how many there were to pick from at the next step.
fn replay(path: &[usize], made: &mut BTreeSet<&'static str>) -> usize {
    let mut model = Model::new();
    for pick in path {
        let step = model.enabled()[*pick];
        model.make(step);
    }
    made.extend(model.made.iter());
    model.enabled().len()
}

#[test]
fn every_order_of_the_specs_moves_keeps_the_bound() {
    let mut made = BTreeSet::new();
    let mut paths = 0_u64;
    // Random walks, seeded, through the tree of moves; the first levels are walked completely.
    let mut complete: Vec<Vec<usize>> = vec![Vec::new()];
    for _ in 0..5 {
        let mut longer = Vec::new();
        for path in complete {
            let choices = replay(&path, &mut made);
            paths += 1;
            longer.extend((0..choices).map(|pick| [&path[..], &[pick]].concat()));
        }
        complete = longer;
    }
    let mut walk = Walk::new(7);
    for start in complete.iter().cycle().take(60_000) {
        let mut path = start.clone();
        while path.len() < DEPTH {
            let choices = replay_len(&path);
            if choices == 0 {
                break;
            }
            path.push(walk.pick(choices));
        }
        replay(&path, &mut made);
        paths += 1;
    }
    assert!(paths > 60_000);
    let missing: Vec<_> =
        spec_moves("permits.pml").into_iter().filter(|label| !made.contains(label.as_str())).collect();
    assert!(missing.is_empty(), "the code never made the spec's moves {missing:?}");
}

fn replay_len(path: &[usize]) -> usize {
    replay(path, &mut BTreeSet::new())
}

#[test]
fn the_spec_and_this_test_name_the_same_moves() {
    let here: BTreeSet<_> = MOVES.iter().filter(|name| **name != "none").map(|name| (*name).to_owned()).collect();
    assert_eq!(spec_moves("permits.pml"), here);
}
