//! The state of one upstream of a service, as recorded at the home.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use rapidhash::RapidHashMap;
use stairvale_rollout::Admission;
use stairvale_types::{Moment, id};

use crate::{Cache, Contents, health::Health};

/// A request that was granted and hasn't ended.
#[derive(Clone, Debug)]
pub struct Hold {
    /// The entry router that runs the request.
    pub entry: id::Router,
    /// When the request was granted, or first reported by its entry router.
    pub since: Moment,
    /// When the entry router last renewed the request.
    pub renewed: Moment,
    /// Tokens that are still to be prefilled for the request.
    pub read: u32,
    /// Tokens of memory that the request takes beside parts shared with other requests.
    pub tokens: u32,
    /// The expected time to the first event, in ms.
    pub expected_ms: f64,
    /// The expected time to the first event if the upstream is neither slower nor faster than the others, in ms; 0 if
    /// it isn't known.
    pub typical_ms: f64,
    /// The engine that the request copies from first, if any.
    pub source: Option<id::Upstream>,
    /// The route of the request.
    pub route: id::Route,
    /// What the request consists of.
    pub contents: Arc<Contents>,
    /// Maximum number of output tokens; 0 if it isn't known.
    pub output: u32,
    /// When the first event came.
    pub first_event: Option<Moment>,
    /// Whether the request was reported as slow.
    pub reported_slow: bool,
    /// The zone of the engine that the request copies from first, if any.
    pub source_zone: Option<id::Zone>,
    /// The shared parts of the prompt that the engine didn't hold before this request; empty once the first event has
    /// come.
    pub new_parts: Vec<u64>,
}

/// The record of an upstream in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// The id of the upstream.
    pub id: id::Upstream,
    /// The availability zone of the upstream.
    pub zone: id::Zone,
    /// Requests that the upstream can run at once.
    pub slots: u32,
    /// Whether the upstream accepts new work.
    pub usable: bool,
    /// For how much longer the upstream was cold when the record was written.
    pub cold: Duration,
    /// The revision of the record.
    pub revision: u64,
    /// The software version that the upstream runs; `None` if it doesn't report one.
    pub version: Option<id::Version>,
}

/// One upstream of a service, as recorded at the home.
#[derive(Clone, Debug)]
pub struct Member {
    /// The id of the upstream.
    pub id: id::Upstream,
    /// The availability zone of the upstream.
    pub zone: id::Zone,
    /// Requests that the upstream can run at once.
    pub slots: u32,
    /// Whether the upstream accepts new work.
    pub usable: bool,
    /// The software version that the upstream runs; `None` if it doesn't report one.
    pub version: Option<id::Version>,
    /// What the upstream may be given by its version.
    pub admission: Admission,
    /// Whether its version is the one that was ordered last.
    pub is_new: bool,
    /// The number of the reservation for which it was last selected; 0 if it never was.
    pub last_reservation: u64,
    /// The hash of the id, by which prompts rank the upstream.
    pub hash: u64,
    held: RapidHashMap<id::Attempt, Hold>,
    /// The sum of the tokens to be prefilled for the running requests.
    pending_prefill: u64,
    /// The sum of the tokens that the running requests take beside shared parts.
    unshared_tokens: u64,
    /// The model of the engine's prefix cache.
    pub cache: Cache,
    /// Whether the cache model includes contents that weren't placed there by this router.
    pub cache_known: bool,
    /// Tokens that fit into the engine's memory; zero for a plain upstream.
    pub memory: u64,
    /// The health of the upstream.
    pub health: Health,
    /// Until when the upstream is cold by its own report.
    cold_until: Moment,
    /// Until when the upstream may be cold without having reported it.
    presumed_until: Moment,
    /// The revision of the last record from the store.
    revision: u64,
    /// Whether the upstream was removed from the store.
    gone: bool,
    /// When the upstream was granted requests, the earliest first, at most [`MAX_GRANTS`].
    grants: VecDeque<Moment>,
}

/// Maximum number of grants that are remembered: more per second than any upstream that can be cold is given.
const MAX_GRANTS: usize = 256;

impl Member {
    /// Creates an upstream of which nothing is recorded yet. `memory` is zero for a plain upstream.
    #[must_use]
    pub fn new(id: id::Upstream, zone: id::Zone, slots: u32, memory: u64) -> Self {
        Self {
            hash: id.hash64(),
            id,
            zone,
            slots: slots.max(1),
            usable: true,
            version: None,
            admission: Admission::Any,
            is_new: false,
            last_reservation: 0,
            held: RapidHashMap::default(),
            pending_prefill: 0,
            unshared_tokens: 0,
            cache: Cache::new(memory),
            cache_known: false,
            memory,
            health: Health::default(),
            cold_until: Moment::ZERO,
            presumed_until: Moment::ZERO,
            revision: 0,
            gone: false,
            grants: VecDeque::new(),
        }
    }

