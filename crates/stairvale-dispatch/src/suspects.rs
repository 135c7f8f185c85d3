//! Requests that upstreams end under, and which of them are the cause.
//!
//! Each upstream that ends takes all that runs there with it, so an end alone accuses many. A request is found to be the cause
//! when upstreams ended under it again and again, it never ended well in between, and so many ends under one request can't be
//! put down to upstreams that end anyway: those that ended without it say how often that is. Of several requests that the same
//! ends accuse none is found; they are placed apart, so that the next end tells.

use std::{collections::VecDeque, time::Duration};

use rapidhash::RapidHashMap;
use serde::{Deserialize, Serialize};
use stairvale_types::{Moment, id};

/// Ends under one request that are needed at least: fewer say too little, whatever else ends.
pub const LEAST: usize = 3;
/// Ends under one request in a row that need no comparison. A request that is innocent would have to be sent this often, to an
/// upstream that ends by itself each time; what is the cause ends two more upstreams than it must where many end anyway.
pub const MOST: usize = 5;
/// A request is found to be the cause when one that isn't would meet as many ends as often as this. Of ten thousand requests, each
/// sent up to three times while half of the upstreams end by themselves every 2 to 20 seconds, none was found; the cause was
/// after five ends (`tests/suspects.rs`).
const CHANCE: f64 = 1e-6;
/// Upstreams differ, and those that are busy end more often: the mean of all is taken this many times.
const MARGIN: f64 = 4.0;
/// How often an upstream ends by itself in a second where nothing is known: once an hour.
const USUAL: f64 = 1.0 / 3_600.0;
/// What ended longer ago says nothing of how often upstreams end now.
const WINDOW: Duration = Duration::from_secs(60);
/// No run counts as shorter: a request that reaches a connection just after its upstream ended meets that end at once.
const SHORTEST: Duration = Duration::from_millis(250);
/// Entries tell of an end one after the other; so long after the first all have: some round trips between zones.
const SETTLED: Duration = Duration::from_millis(100);
/// What was served before an upstream ended is told later than that by less: some round trips, and a small VM's pause.
const LATE: Duration = Duration::from_millis(300);
/// What is told of an upstream's end this long after the first word of it is about the same end.
const SAME: Duration = Duration::from_secs(2);
/// A request is forgotten that no upstream has ended under for so long.
const MEMORY: Duration = Duration::from_secs(1_200);
/// Requests that are remembered: some times what runs at the upstreams of a service that end within a few minutes. Whoever
/// sends ever new ones only drives out those that fewer upstreams have ended under.
const CAPACITY: usize = 4_096;

/// What became of a request, as far as it says whether upstreams end because of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Evidence {
    /// An upstream ended while it ran there.
    Ended {
        /// The request.
        fingerprint: id::Fingerprint,
        /// The upstream.
        upstream: id::Upstream,
        /// How long it had run.
        ran: Duration,
    },
    /// It ended well.
    Served {
        /// The request.
        fingerprint: id::Fingerprint,
    },
    /// It was found to be the cause of earlier ends.
    Found {
        /// The request.
        fingerprint: id::Fingerprint,
    },
}

/// The end of an upstream.
#[derive(Clone, Debug)]
struct End {
    number: u64,
    upstream: id::Upstream,
    at: Moment,
}

/// A run of a request that its upstream ended under.
#[derive(Clone, Copy, Debug)]
struct Run {
    end: u64,
    ran: Duration,
}

/// A request that upstreams ended under since it ended well.
#[derive(Clone, Debug, Default)]
struct Suspect {
    runs: Vec<Run>,
    last: Moment,
    /// Whether it was found to be the cause before, so that one more end says enough.
    was_found: bool,
    /// How many of the runs it was judged by.
    judged: usize,
}

/// Requests of a service that upstreams ended under.
#[derive(Debug, Default)]
pub struct Suspects {
    known: RapidHashMap<id::Fingerprint, Suspect>,
    /// Ends within the window, the earliest first.
    ends: VecDeque<End>,
    number: u64,
    /// Since when ends are counted.
    began: Option<Moment>,
}

impl Suspects {
    // ------------------------------------------------------------------------
    // Queries.

    /// How many upstreams have ended under a request since it ended well.
    #[must_use]
    pub fn ends(&self, fingerprint: id::Fingerprint) -> usize {
        self.known.get(&fingerprint).map_or(0, |suspect| suspect.runs.len())
    }

    /// Whether nothing is suspected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// How many requests are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether a request may be found to be the cause in a moment, so that it is to wait for that.
    #[must_use]
    pub fn is_pending(&self, fingerprint: id::Fingerprint) -> bool {
        self.known.get(&fingerprint).is_some_and(Suspect::is_pending)
    }

    // ------------------------------------------------------------------------
    // Changes.

    /// Takes what became of a request; whether that says anything new.
    pub fn learn(&mut self, now: Moment, evidence: &Evidence) -> bool {
        match evidence {
            Evidence::Ended { fingerprint, upstream, ran } => self.ended(now, *fingerprint, upstream, *ran),
            Evidence::Served { fingerprint } => self.known.remove(fingerprint).is_some(),
            Evidence::Found { fingerprint } => {
                let suspect = self.known.entry(*fingerprint).or_default();
                suspect.last = now;
                !std::mem::replace(&mut suspect.was_found, true)
            }
        }
    }

    fn ended(&mut self, now: Moment, fingerprint: id::Fingerprint, upstream: &id::Upstream, ran: Duration) -> bool {
        let end = self.end(now, upstream);
        let suspect = self.known.entry(fingerprint).or_default();
        if suspect.runs.iter().any(|run| run.end == end) {
            return false;
        }
        suspect.runs.push(Run { end, ran });
        suspect.last = now;
        if self.known.len() > CAPACITY {
            self.drop_least(fingerprint);
        }
        true
    }

