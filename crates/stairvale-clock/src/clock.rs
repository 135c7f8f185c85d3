//! The clock itself.

use std::{
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use stairvale_types::Moment;
use tokio::sync::watch;

/// The moment came before what was waited for.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the time was over")]
pub struct Late;

/// Time since the start of a process. Clones tell the same time.
#[derive(Clone, Debug)]
pub struct Clock {
    started: Instant,
    /// For how long the VM was made to look suspended, in microseconds.
    suspended: Arc<AtomicU64>,
    /// How long the VM was suspended in all, as far as that was noticed.
    noticed: Arc<watch::Sender<Duration>>,
}

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self { started: Instant::now(), suspended: Arc::default(), noticed: Arc::default() }
    }

    /// Now.
    #[must_use]
    pub fn now(&self) -> Moment {
        Moment::ZERO + self.started.elapsed()
    }

    /// Makes the VM look as if it had been suspended for a while, for tests.
    pub fn suspend(&self, span: Duration) {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        self.suspended.fetch_add(micros, Ordering::Relaxed);
    }

    /// Waits for something until a moment.
    ///
    /// # Errors
    /// [`Late`] if the moment came first.
    pub async fn before<T>(&self, until: Moment, work: impl Future<Output = T>) -> Result<T, Late> {
        let work = pin!(work);
        tokio::time::timeout(until.since(self.now()), work).await.map_err(|_| Late)
    }

    /// Looks whether the VM was suspended since this was asked last, and for how long; all that wait look at their time again.
    pub fn notice(&self) -> Option<Duration> {
        None
    }
}
