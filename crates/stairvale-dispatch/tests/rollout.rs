//! What a home gives to the versions of a service while it moves from one to another.

#![allow(clippy::unwrap_used, clippy::cast_precision_loss, clippy::print_stdout)]

mod fleet;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use fleet::{ask, at, engines, is_new, listings, place, policy, pool, reservation, source, tried, version};
use stairvale_dispatch::{
    Ask, Outcome, Part, Pool, Verdict,
    pool::{Cold, Rules},
};
use stairvale_rollout::{Cause, Policy, Reservation, Stage};
use stairvale_types::{Moment, id};

#[test]
fn a_version_on_trial_gets_what_is_reserved_and_nothing_else() {
    let mut pool = pool(Rules::default(), 3, 3, 8);
    pool.set_policy(at(1), policy(Stage::Trial));
    let as_is = |ask| ask;
    assert_eq!(tried(&mut pool, 0, 200, 10, as_is), 0, "nothing is reserved");
    pool.reserve(reservation(10, 1_000, 2));
    assert_eq!(tried(&mut pool, 1_000, 200, 20, as_is), 10, "as many as were reserved");
    pool.reserve(reservation(10, 1_000, 2));
    pool.reserve(reservation(5, 1_000, 2));
    assert_eq!(tried(&mut pool, 2_000, 200, 30, as_is), 5, "a reservation takes the place of the last one");
    pool.reserve(reservation(10, 1_000, 2));
    assert_eq!(tried(&mut pool, 3_000, 200, 1_000, as_is), 0, "its time is over");
    for over in [Some(Stage::RolledBack(Cause::Failing)), None] {
        pool.set_policy(at(1_100), policy(Stage::Trial));
        pool.reserve(reservation(10, 9_000, 2));
        if let Some(stage) = over {
            pool.set_policy(at(1_100), policy(stage));
            assert_eq!(tried(&mut pool, 4_000, 200, 1_200, as_is), 0, "it was rolled back");
        }
    }
    // What was reserved for one version is not another one's.
    let other = Policy { target: version("v1"), stage: Stage::Trial, rejected: Vec::new() };
    pool.set_policy(at(1_300), Some(other));
    assert_eq!(tried(&mut pool, 5_000, 100, 1_400, as_is), 100, "only what is reserved goes to v1, and nothing is");
}

#[test]
fn retries_and_what_may_run_only_once_are_not_tried() {
    for once in [false, true] {
        let mut pool = pool(Rules::default(), 3, 3, 8);
        pool.set_policy(at(1), policy(Stage::Trial));
        pool.reserve(Reservation { unrepeatable: once, ..reservation(100, 1_000, 1) });
        let mut tried = [0; 3];
        for number in 0..300 {
            // What may run only once makes a trial due, and what was tried before comes next.
            let shape = [0, 0, 0, 0, 2, 2, 1][(number % 7) as usize];
            let mut ask = ask(number, 0, &[]);
            match shape {
                0 => {}
                1 => ask.avoid = vec!["o0".parse().unwrap()],
                _ => ask.repeatable = false,
            }
            let answers = pool.ask(at(10), ask);
            tried[shape] += usize::from(place(&answers).is_some_and(|place| is_new(&place)));
            pool.release(at(10), id::Attempt(number), Outcome::Served, Some(Duration::from_millis(5)));
        }
        assert!(tried[0] > 20, "{tried:?}");
        assert_eq!(tried[1], 0, "they were tried before");
        assert_eq!(tried[2] > 10, once, "{tried:?}");
        assert!(once || tried[2] == 0, "{tried:?}");
    }
}

#[test]
fn what_may_run_only_once_takes_no_part_of_the_trial_from_the_others() {
    let mut pool = pool(Rules::default(), 3, 1, 64);
    pool.set_policy(at(1), policy(Stage::Trial));
    pool.reserve(reservation(50, 60_000, 1));
    let mixed = |ask: Ask| Ask { repeatable: ask.attempt.0.is_multiple_of(2), ..ask };
    // A quarter of all, out of the half that may run twice.
    let tried = tried(&mut pool, 0, 100, 10, mixed);
    assert!((23..=26).contains(&tried), "{tried}");
}

