//! Starts a router's sockets and threads, and stops them in order.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use error_stack::{Report, ResultExt};
use stairvale_clock::Clock;
use stairvale_control::{Input, node};
use stairvale_memory::{Budget, machine};
use stairvale_types::id;
use tokio::{
    net::{TcpListener, UdpSocket},
    runtime,
    signal::unix::{SignalKind, signal},
    sync::mpsc,
};

use crate::{
    Settings, Shared, audit, caller, control,
    faults::Cuts,
    metrics::Metrics,
    operators, peers,
    shared::{Command, Snapshot, Status},
};

/// The interval at which a stopping router checks whether all requests have ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Limits how long a stopping router waits for claims to be settled after the last request ended.
const CLAIMS_GRACE_PERIOD: Duration = Duration::from_secs(10);

/// The reason why a router could not start.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The Tokio runtime could not be created.
    #[error("the runtime could not be started")]
    Runtime,
    /// An address of the settings could not be bound.
    #[error("an address of the settings could not be bound")]
    Listen,
    /// The signal handlers could not be installed.
    #[error("the signal handlers could not be installed")]
    Signal,
}

/// Runs a router until it receives SIGTERM or SIGINT and all requests in flight have ended.
///
/// # Errors
/// An [`Error`] if it can't start.
pub fn run(settings: Settings) -> Result<(), Report<Error>> {
    let threads = settings.traffic_threads;
    let traffic =
        runtime::Builder::new_multi_thread().worker_threads(threads).thread_name("traffic").enable_all().build();
    let traffic = traffic.change_context(Error::Runtime)?;
    let control = runtime::Builder::new_current_thread().enable_all().build().change_context(Error::Runtime)?;
    let result = control.block_on(serve(settings, traffic.handle()));
    traffic.shutdown_background();
    result
}

async fn serve(settings: Settings, traffic: &runtime::Handle) -> Result<(), Report<Error>> {
    let mut terminate = signal(SignalKind::terminate()).change_context(Error::Signal)?;
    let mut interrupt = signal(SignalKind::interrupt()).change_context(Error::Signal)?;
    let callers = TcpListener::bind(settings.callers).await.change_context(Error::Listen)?;
    let operators = TcpListener::bind(settings.operators).await.change_context(Error::Listen)?;
    let peers = TcpListener::bind(settings.peers).await.change_context(Error::Listen)?;
    let socket = Arc::new(UdpSocket::bind(settings.peers).await.change_context(Error::Listen)?);
    let (commands, receiver) = mpsc::unbounded_channel();
    let node = node_settings(&settings);
    let shared = new_shared(settings, commands);
    tokio::spawn(control::run(shared.clone(), node, socket.clone(), receiver));
    tokio::spawn(peers::listen(shared.clone(), peers));
    tokio::spawn(peers::receive_packets(shared.clone(), socket));
    tokio::spawn(operators::listen(shared.clone(), operators));
    let accept_task = traffic.spawn(caller::listen(shared.clone(), move_to_runtime(callers, traffic)?));
    tracing::info!(router = %shared.settings.router, zone = %shared.settings.zone, "started");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    stop(&shared, || accept_task.abort()).await;
    Ok(())
}

/// Moves a listener to the traffic runtime: a listener is bound to the runtime in which it was created.
fn move_to_runtime(listener: TcpListener, traffic: &runtime::Handle) -> Result<TcpListener, Report<Error>> {
    let listener = listener.into_std().change_context(Error::Listen)?;
    let _context = traffic.enter();
    TcpListener::from_std(listener).change_context(Error::Listen)
}

fn node_settings(settings: &Settings) -> node::Settings {
    let seed = settings.seed.unwrap_or_else(|| uuid::Uuid::new_v4().as_u64_pair().0);
    // A later start under the same name has a higher incarnation, as far as the clocks agree. If peers refute it, the
    // router raises its incarnation itself.
    let incarnation = id::Incarnation(audit::now_ms());
    node::Settings::new(settings.router.clone(), settings.zone.clone(), settings.peers)
        .with_seeds(settings.seeds.clone())
        .with_incarnation(incarnation)
        .with_policy(settings.policy)
        .with_seed(seed)
}

fn new_shared(settings: Settings, commands: mpsc::UnboundedSender<Command>) -> Arc<Shared> {
    let clock = Clock::start();
    Arc::new(Shared {
        store: stairvale_store::Client::new(settings.platform.clone(), clock.clone()),
        audit: audit::Trail::new(settings.router.clone()),
        snapshot: Arc::new(Snapshot::default()).into(),
        commands,
        metrics: Metrics::default(),
        faults: Cuts::default(),
        memory: Budget::new(machine::budget_of(settings.memory_mb)),
        ready: false.into(),
        in_flight: 0.into(),
        clock,
        settings,
    })
}

/// Stops in order: reports not ready to the load balancer, hands over the homes, refuses new callers, and waits for the
/// requests in flight.
async fn stop(shared: &Shared, refuse_callers: impl FnOnce()) {
    tracing::info!("stopping");
    shared.notify_control(Input::Leave);
    tokio::time::sleep(shared.settings.balancer_grace).await;
    refuse_callers();
    let mut drained_since = None;
    loop {
        let in_flight = shared.in_flight.load(Ordering::Relaxed);
        let status = shared.call_control(Command::Status).await;
        let idle = status.as_ref().is_none_or(|status: &Status| status.idle);
        if in_flight > 0 {
            drained_since = None;
        } else if idle || drained_since.get_or_insert_with(Instant::now).elapsed() >= CLAIMS_GRACE_PERIOD {
            break;
        }
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
    // The traffic threads may still be writing the last pieces of answers.
    tokio::time::sleep(STOP_POLL_INTERVAL).await;
    tracing::info!("stopped");
}
