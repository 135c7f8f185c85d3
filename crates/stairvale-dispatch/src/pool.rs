//! The home's account of a service's upstreams, and its decisions.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rapidhash::RapidHashMap;
use stairvale_types::{Moment, Refusal, id, outcome::Reason, unit};

use crate::{Answer, Ask, Held, Listing, Member, Outcome, Part, Reading, Verdict, member::Hold};

mod choose;
mod cold;
mod follow;
mod holders;
mod paths;
mod reach;

pub use cold::Cold;

/// A hold that its entry hasn't named for this long is dropped; entries name theirs several times in it.
const HOLD_TTL: Duration = Duration::from_secs(4);
/// A hold younger than this may be missing from what its entry named before the grant came in.
const YOUNG: Duration = Duration::from_millis(1_000);
/// A plain answer's time in ms, until answers have shown it.
const FIRST_TIME: f64 = 50.0;
/// How much one answer counts in a mean.
const WEIGHT: f64 = 0.1;
/// The longest time that is told to come back after.
const LONGEST_RETURN: Duration = Duration::from_secs(2);
/// The shortest.
const SHORTEST_RETURN: Duration = Duration::from_millis(100);

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

#[derive(Clone, Debug)]
struct Waiting {
    ask: Ask,
    since: Moment,
    until: Moment,
    number: u64,
}

/// A service at its home.
#[derive(Debug)]
pub struct Pool {
    rules: Rules,
    members: BTreeMap<id::Upstream, Member>,
    /// Upstreams that are gone and may still run something.
    leaving: BTreeSet<id::Upstream>,
    /// Zones none of whose routers is heard of.
    dark: BTreeSet<id::Zone>,
    /// When an upstream of a zone answered last.
    answered: BTreeMap<id::Zone, Moment>,
    /// Where each attempt runs.
    places: RapidHashMap<id::Attempt, id::Upstream>,
    /// Who holds each shared part.
    holders: holders::Holders,
    /// Between which zones copies are late.
    paths: paths::Paths,
    /// Whether every decision looks at all members.
    whole_look: bool,
    /// The hashes of the members' ids.
    hashes: Vec<u64>,
    /// Members that may be given new work.
    usable: usize,
    /// Who reads each of the shared parts that somebody is reading now.
    readers: RapidHashMap<u64, Vec<id::Attempt>>,
    waiting: Vec<Waiting>,
    following: Vec<follow::Follower>,
    number: u64,
    /// How long its engines take to the first event.
    reading: Reading,
    /// The mean time of a plain answer, or of an engine's request from grant to end, in ms.
    time: f64,
    /// This router's part of what the whole fleet may give to cold upstreams.
    share: cold::Share,
}

impl Pool {
    /// A pool without upstreams.
    #[must_use]
    pub fn new(rules: Rules) -> Self {
        Self {
            rules,
            members: BTreeMap::new(),
            leaving: BTreeSet::new(),
            dark: BTreeSet::new(),
            answered: BTreeMap::new(),
            places: RapidHashMap::default(),
            holders: holders::Holders::default(),
            paths: paths::Paths::default(),
            whole_look: false,
            hashes: Vec::new(),
            usable: 0,
            readers: RapidHashMap::default(),
            waiting: Vec::new(),
            following: Vec::new(),
            number: 0,
            reading: Reading::default(),
            time: FIRST_TIME,
            share: cold::Share::ALL,
        }
    }

