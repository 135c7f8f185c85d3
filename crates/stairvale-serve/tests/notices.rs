//! Upstreams that say of themselves in an answer that they leave, or want rest: who is told, by which way, and for how long that
//! holds, while the store is away, zones are cut off, routers start, and homes die.

#![allow(clippy::unwrap_used)]

mod world;

use std::time::Duration;

use stairvale_dispatch::Verdict;
use stairvale_replica::State;
use stairvale_serve::{core::Reply, dialect::Notice};
use stairvale_types::{Rest, id};
use world::World;

/// Time for routers to find each other and to be named, in ms.
const SETTLE: u64 = 6_000;
/// Time for what one router heard to reach all others, in ms.
const SPREAD: u64 = 1_500;
const ROUTERS: usize = 6;
const LEAVES: Notice = Notice { leaves: true, rest: Rest::Unasked };

fn chat() -> id::Service {
    "chat".parse().unwrap()
}

/// Routers in two zones before three engines, with the store away.
fn fleet() -> World {
    let mut world = World::new(ROUTERS, 2, 3);
    world.run(SETTLE);
    world.set_store_down(true);
    world.run(200);
    world
}

/// Router `index` passes on an answer of an engine that says this.
fn answers(world: &mut World, index: usize, engine: &str, notice: Notice) {
    let now = world.local(index);
    let effects = world.nodes[index].core.hear(now, &chat(), &engine.parse().unwrap(), notice);
    world.perform(index, effects);
}

/// The routers that may send new work to engine 0.
fn users(world: &World) -> Vec<usize> {
    (0..ROUTERS).filter(|router| world.is_alive(*router) && world.usable(*router, 0)).collect()
}

#[test]
fn who_heard_it_sends_nothing_more_from_that_moment_on_and_all_others_soon() {
    let mut world = fleet();
    answers(&mut world, 3, "e0", LEAVES);
    assert!(!world.usable(3, 0));
    world.run(SPREAD);
    assert_eq!(users(&world), []);
    // Homes grant no place there, whoever asks.
    for number in 0..60 {
        let entry = usize::try_from(number % 6).unwrap();
        assert_ne!(world.serve(entry, number, &[]).unwrap().as_str(), "e0");
    }
}

#[test]
fn a_home_that_did_not_hear_it_grants_nothing_there_after_that_and_nor_does_its_heir() {
    let mut world = fleet();
    let home = world.index(&world.nodes[0].core.home_of(&chat()).unwrap());
    let entry = (home + 1) % ROUTERS;
    answers(&mut world, entry, "e0", LEAVES);
    world.run(SPREAD);
    world.kill(home);
    for number in 0..30 {
        world.run(200);
        if let Some(place) = world.serve(entry, number, &[]) {
            assert_ne!(place.as_str(), "e0", "{number}");
        }
    }
}

#[test]
fn a_zone_that_was_cut_off_hears_it_once_the_cut_is_over() {
    let mut world = fleet();
    let zone = |router: usize| router % 2;
    let pairs = || (0..ROUTERS).flat_map(|a| (0..a).map(move |b| (a, b))).filter(|(a, b)| zone(*a) != zone(*b));
    pairs().for_each(|(a, b)| world.set_cut(a, b, true));
    world.run(4_000);
    answers(&mut world, 0, "e0", LEAVES);
    world.run(SPREAD);
    assert_eq!(users(&world), [1, 3, 5], "the zone behind the cut");
    pairs().for_each(|(a, b)| world.set_cut(a, b, false));
    world.run(10_000);
    assert_eq!(users(&world), []);
}

#[test]
fn a_router_that_starts_while_the_store_is_away_hears_it_from_its_peers() {
    let mut world = fleet();
    world.kill(4);
    world.run(4_000);
    answers(&mut world, 0, "e0", LEAVES);
    world.run(SPREAD);
    world.start(4, 2);
    world.run(5_000);
    assert_eq!(users(&world), []);
}

#[test]
fn it_holds_whatever_the_store_says_of_that_life_later() {
    let mut world = fleet();
    answers(&mut world, 0, "e0", LEAVES);
    world.set_store_down(false);
    world.run(3_000);
    assert_eq!(users(&world), [], "its entry says that it takes work");
    world.put_engine(0, 0, None);
    world.run(3_000);
    world.put_engine(0, 0, Some(State::Ready));
    world.run(3_000);
    assert_eq!(users(&world), [], "its entry went and came back");
}

#[test]
fn another_life_of_the_same_name_takes_work() {
    let mut world = World::new(ROUTERS, 2, 0);
    world.begin_engine(0, 0, 1_000);
    world.run(SETTLE);
    answers(&mut world, 0, "e0@1000", LEAVES);
    world.run(SPREAD);
    let usable = |world: &World, life: &str| {
        let life = life.parse().unwrap();
        (0..ROUTERS).filter(|router| world.nodes[*router].core.place(&life).is_some()).count()
    };
    assert_eq!(usable(&world, "e0@1000"), 0);
    world.begin_engine(0, 0, 2_000);
    world.run(3_000);
    assert_eq!(usable(&world, "e0@2000"), ROUTERS);
    // An answer of the earlier life that comes late says nothing of this one.
    answers(&mut world, 2, "e0@1000", LEAVES);
    world.run(SPREAD);
    assert_eq!(usable(&world, "e0@2000"), ROUTERS);
}

#[test]
fn what_runs_there_goes_on() {
    let mut world = fleet();
    for number in 0..12 {
        world.hold(0, number, &[]).unwrap();
    }
    let running = |world: &World| {
        let home = world.index(&world.nodes[0].core.home_of(&chat()).unwrap());
        world.nodes[home].core.running_at_home(&chat())
    };
    assert_eq!(running(&world), 12);
    answers(&mut world, 0, "e0", LEAVES);
    world.run(3_000);
    assert_eq!(running(&world), 12);
}

