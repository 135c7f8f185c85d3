//! Retry budgets, which limit retries to a share of the successful requests, so that a failing service isn't overloaded
//! with retries.

/// A retry budget, counted in thousandths of a retry.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance: u32,
    per_success: u32,
    cap: u32,
}

/// Cost of one retry, in thousandths of a retry.
const RETRY_COST: u32 = 1_000;

impl RetryBudget {
    /// Creates a full budget that earns `percent` hundredths of a retry with each success and holds at most `cap`
    /// retries.
    #[must_use]
    pub const fn new(percent: u32, cap: u32) -> Self {
        let cap = cap * RETRY_COST;
        Self { balance: cap, per_success: percent * RETRY_COST / 100, cap }
    }

    /// Adds what one successful request earns.
    pub fn earn(&mut self) {
        self.balance = (self.balance + self.per_success).min(self.cap);
    }

    /// Takes one retry from the budget. Returns whether there was one.
    #[must_use]
    pub fn spend(&mut self) -> bool {
        let Some(left) = self.balance.checked_sub(RETRY_COST) else {
            return false;
        };
        self.balance = left;
        true
    }
}
