//! Prints how a shard's writes and written bytes per claim depend on the rate of claims.

#![allow(clippy::print_stdout, clippy::unwrap_used, clippy::cast_precision_loss)]

use std::{collections::VecDeque, time::Duration};

use stairvale_claim::{
    Shard,
    shard::{Effect, Reply},
};
use stairvale_types::{Moment, id};
use stairvale_wire::StoredAnswer;

/// The store's simulated response time.
const STORE_LATENCY: Duration = Duration::from_millis(2);
const TICK: Duration = Duration::from_millis(1);
const DURATION_S: u64 = 60;

fn main() {
    println!("claims/s  writes/claim  bytes/claim  segments");
    for claims_per_s in [1, 10, 100] {
        run(claims_per_s);
    }
}

fn run(claims_per_s: u64) {
    let mut shard = Shard::new();
    let mut now = Moment::ZERO;
    let mut record: Option<(String, u64)> = None;
    let mut in_flight: VecDeque<(Moment, Reply)> = VecDeque::new();
    let mut claim_count = 0;
    let entry: id::Router = "entry".parse().unwrap();
    while now.millis() < DURATION_S * 1_000 {
        let mut effects = shard.tick(now, now.millis());
        while claim_count * 1_000 < now.millis() * claims_per_s {
            claim_count += 1;
            let (key, attempt) = (id::Key(claim_count.into()), id::Attempt(claim_count.into()));
            effects.extend(shard.claim(now, now.millis(), entry.clone(), key, attempt));
        }
        while in_flight.front().is_some_and(|(at, _)| *at <= now) {
            let (_, reply) = in_flight.pop_front().unwrap();
            effects.extend(shard.reply(now, now.millis(), reply));
        }
        for effect in effects {
            let reply = match effect {
                Effect::Read => Reply::Read(record.clone()),
                Effect::Write { text, revision } => {
                    record = Some((text, revision + 1));
                    Reply::Written(revision + 1)
                }
                Effect::WriteSegment { .. } => Reply::SegmentWritten,
                Effect::ReadSegment { .. } | Effect::Settled { .. } | Effect::Noted { .. } => continue,
                Effect::Answer { key, attempt, .. } => {
                    let body = Some("{\"receipt\":\"receipt-0123456789abcdef\"}".into());
                    let stored = StoredAnswer {
                        print: id::Print(1),
                        status: 200,
                        content_type: "application/json".into(),
                        body,
                    };
                    let more = shard.settle(now, now.millis(), &entry, key, attempt, Some(stored));
                    assert!(more.is_empty());
                    continue;
                }
            };
            in_flight.push_back((now + STORE_LATENCY, reply));
        }
        now = now + TICK;
    }
    let counts = shard.counts();
    let claims = claim_count as f64;
    let writes = (counts.writes + counts.sealed) as f64 / claims;
    println!("{claims_per_s:>8}  {writes:>12.3}  {:>11.0}  {:>8}", counts.written_bytes as f64 / claims, counts.sealed);
}
