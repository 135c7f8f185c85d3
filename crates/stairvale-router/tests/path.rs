//! End-to-end tests in one process: platform, engines, plain services and routers, connected by real sockets.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::{
    net::{SocketAddr, TcpListener},
    sync::OnceLock,
    time::{Duration, Instant},
};

use bytes::Bytes;
use gumdrop::Options;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy, rt::TokioExecutor};
use serde_json::{Value, json};
use stairvale_config::document::key_hash;
use stairvale_router::{Settings, run};
use stairvale_standin::{engine, platform, service, text};

const OPERATOR: &str = "operators-key";
const CUSTOMER: &str = "customers-key";
/// Limits how long the fleet may take to start, which is far more than it needs.
const START_UP_TIMEOUT: Duration = Duration::from_secs(60);

struct Fleet {
    platform: SocketAddr,
    callers: Vec<SocketAddr>,
    operators: Vec<SocketAddr>,
    engines: Vec<SocketAddr>,
    services: Vec<SocketAddr>,
    /// The upstreams of a service whose requests may be repeated.
    slow: Vec<SocketAddr>,
    /// The upstreams of a service; a test makes the first one ask for back-off.
    backing_off: Vec<SocketAddr>,
}

/// Finds free addresses, all at once so that none occurs twice. They are at 127.0.0.2, where no outgoing connection
/// starts: at 127.0.0.1, a connection of another test could take a port that was just found free.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<_> = (0..count).map(|_| TcpListener::bind("127.0.0.2:0").unwrap()).collect();
    listeners.iter().map(|listener| listener.local_addr().unwrap()).collect()
}

fn document() -> String {
    let (customer, operator) = (key_hash(CUSTOMER), key_hash(OPERATOR));
    format!(
        "zones:\n  - name: a\n    region: r\n  - name: b\n    region: r\n\
         services:\n  - name: chat\n    kind: model\n    model: prairie-8b\n\
         \x20 - name: points\n    kind: plain\n    not_repeatable: [POST]\n\
         \x20 - name: slow\n    kind: plain\n\
         \x20 - name: tired\n    kind: plain\n    not_repeatable: [POST]\n\
         customers:\n  - name: c\n    key_hash: {customer}\n\
         operators:\n  - name: op\n    key_hash: {operator}\n"
    )
}

/// Runs a stand-in service on a thread of its own.
fn spawn<F, R>(stand_in: F)
where
    F: FnOnce() -> R + Send + 'static,
    R: std::future::Future,
{
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(stand_in());
    });
}

fn start() -> Fleet {
    let mut addresses = free_addresses(14).into_iter();
    let mut take = |count| addresses.by_ref().take(count).collect::<Vec<_>>();
    let fleet = Fleet {
        platform: take(1)[0],
        services: take(2),
        slow: take(1),
        backing_off: take(2),
        engines: take(2),
        callers: take(2),
        operators: take(2),
    };
    start_stand_in_services(&fleet);
    start_routers(&fleet, &take(2));
    fleet
}

fn start_stand_in_services(fleet: &Fleet) {
    let listen = fleet.platform.to_string();
    spawn(move || async move {
        platform::run(platform::Arguments::parse_args_default(&["--listen", &listen, "--lag-ms", "0"]).unwrap())
            .await
            .unwrap();
    });
    for service in fleet.services.iter().chain(&fleet.slow).chain(&fleet.backing_off) {
        let listen = service.to_string();
        spawn(move || async move {
            service::run(service::Arguments::parse_args_default(&["--listen", &listen]).unwrap()).await.unwrap();
        });
    }
    for engine in &fleet.engines {
        let listen = engine.to_string();
        spawn(move || async move {
            engine::run(engine::Arguments::parse_args_default(&["--listen", &listen]).unwrap()).await.unwrap();
        });
    }
}

