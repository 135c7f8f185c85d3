//! Answers that break off: what a caller gets, whether the upstream goes on, ends, hangs or is replaced at that moment.
//!
//! Guards against an answer that is cut short and reaches its caller as complete. An answer with neither a length nor
//! chunks ends with its connection, and the connection of an upstream that crashes ends in the same way.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::atomic::{AtomicU8, Ordering},
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::future::join_all;
use gumdrop::Options;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy, rt::TokioExecutor};
use serde_json::{Value, json};
use stairvale_config::document::key_hash;
use stairvale_router::{Settings, run};
use stairvale_standin::platform;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::mpsc,
};

const OPERATOR: &str = "operators-key";
const CUSTOMER: &str = "customers-key";
/// Limits how long the fleet may take to start, which is far more than it needs.
const START_UP_TIMEOUT: Duration = Duration::from_secs(60);
/// A caller's deadline. An answer whose end can't be shown is given up long before.
const DEADLINE: Duration = Duration::from_secs(20);
/// An answer that broke off is reported within this time: three tries, each with a connection that may have to time
/// out, and four attempts to resume a stream.
const REPORT_TIME: Duration = Duration::from_secs(6);

/// Answers without a body that states its end, broken off where their names say. All are read by a caller of a plain
/// service.
const CUT_ANSWERS: [(&str, &str); 12] = [
    ("status line", "HTTP/1.1 20"),
    ("after the status line", "HTTP/1.1 200 OK\r\n"),
    ("inside a header", "HTTP/1.1 200 OK\r\ncontent-ty"),
    ("before the blank line", "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n"),
    ("after the length", "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 12\r\n"),
    ("inside the blank line", "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 12\r\n\r"),
    ("with bare line feeds", "HTTP/1.1 200 OK\ncontent-type: text/plain\ncontent-length: 12\n"),
    ("inside the transfer coding", "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ntransfer-encoding: chu"),
    ("short of its length", "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 12\r\n\r\nhalf"),
    (
        "short of the last chunk",
        "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    ),
    ("after a head that states no end", "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\n"),
    ("after an interim answer", "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"),
];

/// An answer whose end only the end of its connection tells.
const UNSTATED: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\nhalf of it";

/// Event streams that broke off before their end marker.
const CUT_STREAMS: [(&str, &str); 6] = [
    ("before the first event", "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n"),
    ("inside an event", "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata"),
    ("after an event", "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n"),
    (
        "inside the end marker",
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\nid: 1\ndata: a\n\ndata: [DONE]\n",
    ),
    (
        "short of its length",
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 99\r\n\r\nid: 1\ndata: a\n\n",
    ),
    (
        "after the last chunk without an end marker",
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n\
         f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n",
    ),
];

/// What an upstream does once it has written its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// It closes the connection and goes on.
    Close,
    /// Its process ends.
    Crash,
    /// Its process ends, and another one listens at its address at once.
    Replace,
    /// It closes the connection, and accepts no other.
    Hang,
}

/// An upstream that gives each request the same answer.
#[derive(Clone, Debug)]
struct Script {
    service: String,
    address: SocketAddr,
    answer: &'static str,
    end: End,
}

impl Script {
    /// Runs the upstream on a thread of its own, until the test process ends.
    fn spawn(self) {
        std::thread::spawn(move || {
            for incarnation in 1.. {
                // Everything of a process ends with its runtime.
                let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
                runtime.block_on(self.clone().run(incarnation));
                drop(runtime);
                match self.end {
                    End::Close | End::Replace => {}
                    End::Crash => return,
                    End::Hang => {
                        // The kernel still accepts connections, which are never read.
                        let _silent = TcpListener::bind(self.address).unwrap();
                        std::thread::sleep(Duration::from_secs(3_600));
                    }
                }
            }
        });
    }

    async fn run(self, incarnation: u64) {
        let listener = tokio::net::TcpListener::bind(self.address).await.unwrap();
        let (ended, mut end) = mpsc::channel::<()>(1);
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let (stream, _) = accepted.unwrap();
                    tokio::spawn(self.clone().serve(stream, incarnation, ended.clone()));
                }
                _ = end.recv() => return,
            }
        }
    }

    async fn serve(self, mut stream: TcpStream, incarnation: u64, ended: mpsc::Sender<()>) {
        loop {
            let Some(request) = read_request(&mut stream).await else {
                return;
            };
            if request.starts_with("GET /v1/status ") {
                let status = json!({ "boot": incarnation, "change": 0, "state": "serving", "load": 0 }).to_string();
                let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{status}", status.len());
                let _ = stream.write_all(head.as_bytes()).await;
                continue;
            }
            if request.contains(" /v1/streams/") {
                let _ = stream.write_all(b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n").await;
                continue;
            }
            stream.write_all(self.answer.as_bytes()).await.unwrap();
            if self.end != End::Close {
                // The end of the process closes the connection.
                let _ = ended.send(()).await;
                std::future::pending::<()>().await;
            }
            return;
        }
    }
}

