//! A service moves to another version while routers, ways and the store fail: what its homes do, one after the other.

#![allow(clippy::unwrap_used, clippy::cast_precision_loss)]

mod world;

use std::{collections::BTreeSet, time::Duration};

use quickcheck::quickcheck;
use stairvale_rollout::{Cause, Record, Stage};
use stairvale_table::Cold;
use world::{World, records::Trouble, traffic::Traffic};

/// By then a fleet that starts knows itself and its homes, in ms.
const FOUND: u64 = 4_000;
/// What the order allows.
const OVER: Duration = Duration::from_secs(20);
/// The new version's engines.
const NEW: [usize; 3] = [6, 7, 8];

/// Nine routers in three zones; engines 0 to 5 are old, 6 to 8 new.
fn fleet() -> World {
    fleet_with(0.0)
}

/// The same with so many requests beyond the new version's share.
fn fleet_with(slack: f64) -> World {
    let mut world = World::new(9, 3, 0);
    world.bounds.exposure_slack = slack;
    for index in 0..9 {
        world.kill(index);
        world.start(index, 3);
    }
    for engine in 0..6 {
        world.put_version(engine, engine % 3, "v1");
    }
    world.run(FOUND);
    world
}

fn order(world: &mut World) -> u64 {
    let order = world.order(Some("v2"), OVER);
    for engine in NEW {
        world.put_version(engine, engine % 3, "v2");
    }
    order
}

fn is_new(engine: usize) -> bool {
    NEW.contains(&engine)
}

fn to_new(traffic: &Traffic, after: u64) -> usize {
    NEW.iter().map(|engine| traffic.sent_after(*engine, after)).sum()
}

fn stage(world: &World) -> Option<Stage> {
    world.record().map(|(_, record)| record.stage)
}

/// Whether no record goes back on the one before it, and nothing was given that wasn't reserved before.
fn only_goes_on(history: &[Record]) -> bool {
    history.windows(2).all(|pair| {
        let [before, after] = pair else { return true };
        let same = before.order == after.order;
        let rank = |stage: Stage| match stage {
            Stage::Trial => 0,
            Stage::Moving => 1,
            Stage::Completed | Stage::RolledBack(_) => 2,
        };
        !same
            || after.granted >= before.granted
                && rank(after.stage) >= rank(before.stage)
                && (!before.stage.is_over() || before.stage == after.stage)
    })
}

/// Whether the new version got no more than the bounds say: its share of all requests since the order, and some; and nothing
/// later than is set after its 50th bad answer.
fn within_bounds(world: &World, traffic: &Traffic, since: u64, requests_before: u64) -> bool {
    let bounds = world.bounds;
    let requests = traffic.requests() - requests_before;
    let most = bounds.exposure_share * requests as f64 + bounds.exposure_slack;
    let late = traffic.bad.get(49).is_some_and(|at| to_new(traffic, at + bounds.rollback_ms) > 0);
    to_new(traffic, since) as f64 <= most && !late
}

#[test]
fn the_home_takes_an_order_up_and_nobody_else_writes() {
    let mut world = fleet();
    let mut traffic = Traffic::default();
    world.serve_all(&mut traffic, 1_000, |_| false);
    let order = order(&mut world);
    world.serve_all(&mut traffic, 3_000, |_| false);
    let home = world.home(0);
    let (_, record) = world.record().unwrap();
    assert_eq!((record.order, record.target.as_str(), record.stage), (order, "v2", Stage::Trial));
    assert!(world.writers().iter().all(|writer| *writer == home));
    assert!((0..9).all(|index| world.stage(index) == Some(Stage::Trial)));
}

