//! Zones that are evacuated and taken back into use, and engines that come back cold: changes take effect at all routers in time,
//! also under faults.

#![allow(clippy::unwrap_used)]

mod world;

use std::time::Duration;

use stairvale_replica::State;
use stairvale_table::Cold;
use world::World;

/// Time for routers to find each other and to be registered in the store, in ms.
const SETTLE_MS: u64 = 6_000;
/// The number of engines; each of the three zones has a third of them.
const ENGINES: usize = 9;

fn settled() -> World {
    let mut world = World::new(9, 3, ENGINES);
    world.run(SETTLE_MS);
    world
}

/// Whether a router may send new requests to any engine of a zone.
fn uses(world: &World, router: usize, zone: usize) -> bool {
    (0..ENGINES).filter(|engine| engine % 3 == zone).any(|engine| world.is_usable(router, engine))
}

/// The engines that `count` requests are granted, sent one after the other; `None` for a refused one.
fn places(world: &mut World, router: usize, from: u128, count: u128) -> Vec<Option<String>> {
    (from..from + count)
        .map(|number| {
            let parts = [(u64::try_from(number).unwrap() + 1_000, 200)];
            world.serve(router, number, &parts).map(|engine| engine.to_string())
        })
        .collect()
}

/// The zone of the engine with this name.
fn zone(engine: &str) -> usize {
    engine[1..].parse::<usize>().unwrap() % 3
}

#[test]
fn an_evacuation_takes_effect_at_all_routers_and_is_reverted() {
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
fn an_evacuation_survives_a_store_outage_and_a_compaction() {
    let mut world = settled();
    world.evacuate(1, true);
    world.run(100);
    world.set_store_down(true);
    world.run(5_000);
    assert!((0..9).all(|router| !uses(&world, router, 1)));
    world.set_store_down(false);
    world.compact_store();
    world.run(3_000);
    assert!((0..9).all(|router| !uses(&world, router, 1)));
    world.set_store_down(true);
    world.run(1_000);
    world.evacuate(1, false);
    world.evacuate(2, true);
    world.compact_store();
    world.set_store_down(false);
    world.run(3_000);
    assert!((0..9).all(|router| uses(&world, router, 1) && !uses(&world, router, 2)));
}

#[test]
fn a_partitioned_zone_reads_an_evacuation_itself() {
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
fn a_router_started_without_the_store_gets_an_evacuation_from_peers() {
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
fn a_stale_read_at_start_does_not_undo_an_evacuation() {
    let mut world = settled();
    world.evacuate(1, true);
    world.stale_read_lag = 3;
    world.kill(4);
    world.run(1_000);
    world.start(4, 3);
    world.run(1_000);
    assert!(!uses(&world, 4, 1));
}

#[test]
fn requests_are_refused_at_once_when_all_zones_are_evacuated() {
    let mut world = settled();
    for zone in 0..3 {
        world.evacuate(zone, true);
    }
    world.run(100);
    assert_eq!(places(&mut world, 2, 0, 3), [None, None, None]);
}

#[test]
fn a_waiting_request_is_placed_in_another_zone_after_an_evacuation() {
    let mut world = World::new(9, 3, 3);
    world.run(SETTLE_MS);
    // All eight slots of each engine are taken.
    let parts = |number: u128| [(u64::try_from(number).unwrap() + 1_000, 200)];
    let held = (0..24).filter(|number| world.hold(2, *number, &parts(*number)).is_some()).count();
    assert_eq!(held, 24);
    world.request_permit(2, 100, &parts(100));
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
    assert_eq!(world.granted(2, 100), None, "an engine of the evacuated zone got the request");
    let other = (0..24).find(|number| world.granted(2, *number).is_some_and(|e| zone(&e.to_string()) == 1)).unwrap();
    world.end(2, other);
    world.run(20);
    assert_eq!(world.granted(2, 100).map(|engine| engine.to_string()), Some("e1".to_owned()));
}

/// A fleet with three engines, which may be sent few requests while they are cold.
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
    world.run(SETTLE_MS);
    world
}

/// How many of a burst of 60 requests are granted at engine e0.
fn granted_at_e0(world: &mut World, from: u128) -> usize {
    let places = world.burst(2, from, 60);
    places.into_iter().filter(|engine| engine.to_string() == "e0").count()
}

#[test]
fn a_home_that_has_just_started_grants_nothing_at_cold_engines() {
    let mut world = with_cold_engines();
    world.put_cold_engine(0, 0, Duration::from_secs(60));
    world.run(1_400);
    assert!(granted_at_e0(&mut world, 0) > 0);
    let home = world.nodes[2].core.home_of(&"chat".parse().unwrap()).unwrap();
    let home = world.index_of(&home);
    world.kill(home);
    world.start(home, 3);
    world.run(500);
    // The restarted home has no record of its earlier grants, so it assumes that they used up the allowance.
    assert_eq!(granted_at_e0(&mut world, 1_000), 0);
    world.run(3_000);
    assert!(granted_at_e0(&mut world, 2_000) > 0);
}

#[test]
fn a_reopened_zone_and_cold_engines_get_few_requests_at_first() {
    let mut world = with_cold_engines();
    world.evacuate(0, true);
    world.run(3_000);
    world.evacuate(0, false);
    world.run(100);
    // 20 requests a second are allowed, and the home grants at most two fifths of that in 1.25 s.
    let first = granted_at_e0(&mut world, 0);
    assert!((1..=8).contains(&first), "{first}");
    world.run(3_500);
    let warm = granted_at_e0(&mut world, 1_000);
    assert!(warm > 8, "{warm}");
    world.put_cold_engine(0, 0, Duration::from_secs(3));
    world.run(1_400);
    let cold = granted_at_e0(&mut world, 2_000);
    assert!((1..=8).contains(&cold), "{cold}");
}
