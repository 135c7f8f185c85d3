//! The rate limit of a customer at one router.

use std::{
    num::NonZeroU32,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use governor::{
    DefaultDirectRateLimiter, Quota, RateLimiter,
    clock::{Clock, DefaultClock},
};
use stairvale_admission::limit::{self, Fraction, ShareLimiter};
use stairvale_types::{Moment, unit};

/// Limits a customer to its full rate at this router, and to the share of the rate that the owner of the customer's
/// account assigned to this router.
///
/// The full rate stops a burst through one router at once; the share stops, with a short delay, a burst that is spread
/// over many routers.
#[derive(Debug)]
pub struct Limit {
    full_rate: DefaultDirectRateLimiter,
    share: Mutex<ShareLimiter>,
}

impl Limit {
    /// A limit for which no share has been received from the account's owner yet.
    #[must_use]
    pub fn new(rate: unit::Rate) -> Self {
        Self { full_rate: RateLimiter::direct(quota(rate)), share: Mutex::default() }
    }

    /// Sets the share that the account's owner assigned to this router.
    pub fn set_share(&self, now: Moment, fraction: Fraction) {
        self.lock_share().set(now, fraction);
    }

    /// Admits a request if it is within the limit.
    ///
    /// # Errors
    /// The time after which to retry, if the customer exceeds its rate.
    pub fn admit(&self, now: Moment) -> Result<(), Duration> {
        self.lock_share().pass(now)?;
        self.full_rate.check().map_err(|until| until.wait_time_from(DefaultClock::default().now()))
    }

    /// Locks the share. A poisoned lock is used as it is, since the share is consistent after each single change.
    fn lock_share(&self) -> MutexGuard<'_, ShareLimiter> {
        self.share.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The limiter's quota for a rate, with the same burst that the customer's account allows.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn quota(rate: unit::Rate) -> Quota {
    let burst = NonZeroU32::new(limit::burst_allowance(rate.per_second()).ceil() as u32).unwrap_or(NonZeroU32::MIN);
    let period = Duration::from_secs_f64(1.0 / rate.per_second());
    Quota::with_period(period).unwrap_or(Quota::per_second(burst)).allow_burst(burst)
}
