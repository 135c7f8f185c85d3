//! Upstreams that say of themselves in an answer that they leave: who is told, by which way, and for how long that holds, while
//! the store is away, zones are cut off, routers start, and homes die.

#![allow(clippy::unwrap_used)]

mod world;

use stairvale_replica::State;
use stairvale_serve::dialect::{Notice, Rest};
use stairvale_types::id;
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
    let effects = world.nodes[index].core.hear(now, &engine.parse().unwrap(), notice);
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
    let refused = matches!(reply, stairvale_serve::core::Reply::Decided(Some(stairvale_dispatch::Verdict::Refused(_))));
    assert!(refused, "{home}: {reply:?}");
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
