//! Notices that an upstream puts into an answer: that it leaves, or wants no requests for a while (a rest). The tests cover which
//! routers get a notice and for how long it applies, while the store is down, zones are partitioned, routers start, and homes are
//! killed.

#![allow(clippy::unwrap_used)]

mod world;

use std::time::Duration;

use stairvale_dispatch::Verdict;
use stairvale_replica::State;
use stairvale_serve::{core::Reply, dialect::Notice};
use stairvale_types::{Rest, id};
use world::World;

/// Time for routers to find each other and to be registered in the store, in ms.
const SETTLE_MS: u64 = 6_000;
/// Time for a notice that one router received to reach all others, in ms.
const SPREAD_MS: u64 = 1_500;
const ROUTERS: usize = 6;
/// The notice of an upstream that takes no new requests.
const LEAVES: Notice = Notice { leaves: true, rest: Rest::NotRequested };

fn chat() -> id::Service {
    "chat".parse().unwrap()
}

/// A fleet of [`ROUTERS`] routers in two zones with three engines, while the store is down.
fn fleet() -> World {
    let mut world = World::new(ROUTERS, 2, 3);
    world.run(SETTLE_MS);
    world.set_store_down(true);
    world.run(200);
    world
}

/// Hands the notice of an engine's answer to router `index`.
fn receive_notice(world: &mut World, index: usize, engine: &str, notice: Notice) {
    let now = world.local_time(index);
    let effects = world.nodes[index].core.handle_notice(now, &chat(), &engine.parse().unwrap(), notice);
    world.perform(index, effects);
}

/// The running routers that may send new requests to engine 0.
fn users_of_engine_0(world: &World) -> Vec<usize> {
    (0..ROUTERS).filter(|router| world.is_alive(*router) && world.is_usable(*router, 0)).collect()
}

#[test]
fn a_leave_notice_stops_requests_at_its_receiver_at_once_and_elsewhere_soon() {
    let mut world = fleet();
    receive_notice(&mut world, 3, "e0", LEAVES);
    assert!(!world.is_usable(3, 0));
    world.run(SPREAD_MS);
    assert_eq!(users_of_engine_0(&world), []);
    // The home grants no permits there, whichever router requests them.
    for number in 0..60 {
        let entry = usize::try_from(number % 6).unwrap();
        assert_ne!(world.serve(entry, number, &[]).unwrap().as_str(), "e0");
    }
}

#[test]
fn the_home_and_its_successor_grant_nothing_at_a_leaving_engine() {
    let mut world = fleet();
    let home = world.index_of(&world.nodes[0].core.home_of(&chat()).unwrap());
    let entry = (home + 1) % ROUTERS;
    receive_notice(&mut world, entry, "e0", LEAVES);
    world.run(SPREAD_MS);
    world.kill(home);
    for number in 0..30 {
        world.run(200);
        if let Some(place) = world.serve(entry, number, &[]) {
            assert_ne!(place.as_str(), "e0", "{number}");
        }
    }
}

#[test]
fn a_partitioned_zone_gets_a_leave_notice_after_the_partition() {
    let mut world = fleet();
    let zone = |router: usize| router % 2;
    let pairs = || (0..ROUTERS).flat_map(|a| (0..a).map(move |b| (a, b))).filter(|(a, b)| zone(*a) != zone(*b));
    pairs().for_each(|(a, b)| world.set_cut(a, b, true));
    world.run(4_000);
    receive_notice(&mut world, 0, "e0", LEAVES);
    world.run(SPREAD_MS);
    assert_eq!(users_of_engine_0(&world), [1, 3, 5], "the partitioned zone has not got the notice");
    pairs().for_each(|(a, b)| world.set_cut(a, b, false));
    world.run(10_000);
    assert_eq!(users_of_engine_0(&world), []);
}

#[test]
fn a_router_started_without_the_store_gets_leave_notices_from_peers() {
    let mut world = fleet();
    world.kill(4);
    world.run(4_000);
    receive_notice(&mut world, 0, "e0", LEAVES);
    world.run(SPREAD_MS);
    world.start(4, 2);
    world.run(5_000);
    assert_eq!(users_of_engine_0(&world), []);
}

