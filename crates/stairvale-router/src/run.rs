//! A router from its start to its planned end.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use error_stack::{Report, ResultExt};
use stairvale_clock::Clock;
use stairvale_control::{Input, node};
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

/// How often a stopping router looks whether all is done.
const STOP_POLL: Duration = Duration::from_millis(50);
/// A stopping router waits this long for claims to be settled after the last request ended.
const CLAIMS_GRACE: Duration = Duration::from_secs(10);

/// Why a router couldn't run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// No runtime could be made.
    #[error("the runtime could not be started")]
    Runtime,
    /// An address can't be listened at.
    #[error("an address of the settings can't be listened at")]
    Listen,
    /// Signals can't be received.
    #[error("signals can't be received")]
    Signal,
}

/// Runs a router until it is told to stop and all in flight has ended.
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
    let shared = share(settings, commands);
    tokio::spawn(control::run(shared.clone(), node, socket.clone(), receiver));
    tokio::spawn(peers::listen(shared.clone(), peers));
    tokio::spawn(peers::receive_packets(shared.clone(), socket));
    tokio::spawn(operators::listen(shared.clone(), operators));
    let accepting = traffic.spawn(caller::listen(shared.clone(), into_traffic(callers, traffic)?));
    tracing::info!(router = %shared.settings.router, zone = %shared.settings.zone, "started");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    stop(&shared, || accepting.abort()).await;
    Ok(())
}

/// A listener belongs to the runtime that made it, so this one moves.
fn into_traffic(listener: TcpListener, traffic: &runtime::Handle) -> Result<TcpListener, Report<Error>> {
    let listener = listener.into_std().change_context(Error::Listen)?;
    let _inside = traffic.enter();
    TcpListener::from_std(listener).change_context(Error::Listen)
}

fn node_settings(settings: &Settings) -> node::Settings {
    let seed = settings.seed.unwrap_or_else(|| uuid::Uuid::new_v4().as_u64_pair().0);
    // A later start of the same name has a later life, as far as clocks go; a refuted one raises its own.
    let incarnation = id::Incarnation(audit::now_ms());
    node::Settings::new(settings.router.clone(), settings.zone.clone(), settings.peers)
        .with_seeds(settings.seeds.clone())
        .with_incarnation(incarnation)
        .with_policy(settings.policy)
        .with_seed(seed)
}

fn share(settings: Settings, commands: mpsc::UnboundedSender<Command>) -> Arc<Shared> {
    let clock = Clock::start();
    Arc::new(Shared {
        store: stairvale_store::Client::new(settings.platform.clone(), clock.clone()),
        audit: audit::Trail::new(settings.router.clone()),
        snapshot: Arc::new(Snapshot::default()).into(),
        commands,
        metrics: Metrics::default(),
        faults: Cuts::default(),
        ready: false.into(),
        in_flight: 0.into(),
        clock,
        settings,
    })
}

/// A planned stop: not ready to the balancer, homes handed over, no new callers, all in flight finishes.
async fn stop(shared: &Shared, refuse_callers: impl FnOnce()) {
    tracing::info!("stopping");
    shared.tell(Input::Leave);
    tokio::time::sleep(shared.settings.balancer_grace).await;
    refuse_callers();
    let mut quiet_since = None;
    loop {
        let in_flight = shared.in_flight.load(Ordering::Relaxed);
        let status = shared.ask(Command::Status).await;
        let idle = status.as_ref().is_none_or(|status: &Status| status.idle);
        if in_flight > 0 {
            quiet_since = None;
        } else if idle || quiet_since.get_or_insert_with(Instant::now).elapsed() >= CLAIMS_GRACE {
            break;
        }
        tokio::time::sleep(STOP_POLL).await;
    }
    // The last pieces of answers may still be on their way out of the traffic threads.
    tokio::time::sleep(STOP_POLL).await;
    tracing::info!("stopped");
}
