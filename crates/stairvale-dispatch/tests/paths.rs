//! Detection of faults between zones from late copies: a home stops copies between two zones whose engines can't copy
//! from each other.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use stairvale_dispatch::{Answer, Ask, Listing, Outcome, Part, Pool, Verdict, pool::Rules};
use stairvale_types::{Moment, id, unit};

/// Length of a prompt's shared prefix, in tokens.
const PREFIX_TOKENS: u32 = 8_000;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn request(number: u128, prompt: u64) -> Ask {
    let unique = Part { id: 1_000 + u64::try_from(number).unwrap(), tokens: 500 };
    Ask {
        attempt: id::Attempt(number),
        entry: "r1".parse().unwrap(),
        zone: "near".parse().unwrap(),
        customer: None,
        route: id::Route(0),
        fingerprint: id::Fingerprint::default(),
        priority: 1,
        repeatable: true,
        parts: vec![Part { id: prompt, tokens: PREFIX_TOKENS }, unique],
        output: 50,
        objective: Duration::from_millis(500),
        patience: Duration::from_millis(100),
        avoid: Vec::new(),
        within: None,
        seen: None,
    }
}

fn source(answers: &[Answer]) -> Option<id::Upstream> {
    answers.iter().find_map(|answer| match &answer.verdict {
        Verdict::Granted { source, .. } => source.clone(),
        Verdict::Refused(_) => None,
    })
}

/// Engines e0, e1 and so on in the given zones. The first `holders` of them hold the prefixes of prompts 1 to 20.
fn pool(zones: &[&str], holders: usize) -> (Pool, Vec<id::Upstream>) {
    let listing = |(index, zone): (usize, &&str)| Listing {
        id: format!("e{index}").parse().unwrap(),
        zone: zone.parse().unwrap(),
        slots: 16,
        usable: true,
        cold: Duration::ZERO,
        revision: 1,
        version: None,
    };
    let members: Vec<_> = zones.iter().enumerate().map(listing).collect();
    let rules =
        Rules { engine: Some(unit::Tokens(400_000)), copies: true, load_multiple: 0.0, load_slack: 3.0, cold: None };
    let mut pool = Pool::new(rules);
    pool.set_members(at(0), &members);
    let ids: Vec<_> = members.into_iter().map(|listing| listing.id).collect();
    for (holder, prompt) in (0..holders).flat_map(|holder| (1..=20).map(move |prompt| (holder, prompt))) {
        pool.record_prefill(&ids[holder], &request(u128::from(prompt), prompt).parts);
    }
    (pool, ids)
}

/// Sends a request with a prompt to the last engine. Its first event arrives after `took_ms`, or never if that is
/// `None`. Returns the engine to copy from.
fn copy(pool: &mut Pool, ids: &[id::Upstream], now: u64, prompt: u64, took_ms: Option<u64>) -> Option<id::Upstream> {
    let number = 100_000 + u128::from(now) * 100 + u128::from(prompt);
    let mut request = request(number, prompt);
    request.avoid = ids[..ids.len() - 1].to_vec();
    let from = source(&pool.ask(at(now), request));
    if let Some(took) = took_ms {
        pool.record_first_event(at(now + took), id::Attempt(number), Duration::from_millis(took));
        pool.release(at(now + took), id::Attempt(number), Outcome::Served, None);
    }
    from
}

#[test]
fn after_late_copies_from_a_zone_one_request_at_a_time_tries_to_copy() {
    let (mut pool, ids) = pool(&["far", "near"], 1);
    let far = Some(ids[0].clone());
    assert_eq!(copy(&mut pool, &ids, 1_000, 1, Some(900)), far);
    assert_eq!(copy(&mut pool, &ids, 2_000, 2, Some(900)), far, "one late copy isn't enough");
    assert_eq!(copy(&mut pool, &ids, 2_950, 3, Some(300)), None, "the prefix is prefilled instead of copied");
    assert_eq!(copy(&mut pool, &ids, 3_300, 4, Some(300)), None);
    assert_eq!(copy(&mut pool, &ids, 4_000, 5, None), far, "one request tries to copy");
    assert_eq!(copy(&mut pool, &ids, 4_010, 6, Some(300)), None, "the others don't copy until its outcome is known");
    assert_eq!(copy(&mut pool, &ids, 5_900, 7, Some(300)), None, "the pause between trials grows");
    assert_eq!(copy(&mut pool, &ids, 6_100, 8, Some(100)), far);
    assert_eq!(copy(&mut pool, &ids, 6_300, 9, Some(100)), far, "all requests copy again after one timely copy");
    assert_eq!(copy(&mut pool, &ids, 6_500, 10, Some(100)), far);
}

#[test]
fn late_copies_with_timely_ones_in_between_do_not_stop_copies() {
    let (mut pool, ids) = pool(&["far", "near"], 1);
    for step in 0..8 {
        let took = if step % 2 == 0 { 900 } else { 100 };
        assert_eq!(copy(&mut pool, &ids, 1_000 * (step + 1), step + 1, Some(took)), Some(ids[0].clone()));
    }
}

#[test]
fn late_copies_from_one_zone_do_not_stop_copies_from_another() {
    // The first three engines hold all prefixes, so that any of them may be the copy source.
    let (mut pool, ids) = pool(&["other", "far", "far", "near"], 3);
    let mut sources = Vec::new();
    for step in 0..12 {
        let from = copy(&mut pool, &ids, 1_000 + 20 * step, step + 1, None);
        sources.push(from.clone());
        if from.as_ref().is_some_and(|from| from != &ids[0]) {
            let number = 100_000 + u128::from(1_000 + 20 * step) * 100 + u128::from(step + 1);
            pool.record_first_event(at(1_000 + 20 * step + 10), id::Attempt(number), Duration::from_millis(900));
            pool.release(at(1_000 + 20 * step + 10), id::Attempt(number), Outcome::Served, None);
        }
    }
    assert_eq!(sources.iter().filter(|from| from.as_ref().is_some_and(|from| from != &ids[0])).count(), 2);
    assert!(sources[3..].iter().all(|from| from.as_ref() == Some(&ids[0])), "{sources:?}");
}

#[test]
fn late_copies_within_a_zone_do_not_stop_copies() {
    let (mut pool, ids) = pool(&["near", "near"], 1);
    for step in 0..4 {
        assert_eq!(copy(&mut pool, &ids, 1_000 * (step + 1), step + 1, Some(900)), Some(ids[0].clone()));
    }
}

/// While copies between two zones are stopped, copy sources are searched zone by zone. If each decision sorted the
/// zones of all members to list them, that would take three quarters of a home's CPU time with 9,600 engines, and the
/// home would use half a core.
#[test]
fn a_decision_while_copies_are_stopped_takes_no_more_scans_with_more_engines() {
    let scans = [400, 4_000].map(|engines| {
        let zones: Vec<_> = (0..engines).map(|index| if index % 2 == 0 { "far" } else { "near" }).collect();
        let (mut pool, ids) = pool(&zones, 1);
        copy(&mut pool, &ids, 100, 1, Some(2_000));
        copy(&mut pool, &ids, 2_200, 2, Some(2_000));
        let before = pool.scanned_members();
        for number in 0..20 {
            pool.ask(at(4_300), request(number, 3 + u64::try_from(number).unwrap()));
        }
        pool.scanned_members() - before
    });
    assert!(scans[1] <= scans[0] * 5 / 4, "{scans:?} members scanned");
}
