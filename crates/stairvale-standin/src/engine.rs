//! A model engine: continuous batching, a prefix cache, resumable and cancellable streams, export and import of KV caches,
//! and orders that change the loaded model.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use futures::{SinkExt, channel::mpsc};
use gumdrop::Options;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, Incoming};
use hyper_util::{client::legacy, rt::TokioExecutor};
use serde::{Deserialize, Serialize};
use serde_json::{Value as Json, json};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::Notify,
};

use crate::{
    batch::{Batch, Job, Speed},
    cache::Cache,
    http::{
        Aborted, Body, BodyFrame, Error, MIN_DRAIN, body, draining_response, empty_response, event_stream, header_text,
        json_body, json_response, query_number, query_parameter, serve,
    },
    runs::{REQUEST_ID, Runs},
};

/// The approximate number of bytes of text per token.
const BYTES_PER_TOKEN: usize = 4;
/// The delay of the reported load behind the actual load.
const LOAD_LAG: Duration = Duration::from_millis(100);
/// The number of newest cache events that are withheld, to simulate events that arrive late.
const WITHHELD_EVENTS: u64 = 8;

/// The command-line arguments of an engine.
#[derive(Debug, Options)]
pub struct Arguments {
    /// print this help
    help: bool,
    /// the address to listen on
    #[options(required)]
    listen: Option<SocketAddr>,
    /// the model that is loaded at the start
    #[options(default = "prairie-8b")]
    model: String,
    /// the version of that model
    #[options(default = "1")]
    version: String,
    /// maximum number of streams that decode at the same time
    #[options(default = "32")]
    slots: usize,
    /// duration of a step without prefill, in microseconds
    #[options(default = "5500")]
    step_us: u64,
    /// time that each prefilled token adds to a step, in microseconds
    #[options(default = "50")]
    prefill_us: u64,
    /// maximum number of tokens prefilled in one step
    #[options(default = "128")]
    chunk: u32,
    /// time to import one token of a KV cache, in microseconds
    #[options(default = "15")]
    transfer_us: u64,
    /// capacity of the prefix cache, in tokens
    #[options(default = "400000")]
    cache: u64,
    /// refuse orders whose fencing token is older than the highest one received
    check_orders: bool,
}

/// The injected faults, set by `/admin/faults`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
struct Faults {
    /// The engine reports that it is draining and refuses new requests.
    drain: bool,
    /// Aborts a connection that reads a stream from its start after this number of events; zero disables it. Resumed
    /// streams are not aborted.
    cut_after: usize,
    /// Multiplies the duration of each step; zero counts as one.
    slow: u32,
}

#[derive(Debug)]
struct State {
    batch: Batch,
    faults: Faults,
    draining: bool,
    change: u64,
    loads: VecDeque<(Instant, usize)>,
    model: String,
    version: String,
    fencing_token: u64,
    orders: u64,
}

/// A running engine.
#[derive(Debug)]
struct Engine {
    state: Mutex<State>,
    stepped: Notify,
    runs: Runs,
    boot: u64,
    transfer_per_token: Duration,
    checks_orders: bool,
}

/// Runs an engine until it receives SIGTERM and its streams have ended.
///
/// # Errors
/// [`Error::Listen`] if the address cannot be bound, [`Error::Signal`] if no signal handler can be installed.
pub async fn run(arguments: Arguments) -> Result<(), Error> {
    let address = arguments.listen.ok_or(Error::Listen)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|_| Error::Signal)?;
    let engine = Arc::new(Engine::new(&arguments));
    tokio::spawn(engine.clone().run_steps());
    let handler = engine.clone();
    let serving = serve(address, move |request| handle(handler.clone(), request));
    tokio::select! {
        result = serving => result,
        () = async { terminate.recv().await; engine.drain().await; } => Ok(()),
    }
}

async fn handle(engine: Arc<Engine>, request: Request<Incoming>) -> Option<Response<Body>> {
    let path = request.uri().path().to_owned();
    if let Some(admin) = path.strip_prefix("/admin/") {
        return engine.admin(admin, request).await;
    }
    let method = request.method().clone();
    match (method, path.as_str()) {
        (Method::GET, "/v1/status") => Some(engine.status()),
        (Method::POST, "/v1/orders") => engine.order(request).await,
        (Method::GET, "/v1/kv/export") => engine.export(&request),
        (Method::GET, "/v1/cache-events") => Some(engine.cache_events(&request)),
        (Method::GET, path) => {
            let attempt = path.strip_prefix("/v1/streams/")?.to_owned();
            let after = query_number(&request, "after").unwrap_or(0);
            engine.resume(&attempt, usize::try_from(after).unwrap_or(0))
        }
        (Method::DELETE, path) => {
            let attempt = path.strip_prefix("/v1/streams/")?;
            engine.state().batch.cancel(attempt);
            Some(empty_response(StatusCode::NO_CONTENT))
        }
        _ => engine.generate(request).await,
    }
}

