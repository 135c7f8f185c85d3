//! One shard's keeper: it batches claims into compare-and-swap writes and recognises its own after a lost answer.
//!
//! Several routers may believe to be a shard's keeper; the compare-and-swap alone decides. Keeping it at one router only
//! makes the batches larger.

use std::time::Duration;

use stairvale_types::{Moment, id};
use stairvale_wire::{ClaimVerdict, Stored};

use crate::{
    Record,
    record::{Claim, MAX_BODY, MAX_RECORD},
};

/// When to come back if the store can't be reached.
const RETRY_UNAVAILABLE: Duration = Duration::from_secs(2);
/// A claim that couldn't be settled within this time is told that nothing ran.
const GIVE_UP: Duration = Duration::from_secs(2);
/// Losing this many compare-and-swaps in a row means that others are faster; the claims are refused.
const MAX_LOST: u32 = 8;
/// After the store didn't answer it is left alone for this long.
const PAUSE: Duration = Duration::from_millis(200);
/// Settlements that wait for a write at the most; beyond this the oldest are dropped and stay `Running`.
const MAX_SETTLEMENTS: usize = 10_000;

/// Something the record shall take in.
#[derive(Clone, Debug)]
struct Wish {
    key: id::Key,
    attempt: id::Attempt,
    from: id::Router,
    since: Moment,
    /// A write that carried this claim left, from a record that lacked it.
    written: bool,
}

#[derive(Clone, Debug)]
struct Settlement {
    key: id::Key,
    attempt: id::Attempt,
    /// `None` gives the claim back: nothing was sent.
    stored: Option<Stored>,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Read the record.
    Read,
    /// Write the record if its revision is still this one (zero: if there is none).
    Write {
        /// The record.
        text: String,
        /// The revision that it replaces.
        revision: u64,
    },
    /// Tell an entry what the record says.
    Answer {
        /// The entry.
        to: id::Router,
        /// The key.
        key: id::Key,
        /// The attempt.
        attempt: id::Attempt,
        /// What the record says.
        verdict: ClaimVerdict,
    },
}

/// What came of a call to the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The record and its revision; `None` if there is none.
    Read(Option<(String, u64)>),
    /// The write took effect; this is its revision.
    Written(u64),
    /// Another write came first.
    Conflict,
    /// No answer: a write may or may not have taken effect.
    Lost,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Reading,
    Writing,
}

/// What a shard counted since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Claims asked for.
    pub claims: u64,
    /// Writes sent.
    pub writes: u64,
    /// Claims that a read-back recognised after a lost answer.
    pub recognised: u64,
    /// Claims refused because the store didn't answer.
    pub unavailable: u64,
    /// Broken invariants: any but zero is a fault of the program.
    pub violations: u64,
}

/// One shard's keeper.
#[derive(Debug, Default)]
pub struct Shard {
    known: Option<(Record, u64)>,
    call: Option<Call>,
    wishes: Vec<Wish>,
    settlements: Vec<Settlement>,
    pause_until: Moment,
    lost: u32,
    /// The last write's answer was lost: what the next read shows may be this shard's own doing.
    in_doubt: bool,
    counts: Counts,
}

