//! Stand-ins for the cases of the second review, with the standard library only: the platform's store, runners, clients, and
//! the project's router as a process.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs::File,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

// ---------------------------------------------------------------------------
// Record of a case.

/// Writes what happened to the record, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        let file = File::create(path).unwrap_or_else(|error| quit(&format!("the record can't be written: {error}")));
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let ms = self.start.elapsed().as_secs_f64() * 1e3;
        let _ = writeln!(self.file.lock().unwrap(), "{ms:>10.1} ms  {text}");
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }
}

/// Notes a process that the case has started, so that it ends with the case.
pub fn started(process: u32) {
    RUNNING.lock().unwrap().push(process);
}

/// The processes that were started and not ended yet.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case as one that couldn't run, and the processes that it started.
pub fn quit(text: &str) -> ! {
    eprintln!("the case couldn't run: {text}");
    for process in RUNNING.lock().unwrap().iter() {
        let _ = Command::new("kill").arg("-KILL").arg(process.to_string()).status();
    }
    std::process::exit(2)
}

/// Ends the case after this time, whatever it does then.
pub fn limit_time(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        quit("it took too long");
    });
}

/// Whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A loopback address on which nothing listens. Its port is below those that the kernel gives to outgoing connections, so that
/// none of these takes it before a process listens there.
pub fn free_address() -> SocketAddr {
    static TAKEN: AtomicUsize = AtomicUsize::new(0);
    let first = std::process::id() as usize * 61;
    for _ in 0..9_000 {
        let number = first + TAKEN.fetch_add(1, Ordering::SeqCst);
        let address = SocketAddr::from(([127, 0, 0, 1], 22_000 + (number % 9_000) as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    quit("no port is free")
}

// ---------------------------------------------------------------------------
// HTTP/1.1.

/// A request or an answer: the words of its first line, the headers with names in lower case, and the body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(header, _)| header == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.get(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first.get(1).map_or("", String::as_str)
    }

    pub fn id(&self) -> &str {
        self.header("request-id").unwrap_or("")
    }
}

/// One side of an HTTP connection.
pub struct Http {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

impl Http {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, unread: Vec::new() }
    }

    pub fn connect(address: SocketAddr) -> std::io::Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Self::new)
    }

    pub fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn more(&mut self) -> Option<()> {
        let mut buffer = [0; 64 << 10];
        match self.stream.read(&mut buffer) {
            Ok(0) | Err(_) => None,
            Ok(read) => {
                self.unread.extend_from_slice(&buffer[..read]);
                Some(())
            }
        }
    }

    /// Reads the first line and the headers.
    pub fn head(&mut self) -> Option<Message> {
        let end = loop {
            if let Some(end) = self.unread.windows(4).position(|window| window == b"\r\n\r\n") {
                break end;
            }
            self.more()?;
        };
        let text = String::from_utf8_lossy(&self.unread[..end]).into_owned();
        self.unread.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first = lines.next()?.split(' ').map(str::to_owned).collect();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned())).collect();
        Some(Message { first, headers, body: Vec::new() })
    }

    /// Reads a whole message whose body has a length or comes in chunks. `None` if the connection ends before.
    pub fn message(&mut self) -> Option<Message> {
        let head = self.head()?;
        self.rest_of(head)
    }

    /// Reads a message whose body has a length and is not kept.
    pub fn message_without_body(&mut self) -> Option<Message> {
        let message = self.head()?;
        let mut left: usize = message.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        loop {
            let read = left.min(self.unread.len());
            self.unread.drain(..read);
            left -= read;
            if left == 0 {
                return Some(message);
            }
            self.more()?;
        }
    }

    /// Reads the body after a head. `None` if the connection ends before the end of the body.
    pub fn rest_of(&mut self, head: Message) -> Option<Message> {
        let mut message = head;
        if message.header("transfer-encoding").is_some_and(|coding| coding.contains("chunked")) {
            loop {
                let end = loop {
                    if let Some(end) = self.unread.windows(2).position(|window| window == b"\r\n") {
                        break end;
                    }
                    self.more()?;
                };
                let size = usize::from_str_radix(String::from_utf8_lossy(&self.unread[..end]).trim(), 16).ok()?;
                while self.unread.len() < end + 2 + size + 2 {
                    self.more()?;
                }
                message.body.extend_from_slice(&self.unread[end + 2..end + 2 + size]);
                self.unread.drain(..end + 2 + size + 2);
                if size == 0 {
                    return Some(message);
                }
            }
        }
        let length = message.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        while self.unread.len() < length {
            self.more()?;
        }
        message.body = self.unread.drain(..length).collect();
        Some(message)
    }
}

