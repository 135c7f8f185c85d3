//! Events of the audit trail.

use std::fmt;

use serde::Serialize;
use stairvale_config::Generation;
use stairvale_types::id;

/// A change that is recorded in the audit trail.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum Event {
    /// A configuration came into force at this router.
    ConfigurationInForce {
        /// The generation that was in force before; zero if there was none.
        from: Generation,
        /// The generation in force now.
        to: Generation,
        /// The operator that submitted the configuration.
        operator: id::Operator,
    },
    /// A manifest with a lower generation than the one in force was received and refused.
    LowerGenerationRefused {
        /// The generation in force.
        in_force: Generation,
        /// The refused generation.
        offered: Generation,
    },
    /// Two different manifests have the same generation, which the store's compare-and-swap should rule out.
    GenerationForked {
        /// The generation that both manifests have.
        generation: Generation,
    },
    /// An operator's submission was accepted.
    ConfigurationAccepted {
        /// The operator that submitted the change.
        operator: id::Operator,
        /// The generation that the submission created.
        generation: Generation,
    },
    /// An operator's submission was refused.
    ConfigurationRefused {
        /// The operator that submitted the change.
        operator: id::Operator,
        /// The generation in force when the submission was refused.
        in_force: Generation,
    },
    /// A zone was evacuated: this router sends no new requests to its upstreams.
    ZoneEvacuated {
        /// The evacuated zone.
        zone: id::Zone,
        /// The operator that requested the evacuation.
        operator: id::Operator,
    },
    /// The evacuation of a zone ended: this router sends requests to its upstreams again.
    ZoneRestored {
        /// The restored zone.
        zone: id::Zone,
    },
    /// A router joined the fleet in this router's view.
    RouterJoined {
        /// The router that joined.
        router: id::Router,
    },
    /// A router was declared dead in this router's view.
    RouterDied {
        /// The router that died.
        router: id::Router,
    },
    /// Another router announced its planned stop.
    RouterLeaves {
        /// The router that stops.
        router: id::Router,
    },
    /// An upstream's state changed.
    UpstreamChanged {
        /// The upstream that changed.
        upstream: id::Upstream,
        /// The previous state, if any was recorded.
        from: Option<String>,
        /// The new state.
        to: String,
    },
    /// This process was suspended and discarded its accounts when it resumed.
    Paused {
        /// Duration of the suspension in milliseconds.
        millis: u64,
    },
    /// This router acquired or lost the lease for giving orders to the engines of its availability zone.
    OrderHolder {
        /// Whether this router holds the lease now.
        holds: bool,
        /// The fencing token of the lease; zero if it was lost.
        token: u64,
    },
    /// An engine was ordered to load a model.
    Ordered {
        /// The engine that received the order.
        upstream: id::Upstream,
        /// The model and version to load, as `model@version`.
        model: String,
        /// The fencing token of the order.
        token: u64,
    },
    /// This router began its planned stop.
    Stopping,
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match serde_json::to_string(self) {
            Ok(text) => f.write_str(&text),
            Err(_) => write!(f, "{self:?}"),
        }
    }
}
