//! Zones that are emptied and taken back, and engines that come back cold: in force everywhere in time, whatever else happens.

#![allow(clippy::unwrap_used)]

mod world;

use std::time::Duration;

use stairvale_replica::State;
use stairvale_table::Cold;
use world::World;

/// Time for routers to find each other and to be named, in ms.
const SETTLE: u64 = 6_000;
/// Engines of these worlds; each zone has a third.
const ENGINES: usize = 9;

fn settled() -> World {
    let mut world = World::new(9, 3, ENGINES);
    world.run(SETTLE);
    world
}

/// Whether a router may send something to an engine of a zone.
fn uses(world: &World, router: usize, zone: usize) -> bool {
    (0..ENGINES).filter(|engine| engine % 3 == zone).any(|engine| world.usable(router, engine))
}

/// Engines that a service's home grants to so many requests.
fn places(world: &mut World, router: usize, from: u128, count: u128) -> Vec<Option<String>> {
    (from..from + count)
        .map(|number| {
            let parts = [(u64::try_from(number).unwrap() + 1_000, 200)];
            world.serve(router, number, &parts).map(|engine| engine.to_string())
        })
        .collect()
}

/// The zone of an engine, by its name.
fn zone(engine: &str) -> usize {
    engine[1..].parse::<usize>().unwrap() % 3
}

#[test]
fn an_evacuation_is_in_force_everywhere_and_taken_back() {
    let mut world = settled();
    for round in 0..2 {
        world.evacuate(1, true);
        world.run(100);
        assert!((0..9).all(|router| !uses(&world, router, 1) && uses(&world, router, 0)));
        let places = places(&mut world, 4, 100 * round, 20);
        assert!(places.iter().all(|engine| zone(engine.as_ref().unwrap()) != 1));
        world.evacuate(1, false);
        world.run(100);
        assert!((0..9).all(|router| uses(&world, router, 1)));
    }
}

#[test]
fn an_evacuation_holds_while_the_store_is_away_and_after_its_history_is_lost() {
    let mut world = settled();
    world.evacuate(1, true);
    world.run(100);
    world.set_store_down(true);
    world.run(5_000);
    assert!((0..9).all(|router| !uses(&world, router, 1)));
    world.set_store_down(false);
    world.forget_history();
    world.run(3_000);
    assert!((0..9).all(|router| !uses(&world, router, 1)));
    world.set_store_down(true);
    world.run(1_000);
    world.evacuate(1, false);
    world.evacuate(2, true);
    world.forget_history();
    world.set_store_down(false);
    world.run(3_000);
    assert!((0..9).all(|router| uses(&world, router, 1) && !uses(&world, router, 2)));
}

#[test]
fn a_zone_behind_a_cut_reads_of_an_evacuation_itself() {
    let mut world = settled();
    for (a, b) in (0..9).flat_map(|a| (0..9).map(move |b| (a, b))).filter(|(a, b)| a % 3 != b % 3) {
        world.set_cut(a, b, true);
    }
    world.run(50);
    world.evacuate(1, true);
    let bound = world.bounds.evacuation_ms;
    world.run(bound - 1_000);
    assert!((0..9).all(|router| !uses(&world, router, 1)));
}

#[test]
fn a_router_that_starts_without_the_store_learns_of_an_evacuation_from_peers() {
    let mut world = settled();
    world.evacuate(1, true);
    world.run(100);
    world.set_store_down(true);
    world.kill(4);
    world.run(1_000);
    world.start(4, 3);
    world.run(2_000);
    assert!(!uses(&world, 4, 1) && uses(&world, 4, 0));
}

#[test]
fn a_stale_copy_at_a_start_does_not_bring_back_an_evacuated_zone() {
    let mut world = settled();
    world.evacuate(1, true);
    world.lag = 3;
    world.kill(4);
    world.run(1_000);
    world.start(4, 3);
    world.run(1_000);
    assert!(!uses(&world, 4, 1));
}

