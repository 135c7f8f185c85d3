//! Which router decides when a service's home is late or gone, and which state of the home it has.

#![allow(clippy::unwrap_used)]

mod world;

use stairvale_dispatch::Held;
use stairvale_types::id;
use world::World;

/// Time for routers to find each other and to be registered in the store, in ms.
const SETTLE_MS: u64 = 6_000;

/// Prompts that share no blocks with each other. [`with_new_ending`] replaces their second block.
fn prompts() -> Vec<[(u64, u32); 2]> {
    (0..20).map(|n| [(100 + n, 3_000), (1_000 + n, 20)]).collect()
}

/// A prompt with the same first block and a new last one.
fn with_new_ending(prompt: [(u64, u32); 2], number: u128) -> [(u64, u32); 2] {
    [prompt[0], (9_000 + u64::try_from(number).unwrap(), 20)]
}

/// Runs a granted request to its end at its engine; returns the engine.
fn serve(world: &mut World, entry: usize, number: u128, home: &id::Router) -> id::Upstream {
    let upstream = world.granted(entry, number).unwrap();
    let (attempt, route) = (id::Attempt(number), id::Route(0));
    let held = Held {
        attempt,
        upstream: upstream.clone(),
        read: 0,
        customer: None,
        route,
        fingerprint: id::Fingerprint::default(),
    };
    world.nodes[entry].core.start(&"chat".parse().unwrap(), held, home, &[]);
    world.end(entry, number);
    world.run(50);
    upstream
}

#[test]
fn a_successor_in_another_zone_has_the_prefix_caches_when_the_homes_zone_is_late() {
    for (routers, zones) in [(8, 2), (9, 3), (10, 2), (12, 3), (12, 4), (16, 2), (16, 4)] {
        let mut world = World::new(routers, zones, 4);
        world.run(SETTLE_MS);
        let home = world.request_permit(0, 0, &[]);
        let home = world.index_of(&home);
        let entry = (home + 1) % routers;
        let places: Vec<_> =
            (1..).zip(prompts()).map(|(number, prompt)| world.serve(entry, number, &prompt).unwrap()).collect();
        world.run(1_000);
        for ((number, prompt), place) in (100..).zip(prompts()).zip(&places) {
            for late in (0..routers).filter(|index| index % zones == home % zones) {
                world.mark_unresponsive(entry, late);
            }
            let target = world.request_permit(entry, number, &with_new_ending(prompt, number));
            assert_ne!(world.index_of(&target) % zones, home % zones);
            world.run(50);
            let granted = serve(&mut world, entry, number, &target);
            assert_eq!(&granted, place, "{routers} routers in {zones} zones, prompt {number}");
        }
    }
}

#[test]
fn successors_in_another_zone_cost_at_most_a_frame_per_grant() {
    let mut world = World::new(16, 2, 4);
    world.run(SETTLE_MS);
    let entry = world.request_permit(0, 0, &[]);
    let entry = (world.index_of(&entry) + 1) % 16;
    world.take_byte_counts();
    for (number, prompt) in (1..).zip(prompts()) {
        world.serve(entry, number, &prompt).unwrap();
    }
    let counted = world.take_byte_counts();
    // Each grant is reported to two successors at most, with 100 bytes each.
    assert!(counted.get("read").is_none_or(|bytes| *bytes <= 20 * 2 * 100), "{counted:?}");
}

/// Guards against a home that doesn't report engines with an empty prefix cache to its successors. A new home then inspected
/// these engines: with 9,600 engines nearly all of them, over a connection each, while it had to decide for the whole fleet.
#[test]
fn a_new_home_inspects_no_engine_that_its_predecessor_knew() {
    for planned in [true, false] {
        let mut world = World::new(6, 2, 40);
        world.run(SETTLE_MS);
        let home = world.request_permit(0, 0, &[]);
        let home = world.index_of(&home);
        let entry = (home + 1) % 6;
        let service = "chat".parse().unwrap();
        // The engines answer that their prefix caches are empty.
        for upstream in std::mem::take(&mut world.nodes[home].inspected) {
            let effects = world.nodes[home].core.record_inventory(&service, &upstream, Vec::new());
            world.perform(home, effects);
        }
        for (number, prompt) in (1..).zip(prompts()) {
            world.serve(entry, number, &prompt).unwrap();
        }
        world.run(1_000);
        // The second home got its state as a successor of the first, and the third one as a successor of the second.
        let mut home = home;
        for _ in 0..2 {
            if planned {
                world.stop(home);
            } else {
                world.kill(home);
            }
            world.run(SETTLE_MS);
            let live = (0..6).find(|index| world.is_alive(*index)).unwrap();
            let next = world.nodes[live].core.home_of(&service).unwrap();
            assert_ne!(world.index_of(&next), home);
            home = world.index_of(&next);
        }
        let inspected: usize = world.nodes.iter().map(|node| node.inspected.len()).sum();
        assert_eq!(inspected, 0, "planned: {planned}");
    }
}

