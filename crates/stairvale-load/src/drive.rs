//! A whole run: load, samples, and what the upstreams say in the end.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use http::Method;
use tokio::task::JoinSet;

use crate::{
    client::{Client, lock},
    plan::{Plan, Shape},
    report::Report,
    sample::{self, Parts, Skew},
    tally::{Outcome, Tally},
};

/// How often the balancer asks whether routers are ready.
const READY_EVERY: Duration = Duration::from_millis(200);
/// How often a configuration is applied to see how long it takes.
const APPLY_EVERY: Duration = Duration::from_secs(3);
/// Requests that haven't ended this long after the last one began are given up.
const LAST: Duration = Duration::from_secs(30);

/// What to run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The load.
    pub shape: Shape,
    /// Decides it.
    pub seed: u64,
    /// For the report.
    pub scenario: String,
    /// For the report.
    pub policy: String,
    /// Routers' callers' addresses.
    pub routers: Vec<SocketAddr>,
    /// The rest of the fleet.
    pub parts: Parts,
    /// Customers' keys.
    pub keys: Vec<String>,
    /// The chat service.
    pub service: String,
    /// The plain service.
    pub plain: String,
    /// A document to apply now and then.
    pub document: Option<String>,
    /// What comes before this isn't measured.
    pub warmup: Duration,
}

/// Counters at the routers, by their operators' address.
type Counters = HashMap<SocketAddr, HashMap<String, f64>>;

/// Runs it.
pub async fn run(settings: Settings) -> Report {
    let plan = Plan::new(&settings.shape, settings.seed);
    let mut client = Client::new(plan, settings.keys.clone(), settings.service.clone(), settings.plain.clone());
    client.warmup = settings.warmup;
    client.middle = Duration::from_secs_f64(settings.shape.seconds / 2.0);
    let client = Arc::new(client);
    balance_once(&client, &settings.routers).await;
    let balancer = tokio::spawn(balance(client.clone(), settings.routers.clone()));
    let before = counters(&client, &settings.parts).await;
    let begun = Instant::now();
    let skew = Arc::new(Mutex::new(Skew::default()));
    let sampler = tokio::spawn(sample(settings.clone(), begun, client.clone(), skew.clone()));
    let forcing = tokio::spawn(force(client.clone(), settings.clone()));
    let runs = Arc::new(Mutex::new(sample::Runs::new()));
    let counting = tokio::spawn(sample::keep_runs(client.clone(), settings.parts.clone(), runs.clone()));
    let tasks = start_all(&client, settings.seed, begun).await;
    finish_all(&client, tasks).await;
    // It has ended long since, but for a run that is all warm-up.
    sampler.abort();
    counting.abort();
    let forced = forcing.await.unwrap_or_default();
    let after = counters(&client, &settings.parts).await;
    balancer.abort();
    let passed = begun.elapsed().as_secs_f64();
    sample::update_runs(&client, &settings.parts, &runs).await;
    let runs = total(&lock(&runs));
    let mut report = report(&settings, &lock(&client.tally), &lock(&skew), &runs);
    add_counters(&mut report, &before, &after, passed);
    report.config_in_force_ms_max = forced.map(|time| time.as_secs_f64() * 1e3);
    report
}

/// Samples skew from the warm-up to the planned end. Some plain calls are repeated after that, when no chats come in any more,
/// and skew would show only stragglers.
async fn sample(settings: Settings, begun: Instant, client: Arc<Client>, skew: Arc<Mutex<Skew>>) {
    tokio::time::sleep(settings.warmup).await;
    let end = begun + Duration::from_secs_f64(settings.shape.seconds);
    let _ = tokio::time::timeout_at(end.into(), sample::skew(client, settings.parts, skew)).await;
}

fn total(runs: &sample::Runs) -> HashMap<String, u64> {
    let mut total: HashMap<String, u64> = HashMap::new();
    for (request, count) in runs.values().flatten() {
        *total.entry(request.clone()).or_default() += count;
    }
    total
}

/// Starts each request at its intended moment.
async fn start_all(client: &Arc<Client>, seed: u64, begun: Instant) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    let mut turns = client.plan.turns.iter().peekable();
    let mut plains = client.plan.plains.iter().peekable();
    loop {
        let turn_at = turns.peek().map(|turn| turn.at);
        let plain_at = plains.peek().map(|plain| plain.at);
        let Some(at) = turn_at.into_iter().chain(plain_at).min() else {
            break;
        };
        let due = begun + at;
        tokio::time::sleep_until(due.into()).await;
        if turn_at == Some(at) {
            if let Some(turn) = turns.next() {
                tasks.spawn(client.clone().turn(*turn, due));
            }
        } else if let Some(plain) = plains.next() {
            tasks.spawn(client.clone().plain(plain.clone(), seed));
        }
    }
    tasks
}

/// Waits for all requests to end.
async fn finish_all(client: &Client, mut tasks: JoinSet<()>) {
    let all = async { while tasks.join_next().await.is_some() {} };
    let _ = tokio::time::timeout(LAST, all).await;
    let left = tasks.len() as u64;
    if left > 0 {
        *lock(&client.tally).outcomes.entry(Outcome::Lost).or_default() += left;
    }
}

async fn balance(client: Arc<Client>, routers: Vec<SocketAddr>) {
    loop {
        balance_once(&client, &routers).await;
        tokio::time::sleep(READY_EVERY).await;
    }
}