/// Serves connections, each in a thread.
pub fn listen(address: SocketAddr, serve: impl Fn(Http) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind(address).unwrap_or_else(|error| quit(&error.to_string()));
    let address = listener.local_addr().unwrap_or_else(|error| quit(&error.to_string()));
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(Http::new(stream)));
        }
    });
    address
}

// ---------------------------------------------------------------------------
// JSON and base64.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Self> {
        let mut at = 0;
        Self::value(text, &mut at)
    }

    pub fn get(&self, name: &str) -> Option<&Self> {
        match self {
            Self::Table(fields) => fields.iter().find(|(field, _)| field == name).map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        if let Self::Text(text) = self { Some(text) } else { None }
    }

    pub fn number(&self) -> Option<u64> {
        if let Self::Number(number) = self { Some(*number as u64) } else { None }
    }

    pub fn list(&self) -> &[Self] {
        if let Self::List(list) = self { list } else { &[] }
    }

    fn skip(text: &[u8], at: &mut usize) {
        while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
            *at += 1;
        }
    }

    fn value(text: &[u8], at: &mut usize) -> Option<Self> {
        Self::skip(text, at);
        let value = match *text.get(*at)? {
            b'{' => {
                *at += 1;
                let mut fields = Vec::new();
                loop {
                    Self::skip(text, at);
                    if *text.get(*at)? == b'}' {
                        *at += 1;
                        break;
                    }
                    let Self::Text(name) = Self::value(text, at)? else { return None };
                    Self::skip(text, at);
                    *at += 1;
                    fields.push((name, Self::value(text, at)?));
                    Self::skip(text, at);
                    if *text.get(*at)? == b',' {
                        *at += 1;
                    }
                }
                Self::Table(fields)
            }
            b'[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::skip(text, at);
                    if *text.get(*at)? == b']' {
                        *at += 1;
                        break;
                    }
                    list.push(Self::value(text, at)?);
                    Self::skip(text, at);
                    if *text.get(*at)? == b',' {
                        *at += 1;
                    }
                }
                Self::List(list)
            }
            b'"' => {
                *at += 1;
                let mut bytes = Vec::new();
                loop {
                    match *text.get(*at)? {
                        b'"' => break,
                        b'\\' => {
                            *at += 1;
                            bytes.push(*text.get(*at)?);
                        }
                        byte => bytes.push(byte),
                    }
                    *at += 1;
                }
                *at += 1;
                Self::Text(String::from_utf8(bytes).ok()?)
            }
            b't' => {
                *at += 4;
                Self::Bool(true)
            }
            b'f' => {
                *at += 5;
                Self::Bool(false)
            }
            b'n' => {
                *at += 4;
                Self::Null
            }
            _ => {
                let start = *at;
                while text.get(*at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
                    *at += 1;
                }
                Self::Number(std::str::from_utf8(&text[start..*at]).ok()?.parse().ok()?)
            }
        };
        Some(value)
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let word = group.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - group.len()));
        for index in 0..4 {
            let sign = BASE64[(word >> (18 - 6 * index) & 63) as usize] as char;
            text.push(if index <= group.len() { sign } else { '=' });
        }
    }
    text
}

// ---------------------------------------------------------------------------
// The platform's store.

#[derive(Clone, Debug)]
struct Item {
    /// In base64; `None` for a key that was removed.
    value: Option<String>,
    rev: u64,
    made: u64,
    lease: u64,
}

#[derive(Default)]
struct Items {
    rev: u64,
    items: BTreeMap<String, Item>,
    leases: u64,
}

/// The platform's store. It never fails.
#[derive(Clone, Default)]
pub struct Store {
    items: Arc<(Mutex<Items>, Condvar)>,
}

impl Store {
    pub fn start() -> (Self, SocketAddr) {
        let store = Self::default();
        let served = store.clone();
        let address = listen(SocketAddr::from(([127, 0, 0, 1], 0)), move |mut http| {
            while let Some(request) = http.message() {
                let (status, body) = served.answer(&request);
                let head = format!(
                    "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                if http.send((head + &body).as_bytes()).is_err() {
                    return;
                }
            }
        });
        (store, address)
    }

    /// Writes a key as the operator or a runner does.
    pub fn put(&self, key: &str, value: &str) {
        self.change(|items| items.write(key, Some(base64(value.as_bytes())), 0));
    }

    pub fn remove(&self, key: &str) {
        self.change(|items| items.write(key, None, 0));
    }

