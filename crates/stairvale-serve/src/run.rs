//! A process from its start to its graceful shutdown.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use error_stack::{Report, ResultExt};
use stairvale_types::id;
use stairvale_wire::{Member, Status};
use tokio::{
    net::{TcpListener, UdpSocket},
    runtime,
    signal::unix::{Signal, SignalKind, signal},
    sync::mpsc,
    task::{JoinHandle, JoinSet},
};

use crate::{
    Dialect, Settings, Shared, Source, caller, control, core::Core, inspect, origins, quarantine, ready, record,
    traffic, watch,
};

/// The load balancer probes each second and takes a router out of service after two failed probes; by then it sends no
/// new connections.
const BALANCER_DRAIN_DELAY: Duration = Duration::from_millis(2_300);
/// How often a stopping process checks whether any request is still in flight.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// A stopping process exits this long before it would be killed.
const KILL_MARGIN: Duration = Duration::from_millis(400);
/// How often the settings file is checked for changes.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Why a process could not start.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The async runtime could not be created.
    #[error("the async runtime could not be started")]
    Runtime,
    /// An address can't be listened on.
    #[error("{0}: can't listen on {1}")]
    Listen(&'static str, SocketAddr),
    /// Signal handlers could not be installed.
    #[error("signal handlers could not be installed")]
    Signal,
}

/// Logs panics, beside what the standard library prints: a panic ends one task, and with it what the task served.
fn log_panics() {
    let print = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        tracing::error!(%panic, "a task panicked");
        print(panic);
    }));
}

/// Runs a process until it is asked to stop and no request is in flight any more. `file` is the path from which its
/// settings were read.
///
/// The process is single-threaded: it has a small share of one processor, where a second thread would only add
/// wake-ups. `dropped_lines` returns how many log lines were dropped so far, which the metrics report.
///
/// # Errors
/// An [`Error`] if the process can't start.
pub fn run<D: Dialect, S: Source>(
    settings: Settings,
    file: PathBuf,
    dialect: D,
    source: S,
    dropped_lines: impl Fn() -> usize + Send + Sync + 'static,
) -> Result<(), Report<Error>> {
    log_panics();
    let runtime = runtime::Builder::new_current_thread().enable_all().build().change_context(Error::Runtime)?;
    let result = runtime.block_on(async {
        // Before anything else, so that the default action of a signal never applies.
        let signals = Signals::new()?;
        let process = Process::start(settings, dialect, source).await?;
        process.shared().metrics.count_dropped_lines(dropped_lines);
        serve(process, signals, file).await;
        Ok(())
    });
    runtime.shutdown_background();
    result
}

async fn bind(name: &'static str, address: SocketAddr) -> Result<TcpListener, Report<Error>> {
    TcpListener::bind(address).await.change_context(Error::Listen(name, address))
}

/// The signals that a process handles.
struct Signals {
    terminate: Signal,
    reload: Signal,
}

impl Signals {
    fn new() -> Result<Self, Report<Error>> {
        let install = |kind| signal(kind).change_context(Error::Signal);
        Ok(Self { terminate: install(SignalKind::terminate())?, reload: install(SignalKind::hangup())? })
    }
}

async fn serve(process: Process, mut signals: Signals, file: PathBuf) {
    let mut poll = tokio::time::interval(SETTINGS_POLL_INTERVAL);
    let mut current = std::fs::read_to_string(&file).unwrap_or_default();
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.reload.recv() => current = reload_settings(process.shared(), &file, current, true),
            _ = poll.tick() => current = reload_settings(process.shared(), &file, current, false),
        }
    }
    process.stop().await;
}

/// A router that runs within an async runtime; [`run`] runs one as a process.
#[derive(Debug)]
pub struct Process {
    shared: Arc<Shared>,
    accepting: JoinHandle<()>,
    tasks: JoinSet<()>,
}

