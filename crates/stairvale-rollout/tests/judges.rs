//! Two judges on the same seeded histories: the one that decides, and a bound on counts beside it.
//!
//! A history is a service's answers over a trial and the move after it, with a trouble that hits both versions alike or
//! single upstreams, or with a version that is bad. `cargo test -p stairvale-rollout --test judges -- --nocapture` prints
//! the comparison.

#![allow(clippy::unwrap_used, clippy::print_stdout, clippy::cast_precision_loss)]

mod world;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use stairvale_rollout::{Answer, Judge, Observation};
use stairvale_types::{Moment, id};
use world::{Dice, Route, TICK, upstream};

/// What judges have in common.
trait Judging: Default {
    fn observe(&mut self, now: Moment, observation: &Observation);
    fn is_bad(&mut self, now: Moment) -> bool;
    /// Whether it asks for other upstreams to be tried, too.
    fn suspects(&self) -> bool;
}

impl Judging for Judge {
    fn observe(&mut self, now: Moment, observation: &Observation) {
        self.observe(now, observation);
    }

    fn is_bad(&mut self, now: Moment) -> bool {
        self.settle(now);
        self.verdict(now).is_some()
    }

    fn suspects(&self) -> bool {
        self.suspects()
    }
}

// --------------------------------------------------------------------------------------------------------------------
// A bound on counts: the difference of two shares, with its standard error

/// Standard errors by which the new version's share of bad answers must be higher...
const ERRORS: f64 = 3.0;
/// ... beyond this much.
const MARGIN: f64 = 0.03;
/// Half-life of the counts, in seconds: with a longer one a version that turns bad late is found late.
const HALF: f64 = 4.0;

#[derive(Clone, Copy, Default)]
struct Fading {
    answers: f64,
    bad: f64,
}

#[derive(Default)]
struct CountsJudge {
    faded: Moment,
    old: BTreeMap<id::Route, Fading>,
    new: BTreeMap<(id::Route, id::Upstream), Fading>,
}

impl CountsJudge {
    fn fade(&mut self, now: Moment) {
        let kept = (-now.since(self.faded).as_secs_f64() / HALF).exp2();
        self.faded = now;
        for counts in self.old.values_mut().chain(self.new.values_mut()) {
            counts.answers *= kept;
            counts.bad *= kept;
        }
    }

    /// Whether a route is bad at the new version, without one upstream.
    fn is_route_bad(&self, route: id::Route, without: Option<&id::Upstream>) -> bool {
        let old = self.old.get(&route).copied().unwrap_or_default();
        let new = self.new.iter().filter(|((of, at), _)| *of == route && Some(at) != without);
        let new = new.fold(Fading::default(), |sum, (_, counts)| Fading {
            answers: sum.answers + counts.answers,
            bad: sum.bad + counts.bad,
        });
        if new.bad < 4.0 || old.answers < 15.0 {
            return false;
        }
        // Agresti and Caffo, 2000: one good and one bad answer more on each side keep the error from being none.
        let share = |counts: Fading| (counts.bad + 1.0) / (counts.answers + 2.0);
        let error = |counts: Fading| share(counts) * (1.0 - share(counts)) / (counts.answers + 2.0);
        share(new) - share(old) > MARGIN + ERRORS * (error(old) + error(new)).sqrt()
    }
}

impl Judging for CountsJudge {
    fn observe(&mut self, now: Moment, observation: &Observation) {
        if now > self.faded {
            self.fade(now);
        }
        let counts = if observation.is_new {
            self.new.entry((observation.route, observation.upstream.clone())).or_default()
        } else {
            self.old.entry(observation.route).or_default()
        };
        counts.answers += 1.0;
        counts.bad += f64::from(u8::from(observation.answer != Answer::Good));
    }

    fn is_bad(&mut self, _now: Moment) -> bool {
        self.old.keys().any(|route| {
            let tried: BTreeSet<_> = self.new.keys().filter(|(of, _)| of == route).map(|(_, at)| at).collect();
            tried.len() > 1
                && self.is_route_bad(*route, None)
                && tried.iter().all(|upstream| self.is_route_bad(*route, Some(upstream)))
        })
    }

    fn suspects(&self) -> bool {
        self.old.keys().any(|route| self.is_route_bad(*route, None))
    }
}

