//! Who decides where a service's home is late, and what it knows then.

#![allow(clippy::unwrap_used)]

mod world;

use stairvale_dispatch::Held;
use stairvale_types::id;
use world::World;

/// Time for routers to find each other and to be named, in ms.
const SETTLE: u64 = 6_000;

/// Prompts that share nothing with each other; the second part is their own.
fn prompts() -> Vec<[(u64, u32); 2]> {
    (0..20).map(|n| [(100 + n, 3_000), (1_000 + n, 20)]).collect()
}

/// The prompts once more, with other words at their end.
fn again(prompt: [(u64, u32); 2], number: u128) -> [(u64, u32); 2] {
    [prompt[0], (9_000 + u64::try_from(number).unwrap(), 20)]
}

/// A request that a home was asked for runs where it was granted, and ends; gives its place.
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
fn when_all_of_the_homes_zone_are_late_a_router_of_another_zone_knows_what_engines_hold() {
    for (routers, zones) in [(8, 2), (9, 3), (10, 2), (12, 3), (12, 4), (16, 2), (16, 4)] {
        let mut world = World::new(routers, zones, 4);
        world.run(SETTLE);
        let home = world.ask(0, 0, &[]);
        let home = world.index(&home);
        let entry = (home + 1) % routers;
        let places: Vec<_> =
            (1..).zip(prompts()).map(|(number, prompt)| world.serve(entry, number, &prompt).unwrap()).collect();
        world.run(1_000);
        for ((number, prompt), place) in (100..).zip(prompts()).zip(&places) {
            for late in (0..routers).filter(|index| index % zones == home % zones) {
                world.distrust(entry, late);
            }
            let asked = world.ask(entry, number, &again(prompt, number));
            assert_ne!(world.index(&asked) % zones, home % zones);
            world.run(50);
            let granted = serve(&mut world, entry, number, &asked);
            assert_eq!(&granted, place, "{routers} routers in {zones} zones, prompt {number}");
        }
    }
}

#[test]
fn heirs_of_another_zone_cost_a_frame_a_grant_and_no_more() {
    let mut world = World::new(16, 2, 4);
    world.run(SETTLE);
    let entry = world.ask(0, 0, &[]);
    let entry = (world.index(&entry) + 1) % 16;
    world.recount();
    for (number, prompt) in (1..).zip(prompts()) {
        world.serve(entry, number, &prompt).unwrap();
    }
    let counted = world.recount();
    // Two heirs at most, a hundred bytes each.
    assert!(counted.get("read").is_none_or(|bytes| *bytes <= 20 * 2 * 100), "{counted:?}");
}

/// A home told its heirs what engines hold, and nothing of those that hold nothing. So whoever took over asked these: at 9,600
/// engines nearly all of them, each by a connection of its own, while it had to decide for the whole fleet.
#[test]
fn a_home_that_takes_over_asks_no_engine_that_the_home_before_it_knew() {
    for planned in [true, false] {
        let mut world = World::new(6, 2, 40);
        world.run(SETTLE);
        let home = world.ask(0, 0, &[]);
        let home = world.index(&home);
        let entry = (home + 1) % 6;
        let service = "chat".parse().unwrap();
        // The engines answer that they hold nothing.
        for upstream in std::mem::take(&mut world.nodes[home].inspected) {
            let effects = world.nodes[home].core.inspected(&service, &upstream, Vec::new());
            world.perform(home, effects);
        }
        for (number, prompt) in (1..).zip(prompts()) {
            world.serve(entry, number, &prompt).unwrap();
        }
        world.run(1_000);
        // The second one was told by the first as its heir, and the third by the second.
        let mut home = home;
        for _ in 0..2 {
            if planned {
                world.stop(home);
            } else {
                world.kill(home);
            }
            world.run(SETTLE);
            let live = (0..6).find(|index| world.is_alive(*index)).unwrap();
            let next = world.nodes[live].core.home_of(&service).unwrap();
            assert_ne!(world.index(&next), home);
            home = world.index(&next);
        }
        let inspected: usize = world.nodes.iter().map(|node| node.inspected.len()).sum();
        assert_eq!(inspected, 0, "planned: {planned}");
    }
}

