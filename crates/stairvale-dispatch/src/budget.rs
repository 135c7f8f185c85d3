//! An entry router's share of the retry budget of a service.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};
use stairvale_types::{Moment, id};

/// The requests that the whole fleet may send beyond the first attempt of each request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Retries per request.
    pub ratio: f64,
    /// Retries that are allowed in each window regardless of the number of requests, for all routers together.
    pub free: f64,
    /// The length of the window.
    pub window: Duration,
}

/// Number of steps into which a window is divided.
const STEPS: u32 = 20;

/// What a window holds, for logs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Requests in the window.
    pub requests: u32,
    /// Retries in the window.
    pub retries: u32,
}

/// What a router's processes have spent, as it is sent to the peers that keep a copy of it, and by them to the router's
/// next process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// The account is complete for this long before it was sent.
    pub covered: Duration,
    /// The requests and retries of each service that has any.
    pub services: Vec<(id::Service, Vec<Period>)>,
}

/// The requests and retries in one twentieth of a window.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Period {
    /// How many twentieths of the window ago this was when it was sent.
    pub age: u32,
    /// Requests that arrived.
    pub requests: u32,
    /// Retries that were sent.
    pub retries: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Step {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Requests and retries of one service at one entry router, over the last window.
///
/// Each entry router is allowed retries in proportion to its own requests, and an equal part of the free ones. So the
/// fleet keeps its budget without asking anyone for a retry.
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    steps: VecDeque<Step>,
    /// What earlier processes of this router counted.
    inherited: VecDeque<Step>,
}

impl RetryWindow {
    /// Records that a request arrived.
    pub fn request(&mut self, now: Moment, budget: Budget) {
        self.step(now, budget).requests += 1;
    }

    /// How many more retries the budget allows now; `routers` share the free ones. Negative if the requests that earned
    /// retries have left the window before these.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn headroom(&mut self, now: Moment, budget: Budget, routers: usize) -> f64 {
        self.step(now, budget);
        let Usage { requests, retries } = self.usage();
        let free = budget.free / routers.max(1) as f64;
        f64::from(requests) * budget.ratio + free - f64::from(retries)
    }

    /// Takes one retry if the budget allows it; `routers` share the free retries.
    #[must_use]
    pub fn spend(&mut self, now: Moment, budget: Budget, routers: usize) -> bool {
        let is_allowed = self.headroom(now, budget, routers) >= 1.0;
        if is_allowed {
            self.step(now, budget).retries += 1;
        }
        is_allowed
    }

    /// Whether the window that ends now has retries.
    #[must_use]
    pub fn has_retries(&self, now: Moment, budget: Budget) -> bool {
        let oldest = step_number(now, budget).saturating_sub(u64::from(STEPS));
        self.steps.iter().chain(&self.inherited).any(|step| step.number >= oldest && step.retries > 0)
    }

    /// The requests and retries of the window that ends with the last one.
    #[must_use]
    pub fn usage(&self) -> Usage {
        let all = || self.steps.iter().chain(&self.inherited);
        Usage { requests: all().map(|step| step.requests).sum(), retries: all().map(|step| step.retries).sum() }
    }

    /// The requests and retries of the last `length`, or of the whole window, by period.
    #[must_use]
    pub fn periods(&self, now: Moment, budget: Budget, length: Option<Duration>) -> Vec<Period> {
        let current = step_number(now, budget);
        let steps = length.map_or(STEPS, |length| steps_in(length, budget));
        let counts = |step: u64, all: &VecDeque<Step>| {
            all.iter().find(|known| known.number == step).copied().unwrap_or_default()
        };
        let periods = (0..=steps).filter_map(|age| {
            let number = current.checked_sub(u64::from(age))?;
            let (own, inherited) = (counts(number, &self.steps), counts(number, &self.inherited));
            let (requests, retries) = (own.requests + inherited.requests, own.retries + inherited.retries);
            (requests + retries > 0).then_some(Period { age, requests, retries })
        });
        periods.collect()
    }

    /// Merges periods that another router counted, of which earlier versions may be known already.
    pub fn merge(&mut self, now: Moment, budget: Budget, periods: &[Period]) {
        self.step(now, budget);
        merge(&mut self.steps, step_number(now, budget), periods, u64::MAX);
    }

    /// Adds what earlier processes of this router counted before this one started at `started`.
    pub fn inherit(&mut self, now: Moment, budget: Budget, periods: &[Period], started: Moment) {
        self.step(now, budget);
        merge(&mut self.inherited, step_number(now, budget), periods, step_number(started, budget));
    }

    fn step(&mut self, now: Moment, budget: Budget) -> &mut Step {
        let number = step_number(now, budget);
        // One step more than the window has, so that every sliding window is covered.
        let oldest = number.saturating_sub(u64::from(STEPS));
        for steps in [&mut self.steps, &mut self.inherited] {
            while steps.front().is_some_and(|step| step.number < oldest) {
                steps.pop_front();
            }
        }
        if self.steps.back().is_none_or(|step| step.number != number) {
            self.steps.push_back(Step { number, ..Step::default() });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}

/// The number of the step that contains a time. The window before the clock's start has numbers, too.
fn step_number(now: Moment, budget: Budget) -> u64 {
    let length = (budget.window / STEPS).as_micros().max(1);
    u64::try_from(u128::from(now.0) / length).unwrap_or(u64::MAX).saturating_add(u64::from(STEPS))
}

/// The number of steps that begin within a duration, wherever it starts, at most those of a window.
fn steps_in(length: Duration, budget: Budget) -> u32 {
    let steps = length.as_micros() / (budget.window / STEPS).as_micros().max(1) + 1;
    u32::try_from(steps).map_or(STEPS, |steps| steps.min(STEPS))
}

/// Raises the counts of steps up to number `last` to those of the periods.
fn merge(steps: &mut VecDeque<Step>, current: u64, periods: &[Period], last: u64) {
    for period in periods.iter().filter(|period| period.age <= STEPS) {
        let number = current.saturating_sub(u64::from(period.age));
        if number > last {
            continue;
        }
        let at = steps.partition_point(|step| step.number < number);
        if steps.get(at).is_none_or(|step| step.number != number) {
            steps.insert(at, Step { number, ..Step::default() });
        }
        let step = &mut steps[at];
        step.requests = step.requests.max(period.requests);
        step.retries = step.retries.max(period.retries);
    }
}
