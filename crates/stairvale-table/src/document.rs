//! The operator's configuration, independent of the format in which it was written.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use stairvale_types::id;

/// A complete configuration. A higher version replaces a lower one, never the other way round.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// Rises with every change, not necessarily by 1.
    pub version: u64,
    /// All routes of the configuration.
    pub routes: Vec<Route>,
    /// All services of the configuration.
    pub services: Vec<Service>,
    /// All customers. If there are none, requests need no key.
    pub customers: Vec<Customer>,
    /// Limits for callers' connections and requests.
    pub limits: Limits,
}

/// Whether requests may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Kind {
    /// A request may run more than once.
    Safe,
    /// A request runs at most once.
    Unsafe,
    /// The answer is a stream of events; a request runs at most once unless the stream may be resumed.
    Stream,
}

/// The destination and the rules of requests for a host below a path.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name that is used in logs and metrics.
    pub name: String,
    /// The host, in lower case and without a port.
    pub host: String,
    /// The beginning of the path; it starts and ends with a slash.
    pub prefix: String,
    /// Whether requests may run more than once.
    pub kind: Kind,
    /// The longest time that a request is held.
    pub timeout: Duration,
    /// The target for the time to the answer, or to a stream's first event.
    pub objective: Duration,
    /// The priority of requests: 0 is the most urgent.
    pub priority: u8,
    /// Services with their weights; never empty.
    pub split: Vec<(id::Service, u32)>,
    /// The maximum number of upstreams to which one request may be sent; at least 1.
    pub attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether a stream may be resumed after its last event.
    pub resumable: bool,
    /// The target for the longest pause between two events.
    pub pause: Option<Duration>,
    /// The only regions to whose upstreams requests may be sent; empty for any region.
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

    /// Selects the service of a request by weight; the same draw gives the same service.
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

/// A group of upstreams that serve the same requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The name of the service.
    pub name: id::Service,
    /// The maximum number of connections to one upstream, from all routers together.
    pub connections: u32,
    /// The sizes of its upstreams, if they are model engines.
    pub engine: Option<Engine>,
    /// The load that its upstreams sustain while they are cold; `None` if it is not configured.
    pub cold: Option<Cold>,
}

/// The behaviour of upstreams that have just started, or have become cold again.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cold {
    /// How long an upstream stays cold.
    pub time: Duration,
    /// The requests per second that one cold upstream sustains; 0 if none.
    pub pace: f64,
}

/// The sizes of a model engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// The number of requests that run at once.
    pub slots: u32,
    /// The number of tokens that fit into the cache.
    pub memory: u64,
    /// Whether the engine can copy the cached prefix of a prompt from another engine.
    pub copies: bool,
}

/// The party that pays for requests.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// The name of the customer.
    pub name: id::Customer,
    /// The keys that identify the customer's requests.
    pub keys: Vec<String>,
    /// The customer's priority, which precedes that of a route: 0 is the most urgent.
    pub priority: u8,
    /// The only regions to whose upstreams the customer's requests may be sent; empty for any region.
    pub regions: Vec<id::Region>,
}

/// Limits for the size and the duration of callers' requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// The maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// The maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// The time within which a head must be complete.
    pub head_time: Duration,
    /// The time after which an idle connection is closed.
    pub idle_time: Duration,
}

impl Default for Limits {
    /// Heads of 16 KiB within 3 s, bodies of 4 MiB, idle connections for 15 s.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}
