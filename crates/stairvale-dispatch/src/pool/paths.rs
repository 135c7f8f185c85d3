//! Pairs of zones between which engines can copy cached prefixes, derived from the time that copies take.
//!
//! During a network partition some connections between engines still work and others don't: open connections go on
//! while new ones are refused, and routers detect the partition a second later than engines do. An engine whose copy
//! fails waits for its time-out, a third of a second or more, and prefills all parts after that. Its late first event
//! shows the failure. The home then has engines prefill at once, and lets one copy at a time probe whether the path
//! works again.

use std::{collections::BTreeMap, time::Duration};

use stairvale_types::{Moment, id};

use super::Pool;
use crate::Member;

/// Number of late copies in a row that close a path: a single one may have been late for another reason.
const MIN_LATE_COPIES: u8 = 2;
/// Late copies that lie further apart than this aren't in a row.
const MAX_LATE_INTERVAL: Duration = Duration::from_secs(3);
/// A first event is late beyond this multiple of the expected time plus [`LATE_MARGIN_MS`].
const LATE_RATIO: f64 = 1.5;
/// Time beyond [`LATE_RATIO`] from which a first event is late, in ms: half of an engine's time-out for an unresponsive
/// source (330 ms, docs/POLICY.md).
const LATE_MARGIN_MS: f64 = 150.0;
/// The first pause of a closed path; it doubles up to [`MAX_PAUSE`] with each copy that probes the path.
const INITIAL_PAUSE: Duration = Duration::from_millis(1_000);
/// The longest pause of a closed path.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// The state of the path from one zone to another while copies on it are late.
#[derive(Clone, Copy, Debug)]
struct Path {
    late: u8,
    /// When a copy was last late.
    last_late: Moment,
    /// When the next copy may probe the path, once enough were late.
    closed_until: Moment,
    pause: Duration,
}

/// The paths on which copies were late.
#[derive(Debug, Default)]
pub(super) struct Paths {
    paths: BTreeMap<(id::Zone, id::Zone), Path>,
}

impl Paths {
    /// Whether no path is closed, so that paths needn't be checked one by one.
    pub(super) fn are_all_open(&self) -> bool {
        self.paths.values().all(|path| path.late < MIN_LATE_COPIES)
    }

    /// Whether engines of one zone can copy from those of another, as far as late copies show.
    pub(super) fn is_open(&self, now: Moment, from: &id::Zone, to: &id::Zone) -> bool {
        let path = self.paths.get(&(from.clone(), to.clone()));
        path.is_none_or(|path| path.late < MIN_LATE_COPIES || now >= path.closed_until)
    }

    /// Records the start of a copy. On a closed path it is a probe, and other copies wait for its result.
    pub(super) fn begin(&mut self, now: Moment, from: &id::Zone, to: &id::Zone) {
        if let Some(path) = self.paths.get_mut(&(from.clone(), to.clone())).filter(|path| path.late >= MIN_LATE_COPIES)
        {
            path.closed_until = now + path.pause;
            path.pause = (path.pause * 2).min(MAX_PAUSE);
        }
    }

    /// Records the first event of a request that copied, which came after `took_ms` where `expected_ms` were expected.
    pub(super) fn end(&mut self, now: Moment, from: &id::Zone, to: &id::Zone, took_ms: f64, expected_ms: f64) {
        if from == to {
            return;
        }
        let key = (from.clone(), to.clone());
        if took_ms <= expected_ms * LATE_RATIO + LATE_MARGIN_MS {
            self.paths.remove(&key);
            return;
        }
        let path =
            self.paths.entry(key).or_insert(Path { late: 0, last_late: now, closed_until: now, pause: INITIAL_PAUSE });
        if path.late < MIN_LATE_COPIES && now.since(path.last_late) > MAX_LATE_INTERVAL {
            path.late = 0;
        }
        path.last_late = now;
        path.late = path.late.saturating_add(1).min(MIN_LATE_COPIES + 1);
        if path.late == MIN_LATE_COPIES {
            path.closed_until = now + path.pause;
            path.pause = (path.pause * 2).min(MAX_PAUSE);
        }
    }
}

impl Pool {
    /// Whether a member can copy from an engine, as far as the path between their zones is concerned.
    pub(super) fn can_copy_between(&self, now: Moment, from: &id::Upstream, to: &Member) -> bool {
        self.paths.are_all_open()
            || self.members.get(from).is_none_or(|from| self.paths.is_open(now, &from.zone, &to.zone))
    }
}