    /// Looks at every upstream for every decision, as a comparison for the short look: slower, and the same.
    #[must_use]
    pub fn with_whole_look(mut self) -> Self {
        self.whole_look = true;
        self
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

    /// Its upstreams.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    // ------------------------------------------------------------------------
    // Changes.

    /// Sets the upstreams that exist.
    pub fn set_members(&mut self, now: Moment, known: &[Listing]) -> Vec<Answer> {
        let named: BTreeSet<_> = known.iter().map(|listing| &listing.id).collect();
        let gone: Vec<_> = self.members.keys().filter(|id| !named.contains(id)).cloned().collect();
        self.update(now, known, &gone)
    }

    /// Takes what the store says of some upstreams, and that others have gone.
    pub fn update(&mut self, now: Moment, known: &[Listing], gone: &[id::Upstream]) -> Vec<Answer> {
        let memory = self.rules.engine.map_or(0, |memory| u64::from(memory.0));
        let cold = self.rules.cold.map_or(Duration::ZERO, |cold| cold.time);
        let first = self.members.is_empty();
        for listing in known {
            let member = self.members.entry(listing.id.clone()).or_insert_with(|| {
                let mut member = Member::new(listing.id.clone(), listing.zone.clone(), listing.slots, memory);
                if !first {
                    // One that comes later has just begun, and holds nothing yet.
                    member.known = true;
                    member.presume_cold(now + cold);
                }
                member
            });
            member.list(now, listing);
            self.holders.follow(member);
        }
        for id in gone {
            if let Some(member) = self.members.get_mut(id) {
                member.go();
                self.leaving.insert(id.clone());
            }
        }
        self.bury();
        self.recount();
        self.serve(now)
    }

    /// Counts the members anew.
    fn recount(&mut self) {
        self.hashes.clear();
        self.hashes.extend(self.members.values().map(|member| member.hash));
        self.usable = self.members.values().filter(|member| member.usable).count();
    }

    /// Drops the upstreams that are gone once nothing runs there any more.
    fn bury(&mut self) {
        if self.leaving.is_empty() {
            return;
        }
        let (members, holders) = (&mut self.members, &mut self.holders);
        self.leaving.retain(|id| {
            let stays = members.get(id).is_some_and(|member| member.is_gone() && !member.held().is_empty());
            if !stays
                && members.get(id).is_some_and(Member::is_gone)
                && let Some(mut member) = members.remove(id)
            {
                member.cache.clear();
                holders.follow(&mut member);
            }
            stays
        });
        self.recount();
    }

    /// Sets the zones none of whose routers is heard of: where upstreams are silent, too, they are behind a cut.
    pub fn set_dark(&mut self, dark: BTreeSet<id::Zone>) {
        self.dark = dark;
    }

    /// What the members hold of shared parts, as far as is known here.
    pub fn prefixes(&self) -> impl Iterator<Item = (&id::Upstream, Vec<Part>)> {
        let all = self.members.values().map(|member| (&member.id, member.cache.shared()));
        all.filter(|(_, parts)| !parts.is_empty())
    }

    /// Another router that was the home, or the engine itself, says what it holds.
    pub fn learn_prefixes(&mut self, upstream: &id::Upstream, parts: &[Part]) {
        if let Some(member) = self.members.get_mut(upstream) {
            member.cache.learn(parts);
            member.known = true;
            self.holders.follow(member);
        }
    }

    /// Engines of which nobody has told what they hold. Each is named once.
    pub fn unknown(&mut self) -> Vec<id::Upstream> {
        let unknown = self.members.values_mut().filter(|member| member.memory > 0 && !member.known);
        let unknown = unknown.map(|member| {
            member.known = true;
            member.id.clone()
        });
        unknown.collect()
    }

    /// The home granted a prompt elsewhere; this router may be the home next.
    pub fn learn_read(&mut self, upstream: &id::Upstream, parts: &[Part]) {
        if let Some(member) = self.members.get_mut(upstream) {
            member.cache.read(parts);
            self.holders.follow(member);
        }
    }

    /// An entry asks for an upstream; no answer means that the request waits.
    pub fn ask(&mut self, now: Moment, ask: Ask) -> Vec<Answer> {
        self.learn(&ask);
        self.enter(now, ask, now)
    }

    /// Places a request that was asked for some time ago, or lets it wait for what is left of its patience.
    fn enter(&mut self, now: Moment, ask: Ask, asked: Moment) -> Vec<Answer> {
        if self.follow(now, &ask, asked) {
            return Vec::new();
        }
        if self.waiting.is_empty()
            && let Some(answer) = self.grant(now, &ask)
        {
            return vec![answer];
        }
        let Some(wait) = self.predict(now, &ask) else {
            return vec![refuse(&ask, Reason::NoUpstream, SHORTEST_RETURN * 5)];
        };
        let until = asked + ask.patience;
        if now + wait > until {
            return vec![refuse(&ask, Reason::Busy, wait)];
        }
        self.number += 1;
        self.waiting.push(Waiting { ask, since: now, until, number: self.number });
        self.waiting.sort_by_key(|waiting| (waiting.ask.priority, waiting.number));
        self.serve(now)
    }

    /// An entry no longer waits for an answer.
    pub fn forget(&mut self, now: Moment, attempt: id::Attempt) -> Vec<Answer> {
        self.waiting.retain(|waiting| waiting.ask.attempt != attempt);
        self.stop_following(attempt);
        self.release(now, attempt, Outcome::Abandoned, None)
    }

    /// The first event of an attempt came, this long after it was sent.
    pub fn begun(&mut self, now: Moment, attempt: id::Attempt, took: Duration) -> Vec<Answer> {
        let Some(member) = self.places.get(&attempt).and_then(|place| self.members.get_mut(place)) else {
            return Vec::new();
        };
        let Some(Hold { reads, read, expected, copies, .. }) = member.begin(attempt) else {
            return Vec::new();
        };
        member.cache.finish(&reads);
        self.answered.insert(member.zone.clone(), now);
        let took = took.as_secs_f64() * 1e3;
        // Only what was read while nothing else was tells how long reading takes.
        if self.rules.engine.is_some() && member.ahead() == 0 && copies.is_none() {
            self.reading.observe(f64::from(read), took);
        }
        // How long a copy takes is no matter of this engine alone.
        match copies {
            Some(from) => self.paths.end(now, &from, &member.zone, took, expected),
            None if expected > 0.0 => member.health.took(now, (took + 20.0) / (expected + 20.0)),
            None => {}
        }
        self.stop_reading(&reads, attempt);
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
        let Some(place) = self.places.remove(&attempt) else {
            return Vec::new();
        };
        // It matters only where something went wrong, and takes a look at all.
        let usual = if matches!(outcome, Outcome::Failed | Outcome::Silent) { self.usual(now, &place) } else { 0.0 };
        let mut read = Vec::new();
        if let Some(member) = self.members.get_mut(&place) {
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
                let took = took.as_secs_f64() * 1e3;
                self.time += (took - self.time) * WEIGHT;
                if hold.is_some_and(|hold| hold.expected > 0.0) {
                    member.health.took(now, (took + 5.0) / (self.time + 5.0));
                }
            }
            member.health.observe(now, outcome, usual);
            if matches!(outcome, Outcome::Served | Outcome::Failed | Outcome::Shed) {
                self.answered.insert(member.zone.clone(), now);
            }
        }
        self.stop_reading(&read, attempt);
        let mut answers = self.lead(now, attempt);
        answers.extend(self.serve(now));
        answers
    }

