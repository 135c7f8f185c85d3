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
            let granted = world.granted(entry, number).unwrap();
            let (attempt, route) = (id::Attempt(number), id::Route(0));
            let held = Held { attempt, upstream: granted.clone(), read: 0, customer: None, route };
            world.nodes[entry].core.start(&"chat".parse().unwrap(), held, &asked, &[]);
            world.end(entry, number);
            world.run(50);
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