#[test]
fn when_all_say_so_requests_are_refused_at_once() {
    let mut world = fleet();
    for engine in ["e0", "e1", "e2"] {
        answers(&mut world, 0, engine, LEAVES);
    }
    world.run(SPREAD);
    let home = world.ask(1, 1, &[]);
    world.run(50);
    let reply = &world.nodes[1].replies[&id::Attempt(1)];
    assert!(matches!(reply, Reply::Decided(Some(Verdict::Refused(_)))), "{home}: {reply:?}");
}

#[test]
fn lives_that_are_gone_are_not_remembered_without_end() {
    let mut world = fleet();
    for life in 0..10_000 {
        answers(&mut world, 0, &format!("x{life}"), LEAVES);
        answers(&mut world, 0, "e0", LEAVES);
    }
    assert!(world.nodes[0].core.remembered_notices() <= 5_000);
    assert!(!world.usable(0, 0), "one that is there is kept");
}

// ----------------------------------------------------------------------------
// Rest.

fn rests(seconds: f64) -> Notice {
    Notice { leaves: false, rest: Rest::For(Duration::from_secs_f64(seconds)) }
}

/// How much longer an engine rests for router `index`, in ms.
fn left(world: &World, index: usize, engine: &str) -> u128 {
    let core = &world.nodes[index].core;
    core.rest(world.local(index), &chat(), &engine.parse().unwrap()).map_or(0, |left| left.as_millis())
}

#[test]
fn a_rest_concerns_the_router_that_was_told_and_nobody_else() {
    let mut world = fleet();
    answers(&mut world, 2, "e0", rests(3.0));
    world.run(SPREAD);
    assert_eq!(left(&world, 2, "e0"), 1_500);
    for other in [0, 1, 3, 4, 5] {
        assert_eq!(left(&world, other, "e0"), 0);
    }
    assert_eq!(users(&world), [0, 1, 2, 3, 4, 5], "it doesn't leave");
    world.run(1_600);
    assert_eq!(left(&world, 2, "e0"), 0);
}

#[test]
fn a_shorter_rest_does_not_end_a_longer_one() {
    let mut world = fleet();
    answers(&mut world, 2, "e0", rests(5.0));
    answers(&mut world, 2, "e0", rests(1.0));
    assert_eq!(left(&world, 2, "e0"), 5_000);
    world.run(2_000);
    answers(&mut world, 2, "e0", rests(4.0));
    assert_eq!(left(&world, 2, "e0"), 4_000);
}

#[test]
fn a_router_that_stood_still_counts_that_time() {
    let mut world = fleet();
    answers(&mut world, 2, "e0", rests(3.0));
    world.freeze(2, true);
    world.run(2_000);
    world.freeze(2, false);
    assert_eq!(left(&world, 2, "e0"), 1_000);
}

#[test]
fn another_life_does_not_rest_for_what_the_earlier_one_said() {
    let mut world = World::new(ROUTERS, 2, 0);
    world.begin_engine(0, 0, 1_000);
    world.run(SETTLE);
    answers(&mut world, 2, "e0@1000", rests(30.0));
    world.begin_engine(0, 0, 2_000);
    world.run(1_000);
    assert_eq!(left(&world, 2, "e0@2000"), 0);
}

#[test]
fn it_is_known_when_the_first_takes_work_again_if_all_rest() {
    let mut world = fleet();
    let all_rest = |world: &World, zones: Option<&[id::Zone]>| {
        let left = world.nodes[2].core.all_rest(world.local(2), &chat(), zones);
        left.map(|left| left.as_millis())
    };
    let zone = [world.nodes[2].core.view().upstream(&"e0".parse().unwrap()).unwrap().zone.clone()];
    answers(&mut world, 2, "e0", rests(5.0));
    answers(&mut world, 2, "e2", rests(9.0));
    assert_eq!(all_rest(&world, None), None);
    assert_eq!(all_rest(&world, Some(&zone)), Some(5_000), "one zone's");
    answers(&mut world, 2, "e1", rests(7.0));
    assert_eq!(all_rest(&world, None), Some(5_000));
    // One that leaves doesn't take work again.
    answers(&mut world, 2, "e0", LEAVES);
    assert_eq!(all_rest(&world, None), Some(7_000));
}

#[test]
fn rests_that_are_over_are_forgotten() {
    let mut world = fleet();
    for engine in 0..10_000 {
        answers(&mut world, 2, &format!("x{engine}"), rests(1.0));
    }
    assert_eq!(world.nodes[2].core.remembered_notices(), 10_000);
    world.run(2_000);
    assert_eq!(world.nodes[2].core.remembered_notices(), 0);
}

#[test]
fn a_home_that_takes_over_asks_an_engine_that_rests_for_it_only_after_that() {
    let mut world = World::new(ROUTERS, 2, 3);
    world.run(SETTLE);
    let home = world.index(&world.nodes[0].core.home_of(&chat()).unwrap());
    for router in 0..ROUTERS {
        answers(&mut world, router, "e0", rests(8.0));
        world.nodes[router].inspected.clear();
    }
    let asked = |world: &World| {
        let engines = world.nodes.iter().flat_map(|node| &node.inspected);
        engines.filter(|engine| engine.as_str() == "e0").count()
    };
    // What it was told of as an heir it needn't ask: a router that starts as the home does.
    world.kill(home);
    world.run(2_000);
    world.start(home, 2);
    answers(&mut world, home, "e0", rests(20.0));
    world.run(10_000);
    assert_eq!(asked(&world), 0);
    world.run(15_000);
    assert!(asked(&world) <= 1);
}
