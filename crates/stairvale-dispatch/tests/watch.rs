//! Observations that a home reports about the versions of a service during a roll-out.

#![allow(clippy::unwrap_used)]

mod fleet;

use std::{collections::BTreeMap, time::Duration};

use fleet::{at, engines, granted_upstream, is_new, listings, policy, pool, request, reservation, source, version};
use stairvale_dispatch::{Held, Outcome, Pool, pool::Rules};
use stairvale_rollout::{Answer, Stage};
use stairvale_types::id;

/// Takes the observations that the pool has to report: the answers, by whether the upstream runs the new version.
fn take_answers(pool: &mut Pool) -> BTreeMap<bool, Vec<Answer>> {
    let mut answers: BTreeMap<bool, Vec<Answer>> = BTreeMap::new();
    for observation in pool.report().observations {
        assert_eq!(observation.is_new, is_new(&observation.upstream));
        answers.entry(observation.is_new).or_default().push(observation.answer);
    }
    answers
}

/// A pool of an old and a new upstream during the trial of the new version, which has learned how long answers take.
fn trained_pool(rules: Rules) -> Pool {
    let mut pool = pool(rules, 1, 1, 64);
    for number in 0..100_u64 {
        let parts: &[(u64, u32)] = if rules.engine.is_some() { &[(1_000 + number, 300)] } else { &[] };
        let attempt = id::Attempt(10_000 + u128::from(number));
        pool.ask(at(number * 100), request(attempt.0, 0, parts));
        pool.record_first_event(at(number * 100 + 40), attempt, Duration::from_millis(40));
        let took = rules.engine.is_none().then(|| Duration::from_millis(50));
        pool.release(at(number * 100 + 90), attempt, Outcome::Served, took);
    }
    pool.set_policy(at(10_000), policy(Stage::Trial));
    assert!(pool.report().observations.is_empty(), "nothing is reported without a roll-out");
    pool
}

#[test]
fn outcomes_that_may_be_due_to_the_version_are_reported() {
    let cases = [
        (Outcome::Served, Some(Answer::Good)),
        (Outcome::Failed, Some(Answer::Failed)),
        (Outcome::Silent, Some(Answer::Failed)),
        (Outcome::Shed, None),
        (Outcome::Unreachable, None),
        (Outcome::Gone, None),
        (Outcome::Abandoned, None),
    ];
    for (outcome, answer) in cases {
        let mut pool = trained_pool(Rules::default());
        let upstream = granted_upstream(&pool.ask(at(10_010), request(1, 4, &[]))).unwrap();
        pool.release(at(10_060), id::Attempt(1), outcome, Some(Duration::from_millis(50)));
        let report = pool.report();
        assert_eq!(report.requests, 1);
        let reported: Vec<_> =
            report.observations.iter().map(|observed| (observed.route, &observed.upstream, observed.answer)).collect();
        let expected: Vec<_> = answer.map(|answer| (id::Route(4), &upstream, answer)).into_iter().collect();
        assert_eq!(reported, expected, "{outcome:?}");
        assert_eq!(pool.report(), stairvale_rollout::Report::default(), "it is reported once");
    }
}

#[test]
fn a_plain_answer_that_takes_several_times_as_long_is_slow() {
    for (took, answer) in [(50, Answer::Good), (140, Answer::Good), (300, Answer::Slow)] {
        let mut pool = trained_pool(Rules::default());
        pool.ask(at(10_010), request(1, 0, &[]));
        pool.release(at(10_010 + took), id::Attempt(1), Outcome::Served, Some(Duration::from_millis(took)));
        assert_eq!(take_answers(&mut pool)[&false], [answer], "{took} ms");
    }
}

#[test]
fn a_first_event_that_takes_several_times_as_long_is_reported_as_slow_at_once() {
    for (took, slow) in [(40, false), (120, false), (400, true)] {
        let mut pool = trained_pool(engines());
        pool.ask(at(10_010), request(1, 0, &[(1, 300)]));
        pool.record_first_event(at(10_010 + took), id::Attempt(1), Duration::from_millis(took));
        let before = take_answers(&mut pool).remove(&false).unwrap_or_default();
        assert_eq!(before, if slow { vec![Answer::Slow] } else { vec![] }, "{took} ms");
        // However the request ends, it is reported once.
        pool.release(at(10_060 + took), id::Attempt(1), Outcome::Served, None);
        let after = take_answers(&mut pool).remove(&false).unwrap_or_default();
        assert_eq!(after, if slow { vec![] } else { vec![Answer::Good] }, "{took} ms");
    }
}

