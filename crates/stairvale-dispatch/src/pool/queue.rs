//! Requests that wait for a place, and who is told no.
//!
//! While a place is free and nothing waits, a request is given it, whosever it is. Where requests wait, a place goes first to
//! customers within their shares, among these to the most urgent request, then to the customer that has least, then to what
//! has waited longest. So a surge waits behind itself, and what can't be served in its patience is told so at once.

use std::{collections::BTreeSet, time::Duration};

use stairvale_types::{Moment, Refusal, id, outcome::Reason};

use super::Pool;
use crate::{
    Answer, Ask, Member, Verdict,
    shares::{Fade, Number, Queue, Standing},
};

/// The longest time that is told to come back after.
const LONGEST_RETURN: Duration = Duration::from_secs(2);
/// The shortest.
const SHORTEST_RETURN: Duration = Duration::from_millis(100);
/// When to come back where no upstream could serve it.
const NO_UPSTREAM_RETURN: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
pub(super) struct Waiting {
    ask: Ask,
    customer: Number,
    since: Moment,
    until: Moment,
    number: u64,
}

/// What turns depend on at a moment.
#[derive(Clone, Copy)]
struct Look {
    level: f64,
    fade: Fade,
}

/// When a request's turn is: what is less goes first, and of equal ones what came first.
#[derive(Clone, Copy, Debug)]
struct Turn {
    is_over: bool,
    priority: u8,
    score: f64,
}

impl Turn {
    /// The turn of a customer's request that `ahead` others of its own go before.
    fn of(standing: &Standing, ahead: u32, priority: u8) -> Self {
        let ahead = f64::from(ahead);
        Self { is_over: standing.is_over(ahead + 1.0), priority, score: standing.score + ahead * standing.step }
    }
}

/// How long something would wait.
struct Wait {
    time: Duration,
    /// Whether its turn comes after that of all that wait.
    is_last: bool,
}

impl Pool {
    /// Places a request that was asked for some time ago, or lets it wait for what is left of its patience.
    pub(super) fn enter(&mut self, now: Moment, ask: Ask, asked: Moment) -> Vec<Answer> {
        if self.suspects.is_pending(ask.fingerprint) {
            // Within a moment it is known whether it may go anywhere.
            return vec![refuse(&ask, Reason::Busy, SHORTEST_RETURN)];
        }
        if self.follow(now, &ask, asked) {
            return Vec::new();
        }
        if self.waiting.is_empty()
            && let Some(answer) = self.place(now, &ask)
        {
            return vec![answer];
        }
        let customer = self.shares.open(ask.customer.as_ref());
        self.number += 1;
        let until = asked + ask.patience;
        let waiting = Waiting { ask, customer, since: now, until, number: self.number };
        let Some(wait) = self.predict(now, &waiting) else {
            return vec![refuse(&waiting.ask, Reason::NoUpstream, NO_UPSTREAM_RETURN)];
        };
        if now + wait.time > until {
            // What waits may not be able to use the places that are free.
            return match self.place(now, &waiting.ask) {
                Some(answer) => vec![answer],
                None => vec![self.refuse(&waiting, wait.time)],
            };
        }
        self.shares.wait(customer, waiting.ask.priority);
        self.waiting.push(waiting);
        let mut answers = self.serve(now);
        if !wait.is_last {
            answers.extend(self.give_way(now, customer));
        }
        answers
    }

    /// Gives a request to an upstream, if any has room.
    fn place(&mut self, now: Moment, ask: &Ask) -> Option<Answer> {
        let answer = self.grant(now, ask)?;
        self.shares.start(now, ask.attempt, ask.customer.as_ref());
        Some(answer)
    }

    /// Grants what waits, as far as there is room.
    pub(super) fn serve(&mut self, now: Moment) -> Vec<Answer> {
        let mut answers = Vec::new();
        if self.waiting.is_empty() {
            return answers;
        }
        let look = self.look(now);
        let mut left_out = Vec::new();
        while let Some(index) = self.first(look, &left_out) {
            let ask = self.waiting[index].ask.clone();
            if let Some(answer) = self.place(now, &ask) {
                self.take(index);
                answers.push(answer);
            } else if ask.avoid.is_empty() && ask.within.is_none() && self.suspects.ends(ask.fingerprint) == 0 {
                // One that comes later with the same choice would find no room either.
                break;
            } else {
                left_out.push(self.waiting[index].number);
            }
        }
        answers
    }

    /// Refuses what has waited for as long as it may.
    pub(super) fn end_waiting(&mut self, now: Moment) -> Vec<Answer> {
        let mut answers = Vec::new();
        while let Some(index) = self.waiting.iter().position(|waiting| waiting.until <= now) {
            let waiting = self.take(index);
            let wait = self.predict(now, &waiting).map_or(SHORTEST_RETURN, |wait| wait.time);
            answers.push(self.refuse(&waiting, wait));
        }
        answers
    }

    /// A request no longer waits.
    pub(super) fn stop_waiting(&mut self, attempt: id::Attempt) {
        if let Some(index) = self.waiting.iter().position(|waiting| waiting.ask.attempt == attempt) {
            self.take(index);
        }
    }

    /// A customer's new request has gone before others: the last of another customer that is over its share is told no, if
    /// it can no longer be served in its patience. Better now than when that ends.
    fn give_way(&mut self, now: Moment, new: Number) -> Option<Answer> {
        let look = self.look(now);
        let last = self.shares.queues().map(|queue| (queue.number, self.turns(look, queue).last()));
        let (customer, turn) = last.max_by(|a, b| order(a.1.as_ref(), b.1.as_ref()))?;
        if customer == new || !turn?.is_over {
            return None;
        }
        let own = self.waiting.iter().enumerate().filter(|(_, waiting)| waiting.customer == customer);
        let last = own.max_by_key(|(_, waiting)| (waiting.ask.priority, waiting.number))?.0;
        let waiting = self.take(last);
        match self.predict(now, &waiting) {
            Some(wait) if now + wait.time > waiting.until => Some(self.refuse(&waiting, wait.time)),
            Some(_) | None => {
                self.shares.wait(customer, waiting.ask.priority);
                self.waiting.push(waiting);
                None
            }
        }
    }

