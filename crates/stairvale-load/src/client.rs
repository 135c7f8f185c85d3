//! Sends the requests of a plan and checks their answers.

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
    check::{AnswerReader, Verdict},
    plan::{PlainCall, Plan, Turn},
    tally::{Measurement, Outcome, Tally},
};

/// Maximum duration of a request; after that its outcome counts as unknown.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

/// The state that all requests share.
#[derive(Debug)]
pub struct Client {
    /// The HTTP client with its connection pool.
    pub http: legacy::Client<HttpConnector, Full<Bytes>>,
    /// Addresses for callers of those routers that the load balancer found ready.
    pub ready_routers: Mutex<Vec<SocketAddr>>,
    /// The keys of the customers, by customer index.
    pub keys: Vec<String>,
    /// The name of the chat service.
    pub chat_service: String,
    /// The name of the plain service.
    pub plain_service: String,
    /// The schedule of all requests.
    pub plan: Plan,
    /// The outcomes and latencies of the requests so far.
    pub tally: Mutex<Tally>,
    /// The number of tokens that the last answered turn of each chat left in some engine's cache, by chat index.
    tokens_left_in_cache: Mutex<std::collections::HashMap<usize, u64>>,
    /// The length of the warm-up; of requests scheduled before its end only the outcome counts.
    pub warmup: Duration,
    /// When the first customer's rate rises, from the start of the run.
    pub surge_start: Duration,
    next_router: AtomicUsize,
}

/// Locks a mutex, even if it is poisoned, since a panic elsewhere ends the program anyway.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The result of a chat turn, as observed by the caller.
#[derive(Clone, Copy, Debug)]
struct TurnResult {
    outcome: Outcome,
    time_to_first_token: Option<Duration>,
    permit_wait: Option<Duration>,
    reuse: Option<(u64, u64)>,
}

impl TurnResult {
    /// The result of a turn for which no answer was received.
    const fn without_answer(outcome: Outcome) -> Self {
        Self { outcome, time_to_first_token: None, permit_wait: None, reuse: None }
    }
}

/// The time that the request waited for permits, as the router reports it in the `server-timing` header.
fn permit_wait(headers: &http::HeaderMap) -> Option<Duration> {
    let text = headers.get("server-timing")?.to_str().ok()?;
    let millis: f64 = text.strip_prefix("permit;dur=")?.parse().ok()?;
    Duration::try_from_secs_f64(millis / 1e3).ok()
}

