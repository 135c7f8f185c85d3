//! Rate limits that hold over the whole fleet, although each router sees only some of a customer's requests.
//!
//! One router owns the customer's [`Account`]; the other routers report to it now and then how many requests they
//! received. While the customer stays within its rate, the owner sends nothing back. Beyond the rate, the account
//! computes which share of the requests may pass, the same for every router, and each router lets just that share
//! through. A router needs no information about the other routers, and it doesn't matter how unevenly a load
//! balancer spreads the customer's connections.

use std::{collections::BTreeMap, time::Duration};

use stairvale_types::{Moment, id, unit};

/// Time constant of the exponential average of the request rate. A shorter one follows a burst sooner, but its estimate
/// is noisier at low rates.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Burst allowance of an account, as the time in which that many requests arrive at the configured rate.
const BURST_WINDOW: Duration = Duration::from_secs(2);
/// Minimum burst allowance in requests, so that a low rate doesn't refuse a few requests that coincide by chance.
const MIN_BURST: f64 = 20.0;
/// Time over which an excess of passed requests, or what is left of the burst allowance, is evened out.
const CORRECTION_WINDOW: Duration = Duration::from_secs(5);
/// Time for which a new account leaves routers at the share they already have, since its estimate of the rate isn't
/// reliable yet.
const WARM_UP: Duration = Duration::from_secs(1);
/// Relative change of a share above which a router is sent the new share.
const UPDATE_THRESHOLD_RATIO: f64 = 0.1;
/// Time after which a share that wasn't sent again expires and all requests pass. It is long because each of many
/// routers may receive requests of a customer only now and then.
pub const SHARE_TTL: Duration = Duration::from_secs(60);
/// Age at which a router requests its share again.
const SHARE_REFRESH_AGE: Duration = Duration::from_secs(30);
/// Time without usage reports after which an account is idle and may be removed.
const ACCOUNT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval after which requests that were counted but not yet reported are reported.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// A router reports at once when it has counted more requests than its even part of the rate over this time.
const EARLY_REPORT_WINDOW: Duration = Duration::from_millis(250);
/// Minimum and maximum time after which a refused caller may retry.
const RETRY_AFTER_RANGE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(10));
/// Number of millionths, the unit of shares in messages, in a whole.
const MILLIONTHS: f64 = 1e6;

/// The share of a customer's requests that may pass, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Fraction(f64);

impl Fraction {
    /// All requests pass.
    pub const ALL: Self = Self(1.0);

    /// Converts from millionths; values above one million become 1.
    #[must_use]
    pub fn from_millionths(millionths: u32) -> Self {
        Self((f64::from(millionths) / MILLIONTHS).min(1.0))
    }

    /// Converts to millionths, rounded to the nearest.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn millionths(self) -> u32 {
        (self.0 * MILLIONTHS).round() as u32
    }

    /// Whether this share differs enough from the one that a router applies for the router to be sent it.
    fn needs_update(self, applied: Self) -> bool {
        (self.0 - applied.0).abs() > UPDATE_THRESHOLD_RATIO * applied.0 || (self == Self::ALL) != (applied == Self::ALL)
    }
}

/// One customer's requests at one router since the router's last report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Requests that came in, refused ones included.
    pub requests: u32,
    /// Requests that passed.
    pub passed: u32,
    /// The share that the router applies. Reporting it saves the account's owner from recording what it sent to whom.
    pub fraction: Fraction,
}

// ----------------------------------------------------------------------------

/// A customer's account, at the one router that owns it.
#[derive(Debug)]
pub struct Account {
    rate: f64,
    created_at: Moment,
    last_report: Moment,
    /// Estimated rate of requests at all routers together, in requests a second.
    request_rate: f64,
    /// Requests that may still pass beyond the rate, at most the burst allowance. Negative if too many passed, at least
    /// minus the burst allowance.
    tokens: f64,
}