    fn change<T>(&self, change: impl FnOnce(&mut Items) -> T) -> T {
        let result = change(&mut self.items.0.lock().unwrap());
        self.items.1.notify_all();
        result
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let path = request.path();
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let field = |name: &str| {
            let value = query.split('&').filter_map(|field| field.split_once('=')).find(|(field, _)| *field == name);
            value.map_or("", |(_, value)| value).replace("%3A", ":")
        };
        match path {
            "/api/kv-key" => {
                let items = self.items.0.lock().unwrap();
                let key = field("key");
                match items.items.get(&key).filter(|item| item.value.is_some()) {
                    Some(item) => (200, item.json(&key)),
                    None => (404, "{}".to_owned()),
                }
            }
            "/api/kv-range" => {
                let items = self.items.0.lock().unwrap();
                let (prefix, after) = (field("path_prefix"), field("after_rev"));
                let present = items.items.iter().filter(|(_, item)| item.value.is_some());
                let listed = present.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let listed: Vec<_> = listed.map(|(key, item)| item.json(key)).collect();
                (200, format!("{{\"items\":[{}],\"more\":false,\"at\":{}}}", listed.join(","), items.rev))
            }
            "/api/kv-watch" => {
                let after = field("after_rev").parse::<u64>().unwrap_or(0);
                let wait = Duration::from_millis(field("wait_ms").parse().unwrap_or(0));
                let prefix = field("path_prefix");
                let items = self.items.0.lock().unwrap();
                let unchanged = |items: &mut Items| {
                    !items.items.iter().any(|(key, item)| item.rev > after && key.starts_with(&prefix))
                };
                let (items, _) = self.items.1.wait_timeout_while(items, wait, unchanged).unwrap();
                let changed = items.items.iter().filter(|(key, item)| item.rev > after && key.starts_with(&prefix));
                let mut changed: Vec<_> = changed.map(|(key, item)| (item.rev, item.json(key))).collect();
                changed.sort();
                let events: Vec<_> = changed.into_iter().map(|(_, event)| event).collect();
                (200, format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), items.rev))
            }
            "/api/kv-txn" => {
                let Some(body) = Json::parse(&request.body) else { return (400, "{}".to_owned()) };
                let list = |name: &str| body.get(name).map(|list| list.list().to_vec()).unwrap_or_default();
                let rows: Vec<_> = list("expected_rev")
                    .iter()
                    .filter_map(|row| Some((row.get("key")?.text()?.to_owned(), row.get("rev")?.number()?)))
                    .collect();
                let result = self.change(|items| {
                    let current =
                        |key: &str| items.items.get(key).filter(|item| item.value.is_some()).map_or(0, |item| item.rev);
                    if rows.iter().any(|(key, rev)| current(key) != *rev) {
                        let stored: Vec<_> =
                            rows.iter().filter_map(|(key, _)| Some(items.items.get(key)?.json(key))).collect();
                        return Err(stored.join(","));
                    }
                    for put in list("put") {
                        let text = |name| put.get(name).and_then(Json::text).unwrap_or("").to_owned();
                        let lease = put.get("lease").and_then(Json::number).unwrap_or(0);
                        items.write(&text("key"), Some(text("value")), lease);
                    }
                    for key in list("remove").iter().filter_map(Json::text) {
                        items.write(key, None, 0);
                    }
                    Ok(items.rev)
                });
                match result {
                    Ok(rev) => (200, format!("{{\"rev\":{rev}}}")),
                    Err(stored) => (412, format!("{{\"items\":[{stored}]}}")),
                }
            }
            "/api/kv-lease" => {
                let ttl = Json::parse(&request.body).and_then(|body| body.get("ttl_ms")?.number()).unwrap_or(3_000);
                let lease = self.change(|items| {
                    items.leases += 1;
                    items.leases
                });
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            _ if path.starts_with("/api/kv-keep/") => (200, "{\"ttl_ms\":600000}".to_owned()),
            _ if path.starts_with("/api/kv-lease-end/") => (200, "{}".to_owned()),
            _ => (404, "{}".to_owned()),
        }
    }
}

impl Items {
    fn write(&mut self, key: &str, value: Option<String>, lease: u64) {
        self.rev += 1;
        let made = self.items.get(key).filter(|item| item.value.is_some()).map_or(self.rev, |item| item.made);
        self.items.insert(key.to_owned(), Item { value, rev: self.rev, made, lease });
    }
}

