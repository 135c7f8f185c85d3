//! One upstream of a service, as the home knows it.

use std::{collections::VecDeque, time::Duration};

use rapidhash::RapidHashMap;
use stairvale_rollout::Admission;
use stairvale_types::{Moment, id};

use crate::{Cache, health::Health};

/// A request that was granted and hasn't ended.
#[derive(Clone, Debug)]
pub struct Hold {
    /// The entry that runs it.
    pub entry: id::Router,
    /// When it was granted, or heard of.
    pub since: Moment,
    /// When its entry named it last.
    pub named: Moment,
    /// Tokens that are still to be read for it.
    pub read: u32,
    /// Tokens that it takes beside what others share with it.
    pub tokens: u32,
    /// The time to the first event that was expected, in ms.
    pub expected: f64,
    /// The same if the upstream is neither slower nor faster than the others; 0 if that isn't known.
    pub due: f64,
    /// The other engine that it copies from first.
    pub source: Option<id::Upstream>,
    /// Its route.
    pub route: id::Route,
    /// What it asks for.
    pub fingerprint: id::Fingerprint,
    /// Tokens that it may make; 0 if that isn't known.
    pub output: u32,
    /// When its first event came.
    pub begun: Option<Moment>,
    /// Whether it was told that it is slow.
    pub told: bool,
    /// The zone of the engine that it copies from first, if it does.
    pub copies: Option<id::Zone>,
    /// The shared parts of its prompt that nobody had read there before; none once its first event has come.
    pub reads: Vec<u64>,
}

/// What the store says of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// Its id.
    pub id: id::Upstream,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it may be given new work.
    pub usable: bool,
    /// How much longer it was cold when this was written.
    pub cold: Duration,
    /// The revision of what was written.
    pub revision: u64,
    /// The software that it runs; `None` if it doesn't say.
    pub version: Option<id::Version>,
}

/// One upstream.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its id.
    pub id: id::Upstream,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it may be given new work.
    pub usable: bool,
    /// The software that it runs; `None` if it doesn't say.
    pub version: Option<id::Version>,
    /// What it may be given by its version.
    pub admission: Admission,
    /// Whether its version is the one that was ordered last.
    pub is_new: bool,
    /// The number of the reservation that it was chosen for last; 0 if it never was.
    pub turn: u64,
    /// Its id's hash, by which prompts rank it.
    pub hash: u64,
    held: RapidHashMap<id::Attempt, Hold>,
    /// The sum of what is to be read for what runs there.
    ahead: u64,
    /// The sum of what that takes beside shared parts.
    taken: u64,
    /// What it holds of prompts.
    pub cache: Cache,
    /// Whether that is more than what was placed there by this router.
    pub known: bool,
    /// Tokens that fit; zero if it is no engine.
    pub memory: u64,
    /// How it does.
    pub health: Health,
    /// Until when it says that it is cold.
    cold_until: Moment,
    /// Until when it may be cold without having said so.
    presumed_until: Moment,
    /// The revision of what it said last.
    revision: u64,
    /// Whether the store no longer names it.
    gone: bool,
    /// When it was given requests, the earliest first, as far back as matters.
    given: VecDeque<Moment>,
}

/// Grants that are remembered at most: more a second than any upstream that can be cold is given.
const REMEMBERED: usize = 256;

impl Member {
    /// An upstream that nothing is known of yet. `memory` is zero for a plain one.
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
            turn: 0,
            held: RapidHashMap::default(),
            ahead: 0,
            taken: 0,
            cache: Cache::new(memory),
            known: false,
            memory,
            health: Health::default(),
            cold_until: Moment::ZERO,
            presumed_until: Moment::ZERO,
            revision: 0,
            gone: false,
            given: VecDeque::new(),
        }
    }

    /// The store says something of it. One that has turned cold holds nothing any more.
    pub fn list(&mut self, now: Moment, listing: &Listing) {
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

    /// The store no longer names it: it gets nothing new.
    pub fn go(&mut self) {
        self.usable = false;
        self.gone = true;
    }

    /// Whether it may be given more than what is reserved for its version.
    #[must_use]
    pub fn serves(&self) -> bool {
        match self.admission {
            Admission::Any | Admission::Last => true,
            Admission::Trial | Admission::Nothing => false,
        }
    }

    /// Whether the store no longer names it.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        self.gone
    }

    /// It may be cold until then, whatever it says.
    pub fn presume_cold(&mut self, until: Moment) {
        self.presumed_until = self.presumed_until.max(until);
    }

    /// Whether it is cold, or may be.
    #[must_use]
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.cold_until.max(self.presumed_until)
    }

    /// It is given a request.
    pub fn give(&mut self, now: Moment) {
        self.given.push_back(now);
        if self.given.len() > REMEMBERED {
            self.given.pop_front();
        }
    }

    /// Whether it was given at most so many requests within a time before now.
    #[must_use]
    pub fn was_given_at_most(&self, most: usize, now: Moment, window: Duration) -> bool {
        let before = self.given.len().checked_sub(most + 1);
        before.is_none_or(|before| now.since(self.given[before]) >= window)
    }

    /// Requests that run there.
    #[must_use]
    pub fn running(&self) -> u32 {
        u32::try_from(self.held.len()).unwrap_or(u32::MAX)
    }

    /// Tokens that it has yet to read for what runs there.
    #[must_use]
    pub fn ahead(&self) -> u64 {
        self.ahead
    }

    /// Tokens that what runs there takes beside shared parts.
    #[must_use]
    pub fn taken(&self) -> u64 {
        self.taken
    }

    /// What runs there.
    #[must_use]
    pub fn held(&self) -> &RapidHashMap<id::Attempt, Hold> {
        &self.held
    }

    /// A request runs there from now on.
    pub fn hold(&mut self, attempt: id::Attempt, hold: Hold) {
        self.let_go(attempt);
        self.ahead += u64::from(hold.read);
        self.taken += u64::from(hold.tokens);
        self.held.insert(attempt, hold);
    }

    /// A request no longer runs there.
    pub fn let_go(&mut self, attempt: id::Attempt) -> Option<Hold> {
        let hold = self.held.remove(&attempt)?;
        self.ahead -= u64::from(hold.read);
        self.taken -= u64::from(hold.tokens);
        Some(hold)
    }

    /// A request's first event came: nothing more is to be read for it. Gives what it was until then.
    pub fn begin(&mut self, now: Moment, attempt: id::Attempt) -> Option<Hold> {
        let hold = self.held.get_mut(&attempt)?;
        let before = hold.clone();
        hold.begun = Some(now);
        self.ahead -= u64::from(hold.read);
        hold.read = 0;
        hold.reads = Vec::new();
        Some(before)
    }

    /// The entry of a request named it; whether it runs there at all.
    pub fn name(&mut self, attempt: id::Attempt, now: Moment) -> bool {
        let hold = self.held.get_mut(&attempt);
        hold.map(|hold| hold.named = now).is_some()
    }

    /// A request was told to be slow.
    pub fn tell(&mut self, attempt: id::Attempt) {
        if let Some(hold) = self.held.get_mut(&attempt) {
            hold.told = true;
        }
    }

    /// What runs there of which something is true.
    pub fn which(&self, is: impl Fn(&Hold) -> bool) -> Vec<id::Attempt> {
        self.held.iter().filter(|(_, hold)| is(hold)).map(|(attempt, _)| *attempt).collect()
    }
}
