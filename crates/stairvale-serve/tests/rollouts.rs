//! A service moves to another version while routers, ways and the store fail: what every router does by what it is told.

#![allow(clippy::unwrap_used)]

mod world;

use std::time::Duration;

use quickcheck::quickcheck;
use stairvale_rollout::{Cause, Stage};
use stairvale_serve::frame::Frame;
use world::World;

/// By then a fleet that starts knows itself and its homes, in ms.
const FOUND: u64 = 4_000;
/// A change is known everywhere by then, in ms.
const KNOWN: u64 = 1_000;
/// Far away, so that no deadline matters.
const OVER: Duration = Duration::from_secs(600);
const BAD: Stage = Stage::RolledBack(Cause::Failing);
const WITHDRAWN: Stage = Stage::RolledBack(Cause::Withdrawn);

/// Nine routers in three zones; engines 0 to 3 are old, 4 and 5 of the version that is to be ordered. Something runs at an old
/// one, so a fleet that moves isn't done with it at once.
fn fleet() -> World {
    let mut world = World::new(9, 3, 0);
    for engine in 0..4 {
        world.put_version(engine, engine % 3, "v1");
    }
    world.run(FOUND);
    assert!(world.hold(8, 1, &[]).is_some());
    world
}

fn add_new(world: &mut World) {
    for engine in 4..6 {
        world.put_version(engine, engine % 3, "v2");
    }
}

fn everywhere(world: &World, what: impl Fn(usize) -> bool) -> bool {
    (0..world.nodes.len()).all(what)
}

fn condemn(world: &mut World, index: usize, order: u64) {
    let from = "r8".parse().unwrap();
    let frame = Frame::Condemned { service: "chat".parse().unwrap(), order };
    let now = world.local(index);
    let effects = world.nodes[index].core.frame(now, &from, frame);
    world.perform(index, effects);
}

#[test]
fn an_order_reaches_all_and_its_versions_engines_are_left_to_the_home() {
    let mut world = fleet();
    assert!(everywhere(&world, |index| world.stage(index).is_none()));
    world.order(Some("v2"), OVER);
    add_new(&mut world);
    world.run(KNOWN);
    assert!(everywhere(&world, |index| world.stage(index) == Some(Stage::Trial)));
    assert!(everywhere(&world, |index| world.usable(index, 0) && world.usable(index, 4)));
}

#[test]
fn each_stage_is_followed_everywhere_and_no_older_one_comes_back() {
    let mut world = fleet();
    let order = world.order(Some("v2"), OVER);
    add_new(&mut world);
    world.put_record(order, "v2", Stage::Moving);
    world.run(KNOWN);
    assert!(everywhere(&world, |index| world.stage(index) == Some(Stage::Moving)));
    world.put_record(order, "v2", Stage::Completed);
    world.run(KNOWN);
    assert!(everywhere(&world, |index| !world.usable(index, 0) && world.usable(index, 4)));
    // Routers start again, and read what is some changes old.
    world.lag = 2;
    for index in 0..9 {
        world.kill(index);
        world.run(200);
        world.start(index, 3);
        for _ in 0..40 {
            world.run(50);
            assert!(everywhere(&world, |index| !world.trusts(index) || !world.usable(index, 0)));
        }
    }
    assert!(everywhere(&world, |index| world.stage(index) == Some(Stage::Completed) && world.usable(index, 4)));
}

#[test]
fn a_router_that_was_cut_off_follows_once_it_is_back() {
    let mut world = fleet();
    let order = world.order(Some("v2"), OVER);
    add_new(&mut world);
    world.run(KNOWN);
    for other in 0..8 {
        world.set_cut(8, other, true);
    }
    world.set_store_cut(8, true);
    world.put_record(order, "v2", BAD);
    world.run(3_000);
    assert!((0..8).all(|index| world.stage(index) == Some(BAD) && !world.usable(index, 4)));
    assert_eq!(world.stage(8), Some(Stage::Trial), "it can't know, and as no home it gives the version nothing");
    for other in 0..8 {
        world.set_cut(8, other, false);
    }
    world.run(2_500);
    assert!(world.stage(8) == Some(BAD) && !world.usable(8, 4), "its peers tell it, though the store still doesn't");
}

#[test]
fn an_order_that_is_taken_away_is_over_everywhere() {
    let mut world = fleet();
    let order = world.order(Some("v2"), OVER);
    add_new(&mut world);
    world.put_record(order, "v2", Stage::Moving);
    world.run(KNOWN);
    world.order(None, OVER);
    world.run(KNOWN);
    assert!(everywhere(&world, |index| world.stage(index) == Some(WITHDRAWN) && !world.usable(index, 4)));
    assert!(everywhere(&world, |index| world.usable(index, 0)));
}

