//! Starts of fleets with a few routers and with hundreds: how many calls they cost the store, and how soon all routers agree on
//! members, homes and the configuration.

#![allow(clippy::unwrap_used)]

mod world;

use quickcheck::{TestResult, quickcheck};
use stairvale_replica::State;
use world::World;

/// Size of the large fleet, which has three strong routers in each of its five zones.
const ROUTERS: usize = 300;
const ZONES: usize = 5;
/// Time for a fleet without registrations in the store to find its members and register them, in ms.
const SETTLE_MS: u64 = 8_000;

fn strengths(routers: usize) -> Vec<u32> {
    (0..routers).map(|index| if index < ZONES * 3 { 50 } else { 12 }).collect()
}

fn large() -> World {
    World::with_strengths(strengths(ROUTERS), ZONES, 10)
}

/// The number of expensive calls to the store: those that wait for changes, and those that write registrations.
fn expensive_calls(world: &World) -> usize {
    world.nodes.iter().map(|node| node.watch_calls).sum::<usize>() + world.registration_writes
}

/// Whether all running routers accept keys, have the newest configuration and send permit requests to the same home.
fn agree(world: &mut World, alive: impl Fn(usize) -> bool) -> bool {
    let version = world.config_versions.last().unwrap().0;
    let routers: Vec<_> = (0..world.nodes.len()).filter(|index| alive(*index)).collect();
    if !routers.iter().all(|index| world.trusts_keys(*index) && world.version(*index) == version) {
        return false;
    }
    let homes: std::collections::BTreeSet<_> =
        routers.iter().map(|index| world.request_permit(*index, 1_000 + *index as u128, &[])).collect();
    homes.len() == 1
}

fn kill_all(world: &mut World) {
    for index in 0..world.nodes.len() {
        world.kill(index);
    }
}

fn start_all(world: &mut World, zones: usize) {
    for index in 0..world.nodes.len() {
        world.start(index, zones);
    }
}

#[test]
fn a_large_fleet_forms_at_its_first_start_with_few_store_calls() {
    let mut world = large();
    world.run(SETTLE_MS);
    assert!(agree(&mut world, |_| true));
    let fewest = world.nodes.iter().map(|node| node.core.routers()).min().unwrap();
    assert!(fewest * 8 >= ROUTERS * 7, "a router found only {fewest} routers");
    assert_eq!(world.registered().len(), 15);
    let calls = expensive_calls(&world);
    // One reader makes some 12 of these calls in this time; the starts of the other routers make none.
    assert!(calls < ROUTERS / 4, "{calls} calls");
    assert!(world.nodes.iter().all(|node| node.stale_reads == 1));
}

#[test]
fn a_large_fleet_serves_within_a_second_after_a_full_restart() {
    let mut world = large();
    world.run(SETTLE_MS);
    kill_all(&mut world);
    world.run(900);
    world.configure();
    let before = world.config_versions.len();
    start_all(&mut world, ZONES);
    let writes = world.registration_writes;
    world.run(600);
    assert!(agree(&mut world, |_| true));
    let calls = world.nodes.iter().map(|node| node.watch_calls).sum::<usize>();
    assert!(calls <= 2 * ZONES, "{calls} calls");
    world.run(3_000);
    assert_eq!(world.registration_writes, writes, "the registrations are unchanged");
    assert_eq!(world.config_versions.len(), before);
}

#[test]
fn a_router_that_starts_in_a_running_fleet_makes_no_watch_call() {
    let mut world = World::new(9, 3, 6);
    world.run(SETTLE_MS);
    let (writes, registered) = (world.registration_writes, world.registered());
    for index in 0..9 {
        world.kill(index);
        world.run(700);
        world.configure();
        world.start(index, 3);
        world.run(300);
        assert!(world.trusts_keys(index), "router {index}");
        assert_eq!(world.version(index), world.config_versions.last().unwrap().0);
        world.run(1_000);
        let reads = world.nodes[index].watch_calls;
        let reads_for_all = world.nodes[index].core.is_reader(world.local_time(index));
        assert!(reads_for_all || reads == 0, "router {index} made {reads} calls");
    }
    assert_eq!((world.registration_writes, world.registered()), (writes, registered));
}