/// Reads one request; `None` if the connection ended.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut received = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&received).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length =
                head.lines().find_map(|line| line.to_lowercase().strip_prefix("content-length: ")?.parse().ok());
            if body.len() >= length.unwrap_or(0) {
                return Some(text);
            }
        }
        let mut buffer = [0; 4 << 10];
        let read = stream.read(&mut buffer).await.ok().filter(|read| *read > 0)?;
        received.extend_from_slice(&buffer[..read]);
    }
}

// ----------------------------------------------------------------------------
// The fleet: one router before upstreams that each serve a service of their own.

/// Finds free addresses, all at once so that none occurs twice. Each fleet has a host of its own, where no outgoing
/// connection starts, so that no other fleet takes a port that was just found free.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    static FLEETS: AtomicU8 = AtomicU8::new(2);
    let [.., low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, 1, low, FLEETS.fetch_add(1, Ordering::Relaxed));
    let listeners: Vec<_> = (0..count).map(|_| TcpListener::bind((host, 0)).unwrap()).collect();
    listeners.iter().map(|listener| listener.local_addr().unwrap()).collect()
}

struct Fleet {
    callers: SocketAddr,
    scripts: Vec<Script>,
}

impl Fleet {
    /// Starts a router and these upstreams, each an answer and what the upstream does then. Requests with the method
    /// POST must not be repeated.
    async fn start(answers: &[(&'static str, End)]) -> Self {
        let mut addresses = free_addresses(answers.len() + 4).into_iter();
        let mut next = || addresses.next().unwrap();
        let (platform, callers, operators, peers) = (next(), next(), next(), next());
        let answers = answers.iter().enumerate();
        let scripts = answers.map(|(number, (answer, end))| Script {
            service: format!("s{number}"),
            address: next(),
            answer,
            end: *end,
        });
        let scripts: Vec<_> = scripts.collect();
        let listen = platform.to_string();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            let arguments = ["--listen", &listen, "--lag-ms", "0"];
            let arguments = platform::Arguments::parse_args_default(&arguments).unwrap();
            runtime.block_on(platform::run(arguments)).unwrap();
        });
        scripts.iter().cloned().for_each(Script::spawn);
        let text = format!(
            "router: router-a\nzone: a\ncallers: {callers}\noperators: {operators}\npeers: {peers}\n\
             platform: http://{platform}\nfleet_key: k\nseeds: []\nfirst_operators:\n  - name: first\n    key_hash: {}\n",
            key_hash(OPERATOR)
        );
        let settings = Settings::parse(&text).unwrap();
        std::thread::spawn(move || run::run(settings));
        let fleet = Self { callers, scripts };
        fleet.configure(platform, operators).await;
        fleet
    }

    fn document(&self) -> String {
        let services = self
            .scripts
            .iter()
            .map(|script| format!("  - name: {}\n    kind: plain\n    not_repeatable: [POST]\n", script.service));
        format!(
            "zones:\n  - name: a\n    region: r\nservices:\n{}customers:\n  - name: c\n    key_hash: {}\n\
             operators:\n  - name: op\n    key_hash: {}\n",
            services.collect::<String>(),
            key_hash(CUSTOMER),
            key_hash(OPERATOR)
        )
    }

    async fn configure(&self, platform: SocketAddr, operators: SocketAddr) {
        let vms = self.scripts.iter().map(|script| {
            json!({
                "name": format!("vm-{}", script.service), "role": "upstream", "zone": "a", "service": script.service,
                "address": script.address,
            })
        });
        let vms = json!(vms.collect::<Vec<_>>()).to_string();
        let started_at = Instant::now();
        let key = format!("Bearer {OPERATOR}");
        let steps = [
            (Method::POST, format!("http://{platform}/admin/vms"), vms),
            (Method::PUT, format!("http://{operators}/v1/config?base=0&submission=first"), self.document()),
        ];
        for (method, uri, body) in steps {
            loop {
                let answer = call(method.clone(), uri.clone(), &[("authorization", &key)], body.clone()).await;
                if answer.is_some_and(|answer| answer.status == StatusCode::OK) {
                    break;
                }
                wait(started_at).await;
            }
        }
        loop {
            let uri = format!("http://{operators}/v1/status");
            let status = call(Method::GET, uri, &[("authorization", &key)], String::new()).await;
            let status: Value = status.and_then(|status| serde_json::from_str(&status.body).ok()).unwrap_or_default();
            if status["stats"]["usable"] == self.scripts.len() && status["stats"]["generation"] == 1 {
                return;
            }
            wait(started_at).await;
        }
    }