impl Shard {
    /// A keeper that has read nothing yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// What was counted.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Whether nothing waits here.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.wishes.is_empty() && self.settlements.is_empty() && self.call.is_none()
    }

    /// An entry wants to claim a key.
    pub fn claim(
        &mut self,
        now: Moment,
        now_ms: u64,
        from: id::Router,
        key: id::Key,
        attempt: id::Attempt,
    ) -> Vec<Effect> {
        self.counts.claims += 1;
        if now < self.pause_until && self.known.is_none() {
            self.counts.unavailable += 1;
            return vec![unavailable(from, key, attempt)];
        }
        let doubled = self.wishes.iter().any(|wish| wish.attempt == attempt && wish.key == key);
        if !doubled {
            self.wishes.push(Wish { key, attempt, from, since: now, written: false });
        }
        self.advance(now, now_ms)
    }

    /// A claimed request ended.
    pub fn settle(
        &mut self,
        now: Moment,
        now_ms: u64,
        key: id::Key,
        attempt: id::Attempt,
        stored: Option<Stored>,
    ) -> Vec<Effect> {
        let trim = |mut stored: Stored| {
            stored.body = stored.body.filter(|body| body.len() <= MAX_BODY);
            stored
        };
        if self.settlements.len() >= MAX_SETTLEMENTS {
            self.settlements.remove(0);
        }
        self.settlements.push(Settlement { key, attempt, stored: stored.map(trim) });
        self.advance(now, now_ms)
    }

    /// The store answered.
    pub fn reply(&mut self, now: Moment, now_ms: u64, reply: Reply) -> Vec<Effect> {
        let call = self.call.take();
        match (call, reply) {
            (Some(Call::Reading), Reply::Read(read)) => self.read(now, now_ms, read),
            (Some(Call::Writing), Reply::Written(revision)) => self.written(now, now_ms, revision),
            (Some(Call::Writing), Reply::Conflict) => {
                self.known = None;
                self.lost += 1;
                self.advance(now, now_ms)
            }
            (Some(call), Reply::Lost) => self.unanswered(now, now_ms, call),
            (Some(_) | None, _) => {
                self.known = None;
                Vec::new()
            }
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Moment, now_ms: u64) -> Vec<Effect> {
        let mut effects = self.give_up(now);
        effects.extend(self.advance(now, now_ms));
        effects
    }

    // ------------------------------------------------------------------------

    /// Answers what the known record answers, and writes the rest.
    fn advance(&mut self, now: Moment, now_ms: u64) -> Vec<Effect> {
        if self.call.is_some() || (self.wishes.is_empty() && self.settlements.is_empty()) {
            return Vec::new();
        }
        if now < self.pause_until {
            return Vec::new();
        }
        if self.lost > MAX_LOST {
            return self.refuse_all();
        }
        let Some((record, revision)) = self.known.clone() else {
            self.call = Some(Call::Reading);
            return vec![Effect::Read];
        };
        let mut effects = self.answer_known(&record);
        effects.extend(self.write(now_ms, record, revision));
        effects
    }

    /// Answers wishes whose key the record has already.
    fn answer_known(&mut self, record: &Record) -> Vec<Effect> {
        let mut effects = Vec::new();
        let wishes = std::mem::take(&mut self.wishes);
        for wish in wishes {
            let Some(claim) = record.get(wish.key) else {
                self.wishes.push(wish);
                continue;
            };
            effects.push(answer(&wish, verdict(&wish, claim, record.fence)));
        }
        effects
    }

    fn write(&mut self, now_ms: u64, mut record: Record, revision: u64) -> Vec<Effect> {
        let before = record.clone();
        record.expire(now_ms);
        self.settlements.retain(|settlement| settlement.applies(&record));
        for settlement in &self.settlements {
            settlement.apply(&mut record);
        }
        for wish in &self.wishes {
            // The first of two wishes for one key gets it; the second is answered from the record after the write.
            let claim = Claim { attempt: wish.attempt, at_ms: now_ms, stored: None };
            record.claims.entry(wish.key.to_string()).or_insert(claim);
        }
        if record == before || (self.wishes.is_empty() && self.settlements.is_empty()) {
            return Vec::new();
        }
        record.fence += 1;
        let text = record.to_text();
        if text.len() > MAX_RECORD && !self.wishes.is_empty() {
            return self.refuse_all();
        }
        self.counts.writes += 1;
        self.call = Some(Call::Writing);
        for wish in &mut self.wishes {
            wish.written = true;
        }
        // What was written counts only once the store has said so.
        self.known = Some((record, revision));
        vec![Effect::Write { text, revision }]
    }

    fn written(&mut self, now: Moment, now_ms: u64, revision: u64) -> Vec<Effect> {
        self.lost = 0;
        self.in_doubt = false;
        let Some((record, old)) = self.known.take() else {
            return Vec::new();
        };
        if revision <= old {
            self.counts.violations += 1;
        }
        self.settlements.retain(|settlement| settlement.applies(&record));
        let effects = self.answer_known(&record);
        self.known = Some((record, revision));
        let more = self.advance(now, now_ms);
        effects.into_iter().chain(more).collect()
    }

    fn read(&mut self, now: Moment, now_ms: u64, read: Option<(String, u64)>) -> Vec<Effect> {
        let parsed = match read {
            None => Some((Record::default(), 0)),
            Some((text, revision)) => Record::parse(&text).ok().map(|record| (record, revision)),
        };
        let Some((record, revision)) = parsed else {
            // A value that isn't a record must not be overwritten: nobody can tell what it says has run.
            return self.refuse_all();
        };
        if self.in_doubt {
            let own = |wish: &&Wish| record.get(wish.key).is_some_and(|claim| claim.attempt == wish.attempt);
            self.counts.recognised += self.wishes.iter().filter(own).count() as u64;
            self.in_doubt = false;
        }
        self.known = Some((record, revision));
        self.advance(now, now_ms)
    }

    fn unanswered(&mut self, now: Moment, now_ms: u64, call: Call) -> Vec<Effect> {
        self.known = None;
        self.in_doubt |= call == Call::Writing;
        self.pause_until = now + PAUSE;
        let _ = now_ms;
        if call == Call::Reading && !self.in_doubt {
            // Nothing was written for those who wait: they can be told so at once.
            return self.refuse_all();
        }
        self.give_up(now)
    }

    /// Those who waited too long are told that nothing ran under their attempt, and the claim is given back when the
    /// store answers again.
    fn give_up(&mut self, now: Moment) -> Vec<Effect> {
        let overdue: Vec<_> = self.wishes.extract_if(.., |wish| now.since(wish.since) >= GIVE_UP).collect();
        overdue.into_iter().map(|wish| self.refuse(wish)).collect()
    }

    fn refuse_all(&mut self) -> Vec<Effect> {
        self.lost = 0;
        let wishes = std::mem::take(&mut self.wishes);
        wishes.into_iter().map(|wish| self.refuse(wish)).collect()
    }

    fn refuse(&mut self, wish: Wish) -> Effect {
        self.counts.unavailable += 1;
        if wish.written && self.settlements.len() < MAX_SETTLEMENTS {
            // The write may have taken effect: give the claim back, so that the caller's next try can run. An entry asks
            // once for an attempt and starts nothing after a no, so nothing can run under this claim.
            self.settlements.push(Settlement { key: wish.key, attempt: wish.attempt, stored: None });
        }
        unavailable(wish.from, wish.key, wish.attempt)
    }
}

