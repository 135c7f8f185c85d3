//! Selection of the upstream for a request: which members have room under the load bound, and what serving the request
//! there costs.

use std::{sync::Arc, time::Duration};

use stairvale_placement::mix;
use stairvale_rollout::Admission;
use stairvale_types::{Moment, id};

use super::{
    Pool,
    allowance::{Decision, Tier, reach::Reach},
    quarantine::Scope,
};
use crate::{Answer, Ask, Contents, Member, Part, Verdict, cache, member::Hold};

/// Cost of each request that already runs at a member, in ms; it spreads work that would otherwise cost the same
/// anywhere.
const RUNNING_COST_MS: f64 = 1.5;
/// Cost of an upstream in another availability zone, in ms.
const CROSS_ZONE_COST_MS: f64 = 10.0;
/// Cost of each step back in a prompt's rendezvous order, in ms, so that routers make the same choice.
const RANK_STEP_COST_MS: f64 = 0.4;
/// Prefilling shared parts again delays other requests and takes memory: beside its own time, a token costs the time of
/// prefilling this many (docs/POLICY.md, "Time as a line").
const REPREFILL_COST_RATIO: f64 = 16.0;
/// Cost of copying a token from another engine, relative to prefilling one; the source is loaded as well.
const COPY_COST_RATIO: f64 = 3.0;
/// Time of copying a token, relative to prefilling it.
const COPY_TIME_RATIO: f64 = 0.15;
/// Share of the objective within which a sooner answer is worth little.
const EARLY_SHARE: f64 = 0.35;
/// Cost of a ms within that share of the objective.
const EARLY_COST: f64 = 0.3;
/// Cost of a ms beyond that share of the objective.
const LATE_COST: f64 = 1.5;
/// Fewer tokens than this aren't worth copying.
const MIN_COPY_TOKENS: u32 = 96;
/// Cost of a failing upstream, in ms at a failure rate of 1.
const FAILURE_COST_MS: f64 = 400.0;
/// Value of probing an upstream that failed, in ms.
const PROBE_VALUE_MS: f64 = 20.0;
/// Share of an engine's memory that requests may fill beside shared parts.
const MEMORY_FILL_RATIO: f64 = 0.85;

/// The cost of serving a request at one member.
#[derive(Clone, Debug)]
struct CostEstimate<'a> {
    /// The cost in ms: the value of an earlier answer, and the load that the request puts on others.
    cost: f64,
    /// The expected time to the first event, in ms.
    expected_ms: f64,
    /// The expected time if the upstream is neither slower nor faster than the others, in ms.
    typical_ms: f64,
    upstream: &'a id::Upstream,
    /// Tokens that the upstream has to prefill.
    read: u32,
    /// The engine from which it copies parts that it doesn't hold.
    source: Option<&'a id::Upstream>,
}

/// The rank beyond which further steps back cost nothing more.
const RANK_STEPS: usize = 25;

/// The order in which every router ranks the members for a prompt (rendezvous hashing).
struct Order {
    key: u64,
    /// The scores of the first members, the highest first.
    top: Vec<u64>,
}

impl Order {
    fn score(&self, member: &Member) -> u64 {
        mix(self.key, member.hash)
    }

    /// Returns the rank of a score; [`RANK_STEPS`] for all that come later.
    fn rank(&self, score: u64) -> usize {
        self.top.partition_point(|other| *other > score)
    }
}

/// The inputs of a decision that are computed before it scans members.
struct Inputs<'a> {
    /// The load bound: the maximum number of requests that one upstream may run.
    bound: f64,
    /// The members that the request may go to, by the upstreams that crashed under it.
    scope: Scope,
    /// Members that can be copied from, with the number of tokens that each holds.
    sources: Vec<(u32, &'a id::Upstream)>,
    order: Order,
    decision: Decision<'a>,
}

impl Pool {
    /// Returns the load bound: the configured multiple of the mean number of requests, plus the slack.
    #[allow(clippy::cast_precision_loss)]
    fn bound(&self, reach: &Reach<'_>) -> f64 {
        if self.rules.load_multiple <= 0.0 {
            return f64::MAX;
        }
        let usable = if reach.all_reachable() {
            self.usable.all()
        } else if self.usable.zones().all(|zone| reach.reaches_zone(zone).is_some()) {
            self.usable.in_zones(|zone| reach.reaches_zone(zone) == Some(true))
        } else {
            self.members.values().filter(|member| reach.reaches(member)).count()
        };
        let mean = self.placements.len() as f64 / usable.max(1) as f64;
        // One less than allowed, since grants that are on their way aren't visible to every router at once.
        (mean * self.rules.load_multiple + self.rules.load_slack - 1.0).max(1.0)
    }