#[test]
fn several_upstreams_are_tried_in_turn() {
    let mut pool = pool(Rules::default(), 6, 6, 8);
    pool.set_policy(at(1), policy(Stage::Trial));
    let mut seen = Vec::new();
    for spell in 0..3 {
        pool.reserve(reservation(20, 60_000, 2));
        let mut places = BTreeSet::new();
        for number in 0..200 {
            let number = spell * 1_000 + number;
            let place = place(&pool.ask(at(10), ask(number, 0, &[]))).unwrap();
            if number % 10 == 9 {
                for number in number - 9..=number {
                    pool.release(at(10), id::Attempt(number), Outcome::Served, Some(Duration::from_millis(5)));
                }
            }
            if is_new(&place) {
                places.insert(place);
            }
        }
        assert_eq!(places.len(), 2, "in reservation {spell}");
        seen.extend(places);
    }
    assert_eq!(seen.iter().collect::<BTreeSet<_>>().len(), 6, "{seen:?}");
}

/// A version all of whose upstreams fail soon leaves none that is well. It is tried on, or nobody could ever tell.
#[test]
fn a_version_none_of_whose_upstreams_is_well_is_tried_on() {
    let mut pool = pool(Rules::default(), 3, 3, 6);
    pool.set_policy(at(1), policy(Stage::Trial));
    let mut failed = 0;
    for number in 0..600 {
        let now = at(10 + number * 9);
        if number % 100 == 0 {
            pool.reserve(reservation(20, 10 + number * 9 + 2_000, 1));
        }
        let place = place(&pool.ask(now, ask(u128::from(number), 0, &[]))).unwrap();
        let outcome = if is_new(&place) { Outcome::Failed } else { Outcome::Served };
        failed += u32::from(is_new(&place));
        let took = (outcome == Outcome::Served).then_some(Duration::from_millis(5));
        pool.release(now, id::Attempt(u128::from(number)), outcome, took);
        assert_eq!(pool.facts(now).ready_new, 3);
    }
    assert!(failed >= 60, "{failed}");
}

#[test]
fn another_upstream_is_chosen_for_one_that_closes_or_leaves() {
    for leaves in [false, true] {
        let mut pool = pool(Rules::default(), 6, 2, 64);
        pool.set_policy(at(1), policy(Stage::Trial));
        pool.reserve(reservation(40, 60_000, 1));
        let mut first = None;
        let mut places = Vec::new();
        for number in 0..300 {
            let now = at(10 + number);
            let place = place(&pool.ask(now, ask(u128::from(number), 0, &[]))).unwrap();
            let mut outcome = Outcome::Served;
            if is_new(&place) {
                let bad = first.get_or_insert_with(|| place.clone());
                if *bad == place && leaves {
                    pool.update(now, &[], std::slice::from_ref(&place));
                } else if *bad == place {
                    outcome = Outcome::Failed;
                }
                places.push(place);
            }
            pool.release(now, id::Attempt(u128::from(number)), outcome, Some(Duration::from_millis(5)));
        }
        let other = places.iter().filter(|place| Some(*place) != first.as_ref()).count();
        assert!(other > 20, "{other} of {} requests went to the other one", places.len());
        assert_eq!(places.len(), 40, "all of the reservation was given out");
    }
}

#[test]
fn a_request_that_finds_no_room_at_the_chosen_ones_goes_the_usual_way_and_uses_nothing_up() {
    let mut pool = pool(Rules::default(), 3, 1, 1);
    pool.set_policy(at(1), policy(Stage::Trial));
    pool.reserve(reservation(2, 60_000, 1));
    let mut running = Vec::new();
    for number in 0..4 {
        running.push(place(&pool.ask(at(10), ask(number, 0, &[]))).unwrap());
    }
    assert_eq!(running.iter().filter(|place| is_new(place)).count(), 1, "its only place");
    let new = running.iter().position(is_new).unwrap();
    pool.release(at(20), id::Attempt(new as u128), Outcome::Served, Some(Duration::from_millis(10)));
    assert_eq!(tried(&mut pool, 100, 50, 30, |ask| ask), 1, "what is left");
}

