//! Simulates one customer that sends requests to many routers, in steps of 10 ms. Messages take one step.

use std::{collections::VecDeque, time::Duration};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stairvale_admission::limit::{Account, Fraction, Meter, ShareLimiter, Usage};
use stairvale_types::{Moment, id, unit};

const STEP: Duration = Duration::from_millis(10);

/// The load on the fleet and the routers that receive it.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// The customer's configured rate in requests a second.
    pub rate: f64,
    /// The rate at which the customer sends requests, in requests a second.
    pub offered_rate: f64,
    /// The number of routers.
    pub routers: usize,
    /// The number of routers at which the customer's connections arrive.
    pub used_routers: usize,
    /// Seed of the arrival times.
    pub seed: u64,
}

/// Counts over a span of simulated time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Requests received by all routers.
    pub requests: u32,
    /// Requests let through by all routers.
    pub passed: u32,
    /// Usage reports sent to the account's owner.
    pub usage_messages: u32,
    /// Shares sent by the account's owner to routers.
    pub share_messages: u32,
}

#[derive(Default)]
struct Router {
    meter: Meter,
    share: ShareLimiter,
}

/// The simulated routers and the customer's account.
pub struct Simulation {
    scenario: Scenario,
    now: Moment,
    rng: ChaCha8Rng,
    account: Account,
    routers: Vec<Router>,
    usages: VecDeque<(usize, Usage)>,
    shares: VecDeque<(usize, Fraction)>,
    customer: id::Customer,
}

impl Simulation {
    pub fn new(scenario: Scenario) -> Self {
        let now = Moment::from_millis(60_000);
        Self {
            scenario,
            now,
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            account: Account::new(now, rate(scenario.rate)),
            routers: (0..scenario.routers).map(|_| Router::default()).collect(),
            usages: VecDeque::new(),
            shares: VecDeque::new(),
            customer: "customer".parse().unwrap(),
        }
    }

    /// Changes the rate at which the customer sends requests, in requests a second.
    pub fn set_offered_rate(&mut self, offered_rate: f64) {
        self.scenario.offered_rate = offered_rate;
    }

    /// Replaces the account with a new one, as when its owner dies and the successor has no state.
    pub fn replace_account(&mut self) {
        self.account = Account::new(self.now, rate(self.scenario.rate));
    }

    /// Advances the simulated time by `span` and returns the counts over that span.
    pub fn run(&mut self, span: Duration) -> Outcome {
        let mut outcome = Outcome::default();
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + STEP;
            self.deliver_messages(&mut outcome);
            for _ in 0..self.draw_arrivals() {
                self.send_request(&mut outcome);
            }
            self.send_reports(&mut outcome);
        }
        outcome
    }

    /// Draws the number of arrivals in a step from a Poisson distribution by inversion, which is fast enough for the
    /// few arrivals of a step.
    fn draw_arrivals(&mut self) -> u32 {
        let mean = self.scenario.offered_rate * STEP.as_secs_f64();
        let mut remaining: f64 = self.rng.random();
        let mut probability = (-mean).exp();
        let mut count = 0;
        while remaining > probability && count < 10_000 {
            remaining -= probability;
            count += 1;
            probability *= mean / f64::from(count);
        }
        count
    }

    fn send_request(&mut self, outcome: &mut Outcome) {
        let index = self.rng.random_range(0..self.scenario.used_routers);
        let Router { meter, share } = &mut self.routers[index];
        let passed = share.pass(self.now).is_ok();
        meter.count(self.now, &self.customer, rate(self.scenario.rate), self.scenario.routers, passed);
        outcome.requests += 1;
        outcome.passed += u32::from(passed);
    }

    fn send_reports(&mut self, outcome: &mut Outcome) {
        for (index, router) in self.routers.iter_mut().enumerate() {
            for (_, usage) in router.meter.take_due(self.now) {
                outcome.usage_messages += 1;
                self.usages.push_back((index, usage));
            }
        }
    }

    fn deliver_messages(&mut self, outcome: &mut Outcome) {
        for (index, fraction) in std::mem::take(&mut self.shares) {
            self.routers[index].meter.set(self.now, &self.customer, fraction);
            self.routers[index].share.set(self.now, fraction);
        }
        for (index, usage) in std::mem::take(&mut self.usages) {
            if let Some(fraction) = self.account.record_usage(self.now, usage) {
                outcome.share_messages += 1;
                self.shares.push_back((index, fraction));
            }
        }
    }
}

pub fn rate(per_second: f64) -> unit::Rate {
    unit::Rate::try_from(per_second).unwrap()
}
