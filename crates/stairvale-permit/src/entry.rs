//! The entry: it requests permits for each attempt from one engine after the other until it is granted or refused, and
//! renews the permits that it holds.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use stairvale_placement::choice;
use stairvale_types::{Moment, Reason, Refusal, id};
use stairvale_wire::{HeldPermits, Verdict};

use crate::{
    asking::{PendingAttempt, placeholder},
    request::{Directory, Effect, Event, Grant, Step, UpstreamRequest},
};

/// Time after which a home that hasn't answered a permit request counts as unreachable, in addition to the time that
/// the request may wait in the home's queue.
pub const PERMIT_REQUEST_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval at which permits are renewed.
///
/// Homes request a renewal themselves when they start an account, so the periodic one only makes up for lost messages.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(3);
/// Maximum number of permit requests sent for one attempt, including the last resort.
pub(crate) const MAX_PERMIT_REQUESTS: u32 = 12;
/// Retry delay of a refusal if no upstream may take work, or if the attempt used up its permit requests or its time.
const REFUSAL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A permit that this entry holds, or the use of an upstream without a reachable home.
#[derive(Debug)]
struct HeldPermit {
    upstream: id::Upstream,
    home: Option<id::Router>,
}

/// Counters of an entry since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Number of attempts that used an upstream without a permit because no home was reached.
    pub degraded: u64,
    /// Number of grants that arrived after the attempt had stopped waiting; they are released at once.
    pub late: u64,
    /// Number of permit requests that were not answered in time.
    pub unanswered: u64,
    /// Number of attempts for which a second grant was recorded: any value but zero is a bug.
    pub violations: u64,
}

/// The attempts of the requests that this router received.
#[derive(Debug, Default)]
pub struct Entry {
    pending: HashMap<id::Attempt, PendingAttempt>,
    permits: HashMap<id::Attempt, HeldPermit>,
    running: HashMap<id::Upstream, u32>,
    last_renewal: Moment,
    counts: Counts,
}

impl Entry {
    /// Creates an entry without attempts.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    // ------------------------------------------------------------------------
    // Queries.

    /// Returns the counters since the start of this entry.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the number of attempts that wait for a permit.
    #[must_use]
    pub fn pending_attempts(&self) -> usize {
        self.pending.len()
    }

    /// Returns the number of attempts that hold a permit.
    #[must_use]
    pub fn held_permits(&self) -> usize {
        self.permits.len()
    }

    /// Returns the upstream for which an attempt holds a permit.
    #[must_use]
    pub fn upstream_of(&self, attempt: id::Attempt) -> Option<&id::Upstream> {
        self.permits.get(&attempt).map(|permit| &permit.upstream)
    }

    // ------------------------------------------------------------------------
    // Changes.

    /// Starts to request a permit for an attempt.
    ///
    /// The attempt is refused at once if there is no candidate.
    pub fn request_upstream<D: Directory>(
        &mut self,
        now: Moment,
        directory: &D,
        request: UpstreamRequest,
    ) -> Vec<Effect> {
        let attempt = request.attempt;
        let deadline = now + request.estimate.deadline;
        let Some(first) = request.candidates.first().cloned() else {
            let refusal = Refusal::new(Reason::NoUpstream, REFUSAL_RETRY_AFTER);
            return vec![Effect::Refused { attempt, refusal, steps: Vec::new() }];
        };
        let plan = choice::plan(request.estimate);
        let prefix_at = request.profile.returning.then(|| first.clone());
        let pending = PendingAttempt {
            plan,
            deadline,
            upstream: first.clone(),
            home: placeholder(),
            home_rank: 0,
            answer_deadline: now,
            requests_sent: 0,
            next_candidate: 0,
            emptiest_hints: Vec::new(),
            last_resort: false,
            prefix_at,
            steps: Vec::new(),
            request,
        };
        self.pending.insert(attempt, pending);
        self.advance(now, directory, attempt)
    }

