//! How soon fleets of hundreds of routers serve again after a power loss of the fleet or of a zone: the time, and the number of
//! messages between routers, until each router has got a permit for a request.

// The tests print their measurements.
#![allow(clippy::unwrap_used, clippy::print_stdout)]

mod world;

use world::{Caller, World};

const ZONES: usize = 3;
/// The number of strong routers: two in each zone. These are the ones that register in the store.
const STRONG_ROUTERS: usize = ZONES * 2;
/// The number of engines per router.
const ENGINES_PER_ROUTER: usize = 10;
/// Time for a fleet to find its members and to be registered in the store, in ms.
const SETTLE_MS: u64 = 8_000;
/// How often callers check whether their requests have a permit, in ms.
const POLL_INTERVAL_MS: u64 = 10;
/// The longest time that VMs take to start after a power loss, in ms.
const VM_START_MS: u64 = 1_500;
/// The longest time to a permit, in ms: the time-outs of a home and of its successor, and the time that the entry then takes to
/// decide by itself.
const PERMIT_BOUND_MS: u64 = 300;

/// A fleet of two strong routers in each zone and many weak ones.
fn fleet(routers: usize) -> World {
    let strengths = (0..routers).map(|index| if index < STRONG_ROUTERS { 50 } else { 12 }).collect();
    let mut world = World::with_strengths(strengths, ZONES, routers * ENGINES_PER_ROUTER);
    world.slots = 64;
    world.run(SETTLE_MS);
    world
}

/// Starts each router at the time, in ms from now, that `at` returns for it. Returns the longest time from a router's start to its
/// first permit, in ms, and the number of messages sent until then. Fails if this takes more than two seconds after the last start.
fn start(world: &mut World, at: impl Fn(usize) -> Option<u64>) -> (u64, usize) {
    let before = world.message_count();
    let mut waiting: Vec<_> =
        (0..world.nodes.len()).filter_map(|index| Some((Caller::new(index), at(index)?))).collect();
    let last = waiting.iter().map(|(_, at)| *at).max().unwrap();
    let mut latest = 0;
    let mut elapsed = 0;
    while !waiting.is_empty() && elapsed < last + 2_000 {
        for (caller, _) in waiting.iter().filter(|(_, at)| (elapsed..elapsed + POLL_INTERVAL_MS).contains(at)) {
            world.start(caller.router(), ZONES);
        }
        waiting.retain_mut(|(caller, at)| {
            let placed = caller.poll(world);
            if placed {
                latest = latest.max(elapsed - *at);
            }
            !placed
        });
        world.run(POLL_INTERVAL_MS);
        elapsed += POLL_INTERVAL_MS;
    }
    assert!(waiting.is_empty(), "{} routers got no permit", waiting.len());
    (latest, world.message_count() - before)
}

fn kill(world: &mut World, is_lost: impl Fn(usize) -> bool) {
    for index in (0..world.nodes.len()).filter(|index| is_lost(*index)) {
        world.kill(index);
    }
}

/// Sends two requests a second at each running router for some time, in ms; returns the longest time that one waited for its permit,
/// in ms.
fn longest_wait_ms(world: &mut World, millis: u64) -> u64 {
    let routers: Vec<_> = (0..world.nodes.len()).filter(|index| world.is_alive(*index)).collect();
    let mut longest = 0;
    for round in 0..millis / 500 {
        let mut waiting: Vec<_> = routers.iter().map(|index| Caller::new(*index).with_number(round)).collect();
        let (mut elapsed, mut last) = (0, 0);
        while elapsed < 500 {
            let before = waiting.len();
            waiting.retain_mut(|caller| !caller.poll(world));
            if waiting.len() < before {
                last = elapsed;
            }
            world.run(POLL_INTERVAL_MS);
            elapsed += POLL_INTERVAL_MS;
        }
        assert!(waiting.is_empty(), "{} requests got no permit within 500 ms", waiting.len());
        longest = longest.max(last);
    }
    longest
}

/// Kills all routers, starts them at once, and checks the time and messages until all serve again.
fn check_simultaneous_start(world: &mut World) {
    let routers = world.nodes.len();
    kill(world, |_| true);
    world.run(900);
    let (latest, messages) = start(world, |_| Some(0));
    println!("{routers} routers started at once: {latest} ms, {messages} messages");
    assert!(latest <= PERMIT_BOUND_MS, "{latest} ms");
    assert!(messages <= routers * 120, "{messages} messages");
}

/// Kills all routers in the home's zone and starts them again, and checks how long requests wait meanwhile.
fn check_zone_loss(routers: usize) {
    let mut world = fleet(routers);
    let home = world.request_permit(routers - 1, 1, &[]);
    let zone = world.index_of(&home) % ZONES;
    kill(&mut world, |index| index % ZONES == zone);
    let waits = longest_wait_ms(&mut world, 4_000);
    println!("{routers} routers, a zone lost: requests at the others waited {waits} ms at most");
    assert!(waits <= PERMIT_BOUND_MS, "{waits} ms");
    let (latest, messages) =
        start(&mut world, |index| (index % ZONES == zone).then(|| index as u64 * 7_919 % VM_START_MS));
    println!("{routers} routers, the zone started again: {latest} ms, {messages} messages");
    assert!(latest <= 700, "{latest} ms");
}

#[test]
fn a_hundred_routers_serve_again_after_a_full_power_loss() {
    let mut world = fleet(100);
    check_simultaneous_start(&mut world);

    // Routers start in a mixed order within the time that VMs take.
    world.run(3_000);
    kill(&mut world, |_| true);
    world.run(900);
    let (latest, messages) = start(&mut world, |index| Some(index as u64 * 7_919 % VM_START_MS));
    println!("100 routers started within {VM_START_MS} ms: {latest} ms, {messages} messages");
    assert!(latest <= 700, "{latest} ms");

    // The strong routers, which are the only registered ones, stay down.
    world.run(3_000);
    kill(&mut world, |_| true);
    world.run(900);
    let (latest, messages) = start(&mut world, |index| (index >= STRONG_ROUTERS).then_some(0));
    println!("100 routers started without the strong ones: {latest} ms, {messages} messages");
    assert!(latest <= 1_000, "{latest} ms");
}

#[test]
fn three_hundred_routers_serve_again_after_a_full_power_loss() {
    check_simultaneous_start(&mut fleet(300));
}

#[test]
fn a_hundred_routers_keep_serving_when_a_zone_is_lost() {
    check_zone_loss(100);
}

#[test]
fn three_hundred_routers_keep_serving_when_a_zone_is_lost() {
    check_zone_loss(300);
}