#[test]
fn a_good_version_is_completed_in_time_and_the_old_one_gets_nothing_then() {
    let mut world = fleet();
    let mut traffic = Traffic::default();
    world.serve_all(&mut traffic, 1_000, |_| false);
    order(&mut world);
    world.serve_all(&mut traffic, 20_000, |_| false);
    assert_eq!(stage(&world), Some(Stage::Completed), "{:?}", world.record());
    let now = world.now;
    world.serve_all(&mut traffic, 1_000, |_| false);
    assert!((0..6).all(|engine| traffic.sent_after(engine, now) == 0));
    assert!(to_new(&traffic, now) > 0);
    assert!(only_goes_on(&world.history()));
}

/// A service of which the configuration says that its upstreams are cold for no time at all: there is no pace to keep to, and
/// a trial that kept to none at all would never end.
#[test]
fn upstreams_that_are_never_cold_are_tried_as_fast_as_others() {
    let mut world = fleet();
    world.cold = Some(Cold { time: Duration::ZERO, pace: 0.0 });
    world.configure();
    let mut traffic = Traffic::default();
    world.serve_all(&mut traffic, 1_000, |_| false);
    order(&mut world);
    world.serve_all(&mut traffic, 20_000, |_| false);
    assert_eq!(stage(&world), Some(Stage::Completed), "{:?}", world.record());
}

#[test]
fn a_bad_version_gets_its_share_at_most_and_soon_nothing() {
    let mut world = fleet();
    let mut traffic = Traffic::default();
    world.serve_all(&mut traffic, 1_000, |_| false);
    let (since, before) = (world.now, traffic.requests());
    order(&mut world);
    world.serve_all(&mut traffic, 18_000, is_new);
    assert!(matches!(stage(&world), Some(Stage::RolledBack(Cause::Failing))), "{:?}", world.record());
    assert!(within_bounds(&world, &traffic, since, before), "{} of {}", to_new(&traffic, since), traffic.requests());
    let now = world.now;
    world.serve_all(&mut traffic, 3_000, is_new);
    assert_eq!(to_new(&traffic, now), 0);
}

#[test]
fn a_home_whose_way_to_the_store_is_cut_writes_through_others() {
    let mut world = fleet();
    let mut traffic = Traffic::default();
    let home = world.home(0);
    world.set_store_cut(home, true);
    world.serve_all(&mut traffic, 1_000, |_| false);
    order(&mut world);
    world.serve_all(&mut traffic, 6_000, |_| false);
    let (_, record) = world.record().unwrap();
    assert_eq!(world.home(0), home, "its peers still hear of it");
    assert_eq!(record.writer, format!("r{home}").parse().unwrap());
    assert!(!world.writers().contains(&home));
    let watchers: BTreeSet<_> = world.writers().iter().collect();
    assert!(!watchers.is_empty());
    assert!(record.granted > 0, "{record:?}");
    assert!(to_new(&traffic, 0) > 0, "what was reserved so is given, too");
}

#[test]
fn the_next_home_goes_on_with_the_account_of_one_that_was_killed() {
    let mut world = fleet();
    let mut traffic = Traffic::default();
    world.serve_all(&mut traffic, 1_000, |_| false);
    let (since, before) = (world.now, traffic.requests());
    order(&mut world);
    let mut writers = BTreeSet::new();
    for _ in 0..3 {
        world.serve_all(&mut traffic, 2_500, |_| false);
        writers.extend(world.record().map(|(_, record)| record.writer));
        let home = world.home((0..9).find(|index| world.is_alive(*index)).unwrap());
        world.kill(home);
    }
    world.serve_all(&mut traffic, 10_000, is_new);
    writers.extend(world.record().map(|(_, record)| record.writer));
    assert!(writers.len() > 1, "{writers:?}");
    assert!(matches!(stage(&world), Some(Stage::RolledBack(_))), "{:?}", world.record());
    assert!(within_bounds(&world, &traffic, since, before), "{} of {}", to_new(&traffic, since), traffic.requests());
    assert!(only_goes_on(&world.history()));
}

