//! Cost of encoding and decoding a permit request, and of encoding a renewal by its number of permits.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use stairvale_types::{Class, id};
use stairvale_wire::{Frame, HeldPermits, PermitRequest, Profile, codec};

fn main() {
    divan::main();
}

fn ask() -> Frame {
    Frame::Ask(PermitRequest {
        attempt: id::Attempt(1 << 120),
        profile: Profile {
            service: "assist-llm".parse().unwrap(),
            customer: "member-assistant".parse().unwrap(),
            weight: 4,
            class: Class::Normal,
            chat: Some(id::Chat(u64::MAX)),
            returning: true,
        },
        upstream: "regina-a-engine-1".parse().unwrap(),
        first: true,
        patience: Duration::from_millis(300),
        deadline: Duration::from_secs(30),
    })
}

#[divan::bench]
fn encode_ask(bencher: divan::Bencher) {
    let frame = ask();
    bencher.bench(|| codec::encode(&frame).unwrap());
}

#[divan::bench]
fn decode_ask(bencher: divan::Bencher) {
    let packed = codec::pack(&ask()).unwrap();
    bencher.bench(|| codec::unpack::<Frame>(&packed).unwrap());
}

#[divan::bench(args = [10, 100, 1_000])]
fn renew(bencher: divan::Bencher, permits: u128) {
    let attempts = (0..permits).map(|n| id::Attempt(n << 100)).collect();
    let held = vec![HeldPermits { upstream: "regina-a-engine-1".parse().unwrap(), attempts }];
    let frame = Frame::Renew { held };
    bencher.bench(|| codec::encode(&frame).unwrap().len());
}
