//! Which upstreams a home grants during a roll-out, while a service moves from one version to another.

#![allow(clippy::unwrap_used, clippy::cast_precision_loss, clippy::print_stdout)]

mod fleet;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use fleet::{
    at, count_trials, engines, granted_upstream, is_new, listings, policy, pool, request, reservation, source, version,
};
use stairvale_dispatch::{
    Ask, Outcome, Part, Pool, Verdict,
    pool::{ColdLimits, Rules},
};
use stairvale_rollout::{Cause, Policy, Reservation, Stage};
use stairvale_types::{Moment, id};

#[test]
fn a_version_on_trial_gets_only_the_reserved_requests() {
    let mut pool = pool(Rules::default(), 3, 3, 8);
    pool.set_policy(at(1), policy(Stage::Trial));
    let as_is = |request| request;
    assert_eq!(count_trials(&mut pool, 0, 200, 10, as_is), 0, "nothing is reserved for the trial");
    pool.reserve(reservation(10, 1_000, 2));
    assert_eq!(count_trials(&mut pool, 1_000, 200, 20, as_is), 10, "as many requests as were reserved");
    pool.reserve(reservation(10, 1_000, 2));
    pool.reserve(reservation(5, 1_000, 2));
    assert_eq!(count_trials(&mut pool, 2_000, 200, 30, as_is), 5, "a reservation replaces the previous one");
    pool.reserve(reservation(10, 1_000, 2));
    assert_eq!(count_trials(&mut pool, 3_000, 200, 1_000, as_is), 0, "the reservation has expired");
    for over in [Some(Stage::RolledBack(Cause::Failing)), None] {
        pool.set_policy(at(1_100), policy(Stage::Trial));
        pool.reserve(reservation(10, 9_000, 2));
        if let Some(stage) = over {
            pool.set_policy(at(1_100), policy(stage));
            assert_eq!(count_trials(&mut pool, 4_000, 200, 1_200, as_is), 0, "the version was rolled back");
        }
    }
    // A reservation for one version doesn't apply to another one.
    let other = Policy { target: version("v1"), stage: Stage::Trial, rejected: Vec::new() };
    pool.set_policy(at(1_300), Some(other));
    assert_eq!(
        count_trials(&mut pool, 5_000, 100, 1_400, as_is),
        100,
        "without a reservation v1 on trial gets no requests"
    );
}

#[test]
fn retries_and_unrepeatable_requests_are_not_sent_to_a_trial() {
    for unrepeatable in [false, true] {
        let mut pool = pool(Rules::default(), 3, 3, 8);
        pool.set_policy(at(1), policy(Stage::Trial));
        pool.reserve(Reservation { unrepeatable, ..reservation(100, 1_000, 1) });
        let mut tried = [0; 3];
        for number in 0..300 {
            // Of seven requests, unrepeatable ones (shape 2) make a trial due, and a retry (shape 1) comes right after
            // them.
            let shape = [0, 0, 0, 0, 2, 2, 1][(number % 7) as usize];
            let mut request = request(number, 0, &[]);
            match shape {
                0 => {}
                1 => request.avoid = vec!["o0".parse().unwrap()],
                _ => request.repeatable = false,
            }
            let answers = pool.ask(at(10), request);
            tried[shape] += usize::from(granted_upstream(&answers).is_some_and(|upstream| is_new(&upstream)));
            pool.release(at(10), id::Attempt(number), Outcome::Served, Some(Duration::from_millis(5)));
        }
        assert!(tried[0] > 20, "{tried:?}");
        assert_eq!(tried[1], 0, "retries are never sent to the trial");
        assert_eq!(tried[2] > 10, unrepeatable, "{tried:?}");
        assert!(unrepeatable || tried[2] == 0, "{tried:?}");
    }
}