// --------------------------------------------------------------------------------------------------------------------
// Histories

/// What happens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Case {
    Calm,
    /// A third of the upstreams of both versions can't be reached for three seconds.
    CutZone,
    /// Everything is slow for three seconds, four answers in ten.
    Burst,
    /// A quarter of the upstreams of both versions crash: each fails a few requests and gets no more.
    Crash,
    /// One upstream in twenty, or one, fails half of its requests.
    Grey,
    /// One upstream of the new version fails everything in every second second.
    Flap,
    /// Each upstream of the new version is slow in its first answers.
    Cold,
    HalfFailing,
    TenthFailing,
    Slow,
    Late,
    OneRoute,
    UnderLoad,
}

const GOOD: [Case; 7] = [Case::Calm, Case::CutZone, Case::Burst, Case::Crash, Case::Grey, Case::Flap, Case::Cold];
const BAD: [Case; 6] = [Case::HalfFailing, Case::TenthFailing, Case::Slow, Case::Late, Case::OneRoute, Case::UnderLoad];

/// A service: upstreams of each version, its routes, and how a trial is spread.
struct Site {
    name: &'static str,
    upstreams: usize,
    routes: Vec<Route>,
    /// Requests of a spell, upstreams that it goes to, seconds between spells.
    spell: (u32, usize, f64),
}

fn sites() -> Vec<Site> {
    let route = |name, rate, failing| Route { name, rate, failing, is_repeatable: true };
    vec![
        Site {
            name: "60 engines",
            upstreams: 60,
            routes: vec![route("digest", 65.6, 0.005), route("draft", 145.0, 0.005), route("note", 67.9, 0.005)],
            spell: (22, 5, 1.0),
        },
        Site {
            name: "3 plain",
            upstreams: 3,
            routes: vec![route("post", 94.1, 0.14), route("read", 21.7, 0.005)],
            spell: (20, 1, 2.0),
        },
        Site {
            name: "12 of 4 routes",
            upstreams: 12,
            routes: vec![route("a", 40.0, 0.01), route("b", 30.0, 0.01), route("c", 5.0, 0.01), route("d", 20.0, 0.05)],
            spell: (12, 1, 1.0),
        },
    ]
}

struct History<'a> {
    site: &'a Site,
    case: Case,
    dice: Dice,
    /// When the trouble begins, and which upstreams it hits, of 0 to twice the upstreams: the new version's come first.
    start: f64,
    hit: BTreeSet<usize>,
    served: BTreeMap<usize, u32>,
    failed: BTreeMap<usize, u32>,
}

/// What became of a history.
#[derive(Default)]
struct Outcome {
    bad_at_verdict: Option<u32>,
    /// Seconds from the first bad answer to the verdict.
    time: f64,
}

impl<'a> History<'a> {
    fn new(site: &'a Site, case: Case, seed: u64) -> Self {
        let mut dice = Dice::new(seed);
        let all = 2 * site.upstreams;
        let start = 1.0 + 8.0 * dice.share();
        let mut hit = BTreeSet::new();
        match case {
            Case::CutZone => hit.extend((0..all).filter(|number| number % 3 == 1)),
            Case::Crash => {
                for side in [0, site.upstreams] {
                    let mut crashed = BTreeSet::new();
                    while 4 * crashed.len() < site.upstreams {
                        crashed.insert(side + dice.below(site.upstreams));
                    }
                    hit.extend(crashed);
                }
            }
            Case::Grey => hit.extend((0..(all / 20).max(1)).map(|_| dice.below(all))),
            Case::Flap => {
                hit.insert(dice.below(site.upstreams));
            }
            Case::Calm | Case::Burst | Case::Cold => {}
            Case::HalfFailing | Case::TenthFailing | Case::Slow | Case::Late | Case::OneRoute | Case::UnderLoad => {}
        }
        Self { site, case, dice, start, hit, served: BTreeMap::new(), failed: BTreeMap::new() }
    }

