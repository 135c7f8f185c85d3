//! A plain service whose calls must not be repeated.

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
    http::{Body, Error, MIN_DRAIN, body, draining_response, header_text, json_body, json_response, serve},
    runs::{REQUEST_ID, Runs},
    text,
};

/// The interval at which a call with a held response checks whether the `hold` fault is still set.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The command-line arguments of a service.
#[derive(Debug, Options)]
pub struct Arguments {
    /// print this help
    help: bool,
    /// the address to listen on
    #[options(required)]
    listen: Option<SocketAddr>,
    /// duration of a call, in milliseconds
    #[options(default = "5")]
    delay_ms: u64,
}

/// The injected faults, set by `/admin/faults`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
struct Faults {
    /// The service reports that it is draining and refuses calls.
    drain: bool,
    /// The service refuses calls although it reports that it is serving.
    refuse: bool,
    /// The service refuses calls with a `Retry-After` header of this number of seconds.
    rest: Option<u32>,
    /// The number of coming calls whose connection breaks after the call ran and before its response.
    break_after: u32,
    /// Calls run, and their responses are held back until this is cleared.
    hold: bool,
}

#[derive(Debug, Default)]
struct State {
    faults: Faults,
    draining: bool,
    change: u64,
    /// The number of refused calls.
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

/// Runs a service until it receives SIGTERM and its calls have ended.
///
/// # Errors
/// [`Error::Listen`] if the address cannot be bound, [`Error::Signal`] if no signal handler can be installed.
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
        "/admin/runs" => Some(json_response(&service.runs.all())),
        "/admin/load" => Some(json_response(&json!({
            "load": service.load.load(Ordering::Relaxed),
            "refused": service.state().refused,
        }))),
        "/admin/faults" => {
            let faults: Faults = json_body(request).await?;
            let mut state = service.state();
            if faults.drain != state.faults.drain {
                state.change += 1;
            }
            state.faults = faults;
            Some(json_response(&faults))
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
                let mut response = draining_response();
                if let Some(seconds) = rest {
                    response.headers_mut().insert(header::RETRY_AFTER, seconds.into());
                }
                return Some(response);
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
            tokio::time::sleep(HOLD_POLL_INTERVAL).await;
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
        Some(json_response(&json!({ "receipt": text::receipt(&body) })))
    }

    fn status(&self) -> Response<Body> {
        let state = self.state();
        let serving = !state.draining && !state.faults.drain;
        json_response(&json!({
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
        tokio::time::sleep(MIN_DRAIN).await;
        loop {
            tokio::time::sleep(Duration::from_millis(100)).await;
            if self.load.load(Ordering::Relaxed) == 0 {
                return;
            }
        }
    }
}
