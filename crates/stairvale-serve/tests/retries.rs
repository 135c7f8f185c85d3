//! The retry budget of a service over the whole fleet while routers restart, die and are partitioned from each other.

#![allow(clippy::unwrap_used, clippy::cast_precision_loss)]

mod world;

use std::collections::BTreeSet;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stairvale_types::id;
use world::World;

const ROUTERS: usize = 7;
const ZONES: usize = 4;
/// Time for the fleet to form, in ms.
const SETTLE_MS: u64 = 8_000;
/// The budget's window, in ms.
const WINDOW_MS: u64 = 10_000;

/// Requests whose runs fail, each of which is retried once if the budget allows it. Retries arrive at their upstream at once.
struct Load {
    /// Time between two requests, in ms.
    interval: u64,
    /// The times at which requests arrived, in ms.
    requests: Vec<u64>,
    /// The times at which retries arrived, in ms.
    retries: Vec<u64>,
    next: usize,
    /// Whether runs fail.
    failing: bool,
    /// The routers that callers send requests to.
    reached: BTreeSet<usize>,
}

impl Load {
    fn new(interval: u64) -> Self {
        let reached = (0..ROUTERS).collect();
        Self { interval, requests: Vec::new(), retries: Vec::new(), next: 0, failing: false, reached }
    }

    /// Advances the world while requests arrive at the running routers that callers reach, in turn.
    fn run(&mut self, world: &mut World, millis: u64) {
        let service: id::Service = "chat".parse().unwrap();
        let end = world.now + millis;
        while world.now < end {
            world.run(self.interval);
            let routers: Vec<_> = self.reached.iter().copied().filter(|index| world.is_alive(*index)).collect();
            if routers.is_empty() {
                continue;
            }
            self.next += 1;
            let index = routers[self.next % routers.len()];
            let now = world.local_time(index);
            let core = &mut world.nodes[index].core;
            core.count(now, &service);
            self.requests.push(world.now);
            if self.failing && core.take_retry(now, &service) {
                self.retries.push(world.now);
            }
        }
    }

    fn count_in(times: &[u64], from: u64) -> f64 {
        times.iter().filter(|at| (from..from + WINDOW_MS).contains(*at)).count() as f64
    }

    /// Asserts that no window has more retries than its requests, or those of the window before or half a window before, allow.
    fn assert_within_budget(&self, world: &World, context: &str) {
        for from in self.retries.iter().copied() {
            let before = [0, WINDOW_MS / 2, WINDOW_MS].map(|shift| from.saturating_sub(shift));
            let requests = before.map(|from| Self::count_in(&self.requests, from)).into_iter().fold(0.0, f64::max);
            let allowed = requests * world.bounds.retry_ratio + world.bounds.retry_free;
            let retries = Self::count_in(&self.retries, from);
            assert!(retries <= allowed, "{context}: {retries} retries from {from} ms, {allowed} allowed");
        }
    }
}

/// A fleet under load, whose runs begin to fail now.
fn failing(interval: u64) -> (World, Load) {
    let mut world = World::new(ROUTERS, ZONES, 4);
    let mut load = Load::new(interval);
    world.run(SETTLE_MS);
    load.run(&mut world, WINDOW_MS);
    load.failing = true;
    (world, load)
}

fn restart(world: &mut World, load: &mut Load, index: usize) {
    world.kill_noticed(index);
    load.run(world, 400);
    world.start(index, ZONES);
}

// Restarted routers forgot the retries that they had sent, so the fleet exceeded its retry budget.
#[test]
fn routers_that_restart_in_turn_keep_to_the_retry_budget() {
    let (mut world, mut load) = failing(5);
    load.run(&mut world, 1_000);
    for index in 0..ROUTERS {
        world.stop(index);
        load.run(&mut world, 500);
        restart(&mut world, &mut load, index);
        load.run(&mut world, 100);
    }
    load.run(&mut world, 2 * WINDOW_MS);
    load.assert_within_budget(&world, "restarts in turn");
}

// Nothing can be handed over by a router that is killed, and its successor must not start with a whole budget.
#[test]
fn routers_that_are_killed_at_once_keep_to_the_retry_budget() {
    for killed in [4, ROUTERS] {
        let (mut world, mut load) = failing(5);
        load.run(&mut world, 2_000);
        (0..killed).for_each(|index| world.kill(index));
        load.run(&mut world, 1_000);
        (0..killed).for_each(|index| world.start(index, ZONES));
        load.run(&mut world, 2 * WINDOW_MS);
        load.assert_within_budget(&world, &format!("{killed} killed"));
    }
}