impl Account {
    /// Creates an account that has received no usage reports yet and has its full burst allowance.
    #[must_use]
    pub fn new(now: Moment, rate: unit::Rate) -> Self {
        let rate = rate.per_second();
        Self { rate, created_at: now, last_report: now, request_rate: 0.0, tokens: burst_allowance(rate) }
    }

    // ------------------------------------------------------------------------
    // Queries.

    /// Whether no usage was reported for so long that nothing is lost by removing the account.
    #[must_use]
    pub fn is_idle(&self, now: Moment) -> bool {
        now.since(self.last_report) >= ACCOUNT_IDLE_TIMEOUT
    }

    /// The share of requests that may pass now.
    #[must_use]
    pub fn fraction(&self) -> Fraction {
        let may_pass = (self.rate + self.tokens / CORRECTION_WINDOW.as_secs_f64()).max(0.0);
        // While half of the burst allowance is left, many requests in a short time are treated as coincidence.
        let is_within = self.request_rate <= may_pass || self.tokens >= burst_allowance(self.rate) / 2.0;
        if is_within { Fraction::ALL } else { Fraction(may_pass / self.request_rate) }
    }

    // ------------------------------------------------------------------------
    // Changes.

    /// Sets the configured rate, which may have changed, and caps the tokens at the new burst allowance.
    pub fn set_rate(&mut self, rate: unit::Rate) {
        self.rate = rate.per_second();
        self.tokens = self.tokens.min(burst_allowance(self.rate));
    }

    /// Records a router's usage report. Returns the share to send to that router, if it needs a new one.
    #[must_use]
    pub fn record_usage(&mut self, now: Moment, usage: Usage) -> Option<Fraction> {
        let elapsed = now.since(self.last_report).as_secs_f64();
        self.last_report = now;
        let decay = (-elapsed / RATE_TIME_CONSTANT.as_secs_f64()).exp();
        self.request_rate = self.request_rate * decay + f64::from(usage.requests) / RATE_TIME_CONSTANT.as_secs_f64();
        let burst = burst_allowance(self.rate);
        // The lower bound limits how long a customer pays for what many routers let pass before they received a share.
        self.tokens = (self.tokens + elapsed * self.rate - f64::from(usage.passed)).clamp(-burst, burst);
        let fraction = self.fraction();
        // A previous owner may have sent this router a share that rests on more reports than a new account has.
        let is_reliable = now.since(self.created_at) >= WARM_UP || usage.fraction == Fraction::ALL;
        (is_reliable && fraction.needs_update(usage.fraction)).then_some(fraction)
    }
}

/// The burst allowance in requests for a rate in requests a second.
#[must_use]
pub fn burst_allowance(rate: f64) -> f64 {
    (rate * BURST_WINDOW.as_secs_f64()).max(MIN_BURST)
}

// ----------------------------------------------------------------------------

/// One router's limiter for a customer: lets the share of requests pass that the account's owner sent.
#[derive(Clone, Copy, Debug)]
pub struct ShareLimiter {
    fraction: Fraction,
    received_at: Moment,
    /// Accumulated shares of the requests so far, in requests; each whole one lets a request pass.
    credit: f64,
}

/// Initial credit in requests. With half a request, about the right share passes even if each of many routers receives
/// only one request.
const INITIAL_CREDIT: f64 = 0.5;

impl Default for ShareLimiter {
    fn default() -> Self {
        Self { fraction: Fraction::ALL, received_at: Moment::ZERO, credit: INITIAL_CREDIT }
    }
}

impl ShareLimiter {
    /// Applies a share received from the account's owner.
    pub fn set(&mut self, now: Moment, fraction: Fraction) {
        self.fraction = fraction;
        self.received_at = now;
    }