#[test]
fn a_store_that_is_down_in_the_middle_changes_nothing_and_starts_get_their_copy_from_peers() {
    let mut world = fleet();
    let order = world.order(Some("v2"), OVER);
    add_new(&mut world);
    let bad = world.put_record(order, "v2", BAD);
    assert!(bad > order);
    world.run(KNOWN);
    world.set_store_down(true);
    world.kill(5);
    world.run(500);
    world.start(5, 3);
    for _ in 0..60 {
        world.run(50);
        assert!(everywhere(&world, |index| !world.usable(index, 4)));
    }
    assert!(everywhere(&world, |index| world.stage(index) == Some(BAD) && world.usable(index, 0)));
}

#[test]
fn after_a_loss_of_all_power_the_fleet_goes_on_where_the_store_says_it_was() {
    for stage in [Stage::Trial, Stage::Moving, Stage::Completed, BAD] {
        let mut world = fleet();
        let order = world.order(Some("v2"), OVER);
        add_new(&mut world);
        world.put_record(order, "v2", stage);
        world.run(KNOWN);
        for index in 0..9 {
            world.kill(index);
        }
        world.run(1_000);
        for index in 0..9 {
            world.start(index, 3);
        }
        world.run(FOUND);
        let now = world.record().unwrap().1.stage;
        // Nothing runs at old engines after that, so the home that there is now may say that it is done.
        assert!(now == stage || stage == Stage::Moving && now == Stage::Completed, "{stage:?} and {now:?}");
        assert!(everywhere(&world, |index| world.stage(index) == Some(now)), "{stage:?}");
        assert!(everywhere(&world, |index| world.usable(index, 4) != (now == BAD)));
        assert!(everywhere(&world, |index| world.usable(index, 0) != (now == Stage::Completed)));
    }
}

#[test]
fn a_version_condemned_while_the_store_is_away_goes_nowhere_from_any_router_in_touch() {
    for stage in [Stage::Trial, Stage::Moving] {
        let mut world = fleet();
        let order = world.order(Some("v2"), OVER);
        add_new(&mut world);
        world.put_record(order, "v2", stage);
        world.run(KNOWN);
        world.set_store_down(true);
        for index in 0..9 {
            condemn(&mut world, index, order);
        }
        assert!(everywhere(&world, |index| !world.usable(index, 4) && world.usable(index, 0)));
        // A router that starts is told by those whom it meets, also when it becomes the home.
        let home = world.home(0);
        world.kill(home);
        world.run(3_000);
        world.start(home, 3);
        world.run(2_000);
        assert!(everywhere(&world, |index| !world.usable(index, 4)), "{stage:?}");
        assert!(everywhere(&world, |index| world.usable(index, 0)));
    }
}

#[test]
fn a_condemnation_is_about_one_order_alone() {
    let mut world = fleet();
    let first = world.order(Some("v2"), OVER);
    add_new(&mut world);
    world.put_record(first, "v2", BAD);
    world.run(KNOWN);
    let second = world.order(Some("v2"), OVER);
    world.put_record(second, "v2", Stage::Moving);
    world.run(KNOWN);
    for index in 0..9 {
        condemn(&mut world, index, first);
    }
    assert!(everywhere(&world, |index| world.usable(index, 4)), "the version was ordered anew since");
    for index in 0..9 {
        condemn(&mut world, index, second);
        // One that comes late is of no matter.
        condemn(&mut world, index, first);
    }
    assert!(everywhere(&world, |index| !world.usable(index, 4)));
    world.put_record(second, "v2", Stage::Completed);
    world.run(KNOWN);
    assert!(everywhere(&world, |index| world.usable(index, 4)), "what the store says is completed stays so");
}

quickcheck! {
    /// Whatever fails while stages are written: no router goes back in what it follows, and all come to the last stage.
    fn no_router_goes_back(troubles: Vec<(u8, u8)>, good: bool) -> bool {
        let mut world = fleet();
        let order = world.order(Some("v2"), OVER);
        add_new(&mut world);
        world.put_record(order, "v2", Stage::Moving);
        world.run(KNOWN);
        let last = if good { Stage::Completed } else { BAD };
        let mut over = [false; 9];
        for (step, (router, trouble)) in troubles.into_iter().take(12).enumerate() {
            if step == 2 {
                world.put_record(order, "v2", last);
            }
            let index = usize::from(router) % 9;
            match trouble % 6 {
                0 => world.set_store_down(true),
                1 => world.set_store_down(false),
                2 => {
                    world.kill(index);
                    world.start(index, 3);
                    over[index] = false;
                }
                3 => world.set_cut(index, (index + 1) % 9, true),
                4 => world.lag = usize::from(router % 4),
                _ => world.forget_history(),
            }
            for _ in 0..10 {
                world.run(50);
                for (index, over) in over.iter_mut().enumerate() {
                    let now = world.stage(index) == Some(last);
                    if *over && !now {
                        return false;
                    }
                    *over |= now;
                }
            }
        }
        world.put_record(order, "v2", last);
        world.set_store_down(false);
        world.lag = 0;
        for index in 0..9 {
            world.set_cut(index, (index + 1) % 9, false);
        }
        world.run(12_000);
        everywhere(&world, |index| world.stage(index) == Some(last))
    }
}
