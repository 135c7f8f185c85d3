//! Incarnations of an upstream under one name.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use stairvale_dispatch::{Answer, Ask, Listing, Outcome, Part, Pool, Verdict, pool::Rules};
use stairvale_types::{Moment, id, unit};

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn listing(upstream: &str, revision: u64) -> Listing {
    Listing {
        id: upstream.parse().unwrap(),
        zone: "a".parse().unwrap(),
        slots: 8,
        usable: true,
        cold: Duration::ZERO,
        revision,
        version: None,
    }
}

fn request(number: u128) -> Ask {
    Ask {
        attempt: id::Attempt(number),
        entry: "r1".parse().unwrap(),
        zone: "a".parse().unwrap(),
        customer: None,
        route: id::Route(0),
        fingerprint: id::Fingerprint(u64::try_from(number).unwrap()),
        priority: 1,
        repeatable: true,
        parts: vec![Part { id: 7, tokens: 6_000 }, Part { id: 100 + u64::try_from(number).unwrap(), tokens: 100 }],
        output: 50,
        objective: Duration::from_millis(500),
        patience: Duration::from_millis(100),
        avoid: Vec::new(),
        within: None,
        seen: None,
    }
}

fn grant(answers: &[Answer]) -> (id::Upstream, u32) {
    match &answers[0].verdict {
        Verdict::Granted { upstream, read, .. } => (upstream.clone(), *read),
        Verdict::Refused(refusal) => panic!("{refusal}"),
    }
}

fn pool() -> Pool {
    let rules =
        Rules { engine: Some(unit::Tokens(100_000)), copies: true, load_multiple: 2.0, load_slack: 3.0, cold: None };
    let mut pool = Pool::new(rules);
    pool.set_members(at(0), &[listing("e0@1000", 1)]);
    pool
}

#[test]
fn a_new_incarnation_has_no_prefixes_and_no_requests_of_an_earlier_one() {
    let mut pool = pool();
    let (upstream, read) = grant(&pool.ask(at(10), request(1)));
    assert_eq!(read, 6_100);
    pool.record_first_event(at(300), id::Attempt(1), Duration::from_millis(290));
    assert_eq!(grant(&pool.ask(at(310), request(2))).1, 100, "the upstream holds the shared prefix");
    pool.update(at(400), &[listing("e0@2000", 2)], &[]);
    assert_eq!(pool.running(&upstream), 0);
    assert_eq!(pool.members().count(), 1);
    let (later, read) = grant(&pool.ask(at(410), request(3)));
    assert_eq!(later.to_string(), "e0@2000");
    assert_eq!(read, 6_100, "the new incarnation holds no prefix");
    // Late reports about the earlier incarnation don't affect the later one.
    pool.release(at(420), id::Attempt(2), Outcome::Failed, None);
    pool.learn_prefixes(&upstream, &[Part { id: 9, tokens: 50_000 }]);
    assert_eq!(pool.running(&later), 1);
}

#[test]
fn the_health_of_an_earlier_incarnation_does_not_affect_a_later_one() {
    let mut pool = pool();
    for number in 0..6 {
        pool.ask(at(number * 10), request(u128::from(number)));
        pool.release(at(number * 10 + 5), id::Attempt(u128::from(number)), Outcome::Silent, None);
    }
    pool.update(at(100), &[listing("e0@2000", 2)], &[]);
    let member = pool.members().next().unwrap();
    assert!(!member.health.is_unresponsive() && member.health.is_open(at(101)));
}

#[test]
fn removing_a_name_removes_its_current_incarnation() {
    let mut pool = pool();
    pool.update(at(100), &[], &["e0".parse().unwrap()]);
    assert_eq!(pool.members().count(), 0);
}

/// The home learns of the new incarnation first, and releases the request before its entry reports the termination. The
/// termination has to count as evidence all the same.
#[test]
fn the_requests_of_an_earlier_incarnation_count_its_termination() {
    let mut pool = pool();
    pool.ask(at(10), request(1));
    pool.update(at(400), &[listing("e0@2000", 2)], &[]);
    pool.release(at(410), id::Attempt(1), Outcome::Ended, None);
    assert_eq!(pool.suspects().crash_count(id::Fingerprint(1)), 1);
}
