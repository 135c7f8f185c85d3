//! Crowds of clients that send more than a router can hold: its process lives, stays within the memory of its machine and
//! serves ordinary callers.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::print_stdout)]

#[path = "../../../platform/tests/clients/crowd.rs"]
mod crowd;

use std::{
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use crowd::{Crowd, Sending, descriptors, memory_mb, settle};
use gumdrop::Options;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy, rt::TokioExecutor};
use serde_json::json;
use stairvale_config::document::key_hash;
use stairvale_standin::{platform, service};
use tokio::{runtime::Builder, time::timeout};

const OPERATOR: &str = "operators-key";
const CUSTOMER: &str = "customers-key";
/// Memory of the router's machine in MB, and the settings that state it.
const MEMORY_MB: u64 = 64;
const MEMORY_SETTINGS: &str = "memory_mb: 64\n";
/// The limit of a body, in bytes.
const BODY_BYTES: usize = 4 << 20;
/// Clients with bodies of the limit: 128 MB together.
const CLIENTS: usize = 32;
/// Clients that send little each.
const MANY_CLIENTS: usize = 1_200;
/// Bytes by which a body stays short of its end.
const MISSING: usize = 100;
/// Descriptors that the process may have.
const MAX_DESCRIPTORS: usize = 4_100;
/// Limits how long the fleet may take to start, and how long an ordinary caller repeats its request.
const PATIENCE: Duration = Duration::from_secs(60);

/// A router process with stand-ins of the platform and of a service in the process of the test.
struct World {
    process: Child,
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
    descriptors: usize,
    folder: PathBuf,
}

/// Finds free addresses, all at once so that none occurs twice, where no outgoing connection starts.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<_> = (0..count).map(|_| TcpListener::bind("127.0.0.2:0").unwrap()).collect();
    listeners.iter().map(|listener| listener.local_addr().unwrap()).collect()
}

fn document() -> String {
    format!(
        "zones:\n  - name: a\n    region: r\n\
         services:\n  - name: points\n    kind: plain\n    not_repeatable: [POST]\n  - name: lookup\n    kind: plain\n\
         customers:\n  - name: c\n    key_hash: {}\noperators:\n  - name: op\n    key_hash: {}\n",
        key_hash(CUSTOMER),
        key_hash(OPERATOR)
    )
}

async fn call(method: Method, uri: String, key: &str, body: String) -> Option<StatusCode> {
    let client: legacy::Client<_, Full<Bytes>> = legacy::Client::builder(TokioExecutor::new()).build_http();
    let request = Request::builder().method(method).uri(uri).header("authorization", format!("Bearer {key}"));
    let calling = async {
        let response = client.request(request.body(Full::new(body.into())).unwrap()).await.ok()?;
        let status = response.status();
        response.into_body().collect().await.ok()?;
        Some(status)
    };
    timeout(Duration::from_secs(15), calling).await.ok().flatten()
}

