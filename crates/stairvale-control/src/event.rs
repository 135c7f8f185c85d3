//! What goes into the audit trail.

use std::fmt;

use serde::Serialize;
use stairvale_config::Generation;
use stairvale_types::id;

/// A change that somebody may ask about later.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum Event {
    /// A configuration came into force at this router.
    ConfigurationInForce {
        /// The generation before.
        from: Generation,
        /// The generation now.
        to: Generation,
        /// Who applied it.
        operator: id::Operator,
    },
    /// Somebody offered a lower generation than is in force; it was not taken.
    LowerGenerationRefused {
        /// What is in force.
        in_force: Generation,
        /// What was offered.
        offered: Generation,
    },
    /// Two documents claim one generation, which the store's compare-and-swap rules out.
    GenerationForked {
        /// The generation.
        generation: Generation,
    },
    /// An operator's submission was accepted.
    ConfigurationAccepted {
        /// Who.
        operator: id::Operator,
        /// The generation it made.
        generation: Generation,
    },
    /// An operator's submission was refused.
    ConfigurationRefused {
        /// Who.
        operator: id::Operator,
        /// The generation in force.
        in_force: Generation,
    },
    /// Nothing new goes from this router to the upstreams of a zone from now on.
    ZoneEvacuated {
        /// The zone.
        zone: id::Zone,
        /// Who asked for it.
        operator: id::Operator,
    },
    /// This router uses the upstreams of a zone again.
    ZoneRestored {
        /// The zone.
        zone: id::Zone,
    },
    /// A router joined, by this router's view.
    RouterJoined {
        /// Which.
        router: id::Router,
    },
    /// A router is confirmed dead.
    RouterDied {
        /// Which.
        router: id::Router,
    },
    /// A router stops as planned.
    RouterLeaves {
        /// Which.
        router: id::Router,
    },
    /// An upstream's state changed.
    UpstreamChanged {
        /// Which.
        upstream: id::Upstream,
        /// The state before, if any was known.
        from: Option<String>,
        /// The state now.
        to: String,
    },
    /// This router was paused and started its accounts anew.
    Paused {
        /// For how long, in milliseconds.
        millis: u64,
    },
    /// This router holds the orders of its availability zone now, or no longer.
    OrderHolder {
        /// Whether it does.
        holds: bool,
        /// The fencing token.
        token: u64,
    },
    /// An engine was ordered to change.
    Ordered {
        /// Which.
        upstream: id::Upstream,
        /// The model and version.
        model: String,
        /// The fencing token.
        token: u64,
    },
    /// This router stops as planned.
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