#[test]
fn a_stream_that_takes_several_times_as_long_to_its_end_is_slow() {
    for (took, answer) in [(60, Answer::Good), (800, Answer::Slow)] {
        let mut pool = trained_pool(engines());
        pool.ask(at(10_010), request(1, 0, &[(1, 300)]));
        pool.record_first_event(at(10_050), id::Attempt(1), Duration::from_millis(40));
        pool.release(at(10_050 + took), id::Attempt(1), Outcome::Served, None);
        assert_eq!(take_answers(&mut pool)[&false], [answer], "{took} ms");
    }
}

#[test]
fn a_late_request_is_reported_before_its_end_if_its_entry_still_renews_it() {
    for rules in [Rules::default(), engines()] {
        for named in [false, true] {
            let mut pool = trained_pool(rules);
            let parts: &[(u64, u32)] = if rules.engine.is_some() { &[(1, 300)] } else { &[] };
            let upstream = granted_upstream(&pool.ask(at(10_010), request(1, 0, parts))).unwrap();
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
            assert_eq!(take_answers(&mut pool).remove(&false).unwrap_or_default().len(), usize::from(named));
            pool.release(at(11_100), id::Attempt(1), Outcome::Abandoned, None);
            // Its caller abandoned it after it was late, which is reported unless it was before.
            assert_eq!(take_answers(&mut pool).remove(&false).unwrap_or_default().len(), usize::from(!named));
        }
    }
}

#[test]
fn a_request_that_was_reported_while_it_ran_is_not_reported_again() {
    let mut pool = trained_pool(engines());
    let upstream = granted_upstream(&pool.ask(at(10_010), request(1, 0, &[(1, 300)]))).unwrap();
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
    assert_eq!(take_answers(&mut pool)[&false], [Answer::Slow]);
    pool.record_first_event(at(11_100), id::Attempt(1), Duration::from_millis(1_090));
    pool.release(at(11_200), id::Attempt(1), Outcome::Failed, None);
    assert!(take_answers(&mut pool).is_empty());
}

#[test]
fn the_time_limit_of_a_stream_starts_at_its_first_event() {
    let mut pool = trained_pool(engines());
    let upstream = granted_upstream(&pool.ask(at(10_010), request(1, 0, &[(1, 300)]))).unwrap();
    let held = [Held {
        attempt: id::Attempt(1),
        upstream,
        read: 0,
        customer: None,
        route: id::Route(0),
        fingerprint: id::Fingerprint::default(),
    }];
    pool.record_first_event(at(10_110), id::Attempt(1), Duration::from_millis(100));
    // The rest of the stream may take three times the usual 50 ms, and 60 ms more.
    for (now, slow) in [(10_300, false), (10_400, true)] {
        pool.renew(at(now), &"r1".parse().unwrap(), &held);
        pool.tick(at(now));
        assert_eq!(!take_answers(&mut pool).is_empty(), slow, "{now}");
    }
}

#[test]
fn a_new_home_reports_the_outcomes_of_requests_that_its_predecessor_granted() {
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
    assert!(report.observations.iter().all(|observed| observed.route == id::Route(7)));
    assert_eq!(report.requests, 0);
    let reported: Vec<_> = report.observations.iter().map(|observed| (observed.is_new, observed.answer)).collect();
    assert_eq!(reported, [(false, Answer::Good), (true, Answer::Failed)]);
    let facts = pool.facts(at(1_000));
    assert_eq!((facts.running_old, facts.running_new), (0, 1));
}

#[test]
fn a_slow_copy_from_a_lost_engine_is_not_attributed_to_the_version() {
    let mut pool = pool(engines(), 2, 1, 16);
    let prompt = |number: u64| [(7, 2_000), (8, 6_000), (100 + number, 100)];
    let old = granted_upstream(&pool.ask(at(10), request(1, 0, &prompt(1)))).unwrap();
    pool.record_first_event(at(20), id::Attempt(1), Duration::from_millis(10));
    pool.set_policy(at(30), policy(Stage::Moving));
    let answers = pool.ask(at(40), request(2, 0, &prompt(2)));
    assert_eq!((granted_upstream(&answers), source(&answers)), (Some("n0".parse().unwrap()), Some(old)));
    pool.release(at(50), id::Attempt(1), Outcome::Silent, None);
    pool.record_first_event(at(2_000), id::Attempt(2), Duration::from_millis(1_960));
    let answers = take_answers(&mut pool);
    assert_eq!(answers.get(&true), None, "{answers:?}");
}

