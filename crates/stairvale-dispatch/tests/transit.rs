//! Additional requests that an upstream is granted because some of its requests or their answers are in transit.

#![allow(clippy::unwrap_used)]

mod asks;

use std::time::Duration;

use asks::{at, listings, request};
use stairvale_dispatch::{Outcome, Pool, Verdict, pool::Rules};
use stairvale_types::{id, unit};

fn pool(rules: Rules) -> Pool {
    let mut pool = Pool::new(rules);
    pool.set_members(at(0), &listings(1, 6));
    pool
}

/// Sends requests that take 60 ms at the upstream and whose slots are held `transit_ms` longer than that.
fn learn(pool: &mut Pool, transit_ms: u64) {
    for number in 0..100 {
        let now = u64::try_from(number).unwrap() * 1_000;
        pool.ask(at(now), request(number, 0));
        let took = Some(Duration::from_millis(60));
        pool.release(at(now + 60 + transit_ms), id::Attempt(number), Outcome::Served, took);
    }
}

/// Sends 20 requests at once and returns how many of them are granted.
fn count_grants(pool: &mut Pool, from: u128) -> usize {
    let mut granted = 0;
    for number in from..from + 20 {
        let answers = pool.ask(at(200_000), request(number, 0));
        granted += answers.iter().filter(|answer| matches!(answer.verdict, Verdict::Granted { .. })).count();
    }
    granted
}

#[test]
fn slots_limit_the_requests_of_an_upstream_until_its_transit_time_is_learned() {
    assert_eq!(count_grants(&mut pool(Rules::default()), 1_000), 6);
}

#[test]
fn a_plain_upstream_gets_as_many_additional_requests_as_are_in_transit() {
    for (transit_ms, expected) in [(0, 6), (3, 6), (6, 7), (11, 8), (20, 9), (2_000, 9)] {
        let mut pool = pool(Rules::default());
        learn(&mut pool, transit_ms);
        assert_eq!(count_grants(&mut pool, 1_000), expected, "{transit_ms} ms");
    }
}

#[test]
fn an_engine_gets_no_additional_requests() {
    let mut pool = pool(Rules { engine: Some(unit::Tokens(1_000_000)), ..Rules::default() });
    learn(&mut pool, 11);
    assert_eq!(count_grants(&mut pool, 1_000), 6);
}

#[test]
fn an_upstream_that_reports_that_it_is_full_gets_fewer_additional_requests() {
    let mut pool = pool(Rules::default());
    learn(&mut pool, 11);
    assert_eq!(count_grants(&mut pool, 1_000), 8);
    for number in 1_000..1_002 {
        pool.release(at(200_010), id::Attempt(number), Outcome::Shed, None);
    }
    for number in 1_000..1_100 {
        pool.cancel(at(200_011), id::Attempt(number));
    }
    assert_eq!(pool.waiting(), 0);
    // The upstream gets no requests for a moment after it reported that it is full.
    pool.tick(at(200_100));
    let answers = (2_000..2_020).map(|number| pool.ask(at(200_100), request(number, 0)));
    let granted = answers.flatten().filter(|answer| matches!(answer.verdict, Verdict::Granted { .. })).count();
    assert!((6..8).contains(&granted), "{granted}");
}
