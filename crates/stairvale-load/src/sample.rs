//! Samples of the fleet: the load of the engines every 100 ms, what the upstreams ran, the routers' counters, and how
//! long a configuration takes to be in force.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::future::join_all;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use serde::Serialize;
use serde_json::Value;

use crate::client::{Client, lock};

/// Interval between two samples of the engines' load.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum mean load, in requests, of windows that count towards the skew; below this, skew is mostly rounding.
const MIN_MEAN_LOAD: f64 = 1.0;
/// The number of windows with the highest skew that are reported.
const REPORTED_WINDOWS: usize = 3;
/// Interval at which the run counts of the plain upstreams are fetched.
const RUN_COUNTS_INTERVAL: Duration = Duration::from_millis(150);
/// Interval between status requests to the routers while a configuration is being distributed.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time to wait for a configuration to be in force; it is reported for those that take longer.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);

/// The addresses of the fleet apart from the routers' addresses for callers.
#[derive(Clone, Debug)]
pub struct Endpoints {
    /// The address of the platform.
    pub platform: SocketAddr,
    /// The addresses of the routers for operators.
    pub operators: Vec<SocketAddr>,
    /// The key of an operator.
    pub operator_key: String,
}

/// An upstream that the platform lists.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// The name of the service.
    pub service: String,
    /// The address of the upstream.
    pub address: SocketAddr,
}

/// The load of the engines in one sample.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Window {
    /// The time of the sample, in seconds since sampling started.
    pub at_s: f64,
    /// The skew: the highest load of an engine, divided by the mean load.
    pub skew: f64,
    /// The mean load of the engines.
    pub mean: f64,
    /// The engine with the highest load.
    pub engine: SocketAddr,
}

/// The skew of the engines' load (maximum over mean) in all windows.
#[derive(Debug, Default)]
pub struct Skew {
    windows: Vec<Window>,
    low_load_windows: Vec<Window>,
}

/// A quantile of the skew of `windows`; `None` if there are none.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, clippy::cast_precision_loss)]
fn quantile(windows: &[Window], quantile: f64) -> Option<f64> {
    let mut skews: Vec<_> = windows.iter().map(|window| window.skew).collect();
    skews.sort_by(f64::total_cmp);
    let index = (quantile * skews.len() as f64) as usize;
    skews.get(index.min(skews.len().saturating_sub(1))).copied()
}

impl Skew {
    /// A quantile of the skew over all windows with a mean load of at least one; `None` if there are none.
    #[must_use]
    pub fn quantile(&self, part: f64) -> Option<f64> {
        quantile(&self.windows, part)
    }

    /// A quantile of the skew over the windows with a mean load below one, where skew is mostly rounding; `None` if
    /// there are none.
    #[must_use]
    pub fn low_load_quantile(&self, part: f64) -> Option<f64> {
        quantile(&self.low_load_windows, part)
    }

    /// The mean load over all windows with a mean load of at least one; `None` if there are none.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn mean_load(&self) -> Option<f64> {
        let sum: f64 = self.windows.iter().map(|window| window.mean).sum();
        (!self.windows.is_empty()).then(|| sum / self.windows.len() as f64)
    }

    /// The windows with the highest skew, for looking up what happened at their time.
    #[must_use]
    pub fn worst_windows(&self) -> Vec<Window> {
        let mut worst = self.windows.clone();
        worst.sort_by(|a, b| b.skew.total_cmp(&a.skew));
        worst.truncate(REPORTED_WINDOWS);
        worst
    }

    fn add(&mut self, window: Window) {
        let windows = if window.mean >= MIN_MEAN_LOAD { &mut self.windows } else { &mut self.low_load_windows };
        windows.push(window);
    }
}

/// Sends a request, and returns the status and body of the response; `None` if there is none.
pub async fn fetch(client: &Client, method: Method, uri: String, key: &str, body: String) -> Option<(u16, Bytes)> {
    let request = Request::builder().method(method).uri(uri).header("authorization", format!("Bearer {key}"));
    let request = request.body(Full::new(body.into())).ok()?;
    let response = tokio::time::timeout(Duration::from_secs(10), client.http.request(request)).await.ok()?.ok()?;
    let status = response.status().as_u16();
    Some((status, response.into_body().collect().await.ok()?.to_bytes()))
}

async fn get_json(client: &Client, uri: String, key: &str) -> Option<Value> {
    let (_, body) = fetch(client, Method::GET, uri, key, String::new()).await?;
    serde_json::from_slice(&body).ok()
}

/// The upstreams that the platform lists and that are not about to leave.
pub async fn upstreams(client: &Client, endpoints: &Endpoints) -> Vec<Upstream> {
    let list = get_json(client, format!("http://{}/v1/vms", endpoints.platform), "").await.unwrap_or_default();
    let vms = list["vms"].as_array().cloned().unwrap_or_default();
    let remaining = vms.iter().filter(|vm| vm["role"] == "upstream" && vm["leaving"] != true);
    let upstream = |vm: &Value| {
        let service = vm["service"].as_str()?.to_owned();
        let address = vm["address"].as_str()?.parse().ok()?;
        Some(Upstream { service, address })
    };
    remaining.filter_map(upstream).collect()
}