#[test]
fn a_leave_notice_outlasts_store_changes_of_the_incarnation() {
    let mut world = fleet();
    receive_notice(&mut world, 0, "e0", LEAVES);
    world.set_store_down(false);
    world.run(3_000);
    assert_eq!(users_of_engine_0(&world), [], "the entry in the store is still that of a ready engine");
    world.put_engine(0, 0, None);
    world.run(3_000);
    world.put_engine(0, 0, Some(State::Ready));
    world.run(3_000);
    assert_eq!(users_of_engine_0(&world), [], "the entry was removed and written again");
}

#[test]
fn a_new_incarnation_of_a_leaving_engine_takes_requests() {
    let mut world = World::new(ROUTERS, 2, 0);
    world.start_engine(0, 0, 1_000);
    world.run(SETTLE_MS);
    receive_notice(&mut world, 0, "e0@1000", LEAVES);
    world.run(SPREAD_MS);
    let usable = |world: &World, incarnation: &str| {
        let incarnation = incarnation.parse().unwrap();
        (0..ROUTERS).filter(|router| world.nodes[*router].core.usable_upstream(&incarnation).is_some()).count()
    };
    assert_eq!(usable(&world, "e0@1000"), 0);
    world.start_engine(0, 0, 2_000);
    world.run(3_000);
    assert_eq!(usable(&world, "e0@2000"), ROUTERS);
    // A late answer of the earlier incarnation doesn't affect the new one.
    receive_notice(&mut world, 2, "e0@1000", LEAVES);
    world.run(SPREAD_MS);
    assert_eq!(usable(&world, "e0@2000"), ROUTERS);
}

#[test]
fn running_requests_continue_at_a_leaving_engine() {
    let mut world = fleet();
    for number in 0..12 {
        world.hold(0, number, &[]).unwrap();
    }
    let running = |world: &World| {
        let home = world.index_of(&world.nodes[0].core.home_of(&chat()).unwrap());
        world.nodes[home].core.running_at_home(&chat())
    };
    assert_eq!(running(&world), 12);
    receive_notice(&mut world, 0, "e0", LEAVES);
    world.run(3_000);
    assert_eq!(running(&world), 12);
}

#[test]
fn requests_are_refused_at_once_when_all_engines_leave() {
    let mut world = fleet();
    for engine in ["e0", "e1", "e2"] {
        receive_notice(&mut world, 0, engine, LEAVES);
    }
    world.run(SPREAD_MS);
    let home = world.request_permit(1, 1, &[]);
    world.run(50);
    let reply = &world.nodes[1].replies[&id::Attempt(1)];
    assert!(matches!(reply, Reply::Decided(Some(Verdict::Refused(_)))), "{home}: {reply:?}");
}

#[test]
fn leave_notices_of_removed_incarnations_are_bounded() {
    let mut world = fleet();
    for engine in 0..10_000 {
        receive_notice(&mut world, 0, &format!("x{engine}"), LEAVES);
        receive_notice(&mut world, 0, "e0", LEAVES);
    }
    assert!(world.nodes[0].core.notice_count() <= 5_000);
    assert!(!world.is_usable(0, 0), "the notice of a registered engine is kept");
}

// ----------------------------------------------------------------------------
// Rests.

fn rests(seconds: f64) -> Notice {
    Notice { leaves: false, rest: Rest::For(Duration::from_secs_f64(seconds)) }
}

/// How much longer router `index` has to send an engine nothing, in ms.
fn remaining_rest_ms(world: &World, index: usize, engine: &str) -> u128 {
    let core = &world.nodes[index].core;
    core.remaining_rest(world.local_time(index), &chat(), &engine.parse().unwrap()).map_or(0, |left| left.as_millis())
}

#[test]
fn a_rest_applies_only_to_the_router_that_received_it() {
    let mut world = fleet();
    receive_notice(&mut world, 2, "e0", rests(3.0));
    world.run(SPREAD_MS);
    assert_eq!(remaining_rest_ms(&world, 2, "e0"), 1_500);
    for other in [0, 1, 3, 4, 5] {
        assert_eq!(remaining_rest_ms(&world, other, "e0"), 0);
    }
    assert_eq!(users_of_engine_0(&world), [0, 1, 2, 3, 4, 5], "a rest is no leave notice");
    world.run(1_600);
    assert_eq!(remaining_rest_ms(&world, 2, "e0"), 0);
}