#[test]
fn a_home_with_a_late_answer_is_used_again_at_once() {
    let mut world = World::new(6, 2, 4);
    world.run(SETTLE_MS);
    let home = world.request_permit(0, 0, &[]);
    let home = world.index_of(&home);
    let entry = (home + 1) % 6;
    world.run(50);
    assert_eq!(world.request_permit(entry, 1, &[]), world.nodes[entry].core.home_of(&"chat".parse().unwrap()).unwrap());
    // The home's answer is still in transit when the entry counts the home as unresponsive.
    world.mark_unresponsive(entry, home);
    let other = world.request_permit(entry, 2, &[]);
    assert_ne!(world.index_of(&other), home);
    world.run(50);
    let target = world.request_permit(entry, 3, &[]);
    assert_eq!(world.index_of(&target), home);
}

#[test]
fn an_unresponsive_or_leaving_home_is_skipped_for_a_second() {
    for leaves in [false, true] {
        let mut world = World::new(6, 2, 4);
        world.run(SETTLE_MS);
        let home = world.request_permit(0, 0, &[]);
        let home = world.index_of(&home);
        let entry = (home + 1) % 6;
        world.run(50);
        let now = world.local_time(home);
        if leaves {
            // The effects are dropped, so no other router is notified.
            let _ = world.nodes[home].core.leave(now);
        } else {
            world.set_cut(home, entry, true);
        }
        world.request_permit(entry, 1, &[]);
        world.mark_unresponsive(entry, home);
        world.run(50);
        let target = world.request_permit(entry, 2, &[]);
        assert_ne!(world.index_of(&target), home, "leaves: {leaves}");
        world.run(800);
        let target = world.request_permit(entry, 3, &[]);
        assert_ne!(world.index_of(&target), home, "leaves: {leaves}");
    }
}

/// Requests a permit from an entry that can't reach other zones: homes there don't answer and are skipped one after the other.
/// Returns the first home in the entry's zone, and how many homes were skipped.
fn request_in_partition(
    world: &mut World,
    zones: usize,
    entry: usize,
    number: u128,
    prompt: &[(u64, u32)],
) -> (usize, usize) {
    for tries in 0..10 {
        let home = world.request_permit(entry, number, prompt);
        let home = world.index_of(&home);
        if home % zones == entry % zones {
            return (home, tries);
        }
        world.mark_unresponsive(entry, home);
    }
    panic!("router {entry} finds no home in its zone");
}

#[test]
fn a_partitioned_zone_uses_one_home_that_has_its_prefix_caches() {
    let mut checked = 0;
    for (routers, zones) in [(9, 3), (11, 3), (12, 3), (13, 3), (12, 4), (14, 4), (16, 4), (17, 4)] {
        // Router 0 is weak, since it would be the home in each of these fleets otherwise.
        let strengths = (0..routers).map(|index| if index == 0 { 12 } else { 50 }).collect();
        let mut world = World::with_strengths(strengths, zones, 2 * zones);
        world.run(SETTLE_MS);
        let home = world.request_permit(0, 0, &[]);
        let home = world.index_of(&home);
        // The requests of these tests prefer engines of zone 0, so that zone is partitioned from the others.
        let cut = 0;
        if home % zones == cut {
            continue;
        }
        checked += 1;
        let entry = (home + 1) % routers;
        let places: Vec<_> =
            (1..).zip(prompts()).map(|(number, prompt)| world.serve(entry, number, &prompt).unwrap()).collect();
        world.run(1_000);
        let links = (0..routers).flat_map(|a| (0..routers).map(move |b| (a, b)));
        for (a, b) in links.filter(|(a, b)| (a % zones == cut) != (b % zones == cut)) {
            world.set_cut(a, b, true);
        }
        let inside: Vec<_> = (0..routers).filter(|index| index % zones == cut).collect();
        let mut homes = std::collections::BTreeSet::new();
        let mut cached = 0;
        for ((number, prompt), place) in (100..).zip(prompts()).zip(&places) {
            let engine: usize = place.as_str()[1..].parse().unwrap();
            if engine % zones != cut {
                continue;
            }
            cached += 1;
            let entry = inside[cached % inside.len()];
            let (home, tries) =
                request_in_partition(&mut world, zones, entry, number, &with_new_ending(prompt, number));
            assert!(tries <= 2, "{tries} unreachable homes were tried");
            homes.insert(home);
            world.run(20);
            let home = format!("r{home}").parse().unwrap();
            assert_eq!(&serve(&mut world, entry, number, &home), place, "{routers} routers, {zones} zones");
        }
        assert!(cached > 1 && homes.len() == 1, "{cached} prompts, decided by {homes:?}");
    }
    assert!(checked > 3, "only {checked} fleets have their home outside of the partitioned zone");
}