    /// Sends a request to the service of an upstream.
    async fn send(&self, number: usize, method: Method, key: Option<&str>) -> Option<Answer> {
        let service = &self.scripts[number].service;
        let (customer, deadline) = (format!("Bearer {CUSTOMER}"), DEADLINE.as_millis().to_string());
        let mut headers = vec![("authorization", customer.as_str()), ("stairvale-deadline-ms", deadline.as_str())];
        headers.extend(key.map(|key| ("idempotency-key", key)));
        let body = if method == Method::POST { "{}".to_owned() } else { String::new() };
        call(method, format!("http://{}/{service}/x", self.callers), &headers, body).await
    }
}

async fn wait(started_at: Instant) {
    assert!(started_at.elapsed() < START_UP_TIMEOUT, "the fleet didn't come up");
    tokio::time::sleep(Duration::from_millis(50)).await;
}

#[derive(Debug)]
struct Answer {
    status: StatusCode,
    body: String,
    /// Whether the answer ended as its head states.
    is_complete: bool,
}

impl Answer {
    fn is_success(&self) -> bool {
        self.status.is_success() && self.is_complete
    }
}

async fn call(method: Method, uri: String, headers: &[(&str, &str)], body: String) -> Option<Answer> {
    let client: legacy::Client<_, Full<Bytes>> = legacy::Client::builder(TokioExecutor::new()).build_http();
    let mut request = Request::builder().method(method).uri(uri);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let response = client.request(request.body(Full::new(body.into())).unwrap()).await.ok()?;
    let (head, mut incoming) = response.into_parts();
    let (mut received, mut is_complete) = (Vec::new(), true);
    while let Some(frame) = incoming.frame().await {
        match frame {
            Ok(frame) => received.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data)),
            Err(_) => {
                is_complete = false;
                break;
            }
        }
    }
    Some(Answer { status: head.status, body: String::from_utf8_lossy(&received).into_owned(), is_complete })
}

/// What callers must not see, for each case that shows it: a success, or no end of the answer within [`REPORT_TIME`].
async fn find_faults(cases: &[(&'static str, &'static str)], ends: &[End], methods: &[Method]) -> Vec<String> {
    let cases: Vec<_> = ends
        .iter()
        .flat_map(|end| methods.iter().flat_map(move |method| cases.iter().map(move |case| (*case, *end, method))))
        .collect();
    let answers: Vec<_> = cases.iter().map(|((_, answer), end, _)| (*answer, *end)).collect();
    let fleet = Fleet::start(&answers).await;
    let sent = cases.iter().enumerate().map(|(number, ((name, _), end, method))| {
        let fleet = &fleet;
        async move {
            let (case, key) = (format!("{method} {end:?}, cut {name}"), format!("key-{number}"));
            let key = (*method == Method::POST).then_some(key.as_str());
            // What was cut short must not be repeated as the answer to its key, either.
            for attempt in 0..=usize::from(key.is_some()) {
                let answer = tokio::time::timeout(REPORT_TIME, fleet.send(number, (*method).clone(), key)).await;
                match answer {
                    Ok(Some(answer)) if answer.is_success() => {
                        return Some(format!("{case}, attempt {attempt}: complete with {:?}", answer.body));
                    }
                    Ok(_) => {}
                    Err(_) => return Some(format!("{case}, attempt {attempt}: no end after {REPORT_TIME:?}")),
                }
            }
            None
        }
    });
    join_all(sent).await.into_iter().flatten().collect()
}

const METHODS: [Method; 2] = [Method::GET, Method::POST];

// An answer that broke off was passed on as complete.
#[tokio::test]
async fn no_answer_that_a_living_upstream_breaks_off_is_complete() {
    let faults = find_faults(&CUT_ANSWERS, &[End::Close], &METHODS).await;
    assert!(faults.is_empty(), "{faults:#?}");
}

// An answer that broke off since its upstream crashed was passed on as complete.
#[tokio::test]
async fn no_answer_that_a_crash_breaks_off_is_complete() {
    let faults = find_faults(&CUT_ANSWERS, &[End::Crash, End::Replace, End::Hang], &METHODS).await;
    assert!(faults.is_empty(), "{faults:#?}");
}

