//! Whole roll-outs, with a home that lives and a store that answers: good versions are taken in time, bad ones found early.

#![allow(clippy::unwrap_used, clippy::print_stdout)]

mod world;

use std::time::Duration;

use stairvale_rollout::{Answer, Cause, Stage};
use world::{Dice, Route, Service, good, order};

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
    if elapsed < Duration::from_secs(6) {
        good(dice, route, elapsed, is_loaded)
    } else {
        often_failing(dice, route, elapsed, is_loaded)
    }
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
    for seed in 0..20 {
        let mut service = Service::new(60, 60, engines(), good, seed);
        service.order(Some(order("v2", 12.0)));
        let end = service.run_to_end(30.0);
        println!("seed {seed}: {:?} after {end:?}, {} of {} given", service.stage(), service.given, service.requests);
        assert_eq!(service.stage(), Some(Stage::Completed), "seed {seed}");
        assert!(end.unwrap() < Duration::from_secs(12), "seed {seed}: {end:?}");
        assert!(service.over_bound <= 0.0);
    }
}

#[test]
fn a_good_version_of_a_few_plain_upstreams_is_taken_in_time() {
    for seed in 0..20 {
        let mut service = Service::new(3, 3, ledger(), good, seed);
        service.order(Some(order("v2", 12.0)));
        let end = service.run_to_end(30.0);
        println!("seed {seed}: {:?} after {end:?}, {} of {} given", service.stage(), service.given, service.requests);
        assert_eq!(service.stage(), Some(Stage::Completed), "seed {seed}");
        assert!(end.unwrap() < Duration::from_secs(12), "seed {seed}: {end:?}");
        assert!(service.over_bound <= 0.0);
    }
}

#[test]
fn bad_versions_are_found_early() {
    let kinds: [(&str, world::Behaviour); 5] = [
        ("half failing", often_failing),
        ("a tenth failing", seldom_failing),
        ("slow", slow),
        ("late", late),
        ("one route", on_one_route),
    ];
    for (name, behaviour) in kinds {
        for (old, routes) in [(60, engines())] {
            let mut most = 0;
            let mut missed = Vec::new();
            for seed in 0..20 {
                let mut service = Service::new(old, old, routes.clone(), behaviour, seed);
                service.order(Some(order("v2", 12.0)));
                let end = service.run_to_end(30.0);
                match service.stage() {
                    Some(Stage::RolledBack(Cause::Failing | Cause::Slow)) => {}
                    other => missed.push((seed, other, end)),
                }
                most = most.max(service.bad);
                assert!(service.over_bound <= 0.0);
            }
            println!("{name}, {old} upstreams: at most {most} bad answers, missed {missed:?}");
            if (name, old) == ("a tenth failing", 3) {
                // The bound gives this service some 140 answers of the new version. On the route that fails one time in
                // seven by itself a tenth more isn't told from chance by so few, and of the other one they hold 25.
                assert!(most <= 50, "{name} of {old}: {most}");
                continue;
            }
            assert!(missed.is_empty() && most <= 50, "{name} of {old}: {most}, missed {missed:?}");
        }
    }
}
