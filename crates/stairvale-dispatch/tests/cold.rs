//! What cold upstreams are given, whoever decides; and what is kept to some regions.

#![allow(clippy::unwrap_used, clippy::cast_precision_loss)]

use std::{collections::VecDeque, time::Duration};

use quickcheck::{Arbitrary, Gen, TestResult, quickcheck};
use stairvale_dispatch::{
    Answer, Ask, Listing, Outcome, Part, Pool, Verdict,
    pool::{Cold, Rules},
};
use stairvale_types::{Moment, id, outcome::Reason, unit};

/// Requests a second that a cold engine bears in these tests, and the bound.
const PACE: f64 = 9.6;
const BOUND: f64 = 19.4;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn rules(pace: f64) -> Rules {
    let cold = Cold { pace, bound: pace * 1.5 + 5.0, time: Duration::from_secs(3) };
    let engine = Some(unit::Tokens(100_000));
    Rules { engine, copies: true, multiple: 0.0, slack: 3.0, cold: Some(cold) }
}

fn listing(name: &str, zone: &str, cold: u64, revision: u64) -> Listing {
    let cold = Duration::from_millis(cold);
    Listing {
        id: name.parse().unwrap(),
        zone: zone.parse().unwrap(),
        slots: 64,
        usable: true,
        cold,
        revision,
        version: None,
    }
}

fn ask(number: u128, parts: &[(u64, u32)]) -> Ask {
    Ask {
        attempt: id::Attempt(number),
        entry: "r1".parse().unwrap(),
        zone: "a".parse().unwrap(),
        customer: None,
        route: id::Route(0),
        fingerprint: id::Fingerprint::default(),
        priority: 1,
        repeatable: true,
        parts: parts.iter().map(|(id, tokens)| Part { id: *id, tokens: *tokens }).collect(),
        output: 50,
        objective: Duration::from_millis(500),
        patience: Duration::ZERO,
        avoid: Vec::new(),
        within: None,
        seen: None,
    }
}

fn place(answers: &[Answer], number: u128) -> Option<id::Upstream> {
    answers.iter().filter(|answer| answer.attempt == id::Attempt(number)).find_map(|answer| match &answer.verdict {
        Verdict::Granted { upstream, .. } => Some(upstream.clone()),
        Verdict::Refused(_) => None,
    })
}

/// Requests that a pool grants when asked for so many at once, each of which ends at once.
fn granted(pool: &mut Pool, now: Moment, from: u128, count: u128) -> usize {
    let numbers = from..from + count;
    let granted = numbers.filter(|number| {
        let own = u64::try_from(*number).unwrap();
        let answers = pool.ask(now, ask(*number, &[(1_000 + own, 100)]));
        pool.release(now, id::Attempt(*number), Outcome::Served, None);
        place(&answers, *number).is_some()
    });
    granted.count()
}

#[test]
fn a_cold_engine_gets_less_than_half_of_its_bound_from_one_home() {
    let mut pool = Pool::new(rules(PACE));
    pool.set_members(at(0), &[listing("e0", "a", 3_000, 1)]);
    let first = granted(&mut pool, at(10), 0, 100);
    assert!(first > 4 && first as f64 <= BOUND * 0.4, "{first}");
    assert_eq!(granted(&mut pool, at(1_000), 100, 100), 0);
    assert_eq!(granted(&mut pool, at(1_300), 200, 100), first);
    // Warm again.
    assert_eq!(granted(&mut pool, at(4_000), 300, 100), 100);
}

#[test]
fn an_engine_that_says_it_is_cold_again_is_limited_and_holds_nothing() {
    let mut pool = Pool::new(rules(PACE));
    pool.set_members(at(0), &[listing("e0", "a", 0, 1), listing("e1", "a", 0, 1)]);
    let prompt = [(7, 2_000), (8, 6_000), (100, 500)];
    let first = place(&pool.ask(at(1), ask(1, &prompt)), 1).unwrap();
    pool.begun(at(40), id::Attempt(1), Duration::from_millis(40));
    pool.release(at(50), id::Attempt(1), Outcome::Served, None);
    let held = |pool: &Pool| pool.prefixes().map(|(_, parts)| parts.len()).sum::<usize>();
    assert_eq!(held(&pool), 2);
    let cold = listing(&first.to_string(), "a", 2_000, 2);
    let other = if first.to_string() == "e0" { "e1" } else { "e0" };
    pool.set_members(at(100), &[cold.clone(), listing(other, "a", 0, 1)]);
    assert_eq!(held(&pool), 0);
    // The same word again changes nothing: it is as old as it was.
    let mut only = cold;
    only.cold = Duration::from_millis(2_000);
    pool.set_members(at(1_900), &[only]);
    assert!(granted(&mut pool, at(1_950), 10, 50) < 10);
    assert_eq!(granted(&mut pool, at(2_200), 100, 50), 50);
}

