//! What routers say to each other across zones before thousands of upstreams, by kind: where all start at once, where they are
//! restarted one after the other, and where a zone is lost.

#![allow(clippy::unwrap_used)]

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

/// Bytes that crossed zones since they were counted last, by kind; tells them, and begins anew.
fn crossed(world: &mut World, what: &str) -> usize {
    let crossed = world.crossed().clone();
    let (all, busiest): (usize, _) = (crossed.values().sum(), world.busiest());
    let total = world.recount();
    println!("{what}: {all} bytes crossed, busiest sent {busiest}: {crossed:?}; of {total:?}");
    all
}

fn days(routers: usize) {
    let mut world = fleet(routers);
    world.run(2_000);
    crossed(&mut world, &format!("{routers}, two calm seconds"));
    for index in 0..routers {
        world.kill(index);
    }
    world.run(500);
    for index in 0..routers {
        world.start(index, ZONES);
    }
    world.run(3_000);
    crossed(&mut world, &format!("{routers}, three seconds after all start at once"));
    world.run(5_000);
    crossed(&mut world, &format!("{routers}, five seconds after that"));
    // Restarted one after the other, over some five seconds.
    let pause = 5_000 / routers as u64 / 5 * 5;
    for index in 0..routers {
        world.stop(index);
        world.run(pause.max(5));
        world.kill(index);
        world.start(index, ZONES);
    }
    world.run(3_000);
    crossed(&mut world, &format!("{routers}, restarted one after the other"));
    for index in (0..routers).filter(|index| index % ZONES == 0) {
        world.kill(index);
    }
    world.run(5_000);
    crossed(&mut world, &format!("{routers}, a zone lost"));
    for index in (0..routers).filter(|index| index % ZONES == 0) {
        world.start(index, ZONES);
    }
    world.run(3_000);
    crossed(&mut world, &format!("{routers}, and back"));
}

#[test]
fn a_hundred() {
    days(100);
}

#[test]
fn three_hundred() {
    days(300);
}
