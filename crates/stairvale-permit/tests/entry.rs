//! Tests that the entry tries engines in the right order, and that it releases every permit it doesn't use.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod sample;

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use sample::profile;
use stairvale_permit::{
    Entry,
    entry::{PERMIT_REQUEST_TIMEOUT, RENEW_INTERVAL},
    request::{Directory, Effect, Share, UpstreamRequest},
};
use stairvale_placement::choice::Estimate;
use stairvale_types::{Moment, Reason, Refusal, id};
use stairvale_wire::{PermitRequest, Profile, Verdict};

/// A fleet of three engines, each with its home and the home's successor.
struct Fleet {
    homes: HashMap<String, [&'static str; 2]>,
    closed: HashSet<String>,
    share: Option<Share>,
}

impl Fleet {
    fn new() -> Self {
        let homes = [("e0", ["h0", "h1"]), ("e1", ["h1", "h2"]), ("e2", ["h2", "h0"])];
        let homes = homes.into_iter().map(|(engine, homes)| (engine.to_owned(), homes)).collect();
        Self { homes, closed: HashSet::new(), share: None }
    }
}

impl Directory for Fleet {
    fn home(&self, upstream: &id::Upstream, rank: usize) -> Option<id::Router> {
        self.homes.get(upstream.as_str())?.get(rank)?.parse().ok()
    }

    fn usable(&self, upstream: &id::Upstream) -> bool {
        !self.closed.contains(upstream.as_str())
    }

    fn share(&self, _: &id::Upstream) -> Option<Share> {
        self.share
    }
}

fn request(attempt: u128, returning: bool) -> UpstreamRequest {
    UpstreamRequest {
        attempt: id::Attempt(attempt),
        profile: Profile { returning, ..profile() },
        estimate: Estimate {
            prefill: Duration::from_millis(200),
            transfer: Some(Duration::from_millis(30)),
            max_prefix_wait: Duration::from_millis(300),
            deadline: Duration::from_secs(10),
        },
        candidates: ["e0", "e1", "e2"].iter().map(|name| name.parse().unwrap()).collect(),
    }
}

fn find_ask(effects: &[Effect]) -> Option<(String, &PermitRequest)> {
    effects.iter().find_map(|effect| match effect {
        Effect::Ask { to, ask } => Some((to.to_string(), ask)),
        _ => None,
    })
}

fn find_grant(effects: &[Effect]) -> Option<&stairvale_permit::request::Grant> {
    effects.iter().find_map(|effect| match effect {
        Effect::Granted(grant) => Some(grant),
        _ => None,
    })
}

const NOW: Moment = Moment::from_millis(5_000);
const GRANT: Verdict = Verdict::Granted { outstanding: 1, over_share: false };

struct Setup {
    entry: Entry,
    fleet: Fleet,
}

impl Setup {
    fn new() -> Self {
        Self { entry: Entry::new(), fleet: Fleet::new() }
    }

    fn start_request(&mut self, returning: bool) -> Vec<Effect> {
        self.entry.request_upstream(NOW, &self.fleet, request(1, returning))
    }