#[test]
fn nothing_goes_to_cold_engines_that_bear_nothing() {
    let mut pool = Pool::new(rules(0.0));
    pool.set_members(at(0), &[listing("e0", "a", 3_000, 1)]);
    let answers = pool.ask(at(10), ask(1, &[(1, 100)]));
    let refused = |answer: &Answer| match &answer.verdict {
        Verdict::Refused(refusal) => Some(refusal.reason),
        Verdict::Granted { .. } => None,
    };
    assert_eq!(answers.iter().find_map(refused), Some(Reason::Busy));
}

#[test]
fn cold_engines_at_an_unknown_pace_are_a_last_resort() {
    let mut pool = Pool::new(Rules { cold: None, ..rules(0.0) });
    pool.set_members(at(0), &[listing("e0", "a", 3_000, 1), listing("e1", "a", 0, 1)]);
    for number in 0..20 {
        let answers = pool.ask(at(10), ask(number, &[(1_000 + u64::try_from(number).unwrap(), 100)]));
        assert_eq!(place(&answers, number), Some("e1".parse().unwrap()));
    }
    pool.set_members(at(20), &[listing("e0", "a", 3_000, 1)]);
    assert!(place(&pool.ask(at(30), ask(30, &[(1, 100)])), 30).is_some());
}

#[test]
fn one_that_appears_later_and_those_of_a_zone_taken_back_are_cold_until_time_shows() {
    let mut pool = Pool::new(rules(PACE));
    pool.set_members(at(0), &[listing("e0", "a", 0, 1)]);
    pool.set_members(at(100), &[listing("e0", "a", 0, 1), listing("e1", "b", 0, 2)]);
    let cold = |pool: &Pool, now| pool.members().map(|member| member.is_cold(now)).collect::<Vec<_>>();
    assert_eq!(cold(&pool, at(3_000)), [false, true]);
    assert_eq!(cold(&pool, at(3_200)), [false, false]);
    pool.take_back(at(5_000), &"a".parse().unwrap());
    assert_eq!(cold(&pool, at(7_900)), [true, false]);
}

#[test]
fn who_has_just_become_the_home_or_only_stands_in_for_it_gives_nothing_to_cold_engines() {
    let mut pool = Pool::new(rules(PACE));
    pool.set_members(at(0), &[listing("e0", "a", 60_000, 1)]);
    pool.set_share(at(5), 0.0);
    assert_eq!(granted(&mut pool, at(10), 0, 50), 0);
    pool.set_share(at(100), 1.0);
    assert_eq!(granted(&mut pool, at(1_300), 100, 50), 0);
    let all = granted(&mut pool, at(1_400), 200, 50);
    pool.set_share(at(3_000), 0.5);
    let half = granted(&mut pool, at(3_000), 300, 50);
    assert!(half > 0 && half <= all / 2, "{half} of {all}");
}

#[test]
fn a_request_that_is_kept_to_zones_goes_nowhere_else_and_copies_from_nowhere_else() {
    let mut pool = Pool::new(rules(PACE));
    pool.set_members(at(0), &[listing("e0", "a", 0, 1), listing("e1", "b", 0, 1)]);
    let prompt = [(7, 2_000), (8, 6_000), (100, 500)];
    let kept = |number, zones: &[&str]| {
        let within = Some(zones.iter().map(|zone| zone.parse().unwrap()).collect());
        Ask { within, ..ask(number, &prompt) }
    };
    assert_eq!(place(&pool.ask(at(1), kept(1, &["b"])), 1), Some("e1".parse().unwrap()));
    pool.begun(at(40), id::Attempt(1), Duration::from_millis(40));
    for number in 2..6 {
        let answers = pool.ask(at(50), kept(number, &["a"]));
        let verdict = answers.into_iter().find(|answer| answer.attempt == id::Attempt(number)).unwrap().verdict;
        let Verdict::Granted { upstream, source, .. } = verdict else { panic!("refused") };
        assert_eq!((upstream, source), ("e0".parse().unwrap(), None));
        pool.begun(at(51), id::Attempt(number), Duration::from_millis(40));
    }
    let answers = pool.ask(at(60), kept(10, &[]));
    assert!(matches!(&answers[0].verdict, Verdict::Refused(refusal) if refusal.reason == Reason::NoUpstream));
}

