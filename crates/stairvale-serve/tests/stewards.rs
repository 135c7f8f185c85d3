//! Roll-outs while routers, network links and the store fail: how a service's home, and the routers that succeed it, carry them
//! out.

#![allow(clippy::unwrap_used, clippy::cast_precision_loss)]

mod world;

use std::{collections::BTreeSet, time::Duration};

use quickcheck::quickcheck;
use stairvale_rollout::{Cause, Record, Stage};
use stairvale_table::Cold;
use world::{World, records::Fault, traffic::Traffic};

/// Time for a starting fleet to agree on its members and homes, in ms.
const SETTLE_MS: u64 = 4_000;
/// The time within which the order has to be completed or rolled back.
const ORDER_DEADLINE: Duration = Duration::from_secs(20);
/// The engines of the new version.
const NEW: [usize; 3] = [6, 7, 8];

/// A fleet of nine routers in three zones, without slack for the new version. Engines 0 to 5 run the old version; 6 to 8, which
/// run the new one, register with [`order_new_version`].
fn fleet() -> World {
    fleet_with(0.0)
}

/// A fleet like [`fleet`] that allows the new version `slack` requests beyond its share.
fn fleet_with(slack: f64) -> World {
    let mut world = World::new(9, 3, 0);
    world.bounds.exposure_slack = slack;
    for index in 0..9 {
        world.kill(index);
        world.start(index, 3);
    }
    for engine in 0..6 {
        world.put_engine_version(engine, engine % 3, "v1");
    }
    world.run(SETTLE_MS);
    world
}

fn order_new_version(world: &mut World) -> u64 {
    let order = world.set_order(Some("v2"), ORDER_DEADLINE);
    for engine in NEW {
        world.put_engine_version(engine, engine % 3, "v2");
    }
    order
}

fn is_new(engine: usize) -> bool {
    NEW.contains(&engine)
}

fn sent_to_new(traffic: &Traffic, after: u64) -> usize {
    NEW.iter().map(|engine| traffic.sent_after(*engine, after)).sum()
}

fn stage(world: &World) -> Option<Stage> {
    world.record().map(|(_, record)| record.stage)
}

/// Whether the records of an order are monotonic: the granted requests and the stage never decrease, and a final stage stays.
fn is_monotonic(history: &[Record]) -> bool {
    history.windows(2).all(|pair| {
        let [before, after] = pair else { return true };
        let same_order = before.order == after.order;
        let rank = |stage: Stage| match stage {
            Stage::Trial => 0,
            Stage::Moving => 1,
            Stage::Completed | Stage::RolledBack(_) => 2,
        };
        !same_order
            || after.granted >= before.granted
                && rank(after.stage) >= rank(before.stage)
                && (!before.stage.is_over() || before.stage == after.stage)
    })
}

/// Whether the new version got no more than its bounds allow: its share of all requests since the order plus the slack, and no
/// request later than the roll-back bound after its 50th failure.
fn within_bounds(world: &World, traffic: &Traffic, since: u64, requests_before: u64) -> bool {
    let bounds = world.bounds;
    let requests = traffic.requests() - requests_before;
    let limit = bounds.exposure_share * requests as f64 + bounds.exposure_slack;
    let late = traffic.failed.get(49).is_some_and(|at| sent_to_new(traffic, at + bounds.rollback_ms) > 0);
    sent_to_new(traffic, since) as f64 <= limit && !late
}

#[test]
fn only_the_home_writes_the_record_of_an_order() {
    let mut world = fleet();
    let mut traffic = Traffic::default();
    world.run_with_load(&mut traffic, 1_000, |_| false);
    let order = order_new_version(&mut world);
    world.run_with_load(&mut traffic, 3_000, |_| false);
    let home = world.home(0);
    let (_, record) = world.record().unwrap();
    assert_eq!((record.order, record.target.as_str(), record.stage), (order, "v2", Stage::Trial));
    assert!(world.writers().iter().all(|writer| *writer == home));
    assert!((0..9).all(|index| world.stage(index) == Some(Stage::Trial)));
}

