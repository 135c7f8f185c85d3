//! Roll-outs while routers, network links and the store fail: how every router follows the order and the stage.

#![allow(clippy::unwrap_used)]

mod world;

use std::time::Duration;

use quickcheck::quickcheck;
use stairvale_rollout::{Cause, Stage};
use stairvale_serve::frame::Frame;
use world::World;

/// Time for a starting fleet to agree on its members and homes, in ms.
const SETTLE_MS: u64 = 4_000;
/// Time for a change of the store to reach all routers, in ms.
const SPREAD_MS: u64 = 1_000;
/// The time within which orders have to be completed or rolled back; long enough that no test reaches it.
const ORDER_DEADLINE: Duration = Duration::from_secs(600);
/// The stage after a roll-back because the version was failing.
const FAILED: Stage = Stage::RolledBack(Cause::Failing);
/// The stage after a roll-back because the order was removed.
const WITHDRAWN: Stage = Stage::RolledBack(Cause::Withdrawn);

/// A fleet of nine routers in three zones. Engines 0 to 3 run the old version; [`add_new`] adds 4 and 5 with the version that is
/// to be ordered. A request runs at an old engine, so that a moving fleet isn't completed at once.
fn fleet() -> World {
    let mut world = World::new(9, 3, 0);
    for engine in 0..4 {
        world.put_engine_version(engine, engine % 3, "v1");
    }
    world.run(SETTLE_MS);
    assert!(world.hold(8, 1, &[]).is_some());
    world
}

fn add_new(world: &mut World) {
    for engine in 4..6 {
        world.put_engine_version(engine, engine % 3, "v2");
    }
}

fn at_all_routers(world: &World, what: impl Fn(usize) -> bool) -> bool {
    (0..world.nodes.len()).all(what)
}

fn condemn(world: &mut World, index: usize, order: u64) {
    let from = "r8".parse().unwrap();
    let frame = Frame::Condemned { service: "chat".parse().unwrap(), order };
    let now = world.local_time(index);
    let effects = world.nodes[index].core.frame(now, &from, frame);
    world.perform(index, effects);
}

#[test]
fn an_order_reaches_all_routers_and_starts_the_trial() {
    let mut world = fleet();
    assert!(at_all_routers(&world, |index| world.stage(index).is_none()));
    world.set_order(Some("v2"), ORDER_DEADLINE);
    add_new(&mut world);
    world.run(SPREAD_MS);
    assert!(at_all_routers(&world, |index| world.stage(index) == Some(Stage::Trial)));
    assert!(at_all_routers(&world, |index| world.is_usable(index, 0) && world.is_usable(index, 4)));
}

#[test]
fn all_routers_follow_each_stage_and_never_an_earlier_one() {
    let mut world = fleet();
    let order = world.set_order(Some("v2"), ORDER_DEADLINE);
    add_new(&mut world);
    world.put_record(order, "v2", Stage::Moving);
    world.run(SPREAD_MS);
    assert!(at_all_routers(&world, |index| world.stage(index) == Some(Stage::Moving)));
    world.put_record(order, "v2", Stage::Completed);
    world.run(SPREAD_MS);
    assert!(at_all_routers(&world, |index| !world.is_usable(index, 0) && world.is_usable(index, 4)));
    // Routers restart, and read a copy that lacks the last changes.
    world.stale_read_lag = 2;
    for index in 0..9 {
        world.kill(index);
        world.run(200);
        world.start(index, 3);
        for _ in 0..40 {
            world.run(50);
            assert!(at_all_routers(&world, |index| !world.trusts_keys(index) || !world.is_usable(index, 0)));
        }
    }
    assert!(at_all_routers(&world, |index| world.stage(index) == Some(Stage::Completed) && world.is_usable(index, 4)));
}

#[test]
fn a_router_back_from_a_partition_follows_the_stage() {
    let mut world = fleet();
    let order = world.set_order(Some("v2"), ORDER_DEADLINE);
    add_new(&mut world);
    world.run(SPREAD_MS);
    for other in 0..8 {
        world.set_cut(8, other, true);
    }
    world.set_store_cut(8, true);
    world.put_record(order, "v2", FAILED);
    world.run(3_000);
    assert!((0..8).all(|index| world.stage(index) == Some(FAILED) && !world.is_usable(index, 4)));
    assert_eq!(
        world.stage(8),
        Some(Stage::Trial),
        "an isolated router doesn't get the stage, and as it is no home it grants nothing"
    );
    for other in 0..8 {
        world.set_cut(8, other, false);
    }
    world.run(2_500);
    assert!(
        world.stage(8) == Some(FAILED) && !world.is_usable(8, 4),
        "its peers send it the stage, though it can't reach the store"
    );
}

#[test]
fn a_withdrawn_order_ends_at_all_routers() {
    let mut world = fleet();
    let order = world.set_order(Some("v2"), ORDER_DEADLINE);
    add_new(&mut world);
    world.put_record(order, "v2", Stage::Moving);
    world.run(SPREAD_MS);
    world.set_order(None, ORDER_DEADLINE);
    world.run(SPREAD_MS);
    assert!(at_all_routers(&world, |index| world.stage(index) == Some(WITHDRAWN) && !world.is_usable(index, 4)));
    assert!(at_all_routers(&world, |index| world.is_usable(index, 0)));
}

