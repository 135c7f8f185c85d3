//! The entry finds its way from engine to engine, and gives back whatever it doesn't use.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod sample;

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use sample::profile;
use stairvale_permit::{
    Entry,
    entry::{ASK_TIMEOUT, RENEW_EVERY},
    request::{Directory, Effect, Share, Want},
};
use stairvale_placement::choice::Estimate;
use stairvale_types::{Moment, Reason, Refusal, id};
use stairvale_wire::{Ask, Profile, Verdict};

/// Three engines with a home each, and who takes over.
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

fn want(attempt: u128, returning: bool) -> Want {
    Want {
        attempt: id::Attempt(attempt),
        profile: Profile { returning, ..profile() },
        estimate: Estimate {
            rebuild: Duration::from_millis(200),
            transfer: Some(Duration::from_millis(30)),
            allowed: Duration::from_millis(300),
            deadline: Duration::from_secs(10),
        },
        candidates: ["e0", "e1", "e2"].iter().map(|name| name.parse().unwrap()).collect(),
    }
}

fn asked(effects: &[Effect]) -> Option<(String, &Ask)> {
    effects.iter().find_map(|effect| match effect {
        Effect::Ask { to, ask } => Some((to.to_string(), ask)),
        _ => None,
    })
}

fn granted(effects: &[Effect]) -> Option<&stairvale_permit::request::Grant> {
    effects.iter().find_map(|effect| match effect {
        Effect::Granted(grant) => Some(grant),
        _ => None,
    })
}

const NOW: Moment = Moment::from_millis(5_000);
const GRANT: Verdict = Verdict::Granted { outstanding: 1, over_share: false };

struct Bench {
    entry: Entry,
    fleet: Fleet,
}

impl Bench {
    fn new() -> Self {
        Self { entry: Entry::new(), fleet: Fleet::new() }
    }

    fn want(&mut self, returning: bool) -> Vec<Effect> {
        self.entry.want(NOW, &self.fleet, want(1, returning))
    }

    fn answer(&mut self, from: &str, engine: &str, verdict: Verdict) -> Vec<Effect> {
        let (from, engine) = (from.parse().unwrap(), engine.parse().unwrap());
        self.entry.answer(NOW, &self.fleet, &from, &engine, id::Attempt(1), verdict)
    }
}

#[test]
fn a_grant_is_used_and_given_back_at_the_end() {
    let mut bench = Bench::new();
    let effects = bench.want(false);
    let (home, ask) = asked(&effects).unwrap();
    assert_eq!((home.as_str(), ask.upstream.as_str()), ("h0", "e0"));
    let effects = bench.answer("h0", "e0", GRANT);
    assert_eq!(granted(&effects).unwrap().upstream.as_str(), "e0");
    let effects = bench.entry.end(id::Attempt(1));
    assert!(matches!(&effects[..], [Effect::Release { to, .. }] if to.as_str() == "h0"));
    assert_eq!(bench.entry.holding(), 0);
}

#[test]
fn a_late_grant_is_returned_at_once() {
    let mut bench = Bench::new();
    bench.want(false);
    let effects = bench.entry.end(id::Attempt(1));
    assert!(matches!(&effects[..], [Effect::Forget { .. }]));
    let effects = bench.answer("h0", "e0", GRANT);
    assert!(matches!(&effects[..], [Effect::Release { .. }]));
    assert_eq!(bench.entry.counts().late, 1);
}

#[test]
fn a_grant_of_a_home_that_is_no_longer_asked_is_returned() {
    let mut bench = Bench::new();
    bench.want(false);
    bench.fleet.homes.insert("e0".into(), ["h1", "h2"]);
    let effects = bench.entry.homes_changed(NOW, &bench.fleet);
    assert_eq!(asked(&effects).unwrap().0, "h1");
    let effects = bench.answer("h0", "e0", GRANT);
    assert!(matches!(&effects[..], [Effect::Release { to, .. }] if to.as_str() == "h0"));
    assert!(granted(&bench.answer("h1", "e0", GRANT)).is_some());
}

#[test]
fn a_doubled_grant_changes_nothing() {
    let mut bench = Bench::new();
    bench.want(false);
    bench.answer("h0", "e0", GRANT);
    assert!(bench.answer("h0", "e0", GRANT).is_empty());
    assert_eq!(bench.entry.holding(), 1);
}

#[test]
fn an_overflow_goes_down_the_ranked_list_and_the_first_home_learns_of_it() {
    let mut bench = Bench::new();
    bench.want(true);
    let effects = bench.answer("h0", "e0", Verdict::Overflow { emptiest: vec!["e2".parse().unwrap()] });
    let (_, ask) = asked(&effects).unwrap();
    assert_eq!((ask.upstream.as_str(), ask.patience), ("e1", Duration::ZERO));
    let effects = bench.answer("h1", "e1", GRANT);
    let moved = effects.iter().any(|effect| matches!(effect, Effect::Moved { to, upstream, .. } if to.as_str() == "h0" && upstream.as_str() == "e1"));
    assert!(moved, "{effects:?}");
    assert_eq!(
        granted(&effects).unwrap().import_from.as_ref().unwrap().as_str(),
        "e0",
        "moving is cheaper than rebuilding"
    );
}

