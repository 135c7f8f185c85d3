//! A service's account at its home router: the state of its upstreams, and the decisions about its requests.

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use rapidhash::RapidHashMap;
use stairvale_rollout::Admission;
use stairvale_types::{Moment, id, unit};

use crate::{
    Answer, Ask, Contents, Held, Listing, Member, Outcome, PrefillModel, Shares, Suspects, Weight,
    member::Hold,
    shares::{Measure, Surplus},
    suspects::{Cause, Evidence},
};

mod allowance;
mod choose;
mod follow;
mod holders;
mod listed;
mod paths;
mod places;
mod quarantine;
mod queue;
mod ring;
mod transit;
mod usable;
mod watch;

pub use allowance::cold::ColdLimits;

/// A hold that its entry router hasn't renewed for this long is dropped; entry routers renew their holds several times
/// within it.
const HOLD_TTL: Duration = Duration::from_secs(4);
/// A hold younger than this is kept even if a renewal lacks it: the renewal may have been sent before the grant
/// arrived.
const RENEWAL_GRACE: Duration = Duration::from_millis(1_000);
/// Initial value of the mean time of a plain answer, in ms.
const INITIAL_MEAN_TIME_MS: f64 = 50.0;
/// Weight of one answer in a moving mean.
const MEAN_WEIGHT: f64 = 0.1;

/// The settings by which a service's requests are distributed over its upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rules {
    /// The KV cache capacity of an engine in tokens; `None` for a plain service.
    pub engine: Option<unit::Tokens>,
    /// Whether an engine can copy cached prefixes from another engine.
    pub copies: bool,
    /// The load multiple: no upstream may exceed this multiple of the mean number of outstanding requests; zero for no
    /// bound.
    pub load_multiple: f64,
    /// Requests that are allowed beyond the load multiple.
    pub load_slack: f64,
    /// The limits for cold upstreams; `None` if they aren't configured.
    pub cold: Option<ColdLimits>,
}

/// The state of one service at its home router.
#[derive(Debug)]
pub struct Pool {
    rules: Rules,
    members: BTreeMap<id::Upstream, Member>,
    /// The current incarnation of each upstream name.
    incarnations: BTreeMap<id::Upstream, id::Upstream>,
    /// Upstreams that were removed from the store and may still run requests.
    leaving: BTreeSet<id::Upstream>,
    /// Zones none of whose routers responds.
    unresponsive_zones: BTreeSet<id::Zone>,
    /// When an upstream of each zone last answered.
    last_answers: BTreeMap<id::Zone, Moment>,
    /// The upstream that runs each attempt.
    placements: places::Placements,
    /// The members that hold each shared part.
    holders: holders::Holders,
    /// Pairs of zones between which copies are late.
    paths: paths::Paths,
    /// Whether every decision scans all members.
    scan_all: bool,
    /// The number of members scanned so far.
    scanned_members: Cell<u64>,
    /// The members ordered by their hashes.
    ring: ring::Ring,
    /// The number of members that accept new work.
    usable: usable::Usable,
    /// The versions of the members that the store lists.
    listed_versions: listed::ListedVersions,
    /// Engines whose cache contents haven't been reported by any router or by the engine, in the order of their
    /// arrival.
    cache_unknown: Vec<id::Upstream>,
    /// The attempts that are prefilling each shared part.
    prefilling: RapidHashMap<u64, Vec<id::Attempt>>,
    waiting: Vec<queue::Waiting>,
    /// How the service's slots are divided among customers.
    shares: Shares,
    following: Vec<follow::Follower>,
    last_number: u64,
    /// The model of its engines' time to the first event.
    prefill: PrefillModel,
    /// The mean time of a plain answer, or the mean time from grant to end of an engine's request, in ms.
    mean_time_ms: f64,
    /// How much longer than the answer's time a slot of a plain upstream is occupied, in ms.
    transit_ms: f64,
    /// This router's share of the fleet-wide limit for cold upstreams.
    share: allowance::cold::Share,
    /// The roll-out policy and the reservation for the version on trial.
    versions: allowance::versions::Versions,
    /// Observations of requests at both versions during a roll-out.
    watch: watch::Watch,
    /// Requests and parts of prompts under which upstreams crashed.
    suspects: Suspects,
    /// Evidence that was collected here and not yet sent to other routers.
    evidence: Vec<Evidence>,
    /// Causes of crashes that were found and not yet reported.
    found: Vec<Cause>,
}

