//! One request, checked to its end.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::Value;
use stairvale_standin::{runs::REQUEST_ID, text};

use crate::{
    check::{Reader, Verdict},
    plan::{Plain, Plan, Turn},
    tally::{Measure, Outcome, Tally},
};

/// A request that isn't done by then counts as unknown.
const LIMIT: Duration = Duration::from_secs(60);

/// What the requests share.
#[derive(Debug)]
pub struct Client {
    /// Connections.
    pub http: legacy::Client<HttpConnector, Full<Bytes>>,
    /// The routers' callers' addresses; those ready, as the balancer sees it.
    pub ready: Mutex<Vec<SocketAddr>>,
    /// Customers' keys.
    pub keys: Vec<String>,
    /// The chat service.
    pub service: String,
    /// The plain service.
    pub plain: String,
    /// The plan.
    pub plan: Plan,
    /// What was counted.
    pub tally: Mutex<Tally>,
    /// Tokens that each chat's last answered turn left in some cache.
    left: Mutex<std::collections::HashMap<usize, u64>>,
    /// Measures of requests due before this aren't counted, but for the outcome.
    pub warmup: Duration,
    /// When the surge begins.
    pub middle: Duration,
    turn: AtomicUsize,
}

/// Takes a lock; a panic elsewhere ends the program anyway.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What a caller saw of a chat's turn.
#[derive(Clone, Copy, Debug)]
struct Seen {
    outcome: Outcome,
    first: Option<Duration>,
    waited: Option<Duration>,
    reuse: Option<(u64, u64)>,
}

impl Seen {
    /// No answer began.
    const fn only(outcome: Outcome) -> Self {
        Self { outcome, first: None, waited: None, reuse: None }
    }
}

/// The wait for permits that the router tells.
fn waited(headers: &http::HeaderMap) -> Option<Duration> {
    let text = headers.get("server-timing")?.to_str().ok()?;
    let millis: f64 = text.strip_prefix("permit;dur=")?.parse().ok()?;
    Duration::try_from_secs_f64(millis / 1e3).ok()
}