#[test]
fn each_route_gets_its_part_of_a_trial() {
    let mut pool = pool(Rules::default(), 9, 9, 64);
    pool.set_policy(at(1), policy(Stage::Trial));
    let mut given: BTreeMap<u64, u32> = BTreeMap::new();
    let mut number = 0;
    for spell in 0..10 {
        pool.reserve(reservation(30, 60_000, 3));
        for request in 0..100_u64 {
            number += 1;
            // Of a hundred requests 80, 17 and 3.
            let route = match request * 37 % 100 {
                0..80 => 0,
                80..97 => 1,
                _ => 2,
            };
            let now = at(spell * 1_000 + request * 10);
            let new = place(&pool.ask(now, ask(number, route, &[]))).is_some_and(|place| is_new(&place));
            *given.entry(route).or_default() += u32::from(new);
            pool.release(now, id::Attempt(number), Outcome::Served, Some(Duration::from_millis(5)));
        }
    }
    // A quarter of all is the natural part of three beside nine.
    let all: u32 = given.values().sum();
    assert!((230..=260).contains(&all), "{given:?}");
    // Half of it alike, that is a sixth of it each; the rare route gives half of what it has.
    assert!(given[&1] >= 250 / 6, "{given:?}");
    assert!((10..=15).contains(&given[&2]), "{given:?}");
}

/// A loop of asks and ends: so many requests a second, a part of which share beginnings, each of which takes a fixed time.
/// Gives the requests of each upstream in a spell of `spell` ms, and how long the reservation took to be given out.
fn spell(pool: &mut Pool, rate: u64, service: u64, reserved: u32, over: usize) -> (BTreeMap<id::Upstream, u32>, u64) {
    let mut ends: VecDeque<(u64, id::Attempt)> = VecDeque::new();
    let mut given: BTreeMap<id::Upstream, u32> = BTreeMap::new();
    let mut out = 0;
    let (start, end) = (2_000_000, 3_000_000);
    let mut number = 0;
    let engine = pool.has_engines();
    loop {
        let now = number * 1_000_000 / rate;
        while ends.front().is_some_and(|(end, _)| *end <= now) {
            let (end, attempt) = ends.pop_front().unwrap();
            let took = (!engine).then(|| Duration::from_micros(service));
            pool.release(Moment(end), attempt, Outcome::Served, took);
        }
        if now >= end {
            return (given, out);
        }
        if now >= start && now - start < 1_000_000 / rate {
            pool.reserve(Reservation { until: Moment(now + 2_000_000), ..reservation(reserved, 0, over) });
        }
        number += 1;
        let key = number * 7_919 % 200;
        let parts = [(key % 4 + 1, 2_500), (1_000 + key, 3_000), (1_000_000 + number, 500)];
        let attempt = id::Attempt(u128::from(number));
        let zone = ["a", "b", "c"][(number % 3) as usize].parse().unwrap();
        let ask = Ask { zone, ..ask(u128::from(number), number % 3, if engine { &parts } else { &[] }) };
        for answer in pool.ask(Moment(now), ask) {
            let Verdict::Granted { upstream, .. } = answer.verdict else { panic!("refused") };
            if now >= start {
                *given.entry(upstream.clone()).or_default() += 1;
                out = if is_new(&upstream) { now - start } else { out };
            }
            pool.begun(Moment(now), answer.attempt, Duration::from_millis(60));
            ends.push_back((now + service, answer.attempt));
            assert_eq!(answer.attempt, attempt, "there is room at once");
        }
    }
}

fn means(given: &BTreeMap<id::Upstream, u32>, old: usize) -> (f64, f64, usize) {
    let sum = |new: bool| given.iter().filter(|(id, _)| is_new(id) == new).map(|(_, count)| *count).sum::<u32>();
    let chosen = given.keys().filter(|id| is_new(id)).count();
    (f64::from(sum(false)) / old as f64, f64::from(sum(true)) / chosen as f64, chosen)
}

