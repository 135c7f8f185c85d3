//! What a home tells of the versions of a service while it moves from one to another.

#![allow(clippy::unwrap_used)]

mod fleet;

use std::{collections::BTreeMap, time::Duration};

use fleet::{ask, at, engines, is_new, listings, place, policy, pool, reservation, source, version};
use stairvale_dispatch::{Held, Outcome, Pool, pool::Rules};
use stairvale_rollout::{Answer as Seen, Stage};
use stairvale_types::id;

/// Requests on either version with a fixed time each, told at the end: what became of them, by version.
fn told(pool: &mut Pool) -> BTreeMap<bool, Vec<Seen>> {
    let mut told: BTreeMap<bool, Vec<Seen>> = BTreeMap::new();
    for observation in pool.report().observations {
        assert_eq!(observation.is_new, is_new(&observation.upstream));
        told.entry(observation.is_new).or_default().push(observation.answer);
    }
    told
}

/// A pool of an old and a new upstream that is moving, and knows what answers take.
fn known(rules: Rules) -> Pool {
    let mut pool = pool(rules, 1, 1, 64);
    for number in 0..100_u64 {
        let parts: &[(u64, u32)] = if rules.engine.is_some() { &[(1_000 + number, 300)] } else { &[] };
        let attempt = id::Attempt(10_000 + u128::from(number));
        pool.ask(at(number * 100), ask(attempt.0, 0, parts));
        pool.begun(at(number * 100 + 40), attempt, Duration::from_millis(40));
        let took = rules.engine.is_none().then(|| Duration::from_millis(50));
        pool.release(at(number * 100 + 90), attempt, Outcome::Served, took);
    }
    pool.set_policy(at(10_000), policy(Stage::Trial));
    assert!(pool.report().observations.is_empty(), "nothing is told without a roll-out");
    pool
}

#[test]
fn what_says_something_of_a_version_is_told() {
    let cases = [
        (Outcome::Served, Some(Seen::Good)),
        (Outcome::Failed, Some(Seen::Failed)),
        (Outcome::Silent, Some(Seen::Failed)),
        (Outcome::Shed, None),
        (Outcome::Unreachable, None),
        (Outcome::Gone, None),
        (Outcome::Abandoned, None),
    ];
    for (outcome, answer) in cases {
        let mut pool = known(Rules::default());
        let place = place(&pool.ask(at(10_010), ask(1, 4, &[]))).unwrap();
        pool.release(at(10_060), id::Attempt(1), outcome, Some(Duration::from_millis(50)));
        let report = pool.report();
        assert_eq!(report.requests, 1);
        let told: Vec<_> = report.observations.iter().map(|seen| (seen.route, &seen.upstream, seen.answer)).collect();
        let expected: Vec<_> = answer.map(|answer| (id::Route(4), &place, answer)).into_iter().collect();
        assert_eq!(told, expected, "{outcome:?}");
        assert_eq!(pool.report(), stairvale_rollout::Report::default(), "it is told once");
    }
}

#[test]
fn a_plain_answer_that_takes_several_times_as_long_is_slow() {
    for (took, answer) in [(50, Seen::Good), (140, Seen::Good), (300, Seen::Slow)] {
        let mut pool = known(Rules::default());
        pool.ask(at(10_010), ask(1, 0, &[]));
        pool.release(at(10_010 + took), id::Attempt(1), Outcome::Served, Some(Duration::from_millis(took)));
        assert_eq!(told(&mut pool)[&false], [answer], "{took} ms");
    }
}

#[test]
fn a_first_event_that_takes_several_times_as_long_is_slow_and_told_at_once() {
    for (took, slow) in [(40, false), (120, false), (400, true)] {
        let mut pool = known(engines());
        pool.ask(at(10_010), ask(1, 0, &[(1, 300)]));
        pool.begun(at(10_010 + took), id::Attempt(1), Duration::from_millis(took));
        let before = told(&mut pool).remove(&false).unwrap_or_default();
        assert_eq!(before, if slow { vec![Seen::Slow] } else { vec![] }, "{took} ms");
        // However it ends, it is told once.
        pool.release(at(10_060 + took), id::Attempt(1), Outcome::Served, None);
        let after = told(&mut pool).remove(&false).unwrap_or_default();
        assert_eq!(after, if slow { vec![] } else { vec![Seen::Good] }, "{took} ms");
    }
}

