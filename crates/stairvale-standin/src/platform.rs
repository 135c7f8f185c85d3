//! The platform: a key-value store with compare-and-swap, leases and watches, and a list of VMs that lags behind.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use gumdrop::Options;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::{Value as Json, json};
use tokio::sync::Notify;

use crate::http::{Body, Error, body, empty_response, json_body, json_response, query_number, serve};

/// The maximum size of a stored value.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// The command-line arguments of the platform.
#[derive(Debug, Options)]
pub struct Arguments {
    /// print this help
    help: bool,
    /// the address to listen on
    #[options(required)]
    listen: Option<SocketAddr>,
    /// delay of the list of VMs behind its actual state, in milliseconds
    #[options(default = "500")]
    lag_ms: u64,
    /// maximum number of writes per second; more are refused
    #[options(default = "300")]
    writes: u32,
    /// maximum number of reads per second; more are refused
    #[options(default = "2000")]
    reads: u32,
}

#[derive(Clone, Debug)]
struct Entry {
    value: String,
    revision: u64,
    lease: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

/// The injected faults, set by `/admin/faults`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
struct Faults {
    /// Every call is refused with status 503.
    down: bool,
    /// Calls are held for 30 s and then dropped, so that the client times out.
    hang: bool,
    /// The additional delay of each call, in milliseconds.
    slow_ms: u64,
    /// The number of coming writes whose response is lost after the write took effect.
    lose_writes: u32,
    /// The published list of VMs is no longer updated.
    freeze_list: bool,
}

/// The number of calls received by kind, and the number refused by the rate limits.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct Calls {
    reads: u64,
    writes: u64,
    watches: u64,
    leases: u64,
    lists: u64,
    refused: u64,
}

/// A token bucket with a capacity of one second at its rate.
#[derive(Debug)]
struct Bucket {
    rate: f64,
    tokens: f64,
    updated_at: Instant,
}

impl Bucket {
    fn new(rate: u32) -> Self {
        Self { rate: f64::from(rate), tokens: f64::from(rate), updated_at: Instant::now() }
    }

