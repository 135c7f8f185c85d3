//! One shard's keeper: it batches claims into compare-and-swap writes and recognises its own after a lost answer.
//!
//! Several routers may believe to be a shard's keeper; the compare-and-swap alone decides. Keeping it at one router only
//! makes the batches larger.

use std::{collections::HashMap, time::Duration};

use stairvale_types::{Moment, id};
use stairvale_wire::{ClaimVerdict, Stored};

pub use crate::effect::{Effect, Reply};
use crate::{
    Record,
    record::{Claim, Claims, KEEP_MS, MAX_BODY, MAX_RECORD, from_text},
    seal::Seal,
    wish::{Settlement, Wish},
};

/// When to come back if the store can't be reached.
const RETRY_UNAVAILABLE: Duration = Duration::from_secs(2);
/// A claim that couldn't be settled within this time is told that nothing ran.
const GIVE_UP: Duration = Duration::from_secs(2);
/// Losing this many compare-and-swaps in a row means that others are faster; the claims are refused.
const MAX_LOST: u32 = 8;
/// After the store didn't answer it is left alone for this long.
const PAUSE: Duration = Duration::from_millis(200);
/// Settlements that wait for a write at the most; beyond this entries tell theirs again later.
const MAX_SETTLEMENTS: usize = 10_000;

/// The least time between two writes for claims: what comes in meanwhile goes out together. The first doesn't wait.
const LINGER: Duration = Duration::from_millis(40);
/// Nobody waits for a settlement, so it goes out with the next claim, or after this long.
const SETTLE_LINGER: Duration = Duration::from_millis(400);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Reading,
    /// So many segments are still to come.
    Fetching(usize),
    Sealing,
    Writing,
}

