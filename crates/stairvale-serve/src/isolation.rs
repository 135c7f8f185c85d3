//! Detection that this router can't open connections to any upstream, while others may.

use std::{collections::BTreeSet, time::Duration};

use stairvale_types::{Moment, id};

/// Number of upstreams that can't be connected to, and none that can, from which on the router counts as isolated. One
/// or two may have crashed at the same time.
const MIN_FAILED_UPSTREAMS: usize = 3;
/// Time without a successful connection from which on failures may be this router's own. While some upstreams are reached,
/// others that are down are no sign of isolation.
const MIN_TIME_WITHOUT_SUCCESS: Duration = Duration::from_millis(150);
/// Interval at which an isolated router tries to connect to an upstream itself.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// The outcomes of this router's recent attempts to open connections to upstreams. Connections that are already open say
/// nothing: they may live on while new ones fail.
#[derive(Debug, Default)]
pub struct Isolation {
    /// Upstreams that couldn't be connected to since a connection was last opened.
    failed: BTreeSet<id::Upstream>,
    last_success: Moment,
    is_isolated: bool,
    next_probe: Moment,
}

/// A change that is reported to operators.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// No upstream can be reached any more.
    Began,
    /// Upstreams can be reached again.
    Ended,
}

impl Isolation {
    /// Records that a connection was opened.
    pub fn record_success(&mut self, now: Moment) -> Option<Change> {
        self.failed.clear();
        self.last_success = now;
        std::mem::take(&mut self.is_isolated).then_some(Change::Ended)
    }

    /// Records that an upstream couldn't be connected to.
    pub fn record_failure(&mut self, now: Moment, upstream: &id::Upstream) -> Option<Change> {
        if self.is_isolated {
            return None;
        }
        self.failed.insert(upstream.clone());
        self.is_isolated = self.failed.len() >= MIN_FAILED_UPSTREAMS && self.lacks_success(now);
        self.next_probe = now + PROBE_INTERVAL;
        self.is_isolated.then_some(Change::Began)
    }

    /// Whether no upstream can be reached.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.is_isolated
    }

    /// Whether an upstream other than this one couldn't be connected to, and none could for a while, so that the cause may
    /// lie with this router.
    #[must_use]
    pub fn is_suspected(&self, now: Moment, upstream: &id::Upstream) -> bool {
        self.is_isolated || self.lacks_success(now) && self.failed.iter().any(|failed| failed != upstream)
    }

    fn lacks_success(&self, now: Moment) -> bool {
        now.since(self.last_success) >= MIN_TIME_WITHOUT_SUCCESS
    }

    /// Whether an isolated router is to try a connection of its own now; the next try is due an interval later.
    pub fn take_probe(&mut self, now: Moment) -> bool {
        let is_due = now >= self.next_probe;
        if is_due {
            self.next_probe = now + PROBE_INTERVAL;
        }
        is_due
    }
}
