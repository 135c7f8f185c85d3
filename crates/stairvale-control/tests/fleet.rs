//! Several routers together, without faults and with single faults.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod world;

use std::time::Duration;

use rand::Rng;
use stairvale_control::{apply::Outcome, orders::Loaded};
use stairvale_permit::account::SETTLE_TIME;
use stairvale_wire::{ClaimVerdict, Frame};
use world::{DOCUMENT, RequestState, World};

const SECOND: Duration = Duration::from_secs(1);
/// A deadline that requests of these tests don't reach.
const LONG_DEADLINE: Duration = Duration::from_secs(20);

/// Sends chat requests at a steady rate to random available routers.
fn send_load(world: &mut World, seconds: u64, requests_per_second: u64) {
    for _ in 0..seconds * requests_per_second {
        let live = world.available_routers();
        let router = live[world.rng.random_range(0..live.len())].clone();
        let chat = world.rng.random_range(0..200);
        world.send_request(&router, "chat", Some(chat), LONG_DEADLINE);
        world.run(SECOND / u32::try_from(requests_per_second).unwrap());
    }
}

#[test]
fn all_routers_join_and_agree_on_homes() {
    let world = World::settled(1, 2, 2);
    for (name, router) in &world.routers {
        assert_eq!(router.node.stats().routers, 6, "{name} hasn't recorded all routers");
        assert_eq!(router.node.stats().usable, 9, "{name} doesn't count all upstreams as usable");
    }
    let homes =
        |name: &str| world.routers[name].node.fleet().homes().map(|(u, h)| (u.clone(), h.cloned())).collect::<Vec<_>>();
    assert_eq!(homes("a-router-0"), homes("c-router-1"));
}

#[test]
fn requests_of_a_chat_reach_the_same_engine_from_any_router() {
    let mut world = World::settled(2, 2, 3);
    let mut engines_used = Vec::new();
    for router in world.available_routers() {
        world.send_request(&router, "chat", Some(77), LONG_DEADLINE);
        world.run(SECOND);
        engines_used.push(world.grants.last().unwrap().1.upstream.clone());
    }
    engines_used.dedup();
    assert_eq!(engines_used.len(), 1, "requests of one chat reached several engines: {engines_used:?}");
}

#[test]
fn load_stays_within_the_bound_and_no_permits_leak() {
    let mut world = World::settled(3, 2, 3);
    send_load(&mut world, 5, 100);
    let over: u64 = world.routers.values().map(|router| router.node.stats().home.over_bound).sum();
    assert_eq!(over, 0);
    world.run(Duration::from_secs(3));
    world.assert_no_request_waits();
    world.assert_no_leaks();
}

#[test]
fn permits_of_a_dead_router_are_released() {
    let mut world = World::settled(4, 2, 2);
    world.run_time_range_us = (20_000_000, 20_000_000);
    for _ in 0..6 {
        world.send_request("a-router-0", "chat", None, LONG_DEADLINE);
        world.run(SECOND / 5);
    }
    world.kill_router("a-router-0");
    world.run(Duration::from_secs(5));
    let held: usize = world
        .routers
        .values()
        .filter(|s| s.alive)
        .map(|s| s.node.home().upstreams().map(|u| s.node.home().outstanding(u).unwrap()).sum::<usize>())
        .sum();
    assert_eq!(held, 0, "permits of the dead entry router are still held");
}

#[test]
fn the_successor_of_a_dead_home_accounts_for_running_requests() {
    let mut world = World::settled(5, 2, 2);
    world.run_time_range_us = (15_000_000, 15_000_000);
    for _ in 0..8 {
        world.send_request("b-router-0", "chat", None, LONG_DEADLINE);
        world.run(SECOND / 5);
    }
    world.kill_router("a-router-0");
    world.run(Duration::from_secs(5));
    world.assert_no_leaks();
    send_load(&mut world, 2, 20);
    world.run(Duration::from_secs(20));
    world.assert_no_request_waits();
}

#[test]
fn a_home_accounts_for_running_requests_after_a_pause() {
    // Tries pauses at several offsets between two renewals, which are 3 s apart.
    for offset in 0..10 {
        let mut world = World::settled(14, 2, 2);
        world.run_time_range_us = (30_000_000, 30_000_000);
        for _ in 0..20 {
            world.send_request("b-router-0", "chat", None, LONG_DEADLINE);
            world.run(SECOND / 20);
        }
        world.run(SECOND * offset / 3);
        let home = world.routers["a-router-0"].node.home();
        let held: usize = home.upstreams().map(|upstream| home.outstanding(upstream).unwrap()).sum();
        assert!(held > 0, "the test requires a home that has granted permits");
        world.pause_router("a-router-0", SECOND);
        world.run(SECOND);
        world.run(SETTLE_TIME);
        assert_eq!(world.routers["a-router-0"].node.stats().home.distrusted, 1);
        world.assert_no_leaks();
    }
}