#[test]
fn a_slow_version_on_trial_does_not_change_the_usual_times() {
    // An engine that is slow to the first event, one that is slow after it, and a slow plain upstream.
    for (rules, first, rest) in [(engines(), 400, 50), (engines(), 40, 800), (Rules::default(), 0, 400)] {
        let mut pool = trained_pool(rules);
        pool.reserve(reservation(400, 900_000, 1));
        let mut slow = 0;
        for number in 0..200_u64 {
            let now = 10_000 + number * 1_500;
            let attempt = id::Attempt(u128::from(number));
            let parts: &[(u64, u32)] = if rules.engine.is_some() { &[(1_000_000 + number, 100)] } else { &[] };
            let new = is_new(&granted_upstream(&pool.ask(at(now), request(attempt.0, 0, parts))).unwrap());
            let (first, rest) = if new { (first, rest) } else { (first.min(40), 50) };
            if rules.engine.is_some() {
                pool.record_first_event(at(now + first), attempt, Duration::from_millis(first));
            }
            let took = rules.engine.is_none().then(|| Duration::from_millis(rest));
            pool.release(at(now + first + rest), attempt, Outcome::Served, took);
            slow += usize::from(new);
        }
        let answers = take_answers(&mut pool);
        assert!(slow >= 90, "{slow}");
        assert_eq!(answers[&true], vec![Answer::Slow; slow], "{first} {rest}");
        assert!(answers[&false].iter().all(|answer| *answer == Answer::Good));
    }
}

#[test]
fn facts_count_the_upstreams_that_are_ready() {
    let mut pool = pool(Rules::default(), 4, 2, 8);
    let mut members = listings(4, 2, 8);
    members[2].version = Some(version("v0"));
    members[1].usable = false;
    pool.set_members(at(1), &members);
    let before = pool.facts(at(2));
    assert_eq!((before.ready_old, before.ready_new, before.serving), (5, 0, Some(version("v1"))));
    pool.set_policy(at(3), policy(Stage::Trial));
    let facts = pool.facts(at(4));
    assert_eq!((facts.ready_old, facts.ready_new, facts.serving), (3, 2, Some(version("v1"))));
    pool.ask(at(5), request(1, 0, &[]));
    assert_eq!((pool.facts(at(6)).running_old, pool.facts(at(6)).running_new), (1, 0));
}

#[test]
fn observations_that_are_never_queried_take_bounded_memory() {
    let mut pool = pool(Rules::default(), 1, 1, 8);
    pool.set_policy(at(0), policy(Stage::Trial));
    for number in 0..20_000 {
        pool.ask(at(10), request(number, 0, &[]));
        pool.release(at(10), id::Attempt(number), Outcome::Served, Some(Duration::from_millis(5)));
    }
    let report = pool.report();
    assert_eq!(report.requests, 20_000);
    assert!(report.observations.len() < 10_000);
}

#[test]
fn a_router_that_was_not_queried_for_long_reports_only_recent_observations() {
    let mut pool = pool(Rules::default(), 1, 1, 8);
    pool.set_policy(at(0), policy(Stage::Trial));
    let run_one = |pool: &mut Pool, number: u64| {
        pool.ask(at(number), request(u128::from(number), 0, &[]));
        pool.release(at(number), id::Attempt(u128::from(number)), Outcome::Served, Some(Duration::from_millis(5)));
    };
    for now in (10..5_000).step_by(50) {
        run_one(&mut pool, now);
        pool.tick(at(now));
    }
    run_one(&mut pool, 5_010);
    let report = pool.report();
    assert!((1..=41).contains(&report.requests), "{}", report.requests);
    assert!(report.observations.len() <= 41);
    // A router that is queried all the time reports all requests.
    let mut reported = 0;
    for now in (6_000..10_000).step_by(50) {
        run_one(&mut pool, now);
        pool.tick(at(now));
        reported += pool.report().requests;
    }
    assert_eq!(reported, 80);
}