#[test]
fn an_order_that_is_taken_away_is_rolled_back_by_the_home() {
    let mut world = fleet();
    let mut traffic = Traffic::default();
    order(&mut world);
    world.serve_all(&mut traffic, 4_000, |_| false);
    world.order(None, OVER);
    world.serve_all(&mut traffic, 2_000, |_| false);
    assert_eq!(stage(&world), Some(Stage::RolledBack(Cause::Withdrawn)));
    let now = world.now;
    world.serve_all(&mut traffic, 2_000, |_| false);
    assert_eq!(to_new(&traffic, now), 0);
}

#[test]
fn a_store_that_is_down_gives_the_version_nothing_until_it_is_back() {
    let mut world = fleet();
    let mut traffic = Traffic::default();
    world.serve_all(&mut traffic, 1_000, |_| false);
    order(&mut world);
    world.serve_all(&mut traffic, 3_000, |_| false);
    assert!(to_new(&traffic, 0) > 0);
    world.set_store_down(true);
    world.serve_all(&mut traffic, 2_500, |_| false);
    let now = world.now;
    world.serve_all(&mut traffic, 3_000, |_| false);
    assert_eq!(to_new(&traffic, now), 0, "nothing is reserved");
    world.set_store_down(false);
    let now = world.now;
    world.serve_all(&mut traffic, 5_000, |_| false);
    assert!(to_new(&traffic, now) > 0, "{:?}", world.record());
    assert!(only_goes_on(&world.history()));
}

#[test]
fn a_version_that_turns_bad_while_the_store_is_away_goes_nowhere_from_any_router_in_touch() {
    let mut world = fleet();
    let mut traffic = Traffic::default();
    world.serve_all(&mut traffic, 1_000, |_| false);
    order(&mut world);
    // Until the fleet moves: then nothing more is reserved, and only the verdict stops it.
    for _ in 0..400 {
        if stage(&world) == Some(Stage::Moving) {
            break;
        }
        world.serve_all(&mut traffic, 50, |_| false);
    }
    assert_eq!(stage(&world), Some(Stage::Moving), "{:?}", world.record());
    world.serve_all(&mut traffic, 300, |_| false);
    world.set_store_down(true);
    world.serve_all(&mut traffic, 3_000, is_new);
    assert_eq!(stage(&world), Some(Stage::Moving), "the store doesn't know");
    assert!((0..9).all(|index| world.stage(index) == Some(Stage::RolledBack(Cause::Failing))), "every router does");
    // The home goes, and comes back, and knows nothing but what it is told.
    let home = world.home(0);
    world.kill(home);
    world.serve_all(&mut traffic, 2_000, is_new);
    world.start(home, 3);
    world.serve_all(&mut traffic, 2_000, is_new);
    let now = world.now;
    world.serve_all(&mut traffic, 3_000, is_new);
    assert_eq!(to_new(&traffic, now), 0);
    world.set_store_down(false);
    world.serve_all(&mut traffic, 4_000, is_new);
    assert!(matches!(stage(&world), Some(Stage::RolledBack(Cause::Failing))), "{:?}", world.record());
}

#[test]
fn after_a_loss_of_all_power_the_account_goes_on() {
    let mut world = fleet();
    let mut traffic = Traffic::default();
    world.serve_all(&mut traffic, 1_000, |_| false);
    let (since, before) = (world.now, traffic.requests());
    order(&mut world);
    world.serve_all(&mut traffic, 4_000, |_| false);
    let granted = world.record().unwrap().1.granted;
    assert!(granted > 0);
    for index in 0..9 {
        world.kill(index);
    }
    world.run(1_000);
    for index in 0..9 {
        world.start(index, 3);
    }
    world.serve_all(&mut traffic, 5_000, |_| false);
    assert!(world.record().unwrap().1.granted >= granted);
    assert!(only_goes_on(&world.history()));
    let tried = stage(&world) == Some(Stage::Trial);
    assert!(!tried || within_bounds(&world, &traffic, since, before));
}

