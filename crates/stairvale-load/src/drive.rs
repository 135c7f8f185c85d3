//! A complete run: generates the load, samples the fleet, and compares the answers with what the upstreams ran.

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
    sample::{self, Endpoints, Skew},
    tally::{Outcome, Tally},
};

/// Interval and timeout of the load balancer's readiness checks.
const READINESS_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which a configuration is applied, to measure how long it takes to be in force.
const APPLY_INTERVAL: Duration = Duration::from_secs(3);
/// Time that the requests in flight have to end after the last one was started; those left then count as lost.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// The settings of a run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The parameters of the load.
    pub shape: Shape,
    /// The seed of the load.
    pub seed: u64,
    /// The name of the scenario, for the report.
    pub scenario: String,
    /// The name of the routing policy, for the report.
    pub policy: String,
    /// The addresses of the routers for callers.
    pub routers: Vec<SocketAddr>,
    /// The addresses of the platform and of the routers for operators.
    pub endpoints: Endpoints,
    /// The keys of the customers, by customer index.
    pub keys: Vec<String>,
    /// The name of the chat service.
    pub chat_service: String,
    /// The name of the plain service.
    pub plain_service: String,
    /// A configuration document to apply repeatedly.
    pub document: Option<String>,
    /// The length of the warm-up, which is left out of the measurements.
    pub warmup: Duration,
}

/// The counters of the routers, by their address for operators.
type Counters = HashMap<SocketAddr, HashMap<String, f64>>;

/// Runs the load against the fleet and returns the report.
pub async fn run(settings: Settings) -> Report {
    let plan = Plan::new(&settings.shape, settings.seed);
    let mut client =
        Client::new(plan, settings.keys.clone(), settings.chat_service.clone(), settings.plain_service.clone());
    client.warmup = settings.warmup;
    client.surge_start = Duration::from_secs_f64(settings.shape.seconds / 2.0);
    let client = Arc::new(client);
    check_readiness(&client, &settings.routers).await;
    let balancer = tokio::spawn(balance_load(client.clone(), settings.routers.clone()));
    let before = counters(&client, &settings.endpoints).await;
    let started = Instant::now();
    let skew = Arc::new(Mutex::new(Skew::default()));
    let sampler = tokio::spawn(sample_skew_after_warmup(settings.clone(), started, client.clone(), skew.clone()));
    let applying = tokio::spawn(apply_periodically(client.clone(), settings.clone()));
    let runs = Arc::new(Mutex::new(sample::RunCounts::new()));
    let run_count_poller =
        tokio::spawn(sample::poll_run_counts(client.clone(), settings.endpoints.clone(), runs.clone()));
    let tasks = start_all(&client, settings.seed, started).await;
    finish_all(&client, tasks).await;
    // The sampler has already ended by itself, unless the warm-up takes the whole run.
    sampler.abort();
    run_count_poller.abort();
    let longest_apply = applying.await.unwrap_or_default();
    let after = counters(&client, &settings.endpoints).await;
    balancer.abort();
    let elapsed_s = started.elapsed().as_secs_f64();
    sample::update_run_counts(&client, &settings.endpoints, &runs).await;
    let runs = runs_by_request(&lock(&runs));
    let mut report = report(&settings, &lock(&client.tally), &lock(&skew), &runs);
    add_counters(&mut report, &before, &after, elapsed_s);
    report.config_in_force_ms_max = longest_apply.map(|time| time.as_secs_f64() * 1e3);
    report
}

/// Samples the skew from the end of the warm-up to the scheduled end of the run. Some plain calls are repeated after
/// that, when no more chat turns start and the skew would only reflect the last ones.
async fn sample_skew_after_warmup(settings: Settings, started: Instant, client: Arc<Client>, skew: Arc<Mutex<Skew>>) {
    tokio::time::sleep(settings.warmup).await;
    let end = started + Duration::from_secs_f64(settings.shape.seconds);
    let _ = tokio::time::timeout_at(end.into(), sample::sample_skew(client, settings.endpoints, skew)).await;
}

fn runs_by_request(runs: &sample::RunCounts) -> HashMap<String, u64> {
    let mut total: HashMap<String, u64> = HashMap::new();
    for (request, count) in runs.values().flatten() {
        *total.entry(request.clone()).or_default() += count;
    }
    total
}

