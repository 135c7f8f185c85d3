//! Requests under which upstreams crashed, and detection of those that cause the crashes.
//!
//! Each upstream that crashes takes all its running requests with it, so a single crash makes many requests suspects. A
//! request is found to be the cause when upstreams crashed under it several times without it being served in between,
//! and so many crashes under one request can't be explained by the upstreams' usual crash rate, which follows from the
//! crashes without the request. Of several requests with the same crashes none is found; they are placed apart, so that
//! the next crash distinguishes them.

use std::{collections::VecDeque, time::Duration};

use rapidhash::RapidHashMap;
use serde::{Deserialize, Serialize};
use stairvale_types::{Moment, id};

/// Minimum number of crashes under one request for it to be found: fewer aren't conclusive, whatever the crash rate is.
pub const MIN_CRASHES: usize = 3;
/// Number of crashes under one request in a row that need no comparison with the crash rate. A harmless request would
/// have to be sent this often, to an upstream that crashes for another reason each time. A cause crashes up to two more
/// upstreams than necessary where the crash rate is high.
pub const MAX_CRASHES: usize = 5;
/// A request is found to be the cause when a harmless request would meet as many crashes with this probability at most.
/// Of ten thousand requests, each sent up to three times while half of the upstreams crash for other reasons every 2 to
/// 20 seconds, none was found; the cause was found after five crashes (`tests/suspects.rs`).
const MAX_CHANCE: f64 = 1e-6;
/// Factor on the mean crash rate, since upstreams differ, and busy ones crash more often.
const CRASH_RATE_FACTOR: f64 = 4.0;
/// Crash rate per second that is assumed in addition to the observed crashes: one per hour.
const BASE_CRASHES_PER_SECOND: f64 = 1.0 / 3_600.0;
/// Older crashes don't count for the current crash rate.
const CRASH_RATE_WINDOW: Duration = Duration::from_secs(60);
/// Lower limit of a run's time: a request that reaches a connection just after its upstream crashed fails at once.
const MIN_RUN: Duration = Duration::from_millis(250);
/// Entry routers report a crash one after the other; within this time after the first report all have: some round trips
/// between zones.
const REPORT_DELAY: Duration = Duration::from_millis(100);
/// A request that was served before its upstream crashed is reported less than this later than the crash: some round
/// trips, and the pause of a small VM.
const MAX_SERVED_DELAY: Duration = Duration::from_millis(300);
/// Reports of a crash of the same upstream within this time after the first one concern the same crash.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(2);
/// A request is removed when no upstream has crashed under it for this time.
const SUSPECT_TTL: Duration = Duration::from_secs(1_200);
/// Maximum number of suspects: several times the requests that run at the upstreams of a service that crash within a
/// few minutes. A client that keeps sending new requests only displaces suspects with fewer crashes.
const MAX_SUSPECTS: usize = 4_096;

/// The outcome of a request, as far as it shows whether upstreams crash because of the request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Evidence {
    /// An upstream crashed while it ran the request.
    Ended {
        /// The fingerprint of the request.
        fingerprint: id::Fingerprint,
        /// The upstream that crashed.
        upstream: id::Upstream,
        /// How long the request had run.
        ran: Duration,
    },
    /// The request was served.
    Served {
        /// The fingerprint of the request.
        fingerprint: id::Fingerprint,
    },
    /// The request was found to be the cause of earlier crashes.
    Found {
        /// The fingerprint of the request.
        fingerprint: id::Fingerprint,
    },
}

/// The crash of an upstream.
#[derive(Clone, Debug)]
struct Crash {
    number: u64,
    upstream: id::Upstream,
    at: Moment,
}

/// A run of a request during which its upstream crashed.
#[derive(Clone, Copy, Debug)]
struct Run {
    crash: u64,
    ran: Duration,
}

/// A request under which upstreams crashed since it was last served.
#[derive(Clone, Debug, Default)]
struct Suspect {
    runs: Vec<Run>,
    last: Moment,
    /// Whether the request was found to be the cause before, so that one more crash is conclusive.
    was_found: bool,
    /// The number of runs at the last judgement.
    judged_runs: usize,
}

