//! Compares the rate at which a customer's requests pass under a fleet-wide account with that under a static split, in
//! which each router gets an even part of the rate, at least one request a second.
//!
//! `cargo run --release -p stairvale-admission --example limits`

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::print_stdout)]

#[path = "../tests/limit_parts/crowd.rs"]
#[allow(dead_code)]
mod crowd;

use std::time::Duration;

use crowd::{Outcome, Scenario, Simulation};

const SETTLE_SPAN: Duration = Duration::from_secs(6);
const MEASURED_SPAN: Duration = Duration::from_secs(120);

fn main() {
    println!(
        "| routers | receiving requests | rate/s | offered, times the rate | passed with static split, times the rate | passed with account, times the rate | passed in the first 6 s with account, seconds of the rate | messages/s to the account's owner | messages/s from it |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (routers, used_routers) in [(9, 9), (9, 1), (370, 370), (370, 3)] {
        for rate in [5.0, 20.0, 200.0] {
            for times in [0.7, 2.0, 10.0] {
                row(Scenario { rate, offered_rate: rate * times, routers, used_routers, seed: 1 });
            }
        }
    }
}

fn row(scenario: Scenario) {
    let mut simulation = Simulation::new(scenario);
    let first = simulation.run(SETTLE_SPAN);
    let Outcome { passed, usage_messages, share_messages, .. } = simulation.run(MEASURED_SPAN);
    let measured_seconds = MEASURED_SPAN.as_secs_f64();
    let Scenario { rate, offered_rate, routers, used_routers, .. } = scenario;
    println!(
        "| {routers} | {used_routers} | {rate} | {:.1} | {:.2} | {:.2} | {:.1} | {:.1} | {:.1} |",
        offered_rate / rate,
        static_split_rate(scenario) / rate,
        f64::from(passed) / measured_seconds / rate,
        f64::from(first.passed) / rate,
        f64::from(usage_messages) / measured_seconds,
        f64::from(share_messages) / measured_seconds,
    );
}

/// The requests a second that pass when each router gets an even part of the rate, rounded up to at least one a second.
#[allow(clippy::cast_precision_loss)]
fn static_split_rate(scenario: Scenario) -> f64 {
    let part = (scenario.rate / scenario.routers as f64).ceil().max(1.0);
    let offered = scenario.offered_rate / scenario.used_routers as f64;
    part.min(offered) * scenario.used_routers as f64
}
