//! What routers say to each other across zones before thousands of upstreams, by kind: where all start at once, where they are
//! restarted one after the other, and where a zone is lost.

// What was counted is told where a test is run with its output.
#![allow(clippy::unwrap_used, clippy::print_stdout)]

mod world;

use world::World;

const ZONES: usize = 4;
/// Two strong routers in each zone.
const STRONG: usize = ZONES * 2;
/// The way between zones, in ms.
const FAR: u64 = 5;

fn fleet(routers: usize) -> World {
    let strengths = (0..routers).map(|index| if index < STRONG { 50 } else { 12 }).collect();
    let mut world = World::with_strengths(strengths, ZONES, routers * 10);
    world.slots = 64;
    world.far = FAR;
    world.run(8_000);
    world.recount();
    world
}

/// Bytes that crossed zones since they were counted last, of datagrams and of all else; tells them by kind, and begins anew.
fn crossed(world: &mut World, what: &str) -> (usize, usize) {
    let crossed = world.crossed().clone();
    let busiest = world.busiest();
    let total = world.recount();
    println!("{what}: crossed {crossed:?}; of {total:?}; the busiest sent {busiest}");
    let datagrams = crossed.get("datagram").copied().unwrap_or(0);
    (datagrams, crossed.values().sum::<usize>() - datagrams)
}

fn restart(world: &mut World, index: usize) {
    world.stop(index);
    world.run(50);
    world.kill(index);
    world.start(index, ZONES);
}

#[test]
fn what_crosses_zones_when_a_hundred_come_and_go_is_news_that_was_told_a_few_times() {
    const ROUTERS: usize = 100;
    let mut world = fleet(ROUTERS);
    world.run(2_000);
    let (datagrams, others) = crossed(&mut world, "two calm seconds");
    assert!(datagrams < ROUTERS * 1_000 && others < ROUTERS * 200, "{datagrams}, {others}");

    for index in 0..ROUTERS {
        world.kill(index);
    }
    world.run(500);
    for index in 0..ROUTERS {
        world.start(index, ZONES);
    }
    world.run(3_000);
    let (datagrams, others) = crossed(&mut world, "three seconds after all start at once");
    assert!(datagrams < 900_000 && others < 100_000, "{datagrams}, {others}");

    world.run(5_000);
    crossed(&mut world, "five seconds after that");
    for index in 0..ROUTERS {
        restart(&mut world, index);
    }
    world.run(3_000);
    let (datagrams, others) = crossed(&mut world, "all restarted one after the other");
    assert!(datagrams < 2_000_000 && others < 200_000, "{datagrams}, {others}");

    for index in (0..ROUTERS).filter(|index| index % ZONES == 0) {
        world.kill(index);
    }
    world.run(5_000);
    let (datagrams, others) = crossed(&mut world, "a zone lost");
    assert!(datagrams < 400_000 && others < 50_000, "{datagrams}, {others}");

    for index in (0..ROUTERS).filter(|index| index % ZONES == 0) {
        world.start(index, ZONES);
    }
    world.run(3_000);
    let (datagrams, others) = crossed(&mut world, "and back");
    assert!(datagrams < 300_000 && others < 100_000, "{datagrams}, {others}");
}

#[test]
fn three_hundred_of_which_some_are_restarted_say_little_across_zones() {
    const RESTARTED: usize = 30;
    let mut world = fleet(300);
    for index in 0..RESTARTED {
        restart(&mut world, index * 10);
    }
    world.run(2_000);
    let (datagrams, others) = crossed(&mut world, "thirty of three hundred restarted");
    assert!(datagrams < RESTARTED * 60_000 && others < RESTARTED * 10_000, "{datagrams}, {others}");
}
