//! Messages about requests between entry routers and homes.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use stairvale_types::{Refusal, id};

/// A part of a prompt. Prompts usually share parts from their start on, so that equal parts follow equal parts.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// The identifier of the part, which is the same for the same text.
    pub id: u64,
    /// The size of the part in tokens.
    pub tokens: u32,
}

/// A request to the home for an upstream that may serve a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// The attempt, which is unique to this message.
    pub attempt: id::Attempt,
    /// The entry router that sent the message.
    pub entry: id::Router,
    /// The availability zone of the entry router.
    pub zone: id::Zone,
    /// The customer that sent the request, if known.
    pub customer: Option<id::Customer>,
    /// The route of the request.
    pub route: id::Route,
    /// The fingerprint that identifies the content of the request.
    pub fingerprint: id::Fingerprint,
    /// The priority of the request: 0 is the most urgent.
    pub priority: u8,
    /// Whether the request may run a second time.
    pub repeatable: bool,
    /// The parts of the prompt, in order; empty for a plain service.
    pub parts: Vec<Part>,
    /// Maximum number of output tokens.
    pub output: u32,
    /// The target for the time to the first event, or to a plain answer.
    pub objective: Duration,
    /// How long the request may wait for a slot.
    pub patience: Duration,
    /// Upstreams that failed or refused this request, or that the entry router can't reach.
    pub avoid: Vec<id::Upstream>,
    /// The zones to whose upstreams the request is restricted; `None` for any.
    pub within: Option<Vec<id::Zone>>,
    /// The number of leading parts that the entry router last sent together, and the upstream they went to; a new home
    /// learns from it.
    pub seen: Option<(usize, id::Upstream)>,
}

impl Ask {
    /// Returns how long the request may wait for another request to prefill shared parts: half of the objective, so
    /// that there is time to be served elsewhere if the other request fails.
    #[must_use]
    pub fn max_prefill_wait(&self) -> Duration {
        self.objective / 2
    }

    /// Whether the request may go to the upstreams of a zone, or be served with parts copied from them.
    #[must_use]
    pub fn allows(&self, zone: &id::Zone) -> bool {
        self.within.as_ref().is_none_or(|within| within.contains(zone))
    }

    /// Returns the parts of the prompt that other prompts may share: all but the last.
    #[must_use]
    pub fn shared(&self) -> &[Part] {
        &self.parts[..self.parts.len().saturating_sub(1)]
    }
}

/// The decision of the home.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// The request may go to the upstream.
    Granted {
        /// The upstream that serves the request.
        upstream: id::Upstream,
        /// Tokens of the prompt that the upstream has to prefill.
        read: u32,
        /// Another upstream that holds more of the prompt's shared parts, if they are worth copying from it.
        source: Option<id::Upstream>,
    },
    /// The request may go to no upstream now.
    Refused(Refusal),
}

/// A decision that is sent to an entry router.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The entry router that receives the decision.
    pub entry: id::Router,
    /// The attempt that was decided.
    pub attempt: id::Attempt,
    /// The decision.
    pub verdict: Verdict,
}

/// The outcome of a granted request, as far as it concerns the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The upstream answered correctly.
    Served,
    /// The upstream answered with an error, broke off its answer, or sent an invalid one.
    Failed,
    /// The upstream was full, and answered that it didn't run the request.
    Shed,
    /// The upstream sent no answer in time.
    Silent,
    /// No connection to the upstream could be made.
    Unreachable,
    /// The address belongs to another upstream by now.
    Gone,
    /// The upstream crashed while it ran the request: the connection broke, and nothing listens at the address any
    /// more.
    Ended,
    /// The entry router stopped the request for a reason that doesn't concern the upstream.
    Abandoned,
}

/// A granted request that an entry router still runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Held {
    /// The attempt.
    pub attempt: id::Attempt,
    /// The upstream that runs the attempt.
    pub upstream: id::Upstream,
    /// Tokens that the upstream still has to prefill; zero after the first event.
    pub read: u32,
    /// The customer that sent the request, if known.
    pub customer: Option<id::Customer>,
    /// The route of the request.
    pub route: id::Route,
    /// The fingerprint that identifies the content of the request.
    pub fingerprint: id::Fingerprint,
}
