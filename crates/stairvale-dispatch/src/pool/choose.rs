//! Which upstream serves a request: who has room under the bound, and what serving it there costs.

use std::time::Duration;

use stairvale_placement::mix;
use stairvale_rollout::Admission;
use stairvale_types::{Moment, id};

use super::{
    Pool,
    allowance::{Chance, Resort, reach::Reach},
    quarantine::Sphere,
};
use crate::{Answer, Ask, Member, Part, Verdict, cache, member::Hold};

/// What each running request costs the next one, in ms; it spreads work that would be as well anywhere.
const CROWD_MS: f64 = 1.5;
/// What an upstream of another availability zone costs, in ms.
const CROSS_ZONE_MS: f64 = 10.0;
/// What the next one in the order of a prompt's home costs, in ms, so that routers choose alike.
const RANK_STEP_MS: f64 = 0.4;
/// Reading shared parts again holds others up and takes memory: a token costs the time of reading this many, beside its own
/// (docs/POLICY.md, "Time as a line").
const REREAD_WEIGHT: f64 = 16.0;
/// What copying a token from another engine costs, in the time of reading one (there, too).
const COPY: f64 = 3.0;
/// The time that copying a token takes, beside reading it.
const COPY_TIME: f64 = 0.15;
/// Within this share of the objective it is worth little to be sooner.
const EASE: f64 = 0.35;
/// What a ms costs within it.
const SOONER: f64 = 0.3;
/// What a ms costs beyond it.
const LATER: f64 = 1.5;
/// Fewer tokens aren't worth copying.
const COPY_LEAST: u32 = 96;
/// What a failing upstream costs, in ms at a failure rate of 1.
const FAILING: f64 = 400.0;
/// What it is worth to try an upstream that failed, in ms.
const TRIAL: f64 = 20.0;
/// The share of an engine's memory that requests may fill beside shared parts.
const FILL: f64 = 0.85;

/// What serving a request at one member comes to.
#[derive(Clone, Debug)]
struct Bid<'a> {
    /// In ms, by what it is worth to be sooner and what the work costs others.
    cost: f64,
    /// The time to the first event, in ms.
    expected: f64,
    /// The same if the upstream is neither slower nor faster than the others.
    due: f64,
    upstream: &'a id::Upstream,
    /// Tokens that it has to read.
    read: u32,
    /// From where it copies what it doesn't hold.
    source: Option<&'a id::Upstream>,
}

/// Ranks beyond which a step back costs nothing more.
const STEPS: usize = 25;

/// The order in which any router would try the members for a prompt (rendezvous hashing).
struct Order {
    key: u64,
    /// The scores of the first members, the highest first.
    first: Vec<u64>,
}

impl Order {
    fn score(&self, member: &Member) -> u64 {
        mix(self.key, member.hash)
    }

    /// The rank of a score; [`STEPS`] for all that come later.
    fn index(&self, score: u64) -> usize {
        self.first.partition_point(|other| *other > score)
    }
}

/// What a decision knows before it looks at members.
struct Look<'a> {
    /// The most that one upstream may run.
    bound: f64,
    /// Where it may go by what is suspected of it.
    sphere: Sphere,
    /// Who could be copied from, with tokens that it holds.
    covers: Vec<(u32, &'a id::Upstream)>,
    order: Order,
    chance: Chance<'a>,
}

impl Pool {
    /// The most that one upstream may run, by the set multiple of the mean.
    #[allow(clippy::cast_precision_loss)]
    fn bound(&self, within: &Reach<'_>) -> f64 {
        if self.rules.multiple <= 0.0 {
            return f64::MAX;
        }
        let usable = if within.is_whole() {
            self.usable.all()
        } else if self.usable.zones().all(|zone| within.reaches_zone(zone).is_some()) {
            self.usable.within(|zone| within.reaches_zone(zone) == Some(true))
        } else {
            self.members.values().filter(|member| within.reaches(member)).count()
        };
        let mean = self.places.len() as f64 / usable.max(1) as f64;
        // One less than allowed: what is on its way isn't seen by everybody at once.
        (mean * self.rules.multiple + self.rules.slack - 1.0).max(1.0)
    }

