//! The configuration document that operators write in YAML.

use std::time::Duration;

use error_stack::Report;
use serde::{Deserialize, Serialize};
use stairvale_types::{id, unit};

use crate::{Fault, verify};

/// The largest document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 8 << 20;

/// A complete configuration of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The availability zones and the region each lies in.
    pub zones: Vec<Zone>,
    /// The services that callers can request.
    pub services: Vec<Service>,
    /// The customers whose requests are accepted.
    pub customers: Vec<Customer>,
    /// The operators that may apply configurations.
    pub operators: Vec<Operator>,
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// The zone's name, as in the routers' settings.
    pub name: id::Zone,
    /// The region that the zone lies in.
    pub region: id::Region,
}

/// The kind of upstream behind a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Model engines, which stream tokens and cache prompt prefixes.
    Model,
    /// HTTP back ends of a plain service.
    Plain,
}

/// A service, and the rules by which its requests are placed on upstreams and limited.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's name, which is the first segment of the path that callers request.
    pub name: id::Service,
    /// The kind of the service's upstreams.
    pub kind: Kind,
    /// The model that engines must have loaded (`kind: model` only).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// The model's version that engines must have loaded (`kind: model` only).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// The load bound: the multiple of the service's mean load up to which an upstream accepts requests.
    #[serde(default = "default_multiple")]
    pub load_multiple: unit::Multiple,
    /// How long a request of a returning chat may wait at the home for the engine that has its prefix.
    #[serde(default = "default_prefix_wait", with = "humantime_serde")]
    pub prefix_wait: Duration,
    /// The number of requests that one upstream can serve at the same time.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// The number of requests that may wait for one upstream at its home.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// The deadline of requests that don't specify one.
    #[serde(default = "default_deadline", with = "humantime_serde")]
    pub deadline: Duration,
    /// The time that an engine takes to prefill one prompt token that isn't cached, in microseconds.
    #[serde(default = "default_prefill")]
    pub prefill_us_per_token: u32,
    /// The time that the transfer of one token's KV cache between engines takes, in microseconds.
    #[serde(default = "default_transfer")]
    pub transfer_us_per_token: u32,
    /// HTTP methods whose requests may run at most once.
    #[serde(default)]
    pub not_repeatable: Vec<String>,
    /// Whether the upstreams check the fencing tokens of model orders.
    #[serde(default)]
    pub checks_orders: bool,
}

/// A customer, with its share and its rate limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// The customer's name in logs and metrics.
    pub name: id::Customer,
    /// The BLAKE3 hash of the customer's key, in hexadecimal; the key itself is never stored.
    pub key_hash: String,
    /// The customer's weight in fair sharing: of customers that compete, one with twice the weight is served twice as
    /// often.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The rate limit in requests per second over the whole fleet; none if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<unit::Rate>,
}

/// An operator, who may apply configurations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The operator's name in the audit trail.
    pub name: id::Operator,
    /// The BLAKE3 hash of the operator's key, in hexadecimal.
    pub key_hash: String,
}

impl Document {
    /// Parses and validates a document.
    ///
    /// # Errors
    /// The first [`Fault`]: the text is too large, it isn't YAML of this schema, or its values are out of range or
    /// contradict each other.
    pub fn parse(text: &str) -> Result<Self, Report<Fault>> {
        if text.len() > MAX_DOCUMENT_BYTES {
            return Err(Report::new(Fault::size(text.len())));
        }
        let document: Self = serde_norway::from_str(text).map_err(|error| Report::new(Fault::syntax(&error)))?;
        verify::verify(&document, text)?;
        Ok(document)
    }

    /// Looks up a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name.as_str() == name)
    }

    /// Looks up a customer by name.
    #[must_use]
    pub fn customer(&self, name: &id::Customer) -> Option<&Customer> {
        self.customers.iter().find(|customer| &customer.name == name)
    }

    /// The region that a zone lies in; `None` if the document has no such zone.
    #[must_use]
    pub fn region(&self, zone: &id::Zone) -> Option<&id::Region> {
        let zone = self.zones.iter().find(|z| &z.name == zone)?;
        Some(&zone.region)
    }
}

/// The hash of a customer's or operator's key, as it appears in `key_hash`.
#[must_use]
pub fn key_hash(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

// ----------------------------------------------------------------------------
// Default values of optional fields.

fn default_multiple() -> unit::Multiple {
    // The knee of the trade-off between reuse of cached prefixes and an even load: a higher multiple gains little
    // reuse.
    unit::Multiple::try_from(1.25).unwrap_or_else(|_| unreachable!("1.25 is a valid load multiple"))
}

fn default_prefix_wait() -> Duration {
    Duration::from_millis(300)
}

fn default_slots() -> u32 {
    16
}

fn default_queue() -> u32 {
    64
}

fn default_deadline() -> Duration {
    Duration::from_secs(60)
}

fn default_prefill() -> u32 {
    150
}

fn default_transfer() -> u32 {
    15
}

fn default_weight() -> u32 {
    1
}