/// Starts two routers; the second one has the first as its seed.
fn start_routers(fleet: &Fleet, peers: &[SocketAddr]) {
    for (number, zone) in ["a", "b"].into_iter().enumerate() {
        let (caller, operator, peer) = (fleet.callers[number], fleet.operators[number], peers[number]);
        let seeds: Vec<_> = peers[..number].iter().map(SocketAddr::to_string).collect();
        let text = format!(
            "router: router-{zone}\nzone: {zone}\ncallers: {caller}\noperators: {operator}\npeers: {peer}\n\
             platform: http://{platform}\nfleet_key: k\nseeds: [{seeds}]\nfirst_operators:\n  - name: first\n    key_hash: {hash}\n",
            platform = fleet.platform,
            seeds = seeds.join(", "),
            hash = key_hash(OPERATOR),
        );
        let settings = Settings::parse(&text).unwrap();
        std::thread::spawn(move || run::run(settings));
    }
}

/// The fleet that all tests of this file share.
fn fleet() -> &'static Fleet {
    static FLEET: OnceLock<Fleet> = OnceLock::new();
    FLEET.get_or_init(|| {
        let fleet = start();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(configure(&fleet));
        fleet
    })
}

struct Answer {
    status: StatusCode,
    headers: http::HeaderMap,
    body: String,
}

impl Answer {
    fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }
}

async fn call(method: Method, uri: String, headers: &[(&str, &str)], body: String) -> Option<Answer> {
    let client: legacy::Client<_, Full<Bytes>> = legacy::Client::builder(TokioExecutor::new()).build_http();
    let mut request = Request::builder().method(method).uri(uri);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let response = client.request(request.body(Full::new(body.into())).unwrap()).await.ok()?;
    let (head, body) = response.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    Some(Answer { status: head.status, headers: head.headers, body: String::from_utf8_lossy(&body).into_owned() })
}

async fn configure(fleet: &Fleet) {
    let mut vms = Vec::new();
    for (number, engine) in fleet.engines.iter().enumerate() {
        let zone = ["a", "b"][number];
        vms.push(json!({ "name": format!("engine-{number}"), "role": "upstream", "zone": zone, "service": "chat", "address": engine }));
    }
    for (number, service) in fleet.services.iter().enumerate() {
        let name = format!("points-{number}");
        vms.push(json!({ "name": name, "role": "upstream", "zone": "a", "service": "points", "address": service }));
    }
    for (number, service) in fleet.backing_off.iter().enumerate() {
        let (name, zone) = (format!("tired-{number}"), if number == 0 { "a" } else { "b" });
        vms.push(json!({ "name": name, "role": "upstream", "zone": zone, "service": "tired", "address": service }));
    }
    for service in &fleet.slow {
        vms.push(json!({ "name": "slow", "role": "upstream", "zone": "b", "service": "slow", "address": service }));
    }
    let started_at = Instant::now();
    let admin = format!("http://{}/admin/vms", fleet.platform);
    while call(Method::POST, admin.clone(), &[], json!(vms).to_string()).await.is_none() {
        wait(started_at).await;
    }
    let key = format!("Bearer {OPERATOR}");
    let uri = format!("http://{}/v1/config?base=0&submission=first", fleet.operators[0]);
    loop {
        let answer = call(Method::PUT, uri.clone(), &[("authorization", &key)], document()).await;
        if answer.is_some_and(|answer| answer.status == StatusCode::OK) {
            break;
        }
        wait(started_at).await;
    }
    for operators in &fleet.operators {
        loop {
            let status =
                call(Method::GET, format!("http://{operators}/v1/status"), &[("authorization", &key)], String::new())
                    .await;
            let stats = status.map(|status| status.json()["stats"].clone()).unwrap_or_default();
            if stats["usable"] == 7 && stats["routers"] == 2 && stats["generation"] == 1 {
                break;
            }
            wait(started_at).await;
        }
    }
}

async fn wait(started_at: Instant) {
    assert!(started_at.elapsed() < START_UP_TIMEOUT, "the fleet didn't come up");
    tokio::time::sleep(Duration::from_millis(50)).await;
}

fn chat_body(turns: &[&str]) -> String {
    let mut messages = Vec::new();
    for (number, turn) in turns.iter().enumerate() {
        if number > 0 {
            messages.push(json!({ "role": "assistant", "content": text::answer(turns[number - 1], 8) }));
        }
        messages.push(json!({ "role": "user", "content": turn }));
    }
    json!({ "messages": messages, "max_tokens": 8 }).to_string()
}

