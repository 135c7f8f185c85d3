//! Places whose request or answer is on its way.

#![allow(clippy::unwrap_used)]

mod asks;

use std::time::Duration;

use asks::{ask, at, members};
use stairvale_dispatch::{Outcome, Pool, Verdict, pool::Rules};
use stairvale_types::{id, unit};

fn pool(rules: Rules) -> Pool {
    let mut pool = Pool::new(rules);
    pool.set_members(at(0), &members(1, 6));
    pool
}

/// Requests that take 60 ms, and whose places are held for longer by some time.
fn learn(pool: &mut Pool, transit: u64) {
    for number in 0..100 {
        let now = u64::try_from(number).unwrap() * 1_000;
        pool.ask(at(now), ask(number, 0));
        let took = Some(Duration::from_millis(60));
        pool.release(at(now + 60 + transit), id::Attempt(number), Outcome::Served, took);
    }
}

/// How many are given a place at once.
fn placed(pool: &mut Pool, from: u128) -> usize {
    let mut placed = 0;
    for number in from..from + 20 {
        let answers = pool.ask(at(200_000), ask(number, 0));
        placed += answers.iter().filter(|answer| matches!(answer.verdict, Verdict::Granted { .. })).count();
    }
    placed
}

#[test]
fn until_it_is_known_how_much_is_on_its_way_slots_bound_what_an_upstream_is_given() {
    assert_eq!(placed(&mut pool(Rules::default()), 1_000), 6);
}

#[test]
fn an_upstream_is_given_as_many_more_as_are_on_their_way() {
    for (transit, expected) in [(0, 6), (3, 6), (6, 7), (11, 8), (20, 9), (2_000, 9)] {
        let mut pool = pool(Rules::default());
        learn(&mut pool, transit);
        assert_eq!(placed(&mut pool, 1_000), expected, "{transit} ms");
    }
}

#[test]
fn an_engine_is_given_no_more() {
    let mut pool = pool(Rules { engine: Some(unit::Tokens(1_000_000)), ..Rules::default() });
    learn(&mut pool, 11);
    assert_eq!(placed(&mut pool, 1_000), 6);
}

#[test]
fn an_upstream_that_says_it_is_full_is_believed() {
    let mut pool = pool(Rules::default());
    learn(&mut pool, 11);
    assert_eq!(placed(&mut pool, 1_000), 8);
    for number in 1_000..1_002 {
        pool.release(at(200_010), id::Attempt(number), Outcome::Shed, None);
    }
    for number in 1_000..1_100 {
        pool.forget(at(200_011), id::Attempt(number));
    }
    assert_eq!(pool.waiting(), 0);
    // It is left alone for a moment after it said so.
    pool.tick(at(200_100));
    let placed = (2_000..2_020).map(|number| pool.ask(at(200_100), ask(number, 0)));
    let placed = placed.flatten().filter(|answer| matches!(answer.verdict, Verdict::Granted { .. })).count();
    assert!((6..8).contains(&placed), "{placed}");
}