impl Engine {
    fn new(arguments: &Arguments) -> Self {
        let speed = Speed {
            step: Duration::from_micros(arguments.step_us),
            prefill_per_token: Duration::from_micros(arguments.prefill_us),
            chunk_tokens: arguments.chunk,
            slots: arguments.slots,
        };
        let state = State {
            batch: Batch::new(speed, Cache::new(arguments.cache)),
            faults: Faults::default(),
            draining: false,
            change: 0,
            loads: VecDeque::new(),
            model: arguments.model.clone(),
            version: arguments.version.clone(),
            fencing_token: 0,
            orders: 0,
        };
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            state: Mutex::new(state),
            stepped: Notify::new(),
            runs: Runs::default(),
            boot: u64::try_from(now.as_millis()).unwrap_or(0),
            transfer_per_token: Duration::from_micros(arguments.transfer_us),
            checks_orders: arguments.check_orders,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs steps for ever. Readers are notified of the tokens of a step when its simulated duration has passed.
    async fn run_steps(self: Arc<Self>) {
        loop {
            let duration = {
                let mut state = self.state();
                let load = state.batch.load();
                state.loads.push_back((Instant::now(), load));
                while state.loads.len() > 1 && state.loads[1].0.elapsed() >= LOAD_LAG {
                    state.loads.pop_front();
                }
                let slow = state.faults.slow.max(1);
                state.batch.step() * slow
            };
            tokio::time::sleep(duration).await;
            self.stepped.notify_waiters();
        }
    }

    async fn drain(&self) {
        {
            let mut state = self.state();
            state.draining = true;
            state.change += 1;
        }
        tokio::time::sleep(MIN_DRAIN).await;
        // The pause after the last stream lets readers receive their last events before the process ends.
        loop {
            tokio::time::sleep(Duration::from_millis(300)).await;
            if self.state().batch.load() == 0 {
                tokio::time::sleep(Duration::from_millis(300)).await;
                return;
            }
        }
    }

    // ------------------------------------------------------------------------

    async fn generate(self: &Arc<Self>, request: Request<Incoming>) -> Option<Response<Body>> {
        {
            let state = self.state();
            if state.draining || state.faults.drain {
                return Some(draining_response());
            }
        }
        let attempt = header_text(&request, "stairvale-attempt").unwrap_or_else(|| "none".to_owned());
        let id = header_text(&request, REQUEST_ID);
        let chat = header_text(&request, "stairvale-chat");
        let source = header_text(&request, "stairvale-import-from");
        let class = match header_text(&request, "stairvale-class").as_deref() {
            Some("urgent") => 0,
            Some("bulk") => 2,
            _ => 1,
        };
        let body = body(request).await?;
        let Ok(json) = serde_json::from_slice::<Json>(&body) else {
            return Some(empty_response(StatusCode::BAD_REQUEST));
        };
        if let (Some(source), Some(chat)) = (source, &chat) {
            self.import(&source, chat).await;
        }
        if let Some(id) = id {
            self.runs.count(&id);
        }
        let prompt = json["messages"].as_array().and_then(|all| all.last()?["content"].as_str()).unwrap_or_default();
        let job = Job {
            attempt: attempt.clone(),
            prompt: prompt.to_owned(),
            prompt_tokens: u32::try_from(body.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX),
            max_tokens: usize::try_from(json["max_tokens"].as_u64().unwrap_or(16)).unwrap_or(16),
            chat,
            class,
        };
        let prompt_tokens = job.prompt_tokens;
        let cached = self.state().batch.add(job);
        let mut response = self.stream(&attempt, 0)?;
        let headers = response.headers_mut();
        headers.insert("x-cached-tokens", HeaderValue::from(cached));
        headers.insert("x-prompt-tokens", HeaderValue::from(prompt_tokens));
        Some(response)
    }

    /// Fetches a chat's KV cache from another engine, and keeps it if it is longer than the local one.
    async fn import(&self, source: &str, chat: &str) -> Option<()> {
        let client: legacy::Client<_, Full<Bytes>> = legacy::Client::builder(TokioExecutor::new()).build_http();
        let uri = format!("http://{source}/v1/kv/export?chat={chat}").parse().ok()?;
        let response = tokio::time::timeout(Duration::from_millis(500), client.get(uri)).await.ok()?.ok()?;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        let tokens = serde_json::from_slice::<Json>(&body).ok()?["tokens"].as_u64()?;
        let tokens = u32::try_from(tokens).ok()?;
        tokio::time::sleep(self.transfer_per_token * tokens).await;
        let mut state = self.state();
        if tokens > state.batch.cache.get(chat) {
            state.batch.cache.put(chat, tokens);
        }
        Some(())
    }

    fn export(&self, request: &Request<Incoming>) -> Option<Response<Body>> {
        let chat = query_parameter(request, "chat")?;
        let tokens = self.state().batch.cache.get(&chat);
        Some(json_response(&json!({ "tokens": tokens })))
    }

    fn resume(self: &Arc<Self>, attempt: &str, after: usize) -> Option<Response<Body>> {
        let exists = self.state().batch.get(attempt).is_some();
        if !exists {
            return Some(empty_response(StatusCode::NOT_FOUND));
        }
        self.stream(attempt, after)
    }

    /// Opens a response that streams the events after a position to one reader.
    fn stream(self: &Arc<Self>, attempt: &str, after: usize) -> Option<Response<Body>> {
        const BUFFER: usize = 8;
        let (sender, receiver) = mpsc::channel(BUFFER);
        {
            let mut state = self.state();
            let stream = state.batch.get_mut(attempt)?;
            stream.readers += 1;
            stream.orphaned_since = None;
        }
        tokio::spawn(send_events(self.clone(), attempt.to_owned(), after, sender));
        Some(event_stream(receiver))
    }

    fn status(&self) -> Response<Body> {
        let state = self.state();
        let serving = !state.draining && !state.faults.drain;
        let load = state.loads.front().map_or(0, |(_, load)| *load);
        json_response(&json!({
            "boot": self.boot,
            "change": state.change,
            "state": if serving { "serving" } else { "draining" },
            "load": load,
            "model": state.model,
            "version": state.version,
        }))
    }

    async fn order(&self, request: Request<Incoming>) -> Option<Response<Body>> {
        let order: Json = json_body(request).await?;
        let token = order["token"].as_u64()?;
        let mut state = self.state();
        if self.checks_orders && token < state.fencing_token {
            return Some(empty_response(StatusCode::CONFLICT));
        }
        state.fencing_token = state.fencing_token.max(token);
        state.model = order["model"].as_str()?.to_owned();
        state.version = order["version"].as_str()?.to_owned();
        state.orders += 1;
        Some(json_response(&json!({})))
    }

    fn cache_events(&self, request: &Request<Incoming>) -> Response<Body> {
        let after = query_number(request, "after").unwrap_or(0);
        let mut events = self.state().batch.cache.events(after);
        let withheld = usize::try_from(WITHHELD_EVENTS).unwrap_or(0);
        events.truncate(events.len().saturating_sub(withheld));
        json_response(&events)
    }

    async fn admin(&self, path: &str, request: Request<Incoming>) -> Option<Response<Body>> {
        match path {
            "load" => Some(json_response(&json!({ "load": self.state().batch.load() }))),
            "runs" => Some(json_response(&self.runs.all())),
            "stats" => {
                let state = self.state();
                let (token, orders, cached) = (state.fencing_token, state.orders, state.batch.cache.used());
                Some(json_response(&json!({ "token": token, "orders": orders, "cached_tokens": cached })))
            }
            "faults" => {
                let faults: Faults = json_body(request).await?;
                let mut state = self.state();
                if faults.drain != state.faults.drain {
                    state.change += 1;
                }
                state.faults = faults;
                Some(json_response(&faults))
            }
            _ => Some(empty_response(StatusCode::NOT_FOUND)),
        }
    }
}

/// Sends a stream's events to one reader until the stream ends, the reader disconnects, or the `cut_after` fault aborts the
/// connection.
async fn send_events(engine: Arc<Engine>, attempt: String, after: usize, mut sender: mpsc::Sender<BodyFrame>) {
    let mut position = after + 1;
    loop {
        let stepped = engine.stepped.notified();
        let (ready, done, cut_after) = {
            let state = engine.state();
            let cut_after = state.faults.cut_after;
            let Some(stream) = state.batch.get(&attempt) else {
                return;
            };
            let ready: Vec<_> = (position..).map_while(|at| stream.event(at)).collect();
            (ready, stream.done, cut_after)
        };
        for event in ready {
            if after == 0 && cut_after > 0 && position > cut_after {
                detach_reader(&engine, &attempt);
                let _ = sender.send(Err(Aborted)).await;
                return;
            }
            position += 1;
            if sender.send(Ok(Frame::data(event.into()))).await.is_err() {
                detach_reader(&engine, &attempt);
                return;
            }
        }
        if done {
            detach_reader(&engine, &attempt);
            return;
        }
        if sender.is_closed() {
            detach_reader(&engine, &attempt);
            return;
        }
        stepped.await;
    }
}

fn detach_reader(engine: &Engine, attempt: &str) {
    let mut state = engine.state();
    if let Some(stream) = state.batch.get_mut(attempt) {
        stream.readers = stream.readers.saturating_sub(1);
        if stream.readers == 0 {
            stream.orphaned_since = Some(Instant::now());
        }
    }
}