impl Pool {
    /// Creates a pool without upstreams.
    #[must_use]
    pub fn new(rules: Rules) -> Self {
        Self {
            rules,
            members: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            leaving: BTreeSet::new(),
            unresponsive_zones: BTreeSet::new(),
            last_answers: BTreeMap::new(),
            placements: places::Placements::default(),
            holders: holders::Holders::default(),
            paths: paths::Paths::default(),
            scan_all: false,
            scanned_members: Cell::default(),
            ring: ring::Ring::default(),
            usable: usable::Usable::default(),
            listed_versions: listed::ListedVersions::default(),
            cache_unknown: Vec::new(),
            prefilling: RapidHashMap::default(),
            waiting: Vec::new(),
            shares: Shares::default(),
            following: Vec::new(),
            last_number: 0,
            prefill: PrefillModel::default(),
            mean_time_ms: INITIAL_MEAN_TIME_MS,
            transit_ms: 0.0,
            share: allowance::cold::Share::ALL,
            versions: allowance::versions::Versions::default(),
            watch: watch::Watch::default(),
            suspects: Suspects::default(),
            evidence: Vec::new(),
            found: Vec::new(),
        }
    }

    /// Scans every upstream for every decision. It serves as a reference for the restricted scan, which makes the same
    /// decisions faster.
    #[must_use]
    pub fn with_full_scan(mut self) -> Self {
        self.scan_all = true;
        self
    }

    /// Ranks customers by another measure while requests wait; used for comparisons.
    #[must_use]
    pub fn with_measure(mut self, measure: Measure) -> Self {
        self.shares = self.shares.with_measure(measure);
        self
    }

    /// Sets the weights of some customers; all others have a weight of one.
    pub fn set_weights(&mut self, weights: impl IntoIterator<Item = (id::Customer, Weight)>) {
        self.shares.set_weights(weights);
    }

    /// Replaces the rules after a change of the configuration.
    pub fn set_rules(&mut self, rules: Rules) {
        self.rules = rules;
    }

    // ------------------------------------------------------------------------
    // Queries.

    /// Returns the number of requests that run at an upstream.
    #[must_use]
    pub fn running(&self, upstream: &id::Upstream) -> u32 {
        self.members.get(upstream).map_or(0, Member::running)
    }

    /// Whether the upstreams are engines, so that their cached prefixes matter.
    #[must_use]
    pub fn has_engines(&self) -> bool {
        self.rules.engine.is_some()
    }

