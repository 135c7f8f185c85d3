//! Builders for tests of the home of a service during a roll-out: listings, requests, policies and reservations.

#![allow(dead_code, clippy::unwrap_used)]

use std::time::Duration;

use stairvale_dispatch::{Answer, Ask, Listing, Outcome, Part, Pool, Verdict, pool::Rules};
use stairvale_rollout::{Policy, Reservation, Stage};
use stairvale_types::{Moment, id, unit};

pub fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

pub fn engines() -> Rules {
    Rules { engine: Some(unit::Tokens(200_000)), copies: true, load_multiple: 2.0, load_slack: 3.0, cold: None }
}

pub fn version(name: &str) -> id::Version {
    name.parse().unwrap()
}

pub fn policy(stage: Stage) -> Option<Policy> {
    Some(Policy { target: version("v2"), stage, rejected: Vec::new() })
}

/// Listings of `old` upstreams of version v1, named o0, o1 and so on, and of `new` upstreams of version v2, named n0,
/// n1 and so on, in three availability zones in turn.
pub fn listings(old: usize, new: usize, slots: u32) -> Vec<Listing> {
    let listing = |name: String, zone: usize, release: &str| Listing {
        id: name.parse().unwrap(),
        zone: ["a", "b", "c"][zone % 3].parse().unwrap(),
        slots,
        usable: true,
        cold: Duration::ZERO,
        revision: 1,
        version: Some(version(release)),
    };
    let olds = (0..old).map(|index| listing(format!("o{index}"), index, "v1"));
    olds.chain((0..new).map(|index| listing(format!("n{index}"), index, "v2"))).collect()
}

pub fn pool(rules: Rules, old: usize, new: usize, slots: u32) -> Pool {
    let mut pool = Pool::new(rules);
    pool.set_members(at(0), &listings(old, new, slots));
    pool
}

pub fn request(number: u128, route: u64, parts: &[(u64, u32)]) -> Ask {
    Ask {
        attempt: id::Attempt(number),
        entry: "r1".parse().unwrap(),
        zone: "a".parse().unwrap(),
        customer: None,
        route: id::Route(route),
        fingerprint: id::Fingerprint::default(),
        priority: 1,
        repeatable: true,
        parts: parts.iter().map(|(id, tokens)| Part { id: *id, tokens: *tokens }).collect(),
        output: 50,
        objective: Duration::from_millis(500),
        patience: Duration::from_millis(100),
        avoid: Vec::new(),
        within: None,
        seen: None,
    }
}

pub fn reservation(requests: u32, until: u64, over: usize) -> Reservation {
    Reservation { requests, until: at(until), upstreams: over, unrepeatable: false }
}

pub fn granted_upstream(answers: &[Answer]) -> Option<id::Upstream> {
    answers.iter().find_map(|answer| match &answer.verdict {
        Verdict::Granted { upstream, .. } => Some(upstream.clone()),
        Verdict::Refused(_) => None,
    })
}

pub fn source(answers: &[Answer]) -> Option<id::Upstream> {
    answers.iter().find_map(|answer| match &answer.verdict {
        Verdict::Granted { source, .. } => source.clone(),
        Verdict::Refused(_) => None,
    })
}

pub fn is_new(upstream: &id::Upstream) -> bool {
    upstream.as_str().starts_with('n')
}

/// Sends `count` requests, each of which ends at once, and returns how many of them the new version got.
pub fn count_trials(pool: &mut Pool, from: u128, count: u128, now: u64, shape: impl Fn(Ask) -> Ask) -> usize {
    let numbers = from..from + count;
    let new = numbers.filter(|number| {
        let answers = pool.ask(at(now), shape(request(*number, 0, &[])));
        pool.release(at(now), id::Attempt(*number), Outcome::Served, Some(Duration::from_millis(5)));
        granted_upstream(&answers).is_some_and(|upstream| is_new(&upstream))
    });
    new.count()
}