#[test]
fn a_home_whose_answer_was_only_late_is_asked_again_at_once() {
    let mut world = World::new(6, 2, 4);
    world.run(SETTLE);
    let home = world.ask(0, 0, &[]);
    let home = world.index(&home);
    let entry = (home + 1) % 6;
    world.run(50);
    assert_eq!(world.ask(entry, 1, &[]), world.nodes[entry].core.home_of(&"chat".parse().unwrap()).unwrap());
    // Its answer is still on its way when the entry gives it up.
    world.distrust(entry, home);
    let other = world.ask(entry, 2, &[]);
    assert_ne!(world.index(&other), home);
    world.run(50);
    let asked = world.ask(entry, 3, &[]);
    assert_eq!(world.index(&asked), home);
}

#[test]
fn a_home_that_says_nothing_or_cannot_decide_is_passed_over_for_a_second() {
    for leaves in [false, true] {
        let mut world = World::new(6, 2, 4);
        world.run(SETTLE);
        let home = world.ask(0, 0, &[]);
        let home = world.index(&home);
        let entry = (home + 1) % 6;
        world.run(50);
        let now = world.local(home);
        if leaves {
            // Nobody else hears of it.
            let _ = world.nodes[home].core.leave(now);
        } else {
            world.set_cut(home, entry, true);
        }
        world.ask(entry, 1, &[]);
        world.distrust(entry, home);
        world.run(50);
        let asked = world.ask(entry, 2, &[]);
        assert_ne!(world.index(&asked), home, "leaves: {leaves}");
        world.run(800);
        let asked = world.ask(entry, 3, &[]);
        assert_ne!(world.index(&asked), home, "leaves: {leaves}");
    }
}

/// Asks as a router does whose homes say nothing where they are in another zone: passes them over, one after the other. Gives the
/// one that can hear it, and how many couldn't.
fn ask_through_a_cut(
    world: &mut World,
    zones: usize,
    entry: usize,
    number: u128,
    prompt: &[(u64, u32)],
) -> (usize, usize) {
    for tries in 0..10 {
        let asked = world.ask(entry, number, prompt);
        let asked = world.index(&asked);
        if asked % zones == entry % zones {
            return (asked, tries);
        }
        world.distrust(entry, asked);
    }
    panic!("router {entry} finds nobody");
}

#[test]
fn routers_of_a_zone_that_is_cut_off_ask_one_of_their_own_that_knows_its_engines() {
    let mut played = 0;
    for (routers, zones) in [(9, 3), (11, 3), (12, 3), (13, 3), (12, 4), (14, 4), (16, 4), (17, 4)] {
        // Without this one's strength it would be the home in each of them.
        let strengths = (0..routers).map(|index| if index == 0 { 12 } else { 50 }).collect();
        let mut world = World::with_strengths(strengths, zones, 2 * zones);
        world.run(SETTLE);
        let home = world.ask(0, 0, &[]);
        let home = world.index(&home);
        // The world's requests prefer engines of zone 0.
        let cut = 0;
        if home % zones == cut {
            continue;
        }
        played += 1;
        let entry = (home + 1) % routers;
        let places: Vec<_> =
            (1..).zip(prompts()).map(|(number, prompt)| world.serve(entry, number, &prompt).unwrap()).collect();
        world.run(1_000);
        let ways = (0..routers).flat_map(|a| (0..routers).map(move |b| (a, b)));
        for (a, b) in ways.filter(|(a, b)| (a % zones == cut) != (b % zones == cut)) {
            world.set_cut(a, b, true);
        }
        let inside: Vec<_> = (0..routers).filter(|index| index % zones == cut).collect();
        let mut asked = std::collections::BTreeSet::new();
        let mut known = 0;
        for ((number, prompt), place) in (100..).zip(prompts()).zip(&places) {
            let engine: usize = place.as_str()[1..].parse().unwrap();
            if engine % zones != cut {
                continue;
            }
            known += 1;
            let entry = inside[known % inside.len()];
            let (home, tries) = ask_through_a_cut(&mut world, zones, entry, number, &again(prompt, number));
            assert!(tries <= 2, "{tries} homes were asked in vain");
            asked.insert(home);
            world.run(20);
            let home = format!("r{home}").parse().unwrap();
            assert_eq!(&serve(&mut world, entry, number, &home), place, "{routers} routers, {zones} zones");
        }
        assert!(known > 1 && asked.len() == 1, "{known} prompts, decided by {asked:?}");
    }
    assert!(played > 3, "{played} fleets have their home elsewhere");
}
