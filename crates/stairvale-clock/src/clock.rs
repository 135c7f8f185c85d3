//! A clock that includes suspensions of the VM, and waits that respect it.

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

/// The deadline passed before the work was done.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the deadline passed")]
pub struct DeadlinePassed;

/// The shortest difference between the clocks that counts as a suspension. The clocks are read one after the other, so
/// a pause of the process between the two readings makes them differ by less than this without any suspension.
const MIN_SUSPENSION: Duration = Duration::from_millis(100);
/// A timer that fires this much after its time shows that the process wasn't running for a while.
const MIN_DELAY: Duration = Duration::from_millis(20);
/// Extra time for work whose deadline passed while the VM was suspended or the process wasn't running: data that arrived
/// meanwhile is still read.
const RESUME_GRACE: Duration = Duration::from_millis(5);

/// Measures the time since the start of a process, suspensions included. Clones share their state and give the same
/// time.
#[derive(Clone, Debug)]
pub struct Clock {
    /// `CLOCK_BOOTTIME` when this clock started.
    started_boottime: Duration,
    /// `CLOCK_MONOTONIC` when this clock started; it excludes suspensions.
    started_monotonic: Instant,
    /// The total time of simulated suspensions, in microseconds.
    simulated_suspension_us: Arc<AtomicU64>,
    /// The total time of the suspensions detected so far.
    detected_suspension: Arc<watch::Sender<Duration>>,
}

impl Clock {
    /// Starts a clock at [`Moment::ZERO`].
    #[must_use]
    pub fn start() -> Self {
        Self {
            started_boottime: boottime(),
            started_monotonic: Instant::now(),
            simulated_suspension_us: Arc::default(),
            detected_suspension: Arc::default(),
        }
    }

    /// The time elapsed since the start, including suspensions.
    #[must_use]
    pub fn now(&self) -> Moment {
        Moment::ZERO + boottime().saturating_sub(self.started_boottime) + self.simulated_suspension()
    }

    /// Simulates a suspension of the VM for `span`, for tests.
    pub fn suspend(&self, span: Duration) {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        self.simulated_suspension_us.fetch_add(micros, Ordering::Relaxed);
    }

    fn simulated_suspension(&self) -> Duration {
        Duration::from_micros(self.simulated_suspension_us.load(Ordering::Relaxed))
    }

    /// Waits for `work` until `until`; time during which the VM is suspended or the process isn't running counts.
    ///
    /// # Errors
    /// Returns an error if `until` passes before `work` is done.
    pub async fn with_deadline<T>(&self, until: Moment, work: impl Future<Output = T>) -> Result<T, DeadlinePassed> {
        let mut work = pin!(work);
        let mut suspensions = self.detected_suspension.subscribe();
        loop {
            let remaining = until.since(self.now());
            // This clock holds the sender, so `changed` returns only after a detected suspension.
            tokio::select! {
                biased;
                done = &mut work => return Ok(done),
                _ = suspensions.changed() => {}
                () = tokio::time::sleep(remaining) => {
                    if self.now().since(until) < MIN_DELAY {
                        return Err(DeadlinePassed);
                    }
                }
            }
            if self.now() >= until {
                return tokio::time::timeout(RESUME_GRACE, work).await.map_err(|_| DeadlinePassed);
            }
        }
    }

    /// Returns for how long the VM was suspended since the last call, if it was; all waits then check their deadlines
    /// again.
    pub fn detect_suspension(&self) -> Option<Duration> {
        let suspended = self.now().since(Moment::ZERO).saturating_sub(self.started_monotonic.elapsed());
        let before = *self.detected_suspension.borrow();
        let span = suspended.checked_sub(before).filter(|span| *span > MIN_SUSPENSION)?;
        self.detected_suspension.send_replace(suspended);
        Some(span)
    }
}

/// The time since the system booted, suspensions included.
fn boottime() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    // `CLOCK_BOOTTIME` is never negative.
    Duration::new(u64::try_from(time.tv_sec).unwrap_or(0), u32::try_from(time.tv_nsec).unwrap_or(0))
}
