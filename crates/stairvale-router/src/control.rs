//! The control thread's loop: passes commands and ticks to the control node, carries out the node's outputs, and
//! publishes snapshots.

use std::{
    collections::HashMap,
    sync::{Arc, atomic::Ordering},
};

use stairvale_config::Generation;
use stairvale_control::{
    Input, Node, Output,
    node::{Settings, TICK},
};
use stairvale_permit::request::Directory;
use stairvale_types::id;
use stairvale_wire::ClaimVerdict;
use tokio::{
    net::UdpSocket,
    sync::{mpsc, oneshot},
    time::MissedTickBehavior,
};

use crate::{
    Shared, audit,
    peers::{Links, send_packet},
    probes::Prober,
    shared::{Command, Decision, Endpoint, Peer, Placement, Snapshot, Status, Upstream},
    store::StoreClient,
};

/// The state of the control loop.
struct ControlLoop {
    shared: Arc<Shared>,
    node: Node,
    links: Links,
    socket: Arc<UdpSocket>,
    prober: Prober,
    store_client: StoreClient,
    pending_permits: HashMap<id::Attempt, oneshot::Sender<Decision>>,
    pending_claims: HashMap<id::Attempt, oneshot::Sender<ClaimVerdict>>,
    pending_settles: HashMap<id::Attempt, oneshot::Sender<()>>,
}

/// Runs the control loop until the last sender of commands is dropped.
pub async fn run(
    shared: Arc<Shared>,
    settings: Settings,
    socket: Arc<UdpSocket>,
    mut commands: mpsc::UnboundedReceiver<Command>,
) {
    let mut control = ControlLoop {
        node: Node::new(settings),
        links: Links::new(shared.clone()),
        socket,
        prober: Prober::new(shared.clone()),
        store_client: StoreClient::new(shared.clone()),
        pending_permits: HashMap::new(),
        pending_claims: HashMap::new(),
        pending_settles: HashMap::new(),
        shared,
    };
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            _ = ticks.tick() => {
                if let Some(span) = control.shared.clock.detect_suspension() {
                    let ms = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
                    tracing::warn!(ms, "the VM was suspended; what is known is as much older, and so is what is under way");
                }
                control.handle(Input::Tick);
            }
            command = commands.recv() => match command {
                Some(command) => control.command(command),
                None => return,
            },
        }
    }
}

impl ControlLoop {
    fn command(&mut self, command: Command) {
        match command {
            Command::Input(input) => self.handle(input),
            Command::Request(request, reply) => {
                self.pending_permits.insert(request.attempt, reply);
                self.handle(Input::Request(request));
            }
            Command::Claim(key, attempt, reply) => {
                self.pending_claims.insert(attempt, reply);
                self.handle(Input::Claim { key, attempt });
            }
            Command::Settle(key, attempt, stored, reply) => {
                self.pending_settles.retain(|_, reply| !reply.is_closed());
                self.pending_settles.insert(attempt, reply);
                self.handle(Input::Settle { key, attempt, stored: Some(stored) });
            }
            // Sending fails if the requester has gone; the reply is then not needed.
            Command::Status(reply) => drop(reply.send(self.status())),
            Command::Config(reply) => drop(reply.send(self.config())),
            Command::Explain(number, reply) => drop(reply.send(self.node.explain(&number))),
        }
    }

    fn handle(&mut self, input: Input) {
        let now_ms = self.shared.store.now_ms().unwrap_or_else(audit::now_ms);
        if let Input::AttemptEnded { attempt, .. } = &input {
            self.pending_permits.remove(attempt);
        }
        let outputs = self.node.handle(self.shared.now(), now_ms, input);
        for output in outputs {
            self.output(output);
        }
        self.shared.ready.store(self.node.is_ready(), Ordering::Relaxed);
    }

