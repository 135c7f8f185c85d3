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

/// The clocks differ by less than this without any suspension: two readings one after the other, with a pause of the process
/// between them.
const SLIP: Duration = Duration::from_millis(100);
/// What came while the VM was suspended is read before its time counts as over.
const CATCH_UP: Duration = Duration::from_millis(5);

/// Time since the start of a process. Clones tell the same time.
#[derive(Clone, Debug)]
pub struct Clock {
    /// The reading of `CLOCK_BOOTTIME` at the start.
    booted: Duration,
    steady: Instant,
    /// For how long the VM was made to look suspended, in microseconds.
    pretended: Arc<AtomicU64>,
    /// How long the VM was suspended in all, as far as that was noticed.
    noticed: Arc<watch::Sender<Duration>>,
}

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self { booted: boottime(), steady: Instant::now(), pretended: Arc::default(), noticed: Arc::default() }
    }

    /// Now.
    #[must_use]
    pub fn now(&self) -> Moment {
        Moment::ZERO + boottime().saturating_sub(self.booted) + self.pretended()
    }

    /// Makes the VM look as if it had been suspended for a while, for tests.
    pub fn suspend(&self, span: Duration) {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        self.pretended.fetch_add(micros, Ordering::Relaxed);
    }

    fn pretended(&self) -> Duration {
        Duration::from_micros(self.pretended.load(Ordering::Relaxed))
    }

    /// Waits for something until a moment.
    ///
    /// # Errors
    /// [`Late`] if the moment came first.
    pub async fn before<T>(&self, until: Moment, work: impl Future<Output = T>) -> Result<T, Late> {
        let mut work = pin!(work);
        let mut noticed = self.noticed.subscribe();
        loop {
            let left = until.since(self.now());
            // The sender lives as long as this clock, so only a suspension ends that wait.
            tokio::select! {
                biased;
                done = &mut work => return Ok(done),
                _ = noticed.changed() => {}
                () = tokio::time::sleep(left) => return Err(Late),
            }
            if self.now() >= until {
                return tokio::time::timeout(CATCH_UP, work).await.map_err(|_| Late);
            }
        }
    }

    /// Looks whether the VM was suspended since this was asked last, and for how long; all that wait look at their time again.
    pub fn notice(&self) -> Option<Duration> {
        let slept = self.now().since(Moment::ZERO).saturating_sub(self.steady.elapsed());
        let before = *self.noticed.borrow();
        let span = slept.checked_sub(before).filter(|span| *span > SLIP)?;
        self.noticed.send_replace(slept);
        Some(span)
    }
}

/// The time since the system started, suspensions included.
fn boottime() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    // It is never negative.
    Duration::new(u64::try_from(time.tv_sec).unwrap_or(0), u32::try_from(time.tv_nsec).unwrap_or(0))
}