    /// Returns the number of requests that wait, for a slot or for another request's prefill.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len() + self.following.len()
    }

    /// Returns the accounts of the service's customers.
    #[must_use]
    pub fn shares(&self) -> &Shares {
        &self.shares
    }

    /// Iterates over the upstreams.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the number of members that were scanned so far, for decisions and for messages of entry routers. The
    /// time of a decision or a message is proportional to the members that it scans.
    #[must_use]
    pub fn scanned_members(&self) -> u64 {
        self.scanned_members.get()
    }

    /// Adds to the number of scanned members.
    pub(super) fn count_scanned(&self, members: usize) {
        self.scanned_members.set(self.scanned_members.get() + members as u64);
    }

    // ------------------------------------------------------------------------
    // Changes.

    /// Returns the customers whose demand rose above their share since the last call, while requests wait, and those
    /// whose demand fell below it.
    pub fn surpluses(&mut self, now: Moment) -> Vec<Surplus> {
        let level = if self.waiting.is_empty() { f64::INFINITY } else { self.level(now) };
        self.shares.surpluses(now, level)
    }

    /// The software versions of the upstreams that the store lists; `None` stands for upstreams that state none.
    pub fn listed_versions(&self) -> impl Iterator<Item = &Option<id::Version>> {
        self.listed_versions.iter()
    }

    /// Replaces the set of upstreams by those that exist in the store.
    pub fn set_members(&mut self, now: Moment, known: &[Listing]) -> Vec<Answer> {
        let answers = self.apply_listings(now, known);
        let named: BTreeSet<_> = known.iter().map(|listing| &listing.id).collect();
        let present = self.members.values().filter(|member| !member.is_gone());
        let gone: Vec<_> = present.map(|member| &member.id).filter(|id| !named.contains(id)).cloned().collect();
        for incarnation in gone {
            self.incarnations.remove(&incarnation.name());
            self.mark_gone(incarnation);
        }
        self.finish_update(now, answers)
    }

    /// Applies the changed records of some upstreams from the store, and the names of upstreams that were removed.
    pub fn update(&mut self, now: Moment, known: &[Listing], gone: &[id::Upstream]) -> Vec<Answer> {
        let answers = self.apply_listings(now, known);
        for name in gone {
            if let Some(incarnation) = self.incarnations.remove(name) {
                self.mark_gone(incarnation);
            }
        }
        self.finish_update(now, answers)
    }

    /// Applies the store's records of some upstreams.
    fn apply_listings(&mut self, now: Moment, known: &[Listing]) -> Vec<Answer> {
        let memory = self.rules.engine.map_or(0, |memory| u64::from(memory.0));
        let cold = self.rules.cold.map_or(Duration::ZERO, |cold| cold.time);
        let first = self.members.is_empty();
        let mut answers = Vec::new();
        for listing in known {
            // Most listings are of the incarnation that is already the current one.
            if self.members.get(&listing.id).is_none_or(Member::is_gone) {
                answers.extend(self.begin_incarnation(now, &listing.id));
            }
            let member = self.members.entry(listing.id.clone()).or_insert_with(|| {
                let mut member = Member::new(listing.id.clone(), listing.zone.clone(), listing.slots, memory);
                if first {
                    self.cache_unknown.push(listing.id.clone());
                } else {
                    // An upstream that is added later has just started, and its cache is empty.
                    member.cache_known = true;
                    member.presume_cold(now + cold);
                }
                self.ring.insert(&member);
                self.usable.add(&member);
                self.listed_versions.add(&member);
                member
            });
            self.usable.remove(member);
            self.listed_versions.remove(member);
            member.apply_listing(now, listing);
            self.usable.add(member);
            self.listed_versions.add(member);
            self.versions.set_admission(member);
            self.holders.apply_changes(member);
        }
        answers
    }

    /// Grants waiting requests after members changed.
    fn finish_update(&mut self, now: Moment, mut answers: Vec<Answer>) -> Vec<Answer> {
        self.remove_gone();
        answers.extend(self.grant_waiting(now));
        answers
    }

    fn mark_gone(&mut self, incarnation: id::Upstream) {
        if let Some(member) = self.members.get_mut(&incarnation) {
            self.usable.remove(member);
            self.listed_versions.remove(member);
            member.mark_gone();
            self.leaving.insert(incarnation);
        }
    }

    /// Makes an incarnation the current one of its name. The requests of an earlier incarnation ended with it, and none
    /// of the state recorded for the earlier incarnation applies to the new one.
    fn begin_incarnation(&mut self, now: Moment, incarnation: &id::Upstream) -> Vec<Answer> {
        let Some(earlier) =
            self.incarnations.insert(incarnation.name(), incarnation.clone()).filter(|earlier| earlier != incarnation)
        else {
            return Vec::new();
        };
        let held: Vec<_> = self.members.get(&earlier).map_or_else(Vec::new, |member| member.attempts_where(|_| true));
        self.mark_gone(earlier);
        held.into_iter().flat_map(|attempt| self.release(now, attempt, Outcome::Ended, None)).collect()
    }

    /// Removes upstreams that have left the store, once no request runs there any more.
    fn remove_gone(&mut self) {
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
                holders.apply_changes(&mut member);
                ring.remove(&member);
            }
            stays
        });
    }

    /// Sets the zones none of whose routers responds. If their upstreams are unresponsive as well, such zones are
    /// treated as partitioned.
    pub fn set_unresponsive_zones(&mut self, unresponsive_zones: BTreeSet<id::Zone>) {
        self.unresponsive_zones = unresponsive_zones;
    }

    /// Handles an entry router's request for an upstream. If the result holds no answer for it, the request waits.
    pub fn ask(&mut self, now: Moment, ask: Ask) -> Vec<Answer> {
        self.learn_observed_prefix(&ask);
        self.count_request(now, &ask);
        self.admit(now, ask, now)
    }

    /// Cancels an attempt whose entry router no longer waits for an answer.
    pub fn cancel(&mut self, now: Moment, attempt: id::Attempt) -> Vec<Answer> {
        self.stop_waiting(attempt);
        self.stop_following(attempt);
        self.release(now, attempt, Outcome::Abandoned, None)
    }

    /// Records the first event of an attempt, which came `took` after the request was sent.
    pub fn record_first_event(&mut self, now: Moment, attempt: id::Attempt, took: Duration) -> Vec<Answer> {
        let Some(member) = self.placements.get(attempt).and_then(|upstream| self.members.get_mut(upstream)) else {
            return Vec::new();
        };
        let Some(hold) = member.record_first_event(now, attempt) else {
            return Vec::new();
        };
        let Hold { new_parts, read, expected_ms, .. } = &hold;
        member.cache.finish_prefill(new_parts);
        self.last_answers.insert(member.zone.clone(), now);
        let took = took.as_secs_f64() * 1e3;
        // Only a prefill that ran alone shows how long prefill takes. Answers of a version on trial don't change the
        // model, since it describes the version that serves.
        let usual = member.admission != Admission::Trial;
        if self.rules.engine.is_some() && member.pending_prefill() == 0 && hold.source_zone.is_none() && usual {
            self.prefill.observe(f64::from(*read), took);
        }
        // The time of a copy depends on the source and the path between the zones as well, not on this engine alone.
        match &hold.source_zone {
            Some(from) => self.paths.end(now, from, &member.zone, took, *expected_ms),
            None if *expected_ms > 0.0 => member.health.record_time(now, (took + 20.0) / (expected_ms + 20.0)),
            None => {}
        }
        self.stop_prefill(new_parts, attempt);
        self.watch_begin(now, attempt, &hold, took);
        self.place_followers(now, attempt)
    }

    /// Records the end of an attempt; `took` is the time of a plain answer.
    pub fn release(
        &mut self,
        now: Moment,
        attempt: id::Attempt,
        outcome: Outcome,
        took: Option<Duration>,
    ) -> Vec<Answer> {
        let Some(upstream) = self.placements.remove(attempt) else {
            return Vec::new();
        };
        self.shares.end(now, attempt);
        // The median matters only after a failure, and computing it scans members.
        let median = if matches!(outcome, Outcome::Failed | Outcome::Silent) {
            self.median_failure_rate(now, &upstream)
        } else {
            0.0
        };
        let (mut read, mut held, mut is_overfull) = (Vec::new(), None, false);
        if let Some(member) = self.members.get_mut(&upstream) {
            is_overfull = outcome == Outcome::Shed && member.running() > member.slots;
            let hold = member.remove_hold(attempt);
            // Without a first event it isn't certain that any part was prefilled.
            read = hold.as_ref().map(|hold| hold.new_parts.clone()).unwrap_or_default();
            if outcome == Outcome::Served {
                member.cache.finish_prefill(&read);
            } else {
                member.cache.abort_prefill(&read, attempt);
                self.holders.apply_changes(member);
            }
            if let Some(took) = took {
                held = hold.as_ref().filter(|hold| hold.expected_ms > 0.0).map(|hold| (now.since(hold.since), took));
                let took = took.as_secs_f64() * 1e3;
                if member.admission != Admission::Trial {
                    self.mean_time_ms += (took - self.mean_time_ms) * MEAN_WEIGHT;
                }
                if hold.as_ref().is_some_and(|hold| hold.expected_ms > 0.0) {
                    member.health.record_time(now, (took + 5.0) / (self.mean_time_ms + 5.0));
                }
            }
            member.health.observe(now, outcome, median);
            if matches!(outcome, Outcome::Served | Outcome::Failed | Outcome::Shed) {
                self.last_answers.insert(member.zone.clone(), now);
            }
            let is_new = member.is_new;
            if let Some(hold) = hold {
                self.record_outcome(now, &upstream, &hold, outcome);
                self.watch_end(now, (&upstream, is_new), &hold, outcome, took);
            }
        }
        if let Some((held, took)) = held {
            self.record_transit(held, took);
        } else if is_overfull {
            self.halve_transit();
        }
        self.stop_prefill(&read, attempt);
        let mut answers = self.place_followers(now, attempt);
        answers.extend(self.grant_waiting(now));
        answers
    }

    /// Renews the holds of an entry router, which names all requests that it still runs here.
    pub fn renew(&mut self, now: Moment, entry: &id::Router, held: &[Held]) -> Vec<Answer> {
        for item in held {
            if let Some(upstream) = self.placements.get(item.attempt) {
                if let Some(member) = self.members.get_mut(upstream) {
                    member.renew_hold(item.attempt, now);
                }
                continue;
            }
            let Some(member) = self.members.get_mut(&item.upstream) else {
                continue;
            };
            let hold = Hold {
                entry: entry.clone(),
                since: now,
                renewed: now,
                read: item.read,
                tokens: item.read,
                expected_ms: 0.0,
                typical_ms: 0.0,
                source: None,
                route: item.route,
                contents: Arc::new(Contents::unknown(item.fingerprint)),
                output: 0,
                first_event: None,
                reported_slow: false,
                source_zone: None,
                new_parts: Vec::new(),
            };
            member.add_hold(item.attempt, hold);
            self.placements.insert(now, item.attempt, item.upstream.clone(), entry.clone());
            self.shares.start(now, item.attempt, item.customer.as_ref());
        }
        let named = self.placements.renew(now, entry);
        self.drop_holds(now, named, |hold| hold.renewed < now && now.since(hold.since) >= RENEWAL_GRACE);
        self.grant_waiting(now)
    }

    /// Handles the passage of time: ends waits that are over, drops holds that weren't renewed, and removes idle
    /// customers' accounts.
    pub fn tick(&mut self, now: Moment) -> Vec<Answer> {
        let unheard = self.placements.expired(now, HOLD_TTL);
        self.drop_holds(now, unheard, |hold| now.since(hold.renewed) >= HOLD_TTL);
        self.watch_running(now);
        self.remove_gone();
        self.judge_suspects(now);
        self.shares.age(now);
        let mut answers = self.end_following(now);
        answers.extend(self.grant_waiting(now));
        answers.extend(self.end_waiting(now));
        answers
    }

    /// Drops those of some attempts whose hold matches `gone`, since their entry router no longer runs them.
    fn drop_holds(&mut self, now: Moment, attempts: Vec<id::Attempt>, gone: impl Fn(&Hold) -> bool) {
        self.count_scanned(attempts.len());
        for attempt in attempts {
            let Some(member) = self.placements.get(attempt).and_then(|upstream| self.members.get_mut(upstream)) else {
                continue;
            };
            if !member.held().get(&attempt).is_some_and(&gone) {
                continue;
            }
            let hold = member.remove_hold(attempt);
            self.placements.remove(attempt);
            self.shares.end(now, attempt);
            if let Some(hold) = hold {
                member.cache.abort_prefill(&hold.new_parts, attempt);
                self.holders.apply_changes(member);
                self.stop_prefill(&hold.new_parts, attempt);
            }
        }
    }

    /// Removes an attempt from the attempts that prefill some parts.
    fn stop_prefill(&mut self, parts: &[u64], attempt: id::Attempt) {
        for part in parts {
            if let Some(prefilling) = self.prefilling.get_mut(part) {
                prefilling.retain(|reader| *reader != attempt);
                if prefilling.is_empty() {
                    self.prefilling.remove(part);
                }
            }
        }
    }

    /// Returns the median failure rate of the other upstreams.
    fn median_failure_rate(&self, now: Moment, except: &id::Upstream) -> f64 {
        let reach = self.reach(now);
        let others = self.sample(except.hash64());
        self.count_scanned(others.len());
        let others = others.into_iter().filter(|member| &member.id != except && reach.reaches(member));
        let mut rates: Vec<_> = others.map(|member| member.health.failure_rate(now)).collect();
        rates.sort_by(f64::total_cmp);
        rates.get(rates.len() / 2).copied().unwrap_or(0.0)
    }
}
