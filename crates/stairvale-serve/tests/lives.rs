//! An engine that starts again under its name: before, while and after each message of a request is on its way, while routers
//! are cut off, stand still, or take over.

#![allow(clippy::unwrap_used)]

mod world;

use stairvale_dispatch::Outcome;
use stairvale_types::id;
use world::World;

/// Time for routers to find each other and to be named, in ms.
const SETTLE: u64 = 6_000;
/// A prompt of which much is shared.
const PROMPT: [(u64, u32); 2] = [(100, 8_000), (1_000, 20)];

fn chat() -> id::Service {
    "chat".parse().unwrap()
}

/// Routers in two zones before one engine, which has just started.
fn fleet() -> World {
    let mut world = World::new(6, 2, 0);
    world.begin_engine(0, 0, 1_000);
    world.run(SETTLE);
    world
}

/// The service's home, and a router that isn't.
fn home(world: &World) -> (usize, usize) {
    let home = world.nodes[0].core.home_of(&chat()).unwrap();
    let home = world.index(&home);
    (home, (home + 1) % 6)
}

/// How much of a prompt a home wants read that asks for it now.
fn reads(world: &mut World, entry: usize, number: u128) -> u32 {
    use stairvale_dispatch::Verdict;
    use stairvale_serve::core::Reply;
    world.ask(entry, number, &[PROMPT[0], (2_000 + u64::try_from(number).unwrap(), 20)]);
    world.run(100);
    match &world.nodes[entry].replies[&id::Attempt(number)] {
        Reply::Decided(Some(Verdict::Granted { read, .. })) => *read,
        other => panic!("{other:?}"),
    }
}

#[test]
fn whenever_it_starts_again_nothing_is_left_of_its_earlier_life() {
    // In steps of 5 ms from before the request is asked for to after it has ended.
    for late in 0..16 {
        let mut world = fleet();
        let (home, entry) = home(&world);
        let at = world.now + late * 5;
        let (mut placed, mut begun) = (false, false);
        let asked = world.ask(entry, 1, &PROMPT);
        for _ in 0..40 {
            if world.now == at {
                world.begin_engine(0, 0, 2_000);
            }
            world.run(5);
            if !placed && world.start_for(entry, 1, &asked, id::Fingerprint(1)).is_some() {
                placed = true;
            } else if placed && !begun {
                begun = true;
                let now = world.local(entry);
                let effects = world.nodes[entry].core.begun(now, id::Attempt(1), std::time::Duration::from_millis(5));
                world.perform(entry, effects);
            }
        }
        world.end_as(entry, 1, Outcome::Ended);
        world.run(1_000);
        assert_eq!(world.nodes[home].core.running_at_home(&chat()), 0, "{late}");
        let later: id::Upstream = "e0@2000".parse().unwrap();
        assert!((0..6).all(|router| world.nodes[router].core.place(&later).is_some()), "{late}");
        let earlier: id::Upstream = "e0@1000".parse().unwrap();
        assert!((0..6).all(|router| world.nodes[router].core.place(&earlier).is_none()), "{late}");
    }
}

#[test]
fn an_entry_ends_what_ran_in_the_earlier_life_as_soon_as_it_hears_of_the_later_one() {
    let mut world = fleet();
    let (_, entry) = home(&world);
    world.hold(entry, 1, &PROMPT).unwrap();
    world.begin_engine(0, 0, 2_000);
    world.run(600);
    assert_eq!(world.over, [(entry, id::Attempt(1))]);
    // Only once, and nobody else is told.
    world.run(2_000);
    assert_eq!(world.over.len(), 1);
}

#[test]
fn a_later_life_holds_nothing_also_at_a_home_that_takes_over() {
    for dies in [false, true] {
        let mut world = fleet();
        let (home, entry) = home(&world);
        world.serve(entry, 1, &PROMPT).unwrap();
        assert_eq!(reads(&mut world, entry, 2), 20, "the shared part is there");
        world.begin_engine(0, 0, 2_000);
        world.run(600);
        if dies {
            world.kill(home);
            world.run(5_000);
        }
        let entry = if dies { (home + 2) % 6 } else { entry };
        assert_eq!(reads(&mut world, entry, 3), 8_020, "home dies: {dies}");
    }
}

#[test]
fn a_router_that_was_cut_off_or_stood_still_brings_no_earlier_life_back() {
    for stands_still in [false, true] {
        let mut world = fleet();
        let (home, entry) = home(&world);
        let away = (0..6).find(|router| *router != home && *router != entry).unwrap();
        if stands_still {
            world.freeze(away, true);
        } else {
            (0..6).filter(|other| *other != away).for_each(|other| world.set_cut(away, other, true));
            world.set_store_cut(away, true);
        }
        world.run(500);
        world.begin_engine(0, 0, 2_000);
        world.run(3_000);
        if stands_still {
            world.freeze(away, false);
        } else {
            (0..6).filter(|other| *other != away).for_each(|other| world.set_cut(away, other, false));
            world.set_store_cut(away, false);
        }
        let (earlier, later): (id::Upstream, id::Upstream) = ("e0@1000".parse().unwrap(), "e0@2000".parse().unwrap());
        for _ in 0..100 {
            world.run(50);
            let others = (0..6).filter(|router| *router != away);
            assert!(others.clone().all(|router| world.nodes[router].core.place(&earlier).is_none()));
            assert!(others.clone().all(|router| world.nodes[router].core.place(&later).is_some()));
        }
        assert!(world.nodes[away].core.place(&later).is_some());
    }
}