#[test]
fn unrepeatable_requests_do_not_reduce_the_size_of_a_trial() {
    let mut pool = pool(Rules::default(), 3, 1, 64);
    pool.set_policy(at(1), policy(Stage::Trial));
    pool.reserve(reservation(50, 60_000, 1));
    let mixed = |request: Ask| Ask { repeatable: request.attempt.0.is_multiple_of(2), ..request };
    // The trial gets a quarter of all requests, all of it from the half that is repeatable.
    let tried = count_trials(&mut pool, 0, 100, 10, mixed);
    assert!((23..=26).contains(&tried), "{tried}");
}

#[test]
fn upstreams_are_chosen_for_a_trial_in_turn() {
    let mut pool = pool(Rules::default(), 6, 6, 8);
    pool.set_policy(at(1), policy(Stage::Trial));
    let mut chosen = Vec::new();
    for round in 0..3 {
        pool.reserve(reservation(20, 60_000, 2));
        let mut upstreams = BTreeSet::new();
        for number in 0..200 {
            let number = round * 1_000 + number;
            let upstream = granted_upstream(&pool.ask(at(10), request(number, 0, &[]))).unwrap();
            if number % 10 == 9 {
                for number in number - 9..=number {
                    pool.release(at(10), id::Attempt(number), Outcome::Served, Some(Duration::from_millis(5)));
                }
            }
            if is_new(&upstream) {
                upstreams.insert(upstream);
            }
        }
        assert_eq!(upstreams.len(), 2, "in reservation {round}");
        chosen.extend(upstreams);
    }
    assert_eq!(chosen.iter().collect::<BTreeSet<_>>().len(), 6, "{chosen:?}");
}

/// Guards against a trial that stops without a result: when all upstreams of a version fail, soon none of them is
/// healthy, and only further trial requests can show that the version itself fails.
#[test]
fn the_trial_of_a_version_without_a_healthy_upstream_continues() {
    let mut pool = pool(Rules::default(), 3, 3, 6);
    pool.set_policy(at(1), policy(Stage::Trial));
    let mut failed = 0;
    for number in 0..600 {
        let now = at(10 + number * 9);
        if number % 100 == 0 {
            pool.reserve(reservation(20, 10 + number * 9 + 2_000, 1));
        }
        let upstream = granted_upstream(&pool.ask(now, request(u128::from(number), 0, &[]))).unwrap();
        let outcome = if is_new(&upstream) { Outcome::Failed } else { Outcome::Served };
        failed += u32::from(is_new(&upstream));
        let took = (outcome == Outcome::Served).then_some(Duration::from_millis(5));
        pool.release(now, id::Attempt(u128::from(number)), outcome, took);
        assert_eq!(pool.facts(now).ready_new, 3);
    }
    assert!(failed >= 60, "{failed}");
}

#[test]
fn a_chosen_upstream_that_is_ejected_or_leaves_is_replaced() {
    for leaves in [false, true] {
        let mut pool = pool(Rules::default(), 6, 2, 64);
        pool.set_policy(at(1), policy(Stage::Trial));
        pool.reserve(reservation(40, 60_000, 1));
        let mut first = None;
        let mut upstreams = Vec::new();
        for number in 0..300 {
            let now = at(10 + number);
            let upstream = granted_upstream(&pool.ask(now, request(u128::from(number), 0, &[]))).unwrap();
            let mut outcome = Outcome::Served;
            if is_new(&upstream) {
                let first = first.get_or_insert_with(|| upstream.clone());
                if *first == upstream && leaves {
                    pool.update(now, &[], std::slice::from_ref(&upstream));
                } else if *first == upstream {
                    outcome = Outcome::Failed;
                }
                upstreams.push(upstream);
            }
            pool.release(now, id::Attempt(u128::from(number)), outcome, Some(Duration::from_millis(5)));
        }
        let other = upstreams.iter().filter(|upstream| Some(*upstream) != first.as_ref()).count();
        assert!(other > 20, "{other} of {} requests went to the other upstream", upstreams.len());
        assert_eq!(upstreams.len(), 40, "the whole reservation was used");
    }
}