#[test]
fn a_home_that_is_cut_off_gives_nothing_more_and_the_next_one_goes_on() {
    let mut world = fleet();
    let mut traffic = Traffic::default();
    world.serve_all(&mut traffic, 1_000, |_| false);
    let (since, before) = (world.now, traffic.requests());
    order(&mut world);
    world.serve_all(&mut traffic, 3_000, is_new);
    let home = world.home(0);
    for other in (0..9).filter(|other| *other != home) {
        world.set_cut(home, other, true);
    }
    world.serve_all(&mut traffic, 8_000, is_new);
    for other in (0..9).filter(|other| *other != home) {
        world.set_cut(home, other, false);
    }
    world.serve_all(&mut traffic, 8_000, is_new);
    assert!(matches!(stage(&world), Some(Stage::RolledBack(_))), "{:?}", world.record());
    assert!(within_bounds(&world, &traffic, since, before), "{} of {}", to_new(&traffic, since), traffic.requests());
    assert!(only_goes_on(&world.history()));
}

#[test]
fn a_home_that_stood_still_gives_nothing_of_what_it_had_reserved() {
    for pause in [600, 1_500, 2_500, 6_000] {
        let mut world = fleet();
        let mut traffic = Traffic::default();
        world.serve_all(&mut traffic, 1_000, |_| false);
        let (since, before) = (world.now, traffic.requests());
        order(&mut world);
        world.serve_all(&mut traffic, 3_000, |_| false);
        assert!(to_new(&traffic, since) > 0);
        let home = world.home(0);
        // Right after a reservation, so that most of it is left.
        let granted = world.record().unwrap().1.granted;
        for _ in 0..400 {
            if world.record().unwrap().1.granted > granted {
                break;
            }
            world.serve_all(&mut traffic, 10, |_| false);
        }
        world.freeze(home, true);
        world.serve_all(&mut traffic, pause, is_new);
        world.freeze(home, false);
        let (now, written) = (world.now, world.record().unwrap());
        world.serve_all(&mut traffic, 50, is_new);
        // What was reserved two seconds ago or more is lost, so nothing goes there before another reservation stands.
        let fresh = world.record().unwrap().0 > written.0 || written.1.writer != format!("r{home}").parse().unwrap();
        assert!(pause < 2_000 || fresh || to_new(&traffic, now) == 0, "{pause} ms");
        world.serve_all(&mut traffic, 10_000, is_new);
        assert!(matches!(stage(&world), Some(Stage::RolledBack(Cause::Failing))), "{pause} ms: {:?}", world.record());
        assert!(within_bounds(&world, &traffic, since, before), "{pause} ms");
        assert!(only_goes_on(&world.history()), "{pause} ms");
    }
}

#[test]
fn who_is_the_home_no_longer_gives_nothing_of_what_it_had_reserved() {
    let mut world = fleet_with(1_000.0);
    let mut traffic = Traffic::default();
    let first = world.home(0);
    world.kill(first);
    world.serve_all(&mut traffic, 6_000, |_| false);
    order(&mut world);
    world.serve_all(&mut traffic, 6_000, |_| false);
    let second = world.home((first + 1) % 9);
    assert!(second != first && to_new(&traffic, 0) > 0);
    // Nothing asks for a while, so something is left of what the second one reserves; and the first home is back.
    let granted = world.record().unwrap().1.granted;
    for _ in 0..600 {
        if world.record().unwrap().1.granted > granted {
            break;
        }
        world.run(5);
    }
    assert!(world.record().unwrap().1.granted > granted, "something was reserved while nothing asked");
    world.start(first, 3);
    let started = world.now;
    for _ in 0..400 {
        if world.home(second) == first {
            break;
        }
        world.run(5);
    }
    assert!(world.now - started < 1_500, "what was reserved still counts");
    assert_eq!(world.home(second), first);
    world.run(50);
    for number in 0..30 {
        world.ask_self(second, number, &[]);
    }
    let places: BTreeSet<_> = (0..30).filter_map(|number| world.granted(second, number)).collect();
    assert!(!places.is_empty());
    assert!(NEW.iter().all(|engine| !places.contains(&format!("e{engine}").parse().unwrap())), "{places:?}");
}