    /// Handles a home's answer to a permit request.
    pub fn answer<D: Directory>(
        &mut self,
        now: Moment,
        directory: &D,
        from: &id::Router,
        upstream: &id::Upstream,
        attempt: id::Attempt,
        verdict: Verdict,
    ) -> Vec<Effect> {
        let expected = self.pending.get(&attempt).is_some_and(|a| &a.home == from && &a.upstream == upstream);
        if !expected {
            return self.handle_unexpected(from, upstream, attempt, &verdict);
        }
        self.record_step(now, attempt, upstream, Event::Answered(verdict.clone()));
        match verdict {
            Verdict::Granted { .. } if !directory.usable(upstream) => {
                // The upstream requested a rest from new work, or began to leave, while the home decided.
                let mut effects = vec![Effect::Release { to: from.clone(), upstream: upstream.clone(), attempt }];
                effects.extend(self.advance(now, directory, attempt));
                effects
            }
            Verdict::Granted { over_share, .. } => {
                let home = Some((from.clone(), over_share));
                self.complete_granted(attempt, upstream.clone(), home, directory)
            }
            Verdict::Refused(refusal) => self.complete_refused(attempt, refusal),
            Verdict::Elsewhere { upstream } => self.handle_elsewhere(now, directory, attempt, upstream),
            Verdict::Overflow { emptiest } => {
                self.handle_overflow(attempt, emptiest);
                self.advance(now, directory, attempt)
            }
            Verdict::Closed => {
                self.handle_overflow(attempt, Vec::new());
                self.advance(now, directory, attempt)
            }
            Verdict::NotHome { home } => self.handle_not_home(now, directory, attempt, home),
        }
    }

    /// Ends an attempt in any state, because it completed or its caller disconnected.
    ///
    /// A pending permit request is withdrawn, a held permit released.
    pub fn end(&mut self, attempt: id::Attempt) -> Vec<Effect> {
        if let Some(pending) = self.pending.remove(&attempt) {
            return vec![Effect::Forget { to: pending.home, upstream: pending.upstream, attempt }];
        }
        let Some(permit) = self.permits.remove(&attempt) else {
            return Vec::new();
        };
        if let Some(count) = self.running.get_mut(&permit.upstream) {
            *count = count.saturating_sub(1);
        }
        let Some(to) = permit.home else {
            return Vec::new();
        };
        vec![Effect::Release { to, upstream: permit.upstream, attempt }]
    }

    /// Handles a change of homes: held permits are registered with the new homes at once, and pending requests are sent
    /// again.
    pub fn homes_changed<D: Directory>(&mut self, now: Moment, directory: &D) -> Vec<Effect> {
        for permit in self.permits.values_mut() {
            permit.home = directory.home(&permit.upstream, 0);
        }
        let moved: Vec<_> = self
            .pending
            .iter()
            .filter(|(_, a)| a.home_rank == 0 && directory.home(&a.upstream, 0).as_ref() != Some(&a.home))
            .map(|(attempt, _)| *attempt)
            .collect();
        let mut effects = self.renew_permits(now);
        for attempt in moved {
            effects.extend(self.resend_request(now, directory, attempt));
        }
        effects
    }

    /// Handles a home's request to register the permits held there.
    pub fn recount(&mut self, now: Moment, home: &id::Router) -> Vec<Effect> {
        let last_renewal = self.last_renewal;
        let effects = self.renew_permits(now);
        self.last_renewal = last_renewal;
        effects.into_iter().filter(|effect| matches!(effect, Effect::Renew { to, .. } if to == home)).collect()
    }

    /// Handles an unreachable home: its pending requests count as unanswered at once.
    pub fn home_unreachable<D: Directory>(&mut self, now: Moment, directory: &D, home: &id::Router) -> Vec<Effect> {
        let affected = self.pending.iter().filter(|(_, pending)| &pending.home == home);
        let attempts: Vec<_> = affected.map(|(attempt, _)| *attempt).collect();
        attempts.into_iter().flat_map(|attempt| self.handle_unanswered(now, directory, attempt)).collect()
    }

    /// Processes time-outs: unanswered requests are sent to the next home, and permits are renewed.
    pub fn tick<D: Directory>(&mut self, now: Moment, directory: &D) -> Vec<Effect> {
        let mut overdue: Vec<_> =
            self.pending.iter().filter(|(_, a)| a.answer_deadline <= now).map(|(id, _)| *id).collect();
        overdue.sort();
        let mut effects = Vec::new();
        for attempt in overdue {
            effects.extend(self.handle_unanswered(now, directory, attempt));
        }
        if now.since(self.last_renewal) >= RENEW_INTERVAL {
            effects.extend(self.renew_permits(now));
        }
        effects
    }

    // ------------------------------------------------------------------------
    // Progress of one attempt.

    /// Requests a permit for the next upstream that is usable, or refuses the attempt if its requests or its time are
    /// used up.
    fn advance<D: Directory>(&mut self, now: Moment, directory: &D, attempt: id::Attempt) -> Vec<Effect> {
        loop {
            let Some(pending) = self.pending.get_mut(&attempt) else {
                return Vec::new();
            };
            if pending.requests_sent >= MAX_PERMIT_REQUESTS || now >= pending.deadline {
                let refusal = Refusal::new(Reason::Busy, REFUSAL_RETRY_AFTER);
                return self.complete_refused(attempt, refusal);
            }
            let Some(upstream) = pending.next_upstream(directory) else {
                let refusal = Refusal::new(Reason::NoUpstream, REFUSAL_RETRY_AFTER);
                return self.complete_refused(attempt, refusal);
            };
            if directory.usable(&upstream) {
                pending.upstream = upstream;
                pending.home_rank = 0;
                return self.send_request(now, directory, attempt);
            }
            self.record_step(now, attempt, &upstream, Event::Skipped);
        }
    }