#[test]
fn a_request_that_finds_the_chosen_upstreams_full_goes_to_an_old_one_and_uses_no_reservation() {
    let mut pool = pool(Rules::default(), 3, 1, 1);
    pool.set_policy(at(1), policy(Stage::Trial));
    pool.reserve(reservation(2, 60_000, 1));
    let mut running = Vec::new();
    for number in 0..4 {
        running.push(granted_upstream(&pool.ask(at(10), request(number, 0, &[]))).unwrap());
    }
    assert_eq!(running.iter().filter(|upstream| is_new(upstream)).count(), 1, "the only slot of the new upstream");
    let new = running.iter().position(is_new).unwrap();
    pool.release(at(20), id::Attempt(new as u128), Outcome::Served, Some(Duration::from_millis(10)));
    assert_eq!(count_trials(&mut pool, 100, 50, 30, |request| request), 1, "the rest of the reservation");
}

#[test]
fn each_route_gets_its_share_of_a_trial() {
    let mut pool = pool(Rules::default(), 9, 9, 64);
    pool.set_policy(at(1), policy(Stage::Trial));
    let mut given: BTreeMap<u64, u32> = BTreeMap::new();
    let mut number = 0;
    for second in 0..10 {
        pool.reserve(reservation(30, 60_000, 3));
        for index in 0..100_u64 {
            number += 1;
            // Of a hundred requests the three routes have 80, 17 and 3.
            let route = match index * 37 % 100 {
                0..80 => 0,
                80..97 => 1,
                _ => 2,
            };
            let now = at(second * 1_000 + index * 10);
            let new =
                granted_upstream(&pool.ask(now, request(number, route, &[]))).is_some_and(|upstream| is_new(&upstream));
            *given.entry(route).or_default() += u32::from(new);
            pool.release(now, id::Attempt(number), Outcome::Served, Some(Duration::from_millis(5)));
        }
    }
    // Three chosen upstreams beside nine old ones get a quarter of all requests.
    let all: u32 = given.values().sum();
    assert!((230..=260).contains(&all), "{given:?}");
    // Half of the trial is shared equally, which is a sixth of it for each route. The rare route has too few requests
    // for that: at most half of them are tried.
    assert!(given[&1] >= 250 / 6, "{given:?}");
    assert!((10..=15).contains(&given[&2]), "{given:?}");
}

/// Sends `rate` requests per second for three seconds, each of which takes `service_us` µs; at engines, groups of them
/// share prefixes. At the start of the third second `reserved` trial requests are reserved over `over` upstreams.
/// Returns how many requests each upstream got in that second, and the time in µs from its start to the last grant at a
/// new upstream.
fn run_load(
    pool: &mut Pool,
    rate: u64,
    service_us: u64,
    reserved: u32,
    over: usize,
) -> (BTreeMap<id::Upstream, u32>, u64) {
    let mut ends: VecDeque<(u64, id::Attempt)> = VecDeque::new();
    let mut given: BTreeMap<id::Upstream, u32> = BTreeMap::new();
    let mut last_trial_us = 0;
    let (start, end) = (2_000_000, 3_000_000);
    let mut number = 0;
    let engine = pool.has_engines();
    loop {
        let now = number * 1_000_000 / rate;
        while ends.front().is_some_and(|(end, _)| *end <= now) {
            let (end, attempt) = ends.pop_front().unwrap();
            let took = (!engine).then(|| Duration::from_micros(service_us));
            pool.release(Moment(end), attempt, Outcome::Served, took);
        }
        if now >= end {
            return (given, last_trial_us);
        }
        if now >= start && now - start < 1_000_000 / rate {
            pool.reserve(Reservation { until: Moment(now + 2_000_000), ..reservation(reserved, 0, over) });
        }
        number += 1;
        let key = number * 7_919 % 200;
        let parts = [(key % 4 + 1, 2_500), (1_000 + key, 3_000), (1_000_000 + number, 500)];
        let attempt = id::Attempt(u128::from(number));
        let zone = ["a", "b", "c"][(number % 3) as usize].parse().unwrap();
        let request = Ask { zone, ..request(u128::from(number), number % 3, if engine { &parts } else { &[] }) };
        for answer in pool.ask(Moment(now), request) {
            let Verdict::Granted { upstream, .. } = answer.verdict else { panic!("refused") };
            if now >= start {
                *given.entry(upstream.clone()).or_default() += 1;
                last_trial_us = if is_new(&upstream) { now - start } else { last_trial_us };
            }
            pool.record_first_event(Moment(now), answer.attempt, Duration::from_millis(60));
            ends.push_back((now + service_us, answer.attempt));
            assert_eq!(answer.attempt, attempt, "there is room at once");
        }
    }
}