async fn chat(router: usize, name: &str, turns: &[&str]) -> Answer {
    let uri = format!("http://{}/chat/v1/chat/completions", fleet().callers[router]);
    let key = format!("Bearer {CUSTOMER}");
    let headers = [("authorization", key.as_str()), ("stairvale-chat", name)];
    call(Method::POST, uri, &headers, chat_body(turns)).await.unwrap()
}

#[tokio::test]
async fn a_chat_streams_completely_and_finds_its_cached_prefix_through_another_router() {
    std::thread::spawn(fleet).join().unwrap();
    let padding = "long ".repeat(500);
    let first = chat(0, "monday", &[&padding]).await;
    assert_eq!(first.status, StatusCode::OK, "{}", first.body);
    assert_eq!(first.headers["x-cached-tokens"], "0");
    assert!(first.body.ends_with("data: [DONE]\n\n"));
    assert_eq!(first.body.matches("\"content\"").count(), 8);
    let second = chat(1, "monday", &[&padding, "and then?"]).await;
    let cached: u64 = second.headers["x-cached-tokens"].to_str().unwrap().parse().unwrap();
    assert!(cached > 500, "{cached} tokens found cached");
}

#[tokio::test]
async fn a_redemption_runs_once_however_often_it_is_requested() {
    std::thread::spawn(fleet).join().unwrap();
    let fleet = fleet();
    let key = format!("Bearer {CUSTOMER}");
    let headers = [("authorization", key.as_str()), ("idempotency-key", "r-1"), ("x-request-id", "r-1")];
    let mut answers = Vec::new();
    for router in [0, 1, 0] {
        let uri = format!("http://{}/points/redeem", fleet.callers[router]);
        let answer = call(Method::POST, uri, &headers, "{\"redeem\":1}".into()).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
        answers.push(answer.body);
    }
    assert_eq!(answers[0], answers[1]);
    assert_eq!(answers[0], answers[2]);
    assert_eq!(runs("r-1").await, 1);
}

#[tokio::test]
async fn an_idempotency_key_reused_for_another_request_is_rejected() {
    std::thread::spawn(fleet).join().unwrap();
    let fleet = fleet();
    let key = format!("Bearer {CUSTOMER}");
    let headers = [("authorization", key.as_str()), ("idempotency-key", "twice"), ("x-request-id", "twice")];
    let mut answers = Vec::new();
    for (router, body) in [(0, "{\"redeem\":1}"), (1, "{\"redeem\":2}"), (0, "{\"redeem\":1}")] {
        let uri = format!("http://{}/points/redeem", fleet.callers[router]);
        answers.push(call(Method::POST, uri, &headers, body.into()).await.unwrap());
    }
    assert_eq!(answers[0].status, StatusCode::OK, "{}", answers[0].body);
    assert_eq!(answers[1].status, StatusCode::UNPROCESSABLE_ENTITY, "{}", answers[1].body);
    assert_eq!(answers[1].json()["outcome"], "not-run");
    assert_eq!(answers[1].json()["reason"], "key-reused");
    assert_eq!(answers[2].body, answers[0].body);
    assert_eq!(runs("twice").await, 1);
}

#[tokio::test]
async fn a_request_refused_as_not_run_runs_once_at_another_upstream() {
    std::thread::spawn(fleet).join().unwrap();
    let fleet = fleet();
    let faults = format!("http://{}/admin/faults", fleet.services[0]);
    call(Method::POST, faults.clone(), &[], "{\"refuse\":true}".into()).await.unwrap();
    for number in 0..10 {
        let id = format!("refused-{number}");
        let key = format!("Bearer {CUSTOMER}");
        let headers = [("authorization", key.as_str()), ("idempotency-key", &id), ("x-request-id", &id)];
        let uri = format!("http://{}/points/redeem", fleet.callers[number % 2]);
        let answer = call(Method::POST, uri, &headers, format!("{{\"redeem\":\"{id}\"}}")).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
        assert_eq!(runs(&id).await, 1);
    }
    call(Method::POST, faults, &[], "{}".into()).await.unwrap();
}

