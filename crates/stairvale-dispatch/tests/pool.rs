//! What a service's home decides.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use quickcheck::quickcheck;
use stairvale_dispatch::{
    Answer, Ask, Held, Listing, Outcome, Part, Pool, Verdict,
    pool::{Cold, Rules},
};
use stairvale_types::{Moment, id, outcome::Reason, unit};

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn engines() -> Rules {
    Rules { engine: Some(unit::Tokens(100_000)), copies: true, multiple: 2.0, slack: 3.0, cold: None }
}

fn pool(rules: Rules, count: usize, slots: u32) -> Pool {
    let mut pool = Pool::new(rules);
    pool.set_members(at(0), &members(count, slots));
    pool
}

fn members(count: usize, slots: u32) -> Vec<Listing> {
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

fn ask(number: u128, parts: &[(u64, u32)]) -> Ask {
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

fn granted(answers: &[Answer]) -> Option<id::Upstream> {
    answers.iter().find_map(|answer| match &answer.verdict {
        Verdict::Granted { upstream, .. } => Some(upstream.clone()),
        Verdict::Refused(_) => None,
    })
}

fn refused(answers: &[Answer]) -> Option<Reason> {
    answers.iter().find_map(|answer| match &answer.verdict {
        Verdict::Granted { .. } => None,
        Verdict::Refused(refusal) => Some(refusal.reason),
    })
}

#[test]
fn a_prompt_goes_where_its_beginning_is() {
    let mut pool = pool(engines(), 8, 16);
    let first = granted(&pool.ask(at(0), ask(1, &[(7, 2_000), (8, 6_000), (100, 500)]))).unwrap();
    pool.release(at(50), id::Attempt(1), Outcome::Served, None);
    for number in 2..20 {
        let again = ask(number, &[(7, 2_000), (8, 6_000), (100 + u64::try_from(number).unwrap(), 500)]);
        assert_eq!(granted(&pool.ask(at(100), again)), Some(first.clone()));
        pool.release(at(120), id::Attempt(number), Outcome::Served, None);
    }
}

/// Two engines with one slot, the first of which holds a prompt's beginning and runs something.
fn held_elsewhere() -> (Pool, id::Upstream) {
    let mut pool = pool(engines(), 2, 1);
    let first = granted(&pool.ask(at(0), ask(1, &[(7, 2_000), (8, 6_000), (100, 500)]))).unwrap();
    pool.begun(at(1), id::Attempt(1), Duration::from_millis(1));
    (pool, first)
}

fn source(answers: &[Answer]) -> Option<id::Upstream> {
    answers.iter().find_map(|answer| match &answer.verdict {
        Verdict::Granted { source, .. } => source.clone(),
        Verdict::Refused(_) => None,
    })
}

#[test]
fn engines_alike_are_not_told_apart_by_the_size_of_their_prompts() {
    let mut pool = pool(engines(), 2, 16);
    let ids: Vec<_> = members(2, 16).into_iter().map(|listing| listing.id).collect();
    for round in 0..60_u32 {
        for (other, tokens) in [(1, 60), (0, 6_000)] {
            let number = u128::from(round) * 2 + other as u128;
            let now = 200 * u64::from(round) + 100 * other as u64;
            let mut ask = ask(number, &[(1_000 + u64::try_from(number).unwrap(), tokens)]);
            ask.avoid.push(ids[other].clone());
            assert!(granted(&pool.ask(at(now), ask)).is_some());
            let took = Duration::from_millis(55) + Duration::from_micros(10) * tokens;
            pool.begun(at(now + 80), id::Attempt(number), took);
            pool.release(at(now + 90), id::Attempt(number), Outcome::Served, None);
        }
    }
    let paces: Vec<_> = pool.members().map(|member| member.health.pace(at(12_000))).collect();
    assert!((paces[0] - paces[1]).abs() < 0.1, "{paces:?}");
}

#[test]
fn an_engine_that_is_silent_is_no_source_until_it_answers() {
    for outcome in [Outcome::Silent, Outcome::Unreachable, Outcome::Gone] {
        let (mut pool, first) = held_elsewhere();
        pool.release(at(10), id::Attempt(1), outcome, None);
        let mut second = ask(2, &[(7, 2_000), (8, 6_000), (101, 500)]);
        second.avoid.push(first.clone());
        let answers = pool.ask(at(11), second);
        assert!(granted(&answers).is_some());
        assert_eq!(source(&answers), None, "{outcome:?}");
        // The second engine is full now; the first one is tried, and answers.
        let third = pool.ask(at(5_000), ask(3, &[(9, 2_000), (102, 500)]));
        assert_eq!(granted(&third), Some(first.clone()), "{outcome:?}");
        pool.release(at(5_100), id::Attempt(3), Outcome::Served, None);
        pool.release(at(5_200), id::Attempt(2), Outcome::Served, None);
        let mut fourth = ask(4, &[(9, 2_000), (103, 500)]);
        fourth.avoid.push(first.clone());
        assert_eq!(source(&pool.ask(at(5_300), fourth)), Some(first), "{outcome:?}");
    }
}

#[test]
fn an_engine_that_answers_with_errors_can_be_copied_from() {
    let (mut pool, first) = held_elsewhere();
    pool.release(at(10), id::Attempt(1), Outcome::Failed, None);
    let mut second = ask(2, &[(7, 2_000), (8, 6_000), (101, 500)]);
    second.avoid.push(first.clone());
    assert_eq!(source(&pool.ask(at(11), second)), Some(first));
}

/// Engines e0 and e1 of a zone that is far, and e2; a prompt's beginning is at e0, and e1 said nothing.
fn far_zone() -> (Pool, Vec<id::Upstream>) {
    let mut pool = Pool::new(engines());
    let mut known = members(3, 4);
    for member in &mut known[..2] {
        member.zone = "far".parse().unwrap();
    }
    pool.set_members(at(0), &known);
    let ids: Vec<_> = known.into_iter().map(|listing| listing.id).collect();
    for (number, place, outcome) in [(1, 0, Outcome::Served), (2, 1, Outcome::Silent)] {
        let mut ask = ask(number, &[(7 * u64::try_from(number).unwrap(), 8_000), (100, 500)]);
        ask.avoid = ids.iter().filter(|id| **id != ids[place]).cloned().collect();
        assert_eq!(granted(&pool.ask(at(10), ask)), Some(ids[place].clone()));
        pool.release(at(100), id::Attempt(number), outcome, None);
    }
    (pool, ids)
}

#[test]
fn an_engine_behind_a_cut_is_no_source() {
    let (mut pool, ids) = far_zone();
    let near = |number| {
        let mut ask = ask(number, &[(7, 8_000), (100 + u64::try_from(number).unwrap(), 500)]);
        ask.avoid = ids[..2].to_vec();
        ask
    };
    pool.set_dark(["far".parse().unwrap()].into());
    let answers = pool.ask(at(300), near(3));
    assert_eq!(
        (granted(&answers), source(&answers)),
        (Some(ids[2].clone()), Some(ids[0].clone())),
        "it answered lately"
    );
    pool.forget(at(310), id::Attempt(3));
    let mut other = ask(4, &[(7, 8_000), (104, 500)]);
    assert_eq!(granted(&pool.ask(at(1_000), other.clone())), Some(ids[2].clone()), "nothing is sent beyond the cut");
    // With the routers of the zone back, the first engine is as good as before.
    pool.set_dark([].into());
    other.attempt = id::Attempt(5);
    other.avoid = vec![ids[2].clone()];
    assert_eq!(granted(&pool.ask(at(1_100), other)), Some(ids[0].clone()));
}

#[test]
fn a_zone_whose_routers_are_gone_but_whose_engines_answer_is_not_cut_off() {
    let (mut pool, ids) = far_zone();
    pool.set_dark(["far".parse().unwrap()].into());
    for number in 3..30 {
        let now = 100 * u64::try_from(number).unwrap();
        let again = ask(number, &[(7, 8_000), (100 + u64::try_from(number).unwrap(), 500)]);
        assert_eq!(granted(&pool.ask(at(now), again)), Some(ids[0].clone()));
        pool.begun(at(now + 60), id::Attempt(number), Duration::from_millis(60));
        pool.release(at(now + 90), id::Attempt(number), Outcome::Served, None);
    }
}

#[test]
fn what_only_silent_upstreams_behind_a_cut_could_serve_is_refused_at_once() {
    let mut pool = Pool::new(Rules::default());
    let mut known = members(1, 8);
    known[0].zone = "far".parse().unwrap();
    pool.set_members(at(0), &known);
    pool.set_dark(["far".parse().unwrap()].into());
    // Nothing says that it can't be reached, until a request has tried.
    assert!(granted(&pool.ask(at(10), ask(1, &[]))).is_some());
    pool.release(at(130), id::Attempt(1), Outcome::Unreachable, None);
    assert_eq!(refused(&pool.ask(at(140), ask(2, &[]))), Some(Reason::NoUpstream));
    // One tries again after a while, and the next ones don't wait for what becomes of it.
    assert!(granted(&pool.ask(at(1_200), ask(3, &[]))).is_some());
    assert_eq!(refused(&pool.ask(at(1_210), ask(4, &[]))), Some(Reason::NoUpstream));
    pool.release(at(1_220), id::Attempt(3), Outcome::Served, Some(Duration::from_millis(20)));
    assert!(granted(&pool.ask(at(1_230), ask(5, &[]))).is_some());
}

#[test]
fn what_another_engine_holds_is_copied() {
    let (mut pool, first) = held_elsewhere();
    // The first engine's only slot is taken.
    let answers = pool.ask(at(2), ask(2, &[(7, 2_000), (8, 6_000), (101, 500)]));
    let Verdict::Granted { upstream, read, source } = &answers[0].verdict else {
        panic!("there is room at the second engine");
    };
    assert_ne!(upstream, &first);
    assert_eq!(source.as_ref(), Some(&first));
    assert_eq!(*read, 500);
}

/// A prompt whose beginning takes 200 ms to read at the rate that is believed at first.
fn long(number: u128) -> Ask {
    ask(number, &[(7, 2_000), (8, 6_000), (100 + u64::try_from(number).unwrap(), 100)])
}

#[test]
fn a_request_waits_for_another_one_that_reads_what_both_share() {
    let mut pool = pool(engines(), 4, 16);
    let first = granted(&pool.ask(at(0), long(1))).unwrap();
    for number in 2..5 {
        assert!(pool.ask(at(5), long(number)).is_empty(), "request {number} would read it, too");
    }
    assert_eq!(pool.waiting(), 3);
    // Another beginning has nothing to wait for.
    assert!(granted(&pool.ask(at(6), ask(20, &[(9, 8_000), (120, 100)]))).is_some());
    let answers = pool.begun(at(200), id::Attempt(1), Duration::from_millis(200));
    assert_eq!(answers.len(), 3);
    for answer in answers {
        let Verdict::Granted { read, .. } = answer.verdict else { panic!("there is room") };
        assert_eq!(read, 100);
    }
    assert_eq!(pool.running(&first), 4);
}

#[test]
fn when_a_reader_fails_the_next_one_reads_and_the_others_wait_for_it() {
    for outcome in [Outcome::Failed, Outcome::Silent, Outcome::Unreachable, Outcome::Abandoned] {
        let mut pool = pool(engines(), 4, 16);
        assert!(granted(&pool.ask(at(0), long(1))).is_some());
        for number in 2..5 {
            assert!(pool.ask(at(5), long(number)).is_empty());
        }
        let answers = pool.release(at(20), id::Attempt(1), outcome, None);
        assert_eq!(answers.len(), 1, "{outcome:?}");
        let Verdict::Granted { read, .. } = answers[0].verdict else { panic!("there is room") };
        assert_eq!(read, 8_100, "nobody has read it");
        assert_eq!(pool.waiting(), 2);
    }
}

#[test]
fn a_request_waits_for_another_one_no_longer_than_half_of_its_objective() {
    let mut pool = pool(engines(), 4, 16);
    assert!(granted(&pool.ask(at(0), long(1))).is_some());
    assert!(pool.ask(at(5), long(2)).is_empty());
    assert!(pool.tick(at(254)).is_empty());
    let answers = pool.tick(at(255));
    assert_eq!(answers.len(), 1);
    assert!(granted(&answers).is_some());
    // What would take longer isn't waited for at all.
    let enormous = |number: u128| ask(number, &[(50, 40_000), (200 + u64::try_from(number).unwrap(), 100)]);
    assert!(granted(&pool.ask(at(300), enormous(3))).is_some());
    assert!(granted(&pool.ask(at(301), enormous(4))).is_some());
}

#[test]
fn whoever_no_longer_waits_for_another_request_is_forgotten() {
    let mut pool = pool(engines(), 4, 16);
    assert!(granted(&pool.ask(at(0), long(1))).is_some());
    assert!(pool.ask(at(5), long(2)).is_empty());
    assert!(pool.forget(at(10), id::Attempt(2)).is_empty());
    assert_eq!(pool.waiting(), 0);
    assert!(pool.begun(at(200), id::Attempt(1), Duration::from_millis(200)).is_empty());
}

#[test]
fn a_home_that_took_over_learns_where_prefixes_are() {
    let mut pool = pool(engines(), 6, 16);
    for target in 0..6 {
        let place: id::Upstream = format!("e{target}").parse().unwrap();
        let parts = [(1_000 + target, 9_000), (target, 300)];
        let want = Ask { seen: Some((1, place.clone())), ..ask(u128::from(target) + 1, &parts) };
        assert_eq!(granted(&pool.ask(at(0), want)), Some(place));
    }
}

#[test]
fn no_upstream_runs_more_than_its_slots() {
    let mut pool = pool(Rules::default(), 2, 3);
    let granted = (0..6).filter(|n| granted(&pool.ask(at(0), ask(*n, &[]))).is_some()).count();
    assert_eq!(granted, 6);
    assert!(pool.ask(at(0), ask(7, &[])).is_empty(), "it waits");
    assert!(pool.members().all(|member| member.running() <= 3));
}

#[test]
fn what_waits_is_served_by_urgency_when_a_place_comes_free() {
    let mut pool = pool(Rules::default(), 1, 1);
    pool.ask(at(0), ask(1, &[]));
    assert!(pool.ask(at(1), Ask { priority: 2, ..ask(2, &[]) }).is_empty());
    assert!(pool.ask(at(2), Ask { priority: 0, ..ask(3, &[]) }).is_empty());
    let answers = pool.release(at(10), id::Attempt(1), Outcome::Served, Some(Duration::from_millis(10)));
    assert_eq!(answers.len(), 1);
    assert_eq!(answers[0].attempt, id::Attempt(3));
}

#[test]
fn who_can_not_be_served_in_time_is_refused_at_once() {
    let mut pool = pool(Rules::default(), 1, 1);
    pool.ask(at(0), ask(1, &[]));
    let impatient = Ask { patience: Duration::from_millis(1), ..ask(2, &[]) };
    assert_eq!(refused(&pool.ask(at(1), impatient)), Some(Reason::Busy));
    // Who waits is refused as soon as its patience ends, not later.
    assert!(pool.ask(at(2), ask(3, &[])).is_empty());
    assert!(pool.tick(at(50)).is_empty());
    assert_eq!(refused(&pool.tick(at(102))), Some(Reason::Busy));
}

#[test]
fn a_service_without_upstreams_refuses() {
    let mut pool = Pool::new(Rules::default());
    assert_eq!(refused(&pool.ask(at(0), ask(1, &[]))), Some(Reason::NoUpstream));
}

#[test]
fn a_leaving_upstream_gets_nothing_new() {
    let mut pool = pool(Rules::default(), 2, 8);
    let mut list = members(2, 8);
    list[0].usable = false;
    pool.set_members(at(1), &list);
    for number in 0..6 {
        assert_eq!(granted(&pool.ask(at(2), ask(number, &[]))).unwrap().as_str(), "e1");
    }
}

#[test]
fn an_upstream_that_fails_more_than_the_others_is_left_alone_and_tried_again() {
    let mut pool = pool(Rules::default(), 3, 8);
    let mut number = 1_000;
    let mut served_by_bad = 0;
    // The one that would be taken first.
    let bad = granted(&pool.ask(at(0), ask(number, &[]))).unwrap();
    pool.release(at(0), id::Attempt(number), Outcome::Served, None);
    for round in 0..200 {
        number += 1;
        let now = at(round * 10);
        let place = granted(&pool.ask(now, ask(number, &[]))).unwrap();
        served_by_bad += u32::from(place == bad && round > 50);
        let outcome = if place == bad { Outcome::Failed } else { Outcome::Served };
        pool.release(at(round * 10 + 5), id::Attempt(number), outcome, Some(Duration::from_millis(5)));
    }
    assert!(served_by_bad <= 4, "{served_by_bad} requests of 150 went to the failing one");
    let mut back = 0;
    for round in 0..600 {
        number += 1;
        let now = at(10_000 + round * 10);
        let place = granted(&pool.ask(now, ask(number, &[]))).unwrap();
        back += u32::from(place == bad);
        pool.release(now, id::Attempt(number), Outcome::Served, Some(Duration::from_millis(5)));
    }
    assert!(back > 20, "it is well again and got {back}");
}

#[test]
fn an_upstream_that_can_not_be_reached_is_left_at_once() {
    let mut pool = pool(Rules::default(), 2, 8);
    let place = granted(&pool.ask(at(0), ask(1, &[]))).unwrap();
    pool.release(at(1), id::Attempt(1), Outcome::Unreachable, None);
    for number in 2..8 {
        assert_ne!(granted(&pool.ask(at(2), ask(number, &[]))), Some(place.clone()));
    }
}

#[test]
fn the_only_upstream_left_is_used_though_it_fails() {
    let mut pool = pool(Rules::default(), 3, 8);
    let mut list = members(3, 8);
    list[1].usable = false;
    list[2].usable = false;
    pool.set_members(at(1), &list);
    for number in 0..20 {
        let now = at(10 + u64::try_from(number).unwrap() * 20);
        assert!(granted(&pool.ask(now, ask(number, &[]))).is_some(), "request {number}");
        let outcome = if number < 6 { Outcome::Failed } else { Outcome::Served };
        // Those after the failures run side by side.
        if number < 6 {
            pool.release(now, id::Attempt(number), outcome, None);
        } else if number > 8 {
            pool.release(now, id::Attempt(number - 2), outcome, None);
        }
    }
}

#[test]
fn a_hold_that_nobody_names_is_dropped() {
    let mut pool = pool(Rules::default(), 1, 1);
    pool.ask(at(0), ask(1, &[]));
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
fn a_new_home_counts_what_entries_name() {
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
    assert!(pool.ask(at(2), ask(1, &[])).is_empty(), "the only slot is taken");
    assert_eq!(granted(&pool.release(at(3), id::Attempt(9), Outcome::Served, None)).unwrap().as_str(), "e0");
}

#[test]
fn work_is_spread_though_answers_come_sooner_than_expected() {
    let mut pool = pool(engines(), 4, 16);
    let mut places = std::collections::HashSet::new();
    for number in 0..40 {
        let key = u64::try_from(number).unwrap();
        let place = granted(&pool.ask(at(key * 10), ask(number, &[(key, 3_000), (1_000 + key, 20)]))).unwrap();
        pool.begun(at(key * 10 + 1), id::Attempt(number), Duration::from_millis(1));
        pool.release(at(key * 10 + 2), id::Attempt(number), Outcome::Served, None);
        places.insert(place);
    }
    assert_eq!(places.len(), 4);
}

/// What happens at a home, for the look at few and the look at all.
fn history(pool: &mut Pool, engines: u8, steps: &[(u8, u8, u8)]) -> Vec<(u64, Vec<Answer>)> {
    let mut known = members(usize::from(engines % 12) + 2, 6);
    for (index, listing) in known.iter_mut().enumerate() {
        listing.zone = ["a", "b"][index % 2].parse().unwrap();
    }
    pool.set_members(at(0), &known);
    let mut told = Vec::new();
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
                let mut ask = Ask { attempt, repeatable: *time % 2 == 0, ..ask(0, parts) };
                ask.zone = ["a", "b"][usize::from(*time % 2)].parse().unwrap();
                pool.ask(at(now), ask)
            }
            4 => pool.begun(at(now), earlier, Duration::from_millis(u64::from(*time))),
            5 => pool.release(at(now), earlier, Outcome::Served, None),
            6 => {
                let outcomes = [Outcome::Failed, Outcome::Silent, Outcome::Shed, Outcome::Abandoned];
                pool.release(at(now), earlier, outcomes[usize::from(*key % 4)], None)
            }
            _ => {
                let one = usize::from(*key) % known.len();
                known[one].revision += 1;
                known[one].usable = *time % 3 != 0;
                known[one].cold = Duration::from_millis(u64::from(*time % 2) * 30);
                pool.update(at(now), &known[one..=one], &[])
            }
        };
        told.push((now, answers));
    }
    told
}

