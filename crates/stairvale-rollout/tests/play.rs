//! Complete roll-outs with a store that answers: healthy versions are accepted in time and failing ones are rejected
//! early, also when homes die.

#![allow(clippy::unwrap_used, clippy::print_stdout)]

mod world;

use std::time::Duration;

use stairvale_rollout::{Answer, Cause, Stage};
use world::{Route, Service, TestRng, healthy, order};

/// Time since the order at which a version that fails late begins to fail.
const LATE_ONSET: Duration = Duration::from_secs(6);
/// Number of roll-outs of each kind.
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

fn often_failing(rng: &mut TestRng, _: &Route, _: Duration, _: bool) -> Answer {
    if rng.chance(0.5) { Answer::Failed } else { Answer::Good }
}

fn rarely_failing(rng: &mut TestRng, route: &Route, _: Duration, _: bool) -> Answer {
    if rng.chance(0.1 + route.failing) { Answer::Failed } else { Answer::Good }
}

fn slow(rng: &mut TestRng, _: &Route, _: Duration, _: bool) -> Answer {
    if rng.chance(0.5) { Answer::Slow } else { Answer::Good }
}

fn late(rng: &mut TestRng, route: &Route, elapsed: Duration, is_loaded: bool) -> Answer {
    if elapsed < LATE_ONSET {
        healthy(rng, route, elapsed, is_loaded)
    } else {
        often_failing(rng, route, elapsed, is_loaded)
    }
}

fn on_one_route(rng: &mut TestRng, route: &Route, elapsed: Duration, is_loaded: bool) -> Answer {
    if matches!(route.name, "digest" | "read") {
        often_failing(rng, route, elapsed, is_loaded)
    } else {
        healthy(rng, route, elapsed, is_loaded)
    }
}

#[test]
fn a_healthy_version_of_many_engines_is_accepted_in_time() {
    for seed in 0..SEEDS {
        let mut service = Service::new(60, 60, engines(), healthy, seed);
        service.order(Some(order("v2", 12.0)));
        let end = service.run_to_end(30.0);
        assert_eq!(service.stage(), Some(Stage::Completed), "seed {seed}");
        assert!(end.unwrap() < Duration::from_secs(12), "seed {seed}: {end:?}");
        assert!(service.max_over_bound <= 0.0);
    }
}

#[test]
fn a_healthy_version_of_a_few_plain_upstreams_is_accepted_in_time() {
    for seed in 0..SEEDS {
        let mut service = Service::new(3, 3, ledger(), healthy, seed);
        service.order(Some(order("v2", 12.0)));
        let end = service.run_to_end(30.0);
        assert_eq!(service.stage(), Some(Stage::Completed), "seed {seed}");
        assert!(end.unwrap() < Duration::from_secs(12), "seed {seed}: {end:?}");
        assert!(service.max_over_bound <= 0.0);
    }
}

/// A version whose every second answer is bad is rejected, whatever else it is like. One that fails a tenth of its
/// requests is rejected as far as the exposure bound shows enough of it.
#[test]
fn failing_versions_are_rejected_early() {
    let kinds: [(&str, world::Behaviour); 5] = [
        ("half failing", often_failing),
        ("slow", slow),
        ("late", late),
        ("one route", on_one_route),
        ("a tenth failing", rarely_failing),
    ];
    for (name, behaviour) in kinds {
        for (old, routes) in [(60, engines()), (3, ledger())] {
            let (mut max_bad, mut over_25, mut missed) = (0, 0, Vec::new());
            for seed in 0..SEEDS {
                let mut service = Service::new(old, old, routes.clone(), behaviour, seed);
                service.order(Some(order("v2", 12.0)));
                if name == "late" {
                    // Bad answers before that time are the usual ones of the route.
                    service.run(LATE_ONSET.as_secs_f64());
                    service.new_bad = 0;
                }
                let end = service.run_to_end(30.0);
                match service.stage() {
                    Some(Stage::RolledBack(Cause::Failing | Cause::Slow)) => {
                        let bad = service.bad_at_verdict.unwrap();
                        max_bad = max_bad.max(bad);
                        over_25 += u32::from(bad > 25);
                    }
                    other => missed.push((seed, other, end)),
                }
                assert!(service.max_over_bound <= 0.0);
            }
            let count = missed.len();
            println!(
                "{name}, {old} upstreams: at most {max_bad} bad answers, {over_25} over 25, missed {count} of {SEEDS}"
            );
            // A version that begins to fail late has used half of its exposure bound by then, and a fifth of the
            // requests of the three upstreams are on the one route that fails. The bound gives three upstreams about
            // 140 answers of the new version in 12 s. On a route that normally fails one time in seven, a further tenth
            // isn't distinguishable from chance, and of the other route they include 25. Sixty engines give 250
            // answers, of which the bad tenth is below 15 in one roll-out of twenty.
            let may_miss = match (name, old) {
                ("a tenth failing", 3) => SEEDS,
                ("a tenth failing", _) => SEEDS / 10,
                ("late" | "one route", 3) => SEEDS / 50,
                _ => 0,
            };
            assert!(count as u64 <= may_miss && max_bad <= 50, "{name} of {old}: {max_bad}, missed {missed:?}");
        }
    }
}

/// Runs a roll-out whose home is killed at intervals of `every` seconds.
fn with_kills(old: usize, routes: &[Route], behaviour: world::Behaviour, every: f64, seed: u64) -> Service {
    let mut service = Service::new(old, old, routes.to_vec(), behaviour, seed);
    service.order(Some(order("v2", 12.0)));
    while service.elapsed() < Duration::from_secs(30) && !service.stage().is_some_and(Stage::is_over) {
        service.run_to_end(every);
        if !service.stage().is_some_and(Stage::is_over) {
            service.kill();
        }
    }
    assert!(service.max_over_bound <= 0.0, "seed {seed}");
    service
}

/// A home that lives for one second observes too little to judge most versions; one that lives for two seconds ends the
/// roll-out.
#[test]
fn roll_outs_keep_the_bound_and_end_when_homes_die() {
    for (old, routes) in [(60, engines()), (3, ledger())] {
        for every in [1.1, 2.3, 3.7] {
            let (mut completed, mut late, mut accepted, mut max_bad) = (0, 0, 0, 0);
            for seed in 0..SEEDS {
                let service = with_kills(old, &routes, healthy, every, seed);
                completed += u64::from(service.stage() == Some(Stage::Completed));
                late += u32::from(service.elapsed() > Duration::from_secs(12));
                assert!(service.stage().is_some_and(Stage::is_over), "seed {seed}, every {every} s");

                let service = with_kills(old, &routes, often_failing, every, seed);
                accepted += u32::from(!matches!(service.stage(), Some(Stage::RolledBack(_))));
                max_bad = max_bad.max(service.new_bad);
            }
            println!(
                "{old} upstreams, a kill every {every} s: {completed} of {SEEDS} healthy ones completed, {late} late;"
            );
            println!("    {accepted} of as many failing ones completed, {max_bad} bad answers at most");
            // Counts in the record don't show which upstreams gave the bad answers, so a home must itself find two
            // failing ones.
            let may_accept = if old == 3 { SEEDS / 50 } else { 0 };
            assert!(every < 2.0 || completed == SEEDS && u64::from(accepted) <= may_accept);
        }
    }
}