    /// The number of an upstream's end, which may have been told before.
    fn end(&mut self, now: Moment, upstream: &id::Upstream) -> u64 {
        let told = self.ends.iter().rev().find(|end| &end.upstream == upstream && now.since(end.at) < SAME);
        if let Some(end) = told {
            return end.number;
        }
        self.number += 1;
        self.ends.push_back(End { number: self.number, upstream: upstream.clone(), at: now });
        self.number
    }

    /// Forgets the request that least is known of, but for a new one.
    fn drop_least(&mut self, new: id::Fingerprint) {
        let others = self.known.iter().filter(|(fingerprint, _)| **fingerprint != new);
        let least = others.min_by_key(|(_, suspect)| (suspect.was_found, suspect.runs.len(), suspect.last));
        if let Some(least) = least.map(|(fingerprint, _)| *fingerprint) {
            self.known.remove(&least);
        }
    }

    /// An upstream answered a request that was given to it at `since`: what was taken for its end meanwhile was none, as where
    /// only the way to it had ended.
    pub fn answered(&mut self, now: Moment, upstream: &id::Upstream, since: Moment) {
        let within = |end: &End| end.at >= since && now.since(end.at) >= LATE;
        let Some(index) = self.ends.iter().position(|end| &end.upstream == upstream && within(end)) else {
            return;
        };
        if let Some(end) = self.ends.remove(index) {
            self.dismiss(&[end.number]);
        }
    }

    /// Finds the causes among those that upstreams have just ended under, where so many upstreams serve.
    pub fn judge(&mut self, now: Moment, upstreams: usize) -> Vec<id::Fingerprint> {
        let began = *self.began.get_or_insert(now);
        if self.known.is_empty() {
            return Vec::new();
        }
        let due = |suspect: &Suspect| suspect.is_pending() && now.since(suspect.last) >= SETTLED;
        let due: Vec<_> = self.known.iter().filter(|(_, suspect)| due(suspect)).map(|(known, _)| *known).collect();
        let span = now.since(began).clamp(Duration::from_secs(1), WINDOW);
        let exposure = span.as_secs_f64() * f64::from(u32::try_from(upstreams.max(1)).unwrap_or(u32::MAX));
        let found: Vec<_> = due.iter().copied().filter(|suspect| self.is_cause(*suspect, exposure)).collect();
        for fingerprint in due {
            if let Some(suspect) = self.known.get_mut(&fingerprint) {
                suspect.judged = suspect.runs.len();
            }
        }
        for fingerprint in &found {
            self.explain(*fingerprint);
        }
        // Not before: who stood still for a while judges by what there was when the last ends were told.
        self.forget(now);
        found
    }

    /// What a cause that was found explains accuses nobody else.
    fn explain(&mut self, cause: id::Fingerprint) {
        let Some(mut suspect) = self.known.remove(&cause) else {
            return;
        };
        suspect.was_found = true;
        let ends: Vec<_> = suspect.runs.iter().map(|run| run.end).collect();
        self.dismiss(&ends);
        self.ends.retain(|end| !ends.contains(&end.number));
        self.known.insert(cause, suspect);
    }

    fn dismiss(&mut self, ends: &[u64]) {
        self.known.retain(|_, suspect| {
            suspect.runs.retain(|run| !ends.contains(&run.end));
            suspect.judged = suspect.judged.min(suspect.runs.len());
            !suspect.runs.is_empty() || suspect.was_found
        });
    }

    fn forget(&mut self, now: Moment) {
        self.known.retain(|_, suspect| now.since(suspect.last) < MEMORY);
        while self.ends.front().is_some_and(|end| now.since(end.at) >= WINDOW) {
            self.ends.pop_front();
        }
    }

    // ------------------------------------------------------------------------

    /// Whether the ends under a request are its own doing; `exposure` is the time in which others were seen, summed over
    /// upstreams, in seconds.
    fn is_cause(&self, fingerprint: id::Fingerprint, exposure: f64) -> bool {
        let Some(suspect) = self.known.get(&fingerprint) else {
            return false;
        };
        if suspect.was_found {
            return true;
        }
        if self.is_shared(fingerprint, suspect) {
            return false;
        }
        suspect.runs.len() >= MOST || self.chance(suspect, exposure) <= CHANCE
    }

    /// Whether all ends under a request accuse another one as much.
    fn is_shared(&self, fingerprint: id::Fingerprint, suspect: &Suspect) -> bool {
        self.known.iter().filter(|(other, _)| **other != fingerprint).any(|(_, other)| {
            let met = |run: &Run| other.runs.iter().any(|its| its.end == run.end);
            other.runs.len() >= suspect.runs.len() && suspect.runs.iter().all(met)
        })
    }

    /// How likely it is that a request which is no cause meets the ends that this one met.
    fn chance(&self, suspect: &Suspect, exposure: f64) -> f64 {
        let own = |end: &&End| suspect.runs.iter().any(|run| run.end == end.number);
        let others = self.ends.len() - self.ends.iter().filter(own).count();
        let others = f64::from(u32::try_from(others).unwrap_or(u32::MAX));
        let rate = (others / exposure + USUAL) * MARGIN;
        suspect.runs.iter().map(|run| (rate * run.ran.max(SHORTEST).as_secs_f64()).min(1.0)).product()
    }
}

impl Suspect {
    /// Whether it is to be judged by what was seen since it was judged last.
    fn is_pending(&self) -> bool {
        let enough = self.runs.len() >= LEAST || self.was_found;
        enough && self.runs.len() > self.judged
    }
}