#[test]
fn a_healthy_version_is_completed_in_time_and_replaces_the_old_one() {
    let mut world = fleet();
    let mut traffic = Traffic::default();
    world.run_with_load(&mut traffic, 1_000, |_| false);
    order_new_version(&mut world);
    world.run_with_load(&mut traffic, 20_000, |_| false);
    assert_eq!(stage(&world), Some(Stage::Completed), "{:?}", world.record());
    let now = world.now;
    world.run_with_load(&mut traffic, 1_000, |_| false);
    assert!((0..6).all(|engine| traffic.sent_after(engine, now) == 0));
    assert!(sent_to_new(&traffic, now) > 0);
    assert!(is_monotonic(&world.history()));
}

/// Guards against a trial that never ends because it is paced at a rate of 0: a configuration that sets the cold time of
/// upstreams to zero gives no pace to keep to.
#[test]
fn a_trial_with_zero_cold_time_completes() {
    let mut world = fleet();
    world.cold = Some(Cold { time: Duration::ZERO, pace: 0.0 });
    world.configure();
    let mut traffic = Traffic::default();
    world.run_with_load(&mut traffic, 1_000, |_| false);
    order_new_version(&mut world);
    world.run_with_load(&mut traffic, 20_000, |_| false);
    assert_eq!(stage(&world), Some(Stage::Completed), "{:?}", world.record());
}

#[test]
fn a_failing_version_stays_within_its_share_and_is_rolled_back() {
    let mut world = fleet();
    let mut traffic = Traffic::default();
    world.run_with_load(&mut traffic, 1_000, |_| false);
    let (since, before) = (world.now, traffic.requests());
    order_new_version(&mut world);
    world.run_with_load(&mut traffic, 18_000, is_new);
    assert!(matches!(stage(&world), Some(Stage::RolledBack(Cause::Failing))), "{:?}", world.record());
    assert!(
        within_bounds(&world, &traffic, since, before),
        "{} of {}",
        sent_to_new(&traffic, since),
        traffic.requests()
    );
    let now = world.now;
    world.run_with_load(&mut traffic, 3_000, is_new);
    assert_eq!(sent_to_new(&traffic, now), 0);
}

#[test]
fn a_home_without_store_access_writes_through_peers() {
    let mut world = fleet();
    let mut traffic = Traffic::default();
    let home = world.home(0);
    world.set_store_cut(home, true);
    world.run_with_load(&mut traffic, 1_000, |_| false);
    order_new_version(&mut world);
    world.run_with_load(&mut traffic, 6_000, |_| false);
    let (_, record) = world.record().unwrap();
    assert_eq!(world.home(0), home, "its peers still reach it");
    assert_eq!(record.writer, format!("r{home}").parse().unwrap());
    assert!(!world.writers().contains(&home));
    let watchers: BTreeSet<_> = world.writers().iter().collect();
    assert!(!watchers.is_empty());
    assert!(record.granted > 0, "{record:?}");
    assert!(sent_to_new(&traffic, 0) > 0, "requests reserved through a peer are granted");
}

#[test]
fn the_successor_continues_the_account_of_a_killed_home() {
    let mut world = fleet();
    let mut traffic = Traffic::default();
    world.run_with_load(&mut traffic, 1_000, |_| false);
    let (since, before) = (world.now, traffic.requests());
    order_new_version(&mut world);
    let mut writers = BTreeSet::new();
    for _ in 0..3 {
        world.run_with_load(&mut traffic, 2_500, |_| false);
        writers.extend(world.record().map(|(_, record)| record.writer));
        let home = world.home((0..9).find(|index| world.is_alive(*index)).unwrap());
        world.kill(home);
    }
    world.run_with_load(&mut traffic, 10_000, is_new);
    writers.extend(world.record().map(|(_, record)| record.writer));
    assert!(writers.len() > 1, "{writers:?}");
    assert!(matches!(stage(&world), Some(Stage::RolledBack(_))), "{:?}", world.record());
    assert!(
        within_bounds(&world, &traffic, since, before),
        "{} of {}",
        sent_to_new(&traffic, since),
        traffic.requests()
    );
    assert!(is_monotonic(&world.history()));
}

