//! What engines carry, every 100 ms, and how long a configuration takes to be in force.

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

/// One window of skew.
const WINDOW: Duration = Duration::from_millis(100);
/// Below this mean load skew is only rounding.
const MIN_MEAN: f64 = 1.0;
/// Windows with the highest skew that are reported.
const WORST: usize = 3;
/// How often the counts of what ran are fetched.
const RUNS_EVERY: Duration = Duration::from_millis(150);
/// How often routers are asked while a configuration spreads.
const POLL: Duration = Duration::from_millis(20);
/// A configuration that isn't in force by then counts as this long.
const GIVE_UP: Duration = Duration::from_secs(30);

/// Who takes part beside the routers' callers' side.
#[derive(Clone, Debug)]
pub struct Parts {
    /// The platform.
    pub platform: SocketAddr,
    /// The routers' operators' addresses.
    pub operators: Vec<SocketAddr>,
    /// An operator's key.
    pub operator_key: String,
}

/// An upstream from the platform's list.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its service.
    pub service: String,
    /// Its address.
    pub address: SocketAddr,
}

/// One window.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Window {
    /// Seconds since the first window.
    pub at_s: f64,
    /// The highest load over the mean.
    pub skew: f64,
    /// The mean load.
    pub mean: f64,
    /// The engine with the highest load.
    pub engine: SocketAddr,
}

/// Max over mean of each window, and the mean itself.
#[derive(Debug, Default)]
pub struct Skew {
    windows: Vec<Window>,
    sliver: Vec<Window>,
}

/// A quantile of windows' skew; `None` of nothing.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, clippy::cast_precision_loss)]
fn quantile(windows: &[Window], quantile: f64) -> Option<f64> {
    let mut skews: Vec<_> = windows.iter().map(|window| window.skew).collect();
    skews.sort_by(f64::total_cmp);
    let index = (quantile * skews.len() as f64) as usize;
    skews.get(index.min(skews.len().saturating_sub(1))).copied()
}

impl Skew {
    /// A quantile over all windows whose mean is at least one; `None` of nothing.
    #[must_use]
    pub fn quantile(&self, part: f64) -> Option<f64> {
        quantile(&self.windows, part)
    }

    /// A quantile over the windows below that, where skew is mostly rounding.
    #[must_use]
    pub fn sliver_quantile(&self, part: f64) -> Option<f64> {
        quantile(&self.sliver, part)
    }

    /// The mean load over all windows whose mean is at least one; `None` of nothing.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn mean_load(&self) -> Option<f64> {
        let sum: f64 = self.windows.iter().map(|window| window.mean).sum();
        (!self.windows.is_empty()).then(|| sum / self.windows.len() as f64)
    }

    /// The windows with the highest skew, to look up what happened then.
    #[must_use]
    pub fn worst(&self) -> Vec<Window> {
        let mut worst = self.windows.clone();
        worst.sort_by(|a, b| b.skew.total_cmp(&a.skew));
        worst.truncate(WORST);
        worst
    }

    fn add(&mut self, window: Window) {
        let windows = if window.mean >= MIN_MEAN { &mut self.windows } else { &mut self.sliver };
        windows.push(window);
    }
}

/// Asks for JSON; `None` if nobody answers.
pub async fn fetch(client: &Client, method: Method, uri: String, key: &str, body: String) -> Option<(u16, Bytes)> {
    let request = Request::builder().method(method).uri(uri).header("authorization", format!("Bearer {key}"));
    let request = request.body(Full::new(body.into())).ok()?;
    let response = tokio::time::timeout(Duration::from_secs(10), client.http.request(request)).await.ok()?.ok()?;
    let status = response.status().as_u16();
    Some((status, response.into_body().collect().await.ok()?.to_bytes()))
}

async fn get(client: &Client, uri: String, key: &str) -> Option<Value> {
    let (_, body) = fetch(client, Method::GET, uri, key, String::new()).await?;
    serde_json::from_slice(&body).ok()
}

/// The upstreams that the platform lists as staying.
pub async fn upstreams(client: &Client, parts: &Parts) -> Vec<Upstream> {
    let list = get(client, format!("http://{}/v1/vms", parts.platform), "").await.unwrap_or_default();
    let vms = list["vms"].as_array().cloned().unwrap_or_default();
    let staying = vms.iter().filter(|vm| vm["role"] == "upstream" && vm["leaving"] != true);
    let upstream = |vm: &Value| {
        let service = vm["service"].as_str()?.to_owned();
        let address = vm["address"].as_str()?.parse().ok()?;
        Some(Upstream { service, address })
    };
    staying.filter_map(upstream).collect()
}