/// Repeats a call until its answer is 200.
async fn await_ok(method: Method, uri: String, key: &str, body: String) {
    let begin = Instant::now();
    while call(method.clone(), uri.clone(), key, body.clone()).await != Some(StatusCode::OK) {
        assert!(begin.elapsed() < PATIENCE, "{uri} isn't answered with 200");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

impl World {
    async fn start(name: &str, descriptors: usize) -> Self {
        let [platform, service, callers, operators, peers] = free_addresses(5)[..] else { unreachable!() };
        let listen = platform.to_string();
        tokio::spawn(async move {
            let arguments = ["--listen", &listen, "--lag-ms", "0"];
            platform::run(platform::Arguments::parse_args_default(&arguments).unwrap()).await.unwrap();
        });
        let listen = service.to_string();
        tokio::spawn(async move {
            service::run(service::Arguments::parse_args_default(&["--listen", &listen]).unwrap()).await.unwrap();
        });
        let vms = ["points", "lookup"]
            .map(|name| json!({ "name": name, "role": "upstream", "zone": "a", "service": name, "address": service }));
        await_ok(Method::POST, format!("http://{platform}/admin/vms"), "", json!(vms).to_string()).await;
        let folder = std::env::temp_dir().join(format!("stairvale-crowds-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let settings = folder.join("router.yaml");
        let text = format!(
            "router: router-a\nzone: a\ncallers: {callers}\noperators: {operators}\npeers: {peers}\n\
             platform: http://{platform}\nfleet_key: k\nbalancer_grace: 100ms\n{MEMORY_SETTINGS}\
             first_operators:\n  - name: first\n    key_hash: {}\n",
            key_hash(OPERATOR)
        );
        std::fs::write(&settings, text).unwrap();
        let process = Command::new("sh")
            .args(["-c", &format!("ulimit -n {descriptors} && exec \"$0\" \"$@\"")])
            .arg(env!("CARGO_BIN_EXE_stairvale-router"))
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let world = Self { process, callers, operators, peers, descriptors, folder };
        let configuration = format!("http://{operators}/v1/config?base=0&submission=first");
        await_ok(Method::PUT, configuration, OPERATOR, document()).await;
        world.await_ordinary_answer().await;
        world
    }

    async fn await_ordinary_answer(&self) {
        await_ok(Method::POST, format!("http://{}/lookup/2f", self.callers), CUSTOMER, "{}".to_owned()).await;
    }

    /// Checks the process beside a crowd, and after the crowd has gone.
    async fn check_beside(&mut self, crowd: Crowd) {
        settle(self.process.id()).await;
        println!("{} clients connected; their answers: {:?}", crowd.len(), crowd.answers());
        self.check("beside").await;
        drop(crowd);
        self.check("afterwards").await;
    }

    async fn check(&mut self, when: &str) {
        self.check_process(when);
        self.await_ordinary_answer().await;
        self.check_process(when);
    }

    fn check_process(&mut self, when: &str) {
        assert_eq!(self.process.try_wait().unwrap(), None, "{when}");
        let id = self.process.id();
        let [peak, now] = ["VmHWM:", "VmRSS:"].map(|name| memory_mb(id, name).unwrap());
        let descriptors = descriptors(id);
        println!("{when}: {peak} MB at the peak, {now} MB now, {descriptors} descriptors");
        assert!(peak <= MEMORY_MB, "{when}: {peak} MB at the peak");
        assert!(descriptors <= self.descriptors, "{when}: {descriptors} descriptors");
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.process.kill().unwrap();
        self.process.wait().unwrap();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Lets a crowd send to the router, and checks its process beside it and afterwards. No other test of this file runs
/// meanwhile.
fn assert_withstands(
    name: &str,
    descriptors: usize,
    port: impl Fn(&World) -> SocketAddr,
    clients: usize,
    sending: impl Fn(usize) -> Sending,
) {
    static RUNNING: Mutex<()> = Mutex::new(());
    let _alone = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
        let mut world = World::start(name, descriptors).await;
        let crowd = Crowd::start(port(&world), clients, sending).await;
        world.check_beside(crowd).await;
    });
}

fn assert_callers_port_withstands(name: &str, clients: usize, sending: impl Fn(usize) -> Sending) {
    assert_withstands(name, MAX_DESCRIPTORS, |world| world.callers, clients, sending);
}

fn head() -> String {
    format!("POST /points/2f HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {CUSTOMER}\r\nidempotency-key: ID\r\n")
}

#[test]
fn own_interface_bodies_that_stop_just_short_of_their_end() {
    assert_callers_port_withstands("short", CLIENTS, |_| {
        Sending::announced(&head(), BODY_BYTES, BODY_BYTES - MISSING, 32 << 10)
    });
}

#[test]
fn own_interface_whole_bodies_at_once() {
    assert_callers_port_withstands("whole", CLIENTS, |_| Sending::announced(&head(), BODY_BYTES, BODY_BYTES, 32 << 10));
}

#[test]
fn own_interface_chunks_of_a_single_byte() {
    assert_callers_port_withstands("bytes", CLIENTS, |_| Sending::chunked(&head(), 1, 200_000));
}

#[test]
fn own_interface_chunked_bodies_without_end() {
    assert_callers_port_withstands("endless", CLIENTS, |_| Sending::chunked(&head(), 64 << 10, 1_024));
}

#[test]
fn own_interface_heads_without_their_end() {
    let unfinished = format!("{}a: {}", head(), "x".repeat(15_000));
    assert_callers_port_withstands("heads", MANY_CLIENTS, |_| Sending::once(unfinished.clone()));
}

#[test]
fn own_interface_idle_connections_after_a_small_request() {
    let request = format!("GET /lookup/2f HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {CUSTOMER}\r\n\r\n");
    assert_callers_port_withstands("idle", MANY_CLIENTS, |_| Sending::once(request.clone()));
}

/// The descriptors that the process may have while clients take them at another port than the callers'.
const FEW_DESCRIPTORS: usize = 512;
const PORT_CLIENTS: usize = 600;

#[test]
fn own_interface_silent_connections_to_the_callers_port() {
    assert_withstands(
        "callers-silent",
        FEW_DESCRIPTORS,
        |world| world.callers,
        PORT_CLIENTS,
        |_| Sending::once(String::new()),
    );
}

#[test]
fn own_interface_silent_connections_to_the_operators_port() {
    assert_withstands(
        "operators-silent",
        FEW_DESCRIPTORS,
        |world| world.operators,
        PORT_CLIENTS,
        |_| Sending::once(String::new()),
    );
}

#[test]
fn own_interface_silent_connections_to_the_peers_port() {
    assert_withstands(
        "peers-silent",
        FEW_DESCRIPTORS,
        |world| world.peers,
        PORT_CLIENTS,
        |_| Sending::once(String::new()),
    );
}