#[test]
fn the_home_rolls_back_a_withdrawn_order() {
    let mut world = fleet();
    let mut traffic = Traffic::default();
    order_new_version(&mut world);
    world.run_with_load(&mut traffic, 4_000, |_| false);
    world.set_order(None, ORDER_DEADLINE);
    world.run_with_load(&mut traffic, 2_000, |_| false);
    assert_eq!(stage(&world), Some(Stage::RolledBack(Cause::Withdrawn)));
    let now = world.now;
    world.run_with_load(&mut traffic, 2_000, |_| false);
    assert_eq!(sent_to_new(&traffic, now), 0);
}

#[test]
fn no_requests_go_to_the_version_on_trial_while_the_store_is_down() {
    let mut world = fleet();
    let mut traffic = Traffic::default();
    world.run_with_load(&mut traffic, 1_000, |_| false);
    order_new_version(&mut world);
    world.run_with_load(&mut traffic, 3_000, |_| false);
    assert!(sent_to_new(&traffic, 0) > 0);
    world.set_store_down(true);
    world.run_with_load(&mut traffic, 2_500, |_| false);
    let now = world.now;
    world.run_with_load(&mut traffic, 3_000, |_| false);
    assert_eq!(sent_to_new(&traffic, now), 0, "nothing can be reserved");
    world.set_store_down(false);
    let now = world.now;
    world.run_with_load(&mut traffic, 5_000, |_| false);
    assert!(sent_to_new(&traffic, now) > 0, "{:?}", world.record());
    assert!(is_monotonic(&world.history()));
}

#[test]
fn a_version_that_fails_during_a_store_outage_gets_no_requests_from_connected_routers() {
    let mut world = fleet();
    let mut traffic = Traffic::default();
    world.run_with_load(&mut traffic, 1_000, |_| false);
    order_new_version(&mut world);
    // Until the roll-out reaches the moving stage, in which requests need no reservation and only the verdict stops them.
    for _ in 0..400 {
        if stage(&world) == Some(Stage::Moving) {
            break;
        }
        world.run_with_load(&mut traffic, 50, |_| false);
    }
    assert_eq!(stage(&world), Some(Stage::Moving), "{:?}", world.record());
    world.run_with_load(&mut traffic, 300, |_| false);
    world.set_store_down(true);
    world.run_with_load(&mut traffic, 3_000, is_new);
    assert_eq!(stage(&world), Some(Stage::Moving), "the store doesn't have the verdict");
    assert!((0..9).all(|index| world.stage(index) == Some(Stage::RolledBack(Cause::Failing))), "every router has it");
    // The home is killed and restarted: it has only the state that its peers send.
    let home = world.home(0);
    world.kill(home);
    world.run_with_load(&mut traffic, 2_000, is_new);
    world.start(home, 3);
    world.run_with_load(&mut traffic, 2_000, is_new);
    let now = world.now;
    world.run_with_load(&mut traffic, 3_000, is_new);
    assert_eq!(sent_to_new(&traffic, now), 0);
    world.set_store_down(false);
    world.run_with_load(&mut traffic, 4_000, is_new);
    assert!(matches!(stage(&world), Some(Stage::RolledBack(Cause::Failing))), "{:?}", world.record());
}

#[test]
fn the_account_continues_after_a_full_restart() {
    let mut world = fleet();
    let mut traffic = Traffic::default();
    world.run_with_load(&mut traffic, 1_000, |_| false);
    let (since, before) = (world.now, traffic.requests());
    order_new_version(&mut world);
    world.run_with_load(&mut traffic, 4_000, |_| false);
    let granted = world.record().unwrap().1.granted;
    assert!(granted > 0);
    for index in 0..9 {
        world.kill(index);
    }
    world.run(1_000);
    for index in 0..9 {
        world.start(index, 3);
    }
    world.run_with_load(&mut traffic, 5_000, |_| false);
    assert!(world.record().unwrap().1.granted >= granted);
    assert!(is_monotonic(&world.history()));
    let is_trial = stage(&world) == Some(Stage::Trial);
    assert!(!is_trial || within_bounds(&world, &traffic, since, before));
}