#[test]
fn a_paused_router_discards_its_accounts() {
    let mut world = World::settled(6, 2, 2);
    send_load(&mut world, 1, 50);
    world.pause_router("a-router-0", Duration::from_secs(4));
    send_load(&mut world, 4, 50);
    send_load(&mut world, 4, 50);
    assert_eq!(world.routers["a-router-0"].node.stats().home.distrusted, 1);
    world.run(Duration::from_secs(6));
    world.assert_no_request_waits();
    world.assert_no_leaks();
}

#[test]
fn a_partitioned_zone_serves_itself_and_rejoins() {
    let mut world = World::settled(7, 2, 2);
    world.partition("a", "b");
    world.partition("a", "c");
    world.partition("a", "platform");
    world.run(Duration::from_secs(4));
    let before = world.grants.len();
    for _ in 0..20 {
        world.send_request("a-router-0", "chat", Some(5), LONG_DEADLINE);
        world.run(SECOND / 10);
    }
    let served = world.grants[before..].iter().filter(|(_, grant)| grant.upstream.as_str().starts_with("a-")).count();
    assert_eq!(served, 20, "a partitioned zone must serve requests from its own engines");
    world.heal_partitions();
    world.run(Duration::from_secs(8));
    for (name, router) in &world.routers {
        assert_eq!(router.node.stats().routers, 6, "{name} hasn't recorded all routers after the partition");
        assert_eq!(router.node.stats().usable, 9, "{name} doesn't count all upstreams as usable after the partition");
    }
    world.assert_no_leaks();
}

#[test]
fn a_draining_engine_gets_no_requests_after_two_seconds_even_during_a_store_outage() {
    let mut world = World::settled(8, 2, 2);
    world.faults.store_outage = true;
    world.drain_engine("b-engine-0");
    let drain_started = world.now;
    send_load(&mut world, 6, 100);
    let last = world.engines["b-engine-0"].last_request_at;
    assert!(
        last < drain_started + 2_000_000,
        "a new request came {} ms after the engine reported that it drains",
        (last - drain_started) / 1_000
    );
}

#[test]
fn a_planned_stop_interrupts_no_request() {
    let mut world = World::settled(9, 2, 2);
    send_load(&mut world, 1, 60);
    world.send_request("b-router-1", "chat", Some(9), LONG_DEADLINE);
    world.run(SECOND / 50);
    world.begin_stop("b-router-1");
    send_load(&mut world, 3, 60);
    assert!(!world.routers["b-router-1"].node.is_ready());
    assert!(world.routers["b-router-1"].node.is_idle(), "its requests in flight must have ended");
    assert_eq!(
        world.routers["b-router-1"].node.home().upstreams().count(),
        0,
        "it must have handed over its home role for all upstreams"
    );
    world.run(Duration::from_secs(3));
    world.assert_no_request_waits();
    let interrupted = world.request_states.values().filter(|state| **state == RequestState::EntryDied).count();
    assert_eq!(interrupted, 0);
}

#[test]
fn an_accepted_configuration_reaches_all_routers_in_a_second_and_a_conflicting_one_is_rejected() {
    let mut world = World::settled(10, 3, 2);
    let second = format!("{DOCUMENT}# second\n");
    assert!(matches!(world.apply("b-router-0", &second, 1, "s2"), Outcome::Accepted(_)));
    let third = format!("{DOCUMENT}# third\n");
    assert!(matches!(world.apply("c-router-0", &third, 1, "s3"), Outcome::Conflict(_)));
    world.run(SECOND);
    world.assert_one_generation();
}