    fn take(&mut self) -> bool {
        let refill = self.updated_at.elapsed().as_secs_f64() * self.rate;
        self.updated_at = Instant::now();
        self.tokens = (self.tokens + refill).min(self.rate);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

#[derive(Debug)]
struct State {
    entries: HashMap<String, Entry>,
    leases: HashMap<u64, Lease>,
    revision: u64,
    vms: HashMap<String, Json>,
    list_revision: u64,
    /// The published lists with their times and revisions, so that a delayed one can be returned.
    lists: Vec<(Instant, u64, Vec<Json>)>,
    faults: Faults,
    calls: Calls,
    reads: Bucket,
    writes: Bucket,
}

/// A running platform stand-in.
#[derive(Debug)]
pub struct Platform {
    state: Mutex<State>,
    changed: Notify,
    lag: Duration,
}

/// Runs the platform until the process ends.
///
/// # Errors
/// [`Error::Listen`] if the address cannot be bound.
pub async fn run(arguments: Arguments) -> Result<(), Error> {
    let address = arguments.listen.ok_or(Error::Listen)?;
    let platform = Arc::new(Platform::new(&arguments));
    serve(address, move |request| handle(platform.clone(), request)).await
}

async fn handle(platform: Arc<Platform>, request: Request<Incoming>) -> Option<Response<Body>> {
    let path = request.uri().path().to_owned();
    if let Some(admin) = path.strip_prefix("/admin/") {
        return platform.admin(admin, request).await;
    }
    let faults = platform.state().faults;
    if faults.hang {
        tokio::time::sleep(Duration::from_secs(30)).await;
        return None;
    }
    tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    if faults.down {
        return Some(empty_response(StatusCode::SERVICE_UNAVAILABLE));
    }
    platform.route(&path, request).await
}

impl Platform {
    fn new(arguments: &Arguments) -> Self {
        let state = State {
            entries: HashMap::new(),
            leases: HashMap::new(),
            revision: 0,
            vms: HashMap::new(),
            list_revision: 0,
            lists: Vec::new(),
            faults: Faults::default(),
            calls: Calls::default(),
            reads: Bucket::new(arguments.reads),
            writes: Bucket::new(arguments.writes),
        };
        Self { state: Mutex::new(state), changed: Notify::new(), lag: Duration::from_millis(arguments.lag_ms) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.expire_leases();
        state
    }

    async fn route(&self, path: &str, request: Request<Incoming>) -> Option<Response<Body>> {
        if let Some(key) = path.strip_prefix("/v1/kv/") {
            return match *request.method() {
                Method::GET => Some(self.read(key)),
                Method::PUT => self.write(key.to_owned(), request).await,
                _ => Some(empty_response(StatusCode::METHOD_NOT_ALLOWED)),
            };
        }
        if let Some(key) = path.strip_prefix("/v1/watch/") {
            let after = query_number(&request, "after").unwrap_or(0);
            let wait = Duration::from_millis(query_number(&request, "wait_ms").unwrap_or(0));
            return Some(self.watch(key, after, wait).await);
        }
        if path == "/v1/vms" {
            return Some(self.list());
        }
        if path == "/v1/leases" {
            let ttl = json_body::<Json>(request).await?["ttl_ms"].as_u64()?;
            return Some(self.lease(Duration::from_millis(ttl)));
        }
        let lease = path.strip_prefix("/v1/leases/")?.strip_suffix("/renew")?.parse().ok()?;
        Some(self.renew(lease))
    }

    fn read(&self, key: &str) -> Response<Body> {
        let mut state = self.state();
        state.calls.reads += 1;
        if !state.reads.take() {
            state.calls.refused += 1;
            return empty_response(StatusCode::TOO_MANY_REQUESTS);
        }
        state.entry_response(key)
    }

    async fn write(&self, key: String, request: Request<Incoming>) -> Option<Response<Body>> {
        let expected = query_number(&request, "revision").unwrap_or(0);
        let lease = query_number(&request, "lease");
        let value = String::from_utf8(body(request).await?.to_vec()).ok()?;
        let (response, lost) = {
            let mut state = self.state();
            state.calls.writes += 1;
            if !state.writes.take() {
                state.calls.refused += 1;
                return Some(empty_response(StatusCode::TOO_MANY_REQUESTS));
            }
            if value.len() > MAX_VALUE_BYTES {
                return Some(empty_response(StatusCode::PAYLOAD_TOO_LARGE));
            }
            let response = state.compare_and_swap(key, value, expected, lease);
            let lost = state.faults.lose_writes > 0;
            state.faults.lose_writes = state.faults.lose_writes.saturating_sub(1);
            (response, lost)
        };
        self.changed.notify_waiters();
        (!lost).then_some(response)
    }

    async fn watch(&self, key: &str, after: u64, wait: Duration) -> Response<Body> {
        let deadline = Instant::now() + wait;
        self.state().calls.watches += 1;
        loop {
            let changed = self.changed.notified();
            {
                let state = self.state();
                if state.faults.down {
                    return empty_response(StatusCode::SERVICE_UNAVAILABLE);
                }
                let revision = state.entries.get(key).map_or(0, |entry| entry.revision);
                if revision != after {
                    return state.entry_response(key);
                }
            }
            if tokio::time::timeout_at(deadline.into(), changed).await.is_err() {
                return empty_response(StatusCode::NO_CONTENT);
            }
        }
    }

    fn lease(&self, ttl: Duration) -> Response<Body> {
        let mut state = self.state();
        state.calls.leases += 1;
        state.revision += 1;
        let lease = state.revision;
        state.leases.insert(lease, Lease { ttl, expires_at: Instant::now() + ttl });
        json_response(&json!({ "lease": lease }))
    }

    fn renew(&self, lease: u64) -> Response<Body> {
        let mut state = self.state();
        state.calls.leases += 1;
        let Some(lease) = state.leases.get_mut(&lease) else {
            return empty_response(StatusCode::NOT_FOUND);
        };
        lease.expires_at = Instant::now() + lease.ttl;
        json_response(&json!({}))
    }

    fn list(&self) -> Response<Body> {
        let mut state = self.state();
        state.calls.lists += 1;
        let lag = self.lag;
        let delayed = state.lists.iter().rev().find(|(at, _, _)| at.elapsed() >= lag);
        let (revision, vms) = delayed.map(|(_, revision, vms)| (*revision, vms.clone())).unwrap_or_default();
        json_response(&json!({ "revision": revision, "vms": vms }))
    }

    async fn admin(&self, path: &str, request: Request<Incoming>) -> Option<Response<Body>> {
        let is_get = request.method() == Method::GET;
        match path {
            "stats" => Some(json_response(&self.state().calls)),
            "faults" if is_get => Some(json_response(&self.state().faults)),
            "faults" => {
                let faults = json_body(request).await?;
                self.state().faults = faults;
                self.changed.notify_waiters();
                Some(json_response(&faults))
            }
            "vms" => {
                let vms: Vec<Json> = json_body(request).await?;
                self.state().set_vms(vms);
                Some(json_response(&json!({})))
            }
            "dump" => {
                let state = self.state();
                let entries: HashMap<_, _> = state.entries.iter().map(|(key, entry)| (key, &entry.value)).collect();
                Some(json_response(&entries))
            }
            _ => Some(empty_response(StatusCode::NOT_FOUND)),
        }
    }
}

impl State {
    /// Removes expired leases and the entries that are bound to them.
    fn expire_leases(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, lease| lease.expires_at > now);
        let leases = &self.leases;
        self.entries.retain(|_, entry| entry.lease.is_none_or(|lease| leases.contains_key(&lease)));
    }

    fn entry_response(&self, key: &str) -> Response<Body> {
        let Some(entry) = self.entries.get(key) else {
            return empty_response(StatusCode::NOT_FOUND);
        };
        json_response(&json!({ "value": entry.value, "revision": entry.revision }))
    }

    fn compare_and_swap(&mut self, key: String, value: String, expected: u64, lease: Option<u64>) -> Response<Body> {
        let found = self.entries.get(&key).map_or(0, |entry| entry.revision);
        if found != expected {
            let mut response = json_response(&json!({ "revision": found }));
            *response.status_mut() = StatusCode::CONFLICT;
            return response;
        }
        self.revision += 1;
        let revision = self.revision;
        self.entries.insert(key, Entry { value, revision, lease });
        json_response(&json!({ "revision": revision }))
    }

    /// Adds or replaces VMs by name and publishes a new list; a VM with `"gone": true` is removed.
    fn set_vms(&mut self, vms: Vec<Json>) {
        for vm in vms {
            let name = vm["name"].as_str().unwrap_or_default().to_owned();
            if vm["gone"] == true {
                self.vms.remove(&name);
            } else {
                self.vms.insert(name, vm);
            }
        }
        if self.faults.freeze_list {
            return;
        }
        self.list_revision += 1;
        let mut list: Vec<_> = self.vms.values().cloned().collect();
        list.sort_by_key(|vm| vm["name"].as_str().unwrap_or_default().to_owned());
        self.lists.push((Instant::now(), self.list_revision, list));
    }
}