/// Starts each request at its scheduled time.
async fn start_all(client: &Arc<Client>, seed: u64, started: Instant) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    let mut turns = client.plan.turns.iter().peekable();
    let mut plain_calls = client.plan.plain_calls.iter().peekable();
    loop {
        let turn_at = turns.peek().map(|turn| turn.at);
        let call_at = plain_calls.peek().map(|call| call.at);
        let Some(at) = turn_at.into_iter().chain(call_at).min() else {
            break;
        };
        let due = started + at;
        tokio::time::sleep_until(due.into()).await;
        if turn_at == Some(at) {
            if let Some(turn) = turns.next() {
                tasks.spawn(client.clone().run_turn(*turn, due));
            }
        } else if let Some(call) = plain_calls.next() {
            tasks.spawn(client.clone().run_plain_call(call.clone(), seed));
        }
    }
    tasks
}

/// Waits for the requests in flight to end; those left after [`DRAIN_TIMEOUT`] count as lost.
async fn finish_all(client: &Client, mut tasks: JoinSet<()>) {
    let all = async { while tasks.join_next().await.is_some() {} };
    let _ = tokio::time::timeout(DRAIN_TIMEOUT, all).await;
    let left = tasks.len() as u64;
    if left > 0 {
        *lock(&client.tally).outcomes.entry(Outcome::Lost).or_default() += left;
    }
}

async fn balance_load(client: Arc<Client>, routers: Vec<SocketAddr>) {
    loop {
        check_readiness(&client, &routers).await;
        tokio::time::sleep(READINESS_INTERVAL).await;
    }
}

async fn check_readiness(client: &Client, routers: &[SocketAddr]) {
    let checks = routers.iter().map(|router| async move {
        let uri = format!("http://{router}/readyz");
        let response =
            tokio::time::timeout(READINESS_INTERVAL, sample::fetch(client, Method::GET, uri, "", String::new()));
        let ready = response.await.ok().flatten().is_some_and(|(status, _)| status == 200);
        ready.then_some(*router)
    });
    let ready = futures::future::join_all(checks).await;
    *lock(&client.ready_routers) = ready.into_iter().flatten().collect();
}

/// Applies the document every [`APPLY_INTERVAL`], and returns the longest time until it was in force everywhere.
async fn apply_periodically(client: Arc<Client>, settings: Settings) -> Option<Duration> {
    let document = settings.document?;
    let count = (settings.shape.seconds / APPLY_INTERVAL.as_secs_f64()).floor().max(1.0);
    let mut longest = None;
    let mut number = 0_u32;
    while f64::from(number) < count {
        number += 1;
        tokio::time::sleep(APPLY_INTERVAL.min(Duration::from_secs_f64(settings.shape.seconds / 2.0))).await;
        let time = sample::apply_and_time(&client, &settings.endpoints, &document, u64::from(number)).await;
        longest = longest.max(time);
    }
    longest
}

async fn counters(client: &Client, endpoints: &Endpoints) -> Counters {
    let mut all = HashMap::new();
    for router in &endpoints.operators {
        if let Some(counters) = sample::counters(client, endpoints, *router).await {
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
        ok: tally.count_of(Outcome::Ok),
        refused_not_run: tally.count_of(Outcome::NotRun),
        unknown: tally.count_of(Outcome::Unknown),
        lost: tally.count_of(Outcome::Lost),
        mixed: tally.count_of(Outcome::Mixed),
        cache_reuse: ratio(tally.cached, tally.cacheable),
        skew_p50: skew.quantile(0.5),
        skew_p99: skew.quantile(0.99),
        skew_max: skew.quantile(1.0),
        mean_load: skew.mean_load(),
        sliver_skew_p50: skew.low_load_quantile(0.5),
        sliver_skew_p99: skew.low_load_quantile(0.99),
        worst_windows: skew.worst_windows(),
        first_token_ms_p50: tally.first_token.quantile(0.5),
        first_token_ms_p95: tally.first_token.quantile(0.95),
        first_token_ms_p99: tally.first_token.quantile(0.99),
        inter_token_ms_p95: tally.inter_token.quantile(0.95),
        urgent_first_token_ms_p95: tally.urgent_first_token.quantile(0.95),
        urgent_wait_ms_p95: tally.urgent_wait.quantile(0.95),
        others_early_wait_ms_p95: tally.others_early_wait.quantile(0.95),
        others_late_wait_ms_p95: tally.others_late_wait.quantile(0.95),
        bulk_first_token_ms_p95: tally.bulk_first_token.quantile(0.95),
        bulk_done: ratio(tally.bulk_done.0, tally.bulk_done.1),
        others_early_ms_p95: tally.others_early.quantile(0.95),
        others_late_ms_p95: tally.others_late.quantile(0.95),
        reasons: tally.reasons.iter().map(|(reason, count)| (reason.clone(), *count)).collect(),
        ..Report::default()
    };
    for (key, outcomes) in &tally.plain_outcomes {
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
    // The counters of a router that was replaced during the run start at zero again.
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
