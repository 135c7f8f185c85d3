//! An engine that restarts under its name, at every point of a request's message exchange, while routers are partitioned, suspended
//! or take over as home.

#![allow(clippy::unwrap_used)]

mod world;

use stairvale_dispatch::Outcome;
use stairvale_types::id;
use world::World;

/// Time for routers to find each other and to be registered in the store, in ms.
const SETTLE_MS: u64 = 6_000;
/// A prompt with a long first block that other prompts share.
const PROMPT: [(u64, u32); 2] = [(100, 8_000), (1_000, 20)];

fn chat() -> id::Service {
    "chat".parse().unwrap()
}

/// A fleet of six routers in two zones with one engine that has just started.
fn fleet() -> World {
    let mut world = World::new(6, 2, 0);
    world.start_engine(0, 0, 1_000);
    world.run(SETTLE_MS);
    world
}

/// The service's home, and a router that isn't the home.
fn home_and_entry(world: &World) -> (usize, usize) {
    let home = world.nodes[0].core.home_of(&chat()).unwrap();
    let home = world.index_of(&home);
    (home, (home + 1) % 6)
}

/// Requests a permit for a prompt that shares the first block of [`PROMPT`]; returns how many tokens the grant expects the engine
/// to prefill.
fn prefill_tokens(world: &mut World, entry: usize, number: u128) -> u32 {
    use stairvale_dispatch::Verdict;
    use stairvale_serve::core::Reply;
    world.request_permit(entry, number, &[PROMPT[0], (2_000 + u64::try_from(number).unwrap(), 20)]);
    world.run(100);
    match &world.nodes[entry].replies[&id::Attempt(number)] {
        Reply::Decided(Some(Verdict::Granted { read, .. })) => *read,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_restart_at_any_point_of_a_request_leaves_no_state_of_the_earlier_incarnation() {
    // The engine restarts at steps of 5 ms, from before the permit request to after the end of the request.
    for late in 0..16 {
        let mut world = fleet();
        let (home, entry) = home_and_entry(&world);
        let at = world.now + late * 5;
        let (mut placed, mut begun) = (false, false);
        let home_id = world.request_permit(entry, 1, &PROMPT);
        for _ in 0..40 {
            if world.now == at {
                world.start_engine(0, 0, 2_000);
            }
            world.run(5);
            if !placed && world.start_request(entry, 1, &home_id, id::Fingerprint(1)).is_some() {
                placed = true;
            } else if placed && !begun {
                begun = true;
                let now = world.local_time(entry);
                let effects = world.nodes[entry].core.begun(now, id::Attempt(1), std::time::Duration::from_millis(5));
                world.perform(entry, effects);
            }
        }
        world.end_with(entry, 1, Outcome::Ended);
        world.run(1_000);
        assert_eq!(world.nodes[home].core.running_at_home(&chat()), 0, "{late}");
        let later: id::Upstream = "e0@2000".parse().unwrap();
        assert!((0..6).all(|router| world.nodes[router].core.usable_upstream(&later).is_some()), "{late}");
        let earlier: id::Upstream = "e0@1000".parse().unwrap();
        assert!((0..6).all(|router| world.nodes[router].core.usable_upstream(&earlier).is_none()), "{late}");
    }
}

#[test]
fn an_entry_terminates_requests_of_the_earlier_incarnation_once() {
    let mut world = fleet();
    let (_, entry) = home_and_entry(&world);
    world.hold(entry, 1, &PROMPT).unwrap();
    world.start_engine(0, 0, 2_000);
    world.run(600);
    assert_eq!(world.terminated, [(entry, id::Attempt(1))]);
    // The request is terminated only once, and at no other router.
    world.run(2_000);
    assert_eq!(world.terminated.len(), 1);
}

#[test]
fn a_new_incarnation_has_no_cached_prefixes_also_at_a_new_home() {
    for home_killed in [false, true] {
        let mut world = fleet();
        let (home, entry) = home_and_entry(&world);
        world.serve(entry, 1, &PROMPT).unwrap();
        assert_eq!(prefill_tokens(&mut world, entry, 2), 20, "the shared block is cached");
        world.start_engine(0, 0, 2_000);
        world.run(600);
        if home_killed {
            world.kill(home);
            world.run(5_000);
        }
        let entry = if home_killed { (home + 2) % 6 } else { entry };
        assert_eq!(prefill_tokens(&mut world, entry, 3), 8_020, "home killed: {home_killed}");
    }
}

#[test]
fn an_isolated_or_suspended_router_does_not_bring_back_an_earlier_incarnation() {
    for suspended in [false, true] {
        let mut world = fleet();
        let (home, entry) = home_and_entry(&world);
        let isolated = (0..6).find(|router| *router != home && *router != entry).unwrap();
        if suspended {
            world.freeze(isolated, true);
        } else {
            (0..6).filter(|other| *other != isolated).for_each(|other| world.set_cut(isolated, other, true));
            world.set_store_cut(isolated, true);
        }
        world.run(500);
        world.start_engine(0, 0, 2_000);
        world.run(3_000);
        if suspended {
            world.freeze(isolated, false);
        } else {
            (0..6).filter(|other| *other != isolated).for_each(|other| world.set_cut(isolated, other, false));
            world.set_store_cut(isolated, false);
        }
        let (earlier, later): (id::Upstream, id::Upstream) = ("e0@1000".parse().unwrap(), "e0@2000".parse().unwrap());
        for _ in 0..100 {
            world.run(50);
            let others = (0..6).filter(|router| *router != isolated);
            assert!(others.clone().all(|router| world.nodes[router].core.usable_upstream(&earlier).is_none()));
            assert!(others.clone().all(|router| world.nodes[router].core.usable_upstream(&later).is_some()));
        }
        assert!(world.nodes[isolated].core.usable_upstream(&later).is_some());
    }
}
