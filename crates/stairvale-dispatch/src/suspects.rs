//! Requests, and parts of prompts, under which upstreams crashed, and detection of those that cause the crashes.
//!
//! Each upstream that crashes takes all its running requests with it, so a single crash makes many requests suspects,
//! and all shared parts of their prompts. A suspect is found to be the cause when upstreams crashed under it several
//! times without it being served in between, and so many crashes can't be explained by the upstreams' usual crash rate,
//! which follows from the crashes without the suspect (`judge`). Of several requests with the same crashes none is
//! found; they are placed apart, so that the next crash distinguishes them.

use std::{collections::VecDeque, time::Duration};

use rapidhash::RapidHashMap;
use serde::{Deserialize, Serialize};
use stairvale_types::{Moment, id};

use crate::Contents;

mod judge;
mod served;

/// Minimum number of crashes under a suspect for it to be found: fewer aren't conclusive, whatever the crash rate is.
pub const MIN_CRASHES: usize = 3;
/// Number of crashes under a suspect in a row that need no comparison with the crash rate. A harmless request would
/// have to be sent this often, to an upstream that crashes for another reason each time. A cause crashes up to two more
/// upstreams than necessary where the crash rate is high.
pub const MAX_CRASHES: usize = 5;
/// Entry routers report a crash one after the other; within this time after the first report all have: some round trips
/// between zones.
const REPORT_DELAY: Duration = Duration::from_millis(100);
/// Upstreams that crash within this time may do so for one reason, so that it is counted as one crash against a part of
/// prompts, which can run at many upstreams at once: some round trips, and the pause of a small VM.
const SIMULTANEOUS: Duration = Duration::from_millis(250);
/// A request that was served before its upstream crashed is reported less than this later than the crash: some round
/// trips, and the pause of a small VM.
const MAX_SERVED_DELAY: Duration = Duration::from_millis(300);
/// Reports of a crash of the same upstream within this time after the first one concern the same crash.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(2);
/// Older crashes don't count for the current crash rate.
const CRASH_RATE_WINDOW: Duration = Duration::from_secs(60);
/// A suspect is removed when no upstream has crashed under it for this time.
const SUSPECT_TTL: Duration = Duration::from_secs(1_200);
/// Maximum number of suspects: several times the requests that run at the upstreams of a service that crash within a
/// few minutes. A client that keeps sending new requests only displaces suspects with fewer crashes.
const MAX_SUSPECTS: usize = 4_096;
/// Number of suspects that are kept when there are too many, so that not each new one requires a search for the weakest.
const TRIMMED_SUSPECTS: usize = MAX_SUSPECTS / 4 * 3;

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
    /// The request or the part was found to be the cause of earlier crashes.
    Found {
        /// The fingerprint of the request or of the part.
        fingerprint: id::Fingerprint,
    },
    /// An upstream crashed while it ran a request with parts of prompts that other requests share.
    Crashed {
        /// What the request consisted of.
        contents: Contents,
        /// The upstream that crashed.
        upstream: id::Upstream,
        /// How long the request had run.
        ran: Duration,
    },
    /// A request was served that has parts in common with suspects.
    Completed {
        /// What the request consisted of.
        contents: Contents,
    },
}

impl Evidence {
    /// The evidence in the form that has only the fingerprint of the request.
    #[must_use]
    pub fn without_parts(self) -> Self {
        match self {
            Self::Crashed { contents: Contents { fingerprint, .. }, upstream, ran } => {
                Self::Ended { fingerprint, upstream, ran }
            }
            Self::Completed { contents: Contents { fingerprint, .. } } => Self::Served { fingerprint },
            Self::Ended { .. } | Self::Served { .. } | Self::Found { .. } => self,
        }
    }
}

/// What makes upstreams crash: a request, or a part of prompts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Cause {
    /// The fingerprint by which requests are quarantined.
    pub fingerprint: id::Fingerprint,
    /// The id of the part; `None` for a whole request.
    pub part: Option<u64>,
    /// The only customer in whose prompts the part was found to be the cause; `None` for all customers.
    pub customer: Option<id::Customer>,
    /// The number of upstreams that crashed.
    pub crashes: usize,
}

/// The crash of an upstream.
#[derive(Clone, Debug)]
struct Crash {
    number: u64,
    upstream: id::Upstream,
    at: Moment,
}

/// A suspect's runs during which one upstream crashed.
#[derive(Clone, Debug)]
struct Run {
    crash: u64,
    at: Moment,
    /// The time of the run that was reported first.
    ran: Duration,
    /// The customers whose requests held the part; empty for a request.
    customers: Vec<Option<id::Customer>>,
}

/// What a suspect is.
#[derive(Clone, Debug)]
enum Kind {
    /// A request, with the fingerprints of its shared parts.
    Request(Vec<id::Fingerprint>),
    /// The part of prompts with this id.
    Part(u64),
}

