//! The frames that routers send each other.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use stairvale_dispatch::{Ask, Held, Outcome, Part, Verdict, budget::Account, suspects::Evidence};
use stairvale_replica::StoreUpdate;
use stairvale_rollout::{Write, Written};
use stairvale_types::id;
use stairvale_wire::Member;

/// A frame on a stream between two routers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Sent to a service's home: requests an upstream for a request.
    Ask {
        /// The service whose upstreams may serve the request.
        service: id::Service,
        /// The request's properties.
        ask: Ask,
    },
    /// Sent by the home: the decision; `None` if it can't decide, since it isn't the home or isn't ready.
    Decided {
        /// The attempt that was decided.
        attempt: id::Attempt,
        /// The home's decision.
        verdict: Option<Verdict>,
    },
    /// Sent by the home: the request waits in its queue.
    Waits {
        /// The attempt that waits.
        attempt: id::Attempt,
    },
    /// Sent to the home: the request no longer needs an upstream, or was granted this one too late.
    Forget {
        /// The service of the request.
        service: id::Service,
        /// The attempt that is withdrawn.
        attempt: id::Attempt,
    },
    /// Sent to the home: the first event of the answer arrived.
    Begun {
        /// The service of the request.
        service: id::Service,
        /// The attempt that was granted.
        attempt: id::Attempt,
        /// The time from sending the request to the first event.
        took: Duration,
    },
    /// Sent to the home: the request ended.
    Release {
        /// The service of the request.
        service: id::Service,
        /// The attempt that ended.
        attempt: id::Attempt,
        /// The outcome of the request.
        outcome: Outcome,
        /// The duration of a plain answer; `None` for any other end.
        took: Option<Duration>,
    },
    /// Sent to the home: all requests of the service that run at the sender.
    Renew {
        /// The service of the requests.
        service: id::Service,
        /// The running requests.
        held: Vec<Held>,
    },
    /// Sent to a service's next home: the shared prompt blocks that an upstream holds.
    Prefixes {
        /// The service of the upstream.
        service: id::Service,
        /// The upstream that holds the blocks.
        upstream: id::Upstream,
        /// The blocks that the upstream holds.
        parts: Vec<Part>,
    },
    /// Sent to a service's next home: a prompt was sent to an upstream.
    Read {
        /// The service of the prompt.
        service: id::Service,
        /// The upstream that received the prompt.
        upstream: id::Upstream,
        /// The prompt's blocks.
        parts: Vec<Part>,
    },
    /// Requests the changes that the sender lacks, and the age of the receiver's copy.
    Sync(Sync),
    /// The answer to a [`Frame::Sync`].
    Synced {
        /// The number of the sync request.
        number: u64,
        /// How long ago the sender's copy was confirmed to be the newest; `None` if it never was.
        age: Option<Duration>,
        /// The revision of the sender's copy.
        revision: u64,
        /// How long the store hasn't failed the sender, or the reader from which the sender receives updates; `None`
        /// if unknown.
        calm: Option<Duration>,
        /// The changes that the receiver lacks.
        news: Option<StoreUpdate>,
        /// Whether the sender knows the number of routers; one that has just started doesn't.
        knows_fleet: bool,
        /// The live routers, if the receiver knows clearly fewer.
        members: Vec<Member>,
    },
    /// Changes of the store, sent as soon as the sender has read them.
    News(StoreUpdate),
    /// Changes of the store, to be relayed to other routers of the zone.
    Relay {
        /// The changes to relay.
        news: StoreUpdate,
        /// The routers to which the receiver relays the changes.
        to: Vec<id::Router>,
    },
    /// Sent by a service's home that can't write to the store itself: requests the receiver to write. The write may
    /// be made twice.
    Write {
        /// The number of the request, returned in the answer.
        number: u64,
        /// The change to write.
        write: Write,
    },
    /// The answer to a [`Frame::Write`].
    Written {
        /// The number of the write request.
        number: u64,
        /// The result of the write.
        written: Written,
    },
    /// Sent by a service's home to all routers: rejects the version that an order names.
    Condemned {
        /// The service that is rolled out.
        service: id::Service,
        /// The store's revision of the order.
        order: u64,
    },
    /// Sent by a service's home to its successors, and by an entry to a new home: what it learned about a request under
    /// which upstreams crash. Evidence with parts of prompts is sent only to peers of minor version 3 or later.
    Evidence {
        /// The service of the request.
        service: id::Service,
        /// The new evidence.
        evidence: Evidence,
    },
    /// Sent by a service's home to all routers: a request or a part of prompts makes upstreams crash and is quarantined.
    Quarantined {
        /// The fingerprint of the request or of the part. Earlier builds take it for that of a request, which none has.
        fingerprint: id::Fingerprint,
        /// The remaining time of the quarantine.
        left: Duration,
        /// The total length of the quarantine; zero if it was lifted, which earlier builds ignore.
        length: Duration,
    },
    /// Sent to a few peers: what the sender has spent of its retry budgets recently, to be kept for its next process.
    /// Sent only to peers of minor version 1 or later.
    RetryAccount {
        /// The sender's account.
        account: Account,
    },
    /// Sent to a router that restarted: what its earlier processes have spent, as the sender kept it. Sent only to peers
    /// of minor version 1 or later.
    RetryAccountCopy {
        /// The receiver's account.
        account: Account,
    },
    /// Sent to a peer through which the sender reached an upstream: what the upstream announced about itself in its answer.
    /// Sent only to peers of minor version 1 or later.
    Notice {
        /// The upstream's service.
        service: id::Service,
        /// The upstream.
        upstream: id::Upstream,
        /// Whether the upstream is leaving.
        leaves: bool,
        /// How long the receiver is to send the upstream nothing, if the upstream asked for that.
        rest: Option<Duration>,
    },
    /// Sent to the keepers of a service's streams: the version at which a stream began. Sent only to peers of minor
    /// version 2 or later.
    StreamBegan {
        /// The stream's service.
        service: id::Service,
        /// The stream.
        stream: id::Stream,
        /// Where the stream began.
        origin: Origin,
        /// For how long the stream may be taken up again.
        lasts: Duration,
    },
    /// Asks a peer for the origin of a stream. Sent only to peers of minor version 2 or later.
    FindStream {
        /// The attempt for which the sender asks, returned in the answer.
        attempt: id::Attempt,
        /// The stream.
        stream: id::Stream,
    },
    /// The answer to a [`Frame::FindStream`].
    StreamFound {
        /// The attempt for which the receiver asked.
        attempt: id::Attempt,
        /// Where the stream began; `None` if the sender doesn't know.
        origin: Option<Origin>,
    },
    /// Asks a peer for the origin of a service's stream. Sent only to peers of minor version 4 or later; earlier ones get
    /// [`Frame::FindStream`].
    FindOrigin {
        /// The attempt for which the sender asks, returned in the answer.
        attempt: id::Attempt,
        /// The stream's service.
        service: id::Service,
        /// The stream; `None` if its client doesn't name it.
        stream: Option<id::Stream>,
    },
    /// The answer to a [`Frame::FindOrigin`]. Sent only to peers of minor version 4 or later.
    OriginFound {
        /// The attempt for which the receiver asked.
        attempt: id::Attempt,
        /// What the sender knows.
        answer: Finding,
    },
}