/// 60 engines at 278 requests a second, a second each: an old one runs some 4.6 at once, and may run twice as many.
#[test]
fn chosen_engines_carry_what_the_busiest_old_one_may() {
    let mut pool = pool(engines(), 60, 60, 64);
    pool.set_policy(at(1), policy(Stage::Trial));
    let (given, out) = spell(&mut pool, 278, 1_000_000, 14, 3);
    let (old, new, chosen) = means(&given, 60);
    println!("engines: {old:.2} requests at an old one, {new:.2} at each of {chosen} new ones, out after {out} us");
    assert_eq!(chosen, 3);
    // They got all of it in half a second, and the old ones their part in a whole one.
    let in_a_second = new * 1e6 / out as f64;
    assert!(in_a_second > old * 1.4 && in_a_second < old * 2.4, "{old} {in_a_second}");
    assert!((300_000..=700_000).contains(&out), "{out}");
}

/// 3 plain upstreams of 6 places at 116 requests a second, 50 ms each: an old one runs some two at once.
#[test]
fn a_chosen_plain_upstream_carries_what_old_ones_do() {
    let mut pool = pool(Rules::default(), 3, 3, 6);
    pool.set_policy(at(1), policy(Stage::Trial));
    let (given, out) = spell(&mut pool, 116, 50_000, 25, 1);
    let (old, new, chosen) = means(&given, 3);
    println!("plain: {old:.2} requests at an old one, {new:.2} at each of {chosen} new ones, out after {out} us");
    assert_eq!(chosen, 1);
    assert!(new > old / 1.4 && new < old * 1.4, "{old} {new}");
    assert!((500_000..=1_000_000).contains(&out), "{out}");
}

/// The same where a set multiple of the mean is allowed, and as many are chosen as carry the old version: for a moment they carry
/// nearly all of it.
#[test]
fn as_many_chosen_upstreams_as_old_ones_carry_the_full_load() {
    let mut pool = pool(Rules { multiple: 2.0, slack: 3.0, ..Rules::default() }, 3, 3, 6);
    pool.set_policy(at(1), policy(Stage::Trial));
    let (given, out) = spell(&mut pool, 116, 50_000, 60, 3);
    let (old, new, chosen) = means(&given, 3);
    assert_eq!((chosen, new), (3, 20.0), "{given:?}");
    assert!(out <= 700_000, "{old} {out}");
}

/// Two of four plain upstreams can't be reached: the others carry twice as much, and so does the chosen one.
#[test]
fn a_chosen_upstream_carries_what_those_do_that_are_well() {
    let mut pool = pool(Rules::default(), 4, 1, 64);
    pool.set_policy(at(1), policy(Stage::Trial));
    for number in 0..2 {
        place(&pool.ask(at(10), ask(number, 0, &[]))).unwrap();
    }
    for number in 0..2 {
        pool.release(at(11), id::Attempt(number), Outcome::Unreachable, None);
    }
    pool.reserve(reservation(100, 60_000, 1));
    let tried = tried(&mut pool, 100, 99, 20, |ask| ask);
    assert!((32..=34).contains(&tried), "{tried} of 99 among three");
}

#[test]
fn what_is_tried_copies_from_old_engines_and_old_ones_never_from_what_is_on_trial() {
    let mut pool = pool(engines(), 2, 2, 16);
    pool.set_policy(at(1), policy(Stage::Trial));
    let prompt = |number: u64| [(7, 2_000), (8, 6_000), (100 + number, 100)];
    let old = place(&pool.ask(at(10), ask(1, 0, &prompt(1)))).unwrap();
    pool.begun(at(20), id::Attempt(1), Duration::from_millis(10));
    pool.reserve(reservation(1, 60_000, 1));
    let mut tried = None;
    for number in 2..20 {
        let answers = pool.ask(at(30), ask(number, 0, &prompt(u64::try_from(number).unwrap())));
        pool.begun(at(30), id::Attempt(number), Duration::from_millis(10));
        if is_new(&place(&answers).unwrap()) {
            assert_eq!(source(&answers), Some(old.clone()));
            tried = place(&answers);
        }
    }
    assert!(tried.is_some());
    // What only new ones hold is read: they may be bad.
    let parts = [Part { id: 70, tokens: 2_000 }, Part { id: 80, tokens: 6_000 }];
    for new in ["n0", "n1"] {
        pool.learn_prefixes(&new.parse().unwrap(), &parts);
    }
    let answers = pool.ask(at(50), ask(50, 0, &[(70, 2_000), (80, 6_000), (200, 100)]));
    assert!(!is_new(&place(&answers).unwrap()));
    assert_eq!(source(&answers), None);
}

