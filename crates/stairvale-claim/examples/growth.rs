//! How a shard's writes and bytes grow with the claims a second: the figures of docs/MEASUREMENTS.md.

#![allow(clippy::print_stdout, clippy::unwrap_used, clippy::cast_precision_loss)]

use std::{collections::VecDeque, time::Duration};

use stairvale_claim::{
    Shard,
    shard::{Effect, Reply},
};
use stairvale_types::{Moment, id};
use stairvale_wire::Stored;

/// What the store takes to answer.
const STORE: Duration = Duration::from_millis(2);
const TICK: Duration = Duration::from_millis(1);
const SECONDS: u64 = 60;

fn main() {
    println!("claims/s  writes/claim  bytes/claim  segments");
    for a_second in [1, 10, 100] {
        run(a_second);
    }
}

fn run(a_second: u64) {
    let mut shard = Shard::new();
    let mut now = Moment::ZERO;
    let mut record: Option<(String, u64)> = None;
    let mut calls: VecDeque<(Moment, Reply)> = VecDeque::new();
    let mut claimed = 0;
    let entry: id::Router = "entry".parse().unwrap();
    while now.millis() < SECONDS * 1_000 {
        let mut effects = shard.tick(now, now.millis());
        while claimed * 1_000 < now.millis() * a_second {
            claimed += 1;
            let (key, attempt) = (id::Key(claimed.into()), id::Attempt(claimed.into()));
            effects.extend(shard.claim(now, now.millis(), entry.clone(), key, attempt));
        }
        while calls.front().is_some_and(|(at, _)| *at <= now) {
            let (_, reply) = calls.pop_front().unwrap();
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
                    let stored =
                        Stored { print: id::Print(1), status: 200, content_type: "application/json".into(), body };
                    let more = shard.settle(now, now.millis(), &entry, key, attempt, Some(stored));
                    assert!(more.is_empty());
                    continue;
                }
            };
            calls.push_back((now + STORE, reply));
        }
        now = now + TICK;
    }
    let counts = shard.counts();
    let claims = claimed as f64;
    let writes = (counts.writes + counts.sealed) as f64 / claims;
    println!("{a_second:>8}  {writes:>12.3}  {:>11.0}  {:>8}", counts.written_bytes as f64 / claims, counts.sealed);
}
