//! Where requests go that upstreams ended under.

#![allow(clippy::unwrap_used)]

mod asks;

use std::time::Duration;

use asks::{ask, at, members};
use stairvale_dispatch::{Answer, Ask, Outcome, Pool, Verdict, pool::Rules, suspects::Evidence};
use stairvale_types::{id, outcome::Reason};

const FIRST: id::Fingerprint = id::Fingerprint(1);
const SECOND: id::Fingerprint = id::Fingerprint(2);

fn pool() -> Pool {
    let mut pool = Pool::new(Rules { multiple: 2.0, slack: 3.0, ..Rules::default() });
    pool.set_members(at(0), &members(4, 6));
    pool
}

fn accuse(pool: &mut Pool, fingerprint: id::Fingerprint, count: u64) {
    for number in 0..count {
        let upstream = format!("gone-{fingerprint}-{number}").parse().unwrap();
        pool.learn_evidence(at(number), &Evidence::Ended { fingerprint, upstream, ran: Duration::from_millis(300) });
    }
}

fn want(number: u128, fingerprint: id::Fingerprint) -> Ask {
    Ask { fingerprint, ..ask(number, 0) }
}

fn place(answers: &[Answer]) -> Option<id::Upstream> {
    match &answers.first()?.verdict {
        Verdict::Granted { upstream, .. } => Some(upstream.clone()),
        Verdict::Refused(_) => None,
    }
}

#[test]
fn the_same_request_joins_the_one_that_runs() {
    let mut pool = pool();
    accuse(&mut pool, FIRST, 1);
    let first = place(&pool.ask(at(10), want(1, FIRST))).unwrap();
    for number in 2..5 {
        assert_eq!(place(&pool.ask(at(11), want(number, FIRST))).unwrap(), first);
    }
    // Once it is known to serve it is like any other.
    pool.release(at(80), id::Attempt(1), Outcome::Served, None);
    assert!(pool.suspects().is_empty());
    assert_ne!(place(&pool.ask(at(81), want(9, FIRST))).unwrap(), first);
}

#[test]
fn requests_that_two_upstreams_ended_under_are_kept_apart() {
    let mut pool = pool();
    accuse(&mut pool, FIRST, 2);
    accuse(&mut pool, SECOND, 2);
    let first = place(&pool.ask(at(10), want(1, FIRST))).unwrap();
    let second = place(&pool.ask(at(11), want(2, SECOND))).unwrap();
    assert_ne!(first, second);
    // Others go anywhere.
    let others: Vec<_> =
        (3..11).map(|number| place(&pool.ask(at(12), want(number, id::Fingerprint(9)))).unwrap()).collect();
    assert!(others.contains(&first) && others.contains(&second));
}

#[test]
fn a_request_that_is_being_judged_is_told_to_come_back_in_a_moment() {
    let mut pool = pool();
    pool.tick(at(0));
    accuse(&mut pool, FIRST, 3);
    let answers = pool.ask(at(10), want(1, FIRST));
    let Verdict::Refused(refusal) = &answers[0].verdict else {
        panic!("{answers:?}");
    };
    assert_eq!(refusal.reason, Reason::Busy);
    assert!(refusal.retry_after <= Duration::from_millis(200));
    pool.tick(at(200));
    assert_eq!(pool.take_found(), [FIRST]);
}

#[test]
fn an_end_is_told_on_once_and_so_is_a_good_end_after_it() {
    let mut pool = pool();
    pool.ask(at(10), want(1, FIRST));
    pool.release(at(40), id::Attempt(1), Outcome::Ended, None);
    assert!(matches!(pool.take_evidence()[..], [Evidence::Ended { fingerprint: FIRST, .. }]));
    pool.ask(at(50), want(2, FIRST));
    pool.release(at(90), id::Attempt(2), Outcome::Served, None);
    assert_eq!(pool.take_evidence(), [Evidence::Served { fingerprint: FIRST }]);
    pool.ask(at(100), want(3, FIRST));
    pool.release(at(140), id::Attempt(3), Outcome::Served, None);
    assert_eq!(pool.take_evidence(), []);
}

#[test]
fn an_upstream_that_ended_is_given_nothing_for_a_while() {
    let mut pool = pool();
    let ended = place(&pool.ask(at(10), want(1, FIRST))).unwrap();
    pool.release(at(40), id::Attempt(1), Outcome::Ended, None);
    for number in 2..12 {
        assert_ne!(place(&pool.ask(at(41), want(number, SECOND))).unwrap(), ended);
    }
}
