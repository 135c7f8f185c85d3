//! The home's account of a service's upstreams, and its decisions.

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rapidhash::RapidHashMap;
use stairvale_rollout::Admission;
use stairvale_types::{Moment, id, unit};

use crate::{
    Answer, Ask, Held, Listing, Member, Outcome, Reading, Shares, Suspects, Weight,
    member::Hold,
    shares::{Measure, Surplus},
    suspects::Evidence,
};

mod allowance;
mod choose;
mod follow;
mod holders;
mod paths;
mod places;
mod quarantine;
mod queue;
mod ring;
mod transit;
mod usable;
mod watch;

pub use allowance::cold::Cold;

/// A hold that its entry hasn't named for this long is dropped; entries name theirs several times in it.
const HOLD_TTL: Duration = Duration::from_secs(4);
/// A hold younger than this may be missing from what its entry named before the grant came in.
const YOUNG: Duration = Duration::from_millis(1_000);
/// A plain answer's time in ms, until answers have shown it.
const FIRST_TIME: f64 = 50.0;
/// How much one answer counts in a mean.
const WEIGHT: f64 = 0.1;

/// How a service is dealt out.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rules {
    /// Tokens that fit into an engine; `None` for a plain service.
    pub engine: Option<unit::Tokens>,
    /// Whether an engine can copy what another one holds of a prompt.
    pub copies: bool,
    /// The set multiple of the mean load that no upstream may exceed; zero if there is none.
    pub multiple: f64,
    /// What is allowed beyond that multiple, in requests.
    pub slack: f64,
    /// What a cold upstream bears; `None` if that isn't known.
    pub cold: Option<Cold>,
}

/// A service at its home.
#[derive(Debug)]
pub struct Pool {
    rules: Rules,
    members: BTreeMap<id::Upstream, Member>,
    /// The present life of each name.
    lives: BTreeMap<id::Upstream, id::Upstream>,
    /// Upstreams that are gone and may still run something.
    leaving: BTreeSet<id::Upstream>,
    /// Zones none of whose routers is heard of.
    dark: BTreeSet<id::Zone>,
    /// When an upstream of a zone answered last.
    answered: BTreeMap<id::Zone, Moment>,
    /// Where each attempt runs.
    places: places::Places,
    /// Who holds each shared part.
    holders: holders::Holders,
    /// Between which zones copies are late.
    paths: paths::Paths,
    /// Whether every decision looks at all members.
    whole_look: bool,
    /// Members that were looked at so far.
    looks: Cell<u64>,
    /// The members in the order of their hashes.
    ring: ring::Ring,
    /// How many members may be given new work.
    usable: usable::Usable,
    /// Engines that may hold what nobody has told, in the order in which they came.
    untold: Vec<id::Upstream>,
    /// Who reads each of the shared parts that somebody is reading now.
    readers: RapidHashMap<u64, Vec<id::Attempt>>,
    waiting: Vec<queue::Waiting>,
    /// Who has how much of the places.
    shares: Shares,
    following: Vec<follow::Follower>,
    number: u64,
    /// How long its engines take to the first event.
    reading: Reading,
    /// The mean time of a plain answer, or of an engine's request from grant to end, in ms.
    time: f64,
    /// How much longer than that a place of a plain upstream is taken, in ms.
    transit: f64,
    /// This router's part of what the whole fleet may give to cold upstreams.
    share: allowance::cold::Share,
    /// What its upstreams may be given by their versions.
    versions: allowance::versions::Versions,
    /// What became of requests at either version.
    watch: watch::Watch,
    /// Requests that its upstreams ended under.
    suspects: Suspects,
    /// What was learnt of them here and not told yet.
    evidence: Vec<Evidence>,
    /// Those that were found to be the cause, and not told yet.
    found: Vec<id::Fingerprint>,
}

impl Pool {
    /// A pool without upstreams.
    #[must_use]
    pub fn new(rules: Rules) -> Self {
        Self {
            rules,
            members: BTreeMap::new(),
            lives: BTreeMap::new(),
            leaving: BTreeSet::new(),
            dark: BTreeSet::new(),
            answered: BTreeMap::new(),
            places: places::Places::default(),
            holders: holders::Holders::default(),
            paths: paths::Paths::default(),
            whole_look: false,
            looks: Cell::default(),
            ring: ring::Ring::default(),
            usable: usable::Usable::default(),
            untold: Vec::new(),
            readers: RapidHashMap::default(),
            waiting: Vec::new(),
            shares: Shares::default(),
            following: Vec::new(),
            number: 0,
            reading: Reading::default(),
            time: FIRST_TIME,
            transit: 0.0,
            share: allowance::cold::Share::ALL,
            versions: allowance::versions::Versions::default(),
            watch: watch::Watch::default(),
            suspects: Suspects::default(),
            evidence: Vec::new(),
            found: Vec::new(),
        }
    }

