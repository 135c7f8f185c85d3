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
    let stop = Arc::new(AtomicBool::new(false));
    let (sent, broken) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let to = fleet.routers[client % fleet.routers.len()].callers;
            let (stop, sent, broken, note) = (stop.clone(), sent.clone(), broken.clone(), fleet.recorder());
            thread::spawn(move || {
                // The clients don't begin all at once.
                thread::sleep(Duration::from_millis(15 * client as u64));
                while !stop.load(Ordering::Relaxed) {
                    let number = sent.fetch_add(1, Ordering::Relaxed);
                    let id = format!("{:016x}", 0x9c41_0000_0000_0000_u64 + number as u64);
                    let prefix = format!("Model: m\r\nToken-Counts: 713,280\r\nPrompt-Prefix: 5c1e{:02x}:603,{number:x}:110\r\n", number % 40);
                    note(&format!("sent      {id}"));
                    match call(to, request("til-chat", &id, 15_000, &prefix).as_bytes(), Duration::from_secs(16)) {
                        Err(error) => note(&format!("answered  {id} none ({error})")),
                        Ok(answer) => {
                            let text = String::from_utf8_lossy(&answer.body).into_owned();
                            let events = text.matches("id: ").count();
                            let (status, whole, framed) = (answer.status(), answer.whole, answer.framed);
                            let looks_complete = status == 200 && whole && framed;
                            let is_cut = looks_complete && events < EVENTS;
                            broken.fetch_add(usize::from(is_cut), Ordering::Relaxed);
                            let mark = if is_cut { " BROKEN: ends as complete before its last event" } else { "" };
                            note(&format!("answered  {id} {status} events={events} of {EVENTS} complete={looks_complete}{mark}"));
                            if status != 200 {
                                thread::sleep(Duration::from_millis(500));
                            }
                        }
                    }
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(9));
    let unframed = trouble != "0";
    if unframed {
        fleet.switch("unframed", true)?;
    }
    thread::sleep(CRASH_AFTER);
    let crashed: Vec<String> = (0..CRASHED).map(|index| fleet.runners[index].id.clone()).collect();
    if trouble == "1" {
        fleet.note(&format!("crash     {}", crashed.join(" ")));
        fleet.runners[..CRASHED].iter_mut().for_each(|runner| runner.process.signal_kill());
        fleet.runners[..CRASHED].iter_mut().for_each(|runner| runner.process.kill());
    }
    thread::sleep(UNFRAMED_TIME - CRASH_AFTER);
    if unframed {
        fleet.switch("unframed", false)?;
    }
    thread::sleep(CRASH_TIME - (UNFRAMED_TIME - CRASH_AFTER));
    if trouble == "1" {
        (0..CRASHED).try_for_each(|index| fleet.restart_runner(index))?;
        thread::sleep(ENTRY_LAPSES - CRASH_TIME);
        crashed.iter().try_for_each(|id| fleet.remove_entry(id))?;
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    for line in fleet.log_lines("close-delimited") {
        if trouble == "1" || line.contains("Whole") {
            fleet.note(&format!("log       {line}"));
        }
    }
    let broken = broken.load(Ordering::Relaxed);
    fleet.finish(&format!("{} requests; {broken} streams ended as complete before their last event", sent.load(Ordering::Relaxed)))?;
    Ok(broken > 0)
}