/// The requests of a service under which upstreams crashed.
#[derive(Debug, Default)]
pub struct Suspects {
    suspects: RapidHashMap<id::Fingerprint, Suspect>,
    /// The crashes within the window, the earliest first.
    crashes: VecDeque<Crash>,
    last_number: u64,
    /// The moment from which on crashes are counted.
    counting_since: Option<Moment>,
}

impl Suspects {
    // ------------------------------------------------------------------------
    // Queries.

    /// Returns how many upstreams have crashed under a request since it was last served.
    #[must_use]
    pub fn crash_count(&self, fingerprint: id::Fingerprint) -> usize {
        self.suspects.get(&fingerprint).map_or(0, |suspect| suspect.runs.len())
    }

    /// Whether there are no suspects.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of suspects.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether a request may be found to be the cause shortly, so that it has to wait for the judgement.
    #[must_use]
    pub fn is_pending(&self, fingerprint: id::Fingerprint) -> bool {
        self.suspects.get(&fingerprint).is_some_and(Suspect::is_pending)
    }

    // ------------------------------------------------------------------------
    // Changes.

    /// Records the outcome of a request; returns whether it is new.
    pub fn learn(&mut self, now: Moment, evidence: &Evidence) -> bool {
        match evidence {
            Evidence::Ended { fingerprint, upstream, ran } => self.record_crash(now, *fingerprint, upstream, *ran),
            Evidence::Served { fingerprint } => self.suspects.remove(fingerprint).is_some(),
            Evidence::Found { fingerprint } => {
                let suspect = self.suspects.entry(*fingerprint).or_default();
                suspect.last = now;
                !std::mem::replace(&mut suspect.was_found, true)
            }
        }
    }

    fn record_crash(
        &mut self,
        now: Moment,
        fingerprint: id::Fingerprint,
        upstream: &id::Upstream,
        ran: Duration,
    ) -> bool {
        let crash = self.crash_number(now, upstream);
        let suspect = self.suspects.entry(fingerprint).or_default();
        if suspect.runs.iter().any(|run| run.crash == crash) {
            return false;
        }
        suspect.runs.push(Run { crash, ran });
        suspect.last = now;
        if self.suspects.len() > MAX_SUSPECTS {
            self.evict_weakest(fingerprint);
        }
        true
    }

    /// Returns the number of an upstream's crash, which may have been reported before.
    fn crash_number(&mut self, now: Moment, upstream: &id::Upstream) -> u64 {
        let reported = self
            .crashes
            .iter()
            .rev()
            .find(|crash| &crash.upstream == upstream && now.since(crash.at) < SAME_CRASH_WINDOW);
        if let Some(crash) = reported {
            return crash.number;
        }
        self.last_number += 1;
        self.crashes.push_back(Crash { number: self.last_number, upstream: upstream.clone(), at: now });
        self.last_number
    }