    /// What an upstream answers, and whether that is the case's doing and not the route's.
    fn answer(&mut self, at: f64, route: &Route, number: usize, is_loaded: bool) -> (Answer, bool) {
        let is_new = number < self.site.upstreams;
        let served = self.served.entry(number).or_default();
        *served += 1;
        let served = *served;
        let is_hit = self.hit.contains(&number);
        let lasts = at >= self.start && at < self.start + 3.0;
        let dice = &mut self.dice;
        let (failing, slow) = match self.case {
            Case::Calm => (0.0, 0.0),
            Case::CutZone if lasts && is_hit => (0.9, 0.0),
            Case::Burst if lasts => (0.05, 0.4),
            Case::Crash if at >= self.start && is_hit => (1.0, 0.0),
            Case::Grey if is_hit => (0.5, 0.0),
            Case::Flap if is_hit && at % 2.0 < 1.0 => (1.0, 0.0),
            Case::Cold if is_new && served <= 2 => (0.0, 0.9),
            Case::CutZone | Case::Burst | Case::Crash | Case::Grey | Case::Flap | Case::Cold => (0.0, 0.0),
            Case::HalfFailing if is_new => (0.5, 0.0),
            Case::TenthFailing if is_new => (0.1, 0.0),
            Case::Slow if is_new => (0.0, 0.5),
            Case::Late if is_new && at > 5.0 => (0.5, 0.0),
            Case::OneRoute if is_new && route.name == self.site.routes[0].name => (0.5, 0.0),
            Case::UnderLoad if is_new && is_loaded => (0.5, 0.0),
            Case::HalfFailing | Case::TenthFailing | Case::Slow => (0.0, 0.0),
            Case::Late | Case::OneRoute | Case::UnderLoad => (0.0, 0.0),
        };
        if dice.hits(failing) {
            (Answer::Failed, true)
        } else if dice.hits(route.failing) {
            (Answer::Failed, false)
        } else if dice.hits(slow) {
            (Answer::Slow, true)
        } else {
            (Answer::Good, false)
        }
    }

    /// One of these upstreams, of so many from a first one on. The pool leaves those that crashed, a second or three requests
    /// after, and takes another one of the same version.
    fn pick(&mut self, among: &[usize], from: usize, at: f64) -> usize {
        let mut number = among[self.dice.below(among.len())];
        for _ in 0..100 {
            if self.case != Case::Crash || at < self.start || !self.hit.contains(&number) {
                break;
            }
            let failed = self.failed.entry(number).or_default();
            if *failed < 3 && at < self.start + 1.0 {
                *failed += 1;
                break;
            }
            number = from + self.dice.below(self.site.upstreams);
        }
        number
    }

    /// Plays it: ten seconds of trial, a rehearsal, and four seconds in which the fleet moves.
    fn play<J: Judging>(mut self) -> Outcome {
        let mut judge = J::default();
        let mut outcome = Outcome::default();
        let total: f64 = self.site.routes.iter().map(|route| route.rate).sum();
        let (size, over, every) = self.site.spell;
        let upstreams = self.site.upstreams;
        let (mut bad, mut first_bad) = (0, None);
        let (mut left, mut spell, mut due, mut first, mut due_at) = (0.0, 0, over, 0, 0.5);
        let mut now = Moment::from_millis(1_000);
        let begin = now;
        while now.since(begin) < Duration::from_secs(15) {
            now = now + TICK;
            let at = now.since(begin).as_secs_f64();
            let is_moving = at > 11.0;
            if at >= due_at {
                due_at += every;
                let is_rehearsal = at > 9.5;
                spell = if is_rehearsal {
                    2 * size
                } else if at < 1.0 {
                    size.min(10)
                } else {
                    size
                };
                due = if is_rehearsal { upstreams } else { over.max(if judge.suspects() { 3 } else { 1 }) };
                first = self.dice.below(upstreams);
            }
            left += total * TICK.as_secs_f64();
            let mut observations = Vec::new();
            while left >= 1.0 {
                left -= 1.0;
                let route = self.route(total);
                let goes = spell > 0 && self.dice.hits(due as f64 / (due + upstreams) as f64);
                // While the fleet moves, the old upstreams get a few requests that find no room.
                let is_new = if is_moving { !self.dice.hits(0.02) } else { goes };
                let among: Vec<usize> = if is_new && !is_moving {
                    spell -= 1;
                    (0..due).map(|number| (first + number) % upstreams).collect()
                } else if is_new {
                    (0..upstreams).collect()
                } else {
                    (upstreams..2 * upstreams).collect()
                };
                let number = self.pick(&among, if is_new { 0 } else { upstreams }, at);
                let (answer, is_of_case) = self.answer(at, &route, number, true);
                if is_new && is_of_case {
                    bad += 1;
                    first_bad.get_or_insert(at);
                }
                let route = id::Route::of(route.name);
                observations.push(Observation { route, upstream: upstream(number), is_new, answer });
            }
            observations.sort_by_key(|observation| observation.is_new);
            for observation in &observations {
                judge.observe(now, observation);
            }
            if judge.is_bad(now) {
                outcome.bad_at_verdict = Some(bad);
                outcome.time = at - first_bad.unwrap_or(at);
                return outcome;
            }
        }
        outcome
    }