impl Client {
    /// Creates a client that has no connections yet.
    #[must_use]
    pub fn new(plan: Plan, keys: Vec<String>, chat_service: String, plain_service: String) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(500)));
        let mut builder = legacy::Client::builder(TokioExecutor::new());
        builder.retry_canceled_requests(false);
        Self {
            http: builder.build(connector),
            ready_routers: Mutex::default(),
            keys,
            chat_service,
            plain_service,
            plan,
            tally: Mutex::default(),
            tokens_left_in_cache: Mutex::default(),
            warmup: Duration::ZERO,
            surge_start: Duration::MAX,
            next_router: AtomicUsize::new(0),
        }
    }

    /// The next router by round robin over those that are ready, as a load balancer picks it.
    fn pick_router(&self) -> Option<SocketAddr> {
        let ready = lock(&self.ready_routers);
        if ready.is_empty() {
            return None;
        }
        let index = self.next_router.fetch_add(1, Ordering::Relaxed);
        ready.get(index % ready.len()).copied()
    }

    /// Runs a chat turn that is due now, and counts its result.
    pub async fn run_turn(self: Arc<Self>, turn: Turn, due: Instant) {
        let result = tokio::time::timeout(REQUEST_TIMEOUT, self.send_turn(turn, due)).await;
        let result = result.unwrap_or_else(|_| TurnResult::without_answer(Outcome::Unknown));
        let chat = &self.plan.chats[turn.chat];
        let measured = turn.at >= self.warmup;
        let measurement = Measurement {
            outcome: result.outcome,
            time_to_first_token: result.time_to_first_token.filter(|_| measured),
            permit_wait: result.permit_wait.filter(|_| measured),
            customer: chat.customer,
            urgent: chat.priority(turn.turn) == "u=1",
            bulk: chat.bulk,
            after_surge_start: turn.at >= self.surge_start,
            reuse: result.reuse.filter(|_| measured),
        };
        lock(&self.tally).count(measurement);
    }

    async fn send_turn(&self, turn: Turn, due: Instant) -> TurnResult {
        let chat = &self.plan.chats[turn.chat];
        let key = &self.keys[chat.customer % self.keys.len()];
        let Some(router) = self.pick_router() else {
            return TurnResult::without_answer(Outcome::NotRun);
        };
        let request = Request::post(format!("http://{router}/{}/v1/chat/completions", self.chat_service))
            .header("authorization", format!("Bearer {key}"))
            .header("content-type", "application/json")
            .header("stairvale-chat", &chat.name)
            .header("priority", chat.priority(turn.turn))
            .header(REQUEST_ID, format!("{}-{}", chat.name, turn.turn))
            .body(Full::new(chat.request_body(turn.turn).into()));
        let Ok(request) = request else {
            return TurnResult::without_answer(Outcome::Lost);
        };
        let response = match self.http.request(request).await {
            Ok(response) => response,
            Err(error) => return TurnResult::without_answer(self.connection_failed(error.is_connect())),
        };
        if response.status() != StatusCode::OK {
            return TurnResult::without_answer(self.refusal_outcome(response).await);
        }
        let header_number = |name: &str| response.headers().get(name)?.to_str().ok()?.parse::<u64>().ok();
        let cached = header_number("x-cached-tokens").unwrap_or(0);
        let prompt = header_number("x-prompt-tokens").unwrap_or(0);
        let permit_wait = permit_wait(response.headers());
        let (outcome, time_to_first_token) = self.read_answer(response, &chat.expected_answer(turn.turn), due).await;
        let reuse = self.record_reuse(turn, outcome, cached, prompt, &chat.expected_answer(turn.turn));
        TurnResult { outcome, time_to_first_token, permit_wait, reuse }
    }

    /// Records the number of tokens that this turn leaves in a cache. For a turn after the chat's first answered one it
    /// returns the prompt tokens found cached, and those that could have been.
    fn record_reuse(&self, turn: Turn, outcome: Outcome, cached: u64, prompt: u64, answer: &str) -> Option<(u64, u64)> {
        let mut left = lock(&self.tokens_left_in_cache);
        let before = left.get(&turn.chat).copied();
        if outcome == Outcome::Ok {
            let generated = answer.split_whitespace().count() as u64;
            left.insert(turn.chat, prompt + generated);
        }
        let before = before?;
        // By the engine's own count of tokens, no more than this turn's prompt can be cached.
        let cacheable = before.min(prompt);
        Some((cached.min(cacheable), cacheable))
    }

    async fn read_answer(
        &self,
        response: Response<Incoming>,
        expected: &str,
        due: Instant,
    ) -> (Outcome, Option<Duration>) {
        let mut body = response.into_body();
        let mut reader = AnswerReader::default();
        let mut time_to_first_token = None;
        let mut last_token_at = Instant::now();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                // To the caller a broken connection is as clear as an error event, but the data received so far must be
                // correct.
                let mixed = reader.verdict(expected) == Verdict::Mixed;
                return (if mixed { Outcome::Mixed } else { self.connection_failed(false) }, time_to_first_token);
            };
            let Some(chunk) = frame.data_ref() else {
                continue;
            };
            let tokens = reader.extend(chunk);
            if tokens > 0 {
                if time_to_first_token.is_some() {
                    lock(&self.tally).inter_token.record(last_token_at.elapsed());
                }
                time_to_first_token.get_or_insert_with(|| due.elapsed());
                last_token_at = Instant::now();
            }
        }
        let outcome = match reader.verdict(expected) {
            Verdict::Complete => Outcome::Ok,
            Verdict::Unknown => Outcome::Unknown,
            Verdict::Lost => Outcome::Lost,
            Verdict::Mixed => Outcome::Mixed,
        };
        (outcome, time_to_first_token)
    }

    /// Counts a failed connection, and returns the outcome: without a connection the request was not run.
    fn connection_failed(&self, connecting: bool) -> Outcome {
        let reason = if connecting { "no-connection" } else { "connection-broke" };
        *lock(&self.tally).reasons.entry(reason.to_owned()).or_default() += 1;
        if connecting { Outcome::NotRun } else { Outcome::Unknown }
    }

    /// Counts an error response by its reason, and returns the outcome that it states.
    async fn refusal_outcome(&self, response: Response<Incoming>) -> Outcome {
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

    /// Runs a call of the plain service that is due now, and counts its outcome.
    pub async fn run_plain_call(self: Arc<Self>, call: PlainCall, seed: u64) {
        let id = format!("redeem-{seed}-{}", call.number);
        let outcome = self.send_plain_call(&call, &id);
        let outcome = tokio::time::timeout(REQUEST_TIMEOUT, outcome).await.unwrap_or(Outcome::Unknown);
        let mut tally = lock(&self.tally);
        tally.plain_outcomes.entry(id).or_default().push(outcome);
        *tally.outcomes.entry(outcome).or_default() += 1;
    }

    async fn send_plain_call(&self, call: &PlainCall, id: &str) -> Outcome {
        let key = &self.keys[call.customer % self.keys.len()];
        let Some(router) = self.pick_router() else {
            return Outcome::NotRun;
        };
        let body = format!("{{\"redeem\":\"{id}\"}}");
        let request = Request::post(format!("http://{router}/{}/redeem", self.plain_service))
            .header("authorization", format!("Bearer {key}"))
            .header("idempotency-key", id)
            .header(REQUEST_ID, id)
            .body(Full::new(body.clone().into()));
        let Ok(request) = request else {
            return Outcome::Lost;
        };
        let response = match self.http.request(request).await {
            Ok(response) => response,
            Err(error) => return self.connection_failed(error.is_connect()),
        };
        if response.status() != StatusCode::OK {
            return self.refusal_outcome(response).await;
        }
        let Ok(answer) = response.into_body().collect().await else {
            return self.connection_failed(false);
        };
        let answer: Value = serde_json::from_slice(&answer.to_bytes()).unwrap_or_default();
        if answer["receipt"] == text::receipt(body.as_bytes()) { Outcome::Ok } else { Outcome::Mixed }
    }
}
