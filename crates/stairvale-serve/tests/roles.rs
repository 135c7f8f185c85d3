//! Who watches for a zone and who reads for the fleet follows from names and strengths alone. Builds that serve side by side must
//! agree on it: the answers are recorded from the earlier build.

#![allow(clippy::unwrap_used)]

mod world;

use world::World;

/// The watchers, by zone, and the reader of a fleet of so many routers in so many zones.
fn roles(strengths: Vec<u32>, zones: usize) -> (Vec<usize>, Vec<usize>) {
    let routers = strengths.len();
    let mut world = World::with_strengths(strengths, zones, 4);
    world.run(8_000);
    let is_reader = |index: &usize| world.nodes[*index].core.is_reader(world.local(*index));
    let watchers = (0..routers).filter(|index| world.nodes[*index].core.is_watcher()).collect();
    (watchers, (0..routers).filter(is_reader).collect())
}

#[test]
fn watchers_and_reader_are_those_that_the_earlier_build_chooses() {
    assert_eq!(roles(vec![25; 2], 1), (vec![1], vec![1]));
    assert_eq!(roles(vec![25; 9], 3), (vec![1, 2, 6], vec![1]));
    assert_eq!(roles(vec![25; 20], 4), (vec![1, 4, 18, 19], vec![19]));
    assert_eq!(
        roles((0..30).map(|index| if index % 7 < 3 { 50 } else { 12 }).collect(), 5),
        (vec![1, 2, 14, 15, 28], vec![1])
    );
}
