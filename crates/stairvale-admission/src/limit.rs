//! A customer's rate over the whole fleet, though every router sees only a part of what the customer asks.
//!
//! One router keeps the customer's [`Account`]; the others tell it now and then what was asked of them. While the
//! customer stays within its rate nobody is told anything. Beyond it, the account says which share of asks may be let
//! through, the same for every router, and each router's [`Share`] lets just that through. A router needs no account of
//! the others, and it doesn't matter how unevenly a balancer spreads the customer's connections.

use std::{collections::BTreeMap, time::Duration};

use stairvale_types::{Moment, id, unit};

/// How quickly the measured rate follows: its time constant. Shorter follows a surge sooner and errs more at low rates.
const FOLLOW: Duration = Duration::from_secs(1);
/// Requests that an account lets through beyond its rate at once, as seconds of the rate.
const BURST: Duration = Duration::from_secs(2);
/// The least burst in requests, so that a small rate doesn't refuse a few requests that come together by chance.
const MIN_BURST: f64 = 20.0;
/// What was let through too much, or is left of the burst, is evened out over this time.
const EVEN_OUT: Duration = Duration::from_secs(5);
/// A new account doesn't know yet what is asked, so for this long routers keep the share that they were told before.
const LEARN: Duration = Duration::from_secs(1);
/// A router is told again if the share changed by more than this part of it.
const NEWS: f64 = 0.1;
/// A share that wasn't told again for this long is forgotten: everything passes. Long, because of many routers each may
/// see a customer only now and then.
pub const SHARE_TTL: Duration = Duration::from_secs(60);
/// A share that was told longer ago than this is asked for again.
const ASK_AGAIN: Duration = Duration::from_secs(30);
/// An account that nobody asked of for this long is forgotten.
const IDLE: Duration = Duration::from_secs(60);
/// Asks that weren't told yet are told after this long.
const TELL_USAGE: Duration = Duration::from_secs(1);
/// Asks are told at once when there are more than the router's even part of the rate over this time.
const URGENT: Duration = Duration::from_millis(250);
/// The soonest and the latest time to tell a refused caller to come back.
const RETRY: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(10));
/// Shares are told in millionths.
const MILLION: f64 = 1e6;

/// The share of a customer's asks that may pass, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Fraction(f64);

impl Fraction {
    /// Everything passes.
    pub const ALL: Self = Self(1.0);

    /// From millionths; more than a million is one.
    #[must_use]
    pub fn from_millionths(millionths: u32) -> Self {
        Self((f64::from(millionths) / MILLION).min(1.0))
    }

    /// In millionths.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn millionths(self) -> u32 {
        (self.0 * MILLION).round() as u32
    }

    /// Whether it differs enough from what was told to be told again.
    fn is_news(self, told: Self) -> bool {
        (self.0 - told.0).abs() > NEWS * told.0 || (self == Self::ALL) != (told == Self::ALL)
    }
}

/// What was asked of one router since it told last.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Requests that came in, refused ones included.
    pub asked: u32,
    /// Those that passed.
    pub passed: u32,
    /// The share that the router goes by, so that its keeper needn't remember whom it told what.
    pub fraction: Fraction,
}

// ----------------------------------------------------------------------------

/// A customer's account, at the one router that keeps it.
#[derive(Debug)]
pub struct Account {
    rate: f64,
    since: Moment,
    heard: Moment,
    /// Requests a second that are asked of all routers, measured.
    asked: f64,
    /// What may still pass beyond the rate, at most the burst; negative if too much passed, at least minus the burst.
    tokens: f64,
}

impl Account {
    /// An account that has heard nothing yet.
    #[must_use]
    pub fn new(now: Moment, rate: unit::Rate) -> Self {
        let rate = rate.per_second();
        Self { rate, since: now, heard: now, asked: 0.0, tokens: burst(rate) }
    }

    // ------------------------------------------------------------------------
    // Queries.

    /// Whether nobody asked for so long that nothing is lost by forgetting it.
    #[must_use]
    pub fn is_idle(&self, now: Moment) -> bool {
        now.since(self.heard) >= IDLE
    }

    /// The share of asks that may pass now.
    #[must_use]
    pub fn fraction(&self) -> Fraction {
        let may_pass = (self.rate + self.tokens / EVEN_OUT.as_secs_f64()).max(0.0);
        // With half of the burst in hand, many asks in a short time are chance.
        let is_within = self.asked <= may_pass || self.tokens >= burst(self.rate) / 2.0;
        if is_within { Fraction::ALL } else { Fraction(may_pass / self.asked) }
    }

    // ------------------------------------------------------------------------
    // Changes.

    /// The configured rate, which may have changed.
    pub fn set_rate(&mut self, rate: unit::Rate) {
        self.rate = rate.per_second();
        self.tokens = self.tokens.min(burst(self.rate));
    }

