//! Limits on requests to cold upstreams, whichever router decides, and requests restricted to some zones.

#![allow(clippy::unwrap_used, clippy::cast_precision_loss)]

use std::{collections::VecDeque, time::Duration};

use quickcheck::{Arbitrary, Gen, TestResult, quickcheck};
use stairvale_dispatch::{
    Answer, Ask, Listing, Outcome, Part, Pool, Verdict,
    pool::{ColdLimits, Rules},
};
use stairvale_types::{Moment, id, outcome::Reason, unit};

/// Requests per second that a cold engine sustains in these tests.
const COLD_RATE: f64 = 9.6;
/// Requests that a cold engine may get in any second.
const COLD_BOUND: f64 = 19.4;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn rules(rate: f64) -> Rules {
    let cold = ColdLimits { pace: rate, bound: rate * 1.5 + 5.0, time: Duration::from_secs(3) };
    let engine = Some(unit::Tokens(100_000));
    Rules { engine, copies: true, load_multiple: 0.0, load_slack: 3.0, cold: Some(cold) }
}

fn listing(name: &str, zone: &str, cold_ms: u64, revision: u64) -> Listing {
    let cold = Duration::from_millis(cold_ms);
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

fn request(number: u128, parts: &[(u64, u32)]) -> Ask {
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

fn granted_upstream(answers: &[Answer], number: u128) -> Option<id::Upstream> {
    answers.iter().filter(|answer| answer.attempt == id::Attempt(number)).find_map(|answer| match &answer.verdict {
        Verdict::Granted { upstream, .. } => Some(upstream.clone()),
        Verdict::Refused(_) => None,
    })
}

/// Sends `count` requests at once, each of which ends at once, and returns how many of them the pool grants.
fn count_grants(pool: &mut Pool, now: Moment, from: u128, count: u128) -> usize {
    let numbers = from..from + count;
    let granted = numbers.filter(|number| {
        let prompt = u64::try_from(*number).unwrap();
        let answers = pool.ask(now, request(*number, &[(1_000 + prompt, 100)]));
        pool.release(now, id::Attempt(*number), Outcome::Served, None);
        granted_upstream(&answers, *number).is_some()
    });
    granted.count()
}

#[test]
fn one_home_gives_a_cold_engine_less_than_half_of_its_bound() {
    let mut pool = Pool::new(rules(COLD_RATE));
    pool.set_members(at(0), &[listing("e0", "a", 3_000, 1)]);
    let first = count_grants(&mut pool, at(10), 0, 100);
    assert!(first > 4 && first as f64 <= COLD_BOUND * 0.4, "{first}");
    assert_eq!(count_grants(&mut pool, at(1_000), 100, 100), 0);
    assert_eq!(count_grants(&mut pool, at(1_300), 200, 100), first);
    // The engine is warm again.
    assert_eq!(count_grants(&mut pool, at(4_000), 300, 100), 100);
}

#[test]
fn an_engine_that_is_reported_cold_again_is_limited_and_loses_its_prefixes() {
    let mut pool = Pool::new(rules(COLD_RATE));
    pool.set_members(at(0), &[listing("e0", "a", 0, 1), listing("e1", "a", 0, 1)]);
    let prompt = [(7, 2_000), (8, 6_000), (100, 500)];
    let first = granted_upstream(&pool.ask(at(1), request(1, &prompt)), 1).unwrap();
    pool.record_first_event(at(40), id::Attempt(1), Duration::from_millis(40));
    pool.release(at(50), id::Attempt(1), Outcome::Served, None);
    let held = |pool: &Pool| pool.prefixes().map(|(_, parts)| parts.len()).sum::<usize>();
    assert_eq!(held(&pool), 2);
    let cold = listing(&first.to_string(), "a", 2_000, 2);
    let other = if first.to_string() == "e0" { "e1" } else { "e0" };
    pool.set_members(at(100), &[cold.clone(), listing(other, "a", 0, 1)]);
    assert_eq!(held(&pool), 0);
    // The same listing again changes nothing: its revision is the earlier one, so that the time still counts from then.
    let mut repeated = cold;
    repeated.cold = Duration::from_millis(2_000);
    pool.set_members(at(1_900), &[repeated]);
    assert!(count_grants(&mut pool, at(1_950), 10, 50) < 10);
    assert_eq!(count_grants(&mut pool, at(2_200), 100, 50), 50);
}

#[test]
fn cold_engines_that_sustain_no_requests_get_none() {
    let mut pool = Pool::new(rules(0.0));
    pool.set_members(at(0), &[listing("e0", "a", 3_000, 1)]);
    let answers = pool.ask(at(10), request(1, &[(1, 100)]));
    let refused = |answer: &Answer| match &answer.verdict {
        Verdict::Refused(refusal) => Some(refusal.reason),
        Verdict::Granted { .. } => None,
    };
    assert_eq!(answers.iter().find_map(refused), Some(Reason::Busy));
}

#[test]
fn cold_engines_of_unknown_capacity_are_a_last_resort() {
    let mut pool = Pool::new(Rules { cold: None, ..rules(0.0) });
    pool.set_members(at(0), &[listing("e0", "a", 3_000, 1), listing("e1", "a", 0, 1)]);
    for number in 0..20 {
        let answers = pool.ask(at(10), request(number, &[(1_000 + u64::try_from(number).unwrap(), 100)]));
        assert_eq!(granted_upstream(&answers, number), Some("e1".parse().unwrap()));
    }
    pool.set_members(at(20), &[listing("e0", "a", 3_000, 1)]);
    assert!(granted_upstream(&pool.ask(at(30), request(30, &[(1, 100)])), 30).is_some());
}

#[test]
fn new_engines_and_those_of_a_restored_zone_count_as_cold_for_a_while() {
    let mut pool = Pool::new(rules(COLD_RATE));
    pool.set_members(at(0), &[listing("e0", "a", 0, 1)]);
    pool.set_members(at(100), &[listing("e0", "a", 0, 1), listing("e1", "b", 0, 2)]);
    let cold = |pool: &Pool, now| pool.members().map(|member| member.is_cold(now)).collect::<Vec<_>>();
    assert_eq!(cold(&pool, at(3_000)), [false, true]);
    assert_eq!(cold(&pool, at(3_200)), [false, false]);
    pool.presume_zone_cold(at(5_000), &"a".parse().unwrap());
    assert_eq!(cold(&pool, at(7_900)), [true, false]);
}

#[test]
fn a_new_home_and_an_entry_without_a_home_give_nothing_to_cold_engines() {
    let mut pool = Pool::new(rules(COLD_RATE));
    pool.set_members(at(0), &[listing("e0", "a", 60_000, 1)]);
    pool.set_cold_share(at(5), 0.0);
    assert_eq!(count_grants(&mut pool, at(10), 0, 50), 0);
    pool.set_cold_share(at(100), 1.0);
    assert_eq!(count_grants(&mut pool, at(1_300), 100, 50), 0);
    let all = count_grants(&mut pool, at(1_400), 200, 50);
    pool.set_cold_share(at(3_000), 0.5);
    let half = count_grants(&mut pool, at(3_000), 300, 50);
    assert!(half > 0 && half <= all / 2, "{half} of {all}");
}

#[test]
fn a_request_restricted_to_zones_runs_and_copies_only_within_them() {
    let mut pool = Pool::new(rules(COLD_RATE));
    pool.set_members(at(0), &[listing("e0", "a", 0, 1), listing("e1", "b", 0, 1)]);
    let prompt = [(7, 2_000), (8, 6_000), (100, 500)];
    let restricted = |number, zones: &[&str]| {
        let within = Some(zones.iter().map(|zone| zone.parse().unwrap()).collect());
        Ask { within, ..request(number, &prompt) }
    };
    assert_eq!(granted_upstream(&pool.ask(at(1), restricted(1, &["b"])), 1), Some("e1".parse().unwrap()));
    pool.record_first_event(at(40), id::Attempt(1), Duration::from_millis(40));
    for number in 2..6 {
        let answers = pool.ask(at(50), restricted(number, &["a"]));
        let verdict = answers.into_iter().find(|answer| answer.attempt == id::Attempt(number)).unwrap().verdict;
        let Verdict::Granted { upstream, source, .. } = verdict else { panic!("refused") };
        assert_eq!((upstream, source), ("e0".parse().unwrap(), None));
        pool.record_first_event(at(51), id::Attempt(number), Duration::from_millis(40));
    }
    let answers = pool.ask(at(60), restricted(10, &[]));
    assert!(matches!(&answers[0].verdict, Verdict::Refused(refusal) if refusal.reason == Reason::NoUpstream));
}

/// An event in a fleet of routers that may all decide about one cold engine.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Four times this many ms pass.
    Pass(u8),
    /// Entries send this many requests to the home.
    Request(u8),
    /// Entries don't reach the home, and decide about this many requests by themselves.
    WithoutHome(u8),
    /// The home fails, and its successor takes over.
    TakeOver,
    /// The fleet is partitioned into two sides with a home each, or no longer partitioned.
    Partition(bool),
    /// The engine's listing is written to the store again.
    Rewrite,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 10 {
            0..=2 => Self::Pass(u8::arbitrary(g)),
            3..=5 => Self::Request(u8::arbitrary(g) % 40),
            6 => Self::WithoutHome(u8::arbitrary(g) % 40),
            7 => Self::TakeOver,
            8 => Self::Partition(bool::arbitrary(g)),
            _ => Self::Rewrite,
        }
    }
}