impl Client {
    /// A client without connections.
    #[must_use]
    pub fn new(plan: Plan, keys: Vec<String>, service: String, plain: String) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(500)));
        let mut builder = legacy::Client::builder(TokioExecutor::new());
        builder.retry_canceled_requests(false);
        Self {
            http: builder.build(connector),
            ready: Mutex::default(),
            keys,
            service,
            plain,
            plan,
            tally: Mutex::default(),
            left: Mutex::default(),
            warmup: Duration::ZERO,
            middle: Duration::MAX,
            turn: AtomicUsize::new(0),
        }
    }

    /// The next router, as a balancer would pick it.
    fn router(&self) -> Option<SocketAddr> {
        let ready = lock(&self.ready);
        if ready.is_empty() {
            return None;
        }
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        ready.get(turn % ready.len()).copied()
    }

    /// Runs a chat's turn that is due now.
    pub async fn turn(self: Arc<Self>, turn: Turn, due: Instant) {
        let seen = tokio::time::timeout(LIMIT, self.chat(turn, due)).await;
        let seen = seen.unwrap_or_else(|_| Seen::only(Outcome::Unknown));
        let chat = &self.plan.chats[turn.chat];
        let counted = turn.at >= self.warmup;
        let measure = Measure {
            outcome: seen.outcome,
            first: seen.first.filter(|_| counted),
            waited: seen.waited.filter(|_| counted),
            customer: chat.customer,
            urgent: chat.priority(turn.turn) == "u=1",
            bulk: chat.bulk,
            late: turn.at >= self.middle,
            reuse: seen.reuse.filter(|_| counted),
        };
        lock(&self.tally).count(measure);
    }

    async fn chat(&self, turn: Turn, due: Instant) -> Seen {
        let chat = &self.plan.chats[turn.chat];
        let key = &self.keys[chat.customer % self.keys.len()];
        let Some(router) = self.router() else {
            return Seen::only(Outcome::NotRun);
        };
        let request = Request::post(format!("http://{router}/{}/v1/chat/completions", self.service))
            .header("authorization", format!("Bearer {key}"))
            .header("content-type", "application/json")
            .header("stairvale-chat", &chat.name)
            .header("priority", chat.priority(turn.turn))
            .header(REQUEST_ID, format!("{}-{}", chat.name, turn.turn))
            .body(Full::new(chat.body(turn.turn).into()));
        let Ok(request) = request else {
            return Seen::only(Outcome::Lost);
        };
        let response = match self.http.request(request).await {
            Ok(response) => response,
            Err(error) => return Seen::only(self.broken(error.is_connect())),
        };
        if response.status() != StatusCode::OK {
            return Seen::only(self.refused(response).await);
        }
        let number = |name: &str| response.headers().get(name)?.to_str().ok()?.parse::<u64>().ok();
        let cached = number("x-cached-tokens").unwrap_or(0);
        let prompt = number("x-prompt-tokens").unwrap_or(0);
        let waited = waited(response.headers());
        let (outcome, first) = self.read(response, &chat.answer(turn.turn), due).await;
        let reuse = self.reuse(turn, outcome, cached, prompt, &chat.answer(turn.turn));
        Seen { outcome, first, waited, reuse }
    }

    /// Counts the reuse of a returning turn, and remembers what this one leaves behind.
    fn reuse(&self, turn: Turn, outcome: Outcome, cached: u64, prompt: u64, answer: &str) -> Option<(u64, u64)> {
        let mut left = lock(&self.left);
        let before = left.get(&turn.chat).copied();
        if outcome == Outcome::Ok {
            let generated = answer.split_whitespace().count() as u64;
            left.insert(turn.chat, prompt + generated);
        }
        let before = before?;
        // What the chat left is at most this turn's prompt, by the engine's own count of tokens.
        let cacheable = before.min(prompt);
        Some((cached.min(cacheable), cacheable))
    }

    async fn read(&self, response: Response<Incoming>, expected: &str, due: Instant) -> (Outcome, Option<Duration>) {
        let mut body = response.into_body();
        let mut reader = Reader::default();
        let mut first = None;
        let mut last = Instant::now();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                // The connection broke, which a caller sees as clearly as a typed error; but what came must be right.
                let mixed = reader.verdict(expected) == Verdict::Mixed;
                return (if mixed { Outcome::Mixed } else { self.broken(false) }, first);
            };
            let Some(piece) = frame.data_ref() else {
                continue;
            };
            let tokens = reader.extend(piece);
            if tokens > 0 {
                if first.is_some() {
                    lock(&self.tally).between.record(last.elapsed());
                }
                first.get_or_insert_with(|| due.elapsed());
                last = Instant::now();
            }
        }
        let outcome = match reader.verdict(expected) {
            Verdict::Whole => Outcome::Ok,
            Verdict::Unknown => Outcome::Unknown,
            Verdict::Lost => Outcome::Lost,
            Verdict::Mixed => Outcome::Mixed,
        };
        (outcome, first)
    }

    fn broken(&self, connecting: bool) -> Outcome {
        let reason = if connecting { "no-connection" } else { "connection-broke" };
        *lock(&self.tally).reasons.entry(reason.to_owned()).or_default() += 1;
        if connecting { Outcome::NotRun } else { Outcome::Unknown }
    }

    /// A typed "no": its outcome is what counts.
    async fn refused(&self, response: Response<Incoming>) -> Outcome {
        let status = response.status();
        let retry_after = response.headers().contains_key("retry-after");
        let body = response.into_body().collect().await.map(http_body_util::Collected::to_bytes).unwrap_or_default();
        let problem: Value = serde_json::from_slice(&body).unwrap_or_default();
        let reason = problem["reason"].as_str().map_or_else(|| format!("status-{status}"), str::to_owned);
        let mut tally = lock(&self.tally);
        *tally.reasons.entry(reason).or_default() += 1;
        if status == StatusCode::SERVICE_UNAVAILABLE && !retry_after {
            *tally.reasons.entry("without-retry-after".to_owned()).or_default() += 1;
        }
        match problem["outcome"].as_str() {
            Some("not-run") => Outcome::NotRun,
            Some("unknown" | "ran") => Outcome::Unknown,
            _ => Outcome::Lost,
        }
    }

    /// Runs a plain call that is due now.
    pub async fn plain(self: Arc<Self>, plain: Plain, seed: u64) {
        let id = format!("redeem-{seed}-{}", plain.number);
        let call = self.redeem(&plain, &id);
        let outcome = tokio::time::timeout(LIMIT, call).await.unwrap_or(Outcome::Unknown);
        let mut tally = lock(&self.tally);
        tally.keys.entry(id).or_default().push(outcome);
        *tally.outcomes.entry(outcome).or_default() += 1;
    }

    async fn redeem(&self, plain: &Plain, id: &str) -> Outcome {
        let key = &self.keys[plain.customer % self.keys.len()];
        let Some(router) = self.router() else {
            return Outcome::NotRun;
        };
        let body = format!("{{\"redeem\":\"{id}\"}}");
        let request = Request::post(format!("http://{router}/{}/redeem", self.plain))
            .header("authorization", format!("Bearer {key}"))
            .header("idempotency-key", id)
            .header(REQUEST_ID, id)
            .body(Full::new(body.clone().into()));
        let Ok(request) = request else {
            return Outcome::Lost;
        };
        let response = match self.http.request(request).await {
            Ok(response) => response,
            Err(error) => return self.broken(error.is_connect()),
        };
        if response.status() != StatusCode::OK {
            return self.refused(response).await;
        }
        let Ok(answer) = response.into_body().collect().await else {
            return self.broken(false);
        };
        let answer: Value = serde_json::from_slice(&answer.to_bytes()).unwrap_or_default();
        if answer["receipt"] == text::receipt(body.as_bytes()) { Outcome::Ok } else { Outcome::Mixed }
    }
}