    fn answer(&mut self, from: &str, engine: &str, verdict: Verdict) -> Vec<Effect> {
        let (from, engine) = (from.parse().unwrap(), engine.parse().unwrap());
        self.entry.answer(NOW, &self.fleet, &from, &engine, id::Attempt(1), verdict)
    }
}

#[test]
fn a_granted_permit_is_released_when_the_attempt_ends() {
    let mut setup = Setup::new();
    let effects = setup.start_request(false);
    let (home, ask) = find_ask(&effects).unwrap();
    assert_eq!((home.as_str(), ask.upstream.as_str()), ("h0", "e0"));
    let effects = setup.answer("h0", "e0", GRANT);
    assert_eq!(find_grant(&effects).unwrap().upstream.as_str(), "e0");
    let effects = setup.entry.end(id::Attempt(1));
    assert!(matches!(&effects[..], [Effect::Release { to, .. }] if to.as_str() == "h0"));
    assert_eq!(setup.entry.held_permits(), 0);
}

#[test]
fn a_late_grant_is_released_at_once() {
    let mut setup = Setup::new();
    setup.start_request(false);
    let effects = setup.entry.end(id::Attempt(1));
    assert!(matches!(&effects[..], [Effect::Forget { .. }]));
    let effects = setup.answer("h0", "e0", GRANT);
    assert!(matches!(&effects[..], [Effect::Release { .. }]));
    assert_eq!(setup.entry.counts().late, 1);
}

#[test]
fn a_grant_from_a_former_home_is_released() {
    let mut setup = Setup::new();
    setup.start_request(false);
    setup.fleet.homes.insert("e0".into(), ["h1", "h2"]);
    let effects = setup.entry.homes_changed(NOW, &setup.fleet);
    assert_eq!(find_ask(&effects).unwrap().0, "h1");
    let effects = setup.answer("h0", "e0", GRANT);
    assert!(matches!(&effects[..], [Effect::Release { to, .. }] if to.as_str() == "h0"));
    assert!(find_grant(&setup.answer("h1", "e0", GRANT)).is_some());
}

#[test]
fn a_duplicate_grant_has_no_effect() {
    let mut setup = Setup::new();
    setup.start_request(false);
    setup.answer("h0", "e0", GRANT);
    assert!(setup.answer("h0", "e0", GRANT).is_empty());
    assert_eq!(setup.entry.held_permits(), 1);
}

#[test]
fn an_overflow_tries_the_next_ranked_engine_and_notifies_the_first_choices_home() {
    let mut setup = Setup::new();
    setup.start_request(true);
    let effects = setup.answer("h0", "e0", Verdict::Overflow { emptiest: vec!["e2".parse().unwrap()] });
    let (_, ask) = find_ask(&effects).unwrap();
    assert_eq!((ask.upstream.as_str(), ask.patience), ("e1", Duration::ZERO));
    let effects = setup.answer("h1", "e1", GRANT);
    let moved = effects.iter().any(|effect| matches!(effect, Effect::Moved { to, upstream, .. } if to.as_str() == "h0" && upstream.as_str() == "e1"));
    assert!(moved, "{effects:?}");
    assert_eq!(
        find_grant(&effects).unwrap().import_from.as_ref().unwrap().as_str(),
        "e0",
        "a transfer is cheaper than prefilling again"
    );
}

#[test]
fn the_emptiest_engine_and_a_last_resort_follow_the_ranked_list() {
    let mut setup = Setup::new();
    setup.start_request(false);
    let full = || Verdict::Overflow { emptiest: vec!["e2".parse().unwrap()] };
    setup.answer("h0", "e0", full());
    let effects = setup.answer("h1", "e1", full());
    assert_eq!(find_ask(&effects).unwrap().1.upstream.as_str(), "e2");
    let effects = setup.answer("h2", "e2", full());
    let (_, ask) = find_ask(&effects).unwrap();
    assert_eq!(ask.upstream.as_str(), "e0");
    assert_eq!(ask.patience, ask.deadline, "a last resort waits up to its deadline");
}

#[test]
fn an_exception_redirects_to_the_engine_with_the_prefix() {
    let mut setup = Setup::new();
    setup.start_request(true);
    let effects = setup.answer("h0", "e0", Verdict::Elsewhere { upstream: "e2".parse().unwrap() });
    let (home, ask) = find_ask(&effects).unwrap();
    assert_eq!((home.as_str(), ask.upstream.as_str()), ("h2", "e2"));
    assert!(ask.patience > Duration::ZERO, "waiting for the prefix there is worthwhile");
    let effects = setup.answer("h2", "e2", GRANT);
    assert!(
        !effects.iter().any(|effect| matches!(effect, Effect::Moved { .. })),
        "the first choice's home has recorded it already"
    );
}

#[test]
fn an_unresponsive_home_is_replaced_by_its_successor_and_then_by_a_bounded_share() {
    let mut setup = Setup::new();
    setup.start_request(false);
    let effects = setup.entry.tick(NOW + PERMIT_REQUEST_TIMEOUT, &setup.fleet);
    assert_eq!(find_ask(&effects).unwrap().0, "h1");
    setup.fleet.share = Some(Share { reported_load: 3, slots: 8, own_slots: 1 });
    let effects = setup.entry.tick(NOW + PERMIT_REQUEST_TIMEOUT * 2, &setup.fleet);
    assert!(find_grant(&effects).unwrap().degraded);
    // The share is used up, so the next request falls through to other engines.
    let next = setup.entry.request_upstream(NOW, &setup.fleet, request(2, false));
    assert!(find_ask(&next).is_some());
    setup.entry.tick(NOW + PERMIT_REQUEST_TIMEOUT * 3, &setup.fleet);
    let effects = setup.entry.tick(NOW + PERMIT_REQUEST_TIMEOUT * 6, &setup.fleet);
    assert_eq!(find_ask(&effects).unwrap().1.upstream.as_str(), "e1");
}

#[test]
fn a_not_home_answer_is_followed_once() {
    let mut setup = Setup::new();
    setup.start_request(false);
    let effects = setup.answer("h0", "e0", Verdict::NotHome { home: Some("h9".parse().unwrap()) });
    assert_eq!(find_ask(&effects).unwrap().0, "h9");
    assert!(find_grant(&setup.answer("h9", "e0", GRANT)).is_some());
}

#[test]
fn unusable_engines_are_skipped_and_without_any_other_the_request_is_refused() {
    let mut setup = Setup::new();
    setup.fleet.closed = ["e0".to_owned(), "e1".to_owned()].into();
    let effects = setup.start_request(false);
    assert_eq!(find_ask(&effects).unwrap().1.upstream.as_str(), "e2");
    setup.entry.end(id::Attempt(1));
    setup.fleet.closed.insert("e2".into());
    let effects = setup.start_request(false);
    assert!(matches!(&effects[..], [Effect::Refused { refusal, .. }] if refusal.reason == Reason::NoUpstream));
}

#[test]
fn a_refusal_is_returned_at_once() {
    let mut setup = Setup::new();
    setup.start_request(false);
    let refusal = Refusal::new(Reason::Busy, Duration::from_secs(1));
    let effects = setup.answer("h0", "e0", Verdict::Refused(refusal));
    assert!(matches!(&effects[..], [Effect::Refused { refusal: passed, .. }] if *passed == refusal));
    assert_eq!(setup.entry.pending_attempts(), 0);
}

#[test]
fn held_permits_are_renewed_in_one_frame_per_home() {
    let mut setup = Setup::new();
    for attempt in 1..=5 {
        setup.entry.request_upstream(NOW, &setup.fleet, request(attempt, false));
        let (from, engine) = ("h0".parse().unwrap(), "e0".parse().unwrap());
        setup.entry.answer(NOW, &setup.fleet, &from, &engine, id::Attempt(attempt), GRANT);
    }
    let effects = setup.entry.tick(NOW + RENEW_INTERVAL, &setup.fleet);
    let [Effect::Renew { held, .. }] = &effects[..] else {
        panic!("{effects:?}");
    };
    assert_eq!(held[0].attempts.len(), 5);
}

#[test]
fn a_request_without_any_home_or_share_is_refused_at_once() {
    // This is the state of the last router of a fleet while it stops: every engine is usable, but none has a home.
    let mut setup = Setup::new();
    setup.fleet.homes.clear();
    let effects = setup.start_request(true);
    assert!(matches!(effects[..], [Effect::Refused { .. }]), "{effects:?}");
    assert_eq!(setup.entry.pending_attempts(), 0);
}

#[test]
fn a_hint_to_an_engine_that_failed_the_request_is_not_followed() {
    let mut setup = Setup::new();
    let mut retry = request(1, true);
    retry.candidates.retain(|engine| engine.as_str() != "e0");
    setup.entry.request_upstream(NOW, &setup.fleet, retry);
    // The home has recorded that the prefix is at the engine that has just failed the request.
    let effects = setup.answer("h1", "e1", Verdict::Elsewhere { upstream: "e0".parse().unwrap() });
    let (home, ask) = find_ask(&effects).unwrap();
    assert_eq!((home.as_str(), ask.upstream.as_str()), ("h1", "e1"));
    assert!(!ask.profile.returning, "the home must not redirect to the failed engine again");
}
