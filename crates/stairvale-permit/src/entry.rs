//! The entry: it takes each attempt from engine to engine until it is granted or refused, and renews what it holds.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use stairvale_placement::choice;
use stairvale_types::{Moment, Reason, Refusal, id};
use stairvale_wire::{Held, Verdict};

use crate::{
    asking::{Asking, placeholder},
    request::{Directory, Effect, Event, Grant, Step, Want},
};

/// An ask that isn't answered within this time, beyond its patience, has an unreachable home.
pub const ASK_TIMEOUT: Duration = Duration::from_millis(250);
/// How often permits are renewed.
///
/// Homes ask for it themselves when they start an account, so this only repairs what got lost on the way.
pub const RENEW_EVERY: Duration = Duration::from_secs(3);
/// Asks made for one attempt at the most, the last resort included.
pub(crate) const MAX_ASKS: u32 = 12;
/// When to come back if no upstream may take work.
const RETRY_NO_UPSTREAM: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Holding {
    upstream: id::Upstream,
    home: Option<id::Router>,
}

/// What an entry counted since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Permits taken without a home.
    pub degraded: u64,
    /// Grants that came when nobody waited any more, given back at once.
    pub late: u64,
    /// Asks that no home answered in time.
    pub unanswered: u64,
    /// Grants that came twice for one attempt: any but zero is a fault.
    pub violations: u64,
}

/// All attempts that came in at this router.
#[derive(Debug, Default)]
pub struct Entry {
    asking: HashMap<id::Attempt, Asking>,
    holding: HashMap<id::Attempt, Holding>,
    own: HashMap<id::Upstream, u32>,
    renewed: Moment,
    counts: Counts,
}

impl Entry {
    /// An entry without attempts.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    // ------------------------------------------------------------------------
    // Queries.

    /// What was counted.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Attempts that wait for a permit.
    #[must_use]
    pub fn asking(&self) -> usize {
        self.asking.len()
    }

    /// Attempts that hold a permit.
    #[must_use]
    pub fn holding(&self) -> usize {
        self.holding.len()
    }

    /// The upstream whose permit an attempt holds.
    #[must_use]
    pub fn upstream_of(&self, attempt: id::Attempt) -> Option<&id::Upstream> {
        self.holding.get(&attempt).map(|holding| &holding.upstream)
    }

    // ------------------------------------------------------------------------
    // Changes.

    /// A request wants an upstream.
    pub fn want<D: Directory>(&mut self, now: Moment, directory: &D, want: Want) -> Vec<Effect> {
        let attempt = want.attempt;
        let deadline = now + want.estimate.deadline;
        let Some(first) = want.candidates.first().cloned() else {
            let refusal = Refusal::new(Reason::NoUpstream, RETRY_NO_UPSTREAM);
            return vec![Effect::Refused { attempt, refusal, steps: Vec::new() }];
        };
        let plan = choice::plan(want.estimate);
        let prefix_at = want.profile.returning.then(|| first.clone());
        let me = Asking {
            plan,
            deadline,
            upstream: first.clone(),
            home: placeholder(),
            home_rank: 0,
            answer_by: now,
            asks: 0,
            next: 0,
            emptiest: Vec::new(),
            last_resort: false,
            prefix_at,
            steps: Vec::new(),
            want,
        };
        self.asking.insert(attempt, me);
        self.advance(now, directory, attempt)
    }

    /// A home answered.
    pub fn answer<D: Directory>(
        &mut self,
        now: Moment,
        directory: &D,
        from: &id::Router,
        upstream: &id::Upstream,
        attempt: id::Attempt,
        verdict: Verdict,
    ) -> Vec<Effect> {
        let expected = self.asking.get(&attempt).is_some_and(|a| &a.home == from && &a.upstream == upstream);
        if !expected {
            return self.unexpected(from, upstream, attempt, &verdict);
        }
        self.step(now, attempt, upstream, Event::Answered(verdict.clone()));
        match verdict {
            Verdict::Granted { .. } if !directory.usable(upstream) => {
                // It asked for rest, or began to leave, while the home decided.
                let mut effects = vec![Effect::Release { to: from.clone(), upstream: upstream.clone(), attempt }];
                effects.extend(self.advance(now, directory, attempt));
                effects
            }
            Verdict::Granted { over_share, .. } => {
                let home = Some((from.clone(), over_share));
                self.granted(attempt, upstream.clone(), home, directory)
            }
            Verdict::Refused(refusal) => self.refused(attempt, refusal),
            Verdict::Elsewhere { upstream } => self.elsewhere(now, directory, attempt, upstream),
            Verdict::Overflow { emptiest } => {
                self.overflowed(attempt, emptiest);
                self.advance(now, directory, attempt)
            }
            Verdict::Closed => {
                self.overflowed(attempt, Vec::new());
                self.advance(now, directory, attempt)
            }
            Verdict::NotHome { home } => self.not_home(now, directory, attempt, home),
        }
    }

