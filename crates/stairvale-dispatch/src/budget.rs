//! An entry's share of the retry budget of a service.

use std::{collections::VecDeque, time::Duration};

use stairvale_types::Moment;

/// What the whole fleet may send beyond the first try of each request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries that are free in each window, for all routers together.
    pub free: f64,
    /// The window's length.
    pub window: Duration,
}

/// Steps that a window is counted in.
const STEPS: u32 = 20;

#[derive(Clone, Copy, Debug, Default)]
struct Step {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Requests and retries of one service at one entry, over the last window.
///
/// Each entry earns by its own requests and takes an equal part of what is free, so the fleet keeps its budget without
/// a word between routers.
#[derive(Clone, Debug, Default)]
pub struct Window {
    steps: VecDeque<Step>,
}

impl Window {
    /// A request came in.
    pub fn request(&mut self, now: Moment, budget: Budget) {
        self.step(now, budget).requests += 1;
    }

    /// Takes one retry, if there is one; `routers` share what is free.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn spend(&mut self, now: Moment, budget: Budget, routers: usize) -> bool {
        self.step(now, budget);
        let requests: u32 = self.steps.iter().map(|step| step.requests).sum();
        let retries: u32 = self.steps.iter().map(|step| step.retries).sum();
        let free = budget.free / routers.max(1) as f64;
        let allowed = f64::from(requests) * budget.ratio + free;
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.step(now, budget).retries += 1;
        true
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