#[test]
fn an_evacuated_zone_gets_no_requests_until_it_is_restored() {
    let mut world = World::settled(10, 3, 2);
    let grants_in_zone_b = |world: &mut World, first_chat: u64| {
        for chat in first_chat..first_chat + 30 {
            world.send_request("a-router-0", "chat", Some(chat), LONG_DEADLINE);
        }
        world.run(SECOND);
        let names: Vec<_> = world.grants.iter().map(|(_, grant)| grant.upstream.to_string()).collect();
        world.grants.clear();
        names.into_iter().filter(|engine| engine.starts_with("b-")).count()
    };
    assert!(grants_in_zone_b(&mut world, 0) > 0);
    assert!(matches!(world.evacuate("a-router-0", "b", true, "e1"), Outcome::Accepted(_)));
    world.run(SECOND);
    world.assert_one_generation();
    assert_eq!(grants_in_zone_b(&mut world, 100), 0);
    // Another document leaves the zone evacuated. So does a repeated evacuation, which creates no generation.
    let second = format!("{DOCUMENT}# second\n");
    assert!(matches!(world.apply("c-router-0", &second, 2, "s2"), Outcome::Accepted(_)));
    let Outcome::Accepted(manifest) = world.evacuate("c-router-0", "b", true, "e2") else { panic!() };
    assert_eq!(manifest.generation().0, 3);
    world.run(SECOND);
    assert_eq!(grants_in_zone_b(&mut world, 200), 0);
    assert!(matches!(world.evacuate("b-router-0", "b", false, "r1"), Outcome::Accepted(_)));
    world.run(SECOND);
    assert!(grants_in_zone_b(&mut world, 300) > 0);
}