    /// The request ended, or its caller went away, whatever its state.
    pub fn end(&mut self, attempt: id::Attempt) -> Vec<Effect> {
        if let Some(asking) = self.asking.remove(&attempt) {
            return vec![Effect::Forget { to: asking.home, upstream: asking.upstream, attempt }];
        }
        let Some(holding) = self.holding.remove(&attempt) else {
            return Vec::new();
        };
        if let Some(count) = self.own.get_mut(&holding.upstream) {
            *count = count.saturating_sub(1);
        }
        let Some(to) = holding.home else {
            return Vec::new();
        };
        vec![Effect::Release { to, upstream: holding.upstream, attempt }]
    }

    /// Homes moved: what is held is registered with the new ones at once, what waits is asked anew.
    pub fn homes_changed<D: Directory>(&mut self, now: Moment, directory: &D) -> Vec<Effect> {
        for holding in self.holding.values_mut() {
            holding.home = directory.home(&holding.upstream, 0);
        }
        let moved: Vec<_> = self
            .asking
            .iter()
            .filter(|(_, a)| a.home_rank == 0 && directory.home(&a.upstream, 0).as_ref() != Some(&a.home))
            .map(|(attempt, _)| *attempt)
            .collect();
        let mut effects = self.renew(now);
        for attempt in moved {
            effects.extend(self.ask_again(now, directory, attempt));
        }
        effects
    }

    /// A home asks what is held there.
    pub fn recount(&mut self, now: Moment, home: &id::Router) -> Vec<Effect> {
        let renewed = self.renewed;
        let effects = self.renew(now);
        self.renewed = renewed;
        effects.into_iter().filter(|effect| matches!(effect, Effect::Renew { to, .. } if to == home)).collect()
    }

    /// A home can't be reached: don't wait for its answers.
    pub fn unreachable<D: Directory>(&mut self, now: Moment, directory: &D, home: &id::Router) -> Vec<Effect> {
        let waiting = self.asking.iter().filter(|(_, asking)| &asking.home == home);
        let attempts: Vec<_> = waiting.map(|(attempt, _)| *attempt).collect();
        attempts.into_iter().flat_map(|attempt| self.unanswered(now, directory, attempt)).collect()
    }

    /// Lets time pass: unanswered asks go elsewhere, permits are renewed.
    pub fn tick<D: Directory>(&mut self, now: Moment, directory: &D) -> Vec<Effect> {
        let mut overdue: Vec<_> = self.asking.iter().filter(|(_, a)| a.answer_by <= now).map(|(id, _)| *id).collect();
        overdue.sort();
        let mut effects = Vec::new();
        for attempt in overdue {
            effects.extend(self.unanswered(now, directory, attempt));
        }
        if now.since(self.renewed) >= RENEW_EVERY {
            effects.extend(self.renew(now));
        }
        effects
    }

    // ------------------------------------------------------------------------
    // The way of one attempt.

    /// Asks for the next upstream that is worth asking for.
    fn advance<D: Directory>(&mut self, now: Moment, directory: &D, attempt: id::Attempt) -> Vec<Effect> {
        loop {
            let Some(asking) = self.asking.get_mut(&attempt) else {
                return Vec::new();
            };
            if asking.asks >= MAX_ASKS || now >= asking.deadline {
                let refusal = Refusal::new(Reason::Busy, RETRY_NO_UPSTREAM);
                return self.refused(attempt, refusal);
            }
            let Some(upstream) = asking.next_upstream(directory) else {
                let refusal = Refusal::new(Reason::NoUpstream, RETRY_NO_UPSTREAM);
                return self.refused(attempt, refusal);
            };
            if directory.usable(&upstream) {
                asking.upstream = upstream;
                asking.home_rank = 0;
                return self.ask(now, directory, attempt);
            }
            self.step(now, attempt, &upstream, Event::PassedOver);
        }
    }

