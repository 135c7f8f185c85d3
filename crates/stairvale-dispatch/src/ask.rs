//! What entries and homes say to each other of a request.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use stairvale_types::{Refusal, id};

/// A part of a prompt. Prompts share parts from their beginning on; the same part always stands behind the same ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// The same for the same text.
    pub id: u64,
    /// Its size.
    pub tokens: u32,
}

/// "Which upstream may this request go to?"
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// The attempt, which no other ask shares.
    pub attempt: id::Attempt,
    /// The router that asks.
    pub entry: id::Router,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Whose request it is, where that is known.
    pub customer: Option<id::Customer>,
    /// Its route.
    pub route: id::Route,
    /// What it asks for.
    pub fingerprint: id::Fingerprint,
    /// The request's rank: 0 is the most urgent.
    pub priority: u8,
    /// Whether it may run a second time.
    pub repeatable: bool,
    /// The parts of its prompt, in order; empty for a plain service.
    pub parts: Vec<Part>,
    /// Tokens that it may make.
    pub output: u32,
    /// The time to the first event, or to a plain answer, that is aimed at.
    pub objective: Duration,
    /// How long it may wait for a place.
    pub patience: Duration,
    /// Upstreams that failed or refused this request, or that the entry can't reach.
    pub avoid: Vec<id::Upstream>,
    /// The only zones whose upstreams it may go to; `None` for any.
    pub within: Option<Vec<id::Zone>>,
    /// How many of the parts the entry last saw read together, and where; a home that took over learns from it.
    pub seen: Option<(usize, id::Upstream)>,
}

impl Ask {
    /// How long it may wait for another request to read what both share: half of its objective, so that there is time to
    /// be served elsewhere if that comes to nothing.
    #[must_use]
    pub fn follows(&self) -> Duration {
        self.objective / 2
    }

    /// Whether it may go to the upstreams of a zone, or be served with what they hold.
    #[must_use]
    pub fn allows(&self, zone: &id::Zone) -> bool {
        self.within.as_ref().is_none_or(|within| within.contains(zone))
    }

    /// The parts of its prompt that other prompts may have, too.
    #[must_use]
    pub fn shared(&self) -> &[Part] {
        &self.parts[..self.parts.len().saturating_sub(1)]
    }
}

/// What the home decided.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// The request may go there.
    Granted {
        /// The upstream.
        upstream: id::Upstream,
        /// Tokens of its prompt that the upstream will have to read.
        read: u32,
        /// Another upstream that holds more of the prompt's shared parts, if that is worth copying.
        source: Option<id::Upstream>,
    },
    /// It may go nowhere now.
    Refused(Refusal),
}

/// A decision for an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The entry.
    pub entry: id::Router,
    /// The attempt.
    pub attempt: id::Attempt,
    /// The decision.
    pub verdict: Verdict,
}

/// What became of a granted request, as far as it says something of the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The upstream answered as it should.
    Served,
    /// It answered with an error, broke off or answered something else.
    Failed,
    /// It was full and said that it didn't run the request.
    Shed,
    /// Nothing came in time.
    Silent,
    /// No connection could be made.
    Unreachable,
    /// The address belongs to another upstream by now.
    Gone,
    /// The upstream ended while it ran: it broke off, and nobody listens there any more.
    Ended,
    /// The entry stopped it for reasons of its own.
    Abandoned,
}

/// A granted request that an entry still runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Held {
    /// The attempt.
    pub attempt: id::Attempt,
    /// Where it runs.
    pub upstream: id::Upstream,
    /// Tokens that the upstream still has to read; zero after the first event.
    pub read: u32,
    /// Whose request it is, where that is known.
    pub customer: Option<id::Customer>,
    /// Its route.
    pub route: id::Route,
    /// What it asks for.
    pub fingerprint: id::Fingerprint,
}