    #[allow(clippy::cast_precision_loss)]
    fn has_room(&self, member: &Member, ask: &Ask, bound: f64) -> bool {
        if member.running() >= self.request_limit(member) || f64::from(member.running()) >= bound {
            return false;
        }
        if member.memory == 0 || member.held().is_empty() {
            return true;
        }
        let own = ask.parts.last().map_or(0, |part| part.tokens) + ask.output;
        (member.unshared_tokens() + u64::from(own)) as f64 <= member.memory as f64 * MEMORY_FILL_RATIO
    }

    /// Grants the request to the member with the lowest cost, if any has room.
    pub(super) fn grant(&mut self, now: Moment, ask: &Ask) -> Option<Answer> {
        let reach = self.reach(now);
        let bound = self.bound(&reach);
        let full = self.full_holders(ask);
        let key = rank_key(&ask.parts);
        // Prompts with the same prefix go to the same few members; requests without a prompt are spread over all.
        let sample = self.sample(if ask.parts.is_empty() { mix(key, ask.attempt.0 as u64) } else { key });
        let inputs = Inputs {
            bound,
            scope: self.scope(ask),
            sources: self.sources(ask, &reach, &full),
            order: self.order(key, &sample),
            decision: Decision::new(self, now, ask, &reach),
        };
        let tried = self.versions.selected(now, ask).iter().find_map(|part| {
            let members: Vec<_> = part.iter().filter_map(|id| self.members.get(*id)).collect();
            self.best(&inputs, &members, Tier::TRIAL)
        });
        let is_tried = tried.is_some();
        let cheapest = tried.or_else(|| {
            let cost_limit = self.min_cost_elsewhere(ask);
            self.best(&inputs, &full, Tier::FIRST).filter(|estimate| estimate.cost <= cost_limit).or_else(|| {
                let some = self.shortlist(ask, sample);
                let all = || self.members.values().collect::<Vec<_>>();
                self.tiers().iter().find_map(|tier| {
                    let of_all = || if self.scans_all() { None } else { self.best(&inputs, &all(), *tier) };
                    self.best(&inputs, &some, *tier).or_else(of_all)
                })
            })
        });
        let estimate = cheapest?;
        let (upstream, source) = (estimate.upstream.clone(), estimate.source.cloned());
        let CostEstimate { expected_ms, typical_ms, read, .. } = estimate;
        if is_tried {
            self.versions.record_trial(ask.route, &upstream);
        }
        self.record_grant(now, ask, &upstream, (read, expected_ms, typical_ms), source.clone());
        let verdict = Verdict::Granted { upstream, read, source };
        Some(Answer { entry: ask.entry.clone(), attempt: ask.attempt, verdict })
    }