/// Samples the engines' loads until dropped.
pub async fn skew(client: Arc<Client>, parts: Parts, skew: Arc<Mutex<Skew>>) {
    let mut ticks = tokio::time::interval(WINDOW);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut engines = Vec::new();
    let begun = Instant::now();
    for tick in 0_u64.. {
        ticks.tick().await;
        if tick % 5 == 0 {
            engines = upstreams(&client, &parts).await;
            engines.retain(|engine| engine.service == client.service);
        }
        let asked = engines.iter().map(|engine| load(&client, engine.address));
        let loads: Vec<_> = join_all(asked).await.into_iter().flatten().collect();
        if let Some(window) = window(begun.elapsed(), &loads) {
            lock(&skew).add(window);
        }
    }
}

#[allow(clippy::cast_precision_loss)]
fn window(at: Duration, loads: &[Loaded]) -> Option<Window> {
    let mean = loads.iter().map(|loaded| loaded.load).sum::<f64>() / loads.len() as f64;
    let most = loads.iter().max_by(|a, b| a.load.total_cmp(&b.load))?;
    let window = Window { at_s: at.as_secs_f64(), skew: most.load / mean, mean, engine: most.engine };
    (mean > 0.0).then_some(window)
}

/// What an engine carries.
#[derive(Clone, Copy, Debug)]
struct Loaded {
    engine: SocketAddr,
    load: f64,
}

async fn load(client: &Client, engine: SocketAddr) -> Option<Loaded> {
    let load = get(client, format!("http://{engine}/admin/load"), "").await?["load"].as_f64()?;
    Some(Loaded { engine, load })
}

/// How often each request ran, by upstream. An upstream that leaves takes its counts along, so they are kept here.
pub type Runs = HashMap<SocketAddr, HashMap<String, u64>>;

/// Keeps the plain upstreams' counts until dropped.
pub async fn keep_runs(client: Arc<Client>, parts: Parts, runs: Arc<Mutex<Runs>>) {
    loop {
        update_runs(&client, &parts, &runs).await;
        tokio::time::sleep(RUNS_EVERY).await;
    }
}

/// Fetches the plain upstreams' counts once.
pub async fn update_runs(client: &Client, parts: &Parts, runs: &Mutex<Runs>) {
    let listed = upstreams(client, parts).await.into_iter().filter(|upstream| upstream.service == client.plain);
    let known: Vec<_> = lock(runs).keys().copied().collect();
    let mut addresses: Vec<_> = listed.map(|upstream| upstream.address).chain(known).collect();
    addresses.sort();
    addresses.dedup();
    for address in addresses {
        let Some(counts) = get(client, format!("http://{address}/admin/runs"), "").await else {
            continue;
        };
        let counts = counts.as_object().into_iter().flatten();
        let counts = counts.map(|(request, count)| (request.clone(), count.as_u64().unwrap_or(0)));
        lock(runs).insert(address, counts.collect());
    }
}

/// A router's counters, by name.
pub async fn counters(client: &Client, parts: &Parts, router: SocketAddr) -> Option<HashMap<String, f64>> {
    let uri = format!("http://{router}/metrics");
    let (status, body) = fetch(client, Method::GET, uri, &parts.operator_key, String::new()).await?;
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

/// Applies a changed document and waits until every live router has it in force.
pub async fn time_to_force(client: &Client, parts: &Parts, document: &str, mark: u64) -> Option<Duration> {
    let first = parts.operators.first()?;
    let status = get(client, format!("http://{first}/v1/status"), &parts.operator_key).await?;
    let base = status["stats"]["generation"].as_u64()?;
    let submission = uuid::Uuid::new_v4();
    let uri = format!("http://{first}/v1/config?base={base}&submission={submission}");
    let body = format!("{document}\n# mark {mark}\n");
    let (status, answer) = fetch(client, Method::PUT, uri, &parts.operator_key, body).await?;
    if status != 200 {
        return None;
    }
    let accepted = Instant::now();
    let generation = serde_json::from_slice::<Value>(&answer).ok()?["generation"].as_u64()?;
    while accepted.elapsed() < GIVE_UP {
        let asked = parts.operators.iter().map(|router| generation_at(client, parts, *router));
        let generations = join_all(asked).await;
        if generations.into_iter().flatten().all(|there| there >= generation) {
            return Some(accepted.elapsed());
        }
        tokio::time::sleep(POLL).await;
    }
    Some(GIVE_UP)
}

async fn generation_at(client: &Client, parts: &Parts, router: SocketAddr) -> Option<u64> {
    get(client, format!("http://{router}/v1/status"), &parts.operator_key).await?["stats"]["generation"].as_u64()
}