// An answer with neither a length nor chunks was complete, however its upstream ended.
#[tokio::test]
async fn an_answer_that_states_no_end_is_not_complete_unless_its_upstream_goes_on() {
    let cases = [("in the body", UNSTATED)];
    let faults = find_faults(&cases, &[End::Crash, End::Replace, End::Hang], &METHODS).await;
    assert!(faults.is_empty(), "{faults:#?}");
}

// A stream that broke off before its end marker must not end as complete.
#[tokio::test]
async fn no_stream_that_breaks_off_is_complete() {
    let faults = find_faults(&CUT_STREAMS, &[End::Close, End::Crash, End::Replace], &[Method::GET]).await;
    assert!(faults.is_empty(), "{faults:#?}");
}

// A stream never ended when its upstream accepted the request to resume it, and didn't answer.
#[tokio::test]
async fn a_stream_whose_upstream_hangs_is_reported_as_incomplete() {
    let faults = find_faults(&CUT_STREAMS, &[End::Hang], &[Method::GET]).await;
    assert!(faults.is_empty(), "{faults:#?}");
}

// What ends as stated is complete, and so is an answer whose upstream closed the connection and goes on.
#[tokio::test]
async fn answers_that_end_are_complete() {
    const CASES: [(&str, &str); 5] = [
        ("half of it", UNSTATED),
        ("whole", "HTTP/1.1 200 OK\r\ncontent-length: 5\r\nconnection: close\r\n\r\nwhole"),
        ("whole", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"),
        ("", "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"),
        ("", "HTTP/1.1 204 No Content\r\nconnection: close\r\n\r\n"),
    ];
    let answers: Vec<_> = CASES.iter().map(|(_, answer)| (*answer, End::Close)).collect();
    let fleet = Fleet::start(&answers).await;
    for method in METHODS {
        for (number, (body, _)) in CASES.iter().enumerate() {
            let key = format!("key-{number}");
            let key = (method == Method::POST).then_some(key.as_str());
            let answer = fleet.send(number, method.clone(), key).await.unwrap();
            assert!(answer.is_success(), "{method} {number}: {answer:?}");
            assert_eq!(&answer.body, body, "{method} {number}");
        }
    }
    let head = fleet.send(0, Method::HEAD, None).await.unwrap();
    assert!(head.is_success(), "HEAD: {head:?}");
}

// A failure states what it is by its status, so its body needs no stated end.
#[tokio::test]
async fn a_failure_without_a_length_is_passed_on() {
    const FAILURE: &str = "HTTP/1.1 404 Not Found\r\ncontent-type: text/plain\r\n\r\n";
    let fleet = Fleet::start(&[(FAILURE, End::Close)]).await;
    let answer = fleet.send(0, Method::GET, None).await.unwrap();
    assert_eq!((answer.status, answer.is_complete), (StatusCode::NOT_FOUND, true), "{answer:?}");
}

/// Answers that are whole but for their invalid status (RFC 9110, section 15).
const INVALID_STATUSES: [(&str, &str); 5] = [
    ("000", "HTTP/1.1 000 None\r\ncontent-type: text/plain\r\ncontent-length: 4\r\n\r\nwhat"),
    ("600", "HTTP/1.1 600 None\r\ncontent-type: text/plain\r\ncontent-length: 4\r\n\r\nwhat"),
    ("700", "HTTP/1.1 700 None\r\ncontent-type: text/event-stream\r\ncontent-length: 4\r\n\r\nwhat"),
    ("999", "HTTP/1.1 999 None\r\ncontent-type: text/plain\r\ncontent-length: 4\r\n\r\nwhat"),
    ("abc", "HTTP/1.1 abc None\r\ncontent-type: text/plain\r\ncontent-length: 4\r\n\r\nwhat"),
];

// An answer of status 600 to 999 was passed on.
#[tokio::test]
async fn own_interface_an_invalid_status_reaches_no_caller() {
    let answers = INVALID_STATUSES.map(|(_, answer)| (answer, End::Close));
    let fleet = Fleet::start(&answers).await;
    for (number, (status, _)) in INVALID_STATUSES.iter().enumerate() {
        for method in METHODS {
            let key = (method == Method::POST).then(|| format!("key-{number}"));
            let answer = fleet.send(number, method.clone(), key.as_deref()).await.unwrap();
            let is_own = answer.status.is_server_error() && !answer.body.contains("what");
            assert!(is_own, "{method}, status {status}: {answer:?}");
        }
    }
}
