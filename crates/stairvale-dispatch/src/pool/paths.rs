//! Between which zones engines can copy from each other, learnt from how long copies take.
//!
//! Engines behind a cut may be reached by some ways and not by others: connections that are open go on while new ones are refused,
//! and routers hear of a cut a second later than engines do. An engine that can't copy what it was told to waits in vain, a third
//! of a second and more, and reads all of it after that. Its late first event tells that; then the home has engines read at
//! once, and lets one at a time try whether copying works again.

use std::{collections::BTreeMap, time::Duration};

use stairvale_types::{Moment, id};

use super::Pool;
use crate::Member;

/// Copies in a row that must be late: one alone may have waited for something else.
const ENOUGH: u8 = 2;
/// Late ones that lie further apart aren't in a row.
const TOGETHER: Duration = Duration::from_secs(3);
/// A first event is late beyond this multiple of what was expected, and ...
const SLOW: f64 = 1.5;
/// ... this, in ms: half of what an engine waits for a source that says nothing (330 ms, docs/POLICY.md).
const WAITS: f64 = 150.0;
/// The first pause; it doubles up to [`LONGEST`] with each copy that tries.
const FIRST: Duration = Duration::from_millis(1_000);
/// The longest pause.
const LONGEST: Duration = Duration::from_secs(4);

/// What is known of the way from one zone to another, as long as copies are late on it.
#[derive(Clone, Copy, Debug)]
struct Path {
    late: u8,
    /// When the last one was late.
    at: Moment,
    /// When the next one may try, once enough were late.
    closed_until: Moment,
    pause: Duration,
}

/// The ways on which copies were late.
#[derive(Debug, Default)]
pub(super) struct Paths {
    between: BTreeMap<(id::Zone, id::Zone), Path>,
}

impl Paths {
    /// Whether no way is shut, so that nobody need ask.
    pub(super) fn are_well(&self) -> bool {
        self.between.values().all(|path| path.late < ENOUGH)
    }

    /// Whether engines of a zone can copy from another one's, as far as is known.
    pub(super) fn is_open(&self, now: Moment, from: &id::Zone, to: &id::Zone) -> bool {
        let path = self.between.get(&(from.clone(), to.clone()));
        path.is_none_or(|path| path.late < ENOUGH || now >= path.closed_until)
    }

    /// A copy begins. Where others were late it is a trial, and the next ones wait for what becomes of it.
    pub(super) fn begin(&mut self, now: Moment, from: &id::Zone, to: &id::Zone) {
        if let Some(path) = self.between.get_mut(&(from.clone(), to.clone())).filter(|path| path.late >= ENOUGH) {
            path.closed_until = now + path.pause;
            path.pause = (path.pause * 2).min(LONGEST);
        }
    }

    /// The first event of a request that copied came after `took` ms, where `expected` were.
    pub(super) fn end(&mut self, now: Moment, from: &id::Zone, to: &id::Zone, took: f64, expected: f64) {
        if from == to {
            return;
        }
        let way = (from.clone(), to.clone());
        if took <= expected * SLOW + WAITS {
            self.between.remove(&way);
            return;
        }
        let path = self.between.entry(way).or_insert(Path { late: 0, at: now, closed_until: now, pause: FIRST });
        if path.late < ENOUGH && now.since(path.at) > TOGETHER {
            path.late = 0;
        }
        path.at = now;
        path.late = path.late.saturating_add(1).min(ENOUGH + 1);
        if path.late == ENOUGH {
            path.closed_until = now + path.pause;
            path.pause = (path.pause * 2).min(LONGEST);
        }
    }
}

impl Pool {
    /// Whether a member can copy from an engine, as far as the way between their zones goes.
    pub(super) fn can_pass(&self, now: Moment, from: &id::Upstream, to: &Member) -> bool {
        self.paths.are_well() || self.members.get(from).is_none_or(|from| self.paths.is_open(now, &from.zone, &to.zone))
    }
}
