//! Runs one or two owners of a shard against a simulated store that may lose answers: no key may be claimed twice, and
//! no recorded outcome may be lost.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::{collections::HashMap, time::Duration};

use quickcheck::{QuickCheck, TestResult};
use stairvale_claim::{
    Record, Shard,
    shard::{Effect, Reply},
};
use stairvale_types::{Moment, id};
use stairvale_wire::{ClaimVerdict, StoredAnswer};

/// A simulated store with one record and its segments. The bytes of `losses` determine which answers are lost.
#[derive(Default)]
struct Store {
    record: Option<(String, u64)>,
    segments: HashMap<String, String>,
    losses: Vec<u8>,
    calls: usize,
}

impl Store {
    fn loses_answer(&mut self) -> bool {
        self.calls += 1;
        !self.losses.is_empty() && self.losses[self.calls % self.losses.len()].is_multiple_of(4)
    }

    fn call(&mut self, effect: &Effect) -> Option<Reply> {
        let reply = match effect {
            Effect::Read => Reply::Read(self.record.clone()),
            Effect::Write { text, revision } => {
                let found = self.record.as_ref().map_or(0, |(_, revision)| *revision);
                if found == *revision {
                    self.record = Some((text.clone(), found + 1));
                    Reply::Written(found + 1)
                } else {
                    Reply::Conflict
                }
            }
            Effect::ReadSegment { id } => Reply::Segment { id: id.clone(), text: self.segments.get(id).cloned() },
            Effect::WriteSegment { id, text } => {
                self.segments.insert(id.clone(), text.clone());
                Reply::SegmentWritten
            }
            Effect::Settled { .. } | Effect::Noted { .. } | Effect::Answer { .. } => return None,
        };
        if self.loses_answer() { Some(Reply::Lost) } else { Some(reply) }
    }
}

/// Owners of one shard with their store, and the answers that entries received.
struct Harness {
    store: Store,
    owners: Vec<Shard>,
    now: Moment,
    answers: HashMap<id::Attempt, ClaimVerdict>,
    settled: Vec<id::Attempt>,
}

const NOW_MS: u64 = 1_700_000_000_000;

impl Harness {
    fn new(owners: usize, losses: Vec<u8>) -> Self {
        Self {
            store: Store { losses, ..Store::default() },
            owners: (0..owners).map(|_| Shard::new()).collect(),
            now: Moment::from_millis(1_000),
            answers: HashMap::new(),
            settled: Vec::new(),
        }
    }

    fn entry() -> id::Router {
        "entry".parse().unwrap()
    }

    /// Performs the effects of an owner, and those that follow from the store's replies.
    fn effects(&mut self, owner: usize, effects: Vec<Effect>) {
        for effect in effects {
            match &effect {
                Effect::Answer { attempt, verdict, .. } => {
                    let before = self.answers.insert(*attempt, verdict.clone());
                    assert_eq!(before, None, "{attempt} was answered twice");
                    continue;
                }
                Effect::Settled { attempt, .. } => {
                    self.settled.push(*attempt);
                    continue;
                }
                Effect::Noted { .. } => continue,
                _ => {}
            }
            let reply = self.store.call(&effect).unwrap();
            let now_ms = self.now_ms();
            let more = self.owners[owner].reply(self.now, now_ms, reply);
            self.effects(owner, more);
        }
    }

    fn now_ms(&self) -> u64 {
        NOW_MS + self.now.millis()
    }

    fn claim(&mut self, owner: usize, key: u128, attempt: u128) {
        let now_ms = self.now_ms();
        let effects = self.owners[owner].claim(self.now, now_ms, Self::entry(), id::Key(key), id::Attempt(attempt));
        self.effects(owner, effects);
    }

    fn settle(&mut self, owner: usize, key: u128, attempt: u128) {
        let stored = StoredAnswer {
            print: id::Print(1),
            status: 200,
            content_type: "t".into(),
            body: Some(format!("answer {attempt}")),
        };
        let (key, attempt, now_ms) = (id::Key(key), id::Attempt(attempt), self.now_ms());
        let effects = self.owners[owner].settle(self.now, now_ms, &Self::entry(), key, attempt, Some(stored));
        self.effects(owner, effects);
    }