// Each side of a partition divided the free retries among its own routers, so the fleet used them several times.
#[test]
fn the_sides_of_a_partition_keep_to_the_retry_budget() {
    let (mut world, mut load) = failing(100);
    load.failing = false;
    for a in 0..ROUTERS {
        (0..a).filter(|b| a % ZONES != b % ZONES).for_each(|b| world.set_cut(a, b, true));
    }
    load.run(&mut world, WINDOW_MS);
    load.failing = true;
    load.run(&mut world, 2 * WINDOW_MS);
    load.assert_within_budget(&world, "partition");
}

// The routers that were left took over the free retries that the dead ones had already used.
#[test]
fn routers_that_die_do_not_free_their_share_of_the_retry_budget() {
    let (mut world, mut load) = failing(50);
    load.run(&mut world, 2_000);
    (0..ROUTERS - 2).for_each(|index| world.kill(index));
    load.run(&mut world, WINDOW_MS);
    load.assert_within_budget(&world, "dead routers");
}

// Callers moved away from routers that had spent their part, and the others earned anew from the same callers.
#[test]
fn callers_that_move_to_other_routers_do_not_renew_the_retry_budget() {
    for interval in [5, 20, 50] {
        let (mut world, mut load) = failing(interval);
        load.run(&mut world, 2_000);
        load.reached = (ROUTERS - 2..ROUTERS).collect();
        load.run(&mut world, 2 * WINDOW_MS);
        load.assert_within_budget(&world, &format!("callers moved, a request each {interval} ms"));
    }
}

// Callers that move again and again between random routers, some of which die.
#[test]
fn the_retry_budget_holds_while_callers_move() {
    for seed in 0..12 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut world, mut load) = failing([5, 20, 50][rng.random_range(0..3)]);
        for _ in 0..10 {
            load.run(&mut world, rng.random_range(300..4_000));
            load.reached = (0..ROUTERS).filter(|_| rng.random_bool(0.4)).collect();
            let victim = rng.random_range(0..4 * ROUTERS);
            if victim < ROUTERS && (0..ROUTERS).filter(|index| world.is_alive(*index)).count() > 3 {
                world.kill(victim);
            }
        }
        load.reached = (0..ROUTERS).collect();
        load.run(&mut world, WINDOW_MS);
        load.assert_within_budget(&world, &format!("seed {seed}"));
    }
}

// Random restarts and partitions, several at once, while runs fail.
#[test]
fn the_retry_budget_holds_over_random_faults() {
    for seed in 0..12 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut world, mut load) = failing([5, 20, 100][rng.random_range(0..3)]);
        let mut down: Vec<(usize, u64)> = Vec::new();
        for _ in 0..20 {
            load.run(&mut world, rng.random_range(100..1_000));
            let (a, b) = (rng.random_range(0..ROUTERS), rng.random_range(0..ROUTERS));
            match rng.random_range(0..4) {
                0 if a != b => world.set_cut(a, b, rng.random()),
                1 if world.is_alive(a) => world.stop(a),
                _ if world.is_alive(a) => {
                    world.kill(a);
                    down.push((a, world.now + rng.random_range(200..2_000)));
                }
                _ => {}
            }
            let (due, later) = down.into_iter().partition(|(_, until)| *until <= world.now);
            down = later;
            Vec::into_iter(due).for_each(|(index, _)| world.start(index, ZONES));
        }
        load.run(&mut world, WINDOW_MS);
        load.assert_within_budget(&world, &format!("seed {seed}"));
    }
}

// A frame that an earlier build can't read closes the stream to it, so its routers aren't sent any.
#[test]
fn routers_of_an_earlier_build_are_sent_no_accounts() {
    let (mut world, mut load) = failing(5);
    for index in 0..ROUTERS {
        let is_old = index.is_multiple_of(2);
        restart(&mut world, &mut load, index);
        if is_old {
            world.without_accounts.insert(index);
        }
        load.run(&mut world, 1_500);
    }
    world.without_accounts.clear();
    (0..ROUTERS).for_each(|index| restart(&mut world, &mut load, index));
    load.run(&mut world, 2 * WINDOW_MS);
    load.assert_within_budget(&world, "mixed builds");
}

/// A restart while nothing fails costs no retries: the fleet has most of its budget right after it.
#[test]
fn restarts_without_failures_cost_few_retries() {
    let mut world = World::new(ROUTERS, ZONES, 4);
    let mut load = Load::new(5);
    world.run(SETTLE_MS);
    load.run(&mut world, WINDOW_MS);
    for index in 0..ROUTERS {
        world.stop(index);
        load.run(&mut world, 500);
        restart(&mut world, &mut load, index);
        load.run(&mut world, 1_000);
    }
    load.failing = true;
    let from = world.now;
    load.run(&mut world, WINDOW_MS);
    let allowed = Load::count_in(&load.requests, from) * world.bounds.retry_ratio;
    let retries = Load::count_in(&load.retries, from);
    assert!(retries >= 0.6 * allowed, "{retries} retries, {allowed} allowed by the ratio");
    load.assert_within_budget(&world, "calm restarts");
}