/// Something fails, or is mended.
fn trouble(world: &mut World, router: u8, what: u8) {
    let index = usize::from(router) % 9;
    match what % 12 {
        0 => world.set_store_down(true),
        1 => world.set_store_down(false),
        2 => world.kill(world.home(index)),
        3 => (0..9).for_each(|index| {
            if !world.is_alive(index) {
                world.start(index, 3);
            }
        }),
        4 => world.set_cut(index, (index + 1) % 9, router.is_multiple_of(2)),
        5 => world.trouble = Trouble::Lost,
        6 => world.trouble = Trouble::Late,
        7 => world.trouble = Trouble::Busy,
        8 => (0..9).for_each(|other| world.set_cut(world.home(index), other, router.is_multiple_of(2))),
        9 => world.freeze(world.home(index), true),
        10 => (0..9).for_each(|index| world.freeze(index, false)),
        _ => world.trouble = Trouble::None,
    }
}

/// All is mended.
fn mend(world: &mut World) {
    world.set_store_down(false);
    world.trouble = Trouble::None;
    for index in 0..9 {
        world.freeze(index, false);
        if !world.is_alive(index) {
            world.start(index, 3);
        }
        (0..9).for_each(|other| world.set_cut(index, other, false));
    }
}

quickcheck! {
    /// Whatever happens to homes, ways and the store: records only go on, what is over stays so, and a bad version gets no more
    /// than the bound allows.
    fn whatever_fails_a_bad_version_gets_its_share_at_most(troubles: Vec<(u8, u8)>, from: u8, slack: u8) -> bool {
        let mut world = fleet_with(f64::from(slack % 3) * 50.0);
        let mut traffic = Traffic::default();
        world.serve_all(&mut traffic, 1_000, |_| false);
        let (since, before) = (world.now, traffic.requests());
        order(&mut world);
        // Bad from the start, or from some time on.
        let bad_from = world.now + u64::from(from % 8) * 500;
        for (router, what) in troubles.into_iter().take(30) {
            trouble(&mut world, router, what);
            let bad = world.now >= bad_from;
            world.serve_all(&mut traffic, 500, |engine| bad && is_new(engine));
        }
        let fits = within_bounds(&world, &traffic, since, before);
        let history = world.history();
        fits && only_goes_on(&history)
    }

    /// Whatever fails for a while: once it is mended the roll-out ends, the same for all, and a good version isn't found bad.
    fn whatever_fails_a_roll_out_ends(troubles: Vec<(u8, u8)>, good: bool) -> bool {
        let mut world = fleet_with(50.0);
        let mut traffic = Traffic::default();
        world.serve_all(&mut traffic, 1_000, |_| false);
        order(&mut world);
        let is_bad = |engine| !good && is_new(engine);
        for (router, what) in troubles.into_iter().take(20) {
            trouble(&mut world, router, what);
            world.serve_all(&mut traffic, 500, is_bad);
        }
        mend(&mut world);
        world.serve_all(&mut traffic, 45_000, is_bad);
        let last = stage(&world);
        let right = match last {
            Some(Stage::Completed) => good,
            Some(Stage::RolledBack(Cause::Failing | Cause::Slow)) => !good,
            Some(Stage::RolledBack(Cause::Unproven)) => true,
            Some(Stage::RolledBack(Cause::Withdrawn | Cause::Missing) | Stage::Trial | Stage::Moving) | None => false,
        };
        right && (0..9).all(|index| world.stage(index) == last) && only_goes_on(&world.history())
    }
}
