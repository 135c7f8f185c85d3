//! Decisions of a service's home: which upstream a request is granted, when it waits, and when it is refused.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use quickcheck::quickcheck;
use stairvale_dispatch::{
    Answer, Ask, Held, Listing, Outcome, Part, Pool, Verdict,
    pool::{ColdLimits, Rules},
};
use stairvale_types::{Moment, id, outcome::Reason, unit};

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn engines() -> Rules {
    Rules { engine: Some(unit::Tokens(100_000)), copies: true, load_multiple: 2.0, load_slack: 3.0, cold: None }
}

fn pool(rules: Rules, count: usize, slots: u32) -> Pool {
    let mut pool = Pool::new(rules);
    pool.set_members(at(0), &listings(count, slots));
    pool
}

fn listings(count: usize, slots: u32) -> Vec<Listing> {
    let listing = |i: usize| Listing {
        id: format!("e{i}").parse().unwrap(),
        zone: "a".parse().unwrap(),
        slots,
        usable: true,
        cold: Duration::ZERO,
        revision: 1,
        version: None,
    };
    (0..count).map(listing).collect()
}

fn request(number: u128, parts: &[(u64, u32)]) -> Ask {
    Ask {
        attempt: id::Attempt(number),
        entry: "r1".parse().unwrap(),
        zone: "a".parse().unwrap(),
        customer: None,
        route: id::Route(0),
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

fn granted_upstream(answers: &[Answer]) -> Option<id::Upstream> {
    answers.iter().find_map(|answer| match &answer.verdict {
        Verdict::Granted { upstream, .. } => Some(upstream.clone()),
        Verdict::Refused(_) => None,
    })
}

fn refusal_reason(answers: &[Answer]) -> Option<Reason> {
    answers.iter().find_map(|answer| match &answer.verdict {
        Verdict::Granted { .. } => None,
        Verdict::Refused(refusal) => Some(refusal.reason),
    })
}

#[test]
fn a_prompt_goes_to_the_engine_that_holds_its_prefix() {
    let mut pool = pool(engines(), 8, 16);
    let first = granted_upstream(&pool.ask(at(0), request(1, &[(7, 2_000), (8, 6_000), (100, 500)]))).unwrap();
    pool.release(at(50), id::Attempt(1), Outcome::Served, None);
    for number in 2..20 {
        let again = request(number, &[(7, 2_000), (8, 6_000), (100 + u64::try_from(number).unwrap(), 500)]);
        assert_eq!(granted_upstream(&pool.ask(at(100), again)), Some(first.clone()));
        pool.release(at(120), id::Attempt(number), Outcome::Served, None);
    }
}

/// Two engines with one slot each. The returned one holds the prefix of a prompt, and its slot is taken.
fn prefix_on_full_engine() -> (Pool, id::Upstream) {
    let mut pool = pool(engines(), 2, 1);
    let first = granted_upstream(&pool.ask(at(0), request(1, &[(7, 2_000), (8, 6_000), (100, 500)]))).unwrap();
    pool.record_first_event(at(1), id::Attempt(1), Duration::from_millis(1));
    (pool, first)
}

fn source(answers: &[Answer]) -> Option<id::Upstream> {
    answers.iter().find_map(|answer| match &answer.verdict {
        Verdict::Granted { source, .. } => source.clone(),
        Verdict::Refused(_) => None,
    })
}

#[test]
fn prompt_sizes_do_not_affect_the_pace_of_equal_engines() {
    let mut pool = pool(engines(), 2, 16);
    let ids: Vec<_> = listings(2, 16).into_iter().map(|listing| listing.id).collect();
    for round in 0..60_u32 {
        for (other, tokens) in [(1, 60), (0, 6_000)] {
            let number = u128::from(round) * 2 + other as u128;
            let now = 200 * u64::from(round) + 100 * other as u64;
            let mut request = request(number, &[(1_000 + u64::try_from(number).unwrap(), tokens)]);
            request.avoid.push(ids[other].clone());
            assert!(granted_upstream(&pool.ask(at(now), request)).is_some());
            let took = Duration::from_millis(55) + Duration::from_micros(10) * tokens;
            pool.record_first_event(at(now + 80), id::Attempt(number), took);
            pool.release(at(now + 90), id::Attempt(number), Outcome::Served, None);
        }
    }
    let paces: Vec<_> = pool.members().map(|member| member.health.pace(at(12_000))).collect();
    assert!((paces[0] - paces[1]).abs() < 0.1, "{paces:?}");
}

#[test]
fn an_unresponsive_engine_is_no_copy_source_until_it_answers() {
    for outcome in [Outcome::Silent, Outcome::Unreachable, Outcome::Gone] {
        let (mut pool, first) = prefix_on_full_engine();
        pool.release(at(10), id::Attempt(1), outcome, None);
        let mut second = request(2, &[(7, 2_000), (8, 6_000), (101, 500)]);
        second.avoid.push(first.clone());
        let answers = pool.ask(at(11), second);
        assert!(granted_upstream(&answers).is_some());
        assert_eq!(source(&answers), None, "{outcome:?}");
        // The second engine is full by now, so that the first one gets a trial request, which it answers.
        let third = pool.ask(at(5_000), request(3, &[(9, 2_000), (102, 500)]));
        assert_eq!(granted_upstream(&third), Some(first.clone()), "{outcome:?}");
        pool.release(at(5_100), id::Attempt(3), Outcome::Served, None);
        pool.release(at(5_200), id::Attempt(2), Outcome::Served, None);
        let mut fourth = request(4, &[(9, 2_000), (103, 500)]);
        fourth.avoid.push(first.clone());
        assert_eq!(source(&pool.ask(at(5_300), fourth)), Some(first), "{outcome:?}");
    }
}

#[test]
fn an_engine_that_answers_with_errors_remains_a_copy_source() {
    let (mut pool, first) = prefix_on_full_engine();
    pool.release(at(10), id::Attempt(1), Outcome::Failed, None);
    let mut second = request(2, &[(7, 2_000), (8, 6_000), (101, 500)]);
    second.avoid.push(first.clone());
    assert_eq!(source(&pool.ask(at(11), second)), Some(first));
}

/// Engines e0 and e1 in another availability zone, and e2 in the entry's own. e0 holds the prefix of a prompt, and e1
/// didn't respond to a request.
fn two_zones() -> (Pool, Vec<id::Upstream>) {
    let mut pool = Pool::new(engines());
    let mut members = listings(3, 4);
    for member in &mut members[..2] {
        member.zone = "far".parse().unwrap();
    }
    pool.set_members(at(0), &members);
    let ids: Vec<_> = members.into_iter().map(|listing| listing.id).collect();
    for (number, target, outcome) in [(1, 0, Outcome::Served), (2, 1, Outcome::Silent)] {
        let mut request = request(number, &[(7 * u64::try_from(number).unwrap(), 8_000), (100, 500)]);
        request.avoid = ids.iter().filter(|id| **id != ids[target]).cloned().collect();
        assert_eq!(granted_upstream(&pool.ask(at(10), request)), Some(ids[target].clone()));
        pool.release(at(100), id::Attempt(number), outcome, None);
    }
    (pool, ids)
}

#[test]
fn a_partitioned_zone_gets_no_requests_until_its_routers_return() {
    let (mut pool, ids) = two_zones();
    let near = |number| {
        let mut request = request(number, &[(7, 8_000), (100 + u64::try_from(number).unwrap(), 500)]);
        request.avoid = ids[..2].to_vec();
        request
    };
    pool.set_unresponsive_zones(["far".parse().unwrap()].into());
    let answers = pool.ask(at(300), near(3));
    assert_eq!(
        (granted_upstream(&answers), source(&answers)),
        (Some(ids[2].clone()), Some(ids[0].clone())),
        "an upstream of the zone answered recently"
    );
    pool.cancel(at(310), id::Attempt(3));
    let mut other = request(4, &[(7, 8_000), (104, 500)]);
    assert_eq!(
        granted_upstream(&pool.ask(at(1_000), other.clone())),
        Some(ids[2].clone()),
        "nothing is sent to the partitioned zone"
    );
    // Once the routers of the zone are back, the first engine gets requests as before.
    pool.set_unresponsive_zones([].into());
    other.attempt = id::Attempt(5);
    other.avoid = vec![ids[2].clone()];
    assert_eq!(granted_upstream(&pool.ask(at(1_100), other)), Some(ids[0].clone()));
}

#[test]
fn a_zone_without_routers_stays_in_use_while_its_engines_answer() {
    let (mut pool, ids) = two_zones();
    pool.set_unresponsive_zones(["far".parse().unwrap()].into());
    for number in 3..30 {
        let now = 100 * u64::try_from(number).unwrap();
        let again = request(number, &[(7, 8_000), (100 + u64::try_from(number).unwrap(), 500)]);
        assert_eq!(granted_upstream(&pool.ask(at(now), again)), Some(ids[0].clone()));
        pool.record_first_event(at(now + 60), id::Attempt(number), Duration::from_millis(60));
        pool.release(at(now + 90), id::Attempt(number), Outcome::Served, None);
    }
}

#[test]
fn a_request_that_only_unreachable_upstreams_could_serve_is_refused_at_once() {
    let mut pool = Pool::new(Rules::default());
    let mut members = listings(1, 8);
    members[0].zone = "far".parse().unwrap();
    pool.set_members(at(0), &members);
    pool.set_unresponsive_zones(["far".parse().unwrap()].into());
    // The upstream counts as reachable until a request has failed to reach it.
    assert!(granted_upstream(&pool.ask(at(10), request(1, &[]))).is_some());
    pool.release(at(130), id::Attempt(1), Outcome::Unreachable, None);
    assert_eq!(refusal_reason(&pool.ask(at(140), request(2, &[]))), Some(Reason::NoUpstream));
    // After a pause one request is sent as a trial; the next ones are refused without waiting for its outcome.
    assert!(granted_upstream(&pool.ask(at(1_200), request(3, &[]))).is_some());
    assert_eq!(refusal_reason(&pool.ask(at(1_210), request(4, &[]))), Some(Reason::NoUpstream));
    pool.release(at(1_220), id::Attempt(3), Outcome::Served, Some(Duration::from_millis(20)));
    assert!(granted_upstream(&pool.ask(at(1_230), request(5, &[]))).is_some());
}

#[test]
fn a_prefix_on_a_full_engine_is_copied_to_another_one() {
    let (mut pool, first) = prefix_on_full_engine();
    // The only slot of the first engine is taken.
    let answers = pool.ask(at(2), request(2, &[(7, 2_000), (8, 6_000), (101, 500)]));
    let Verdict::Granted { upstream, read, source } = &answers[0].verdict else {
        panic!("there is room at the second engine");
    };
    assert_ne!(upstream, &first);
    assert_eq!(source.as_ref(), Some(&first));
    assert_eq!(*read, 500);
}

/// A request whose shared prefix takes 200 ms of prefill at the initially assumed rate.
fn long_request(number: u128) -> Ask {
    request(number, &[(7, 2_000), (8, 6_000), (100 + u64::try_from(number).unwrap(), 100)])
}

#[test]
fn a_request_waits_for_a_running_prefill_of_its_shared_prefix() {
    let mut pool = pool(engines(), 4, 16);
    let first = granted_upstream(&pool.ask(at(0), long_request(1))).unwrap();
    for number in 2..5 {
        assert!(pool.ask(at(5), long_request(number)).is_empty(), "request {number} would repeat the prefill");
    }
    assert_eq!(pool.waiting(), 3);
    // A prompt with another prefix has no prefill to wait for.
    assert!(granted_upstream(&pool.ask(at(6), request(20, &[(9, 8_000), (120, 100)]))).is_some());
    let answers = pool.record_first_event(at(200), id::Attempt(1), Duration::from_millis(200));
    assert_eq!(answers.len(), 3);
    for answer in answers {
        let Verdict::Granted { read, .. } = answer.verdict else { panic!("there is room") };
        assert_eq!(read, 100);
    }
    assert_eq!(pool.running(&first), 4);
}

#[test]
fn when_a_prefill_fails_the_next_request_prefills_and_the_others_wait_for_it() {
    for outcome in [Outcome::Failed, Outcome::Silent, Outcome::Unreachable, Outcome::Abandoned] {
        let mut pool = pool(engines(), 4, 16);
        assert!(granted_upstream(&pool.ask(at(0), long_request(1))).is_some());
        for number in 2..5 {
            assert!(pool.ask(at(5), long_request(number)).is_empty());
        }
        let answers = pool.release(at(20), id::Attempt(1), outcome, None);
        assert_eq!(answers.len(), 1, "{outcome:?}");
        let Verdict::Granted { read, .. } = answers[0].verdict else { panic!("there is room") };
        assert_eq!(read, 8_100, "no engine has prefilled it");
        assert_eq!(pool.waiting(), 2);
    }
}

#[test]
fn a_request_waits_for_a_shared_prefill_at_most_half_of_its_objective() {
    let mut pool = pool(engines(), 4, 16);
    assert!(granted_upstream(&pool.ask(at(0), long_request(1))).is_some());
    assert!(pool.ask(at(5), long_request(2)).is_empty());
    assert!(pool.tick(at(254)).is_empty());
    let answers = pool.tick(at(255));
    assert_eq!(answers.len(), 1);
    assert!(granted_upstream(&answers).is_some());
    // A prefill that would take longer than that isn't waited for at all.
    let very_long = |number: u128| request(number, &[(50, 40_000), (200 + u64::try_from(number).unwrap(), 100)]);
    assert!(granted_upstream(&pool.ask(at(300), very_long(3))).is_some());
    assert!(granted_upstream(&pool.ask(at(301), very_long(4))).is_some());
}

#[test]
fn a_cancelled_request_no_longer_waits_for_a_shared_prefill() {
    let mut pool = pool(engines(), 4, 16);
    assert!(granted_upstream(&pool.ask(at(0), long_request(1))).is_some());
    assert!(pool.ask(at(5), long_request(2)).is_empty());
    assert!(pool.cancel(at(10), id::Attempt(2)).is_empty());
    assert_eq!(pool.waiting(), 0);
    assert!(pool.record_first_event(at(200), id::Attempt(1), Duration::from_millis(200)).is_empty());
}

#[test]
fn a_new_home_learns_the_locations_of_prefixes_from_requests() {
    let mut pool = pool(engines(), 6, 16);
    for target in 0..6 {
        let upstream: id::Upstream = format!("e{target}").parse().unwrap();
        let parts = [(1_000 + target, 9_000), (target, 300)];
        let request = Ask { seen: Some((1, upstream.clone())), ..request(u128::from(target) + 1, &parts) };
        assert_eq!(granted_upstream(&pool.ask(at(0), request)), Some(upstream));
    }
}

#[test]
fn no_upstream_runs_more_requests_than_its_slots() {
    let mut pool = pool(Rules::default(), 2, 3);
    let granted = (0..6).filter(|n| granted_upstream(&pool.ask(at(0), request(*n, &[]))).is_some()).count();
    assert_eq!(granted, 6);
    assert!(pool.ask(at(0), request(7, &[])).is_empty(), "the request waits");
    assert!(pool.members().all(|member| member.running() <= 3));
}

#[test]
fn waiting_requests_are_granted_by_priority_when_a_slot_becomes_free() {
    let mut pool = pool(Rules::default(), 1, 1);
    pool.ask(at(0), request(1, &[]));
    assert!(pool.ask(at(1), Ask { priority: 2, ..request(2, &[]) }).is_empty());
    assert!(pool.ask(at(2), Ask { priority: 0, ..request(3, &[]) }).is_empty());
    let answers = pool.release(at(10), id::Attempt(1), Outcome::Served, Some(Duration::from_millis(10)));
    assert_eq!(answers.len(), 1);
    assert_eq!(answers[0].attempt, id::Attempt(3));
}

#[test]
fn a_request_that_cannot_be_served_in_time_is_refused_at_once() {
    let mut pool = pool(Rules::default(), 1, 1);
    pool.ask(at(0), request(1, &[]));
    let short_wait = Ask { patience: Duration::from_millis(1), ..request(2, &[]) };
    assert_eq!(refusal_reason(&pool.ask(at(1), short_wait)), Some(Reason::Busy));
    // A waiting request is refused as soon as its maximum wait is over, not later.
    assert!(pool.ask(at(2), request(3, &[])).is_empty());
    assert!(pool.tick(at(50)).is_empty());
    assert_eq!(refusal_reason(&pool.tick(at(102))), Some(Reason::Busy));
}

#[test]
fn a_service_without_upstreams_refuses_requests() {
    let mut pool = Pool::new(Rules::default());
    assert_eq!(refusal_reason(&pool.ask(at(0), request(1, &[]))), Some(Reason::NoUpstream));
}

#[test]
fn a_draining_upstream_gets_no_new_requests() {
    let mut pool = pool(Rules::default(), 2, 8);
    let mut list = listings(2, 8);
    list[0].usable = false;
    pool.set_members(at(1), &list);
    for number in 0..6 {
        assert_eq!(granted_upstream(&pool.ask(at(2), request(number, &[]))).unwrap().as_str(), "e1");
    }
}

#[test]
fn an_upstream_that_fails_more_than_the_others_is_ejected_and_tried_again() {
    let mut pool = pool(Rules::default(), 3, 8);
    let mut number = 1_000;
    let mut sent_to_failing = 0;
    // The upstream that the pool prefers.
    let failing = granted_upstream(&pool.ask(at(0), request(number, &[]))).unwrap();
    pool.release(at(0), id::Attempt(number), Outcome::Served, None);
    for round in 0..200 {
        number += 1;
        let now = at(round * 10);
        let upstream = granted_upstream(&pool.ask(now, request(number, &[]))).unwrap();
        sent_to_failing += u32::from(upstream == failing && round > 50);
        let outcome = if upstream == failing { Outcome::Failed } else { Outcome::Served };
        pool.release(at(round * 10 + 5), id::Attempt(number), outcome, Some(Duration::from_millis(5)));
    }
    assert!(sent_to_failing <= 4, "{sent_to_failing} requests of 150 went to the failing upstream");
    let mut sent_after_recovery = 0;
    for round in 0..600 {
        number += 1;
        let now = at(10_000 + round * 10);
        let upstream = granted_upstream(&pool.ask(now, request(number, &[]))).unwrap();
        sent_after_recovery += u32::from(upstream == failing);
        pool.release(now, id::Attempt(number), Outcome::Served, Some(Duration::from_millis(5)));
    }
    assert!(sent_after_recovery > 20, "the recovered upstream got {sent_after_recovery} requests");
}

#[test]
fn an_unreachable_upstream_is_ejected_at_once() {
    let mut pool = pool(Rules::default(), 2, 8);
    let unreachable = granted_upstream(&pool.ask(at(0), request(1, &[]))).unwrap();
    pool.release(at(1), id::Attempt(1), Outcome::Unreachable, None);
    for number in 2..8 {
        assert_ne!(granted_upstream(&pool.ask(at(2), request(number, &[]))), Some(unreachable.clone()));
    }
}

#[test]
fn the_only_usable_upstream_gets_requests_although_it_fails() {
    let mut pool = pool(Rules::default(), 3, 8);
    let mut list = listings(3, 8);
    list[1].usable = false;
    list[2].usable = false;
    pool.set_members(at(1), &list);
    for number in 0..20 {
        let now = at(10 + u64::try_from(number).unwrap() * 20);
        assert!(granted_upstream(&pool.ask(now, request(number, &[]))).is_some(), "request {number}");
        let outcome = if number < 6 { Outcome::Failed } else { Outcome::Served };
        // The requests after the failures overlap.
        if number < 6 {
            pool.release(now, id::Attempt(number), outcome, None);
        } else if number > 8 {
            pool.release(now, id::Attempt(number - 2), outcome, None);
        }
    }
}

#[test]
fn a_grant_that_its_entry_does_not_renew_is_dropped() {
    let mut pool = pool(Rules::default(), 1, 1);
    pool.ask(at(0), request(1, &[]));
    let entry = "r1".parse().unwrap();
    let held = vec![Held {
        attempt: id::Attempt(1),
        upstream: "e0".parse().unwrap(),
        read: 0,
        customer: None,
        route: id::Route(0),
        fingerprint: id::Fingerprint::default(),
    }];
    pool.renew(at(3_000), &entry, &held);
    pool.tick(at(5_000));
    assert_eq!(pool.running(&"e0".parse().unwrap()), 1);
    pool.tick(at(8_000));
    assert_eq!(pool.running(&"e0".parse().unwrap()), 0);
}

#[test]
fn a_new_home_counts_the_running_requests_that_entries_report() {
    let mut pool = pool(Rules::default(), 1, 1);
    let held = vec![Held {
        attempt: id::Attempt(9),
        upstream: "e0".parse().unwrap(),
        read: 0,
        customer: None,
        route: id::Route(0),
        fingerprint: id::Fingerprint::default(),
    }];
    pool.renew(at(1), &"r2".parse().unwrap(), &held);
    assert!(pool.ask(at(2), request(1, &[])).is_empty(), "the only slot is taken");
    assert_eq!(granted_upstream(&pool.release(at(3), id::Attempt(9), Outcome::Served, None)).unwrap().as_str(), "e0");
}

#[test]
fn requests_are_spread_although_answers_come_sooner_than_expected() {
    let mut pool = pool(engines(), 4, 16);
    let mut upstreams = std::collections::HashSet::new();
    for number in 0..40 {
        let key = u64::try_from(number).unwrap();
        let upstream =
            granted_upstream(&pool.ask(at(key * 10), request(number, &[(key, 3_000), (1_000 + key, 20)]))).unwrap();
        pool.record_first_event(at(key * 10 + 1), id::Attempt(number), Duration::from_millis(1));
        pool.release(at(key * 10 + 2), id::Attempt(number), Outcome::Served, None);
        upstreams.insert(upstream);
    }
    assert_eq!(upstreams.len(), 4);
}

/// Replays a sequence of events at a pool and returns its answers to each, to compare a scan of candidates with a full
/// scan.
fn replay(pool: &mut Pool, engines: u8, steps: &[(u8, u8, u8)]) -> Vec<(u64, Vec<Answer>)> {
    let mut members = listings(usize::from(engines % 12) + 2, 6);
    for (index, listing) in members.iter_mut().enumerate() {
        listing.zone = ["a", "b"][index % 2].parse().unwrap();
    }
    pool.set_members(at(0), &members);
    let mut decisions = Vec::new();
    for (number, (kind, key, time)) in steps.iter().enumerate() {
        let now = number as u64 * 7 + u64::from(*time % 8);
        let attempt = id::Attempt(number as u128);
        let earlier = id::Attempt(number.saturating_sub(usize::from(*time) % 9) as u128);
        let answers = match kind % 8 {
            0..=3 => {
                let key = u64::from(key % 9);
                let parts = [
                    (key % 3 + 1, 900 + 700 * (key % 3) as u32),
                    (10 + key, 300 + 900 * key as u32),
                    (1_000 + number as u64, 120),
                ];
                let parts = if key == 8 { &parts[2..] } else { &parts[..] };
                let mut request = Ask { attempt, repeatable: *time % 2 == 0, ..request(0, parts) };
                request.zone = ["a", "b"][usize::from(*time % 2)].parse().unwrap();
                pool.ask(at(now), request)
            }
            4 => pool.record_first_event(at(now), earlier, Duration::from_millis(u64::from(*time))),
            5 => pool.release(at(now), earlier, Outcome::Served, None),
            6 => {
                let outcomes = [Outcome::Failed, Outcome::Silent, Outcome::Shed, Outcome::Abandoned];
                pool.release(at(now), earlier, outcomes[usize::from(*key % 4)], None)
            }
            _ => {
                let one = usize::from(*key) % members.len();
                members[one].revision += 1;
                members[one].usable = *time % 3 != 0;
                members[one].cold = Duration::from_millis(u64::from(*time % 2) * 30);
                pool.update(at(now), &members[one..=one], &[])
            }
        };
        decisions.push((now, answers));
    }
    decisions
}

quickcheck! {
    /// A scan of only those engines that hold the prefix of a prompt gives the same decisions as a full scan.
    fn a_partial_scan_decides_like_a_full_scan(engines: u8, steps: Vec<(u8, u8, u8)>) -> bool {
        let rules = Rules { cold: Some(ColdLimits { pace: 10.0, bound: 20.0, time: Duration::from_millis(50) }), ..self::engines() };
        let (mut partial, mut full) = (Pool::new(rules), Pool::new(rules).with_full_scan());
        replay(&mut partial, engines, &steps) == replay(&mut full, engines, &steps)
    }
}

quickcheck! {
    /// In any order of requests and ends, no engine runs more than the load multiple and the slack allow.
    fn no_engine_exceeds_the_load_bound(steps: Vec<(u8, bool)>) -> bool {
        let mut pool = pool(engines(), 5, 64);
        let mut running = Vec::new();
        for (number, (key, ends)) in steps.into_iter().enumerate() {
            let now = at(number as u64);
            if ends && !running.is_empty() {
                let attempt = running.remove(usize::from(key) % running.len());
                pool.release(now, attempt, Outcome::Served, None);
                continue;
            }
            let attempt = id::Attempt(number as u128);
            let request = Ask { attempt, ..request(0, &[(u64::from(key % 3), 5_000), (number as u64 + 1_000, 100)]) };
            let before: u32 = pool.members().map(stairvale_dispatch::Member::running).sum();
            if let Some(upstream) = granted_upstream(&pool.ask(now, request)) {
                running.push(attempt);
                // Without a first event the next requests would wait for its prefill of the shared prefix.
                pool.record_first_event(now, attempt, Duration::from_millis(50));
                let held = f64::from(pool.running(&upstream) - 1);
                if held > 2.0 * f64::from(before) / 5.0 + 3.0 {
                    return false;
                }
            } else {
                pool.cancel(now, attempt);
            }
        }
        true
    }

    /// Whatever the outcome of a prefill, each request that waits for it is answered once, and in time.
    fn a_request_that_waits_for_a_prefill_is_answered_once(steps: Vec<(u8, u8)>) -> bool {
        let mut pool = pool(engines(), 3, 4);
        let mut requested = std::collections::HashMap::new();
        let mut answered = std::collections::HashSet::new();
        let mut granted = Vec::new();
        let mut now = at(0);
        for (number, (key, kind)) in steps.into_iter().enumerate() {
            now = now + Duration::from_millis(u64::from(kind));
            let attempt = id::Attempt(number as u128);
            let index = usize::from(key).checked_rem(granted.len());
            let answers = match (kind % 5, index) {
                (0..=2, _) | (_, None) => {
                    requested.insert(attempt, now);
                    let parts = [(u64::from(key % 3), 6_000), (number as u64 + 1_000, 100)];
                    pool.ask(now, Ask { attempt, ..request(0, &parts) })
                }
                (3, Some(index)) => pool.record_first_event(now, granted[index], Duration::from_millis(100)),
                (_, Some(index)) => pool.release(now, granted.swap_remove(index), Outcome::Failed, None),
            };
            let answers: Vec<_> = answers.into_iter().chain(pool.tick(now)).collect();
            for answer in answers {
                if !answered.insert(answer.attempt) {
                    return false;
                }
                if matches!(answer.verdict, Verdict::Granted { .. }) {
                    granted.push(answer.attempt);
                }
            }
            // A request waits for at most half of its objective.
            let due = requested.iter().filter(|(_, at)| now.since(**at) >= Duration::from_millis(250));
            if due.into_iter().any(|(attempt, _)| !answered.contains(attempt)) {
                return false;
            }
        }
        true
    }

    /// Each request gets at most one answer, and a cancelled one gets none.
    fn each_request_gets_at_most_one_answer(steps: Vec<(u8, u8)>) -> bool {
        let mut pool = pool(Rules::default(), 2, 2);
        let mut answered = std::collections::HashMap::new();
        let mut forgotten = std::collections::HashSet::new();
        for (time, (number, kind)) in steps.into_iter().enumerate() {
            let now = at(time as u64 * 20);
            let attempt = id::Attempt(u128::from(number) + 1_000 * (time as u128));
            let answers = match kind % 4 {
                0 | 1 => pool.ask(now, Ask { attempt, ..request(0, &[]) }),
                2 => match answered.keys().next().copied() {
                    Some(attempt) => pool.release(now, attempt, Outcome::Served, None),
                    None => pool.tick(now),
                },
                _ => {
                    forgotten.insert(attempt);
                    pool.cancel(now, attempt)
                }
            };
            for answer in answers {
                if forgotten.contains(&answer.attempt) || answered.insert(answer.attempt, ()).is_some() {
                    return false;
                }
            }
        }
        true
    }
}

/// The entry avoids eight of twelve engines, while the requests of others may go to any of them.
#[test]
fn requests_that_avoid_most_upstreams_keep_the_others_within_the_bound() {
    let mut pool = pool(engines(), 12, 64);
    let ids: Vec<_> = listings(12, 64).into_iter().map(|listing| listing.id).collect();
    for number in 0..60 {
        assert!(
            granted_upstream(&pool.ask(at(0), request(number, &[(1_000 + u64::try_from(number).unwrap(), 50)])))
                .is_some()
        );
    }
    let mut refusals = 0;
    for number in 100..300 {
        let mut request = request(number, &[(1_000 + u64::try_from(number).unwrap(), 50)]);
        request.avoid = ids[..8].to_vec();
        request.patience = Duration::ZERO;
        let answers = pool.ask(at(1), request);
        match granted_upstream(&answers) {
            Some(upstream) => assert!(ids[8..].contains(&upstream)),
            None => refusals += u32::from(refusal_reason(&answers) == Some(Reason::Busy)),
        }
        let running: Vec<_> = pool.members().map(|member| f64::from(member.running())).collect();
        let mean = running.iter().sum::<f64>() / 12.0;
        assert!(running.iter().all(|running| *running <= 2.0 * mean + 3.0), "{running:?}");
    }
    assert!(refusals > 0, "no request was refused because of the bound");
}

#[test]
fn a_request_that_avoids_all_upstreams_is_refused_at_once() {
    let mut pool = pool(engines(), 12, 64);
    let mut request = request(1, &[(7, 2_000), (100, 50)]);
    request.avoid = listings(12, 64).into_iter().map(|listing| listing.id).collect();
    assert_eq!(refusal_reason(&pool.ask(at(0), request)), Some(Reason::NoUpstream));
    assert_eq!(pool.waiting(), 0);
}
