//! Queue of requests that wait for a slot, and refusal of those that can't be served in time.
//!
//! While a slot is free and no request waits, a request is granted it, whichever customer sent it. While requests wait,
//! a free slot goes first to customers within their shares, among these to the most urgent request, then to the
//! customer that holds least, then to the request that has waited longest. So a burst of one customer waits behind that
//! customer's own requests, and a request that can't be served within its maximum wait is refused at once.

use std::{collections::BTreeSet, time::Duration};

use stairvale_types::{Moment, Refusal, id, outcome::Reason};

use super::Pool;
use crate::{
    Answer, Ask, Member, Verdict,
    shares::{AccountId, Fade, Queue, Usage},
};

/// The longest retry delay that a refusal states.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// The shortest retry delay that a refusal states.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The retry delay of a refusal because no upstream could serve the request.
const NO_UPSTREAM_RETRY_DELAY: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
pub(super) struct Waiting {
    ask: Ask,
    customer: AccountId,
    since: Moment,
    until: Moment,
    number: u64,
}

/// The values that the order of the queue depends on at one moment.
#[derive(Clone, Copy)]
struct QueueState {
    level: f64,
    fade: Fade,
}

/// The position of a request in the queue: the lesser goes first, and of equal ones the one that came first.
#[derive(Clone, Copy, Debug)]
struct Position {
    is_over: bool,
    priority: u8,
    score: f64,
}

impl Position {
    /// Returns the position of a customer's request that follows `ahead` others of the same customer.
    fn of(usage: &Usage, ahead: u32, priority: u8) -> Self {
        let ahead = f64::from(ahead);
        Self { is_over: usage.is_over(ahead + 1.0), priority, score: usage.score + ahead * usage.step }
    }
}

/// The predicted wait of a request.
struct Wait {
    time: Duration,
    /// Whether the request comes after all others that wait.
    is_last: bool,
}

impl Pool {
    /// Grants a request that arrived at `arrived`, refuses it, or queues it for the rest of its maximum wait.
    pub(super) fn admit(&mut self, now: Moment, ask: Ask, arrived: Moment) -> Vec<Answer> {
        if self.awaits_judgement(&ask) {
            // A decision whether the request may go anywhere follows shortly.
            return vec![refuse(&ask, Reason::Busy, MIN_RETRY_DELAY)];
        }
        if self.follow(now, &ask, arrived) {
            return Vec::new();
        }
        if self.waiting.is_empty()
            && let Some(answer) = self.try_grant(now, &ask)
        {
            return vec![answer];
        }
        let customer = self.shares.open(ask.customer.as_ref());
        self.last_number += 1;
        let until = arrived + ask.patience;
        let waiting = Waiting { ask, customer, since: now, until, number: self.last_number };
        let Some(wait) = self.predict(now, &waiting) else {
            return vec![refuse(&waiting.ask, Reason::NoUpstream, NO_UPSTREAM_RETRY_DELAY)];
        };
        if now + wait.time > until {
            // The requests that wait may not be able to use the slots that are free.
            return match self.try_grant(now, &waiting.ask) {
                Some(answer) => vec![answer],
                None => vec![self.refuse(&waiting, wait.time)],
            };
        }
        self.shares.wait(customer, waiting.ask.priority);
        self.waiting.push(waiting);
        let mut answers = self.grant_waiting(now);
        if !wait.is_last {
            answers.extend(self.refuse_overtaken(now, customer));
        }
        answers
    }

    /// Grants the request if any upstream has room, and counts it for its customer.
    fn try_grant(&mut self, now: Moment, ask: &Ask) -> Option<Answer> {
        let answer = self.grant(now, ask)?;
        self.shares.start(now, ask.attempt, ask.customer.as_ref());
        Some(answer)
    }