    /// Lets time pass in steps of 10 ms.
    fn pass(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + Duration::from_millis(10);
            for owner in 0..self.owners.len() {
                let now_ms = self.now_ms();
                let effects = self.owners[owner].tick(self.now, now_ms);
                self.effects(owner, effects);
            }
        }
    }

    fn verdict(&self, attempt: u128) -> &ClaimVerdict {
        &self.answers[&id::Attempt(attempt)]
    }

    fn is_yours(&self, attempt: u128) -> bool {
        matches!(self.answers.get(&id::Attempt(attempt)), Some(ClaimVerdict::Yours { .. }))
    }
}

#[test]
fn the_first_attempt_gets_the_claim_and_a_repeat_gets_the_answer() {
    let mut harness = Harness::new(1, Vec::new());
    harness.claim(0, 7, 1);
    assert!(harness.is_yours(1));
    harness.claim(0, 7, 2);
    assert_eq!(harness.verdict(2), &ClaimVerdict::Running);
    harness.settle(0, 7, 1);
    harness.pass(Duration::from_secs(1));
    assert_eq!(harness.settled, [id::Attempt(1)]);
    harness.claim(0, 7, 3);
    assert!(matches!(harness.verdict(3), ClaimVerdict::Ran(stored) if stored.body.as_deref() == Some("answer 1")));
}

#[test]
fn a_repeat_gets_the_answer_before_it_is_stored() {
    let mut harness = Harness::new(1, Vec::new());
    harness.claim(0, 7, 1);
    harness.settle(0, 7, 1);
    harness.claim(0, 7, 2);
    assert!(matches!(harness.verdict(2), ClaimVerdict::Ran(_)), "{:?}", harness.verdict(2));
}

#[test]
fn two_owners_of_one_shard_cannot_both_claim() {
    let mut harness = Harness::new(2, Vec::new());
    harness.claim(0, 1, 10);
    harness.claim(1, 1, 11);
    harness.pass(Duration::from_secs(1));
    assert!(harness.is_yours(10) ^ harness.is_yours(11));
}

#[test]
fn a_released_key_can_be_claimed_again() {
    let mut harness = Harness::new(1, Vec::new());
    harness.claim(0, 5, 1);
    let now_ms = harness.now_ms();
    let effects = harness.owners[0].settle(harness.now, now_ms, &Harness::entry(), id::Key(5), id::Attempt(1), None);
    harness.effects(0, effects);
    harness.pass(Duration::from_secs(1));
    harness.claim(0, 5, 2);
    harness.pass(Duration::from_secs(1));
    assert!(harness.is_yours(2));
}

#[test]
fn sealed_claims_are_recognised_by_a_new_owner() {
    let mut harness = Harness::new(2, Vec::new());
    const MANY: u128 = 5_000;
    for key in 0..MANY {
        harness.claim(0, key, key + 1);
        harness.settle(0, key, key + 1);
        harness.pass(Duration::from_millis(40));
    }
    harness.pass(Duration::from_secs(1));
    let record = Record::parse(&harness.store.record.as_ref().unwrap().0).unwrap();
    assert!(record.claims.len() < 64, "{} claims in the record", record.claims.len());
    assert!(record.segments.len() < 48, "{} segments", record.segments.len());
    assert!(record.segments.iter().any(|segment| segment.level == 2), "no segment was merged twice");
    for key in (0..MANY).step_by(97) {
        harness.claim(1, key, key + 1_000_000);
        harness.pass(Duration::from_millis(50));
        assert!(matches!(harness.verdict(key + 1_000_000), ClaimVerdict::Ran(_)), "the outcome of key {key} was lost");
    }
}

#[test]
fn a_missing_segment_refuses_claims() {
    let mut harness = Harness::new(2, Vec::new());
    for key in 0..40 {
        harness.claim(0, key, key + 1);
        harness.settle(0, key, key + 1);
        harness.pass(Duration::from_millis(500));
    }
    assert!(!harness.store.segments.is_empty());
    harness.store.segments.clear();
    harness.claim(1, 3, 900);
    harness.pass(Duration::from_secs(3));
    assert!(matches!(harness.verdict(900), ClaimVerdict::Unavailable { .. }));
}

#[test]
fn an_invalid_record_is_not_overwritten() {
    let mut harness = Harness::new(1, Vec::new());
    harness.store.record = Some(("garbage".into(), 9));
    harness.claim(0, 3, 1);
    assert!(matches!(harness.verdict(1), ClaimVerdict::Unavailable { .. }));
    assert_eq!(harness.store.record.as_ref().unwrap().0, "garbage");
}

#[test]
fn a_claim_is_refused_at_once_while_the_store_is_down() {
    let mut harness = Harness::new(1, vec![0]);
    harness.claim(0, 3, 1);
    assert!(
        matches!(harness.verdict(1), ClaimVerdict::Unavailable { .. }),
        "the claim must be refused before its time-out"
    );
}