    fn ask<D: Directory>(&mut self, now: Moment, directory: &D, attempt: id::Attempt) -> Vec<Effect> {
        let Some(asking) = self.asking.get_mut(&attempt) else {
            return Vec::new();
        };
        // Counted also if there is nobody to ask, so that an attempt comes to its end in a fleet without homes.
        asking.asks += 1;
        let Some(home) = directory.home(&asking.upstream, asking.home_rank) else {
            return self.degrade(now, directory, attempt);
        };
        asking.home = home.clone();
        let ask = asking.to_ask(now);
        asking.answer_by = now + ask.patience + ASK_TIMEOUT;
        let upstream = asking.upstream.clone();
        self.step(now, attempt, &upstream, Event::Asked { home: home.clone(), patience: ask.patience });
        vec![Effect::Ask { to: home, ask }]
    }

    fn ask_again<D: Directory>(&mut self, now: Moment, directory: &D, attempt: id::Attempt) -> Vec<Effect> {
        let Some(asking) = self.asking.get(&attempt) else {
            return Vec::new();
        };
        // The old home may yet grant; it is told that nobody waits there.
        let forget = Effect::Forget { to: asking.home.clone(), upstream: asking.upstream.clone(), attempt };
        let mut effects = vec![forget];
        if asking.asks >= MAX_ASKS {
            effects.extend(self.advance(now, directory, attempt));
            return effects;
        }
        effects.extend(self.ask(now, directory, attempt));
        effects
    }

    fn unanswered<D: Directory>(&mut self, now: Moment, directory: &D, attempt: id::Attempt) -> Vec<Effect> {
        let Some(asking) = self.asking.get_mut(&attempt) else {
            return Vec::new();
        };
        self.counts.unanswered += 1;
        asking.home_rank += 1;
        let upstream = asking.upstream.clone();
        let forget = Effect::Forget { to: asking.home.clone(), upstream: upstream.clone(), attempt };
        let exhausted = asking.home_rank > 1;
        self.step(now, attempt, &upstream, Event::Unanswered);
        let mut effects = vec![forget];
        if exhausted {
            effects.extend(self.degrade(now, directory, attempt));
        } else {
            effects.extend(self.ask(now, directory, attempt));
        }
        effects
    }

    fn not_home<D: Directory>(
        &mut self,
        now: Moment,
        directory: &D,
        attempt: id::Attempt,
        home: Option<id::Router>,
    ) -> Vec<Effect> {
        let Some(asking) = self.asking.get_mut(&attempt) else {
            return Vec::new();
        };
        asking.home_rank += 1;
        if asking.home_rank > 1 {
            return self.degrade(now, directory, attempt);
        }
        let hinted = home.filter(|home| home != &asking.home);
        let Some(home) = hinted else {
            return self.ask(now, directory, attempt);
        };
        asking.home = home.clone();
        asking.asks += 1;
        let ask = asking.to_ask(now);
        asking.answer_by = now + ask.patience + ASK_TIMEOUT;
        vec![Effect::Ask { to: home, ask }]
    }

    /// No home answers for the upstream: use a bounded share of it, or go on to the next.
    fn degrade<D: Directory>(&mut self, now: Moment, directory: &D, attempt: id::Attempt) -> Vec<Effect> {
        let Some(asking) = self.asking.get(&attempt) else {
            return Vec::new();
        };
        let upstream = asking.upstream.clone();
        let own = self.own.get(&upstream).copied().unwrap_or(0);
        let share = directory.share(&upstream);
        let room = share.is_some_and(|share| own < share.own && own.max(share.reported) < share.slots);
        if !room {
            return self.advance(now, directory, attempt);
        }
        self.counts.degraded += 1;
        self.step(now, attempt, &upstream, Event::Degraded);
        self.granted(attempt, upstream, None, directory)
    }