    /// Grants waiting requests as far as there is room.
    pub(super) fn grant_waiting(&mut self, now: Moment) -> Vec<Answer> {
        let mut answers = Vec::new();
        if self.waiting.is_empty() {
            return answers;
        }
        let state = self.queue_state(now);
        let mut skipped = Vec::new();
        while let Some(index) = self.next(state, &skipped) {
            let ask = self.waiting[index].ask.clone();
            if let Some(answer) = self.try_grant(now, &ask) {
                self.dequeue(index);
                answers.push(answer);
            } else if ask.avoid.is_empty() && ask.within.is_none() && !self.is_suspect(&ask) {
                // A later request that may go to the same upstreams would find no room either.
                break;
            } else {
                skipped.push(self.waiting[index].number);
            }
        }
        answers
    }

    /// Refuses requests that have waited for their maximum wait.
    pub(super) fn end_waiting(&mut self, now: Moment) -> Vec<Answer> {
        let mut answers = Vec::new();
        while let Some(index) = self.waiting.iter().position(|waiting| waiting.until <= now) {
            let waiting = self.dequeue(index);
            let wait = self.predict(now, &waiting).map_or(MIN_RETRY_DELAY, |wait| wait.time);
            answers.push(self.refuse(&waiting, wait));
        }
        answers
    }

    /// Removes an attempt from the queue.
    pub(super) fn stop_waiting(&mut self, attempt: id::Attempt) {
        if let Some(index) = self.waiting.iter().position(|waiting| waiting.ask.attempt == attempt) {
            self.dequeue(index);
        }
    }

    /// Called when a customer's new request has overtaken others: refuses the last request of another customer that is
    /// over its share, if that request can no longer be served within its maximum wait. An early refusal is better than
    /// one when the wait ends.
    fn refuse_overtaken(&mut self, now: Moment, new: AccountId) -> Option<Answer> {
        let state = self.queue_state(now);
        let last = self.shares.queues().map(|queue| (queue.number, self.positions(state, queue).last()));
        let (customer, position) = last.max_by(|a, b| compare(a.1.as_ref(), b.1.as_ref()))?;
        if customer == new || !position?.is_over {
            return None;
        }
        let own = self.waiting.iter().enumerate().filter(|(_, waiting)| waiting.customer == customer);
        let last = own.max_by_key(|(_, waiting)| (waiting.ask.priority, waiting.number))?.0;
        let waiting = self.dequeue(last);
        match self.predict(now, &waiting) {
            Some(wait) if now + wait.time > waiting.until => Some(self.refuse(&waiting, wait.time)),
            Some(_) | None => {
                self.shares.wait(customer, waiting.ask.priority);
                self.waiting.push(waiting);
                None
            }
        }
    }

    fn dequeue(&mut self, index: usize) -> Waiting {
        let waiting = self.waiting.remove(index);
        self.shares.end_wait(waiting.customer, waiting.ask.priority);
        waiting
    }

    fn refuse(&mut self, waiting: &Waiting, wait: Duration) -> Answer {
        self.shares.refuse(waiting.customer);
        refuse(&waiting.ask, Reason::Busy, wait)
    }

    // ------------------------------------------------------------------------
    // Order of the queue.

    /// Returns the number of slots that each customer with a weight of one may hold while requests wait.
    pub(super) fn level(&self, now: Moment) -> f64 {
        let reach = self.reach(now);
        let open = self.members.values().filter(|member| reach.may_use(member) && member.health.is_open(now));
        self.shares.level(open.map(|member| self.request_limit(member)).sum())
    }

    /// Computes the values that the order of the queue depends on at this moment.
    fn queue_state(&self, now: Moment) -> QueueState {
        QueueState { level: self.level(now), fade: self.shares.fade(now) }
    }

