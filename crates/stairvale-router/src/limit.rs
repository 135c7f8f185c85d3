//! A customer's rate as this router holds to it.

use std::{
    num::NonZeroU32,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use governor::{
    DefaultDirectRateLimiter, Quota, RateLimiter,
    clock::{Clock, DefaultClock},
};
use stairvale_admission::limit::{self, Fraction, Share};
use stairvale_types::{Moment, unit};

/// The whole rate at this one router, and of that the share which the keeper of the customer's account told.
///
/// The first stops a surge through one router at once; the second, a moment later, one that is spread over many.
#[derive(Debug)]
pub struct Limit {
    whole: DefaultDirectRateLimiter,
    share: Mutex<Share>,
}

impl Limit {
    /// A limit that no keeper has said anything of yet.
    #[must_use]
    pub fn new(rate: unit::Rate) -> Self {
        Self { whole: RateLimiter::direct(quota(rate)), share: Mutex::default() }
    }

    /// The keeper told the share.
    pub fn set_share(&self, now: Moment, fraction: Fraction) {
        self.share().set(now, fraction);
    }

    /// Lets a request pass.
    ///
    /// # Errors
    /// The time after which to come back, if the customer is beyond its rate.
    pub fn pass(&self, now: Moment) -> Result<(), Duration> {
        self.share().pass(now)?;
        self.whole.check().map_err(|until| until.wait_time_from(DefaultClock::default().now()))
    }

    /// A share is whole after each change, so one left behind by a panic is as good.
    fn share(&self) -> MutexGuard<'_, Share> {
        self.share.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A rate with the burst that its account allows, too.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn quota(rate: unit::Rate) -> Quota {
    let burst = NonZeroU32::new(limit::burst(rate.per_second()).ceil() as u32).unwrap_or(NonZeroU32::MIN);
    let period = Duration::from_secs_f64(1.0 / rate.per_second());
    Quota::with_period(period).unwrap_or(Quota::per_second(burst)).allow_burst(burst)
}
