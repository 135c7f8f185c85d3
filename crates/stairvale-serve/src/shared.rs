//! The state that the tasks of a process share, and the execution of the core's effects.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, Weak,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use bytes::Bytes;
use h2::{RecvStream, server::SendResponse};
use http::Request;
use stairvale_clock::Clock;
use stairvale_dispatch::suspects::Cause;
use stairvale_link::{Links, Sink};
use stairvale_memory::Budget;
use stairvale_table::Table;
use stairvale_types::{Moment, id};
use stairvale_wire::codec;
use tokio::{
    net::UdpSocket,
    sync::{Notify, Semaphore, mpsc, watch},
};

use crate::{
    Settings,
    core::{Core, Effect, Reply},
    dialect::Notice,
    exchange::millis,
    frame::Frame,
    inspect::Inspection,
    metrics::Metrics,
    origins::Call,
    permit::Permit,
    quarantine::Term,
    record::PendingWrite,
    rollouts,
    traffic::Kind,
    tunnel,
    upstream::Connections,
};

/// Time after its start by which a process that can reach the store or a peer has a configuration. On small VMs that
/// all start at once after a loss of power it takes 350 to 600 ms (docs/INCIDENTS.md).
const CONFIGURATION_WAIT: Duration = Duration::from_millis(1_000);

/// Rejected requests of which the rest is read at the same time.
const MAX_DISCARDING: usize = 64;

/// Passes frames and events of the links to the core.
#[derive(Clone, Debug)]
pub struct Inbox(Weak<Shared>);

impl Sink<Frame> for Inbox {
    fn frame(&self, from: &id::Router, frame: Frame) {
        if let Some(shared) = self.0.upgrade() {
            shared.with(|core, now| core.frame(now, from, frame));
        }
    }

    fn opened(&self, to: &id::Router, minor: u16) {
        if let Some(shared) = self.0.upgrade() {
            shared.with(|core, now| core.opened(now, to, minor));
        }
    }

    fn tunnel(&self, request: Request<RecvStream>, respond: SendResponse<Bytes>) {
        if let Some(shared) = self.0.upgrade() {
            tokio::spawn(tunnel::serve(shared, request, respond));
        }
    }

    fn broken(&self, to: &id::Router) {
        if let Some(shared) = self.0.upgrade() {
            tracing::info!(peer = %to, "the stream to a peer broke");
            shared.fail_pending_asks(to);
            shared.with(|core, now| {
                core.broken(now, to);
                Vec::new()
            });
        }
    }
}

/// A request that waits for a home's replies.
struct Waiter {
    replies: mpsc::UnboundedSender<Reply>,
    /// The peer that was asked, unless this router decides itself.
    home: Option<id::Router>,
}

impl Waiter {
    fn send(&self, reply: Reply) {
        // The request may have stopped waiting; then the reply isn't needed.
        let _ = self.replies.send(reply);
    }
}

/// The state that all tasks of a process share.
pub struct Shared {
    /// The settings that the process was started with.
    pub settings: Settings,
    /// The configuration in force.
    pub table: ArcSwap<Table>,
    /// What the process holds for its clients.
    pub memory: Budget,
    /// The counters of this process.
    pub metrics: Metrics,
    /// The clock of this process.
    pub clock: Clock,
    /// The connections to upstreams.
    pub upstreams: Connections,
    /// Whether the process is shutting down.
    pub stopping: AtomicBool,
    /// Whether the process no longer serves, and what it still does is dropped.
    pub exiting: AtomicBool,
    /// Rejected requests of which the rest is read.
    pub discarding: Arc<Semaphore>,
    /// Notifies callers' connections to close as soon as they are idle.
    pub closing: watch::Sender<bool>,
    /// Whether a configuration is in force.
    configured: watch::Sender<bool>,
    inspections: mpsc::UnboundedSender<Inspection>,
    records: mpsc::UnboundedSender<PendingWrite>,
    quarantines: mpsc::UnboundedSender<Term>,
    stream_calls: mpsc::UnboundedSender<Call>,
    core: Mutex<Core>,
    links: Links<Frame, Inbox>,
    socket: Arc<UdpSocket>,
    waiting: Mutex<HashMap<id::Attempt, Waiter>>,
    /// Notifies running requests that their upstream was replaced by another incarnation.
    running: Mutex<HashMap<id::Attempt, Arc<Notify>>>,
}