/// Returns the mean requests of an old upstream and of a chosen new one, and the number of chosen ones.
fn means(given: &BTreeMap<id::Upstream, u32>, old: usize) -> (f64, f64, usize) {
    let sum = |new: bool| given.iter().filter(|(id, _)| is_new(id) == new).map(|(_, count)| *count).sum::<u32>();
    let chosen = given.keys().filter(|id| is_new(id)).count();
    (f64::from(sum(false)) / old as f64, f64::from(sum(true)) / chosen as f64, chosen)
}

/// 60 engines get 278 requests per second that take a second each: an old engine runs some 4.6 at once, and may run
/// twice as many.
#[test]
fn chosen_engines_get_the_load_that_the_busiest_old_engine_may_have() {
    let mut pool = pool(engines(), 60, 60, 64);
    pool.set_policy(at(1), policy(Stage::Trial));
    let (given, last_trial_us) = run_load(&mut pool, 278, 1_000_000, 14, 3);
    let (old, new, chosen) = means(&given, 60);
    println!(
        "engines: {old:.2} requests at an old one, {new:.2} at each of {chosen} new ones, last trial after {last_trial_us} us"
    );
    assert_eq!(chosen, 3);
    // The new engines got the whole reservation in about half a second; the count of the old ones is for a whole
    // second.
    let per_second = new * 1e6 / last_trial_us as f64;
    assert!(per_second > old * 1.4 && per_second < old * 2.4, "{old} {per_second}");
    assert!((300_000..=700_000).contains(&last_trial_us), "{last_trial_us}");
}

/// Three plain upstreams of six slots get 116 requests per second that take 50 ms each: an old upstream runs some two
/// at once.
#[test]
fn a_chosen_plain_upstream_gets_the_load_of_an_old_one() {
    let mut pool = pool(Rules::default(), 3, 3, 6);
    pool.set_policy(at(1), policy(Stage::Trial));
    let (given, last_trial_us) = run_load(&mut pool, 116, 50_000, 25, 1);
    let (old, new, chosen) = means(&given, 3);
    println!(
        "plain: {old:.2} requests at an old one, {new:.2} at each of {chosen} new ones, last trial after {last_trial_us} us"
    );
    assert_eq!(chosen, 1);
    assert!(new > old / 1.4 && new < old * 1.4, "{old} {new}");
    assert!((500_000..=1_000_000).contains(&last_trial_us), "{last_trial_us}");
}

/// Three plain upstreams under a load multiple, with as many chosen upstreams as old ones: for a moment the chosen ones
/// serve nearly all requests.
#[test]
fn as_many_chosen_upstreams_as_old_ones_get_the_full_load() {
    let mut pool = pool(Rules { load_multiple: 2.0, load_slack: 3.0, ..Rules::default() }, 3, 3, 6);
    pool.set_policy(at(1), policy(Stage::Trial));
    let (given, last_trial_us) = run_load(&mut pool, 116, 50_000, 60, 3);
    let (old, new, chosen) = means(&given, 3);
    assert_eq!((chosen, new), (3, 20.0), "{given:?}");
    assert!(last_trial_us <= 700_000, "{old} {last_trial_us}");
}