    #[allow(clippy::cast_precision_loss)]
    fn has_room(&self, member: &Member, ask: &Ask, bound: f64) -> bool {
        if member.running() >= self.places(member) || f64::from(member.running()) >= bound {
            return false;
        }
        if member.memory == 0 || member.held().is_empty() {
            return true;
        }
        let own = ask.parts.last().map_or(0, |part| part.tokens) + ask.output;
        (member.taken() + u64::from(own)) as f64 <= member.memory as f64 * FILL
    }

    /// Gives the request to the member that serves it soonest, if any has room.
    pub(super) fn grant(&mut self, now: Moment, ask: &Ask) -> Option<Answer> {
        let within = self.reach(now);
        let bound = self.bound(&within);
        let full = self.full_holders(ask);
        let key = rank_key(&ask.parts);
        // Prompts of one beginning go to the same few; what has no prompt is spread over all.
        let stretch = self.stretch(if ask.parts.is_empty() { mix(key, ask.attempt.0 as u64) } else { key });
        let look = Look {
            bound,
            sphere: self.sphere(ask),
            covers: self.covers(ask, &within, &full),
            order: self.order(key, &stretch),
            chance: Chance::new(self, now, ask, &within),
        };
        let tried = self.versions.chosen(now, ask).iter().find_map(|part| {
            let members: Vec<_> = part.iter().filter_map(|id| self.members.get(*id)).collect();
            self.best(&look, &members, Resort::TRIAL)
        });
        let is_tried = tried.is_some();
        let cheapest = tried.or_else(|| {
            let enough = self.least_elsewhere(ask);
            self.best(&look, &full, Resort::FIRST).filter(|bid| bid.cost <= enough).or_else(|| {
                let some = self.shortlist(ask, stretch);
                let all = || self.members.values().collect::<Vec<_>>();
                self.resorts().iter().find_map(|resort| {
                    let of_all = || if self.looks_at_all() { None } else { self.best(&look, &all(), *resort) };
                    self.best(&look, &some, *resort).or_else(of_all)
                })
            })
        });
        let bid = cheapest?;
        let (upstream, source) = (bid.upstream.clone(), bid.source.cloned());
        let Bid { expected, due, read, .. } = bid;
        if is_tried {
            self.versions.give(ask.route, &upstream);
        }
        self.hold(now, ask, &upstream, (read, expected, due), source.clone());
        let verdict = Verdict::Granted { upstream, read, source };
        Some(Answer { entry: ask.entry.clone(), attempt: ask.attempt, verdict })
    }

