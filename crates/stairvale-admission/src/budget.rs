//! Retries are bounded to a share of successes, so that a sick service is not stormed.

/// A budget of retries, in thousandths of a retry.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    earned: u32,
    per_success: u32,
    cap: u32,
}

/// What one retry costs.
const RETRY: u32 = 1_000;

impl Budget {
    /// A budget that earns `percent` hundredths of a retry with each success and holds at most `cap` retries.
    #[must_use]
    pub const fn new(percent: u32, cap: u32) -> Self {
        let cap = cap * RETRY;
        Self { earned: cap, per_success: percent * RETRY / 100, cap }
    }

    /// A request succeeded.
    pub fn earn(&mut self) {
        self.earned = (self.earned + self.per_success).min(self.cap);
    }

    /// Takes one retry, if there is one.
    #[must_use]
    pub fn spend(&mut self) -> bool {
        let Some(left) = self.earned.checked_sub(RETRY) else {
            return false;
        };
        self.earned = left;
        true
    }
}