    /// Lets a request pass or refuses it.
    ///
    /// # Errors
    /// The time after which to retry, when the customer is beyond its rate.
    pub fn pass(&mut self, now: Moment) -> Result<(), Duration> {
        if now.since(self.received_at) >= SHARE_TTL {
            self.fraction = Fraction::ALL;
        }
        if self.fraction == Fraction::ALL {
            return Ok(());
        }
        self.credit += self.fraction.0;
        if self.credit >= 1.0 {
            self.credit -= 1.0;
            return Ok(());
        }
        Err(self.retry_after())
    }

    /// The time after which to retry. It is longer for a smaller share, since an earlier retry would only be refused
    /// again.
    fn retry_after(&self) -> Duration {
        let (min, max) = RETRY_AFTER_RANGE;
        if self.fraction.0 <= 0.0 {
            return max;
        }
        let seconds = min.as_secs_f64() / self.fraction.0;
        Duration::from_secs_f64(seconds.min(max.as_secs_f64()))
    }
}

// ----------------------------------------------------------------------------

/// Requests of one customer that are counted but not yet reported.
#[derive(Clone, Copy, Debug)]
struct Unreported {
    requests: u32,
    passed: u32,
    since: Moment,
    /// Number of requests at which they are reported at once.
    early_report_at: u32,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedShare {
    fraction: Fraction,
    at: Moment,
}

/// A router's counts of requests that it hasn't reported yet, and the shares that it received, both by customer.
#[derive(Debug, Default)]
pub struct Meter {
    unreported: BTreeMap<id::Customer, Unreported>,
    received: BTreeMap<id::Customer, ReceivedShare>,
}

impl Meter {
    /// Counts a request of a customer that has a rate limit; `routers` is the number of routers in the fleet.
    pub fn count(&mut self, now: Moment, customer: &id::Customer, rate: unit::Rate, routers: usize, passed: bool) {
        let initial =
            Unreported { requests: 0, passed: 0, since: now, early_report_at: early_report_count(rate, routers) };
        let unreported = self.unreported.entry(customer.clone()).or_insert(initial);
        unreported.requests = unreported.requests.saturating_add(1);
        unreported.passed = unreported.passed.saturating_add(u32::from(passed));
    }

    /// Stores a customer's share received from the account's owner.
    pub fn set(&mut self, now: Moment, customer: &id::Customer, fraction: Fraction) {
        self.received.retain(|_, received| now.since(received.at) < SHARE_TTL);
        if fraction == Fraction::ALL {
            self.received.remove(customer);
            return;
        }
        self.received.insert(customer.clone(), ReceivedShare { fraction, at: now });
    }

    /// Takes the usage that is due to be reported now.
    pub fn take_due(&mut self, now: Moment) -> Vec<(id::Customer, Usage)> {
        let is_due = |unreported: &Unreported| {
            unreported.requests >= unreported.early_report_at || now.since(unreported.since) >= REPORT_INTERVAL
        };
        let usage = |(customer, unreported): (&id::Customer, &Unreported)| {
            let fraction = self.fraction(now, customer);
            (customer.clone(), Usage { requests: unreported.requests, passed: unreported.passed, fraction })
        };
        let due = self.unreported.iter().filter(|(_, unreported)| is_due(unreported)).map(usage).collect();
        self.unreported.retain(|_, unreported| !is_due(unreported));
        due
    }

    /// The share to report. An old share is reported as none, so that the account's owner sends it again before it
    /// expires.
    fn fraction(&self, now: Moment, customer: &id::Customer) -> Fraction {
        let received = self.received.get(customer).filter(|received| now.since(received.at) < SHARE_REFRESH_AGE);
        received.map_or(Fraction::ALL, |received| received.fraction)
    }
}

/// A router's even part of a rate over [`EARLY_REPORT_WINDOW`], at least one request.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, clippy::cast_precision_loss)]
fn early_report_count(rate: unit::Rate, routers: usize) -> u32 {
    let part = rate.per_second() * EARLY_REPORT_WINDOW.as_secs_f64() / routers.max(1) as f64;
    part.ceil().max(1.0) as u32
}
