//! State that the control thread publishes to the traffic threads, and the commands that they send to it.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
};

use arc_swap::ArcSwap;
use stairvale_clock::Clock;
use stairvale_config::{Customer, Document, Generation, Manifest, Service};
use stairvale_control::{Fleet, Input, explain, io::Request, stats::Stats};
use stairvale_membership::upstreams;
use stairvale_memory::Budget;
use stairvale_permit::request::Grant;
use stairvale_types::{Moment, Refusal, id};
use stairvale_wire::{ClaimVerdict, StoredAnswer};
use tokio::sync::{mpsc, oneshot};

use crate::{audit, faults, limit::Limit, metrics::Metrics, settings::Settings};

/// A customer with its rate limit at this router.
#[derive(Debug)]
pub struct Account {
    /// The customer as configured.
    pub customer: Customer,
    /// The rate limiter, if the customer has a rate.
    pub limit: Option<Limit>,
}

/// The address and the availability zone of an upstream.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The upstream's name.
    pub upstream: id::Upstream,
    /// The address it serves requests at.
    pub address: SocketAddr,
    /// The availability zone it runs in.
    pub zone: id::Zone,
    /// The incarnation that the latest report names; `None` without a report.
    pub incarnation: Option<u64>,
}

impl Endpoint {
    /// The endpoint of an upstream of the membership's list.
    #[must_use]
    pub fn of(upstream: &upstreams::Upstream) -> Self {
        Self {
            upstream: upstream.name.clone(),
            address: upstream.address,
            zone: upstream.zone.clone(),
            incarnation: upstream.latest_report.as_ref().map(|report| report.boot),
        }
    }
}

/// An immutable copy of the state that traffic threads need; the control thread replaces it on each change.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// The generation in force.
    pub generation: Generation,
    /// The configuration in force.
    pub document: Arc<Document>,
    /// Customers by the hash of their API key.
    pub customers: Arc<HashMap<String, Arc<Account>>>,
    /// The upstreams' endpoints by name.
    pub endpoints: HashMap<id::Upstream, Endpoint>,
}

impl Snapshot {
    /// Derives a snapshot from a configuration and the fleet's state. Accounts of customers whose configuration didn't
    /// change are taken over from `before`, with the state of their rate limiters.
    #[must_use]
    pub fn new(before: &Self, generation: Generation, document: Arc<Document>, fleet: &Fleet) -> Self {
        let same = before.generation == generation;
        let customers = if same { before.customers.clone() } else { accounts(before, &document) };
        let endpoints = fleet.upstreams.iter().map(|u| (u.name.clone(), Endpoint::of(u))).collect();
        Self { generation, document, customers, endpoints }
    }

    /// Looks up a configured service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.document.service(name)
    }
}

fn accounts(before: &Snapshot, document: &Document) -> Arc<HashMap<String, Arc<Account>>> {
    let account = |customer: &Customer| {
        let same = before.customers.get(&customer.key_hash).filter(|account| &account.customer == customer);
        let fresh = || Arc::new(Account { customer: customer.clone(), limit: customer.rate.map(Limit::new) });
        (customer.key_hash.clone(), same.cloned().unwrap_or_else(fresh))
    };
    Arc::new(document.customers.iter().map(account).collect())
}

/// A permit, and its upstream as this router knew it when the permit was granted.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The permit.
    pub grant: Grant,
    /// Where the upstream is reached; `None` if this router doesn't know the upstream.
    pub endpoint: Option<Endpoint>,
}

/// The control thread's answer to a permit request.
pub type Decision = Result<Placement, Refusal>;

/// A message to the control thread; most carry a channel for the reply.
#[derive(Debug)]
pub enum Command {
    /// An event for the control node, without a reply.
    Input(Input),
    /// Requests a permit at an upstream.
    Request(Request, oneshot::Sender<Decision>),
    /// Requests a claim on an idempotency key.
    Claim(id::Key, id::Attempt, oneshot::Sender<ClaimVerdict>),
    /// Stores the answer to a claimed request; the reply confirms that the claim's owner has recorded it.
    Settle(id::Key, id::Attempt, StoredAnswer, oneshot::Sender<()>),
    /// Requests the router's state.
    Status(oneshot::Sender<Status>),
    /// Requests the manifest of the configuration in force and the chunks of its document.
    Config(oneshot::Sender<Option<(Manifest, Vec<String>)>>),
    /// Requests the recorded routing decisions for a request or chat.
    Explain(String, oneshot::Sender<Vec<explain::Record>>),
}

/// The state of a router as this router has observed it.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Peer {
    /// The router's name.
    pub router: id::Router,
    /// The availability zone it runs in.
    pub zone: id::Zone,
    /// The membership status in lower case.
    pub status: String,
    /// The configuration generation that it reported last.
    pub generation: u64,
}

/// The state of an upstream as this router has observed it.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Upstream {
    /// The upstream's name.
    pub upstream: id::Upstream,
    /// The service it belongs to.
    pub service: id::Service,
    /// The availability zone it runs in.
    pub zone: id::Zone,
    /// Whether new requests may be sent to it.
    pub usable: bool,
    /// The router that owns its account and grants its permits.
    pub home: Option<id::Router>,
    /// The number of outstanding permits, if this router is the home.
    pub outstanding: Option<usize>,
}

/// The state of this router, as `/v1/status` shows it.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Status {
    /// This router's name.
    pub router: id::Router,
    /// The availability zone this router runs in.
    pub zone: id::Zone,
    /// Whether this router accepts callers' requests.
    pub ready: bool,
    /// Whether the control node has no work in progress.
    #[serde(skip)]
    pub idle: bool,
    /// The control node's counters.
    pub stats: Stats,
    /// All routers of the fleet, this one included.
    pub routers: Vec<Peer>,
    /// All upstreams of the fleet.
    pub upstreams: Vec<Upstream>,
}

/// State shared by all threads of the process.
#[derive(Debug)]
pub struct Shared {
    /// The settings from the settings file.
    pub settings: Settings,
    /// The latest snapshot that the control thread published.
    pub snapshot: ArcSwap<Snapshot>,
    /// The channel to the control thread.
    pub commands: mpsc::UnboundedSender<Command>,
    /// The process's counters and histograms.
    pub metrics: Metrics,
    /// The recent events of the audit trail.
    pub audit: audit::Trail,
    /// The client of the platform's store.
    pub store: stairvale_store::Client,
    /// Network cuts set by a test; never any without the feature `faults`.
    pub faults: faults::Cuts,
    /// What the process holds for its callers.
    pub memory: Budget,
    /// Whether this router accepts callers' requests.
    pub ready: AtomicBool,
    /// The number of callers' requests in flight.
    pub in_flight: AtomicUsize,
    /// The clock for deadlines and durations.
    pub clock: Clock,
}

impl Shared {
    /// Sends an event to the control thread. The control thread outlives the traffic threads, so events are lost only
    /// while the process ends.
    pub fn notify_control(&self, input: Input) {
        // Sending fails only while the process ends, when the receiver is gone.
        let _ = self.commands.send(Command::Input(input));
    }

    /// The current time of the shared clock.
    #[must_use]
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Whether this router accepts callers' requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Sends a command to the control thread and waits for the reply; `None` while the process ends.
    pub async fn call_control<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.commands.send(command(reply)).ok()?;
        answer.await.ok()
    }
}