#[test]
fn a_roll_back_survives_a_store_outage_and_reaches_a_starting_router() {
    let mut world = fleet();
    let order = world.set_order(Some("v2"), ORDER_DEADLINE);
    add_new(&mut world);
    let revision = world.put_record(order, "v2", FAILED);
    assert!(revision > order);
    world.run(SPREAD_MS);
    world.set_store_down(true);
    world.kill(5);
    world.run(500);
    world.start(5, 3);
    for _ in 0..60 {
        world.run(50);
        assert!(at_all_routers(&world, |index| !world.is_usable(index, 4)));
    }
    assert!(at_all_routers(&world, |index| world.stage(index) == Some(FAILED) && world.is_usable(index, 0)));
}

#[test]
fn the_fleet_continues_at_the_stored_stage_after_a_full_restart() {
    for stage in [Stage::Trial, Stage::Moving, Stage::Completed, FAILED] {
        let mut world = fleet();
        let order = world.set_order(Some("v2"), ORDER_DEADLINE);
        add_new(&mut world);
        world.put_record(order, "v2", stage);
        world.run(SPREAD_MS);
        for index in 0..9 {
            world.kill(index);
        }
        world.run(1_000);
        for index in 0..9 {
            world.start(index, 3);
        }
        world.run(SETTLE_MS);
        let now = world.record().unwrap().1.stage;
        // No requests run at old engines after the restart, so the new home may have completed a moving fleet.
        assert!(now == stage || stage == Stage::Moving && now == Stage::Completed, "{stage:?} and {now:?}");
        assert!(at_all_routers(&world, |index| world.stage(index) == Some(now)), "{stage:?}");
        assert!(at_all_routers(&world, |index| world.is_usable(index, 4) != (now == FAILED)));
        assert!(at_all_routers(&world, |index| world.is_usable(index, 0) != (now == Stage::Completed)));
    }
}

#[test]
fn a_version_condemned_during_a_store_outage_is_unusable_at_connected_routers() {
    for stage in [Stage::Trial, Stage::Moving] {
        let mut world = fleet();
        let order = world.set_order(Some("v2"), ORDER_DEADLINE);
        add_new(&mut world);
        world.put_record(order, "v2", stage);
        world.run(SPREAD_MS);
        world.set_store_down(true);
        for index in 0..9 {
            condemn(&mut world, index, order);
        }
        assert!(at_all_routers(&world, |index| !world.is_usable(index, 4) && world.is_usable(index, 0)));
        // A starting router gets the condemnation from its peers, also when it becomes the home.
        let home = world.home(0);
        world.kill(home);
        world.run(3_000);
        world.start(home, 3);
        world.run(2_000);
        assert!(at_all_routers(&world, |index| !world.is_usable(index, 4)), "{stage:?}");
        assert!(at_all_routers(&world, |index| world.is_usable(index, 0)));
    }
}

#[test]
fn a_condemnation_applies_to_one_order_only() {
    let mut world = fleet();
    let first = world.set_order(Some("v2"), ORDER_DEADLINE);
    add_new(&mut world);
    world.put_record(first, "v2", FAILED);
    world.run(SPREAD_MS);
    let second = world.set_order(Some("v2"), ORDER_DEADLINE);
    world.put_record(second, "v2", Stage::Moving);
    world.run(SPREAD_MS);
    for index in 0..9 {
        condemn(&mut world, index, first);
    }
    assert!(at_all_routers(&world, |index| world.is_usable(index, 4)), "the version was ordered again since");
    for index in 0..9 {
        condemn(&mut world, index, second);
        // A late condemnation of the earlier order has no effect.
        condemn(&mut world, index, first);
    }
    assert!(at_all_routers(&world, |index| !world.is_usable(index, 4)));
    world.put_record(second, "v2", Stage::Completed);
    world.run(SPREAD_MS);
    assert!(
        at_all_routers(&world, |index| world.is_usable(index, 4)),
        "a roll-out that the store has as completed stays so"
    );
}

quickcheck! {
    /// Under any faults while stages are written, no router leaves the last stage once it follows it, and all routers reach it.
    fn no_router_returns_to_an_earlier_stage(faults: Vec<(u8, u8)>, healthy: bool) -> bool {
        let mut world = fleet();
        let order = world.set_order(Some("v2"), ORDER_DEADLINE);
        add_new(&mut world);
        world.put_record(order, "v2", Stage::Moving);
        world.run(SPREAD_MS);
        let last = if healthy { Stage::Completed } else { FAILED };
        let mut reached = [false; 9];
        for (step, (router, fault)) in faults.into_iter().take(12).enumerate() {
            if step == 2 {
                world.put_record(order, "v2", last);
            }
            let index = usize::from(router) % 9;
            match fault % 6 {
                0 => world.set_store_down(true),
                1 => world.set_store_down(false),
                2 => {
                    world.kill(index);
                    world.start(index, 3);
                    reached[index] = false;
                }
                3 => world.set_cut(index, (index + 1) % 9, true),
                4 => world.stale_read_lag = usize::from(router % 4),
                _ => world.compact_store(),
            }
            for _ in 0..10 {
                world.run(50);
                for (index, reached) in reached.iter_mut().enumerate() {
                    let now = world.stage(index) == Some(last);
                    if *reached && !now {
                        return false;
                    }
                    *reached |= now;
                }
            }
        }
        world.put_record(order, "v2", last);
        world.set_store_down(false);
        world.stale_read_lag = 0;
        for index in 0..9 {
            world.set_cut(index, (index + 1) % 9, false);
        }
        world.run(12_000);
        at_all_routers(&world, |index| world.stage(index) == Some(last))
    }
}
