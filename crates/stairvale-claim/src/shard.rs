//! The owner of a shard, which batches claims into compare-and-swap writes of the shard's record, and recognises its
//! own claims in the record after the answer to a write was lost.
//!
//! Several routers may act as a shard's owner at the same time. Only the compare-and-swap ensures correctness; having
//! one owner merely makes the batches larger.

use std::{collections::HashMap, time::Duration};

use stairvale_types::{Moment, id};
use stairvale_wire::{ClaimVerdict, StoredAnswer};

pub use crate::effect::{Effect, Reply};
use crate::{
    Record,
    record::{CLAIM_RETENTION_MS, Claim, Claims, MAX_BODY_BYTES, MAX_RECORD_BYTES, from_text},
    seal::Seal,
    wish::{PendingClaim, Settlement},
};

/// The delay after which callers should retry a request whose claim was refused.
const RETRY_AFTER: Duration = Duration::from_secs(2);
/// Limits the time that a claim request waits for the store. Later it is answered that nothing ran.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// The number of compare-and-swap conflicts in a row beyond which all waiting claim requests are refused, since other
/// owners of the shard write faster.
const MAX_CONFLICTS: u32 = 8;
/// Delay before the next call to a store that didn't answer.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Limits the number of outcomes that wait for a write. Further ones are dropped without a confirmation, so their
/// entries report them again later.
const MAX_SETTLEMENTS: usize = 10_000;

/// Minimum time between two writes. Claims that arrive in between are batched into the second; the first claim after a
/// longer interval isn't delayed.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(40);
/// Maximum time that outcomes wait for a write. No caller waits for them, so they are written together with the next
/// claim, or after this time.
const MAX_SETTLEMENT_DELAY: Duration = Duration::from_millis(400);

/// A call to the store whose reply is awaited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    /// The record is being read.
    Reading,
    /// Segments are being read; this many haven't arrived yet.
    Fetching(usize),
    /// A new segment is being written.
    Sealing,
    /// The record is being written.
    Writing,
}

/// Counters of a shard's owner since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Claim requests received.
    pub claims: u64,
    /// Writes of the record that were sent to the store.
    pub writes: u64,
    /// Bytes of the records and segments that were sent to the store.
    pub written_bytes: u64,
    /// Segments that were sent to the store.
    pub sealed: u64,
    /// Claims found in the record by the read that follows a write whose answer was lost.
    pub recognised: u64,
    /// Claim requests that were answered with [`ClaimVerdict::Unavailable`].
    pub unavailable: u64,
    /// Violations of invariants; any number but zero shows a bug.
    pub violations: u64,
}

/// The owner of a shard, as a state machine that performs no I/O itself.
#[derive(Debug, Default)]
pub struct Shard {
    /// The cached record, and the revision that the store's record had when it was read or written last. During a
    /// write: the new record, and the revision that it replaces.
    cached: Option<(Record, u64)>,
    /// The cached claims of segments, by the segment's name.
    sealed: HashMap<String, Claims>,
    /// A segment that is being created, or was created and is added to the record with the next write.
    seal: Option<Seal>,
    last_write: Option<Moment>,
    /// The call to the store that is in flight.
    call: Option<Call>,
    /// Claim requests that haven't been answered.
    pending: Vec<PendingClaim>,
    /// Outcomes that haven't been stored.
    settlements: Vec<Settlement>,
    /// No call to the store is made before this time, since it didn't answer the last one.
    pause_until: Moment,
    /// Compare-and-swap conflicts in a row.
    conflicts: u32,
    /// Whether the answer to the last write was lost, so that the record may contain its claims.
    in_doubt: bool,
    counts: Counts,
}