#[test]
fn evacuations_by_two_operators_both_take_effect_even_with_lost_answers() {
    for lost in [0.0, 0.4] {
        let mut world = World::settled(17, 3, 2);
        world.faults.lost_answer_rate = lost;
        let first = world.evacuate("a-router-0", "a", true, "e1");
        let second = world.evacuate("c-router-0", "b", true, "e2");
        world.faults.lost_answer_rate = 0.0;
        for (outcome, zone, id) in [(first, "a", "e1"), (second, "b", "e2")] {
            // An operator who got no answer submits again with the same id.
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
fn a_router_that_starts_during_a_store_outage_takes_its_configuration_from_peers() {
    let mut world = World::settled(11, 2, 2);
    world.faults.store_outage = true;
    world.add_router("a-router-9", "a");
    assert!(!world.routers["a-router-9"].node.is_ready());
    world.run(Duration::from_secs(4));
    assert!(world.routers["a-router-9"].node.is_ready());
    world.send_request("a-router-9", "chat", Some(3), LONG_DEADLINE);
    world.run(SECOND);
    assert_eq!(world.grants.len(), 1, "the new router must serve the request");
}

#[test]
fn explain_shows_where_a_request_was_granted() {
    let mut world = World::settled(12, 2, 2);
    let attempt = world.send_request("a-router-0", "chat", Some(4), LONG_DEADLINE);
    world.run(SECOND);
    let records = world.routers["a-router-0"].node.explain(&attempt.to_string());
    assert_eq!(records[0].upstream.as_ref(), Some(&world.grants[0].1.upstream));
    assert!(records[0].steps.iter().any(|step| step.contains("granted")), "{:?}", records[0].steps);
}

#[test]
fn lost_upstream_updates_are_recovered() {
    let mut world = World::settled(15, 2, 2);
    world.faults.drop_upstream_updates = true;
    world.drain_engine("b-engine-0");
    world.run(SECOND * 5);
    world.faults.drop_upstream_updates = false;
    world.run(SECOND * 5);
    for (name, router) in &world.routers {
        assert_eq!(router.node.stats().usable, 8, "{name} didn't receive the update that an engine drains");
    }
}

#[test]
fn a_duplicate_claim_answer_does_not_return_a_running_claim() {
    let mut world = World::settled(16, 2, 2);
    world.settle_probability = 0.0;
    let first = world.send_claim("a-router-0", 5);
    world.run(SECOND);
    let key = world.claim_keys[&first];
    assert_eq!(world.executions[&key], [first]);
    let copy = Frame::Claimed { key, attempt: first, verdict: ClaimVerdict::Yours { fence: 1 } };
    world.deliver_frame("a-router-0", "b-router-0", copy);
    world.run(SECOND * 3);
    let second = world.send_claim("c-router-0", 5);
    world.run(SECOND);
    assert_eq!(world.claim_verdicts[&second], ClaimVerdict::Running);
    world.assert_at_most_once();
}

#[test]
fn a_repeated_request_gets_the_stored_answer_at_any_router() {
    let mut world = World::settled(17, 2, 2);
    world.settle_probability = 1.0;
    // With long delays, the owner of some keys is far from the first router and close to the router of the repeated
    // request.
    world.faults.max_delay_us = 20_000;
    let routers = world.available_routers();
    for key in 0..60 {
        let first = world.send_claim("a-router-0", key);
        while !world.answered.contains(&first) {
            world.run(Duration::from_micros(100));
        }
        let router = &routers[usize::try_from(key).unwrap() % routers.len()];
        let repeated = world.send_claim(router, key);
        world.run(SECOND);
        let verdict = &world.claim_verdicts[&repeated];
        assert!(matches!(verdict, ClaimVerdict::Ran(_)), "key {key} at {router}: {verdict:?}");
    }
    world.assert_at_most_once();
}

/// Sends 200 requests a second of a customer whose rate is 20/s. Returns how many a second passed in the last 10 s.
fn passed_per_second_under_overload(world: &mut World, seconds: u64) -> u64 {
    let mut passed = 0;
    for number in 0..seconds * 200 {
        let live = world.available_routers();
        let router = live[world.rng.random_range(0..live.len())].clone();
        let is_measured = number >= 200 * (seconds - 10);
        passed += u64::from(world.send_limited_request(&router) && is_measured);
        world.run(SECOND / 200);
    }
    passed / 10
}

#[test]
fn a_customers_rate_limit_holds_over_all_routers() {
    let mut world = World::settled(18, 2, 2);
    let passed = passed_per_second_under_overload(&mut world, 16);
    assert!((16..=24).contains(&passed), "{passed} requests a second passed with a rate of 20/s");
}

#[test]
fn a_customers_rate_limit_holds_after_its_account_owner_died() {
    let mut world = World::settled(19, 2, 2);
    passed_per_second_under_overload(&mut world, 12);
    let job = "limits/limited";
    let owner = world.routers["a-router-0"].node.fleet().owner(job).unwrap();
    world.kill_router(owner.as_str());
    let passed = passed_per_second_under_overload(&mut world, 16);
    assert!((16..=24).contains(&passed), "{passed} requests a second passed with a rate of 20/s");
}

#[test]
fn each_side_of_a_partition_enforces_a_customers_rate() {
    let mut world = World::settled(20, 2, 2);
    world.partition("a", "b");
    world.partition("a", "c");
    world.run(SECOND * 4);
    let passed = passed_per_second_under_overload(&mut world, 16);
    assert!(
        (30..=48).contains(&passed),
        "{passed} requests a second passed; each of the two sides should pass the rate of 20/s"
    );
}

/// Creates a simulation whose engines have loaded version 1 of their model, while the configuration requires version 2.
fn with_version_change(seed: u64) -> World {
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

/// The router that gives the orders to the engines of a zone.
fn order_holder(world: &World, zone: &str) -> String {
    let fleet = world.routers[&world.available_routers()[0]].node.fleet();
    fleet.zone_owner("orders", &zone.parse().unwrap()).unwrap().to_string()
}

fn assert_all_engines_loaded_new_version(world: &World) {
    for (name, engine) in world.engines.iter().filter(|(_, engine)| engine.service == "chat") {
        assert_eq!(engine.loaded, Some(loaded("2")), "{name} hasn't loaded the new version");
        assert_eq!(engine.stale_orders, 0, "{name} received an order of an earlier holder after one of its successor");
    }
}

#[test]
fn every_engine_of_a_zone_gets_its_order_whichever_router_is_its_home() {
    let mut world = with_version_change(21);
    world.run(SECOND * 30);
    assert_all_engines_loaded_new_version(&world);
}

#[test]
fn orders_continue_after_their_holder_died() {
    let mut world = with_version_change(22);
    world.run(SECOND * 8);
    let holder = order_holder(&world, "a");
    world.kill_router(&holder);
    world.run(SECOND * 40);
    assert_all_engines_loaded_new_version(&world);
}

#[test]
fn a_paused_holder_gives_no_order_after_its_successor() {
    let mut world = with_version_change(23);
    world.run(SECOND * 8);
    let holder = order_holder(&world, "a");
    world.pause_router(&holder, SECOND * 15);
    world.run(SECOND * 45);
    assert_all_engines_loaded_new_version(&world);
}

/// Guards against routers that lack the same update and, since they agree with each other, don't look for it. Within ten seconds all
/// routers have to agree on the upstreams.
#[test]
fn an_update_lost_at_several_routers_is_recovered_in_time() {
    for seed in 0..20 {
        let mut world = World::settled(seed, 2, 2);
        world.faults.drop_upstream_updates = true;
        world.drain_engine("b-engine-0");
        world.run(SECOND * 10);
        for (name, router) in &world.routers {
            assert_eq!(router.node.stats().usable, 8, "seed {seed}: {name} lacks the update that an engine drains");
        }
    }
}