/// Two of four plain upstreams are unreachable: the other two serve twice as many requests, and so does the chosen one.
#[test]
fn a_chosen_upstream_gets_the_load_of_a_healthy_old_one() {
    let mut pool = pool(Rules::default(), 4, 1, 64);
    pool.set_policy(at(1), policy(Stage::Trial));
    for number in 0..2 {
        granted_upstream(&pool.ask(at(10), request(number, 0, &[]))).unwrap();
    }
    for number in 0..2 {
        pool.release(at(11), id::Attempt(number), Outcome::Unreachable, None);
    }
    pool.reserve(reservation(100, 60_000, 1));
    let tried = count_trials(&mut pool, 100, 99, 20, |request| request);
    assert!((32..=34).contains(&tried), "{tried} of 99 requests, shared among three upstreams");
}

#[test]
fn engines_on_trial_copy_from_old_engines_and_old_engines_never_from_those_on_trial() {
    let mut pool = pool(engines(), 2, 2, 16);
    pool.set_policy(at(1), policy(Stage::Trial));
    let prompt = |number: u64| [(7, 2_000), (8, 6_000), (100 + number, 100)];
    let old = granted_upstream(&pool.ask(at(10), request(1, 0, &prompt(1)))).unwrap();
    pool.record_first_event(at(20), id::Attempt(1), Duration::from_millis(10));
    pool.reserve(reservation(1, 60_000, 1));
    let mut tried = None;
    for number in 2..20 {
        let answers = pool.ask(at(30), request(number, 0, &prompt(u64::try_from(number).unwrap())));
        pool.record_first_event(at(30), id::Attempt(number), Duration::from_millis(10));
        if is_new(&granted_upstream(&answers).unwrap()) {
            assert_eq!(source(&answers), Some(old.clone()));
            tried = granted_upstream(&answers);
        }
    }
    assert!(tried.is_some());
    // A prefix that only new engines hold is prefilled rather than copied, since their version may be failing.
    let parts = [Part { id: 70, tokens: 2_000 }, Part { id: 80, tokens: 6_000 }];
    for new in ["n0", "n1"] {
        pool.learn_prefixes(&new.parse().unwrap(), &parts);
    }
    let answers = pool.ask(at(50), request(50, 0, &[(70, 2_000), (80, 6_000), (200, 100)]));
    assert!(!is_new(&granted_upstream(&answers).unwrap()));
    assert_eq!(source(&answers), None);
}

#[test]
fn a_prefix_recorded_only_on_trial_engines_is_located_by_the_hint_of_the_entry() {
    let mut pool = pool(engines(), 2, 1, 16);
    pool.set_policy(at(1), policy(Stage::Trial));
    let parts = [Part { id: 7, tokens: 2_000 }, Part { id: 8, tokens: 6_000 }];
    pool.learn_prefixes(&"n0".parse().unwrap(), &parts);
    let old: id::Upstream = "o1".parse().unwrap();
    let seen = Some((2, old.clone()));
    let request = Ask { seen, ..request(1, 0, &[(7, 2_000), (8, 6_000), (100, 100)]) };
    assert_eq!(granted_upstream(&pool.ask(at(10), request)), Some(old));
}

