//! Claims on idempotency keys: requests and settlements by entries, and the shards that this router owns.

use std::time::Duration;

use stairvale_claim::{record::CLAIM_RETENTION_MS, shard, shard_of};
use stairvale_types::id;
use stairvale_wire::{ClaimVerdict, Frame, StoredAnswer};

use crate::{
    Node, Output,
    io::{Action, Answer, Purpose},
    node::{PendingClaim, Unsettled},
};

/// Time after which a claim request counts as unanswered and its request is refused.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of times that a settlement is sent to the shard's owner, unless the owner acknowledges earlier that
/// it has written it. Settling is idempotent, so repeated sends are harmless.
const MAX_SETTLE_TRIES: u16 = 600;
/// Time for which the store keeps a segment: twice as long as a claim, since the clocks of shard owners differ.
const SEGMENT_TTL: Duration = Duration::from_millis(2 * CLAIM_RETENTION_MS);
/// Time for which an abandoned claim is remembered, to give it back if the owner grants it late.
const GIVEN_UP_RETENTION: Duration = Duration::from_secs(60);
/// Interval between two sends of a settlement, and the retry delay of callers whose claim went unanswered.
const SETTLE_INTERVAL: Duration = Duration::from_secs(1);

impl Node {
    pub(crate) fn tick_claims(&mut self) {
        for number in self.shards.keys().copied().collect::<Vec<_>>() {
            let Some(shard) = self.shards.get_mut(&number) else {
                continue;
            };
            let effects = shard.tick(self.now, self.now_ms);
            self.shard_effects(number, effects);
        }
        let overdue =
            self.pending_claims.iter().filter(|(_, pending)| self.now.since(pending.requested) >= CLAIM_TIMEOUT);
        let overdue: Vec<_> = overdue.map(|(attempt, pending)| (*attempt, pending.key)).collect();
        self.abandon_claims(overdue);
        let now = self.now;
        self.given_up.retain(|_, at| now.since(*at) < GIVEN_UP_RETENTION);
        let due: Vec<_> = self.unsettled.iter().filter(|u| now.since(u.sent) >= SETTLE_INTERVAL).cloned().collect();
        for settled in due {
            self.send_settled(&settled);
        }
        for settled in self.unsettled.iter_mut().filter(|u| now.since(u.sent) >= SETTLE_INTERVAL) {
            settled.sent = now;
            settled.tries_left -= 1;
        }
        self.unsettled.retain(|settled| settled.tries_left > 0);
    }

    /// Abandons claims whose shard owner doesn't answer. Their requests are refused without running, and each claim is
    /// given back in case the owner recorded it.
    pub(crate) fn abandon_claims(&mut self, claims: Vec<(id::Attempt, id::Key)>) {
        for (attempt, key) in claims {
            let verdict = ClaimVerdict::Unavailable { retry_after: SETTLE_INTERVAL };
            self.outputs.push(Output::Claimed { attempt, verdict });
            self.given_up.insert(attempt, self.now);
            self.settle(key, attempt, None);
        }
    }

    pub(crate) fn claim(&mut self, key: id::Key, attempt: id::Attempt) {
        let Some(owner) = self.claim_owner(key) else {
            return;
        };
        let pending = PendingClaim { key, owner: owner.clone(), requested: self.now };
        self.pending_claims.insert(attempt, pending);
        self.send(&owner, Frame::Claim { key, attempt });
    }

    pub(crate) fn claim_owner(&self, key: id::Key) -> Option<id::Router> {
        self.fleet.owner(&format!("claims/{}", shard_of(key)))
    }

    pub(crate) fn record_claim(&mut self, from: &id::Router, key: id::Key, attempt: id::Attempt) {
        let number = shard_of(key);
        let shard = self.shards.entry(number).or_default();
        let effects = shard.claim(self.now, self.now_ms, from.clone(), key, attempt);
        self.shard_effects(number, effects);
    }

    pub(crate) fn claim_answered(&mut self, key: id::Key, attempt: id::Attempt, verdict: ClaimVerdict) {
        let pending = self.pending_claims.remove(&attempt);
        if pending.is_some() {
            self.outputs.push(Output::Claimed { attempt, verdict });
            return;
        }
        // Only an abandoned claim may be given back: a duplicate of an answer that was used already must have no
        // effect.
        let given_up = self.given_up.contains_key(&attempt);
        if given_up && matches!(verdict, ClaimVerdict::Yours { .. }) {
            self.settle(key, attempt, None);
        }
    }

    pub(crate) fn settle(&mut self, key: id::Key, attempt: id::Attempt, stored: Option<StoredAnswer>) {
        self.pending_claims.remove(&attempt);
        let settled = Unsettled { key, attempt, stored, sent: self.now, tries_left: MAX_SETTLE_TRIES };
        self.send_settled(&settled);
        self.unsettled.push(settled);
    }

    pub(crate) fn send_settled(&mut self, settled: &Unsettled) {
        let Some(owner) = self.claim_owner(settled.key) else {
            return;
        };
        let Unsettled { key, attempt, stored, .. } = settled.clone();
        self.send(&owner, Frame::Settle { key, attempt, stored });
    }

    pub(crate) fn record_settlement(
        &mut self,
        from: &id::Router,
        key: id::Key,
        attempt: id::Attempt,
        stored: Option<StoredAnswer>,
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
            // A segment is named by its content, so an existing one is identical to the one to be written.
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
                    self.call(Purpose::Segment(number, id), key, Action::Create { value: text, keep: SEGMENT_TTL });
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
