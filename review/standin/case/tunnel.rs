//! A runner crashes while it sends answers without a length to a router that reaches it through a peer.

use super::*;

const RUNNERS: usize = 12;
/// Half of the runners send one answer in twenty without a length: `garble unframed` with a share of 0.5 and x = 0.05.
const UNFRAMED_RUNNERS: usize = 6;
const UNFRAMED: &str = "20";
/// In each round they do so from just before the first crash until just after the second one: 4 s.
const LEAD: Duration = Duration::from_millis(200);
/// Three runners crash (`srv_crash` with a share of 0.25), and this much later another one (a share of 0.09).
const FIRST_CRASHED: usize = 3;
const BETWEEN: Duration = Duration::from_millis(3_200);
const CRASH_TIME: Duration = Duration::from_millis(2_000);
const ENTRY_LAPSES: Duration = Duration::from_millis(3_600);
/// Time after a round in which the connections to the new runners come to be kept.
const SETTLING_TIME: Duration = Duration::from_millis(5_500);
const ROUNDS: usize = 6;
const EVENTS: usize = 93;
const PAUSE_MS: &str = "50";
/// Clients of streams at the first router, and of plain requests at each of the others.
const CLIENTS: usize = 480;
const PLAIN_CLIENTS: usize = 8;

pub fn run(mut fleet: Fleet, trouble: &str) -> Result<bool, String> {
    for number in 0..RUNNERS {
        let unframed = if number < UNFRAMED_RUNNERS { UNFRAMED } else { "0" };
        let events = EVENTS.to_string();
        fleet.add_runner("assist-llm", &["--events", &events, "--pause", PAUSE_MS, "--unframed", unframed])?;
    }
    for _ in 0..3 {
        fleet.add_runner("points-api", &["--events", "0", "--work", "60", "--close", "4"])?;
    }
    fleet.start_routers(&["regina-a", "saskatoon-b", "brandon-c"])?;
    let first = [fleet.routers[0].callers];
    let others = [fleet.routers[1].callers, fleet.routers[2].callers];
    let plain = PlainClients::start(&fleet, &others, PLAIN_CLIENTS);
    let clients = Clients::start_at(&fleet, &first, CLIENTS, EVENTS);
    thread::sleep(Duration::from_secs(6));
    for round in 0..ROUNDS {
        if trouble != "0" {
            fleet.switch("unframed", true)?;
        }
        thread::sleep(LEAD);
        let crashed: Vec<_> = (0..FIRST_CRASHED).map(|number| UNFRAMED_RUNNERS + (round + number) % 6).collect();
        let crash = |fleet: &mut Fleet, indices: &[usize]| {
            let ids: Vec<_> = indices.iter().map(|index| fleet.runners[*index].id.clone()).collect();
            if trouble == "1" {
                fleet.note(&format!("crash     {}", ids.join(" ")));
                indices.iter().for_each(|index| fleet.runners[*index].process.signal_kill());
                indices.iter().for_each(|index| fleet.runners[*index].process.kill());
            }
            ids
        };
        let restart = |fleet: &mut Fleet, indices: &[usize]| {
            if trouble == "1" { indices.iter().try_for_each(|index| fleet.restart_runner(*index)) } else { Ok(()) }
        };
        let lapse = |fleet: &Fleet, ids: &[String]| {
            if trouble == "1" { ids.iter().try_for_each(|id| fleet.remove_entry(id)) } else { Ok(()) }
        };
        let ids = crash(&mut fleet, &crashed);
        thread::sleep(CRASH_TIME);
        restart(&mut fleet, &crashed)?;
        thread::sleep(BETWEEN - CRASH_TIME);
        let last = [round % UNFRAMED_RUNNERS];
        let last_ids = crash(&mut fleet, &last);
        thread::sleep(ENTRY_LAPSES - BETWEEN);
        lapse(&fleet, &ids)?;
        if trouble != "0" {
            fleet.switch("unframed", false)?;
        }
        thread::sleep(CRASH_TIME + BETWEEN - ENTRY_LAPSES);
        restart(&mut fleet, &last)?;
        thread::sleep(ENTRY_LAPSES - CRASH_TIME);
        lapse(&fleet, &last_ids)?;
        thread::sleep(SETTLING_TIME);
    }
    plain.finish()?;
    let (sent, broken) = clients.finish()?;
    fleet.note(&format!("isolated  {} times", fleet.log_lines("connections are opened through peers").len()));
    fleet.finish(&format!("{sent} requests; {broken} streams ended as complete before their last event"))?;
    Ok(broken > 0)
}
