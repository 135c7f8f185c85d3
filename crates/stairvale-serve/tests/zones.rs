//! Bytes that routers send across zones, by kind of message, with thousands of upstreams: when all routers start at once, when they
//! are restarted one after the other, and when a zone is lost.

// The tests print the counted bytes.
#![allow(clippy::unwrap_used, clippy::print_stdout)]

mod world;

use world::World;

const ZONES: usize = 4;
/// The number of strong routers: two in each zone.
const STRONG_ROUTERS: usize = ZONES * 2;
/// One-way delay between zones, in ms.
const CROSS_ZONE_DELAY_MS: u64 = 5;

fn fleet(routers: usize) -> World {
    let strengths = (0..routers).map(|index| if index < STRONG_ROUTERS { 50 } else { 12 }).collect();
    let mut world = World::with_strengths(strengths, ZONES, routers * 10);
    world.slots = 64;
    world.cross_zone_delay = CROSS_ZONE_DELAY_MS;
    world.run(8_000);
    world.take_byte_counts();
    world
}

/// Bytes sent across zones since the last count: of datagrams, and of all other messages. Prints them by kind, and starts a new
/// count.
fn take_cross_zone_bytes(world: &mut World, what: &str) -> (usize, usize) {
    let crossed = world.cross_zone_bytes().clone();
    let max_bytes = world.max_sender_bytes();
    let total = world.take_byte_counts();
    println!("{what}: {crossed:?} bytes across zones, {total:?} in all, at most {max_bytes} by one router");
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
fn cross_zone_traffic_of_a_hundred_restarting_routers_is_bounded() {
    const ROUTERS: usize = 100;
    let mut world = fleet(ROUTERS);
    world.run(2_000);
    let (datagrams, others) = take_cross_zone_bytes(&mut world, "two idle seconds");
    assert!(datagrams < ROUTERS * 1_000 && others < ROUTERS * 200, "{datagrams}, {others}");

    for index in 0..ROUTERS {
        world.kill(index);
    }
    world.run(500);
    for index in 0..ROUTERS {
        world.start(index, ZONES);
    }
    world.run(3_000);
    let (datagrams, others) = take_cross_zone_bytes(&mut world, "three seconds after all routers start at once");
    assert!(datagrams < 900_000 && others < 100_000, "{datagrams}, {others}");

    world.run(5_000);
    take_cross_zone_bytes(&mut world, "the five seconds after that");
    for index in 0..ROUTERS {
        restart(&mut world, index);
    }
    world.run(3_000);
    let (datagrams, others) = take_cross_zone_bytes(&mut world, "all routers restarted one after the other");
    assert!(datagrams < 2_000_000 && others < 200_000, "{datagrams}, {others}");

    for index in (0..ROUTERS).filter(|index| index % ZONES == 0) {
        world.kill(index);
    }
    world.run(5_000);
    let (datagrams, others) = take_cross_zone_bytes(&mut world, "a zone lost");
    assert!(datagrams < 400_000 && others < 50_000, "{datagrams}, {others}");

    for index in (0..ROUTERS).filter(|index| index % ZONES == 0) {
        world.start(index, ZONES);
    }
    world.run(3_000);
    let (datagrams, others) = take_cross_zone_bytes(&mut world, "the zone started again");
    assert!(datagrams < 300_000 && others < 100_000, "{datagrams}, {others}");
}

#[test]
fn cross_zone_traffic_of_three_hundred_routers_with_some_restarts_is_bounded() {
    const RESTARTED: usize = 30;
    let mut world = fleet(300);
    for index in 0..RESTARTED {
        restart(&mut world, index * 10);
    }
    world.run(2_000);
    let (datagrams, others) = take_cross_zone_bytes(&mut world, "30 of 300 routers restarted");
    assert!(datagrams < RESTARTED * 60_000 && others < RESTARTED * 10_000, "{datagrams}, {others}");
}