quickcheck! {
    /// Looking only at those that hold a prompt's beginning decides as looking at all does.
    fn a_short_look_decides_as_a_whole_one(engines: u8, steps: Vec<(u8, u8, u8)>) -> bool {
        let rules = Rules { cold: Some(Cold { pace: 10.0, bound: 20.0, time: Duration::from_millis(50) }), ..self::engines() };
        let (mut short, mut whole) = (Pool::new(rules), Pool::new(rules).with_whole_look());
        history(&mut short, engines, &steps) == history(&mut whole, engines, &steps)
    }
}

quickcheck! {
    /// However asks and ends come, no engine runs more than the multiple of the mean and the slack allow.
    fn the_bound_holds(steps: Vec<(u8, bool)>) -> bool {
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
            let want = Ask { attempt, ..ask(0, &[(u64::from(key % 3), 5_000), (number as u64 + 1_000, 100)]) };
            let before: u32 = pool.members().map(stairvale_dispatch::Member::running).sum();
            if let Some(place) = granted(&pool.ask(now, want)) {
                running.push(attempt);
                // Or the next ones would wait for it to read what they share.
                pool.begun(now, attempt, Duration::from_millis(50));
                let held = f64::from(pool.running(&place) - 1);
                if held > 2.0 * f64::from(before) / 5.0 + 3.0 {
                    return false;
                }
            } else {
                pool.forget(now, attempt);
            }
        }
        true
    }

    /// Whatever becomes of those that read, each request that waits for one is answered once, and in time.
    fn whoever_waits_for_another_request_is_answered_once(steps: Vec<(u8, u8)>) -> bool {
        let mut pool = pool(engines(), 3, 4);
        let mut asked = std::collections::HashMap::new();
        let mut answered = std::collections::HashSet::new();
        let mut granted = Vec::new();
        let mut now = at(0);
        for (number, (key, what)) in steps.into_iter().enumerate() {
            now = now + Duration::from_millis(u64::from(what));
            let attempt = id::Attempt(number as u128);
            let place = usize::from(key).checked_rem(granted.len());
            let answers = match (what % 5, place) {
                (0..=2, _) | (_, None) => {
                    asked.insert(attempt, now);
                    let parts = [(u64::from(key % 3), 6_000), (number as u64 + 1_000, 100)];
                    pool.ask(now, Ask { attempt, ..ask(0, &parts) })
                }
                (3, Some(place)) => pool.begun(now, granted[place], Duration::from_millis(100)),
                (_, Some(place)) => pool.release(now, granted.swap_remove(place), Outcome::Failed, None),
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
            // Half of the objective at most.
            let due = asked.iter().filter(|(_, at)| now.since(**at) >= Duration::from_millis(250));
            if due.into_iter().any(|(attempt, _)| !answered.contains(attempt)) {
                return false;
            }
        }
        true
    }

    /// Each ask gets one answer at most, and one that was given up gets none.
    fn one_answer_each(steps: Vec<(u8, u8)>) -> bool {
        let mut pool = pool(Rules::default(), 2, 2);
        let mut answered = std::collections::HashMap::new();
        let mut forgotten = std::collections::HashSet::new();
        for (time, (number, what)) in steps.into_iter().enumerate() {
            let now = at(time as u64 * 20);
            let attempt = id::Attempt(u128::from(number) + 1_000 * (time as u128));
            let answers = match what % 4 {
                0 | 1 => pool.ask(now, Ask { attempt, ..ask(0, &[]) }),
                2 => match answered.keys().next().copied() {
                    Some(attempt) => pool.release(now, attempt, Outcome::Served, None),
                    None => pool.tick(now),
                },
                _ => {
                    forgotten.insert(attempt);
                    pool.forget(now, attempt)
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

/// Of twelve engines eight want nothing from this entry; others ask for any.
#[test]
fn an_entry_that_avoids_most_upstreams_loads_the_others_no_more_than_the_bound() {
    let mut pool = pool(engines(), 12, 64);
    let ids: Vec<_> = members(12, 64).into_iter().map(|listing| listing.id).collect();
    for number in 0..60 {
        assert!(granted(&pool.ask(at(0), ask(number, &[(1_000 + u64::try_from(number).unwrap(), 50)]))).is_some());
    }
    let mut refusals = 0;
    for number in 100..300 {
        let mut ask = ask(number, &[(1_000 + u64::try_from(number).unwrap(), 50)]);
        ask.avoid = ids[..8].to_vec();
        ask.patience = Duration::ZERO;
        let answers = pool.ask(at(1), ask);
        match granted(&answers) {
            Some(place) => assert!(ids[8..].contains(&place)),
            None => refusals += u32::from(refused(&answers) == Some(Reason::Busy)),
        }
        let running: Vec<_> = pool.members().map(|member| f64::from(member.running())).collect();
        let mean = running.iter().sum::<f64>() / 12.0;
        assert!(running.iter().all(|running| *running <= 2.0 * mean + 3.0), "{running:?}");
    }
    assert!(refusals > 0, "the bound was never met");
}

#[test]
fn an_entry_that_avoids_all_upstreams_is_told_so_at_once() {
    let mut pool = pool(engines(), 12, 64);
    let mut ask = ask(1, &[(7, 2_000), (100, 50)]);
    ask.avoid = members(12, 64).into_iter().map(|listing| listing.id).collect();
    assert_eq!(refused(&pool.ask(at(0), ask)), Some(Reason::NoUpstream));
    assert_eq!(pool.waiting(), 0);
}