#[test]
fn where_all_zones_are_evacuated_requests_are_refused_at_once() {
    let mut world = settled();
    for zone in 0..3 {
        world.evacuate(zone, true);
    }
    world.run(100);
    assert_eq!(places(&mut world, 2, 0, 3), [None, None, None]);
}

#[test]
fn what_waits_is_placed_anew_when_its_zone_is_evacuated() {
    let mut world = World::new(9, 3, 3);
    world.run(SETTLE);
    // All eight slots of each engine are taken.
    let parts = |number: u128| [(u64::try_from(number).unwrap() + 1_000, 200)];
    let held = (0..24).filter(|number| world.hold(2, *number, &parts(*number)).is_some()).count();
    assert_eq!(held, 24);
    world.ask(2, 100, &parts(100));
    world.run(10);
    assert_eq!(world.granted(2, 100), None);
    world.evacuate(0, true);
    world.run(30);
    let freed = (0..24).filter(|number| world.granted(2, *number).is_some_and(|e| zone(&e.to_string()) == 0));
    let freed: Vec<_> = freed.collect();
    for number in freed {
        world.end(2, number);
    }
    world.run(20);
    assert_eq!(world.granted(2, 100), None, "an engine of the zone that is emptied took it");
    let other = (0..24).find(|number| world.granted(2, *number).is_some_and(|e| zone(&e.to_string()) == 1)).unwrap();
    world.end(2, other);
    world.run(20);
    assert_eq!(world.granted(2, 100).map(|engine| engine.to_string()), Some("e1".to_owned()));
}

/// A fleet before three engines, which bear few requests while they are cold.
fn with_cold_engines() -> World {
    let mut world = World::new(9, 3, 3);
    world.cold = Some(Cold { time: Duration::from_secs(3), pace: 10.0 });
    world.bounds.cold_excess = 1.5;
    world.bounds.cold_slack = 5.0;
    for index in 0..9 {
        world.kill(index);
    }
    world.configure();
    world.slots = 64;
    for engine in 0..3 {
        world.put_engine(engine, engine, Some(State::Ready));
    }
    for index in 0..9 {
        world.start(index, 3);
    }
    world.run(SETTLE);
    world
}

/// How many of a burst of requests the engine e0 is given.
fn given(world: &mut World, from: u128) -> usize {
    let places = world.burst(2, from, 60);
    places.into_iter().filter(|engine| engine.to_string() == "e0").count()
}

#[test]
fn a_home_that_has_just_started_gives_cold_engines_nothing() {
    let mut world = with_cold_engines();
    world.put_cold_engine(0, 0, Duration::from_secs(60));
    world.run(1_400);
    assert!(given(&mut world, 0) > 0);
    let home = world.nodes[2].core.home_of(&"chat".parse().unwrap()).unwrap();
    let home = world.index(&home);
    world.kill(home);
    world.start(home, 3);
    world.run(500);
    // It doesn't know what it gave before.
    assert_eq!(given(&mut world, 1_000), 0);
    world.run(3_000);
    assert!(given(&mut world, 2_000) > 0);
}

#[test]
fn a_zone_that_is_taken_back_gets_little_at_first_and_so_do_engines_that_say_they_are_cold() {
    let mut world = with_cold_engines();
    world.evacuate(0, true);
    world.run(3_000);
    world.evacuate(0, false);
    world.run(100);
    // 20 a second are allowed, and the home keeps to two fifths of that in 1.25 s.
    let first = given(&mut world, 0);
    assert!((1..=8).contains(&first), "{first}");
    world.run(3_500);
    let warm = given(&mut world, 1_000);
    assert!(warm > 8, "{warm}");
    world.put_cold_engine(0, 0, Duration::from_secs(3));
    world.run(1_400);
    let cold = given(&mut world, 2_000);
    assert!((1..=8).contains(&cold), "{cold}");
}
