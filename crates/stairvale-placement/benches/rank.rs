//! Measures ranking a service's engines for a chat by their number, and recording exceptions by the number of chats.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use stairvale_placement::{Engine, Exceptions, rank};
use stairvale_types::{Moment, id};

fn main() {
    divan::main();
}

/// 600 runners for 8 models are 75 engines per service; 600 is the worst case of a single service.
#[divan::bench(args = [12, 75, 150, 600])]
fn rank_chat(bencher: divan::Bencher, engines: usize) {
    let engines: Vec<_> = (0..engines).map(|n| Engine::new(format!("engine-{n}").parse().unwrap(), 1)).collect();
    let mut chat = 0;
    bencher.bench_local(|| {
        chat += 1;
        rank(chat, &engines)
    });
}

#[divan::bench(args = [1_000, 20_000, 200_000])]
fn record_and_find(bencher: divan::Bencher, chats: u64) {
    let mut exceptions = Exceptions::new(200_000, Duration::from_secs(1_800));
    let upstream = "engine".parse().unwrap();
    for chat in 0..chats {
        exceptions.record(Moment::ZERO, id::Chat(chat), &upstream);
    }
    let mut chat = 0;
    bencher.bench_local(|| {
        chat = (chat + 7_919) % chats;
        exceptions.record(Moment::ZERO, id::Chat(chat), &upstream);
        exceptions.find(Moment::ZERO, id::Chat(chat)).is_some()
    });
}