#[test]
fn a_shorter_rest_does_not_end_a_longer_one() {
    let mut world = fleet();
    receive_notice(&mut world, 2, "e0", rests(5.0));
    receive_notice(&mut world, 2, "e0", rests(1.0));
    assert_eq!(remaining_rest_ms(&world, 2, "e0"), 5_000);
    world.run(2_000);
    receive_notice(&mut world, 2, "e0", rests(4.0));
    assert_eq!(remaining_rest_ms(&world, 2, "e0"), 4_000);
}

#[test]
fn a_rest_continues_while_the_router_is_suspended() {
    let mut world = fleet();
    receive_notice(&mut world, 2, "e0", rests(3.0));
    world.freeze(2, true);
    world.run(2_000);
    world.freeze(2, false);
    assert_eq!(remaining_rest_ms(&world, 2, "e0"), 1_000);
}

#[test]
fn a_rest_does_not_apply_to_a_new_incarnation() {
    let mut world = World::new(ROUTERS, 2, 0);
    world.start_engine(0, 0, 1_000);
    world.run(SETTLE_MS);
    receive_notice(&mut world, 2, "e0@1000", rests(30.0));
    world.start_engine(0, 0, 2_000);
    world.run(1_000);
    assert_eq!(remaining_rest_ms(&world, 2, "e0@2000"), 0);
}

#[test]
fn the_end_of_the_shortest_rest_is_given_if_all_engines_rest() {
    let mut world = fleet();
    let all_rest = |world: &World, zones: Option<&[id::Zone]>| {
        let left = world.nodes[2].core.time_until_usable(world.local_time(2), &chat(), zones);
        left.map(|left| left.as_millis())
    };
    let zone = [world.nodes[2].core.view().upstream(&"e0".parse().unwrap()).unwrap().zone.clone()];
    receive_notice(&mut world, 2, "e0", rests(5.0));
    receive_notice(&mut world, 2, "e2", rests(9.0));
    assert_eq!(all_rest(&world, None), None);
    assert_eq!(all_rest(&world, Some(&zone)), Some(5_000), "all engines of the zone rest");
    receive_notice(&mut world, 2, "e1", rests(7.0));
    assert_eq!(all_rest(&world, None), Some(5_000));
    // A leaving engine won't take requests again, so its rest doesn't count.
    receive_notice(&mut world, 2, "e0", LEAVES);
    assert_eq!(all_rest(&world, None), Some(7_000));
}

#[test]
fn expired_rests_are_removed() {
    let mut world = fleet();
    for engine in 0..10_000 {
        receive_notice(&mut world, 2, &format!("x{engine}"), rests(1.0));
    }
    assert_eq!(world.nodes[2].core.notice_count(), 10_000);
    world.run(2_000);
    assert_eq!(world.nodes[2].core.notice_count(), 0);
}

#[test]
fn a_new_home_inspects_a_resting_engine_only_after_its_rest() {
    let mut world = World::new(ROUTERS, 2, 3);
    world.run(SETTLE_MS);
    let home = world.index_of(&world.nodes[0].core.home_of(&chat()).unwrap());
    for router in 0..ROUTERS {
        receive_notice(&mut world, router, "e0", rests(8.0));
        world.nodes[router].inspected.clear();
    }
    let inspections = |world: &World| {
        let engines = world.nodes.iter().flat_map(|node| &node.inspected);
        engines.filter(|engine| engine.as_str() == "e0").count()
    };
    // A successor already has the contents of the engines' prefix caches, so only a home that has just started needs to inspect
    // engines.
    world.kill(home);
    world.run(2_000);
    world.start(home, 2);
    receive_notice(&mut world, home, "e0", rests(20.0));
    world.run(10_000);
    assert_eq!(inspections(&world), 0);
    world.run(15_000);
    assert!(inspections(&world) <= 1);
}