    fn send_request<D: Directory>(&mut self, now: Moment, directory: &D, attempt: id::Attempt) -> Vec<Effect> {
        let Some(pending) = self.pending.get_mut(&attempt) else {
            return Vec::new();
        };
        // Counted even if there is no home to send to, so that an attempt terminates in a fleet without homes.
        pending.requests_sent += 1;
        let Some(home) = directory.home(&pending.upstream, pending.home_rank) else {
            return self.degrade(now, directory, attempt);
        };
        pending.home = home.clone();
        let ask = pending.build_request(now);
        pending.answer_deadline = now + ask.patience + PERMIT_REQUEST_TIMEOUT;
        let upstream = pending.upstream.clone();
        self.record_step(
            now,
            attempt,
            &upstream,
            Event::PermitRequested { home: home.clone(), max_wait: ask.patience },
        );
        vec![Effect::Ask { to: home, ask }]
    }

    fn resend_request<D: Directory>(&mut self, now: Moment, directory: &D, attempt: id::Attempt) -> Vec<Effect> {
        let Some(pending) = self.pending.get(&attempt) else {
            return Vec::new();
        };
        // The old home might still grant the request, so it is notified that the attempt no longer waits there.
        let forget = Effect::Forget { to: pending.home.clone(), upstream: pending.upstream.clone(), attempt };
        let mut effects = vec![forget];
        if pending.requests_sent >= MAX_PERMIT_REQUESTS {
            effects.extend(self.advance(now, directory, attempt));
            return effects;
        }
        effects.extend(self.send_request(now, directory, attempt));
        effects
    }

    fn handle_unanswered<D: Directory>(&mut self, now: Moment, directory: &D, attempt: id::Attempt) -> Vec<Effect> {
        let Some(pending) = self.pending.get_mut(&attempt) else {
            return Vec::new();
        };
        self.counts.unanswered += 1;
        pending.home_rank += 1;
        let upstream = pending.upstream.clone();
        let forget = Effect::Forget { to: pending.home.clone(), upstream: upstream.clone(), attempt };
        let exhausted = pending.home_rank > 1;
        self.record_step(now, attempt, &upstream, Event::Unanswered);
        let mut effects = vec![forget];
        if exhausted {
            effects.extend(self.degrade(now, directory, attempt));
        } else {
            effects.extend(self.send_request(now, directory, attempt));
        }
        effects
    }

    fn handle_not_home<D: Directory>(
        &mut self,
        now: Moment,
        directory: &D,
        attempt: id::Attempt,
        home: Option<id::Router>,
    ) -> Vec<Effect> {
        let Some(pending) = self.pending.get_mut(&attempt) else {
            return Vec::new();
        };
        pending.home_rank += 1;
        if pending.home_rank > 1 {
            return self.degrade(now, directory, attempt);
        }
        let hinted = home.filter(|home| home != &pending.home);
        let Some(home) = hinted else {
            return self.send_request(now, directory, attempt);
        };
        pending.home = home.clone();
        pending.requests_sent += 1;
        let ask = pending.build_request(now);
        pending.answer_deadline = now + ask.patience + PERMIT_REQUEST_TIMEOUT;
        vec![Effect::Ask { to: home, ask }]
    }

    /// Uses an upstream without a reachable home, within this router's share of its slots, or goes on to the next
    /// upstream if that share is used up.
    fn degrade<D: Directory>(&mut self, now: Moment, directory: &D, attempt: id::Attempt) -> Vec<Effect> {
        let Some(pending) = self.pending.get(&attempt) else {
            return Vec::new();
        };
        let upstream = pending.upstream.clone();
        let running = self.running.get(&upstream).copied().unwrap_or(0);
        let share = directory.share(&upstream);
        let room =
            share.is_some_and(|share| running < share.own_slots && running.max(share.reported_load) < share.slots);
        if !room {
            return self.advance(now, directory, attempt);
        }
        self.counts.degraded += 1;
        self.record_step(now, attempt, &upstream, Event::Degraded);
        self.complete_granted(attempt, upstream, None, directory)
    }

