//! A shard's keepers against a store that loses answers: nothing is claimed twice, nothing that ran is forgotten.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::{collections::HashMap, time::Duration};

use quickcheck::{QuickCheck, TestResult};
use stairvale_claim::{
    Record, Shard,
    shard::{Effect, Reply},
};
use stairvale_types::{Moment, id};
use stairvale_wire::{ClaimVerdict, Stored};

/// The store's record and segments; it decides from a list of bytes which answers are lost.
#[derive(Default)]
struct Store {
    record: Option<(String, u64)>,
    segments: HashMap<String, String>,
    losses: Vec<u8>,
    calls: usize,
}

impl Store {
    fn loses(&mut self) -> bool {
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
        if self.loses() { Some(Reply::Lost) } else { Some(reply) }
    }
}

struct Bench {
    store: Store,
    keepers: Vec<Shard>,
    now: Moment,
    answers: HashMap<id::Attempt, ClaimVerdict>,
    settled: Vec<id::Attempt>,
}

const NOW_MS: u64 = 1_700_000_000_000;

impl Bench {
    fn new(keepers: usize, losses: Vec<u8>) -> Self {
        Self {
            store: Store { losses, ..Store::default() },
            keepers: (0..keepers).map(|_| Shard::new()).collect(),
            now: Moment::from_millis(1_000),
            answers: HashMap::new(),
            settled: Vec::new(),
        }
    }

    fn entry() -> id::Router {
        "entry".parse().unwrap()
    }