#[test]
fn an_isolated_home_grants_nothing_more_and_its_successor_continues() {
    let mut world = fleet();
    let mut traffic = Traffic::default();
    world.run_with_load(&mut traffic, 1_000, |_| false);
    let (since, before) = (world.now, traffic.requests());
    order_new_version(&mut world);
    world.run_with_load(&mut traffic, 3_000, is_new);
    let home = world.home(0);
    for other in (0..9).filter(|other| *other != home) {
        world.set_cut(home, other, true);
    }
    world.run_with_load(&mut traffic, 8_000, is_new);
    for other in (0..9).filter(|other| *other != home) {
        world.set_cut(home, other, false);
    }
    world.run_with_load(&mut traffic, 8_000, is_new);
    assert!(matches!(stage(&world), Some(Stage::RolledBack(_))), "{:?}", world.record());
    assert!(
        within_bounds(&world, &traffic, since, before),
        "{} of {}",
        sent_to_new(&traffic, since),
        traffic.requests()
    );
    assert!(is_monotonic(&world.history()));
}

#[test]
fn a_resumed_home_does_not_use_an_expired_reservation() {
    for pause in [600, 1_500, 2_500, 6_000] {
        let mut world = fleet();
        let mut traffic = Traffic::default();
        world.run_with_load(&mut traffic, 1_000, |_| false);
        let (since, before) = (world.now, traffic.requests());
        order_new_version(&mut world);
        world.run_with_load(&mut traffic, 3_000, |_| false);
        assert!(sent_to_new(&traffic, since) > 0);
        let home = world.home(0);
        // Suspend the home right after a reservation, while most of it is unused.
        let granted = world.record().unwrap().1.granted;
        for _ in 0..400 {
            if world.record().unwrap().1.granted > granted {
                break;
            }
            world.run_with_load(&mut traffic, 10, |_| false);
        }
        world.freeze(home, true);
        world.run_with_load(&mut traffic, pause, is_new);
        world.freeze(home, false);
        let (now, written) = (world.now, world.record().unwrap());
        world.run_with_load(&mut traffic, 50, is_new);
        // A reservation expires after two seconds, so the home grants nothing there before it has made another one.
        let fresh = world.record().unwrap().0 > written.0 || written.1.writer != format!("r{home}").parse().unwrap();
        assert!(pause < 2_000 || fresh || sent_to_new(&traffic, now) == 0, "{pause} ms");
        world.run_with_load(&mut traffic, 10_000, is_new);
        assert!(matches!(stage(&world), Some(Stage::RolledBack(Cause::Failing))), "{pause} ms: {:?}", world.record());
        assert!(within_bounds(&world, &traffic, since, before), "{pause} ms");
        assert!(is_monotonic(&world.history()), "{pause} ms");
    }
}

#[test]
fn a_former_home_does_not_use_its_reservation() {
    let mut world = fleet_with(1_000.0);
    let mut traffic = Traffic::default();
    let first = world.home(0);
    world.kill(first);
    world.run_with_load(&mut traffic, 6_000, |_| false);
    order_new_version(&mut world);
    world.run_with_load(&mut traffic, 6_000, |_| false);
    let second = world.home((first + 1) % 9);
    assert!(second != first && sent_to_new(&traffic, 0) > 0);
    // No requests arrive for a while, so that part of the second home's reservation is unused when the first home returns.
    let granted = world.record().unwrap().1.granted;
    for _ in 0..600 {
        if world.record().unwrap().1.granted > granted {
            break;
        }
        world.run(5);
    }
    assert!(world.record().unwrap().1.granted > granted, "the home made a reservation while there were no requests");
    world.start(first, 3);
    let started = world.now;
    for _ in 0..400 {
        if world.home(second) == first {
            break;
        }
        world.run(5);
    }
    assert!(world.now - started < 1_500, "the reservation must not have expired");
    assert_eq!(world.home(second), first);
    world.run(50);
    for number in 0..30 {
        world.decide_locally(second, number, &[]);
    }
    let places: BTreeSet<_> = (0..30).filter_map(|number| world.granted(second, number)).collect();
    assert!(!places.is_empty());
    assert!(NEW.iter().all(|engine| !places.contains(&format!("e{engine}").parse().unwrap())), "{places:?}");
}