    /// The cheapest of some members.
    fn best<'a>(&self, look: &Look<'a>, members: &[&'a Member], resort: Resort) -> Option<Bid<'a>> {
        let Chance { now, ask, .. } = look.chance;
        let candidate = |member: &Member| {
            look.sphere.has(member)
                && self.allows(&look.chance, member, resort)
                && self.has_room(member, ask, look.bound)
        };
        self.count_looks(members.len());
        let mut best: Option<(Bid<'a>, u64)> = None;
        for member in members.iter().filter(|member| candidate(member)) {
            let score = look.order.score(member);
            let bid = self.bid(now, member, ask, &look.covers, look.order.index(score));
            // Of two that cost the same the one that ranks first, as any router would have it.
            if best.as_ref().is_none_or(|(best, top)| (bid.cost, *top) < (best.cost, score)) {
                best = Some((bid, score));
            }
        }
        best.map(|(bid, _)| bid)
    }

    /// The members that hold all that a prompt shares with others.
    fn full_holders(&self, ask: &Ask) -> Vec<&Member> {
        let Some(last) = ask.shared().last().filter(|_| !self.whole_look) else {
            return Vec::new();
        };
        let shared: u32 = ask.shared().iter().map(|part| part.tokens).sum();
        let holders = self.some_holders(last, ask);
        holders.filter(|member| member.cache.covers(ask.shared()) == shared).collect()
    }

    /// Members that hold a part of a prompt.
    fn some_holders(&self, part: &Part, ask: &Ask) -> impl Iterator<Item = &Member> {
        let holders = self.holders.some_of(part.id, ask.attempt.0 as u64);
        holders.filter_map(|id| self.members.get(id))
    }

    /// Members that hold some of what a prompt shares with others, at most [`STRETCH`] for each part; of a small fleet all members.
    fn partial_holders(&self, ask: &Ask) -> Vec<&Member> {
        if self.looks_at_all() {
            return self.members.values().collect();
        }
        let mut holders: Vec<_> = ask.shared().iter().flat_map(|part| self.some_holders(part, ask)).collect();
        holders.sort_unstable_by_key(|member| member.hash);
        holders.dedup_by_key(|member| member.hash);
        holders
    }

    /// Whom a decision looks at: those that hold some of the prompt, and a stretch of all; of a small fleet all members.
    fn shortlist<'a>(&'a self, ask: &Ask, stretch: Vec<&'a Member>) -> Vec<&'a Member> {
        let mut some = self.partial_holders(ask);
        if !self.looks_at_all() {
            some.extend(stretch);
            some.sort_unstable_by_key(|member| member.hash);
            some.dedup_by_key(|member| member.hash);
        }
        some
    }

    /// The least that a member can cost which lacks the last of a prompt's shared parts: it copies that at least, which costs
    /// less than to read it, and nothing else is ahead of the prompt.
    fn least_elsewhere(&self, ask: &Ask) -> f64 {
        let (Some(own), Some(last)) = (ask.parts.last(), ask.shared().last()) else {
            return f64::MIN;
        };
        let (own, lacks) = (f64::from(own.tokens), f64::from(last.tokens));
        let time = self.reading.first(own + lacks * COPY_TIME);
        lateness(time, ask.objective) + self.reading.time(lacks * COPY) - TRIAL
    }

    fn hold(
        &mut self,
        now: Moment,
        ask: &Ask,
        upstream: &id::Upstream,
        (read, expected, due): (u32, f64, f64),
        source: Option<id::Upstream>,
    ) {
        let copies = source.as_ref().and_then(|source| self.members.get(source)).map(|source| source.zone.clone());
        let expected = if self.rules.engine.is_some() { expected } else { self.time };
        let own = ask.parts.last().map_or(0, |part| part.tokens);
        let Some(member) = self.members.get_mut(upstream) else {
            return;
        };
        if let Some(from) = &copies {
            self.paths.begin(now, from, &member.zone);
        }
        let reads = member.cache.begin(&ask.parts, ask.attempt);
        self.holders.follow(member);
        member.health.given(now);
        member.give(now);
        let tokens = own + ask.output;
        let hold = Hold {
            entry: ask.entry.clone(),
            since: now,
            named: now,
            read,
            tokens,
            expected,
            due,
            source,
            copies,
            route: ask.route,
            fingerprint: ask.fingerprint,
            output: ask.output,
            begun: None,
            told: false,
            reads: reads.clone(),
        };
        member.hold(ask.attempt, hold);
        for part in reads {
            self.readers.entry(part).or_default().push(ask.attempt);
        }
        self.places.insert(now, ask.attempt, upstream.clone(), ask.entry.clone());
    }

    /// The two members that hold most of a prompt's shared parts and can be copied from, the one with most first.
    fn covers<'a>(&'a self, ask: &Ask, within: &Reach<'_>, full: &[&'a Member]) -> Vec<(u32, &'a id::Upstream)> {
        if !self.rules.copies {
            return Vec::new();
        }
        let can = |member: &&Member| within.can_copy(member) && ask.allows(&member.zone);
        let covers = |member: &'a Member| (member.cache.covers(ask.shared()), &member.id);
        let two = |all: &mut dyn Iterator<Item = &'a Member>| {
            let mut most: Vec<(u32, &'a id::Upstream)> = Vec::with_capacity(3);
            for cover in all.filter(can).map(covers).filter(|(tokens, _)| *tokens >= COPY_LEAST) {
                if most.len() < 2 || most[1] < cover {
                    most.push(cover);
                    most.sort_by(|a, b| b.cmp(a));
                    most.truncate(2);
                }
            }
            most
        };
        if !self.paths.are_well() {
            // The best ones of all may lie where some can't copy from.
            let some = self.partial_holders(ask);
            self.count_looks(some.len());
            let of = |zone| two(&mut some.iter().copied().filter(|member| &member.zone == zone));
            let mut most: Vec<_> = self.usable.zones().flat_map(of).collect();
            most.sort_by(|a, b| b.cmp(a));
            return most;
        }
        // Nobody holds more than those that hold all.
        let most = two(&mut full.iter().copied());
        if most.len() == 2 {
            return most;
        }
        let some = self.partial_holders(ask);
        self.count_looks(some.len());
        two(&mut some.into_iter())
    }