    /// Returns the estimate with the lowest cost among some members.
    fn best<'a>(&self, inputs: &Inputs<'a>, members: &[&'a Member], tier: Tier) -> Option<CostEstimate<'a>> {
        let Decision { now, ask, .. } = inputs.decision;
        let candidate = |member: &Member| {
            inputs.scope.contains(member)
                && self.allows(&inputs.decision, member, tier)
                && self.has_room(member, ask, inputs.bound)
        };
        self.count_scanned(members.len());
        let mut best: Option<(CostEstimate<'a>, u64)> = None;
        for member in members.iter().filter(|member| candidate(member)) {
            let score = inputs.order.score(member);
            let estimate = self.estimate(now, member, ask, &inputs.sources, inputs.order.rank(score));
            // Of two members with equal costs, the one that ranks first wins, as it does at every router.
            if best.as_ref().is_none_or(|(best, top)| (estimate.cost, *top) < (best.cost, score)) {
                best = Some((estimate, score));
            }
        }
        best.map(|(estimate, _)| estimate)
    }

    /// Returns the members that hold all shared parts of a prompt.
    fn full_holders(&self, ask: &Ask) -> Vec<&Member> {
        let Some(last) = ask.shared().last().filter(|_| !self.scan_all) else {
            return Vec::new();
        };
        let shared: u32 = ask.shared().iter().map(|part| part.tokens).sum();
        let holders = self.some_holders(last, ask);
        holders.filter(|member| member.cache.covers(ask.shared()) == shared).collect()
    }

    /// Returns members that hold one part of a prompt.
    fn some_holders(&self, part: &Part, ask: &Ask) -> impl Iterator<Item = &Member> {
        let holders = self.holders.some_of(part.id, ask.attempt.0 as u64);
        holders.filter_map(|id| self.members.get(id))
    }

    /// Returns members that hold some of a prompt's shared parts, at most [`SAMPLE_SIZE`] for each part; in a small
    /// fleet all members.
    fn partial_holders(&self, ask: &Ask) -> Vec<&Member> {
        if self.scans_all() {
            return self.members.values().collect();
        }
        let mut holders: Vec<_> = ask.shared().iter().flat_map(|part| self.some_holders(part, ask)).collect();
        holders.sort_unstable_by_key(|member| member.hash);
        holders.dedup_by_key(|member| member.hash);
        holders
    }

    /// Returns the members that a decision scans: those that hold some of the prompt, and a sample of all; in a small
    /// fleet all members.
    fn shortlist<'a>(&'a self, ask: &Ask, sample: Vec<&'a Member>) -> Vec<&'a Member> {
        let mut some = self.partial_holders(ask);
        if !self.scans_all() {
            some.extend(sample);
            some.sort_unstable_by_key(|member| member.hash);
            some.dedup_by_key(|member| member.hash);
        }
        some
    }

    /// Returns a lower bound of the cost at a member that lacks the last of a prompt's shared parts: it copies at least
    /// that part, which costs less than prefilling it, and nothing is queued ahead of the prompt.
    fn min_cost_elsewhere(&self, ask: &Ask) -> f64 {
        let (Some(own), Some(last)) = (ask.parts.last(), ask.shared().last()) else {
            return f64::MIN;
        };
        let (own, missing) = (f64::from(own.tokens), f64::from(last.tokens));
        let time = self.prefill.first(own + missing * COPY_TIME_RATIO);
        lateness(time, ask.objective) + self.prefill.time(missing * COPY_COST_RATIO) - PROBE_VALUE_MS
    }

    fn record_grant(
        &mut self,
        now: Moment,
        ask: &Ask,
        upstream: &id::Upstream,
        (read, expected_ms, typical_ms): (u32, f64, f64),
        source: Option<id::Upstream>,
    ) {
        let source_zone = source.as_ref().and_then(|source| self.members.get(source)).map(|source| source.zone.clone());
        let expected_ms = if self.rules.engine.is_some() { expected_ms } else { self.mean_time_ms };
        let own = ask.parts.last().map_or(0, |part| part.tokens);
        let Some(member) = self.members.get_mut(upstream) else {
            return;
        };
        if let Some(from) = &source_zone {
            self.paths.begin(now, from, &member.zone);
        }
        let new_parts = member.cache.begin_prefill(&ask.parts, ask.attempt);
        self.holders.apply_changes(member);
        member.health.record_given(now);
        member.record_grant(now);
        let tokens = own + ask.output;
        let hold = Hold {
            entry: ask.entry.clone(),
            since: now,
            renewed: now,
            read,
            tokens,
            expected_ms,
            typical_ms,
            source,
            source_zone,
            route: ask.route,
            contents: Arc::new(Contents::of(ask)),
            output: ask.output,
            first_event: None,
            reported_slow: false,
            new_parts: new_parts.clone(),
        };
        member.add_hold(ask.attempt, hold);
        for part in new_parts {
            self.prefilling.entry(part).or_default().push(ask.attempt);
        }
        self.placements.insert(now, ask.attempt, upstream.clone(), ask.entry.clone());
    }

    /// Returns the two members that hold most of a prompt's shared parts and can be copied from, the one that holds
    /// more first.
    fn sources<'a>(&'a self, ask: &Ask, reach: &Reach<'_>, full: &[&'a Member]) -> Vec<(u32, &'a id::Upstream)> {
        if !self.rules.copies {
            return Vec::new();
        }
        let can = |member: &&Member| reach.can_copy(member) && ask.allows(&member.zone);
        let with_tokens = |member: &'a Member| (member.cache.covers(ask.shared()), &member.id);
        let two = |all: &mut dyn Iterator<Item = &'a Member>| {
            let mut most: Vec<(u32, &'a id::Upstream)> = Vec::with_capacity(3);
            for source in all.filter(can).map(with_tokens).filter(|(tokens, _)| *tokens >= MIN_COPY_TOKENS) {
                if most.len() < 2 || most[1] < source {
                    most.push(source);
                    most.sort_by(|a, b| b.cmp(a));
                    most.truncate(2);
                }
            }
            most
        };
        if !self.paths.are_all_open() {
            // The best sources of all zones may lie in a zone from which some members can't copy.
            let some = self.partial_holders(ask);
            self.count_scanned(some.len());
            let of = |zone| two(&mut some.iter().copied().filter(|member| &member.zone == zone));
            let mut most: Vec<_> = self.usable.zones().flat_map(of).collect();
            most.sort_by(|a, b| b.cmp(a));
            return most;
        }
        // No member holds more than those that hold all shared parts.
        let most = two(&mut full.iter().copied());
        if most.len() == 2 {
            return most;
        }
        let some = self.partial_holders(ask);
        self.count_scanned(some.len());
        two(&mut some.into_iter())
    }