    fn handle_elsewhere<D: Directory>(
        &mut self,
        now: Moment,
        directory: &D,
        attempt: id::Attempt,
        upstream: id::Upstream,
    ) -> Vec<Effect> {
        let Some(pending) = self.pending.get_mut(&attempt) else {
            return Vec::new();
        };
        pending.prefix_at = Some(upstream.clone());
        // An engine that failed this request is no longer among the candidates.
        let is_candidate = pending.request.candidates.contains(&upstream);
        if !is_candidate || !directory.usable(&upstream) {
            // Request the first choice again. The request is marked as not returning, so that its home doesn't redirect
            // to the exception once more.
            pending.next_candidate = 0;
            return self.advance(now, directory, attempt);
        }
        pending.upstream = upstream;
        pending.home_rank = 0;
        // If that engine overflows, the ranked list is tried from its start.
        pending.next_candidate = 0;
        self.send_request(now, directory, attempt)
    }

    fn handle_overflow(&mut self, attempt: id::Attempt, emptiest: Vec<id::Upstream>) {
        if let Some(pending) = self.pending.get_mut(&attempt) {
            pending.emptiest_hints = emptiest;
            pending.last_resort = false;
        }
    }

    fn complete_granted<D: Directory>(
        &mut self,
        attempt: id::Attempt,
        upstream: id::Upstream,
        home: Option<(id::Router, bool)>,
        directory: &D,
    ) -> Vec<Effect> {
        let Some(pending) = self.pending.remove(&attempt) else {
            return Vec::new();
        };
        let degraded = home.is_none();
        let over_share = home.as_ref().is_some_and(|(_, over_share)| *over_share);
        let home = home.map(|(home, _)| home).or_else(|| directory.home(&upstream, 0));
        let permit = HeldPermit { upstream: upstream.clone(), home };
        if self.permits.insert(attempt, permit).is_some() {
            self.counts.violations += 1;
        }
        *self.running.entry(upstream.clone()).or_default() += 1;
        let mut effects = Vec::new();
        effects.extend(pending.prefix_move(&upstream, directory));
        let import_from = pending.import_from(&upstream, directory);
        let steps = pending.steps;
        effects.push(Effect::Granted(Grant { attempt, upstream, import_from, degraded, over_share, steps }));
        effects
    }

    fn complete_refused(&mut self, attempt: id::Attempt, refusal: Refusal) -> Vec<Effect> {
        let Some(pending) = self.pending.remove(&attempt) else {
            return Vec::new();
        };
        vec![Effect::Refused { attempt, refusal, steps: pending.steps }]
    }

    /// Handles an answer that no attempt waits for; a grant in it is released at once.
    fn handle_unexpected(
        &mut self,
        from: &id::Router,
        upstream: &id::Upstream,
        attempt: id::Attempt,
        verdict: &Verdict,
    ) -> Vec<Effect> {
        if !matches!(verdict, Verdict::Granted { .. }) {
            return Vec::new();
        }
        let held = self.permits.get(&attempt).is_some_and(|h| &h.upstream == upstream && h.home.as_ref() == Some(from));
        if held {
            // The answer is a duplicate of the grant that is in use.
            return Vec::new();
        }
        self.counts.late += 1;
        vec![Effect::Release { to: from.clone(), upstream: upstream.clone(), attempt }]
    }

    /// Returns a renewal per home that lists all permits held there.
    ///
    /// A home where nothing is held receives no renewal; permits whose release was lost expire there.
    fn renew_permits(&mut self, now: Moment) -> Vec<Effect> {
        self.last_renewal = now;
        let mut homes: BTreeMap<id::Router, BTreeMap<id::Upstream, Vec<id::Attempt>>> = BTreeMap::new();
        for (attempt, permit) in &self.permits {
            let Some(home) = &permit.home else {
                continue;
            };
            let upstreams = homes.entry(home.clone()).or_default();
            upstreams.entry(permit.upstream.clone()).or_default().push(*attempt);
        }
        self.running.retain(|_, count| *count > 0);
        let list = |upstreams: BTreeMap<id::Upstream, Vec<id::Attempt>>| {
            let held = upstreams.into_iter().map(|(upstream, attempts)| HeldPermits { upstream, attempts });
            held.collect()
        };
        homes.into_iter().map(|(to, upstreams)| Effect::Renew { to, held: list(upstreams) }).collect()
    }

    fn record_step(&mut self, at: Moment, attempt: id::Attempt, upstream: &id::Upstream, event: Event) {
        if let Some(pending) = self.pending.get_mut(&attempt) {
            pending.steps.push(Step { at, upstream: upstream.clone(), event });
        }
    }
}
