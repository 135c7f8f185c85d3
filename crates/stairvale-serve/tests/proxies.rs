//! Roll-outs whose home can't write to the store itself: which peers write for it.

#![allow(clippy::unwrap_used)]

mod world;

use std::{collections::BTreeSet, time::Duration};

use stairvale_serve::core::{Obstacle, ProxyReport};
use world::World;

/// Time for a starting fleet to agree on its members and homes, in ms.
const SETTLE_MS: u64 = 4_000;
/// Time within which a home has to find a peer that writes for it, in ms: some rounds of its own attempt, which may time out after
/// 1 s, and a peer's.
const WRITE_MS: u64 = 6_000;
/// The time within which orders have to be completed or rolled back; long enough that no test reaches it.
const ORDER_DEADLINE: Duration = Duration::from_secs(600);

/// A fleet that reads a store with epochs. All routers start at once after `delay` ms, which also decides their random choices.
fn fleet(routers: usize, zones: usize, delay: u64) -> World {
    let mut world = World::new(routers, zones, 0);
    world.enable_epochs();
    for index in 0..routers {
        world.kill(index);
    }
    world.run(delay);
    for index in 0..routers {
        world.start(index, zones);
    }
    for engine in 0..4 {
        world.put_engine_version(engine, engine % zones, "v1");
    }
    world.run(SETTLE_MS);
    world
}

/// Orders a new version, and starts an engine that runs it.
fn order(world: &mut World) {
    world.set_order(Some("v2"), ORDER_DEADLINE);
    world.put_engine_version(4, 0, "v2");
}

/// The zones' watchers.
fn watchers(world: &World) -> BTreeSet<usize> {
    (0..world.nodes.len()).filter(|index| world.nodes[*index].core.is_watcher()).collect()
}

fn reader(world: &World) -> usize {
    (0..world.nodes.len()).find(|index| world.nodes[*index].core.is_reader(world.local_time(*index))).unwrap()
}

/// Starts fleets at forty different times. `refuse` selects the routers whose writes the store refuses, and `cut` those that can't
/// reach the store, given the fleet and its home. Returns the delays of the fleets in which the order's record wasn't written.
fn failures(
    routers: usize,
    zones: usize,
    refuse: impl Fn(&World, usize) -> BTreeSet<usize>,
    cut: impl Fn(&World, usize) -> BTreeSet<usize>,
) -> Vec<u64> {
    let fails = |delay: &u64| {
        let mut world = fleet(routers, zones, *delay);
        let home = world.home(0);
        world.refused_writers = refuse(&world, home);
        for index in cut(&world, home) {
            world.set_store_cut(index, true);
        }
        order(&mut world);
        world.run(WRITE_MS);
        world.record().is_none()
    };
    (0..40).map(|start| 5 * start).filter(fails).collect()
}

/// Guards against a home that never learns that the fleet's reader can write for it, since the reader has no reason to sync with it.
#[test]
fn a_home_writes_through_a_reader_that_never_requested_anything_from_it() {
    let failed = failures(3, 1, |_, home| BTreeSet::from([home]), |_, _| BTreeSet::new());
    assert!(failed.is_empty(), "{failed:?}");
}

/// Guards against a home whose whole zone can't reach the store, and that never exchanged a frame with another zone's watcher.
#[test]
fn a_home_whose_zone_is_cut_from_the_store_writes_through_another_zone() {
    let zone = |_: &World, home: usize| (0..9).filter(|index| index % 3 == home % 3).collect();
    let failed = failures(9, 3, |_, _| BTreeSet::new(), zone);
    assert!(failed.is_empty(), "{failed:?}");
}

/// Guards against a home that only asks routers which read the store, and whose writes the store refuses as well.
#[test]
fn a_home_writes_through_any_router_if_the_store_refuses_all_watchers_writes() {
    let refuse = |world: &World, home: usize| {
        let mut refused = watchers(world);
        refused.extend([home, reader(world)]);
        refused
    };
    let failed = failures(9, 3, refuse, |_, _| BTreeSet::new());
    assert!(failed.is_empty(), "{failed:?}");
}

/// Guards against a proxy that was restarted, or that the home forgot, and isn't asked any more.
#[test]
fn a_home_writes_through_proxies_that_were_restarted() {
    for delay in (0..40).map(|start| 5 * start) {
        let mut world = fleet(9, 3, delay);
        let home = world.home(0);
        world.refused_writers = BTreeSet::from([home]);
        order(&mut world);
        world.run(WRITE_MS);
        let written = world.record().map(|(_, record)| record.number);
        assert!(written.is_some(), "{delay}");
        for index in (0..9).filter(|index| *index != home) {
            world.kill(index);
        }
        world.run(SETTLE_MS);
        for index in (0..9).filter(|index| *index != home) {
            world.start(index, 3);
        }
        world.run(SETTLE_MS + WRITE_MS);
        let home = world.home(0);
        world.refused_writers = BTreeSet::from([home]);
        let before = world.history().len();
        world.set_order(None, ORDER_DEADLINE);
        world.run(WRITE_MS);
        assert!(world.history().len() > before, "{delay}");
    }
}

/// Guards against a write that is refused for ever without a report, and against a home that doesn't recover from that.
#[test]
fn a_home_without_any_proxy_reports_it_once_and_writes_as_soon_as_it_can() {
    let mut world = fleet(9, 3, 0);
    let home = world.home(0);
    world.refused_writers = (0..9).collect();
    order(&mut world);
    world.run(20_000);
    assert!(world.record().is_none());
    let [(index, ProxyReport::NotFound(excluded))] = &world.proxy_reports[..] else {
        panic!("{:?}", world.proxy_reports);
    };
    assert_eq!(*index, home);
    assert!(excluded.len() > 3 && excluded.iter().all(|(_, why)| *why == Obstacle::Failed), "{excluded:?}");
    assert!(world.writes_without_proxy > 1);
    let proxy = (0..9).find(|index| *index != home && !watchers(&world).contains(index)).unwrap();
    world.refused_writers.remove(&proxy);
    world.run(2 * WRITE_MS);
    assert_eq!(world.record().map(|(_, record)| record.writer), Some(format!("r{home}").parse().unwrap()));
    assert_eq!(world.proxy_reports[1..], [(home, ProxyReport::Found(format!("r{proxy}").parse().unwrap()))]);
}

/// Guards against reports that don't say why a peer isn't asked.
#[test]
fn a_home_beside_routers_without_epochs_reports_why_it_has_no_proxy() {
    let mut world = World::new(9, 3, 0);
    world.enable_epochs();
    world.run(SETTLE_MS);
    let home = world.home(0);
    let mut world = World::new(9, 3, 0);
    world.enable_epochs();
    world.without_epochs = (0..9).filter(|index| *index != home).collect();
    for engine in 0..4 {
        world.put_engine_version(engine, engine % 3, "v1");
    }
    world.run(SETTLE_MS);
    world.refused_writers = BTreeSet::from([home]);
    order(&mut world);
    world.run(WRITE_MS);
    assert!(world.writes_without_proxy > 0);
    let [(index, ProxyReport::NotFound(excluded))] = &world.proxy_reports[..] else {
        panic!("{:?}", world.proxy_reports);
    };
    assert_eq!(*index, home);
    assert!(!excluded.is_empty() && excluded.iter().all(|(_, why)| *why == Obstacle::Epochs), "{excluded:?}");
}