    /// Some members in the order in which any router would try them for a prompt.
    fn order(&self, key: u64, members: &[&Member]) -> Order {
        self.count_looks(members.len());
        let serving = members.iter().filter(|member| member.admission == Admission::Any);
        let mut scores: Vec<_> = serving.map(|member| mix(key, member.hash)).collect();
        if scores.len() > STEPS {
            scores.select_nth_unstable_by(STEPS, |a, b| b.cmp(a));
            scores.truncate(STEPS);
        }
        scores.sort_unstable_by(|a, b| b.cmp(a));
        Order { key, first: scores }
    }

    /// What serving a request at a member costs.
    #[allow(clippy::cast_precision_loss)]
    fn bid<'a>(
        &self,
        now: Moment,
        member: &'a Member,
        ask: &Ask,
        covers: &[(u32, &'a id::Upstream)],
        index: usize,
    ) -> Bid<'a> {
        let prompt: u32 = ask.parts.iter().map(|part| part.tokens).sum();
        let own = ask.parts.last().map_or(0, |part| part.tokens);
        let covered = member.cache.covers(&ask.parts);
        let mut source = covers.iter().find(|(_, id)| *id != &member.id && self.can_pass(now, id, member));
        let mut copied = source.map_or(0, |(tokens, _)| tokens.saturating_sub(covered));
        if copied < COPY_LEAST {
            (source, copied) = (None, 0);
        }
        let read = (prompt - covered).saturating_sub(copied);
        let shared = f64::from(read.saturating_sub(own));
        // One that was asked more isn't thought better for it: only what is slow is told apart.
        let pace = member.health.pace(now).max(1.0);
        let crowd = f64::from(member.running()) * CROWD_MS;
        let (time, work) = if self.rules.engine.is_some() {
            let copying = f64::from(copied) * COPY_TIME;
            let time = self.reading.first(member.ahead() as f64 + f64::from(read) + copying);
            (time, self.reading.time(shared * REREAD_WEIGHT + f64::from(copied) * COPY))
        } else {
            let over = f64::from(member.running()) / f64::from(member.slots);
            (self.time * (1.0 + over * over), 0.0)
        };
        let far = if member.zone == ask.zone { 0.0 } else { CROSS_ZONE_MS };
        let step = index as f64 * RANK_STEP_MS;
        // What may run twice shows whether an upstream that failed is well again.
        let tries = ask.repeatable && member.health.is_due(now);
        let failing = if tries { -TRIAL } else { member.health.doubt(now) * FAILING };
        let due = time + crowd + far;
        let time = time * pace;
        let cost = lateness(time, ask.objective) + work + crowd * pace + far + step + failing;
        let expected = time + crowd * pace + far;
        Bid { cost, expected, due, upstream: &member.id, read, source: source.map(|(_, id)| *id) }
    }
}

/// By what members are ranked for a prompt: the last part that others share.
fn rank_key(parts: &[Part]) -> u64 {
    cache::name(if parts.len() > 1 { &parts[..parts.len() - 1] } else { parts })
}

/// What a time to the first event costs: little while the objective is far, much when it is near.
fn lateness(time: f64, objective: Duration) -> f64 {
    let ease = objective.as_secs_f64() * 1e3 * EASE;
    time.min(ease) * SOONER + (time - ease).max(0.0) * LATER
}
