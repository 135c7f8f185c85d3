//! An entry router's share of the retry budget of a service.

use std::{collections::VecDeque, time::Duration};

use stairvale_types::Moment;

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

#[derive(Clone, Copy, Debug, Default)]
struct Step {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Requests and retries of one service at one entry router, over the last window.
///
/// Each entry router is allowed retries in proportion to its own requests, and an equal part of the free ones. So the
/// fleet keeps its budget without messages between routers.
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    steps: VecDeque<Step>,
}

impl RetryWindow {
    /// Records that a request arrived.
    pub fn request(&mut self, now: Moment, budget: Budget) {
        self.step(now, budget).requests += 1;
    }

    /// Takes one retry if the budget allows it; `routers` share the free retries.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn spend(&mut self, now: Moment, budget: Budget, routers: usize) -> bool {
        self.step(now, budget);
        let Usage { requests, retries } = self.usage();
        let free = budget.free / routers.max(1) as f64;
        let allowed = f64::from(requests) * budget.ratio + free;
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.step(now, budget).retries += 1;
        true
    }

    /// The requests and retries of the window that ends with the last one.
    #[must_use]
    pub fn usage(&self) -> Usage {
        let requests = self.steps.iter().map(|step| step.requests).sum();
        let retries = self.steps.iter().map(|step| step.retries).sum();
        Usage { requests, retries }
    }

    fn step(&mut self, now: Moment, budget: Budget) -> &mut Step {
        let length = (budget.window / STEPS).as_micros().max(1);
        let number = u64::try_from(u128::from(now.0) / length).unwrap_or(u64::MAX);
        // One step more than the window has, so that every sliding window is covered.
        let oldest = number.saturating_sub(u64::from(STEPS));
        while self.steps.front().is_some_and(|step| step.number < oldest) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|step| step.number != number) {
            self.steps.push_back(Step { number, ..Step::default() });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