    fn effects(&mut self, keeper: usize, effects: Vec<Effect>) {
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
            let more = self.keepers[keeper].reply(self.now, now_ms, reply);
            self.effects(keeper, more);
        }
    }

    fn now_ms(&self) -> u64 {
        NOW_MS + self.now.millis()
    }

    fn claim(&mut self, keeper: usize, key: u128, attempt: u128) {
        let now_ms = self.now_ms();
        let effects = self.keepers[keeper].claim(self.now, now_ms, Self::entry(), id::Key(key), id::Attempt(attempt));
        self.effects(keeper, effects);
    }

    fn settle(&mut self, keeper: usize, key: u128, attempt: u128) {
        let stored = Stored {
            print: id::Print(1),
            status: 200,
            content_type: "t".into(),
            body: Some(format!("answer {attempt}")),
        };
        let (key, attempt, now_ms) = (id::Key(key), id::Attempt(attempt), self.now_ms());
        let effects = self.keepers[keeper].settle(self.now, now_ms, &Self::entry(), key, attempt, Some(stored));
        self.effects(keeper, effects);
    }

    fn pass(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + Duration::from_millis(10);
            for keeper in 0..self.keepers.len() {
                let now_ms = self.now_ms();
                let effects = self.keepers[keeper].tick(self.now, now_ms);
                self.effects(keeper, effects);
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
    let mut bench = Bench::new(1, Vec::new());
    bench.claim(0, 7, 1);
    assert!(bench.is_yours(1));
    bench.claim(0, 7, 2);
    assert_eq!(bench.verdict(2), &ClaimVerdict::Running);
    bench.settle(0, 7, 1);
    bench.pass(Duration::from_secs(1));
    assert_eq!(bench.settled, [id::Attempt(1)]);
    bench.claim(0, 7, 3);
    assert!(matches!(bench.verdict(3), ClaimVerdict::Ran(stored) if stored.body.as_deref() == Some("answer 1")));
}

#[test]
fn a_repeat_right_after_the_end_gets_the_answer_before_it_is_written_down() {
    let mut bench = Bench::new(1, Vec::new());
    bench.claim(0, 7, 1);
    bench.settle(0, 7, 1);
    bench.claim(0, 7, 2);
    assert!(matches!(bench.verdict(2), ClaimVerdict::Ran(_)), "{:?}", bench.verdict(2));
}

#[test]
fn two_keepers_of_one_shard_cannot_both_claim() {
    let mut bench = Bench::new(2, Vec::new());
    bench.claim(0, 1, 10);
    bench.claim(1, 1, 11);
    bench.pass(Duration::from_secs(1));
    assert!(bench.is_yours(10) ^ bench.is_yours(11));
}

#[test]
fn a_claim_given_back_can_be_claimed_again() {
    let mut bench = Bench::new(1, Vec::new());
    bench.claim(0, 5, 1);
    let now_ms = bench.now_ms();
    let effects = bench.keepers[0].settle(bench.now, now_ms, &Bench::entry(), id::Key(5), id::Attempt(1), None);
    bench.effects(0, effects);
    bench.pass(Duration::from_secs(1));
    bench.claim(0, 5, 2);
    bench.pass(Duration::from_secs(1));
    assert!(bench.is_yours(2));
}

#[test]
fn sealed_claims_are_still_known_also_to_a_new_keeper() {
    let mut bench = Bench::new(2, Vec::new());
    const MANY: u128 = 5_000;
    for key in 0..MANY {
        bench.claim(0, key, key + 1);
        bench.settle(0, key, key + 1);
        bench.pass(Duration::from_millis(40));
    }
    bench.pass(Duration::from_secs(1));
    let record = Record::parse(&bench.store.record.as_ref().unwrap().0).unwrap();
    assert!(record.claims.len() < 64, "{} claims in the record", record.claims.len());
    assert!(record.segments.len() < 48, "{} segments", record.segments.len());
    assert!(record.segments.iter().any(|segment| segment.level == 2), "nothing was merged twice");
    for key in (0..MANY).step_by(97) {
        bench.claim(1, key, key + 1_000_000);
        bench.pass(Duration::from_millis(50));
        assert!(matches!(bench.verdict(key + 1_000_000), ClaimVerdict::Ran(_)), "key {key} was forgotten");
    }
}

#[test]
fn a_missing_segment_means_no_answer_rather_than_a_wrong_one() {
    let mut bench = Bench::new(2, Vec::new());
    for key in 0..40 {
        bench.claim(0, key, key + 1);
        bench.settle(0, key, key + 1);
        bench.pass(Duration::from_millis(500));
    }
    assert!(!bench.store.segments.is_empty());
    bench.store.segments.clear();
    bench.claim(1, 3, 900);
    bench.pass(Duration::from_secs(3));
    assert!(matches!(bench.verdict(900), ClaimVerdict::Unavailable { .. }));
}

#[test]
fn a_value_that_is_no_record_is_not_overwritten() {
    let mut bench = Bench::new(1, Vec::new());
    bench.store.record = Some(("garbage".into(), 9));
    bench.claim(0, 3, 1);
    assert!(matches!(bench.verdict(1), ClaimVerdict::Unavailable { .. }));
    assert_eq!(bench.store.record.as_ref().unwrap().0, "garbage");
}

#[test]
fn with_the_store_down_a_claim_is_refused_at_once() {
    let mut bench = Bench::new(1, vec![0]);
    bench.claim(0, 3, 1);
    assert!(matches!(bench.verdict(1), ClaimVerdict::Unavailable { .. }), "no wait for a deadline");
}

#[test]
fn a_doubled_ask_that_is_refused_does_not_give_a_running_claim_back() {
    let (now, entry) = (Moment::from_millis(1_000), Bench::entry());
    let mut shard = Shard::new();
    shard.claim(now, NOW_MS, entry.clone(), id::Key(7), id::Attempt(1));
    let effects = shard.reply(now, NOW_MS, Reply::Read(None));
    let Some(Effect::Write { text, .. }) = effects.first() else {
        panic!("{effects:?}");
    };
    let record = text.clone();
    let effects = shard.reply(now, NOW_MS, Reply::Written(1));
    assert!(matches!(&effects[..], [Effect::Answer { verdict: ClaimVerdict::Yours { .. }, .. }]), "{effects:?}");
    // Another claim's write meets a conflict, so the record is read again; meanwhile a copy of the first ask comes.
    let later = now + Duration::from_millis(100);
    shard.claim(later, NOW_MS, entry.clone(), id::Key(8), id::Attempt(2));
    assert_eq!(shard.reply(later, NOW_MS, Reply::Conflict), [Effect::Read]);
    shard.claim(later, NOW_MS, entry.clone(), id::Key(7), id::Attempt(1));
    let effects = shard.reply(later, NOW_MS, Reply::Lost);
    assert_eq!(effects.len(), 2, "both are refused: {effects:?}");
    // The store is back. What was written for the first attempt must still stand after the next write.
    let back = now + Duration::from_secs(2);
    assert_eq!(shard.claim(back, NOW_MS, entry, id::Key(9), id::Attempt(3)), [Effect::Read]);
    let effects = shard.reply(back, NOW_MS, Reply::Read(Some((record, 1))));
    let Some(Effect::Write { text, .. }) = effects.first() else {
        panic!("{effects:?}");
    };
    let record = Record::parse(text).unwrap();
    assert_eq!(record.get(id::Key(7)).map(|claim| claim.attempt), Some(id::Attempt(1)));
}

#[test]
fn no_key_is_ever_claimed_by_two_attempts() {
    fn holds(losses: Vec<u8>, moves: Vec<(u8, u8, bool)>) -> TestResult {
        let mut bench = Bench::new(2, losses);
        let mut attempt = 0;
        let mut asked: Vec<(u128, u128)> = Vec::new();
        for (keeper, key, settles) in moves {
            attempt += 1;
            let keeper = usize::from(keeper) % 2;
            let key = u128::from(key) % 6;
            bench.claim(keeper, key, attempt);
            asked.push((key, attempt));
            bench.pass(Duration::from_millis(30));
            if settles && bench.is_yours(attempt) {
                bench.settle(1 - keeper, key, attempt);
            }
        }
        bench.store.losses.clear();
        bench.pass(Duration::from_secs(4));
        let violations: u64 = bench.keepers.iter().map(|keeper| keeper.counts().violations).sum();
        let told = asked.iter().all(|(_, attempt)| bench.answers.contains_key(&id::Attempt(*attempt)));
        let once = (0..6).all(|key| {
            let claimants = asked.iter().filter(|(asked, attempt)| *asked == key && bench.is_yours(*attempt));
            claimants.count() <= 1
        });
        TestResult::from_bool(once && told && violations == 0)
    }
    QuickCheck::new().tests(300).quickcheck(holds as fn(Vec<u8>, Vec<(u8, u8, bool)>) -> TestResult);
}

#[test]
fn writes_grow_slower_than_claims() {
    let writes = |a_second: u128| {
        let mut bench = Bench::new(1, Vec::new());
        let gap = Duration::from_millis(10);
        let mut due = 0;
        for tick in 0..1_000_u128 {
            while due * 100 < tick * a_second {
                bench.claim(0, due, due + 1);
                bench.settle(0, due, due + 1);
                due += 1;
            }
            bench.pass(gap);
        }
        (bench.keepers[0].counts().writes, due)
    };
    let (slow, few) = writes(10);
    let (fast, many) = writes(400);
    assert!(many > few * 30);
    assert!(fast < slow * 3, "{fast} writes for {many} claims, {slow} for {few}");
}