#[test]
fn no_request_waits_for_a_prefill_on_trial() {
    let mut pool = pool(engines(), 2, 1, 16);
    pool.set_policy(at(1), policy(Stage::Trial));
    pool.reserve(reservation(1, 60_000, 1));
    let mut number = 0;
    // Prompts without a common prefix, until one is sent to the trial.
    let new = loop {
        number += 1;
        let own = u64::try_from(number).unwrap();
        let answers = pool.ask(at(10), request(number, 0, &[(9_000 + own, 8_000), (own, 100)]));
        pool.record_first_event(
            at(10),
            id::Attempt(if is_new(&granted_upstream(&answers).unwrap()) { 0 } else { number }),
            Duration::ZERO,
        );
        if is_new(&granted_upstream(&answers).unwrap()) {
            break own;
        }
    };
    let answers = pool.ask(at(11), request(1_000, 0, &[(9_000 + new, 8_000), (5_000, 100)]));
    assert!(
        granted_upstream(&answers).is_some_and(|upstream| !is_new(&upstream)),
        "it would wait for a prefill that it can't copy"
    );
}

#[test]
fn a_request_that_only_a_version_on_trial_could_serve_is_refused() {
    let mut pool = pool(Rules::default(), 0, 3, 8);
    pool.set_policy(at(1), policy(Stage::Trial));
    let answers = pool.ask(at(2), request(1, 0, &[]));
    assert!(matches!(answers[0].verdict, Verdict::Refused(_)));
    assert_eq!(pool.waiting(), 0);
}

#[test]
fn no_upstream_is_chosen_in_a_partitioned_zone() {
    let mut pool = pool(Rules::default(), 3, 3, 8);
    pool.set_policy(at(1), policy(Stage::Trial));
    let zone: id::Zone = "a".parse().unwrap();
    // o0 and n0 are in zone a, and o0 doesn't respond.
    let mut first = request(1, 0, &[]);
    first.avoid = vec!["o1".parse().unwrap(), "o2".parse().unwrap()];
    assert_eq!(granted_upstream(&pool.ask(at(10), first)), Some("o0".parse().unwrap()));
    pool.release(at(20), id::Attempt(1), Outcome::Silent, None);
    pool.set_unresponsive_zones([zone.clone()].into());
    pool.reserve(reservation(100, 60_000, 3));
    for number in 100..400 {
        let upstream = granted_upstream(&pool.ask(at(1_000), request(number, 0, &[]))).unwrap();
        assert_ne!(pool.members().find(|member| member.id == upstream).unwrap().zone, zone);
        pool.release(at(1_000), id::Attempt(number), Outcome::Served, Some(Duration::from_millis(5)));
    }
}

// ------------------------------------------------------------------------
// The stage in which the fleet moves to the new version.

#[test]
fn while_the_fleet_moves_old_upstreams_get_only_what_the_new_ones_have_no_room_for() {
    let mut pool = pool(Rules::default(), 2, 2, 2);
    pool.set_policy(at(1), policy(Stage::Moving));
    let upstreams: Vec<_> =
        (0..8).map(|number| granted_upstream(&pool.ask(at(10), request(number, 0, &[]))).unwrap()).collect();
    assert!(upstreams[..4].iter().all(is_new));
    assert!(!upstreams[4..].iter().any(is_new));
    pool.set_policy(at(20), policy(Stage::Completed));
    for number in 0..8 {
        pool.release(at(30), id::Attempt(number), Outcome::Served, Some(Duration::from_millis(20)));
    }
    let upstreams: Vec<_> =
        (10..14).filter_map(|number| granted_upstream(&pool.ask(at(40), request(number, 0, &[])))).collect();
    assert_eq!(upstreams.len(), 4);
    assert!(upstreams.iter().all(is_new));
    assert!(pool.ask(at(41), request(20, 0, &[])).is_empty(), "the request waits for the new upstreams");
}

#[test]
fn while_the_new_upstreams_are_unhealthy_the_old_ones_serve() {
    let mut pool = pool(Rules::default(), 2, 2, 8);
    pool.set_policy(at(1), policy(Stage::Moving));
    for number in 0..2 {
        assert!(is_new(&granted_upstream(&pool.ask(at(10), request(number, 0, &[]))).unwrap()));
        pool.release(at(11), id::Attempt(number), Outcome::Unreachable, None);
    }
    for number in 10..20 {
        assert!(!is_new(&granted_upstream(&pool.ask(at(20), request(number, 0, &[]))).unwrap()));
    }
}