    /// Applies a record from the store. The cache of an upstream that has turned cold is empty.
    pub fn apply_listing(&mut self, now: Moment, listing: &Listing) {
        self.usable = listing.usable;
        self.version.clone_from(&listing.version);
        self.gone = false;
        if self.revision == listing.revision {
            return;
        }
        self.revision = listing.revision;
        if !listing.cold.is_zero() && self.cold_until <= now {
            self.cache.clear();
        }
        self.cold_until = now + listing.cold;
    }

    /// Marks the upstream as removed from the store: it gets no new requests.
    pub fn mark_gone(&mut self) {
        self.usable = false;
        self.gone = true;
    }

    /// Whether the upstream may be given more than what is reserved for its version.
    #[must_use]
    pub fn serves(&self) -> bool {
        match self.admission {
            Admission::Any | Admission::LastResort => true,
            Admission::Trial | Admission::Nothing => false,
        }
    }

    /// Whether the upstream was removed from the store.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        self.gone
    }

    /// Presumes that the upstream is cold until then, whatever it reports.
    pub fn presume_cold(&mut self, until: Moment) {
        self.presumed_until = self.presumed_until.max(until);
    }

    /// Whether the upstream is cold, or may be.
    #[must_use]
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.cold_until.max(self.presumed_until)
    }

    /// Records that the upstream was granted a request.
    pub fn record_grant(&mut self, now: Moment) {
        self.grants.push_back(now);
        if self.grants.len() > MAX_GRANTS {
            self.grants.pop_front();
        }
    }

    /// Whether the upstream was granted at most `most` requests in the `window` before now.
    #[must_use]
    pub fn granted_at_most(&self, most: usize, now: Moment, window: Duration) -> bool {
        let before = self.grants.len().checked_sub(most + 1);
        before.is_none_or(|before| now.since(self.grants[before]) >= window)
    }

    /// Returns the number of requests that run at the upstream.
    #[must_use]
    pub fn running(&self) -> u32 {
        u32::try_from(self.held.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of tokens that are still to be prefilled for the running requests.
    #[must_use]
    pub fn pending_prefill(&self) -> u64 {
        self.pending_prefill
    }

    /// Returns the number of tokens that the running requests take beside shared parts.
    #[must_use]
    pub fn unshared_tokens(&self) -> u64 {
        self.unshared_tokens
    }

    /// Returns the requests that run at the upstream.
    #[must_use]
    pub fn held(&self) -> &RapidHashMap<id::Attempt, Hold> {
        &self.held
    }

    /// Adds a running request.
    pub fn add_hold(&mut self, attempt: id::Attempt, hold: Hold) {
        self.remove_hold(attempt);
        self.pending_prefill += u64::from(hold.read);
        self.unshared_tokens += u64::from(hold.tokens);
        self.held.insert(attempt, hold);
    }

    /// Removes a request that no longer runs.
    pub fn remove_hold(&mut self, attempt: id::Attempt) -> Option<Hold> {
        let hold = self.held.remove(&attempt)?;
        self.pending_prefill -= u64::from(hold.read);
        self.unshared_tokens -= u64::from(hold.tokens);
        Some(hold)
    }

    /// Records a request's first event, from which on nothing is to be prefilled for it. Returns the hold as it was
    /// before.
    pub fn record_first_event(&mut self, now: Moment, attempt: id::Attempt) -> Option<Hold> {
        let hold = self.held.get_mut(&attempt)?;
        let before = hold.clone();
        hold.first_event = Some(now);
        self.pending_prefill -= u64::from(hold.read);
        hold.read = 0;
        hold.new_parts = Vec::new();
        Some(before)
    }

    /// Records that the entry router renewed a request; returns whether the request runs here.
    pub fn renew_hold(&mut self, attempt: id::Attempt, now: Moment) -> bool {
        let hold = self.held.get_mut(&attempt);
        hold.map(|hold| hold.renewed = now).is_some()
    }

    /// Marks a request as reported to be slow.
    pub fn mark_reported_slow(&mut self, attempt: id::Attempt) {
        if let Some(hold) = self.held.get_mut(&attempt) {
            hold.reported_slow = true;
        }
    }

    /// Returns the attempts whose holds match a condition.
    pub fn attempts_where(&self, matches: impl Fn(&Hold) -> bool) -> Vec<id::Attempt> {
        self.held.iter().filter(|(_, hold)| matches(hold)).map(|(attempt, _)| *attempt).collect()
    }
}