/// What a shard counted since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Claims asked for.
    pub claims: u64,
    /// Writes of the record sent.
    pub writes: u64,
    /// Their bytes, and those of segments.
    pub written_bytes: u64,
    /// Segments sealed.
    pub sealed: u64,
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
    sealed: HashMap<String, Claims>,
    /// A segment that was created and goes into the record with the next write.
    seal: Option<Seal>,
    last_write: Option<Moment>,
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
        if let Some(stored) = self.settled(key) {
            return vec![Effect::Answer { to: from, key, attempt, verdict: ClaimVerdict::Ran(stored) }];
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
        from: &id::Router,
        key: id::Key,
        attempt: id::Attempt,
        stored: Option<Stored>,
    ) -> Vec<Effect> {
        let doubled = self.settlements.iter().any(|settlement| settlement.attempt == attempt && settlement.key == key);
        // An answer is handed out once a keeper knows of it, so that its repeat meets it at any router.
        let noted = stored.is_some().then(|| Effect::Noted { to: from.clone(), attempt });
        if doubled {
            return noted.into_iter().collect();
        }
        if self.settlements.len() >= MAX_SETTLEMENTS {
            // The entry tells it again until it hears that it is kept.
            return Vec::new();
        }
        let trim = |mut stored: Stored| {
            stored.body = stored.body.filter(|body| body.len() <= MAX_BODY);
            stored
        };
        let stored = stored.map(trim);
        self.settlements.push(Settlement { key, attempt, stored, from: Some(from.clone()), since: now });
        let mut effects: Vec<_> = noted.into_iter().collect();
        effects.extend(self.advance(now, now_ms));
        effects
    }

    /// The store answered.
    pub fn reply(&mut self, now: Moment, now_ms: u64, reply: Reply) -> Vec<Effect> {
        if let Reply::Segment { id, text } = reply {
            return self.fetched(now, now_ms, id, text);
        }
        let call = self.call.take();
        match (call, reply) {
            (Some(Call::Reading), Reply::Read(read)) => self.read(now, now_ms, read),
            (Some(Call::Writing), Reply::Written(revision)) => self.written(now, now_ms, revision),
            (Some(Call::Sealing), Reply::SegmentWritten) => self.advance(now, now_ms),
            (Some(Call::Writing), Reply::Conflict) => {
                self.forget_known();
                self.lost += 1;
                self.advance(now, now_ms)
            }
            (Some(call), Reply::Lost) => self.unanswered(now, call),
            (Some(_) | None, _) => {
                self.forget_known();
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

    /// The answer of a key that ran, if it waits here to be written down.
    fn settled(&self, key: id::Key) -> Option<Stored> {
        let settlement = self.settlements.iter().find(|settlement| settlement.key == key)?;
        settlement.stored.clone()
    }

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
        let missing: Vec<_> = record.segments.iter().filter(|s| !self.sealed.contains_key(&s.id)).collect();
        if !missing.is_empty() {
            self.call = Some(Call::Fetching(missing.len()));
            return missing.iter().map(|segment| Effect::ReadSegment { id: segment.id.clone() }).collect();
        }
        let mut effects = self.answer_known(&record);
        if self.is_write_due(now) {
            effects.extend(self.seal_or_write(now, now_ms, record, revision));
        }
        effects
    }

    fn is_write_due(&self, now: Moment) -> bool {
        let lingered = self.last_write.is_none_or(|at| now.since(at) >= LINGER);
        if !self.wishes.is_empty() {
            return lingered;
        }
        let oldest = self.settlements.iter().map(|settlement| settlement.since).min();
        oldest.is_some_and(|since| now.since(since) >= SETTLE_LINGER) && lingered
    }

    fn seal_or_write(&mut self, now: Moment, now_ms: u64, record: Record, revision: u64) -> Vec<Effect> {
        if self.seal.is_none() {
            self.seal = Seal::of(&record, &self.sealed, now_ms);
            if let Some(seal) = &self.seal {
                self.call = Some(Call::Sealing);
                self.counts.sealed += 1;
                self.counts.written_bytes += seal.text.len() as u64;
                return vec![Effect::WriteSegment { id: seal.segment.id.clone(), text: seal.text.clone() }];
            }
        }
        self.write(now, now_ms, record, revision)
    }

    /// Answers wishes whose key the record or a segment has already.
    fn answer_known(&mut self, record: &Record) -> Vec<Effect> {
        let mut effects = Vec::new();
        let wishes = std::mem::take(&mut self.wishes);
        for wish in wishes {
            let sealed = || self.sealed.values().find_map(|claims| claims.get(&wish.key));
            let Some(claim) = record.get(wish.key).or_else(sealed) else {
                self.wishes.push(wish);
                continue;
            };
            let verdict = wish.verdict(claim, record.fence);
            effects.push(wish.answer(verdict));
        }
        effects
    }

    fn write(&mut self, now: Moment, now_ms: u64, mut record: Record, revision: u64) -> Vec<Effect> {
        let before = record.clone();
        record.expire(now_ms);
        if let Some(seal) = &self.seal {
            seal.apply(&mut record);
        }
        for settlement in &self.settlements {
            settlement.apply(&mut record);
        }
        for wish in &self.wishes {
            // The first of two wishes for one key gets it; the second is answered from the record after the write.
            let claim = Claim { attempt: wish.attempt, at_ms: now_ms, stored: None };
            record.claims.entry(wish.key).or_insert(claim);
        }
        if record == before {
            return self.drop_settled(&record);
        }
        record.fence += 1;
        let text = record.to_text();
        if text.len() > MAX_RECORD && !self.wishes.is_empty() {
            return self.refuse_all();
        }
        self.counts.writes += 1;
        self.counts.written_bytes += text.len() as u64;
        self.call = Some(Call::Writing);
        self.last_write = Some(now);
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
        if let Some(seal) = self.seal.take() {
            self.sealed.insert(seal.segment.id, seal.claims);
        }
        self.sealed.retain(|id, _| record.segments.iter().any(|segment| &segment.id == id));
        let mut effects = self.drop_settled(&record);
        effects.extend(self.answer_known(&record));
        self.known = Some((record, revision));
        effects.extend(self.advance(now, now_ms));
        effects
    }

    /// Settlements that the record has, or that no longer concern it, are done with.
    fn drop_settled(&mut self, record: &Record) -> Vec<Effect> {
        let done: Vec<_> = self.settlements.extract_if(.., |settlement| !settlement.applies(record)).collect();
        let told = done.into_iter().filter_map(|settlement| {
            let Settlement { key, attempt, from, .. } = settlement;
            Some(Effect::Settled { to: from?, key, attempt })
        });
        told.collect()
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

    /// A segment came in, or it turned out that there is none.
    fn fetched(&mut self, now: Moment, now_ms: u64, id: String, text: Option<String>) -> Vec<Effect> {
        let Some(Call::Fetching(left)) = self.call else {
            return Vec::new();
        };
        self.call = if left > 1 { Some(Call::Fetching(left - 1)) } else { None };
        let claims = match text {
            Some(text) => from_text(&text).ok(),
            None => self.lapsed(&id, now_ms).then(Claims::default),
        };
        let Some(claims) = claims else {
            // What it said has run can't be told any more; better no answer than a wrong one.
            self.call = None;
            self.forget_known();
            self.pause_until = now + PAUSE;
            return self.refuse_all();
        };
        self.sealed.insert(id, claims);
        self.advance(now, now_ms)
    }

    /// Whether all claims of a segment are kept no longer.
    fn lapsed(&self, id: &str, now_ms: u64) -> bool {
        let segments = self.known.iter().flat_map(|(record, _)| &record.segments);
        let segment = segments.into_iter().find(|segment| segment.id == id);
        segment.is_none_or(|segment| segment.newest_ms.saturating_add(KEEP_MS) <= now_ms)
    }

    fn forget_known(&mut self) {
        self.known = None;
        self.seal = None;
    }

    fn unanswered(&mut self, now: Moment, call: Call) -> Vec<Effect> {
        self.forget_known();
        self.in_doubt |= call == Call::Writing;
        self.pause_until = now + PAUSE;
        if call != Call::Writing && !self.in_doubt {
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
            let (key, attempt, since) = (wish.key, wish.attempt, wish.since);
            self.settlements.push(Settlement { key, attempt, stored: None, from: None, since });
        }
        unavailable(wish.from, wish.key, wish.attempt)
    }
}

fn unavailable(to: id::Router, key: id::Key, attempt: id::Attempt) -> Effect {
    Effect::Answer { to, key, attempt, verdict: ClaimVerdict::Unavailable { retry_after: RETRY_UNAVAILABLE } }
}
