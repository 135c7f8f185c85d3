//! A process from its start to its planned end.

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
    Dialect, Settings, Shared, Source, caller, control, core::Core, inspect, quarantine, ready, record, traffic, watch,
};

/// The balancer asks each second and takes a router out after two misses: by then it sends nobody new.
const BALANCER_NOTICE: Duration = Duration::from_millis(2_300);
/// How often a stopping process looks whether all is done.
const STOP_POLL: Duration = Duration::from_millis(50);
/// A stopping process ends this long before it would be killed.
const MARGIN: Duration = Duration::from_millis(400);
/// How often the settings file is looked at.
const LOOK: Duration = Duration::from_secs(5);

/// Why a process couldn't run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// No runtime could be made.
    #[error("the runtime could not be started")]
    Runtime,
    /// An address can't be listened at.
    #[error("{0}: {1} can't be listened at")]
    Listen(&'static str, SocketAddr),
    /// Signals can't be received.
    #[error("signals can't be received")]
    Signal,
}

/// Runs a process until it is told to stop and all in flight has ended. `file` is where its settings came from.
///
/// One thread does all: it has a small share of one processor, where a second thread would only cost wake-ups.
/// `dropped_lines` tells how many log lines were dropped so far; the metrics tell it on.
///
/// # Errors
/// An [`Error`] if it can't start.
pub fn run<D: Dialect, S: Source>(
    settings: Settings,
    file: PathBuf,
    dialect: D,
    source: S,
    dropped_lines: impl Fn() -> usize + Send + Sync + 'static,
) -> Result<(), Report<Error>> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build().change_context(Error::Runtime)?;
    let result = runtime.block_on(async {
        // Before anything else, so that no signal finds the process without an answer to it.
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

/// The signals that a process answers.
struct Signals {
    terminate: Signal,
    reload: Signal,
}

impl Signals {
    fn new() -> Result<Self, Report<Error>> {
        let take = |kind| signal(kind).change_context(Error::Signal);
        Ok(Self { terminate: take(SignalKind::terminate())?, reload: take(SignalKind::hangup())? })
    }
}

async fn serve(process: Process, mut signals: Signals, file: PathBuf) {
    let mut looks = tokio::time::interval(LOOK);
    let mut known = std::fs::read_to_string(&file).unwrap_or_default();
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.reload.recv() => known = look(process.shared(), &file, known, true),
            _ = looks.tick() => known = look(process.shared(), &file, known, false),
        }
    }
    process.stop().await;
}

/// A router that runs within a runtime; [`run`] makes a process of it.
#[derive(Debug)]
pub struct Process {
    shared: Arc<Shared>,
    accepting: JoinHandle<()>,
    tasks: JoinSet<()>,
}

impl Process {
    /// Listens at all addresses of the settings and begins to serve.
    ///
    /// # Errors
    /// [`Error::Listen`] with the first address that can't be listened at.
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
        let (inspections, due) = mpsc::unbounded_channel();
        let (records, records_due) = mpsc::unbounded_channel();
        let (quarantines, quarantines_due) = mpsc::unbounded_channel();
        let shared = share(settings, socket.clone(), inspections, records, quarantines);
        let mut tasks = JoinSet::new();
        tasks.spawn(control::run(shared.clone(), socket));
        tasks.spawn(inspect::run(shared.clone(), dialect.clone(), due));
        tasks.spawn(stairvale_link::listen(peers, shared.inbox()));
        tasks.spawn(watch::read(shared.clone(), source.clone()));
        tasks.spawn(record::run(shared.clone(), source.clone(), records_due));
        tasks.spawn(quarantine::run(shared.clone(), source.clone(), quarantines_due));
        tasks.spawn(watch::name(shared.clone(), source));
        for listener in [Some(readiness), metrics].into_iter().flatten() {
            tasks.spawn(ready::listen(shared.clone(), listener, dialect.ready_path()));
        }
        tasks.spawn(traffic::log(shared.clone()));
        let accepting = tokio::spawn(caller::listen(shared.clone(), dialect, callers));
        tracing::info!(router = %shared.settings.router, zone = %shared.settings.zone, "started");
        Ok(Self { shared, accepting, tasks })
    }

    /// What its tasks share.
    #[must_use]
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// A planned stop: not ready to the balancer, homes handed over, no new callers after a while, all in flight ends.
    pub async fn stop(self) {
        let Self { shared, accepting, tasks } = self;
        stop(&shared, || accepting.abort()).await;
        drop(tasks);
    }
}

/// Takes the settings anew, if the file changed. A bad file changes nothing.
fn look(shared: &Shared, file: &PathBuf, known: String, told: bool) -> String {
    let Ok(text) = std::fs::read_to_string(file) else {
        tracing::warn!(file = %file.display(), "the settings can't be read; the old ones stay");
        return known;
    };
    if text == known {
        if told {
            tracing::info!("the settings are as they were");
        }
        return known;
    }
    match Settings::parse(&text) {
        Ok(settings) => {
            tracing::info!(seeds = ?settings.seeds, "new settings");
            shared.change(|core, _| core.introduce(&settings.seeds));
        }
        Err(fault) => tracing::warn!(fault = %fault.current_context(), "the new settings are wrong; the old ones stay"),
    }
    text
}

fn share(
    settings: Settings,
    socket: Arc<UdpSocket>,
    inspections: mpsc::UnboundedSender<inspect::Inspection>,
    records: mpsc::UnboundedSender<record::Due>,
    quarantines: mpsc::UnboundedSender<quarantine::Term>,
) -> Arc<Shared> {
    let seed = uuid::Uuid::new_v4().as_u64_pair().0;
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    // A later start of the same name has a later life, as far as clocks go; one that is refuted raises its own.
    let incarnation = id::Incarnation(u64::try_from(now.as_millis()).unwrap_or(1));
    let me = Member {
        router: settings.router.clone(),
        zone: settings.zone.clone(),
        address: settings.peers,
        incarnation,
        status: Status::Alive,
        strength: settings.strength(),
    };
    let core = Core::new(me, settings.seeds.clone(), settings.bounds, seed);
    Shared::new(settings, core, socket, inspections, records, quarantines)
}

/// A planned stop: not ready to the balancer, homes handed over, no new callers after a while, all in flight finishes.
async fn stop(shared: &Shared, refuse_callers: impl FnOnce()) {
    tracing::info!("stopping");
    let began = shared.now();
    shared.stopping.store(true, Ordering::Relaxed);
    shared.with(Core::leave);
    let grace = Duration::from_secs_f64(shared.settings.bounds.grace_s);
    let last = grace.saturating_sub(MARGIN);
    tokio::time::sleep(BALANCER_NOTICE.min(last)).await;
    refuse_callers();
    shared.closing.send_replace(true);
    let mut idle = 0;
    loop {
        tokio::time::sleep(STOP_POLL).await;
        let in_flight = shared.metrics.in_flight.load(Ordering::Relaxed);
        idle = if in_flight == 0 { idle + 1 } else { 0 };
        // The last answer may still be on its way out.
        if idle >= 2 || shared.now().since(began) >= last {
            tracing::info!(in_flight, "stopped");
            return;
        }
    }
}
