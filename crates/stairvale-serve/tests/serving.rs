//! How soon fleets of hundreds serve again after all of them, or a zone, lost their power: in time, and in messages between
//! routers, until each router has had a request placed.

// What was counted is told where a test is run with its output.
#![allow(clippy::unwrap_used, clippy::print_stdout)]

mod world;

use world::{Caller, World};

const ZONES: usize = 3;
/// The strong routers, which are those that the store names: two in each zone.
const STRONG: usize = ZONES * 2;
/// Engines for each router.
const ENGINES: usize = 10;
/// By then a fleet has found itself and is named, in ms.
const FOUND: u64 = 8_000;
/// How often callers look whether their requests are placed, in ms.
const LOOK: u64 = 10;
/// The longest time in which VMs come back after a loss of power, in ms.
const RETURN: u64 = 1_500;
/// The home's answer, a second one's, and what this router takes to decide by itself, in ms.
const HOMES: u64 = 300;

/// Strong routers in each zone, and many weak ones.
fn fleet(routers: usize) -> World {
    let strengths = (0..routers).map(|index| if index < STRONG { 50 } else { 12 }).collect();
    let mut world = World::with_strengths(strengths, ZONES, routers * ENGINES);
    world.slots = 64;
    world.run(FOUND);
    world
}

/// Starts routers, each when `at` says, in ms from now. Gives how long after its own start each had a request placed, at the
/// latest, and the messages until then; it takes two seconds after the last start at most.
fn start(world: &mut World, at: impl Fn(usize) -> Option<u64>) -> (u64, usize) {
    let before = world.messages();
    let mut waiting: Vec<_> =
        (0..world.nodes.len()).filter_map(|index| Some((Caller::new(index), at(index)?))).collect();
    let last = waiting.iter().map(|(_, at)| *at).max().unwrap();
    let mut latest = 0;
    let mut past = 0;
    while !waiting.is_empty() && past < last + 2_000 {
        for (caller, _) in waiting.iter().filter(|(_, at)| (past..past + LOOK).contains(at)) {
            world.start(caller.router(), ZONES);
        }
        waiting.retain_mut(|(caller, at)| {
            let placed = caller.call(world);
            if placed {
                latest = latest.max(past - *at);
            }
            !placed
        });
        world.run(LOOK);
        past += LOOK;
    }
    assert!(waiting.is_empty(), "{} routers had no request placed", waiting.len());
    (latest, world.messages() - before)
}

fn kill(world: &mut World, gone: impl Fn(usize) -> bool) {
    for index in (0..world.nodes.len()).filter(|index| gone(*index)) {
        world.kill(index);
    }
}

/// The longest that a request waits for its place at any router that lives, over some time in ms, each asking twice a second.
fn longest(world: &mut World, millis: u64) -> u64 {
    let routers: Vec<_> = (0..world.nodes.len()).filter(|index| world.is_alive(*index)).collect();
    let mut longest = 0;
    for round in 0..millis / 500 {
        let mut waiting: Vec<_> = routers.iter().map(|index| Caller::new(*index).with_number(round)).collect();
        let (mut past, mut last) = (0, 0);
        while past < 500 {
            let before = waiting.len();
            waiting.retain_mut(|caller| !caller.call(world));
            if waiting.len() < before {
                last = past;
            }
            world.run(LOOK);
            past += LOOK;
        }
        assert!(waiting.is_empty(), "{} requests weren't placed in half a second", waiting.len());
        longest = longest.max(last);
    }
    longest
}

/// All are killed and start at once.
fn all_start_at_once(world: &mut World) {
    let routers = world.nodes.len();
    kill(world, |_| true);
    world.run(900);
    let (latest, messages) = start(world, |_| Some(0));
    println!("{routers} at once: {latest} ms, {messages} messages");
    assert!(latest <= HOMES, "{latest} ms");
    assert!(messages <= routers * 120, "{messages} messages");
}

/// The zone of the home is lost, and starts again.
fn a_zone_is_lost(routers: usize) {
    let mut world = fleet(routers);
    let home = world.ask(routers - 1, 1, &[]);
    let zone = world.index(&home) % ZONES;
    kill(&mut world, |index| index % ZONES == zone);
    let waits = longest(&mut world, 4_000);
    println!("{routers}, a zone lost: {waits} ms at most at those that live");
    assert!(waits <= HOMES, "{waits} ms");
    let (latest, messages) = start(&mut world, |index| (index % ZONES == zone).then(|| index as u64 * 7_919 % RETURN));
    println!("{routers}, a zone back: {latest} ms, {messages} messages");
    assert!(latest <= 700, "{latest} ms");
}

#[test]
fn a_hundred_serve_again_after_all_were_lost() {
    let mut world = fleet(100);
    all_start_at_once(&mut world);

    // Over as long as VMs take, in any order.
    world.run(3_000);
    kill(&mut world, |_| true);
    world.run(900);
    let (latest, messages) = start(&mut world, |index| Some(index as u64 * 7_919 % RETURN));
    println!("100 over {RETURN} ms: {latest} ms, {messages} messages");
    assert!(latest <= 700, "{latest} ms");

    // Without the strong ones, which are all that the store names.
    world.run(3_000);
    kill(&mut world, |_| true);
    world.run(900);
    let (latest, messages) = start(&mut world, |index| (index >= STRONG).then_some(0));
    println!("100 without the strong ones: {latest} ms, {messages} messages");
    assert!(latest <= 1_000, "{latest} ms");
}

#[test]
fn three_hundred_serve_again_after_all_were_lost() {
    all_start_at_once(&mut fleet(300));
}

#[test]
fn a_hundred_serve_on_when_a_zone_is_lost() {
    a_zone_is_lost(100);
}

#[test]
fn three_hundred_serve_on_when_a_zone_is_lost() {
    a_zone_is_lost(300);
}
