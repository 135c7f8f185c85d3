//! Whole roll-outs, with a home that lives and a store that answers: good versions are taken in time, bad ones found early.

#![allow(clippy::unwrap_used, clippy::print_stdout)]

mod world;

use std::time::Duration;

use stairvale_rollout::{Answer, Cause, Stage};
use world::{Dice, Route, Service, good, order};

/// When a version turns bad that does so late, since the order.
const LATE: Duration = Duration::from_secs(6);
/// Plays of each kind.
const SEEDS: u64 = 100;

fn engines() -> Vec<Route> {
    vec![
        Route { name: "digest", rate: 65.6, failing: 0.005, is_repeatable: true },
        Route { name: "draft", rate: 145.0, failing: 0.005, is_repeatable: true },
        Route { name: "note", rate: 67.9, failing: 0.005, is_repeatable: true },
    ]
}

fn ledger() -> Vec<Route> {
    vec![
        Route { name: "post", rate: 94.1, failing: 0.14, is_repeatable: false },
        Route { name: "read", rate: 21.7, failing: 0.005, is_repeatable: true },
    ]
}

fn often_failing(dice: &mut Dice, _: &Route, _: Duration, _: bool) -> Answer {
    if dice.hits(0.5) { Answer::Failed } else { Answer::Good }
}

fn seldom_failing(dice: &mut Dice, route: &Route, _: Duration, _: bool) -> Answer {
    if dice.hits(0.1 + route.failing) { Answer::Failed } else { Answer::Good }
}

fn slow(dice: &mut Dice, _: &Route, _: Duration, _: bool) -> Answer {
    if dice.hits(0.5) { Answer::Slow } else { Answer::Good }
}

fn late(dice: &mut Dice, route: &Route, elapsed: Duration, is_loaded: bool) -> Answer {
    if elapsed < LATE { good(dice, route, elapsed, is_loaded) } else { often_failing(dice, route, elapsed, is_loaded) }
}

fn on_one_route(dice: &mut Dice, route: &Route, elapsed: Duration, is_loaded: bool) -> Answer {
    if matches!(route.name, "digest" | "read") {
        often_failing(dice, route, elapsed, is_loaded)
    } else {
        good(dice, route, elapsed, is_loaded)
    }
}

#[test]
fn a_good_version_of_many_engines_is_taken_in_time() {
    for seed in 0..SEEDS {
        let mut service = Service::new(60, 60, engines(), good, seed);
        service.order(Some(order("v2", 12.0)));
        let end = service.run_to_end(30.0);
        assert_eq!(service.stage(), Some(Stage::Completed), "seed {seed}");
        assert!(end.unwrap() < Duration::from_secs(12), "seed {seed}: {end:?}");
        assert!(service.over_bound <= 0.0);
    }
}

#[test]
fn a_good_version_of_a_few_plain_upstreams_is_taken_in_time() {
    for seed in 0..SEEDS {
        let mut service = Service::new(3, 3, ledger(), good, seed);
        service.order(Some(order("v2", 12.0)));
        let end = service.run_to_end(30.0);
        assert_eq!(service.stage(), Some(Stage::Completed), "seed {seed}");
        assert!(end.unwrap() < Duration::from_secs(12), "seed {seed}: {end:?}");
        assert!(service.over_bound <= 0.0);
    }
}

/// What is bad in every second answer is found whatever else it is like; what fails a tenth of the time is found as far as
/// the bound lets it be seen.
#[test]
fn bad_versions_are_found_early() {
    let kinds: [(&str, world::Behaviour); 5] = [
        ("half failing", often_failing),
        ("slow", slow),
        ("late", late),
        ("one route", on_one_route),
        ("a tenth failing", seldom_failing),
    ];
    for (name, behaviour) in kinds {
        for (old, routes) in [(60, engines()), (3, ledger())] {
            let (mut most, mut over, mut missed) = (0, 0, Vec::new());
            for seed in 0..SEEDS {
                let mut service = Service::new(old, old, routes.clone(), behaviour, seed);
                service.order(Some(order("v2", 12.0)));
                if name == "late" {
                    // Until then its bad answers are those that a route has by itself.
                    service.run(LATE.as_secs_f64());
                    service.bad = 0;
                }
                let end = service.run_to_end(30.0);
                match service.stage() {
                    Some(Stage::RolledBack(Cause::Failing | Cause::Slow)) => {
                        let bad = service.bad_at_verdict.unwrap();
                        most = most.max(bad);
                        over += u32::from(bad > 25);
                    }
                    other => missed.push((seed, other, end)),
                }
                assert!(service.over_bound <= 0.0);
            }
            let count = missed.len();
            println!("{name}, {old} upstreams: at most {most} bad answers, {over} over 25, missed {count} of {SEEDS}");
            // A version that turns bad late has had half of what it may get by then, and a fifth of the three upstreams' requests
            // are of the route that it may be bad on. The bound gives three upstreams some 140 answers of the new version in 12 s: on a route that fails one time in
            // seven by itself a tenth more isn't told from chance, and of the other one they hold 25. Sixty engines give 250,
            // among which a tenth is below 15 in one play of twenty.
            let may_miss = match (name, old) {
                ("a tenth failing", 3) => SEEDS,
                ("a tenth failing", _) => SEEDS / 10,
                ("late" | "one route", 3) => SEEDS / 50,
                _ => 0,
            };
            assert!(count as u64 <= may_miss && most <= 50, "{name} of {old}: {most}, missed {missed:?}");
        }
    }
}

/// Runs a roll-out whose home is killed every so many seconds.
fn with_kills(old: usize, routes: &[Route], behaviour: world::Behaviour, every: f64, seed: u64) -> Service {
    let mut service = Service::new(old, old, routes.to_vec(), behaviour, seed);
    service.order(Some(order("v2", 12.0)));
    while service.elapsed() < Duration::from_secs(30) && !service.stage().is_some_and(Stage::is_over) {
        service.run_to_end(every);
        if !service.stage().is_some_and(Stage::is_over) {
            service.kill();
        }
    }
    assert!(service.over_bound <= 0.0, "seed {seed}");
    service
}

/// A home that lives for a second sees too little to judge most versions; one that lives for two gets there.
#[test]
fn homes_that_die_neither_lose_the_bound_nor_the_end() {
    for (old, routes) in [(60, engines()), (3, ledger())] {
        for every in [1.1, 2.3, 3.7] {
            let (mut completed, mut late, mut taken, mut most) = (0, 0, 0, 0);
            for seed in 0..SEEDS {
                let service = with_kills(old, &routes, good, every, seed);
                completed += u64::from(service.stage() == Some(Stage::Completed));
                late += u32::from(service.elapsed() > Duration::from_secs(12));
                assert!(service.stage().is_some_and(Stage::is_over), "seed {seed}, every {every} s");

                let service = with_kills(old, &routes, often_failing, every, seed);
                taken += u32::from(!matches!(service.stage(), Some(Stage::RolledBack(_))));
                most = most.max(service.bad);
            }
            println!(
                "{old} upstreams, a kill every {every} s: {completed} of {SEEDS} good ones completed, {late} late;"
            );
            println!("    {taken} of as many bad ones completed, {most} bad answers at most");
            // Counts don't say at which upstreams earlier homes saw what they saw, so a home must find two that are bad.
            let may_take = if old == 3 { SEEDS / 50 } else { 0 };
            assert!(every < 2.0 || completed == SEEDS && u64::from(taken) <= may_take);
        }
    }
}