    /// An entry names all that it holds here.
    pub fn renew(&mut self, now: Moment, entry: &id::Router, held: &[Held]) -> Vec<Answer> {
        for item in held {
            if let Some(place) = self.places.get(&item.attempt) {
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
                copies: None,
                reads: Vec::new(),
            };
            member.hold(item.attempt, hold);
            self.places.insert(item.attempt, item.upstream.clone());
        }
        self.drop_holds(|hold| &hold.entry == entry && hold.named < now && now.since(hold.since) >= YOUNG);
        self.serve(now)
    }

    /// Lets time pass: waits end, holds that nobody names are dropped.
    pub fn tick(&mut self, now: Moment) -> Vec<Answer> {
        self.drop_holds(|hold| now.since(hold.named) >= HOLD_TTL);
        self.bury();
        let mut answers = self.end_following(now);
        answers.extend(self.serve(now));
        let expired: Vec<_> = self.waiting.extract_if(.., |waiting| waiting.until <= now).collect();
        for waiting in expired {
            let again = self.predict(now, &waiting.ask).unwrap_or(SHORTEST_RETURN);
            answers.push(refuse(&waiting.ask, Reason::Busy, again));
        }
        answers
    }

    /// What an entry saw go to an upstream is believed to be there, if nothing is known of it here.
    fn learn(&mut self, ask: &Ask) {
        let Some((depth, upstream)) = &ask.seen else {
            return;
        };
        let parts = &ask.parts[..(*depth).min(ask.parts.len())];
        let tokens: u32 = parts.iter().map(|part| part.tokens).sum();
        // Most often it is there, and nobody else need be looked at.
        let covers = |member: &Member| member.cache.covers(parts) >= tokens;
        let Some(last) = parts.last() else {
            return;
        };
        let mut holders = self.holders.of(last.id).iter().filter_map(|id| self.members.get(id));
        if self.members.get(upstream).is_none_or(covers) || holders.any(covers) {
            return;
        }
        if let Some(member) = self.members.get_mut(upstream) {
            member.cache.read(parts);
            self.holders.follow(member);
        }
    }

