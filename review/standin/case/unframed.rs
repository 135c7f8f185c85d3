//! Runners crash while they send answers that have no length.

use super::*;

/// The runners of the service, and how many of them crash at once: `srv_crash` with a share of 0.25.
const RUNNERS: usize = 12;
const CRASHED: usize = 3;
/// Half of the runners send one answer in twenty without a length: `garble unframed` with a share of 0.5 and x = 0.05.
const UNFRAMED_RUNNERS: usize = 6;
const UNFRAMED: &str = "20";
/// How long they do so, and when in that time the crash comes.
const UNFRAMED_TIME: Duration = Duration::from_millis(5_000);
const CRASH_AFTER: Duration = Duration::from_millis(4_400);
/// Three other runners crash in the second round, after the connections to the new ones have come to be kept.
const ROUNDS: usize = 2;
const SETTLING_TIME: Duration = Duration::from_millis(6_000);
/// How long the runners are down, and when the entries of those that said nothing lapse: after three heartbeats.
const CRASH_TIME: Duration = Duration::from_millis(2_000);
const ENTRY_LAPSES: Duration = Duration::from_millis(3_600);
/// Events in a stream, and ms between two.
const EVENTS: usize = 93;
const PAUSE_MS: &str = "50";
/// Clients, each with one stream at a time.
const CLIENTS: usize = 300;

pub fn run(mut fleet: Fleet, trouble: &str) -> Result<bool, String> {
    for number in 0..RUNNERS {
        let unframed = if number < UNFRAMED_RUNNERS { UNFRAMED } else { "0" };
        let events = EVENTS.to_string();
        fleet.add_runner("assist-llm", &["--events", &events, "--pause", PAUSE_MS, "--unframed", unframed])?;
    }
    fleet.start_routers(&["regina-a", "saskatoon-b", "brandon-c", "regina-a", "saskatoon-b", "brandon-c"])?;
    let clients = Clients::start(&fleet, CLIENTS, EVENTS);
    thread::sleep(Duration::from_secs(9));
    let unframed = trouble != "0";
    for round in 0..ROUNDS {
        if unframed {
            fleet.switch("unframed", true)?;
        }
        thread::sleep(CRASH_AFTER);
        let indices = round * CRASHED..(round + 1) * CRASHED;
        let crashed: Vec<String> = fleet.runners[indices.clone()].iter().map(|runner| runner.id.clone()).collect();
        if trouble == "1" {
            fleet.note(&format!("crash     {}", crashed.join(" ")));
            fleet.runners[indices.clone()].iter_mut().for_each(|runner| runner.process.signal_kill());
            fleet.runners[indices.clone()].iter_mut().for_each(|runner| runner.process.kill());
        }
        thread::sleep(UNFRAMED_TIME - CRASH_AFTER);
        if unframed {
            fleet.switch("unframed", false)?;
        }
        thread::sleep(CRASH_TIME - (UNFRAMED_TIME - CRASH_AFTER));
        if trouble == "1" {
            indices.clone().try_for_each(|index| fleet.restart_runner(index))?;
        }
        thread::sleep(ENTRY_LAPSES - CRASH_TIME);
        if trouble == "1" {
            crashed.iter().try_for_each(|id| fleet.remove_entry(id))?;
        }
        thread::sleep(SETTLING_TIME);
    }
    let (sent, broken) = clients.finish()?;
    for line in fleet.log_lines("close-delimited") {
        if trouble == "1" || line.contains("Whole") {
            fleet.note(&format!("log       {line}"));
        }
    }
    fleet.finish(&format!("{sent} requests; {broken} streams ended as complete before their last event"))?;
    Ok(broken > 0)
}