    fn output(&mut self, output: Output) {
        match output {
            Output::Frame { to, address, frame } => {
                if !self.is_peer_cut(&to) {
                    self.links.send(&to, address, frame);
                }
            }
            Output::Datagram { to, packet } => {
                let peer = self.node.fleet().swim.peers().find(|member| member.address == to);
                if !peer.is_some_and(|member| self.shared.faults.is_zone_cut(&member.zone)) {
                    send_packet(&self.shared, &self.socket, to, &packet);
                }
            }
            Output::Granted(grant) => {
                let attempt = grant.attempt;
                let reply = self.pending_permits.remove(&attempt);
                let placement = Placement { endpoint: self.endpoint(&grant.upstream), grant };
                let abandoned = reply.is_none_or(|reply| reply.send(Ok(placement)).is_err());
                if abandoned {
                    self.shared.notify_control(Input::AttemptEnded { attempt, success: None, unreachable: false });
                }
            }
            Output::Refused { attempt, refusal } => {
                if let Some(reply) = self.pending_permits.remove(&attempt) {
                    let _ = reply.send(Err(refusal));
                }
            }
            Output::Claimed { attempt, verdict } => {
                if let Some(reply) = self.pending_claims.remove(&attempt) {
                    let _ = reply.send(verdict);
                }
            }
            Output::OutcomeRecorded { attempt } => {
                if let Some(reply) = self.pending_settles.remove(&attempt) {
                    // Sending fails if the request stopped waiting; its answer is sent to the caller regardless.
                    let _ = reply.send(());
                }
            }
            Output::Share { customer, fraction } => {
                let snapshot = self.shared.snapshot.load();
                let account = snapshot.customers.values().find(|account| account.customer.name == customer);
                if let Some(limit) = account.and_then(|account| account.limit.as_ref()) {
                    limit.set_share(self.shared.now(), fraction);
                }
            }
            Output::Probe { upstream, .. } => {
                if let Some(endpoint) = self.endpoint(&upstream) {
                    tokio::spawn(self.prober.clone().probe(upstream, endpoint));
                }
            }
            Output::Order(order) => {
                if let Some(endpoint) = self.endpoint(&order.upstream) {
                    tokio::spawn(self.prober.clone().order(order, endpoint));
                }
            }
            Output::Store(call) => drop(tokio::spawn(self.store_client.clone().call(call))),
            Output::FetchVms => drop(tokio::spawn(self.store_client.clone().vms())),
            Output::InForce { generation, .. } => {
                tracing::info!(%generation, "a configuration is in force");
                self.publish();
            }
            Output::FleetChanged => self.publish(),
            Output::Audit(event) => self.shared.audit.record(event),
        }
    }

    fn is_peer_cut(&self, router: &id::Router) -> bool {
        let peer = self.node.fleet().swim.peer(router);
        peer.is_some_and(|member| self.shared.faults.is_zone_cut(&member.zone))
    }

    fn endpoint(&self, upstream: &id::Upstream) -> Option<Endpoint> {
        let upstream = self.node.fleet().upstream(upstream)?;
        Some(Endpoint::of(upstream))
    }

    fn publish(&self) {
        let fleet = self.node.fleet();
        let generation = self.node.manifest().map_or(Generation(0), stairvale_config::Manifest::generation);
        let before = self.shared.snapshot.load();
        let snapshot = Snapshot::new(&before, generation, fleet.document.clone(), fleet);
        self.shared.snapshot.store(Arc::new(snapshot));
    }

    fn config(&self) -> Option<(stairvale_config::Manifest, Vec<String>)> {
        let manifest = self.node.manifest()?.clone();
        let chunks = self.node.chunks();
        Some((manifest, chunks))
    }

    fn status(&self) -> Status {
        let fleet = self.node.fleet();
        let generation = self.node.manifest().map_or(0, |manifest| manifest.generation().0);
        let me = fleet.swim.me();
        let peer = |member: &stairvale_wire::Member, generation| Peer {
            router: member.router.clone(),
            zone: member.zone.clone(),
            status: format!("{:?}", member.status).to_lowercase(),
            generation,
        };
        let peers = fleet.swim.peers().map(|member| peer(member, self.node.generation_of(&member.router)));
        let mut routers: Vec<_> = std::iter::once(peer(me, generation)).chain(peers).collect();
        routers.sort_by(|a, b| a.router.cmp(&b.router));
        let upstream = |u: &stairvale_membership::upstreams::Upstream| Upstream {
            upstream: u.name.clone(),
            service: u.service.clone(),
            zone: u.zone.clone(),
            usable: fleet.usable(&u.name),
            home: fleet.home(&u.name, 0),
            outstanding: self.node.home().outstanding(&u.name),
        };
        Status {
            router: me.router.clone(),
            zone: me.zone.clone(),
            ready: self.node.is_ready(),
            idle: self.node.is_idle(),
            stats: self.node.stats(),
            routers,
            upstreams: fleet.upstreams.iter().map(upstream).collect(),
        }
    }
}