impl Shard {
    /// Creates an owner that hasn't read the shard's record.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The owner's counters since its start.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Whether no claim request, outcome or call to the store is pending.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.settlements.is_empty() && self.call.is_none()
    }

    /// Handles an entry's request to claim a key for an attempt.
    pub fn claim(
        &mut self,
        now: Moment,
        now_ms: u64,
        from: id::Router,
        key: id::Key,
        attempt: id::Attempt,
    ) -> Vec<Effect> {
        self.counts.claims += 1;
        if now < self.pause_until && self.cached.is_none() {
            self.counts.unavailable += 1;
            return vec![unavailable(from, key, attempt)];
        }
        if let Some(stored) = self.waiting_answer(key) {
            return vec![Effect::Answer { to: from, key, attempt, verdict: ClaimVerdict::Ran(stored) }];
        }
        let duplicate = self.pending.iter().any(|claim| claim.attempt == attempt && claim.key == key);
        if !duplicate {
            self.pending.push(PendingClaim { key, attempt, from, since: now, write_sent: false });
        }
        self.advance(now, now_ms)
    }

    /// Handles an entry's report of the outcome of a claimed request. `None` as `stored` releases the claim.
    pub fn settle(
        &mut self,
        now: Moment,
        now_ms: u64,
        from: &id::Router,
        key: id::Key,
        attempt: id::Attempt,
        stored: Option<StoredAnswer>,
    ) -> Vec<Effect> {
        let duplicate =
            self.settlements.iter().any(|settlement| settlement.attempt == attempt && settlement.key == key);
        // The entry returns an answer to its caller only after the shard's owner has it, so that a repeat of the
        // request at any router receives the same answer.
        let noted = stored.is_some().then(|| Effect::Noted { to: from.clone(), attempt });
        if duplicate {
            return noted.into_iter().collect();
        }
        if self.settlements.len() >= MAX_SETTLEMENTS {
            // The entry repeats its report until it receives the confirmation that the outcome is stored.
            return Vec::new();
        }
        let limit_body = |mut stored: StoredAnswer| {
            stored.body = stored.body.filter(|body| body.len() <= MAX_BODY_BYTES);
            stored
        };
        let stored = stored.map(limit_body);
        self.settlements.push(Settlement { key, attempt, stored, from: Some(from.clone()), since: now });
        let mut effects: Vec<_> = noted.into_iter().collect();
        effects.extend(self.advance(now, now_ms));
        effects
    }

    /// Handles the result of a call to the store.
    pub fn reply(&mut self, now: Moment, now_ms: u64, reply: Reply) -> Vec<Effect> {
        if let Reply::Segment { id, text } = reply {
            return self.segment_read(now, now_ms, id, text);
        }
        let call = self.call.take();
        match (call, reply) {
            (Some(Call::Reading), Reply::Read(read)) => self.record_read(now, now_ms, read),
            (Some(Call::Writing), Reply::Written(revision)) => self.record_written(now, now_ms, revision),
            (Some(Call::Sealing), Reply::SegmentWritten) => self.advance(now, now_ms),
            (Some(Call::Writing), Reply::Conflict) => {
                self.drop_cached_record();
                self.conflicts += 1;
                self.advance(now, now_ms)
            }
            (Some(call), Reply::Lost) => self.call_lost(now, call),
            (Some(_) | None, _) => {
                self.drop_cached_record();
                Vec::new()
            }
        }
    }

    /// Handles the passing of time; to be called regularly.
    pub fn tick(&mut self, now: Moment, now_ms: u64) -> Vec<Effect> {
        let mut effects = self.refuse_overdue(now);
        effects.extend(self.advance(now, now_ms));
        effects
    }

    // ------------------------------------------------------------------------

    /// The answer to a request with this key, if its outcome waits to be stored.
    fn waiting_answer(&self, key: id::Key) -> Option<StoredAnswer> {
        let settlement = self.settlements.iter().find(|settlement| settlement.key == key)?;
        settlement.stored.clone()
    }

    /// Makes the next call to the store, if one is needed and possible, and answers the claim requests that the cached
    /// record answers.
    fn advance(&mut self, now: Moment, now_ms: u64) -> Vec<Effect> {
        if self.call.is_some() || (self.pending.is_empty() && self.settlements.is_empty()) {
            return Vec::new();
        }
        if now < self.pause_until {
            return Vec::new();
        }
        if self.conflicts > MAX_CONFLICTS {
            return self.refuse_all();
        }
        let Some((record, revision)) = self.cached.clone() else {
            self.call = Some(Call::Reading);
            return vec![Effect::Read];
        };
        let missing: Vec<_> = record.segments.iter().filter(|s| !self.sealed.contains_key(&s.id)).collect();
        if !missing.is_empty() {
            self.call = Some(Call::Fetching(missing.len()));
            return missing.iter().map(|segment| Effect::ReadSegment { id: segment.id.clone() }).collect();
        }
        let mut effects = self.answer_recorded(&record);
        if self.is_write_due(now) {
            effects.extend(self.seal_or_write(now, now_ms, record, revision));
        }
        effects
    }

    /// Whether enough time has passed since the last write, and a claim request or an outcome is due to be written.
    fn is_write_due(&self, now: Moment) -> bool {
        let interval_passed = self.last_write.is_none_or(|at| now.since(at) >= MIN_WRITE_INTERVAL);
        if !self.pending.is_empty() {
            return interval_passed;
        }
        let oldest = self.settlements.iter().map(|settlement| settlement.since).min();
        oldest.is_some_and(|since| now.since(since) >= MAX_SETTLEMENT_DELAY) && interval_passed
    }

    /// Writes a new segment if one is due and not created yet, otherwise the record.
    fn seal_or_write(&mut self, now: Moment, now_ms: u64, record: Record, revision: u64) -> Vec<Effect> {
        if self.seal.is_none() {
            self.seal = Seal::from_record(&record, &self.sealed, now_ms);
            if let Some(seal) = &self.seal {
                self.call = Some(Call::Sealing);
                self.counts.sealed += 1;
                self.counts.written_bytes += seal.text.len() as u64;
                return vec![Effect::WriteSegment { id: seal.segment.id.clone(), text: seal.text.clone() }];
            }
        }
        self.write(now, now_ms, record, revision)
    }

    /// Answers the claim requests whose key already has a claim in the record or in a segment.
    fn answer_recorded(&mut self, record: &Record) -> Vec<Effect> {
        let mut effects = Vec::new();
        let requests = std::mem::take(&mut self.pending);
        for request in requests {
            let sealed = || self.sealed.values().find_map(|claims| claims.get(&request.key));
            let Some(claim) = record.get(request.key).or_else(sealed) else {
                self.pending.push(request);
                continue;
            };
            let verdict = request.verdict(claim, record.fence);
            effects.push(request.answer(verdict));
        }
        effects
    }

    /// Writes the record with all pending changes, if there are any.
    fn write(&mut self, now: Moment, now_ms: u64, mut record: Record, revision: u64) -> Vec<Effect> {
        let before = record.clone();
        record.expire(now_ms);
        if let Some(seal) = &self.seal {
            seal.apply(&mut record);
        }
        for settlement in &self.settlements {
            settlement.apply(&mut record);
        }
        for request in &self.pending {
            // Of two requests for one key the first gets the claim; the second is answered from the record after the
            // write.
            let claim = Claim { attempt: request.attempt, at_ms: now_ms, stored: None };
            record.claims.entry(request.key).or_insert(claim);
        }
        if record == before {
            return self.confirm_settled(&record);
        }
        record.fence += 1;
        let text = record.to_text();
        if text.len() > MAX_RECORD_BYTES && !self.pending.is_empty() {
            return self.refuse_all();
        }
        self.counts.writes += 1;
        self.counts.written_bytes += text.len() as u64;
        self.call = Some(Call::Writing);
        self.last_write = Some(now);
        for request in &mut self.pending {
            request.write_sent = true;
        }
        // Nothing is answered from this record before the store has confirmed the write.
        self.cached = Some((record, revision));
        vec![Effect::Write { text, revision }]
    }

    /// Handles a write of the record that took effect.
    fn record_written(&mut self, now: Moment, now_ms: u64, revision: u64) -> Vec<Effect> {
        self.conflicts = 0;
        self.in_doubt = false;
        let Some((record, old)) = self.cached.take() else {
            return Vec::new();
        };
        if revision <= old {
            self.counts.violations += 1;
        }
        if let Some(seal) = self.seal.take() {
            self.sealed.insert(seal.segment.id, seal.claims);
        }
        self.sealed.retain(|id, _| record.segments.iter().any(|segment| &segment.id == id));
        let mut effects = self.confirm_settled(&record);
        effects.extend(self.answer_recorded(&record));
        self.cached = Some((record, revision));
        effects.extend(self.advance(now, now_ms));
        effects
    }

    /// Removes the outcomes that the record contains, or that no longer apply to it, and confirms them to their
    /// entries.
    fn confirm_settled(&mut self, record: &Record) -> Vec<Effect> {
        let done: Vec<_> = self.settlements.extract_if(.., |settlement| !settlement.applies(record)).collect();
        let confirmations = done.into_iter().filter_map(|settlement| {
            let Settlement { key, attempt, from, .. } = settlement;
            Some(Effect::Settled { to: from?, key, attempt })
        });
        confirmations.collect()
    }

    /// Handles a read of the record.
    fn record_read(&mut self, now: Moment, now_ms: u64, read: Option<(String, u64)>) -> Vec<Effect> {
        let parsed = match read {
            None => Some((Record::default(), 0)),
            Some((text, revision)) => Record::parse(&text).ok().map(|record| (record, revision)),
        };
        let Some((record, revision)) = parsed else {
            // A value that isn't a valid record must not be overwritten, since it can't be determined which requests it
            // recorded.
            return self.refuse_all();
        };
        if self.in_doubt {
            let own =
                |request: &&PendingClaim| record.get(request.key).is_some_and(|claim| claim.attempt == request.attempt);
            self.counts.recognised += self.pending.iter().filter(own).count() as u64;
            self.in_doubt = false;
        }
        self.cached = Some((record, revision));
        self.advance(now, now_ms)
    }

    /// Handles a read of a segment, including one that doesn't exist.
    fn segment_read(&mut self, now: Moment, now_ms: u64, id: String, text: Option<String>) -> Vec<Effect> {
        let Some(Call::Fetching(left)) = self.call else {
            return Vec::new();
        };
        self.call = if left > 1 { Some(Call::Fetching(left - 1)) } else { None };
        let claims = match text {
            Some(text) => from_text(&text).ok(),
            None => self.is_expired(&id, now_ms).then(Claims::default),
        };
        let Some(claims) = claims else {
            // It can't be determined which requests the segment recorded, so refusing claims is safer than granting
            // them.
            self.call = None;
            self.drop_cached_record();
            self.pause_until = now + STORE_RETRY_DELAY;
            return self.refuse_all();
        };
        self.sealed.insert(id, claims);
        self.advance(now, now_ms)
    }

    /// Whether all claims of a segment are older than [`CLAIM_RETENTION_MS`], or the cached record doesn't refer to it.
    fn is_expired(&self, id: &str, now_ms: u64) -> bool {
        let segments = self.cached.iter().flat_map(|(record, _)| &record.segments);
        let segment = segments.into_iter().find(|segment| segment.id == id);
        segment.is_none_or(|segment| segment.newest_ms.saturating_add(CLAIM_RETENTION_MS) <= now_ms)
    }

    fn drop_cached_record(&mut self) {
        self.cached = None;
        self.seal = None;
    }

    /// Handles a call that the store didn't answer.
    fn call_lost(&mut self, now: Moment, call: Call) -> Vec<Effect> {
        self.drop_cached_record();
        self.in_doubt |= call == Call::Writing;
        self.pause_until = now + STORE_RETRY_DELAY;
        if call != Call::Writing && !self.in_doubt {
            // No write for the waiting requests can have taken effect, so they are refused at once.
            return self.refuse_all();
        }
        self.refuse_overdue(now)
    }

    /// Answers requests that have waited for [`CLAIM_TIMEOUT`] that nothing ran under their attempt. Their claims are
    /// released when the store answers again.
    fn refuse_overdue(&mut self, now: Moment) -> Vec<Effect> {
        let overdue: Vec<_> =
            self.pending.extract_if(.., |request| now.since(request.since) >= CLAIM_TIMEOUT).collect();
        overdue.into_iter().map(|request| self.refuse(request)).collect()
    }

    fn refuse_all(&mut self) -> Vec<Effect> {
        self.conflicts = 0;
        let requests = std::mem::take(&mut self.pending);
        requests.into_iter().map(|request| self.refuse(request)).collect()
    }

    /// Answers a request that nothing ran, and releases its claim if a write may have stored it.
    fn refuse(&mut self, request: PendingClaim) -> Effect {
        self.counts.unavailable += 1;
        if request.write_sent && self.settlements.len() < MAX_SETTLEMENTS {
            // The write may have taken effect, so the claim is released to let the caller's next try run. An entry
            // requests a claim once per attempt and sends nothing after a refusal, so nothing can run under this claim.
            let (key, attempt, since) = (request.key, request.attempt, request.since);
            self.settlements.push(Settlement { key, attempt, stored: None, from: None, since });
        }
        unavailable(request.from, request.key, request.attempt)
    }
}

/// The answer to a claim request that is refused.
fn unavailable(to: id::Router, key: id::Key, attempt: id::Attempt) -> Effect {
    Effect::Answer { to, key, attempt, verdict: ClaimVerdict::Unavailable { retry_after: RETRY_AFTER } }
}