#[test]
fn registrations_do_not_grow_with_the_fleet() {
    let mut small = World::new(15, ZONES, 2);
    let mut large = large();
    for world in [&mut small, &mut large] {
        world.run(SETTLE_MS);
        assert_eq!(world.registered().len(), 15);
    }
    assert!(
        large.registration_writes <= small.registration_writes + 3,
        "{} and {}",
        large.registration_writes,
        small.registration_writes
    );
}

#[test]
fn a_router_that_starts_while_the_store_is_down_gets_its_copy_from_peers() {
    let mut world = World::new(9, 3, 6);
    world.run(SETTLE_MS);
    world.kill(8);
    world.run(500);
    world.set_store_down(true);
    world.start(8, 3);
    world.run(1_000);
    assert_eq!(world.version(8), world.config_versions.last().unwrap().0);
    assert!(world.is_usable(8, 0));
}

#[test]
fn a_stale_read_has_no_effect_until_it_is_confirmed() {
    let mut world = World::new(3, 1, 2);
    world.run(SETTLE_MS);
    kill_all(&mut world);
    let old = world.version(0);
    world.stale_read_lag = 2;
    world.configure();
    world.put_engine(0, 0, Some(State::Draining));
    start_all(&mut world, 1);
    for _ in 0..400 {
        world.run(5);
        for index in 0..3 {
            assert_ne!(world.version(index), old, "router {index} used a stale configuration");
            assert!(!world.trusts_keys(index) || !world.is_usable(index, 0));
        }
    }
    assert!(agree(&mut world, |_| true));
}

#[test]
fn routers_find_each_other_after_all_registered_ones_are_gone() {
    let mut world = large();
    world.run(SETTLE_MS);
    kill_all(&mut world);
    // All strong routers stay down; these are the registered ones.
    for index in ZONES * 3..ROUTERS {
        world.start(index, ZONES);
    }
    world.run(16_000);
    let alive = |index: usize| index >= ZONES * 3;
    assert!(agree(&mut world, alive));
    let registered = world.registered();
    let live = registered.iter().filter(|router| alive(world.index_of(router))).count();
    assert!((15..=ZONES * 6).contains(&live), "{registered:?}");
    assert!(registered.len() <= ZONES * 6, "{registered:?}");
}

quickcheck! {
    /// Whichever routers restart, and however far stale reads lag: within seconds all routers have the newest configuration, agree
    /// on the home and have found each other, and at most nine routers are registered.
    fn any_restarted_routers_find_the_others(killed: Vec<u8>, lag: u8, down: bool) -> TestResult {
        const NODES: usize = 12;
        let mut world = World::new(NODES, 3, 3);
        world.run(SETTLE_MS);
        let killed: std::collections::BTreeSet<_> = killed.iter().map(|index| usize::from(*index) % NODES).collect();
        if down && killed.len() == NODES {
            return TestResult::discard();
        }
        for index in &killed {
            world.kill(*index);
        }
        world.run(400);
        world.stale_read_lag = usize::from(lag % 5);
        world.configure();
        world.set_store_down(down);
        for index in &killed {
            world.start(*index, 3);
        }
        world.run(2_000);
        world.set_store_down(false);
        world.run(6_000);
        let all = world.nodes.iter().all(|node| node.core.routers() == NODES);
        TestResult::from_bool(all && agree(&mut world, |_| true) && world.registered().len() <= 9)
    }
}

/// Guards against a router that waits a second for the snapshot of a peer that has none either: before the store shows any
/// registration, two of three routers start beside one that has a copy. Within a second of its start a router that can reach a peer
/// has to have a configuration.
#[test]
fn routers_get_a_configuration_from_the_peer_that_has_one_in_an_epoch() {
    for delay in (0..40).map(|start| 5 * start) {
        let mut world = World::new(3, 1, 6);
        world.enable_epochs();
        kill_all(&mut world);
        world.run(delay);
        world.start(0, 1);
        world.run(1_200);
        (1..3).for_each(|index| world.start(index, 1));
        world.run(1_000);
        assert!((1..3).all(|index| world.version(index) > 0), "start {delay}");
    }
}
