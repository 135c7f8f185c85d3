//! A router is frozen while a runner that sends an answer without a length crashes and starts again.

use super::*;

const RUNNERS: usize = 12;
/// Half of the runners send one answer in twenty without a length: `garble unframed` with a share of 0.5 and x = 0.05.
const UNFRAMED_RUNNERS: usize = 6;
const UNFRAMED: &str = "20";
/// In each round they do so from this long before the router freezes until it wakes: 4.9 s.
const FREEZE_AFTER: Duration = Duration::from_millis(3_600);
/// How long the runner is down, and how long the router is frozen.
const CRASH_TIME: Duration = Duration::from_millis(800);
const FREEZE_TIME: Duration = Duration::from_millis(1_300);
const ENTRY_LAPSES: Duration = Duration::from_millis(3_600);
const ROUNDS: usize = 10;
const EVENTS: usize = 93;
const PAUSE_MS: &str = "50";
const CLIENTS: usize = 360;

pub fn run(mut fleet: Fleet, trouble: &str) -> Result<bool, String> {
    for number in 0..RUNNERS {
        let unframed = if number < UNFRAMED_RUNNERS { UNFRAMED } else { "0" };
        let events = EVENTS.to_string();
        fleet.add_runner("assist-llm", &["--events", &events, "--pause", PAUSE_MS, "--unframed", unframed])?;
    }
    fleet.start_routers(&["regina-a", "saskatoon-b"])?;
    let clients = Clients::start(&fleet, CLIENTS, EVENTS);
    thread::sleep(Duration::from_secs(6));
    for round in 0..ROUNDS {
        if trouble != "0" {
            fleet.switch("unframed", true)?;
        }
        thread::sleep(FREEZE_AFTER);
        let (router, runner) = (round % 2, round % UNFRAMED_RUNNERS);
        let crashed = fleet.runners[runner].id.clone();
        if trouble != "0" {
            fleet.note(&format!("freeze    router {router}"));
            fleet.routers[router].process.signal(SIGSTOP);
            thread::sleep(Duration::from_millis(50));
        }
        if trouble == "1" {
            fleet.note(&format!("crash     {crashed}"));
            fleet.runners[runner].process.kill();
        }
        thread::sleep(CRASH_TIME);
        if trouble == "1" {
            fleet.restart_runner(runner)?;
        }
        thread::sleep(FREEZE_TIME - CRASH_TIME);
        if trouble != "0" {
            fleet.routers[router].process.signal(SIGCONT);
            fleet.note(&format!("wake      router {router}"));
            fleet.switch("unframed", false)?;
        }
        thread::sleep(ENTRY_LAPSES - FREEZE_TIME);
        if trouble == "1" {
            fleet.remove_entry(&crashed)?;
        }
    }
    let (sent, broken) = clients.finish()?;
    fleet.finish(&format!("{sent} requests; {broken} streams ended as complete before their last event"))?;
    Ok(broken > 0)
}