#[test]
fn after_the_list_come_the_emptiest_and_then_a_last_resort() {
    let mut bench = Bench::new();
    bench.want(false);
    let full = || Verdict::Overflow { emptiest: vec!["e2".parse().unwrap()] };
    bench.answer("h0", "e0", full());
    let effects = bench.answer("h1", "e1", full());
    assert_eq!(asked(&effects).unwrap().1.upstream.as_str(), "e2");
    let effects = bench.answer("h2", "e2", full());
    let (_, ask) = asked(&effects).unwrap();
    assert_eq!(ask.upstream.as_str(), "e0");
    assert_eq!(ask.patience, ask.deadline, "now it waits as long as it may");
}

#[test]
fn an_exception_leads_to_where_the_prefix_is() {
    let mut bench = Bench::new();
    bench.want(true);
    let effects = bench.answer("h0", "e0", Verdict::Elsewhere { upstream: "e2".parse().unwrap() });
    let (home, ask) = asked(&effects).unwrap();
    assert_eq!((home.as_str(), ask.upstream.as_str()), ("h2", "e2"));
    assert!(ask.patience > Duration::ZERO, "the prefix there is worth a wait");
    let effects = bench.answer("h2", "e2", GRANT);
    assert!(!effects.iter().any(|effect| matches!(effect, Effect::Moved { .. })), "the first home knows it already");
}

#[test]
fn a_silent_home_is_replaced_by_the_next_and_then_by_a_bounded_share() {
    let mut bench = Bench::new();
    bench.want(false);
    let effects = bench.entry.tick(NOW + ASK_TIMEOUT, &bench.fleet);
    assert_eq!(asked(&effects).unwrap().0, "h1");
    bench.fleet.share = Some(Share { reported: 3, slots: 8, own: 1 });
    let effects = bench.entry.tick(NOW + ASK_TIMEOUT * 2, &bench.fleet);
    assert!(granted(&effects).unwrap().degraded);
    // The share is used up, so the next request goes on to other engines.
    let next = bench.entry.want(NOW, &bench.fleet, want(2, false));
    assert!(asked(&next).is_some());
    bench.entry.tick(NOW + ASK_TIMEOUT * 3, &bench.fleet);
    let effects = bench.entry.tick(NOW + ASK_TIMEOUT * 6, &bench.fleet);
    assert_eq!(asked(&effects).unwrap().1.upstream.as_str(), "e1");
}

#[test]
fn not_home_is_followed_once() {
    let mut bench = Bench::new();
    bench.want(false);
    let effects = bench.answer("h0", "e0", Verdict::NotHome { home: Some("h9".parse().unwrap()) });
    assert_eq!(asked(&effects).unwrap().0, "h9");
    assert!(granted(&bench.answer("h9", "e0", GRANT)).is_some());
}

#[test]
fn closed_engines_are_passed_over_and_with_none_left_the_answer_is_final() {
    let mut bench = Bench::new();
    bench.fleet.closed = ["e0".to_owned(), "e1".to_owned()].into();
    let effects = bench.want(false);
    assert_eq!(asked(&effects).unwrap().1.upstream.as_str(), "e2");
    bench.entry.end(id::Attempt(1));
    bench.fleet.closed.insert("e2".into());
    let effects = bench.want(false);
    assert!(matches!(&effects[..], [Effect::Refused { refusal, .. }] if refusal.reason == Reason::NoUpstream));
}

#[test]
fn a_refusal_is_passed_on_at_once() {
    let mut bench = Bench::new();
    bench.want(false);
    let refusal = Refusal::new(Reason::Busy, Duration::from_secs(1));
    let effects = bench.answer("h0", "e0", Verdict::Refused(refusal));
    assert!(matches!(&effects[..], [Effect::Refused { refusal: passed, .. }] if *passed == refusal));
    assert_eq!(bench.entry.asking(), 0);
}

#[test]
fn what_is_held_is_renewed_in_one_frame_a_home() {
    let mut bench = Bench::new();
    for attempt in 1..=5 {
        bench.entry.want(NOW, &bench.fleet, want(attempt, false));
        let (from, engine) = ("h0".parse().unwrap(), "e0".parse().unwrap());
        bench.entry.answer(NOW, &bench.fleet, &from, &engine, id::Attempt(attempt), GRANT);
    }
    let effects = bench.entry.tick(NOW + RENEW_EVERY, &bench.fleet);
    let [Effect::Renew { held, .. }] = &effects[..] else {
        panic!("{effects:?}");
    };
    assert_eq!(held[0].attempts.len(), 5);
}

#[test]
fn where_no_home_and_no_room_is_left_the_request_is_refused_at_once() {
    // As at the last router of a fleet, while it stops: every engine is usable, and none has a home.
    let mut bench = Bench::new();
    bench.fleet.homes.clear();
    let effects = bench.want(true);
    assert!(matches!(effects[..], [Effect::Refused { .. }]), "{effects:?}");
    assert_eq!(bench.entry.asking(), 0);
}

#[test]
fn a_hint_to_an_engine_that_failed_the_request_is_not_followed() {
    let mut bench = Bench::new();
    let mut retry = want(1, true);
    retry.candidates.retain(|engine| engine.as_str() != "e0");
    bench.entry.want(NOW, &bench.fleet, retry);
    // The first choice's home remembers that the prefix is at the engine that refused just now.
    let effects = bench.answer("h1", "e1", Verdict::Elsewhere { upstream: "e0".parse().unwrap() });
    let (home, ask) = asked(&effects).unwrap();
    assert_eq!((home.as_str(), ask.upstream.as_str()), ("h1", "e1"));
    assert!(!ask.profile.returning, "the home must not send it there again");
}
