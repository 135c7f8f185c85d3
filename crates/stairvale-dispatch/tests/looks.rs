//! What a home's work for one request depends on: what the request is about, and not how many upstreams there are.
//!
//! A fleet of 985 routers before 9,600 engines has one home a service. Each decision about a prompt that few engines hold went
//! through all engines up to six times, and so did each word of an entry about what runs there, twice a second from each of
//! hundreds of entries. By then the home was late, entries decided by themselves, knew nothing of what engines held, and had
//! prompts read again. That the time goes into looks at members showed by their count; these tests count them.

#![allow(clippy::unwrap_used)]

mod fleet;

use std::time::Duration;

use fleet::{ask, at, engines, place};
use stairvale_dispatch::{Ask, Held, Outcome, Pool, Verdict};
use stairvale_types::id;

/// Few upstreams of a large fleet, and many.
const FEW: usize = 1_000;
const MANY: usize = 8_000;
/// Requests that are counted.
const REQUESTS: u128 = 400;
/// Entries that ask in turn.
const ENTRIES: u128 = 40;

fn pool(upstreams: usize) -> Pool {
    let mut pool = fleet::pool(engines(), upstreams, 0, 32);
    // Else they are asked for what they hold.
    pool.unknown(|_| true);
    pool
}

fn entry(number: u128) -> id::Router {
    format!("r{}", number % ENTRIES).parse().unwrap()
}

/// Requests of so many prompts, one after the other, each of which runs while ten others do.
fn play(pool: &mut Pool, from: u128, prompts: u64) {
    for number in from..from + REQUESTS {
        let now = at(u64::try_from(number).unwrap() * 2);
        let prompt = u64::try_from(number).unwrap() * 7_919 % prompts;
        let parts =
            [(prompt % 4 + 1, 2_000), (1_000 + prompt, 6_000), (1_000_000 + u64::try_from(number).unwrap(), 500)];
        let answers = pool.ask(now, Ask { entry: entry(number), ..ask(number, 0, &parts) });
        assert!(place(&answers).is_some() || pool.waiting() > 0);
        pool.begun(now, id::Attempt(number), Duration::from_millis(50));
        pool.unknown(|_| true);
        if number >= 10 {
            pool.release(now, id::Attempt(number - 10), Outcome::Served, None);
        }
    }
}

/// Members that were looked at meanwhile, for each of the requests.
fn looks_each(pool: &mut Pool, play: impl FnOnce(&mut Pool)) -> u64 {
    let before = pool.looks();
    play(pool);
    (pool.looks() - before) / u64::try_from(REQUESTS).unwrap()
}

#[test]
fn a_decision_about_a_prompt_that_nobody_holds_takes_no_longer_with_more_engines() {
    let looks = [FEW, MANY].map(|upstreams| looks_each(&mut pool(upstreams), |pool| play(pool, 0, 1_000_000)));
    assert!(looks[1] <= looks[0] * 5 / 4, "{looks:?} looks a request");
}

#[test]
fn a_decision_about_a_prompt_in_use_takes_no_longer_with_more_engines() {
    let looks = [FEW, MANY].map(|upstreams| {
        let mut pool = pool(upstreams);
        play(&mut pool, 0, 50);
        looks_each(&mut pool, |pool| play(pool, REQUESTS, 50))
    });
    assert!(looks[1] <= looks[0] * 5 / 4, "{looks:?} looks a request");
}

#[test]
fn a_beginning_that_thousands_hold_is_decided_about_as_soon_as_one_that_hundreds_hold() {
    let looks = [FEW, MANY].map(|upstreams| {
        let mut pool = pool(upstreams);
        let all: Vec<_> = pool.members().map(|member| member.id.clone()).collect();
        let hot = ask(0, 0, &[(1, 2_000), (1_001, 6_000), (0, 1)]);
        for upstream in &all {
            pool.learn_prefixes(upstream, hot.shared());
        }
        looks_each(&mut pool, |pool| play(pool, 0, 1))
    });
    assert!(looks[1] <= looks[0] * 5 / 4, "{looks:?} looks a request");
}

#[test]
fn the_word_of_one_entry_is_about_what_runs_there_alone() {
    let mut pool = pool(MANY);
    play(&mut pool, 0, 50);
    let before = pool.looks();
    for number in 0..ENTRIES {
        let entry = entry(number);
        let of_entry = pool.members().flat_map(|member| {
            let held = member.held().iter().filter(|(_, hold)| hold.entry == entry);
            held.map(|(attempt, hold)| Held {
                attempt: *attempt,
                upstream: member.id.clone(),
                read: 0,
                customer: None,
                route: hold.route,
                fingerprint: hold.fingerprint,
            })
        });
        let of_entry: Vec<_> = of_entry.collect();
        pool.renew(at(1_000), &entry, &of_entry);
    }
    assert!(pool.looks() - before <= 200, "{} looks", pool.looks() - before);
}

#[test]
fn a_tick_looks_at_what_runs_alone() {
    let mut pool = pool(MANY);
    play(&mut pool, 0, 50);
    let before = pool.looks();
    pool.tick(at(1_000));
    assert!(pool.looks() - before <= 100, "{} looks", pool.looks() - before);
}

#[test]
fn an_upstream_that_fails_is_compared_with_some_others() {
    let mut pool = pool(MANY);
    play(&mut pool, 0, 50);
    let before = pool.looks();
    pool.release(at(1_000), id::Attempt(REQUESTS - 1), Outcome::Failed, None);
    assert!(pool.looks() - before <= 200, "{} looks", pool.looks() - before);
}

/// Requests of many prompts, more at once than there are engines, of which each runs while `running` others do. Gives the tokens
/// that were to be read, and the most that one engine ran.
fn crowd(pool: &mut Pool, running: u128) -> (u64, u32) {
    let (mut read, mut most) = (0, 0);
    for number in 0..running * 3 {
        let now = at(u64::try_from(number).unwrap());
        let number64 = u64::try_from(number).unwrap();
        let prompt = number64 * 7_919 % 400;
        let parts = [(prompt % 4 + 1, 2_000), (1_000 + prompt, 6_000), (1_000_000 + number64, 500)];
        let answers = pool.ask(now, Ask { entry: entry(number), ..ask(number, 0, &parts) });
        for answer in &answers {
            if let Verdict::Granted { read: tokens, .. } = &answer.verdict {
                read += u64::from(*tokens);
            }
        }
        pool.begun(now, id::Attempt(number), Duration::from_millis(50));
        if number >= running {
            pool.release(now, id::Attempt(number - running), Outcome::Served, None);
        }
        most = most.max(pool.members().map(stairvale_dispatch::Member::running).max().unwrap());
    }
    (read, most)
}

#[test]
fn a_short_look_at_a_crowd_is_as_good_as_a_whole_one() {
    const ENGINES: usize = 600;
    let (mut short, mut whole) = (pool(ENGINES), pool(ENGINES).with_whole_look());
    let (short, whole) = (crowd(&mut short, 1_500), crowd(&mut whole, 1_500));
    assert!(short.0 * 100 <= whole.0 * 102, "{short:?} and {whole:?}");
    assert!(short.1 <= whole.1 + 1, "{short:?} and {whole:?}");
}