#[test]
fn a_stream_that_takes_several_times_as_long_to_its_end_is_slow() {
    for (took, answer) in [(60, Seen::Good), (800, Seen::Slow)] {
        let mut pool = known(engines());
        pool.ask(at(10_010), ask(1, 0, &[(1, 300)]));
        pool.begun(at(10_050), id::Attempt(1), Duration::from_millis(40));
        pool.release(at(10_050 + took), id::Attempt(1), Outcome::Served, None);
        assert_eq!(told(&mut pool)[&false], [answer], "{took} ms");
    }
}

#[test]
fn what_runs_and_is_late_is_told_before_its_end_if_its_entry_still_names_it() {
    for rules in [Rules::default(), engines()] {
        for named in [false, true] {
            let mut pool = known(rules);
            let parts: &[(u64, u32)] = if rules.engine.is_some() { &[(1, 300)] } else { &[] };
            let upstream = place(&pool.ask(at(10_010), ask(1, 0, parts))).unwrap();
            pool.tick(at(11_000));
            if named {
                let held = Held {
                    attempt: id::Attempt(1),
                    upstream,
                    read: 300,
                    customer: None,
                    route: id::Route(0),
                    fingerprint: id::Fingerprint::default(),
                };
                pool.renew(at(11_000), &"r1".parse().unwrap(), &[held]);
            }
            pool.tick(at(11_010));
            pool.tick(at(11_050));
            assert_eq!(told(&mut pool).remove(&false).unwrap_or_default().len(), usize::from(named));
            pool.release(at(11_100), id::Attempt(1), Outcome::Abandoned, None);
            // Its caller left it late: that is told, if it wasn't before.
            assert_eq!(told(&mut pool).remove(&false).unwrap_or_default().len(), usize::from(!named));
        }
    }
}

#[test]
fn what_was_told_while_it_ran_is_not_told_again() {
    let mut pool = known(engines());
    let upstream = place(&pool.ask(at(10_010), ask(1, 0, &[(1, 300)]))).unwrap();
    let held = Held {
        attempt: id::Attempt(1),
        upstream,
        read: 300,
        customer: None,
        route: id::Route(0),
        fingerprint: id::Fingerprint::default(),
    };
    pool.renew(at(11_000), &"r1".parse().unwrap(), &[held]);
    pool.tick(at(11_010));
    assert_eq!(told(&mut pool)[&false], [Seen::Slow]);
    pool.begun(at(11_100), id::Attempt(1), Duration::from_millis(1_090));
    pool.release(at(11_200), id::Attempt(1), Outcome::Failed, None);
    assert!(told(&mut pool).is_empty());
}

#[test]
fn a_stream_has_its_time_from_its_first_event_on() {
    let mut pool = known(engines());
    let upstream = place(&pool.ask(at(10_010), ask(1, 0, &[(1, 300)]))).unwrap();
    let held = [Held {
        attempt: id::Attempt(1),
        upstream,
        read: 0,
        customer: None,
        route: id::Route(0),
        fingerprint: id::Fingerprint::default(),
    }];
    pool.begun(at(10_110), id::Attempt(1), Duration::from_millis(100));
    // It may take three times 50 ms and 60 more.
    for (now, slow) in [(10_300, false), (10_400, true)] {
        pool.renew(at(now), &"r1".parse().unwrap(), &held);
        pool.tick(at(now));
        assert_eq!(!told(&mut pool).is_empty(), slow, "{now}");
    }
}

#[test]
fn a_new_home_counts_how_the_requests_of_the_last_one_end() {
    let mut pool = pool(engines(), 1, 1, 64);
    pool.set_policy(at(0), policy(Stage::Trial));
    let held = |number, upstream: &str| Held {
        attempt: id::Attempt(number),
        upstream: upstream.parse().unwrap(),
        read: 0,
        customer: None,
        route: id::Route(7),
        fingerprint: id::Fingerprint::default(),
    };
    pool.renew(at(10), &"r1".parse().unwrap(), &[held(1, "o0"), held(2, "n0"), held(3, "n0")]);
    pool.release(at(900), id::Attempt(1), Outcome::Served, None);
    pool.release(at(900), id::Attempt(2), Outcome::Failed, None);
    let report = pool.report();
    assert!(report.observations.iter().all(|seen| seen.route == id::Route(7)));
    assert_eq!(report.requests, 0);
    let told: Vec<_> = report.observations.iter().map(|seen| (seen.is_new, seen.answer)).collect();
    assert_eq!(told, [(false, Seen::Good), (true, Seen::Failed)]);
    let facts = pool.facts(at(1_000));
    assert_eq!((facts.running_old, facts.running_new), (0, 1));
}

