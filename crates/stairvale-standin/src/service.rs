//! A plain service with calls that must not be repeated.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use gumdrop::Options;
use http::{Request, Response, header};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::signal::unix::{SignalKind, signal};

use crate::{
    http::{Body, DRAIN, Error, body, draining, header_text, json as answer_json, parse, serve},
    runs::{REQUEST_ID, Runs},
    text,
};

/// How often a call whose answer is held back looks whether it still is.
const HOLD_STEP: Duration = Duration::from_millis(20);

/// A service's command line.
#[derive(Debug, Options)]
pub struct Arguments {
    /// print this help
    help: bool,
    /// the address to listen at
    #[options(required)]
    listen: Option<SocketAddr>,
    /// how long a call takes, in milliseconds
    #[options(default = "5")]
    delay_ms: u64,
}

/// The fault switch.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
struct Faults {
    /// It says that it drains.
    drain: bool,
    /// It refuses calls, though it says that it serves.
    refuse: bool,
    /// It refuses calls and asks for so many seconds of rest.
    rest: Option<u32>,
    /// The connection breaks after the call ran, before its answer: so many of the next calls.
    break_after: u32,
    /// Calls run, and their answers are held back until this is switched off.
    hold: bool,
}

#[derive(Debug, Default)]
struct State {
    faults: Faults,
    draining: bool,
    change: u64,
    /// Calls that were refused.
    refused: u64,
}

#[derive(Debug)]
struct Service {
    state: Mutex<State>,
    runs: Runs,
    load: AtomicUsize,
    boot: u64,
    delay: Duration,
}

/// Runs a service until it is told to stop and its calls have ended.
///
/// # Errors
/// [`Error::Listen`] or [`Error::Signal`].
pub async fn run(arguments: Arguments) -> Result<(), Error> {
    let address = arguments.listen.ok_or(Error::Listen)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|_| Error::Signal)?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let service = Arc::new(Service {
        state: Mutex::default(),
        runs: Runs::default(),
        load: AtomicUsize::new(0),
        boot: u64::try_from(now.as_millis()).unwrap_or(0),
        delay: Duration::from_millis(arguments.delay_ms),
    });
    let handler = service.clone();
    let serving = serve(address, move |request| handle(handler.clone(), request));
    tokio::select! {
        result = serving => result,
        () = async { terminate.recv().await; service.drain().await; } => Ok(()),
    }
}

async fn handle(service: Arc<Service>, request: Request<Incoming>) -> Option<Response<Body>> {
    let path = request.uri().path().to_owned();
    match path.as_str() {
        "/v1/status" => Some(service.status()),
        "/admin/runs" => Some(answer_json(&service.runs.all())),
        "/admin/load" => Some(answer_json(&json!({
            "load": service.load.load(Ordering::Relaxed),
            "refused": service.state().refused,
        }))),
        "/admin/faults" => {
            let faults: Faults = parse(request).await?;
            let mut state = service.state();
            if faults.drain != state.faults.drain {
                state.change += 1;
            }
            state.faults = faults;
            Some(answer_json(&faults))
        }
        _ => service.call(request).await,
    }
}

impl Service {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn call(&self, request: Request<Incoming>) -> Option<Response<Body>> {
        {
            let mut state = self.state();
            let Faults { drain, refuse, rest, .. } = state.faults;
            if state.draining || drain || refuse || rest.is_some() {
                state.refused += 1;
                let mut answer = draining();
                if let Some(seconds) = rest {
                    answer.headers_mut().insert(header::RETRY_AFTER, seconds.into());
                }
                return Some(answer);
            }
        }
        self.load.fetch_add(1, Ordering::Relaxed);
        let id = header_text(&request, REQUEST_ID);
        let body = body(request).await;
        tokio::time::sleep(self.delay).await;
        if let (Some(id), Some(_)) = (id, &body) {
            self.runs.count(&id);
        }
        while self.state().faults.hold {
            tokio::time::sleep(HOLD_STEP).await;
        }
        self.load.fetch_sub(1, Ordering::Relaxed);
        let body = body?;
        {
            let mut state = self.state();
            if state.faults.break_after > 0 {
                state.faults.break_after -= 1;
                return None;
            }
        }
        Some(answer_json(&json!({ "receipt": text::receipt(&body) })))
    }

    fn status(&self) -> Response<Body> {
        let state = self.state();
        let serving = !state.draining && !state.faults.drain;
        answer_json(&json!({
            "boot": self.boot,
            "change": state.change,
            "state": if serving { "serving" } else { "draining" },
            "load": self.load.load(Ordering::Relaxed),
        }))
    }

    async fn drain(&self) {
        {
            let mut state = self.state();
            state.draining = true;
            state.change += 1;
        }
        tokio::time::sleep(DRAIN).await;
        loop {
            tokio::time::sleep(Duration::from_millis(100)).await;
            if self.load.load(Ordering::Relaxed) == 0 {
                return;
            }
        }
    }
}
