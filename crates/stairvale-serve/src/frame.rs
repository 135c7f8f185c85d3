//! What routers say to each other.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use stairvale_dispatch::{Ask, Held, Outcome, Part, Verdict, suspects::Evidence};
use stairvale_replica::News;
use stairvale_rollout::{Write, Written};
use stairvale_types::id;
use stairvale_wire::Member;

/// A frame on a stream between two routers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// To a service's home: a request wants an upstream.
    Ask {
        /// The service.
        service: id::Service,
        /// The request.
        ask: Ask,
    },
    /// From the home: the decision; `None` if it can't decide, being no home or not ready.
    Decided {
        /// The attempt.
        attempt: id::Attempt,
        /// The decision.
        verdict: Option<Verdict>,
    },
    /// From the home: the request waits.
    Waits {
        /// The attempt.
        attempt: id::Attempt,
    },
    /// To the home: the request no longer wants an upstream, or got this one too late.
    Forget {
        /// The service.
        service: id::Service,
        /// The attempt.
        attempt: id::Attempt,
    },
    /// To the home: the first event came.
    Begun {
        /// The service.
        service: id::Service,
        /// The attempt.
        attempt: id::Attempt,
        /// How long after it was sent.
        took: Duration,
    },
    /// To the home: the request ended.
    Release {
        /// The service.
        service: id::Service,
        /// The attempt.
        attempt: id::Attempt,
        /// What became of it.
        outcome: Outcome,
        /// The time of a plain answer.
        took: Option<Duration>,
    },
    /// To the home: all that this router runs of the service.
    Renew {
        /// The service.
        service: id::Service,
        /// What it runs.
        held: Vec<Held>,
    },
    /// To a service's next home: what an upstream holds of shared parts.
    Prefixes {
        /// The service.
        service: id::Service,
        /// The upstream.
        upstream: id::Upstream,
        /// What it holds.
        parts: Vec<Part>,
    },
    /// To a service's next home: a prompt went to an upstream.
    Read {
        /// The service.
        service: id::Service,
        /// The upstream.
        upstream: id::Upstream,
        /// The prompt's parts.
        parts: Vec<Part>,
    },
    /// "What do you know that I don't, and how fresh is it?"
    Sync(Sync),
    /// The answer to a [`Frame::Sync`].
    Synced {
        /// From the question.
        number: u64,
        /// How long ago the sender's copy was known to be the newest.
        age: Option<Duration>,
        /// The revision of the sender's copy.
        revision: u64,
        /// How long the store hasn't failed the sender, if it reads the store itself.
        calm: Option<Duration>,
        /// What the asker lacks.
        news: Option<News>,
        /// Whether the sender knows how many routers there are: it didn't start a moment ago.
        knows_fleet: bool,
        /// The routers that live, if the asker knows clearly fewer.
        members: Vec<Member>,
    },
    /// Changes, as soon as the sender read them.
    News(News),
    /// The same, to be passed on to others of the zone.
    Relay {
        /// The changes.
        news: News,
        /// Who hears of them from the receiver.
        to: Vec<id::Router>,
    },
    /// From a service's home whose own way to the store fails: "write this for me". It may be done twice.
    Write {
        /// Comes back in the answer.
        number: u64,
        /// The change.
        write: Write,
    },
    /// The answer to a [`Frame::Write`].
    Written {
        /// From the question.
        number: u64,
        /// What became of it.
        written: Written,
    },
    /// From a service's home to everybody: the version is bad that the order of this revision names.
    Condemned {
        /// The service.
        service: id::Service,
        /// The store's revision of the order.
        order: u64,
    },
    /// From a service's home to whoever may be the next one: what it learnt of a request that upstreams end under.
    Evidence {
        /// The service.
        service: id::Service,
        /// What it learnt.
        evidence: Evidence,
    },
    /// From a service's home to everybody: upstreams end because of a request, which is to go nowhere for a while.
    Quarantined {
        /// The request.
        fingerprint: id::Fingerprint,
        /// How much longer it is kept from upstreams.
        left: Duration,
        /// For how long it is in all.
        length: Duration,
    },
}

impl Frame {
    /// Its name in metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Ask { .. } => "frame-ask",
            Self::Decided { .. } => "frame-decided",
            Self::Waits { .. } => "frame-waits",
            Self::Forget { .. } => "frame-forget",
            Self::Begun { .. } => "frame-begun",
            Self::Release { .. } => "frame-release",
            Self::Renew { .. } => "frame-renew",
            Self::Prefixes { .. } => "frame-prefixes",
            Self::Read { .. } => "frame-read",
            Self::Sync(_) => "frame-sync",
            Self::Synced { .. } => "frame-synced",
            Self::Write { .. } => "frame-write",
            Self::Written { .. } => "frame-written",
            Self::Condemned { .. } => "frame-condemned",
            Self::Evidence { .. } => "frame-evidence",
            Self::Quarantined { .. } => "frame-quarantined",
            Self::News(_) => "frame-news",
            Self::Relay { .. } => "frame-relay",
        }
    }
}

/// What one router asks another about its copy of the store.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sync {
    /// Comes back in the answer.
    pub number: u64,
    /// The revision that is known, if what came after it is wanted; 0 for everything.
    pub after: Option<u64>,
    /// How many routers the asker knows to live, if it wants to be told of more.
    pub routers: Option<usize>,
}
