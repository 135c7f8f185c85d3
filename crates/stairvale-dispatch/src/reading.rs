//! A model of the engines' time to the first event, by the number of tokens to prefill.

/// Initial time to the first event without a prefill, in ms.
const INITIAL_BASE_MS: f64 = 30.0;
/// Initial prefill rate, in tokens per ms.
const INITIAL_TOKENS_PER_MS: f64 = 40.0;
/// Below this number of tokens an answer's time updates the base.
const MAX_BASE_TOKENS: f64 = 200.0;
/// From this number of tokens on an answer's time updates the time per token.
const MIN_RATE_TOKENS: f64 = 800.0;
/// An answer that took more than this multiple of the mean is counted as this multiple.
const MAX_DEVIATION_RATIO: f64 = 3.0;
/// Lower limit of the time per token, in ms.
const MIN_TOKEN_MS: f64 = 1e-3;
/// Weight of one answer in a mean.
const MEAN_WEIGHT: f64 = 0.1;

/// A linear model of the time to the first event: a base, and a time per token.
#[derive(Clone, Copy, Debug)]
pub struct PrefillModel {
    /// The time to the first event without a prefill, in ms.
    base_ms: f64,
    /// The prefill time per token, in ms.
    token_ms: f64,
}

impl Default for PrefillModel {
    fn default() -> Self {
        Self { base_ms: INITIAL_BASE_MS, token_ms: 1.0 / INITIAL_TOKENS_PER_MS }
    }
}

impl PrefillModel {
    /// Returns the prefill time of a number of tokens, in ms.
    #[must_use]
    pub fn time(&self, tokens: f64) -> f64 {
        tokens * self.token_ms
    }

    /// Returns the time to the first event, with a number of tokens to prefill before it, in ms.
    #[must_use]
    pub fn first(&self, tokens: f64) -> f64 {
        self.base_ms + self.time(tokens)
    }

    /// Updates the model by a first event that came after `took_ms` ms, with `tokens` tokens to prefill and no other
    /// prefill.
    pub fn observe(&mut self, tokens: f64, took_ms: f64) {
        if tokens < MAX_BASE_TOKENS {
            let base_ms = (took_ms - self.time(tokens)).max(0.0);
            // A much longer delay has another cause than the base.
            self.base_ms += (base_ms.min(self.base_ms * MAX_DEVIATION_RATIO) - self.base_ms) * MEAN_WEIGHT;
        } else if tokens >= MIN_RATE_TOKENS {
            let token_ms = (took_ms - self.base_ms).max(0.0) / tokens;
            self.token_ms +=
                (token_ms.clamp(MIN_TOKEN_MS, self.token_ms * MAX_DEVIATION_RATIO) - self.token_ms) * MEAN_WEIGHT;
        }
    }
}
