//! What an operator writes, in the product's own terms.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use stairvale_types::id;

/// A whole configuration. A higher version replaces a lower one, never the other way round.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// Rises with every change, in uneven steps.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// All customers. Without any, requests need no key.
    pub customers: Vec<Customer>,
    /// What callers may send.
    pub limits: Limits,
}

/// What may be done twice.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Kind {
    /// May run more than once.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// A series of events; runs at most once unless it may be resumed.
    Stream,
}

/// Where requests of a host below a path go.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// For logs and metrics.
    pub name: String,
    /// The host, in lower case, without a port.
    pub host: String,
    /// The path's beginning; it starts and ends with a slash.
    pub prefix: String,
    /// What may be done twice.
    pub kind: Kind,
    /// The longest that a request is held.
    pub timeout: Duration,
    /// The time to the answer, or to a stream's first event, that is aimed at.
    pub objective: Duration,
    /// Its rank: 0 is the most urgent.
    pub priority: u8,
    /// Services with their weights; never empty.
    pub split: Vec<(id::Service, u32)>,
    /// The most upstreams that one request may be sent to; at least 1.
    pub attempts: u32,
    /// Whether no key is needed.
    pub public: bool,
    /// Whether a stream may be taken up again after its last event.
    pub resumable: bool,
    /// The longest pause between events that is aimed at.
    pub pause: Option<Duration>,
    /// The only regions whose upstreams may be given its requests; empty for any.
    pub regions: Vec<id::Region>,
}

impl Route {
    /// Whether a request may run a second time.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Safe => true,
            Kind::Unsafe => false,
            Kind::Stream => self.resumable,
        }
    }

    /// The service for a request, drawn by weight; the same draw gives the same service.
    #[must_use]
    pub fn service(&self, draw: u64) -> Option<&id::Service> {
        let total: u64 = self.split.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut left = if total == 0 { 0 } else { draw % total };
        for (service, weight) in &self.split {
            let weight = u64::from(*weight);
            if left < weight {
                return Some(service);
            }
            left -= weight;
        }
        self.split.first().map(|(service, _)| service)
    }
}

/// A group of upstreams that serve the same.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: id::Service,
    /// Connections that one upstream takes from all routers together.
    pub connections: u32,
    /// What its upstreams are, if they are model engines.
    pub engine: Option<Engine>,
    /// What its upstreams bear while they are cold; `None` if that is not told.
    pub cold: Option<Cold>,
}

/// How upstreams do that have just started, or have turned cold again.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cold {
    /// How long they stay so.
    pub time: Duration,
    /// Requests a second that one of them bears; 0 if none.
    pub pace: f64,
}

/// A model engine's sizes.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that fit into its cache.
    pub memory: u64,
    /// Whether it can copy from another engine what that holds of a prompt.
    pub copies: bool,
}

/// Who pays for requests.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// Its name.
    pub name: id::Customer,
    /// Its keys.
    pub keys: Vec<String>,
    /// Its rank, which goes before a route's: 0 is the most urgent.
    pub priority: u8,
    /// The only regions whose upstreams may be given its requests; empty for any.
    pub regions: Vec<id::Region>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Bytes of a head.
    pub head_bytes: usize,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// The time that a head may take.
    pub head_time: Duration,
    /// The time that a connection may rest.
    pub idle_time: Duration,
}

impl Default for Limits {
    /// 16 KiB of head in 3 s, 4 MiB of body, 15 s of rest.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}
