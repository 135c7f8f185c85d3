//! Replays the moves of spec/permits.pml with the code's own transitions: all orders of the first moves, then seeded
//! random walks up to a maximum depth. The number of running requests must stay within the bound.

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
    account::SETTLE_TIME,
    request::{Directory, Effect, Share, UpstreamRequest},
    rules::{Answer, Rules},
};
use stairvale_placement::choice::Estimate;
use stairvale_types::{Moment, id};
use stairvale_wire::{HeldPermits, PermitRequest, Profile, Verdict};
use walk::{Walk, spec_moves};

const ENTRIES: usize = 2;
const BOUND: u32 = 1;
const MAX_DEPTH: usize = 11;

/// The labels of the moves in the specification.
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

/// The home that an entry assumes, by its number.
struct AssumedHome(usize);

impl Directory for AssumedHome {
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
    Ask(PermitRequest),
    Release(id::Attempt),
    Register(Vec<HeldPermits>),
}

struct EntryState {
    entry: Entry,
    assumed_home: usize,
    registered: bool,
    asks: u128,
    attempt: Option<id::Attempt>,
    running: bool,
}

struct Model {
    now: Moment,
    homes: Vec<Home>,
    to_home: [VecDeque<(usize, ToHome)>; 2],
    to_entry: Vec<VecDeque<(usize, Answer)>>,
    entries: Vec<EntryState>,
    home: usize,
    paused: bool,
    resumed: bool,
    in_flight: u32,
    covered: BTreeSet<&'static str>,
}

