//! Several routers together: the way things go when nothing fails, and when one thing does.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod world;

use std::time::Duration;

use rand::Rng;
use stairvale_control::{apply::Outcome, orders::Loaded};
use stairvale_permit::account::SETTLE;
use stairvale_wire::{ClaimVerdict, Frame};
use world::{DOCUMENT, Fate, World};

const SECOND: Duration = Duration::from_secs(1);
const LONG: Duration = Duration::from_secs(20);

/// Requests at a steady pace for a while, at random live routers.
fn load(world: &mut World, seconds: u64, a_second: u64) {
    for _ in 0..seconds * a_second {
        let live = world.live();
        let router = live[world.rng.random_range(0..live.len())].clone();
        let chat = world.rng.random_range(0..200);
        world.request(&router, "chat", Some(chat), LONG);
        world.run(SECOND / u32::try_from(a_second).unwrap());
    }
}

#[test]
fn routers_find_each_other_and_agree_on_homes() {
    let world = World::settled(1, 2, 2);
    for (name, slot) in &world.routers {
        assert_eq!(slot.node.stats().routers, 6, "{name} doesn't know all routers");
        assert_eq!(slot.node.stats().usable, 9, "{name} doesn't know all upstreams");
    }
    let homes =
        |name: &str| world.routers[name].node.fleet().homes().map(|(u, h)| (u.clone(), h.cloned())).collect::<Vec<_>>();
    assert_eq!(homes("a-router-0"), homes("c-router-1"));
}

#[test]
fn a_chat_returns_to_its_engine_from_any_router() {
    let mut world = World::settled(2, 2, 3);
    let mut places = Vec::new();
    for router in world.live() {
        world.request(&router, "chat", Some(77), LONG);
        world.run(SECOND);
        places.push(world.grants.last().unwrap().1.upstream.clone());
    }
    places.dedup();
    assert_eq!(places.len(), 1, "one chat, one engine, but {places:?}");
}

#[test]
fn load_stays_within_the_bound_and_nothing_leaks() {
    let mut world = World::settled(3, 2, 3);
    load(&mut world, 5, 100);
    let over: u64 = world.routers.values().map(|slot| slot.node.stats().home.over_bound).sum();
    assert_eq!(over, 0);
    world.run(Duration::from_secs(3));
    world.assert_all_told();
    world.assert_no_leaks();
}

#[test]
fn a_dead_routers_permits_come_back() {
    let mut world = World::settled(4, 2, 2);
    world.runs_for = (20_000_000, 20_000_000);
    for _ in 0..6 {
        world.request("a-router-0", "chat", None, LONG);
        world.run(SECOND / 5);
    }
    world.kill("a-router-0");
    world.run(Duration::from_secs(5));
    let held: usize = world
        .routers
        .values()
        .filter(|s| s.alive)
        .map(|s| s.node.home().upstreams().map(|u| s.node.home().outstanding(u).unwrap()).sum::<usize>())
        .sum();
    assert_eq!(held, 0, "the dead entry's permits are still held");
}

#[test]
fn a_home_that_dies_is_replaced_and_learns_what_runs() {
    let mut world = World::settled(5, 2, 2);
    world.runs_for = (15_000_000, 15_000_000);
    for _ in 0..8 {
        world.request("b-router-0", "chat", None, LONG);
        world.run(SECOND / 5);
    }
    world.kill("a-router-0");
    world.run(Duration::from_secs(5));
    world.assert_no_leaks();
    load(&mut world, 2, 20);
    world.run(Duration::from_secs(20));
    world.assert_all_told();
}

#[test]
fn a_home_that_paused_knows_what_runs_before_it_grants_again() {
    // Wherever the pause falls between two renewals, which are 3 s apart.
    for offset in 0..10 {
        let mut world = World::settled(14, 2, 2);
        world.runs_for = (30_000_000, 30_000_000);
        for _ in 0..20 {
            world.request("b-router-0", "chat", None, LONG);
            world.run(SECOND / 20);
        }
        world.run(SECOND * offset / 3);
        let home = world.routers["a-router-0"].node.home();
        let held: usize = home.upstreams().map(|upstream| home.outstanding(upstream).unwrap()).sum();
        assert!(held > 0, "the test needs a home that has granted something");
        world.freeze("a-router-0", SECOND);
        world.run(SECOND);
        world.run(SETTLE);
        assert_eq!(world.routers["a-router-0"].node.stats().home.distrusted, 1);
        world.assert_no_leaks();
    }
}