    fn route(&mut self, total: f64) -> Route {
        let mut at = self.dice.share() * total;
        for route in &self.site.routes {
            if at < route.rate {
                return *route;
            }
            at -= route.rate;
        }
        self.site.routes[0]
    }
}

/// Histories of each case: wrongly rolled back, or missed, found after more than 25 bad answers, the most, the mean, and the
/// mean time in seconds.
struct Row {
    found: u32,
    late: u32,
    most: u32,
    mean: f64,
    time: f64,
}

fn judge<J: Judging>(site: &Site, case: Case, seeds: std::ops::Range<u64>) -> Row {
    let mut row = Row { found: 0, late: 0, most: 0, mean: 0.0, time: 0.0 };
    for seed in seeds {
        let outcome = History::new(site, case, seed).play::<J>();
        if let Some(bad) = outcome.bad_at_verdict {
            row.found += 1;
            row.late += u32::from(bad > 25);
            row.most = row.most.max(bad);
            row.mean += f64::from(bad);
            row.time += outcome.time;
        }
    }
    let found = f64::from(row.found.max(1));
    Row { mean: row.mean / found, time: row.time / found, ..row }
}

const SEEDS: u64 = 200;

/// A tenth more of failures isn't told from chance within a small service's trial, some 140 answers, where its routes fail by
/// themselves; all else is found.
fn may_be_missed(site: &Site, case: Case) -> bool {
    case == Case::TenthFailing && site.upstreams < 60
}

#[test]
fn the_sequential_test_finds_more_and_is_wrong_less_than_the_bound_on_counts() {
    println!("of {SEEDS}: found (over 25 bad answers: of these), most and mean bad answers, mean seconds");
    println!("{:<16}{:<14}{:>34}{:>34}", "", "", "sequential", "counts");
    let (mut wrong, mut missed, mut late) = ([0, 0], [0, 0], [0, 0]);
    let mut faults = Vec::new();
    for site in &sites() {
        for case in GOOD.into_iter().chain(BAD) {
            let rows = [judge::<Judge>(site, case, 0..SEEDS), judge::<CountsJudge>(site, case, 0..SEEDS)];
            let texts = rows.each_ref().map(|row| {
                format!("{:>4} ({:>3}), {:>4}, {:>6.1}, {:>5.2} s", row.found, row.late, row.most, row.mean, row.time)
            });
            println!("{:<16}{:<14}{:>34}{:>34}", site.name, format!("{case:?}"), texts[0], texts[1]);
            let is_good = GOOD.contains(&case);
            for (judge, row) in rows.iter().enumerate() {
                if is_good {
                    wrong[judge] += row.found;
                } else {
                    missed[judge] += u32::try_from(SEEDS).unwrap() - row.found;
                    late[judge] += row.late;
                }
            }
            let [row, _] = rows;
            let is_missed = !is_good && u64::from(row.found) < SEEDS && !may_be_missed(site, case);
            // With three upstreams, of which the worst is left out, the others' bad answers come later.
            let is_late = !is_good && row.late > 0 && site.upstreams > 3 && case != Case::TenthFailing;
            if is_good && row.found > 0 || is_missed || is_late {
                faults.push(format!("{} {case:?}: {} found, {} late", site.name, row.found, row.late));
            }
        }
    }
    println!("good ones rolled back {wrong:?}, bad ones missed {missed:?}, found after the 25th bad answer {late:?}");
    assert!(faults.is_empty(), "{faults:#?}");
    for counts in [wrong, missed, late] {
        assert!(counts[0] < counts[1], "{counts:?}");
    }
}