    fn elsewhere<D: Directory>(
        &mut self,
        now: Moment,
        directory: &D,
        attempt: id::Attempt,
        upstream: id::Upstream,
    ) -> Vec<Effect> {
        let Some(asking) = self.asking.get_mut(&attempt) else {
            return Vec::new();
        };
        asking.prefix_at = Some(upstream.clone());
        // One that failed this request is no candidate any more.
        let is_candidate = asking.want.candidates.contains(&upstream);
        if !is_candidate || !directory.usable(&upstream) {
            // The first choice is asked again, now for itself.
            asking.next = 0;
            return self.advance(now, directory, attempt);
        }
        asking.upstream = upstream;
        asking.home_rank = 0;
        // Should it overflow there, the ranked list is taken from its start.
        asking.next = 0;
        self.ask(now, directory, attempt)
    }

    fn overflowed(&mut self, attempt: id::Attempt, emptiest: Vec<id::Upstream>) {
        if let Some(asking) = self.asking.get_mut(&attempt) {
            asking.emptiest = emptiest;
            asking.last_resort = false;
        }
    }

    fn granted<D: Directory>(
        &mut self,
        attempt: id::Attempt,
        upstream: id::Upstream,
        home: Option<(id::Router, bool)>,
        directory: &D,
    ) -> Vec<Effect> {
        let Some(asking) = self.asking.remove(&attempt) else {
            return Vec::new();
        };
        let degraded = home.is_none();
        let over_share = home.as_ref().is_some_and(|(_, over_share)| *over_share);
        let home = home.map(|(home, _)| home).or_else(|| directory.home(&upstream, 0));
        let holding = Holding { upstream: upstream.clone(), home };
        if self.holding.insert(attempt, holding).is_some() {
            self.counts.violations += 1;
        }
        *self.own.entry(upstream.clone()).or_default() += 1;
        let mut effects = Vec::new();
        effects.extend(asking.moved(&upstream, directory));
        let import_from = asking.import_from(&upstream, directory);
        let steps = asking.steps;
        effects.push(Effect::Granted(Grant { attempt, upstream, import_from, degraded, over_share, steps }));
        effects
    }

    fn refused(&mut self, attempt: id::Attempt, refusal: Refusal) -> Vec<Effect> {
        let Some(asking) = self.asking.remove(&attempt) else {
            return Vec::new();
        };
        vec![Effect::Refused { attempt, refusal, steps: asking.steps }]
    }

    /// An answer that nobody waits for: a grant in it is given back at once.
    fn unexpected(
        &mut self,
        from: &id::Router,
        upstream: &id::Upstream,
        attempt: id::Attempt,
        verdict: &Verdict,
    ) -> Vec<Effect> {
        if !matches!(verdict, Verdict::Granted { .. }) {
            return Vec::new();
        }
        let held = self.holding.get(&attempt).is_some_and(|h| &h.upstream == upstream && h.home.as_ref() == Some(from));
        if held {
            // A doubled answer to the grant that is in use.
            return Vec::new();
        }
        self.counts.late += 1;
        vec![Effect::Release { to: from.clone(), upstream: upstream.clone(), attempt }]
    }

    /// Everything that is held, a list a home. A home with nothing left hears nothing; what got lost on the way to it ages
    /// out there.
    fn renew(&mut self, now: Moment) -> Vec<Effect> {
        self.renewed = now;
        let mut homes: BTreeMap<id::Router, BTreeMap<id::Upstream, Vec<id::Attempt>>> = BTreeMap::new();
        for (attempt, holding) in &self.holding {
            let Some(home) = &holding.home else {
                continue;
            };
            let upstreams = homes.entry(home.clone()).or_default();
            upstreams.entry(holding.upstream.clone()).or_default().push(*attempt);
        }
        self.own.retain(|_, count| *count > 0);
        let list = |upstreams: BTreeMap<id::Upstream, Vec<id::Attempt>>| {
            let held = upstreams.into_iter().map(|(upstream, attempts)| Held { upstream, attempts });
            held.collect()
        };
        homes.into_iter().map(|(to, upstreams)| Effect::Renew { to, held: list(upstreams) }).collect()
    }

    fn step(&mut self, at: Moment, attempt: id::Attempt, upstream: &id::Upstream, event: Event) {
        if let Some(asking) = self.asking.get_mut(&attempt) {
            asking.steps.push(Step { at, upstream: upstream.clone(), event });
        }
    }
}