    fn take(&mut self, index: usize) -> Waiting {
        let waiting = self.waiting.remove(index);
        self.shares.wait_no_more(waiting.customer, waiting.ask.priority);
        waiting
    }

    fn refuse(&mut self, waiting: &Waiting, wait: Duration) -> Answer {
        self.shares.refuse(waiting.customer);
        refuse(&waiting.ask, Reason::Busy, wait)
    }

    // ------------------------------------------------------------------------
    // Turns.

    /// What each customer of a weight of one may hold while requests wait.
    pub(super) fn level(&self, now: Moment) -> f64 {
        let within = self.reach(now);
        let open = self.members.values().filter(|member| within.has(member) && member.health.is_open(now));
        self.shares.level(open.map(|member| self.places(member)).sum())
    }

    /// What turns depend on at a moment.
    fn look(&self, now: Moment) -> Look {
        Look { level: self.level(now), fade: self.shares.fade(now) }
    }

    /// The one whose turn it is.
    fn first(&self, look: Look, left_out: &[u64]) -> Option<usize> {
        let candidates = self.waiting.iter().enumerate().filter(|(_, waiting)| !left_out.contains(&waiting.number));
        // Of a customer's own the most urgent comes first anyway, so that none need be counted.
        let turn = |waiting: &Waiting| {
            Turn::of(&self.shares.standing(look.fade, waiting.customer, look.level), 0, waiting.ask.priority)
        };
        let turns = candidates.map(|(index, waiting)| (index, turn(waiting), waiting.number));
        let first = turns.min_by(|a, b| order(Some(&a.1), Some(&b.1)).then(a.2.cmp(&b.2)));
        first.map(|(index, ..)| index)
    }

    /// The turns of all that a customer lets wait.
    fn turns<'a>(&self, look: Look, queue: Queue<'a>) -> impl Iterator<Item = Turn> + use<'a> {
        let standing = self.shares.standing(look.fade, queue.number, look.level);
        let ranks = (0_u8..).zip(queue.waiting).flat_map(|(rank, count)| (0..*count).map(move |_| rank));
        (0_u32..).zip(ranks).map(move |(ahead, rank)| Turn::of(&standing, ahead, rank))
    }

    /// How long a request would wait for a place; `None` if there is no upstream that could ever serve it.
    #[allow(clippy::cast_precision_loss)]
    fn predict(&self, now: Moment, new: &Waiting) -> Option<Wait> {
        let within = self.reach(now);
        let ask = &new.ask;
        // Many upstreams may rest for one router, and all members are looked at.
        let avoid: BTreeSet<_> = ask.avoid.iter().collect();
        let able = |member: &&Member| within.has(member) && ask.allows(&member.zone) && !avoid.contains(&member.id);
        let able: Vec<_> = self.members.values().filter(able).collect();
        if able.is_empty() {
            return None;
        }
        let open = able.iter().filter(|member| member.health.is_open(now));
        let places: u32 = open.map(|member| self.places(member)).sum();
        let look = self.look(now);
        let standing = |number| self.shares.standing(look.fade, number, look.level);
        let own_queue = self.shares.queues().find(|queue| queue.number == new.customer);
        let own = own_queue.map_or(0, |queue| queue.waiting.iter().take(usize::from(ask.priority) + 1).sum());
        let turn = Turn::of(&standing(new.customer), own, ask.priority);
        let (mut ahead, mut all) = (own, 0);
        for queue in self.shares.queues() {
            all += queue.waiting.iter().sum::<u32>();
            if queue.number != new.customer {
                let before = |other: &Turn| order(Some(other), Some(&turn)).is_le();
                ahead += u32::try_from(self.turns(look, queue).filter(before).count()).unwrap_or(u32::MAX);
            }
        }
        let before = |other: &&Waiting| {
            order(Some(&Turn::of(&standing(other.customer), 0, other.ask.priority)), Some(&turn)).is_le()
        };
        let held = self.waiting.iter().filter(before).map(|other| now.since(other.since)).max().unwrap_or_default();
        let share = standing(new.customer).share.max(1.0);
        let turns = (f64::from(ahead + 1) / f64::from(places.max(1))).max(f64::from(own + 1) / share);
        let time = Duration::from_secs_f64(turns * self.hold_time() / 1e3);
        // Something that already waits long tells that places come free more slowly than the mean says.
        Some(Wait { time: time.max(held / 2), is_last: ahead == all })
    }
}

/// Which turn is first; nothing comes before all.
fn order(a: Option<&Turn>, b: Option<&Turn>) -> std::cmp::Ordering {
    let keys = |turn: &Turn| (turn.is_over, turn.priority);
    a.map(keys).cmp(&b.map(keys)).then_with(|| {
        let score = |turn: Option<&Turn>| turn.map_or(0.0, |turn| turn.score);
        score(a).total_cmp(&score(b))
    })
}

fn refuse(ask: &Ask, reason: Reason, wait: Duration) -> Answer {
    let refusal = Refusal::new(reason, wait.clamp(SHORTEST_RETURN, LONGEST_RETURN));
    Answer { entry: ask.entry.clone(), attempt: ask.attempt, verdict: Verdict::Refused(refusal) }
}