    fn drop_holds(&mut self, gone: impl Fn(&Hold) -> bool) {
        let mut lost = Vec::new();
        for member in self.members.values_mut().filter(|member| !member.held().is_empty()) {
            for attempt in member.which(&gone) {
                self.places.remove(&attempt);
                if let Some(hold) = member.let_go(attempt) {
                    member.cache.lose(&hold.reads, attempt);
                    self.holders.follow(member);
                    lost.push((attempt, hold.reads));
                }
            }
        }
        for (attempt, reads) in lost {
            self.stop_reading(&reads, attempt);
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

    // ------------------------------------------------------------------------
    // What waits.

    /// Grants what waits, the most urgent first, as far as there is room.
    fn serve(&mut self, now: Moment) -> Vec<Answer> {
        let mut answers = Vec::new();
        let mut index = 0;
        while index < self.waiting.len() {
            let ask = self.waiting[index].ask.clone();
            match self.grant(now, &ask) {
                Some(answer) => {
                    self.waiting.remove(index);
                    answers.push(answer);
                }
                // A less urgent one with the same choice would find no room either.
                None if ask.avoid.is_empty() => break,
                None => index += 1,
            }
        }
        answers
    }

    /// The share of bad outcomes among the other upstreams: the median.
    fn usual(&self, now: Moment, except: &id::Upstream) -> f64 {
        let within = self.reach(now);
        let others = self.members.values().filter(|member| &member.id != except && within.has(member));
        let mut shares: Vec<_> = others.map(|member| member.health.failing(now)).collect();
        shares.sort_by(f64::total_cmp);
        shares.get(shares.len() / 2).copied().unwrap_or(0.0)
    }

    /// How long a request would wait for a place; `None` if there is no upstream that could ever serve it.
    #[allow(clippy::cast_precision_loss)]
    fn predict(&self, now: Moment, ask: &Ask) -> Option<Duration> {
        let within = self.reach(now);
        let able = |member: &&Member| within.has(member) && ask.allows(&member.zone) && !ask.avoid.contains(&member.id);
        let able: Vec<_> = self.members.values().filter(able).collect();
        if able.is_empty() {
            return None;
        }
        let open = able.iter().filter(|member| member.health.is_open(now));
        let slots: u32 = open.map(|member| member.slots).sum();
        let ahead = self.waiting.iter().filter(|waiting| waiting.ask.priority <= ask.priority).count() + 1;
        let held = self.waiting.first().map_or(Duration::ZERO, |first| now.since(first.since));
        let each = self.time / f64::from(slots.max(1));
        let wait = Duration::from_secs_f64(ahead as f64 * each / 1e3);
        // Something that already waits long tells that places come free more slowly than the mean says.
        Some(wait.max(held / 2))
    }
}

fn refuse(ask: &Ask, reason: Reason, wait: Duration) -> Answer {
    let refusal = Refusal::new(reason, wait.clamp(SHORTEST_RETURN, LONGEST_RETURN));
    Answer { entry: ask.entry.clone(), attempt: ask.attempt, verdict: Verdict::Refused(refusal) }
}
