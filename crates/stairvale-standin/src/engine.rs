//! A model engine: batches continuously, caches prefixes, streams, resumes, cancels, exports and imports, takes orders.

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
        Body, Cut, DRAIN, Error, Piece, body, draining, events, header_text, json as answer_json, number, parameter,
        parse, serve, status,
    },
    runs::{REQUEST_ID, Runs},
};

/// Text bytes that make about one token.
const BYTES_PER_TOKEN: usize = 4;
/// How late the load report is.
const LOAD_LAG: Duration = Duration::from_millis(100);
/// How late cache events are.
const EVENT_LAG: u64 = 8;

/// An engine's command line.
#[derive(Debug, Options)]
pub struct Arguments {
    /// print this help
    help: bool,
    /// the address to listen at
    #[options(required)]
    listen: Option<SocketAddr>,
    /// the model that is loaded at the start
    #[options(default = "prairie-8b")]
    model: String,
    /// its version
    #[options(default = "1")]
    version: String,
    /// streams that decode at once
    #[options(default = "32")]
    slots: usize,
    /// a step without prefill, in microseconds
    #[options(default = "5500")]
    step_us: u64,
    /// what one prefilled token adds to a step, in microseconds
    #[options(default = "50")]
    prefill_us: u64,
    /// tokens prefilled in one step at the most
    #[options(default = "128")]
    chunk: u32,
    /// what importing one token takes, in microseconds
    #[options(default = "15")]
    transfer_us: u64,
    /// tokens that the prefix cache holds
    #[options(default = "400000")]
    cache: u64,
    /// refuse orders with an older fencing token
    check_orders: bool,
}

/// The fault switch.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
struct Faults {
    /// It says that it drains, and takes no new work.
    drain: bool,
    /// Streams are cut after so many events, once each; zero for never.
    cut_after: usize,
    /// Each step takes so many times as long; zero for once.
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
    token: u64,
    orders: u64,
}

/// An engine.
#[derive(Debug)]
struct Engine {
    state: Mutex<State>,
    stepped: Notify,
    runs: Runs,
    boot: u64,
    transfer: Duration,
    checks_orders: bool,
}

/// Runs an engine until it is told to stop and its streams have ended.
///
/// # Errors
/// [`Error::Listen`] or [`Error::Signal`].
pub async fn run(arguments: Arguments) -> Result<(), Error> {
    let address = arguments.listen.ok_or(Error::Listen)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|_| Error::Signal)?;
    let engine = Arc::new(Engine::new(&arguments));
    tokio::spawn(engine.clone().step());
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
            let after = number(&request, "after").unwrap_or(0);
            engine.resume(&attempt, usize::try_from(after).unwrap_or(0))
        }
        (Method::DELETE, path) => {
            let attempt = path.strip_prefix("/v1/streams/")?;
            engine.state().batch.cancel(attempt);
            Some(status(StatusCode::NO_CONTENT))
        }
        _ => engine.generate(request).await,
    }
}

