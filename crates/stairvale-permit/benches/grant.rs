//! Measures a grant with its release, and a tick, at a home by its number of engines and of outstanding permits per
//! engine.

#![allow(clippy::unwrap_used)]

#[path = "../tests/sample/mod.rs"]
mod sample;

use std::time::Duration;

use sample::profile;
use stairvale_permit::{Home, rules::Rules};
use stairvale_types::{Moment, id};
use stairvale_wire::{PermitRequest, Profile};

fn main() {
    divan::main();
}

fn ask(attempt: u128, engine: usize) -> PermitRequest {
    PermitRequest {
        attempt: id::Attempt(attempt),
        profile: Profile { returning: false, ..profile() },
        upstream: format!("engine-{engine}").parse().unwrap(),
        first: true,
        patience: Duration::ZERO,
        deadline: Duration::from_secs(30),
    }
}

fn home(engines: usize, permits: usize) -> Home {
    let mut home = Home::new("home".parse().unwrap());
    let now = Moment::from_millis(10_000);
    for engine in 0..engines {
        let rules = Rules::new("chat".parse().unwrap()).with_slots(1_000).with_multiple("2".parse().unwrap());
        home.adopt(Moment::ZERO, format!("engine-{engine}").parse().unwrap(), rules, Some(0));
    }
    let entry = "entry".parse().unwrap();
    for permit in 0..permits {
        for engine in 0..engines {
            home.request_permit(now, &entry, ask((permit * engines + engine) as u128, engine));
        }
    }
    home
}

/// A home at the design size of the fleet owns two engines with 57 permits each.
#[divan::bench(args = [(1, 10), (2, 57), (7, 57), (7, 500)])]
fn grant_and_release(bencher: divan::Bencher, (engines, permits): (usize, usize)) {
    let mut home = home(engines, permits);
    let entry: id::Router = "entry".parse().unwrap();
    let now = Moment::from_millis(10_000);
    let mut attempt = 1 << 40;
    bencher.bench_local(|| {
        attempt += 1;
        let ask = ask(attempt, 0);
        let upstream = ask.upstream.clone();
        let answers = home.request_permit(now, &entry, ask);
        home.release(now, &entry, &upstream, &[id::Attempt(attempt)]);
        answers.len()
    });
}

/// A home's periodic work, which runs a hundred times per second.
#[divan::bench(args = [(1, 10), (2, 57), (7, 57), (7, 500)])]
fn tick(bencher: divan::Bencher, (engines, permits): (usize, usize)) {
    let mut home = home(engines, permits);
    let now = Moment::from_millis(10_001);
    bencher.bench_local(|| home.tick(now).len());
}
