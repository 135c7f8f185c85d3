//! The work of a home for one request must not grow with the number of upstreams.
//!
//! In a fleet of 985 routers and 9,600 engines each service has one home. If each decision about a prompt that few
//! engines hold scans all engines up to six times, and so does each status report, which hundreds of entries send twice
//! a second, the home answers too late. Then entries decide by themselves, without the home's record of the engines'
//! prefixes, and prompts are prefilled again. Scans of members take most of the home's time, so these tests count the
//! scanned members.

#![allow(clippy::unwrap_used)]

mod fleet;

use std::time::Duration;

use fleet::{at, engines, granted_upstream, request};
use stairvale_dispatch::{Ask, Held, Outcome, Pool, Verdict};
use stairvale_types::id;

/// Upstreams of a small fleet.
const SMALL_FLEET: usize = 1_000;
/// Upstreams of a large fleet.
const LARGE_FLEET: usize = 8_000;
/// Requests over which the scanned members are averaged.
const REQUESTS: u128 = 400;
/// Entries that send requests in turn.
const ENTRIES: u128 = 40;

fn pool(upstreams: usize) -> Pool {
    let mut pool = fleet::pool(engines(), upstreams, 0, 32);
    // Marks the engines' prefixes as known; otherwise a router queries the engines for them.
    pool.take_unknown_caches(|_| true);
    pool
}

fn entry(number: u128) -> id::Router {
    format!("r{}", number % ENTRIES).parse().unwrap()
}

/// Sends `REQUESTS` requests with `prompts` different prompts, one after the other; eleven run at once.
fn run_requests(pool: &mut Pool, from: u128, prompts: u64) {
    for number in from..from + REQUESTS {
        let now = at(u64::try_from(number).unwrap() * 2);
        let prompt = u64::try_from(number).unwrap() * 7_919 % prompts;
        let parts =
            [(prompt % 4 + 1, 2_000), (1_000 + prompt, 6_000), (1_000_000 + u64::try_from(number).unwrap(), 500)];
        let answers = pool.ask(now, Ask { entry: entry(number), ..request(number, 0, &parts) });
        assert!(granted_upstream(&answers).is_some() || pool.waiting() > 0);
        pool.record_first_event(now, id::Attempt(number), Duration::from_millis(50));
        pool.take_unknown_caches(|_| true);
        if number >= 10 {
            pool.release(now, id::Attempt(number - 10), Outcome::Served, None);
        }
    }
}

/// Returns the members that were scanned by `run`, per request.
fn scans_per_request(pool: &mut Pool, run: impl FnOnce(&mut Pool)) -> u64 {
    let before = pool.scanned_members();
    run(pool);
    (pool.scanned_members() - before) / u64::try_from(REQUESTS).unwrap()
}

#[test]
fn a_decision_about_a_prompt_without_a_cached_prefix_takes_no_more_scans_with_more_engines() {
    let scans = [SMALL_FLEET, LARGE_FLEET]
        .map(|upstreams| scans_per_request(&mut pool(upstreams), |pool| run_requests(pool, 0, 1_000_000)));
    assert!(scans[1] <= scans[0] * 5 / 4, "{scans:?} members scanned per request");
}

#[test]
fn a_decision_about_a_prompt_in_use_takes_no_more_scans_with_more_engines() {
    let scans = [SMALL_FLEET, LARGE_FLEET].map(|upstreams| {
        let mut pool = pool(upstreams);
        run_requests(&mut pool, 0, 50);
        scans_per_request(&mut pool, |pool| run_requests(pool, REQUESTS, 50))
    });
    assert!(scans[1] <= scans[0] * 5 / 4, "{scans:?} members scanned per request");
}

#[test]
fn a_prefix_that_all_engines_hold_takes_no_more_scans_with_more_engines() {
    let scans = [SMALL_FLEET, LARGE_FLEET].map(|upstreams| {
        let mut pool = pool(upstreams);
        let all: Vec<_> = pool.members().map(|member| member.id.clone()).collect();
        let prompt = request(0, 0, &[(1, 2_000), (1_001, 6_000), (0, 1)]);
        for upstream in &all {
            pool.learn_prefixes(upstream, prompt.shared());
        }
        scans_per_request(&mut pool, |pool| run_requests(pool, 0, 1))
    });
    assert!(scans[1] <= scans[0] * 5 / 4, "{scans:?} members scanned per request");
}

#[test]
fn the_status_report_of_an_entry_scans_only_its_own_requests() {
    let mut pool = pool(LARGE_FLEET);
    run_requests(&mut pool, 0, 50);
    let before = pool.scanned_members();
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
                fingerprint: hold.contents.fingerprint,
            })
        });
        let of_entry: Vec<_> = of_entry.collect();
        pool.renew(at(1_000), &entry, &of_entry);
    }
    assert!(pool.scanned_members() - before <= 200, "{} members scanned", pool.scanned_members() - before);
}

#[test]
fn a_tick_scans_only_running_requests() {
    let mut pool = pool(LARGE_FLEET);
    run_requests(&mut pool, 0, 50);
    let before = pool.scanned_members();
    pool.tick(at(1_000));
    assert!(pool.scanned_members() - before <= 100, "{} members scanned", pool.scanned_members() - before);
}

#[test]
fn a_failing_upstream_is_compared_with_only_a_sample_of_others() {
    let mut pool = pool(LARGE_FLEET);
    run_requests(&mut pool, 0, 50);
    let before = pool.scanned_members();
    pool.release(at(1_000), id::Attempt(REQUESTS - 1), Outcome::Failed, None);
    assert!(pool.scanned_members() - before <= 200, "{} members scanned", pool.scanned_members() - before);
}

/// Sends requests with many prompts, of which `running` run at once, more than there are engines. Returns the prompt
/// tokens that had to be prefilled, and the maximum number of requests that one engine ran.
fn run_concurrent(pool: &mut Pool, running: u128) -> (u64, u32) {
    let (mut read, mut max_running) = (0, 0);
    for number in 0..running * 3 {
        let now = at(u64::try_from(number).unwrap());
        let number64 = u64::try_from(number).unwrap();
        let prompt = number64 * 7_919 % 400;
        let parts = [(prompt % 4 + 1, 2_000), (1_000 + prompt, 6_000), (1_000_000 + number64, 500)];
        let answers = pool.ask(now, Ask { entry: entry(number), ..request(number, 0, &parts) });
        for answer in &answers {
            if let Verdict::Granted { read: tokens, .. } = &answer.verdict {
                read += u64::from(*tokens);
            }
        }
        pool.record_first_event(now, id::Attempt(number), Duration::from_millis(50));
        if number >= running {
            pool.release(now, id::Attempt(number - running), Outcome::Served, None);
        }
        max_running = max_running.max(pool.members().map(stairvale_dispatch::Member::running).max().unwrap());
    }
    (read, max_running)
}

#[test]
fn a_partial_scan_under_high_concurrency_is_as_good_as_a_full_scan() {
    const ENGINES: usize = 600;
    let (mut partial, mut full) = (pool(ENGINES), pool(ENGINES).with_full_scan());
    let (partial, full) = (run_concurrent(&mut partial, 1_500), run_concurrent(&mut full, 1_500));
    assert!(partial.0 * 100 <= full.0 * 102, "{partial:?} and {full:?}");
    assert!(partial.1 <= full.1 + 1, "{partial:?} and {full:?}");
}
