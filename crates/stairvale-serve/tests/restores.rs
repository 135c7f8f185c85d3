//! A store that is restored from a copy: how soon all routers have the changes made after that, and how many calls and bytes this
//! costs.

#![allow(clippy::unwrap_used, clippy::print_stderr)]

mod world;

use stairvale_replica::State;
use world::World;

/// The number of changes that a restore undoes.
const LOST_CHANGES: usize = 30;
/// The time within which a change made after a restore has to reach every router, in ms.
const BOUND_MS: u64 = 2_000;

/// A fleet with three strong routers in each zone, and a store whose answers carry epochs.
fn fleet(routers: usize, zones: usize, engines: usize) -> World {
    let strengths = (0..routers).map(|index| if index < 3 * zones { 50 } else { 12 }).collect();
    let mut world = World::with_strengths(strengths, zones, engines);
    world.enable_epochs();
    world.slots = 64;
    world.run(8_000);
    world
}

/// Advances the time until `count` routers have the newest configuration; returns how long that took, in ms.
fn run_until_current(world: &mut World, routers: usize, count: usize) -> u64 {
    let (from, newest) = (world.now, world.config_versions.last().unwrap().0);
    while (0..routers).filter(|index| world.version(*index) == newest).count() < count {
        world.run(5);
        assert!(
            world.now - from <= BOUND_MS,
            "fewer than {count} of {routers} routers have the newest configuration after {BOUND_MS} ms"
        );
    }
    world.now - from
}

/// Restores the store without its last changes, writes a configuration, and checks how many calls and how much time it takes to
/// reach all routers.
fn check_restore(routers: usize, zones: usize, engines: usize) {
    let mut world = fleet(routers, zones, engines);
    for engine in 0..LOST_CHANGES {
        world.put_engine(engine % engines, engine % zones, Some(State::Ready));
    }
    world.run(2_000);
    world.set_store_down(true);
    world.run(600);
    world.restore(LOST_CHANGES);
    world.set_store_down(false);
    let reads = |world: &World| world.nodes.iter().map(|node| node.watch_calls).sum::<usize>();
    let before = reads(&world);
    world.take_byte_counts();
    world.configure();
    let median = run_until_current(&mut world, routers, routers / 2);
    let last = median + run_until_current(&mut world, routers, routers);
    world.run(BOUND_MS - last);
    let (calls, max_bytes) = (reads(&world) - before, world.max_sender_bytes());
    let crossed = world.cross_zone_bytes().values().sum::<usize>();
    let bytes = world.take_byte_counts();
    let sum = bytes.values().sum::<usize>();
    eprintln!(
        "{routers} routers, {engines} upstreams: configuration received after {median} ms (median) and {last} ms (last); in {BOUND_MS} ms \
         {calls} calls, {sum} bytes, at most {max_bytes} by one router, {crossed} between zones: {bytes:?}"
    );
    // Each router may make one call after its call to the store failed; beyond that there are few calls in a fleet of any size.
    assert!(calls <= 40 + routers, "{calls} calls");
}

/// Guards against a fleet that detects a restore late, and against an unbounded number of calls.
#[test]
fn a_small_fleet_gets_changes_after_a_restore_in_time() {
    check_restore(9, 3, 15);
}

#[test]
fn a_large_fleet_gets_changes_after_a_restore_in_time() {
    check_restore(99, 3, 990);
}

/// Guards against routers that can't reach the store and don't learn of a restore from their peers.
#[test]
fn a_zone_without_store_access_learns_of_a_restore_from_others() {
    let mut world = fleet(9, 3, 15);
    world.run(2_000);
    for index in (0..9).filter(|index| index % 3 == 1) {
        world.set_store_cut(index, true);
    }
    world.run(3_000);
    world.restore(LOST_CHANGES.min(5));
    world.configure();
    run_until_current(&mut world, 9, 9);
    world.put_engine(0, 0, Some(State::Draining));
    world.run(BOUND_MS);
    assert!((0..9).all(|index| !world.is_usable(index, 0)));
}

/// Guards against a router that takes over as reader with a copy from before a restore.
#[test]
fn a_reader_killed_in_a_restore_is_replaced_by_one_that_reads_the_new_epoch() {
    let mut world = fleet(9, 3, 15);
    world.run(2_000);
    let reader = (0..9).max_by_key(|index| world.nodes[*index].watch_calls).unwrap();
    world.put_engine(14, 0, Some(State::Ready));
    world.run(500);
    world.restore(1);
    world.kill(reader);
    world.configure();
    world.run(BOUND_MS + 2_000);
    let newest = world.config_versions.last().unwrap().0;
    assert!((0..9).filter(|index| *index != reader).all(|index| world.version(index) == newest));
}

/// Guards against an upgrade during which the revisions of one build keep routers of the other build from newer changes.
#[test]
fn routers_with_and_without_epochs_form_one_fleet() {
    for part in 0..2 {
        let mut world = World::with_strengths(vec![50; 9], 3, 15);
        world.enable_epochs();
        world.without_epochs = (0..9).filter(|index| index % 2 == part).collect();
        world.run(8_000);
        for _ in 0..6 {
            world.configure();
            run_until_current(&mut world, 9, 9);
            world.run(700);
            assert!((0..9).all(|index| world.trusts_keys(index)));
        }
        world.put_engine(3, 0, Some(State::Draining));
        world.run(BOUND_MS);
        assert!((0..9).all(|index| !world.is_usable(index, 3)));
        // With an epoch, a router of the earlier build would request a revision that the store never assigned.
        let epoch = |index: &usize| world.nodes[*index].core.view().epoch();
        assert!(world.without_epochs.iter().all(|index| epoch(index) == 0));
        // Restart one router of each build.
        for index in 0..2 {
            world.kill(index);
            world.run(300);
            world.start(index, 3);
        }
        world.run(3_000);
        world.configure();
        run_until_current(&mut world, 9, 9);
    }
}

/// Guards against routers that accept state from a router of the earlier build, which can't detect a restore.
#[test]
fn routers_with_epochs_learn_of_a_restore_beside_others_without() {
    for part in 0..2 {
        let mut world = World::with_strengths(vec![50; 9], 3, 15);
        world.enable_epochs();
        world.without_epochs = (0..9).filter(|index| index % 2 == part).collect();
        world.run(8_000);
        for engine in 0..LOST_CHANGES {
            world.put_engine(engine % 15, engine % 3, Some(State::Ready));
        }
        world.run(2_000);
        world.restore(LOST_CHANGES);
        world.configure();
        world.run(BOUND_MS);
        let newest = world.config_versions.last().unwrap().0;
        for index in (0..9).filter(|index| index % 2 != part) {
            assert_eq!(world.version(index), newest, "router {index}, part {part}");
        }
    }
}