impl Process {
    /// Listens on all addresses of the settings and starts to serve.
    ///
    /// # Errors
    /// [`Error::Listen`] with the first address that can't be listened on.
    pub async fn start<D: Dialect, S: Source>(
        settings: Settings,
        dialect: D,
        source: S,
    ) -> Result<Self, Report<Error>> {
        let callers = bind("callers", settings.callers).await?;
        let readiness = bind("ready", settings.ready).await?;
        let peers = bind("peers", settings.peers).await?;
        let socket = UdpSocket::bind(settings.peers).await.change_context(Error::Listen("peers", settings.peers))?;
        let socket = Arc::new(socket);
        let metrics = match settings.metrics {
            Some(address) => Some(bind("metrics", address).await?),
            None => None,
        };
        let source = Arc::new(source);
        let (inspections, inspections_due) = mpsc::unbounded_channel();
        let (records, records_due) = mpsc::unbounded_channel();
        let (quarantines, quarantines_due) = mpsc::unbounded_channel();
        let (stream_calls, stream_calls_due) = mpsc::unbounded_channel();
        let shared = build_shared(settings, socket.clone(), inspections, records, quarantines, stream_calls);
        let mut tasks = JoinSet::new();
        tasks.spawn(control::run(shared.clone(), socket));
        tasks.spawn(inspect::run(shared.clone(), dialect.clone(), inspections_due));
        tasks.spawn(stairvale_link::listen(peers, shared.inbox()));
        tasks.spawn(watch::read_store(shared.clone(), source.clone()));
        tasks.spawn(record::run(shared.clone(), source.clone(), records_due));
        tasks.spawn(quarantine::run(shared.clone(), source.clone(), quarantines_due));
        tasks.spawn(origins::run(shared.clone(), source.clone(), stream_calls_due));
        tasks.spawn(watch::register_routers(shared.clone(), source));
        for listener in [Some(readiness), metrics].into_iter().flatten() {
            tasks.spawn(ready::listen(shared.clone(), listener, dialect.ready_path()));
        }
        tasks.spawn(traffic::log(shared.clone()));
        let accepting = tokio::spawn(caller::listen(shared.clone(), dialect, callers));
        tracing::info!(router = %shared.settings.router, zone = %shared.settings.zone, "started");
        Ok(Self { shared, accepting, tasks })
    }

    /// State that all tasks of the process share.
    #[must_use]
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Shuts down gracefully: reports not ready to the load balancer, hands its homes over, stops accepting connections
    /// after a delay, and waits until all answers are written.
    pub async fn stop(self) {
        let Self { shared, accepting, tasks } = self;
        stop(&shared, &accepting).await;
        shared.exiting.store(true, Ordering::Relaxed);
        accepting.abort();
        drop(tasks);
    }
}

/// Reloads the settings if the file has changed; an invalid file changes nothing. `requested` tells whether a signal
/// asked for the reload.
fn reload_settings(shared: &Shared, file: &PathBuf, current: String, requested: bool) -> String {
    let Ok(text) = std::fs::read_to_string(file) else {
        tracing::warn!(file = %file.display(), "the settings file can't be read; keeping the current settings");
        return current;
    };
    if text == current {
        if requested {
            tracing::info!("the settings are unchanged");
        }
        return current;
    }
    match Settings::parse(&text) {
        Ok(settings) => {
            tracing::info!(seeds = ?settings.seeds, "the settings were reloaded");
            shared.upstreams.set_source(settings.upstream_source);
            shared.modify(|core, _| core.introduce(&settings.seeds));
        }
        Err(fault) => tracing::warn!(fault = %fault.current_context(), "invalid settings; keeping the current ones"),
    }
    text
}

fn build_shared(
    settings: Settings,
    socket: Arc<UdpSocket>,
    inspections: mpsc::UnboundedSender<inspect::Inspection>,
    records: mpsc::UnboundedSender<record::PendingWrite>,
    quarantines: mpsc::UnboundedSender<quarantine::Term>,
    stream_calls: mpsc::UnboundedSender<origins::Call>,
) -> Arc<Shared> {
    let seed = uuid::Uuid::new_v4().as_u64_pair().0;
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    // A later start under the same name gets a higher incarnation, as far as clocks agree; a process whose incarnation
    // is refuted raises its own.
    let incarnation = id::Incarnation(u64::try_from(now.as_millis()).unwrap_or(1));
    let me = Member {
        router: settings.router.clone(),
        zone: settings.zone.clone(),
        address: settings.peers,
        incarnation,
        status: Status::Alive,
        strength: settings.strength(),
    };
    let core = Core::new(me, settings.seeds.clone(), settings.bounds, seed).with_first_start(settings.first_start);
    Shared::new(settings, core, socket, inspections, records, quarantines, stream_calls)
}

/// Shuts down gracefully: reports not ready to the load balancer, hands its homes over, stops accepting connections
/// after a delay, and waits until all answers are written, and for the tunnels of peers.
async fn stop(shared: &Shared, accepting: &JoinHandle<()>) {
    tracing::info!("stopping");
    let stopping_since = shared.now();
    shared.stopping.store(true, Ordering::Relaxed);
    shared.with(Core::leave);
    let grace = Duration::from_secs_f64(shared.settings.bounds.grace_s);
    let limit = grace.saturating_sub(KILL_MARGIN);
    tokio::time::sleep(BALANCER_DRAIN_DELAY.min(limit)).await;
    shared.closing.send_replace(true);
    let mut idle_polls = 0;
    loop {
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
        let in_flight = shared.metrics.in_flight.load(Ordering::Relaxed);
        // An idle connection closes at once, and any other one when its last answer is written.
        let connections = shared.metrics.connections.load(Ordering::Relaxed);
        let is_idle = in_flight == 0 && connections == 0 && accepting.is_finished();
        idle_polls = if is_idle { idle_polls + 1 } else { 0 };
        // The last response may still be on its way to the client.
        if idle_polls >= 2 || shared.now().since(stopping_since) >= limit {
            tracing::info!(in_flight, connections, "stopped");
            return;
        }
    }
}