/// An upstream that refuses a request may ask for back-off with `retry-after`. The router that received it must send no
/// further requests there during that time. Guards against routers that only check whether the refused request has run,
/// and send the next one to the same upstream.
#[tokio::test]
async fn an_upstream_that_asks_for_back_off_gets_no_requests_meanwhile() {
    std::thread::spawn(fleet).join().unwrap();
    let fleet = fleet();
    let service = fleet.backing_off[0];
    let refused = || async move {
        let load = call(Method::GET, format!("http://{service}/admin/load"), &[], String::new()).await.unwrap();
        load.json()["refused"].as_u64().unwrap()
    };
    let faults = format!("http://{service}/admin/faults");
    // Longer than the test runs, so that any further request is one during the back-off.
    call(Method::POST, faults.clone(), &[], "{\"rest\":600}".into()).await.unwrap();
    let key = format!("Bearer {CUSTOMER}");
    let send_requests = |round: &'static str| {
        let key = key.clone();
        async move {
            for number in 0..40 {
                let id = format!("rest-{round}-{number}");
                let headers = [("authorization", key.as_str()), ("idempotency-key", &id), ("x-request-id", &id)];
                let uri = format!("http://{}/tired/redeem", fleet.callers[number % 2]);
                let answer = call(Method::POST, uri, &headers, format!("{{\"redeem\":\"{id}\"}}")).await.unwrap();
                assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
                tokio::time::sleep(Duration::from_millis(15)).await;
            }
        }
    };
    send_requests("first").await;
    let before_back_off = refused().await;
    assert!((1..=4).contains(&before_back_off), "{before_back_off} requests before both routers backed off");
    send_requests("later").await;
    assert_eq!(refused().await, before_back_off, "requests were sent during the back-off");
    call(Method::POST, faults, &[], "{}".into()).await.unwrap();
}

#[tokio::test]
async fn a_lookup_that_an_upstream_received_is_not_reported_as_not_run() {
    std::thread::spawn(fleet).join().unwrap();
    let fleet = fleet();
    let faults: Vec<_> = fleet.slow.iter().map(|service| format!("http://{service}/admin/faults")).collect();
    for faults in &faults {
        call(Method::POST, faults.clone(), &[], "{\"hold\":true}".into()).await.unwrap();
    }
    let key = format!("Bearer {CUSTOMER}");
    for number in 0..4 {
        let id = format!("held-{number}");
        let headers =
            [("authorization", key.as_str()), ("stairvale-deadline-ms", "250"), ("x-request-id", id.as_str())];
        let uri = format!("http://{}/slow/lookup", fleet.callers[number % 2]);
        let answer = call(Method::GET, uri, &headers, String::new()).await.unwrap();
        assert!(!answer.status.is_success());
        let ran = runs_at(&fleet.slow, &id).await;
        let outcome = answer.json()["outcome"].clone();
        assert!(
            outcome != "not-run" || ran == 0,
            "{id} ran {ran} times, and its caller received the outcome {outcome}"
        );
    }
    for faults in faults {
        call(Method::POST, faults, &[], "{}".into()).await.unwrap();
    }
}

/// How often a request ran at the upstreams of the service `points`.
async fn runs(id: &str) -> u64 {
    runs_at(&fleet().services, id).await
}

async fn runs_at(services: &[SocketAddr], id: &str) -> u64 {
    let mut runs = 0;
    for service in services {
        let counts =
            call(Method::GET, format!("http://{service}/admin/runs"), &[], String::new()).await.unwrap().json();
        runs += counts[id].as_u64().unwrap_or(0);
    }
    runs
}

#[tokio::test]
async fn bad_requests_get_typed_problems() {
    std::thread::spawn(fleet).join().unwrap();
    let caller = fleet().callers[0];
    /// The path, the headers, the expected reason and the expected status.
    type Case = (&'static str, Vec<(&'static str, &'static str)>, &'static str, u16);
    let authorization = ("authorization", "Bearer customers-key");
    let cases: [Case; 7] = [
        ("/chat/x", vec![], "key", 401),
        ("/chat/x", vec![("authorization", "Bearer wrong")], "key", 401),
        ("/nothing/x", vec![authorization], "service", 404),
        ("/chat/x", vec![authorization, ("priority", "soon")], "bad-priority", 400),
        ("/chat/x", vec![authorization, ("stairvale-deadline-ms", "0")], "bad-deadline", 400),
        ("/chat/x", vec![authorization, ("stairvale-deadline-ms", "many")], "bad-deadline", 400),
        ("/chat/x", vec![authorization, ("stairvale-chat", "")], "bad-chat", 400),
    ];
    for (path, headers, reason, status) in cases {
        let answer = call(Method::POST, format!("http://{caller}{path}"), &headers, "{}".into()).await.unwrap();
        assert_eq!(answer.status.as_u16(), status, "{path} {headers:?}");
        assert_eq!(answer.headers["content-type"], "application/problem+json");
        assert_eq!(answer.json()["reason"], reason);
        assert_eq!(answer.json()["outcome"], "not-run");
    }
    let large = "x".repeat(5 << 20);
    let answer = call(Method::POST, format!("http://{caller}/chat/x"), &[authorization], large).await;
    if let Some(answer) = answer {
        assert_eq!(answer.status, StatusCode::PAYLOAD_TOO_LARGE);
    }
}