#[test]
fn what_only_a_version_on_trial_is_known_to_hold_is_learned_from_entries() {
    let mut pool = pool(engines(), 2, 1, 16);
    pool.set_policy(at(1), policy(Stage::Trial));
    let parts = [Part { id: 7, tokens: 2_000 }, Part { id: 8, tokens: 6_000 }];
    pool.learn_prefixes(&"n0".parse().unwrap(), &parts);
    let old: id::Upstream = "o1".parse().unwrap();
    let seen = Some((2, old.clone()));
    let asked = Ask { seen, ..ask(1, 0, &[(7, 2_000), (8, 6_000), (100, 100)]) };
    assert_eq!(place(&pool.ask(at(10), asked)), Some(old));
}

#[test]
fn nobody_waits_for_what_is_read_on_trial() {
    let mut pool = pool(engines(), 2, 1, 16);
    pool.set_policy(at(1), policy(Stage::Trial));
    pool.reserve(reservation(1, 60_000, 1));
    let mut number = 0;
    // Short prompts of their own, until one is due.
    let new = loop {
        number += 1;
        let own = u64::try_from(number).unwrap();
        let answers = pool.ask(at(10), ask(number, 0, &[(9_000 + own, 8_000), (own, 100)]));
        pool.begun(at(10), id::Attempt(if is_new(&place(&answers).unwrap()) { 0 } else { number }), Duration::ZERO);
        if is_new(&place(&answers).unwrap()) {
            break own;
        }
    };
    let answers = pool.ask(at(11), ask(1_000, 0, &[(9_000 + new, 8_000), (5_000, 100)]));
    assert!(place(&answers).is_some_and(|place| !is_new(&place)), "it would wait for what it can't copy");
}

#[test]
fn what_only_a_version_on_trial_could_serve_is_refused() {
    let mut pool = pool(Rules::default(), 0, 3, 8);
    pool.set_policy(at(1), policy(Stage::Trial));
    let answers = pool.ask(at(2), ask(1, 0, &[]));
    assert!(matches!(answers[0].verdict, Verdict::Refused(_)));
    assert_eq!(pool.waiting(), 0);
}

#[test]
fn a_zone_behind_a_cut_holds_no_chosen_upstream() {
    let mut pool = pool(Rules::default(), 3, 3, 8);
    pool.set_policy(at(1), policy(Stage::Trial));
    let zone: id::Zone = "a".parse().unwrap();
    // o0 and n0 are in zone a, and one of them says nothing.
    let mut asked = ask(1, 0, &[]);
    asked.avoid = vec!["o1".parse().unwrap(), "o2".parse().unwrap()];
    assert_eq!(place(&pool.ask(at(10), asked)), Some("o0".parse().unwrap()));
    pool.release(at(20), id::Attempt(1), Outcome::Silent, None);
    pool.set_dark([zone.clone()].into());
    pool.reserve(reservation(100, 60_000, 3));
    for number in 100..400 {
        let place = place(&pool.ask(at(1_000), ask(number, 0, &[]))).unwrap();
        assert_ne!(pool.members().find(|member| member.id == place).unwrap().zone, zone);
        pool.release(at(1_000), id::Attempt(number), Outcome::Served, Some(Duration::from_millis(5)));
    }
}

// ------------------------------------------------------------------------
// Moving.

