//! Requests that wait for a place, and who is told no.
//!
//! While a place is free and nothing waits, a request is given it, whosever it is. Where requests wait, a place goes first to
//! customers within their shares, among these to the most urgent request, then to the customer that has least, then to what
//! has waited longest. So a surge waits behind itself, and what can't be served in its patience is told so at once.

use std::time::Duration;

use stairvale_types::{Moment, Refusal, id, outcome::Reason};

use super::Pool;
use crate::{
    Answer, Ask, Member, Verdict,
    shares::{Number, Standing},
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

/// When a request's turn is: what is less goes first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Turn {
    is_over: bool,
    priority: u8,
    score: f64,
    number: u64,
}

impl Turn {
    /// The turn of a customer's request that `ahead` others of its own go before.
    fn of(standing: &Standing, ahead: u32, priority: u8, number: u64) -> Self {
        let ahead = f64::from(ahead);
        Self { is_over: standing.is_over(ahead + 1.0), priority, score: standing.score + ahead * standing.step, number }
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
        if self.follow(now, &ask, asked) {
            return Vec::new();
        }
        if self.waiting.is_empty()
            && let Some(answer) = self.place(now, &ask)
        {
            return vec![answer];
        }
        let customer = self.shares.open(now, ask.customer.as_ref());
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
        self.shares.wait(now, waiting.ask.customer.as_ref());
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
        let level = self.level(now);
        let mut left_out = Vec::new();
        while let Some(index) = self.first(now, level, &left_out) {
            let ask = self.waiting[index].ask.clone();
            if let Some(answer) = self.place(now, &ask) {
                self.take(index);
                answers.push(answer);
            } else if ask.avoid.is_empty() && ask.within.is_none() {
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
        let level = self.level(now);
        let turns = (0..self.waiting.len()).map(|index| (index, self.turn(now, level, &self.waiting[index])));
        let (last, turn) = turns.max_by(|a, b| order(&a.1, &b.1))?;
        let waiting = &self.waiting[last];
        let wait = self.predict(now, waiting)?.time;
        if waiting.customer == new || !turn.is_over || now + wait <= waiting.until {
            return None;
        }
        let waiting = self.take(last);
        Some(self.refuse(&waiting, wait))
    }

    fn take(&mut self, index: usize) -> Waiting {
        let waiting = self.waiting.remove(index);
        self.shares.wait_no_more(waiting.customer);
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
        self.shares.level(now, open.map(|member| member.slots).sum())
    }

    /// The one whose turn it is.
    fn first(&self, now: Moment, level: f64, left_out: &[u64]) -> Option<usize> {
        let candidates = self.waiting.iter().enumerate().filter(|(_, waiting)| !left_out.contains(&waiting.number));
        // Of a customer's own the most urgent comes first anyway, so that none need be counted.
        let turn = |waiting: &Waiting| {
            Turn::of(&self.shares.standing(now, waiting.customer, level), 0, waiting.ask.priority, waiting.number)
        };
        let turns = candidates.map(|(index, waiting)| (index, turn(waiting)));
        turns.min_by(|a, b| order(&a.1, &b.1)).map(|(index, _)| index)
    }

    /// When a request's turn is, behind its customer's others.
    fn turn(&self, now: Moment, level: f64, waiting: &Waiting) -> Turn {
        let key = (waiting.ask.priority, waiting.number);
        let own = self.waiting.iter().filter(|other| other.customer == waiting.customer);
        let ahead = own.filter(|other| (other.ask.priority, other.number) < key).count();
        let standing = self.shares.standing(now, waiting.customer, level);
        Turn::of(&standing, u32::try_from(ahead).unwrap_or(u32::MAX), waiting.ask.priority, waiting.number)
    }

    /// How long a request would wait for a place; `None` if there is no upstream that could ever serve it.
    #[allow(clippy::cast_precision_loss)]
    fn predict(&self, now: Moment, new: &Waiting) -> Option<Wait> {
        let within = self.reach(now);
        let ask = &new.ask;
        let able = |member: &&Member| within.has(member) && ask.allows(&member.zone) && !ask.avoid.contains(&member.id);
        let able: Vec<_> = self.members.values().filter(able).collect();
        if able.is_empty() {
            return None;
        }
        let open = able.iter().filter(|member| member.health.is_open(now));
        let slots: u32 = open.map(|member| member.slots).sum();
        let level = self.level(now);
        let turn = self.turn(now, level, new);
        let others = self.waiting.iter().filter(|other| other.number != new.number);
        let before = |other: &&Waiting| order(&self.turn(now, level, other), &turn).is_lt();
        let (mut ahead, mut own, mut held, mut all) = (0_u32, 0_u32, Duration::ZERO, 0_u32);
        for other in others.inspect(|_| all += 1).filter(before) {
            ahead += 1;
            own += u32::from(other.customer == new.customer);
            held = held.max(now.since(other.since));
        }
        let share = self.shares.standing(now, new.customer, level).share.max(1.0);
        let turns = (f64::from(ahead + 1) / f64::from(slots.max(1))).max(f64::from(own + 1) / share);
        let time = Duration::from_secs_f64(turns * self.time / 1e3);
        // Something that already waits long tells that places come free more slowly than the mean says.
        Some(Wait { time: time.max(held / 2), is_last: ahead == all })
    }
}

fn order(a: &Turn, b: &Turn) -> std::cmp::Ordering {
    let keys = |turn: &Turn| (turn.is_over, turn.priority);
    keys(a).cmp(&keys(b)).then(a.score.total_cmp(&b.score)).then(a.number.cmp(&b.number))
}

fn refuse(ask: &Ask, reason: Reason, wait: Duration) -> Answer {
    let refusal = Refusal::new(reason, wait.clamp(SHORTEST_RETURN, LONGEST_RETURN));
    Answer { entry: ask.entry.clone(), attempt: ask.attempt, verdict: Verdict::Refused(refusal) }
}