    /// A router told its usage. Says what that router must be told, if anything.
    #[must_use]
    pub fn hear(&mut self, now: Moment, usage: Usage) -> Option<Fraction> {
        let passed = now.since(self.heard).as_secs_f64();
        self.heard = now;
        let fade = (-passed / FOLLOW.as_secs_f64()).exp();
        self.asked = self.asked * fade + f64::from(usage.asked) / FOLLOW.as_secs_f64();
        let burst = burst(self.rate);
        // What many routers let pass before they heard isn't held against the customer for long.
        self.tokens = (self.tokens + passed * self.rate - f64::from(usage.passed)).clamp(-burst, burst);
        let fraction = self.fraction();
        // Another keeper may have told this router more than a new account knows.
        let knows = now.since(self.since) >= LEARN || usage.fraction == Fraction::ALL;
        (knows && fraction.is_news(usage.fraction)).then_some(fraction)
    }
}

/// Requests that may pass at once, beyond a rate in requests a second.
#[must_use]
pub fn burst(rate: f64) -> f64 {
    (rate * BURST.as_secs_f64()).max(MIN_BURST)
}

// ----------------------------------------------------------------------------

/// What a router lets through of one customer's asks.
#[derive(Clone, Copy, Debug)]
pub struct Share {
    fraction: Fraction,
    told: Moment,
    /// Parts of a request that may pass already; one whole lets the next pass.
    credit: f64,
}

/// Half a request in hand: of many routers that see one ask each, about the right share lets it pass.
const FIRST_CREDIT: f64 = 0.5;

impl Default for Share {
    fn default() -> Self {
        Self { fraction: Fraction::ALL, told: Moment::ZERO, credit: FIRST_CREDIT }
    }
}

impl Share {
    /// The account's keeper told the share.
    pub fn set(&mut self, now: Moment, fraction: Fraction) {
        self.fraction = fraction;
        self.told = now;
    }

    /// Lets a request pass, or says when to come back.
    ///
    /// # Errors
    /// The time to wait, when the customer is beyond its rate.
    pub fn pass(&mut self, now: Moment) -> Result<(), Duration> {
        if now.since(self.told) >= SHARE_TTL {
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

    /// The smaller the share, the later to come back: asking again sooner would only be refused again.
    fn retry_after(&self) -> Duration {
        let (soonest, latest) = RETRY;
        if self.fraction.0 <= 0.0 {
            return latest;
        }
        let seconds = soonest.as_secs_f64() / self.fraction.0;
        Duration::from_secs_f64(seconds.min(latest.as_secs_f64()))
    }
}

// ----------------------------------------------------------------------------

#[derive(Clone, Copy, Debug)]
struct Untold {
    asked: u32,
    passed: u32,
    since: Moment,
    /// Asks that are told at once.
    urgent: u32,
}

#[derive(Clone, Copy, Debug)]
struct Told {
    fraction: Fraction,
    at: Moment,
}

/// What was asked of this router and isn't told yet, by customer, and the shares that it was told.
#[derive(Debug, Default)]
pub struct Meter {
    untold: BTreeMap<id::Customer, Untold>,
    told: BTreeMap<id::Customer, Told>,
}

impl Meter {
    /// A request of a customer with a rate came in at one of so many routers.
    pub fn count(&mut self, now: Moment, customer: &id::Customer, rate: unit::Rate, routers: usize, passed: bool) {
        let fresh = Untold { asked: 0, passed: 0, since: now, urgent: urgent(rate, routers) };
        let untold = self.untold.entry(customer.clone()).or_insert(fresh);
        untold.asked = untold.asked.saturating_add(1);
        untold.passed = untold.passed.saturating_add(u32::from(passed));
    }

    /// A customer's share came in.
    pub fn set(&mut self, now: Moment, customer: &id::Customer, fraction: Fraction) {
        self.told.retain(|_, told| now.since(told.at) < SHARE_TTL);
        if fraction == Fraction::ALL {
            self.told.remove(customer);
            return;
        }
        self.told.insert(customer.clone(), Told { fraction, at: now });
    }

    /// What is to be told now.
    pub fn due(&mut self, now: Moment) -> Vec<(id::Customer, Usage)> {
        let is_due = |untold: &Untold| untold.asked >= untold.urgent || now.since(untold.since) >= TELL_USAGE;
        let usage = |(customer, untold): (&id::Customer, &Untold)| {
            let fraction = self.fraction(now, customer);
            (customer.clone(), Usage { asked: untold.asked, passed: untold.passed, fraction })
        };
        let due = self.untold.iter().filter(|(_, untold)| is_due(untold)).map(usage).collect();
        self.untold.retain(|_, untold| !is_due(untold));
        due
    }

    /// The share to tell: an old one is told as none, so that the keeper says it again before it lapses.
    fn fraction(&self, now: Moment, customer: &id::Customer) -> Fraction {
        let told = self.told.get(customer).filter(|told| now.since(told.at) < ASK_AGAIN);
        told.map_or(Fraction::ALL, |told| told.fraction)
    }
}

/// A router's even part of a rate over [`URGENT`], at least one request.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, clippy::cast_precision_loss)]
fn urgent(rate: unit::Rate, routers: usize) -> u32 {
    let part = rate.per_second() * URGENT.as_secs_f64() / routers.max(1) as f64;
    part.ceil().max(1.0) as u32
}
