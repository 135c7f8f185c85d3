//! A simulation without network: 24 customers send requests to a service whose upstreams have 42 slots in all.

#![allow(clippy::unwrap_used, clippy::cast_precision_loss)]

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use stairvale_dispatch::{Held, Outcome, Pool, Verdict, pool::Rules, shares::Measure};
use stairvale_types::{Moment, id};

use crate::asks::{at, customer_id, listings, request};

/// The burst of requests that the largest customer sends from second 5 to second 12.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Burst {
    None,
    /// Six times the customer's usual rate.
    Sixfold,
    /// Six times the customer's usual rate, and the home fails in second 8.
    SixfoldAndNewHome,
}

/// Simulated time, in seconds.
const DURATION_S: f64 = 16.0;
const CUSTOMERS: usize = 24;
/// Requests per second of all customers without the burst: somewhat more than half of what 42 slots sustain.
const BASE_RATE: f64 = 380.0;
/// The shares of the first three customers in that rate; the other customers have equal shares of the rest.
const LARGE_SHARES: [f64; 3] = [0.25, 0.15, 0.1];

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    End(u128),
    Tick,
    Renew,
    HomeFailure,
    Arrival(usize),
}

/// The outcome of one simulation.
pub struct Simulation {
    /// The number of served requests and of all requests, by customer.
    counts: Vec<(u32, u32)>,
    /// Requests that were refused while fewer requests ran than there are slots.
    pub refused_despite_free_slot: u32,
}

/// Marsaglia's xorshift, so that a seed gives the same simulation on every platform.
struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

impl Simulation {
    /// Runs the simulation of a seed, with a measure of customers' use and a burst.
    pub fn run(seed: u64, measure: Measure, burst: Burst) -> Self {
        let new = || {
            let mut pool = Pool::new(Rules::default()).with_measure(measure);
            pool.set_members(at(0), &listings(7, 6));
            pool
        };
        let mut pool = new();
        let mut events = BinaryHeap::new();
        let mut random = Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let mut customers = Vec::new();
        for customer in 0..CUSTOMERS {
            let rest = (1.0 - LARGE_SHARES.iter().sum::<f64>()) / (CUSTOMERS - LARGE_SHARES.len()) as f64;
            let usual = BASE_RATE * LARGE_SHARES.get(customer).copied().unwrap_or(rest);
            // A customer's usual requests are the same with and without a burst, because those of the burst are drawn
            // from a random generator of their own.
            arrivals(&mut Random(seed * 1_000 + customer as u64 + 1), usual, 0.0..DURATION_S, &mut |t| {
                events.push(Reverse((t, Event::Arrival(customers.len()))));
                customers.push(customer);
            });
        }
        if burst != Burst::None {
            arrivals(&mut Random(seed * 1_000 + 999), BASE_RATE * LARGE_SHARES[0] * 5.0, 5.0..12.0, &mut |t| {
                events.push(Reverse((t, Event::Arrival(customers.len()))));
                customers.push(0);
            });
        }
        for step in 0..(DURATION_S as u64 * 50) {
            events.push(Reverse((step * 20_000, Event::Tick)));
        }
        for step in 0..(DURATION_S as u64 * 2) {
            events.push(Reverse((step * 500_000 + 7, Event::Renew)));
        }
        if burst == Burst::SixfoldAndNewHome {
            events.push(Reverse((8_000_000, Event::HomeFailure)));
        }
        let mut simulation = Self { counts: vec![(0, 0); CUSTOMERS], refused_despite_free_slot: 0 };
        let mut running: BTreeMap<u128, Held> = BTreeMap::new();
        while let Some(Reverse((micros, event))) = events.pop() {
            let now = Moment(micros);
            let entry = "r1".parse().unwrap();
            let answers = match event {
                Event::Arrival(number) => {
                    simulation.counts[customers[number]].1 += 1;
                    pool.ask(now, request(number as u128, customers[number] as u128))
                }
                Event::End(number) => {
                    let Some(held) = running.remove(&number) else { continue };
                    let granted_at = held.read;
                    let took = Duration::from_micros(micros - u64::from(granted_at));
                    pool.release(now, id::Attempt(number), Outcome::Served, Some(took))
                }
                Event::Tick => pool.tick(now),
                Event::Renew => {
                    let held: Vec<_> = running.values().cloned().map(|held| Held { read: 0, ..held }).collect();
                    pool.renew(now, &entry, &held)
                }
                Event::HomeFailure => {
                    // Entries repeat their waiting requests at the new home; this simulation counts them as not served.
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
                        simulation.counts[customer].0 += 1;
                        // A request takes 40 to 80 ms, and one in a hundred five times as long.
                        let mut took = 0.04 + 0.04 * random.next();
                        if random.next() < 0.01 {
                            took *= 5.0;
                        }
                        events.push(Reverse((micros + (took * 1e6) as u64, Event::End(number))));
                        // `read` isn't used for a plain service: here it holds the time of the grant, in µs.
                        let read = u32::try_from(micros).unwrap();
                        let customer = Some(customer_id(customer as u128));
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
                    Verdict::Refused(_) => simulation.refused_despite_free_slot += u32::from(running.len() < 42),
                }
            }
        }
        simulation
    }

    fn served_share(&self, customers: std::ops::Range<usize>) -> f64 {
        let (served, all) = self.counts[customers].iter().fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1));
        f64::from(served) / f64::from(all)
    }

    /// The served share of the requests of all customers but the largest, which send no burst.
    pub fn others(&self) -> f64 {
        self.served_share(1..CUSTOMERS)
    }

    /// The served share of the requests of the largest customer, which sends the burst.
    pub fn largest(&self) -> f64 {
        self.served_share(0..1)
    }

    /// The served share of all requests.
    pub fn all(&self) -> f64 {
        self.served_share(0..CUSTOMERS)
    }
}

/// Generates independent arrivals (a Poisson process) and passes the time of each, in microseconds, to `on_arrival`.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn arrivals(random: &mut Random, per_second: f64, within: std::ops::Range<f64>, on_arrival: &mut dyn FnMut(u64)) {
    let mut time = within.start;
    // The first numbers of generators with small seeds are nearly the same.
    for _ in 0..20 {
        random.next();
    }
    loop {
        time -= random.next().max(1e-12).ln() / per_second;
        if time >= within.end {
            return;
        }
        on_arrival((time * 1e6) as u64);
    }
}