#[derive(Clone, Copy, Debug)]
enum Move {
    Ask(usize),
    StopWaiting(usize),
    Receive(usize),
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
        let state = |_| EntryState {
            entry: Entry::new(),
            assumed_home: 0,
            registered: false,
            asks: 0,
            attempt: None,
            running: false,
        };
        Self {
            now: Moment::ZERO + SETTLE_TIME,
            homes,
            to_home: Default::default(),
            to_entry: (0..ENTRIES).map(|_| VecDeque::new()).collect(),
            entries: (0..ENTRIES).map(state).collect(),
            home: 0,
            paused: false,
            resumed: false,
            in_flight: 0,
            covered: BTreeSet::new(),
        }
    }

    fn running(&self) -> u32 {
        u32::try_from(self.entries.iter().filter(|state| state.running).count()).unwrap()
    }

    fn enabled(&self) -> Vec<Move> {
        let mut moves = Vec::new();
        for (number, state) in self.entries.iter().enumerate() {
            if state.attempt.is_none() && state.asks < 2 {
                moves.push(Move::Ask(number));
            }
            if state.attempt.is_some() && !state.running {
                moves.push(Move::StopWaiting(number));
            }
            if state.running {
                moves.push(Move::End(number));
            }
            if !self.to_entry[number].is_empty() {
                moves.push(Move::Receive(number));
            }
            if self.home == 1 && !state.registered {
                moves.push(Move::Reregister(number));
            }
        }
        for home in 0..2 {
            let home_runs = home == 1 || !self.paused;
            if home_runs && !self.to_home[home].is_empty() {
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

    fn apply(&mut self, step: Move) {
        match step {
            Move::Ask(number) => self.ask(number),
            Move::StopWaiting(number) => {
                self.covered.insert("stop-waiting");
                let attempt = self.entries[number].attempt.take().unwrap();
                // The notice to the home is dropped, since the bound must also hold if it is lost.
                self.entries[number].entry.end(attempt);
            }
            Move::Receive(number) => self.receive(number),
            Move::End(number) => {
                self.covered.insert("end");
                let attempt = self.entries[number].attempt.take().unwrap();
                self.entries[number].running = false;
                let effects = self.entries[number].entry.end(attempt);
                self.send_effects(number, effects);
            }
            Move::Reregister(number) => self.reregister(number),
            Move::Serve(home) => self.serve(home),
            Move::Pause => {
                self.covered.insert("pause");
                self.paused = true;
                self.home = 1;
                let in_transit = self.to_entry.iter().flatten();
                let grants = in_transit.filter(|(_, answer)| matches!(answer.verdict, Verdict::Granted { .. }));
                self.in_flight = u32::try_from(grants.count()).unwrap();
                let rules = Rules::new("chat".parse().unwrap()).with_slots(BOUND).with_queue(0);
                let running = self.running();
                self.homes[1].adopt(self.now, engine(), rules, Some(running));
            }
            Move::Resume => {
                self.covered.insert("resume");
                self.paused = false;
                self.resumed = true;
            }
        }
        assert!(
            self.running() <= BOUND + self.in_flight,
            "{} run, with {} grants in transit at the pause",
            self.running(),
            self.in_flight
        );
    }

    fn ask(&mut self, number: usize) {
        self.covered.insert("ask");
        let state = &mut self.entries[number];
        state.asks += 1;
        let attempt = id::Attempt(number as u128 * 100 + state.asks);
        state.attempt = Some(attempt);
        let request = UpstreamRequest {
            attempt,
            profile: Profile { chat: None, returning: false, ..profile() },
            estimate: Estimate { deadline: Duration::from_secs(60), ..Estimate::default() },
            candidates: vec![engine()],
        };
        let effects = state.entry.request_upstream(self.now, &AssumedHome(state.assumed_home), request);
        self.send_effects(number, effects);
    }

    fn receive(&mut self, number: usize) {
        let (from, answer) = self.to_entry[number].pop_front().unwrap();
        let state = &mut self.entries[number];
        let (assumed_home, name) = (AssumedHome(state.assumed_home), home_name(from));
        let granted = matches!(answer.verdict, Verdict::Granted { .. });
        let effects =
            state.entry.answer(self.now, &assumed_home, &name, &answer.upstream, answer.attempt, answer.verdict);
        if granted {
            let taken = effects.iter().any(|effect| matches!(effect, Effect::Granted(_)));
            self.covered.insert(if taken { "take" } else { "return-late" });
        }
        self.send_effects(number, effects);
    }

    fn reregister(&mut self, number: usize) {
        self.covered.insert("re-register");
        let state = &mut self.entries[number];
        state.registered = true;
        state.assumed_home = 1;
        let effects = state.entry.homes_changed(self.now, &AssumedHome(1));
        let nothing_held = !effects.iter().any(|effect| matches!(effect, Effect::Renew { .. }));
        self.send_effects(number, effects);
        if nothing_held {
            self.to_home[1].push_back((number, ToHome::Register(Vec::new())));
        }
        if self.entries.iter().all(|state| state.registered) {
            // Deliver all registrations before the account settles, since the settling time is longer than entries take
            // to register.
            while let Some(index) = self.to_home[1].iter().position(|(_, frame)| matches!(frame, ToHome::Register(_))) {
                let frame = self.to_home[1].remove(index).unwrap();
                self.to_home[1].push_front(frame);
                self.serve(1);
            }
            self.now = self.now + SETTLE_TIME;
        }
    }

    fn serve(&mut self, home: usize) {
        if home == 0 && self.resumed {
            self.covered.insert("distrust");
            self.resumed = false;
            let answers = self.homes[0].restart_accounts(self.now);
            self.send_answers(0, answers);
        }
        let (from, frame) = self.to_home[home].pop_front().unwrap();
        let entry = entry_name(from);
        let running = self.running();
        self.homes[home].report_load(self.now, &engine(), running);
        let answers = match frame {
            ToHome::Ask(ask) => {
                // A router that has rejoined after its pause has learnt that it is no longer the home.
                if home == 0 && self.home == 1 && !self.paused {
                    return;
                }
                self.homes[home].request_permit(self.now, &entry, ask)
            }
            ToHome::Release(attempt) => {
                self.covered.insert("release");
                self.homes[home].release(self.now, &entry, &engine(), &[attempt])
            }
            ToHome::Register(held) => {
                self.covered.insert("register");
                self.homes[home].renew(self.now, &entry, &held)
            }
        };
        self.send_answers(home, answers);
        assert_eq!(self.homes[home].counts().violations, 0);
    }

    fn send_answers(&mut self, home: usize, answers: Vec<Answer>) {
        for answer in answers {
            let granted = matches!(answer.verdict, Verdict::Granted { .. });
            self.covered.insert(if granted { "grant" } else { "overflow" });
            let number = (0..ENTRIES).find(|number| entry_name(*number) == answer.to).unwrap();
            self.to_entry[number].push_back((home, answer));
        }
    }

    fn send_effects(&mut self, number: usize, effects: Vec<Effect>) {
        for effect in effects {
            let home = |to: &id::Router| usize::from(to == &home_name(1));
            match effect {
                Effect::Ask { to, ask } => self.to_home[home(&to)].push_back((number, ToHome::Ask(ask))),
                Effect::Release { to, attempt, .. } => {
                    self.to_home[home(&to)].push_back((number, ToHome::Release(attempt)));
                }
                Effect::Renew { to, held } => self.to_home[home(&to)].push_back((number, ToHome::Register(held))),
                Effect::Granted(_) => self.entries[number].running = true,
                Effect::Refused { .. } => self.entries[number].attempt = None,
                Effect::Forget { .. } | Effect::Moved { .. } => {}
            }
        }
    }
}

/// Replays the moves that `path` picks, and returns the number of moves enabled after them.
fn replay(path: &[usize], covered: &mut BTreeSet<&'static str>) -> usize {
    let mut model = Model::new();
    for pick in path {
        let step = model.enabled()[*pick];
        model.apply(step);
    }
    covered.extend(model.covered.iter());
    model.enabled().len()
}

#[test]
fn the_bound_holds_in_every_replayed_order_of_the_specs_moves() {
    let mut covered = BTreeSet::new();
    let mut paths = 0_u64;
    // Covers the first levels of the tree of moves completely, and continues from there with seeded random walks.
    let mut complete: Vec<Vec<usize>> = vec![Vec::new()];
    for _ in 0..5 {
        let mut longer = Vec::new();
        for path in complete {
            let choices = replay(&path, &mut covered);
            paths += 1;
            longer.extend((0..choices).map(|pick| [&path[..], &[pick]].concat()));
        }
        complete = longer;
    }
    let mut walk = Walk::new(7);
    for start in complete.iter().cycle().take(60_000) {
        let mut path = start.clone();
        while path.len() < MAX_DEPTH {
            let choices = count_choices(&path);
            if choices == 0 {
                break;
            }
            path.push(walk.pick(choices));
        }
        replay(&path, &mut covered);
        paths += 1;
    }
    assert!(paths > 60_000);
    let missing: Vec<_> =
        spec_moves("permits.pml").into_iter().filter(|label| !covered.contains(label.as_str())).collect();
    assert!(missing.is_empty(), "the code never performed the specification's moves {missing:?}");
}

fn count_choices(path: &[usize]) -> usize {
    replay(path, &mut BTreeSet::new())
}

#[test]
fn the_moves_here_match_those_of_the_spec() {
    let here: BTreeSet<_> = MOVES.iter().filter(|name| **name != "none").map(|name| (*name).to_owned()).collect();
    assert_eq!(spec_moves("permits.pml"), here);
}
