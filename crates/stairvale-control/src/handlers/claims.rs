//! Claims: as an entry and as a shard's keeper.

use std::time::Duration;

use stairvale_claim::{record::KEEP_MS, shard, shard_of};
use stairvale_types::id;
use stairvale_wire::{ClaimVerdict, Frame, Stored};

use crate::{
    Node, Output,
    io::{Action, Answer, Purpose},
    node::{Claiming, Unsettled},
};

/// A claim's answer later than this is not used.
const CLAIM_VALID: Duration = Duration::from_secs(5);
/// Settled claims are told to the keeper until it has written them down, this many times at the most; telling twice
/// changes nothing.
const SETTLE_TRIES: u16 = 600;
/// A segment outlasts its claims by far, since keepers' times differ a little.
const SEGMENT_KEEP: Duration = Duration::from_millis(2 * KEEP_MS);
/// A claim that was given up is remembered this long, to give it back should its answer still come.
const GIVEN_UP_KEEP: Duration = Duration::from_secs(60);
const SETTLE_EVERY: Duration = Duration::from_secs(1);

impl Node {
    pub(crate) fn tick_claims(&mut self) {
        for number in self.shards.keys().copied().collect::<Vec<_>>() {
            let Some(shard) = self.shards.get_mut(&number) else {
                continue;
            };
            let effects = shard.tick(self.now, self.now_ms);
            self.shard_effects(number, effects);
        }
        let overdue = self.claiming.iter().filter(|(_, claiming)| self.now.since(claiming.asked) >= CLAIM_VALID);
        let overdue: Vec<_> = overdue.map(|(attempt, claiming)| (*attempt, claiming.key)).collect();
        self.abandon_claims(overdue);
        let now = self.now;
        self.given_up.retain(|_, at| now.since(*at) < GIVEN_UP_KEEP);
        let due: Vec<_> = self.unsettled.iter().filter(|u| now.since(u.sent) >= SETTLE_EVERY).cloned().collect();
        for settled in due {
            self.send_settled(&settled);
        }
        for settled in self.unsettled.iter_mut().filter(|u| now.since(u.sent) >= SETTLE_EVERY) {
            settled.sent = now;
            settled.left -= 1;
        }
        self.unsettled.retain(|settled| settled.left > 0);
    }

    /// Claims whose keeper doesn't answer are given up: nothing runs, and should they stand they are given back.
    pub(crate) fn abandon_claims(&mut self, claims: Vec<(id::Attempt, id::Key)>) {
        for (attempt, key) in claims {
            let verdict = ClaimVerdict::Unavailable { retry_after: SETTLE_EVERY };
            self.outputs.push(Output::Claimed { attempt, verdict });
            self.given_up.insert(attempt, self.now);
            self.settle(key, attempt, None);
        }
    }

    pub(crate) fn claim(&mut self, key: id::Key, attempt: id::Attempt) {
        let Some(keeper) = self.claim_keeper(key) else {
            return;
        };
        let claiming = Claiming { key, keeper: keeper.clone(), asked: self.now };
        self.claiming.insert(attempt, claiming);
        self.send(&keeper, Frame::Claim { key, attempt });
    }

    pub(crate) fn claim_keeper(&self, key: id::Key) -> Option<id::Router> {
        self.fleet.keeper(&format!("claims/{}", shard_of(key)))
    }

    pub(crate) fn keep_claim(&mut self, from: &id::Router, key: id::Key, attempt: id::Attempt) {
        let number = shard_of(key);
        let shard = self.shards.entry(number).or_default();
        let effects = shard.claim(self.now, self.now_ms, from.clone(), key, attempt);
        self.shard_effects(number, effects);
    }

    pub(crate) fn claimed(&mut self, key: id::Key, attempt: id::Attempt, verdict: ClaimVerdict) {
        let claiming = self.claiming.remove(&attempt);
        if claiming.is_some() {
            self.outputs.push(Output::Claimed { attempt, verdict });
            return;
        }
        // Only a claim that was given up may be given back: a second copy of an answer that was used must change nothing.
        let given_up = self.given_up.contains_key(&attempt);
        if given_up && matches!(verdict, ClaimVerdict::Yours { .. }) {
            self.settle(key, attempt, None);
        }
    }

    pub(crate) fn settle(&mut self, key: id::Key, attempt: id::Attempt, stored: Option<Stored>) {
        self.claiming.remove(&attempt);
        let settled = Unsettled { key, attempt, stored, sent: self.now, left: SETTLE_TRIES };
        self.send_settled(&settled);
        self.unsettled.push(settled);
    }

    pub(crate) fn send_settled(&mut self, settled: &Unsettled) {
        let Some(keeper) = self.claim_keeper(settled.key) else {
            return;
        };
        let Unsettled { key, attempt, stored, .. } = settled.clone();
        self.send(&keeper, Frame::Settle { key, attempt, stored });
    }

    pub(crate) fn keep_settled(
        &mut self,
        from: &id::Router,
        key: id::Key,
        attempt: id::Attempt,
        stored: Option<Stored>,
    ) {
        let number = shard_of(key);
        let shard = self.shards.entry(number).or_default();
        let effects = shard.settle(self.now, self.now_ms, from, key, attempt, stored);
        self.shard_effects(number, effects);
    }

    pub(crate) fn claims_answer(&mut self, number: u32, answer: Answer) {
        let reply = match answer {
            Answer::Value(value) => shard::Reply::Read(value),
            Answer::Written(revision) => shard::Reply::Written(revision),
            Answer::Conflict => shard::Reply::Conflict,
            Answer::Lost => shard::Reply::Lost,
        };
        self.shard_reply(number, reply);
    }

    pub(crate) fn segment_answer(&mut self, number: u32, id: &str, answer: Answer) {
        let reply = match answer {
            Answer::Value(value) => shard::Reply::Segment { id: id.to_owned(), text: value.map(|(text, _)| text) },
            // The name says what is in it, so one that is there already is as good.
            Answer::Written(_) | Answer::Conflict => shard::Reply::SegmentWritten,
            Answer::Lost => shard::Reply::Lost,
        };
        self.shard_reply(number, reply);
    }

    fn shard_reply(&mut self, number: u32, reply: shard::Reply) {
        let Some(shard) = self.shards.get_mut(&number) else {
            return;
        };
        let effects = shard.reply(self.now, self.now_ms, reply);
        self.shard_effects(number, effects);
    }

    pub(crate) fn shard_effects(&mut self, number: u32, effects: Vec<shard::Effect>) {
        for effect in effects {
            let key = format!("claims/{number}");
            match effect {
                shard::Effect::Read => self.call(Purpose::Claims(number), key, Action::Read),
                shard::Effect::Write { text, revision } => {
                    self.call(Purpose::Claims(number), key, Action::Write { value: text, revision });
                }
                shard::Effect::ReadSegment { id } => {
                    let key = format!("claims/{number}/{id}");
                    self.call(Purpose::Segment(number, id), key, Action::Read);
                }
                shard::Effect::WriteSegment { id, text } => {
                    let key = format!("claims/{number}/{id}");
                    self.call(Purpose::Segment(number, id), key, Action::Create { value: text, keep: SEGMENT_KEEP });
                }
                shard::Effect::Noted { to, attempt } => self.send(&to, Frame::Noted { attempt }),
                shard::Effect::Settled { to, key, attempt } => self.send(&to, Frame::Settled { key, attempt }),
                shard::Effect::Answer { to, key, attempt, verdict } => {
                    self.send(&to, Frame::Claimed { key, attempt, verdict });
                }
            }
        }
    }
}
