//! Requests of 24 customers at a service of few places, without network.

#![allow(clippy::unwrap_used, clippy::cast_precision_loss)]

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use stairvale_dispatch::{Held, Outcome, Pool, Verdict, pool::Rules, shares::Measure};
use stairvale_types::{Moment, id};

use crate::asks::{ask, at, members, name};

/// What the largest customer does from second 5 to second 12.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Surge {
    None,
    Sixfold,
    /// And the home dies in second 8.
    SixfoldAndNewHome,
}

/// Seconds of a day.
const LENGTH: f64 = 16.0;
const CUSTOMERS: usize = 24;
/// Requests a second of all customers: somewhat more than half of what 42 places bear.
const USUAL: f64 = 380.0;
/// The part of the first three customers; the others have equal ones of what is left.
const LARGE: [f64; 3] = [0.25, 0.15, 0.1];

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    End(u128),
    Tick,
    Renew,
    Die,
    Come(usize),
}

/// What became of a day's requests, by customer: served, all.
pub struct Day {
    by: Vec<(u32, u32)>,
    pub refused_beside_a_free_place: u32,
}

/// Marsaglia's xorshift, so that a seed gives the same day everywhere.
struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

impl Day {
    /// Plays it.
    pub fn play(seed: u64, measure: Measure, surge: Surge) -> Self {
        let new = || {
            let mut pool = Pool::new(Rules::default()).with_measure(measure);
            pool.set_members(at(0), &members(7, 6));
            pool
        };
        let mut pool = new();
        let mut events = BinaryHeap::new();
        let mut random = Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let mut customers = Vec::new();
        for customer in 0..CUSTOMERS {
            let rest = (1.0 - LARGE.iter().sum::<f64>()) / (CUSTOMERS - LARGE.len()) as f64;
            let usual = USUAL * LARGE.get(customer).copied().unwrap_or(rest);
            // A customer's usual requests are the same on both days: what a surge adds comes from a source of its own.
            arrivals(&mut Random(seed * 1_000 + customer as u64 + 1), usual, 0.0..LENGTH, &mut |t| {
                events.push(Reverse((t, Event::Come(customers.len()))));
                customers.push(customer);
            });
        }
        if surge != Surge::None {
            arrivals(&mut Random(seed * 1_000 + 999), USUAL * LARGE[0] * 5.0, 5.0..12.0, &mut |t| {
                events.push(Reverse((t, Event::Come(customers.len()))));
                customers.push(0);
            });
        }
        for step in 0..(LENGTH as u64 * 50) {
            events.push(Reverse((step * 20_000, Event::Tick)));
        }
        for step in 0..(LENGTH as u64 * 2) {
            events.push(Reverse((step * 500_000 + 7, Event::Renew)));
        }
        if surge == Surge::SixfoldAndNewHome {
            events.push(Reverse((8_000_000, Event::Die)));
        }
        let mut day = Self { by: vec![(0, 0); CUSTOMERS], refused_beside_a_free_place: 0 };
        let mut running: BTreeMap<u128, Held> = BTreeMap::new();
        while let Some(Reverse((micros, event))) = events.pop() {
            let now = Moment(micros);
            let entry = "r1".parse().unwrap();
            let answers = match event {
                Event::Come(number) => {
                    day.by[customers[number]].1 += 1;
                    pool.ask(now, ask(number as u128, customers[number] as u128))
                }
                Event::End(number) => {
                    let Some(held) = running.remove(&number) else { continue };
                    let began = held.read;
                    let took = Duration::from_micros(micros - u64::from(began));
                    pool.release(now, id::Attempt(number), Outcome::Served, Some(took))
                }
                Event::Tick => pool.tick(now),
                Event::Renew => {
                    let held: Vec<_> = running.values().cloned().map(|held| Held { read: 0, ..held }).collect();
                    pool.renew(now, &entry, &held)
                }
                Event::Die => {
                    // What waited is asked again at the new home; here it counts as not served.
                    pool = new();
                    let held: Vec<_> = running.values().cloned().map(|held| Held { read: 0, ..held }).collect();
                    pool.renew(now, &entry, &held)
                }
            };
            for answer in answers {
                let number = answer.attempt.0;
                let customer = customers[usize::try_from(number).unwrap()];
                match answer.verdict {
                    Verdict::Granted { upstream, .. } => {
                        day.by[customer].0 += 1;
                        // Some 60 ms, and one in a hundred five times that.
                        let mut took = 0.04 + 0.04 * random.next();
                        if random.next() < 0.01 {
                            took *= 5.0;
                        }
                        events.push(Reverse((micros + (took * 1e6) as u64, Event::End(number))));
                        let read = u32::try_from(micros).unwrap();
                        let customer = Some(name(customer as u128));
                        let held = Held {
                            attempt: answer.attempt,
                            upstream,
                            read,
                            customer,
                            route: id::Route(0),
                            fingerprint: id::Fingerprint::default(),
                        };
                        running.insert(number, held);
                    }
                    Verdict::Refused(_) => day.refused_beside_a_free_place += u32::from(running.len() < 42),
                }
            }
        }
        day
    }

    fn share(&self, customers: std::ops::Range<usize>) -> f64 {
        let (served, all) = self.by[customers].iter().fold((0, 0), |sum, by| (sum.0 + by.0, sum.1 + by.1));
        f64::from(served) / f64::from(all)
    }

    /// The share of requests of the customers that never surge that was served.
    pub fn others(&self) -> f64 {
        self.share(1..CUSTOMERS)
    }

    /// That of the one that surges.
    pub fn largest(&self) -> f64 {
        self.share(0..1)
    }

    /// That of all.
    pub fn all(&self) -> f64 {
        self.share(0..CUSTOMERS)
    }
}

/// Requests that come independently of each other, in microseconds.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn arrivals(random: &mut Random, per_second: f64, within: std::ops::Range<f64>, come: &mut dyn FnMut(u64)) {
    let mut time = within.start;
    // The first numbers of a small seed are alike.
    for _ in 0..20 {
        random.next();
    }
    loop {
        time -= random.next().max(1e-12).ln() / per_second;
        if time >= within.end {
            return;
        }
        come((time * 1e6) as u64);
    }
}