    /// Ranks some members in the order in which every router would try them for a prompt.
    fn order(&self, key: u64, members: &[&Member]) -> Order {
        self.count_scanned(members.len());
        let serving = members.iter().filter(|member| member.admission == Admission::Any);
        let mut scores: Vec<_> = serving.map(|member| mix(key, member.hash)).collect();
        if scores.len() > RANK_STEPS {
            scores.select_nth_unstable_by(RANK_STEPS, |a, b| b.cmp(a));
            scores.truncate(RANK_STEPS);
        }
        scores.sort_unstable_by(|a, b| b.cmp(a));
        Order { key, top: scores }
    }

    /// Computes the cost of serving a request at a member.
    #[allow(clippy::cast_precision_loss)]
    fn estimate<'a>(
        &self,
        now: Moment,
        member: &'a Member,
        ask: &Ask,
        sources: &[(u32, &'a id::Upstream)],
        rank: usize,
    ) -> CostEstimate<'a> {
        let prompt: u32 = ask.parts.iter().map(|part| part.tokens).sum();
        let own = ask.parts.last().map_or(0, |part| part.tokens);
        let covered = member.cache.covers(&ask.parts);
        let mut source = sources.iter().find(|(_, id)| *id != &member.id && self.can_copy_between(now, id, member));
        let mut copied = source.map_or(0, |(tokens, _)| tokens.saturating_sub(covered));
        if copied < MIN_COPY_TOKENS {
            (source, copied) = (None, 0);
        }
        let read = (prompt - covered).saturating_sub(copied);
        let shared = f64::from(read.saturating_sub(own));
        // Only a slow pace counts, so that a member isn't preferred for having been given more requests.
        let pace = member.health.pace(now).max(1.0);
        let load_cost = f64::from(member.running()) * RUNNING_COST_MS;
        let (time, work) = if self.rules.engine.is_some() {
            let copying = f64::from(copied) * COPY_TIME_RATIO;
            let time = self.prefill.first(member.pending_prefill() as f64 + f64::from(read) + copying);
            (time, self.prefill.time(shared * REPREFILL_COST_RATIO + f64::from(copied) * COPY_COST_RATIO))
        } else {
            let over = f64::from(member.running()) / f64::from(member.slots);
            (self.mean_time_ms * (1.0 + over * over), 0.0)
        };
        let far = if member.zone == ask.zone { 0.0 } else { CROSS_ZONE_COST_MS };
        let step = rank as f64 * RANK_STEP_COST_MS;
        // A repeatable request can show whether an upstream that failed has recovered.
        let probes = ask.repeatable && member.health.needs_probe(now);
        let failing = if probes { -PROBE_VALUE_MS } else { member.health.excess_failure_rate(now) * FAILURE_COST_MS };
        let typical_ms = time + load_cost + far;
        let time = time * pace;
        let cost = lateness(time, ask.objective) + work + load_cost * pace + far + step + failing;
        let expected_ms = time + load_cost * pace + far;
        CostEstimate { cost, expected_ms, typical_ms, upstream: &member.id, read, source: source.map(|(_, id)| *id) }
    }
}

/// Returns the key by which members are ranked for a prompt: the hash of its shared prefix.
fn rank_key(parts: &[Part]) -> u64 {
    cache::prefix_hash(if parts.len() > 1 { &parts[..parts.len() - 1] } else { parts })
}

/// Returns the cost of a time to the first event: low while it is far below the objective, high when it comes near it.
fn lateness(time: f64, objective: Duration) -> f64 {
    let early_ms = objective.as_secs_f64() * 1e3 * EARLY_SHARE;
    time.min(early_ms) * EARLY_COST + (time - early_ms).max(0.0) * LATE_COST
}