    /// Returns the index of the request that is next.
    fn next(&self, state: QueueState, skipped: &[u64]) -> Option<usize> {
        let candidates = self.waiting.iter().enumerate().filter(|(_, waiting)| !skipped.contains(&waiting.number));
        // The most urgent request of a customer comes first anyway, so requests ahead of it needn't be counted.
        let position = |waiting: &Waiting| {
            Position::of(&self.shares.usage(state.fade, waiting.customer, state.level), 0, waiting.ask.priority)
        };
        let positions = candidates.map(|(index, waiting)| (index, position(waiting), waiting.number));
        let first = positions.min_by(|a, b| compare(Some(&a.1), Some(&b.1)).then(a.2.cmp(&b.2)));
        first.map(|(index, ..)| index)
    }

    /// Returns the positions of all waiting requests of a customer.
    fn positions<'a>(&self, state: QueueState, queue: Queue<'a>) -> impl Iterator<Item = Position> + use<'a> {
        let usage = self.shares.usage(state.fade, queue.number, state.level);
        let priorities = (0_u8..).zip(queue.waiting).flat_map(|(priority, count)| (0..*count).map(move |_| priority));
        (0_u32..).zip(priorities).map(move |(ahead, priority)| Position::of(&usage, ahead, priority))
    }

    /// Predicts how long a request would wait for a slot; `None` if no upstream could ever serve it.
    #[allow(clippy::cast_precision_loss)]
    fn predict(&self, now: Moment, new: &Waiting) -> Option<Wait> {
        let reach = self.reach(now);
        let ask = &new.ask;
        // One router may have to avoid many upstreams, and all members are scanned.
        let avoid: BTreeSet<_> = ask.avoid.iter().collect();
        let able = |member: &&Member| reach.may_use(member) && ask.allows(&member.zone) && !avoid.contains(&member.id);
        let able: Vec<_> = self.members.values().filter(able).collect();
        if able.is_empty() {
            return None;
        }
        let open = able.iter().filter(|member| member.health.is_open(now));
        let slots: u32 = open.map(|member| self.request_limit(member)).sum();
        let state = self.queue_state(now);
        let usage = |number| self.shares.usage(state.fade, number, state.level);
        let own_queue = self.shares.queues().find(|queue| queue.number == new.customer);
        let own = own_queue.map_or(0, |queue| queue.waiting.iter().take(usize::from(ask.priority) + 1).sum());
        let position = Position::of(&usage(new.customer), own, ask.priority);
        let (mut ahead, mut all) = (own, 0);
        for queue in self.shares.queues() {
            all += queue.waiting.iter().sum::<u32>();
            if queue.number != new.customer {
                let before = |other: &Position| compare(Some(other), Some(&position)).is_le();
                ahead += u32::try_from(self.positions(state, queue).filter(before).count()).unwrap_or(u32::MAX);
            }
        }
        let before = |other: &&Waiting| {
            compare(Some(&Position::of(&usage(other.customer), 0, other.ask.priority)), Some(&position)).is_le()
        };
        let longest_wait =
            self.waiting.iter().filter(before).map(|other| now.since(other.since)).max().unwrap_or_default();
        let share = usage(new.customer).share.max(1.0);
        let positions = (f64::from(ahead + 1) / f64::from(slots.max(1))).max(f64::from(own + 1) / share);
        let time = Duration::from_secs_f64(positions * self.hold_time_ms() / 1e3);
        // A request that has already waited long shows that slots become free more slowly than the mean says.
        Some(Wait { time: time.max(longest_wait / 2), is_last: ahead == all })
    }
}

/// Compares two positions; `None` comes before all.
fn compare(a: Option<&Position>, b: Option<&Position>) -> std::cmp::Ordering {
    let keys = |position: &Position| (position.is_over, position.priority);
    a.map(keys).cmp(&b.map(keys)).then_with(|| {
        let score = |position: Option<&Position>| position.map_or(0.0, |position| position.score);
        score(a).total_cmp(&score(b))
    })
}

fn refuse(ask: &Ask, reason: Reason, wait: Duration) -> Answer {
    let refusal = Refusal::new(reason, wait.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY));
    Answer { entry: ask.entry.clone(), attempt: ask.attempt, verdict: Verdict::Refused(refusal) }
}