impl std::fmt::Debug for Shared {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Shared").field("router", &self.settings.router).finish_non_exhaustive()
    }
}

impl Shared {
    /// Creates the shared state of a process.
    #[must_use]
    pub fn new(
        settings: Settings,
        core: Core,
        socket: Arc<UdpSocket>,
        inspections: mpsc::UnboundedSender<Inspection>,
        records: mpsc::UnboundedSender<PendingWrite>,
        quarantines: mpsc::UnboundedSender<Term>,
        stream_calls: mpsc::UnboundedSender<Call>,
    ) -> Arc<Self> {
        let clock = Clock::start();
        let upstreams = Connections::new(clock.clone());
        upstreams.set_source(settings.upstream_source);
        Arc::new_cyclic(|weak| Self {
            links: Links::new(settings.router.clone(), Inbox(weak.clone())),
            memory: Budget::new(settings.memory_budget()),
            metrics: Metrics::new(settings.zone.clone()),
            settings,
            table: ArcSwap::default(),
            upstreams,
            clock,
            stopping: AtomicBool::new(false),
            exiting: AtomicBool::new(false),
            discarding: Arc::new(Semaphore::new(MAX_DISCARDING)),
            closing: watch::Sender::new(false),
            configured: watch::Sender::new(false),
            inspections,
            records,
            quarantines,
            stream_calls,
            core: Mutex::new(core),
            socket,
            waiting: Mutex::default(),
            running: Mutex::default(),
        })
    }

    /// Creates the sink for streams from peers.
    #[must_use]
    pub fn inbox(self: &Arc<Self>) -> Inbox {
        Inbox(Arc::downgrade(self))
    }

    /// The current time on this process's clock.
    #[must_use]
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Whether the process is shutting down.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Waits until a configuration is in force, for at most `limit`, and no longer than a process usually needs to
    /// receive one after its start. A request that arrives in that time is served a moment later instead of being
    /// refused.
    pub async fn until_configured(&self, limit: Duration) {
        let left = CONFIGURATION_WAIT.saturating_sub(self.now().since(Moment::ZERO)).min(limit);
        let mut configured = self.configured.subscribe();
        if !left.is_zero() && !*configured.borrow() {
            // With or without a configuration, the request is then handled by the current state.
            let _ = tokio::time::timeout(left, configured.wait_for(|configured| *configured)).await;
        }
    }

    /// Reads from the core.
    pub fn query<T>(&self, read: impl FnOnce(&Core, Moment) -> T) -> T {
        let now = self.now();
        read(&self.core(), now)
    }

    /// Changes the core and carries out the resulting effects.
    pub fn with(&self, decide: impl FnOnce(&mut Core, Moment) -> Vec<Effect>) {
        let now = self.now();
        let effects = decide(&mut self.core(), now);
        self.perform(effects);
    }

    /// Changes the core where no effects result.
    pub fn modify<T>(&self, change: impl FnOnce(&mut Core, Moment) -> T) -> T {
        let now = self.now();
        change(&mut self.core(), now)
    }

    /// Opens a channel for a home's replies to a request.
    pub fn open_replies(&self, attempt: id::Attempt) -> mpsc::UnboundedReceiver<Reply> {
        let (replies, receiver) = mpsc::unbounded_channel();
        self.waiting().insert(attempt, Waiter { replies, home: None });
        receiver
    }

    /// Closes the channel for a home's replies to a request.
    pub fn close_replies(&self, attempt: id::Attempt) {
        self.waiting().remove(&attempt);
    }

    /// Registers a running request; the result is notified when its upstream was replaced by another incarnation.
    pub fn register_running(&self, attempt: id::Attempt) -> Arc<Notify> {
        let replaced: Arc<Notify> = Arc::default();
        self.running().insert(attempt, replaced.clone());
        replaced
    }

    /// Removes a request that has ended from the running ones.
    pub fn unregister_running(&self, attempt: id::Attempt) {
        self.running().remove(&attempt);
    }

