//! What the control thread publishes to the traffic threads, and what they ask of it.

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
use stairvale_permit::request::Grant;
use stairvale_types::{Moment, Refusal, id};
use stairvale_wire::{ClaimVerdict, Stored};
use tokio::sync::{mpsc, oneshot};

use crate::{audit, faults, limit::Limit, metrics::Metrics, settings::Settings};

/// A customer with its limit at this router.
#[derive(Debug)]
pub struct Account {
    /// The customer as configured.
    pub customer: Customer,
    /// How its rate is held to, if it has one.
    pub limit: Option<Limit>,
}

/// Where an upstream is.
#[derive(Clone, Debug)]
pub struct Place {
    /// Its name.
    pub upstream: id::Upstream,
    /// Its address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: id::Zone,
}

impl Place {
    /// That of an upstream as membership knows it.
    #[must_use]
    pub fn of(known: &upstreams::Upstream) -> Self {
        Self { upstream: known.name.clone(), address: known.address, zone: known.zone.clone() }
    }
}

/// What traffic threads need to know, as of some moment.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// The generation in force.
    pub generation: Generation,
    /// The configuration in force.
    pub document: Arc<Document>,
    /// Customers by the hash of their key.
    pub customers: Arc<HashMap<String, Arc<Account>>>,
    /// Upstreams by name.
    pub places: HashMap<id::Upstream, Place>,
}

impl Snapshot {
    /// What follows from a document and a fleet. Accounts of customers that didn't change are kept from `before`.
    #[must_use]
    pub fn new(before: &Self, generation: Generation, document: Arc<Document>, fleet: &Fleet) -> Self {
        let same = before.generation == generation;
        let customers = if same { before.customers.clone() } else { accounts(before, &document) };
        let places = fleet.upstreams.iter().map(|u| (u.name.clone(), Place::of(u))).collect();
        Self { generation, document, customers, places }
    }

    /// The configured service.
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

/// What the control thread decided about a request.
pub type Decision = Result<Grant, Refusal>;

/// What other parts ask of the control thread.
#[derive(Debug)]
pub enum Command {
    /// Something happened.
    Input(Input),
    /// A request wants an upstream.
    Request(Request, oneshot::Sender<Decision>),
    /// A request wants its claim.
    Claim(id::Key, id::Attempt, oneshot::Sender<ClaimVerdict>),
    /// A claimed request got its answer; the reply says that the claim's keeper knows it.
    Settle(id::Key, id::Attempt, Stored, oneshot::Sender<()>),
    /// Tell the state.
    Status(oneshot::Sender<Status>),
    /// Tell the configuration in force with its chunks.
    Config(oneshot::Sender<Option<(Manifest, Vec<String>)>>),
    /// Tell what is remembered of a request or chat.
    Explain(String, oneshot::Sender<Vec<explain::Record>>),
}

/// A router as others see it.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Peer {
    /// Its name.
    pub router: id::Router,
    /// Its availability zone.
    pub zone: id::Zone,
    /// How it is.
    pub status: String,
    /// The generation it told last.
    pub generation: u64,
}

/// An upstream as this router sees it.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Upstream {
    /// Its name.
    pub upstream: id::Upstream,
    /// Its service.
    pub service: id::Service,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Whether it may take new work.
    pub usable: bool,
    /// The router that keeps its account.
    pub home: Option<id::Router>,
    /// Permits held, if the account is here.
    pub outstanding: Option<usize>,
}

/// A router's state.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Status {
    /// This router.
    pub router: id::Router,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Whether callers may come.
    pub ready: bool,
    /// Whether nothing is in flight.
    #[serde(skip)]
    pub idle: bool,
    /// All counters.
    pub stats: Stats,
    /// The routers, this one included.
    pub routers: Vec<Peer>,
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
}

/// What all threads share.
#[derive(Debug)]
pub struct Shared {
    /// The settings.
    pub settings: Settings,
    /// The latest snapshot.
    pub snapshot: ArcSwap<Snapshot>,
    /// The way to the control thread.
    pub commands: mpsc::UnboundedSender<Command>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The audit trail's recent part.
    pub audit: audit::Trail,
    /// The platform's client.
    pub store: stairvale_store::Client,
    /// Cuts that a test made; none in ordinary builds.
    pub faults: faults::Cuts,
    /// Whether callers may come.
    pub ready: AtomicBool,
    /// Requests in flight.
    pub in_flight: AtomicUsize,
    /// What time it is.
    pub clock: Clock,
}

impl Shared {
    /// Tells the control thread what happened. It outlives the traffic threads, so nobody waits in vain.
    pub fn tell(&self, input: Input) {
        // The receiver is gone only while the process ends.
        let _ = self.commands.send(Command::Input(input));
    }

    /// Now.
    #[must_use]
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Whether callers may come.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Asks the control thread; `None` while the process ends.
    pub async fn ask<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.commands.send(command(reply)).ok()?;
        answer.await.ok()
    }
}