    /// Removes the suspect with the least evidence, except for a new one.
    fn evict_weakest(&mut self, new: id::Fingerprint) {
        let others = self.suspects.iter().filter(|(fingerprint, _)| **fingerprint != new);
        let weakest = others.min_by_key(|(_, suspect)| (suspect.was_found, suspect.runs.len(), suspect.last));
        if let Some(weakest) = weakest.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&weakest);
        }
    }

    /// Records that an upstream answered a request that was given to it at `since`: a crash that was recorded meanwhile
    /// was none, as where only the connection to the upstream was lost.
    pub fn answered(&mut self, now: Moment, upstream: &id::Upstream, since: Moment) {
        let within = |crash: &Crash| crash.at >= since && now.since(crash.at) >= MAX_SERVED_DELAY;
        let Some(index) = self.crashes.iter().position(|crash| &crash.upstream == upstream && within(crash)) else {
            return;
        };
        if let Some(crash) = self.crashes.remove(index) {
            self.dismiss(&[crash.number]);
        }
    }

    /// Returns the requests that were found to be the cause, among those with recent crashes; `upstreams` is the number
    /// of serving upstreams.
    pub fn judge(&mut self, now: Moment, upstreams: usize) -> Vec<id::Fingerprint> {
        let counting_since = *self.counting_since.get_or_insert(now);
        if self.suspects.is_empty() {
            return Vec::new();
        }
        let due = |suspect: &Suspect| suspect.is_pending() && now.since(suspect.last) >= REPORT_DELAY;
        let due: Vec<_> =
            self.suspects.iter().filter(|(_, suspect)| due(suspect)).map(|(fingerprint, _)| *fingerprint).collect();
        let span = now.since(counting_since).clamp(Duration::from_secs(1), CRASH_RATE_WINDOW);
        let exposure = span.as_secs_f64() * f64::from(u32::try_from(upstreams.max(1)).unwrap_or(u32::MAX));
        let causes: Vec<_> = due.iter().copied().filter(|suspect| self.is_cause(*suspect, exposure)).collect();
        for fingerprint in due {
            if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
                suspect.judged_runs = suspect.runs.len();
            }
        }
        for fingerprint in &causes {
            self.dismiss_crashes_of(*fingerprint);
        }
        // Old crashes are removed only after the judgement, so that a router that was suspended judges by the crashes
        // that were present when the last ones were reported.
        self.remove_old(now);
        causes
    }

    /// Removes the crashes of a cause from the evidence against all other requests.
    fn dismiss_crashes_of(&mut self, cause: id::Fingerprint) {
        let Some(mut suspect) = self.suspects.remove(&cause) else {
            return;
        };
        suspect.was_found = true;
        let crashes: Vec<_> = suspect.runs.iter().map(|run| run.crash).collect();
        self.dismiss(&crashes);
        self.crashes.retain(|crash| !crashes.contains(&crash.number));
        self.suspects.insert(cause, suspect);
    }

    fn dismiss(&mut self, crashes: &[u64]) {
        self.suspects.retain(|_, suspect| {
            suspect.runs.retain(|run| !crashes.contains(&run.crash));
            suspect.judged_runs = suspect.judged_runs.min(suspect.runs.len());
            !suspect.runs.is_empty() || suspect.was_found
        });
    }

    fn remove_old(&mut self, now: Moment) {
        self.suspects.retain(|_, suspect| now.since(suspect.last) < SUSPECT_TTL);
        while self.crashes.front().is_some_and(|crash| now.since(crash.at) >= CRASH_RATE_WINDOW) {
            self.crashes.pop_front();
        }
    }

    // ------------------------------------------------------------------------

    /// Whether a request is the cause of the crashes under it; `exposure` is the time over which crashes were counted,
    /// summed over upstreams, in seconds.
    fn is_cause(&self, fingerprint: id::Fingerprint, exposure: f64) -> bool {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return false;
        };
        if suspect.was_found {
            return true;
        }
        if self.is_indistinguishable(fingerprint, suspect) {
            return false;
        }
        suspect.runs.len() >= MAX_CRASHES || self.chance(suspect, exposure) <= MAX_CHANCE
    }

    /// Whether another request has at least as many crashes, including all crashes under this one.
    fn is_indistinguishable(&self, fingerprint: id::Fingerprint, suspect: &Suspect) -> bool {
        self.suspects.iter().filter(|(other, _)| **other != fingerprint).any(|(_, other)| {
            let met = |run: &Run| other.runs.iter().any(|its| its.crash == run.crash);
            other.runs.len() >= suspect.runs.len() && suspect.runs.iter().all(met)
        })
    }

    /// Returns the probability that a harmless request meets the crashes that this one met.
    fn chance(&self, suspect: &Suspect, exposure: f64) -> f64 {
        let own = |crash: &&Crash| suspect.runs.iter().any(|run| run.crash == crash.number);
        let others = self.crashes.len() - self.crashes.iter().filter(own).count();
        let others = f64::from(u32::try_from(others).unwrap_or(u32::MAX));
        let rate = (others / exposure + BASE_CRASHES_PER_SECOND) * CRASH_RATE_FACTOR;
        suspect.runs.iter().map(|run| (rate * run.ran.max(MIN_RUN).as_secs_f64()).min(1.0)).product()
    }
}

impl Suspect {
    /// Whether there were crashes since the last judgement, and enough of them.
    fn is_pending(&self) -> bool {
        let enough = self.runs.len() >= MIN_CRASHES || self.was_found;
        enough && self.runs.len() > self.judged_runs
    }
}
