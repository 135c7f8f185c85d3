//! The watcher of each zone and the reader of the fleet are derived from the routers' names and strengths only. Builds that run in
//! one fleet have to agree on them, so the expected results were recorded from the earlier build.

#![allow(clippy::unwrap_used)]

mod world;

use world::World;

/// The watchers of all zones, and the readers, of a fleet with these strengths and so many zones.
fn roles(strengths: Vec<u32>, zones: usize) -> (Vec<usize>, Vec<usize>) {
    let routers = strengths.len();
    let mut world = World::with_strengths(strengths, zones, 4);
    world.run(8_000);
    let is_reader = |index: &usize| world.nodes[*index].core.is_reader(world.local_time(*index));
    let watchers = (0..routers).filter(|index| world.nodes[*index].core.is_watcher()).collect();
    (watchers, (0..routers).filter(is_reader).collect())
}

#[test]
fn watchers_and_reader_match_the_earlier_build() {
    assert_eq!(roles(vec![25; 2], 1), (vec![1], vec![1]));
    assert_eq!(roles(vec![25; 9], 3), (vec![1, 2, 6], vec![1]));
    assert_eq!(roles(vec![25; 20], 4), (vec![1, 4, 18, 19], vec![19]));
    assert_eq!(
        roles((0..30).map(|index| if index % 7 < 3 { 50 } else { 12 }).collect(), 5),
        (vec![1, 2, 14, 15, 28], vec![1])
    );
}