async fn balance_once(client: &Client, routers: &[SocketAddr]) {
    let asked = routers.iter().map(|router| async move {
        let uri = format!("http://{router}/readyz");
        let answer = tokio::time::timeout(READY_EVERY, sample::fetch(client, Method::GET, uri, "", String::new()));
        let ready = answer.await.ok().flatten().is_some_and(|(status, _)| status == 200);
        ready.then_some(*router)
    });
    let ready = futures::future::join_all(asked).await;
    *lock(&client.ready) = ready.into_iter().flatten().collect();
}

/// Applies the document now and then; the longest time until it was in force everywhere.
async fn force(client: Arc<Client>, settings: Settings) -> Option<Duration> {
    let document = settings.document?;
    let times = (settings.shape.seconds / APPLY_EVERY.as_secs_f64()).floor().max(1.0);
    let mut longest = None;
    let mut mark = 0_u32;
    while f64::from(mark) < times {
        mark += 1;
        tokio::time::sleep(APPLY_EVERY.min(Duration::from_secs_f64(settings.shape.seconds / 2.0))).await;
        let time = sample::time_to_force(&client, &settings.parts, &document, u64::from(mark)).await;
        longest = longest.max(time);
    }
    longest
}

async fn counters(client: &Client, parts: &Parts) -> Counters {
    let mut all = HashMap::new();
    for router in &parts.operators {
        if let Some(counters) = sample::counters(client, parts, *router).await {
            all.insert(*router, counters);
        }
    }
    all
}

fn report(settings: &Settings, tally: &Tally, skew: &Skew, runs: &HashMap<String, u64>) -> Report {
    let mut report = Report {
        scenario: settings.scenario.clone(),
        policy: settings.policy.clone(),
        seed: settings.seed,
        requests: tally.requests(),
        ok: tally.of(Outcome::Ok),
        refused_not_run: tally.of(Outcome::NotRun),
        unknown: tally.of(Outcome::Unknown),
        lost: tally.of(Outcome::Lost),
        mixed: tally.of(Outcome::Mixed),
        cache_reuse: ratio(tally.cached, tally.cacheable),
        skew_p50: skew.quantile(0.5),
        skew_p99: skew.quantile(0.99),
        skew_max: skew.quantile(1.0),
        mean_load: skew.mean_load(),
        sliver_skew_p50: skew.sliver_quantile(0.5),
        sliver_skew_p99: skew.sliver_quantile(0.99),
        worst_windows: skew.worst(),
        first_token_ms_p50: tally.first.quantile(0.5),
        first_token_ms_p95: tally.first.quantile(0.95),
        first_token_ms_p99: tally.first.quantile(0.99),
        inter_token_ms_p95: tally.between.quantile(0.95),
        urgent_first_token_ms_p95: tally.urgent.quantile(0.95),
        urgent_wait_ms_p95: tally.urgent_wait.quantile(0.95),
        others_early_wait_ms_p95: tally.others_early_wait.quantile(0.95),
        others_late_wait_ms_p95: tally.others_late_wait.quantile(0.95),
        bulk_first_token_ms_p95: tally.bulk.quantile(0.95),
        bulk_done: ratio(tally.bulk_done.0, tally.bulk_done.1),
        others_early_ms_p95: tally.others_early.quantile(0.95),
        others_late_ms_p95: tally.others_late.quantile(0.95),
        reasons: tally.reasons.iter().map(|(reason, count)| (reason.clone(), *count)).collect(),
        ..Report::default()
    };
    for (key, outcomes) in &tally.keys {
        let ran = runs.get(key).copied().unwrap_or(0);
        let ok = outcomes.contains(&Outcome::Ok);
        let none_ran = outcomes.iter().all(|outcome| *outcome == Outcome::NotRun);
        report.doubled += u64::from(ran > 1);
        report.lost += u64::from(ok && ran == 0);
        report.not_run_but_ran += u64::from(none_ran && ran > 0);
    }
    report
}

#[allow(clippy::cast_precision_loss)]
fn ratio(part: u64, whole: u64) -> Option<f64> {
    (whole > 0).then(|| part as f64 / whole as f64)
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn add_counters(report: &mut Report, before: &Counters, after: &Counters, seconds: f64) {
    if after.is_empty() {
        return;
    }
    let earlier = |router, name: &str| before.get(router).and_then(|counters: &HashMap<_, _>| counters.get(name));
    // A router that was replaced meanwhile counts from zero.
    let change = |router, counters: &HashMap<String, f64>, name: &str| {
        let now = counters.get(name).copied().unwrap_or(0.0);
        let then = earlier(router, name).copied().unwrap_or(0.0);
        if now >= then { now - then } else { now }
    };
    let sum = |name: &str| {
        let changes = after.iter().map(|(router, counters)| change(router, counters, name));
        changes.sum::<f64>() as u64
    };
    report.over_bound_grants = Some(sum("stairvale_over_bound"));
    report.degraded_grants = Some(sum("stairvale_degraded"));
    report.violations = Some(sum("stairvale_violations"));
    report.store_calls = Some(sum("stairvale_store_calls"));
    report.claim_writes = Some(sum("stairvale_claim_writes"));
    report.claims = Some(sum("stairvale_claims"));
    let bytes =
        after.iter().map(|(router, counters)| change(router, counters, "stairvale_control_sent_bytes") / seconds);
    let mut bytes: Vec<_> = bytes.collect();
    bytes.sort_by(f64::total_cmp);
    report.control_bytes_per_router_s_p50 = bytes.get(bytes.len() / 2).copied();
    report.control_bytes_per_router_s_max = bytes.last().copied();
}