#[tokio::test]
async fn operators_need_a_key_and_conflicts_are_reported() {
    std::thread::spawn(fleet).join().unwrap();
    let operators = fleet().operators[1];
    let no_key = call(Method::GET, format!("http://{operators}/v1/status"), &[], String::new()).await.unwrap();
    assert_eq!(no_key.status, StatusCode::UNAUTHORIZED);
    let key = format!("Bearer {OPERATOR}");
    let headers = [("authorization", key.as_str())];
    let uri = format!("http://{operators}/v1/config?base=0&submission=late");
    let conflict = call(Method::PUT, uri, &headers, document()).await.unwrap();
    assert_eq!(conflict.status, StatusCode::CONFLICT);
    assert_eq!(conflict.json()["operator"], "first");
    let uri = format!("http://{operators}/v1/config?base=1&submission=bad");
    let invalid = call(Method::PUT, uri, &headers, "zones: 3".into()).await.unwrap();
    assert_eq!(invalid.status, StatusCode::UNPROCESSABLE_ENTITY);
    let nowhere = format!("http://{operators}/v1/evacuations/nowhere?submission=gone");
    let unknown = call(Method::PUT, nowhere, &headers, String::new()).await.unwrap();
    assert_eq!(unknown.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(unknown.json()["zone"], "nowhere");
    let nameless = format!("http://{operators}/v1/evacuations/a");
    assert_eq!(call(Method::PUT, nameless, &headers, String::new()).await.unwrap().status, StatusCode::BAD_REQUEST);
    let again = format!("http://{operators}/v1/config?base=0&submission=first");
    let settled = call(Method::PUT, again, &headers, document()).await.unwrap();
    assert_eq!(settled.status, StatusCode::OK, "the same submission again is the same acceptance: {}", settled.body);
    let metrics = call(Method::GET, format!("http://{operators}/metrics"), &headers, String::new()).await.unwrap();
    assert!(metrics.body.contains("stairvale_generation 1"));
    for counter in ["stairvale_granted ", "stairvale_over_bound ", "stairvale_violations "] {
        assert_eq!(metrics.body.lines().filter(|line| line.starts_with(counter)).count(), 1, "{counter}");
    }
    assert!(metrics.body.ends_with("# EOF\n"));
}

#[tokio::test]
async fn a_request_can_be_explained() {
    std::thread::spawn(fleet).join().unwrap();
    let answer = chat(0, "explained", &["hello"]).await;
    let number = answer.headers["stairvale-request"].to_str().unwrap().to_owned();
    let key = format!("Bearer {OPERATOR}");
    let uri = format!("http://{}/v1/explain/{number}", fleet().operators[0]);
    let records = call(Method::GET, uri, &[("authorization", &key)], String::new()).await.unwrap().json();
    assert!(records[0]["upstream"].as_str().unwrap().starts_with("engine-"), "{records}");
}

#[tokio::test]
async fn only_the_fleets_own_routers_are_members() {
    std::thread::spawn(fleet).join().unwrap();
    // The peers' port accepts only h2 streams that carry proof of the fleet's key.
    let status = call(
        Method::GET,
        format!("http://{}/v1/status", fleet().operators[0]),
        &[("authorization", &format!("Bearer {OPERATOR}"))],
        String::new(),
    )
    .await
    .unwrap();
    assert_eq!(status.json()["stats"]["routers"], 2, "only the fleet's own routers are members");
}