/// What happens to a fleet of routers that may all decide for one cold engine.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// So many ms pass.
    Pass(u8),
    /// Entries ask the home for this many places.
    Ask(u8),
    /// Entries don't hear of the home, and decide by themselves.
    StandIn(u8),
    /// The home dies, and the next router takes over.
    Inherit,
    /// The fleet is cut in two, and each side has a home of its own; or it is whole again.
    Cut(bool),
    /// The engine's entry is written again.
    Rewrite,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 10 {
            0..=2 => Self::Pass(u8::arbitrary(g)),
            3..=5 => Self::Ask(u8::arbitrary(g) % 40),
            6 => Self::StandIn(u8::arbitrary(g) % 40),
            7 => Self::Inherit,
            8 => Self::Cut(bool::arbitrary(g)),
            _ => Self::Rewrite,
        }
    }
}

quickcheck! {
    /// Grants, heirs, stand-ins, two sides of a cut and entries that come late, in any order: what a cold engine gets in any
    /// second stays below the bound, sends that are up to 240 ms late included.
    fn no_second_holds_more_than_a_cold_engine_may_get(routers: u8, delays: Vec<u8>, steps: Vec<Step>) -> TestResult {
        let routers = usize::from(routers % 80) + 3;
        if delays.is_empty() {
            return TestResult::discard();
        }
        let mut pools: Vec<_> = (0..routers).map(|_| Pool::new(rules(PACE))).collect();
        let mut revision = 1;
        for pool in &mut pools {
            pool.set_members(at(0), &[listing("e0", "a", 60_000, revision)]);
        }
        let (mut now, mut number, mut home, mut cut) = (10_u64, 0_u128, 0_usize, false);
        let mut sent: VecDeque<u64> = VecDeque::new();
        for step in steps {
            // The home of the far side is the last router.
            let homes = if cut { vec![home, routers - 1] } else { vec![home] };
            for (index, pool) in pools.iter_mut().enumerate() {
                let part = match (homes.contains(&index), cut) {
                    (true, false) => routers,
                    (true, true) if index == home => routers / 2,
                    (true, true) => routers - routers / 2,
                    (false, _) => 0,
                };
                pool.set_share(at(now), part as f64 / routers as f64);
            }
            let deciders: Vec<usize> = match step {
                Step::Ask(count) => (0..usize::from(count)).map(|index| homes[index % homes.len()]).collect(),
                Step::StandIn(count) => (0..usize::from(count)).map(|index| index % routers).collect(),
                Step::Pass(millis) => {
                    now += u64::from(millis) * 4;
                    continue;
                }
                Step::Inherit => {
                    home = (home + 1) % (routers - 1);
                    continue;
                }
                Step::Cut(is) => {
                    cut = is;
                    continue;
                }
                Step::Rewrite => {
                    revision += 1;
                    for pool in &mut pools {
                        pool.set_members(at(now), &[listing("e0", "a", 60_000, revision)]);
                    }
                    continue;
                }
            };
            for decider in deciders {
                number += 1;
                let parts = [(1_000 + number as u64, 100)];
                let answers = pools[decider].ask(at(now), ask(number, &parts));
                pools[decider].release(at(now), id::Attempt(number), Outcome::Served, None);
                if place(&answers, number).is_none() {
                    continue;
                }
                let delay = u64::from(delays[number as usize % delays.len()]) * 240 / 255;
                sent.push_back(now + delay);
            }
        }
        let mut sent: Vec<_> = sent.into();
        sent.sort_unstable();
        let most = sent.iter().map(|from| sent.iter().filter(|at| *at >= from && *at - from < 1_000).count()).max();
        TestResult::from_bool(most.unwrap_or(0) as f64 <= BOUND)
    }
}