#[test]
fn a_frozen_router_distrusts_itself() {
    let mut world = World::settled(6, 2, 2);
    load(&mut world, 1, 50);
    world.freeze("a-router-0", Duration::from_secs(4));
    load(&mut world, 4, 50);
    load(&mut world, 4, 50);
    assert_eq!(world.routers["a-router-0"].node.stats().home.distrusted, 1);
    world.run(Duration::from_secs(6));
    world.assert_all_told();
    world.assert_no_leaks();
}

#[test]
fn a_cut_zone_serves_itself_and_joins_again() {
    let mut world = World::settled(7, 2, 2);
    world.cut("a", "b");
    world.cut("a", "c");
    world.cut("a", "platform");
    world.run(Duration::from_secs(4));
    let before = world.grants.len();
    for _ in 0..20 {
        world.request("a-router-0", "chat", Some(5), LONG);
        world.run(SECOND / 10);
    }
    let served = world.grants[before..].iter().filter(|(_, grant)| grant.upstream.as_str().starts_with("a-")).count();
    assert_eq!(served, 20, "the zone that is cut off must serve from its own engines");
    world.heal();
    world.run(Duration::from_secs(8));
    for (name, slot) in &world.routers {
        assert_eq!(slot.node.stats().routers, 6, "{name} doesn't know all routers after the cut");
        assert_eq!(slot.node.stats().usable, 9, "{name} doesn't use all upstreams after the cut");
    }
    world.assert_no_leaks();
}

#[test]
fn a_leaving_engine_gets_no_new_work_after_two_seconds_even_while_the_store_is_down() {
    let mut world = World::settled(8, 2, 2);
    world.faults.store_down = true;
    world.drain("b-engine-0");
    let closed = world.now;
    load(&mut world, 6, 100);
    let last = world.engines["b-engine-0"].last_work;
    assert!(last < closed + 2_000_000, "new work {} ms after it said that it leaves", (last - closed) / 1_000);
}

#[test]
fn a_planned_stop_cuts_nothing() {
    let mut world = World::settled(9, 2, 2);
    load(&mut world, 1, 60);
    world.request("b-router-1", "chat", Some(9), LONG);
    world.run(SECOND / 50);
    world.leave("b-router-1");
    load(&mut world, 3, 60);
    assert!(!world.routers["b-router-1"].node.is_ready());
    assert!(world.routers["b-router-1"].node.is_idle(), "what it had in flight must have ended");
    assert_eq!(world.routers["b-router-1"].node.home().upstreams().count(), 0, "its homes must be handed over");
    world.run(Duration::from_secs(3));
    world.assert_all_told();
    let gone = world.fates.values().filter(|fate| **fate == Fate::Gone).count();
    assert_eq!(gone, 0);
}

#[test]
fn an_accepted_configuration_is_everywhere_in_seconds_and_only_one_of_two_wins() {
    let mut world = World::settled(10, 3, 2);
    let second = format!("{DOCUMENT}# second\n");
    assert!(matches!(world.apply("b-router-0", &second, 1, "s2"), Outcome::Accepted(_)));
    let third = format!("{DOCUMENT}# third\n");
    assert!(matches!(world.apply("c-router-0", &third, 1, "s3"), Outcome::Conflict(_)));
    world.run(SECOND);
    world.assert_one_generation();
}

#[test]
fn an_evacuated_zone_gets_nothing_new_until_it_is_taken_back() {
    let mut world = World::settled(10, 3, 2);
    let chats = |world: &mut World, from: u64| {
        for chat in from..from + 30 {
            world.request("a-router-0", "chat", Some(chat), LONG);
        }
        world.run(SECOND);
        let names: Vec<_> = world.grants.iter().map(|(_, grant)| grant.upstream.to_string()).collect();
        world.grants.clear();
        names.into_iter().filter(|engine| engine.starts_with("b-")).count()
    };
    assert!(chats(&mut world, 0) > 0);
    assert!(matches!(world.evacuate("a-router-0", "b", true, "e1"), Outcome::Accepted(_)));
    world.run(SECOND);
    world.assert_one_generation();
    assert_eq!(chats(&mut world, 100), 0);
    // Another document leaves it evacuated, and so does the same wish once more, which changes nothing.
    let second = format!("{DOCUMENT}# second\n");
    assert!(matches!(world.apply("c-router-0", &second, 2, "s2"), Outcome::Accepted(_)));
    let Outcome::Accepted(manifest) = world.evacuate("c-router-0", "b", true, "e2") else { panic!() };
    assert_eq!(manifest.generation().0, 3);
    world.run(SECOND);
    assert_eq!(chats(&mut world, 200), 0);
    assert!(matches!(world.evacuate("b-router-0", "b", false, "r1"), Outcome::Accepted(_)));
    world.run(SECOND);
    assert!(chats(&mut world, 300) > 0);
}