/// Injects a fault or ends one, as chosen by `action`.
fn inject_fault(world: &mut World, router: u8, action: u8) {
    let index = usize::from(router) % 9;
    match action % 12 {
        0 => world.set_store_down(true),
        1 => world.set_store_down(false),
        2 => world.kill(world.home(index)),
        3 => (0..9).for_each(|index| {
            if !world.is_alive(index) {
                world.start(index, 3);
            }
        }),
        4 => world.set_cut(index, (index + 1) % 9, router.is_multiple_of(2)),
        5 => world.record_fault = Fault::Lost,
        6 => world.record_fault = Fault::Late,
        7 => world.record_fault = Fault::Busy,
        8 => (0..9).for_each(|other| world.set_cut(world.home(index), other, router.is_multiple_of(2))),
        9 => world.freeze(world.home(index), true),
        10 => (0..9).for_each(|index| world.freeze(index, false)),
        _ => world.record_fault = Fault::None,
    }
}

/// Ends all faults.
fn end_faults(world: &mut World) {
    world.set_store_down(false);
    world.record_fault = Fault::None;
    for index in 0..9 {
        world.freeze(index, false);
        if !world.is_alive(index) {
            world.start(index, 3);
        }
        (0..9).for_each(|other| world.set_cut(index, other, false));
    }
}

quickcheck! {
    /// Under any faults of homes, links and the store, records are monotonic, a finished roll-out stays finished, and a failing
    /// version gets no more requests than the bound allows.
    fn a_failing_version_stays_within_its_share_under_any_faults(faults: Vec<(u8, u8)>, from: u8, slack: u8) -> bool {
        let mut world = fleet_with(f64::from(slack % 3) * 50.0);
        let mut traffic = Traffic::default();
        world.run_with_load(&mut traffic, 1_000, |_| false);
        let (since, before) = (world.now, traffic.requests());
        order_new_version(&mut world);
        // The version fails from the start, or from some later time on.
        let failing_from = world.now + u64::from(from % 8) * 500;
        for (router, action) in faults.into_iter().take(30) {
            inject_fault(&mut world, router, action);
            let failing = world.now >= failing_from;
            world.run_with_load(&mut traffic, 500, |engine| failing && is_new(engine));
        }
        let fits = within_bounds(&world, &traffic, since, before);
        let history = world.history();
        fits && is_monotonic(&history)
    }

    /// After any faults have ended, the roll-out ends with the same stage at all routers, and a healthy version isn't rolled back
    /// as failing.
    fn a_roll_out_ends_after_any_faults(faults: Vec<(u8, u8)>, healthy: bool) -> bool {
        let mut world = fleet_with(50.0);
        let mut traffic = Traffic::default();
        world.run_with_load(&mut traffic, 1_000, |_| false);
        order_new_version(&mut world);
        let is_failing = |engine| !healthy && is_new(engine);
        for (router, action) in faults.into_iter().take(20) {
            inject_fault(&mut world, router, action);
            world.run_with_load(&mut traffic, 500, is_failing);
        }
        end_faults(&mut world);
        world.run_with_load(&mut traffic, 45_000, is_failing);
        let last = stage(&world);
        let is_expected = match last {
            Some(Stage::Completed) => healthy,
            Some(Stage::RolledBack(Cause::Failing | Cause::Slow)) => !healthy,
            Some(Stage::RolledBack(Cause::Unproven)) => true,
            Some(Stage::RolledBack(Cause::Withdrawn | Cause::Missing) | Stage::Trial | Stage::Moving) | None => false,
        };
        is_expected && (0..9).all(|index| world.stage(index) == last) && is_monotonic(&world.history())
    }
}