/// Guards against releasing the claim of a running request: a duplicate of its claim request arrives while the record
/// is being read again, and is refused because that read is lost. The refusal must not release the claim that was
/// granted.
#[test]
fn refusing_a_duplicate_request_does_not_release_a_running_claim() {
    let (now, entry) = (Moment::from_millis(1_000), Harness::entry());
    let mut shard = Shard::new();
    shard.claim(now, NOW_MS, entry.clone(), id::Key(7), id::Attempt(1));
    let effects = shard.reply(now, NOW_MS, Reply::Read(None));
    let Some(Effect::Write { text, .. }) = effects.first() else {
        panic!("{effects:?}");
    };
    let record = text.clone();
    let effects = shard.reply(now, NOW_MS, Reply::Written(1));
    assert!(matches!(&effects[..], [Effect::Answer { verdict: ClaimVerdict::Yours { .. }, .. }]), "{effects:?}");
    // The write of another claim conflicts, so the record is read again; meanwhile a duplicate of the first request
    // arrives.
    let later = now + Duration::from_millis(100);
    shard.claim(later, NOW_MS, entry.clone(), id::Key(8), id::Attempt(2));
    assert_eq!(shard.reply(later, NOW_MS, Reply::Conflict), [Effect::Read]);
    shard.claim(later, NOW_MS, entry.clone(), id::Key(7), id::Attempt(1));
    let effects = shard.reply(later, NOW_MS, Reply::Lost);
    assert_eq!(effects.len(), 2, "both requests are refused: {effects:?}");
    // The store answers again. The next write must still contain the first attempt's claim.
    let recovered = now + Duration::from_secs(2);
    assert_eq!(shard.claim(recovered, NOW_MS, entry, id::Key(9), id::Attempt(3)), [Effect::Read]);
    let effects = shard.reply(recovered, NOW_MS, Reply::Read(Some((record, 1))));
    let Some(Effect::Write { text, .. }) = effects.first() else {
        panic!("{effects:?}");
    };
    let record = Record::parse(text).unwrap();
    assert_eq!(record.get(id::Key(7)).map(|claim| claim.attempt), Some(id::Attempt(1)));
}

#[test]
fn no_key_is_claimed_by_two_attempts() {
    fn at_most_one_claim(losses: Vec<u8>, moves: Vec<(u8, u8, bool)>) -> TestResult {
        let mut harness = Harness::new(2, losses);
        let mut attempt = 0;
        let mut requested: Vec<(u128, u128)> = Vec::new();
        for (owner, key, settles) in moves {
            attempt += 1;
            let owner = usize::from(owner) % 2;
            let key = u128::from(key) % 6;
            harness.claim(owner, key, attempt);
            requested.push((key, attempt));
            harness.pass(Duration::from_millis(30));
            if settles && harness.is_yours(attempt) {
                harness.settle(1 - owner, key, attempt);
            }
        }
        harness.store.losses.clear();
        harness.pass(Duration::from_secs(4));
        let violations: u64 = harness.owners.iter().map(|owner| owner.counts().violations).sum();
        let answered = requested.iter().all(|(_, attempt)| harness.answers.contains_key(&id::Attempt(*attempt)));
        let once = (0..6).all(|key| {
            let claimants =
                requested.iter().filter(|(requested, attempt)| *requested == key && harness.is_yours(*attempt));
            claimants.count() <= 1
        });
        TestResult::from_bool(once && answered && violations == 0)
    }
    QuickCheck::new().tests(300).quickcheck(at_most_one_claim as fn(Vec<u8>, Vec<(u8, u8, bool)>) -> TestResult);
}

#[test]
fn writes_grow_more_slowly_than_claims() {
    let writes = |claims_per_s: u128| {
        let mut harness = Harness::new(1, Vec::new());
        let gap = Duration::from_millis(10);
        let mut due = 0;
        for tick in 0..1_000_u128 {
            while due * 100 < tick * claims_per_s {
                harness.claim(0, due, due + 1);
                harness.settle(0, due, due + 1);
                due += 1;
            }
            harness.pass(gap);
        }
        (harness.owners[0].counts().writes, due)
    };
    let (slow, few) = writes(10);
    let (fast, many) = writes(400);
    assert!(many > few * 30);
    assert!(fast < slow * 3, "{fast} writes for {many} claims, {slow} for {few}");
}