impl Engine {
    fn new(arguments: &Arguments) -> Self {
        let speed = Speed {
            step: Duration::from_micros(arguments.step_us),
            prefill: Duration::from_micros(arguments.prefill_us),
            chunk: arguments.chunk,
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
            token: 0,
            orders: 0,
        };
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            state: Mutex::new(state),
            stepped: Notify::new(),
            runs: Runs::default(),
            boot: u64::try_from(now.as_millis()).unwrap_or(0),
            transfer: Duration::from_micros(arguments.transfer_us),
            checks_orders: arguments.check_orders,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Steps for ever. What a step made shows at its end.
    async fn step(self: Arc<Self>) {
        loop {
            let lasts = {
                let mut state = self.state();
                let load = state.batch.load();
                state.loads.push_back((Instant::now(), load));
                while state.loads.len() > 1 && state.loads[1].0.elapsed() >= LOAD_LAG {
                    state.loads.pop_front();
                }
                let slow = state.faults.slow.max(1);
                state.batch.step() * slow
            };
            tokio::time::sleep(lasts).await;
            self.stepped.notify_waiters();
        }
    }

    async fn drain(&self) {
        {
            let mut state = self.state();
            state.draining = true;
            state.change += 1;
        }
        tokio::time::sleep(DRAIN).await;
        // Readers get their last events before the process ends.
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
                return Some(draining());
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
            return Some(status(StatusCode::BAD_REQUEST));
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

    /// Fetches a chat's KV cache from another engine.
    async fn import(&self, source: &str, chat: &str) -> Option<()> {
        let client: legacy::Client<_, Full<Bytes>> = legacy::Client::builder(TokioExecutor::new()).build_http();
        let uri = format!("http://{source}/v1/kv/export?chat={chat}").parse().ok()?;
        let response = tokio::time::timeout(Duration::from_millis(500), client.get(uri)).await.ok()?.ok()?;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        let tokens = serde_json::from_slice::<Json>(&body).ok()?["tokens"].as_u64()?;
        let tokens = u32::try_from(tokens).ok()?;
        tokio::time::sleep(self.transfer * tokens).await;
        let mut state = self.state();
        if tokens > state.batch.cache.get(chat) {
            state.batch.cache.put(chat, tokens);
        }
        Some(())
    }

    fn export(&self, request: &Request<Incoming>) -> Option<Response<Body>> {
        let chat = parameter(request, "chat")?;
        let tokens = self.state().batch.cache.get(&chat);
        Some(answer_json(&json!({ "tokens": tokens })))
    }

    fn resume(self: &Arc<Self>, attempt: &str, after: usize) -> Option<Response<Body>> {
        let known = self.state().batch.get(attempt).is_some();
        if !known {
            return Some(status(StatusCode::NOT_FOUND));
        }
        self.stream(attempt, after)
    }

    /// Streams the events after a position to one reader.
    fn stream(self: &Arc<Self>, attempt: &str, after: usize) -> Option<Response<Body>> {
        const BUFFER: usize = 8;
        let (sender, receiver) = mpsc::channel(BUFFER);
        {
            let mut state = self.state();
            let stream = state.batch.get_mut(attempt)?;
            stream.readers += 1;
            stream.orphaned = None;
        }
        tokio::spawn(feed(self.clone(), attempt.to_owned(), after, sender));
        Some(events(receiver))
    }

    fn status(&self) -> Response<Body> {
        let state = self.state();
        let serving = !state.draining && !state.faults.drain;
        let load = state.loads.front().map_or(0, |(_, load)| *load);
        answer_json(&json!({
            "boot": self.boot,
            "change": state.change,
            "state": if serving { "serving" } else { "draining" },
            "load": load,
            "model": state.model,
            "version": state.version,
        }))
    }

    async fn order(&self, request: Request<Incoming>) -> Option<Response<Body>> {
        let order: Json = parse(request).await?;
        let token = order["token"].as_u64()?;
        let mut state = self.state();
        if self.checks_orders && token < state.token {
            return Some(status(StatusCode::CONFLICT));
        }
        state.token = state.token.max(token);
        state.model = order["model"].as_str()?.to_owned();
        state.version = order["version"].as_str()?.to_owned();
        state.orders += 1;
        Some(answer_json(&json!({})))
    }

    fn cache_events(&self, request: &Request<Incoming>) -> Response<Body> {
        let after = number(request, "after").unwrap_or(0);
        let mut events = self.state().batch.cache.events(after);
        let late = usize::try_from(EVENT_LAG).unwrap_or(0);
        events.truncate(events.len().saturating_sub(late));
        answer_json(&events)
    }

    async fn admin(&self, path: &str, request: Request<Incoming>) -> Option<Response<Body>> {
        match path {
            "load" => Some(answer_json(&json!({ "load": self.state().batch.load() }))),
            "runs" => Some(answer_json(&self.runs.all())),
            "stats" => {
                let state = self.state();
                let (token, orders, cached) = (state.token, state.orders, state.batch.cache.used());
                Some(answer_json(&json!({ "token": token, "orders": orders, "cached_tokens": cached })))
            }
            "faults" => {
                let faults: Faults = parse(request).await?;
                let mut state = self.state();
                if faults.drain != state.faults.drain {
                    state.change += 1;
                }
                state.faults = faults;
                Some(answer_json(&faults))
            }
            _ => Some(status(StatusCode::NOT_FOUND)),
        }
    }
}

/// Feeds one reader from a stream until it ends, the reader leaves, or the fault switch cuts it.
async fn feed(engine: Arc<Engine>, attempt: String, after: usize, mut sender: mpsc::Sender<Piece>) {
    let mut position = after + 1;
    loop {
        let stepped = engine.stepped.notified();
        let (ready, over, cut_after) = {
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
                leave(&engine, &attempt);
                let _ = sender.send(Err(Cut)).await;
                return;
            }
            position += 1;
            if sender.send(Ok(Frame::data(event.into()))).await.is_err() {
                leave(&engine, &attempt);
                return;
            }
        }
        if over {
            leave(&engine, &attempt);
            return;
        }
        if sender.is_closed() {
            leave(&engine, &attempt);
            return;
        }
        stepped.await;
    }
}

fn leave(engine: &Engine, attempt: &str) {
    let mut state = engine.state();
    if let Some(stream) = state.batch.get_mut(attempt) {
        stream.readers = stream.readers.saturating_sub(1);
        if stream.readers == 0 {
            stream.orphaned = Some(Instant::now());
        }
    }
}