#[test]
fn two_operators_evacuate_at_once_and_answers_are_lost_and_both_zones_are_evacuated() {
    for lost in [0.0, 0.4] {
        let mut world = World::settled(17, 3, 2);
        world.faults.lost_answers = lost;
        let first = world.evacuate("a-router-0", "a", true, "e1");
        let second = world.evacuate("c-router-0", "b", true, "e2");
        world.faults.lost_answers = 0.0;
        for (outcome, zone, id) in [(first, "a", "e1"), (second, "b", "e2")] {
            // Who wasn't told asks again with the same id.
            if !matches!(outcome, Outcome::Accepted(_)) {
                assert!(matches!(world.evacuate("b-router-0", zone, true, id), Outcome::Accepted(_)));
            }
        }
        world.run(Duration::from_secs(2));
        world.assert_one_generation();
        let manifest = world.routers["b-router-0"].node.manifest().unwrap();
        let zones: Vec<_> = manifest.evacuated.keys().map(ToString::to_string).collect();
        assert_eq!(zones, ["a", "b"]);
    }
}

#[test]
fn a_router_that_starts_while_the_store_is_down_takes_its_peers_configuration() {
    let mut world = World::settled(11, 2, 2);
    world.faults.store_down = true;
    world.add_router("a-router-9", "a");
    assert!(!world.routers["a-router-9"].node.is_ready());
    world.run(Duration::from_secs(4));
    assert!(world.routers["a-router-9"].node.is_ready());
    world.request("a-router-9", "chat", Some(3), LONG);
    world.run(SECOND);
    assert_eq!(world.grants.len(), 1, "it serves, too");
}

#[test]
fn explain_tells_where_a_request_went() {
    let mut world = World::settled(12, 2, 2);
    let attempt = world.request("a-router-0", "chat", Some(4), LONG);
    world.run(SECOND);
    let records = world.routers["a-router-0"].node.explain(&attempt.to_string());
    assert_eq!(records[0].upstream.as_ref(), Some(&world.grants[0].1.upstream));
    assert!(records[0].steps.iter().any(|step| step.contains("granted")), "{:?}", records[0].steps);
}

#[test]
fn news_that_got_lost_on_the_way_is_made_up_for() {
    let mut world = World::settled(15, 2, 2);
    world.faults.no_news = true;
    world.drain("b-engine-0");
    world.run(SECOND * 5);
    world.faults.no_news = false;
    world.run(SECOND * 5);
    for (name, slot) in &world.routers {
        assert_eq!(slot.node.stats().usable, 8, "{name} never heard that an engine leaves");
    }
}

#[test]
fn a_second_copy_of_an_answer_does_not_give_a_running_claim_back() {
    let mut world = World::settled(16, 2, 2);
    world.settles = 0.0;
    let first = world.claim("a-router-0", 5);
    world.run(SECOND);
    let key = world.claim_keys[&first];
    assert_eq!(world.ran[&key], [first]);
    let copy = Frame::Claimed { key, attempt: first, verdict: ClaimVerdict::Yours { fence: 1 } };
    world.frame("a-router-0", "b-router-0", copy);
    world.run(SECOND * 3);
    let second = world.claim("c-router-0", 5);
    world.run(SECOND);
    assert_eq!(world.claims[&second], ClaimVerdict::Running);
    world.assert_at_most_once();
}