impl Frame {
    /// A revision of the store in the form that the sender uses, if the frame contains one.
    #[must_use]
    pub fn revision(&self) -> Option<u64> {
        match self {
            Self::Sync(sync) => sync.after,
            Self::Synced { revision, .. } => Some(*revision),
            Self::News(news) | Self::Relay { news, .. } => Some(news.to().into()),
            Self::Write { write, .. } => Some(write.record.order),
            Self::Condemned { order, .. } => Some(*order),
            Self::Written { written, .. } => match written {
                Written::Done(revision) | Written::Conflict(Some((revision, _))) => Some(*revision),
                Written::Conflict(None) | Written::Refused | Written::Unknown => None,
            },
            Self::Ask { .. }
            | Self::Decided { .. }
            | Self::Waits { .. }
            | Self::Forget { .. }
            | Self::Begun { .. }
            | Self::Release { .. }
            | Self::Renew { .. }
            | Self::Prefixes { .. }
            | Self::Read { .. }
            | Self::Evidence { .. }
            | Self::Quarantined { .. }
            | Self::RetryAccount { .. }
            | Self::RetryAccountCopy { .. }
            | Self::Notice { .. }
            | Self::StreamBegan { .. }
            | Self::FindStream { .. }
            | Self::StreamFound { .. }
            | Self::FindOrigin { .. }
            | Self::OriginFound { .. } => None,
        }
    }

    /// The first minor version of the wire whose routers read the frame.
    #[must_use]
    pub fn min_minor_version(&self) -> u16 {
        match self {
            Self::RetryAccount { .. } | Self::RetryAccountCopy { .. } | Self::Notice { .. } => 1,
            Self::StreamBegan { .. } | Self::FindStream { .. } | Self::StreamFound { .. } => 2,
            Self::FindOrigin { .. } | Self::OriginFound { .. } => 4,
            Self::Evidence { evidence, .. } => match evidence {
                Evidence::Crashed { .. } | Evidence::Completed { .. } => 3,
                Evidence::Ended { .. } | Evidence::Served { .. } | Evidence::Found { .. } => 0,
            },
            Self::Ask { .. }
            | Self::Decided { .. }
            | Self::Waits { .. }
            | Self::Forget { .. }
            | Self::Begun { .. }
            | Self::Release { .. }
            | Self::Renew { .. }
            | Self::Prefixes { .. }
            | Self::Read { .. }
            | Self::Sync(_)
            | Self::Synced { .. }
            | Self::News(_)
            | Self::Relay { .. }
            | Self::Write { .. }
            | Self::Written { .. }
            | Self::Condemned { .. }
            | Self::Quarantined { .. } => 0,
        }
    }

    /// The frame's name in metrics.
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
            Self::RetryAccount { .. } => "frame-retry-account",
            Self::RetryAccountCopy { .. } => "frame-retry-account-copy",
            Self::Notice { .. } => "frame-notice",
            Self::StreamBegan { .. } => "frame-stream-began",
            Self::FindStream { .. } => "frame-find-stream",
            Self::StreamFound { .. } => "frame-stream-found",
            Self::FindOrigin { .. } => "frame-find-origin",
            Self::OriginFound { .. } => "frame-origin-found",
            Self::News(_) => "frame-news",
            Self::Relay { .. } => "frame-relay",
        }
    }
}

/// What a router knows of where a stream began.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Finding {
    /// The stream was reported when it began.
    Recorded(Origin),
    /// Of the versions that the sender knows, all streams of the service began at this one. The sender's copy of the store
    /// may be behind the receiver's.
    SingleVersion(Origin),
    /// Nothing.
    Unknown,
}

/// Where a stream began.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Origin {
    /// The software version of the upstream that sent the first event; `None` if it states none.
    pub version: Option<id::Version>,
}

/// A router's sync request: asks a peer for changes of the store and for the age of the peer's copy.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sync {
    /// The number of the request, returned in the answer.
    pub number: u64,
    /// The revision of the sender's copy, if it requests the changes since; 0 requests everything.
    pub after: Option<u64>,
    /// The number of live routers that the sender knows, if it requests the list of members.
    pub routers: Option<usize>,
}