impl Item {
    fn json(&self, key: &str) -> String {
        match &self.value {
            Some(value) => format!(
                "{{\"key\":\"{key}\",\"value\":\"{value}\",\"rev\":{},\"made\":{},\"lease\":{}}}",
                self.rev, self.made, self.lease
            ),
            None => format!("{{\"key\":\"{key}\",\"rev\":{},\"gone\":true}}", self.rev),
        }
    }
}

/// A runner's entry in the store.
pub fn entry(service: &str, address: SocketAddr, zone: &str, slots: u32, state: &str) -> String {
    format!(
        "{{\"service\":\"{service}\",\"addr\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\
         \"state\":\"{state}\",\"cold_left_ms\":0,\"seq\":1}}"
    )
}

// ---------------------------------------------------------------------------
// The project's router.

/// A router as a process, with the command of the deploy file.
pub struct Router {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

/// A folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap_or_else(|error| quit(&error.to_string()));
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Starts routers with the settings that the platform fills in from the template for a small deployment.
pub fn start_routers(folder: &Folder, store: SocketAddr, zones: &[&str], record: &Record) -> Vec<Router> {
    let addresses: Vec<[SocketAddr; 3]> =
        zones.iter().map(|_| [free_address(), free_address(), free_address()]).collect();
    let seeds: Vec<_> = addresses.iter().take(3).map(|[_, _, peers]| format!("\"{peers}\"")).collect();
    let region: Vec<_> = zones.iter().map(|zone| format!("\"{zone}\":\"west\"")).collect();
    let mut routers = Vec::new();
    for (index, ([callers, ready, peers], zone)) in addresses.iter().zip(zones).enumerate() {
        let name = format!("front-{zone}-{index}");
        let settings = folder.0.join(format!("{name}.yaml"));
        let text = format!(
            "router: \"{name}\"\nzone: \"{zone}\"\ncallers: \"{callers}\"\nready: \"{ready}\"\npeers: \"{peers}\"\n\
             seeds: [{}]\nstore: \"{store}\"\ncores: 0.25\nfirst_start: true\nzones: {{{}}}\nbounds:\n  revoke_ms: 5000\n  \
             strict_revoke: true\n  configuration_ms: 2000\n  leave_ms: 2000\n  grace_s: 8\n  retry_ratio: 0.2\n  \
             retry_free: 58\n  retry_window_s: 10\n  load_multiple: 2\n",
            seeds.join(","),
            region.join(",")
        );
        std::fs::write(&settings, text).unwrap_or_else(|error| quit(&error.to_string()));
        let mut router = Router { name, callers: *callers, ready: *ready, peers: *peers, settings, child: None };
        router.start(record);
        routers.push(router);
    }
    for router in &routers {
        router.wait_until_ready(record);
    }
    routers
}

impl Router {
    pub fn start(&mut self, record: &Record) {
        let log = File::create(self.settings.with_extension("log")).unwrap_or_else(|error| quit(&error.to_string()));
        let program = std::env::var("ROUTER").unwrap_or_else(|_| "target/release/stairvale-platform".to_owned());
        let errors = log.try_clone().unwrap_or_else(|error| quit(&error.to_string()));
        let mut command = Command::new(program);
        command.arg("--settings").arg(&self.settings).stdin(Stdio::null()).stdout(log).stderr(errors);
        let child = command.spawn().unwrap_or_else(|error| quit(&format!("the router can't be started: {error}")));
        started(child.id());
        record.line(&format!("router {} starts: callers at {}, process {}", self.name, self.callers, child.id()));
        self.child = Some(child);
    }

    pub fn wait_until_ready(&self, record: &Record) {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if let Ok(mut http) = Http::connect(self.ready) {
                let _ = http.send(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
                if http.message().is_some_and(|answer| answer.status() == 200) {
                    record.line(&format!("router {} is ready", self.name));
                    return;
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        quit("a router didn't become ready")
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// The resident memory, in bytes; `None` if the process has ended.
    pub fn memory(&self) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).ok()?;
        let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse::<u64>().ok().map(|kilobytes| kilobytes << 10)
    }

    /// Sends a signal: `TERM`, `STOP`, `CONT`, `HUP`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.pid().to_string()).status();
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            RUNNING.lock().unwrap().retain(|process| *process != child.id());
        }
    }

    /// The lines of the router's log that contain a text.
    pub fn log(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(self.settings.with_extension("log")).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A counter that threads share.
#[derive(Clone, Default)]
pub struct Count(Arc<AtomicUsize>);

impl Count {
    pub fn add(&self) -> usize {
        self.0.fetch_add(1, Ordering::SeqCst)
    }

    pub fn get(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }
}