quickcheck! {
    /// In any order of grants, successors, entries that decide by themselves, two sides of a partition and late
    /// listings: the requests that a cold engine gets in any second stay within the bound, including requests that
    /// arrive up to 240 ms late.
    fn a_cold_engine_is_within_its_bound_in_any_second(routers: u8, delays: Vec<u8>, steps: Vec<Step>) -> TestResult {
        let routers = usize::from(routers % 80) + 3;
        if delays.is_empty() {
            return TestResult::discard();
        }
        let mut pools: Vec<_> = (0..routers).map(|_| Pool::new(rules(COLD_RATE))).collect();
        let mut revision = 1;
        for pool in &mut pools {
            pool.set_members(at(0), &[listing("e0", "a", 60_000, revision)]);
        }
        let (mut now, mut number, mut home, mut partitioned) = (10_u64, 0_u128, 0_usize, false);
        let mut arrivals: VecDeque<u64> = VecDeque::new();
        for step in steps {
            // The home of the second side of a partition is the last router.
            let homes = if partitioned { vec![home, routers - 1] } else { vec![home] };
            for (index, pool) in pools.iter_mut().enumerate() {
                let askers = match (homes.contains(&index), partitioned) {
                    (true, false) => routers,
                    (true, true) if index == home => routers / 2,
                    (true, true) => routers - routers / 2,
                    (false, _) => 0,
                };
                pool.set_cold_share(at(now), askers as f64 / routers as f64);
            }
            let deciders: Vec<usize> = match step {
                Step::Request(count) => (0..usize::from(count)).map(|index| homes[index % homes.len()]).collect(),
                Step::WithoutHome(count) => (0..usize::from(count)).map(|index| index % routers).collect(),
                Step::Pass(millis) => {
                    now += u64::from(millis) * 4;
                    continue;
                }
                Step::TakeOver => {
                    home = (home + 1) % (routers - 1);
                    continue;
                }
                Step::Partition(is_cut) => {
                    partitioned = is_cut;
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
                let answers = pools[decider].ask(at(now), request(number, &parts));
                pools[decider].release(at(now), id::Attempt(number), Outcome::Served, None);
                if granted_upstream(&answers, number).is_none() {
                    continue;
                }
                let delay = u64::from(delays[number as usize % delays.len()]) * 240 / 255;
                arrivals.push_back(now + delay);
            }
        }
        let mut arrivals: Vec<_> = arrivals.into();
        arrivals.sort_unstable();
        let max =
            arrivals.iter().map(|from| arrivals.iter().filter(|at| *at >= from && *at - from < 1_000).count()).max();
        TestResult::from_bool(max.unwrap_or(0) as f64 <= COLD_BOUND)
    }
}