/// Samples the load of the engines until the future is dropped.
pub async fn sample_skew(client: Arc<Client>, endpoints: Endpoints, skew: Arc<Mutex<Skew>>) {
    let mut ticks = tokio::time::interval(SAMPLE_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut engines = Vec::new();
    let started = Instant::now();
    for tick in 0_u64.. {
        ticks.tick().await;
        if tick % 5 == 0 {
            engines = upstreams(&client, &endpoints).await;
            engines.retain(|engine| engine.service == client.chat_service);
        }
        let requests = engines.iter().map(|engine| engine_load(&client, engine.address));
        let loads: Vec<_> = join_all(requests).await.into_iter().flatten().collect();
        if let Some(window) = window(started.elapsed(), &loads) {
            lock(&skew).add(window);
        }
    }
}

#[allow(clippy::cast_precision_loss)]
fn window(at: Duration, loads: &[EngineLoad]) -> Option<Window> {
    let mean = loads.iter().map(|engine| engine.load).sum::<f64>() / loads.len() as f64;
    let highest = loads.iter().max_by(|a, b| a.load.total_cmp(&b.load))?;
    let window = Window { at_s: at.as_secs_f64(), skew: highest.load / mean, mean, engine: highest.engine };
    (mean > 0.0).then_some(window)
}

/// The load of one engine.
#[derive(Clone, Copy, Debug)]
struct EngineLoad {
    engine: SocketAddr,
    load: f64,
}

async fn engine_load(client: &Client, engine: SocketAddr) -> Option<EngineLoad> {
    let load = get_json(client, format!("http://{engine}/admin/load"), "").await?["load"].as_f64()?;
    Some(EngineLoad { engine, load })
}

/// How often each request ran, by upstream. The counts of an upstream are lost when it leaves, so they are kept here.
pub type RunCounts = HashMap<SocketAddr, HashMap<String, u64>>;

/// Fetches the run counts of the plain upstreams repeatedly until the future is dropped.
pub async fn poll_run_counts(client: Arc<Client>, endpoints: Endpoints, runs: Arc<Mutex<RunCounts>>) {
    loop {
        update_run_counts(&client, &endpoints, &runs).await;
        tokio::time::sleep(RUN_COUNTS_INTERVAL).await;
    }
}

/// Fetches the run counts of the plain upstreams once.
pub async fn update_run_counts(client: &Client, endpoints: &Endpoints, runs: &Mutex<RunCounts>) {
    let listed =
        upstreams(client, endpoints).await.into_iter().filter(|upstream| upstream.service == client.plain_service);
    let known: Vec<_> = lock(runs).keys().copied().collect();
    let mut addresses: Vec<_> = listed.map(|upstream| upstream.address).chain(known).collect();
    addresses.sort();
    addresses.dedup();
    for address in addresses {
        let Some(counts) = get_json(client, format!("http://{address}/admin/runs"), "").await else {
            continue;
        };
        let counts = counts.as_object().into_iter().flatten();
        let counts = counts.map(|(request, count)| (request.clone(), count.as_u64().unwrap_or(0)));
        lock(runs).insert(address, counts.collect());
    }
}

/// Fetches the counters of a router, by name; `None` if the request fails.
pub async fn counters(client: &Client, endpoints: &Endpoints, router: SocketAddr) -> Option<HashMap<String, f64>> {
    let uri = format!("http://{router}/metrics");
    let (status, body) = fetch(client, Method::GET, uri, &endpoints.operator_key, String::new()).await?;
    if status != 200 {
        return None;
    }
    let text = String::from_utf8_lossy(&body).into_owned();
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    Some(
        lines
            .filter_map(|line| line.rsplit_once(' '))
            .filter_map(|(name, value)| Some((name.to_owned(), value.parse().ok()?)))
            .collect(),
    )
}

/// Applies the document with a changed comment, and returns the time until all routers that answer have it in force, at
/// most `IN_FORCE_TIMEOUT`; `None` if it was not accepted.
pub async fn apply_and_time(client: &Client, endpoints: &Endpoints, document: &str, number: u64) -> Option<Duration> {
    let first = endpoints.operators.first()?;
    let status = get_json(client, format!("http://{first}/v1/status"), &endpoints.operator_key).await?;
    let base = status["stats"]["generation"].as_u64()?;
    let submission = uuid::Uuid::new_v4();
    let uri = format!("http://{first}/v1/config?base={base}&submission={submission}");
    let body = format!("{document}\n# mark {number}\n");
    let (status, response) = fetch(client, Method::PUT, uri, &endpoints.operator_key, body).await?;
    if status != 200 {
        return None;
    }
    let accepted = Instant::now();
    let generation = serde_json::from_slice::<Value>(&response).ok()?["generation"].as_u64()?;
    while accepted.elapsed() < IN_FORCE_TIMEOUT {
        let requests = endpoints.operators.iter().map(|router| router_generation(client, endpoints, *router));
        let generations = join_all(requests).await;
        if generations.into_iter().flatten().all(|in_force| in_force >= generation) {
            return Some(accepted.elapsed());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Some(IN_FORCE_TIMEOUT)
}

async fn router_generation(client: &Client, endpoints: &Endpoints, router: SocketAddr) -> Option<u64> {
    get_json(client, format!("http://{router}/v1/status"), &endpoints.operator_key).await?["stats"]["generation"]
        .as_u64()
}
