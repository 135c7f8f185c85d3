//! How long engines take to the first event, by what they have to read until then.

/// A prompt's first event when nothing is to be read, in ms, until answers have shown it.
const FIRST_BASE: f64 = 30.0;
/// Tokens read in a ms, until answers have shown it.
const FIRST_RATE: f64 = 40.0;
/// With less to read the answer's time tells the base.
const LITTLE: f64 = 200.0;
/// With more to read it tells the rate.
const MUCH: f64 = 800.0;
/// An answer that took more than so many times the mean counts as if it had taken that.
const UNUSUAL: f64 = 3.0;
/// The least time that reading a token is taken to need, in ms.
const LEAST: f64 = 1e-3;
/// How much one answer counts in a mean.
const MEAN_WEIGHT: f64 = 0.1;

/// A line through what was seen: a base, and a time for each token.
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    /// The time of a first event when nothing is to be read, in ms.
    base: f64,
    /// The time that reading a token takes, in ms.
    each: f64,
}

impl Default for Reading {
    fn default() -> Self {
        Self { base: FIRST_BASE, each: 1.0 / FIRST_RATE }
    }
}

impl Reading {
    /// The time that reading so many tokens takes, in ms.
    #[must_use]
    pub fn time(&self, tokens: f64) -> f64 {
        tokens * self.each
    }

    /// The time to the first event with so many tokens to read before it, in ms.
    #[must_use]
    pub fn first(&self, tokens: f64) -> f64 {
        self.base + self.time(tokens)
    }

    /// A first event came after `took` ms, with so many tokens to read before it and nothing else.
    pub fn observe(&mut self, tokens: f64, took: f64) {
        if tokens < LITTLE {
            let base = (took - self.time(tokens)).max(0.0);
            // What held it up for much longer says nothing of the usual.
            self.base += (base.min(self.base * UNUSUAL) - self.base) * MEAN_WEIGHT;
        } else if tokens >= MUCH {
            let each = (took - self.base).max(0.0) / tokens;
            self.each += (each.clamp(LEAST, self.each * UNUSUAL) - self.each) * MEAN_WEIGHT;
        }
    }
}
