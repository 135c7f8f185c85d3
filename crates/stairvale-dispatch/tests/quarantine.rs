//! Placement of requests under which upstreams terminated, and the evidence that a home reports about them.

#![allow(clippy::unwrap_used)]

mod asks;

use std::time::Duration;

use asks::{at, listings, request};
use stairvale_dispatch::{Answer, Ask, Outcome, Pool, Verdict, pool::Rules, suspects::Evidence};
use stairvale_types::{id, outcome::Reason};

const FIRST: id::Fingerprint = id::Fingerprint(1);
const SECOND: id::Fingerprint = id::Fingerprint(2);

fn pool() -> Pool {
    let mut pool = Pool::new(Rules { load_multiple: 2.0, load_slack: 3.0, ..Rules::default() });
    pool.set_members(at(0), &listings(4, 6));
    pool
}

/// Reports that `count` upstreams terminated under a request.
fn report_terminations(pool: &mut Pool, fingerprint: id::Fingerprint, count: u64) {
    for number in 0..count {
        let upstream = format!("gone-{fingerprint}-{number}").parse().unwrap();
        pool.learn_evidence(at(number), &Evidence::Ended { fingerprint, upstream, ran: Duration::from_millis(300) });
    }
}

fn request_with(number: u128, fingerprint: id::Fingerprint) -> Ask {
    Ask { fingerprint, ..request(number, 0) }
}

fn granted_upstream(answers: &[Answer]) -> Option<id::Upstream> {
    match &answers.first()?.verdict {
        Verdict::Granted { upstream, .. } => Some(upstream.clone()),
        Verdict::Refused(_) => None,
    }
}

#[test]
fn repetitions_of_a_suspect_request_go_to_the_upstream_that_runs_it() {
    let mut pool = pool();
    report_terminations(&mut pool, FIRST, 1);
    let first = granted_upstream(&pool.ask(at(10), request_with(1, FIRST))).unwrap();
    for number in 2..5 {
        assert_eq!(granted_upstream(&pool.ask(at(11), request_with(number, FIRST))).unwrap(), first);
    }
    // Once the request was served it is placed like any other.
    pool.release(at(80), id::Attempt(1), Outcome::Served, None);
    assert!(pool.suspects().is_empty());
    assert_ne!(granted_upstream(&pool.ask(at(81), request_with(9, FIRST))).unwrap(), first);
}

#[test]
fn suspect_requests_with_two_terminations_are_placed_on_different_upstreams() {
    let mut pool = pool();
    report_terminations(&mut pool, FIRST, 2);
    report_terminations(&mut pool, SECOND, 2);
    let first = granted_upstream(&pool.ask(at(10), request_with(1, FIRST))).unwrap();
    let second = granted_upstream(&pool.ask(at(11), request_with(2, SECOND))).unwrap();
    assert_ne!(first, second);
    // Other requests may go to any upstream.
    let others: Vec<_> = (3..11)
        .map(|number| granted_upstream(&pool.ask(at(12), request_with(number, id::Fingerprint(9)))).unwrap())
        .collect();
    assert!(others.contains(&first) && others.contains(&second));
}

#[test]
fn a_request_that_is_being_judged_is_refused_with_a_short_retry_time() {
    let mut pool = pool();
    pool.tick(at(0));
    report_terminations(&mut pool, FIRST, 3);
    let answers = pool.ask(at(10), request_with(1, FIRST));
    let Verdict::Refused(refusal) = &answers[0].verdict else {
        panic!("{answers:?}");
    };
    assert_eq!(refusal.reason, Reason::Busy);
    assert!(refusal.retry_after <= Duration::from_millis(200));
    pool.tick(at(200));
    let causes: Vec<_> = pool.take_crash_causes().into_iter().map(|cause| (cause.fingerprint, cause.part)).collect();
    assert_eq!(causes, [(FIRST, None)]);
}

#[test]
fn a_termination_and_a_later_success_are_each_reported_once() {
    let mut pool = pool();
    pool.ask(at(10), request_with(1, FIRST));
    pool.release(at(40), id::Attempt(1), Outcome::Ended, None);
    assert!(matches!(pool.take_evidence()[..], [Evidence::Ended { fingerprint: FIRST, .. }]));
    pool.ask(at(50), request_with(2, FIRST));
    pool.release(at(90), id::Attempt(2), Outcome::Served, None);
    assert_eq!(pool.take_evidence(), [Evidence::Served { fingerprint: FIRST }]);
    pool.ask(at(100), request_with(3, FIRST));
    pool.release(at(140), id::Attempt(3), Outcome::Served, None);
    assert_eq!(pool.take_evidence(), []);
}

#[test]
fn a_terminated_upstream_gets_no_requests_for_a_while() {
    let mut pool = pool();
    let terminated = granted_upstream(&pool.ask(at(10), request_with(1, FIRST))).unwrap();
    pool.release(at(40), id::Attempt(1), Outcome::Ended, None);
    for number in 2..12 {
        assert_ne!(granted_upstream(&pool.ask(at(41), request_with(number, SECOND))).unwrap(), terminated);
    }
}