#[test]
fn whoever_has_an_answer_gets_it_again_at_any_router() {
    let mut world = World::settled(17, 2, 2);
    world.settles = 1.0;
    // Some keepers are far from the first router and near to the one that is asked next.
    world.faults.delay_us = 20_000;
    let routers = world.live();
    for key in 0..60 {
        let first = world.claim("a-router-0", key);
        while !world.answered.contains(&first) {
            world.run(Duration::from_micros(100));
        }
        let router = &routers[usize::try_from(key).unwrap() % routers.len()];
        let again = world.claim(router, key);
        world.run(SECOND);
        let verdict = &world.claims[&again];
        assert!(matches!(verdict, ClaimVerdict::Ran(_)), "key {key} at {router}: {verdict:?}");
    }
    world.assert_at_most_once();
}

/// What passes a second of a customer with a rate of 20 that asks 200 a second, after a while.
fn passed_in_a_surge(world: &mut World, seconds: u64) -> u64 {
    let mut passed = 0;
    for number in 0..seconds * 200 {
        let live = world.live();
        let router = live[world.rng.random_range(0..live.len())].clone();
        let counts = number >= 200 * (seconds - 10);
        passed += u64::from(world.ask_limited(&router) && counts);
        world.run(SECOND / 200);
    }
    passed / 10
}

#[test]
fn a_customers_rate_holds_over_all_routers() {
    let mut world = World::settled(18, 2, 2);
    let passed = passed_in_a_surge(&mut world, 16);
    assert!((16..=24).contains(&passed), "{passed} a second passed of a rate of 20");
}

#[test]
fn a_customers_rate_holds_on_after_its_keeper_died() {
    let mut world = World::settled(19, 2, 2);
    passed_in_a_surge(&mut world, 12);
    let limited = "limits/limited";
    let keeper = world.routers["a-router-0"].node.fleet().keeper(limited).unwrap();
    world.kill(keeper.as_str());
    let passed = passed_in_a_surge(&mut world, 16);
    assert!((16..=24).contains(&passed), "{passed} a second passed of a rate of 20");
}

#[test]
fn each_side_of_a_cut_holds_a_customer_to_its_rate() {
    let mut world = World::settled(20, 2, 2);
    world.cut("a", "b");
    world.cut("a", "c");
    world.run(SECOND * 4);
    let passed = passed_in_a_surge(&mut world, 16);
    assert!((30..=48).contains(&passed), "{passed} a second passed: twice the rate of 20, once a side");
}

/// A world whose engines have version 1 of their model, and whose configuration says 2.
fn with_new_version(seed: u64) -> World {
    let mut world = World::settled(seed, 3, 4);
    for engine in world.engines.values_mut().filter(|engine| engine.service == "chat") {
        engine.loaded = Some(loaded("1"));
    }
    let text = DOCUMENT.replace("    model: m\n", "    model: m\n    version: \"2\"\n");
    assert!(matches!(world.apply("a-router-0", &text, 1, "v2"), Outcome::Accepted(_)));
    world
}

fn loaded(version: &str) -> Loaded {
    Loaded { model: "m".to_owned(), version: version.to_owned() }
}

/// The router that holds the orders of a zone.
fn order_holder(world: &World, zone: &str) -> String {
    let fleet = world.routers[&world.live()[0]].node.fleet();
    fleet.holder("orders", &zone.parse().unwrap()).unwrap().to_string()
}

fn assert_all_ordered(world: &World) {
    for (name, engine) in world.engines.iter().filter(|(_, engine)| engine.service == "chat") {
        assert_eq!(engine.loaded, Some(loaded("2")), "{name} was never ordered");
        assert_eq!(engine.stale_orders, 0, "{name} got an order of an earlier holder after a later one's");
    }
}

#[test]
fn every_engine_of_a_zone_is_ordered_whichever_router_is_its_home() {
    let mut world = with_new_version(21);
    world.run(SECOND * 30);
    assert_all_ordered(&world);
}

#[test]
fn orders_go_on_after_their_holder_died() {
    let mut world = with_new_version(22);
    world.run(SECOND * 8);
    let holder = order_holder(&world, "a");
    world.kill(&holder);
    world.run(SECOND * 40);
    assert_all_ordered(&world);
}

#[test]
fn a_frozen_holder_gives_no_order_after_its_successor() {
    let mut world = with_new_version(23);
    world.run(SECOND * 8);
    let holder = order_holder(&world, "a");
    world.freeze(&holder, SECOND * 15);
    world.run(SECOND * 45);
    assert_all_ordered(&world);
}