#[test]
fn a_copy_from_an_engine_that_was_lost_says_nothing_of_the_version() {
    let mut pool = pool(engines(), 2, 1, 16);
    let prompt = |number: u64| [(7, 2_000), (8, 6_000), (100 + number, 100)];
    let old = place(&pool.ask(at(10), ask(1, 0, &prompt(1)))).unwrap();
    pool.begun(at(20), id::Attempt(1), Duration::from_millis(10));
    pool.set_policy(at(30), policy(Stage::Moving));
    let answers = pool.ask(at(40), ask(2, 0, &prompt(2)));
    assert_eq!((place(&answers), source(&answers)), (Some("n0".parse().unwrap()), Some(old)));
    pool.release(at(50), id::Attempt(1), Outcome::Silent, None);
    pool.begun(at(2_000), id::Attempt(2), Duration::from_millis(1_960));
    let told = told(&mut pool);
    assert_eq!(told.get(&true), None, "{told:?}");
}

#[test]
fn a_slow_version_on_trial_does_not_change_what_is_usual() {
    // Slow to the first event, slow from there on, and slow with plain answers.
    for (rules, first, rest) in [(engines(), 400, 50), (engines(), 40, 800), (Rules::default(), 0, 400)] {
        let mut pool = known(rules);
        pool.reserve(reservation(400, 900_000, 1));
        let mut slow = 0;
        for number in 0..200_u64 {
            let now = 10_000 + number * 1_500;
            let attempt = id::Attempt(u128::from(number));
            let parts: &[(u64, u32)] = if rules.engine.is_some() { &[(1_000_000 + number, 100)] } else { &[] };
            let new = is_new(&place(&pool.ask(at(now), ask(attempt.0, 0, parts))).unwrap());
            let (first, rest) = if new { (first, rest) } else { (first.min(40), 50) };
            if rules.engine.is_some() {
                pool.begun(at(now + first), attempt, Duration::from_millis(first));
            }
            let took = rules.engine.is_none().then(|| Duration::from_millis(rest));
            pool.release(at(now + first + rest), attempt, Outcome::Served, took);
            slow += usize::from(new);
        }
        let told = told(&mut pool);
        assert!(slow >= 90, "{slow}");
        assert_eq!(told[&true], vec![Seen::Slow; slow], "{first} {rest}");
        assert!(told[&false].iter().all(|answer| *answer == Seen::Good));
    }
}

#[test]
fn facts_tell_what_may_be_counted_on() {
    let mut pool = pool(Rules::default(), 4, 2, 8);
    let mut known = listings(4, 2, 8);
    known[2].version = Some(version("v0"));
    known[1].usable = false;
    pool.set_members(at(1), &known);
    let before = pool.facts(at(2));
    assert_eq!((before.ready_old, before.ready_new, before.serving), (5, 0, Some(version("v1"))));
    pool.set_policy(at(3), policy(Stage::Trial));
    let facts = pool.facts(at(4));
    assert_eq!((facts.ready_old, facts.ready_new, facts.serving), (3, 2, Some(version("v1"))));
    pool.ask(at(5), ask(1, 0, &[]));
    assert_eq!((pool.facts(at(6)).running_old, pool.facts(at(6)).running_new), (1, 0));
}

#[test]
fn what_nobody_asks_for_takes_no_memory_without_limit() {
    let mut pool = pool(Rules::default(), 1, 1, 8);
    pool.set_policy(at(0), policy(Stage::Trial));
    for number in 0..20_000 {
        pool.ask(at(10), ask(number, 0, &[]));
        pool.release(at(10), id::Attempt(number), Outcome::Served, Some(Duration::from_millis(5)));
    }
    let report = pool.report();
    assert_eq!(report.requests, 20_000);
    assert!(report.observations.len() < 10_000);
}

#[test]
fn a_router_that_was_not_asked_for_long_tells_only_what_is_new() {
    let mut pool = pool(Rules::default(), 1, 1, 8);
    pool.set_policy(at(0), policy(Stage::Trial));
    let one = |pool: &mut Pool, number: u64| {
        pool.ask(at(number), ask(u128::from(number), 0, &[]));
        pool.release(at(number), id::Attempt(u128::from(number)), Outcome::Served, Some(Duration::from_millis(5)));
    };
    for now in (10..5_000).step_by(50) {
        one(&mut pool, now);
        pool.tick(at(now));
    }
    one(&mut pool, 5_010);
    let report = pool.report();
    assert!((1..=41).contains(&report.requests), "{}", report.requests);
    assert!(report.observations.len() <= 41);
    // Who is asked all the time tells all of it.
    let mut told = 0;
    for now in (6_000..10_000).step_by(50) {
        one(&mut pool, now);
        pool.tick(at(now));
        told += pool.report().requests;
    }
    assert_eq!(told, 80);
}