#[test]
fn cold_new_engines_are_not_overloaded_while_the_fleet_moves() {
    let cold = ColdLimits { pace: 9.6, bound: 19.4, time: Duration::from_secs(3) };
    let mut pool = Pool::new(Rules { cold: Some(cold), load_multiple: 0.0, ..engines() });
    let mut members = listings(2, 1, 64);
    members[2].cold = Duration::from_secs(3);
    pool.set_members(at(0), &members);
    pool.set_policy(at(1), policy(Stage::Moving));
    let upstreams = (0..20_u64).map(|number| {
        granted_upstream(&pool.ask(at(10 + number), request(u128::from(number), 0, &[(1_000 + number, 100)]))).unwrap()
    });
    let new = upstreams.filter(is_new).count();
    assert!((4..=7).contains(&new), "{new}");
}

#[test]
fn an_engine_that_may_turn_cold_unnoticed_is_not_overloaded_while_the_fleet_moves() {
    let cold = ColdLimits { pace: 9.6, bound: 19.4, time: Duration::from_secs(3) };
    let mut pool = Pool::new(Rules { cold: Some(cold), load_multiple: 0.0, ..engines() });
    pool.set_members(at(0), &listings(2, 1, 64));
    pool.set_policy(at(1), policy(Stage::Moving));
    let upstreams = (0..40_u64).map(|number| {
        granted_upstream(&pool.ask(at(10 + number), request(u128::from(number), 0, &[(1_000 + number, 100)]))).unwrap()
    });
    assert_eq!(upstreams.filter(is_new).count(), 18, "fewer requests in a second than the bound of a cold engine");
}

#[test]
fn moving_drains_the_old_engines_and_copies_their_prefixes() {
    let mut pool = pool(engines(), 4, 4, 64);
    let prompt = |number: u64| [(number % 3, 2_000), (10 + number % 12, 5_000), (1_000 + number, 100)];
    let mut running: VecDeque<(u64, bool)> = VecDeque::new();
    let mut copied = 0;
    pool.set_policy(at(0), policy(Stage::Trial));
    for number in 0..400_u64 {
        let now = at(number * 10);
        if number == 200 {
            pool.set_policy(now, policy(Stage::Moving));
        }
        for answer in pool.ask(now, request(u128::from(number), 0, &prompt(number))) {
            let Verdict::Granted { upstream, source, .. } = answer.verdict else { panic!("refused") };
            assert_eq!(is_new(&upstream), number >= 200, "request {number} at {upstream}");
            copied += u32::from(number >= 200 && source.is_some_and(|source| !is_new(&source)));
            pool.record_first_event(now, answer.attempt, Duration::from_millis(50));
            running.push_back((number, is_new(&upstream)));
        }
        // 20 requests run at once.
        if running.len() > 20 {
            let (number, _) = running.pop_front().unwrap();
            pool.release(now, id::Attempt(u128::from(number)), Outcome::Served, None);
        }
    }
    assert!(copied >= 12, "each prefix is copied at least once: {copied}");
    let facts = pool.facts(at(4_000));
    assert_eq!((facts.running_old, facts.running_new), (0, 20));
    // Engines that are removed are no copy sources.
    pool.set_policy(at(4_000), policy(Stage::Completed));
    let mut members = listings(4, 4, 64);
    members.retain(|listing| !is_new(&listing.id));
    members.extend(listings(0, 8, 64).into_iter().skip(7));
    pool.set_members(at(4_010), &members);
    let answers = pool.ask(at(4_020), request(9_000, 0, &prompt(9_000)));
    assert!(source(&answers).is_none_or(|source| is_new(&source)));
}