    /// Carries out effects of the core.
    pub fn perform(&self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Frame { to, address, frame } => self.send(&to, address, &frame),
                Effect::Frames { to, frame } => {
                    let bytes = Links::<Frame, Inbox>::encode(&frame);
                    for (to, address) in to {
                        self.send_written(&to, address, &frame, bytes.clone());
                    }
                }
                Effect::Connect { to, address } => {
                    if let Some(minor) = self.links.open(&to, address) {
                        self.with(|core, now| core.opened(now, &to, minor));
                    }
                }
                Effect::RetriesRestored { from, covered } => {
                    self.metrics.count("retries-restored");
                    tracing::info!(peer = %from, covered_ms = millis(covered), "a peer returned this router's account of retries");
                }
                Effect::Datagram { to, packet } => {
                    if let Ok(bytes) = codec::pack(&packet) {
                        self.count_to(Kind::Datagram, to, bytes.len());
                        // Datagrams may be lost; the next probe carries the same information.
                        let _ = self.socket.try_send_to(&bytes, to);
                    }
                }
                Effect::Reply { attempt, reply } => {
                    if let Some(waiter) = self.waiting().get(&attempt) {
                        waiter.send(reply);
                    }
                }
                Effect::Inspect { service, upstream, address } => {
                    // The receiver is dropped only when the process ends.
                    let _ = self.inspections.send(Inspection { service, upstream, address });
                }
                Effect::UpstreamReplaced(upstream) => {
                    self.metrics.count("upstream-reborn");
                    tracing::info!(%upstream, "an upstream came back under its name; nothing is believed of its earlier life");
                }
                Effect::EndRequest(attempt) => {
                    if let Some(replaced) = self.running().get(&attempt) {
                        replaced.notify_one();
                    }
                }
                Effect::Configured(table) => {
                    tracing::info!(version = table.version(), "a configuration is in force");
                    for region in
                        table.regions().filter(|region| self.settings.zones_of(&[(*region).clone()]).is_empty())
                    {
                        tracing::warn!(%region, "no zone lies in this region; requests restricted to it are refused");
                    }
                    self.table.store(table);
                    self.configured.send_replace(true);
                }
                Effect::Evacuated { zone, evacuated, upstreams } => {
                    let what = if evacuated { "a zone is evacuated" } else { "a zone is used again" };
                    tracing::info!(%zone, upstreams, "{what}");
                }
                Effect::Write(write) => self.record(PendingWrite { write, peer: None }),
                Effect::WriteFor { peer, number, write } => {
                    self.record(PendingWrite { write, peer: Some((peer, number)) });
                }
                Effect::ProxyReport(report) => rollouts::log_proxy(&report),
                Effect::WriteWithoutProxy => self.metrics.count("write-without-proxy"),
                Effect::EpochSupport { peer, supported } => {
                    tracing::debug!(%peer, supported, "a peer's support for epochs of the store is known");
                }
                Effect::Stage { service, policy, record } => {
                    rollouts::log(&service, &policy, record.as_deref());
                }
                Effect::ReportEvent(event) => rollouts::log_event(&self.table.load(), &event),
                Effect::Surplus { service, surplus } => {
                    let customer = surplus.customer.as_ref().map_or("", id::Customer::as_str);
                    let (running, share) = (surplus.running, surplus.share);
                    if surplus.is_above {
                        tracing::info!(%service, customer, running, share, "a customer wants more than its share");
                    } else {
                        tracing::info!(%service, customer, running, "a customer wants no more than its share");
                    }
                }
                Effect::Quarantined { service, cause, length } => {
                    log_quarantine(&service, &cause, length);
                    self.metrics.count(if cause.part.is_some() { "quarantined-part" } else { "quarantined" });
                    let (fingerprint, since) = (cause.fingerprint, self.now());
                    // The receiver is dropped only when the process ends.
                    let _ = self.quarantines.send(Term { fingerprint, length, since });
                }
                Effect::QuarantineLifted { service, fingerprint } => {
                    self.metrics.count("quarantine-lifted");
                    tracing::warn!(%service, %fingerprint, "a request was served in spite of a quarantine, which is lifted");
                    let _ = self.quarantines.send(Term { fingerprint, length: Duration::ZERO, since: self.now() });
                }
                Effect::Leaves(upstream) => {
                    self.metrics.count("upstream-leaves");
                    tracing::info!(%upstream, "an upstream leaves, by its answer");
                }
                Effect::Rests { upstream, length } => {
                    self.metrics.count("upstream-rests");
                    tracing::info!(%upstream, ms = millis(length), "an upstream wants rest");
                }
                Effect::Unreadable(upstream) => {
                    self.metrics.count("upstream-rest-unreadable");
                    tracing::info!(%upstream, "an upstream asked for a rest whose length can't be parsed");
                }
                Effect::StreamCall(call) => {
                    // The receiver is dropped only when the process ends.
                    let _ = self.stream_calls.send(call);
                }
                Effect::Lost(router) => {
                    tracing::info!(peer = %router, "a router is gone");
                    self.links.close(&router);
                }
            }
        }
    }

    fn record(&self, due: PendingWrite) {
        // The receiver is dropped only when the process ends.
        let _ = self.records.send(due);
    }

    /// Sends a frame to a peer. If it is an ask and the home can't be reached, the request is notified at once
    /// instead of waiting for an answer.
    fn send(&self, to: &id::Router, address: SocketAddr, frame: &Frame) {
        let sent = self.send_written(to, address, frame, Links::<Frame, Inbox>::encode(frame));
        if let Frame::Ask { ask, .. } = frame
            && let Some(waiter) = self.waiting().get_mut(&ask.attempt)
        {
            waiter.home = Some(to.clone());
            if !sent {
                waiter.send(Reply::Decided(None));
            }
        }
    }

    /// Sends a frame that is already encoded; `false` if the peer can't be reached now or the frame was too large to
    /// encode.
    fn send_written(&self, to: &id::Router, address: SocketAddr, frame: &Frame, bytes: Option<Bytes>) -> bool {
        let size = bytes.as_ref().map_or(0, Bytes::len);
        let sent = bytes.is_some_and(|bytes| self.links.send_encoded(to, address, bytes));
        if sent {
            self.count_to(Kind::Frame(frame.name()), address, size);
        } else {
            self.metrics.count("frame-dropped");
        }
        sent
    }

    /// Handles the notice in an upstream's answer.
    pub fn handle_notice(&self, service: &id::Service, upstream: &id::Upstream, notice: Notice) {
        if notice != Notice::default() {
            self.with(|core, now| core.handle_notice(now, service, upstream, notice));
        }
    }

    /// Counts bytes that passed between this router and an upstream.
    pub fn count_traffic(&self, kind: Kind, permit: &Permit, bytes: usize) {
        self.metrics.traffic.count(kind, Some(&permit.upstream.zone), bytes);
    }

    /// Counts bytes that are sent to a peer.
    fn count_to(&self, kind: Kind, to: SocketAddr, bytes: usize) {
        self.metrics.traffic.count_to(kind, to, bytes, || self.query(|core, _| core.zone_at(to)));
    }

    /// Fails the asks that a peer hasn't answered after the stream to it broke, so that they are sent to other homes.
    fn fail_pending_asks(&self, home: &id::Router) {
        for waiter in self.waiting().values().filter(|waiter| waiter.home.as_ref() == Some(home)) {
            waiter.send(Reply::Decided(None));
        }
    }

    fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn running(&self) -> MutexGuard<'_, HashMap<id::Attempt, Arc<Notify>>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn waiting(&self) -> MutexGuard<'_, HashMap<id::Attempt, Waiter>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn log_quarantine(service: &id::Service, cause: &Cause, length: Duration) {
    let Cause { fingerprint, part, customer, crashes } = cause;
    let for_s = length.as_secs();
    match part {
        None => {
            tracing::warn!(%service, %fingerprint, crashes, for_s, "upstreams end under a request, which goes nowhere now");
        }
        Some(part) => {
            let (part, customer) = (format!("{part:x}"), customer.as_ref().map(id::Customer::as_str));
            tracing::warn!(
                %service, %fingerprint, part, customer, crashes, for_s,
                "upstreams end under a part of prompts; requests with it go nowhere now"
            );
        }
    }
}
