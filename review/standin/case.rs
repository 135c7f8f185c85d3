//! The drivers of the cases.

use std::{
    fmt::Write as _,
    fs,
    net::{SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::http::{Message, base64, call};

mod frozen;
mod tunnel;
mod unframed;

/// Runs a case and returns the exit code.
pub fn run(name: &str, dir: &str) -> i32 {
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".into());
    let result = match name {
        "unframed" => Fleet::start(Path::new(dir)).and_then(|fleet| unframed::run(fleet, &trouble)),
        "frozen" => Fleet::start(Path::new(dir)).and_then(|fleet| frozen::run(fleet, &trouble)),
        "tunnel" => Fleet::start(Path::new(dir)).and_then(|fleet| tunnel::run(fleet, &trouble)),
        _ => Err(format!("no such case: {name}")),
    };
    match result {
        Ok(broken) => i32::from(broken),
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            2
        }
    }
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

unsafe extern "C" {
    fn prctl(option: i32, a: u64, b: u64, c: u64, d: u64) -> i32;
    fn kill(process: i32, signal: i32) -> i32;
}

/// A process that is killed when it is dropped, or when this process ends. Only the main thread starts processes.
pub struct Process(Child);

impl Process {
    fn start(program: &Path, arguments: &[&str], log: &Path) -> Result<Self, String> {
        let log = fs::File::create(log).map_err(|error| error.to_string())?;
        let mut command = Command::new(program);
        command.args(arguments).stdin(Stdio::null()).stderr(Stdio::null()).stdout(log);
        // SAFETY: the call only asks the kernel to kill the child when this process ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        command.spawn().map(Self).map_err(|error| format!("{}: {error}", program.display()))
    }

    /// Sends a signal to the process, which this process started and hasn't waited for yet.
    pub fn signal(&self, signal: i32) {
        if let Ok(process) = i32::try_from(self.0.id()) {
            // SAFETY: the call takes plain numbers.
            unsafe { kill(process, signal) };
        }
    }

    /// Kills the process without waiting for its end.
    pub fn signal_kill(&mut self) {
        let _ = self.0.kill();
    }

    pub fn kill(&mut self) {
        self.signal_kill();
        let _ = self.0.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A free port below those from which the kernel takes the ports of outgoing connections.
fn free_address() -> Result<SocketAddr, String> {
    const FIRST: u32 = 12_000;
    const COUNT: u32 = 20_000;
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let start = std::process::id().wrapping_mul(7_919);
    for _ in 0..COUNT {
        let number = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed) as u32) % COUNT;
        let address =
            SocketAddr::from(([127, 0, 0, 1], u16::try_from(FIRST + number).map_err(|error| error.to_string())?));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err("no port is free".into())
}

/// A router: its process and the address for clients.
pub struct Router {
    pub process: Process,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
}

/// A runner: its process, id, address and service.
pub struct Runner {
    pub process: Process,
    pub id: String,
    pub address: SocketAddr,
    pub service: &'static str,
    pub options: Vec<String>,
}

/// The store, the runners and the routers of a case, and its record.
pub struct Fleet {
    dir: PathBuf,
    temporary: PathBuf,
    programs: PathBuf,
    store_address: SocketAddr,
    _store: Process,
    pub runners: Vec<Runner>,
    pub routers: Vec<Router>,
    record: Arc<Mutex<String>>,
    since: Instant,
    serial: usize,
}

/// The name of the host in requests, and the key.
pub const HOST: &str = "assist.example";
pub const KEY: &str = "key-1";

const CONFIGURATION: &str = r#"{"version": 1,
 "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
 "tenants": [{"name": "tenant-1", "api_keys": ["key-1"]}],
 "services": [{"name": "assist-llm", "max_conns": 370, "engine": {"slots": 64, "kv_capacity": 363122}}, {"name": "points-api", "max_conns": 110}],
 "routes": [
  {"name": "til-chat", "host": "assist.example", "path_prefix": "/til-chat/", "kind": "streaming", "timeout_ms": 15000, "slo_ms": 400, "gap_slo_ms": 300, "priority": 2, "service": "assist-llm", "max_attempts": 1},
  {"name": "dispute-triage", "host": "assist.example", "path_prefix": "/dispute-triage/", "kind": "streaming", "timeout_ms": 4000, "slo_ms": 500, "gap_slo_ms": 300, "priority": 0, "resumable": true, "service": "assist-llm", "max_attempts": 2},
  {"name": "points-redeem", "host": "assist.example", "path_prefix": "/points-redeem/", "kind": "unsafe", "timeout_ms": 2000, "slo_ms": 300, "priority": 2, "service": "points-api", "max_attempts": 1},
  {"name": "balance-lookup", "host": "assist.example", "path_prefix": "/balance-lookup/", "kind": "safe", "timeout_ms": 2000, "slo_ms": 300, "priority": 2, "service": "points-api", "max_attempts": 2}]}"#;

impl Fleet {
    /// Starts the store.
    pub fn start(dir: &Path) -> Result<Self, String> {
        let programs = PathBuf::from(std::env::var("PROGRAMS").unwrap_or_else(|_| "target/release".into()));
        let temporary = std::env::temp_dir().join(format!("stairvale-review-{}", std::process::id()));
        fs::create_dir_all(&temporary).map_err(|error| error.to_string())?;
        let configuration = temporary.join("configuration.json");
        fs::write(&configuration, CONFIGURATION).map_err(|error| error.to_string())?;
        let store_address = free_address()?;
        let arguments = ["--store", &store_address.to_string(), "--configuration", &configuration.to_string_lossy()];
        let store =
            Process::start(&programs.join("stairvale-platform-standin"), &arguments, &temporary.join("store.log"))?;
        let fleet = Self {
            dir: dir.to_owned(),
            temporary,
            programs,
            store_address,
            _store: store,
            runners: Vec::new(),
            routers: Vec::new(),
            record: Arc::default(),
            since: Instant::now(),
            serial: 0,
        };
        let until = Instant::now() + Duration::from_secs(5);
        while fleet.transact("[]", "[]").is_err() {
            if Instant::now() > until {
                return Err("the store doesn't answer".into());
            }
            thread::sleep(Duration::from_millis(50));
        }
        // The stand-in's own runners aren't part of the case.
        Ok(fleet)
    }

    fn transact(&self, put: &str, remove: &str) -> Result<(), String> {
        let body = format!("{{\"expected_rev\":[],\"put\":{put},\"remove\":{remove}}}");
        let to = self.store_address;
        let request =
            format!("POST /api/kv-txn HTTP/1.1\r\nHost: {to}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let answer = call_once(to, &request)?;
        if answer.status() == 200 { Ok(()) } else { Err(format!("the store answers {}", answer.status())) }
    }

    /// Writes a runner's entry, as the runner does.
    pub fn enter(&self, index: usize, state: &str) -> Result<(), String> {
        let Runner { id, address, service, .. } = &self.runners[index];
        let value = format!(
            "{{\"service\":\"{service}\",\"addr\":\"{address}\",\"zone\":\"regina-a\",\"version\":\"v1\",\"slots\":64,\"state\":\"{state}\",\"cold_left_ms\":0,\"seq\":1}}"
        );
        let value = base64(value.as_bytes());
        self.transact(&format!("[{{\"key\":\"servers/{id}\",\"value\":\"{value}\",\"lease\":0}}]"), "[]")
    }

    /// Switches what runners do while this is on.
    pub fn switch(&self, name: &str, on: bool) -> Result<(), String> {
        let file = self.temporary.join(name);
        let result = if on { fs::write(file, "") } else { fs::remove_file(file) };
        self.note(&format!("switch    {name} {}", if on { "on" } else { "off" }));
        result.map_err(|error| error.to_string())
    }

    /// Removes the entry of a runner that is gone.
    pub fn remove_entry(&self, id: &str) -> Result<(), String> {
        self.transact("[]", &format!("[\"servers/{id}\"]"))
    }

    fn start_runner(&mut self, address: SocketAddr, options: &[String]) -> Result<(Process, String), String> {
        self.serial += 1;
        let id = format!("i-{:04x}", 0x1000 + self.serial * 7);
        let (addr, dir) = (address.to_string(), self.temporary.to_string_lossy().into_owned());
        let mut arguments = vec!["runner", "--addr", &addr, "--id", &id, "--dir", &dir];
        arguments.extend(options.iter().map(String::as_str));
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        let process = Process::start(&program, &arguments, &self.temporary.join(format!("{id}.log")))?;
        Ok((process, id))
    }

    /// Starts a runner and enters it.
    pub fn add_runner(&mut self, service: &'static str, options: &[&str]) -> Result<(), String> {
        let options: Vec<String> = options.iter().map(|&word| word.to_owned()).collect();
        let address = free_address()?;
        let (process, id) = self.start_runner(address, &options)?;
        self.runners.push(Runner { process, id, address, service, options });
        self.enter(self.runners.len() - 1, "ready")
    }

    /// Starts a runner that has crashed again: a new incarnation with a new id at the same address.
    pub fn restart_runner(&mut self, index: usize) -> Result<(), String> {
        let (address, options) = (self.runners[index].address, self.runners[index].options.clone());
        let (process, id) = self.start_runner(address, &options)?;
        self.runners[index].process = process;
        self.runners[index].id = id;
        self.enter(index, "ready")
    }

    /// Starts routers with the command of the deploy file, and waits until all are ready.
    pub fn start_routers(&mut self, zones: &[&str]) -> Result<(), String> {
        let peers = zones.iter().map(|_| free_address()).collect::<Result<Vec<_>, _>>()?;
        for (number, zone) in zones.iter().enumerate() {
            let (callers, ready) = (free_address()?, free_address()?);
            let seeds: Vec<_> = peers.iter().take(3).map(|seed| format!("\"{seed}\"")).collect();
            // The template of the deploy file, filled with the values of a small deployment.
            let settings = format!(
                "router: \"front-{zone}-{number}\"\nzone: \"{zone}\"\ncallers: \"{callers}\"\nready: \"{ready}\"\npeers: \"{}\"\nseeds: [{}]\nstore: \"{}\"\ncores: 0.25\nfirst_start: true\nzones: {{\"regina-a\": \"prairie-west\", \"saskatoon-b\": \"prairie-west\", \"brandon-c\": \"prairie-west\"}}\nbounds:\n  revoke_ms: 5000\n  strict_revoke: true\n  configuration_ms: 2000\n  leave_ms: 2000\n  grace_s: 8\n  retry_ratio: 0.2\n  retry_free: 58\n  retry_window_s: 10\n  load_multiple: 2\n",
                peers[number],
                seeds.join(", "),
                self.store_address
            );
            let file = self.temporary.join(format!("router-{number}.yaml"));
            fs::write(&file, settings).map_err(|error| error.to_string())?;
            let program = self.programs.join("stairvale-platform");
            let log = self.temporary.join(format!("router-{number}.log"));
            let process = Process::start(&program, &["--settings", &file.to_string_lossy()], &log)?;
            self.routers.push(Router { process, callers, ready });
        }
        let until = Instant::now() + Duration::from_secs(15);
        for router in &self.routers {
            let request = format!("GET /api/ready HTTP/1.1\r\nHost: {}\r\n\r\n", router.ready);
            while call_once(router.ready, &request).map_or(0, |answer| answer.status()) != 200 {
                if Instant::now() > until {
                    return Err("a router isn't ready".into());
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        // The routers are in touch from here on (`contact_ms`).
        thread::sleep(Duration::from_secs(4));
        Ok(())
    }

    /// Adds a line to the record.
    pub fn note(&self, line: &str) {
        note(&self.record, self.since, line);
    }

    pub fn recorder(&self) -> impl Fn(&str) + Send + Clone + use<> {
        let (record, since) = (self.record.clone(), self.since);
        move |line| note(&record, since, line)
    }

    /// The lines that runners wrote: the runner's id, the request's id and what was asked.
    pub fn runs(&self) -> Vec<String> {
        fs::read_to_string(self.temporary.join("runs")).unwrap_or_default().lines().map(str::to_owned).collect()
    }

    /// Lines of the routers' logs that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let read = |number| fs::read_to_string(self.temporary.join(format!("router-{number}.log"))).unwrap_or_default();
        let logs: Vec<_> = (0..self.routers.len()).map(read).collect();
        logs.iter().flat_map(|log| log.lines()).filter(|line| line.contains(text)).map(str::to_owned).collect()
    }

    /// Writes the record, with what ran.
    pub fn finish(&self, verdict: &str) -> Result<(), String> {
        let mut text = self.record.lock().map_err(|_| "the record is lost")?.clone();
        for line in self.runs() {
            let _ = writeln!(text, "run       {line}");
        }
        let _ = writeln!(text, "{verdict}");
        println!("{verdict}");
        fs::write(self.dir.join("record.txt"), text).map_err(|error| error.to_string())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.temporary);
        }
    }
}

fn note(record: &Mutex<String>, since: Instant, line: &str) {
    if let Ok(mut record) = record.lock() {
        let _ = writeln!(record, "{:9.3} {line}", since.elapsed().as_secs_f64());
    }
}

fn call_once(to: SocketAddr, request: &str) -> Result<Message, String> {
    call(to, request.as_bytes(), Duration::from_secs(2)).map_err(|error| error.to_string())
}

/// A request of a client.
pub fn request(route: &str, id: &str, deadline_ms: u64, more: &str) -> String {
    let body = "review";
    format!(
        "POST /{route}/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\nX-Api-Key: {KEY}\r\n{more}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Clients that each have one stream at a time, and check that an answer that looks complete has all events.
pub struct Clients {
    stop: Arc<AtomicBool>,
    sent: Arc<AtomicUsize>,
    broken: Arc<AtomicUsize>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Clients {
    /// Starts clients, spread over all routers.
    pub fn start(fleet: &Fleet, count: usize, events: usize) -> Self {
        let routers: Vec<_> = fleet.routers.iter().map(|router| router.callers).collect();
        Self::start_at(fleet, &routers, count, events)
    }

    /// Starts clients, spread over some routers.
    pub fn start_at(fleet: &Fleet, routers: &[SocketAddr], count: usize, events: usize) -> Self {
        let (stop, sent, broken) =
            (Arc::<AtomicBool>::default(), Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let client = |client: usize| {
            let router = client % routers.len();
            let (to, note) = (routers[router], fleet.recorder());
            let (stop, sent, broken) = (stop.clone(), sent.clone(), broken.clone());
            move || {
                // The clients don't begin all at once.
                thread::sleep(Duration::from_millis(4_500 * client as u64 / count as u64));
                while !stop.load(Ordering::Relaxed) {
                    let number = sent.fetch_add(1, Ordering::Relaxed);
                    let id = format!("{:016x}", 0x9c41_0000_0000_0000_u64 + number as u64);
                    let more = format!(
                        "Model: m\r\nToken-Counts: 713,280\r\nPrompt-Prefix: 5c1e{:02x}:603,{number:x}:110\r\n",
                        number % 40
                    );
                    note(&format!("sent      {id} router={router}"));
                    match call(to, request("til-chat", &id, 15_000, &more).as_bytes(), Duration::from_secs(16)) {
                        Err(error) => note(&format!("answered  {id} none ({error})")),
                        Ok(answer) => {
                            let received = String::from_utf8_lossy(&answer.body).matches("id: ").count();
                            let status = answer.status();
                            let is_complete = status == 200 && answer.whole && answer.framed;
                            let is_cut = is_complete && received < events;
                            broken.fetch_add(usize::from(is_cut), Ordering::Relaxed);
                            let mark = if is_cut { " BROKEN: ends as complete before its last event" } else { "" };
                            note(&format!(
                                "answered  {id} {status} events={received} of {events} complete={is_complete}{mark}"
                            ));
                            if status != 200 {
                                thread::sleep(Duration::from_millis(500));
                            }
                        }
                    }
                }
            }
        };
        let threads = (0..count).map(|number| thread::spawn(client(number))).collect();
        Self { stop, sent, broken, threads }
    }

    /// Waits for the last answers; returns the number of requests, and that of streams that wrongly looked complete.
    pub fn finish(self) -> Result<(usize, usize), String> {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().try_for_each(|thread| thread.join().map_err(|_| "a client failed"))?;
        Ok((self.sent.load(Ordering::Relaxed), self.broken.load(Ordering::Relaxed)))
    }
}

/// Clients that send plain requests, one after the other.
pub struct PlainClients {
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl PlainClients {
    pub fn start(fleet: &Fleet, routers: &[SocketAddr], per_router: usize) -> Self {
        let stop = Arc::<AtomicBool>::default();
        let threads = (0..routers.len() * per_router).map(|client| {
            let (to, note, stop) = (routers[client % routers.len()], fleet.recorder(), stop.clone());
            thread::spawn(move || {
                let mut number = 0_u64;
                while !stop.load(Ordering::Relaxed) {
                    number += 1;
                    let id = format!("{:016x}", 0x7000_0000_0000_0000_u64 + ((client as u64) << 32) + number);
                    note(&format!("sent      {id} points-redeem"));
                    let answer = call(to, request("points-redeem", &id, 4_000, "").as_bytes(), Duration::from_secs(5));
                    note(&format!("answered  {id} {}", answer.map_or(0, |answer| answer.status())));
                    thread::sleep(Duration::from_millis(80));
                }
            })
        });
        let threads = threads.collect();
        Self { stop, threads }
    }

    pub fn finish(self) -> Result<(), String> {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().try_for_each(|thread| thread.join().map_err(|_| "a client failed".to_owned()))
    }
}