/// A request or a part under which upstreams crashed since it was last served.
#[derive(Clone, Debug)]
struct Suspect {
    kind: Kind,
    runs: Vec<Run>,
    last: Moment,
    /// The number of runs at the last judgement.
    judged_runs: usize,
}

/// The requests and parts of a service under which upstreams crashed.
#[derive(Debug, Default)]
pub struct Suspects {
    suspects: RapidHashMap<id::Fingerprint, Suspect>,
    /// Those that were found to be the cause before, so that one more crash is conclusive, and when.
    found: RapidHashMap<id::Fingerprint, Moment>,
    /// Those that were served after they had been found, and not yet reported.
    cleared: Vec<id::Fingerprint>,
    /// Parts that were served.
    served: served::Served,
    /// The crashes within the window, the earliest first.
    crashes: VecDeque<Crash>,
    last_number: u64,
    /// The moment from which on crashes are counted.
    counting_since: Option<Moment>,
    /// The time of the last judgement.
    judged_at: Moment,
    /// Whether a judgement now can differ from the last one.
    needs_judgement: bool,
}

impl Suspects {
    // ------------------------------------------------------------------------
    // Queries.

    /// Returns how many upstreams have crashed under a request or a part since it was last served.
    #[must_use]
    pub fn crash_count(&self, fingerprint: id::Fingerprint) -> usize {
        self.suspects.get(&fingerprint).map_or(0, |suspect| suspect.runs.len())
    }