impl Settlement {
    /// Whether the record still lacks this.
    fn applies(&self, record: &Record) -> bool {
        let Some(claim) = record.get(self.key) else {
            return false;
        };
        claim.attempt == self.attempt && claim.stored.is_none()
    }

    fn apply(&self, record: &mut Record) {
        if !self.applies(record) {
            return;
        }
        let key = self.key.to_string();
        let Some(stored) = &self.stored else {
            record.claims.remove(&key);
            return;
        };
        if let Some(claim) = record.claims.get_mut(&key) {
            claim.stored = Some(stored.clone());
        }
    }
}

fn verdict(wish: &Wish, claim: &Claim, fence: u64) -> ClaimVerdict {
    if let Some(stored) = &claim.stored {
        return ClaimVerdict::Ran(stored.clone());
    }
    if claim.attempt == wish.attempt {
        return ClaimVerdict::Yours { fence };
    }
    ClaimVerdict::Running
}

fn answer(wish: &Wish, verdict: ClaimVerdict) -> Effect {
    Effect::Answer { to: wish.from.clone(), key: wish.key, attempt: wish.attempt, verdict }
}

fn unavailable(to: id::Router, key: id::Key, attempt: id::Attempt) -> Effect {
    Effect::Answer { to, key, attempt, verdict: ClaimVerdict::Unavailable { retry_after: RETRY_UNAVAILABLE } }
}