    /// Looks at every upstream for every decision, as a comparison for the short look: slower, and the same.
    #[must_use]
    pub fn with_whole_look(mut self) -> Self {
        self.whole_look = true;
        self
    }

    /// Tells customers apart by another measure where requests wait, as a comparison.
    #[must_use]
    pub fn with_measure(mut self, measure: Measure) -> Self {
        self.shares = self.shares.with_measure(measure);
        self
    }

    /// Sets the weights of some customers; all others have a weight of one.
    pub fn set_weights(&mut self, weights: impl IntoIterator<Item = (id::Customer, Weight)>) {
        self.shares.set_weights(weights);
    }

    /// The configuration changed.
    pub fn set_rules(&mut self, rules: Rules) {
        self.rules = rules;
    }

    // ------------------------------------------------------------------------
    // Queries.

    /// Requests that run at an upstream.
    #[must_use]
    pub fn running(&self, upstream: &id::Upstream) -> u32 {
        self.members.get(upstream).map_or(0, Member::running)
    }

    /// Whether it matters what its upstreams hold of prompts.
    #[must_use]
    pub fn has_engines(&self) -> bool {
        self.rules.engine.is_some()
    }

    /// Requests that wait, for a place or for what another one reads.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len() + self.following.len()
    }

    /// What each customer has of it.
    #[must_use]
    pub fn shares(&self) -> &Shares {
        &self.shares
    }

    /// Its upstreams.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Members that were looked at so far, for decisions and for what entries say. What one of these takes follows from it.
    #[must_use]
    pub fn looks(&self) -> u64 {
        self.looks.get()
    }

    /// Some members are looked at.
    pub(super) fn count_looks(&self, members: usize) {
        self.looks.set(self.looks.get() + members as u64);
    }

    // ------------------------------------------------------------------------
    // Changes.

    /// Who wants more than its share since this was asked last, while requests wait, and who no longer does.
    pub fn surpluses(&mut self, now: Moment) -> Vec<Surplus> {
        let level = if self.waiting.is_empty() { f64::INFINITY } else { self.level(now) };
        self.shares.surpluses(now, level)
    }

    /// Sets the upstreams that exist.
    pub fn set_members(&mut self, now: Moment, known: &[Listing]) -> Vec<Answer> {
        let answers = self.list(now, known);
        let named: BTreeSet<_> = known.iter().map(|listing| &listing.id).collect();
        let present = self.members.values().filter(|member| !member.is_gone());
        let gone: Vec<_> = present.map(|member| &member.id).filter(|id| !named.contains(id)).cloned().collect();
        for life in gone {
            self.lives.remove(&life.name());
            self.leave(life);
        }
        self.settle(now, answers)
    }

    /// Takes what the store says of some upstreams, and the names of others that have gone.
    pub fn update(&mut self, now: Moment, known: &[Listing], gone: &[id::Upstream]) -> Vec<Answer> {
        let answers = self.list(now, known);
        for name in gone {
            if let Some(life) = self.lives.remove(name) {
                self.leave(life);
            }
        }
        self.settle(now, answers)
    }

    /// Takes what the store says of some upstreams.
    fn list(&mut self, now: Moment, known: &[Listing]) -> Vec<Answer> {
        let memory = self.rules.engine.map_or(0, |memory| u64::from(memory.0));
        let cold = self.rules.cold.map_or(Duration::ZERO, |cold| cold.time);
        let first = self.members.is_empty();
        let mut answers = Vec::new();
        for listing in known {
            // Most listings are of a life that is known to be the present one.
            if self.members.get(&listing.id).is_none_or(Member::is_gone) {
                answers.extend(self.begin_life(now, &listing.id));
            }
            let member = self.members.entry(listing.id.clone()).or_insert_with(|| {
                let mut member = Member::new(listing.id.clone(), listing.zone.clone(), listing.slots, memory);
                if first {
                    self.untold.push(listing.id.clone());
                } else {
                    // One that comes later has just begun, and holds nothing yet.
                    member.known = true;
                    member.presume_cold(now + cold);
                }
                self.ring.insert(&member);
                self.usable.add(&member);
                member
            });
            self.usable.remove(member);
            member.list(now, listing);
            self.usable.add(member);
            self.versions.place(member);
            self.holders.follow(member);
        }
        answers
    }

    /// Grants what waits, after members changed.
    fn settle(&mut self, now: Moment, mut answers: Vec<Answer>) -> Vec<Answer> {
        self.bury();
        answers.extend(self.serve(now));
        answers
    }

    fn leave(&mut self, life: id::Upstream) {
        if let Some(member) = self.members.get_mut(&life) {
            self.usable.remove(member);
            member.go();
            self.leaving.insert(life);
        }
    }

    /// A life is the present one of its name from now on. What ran in an earlier one has ended with it, and nothing that is known
    /// of that one is true of this.
    fn begin_life(&mut self, now: Moment, life: &id::Upstream) -> Vec<Answer> {
        let Some(earlier) = self.lives.insert(life.name(), life.clone()).filter(|earlier| earlier != life) else {
            return Vec::new();
        };
        let held: Vec<_> = self.members.get(&earlier).map_or_else(Vec::new, |member| member.which(|_| true));
        self.leave(earlier);
        held.into_iter().flat_map(|attempt| self.release(now, attempt, Outcome::Ended, None)).collect()
    }

    /// Drops the upstreams that are gone once nothing runs there any more.
    fn bury(&mut self) {
        if self.leaving.is_empty() {
            return;
        }
        let (members, holders, ring) = (&mut self.members, &mut self.holders, &mut self.ring);
        self.leaving.retain(|id| {
            let stays = members.get(id).is_some_and(|member| member.is_gone() && !member.held().is_empty());
            if !stays
                && members.get(id).is_some_and(Member::is_gone)
                && let Some(mut member) = members.remove(id)
            {
                member.cache.clear();
                holders.follow(&mut member);
                ring.remove(&member);
            }
            stays
        });
    }

    /// Sets the zones none of whose routers is heard of: where upstreams are silent, too, they are behind a cut.
    pub fn set_dark(&mut self, dark: BTreeSet<id::Zone>) {
        self.dark = dark;
    }

    /// An entry asks for an upstream; no answer means that the request waits.
    pub fn ask(&mut self, now: Moment, ask: Ask) -> Vec<Answer> {
        self.learn(&ask);
        self.count(now, &ask);
        self.enter(now, ask, now)
    }

    /// An entry no longer waits for an answer.
    pub fn forget(&mut self, now: Moment, attempt: id::Attempt) -> Vec<Answer> {
        self.stop_waiting(attempt);
        self.stop_following(attempt);
        self.release(now, attempt, Outcome::Abandoned, None)
    }

    /// The first event of an attempt came, this long after it was sent.
    pub fn begun(&mut self, now: Moment, attempt: id::Attempt, took: Duration) -> Vec<Answer> {
        let Some(member) = self.places.get(attempt).and_then(|place| self.members.get_mut(place)) else {
            return Vec::new();
        };
        let Some(hold) = member.begin(now, attempt) else {
            return Vec::new();
        };
        let Hold { reads, read, expected, .. } = &hold;
        member.cache.finish(reads);
        self.answered.insert(member.zone.clone(), now);
        let took = took.as_secs_f64() * 1e3;
        // Only what was read while nothing else was tells how long reading takes.
        // What is on trial doesn't tell what is usual.
        let usual = member.admission != Admission::Trial;
        if self.rules.engine.is_some() && member.ahead() == 0 && hold.copies.is_none() && usual {
            self.reading.observe(f64::from(*read), took);
        }
        // How long a copy takes is no matter of this engine alone.
        match &hold.copies {
            Some(from) => self.paths.end(now, from, &member.zone, took, *expected),
            None if *expected > 0.0 => member.health.took(now, (took + 20.0) / (expected + 20.0)),
            None => {}
        }
        self.stop_reading(reads, attempt);
        self.watch_begin(now, attempt, &hold, took);
        self.lead(now, attempt)
    }

    /// An attempt ended; `took` is the time of a plain answer.
    pub fn release(
        &mut self,
        now: Moment,
        attempt: id::Attempt,
        outcome: Outcome,
        took: Option<Duration>,
    ) -> Vec<Answer> {
        let Some(place) = self.places.remove(attempt) else {
            return Vec::new();
        };
        self.shares.end(now, attempt);
        // It matters only where something went wrong, and takes a look at all.
        let usual = if matches!(outcome, Outcome::Failed | Outcome::Silent) { self.usual(now, &place) } else { 0.0 };
        let (mut read, mut held, mut is_overfull) = (Vec::new(), None, false);
        if let Some(member) = self.members.get_mut(&place) {
            is_overfull = outcome == Outcome::Shed && member.running() > member.slots;
            let hold = member.let_go(attempt);
            // Without a first event it isn't certain that anything was read.
            read = hold.as_ref().map(|hold| hold.reads.clone()).unwrap_or_default();
            if outcome == Outcome::Served {
                member.cache.finish(&read);
            } else {
                member.cache.lose(&read, attempt);
                self.holders.follow(member);
            }
            if let Some(took) = took {
                held = hold.as_ref().filter(|hold| hold.expected > 0.0).map(|hold| (now.since(hold.since), took));
                let took = took.as_secs_f64() * 1e3;
                if member.admission != Admission::Trial {
                    self.time += (took - self.time) * WEIGHT;
                }
                if hold.as_ref().is_some_and(|hold| hold.expected > 0.0) {
                    member.health.took(now, (took + 5.0) / (self.time + 5.0));
                }
            }
            member.health.observe(now, outcome, usual);
            if matches!(outcome, Outcome::Served | Outcome::Failed | Outcome::Shed) {
                self.answered.insert(member.zone.clone(), now);
            }
            let is_new = member.is_new;
            if let Some(hold) = hold {
                self.suspect(now, &place, &hold, outcome);
                self.watch_end(now, (&place, is_new), &hold, outcome, took);
            }
        }
        if let Some((held, took)) = held {
            self.learn_transit(held, took);
        } else if is_overfull {
            self.doubt_transit();
        }
        self.stop_reading(&read, attempt);
        let mut answers = self.lead(now, attempt);
        answers.extend(self.serve(now));
        answers
    }

    /// An entry names all that it holds here.
    pub fn renew(&mut self, now: Moment, entry: &id::Router, held: &[Held]) -> Vec<Answer> {
        for item in held {
            if let Some(place) = self.places.get(item.attempt) {
                if let Some(member) = self.members.get_mut(place) {
                    member.name(item.attempt, now);
                }
                continue;
            }
            let Some(member) = self.members.get_mut(&item.upstream) else {
                continue;
            };
            let hold = Hold {
                entry: entry.clone(),
                since: now,
                named: now,
                read: item.read,
                tokens: item.read,
                expected: 0.0,
                due: 0.0,
                source: None,
                route: item.route,
                fingerprint: item.fingerprint,
                output: 0,
                begun: None,
                told: false,
                copies: None,
                reads: Vec::new(),
            };
            member.hold(item.attempt, hold);
            self.places.insert(now, item.attempt, item.upstream.clone(), entry.clone());
            self.shares.start(now, item.attempt, item.customer.as_ref());
        }
        let named = self.places.hear(now, entry);
        self.drop_holds(now, named, |hold| hold.named < now && now.since(hold.since) >= YOUNG);
        self.serve(now)
    }

    /// Lets time pass: waits end, holds that nobody names are dropped, customers that want nothing are forgotten.
    pub fn tick(&mut self, now: Moment) -> Vec<Answer> {
        let unheard = self.places.unheard(now, HOLD_TTL);
        self.drop_holds(now, unheard, |hold| now.since(hold.named) >= HOLD_TTL);
        self.watch_running(now);
        self.bury();
        self.judge_suspects(now);
        self.shares.age(now);
        let mut answers = self.end_following(now);
        answers.extend(self.serve(now));
        answers.extend(self.end_waiting(now));
        answers
    }

    /// Drops those of some attempts whose entry no longer runs them.
    fn drop_holds(&mut self, now: Moment, attempts: Vec<id::Attempt>, gone: impl Fn(&Hold) -> bool) {
        self.count_looks(attempts.len());
        for attempt in attempts {
            let Some(member) = self.places.get(attempt).and_then(|place| self.members.get_mut(place)) else {
                continue;
            };
            if !member.held().get(&attempt).is_some_and(&gone) {
                continue;
            }
            let hold = member.let_go(attempt);
            self.places.remove(attempt);
            self.shares.end(now, attempt);
            if let Some(hold) = hold {
                member.cache.lose(&hold.reads, attempt);
                self.holders.follow(member);
                self.stop_reading(&hold.reads, attempt);
            }
        }
    }

    /// An attempt no longer reads some parts.
    fn stop_reading(&mut self, parts: &[u64], attempt: id::Attempt) {
        for part in parts {
            if let Some(readers) = self.readers.get_mut(part) {
                readers.retain(|reader| *reader != attempt);
                if readers.is_empty() {
                    self.readers.remove(part);
                }
            }
        }
    }

    /// The share of bad outcomes among other upstreams: the median.
    fn usual(&self, now: Moment, except: &id::Upstream) -> f64 {
        let within = self.reach(now);
        let others = self.stretch(except.hash64());
        self.count_looks(others.len());
        let others = others.into_iter().filter(|member| &member.id != except && within.reaches(member));
        let mut shares: Vec<_> = others.map(|member| member.health.failing(now)).collect();
        shares.sort_by(f64::total_cmp);
        shares.get(shares.len() / 2).copied().unwrap_or(0.0)
    }
}