    /// Whether there are no suspects.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.found.is_empty()
    }

    /// Returns the number of suspects.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether a request, or a part of its prompt, may be found to be the cause shortly, so that it has to wait for the
    /// judgement.
    #[must_use]
    pub fn is_pending(&self, contents: &Contents) -> bool {
        if self.suspects.is_empty() {
            return false;
        }
        let blocks = |fingerprint: id::Fingerprint| {
            let suspect = self.suspects.get(&fingerprint);
            suspect.is_some_and(|suspect| suspect.is_new() && self.is_suspicious(fingerprint, suspect))
        };
        blocks(contents.fingerprint) || contents.part_fingerprints().any(|(_, part)| blocks(part))
    }

    /// Returns the parts of a request's prompt that may be the cause of crashes, each with the number of crashes. Parts
    /// that were served before are not among them: they are probably bystanders, and most requests hold some of them.
    #[must_use]
    pub fn suspect_parts(&self, contents: &Contents) -> Vec<(u64, usize)> {
        if self.suspects.is_empty() {
            return Vec::new();
        }
        let parts = contents.part_fingerprints().filter(|(_, part)| !self.served.contains(*part));
        parts.map(|(id, part)| (id, self.crash_count(part))).filter(|(_, crashes)| *crashes > 0).collect()
    }

    /// Returns the parts of a request's prompt that were found to be the cause of crashes.
    #[must_use]
    pub fn found_parts(&self, contents: &Contents) -> Vec<u64> {
        if self.found.is_empty() {
            return Vec::new();
        }
        let customer = contents.customer.as_ref();
        let was_found = |part: id::Fingerprint| {
            let own = customer.map(|customer| part.for_customer(customer));
            self.found.contains_key(&part) || own.is_some_and(|own| self.found.contains_key(&own))
        };
        contents.part_fingerprints().filter(|(_, part)| was_found(*part)).map(|(id, _)| id).collect()
    }

    // ------------------------------------------------------------------------
    // Changes.

    /// Records the outcome of a request; returns whether it is new.
    pub fn learn(&mut self, now: Moment, evidence: &Evidence) -> bool {
        match evidence {
            Evidence::Ended { fingerprint, upstream, ran } => {
                self.record_crash(now, &Contents::unknown(*fingerprint), upstream, *ran)
            }
            Evidence::Crashed { contents, upstream, ran } => self.record_crash(now, contents, upstream, *ran),
            Evidence::Served { fingerprint } => self.record_served(&Contents::unknown(*fingerprint)),
            Evidence::Completed { contents } => self.record_served(contents),
            Evidence::Found { fingerprint } => self.record_found(now, *fingerprint),
        }
    }

    /// Records that a request was served: neither it nor any part of its prompt crashes upstreams. Returns whether any of
    /// them was a suspect.
    pub fn record_served(&mut self, contents: &Contents) -> bool {
        for (_, part) in contents.part_fingerprints() {
            self.served.insert(part);
        }
        if self.is_empty() {
            return false;
        }
        let mut was_suspect = false;
        for fingerprint in contents.fingerprints() {
            let was_found = self.found.remove(&fingerprint).is_some();
            if was_found {
                self.cleared.push(fingerprint);
            }
            was_suspect |= self.suspects.remove(&fingerprint).is_some() | was_found;
        }
        was_suspect
    }

    /// Returns the requests and parts that were found to be the cause of crashes but were served since, after the last
    /// call.
    pub fn take_cleared(&mut self) -> Vec<id::Fingerprint> {
        std::mem::take(&mut self.cleared)
    }

    /// Forgets that a request or a part was found to be the cause of crashes.
    pub fn forget_found(&mut self, fingerprint: id::Fingerprint) {
        self.found.remove(&fingerprint);
        self.suspects.remove(&fingerprint);
    }

    fn record_found(&mut self, now: Moment, fingerprint: id::Fingerprint) -> bool {
        if self.found.len() >= MAX_SUSPECTS && !self.found.contains_key(&fingerprint) {
            let oldest = self.found.iter().min_by_key(|(_, at)| **at).map(|(oldest, _)| *oldest);
            oldest.map(|oldest| self.found.remove(&oldest));
        }
        self.found.insert(fingerprint, now).is_none()
    }

    fn record_crash(&mut self, now: Moment, contents: &Contents, upstream: &id::Upstream, ran: Duration) -> bool {
        self.needs_judgement = true;
        let (crash, at) = self.crash_of(now, upstream);
        let run = |customers| Run { crash, at, ran, customers };
        let parts = contents.part_fingerprints().map(|(_, part)| part).collect();
        let mut is_new = self.add_run(now, contents.fingerprint, Kind::Request(parts), run(Vec::new()));
        for (id, part) in contents.part_fingerprints() {
            is_new |= self.add_run(now, part, Kind::Part(id), run(vec![contents.customer.clone()]));
        }
        if self.suspects.len() > MAX_SUSPECTS {
            self.evict_weakest(contents);
        }
        is_new
    }

    /// Adds a run to a suspect; returns whether it is the first one that is known for its crash.
    fn add_run(&mut self, now: Moment, fingerprint: id::Fingerprint, kind: Kind, run: Run) -> bool {
        let suspect = self.suspects.entry(fingerprint).or_insert_with(|| Suspect::new(kind));
        if let Some(known) = suspect.runs.iter_mut().find(|known| known.crash == run.crash) {
            for customer in run.customers {
                if !known.customers.contains(&customer) {
                    known.customers.push(customer);
                }
            }
            return false;
        }
        suspect.runs.push(run);
        suspect.last = now;
        true
    }

    /// Returns the number and the time of an upstream's crash, which may have been reported before.
    fn crash_of(&mut self, now: Moment, upstream: &id::Upstream) -> (u64, Moment) {
        let reported = self
            .crashes
            .iter()
            .rev()
            .find(|crash| &crash.upstream == upstream && now.since(crash.at) < SAME_CRASH_WINDOW);
        if let Some(crash) = reported {
            return (crash.number, crash.at);
        }
        self.last_number += 1;
        self.crashes.push_back(Crash { number: self.last_number, upstream: upstream.clone(), at: now });
        (self.last_number, now)
    }

    /// Removes the suspects with the least evidence, except for those of a new crash.
    fn evict_weakest(&mut self, new: &Contents) {
        let new: Vec<_> = new.fingerprints().collect();
        let others = self.suspects.iter().filter(|(fingerprint, _)| !new.contains(fingerprint));
        let mut ranks: Vec<_> =
            others.map(|(fingerprint, suspect)| (suspect.runs.len(), suspect.last, *fingerprint)).collect();
        let surplus = self.suspects.len().saturating_sub(TRIMMED_SUSPECTS).min(ranks.len());
        ranks.sort_unstable();
        for (_, _, fingerprint) in &ranks[..surplus] {
            self.suspects.remove(fingerprint);
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
            self.dismiss(&[crash.number], &[]);
        }
    }

    /// Removes crashes from the evidence against all suspects but some.
    fn dismiss(&mut self, crashes: &[u64], except: &[id::Fingerprint]) {
        self.suspects.retain(|fingerprint, suspect| {
            if except.contains(fingerprint) {
                return true;
            }
            suspect.runs.retain(|run| !crashes.contains(&run.crash));
            suspect.judged_runs = suspect.judged_runs.min(suspect.runs.len());
            !suspect.runs.is_empty()
        });
    }

    fn remove_old(&mut self, now: Moment) {
        self.suspects.retain(|_, suspect| now.since(suspect.last) < SUSPECT_TTL);
        self.found.retain(|_, at| now.since(*at) < SUSPECT_TTL);
        while self.crashes.front().is_some_and(|crash| now.since(crash.at) >= CRASH_RATE_WINDOW) {
            self.crashes.pop_front();
        }
    }
}

impl Suspect {
    fn new(kind: Kind) -> Self {
        Self { kind, runs: Vec::new(), last: Moment::ZERO, judged_runs: 0 }
    }

    /// Whether there were crashes since the last judgement.
    fn is_new(&self) -> bool {
        self.runs.len() > self.judged_runs
    }

    /// Whether upstreams crashed during a run of this suspect in each of these crashes.
    fn met_all(&self, runs: &[Run]) -> bool {
        self.runs.len() >= runs.len() && runs.iter().all(|run| self.runs.iter().any(|own| own.crash == run.crash))
    }
}