#[test]
fn when_the_fleet_moves_old_upstreams_get_only_what_finds_no_room() {
    let mut pool = pool(Rules::default(), 2, 2, 2);
    pool.set_policy(at(1), policy(Stage::Moving));
    let places: Vec<_> = (0..8).map(|number| place(&pool.ask(at(10), ask(number, 0, &[]))).unwrap()).collect();
    assert!(places[..4].iter().all(is_new));
    assert!(!places[4..].iter().any(is_new));
    pool.set_policy(at(20), policy(Stage::Completed));
    for number in 0..8 {
        pool.release(at(30), id::Attempt(number), Outcome::Served, Some(Duration::from_millis(20)));
    }
    let places: Vec<_> = (10..14).filter_map(|number| place(&pool.ask(at(40), ask(number, 0, &[])))).collect();
    assert_eq!(places.len(), 4);
    assert!(places.iter().all(is_new));
    assert!(pool.ask(at(41), ask(20, 0, &[])).is_empty(), "it waits for the new ones");
}

#[test]
fn when_the_new_upstreams_are_not_well_the_old_ones_serve() {
    let mut pool = pool(Rules::default(), 2, 2, 8);
    pool.set_policy(at(1), policy(Stage::Moving));
    for number in 0..2 {
        assert!(is_new(&place(&pool.ask(at(10), ask(number, 0, &[]))).unwrap()));
        pool.release(at(11), id::Attempt(number), Outcome::Unreachable, None);
    }
    for number in 10..20 {
        assert!(!is_new(&place(&pool.ask(at(20), ask(number, 0, &[]))).unwrap()));
    }
}

#[test]
fn cold_new_engines_are_not_overdone_when_the_fleet_moves() {
    let cold = Cold { pace: 9.6, bound: 19.4, time: Duration::from_secs(3) };
    let mut pool = Pool::new(Rules { cold: Some(cold), multiple: 0.0, ..engines() });
    let mut known = listings(2, 1, 64);
    known[2].cold = Duration::from_secs(3);
    pool.set_members(at(0), &known);
    pool.set_policy(at(1), policy(Stage::Moving));
    let places = (0..20_u64)
        .map(|number| place(&pool.ask(at(10 + number), ask(u128::from(number), 0, &[(1_000 + number, 100)]))).unwrap());
    let new = places.filter(is_new).count();
    assert!((4..=7).contains(&new), "{new}");
}

#[test]
fn an_engine_that_may_turn_cold_unseen_is_not_overdone_when_the_fleet_moves() {
    let cold = Cold { pace: 9.6, bound: 19.4, time: Duration::from_secs(3) };
    let mut pool = Pool::new(Rules { cold: Some(cold), multiple: 0.0, ..engines() });
    pool.set_members(at(0), &listings(2, 1, 64));
    pool.set_policy(at(1), policy(Stage::Moving));
    let places = (0..40_u64)
        .map(|number| place(&pool.ask(at(10 + number), ask(u128::from(number), 0, &[(1_000 + number, 100)]))).unwrap());
    assert_eq!(places.filter(is_new).count(), 18, "less than its bound in a second");
}

#[test]
fn moving_empties_the_old_engines_and_copies_what_they_hold() {
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
        for answer in pool.ask(now, ask(u128::from(number), 0, &prompt(number))) {
            let Verdict::Granted { upstream, source, .. } = answer.verdict else { panic!("refused") };
            assert_eq!(is_new(&upstream), number >= 200, "request {number} at {upstream}");
            copied += u32::from(number >= 200 && source.is_some_and(|source| !is_new(&source)));
            pool.begun(now, answer.attempt, Duration::from_millis(50));
            running.push_back((number, is_new(&upstream)));
        }
        // 20 run at once.
        if running.len() > 20 {
            let (number, _) = running.pop_front().unwrap();
            pool.release(now, id::Attempt(u128::from(number)), Outcome::Served, None);
        }
    }
    assert!(copied >= 12, "each beginning is copied at least once: {copied}");
    let facts = pool.facts(at(4_000));
    assert_eq!((facts.running_old, facts.running_new), (0, 20));
    // Those that stop are no sources.
    pool.set_policy(at(4_000), policy(Stage::Completed));
    let mut known = listings(4, 4, 64);
    known.retain(|listing| !is_new(&listing.id));
    known.extend(listings(0, 8, 64).into_iter().skip(7));
    pool.set_members(at(4_010), &known);
    let answers = pool.ask(at(4_020), ask(9_000, 0, &prompt(9_000)));
    assert!(source(&answers).is_none_or(|source| is_new(&source)));
}
