//! Frames on the streams between routers.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use stairvale_config::{Manifest, chunk::Digest};
use stairvale_types::{Class, Refusal, id, unit};

use crate::{UpstreamReport, Vm};

/// A message on a stream from one router to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The first frame of a stream, which identifies the sender.
    Hello {
        /// [`crate::VERSION`] of the sender.
        version: u16,
        /// The sending router.
        from: id::Router,
    },
    /// An entry requests a permit from a home.
    Ask(PermitRequest),
    /// An entry cancels a permit request that it no longer waits for.
    Forget {
        /// The upstream whose permit was requested.
        upstream: id::Upstream,
        /// The attempt whose request is cancelled.
        attempt: id::Attempt,
    },
    /// A home's answer to a permit request.
    Answer {
        /// The upstream whose permit was requested.
        upstream: id::Upstream,
        /// The attempt that requested it.
        attempt: id::Attempt,
        /// The home's decision.
        verdict: Verdict,
    },
    /// An entry returns permits to a home.
    Release {
        /// The upstream that the permits are for.
        upstream: id::Upstream,
        /// The attempts that ended, whose permits are released.
        attempts: Vec<id::Attempt>,
    },
    /// All permits that an entry holds from one home. The home extends them, and restores those that it has no record
    /// of.
    Renew {
        /// The permits of each upstream.
        held: Vec<HeldPermits>,
    },
    /// A home that has just taken over accounts, or has restarted its own, requests a [`Frame::Renew`] with the permits
    /// that the receiver holds from it.
    Recount,
    /// Notifies the home of a chat's first-choice upstream that the chat's prefix is cached on another upstream.
    Moved {
        /// The chat whose prefix moved.
        chat: id::Chat,
        /// The chat's first-choice upstream.
        first: id::Upstream,
        /// The upstream that has the prefix now.
        to: id::Upstream,
    },
    /// The load of a home's upstreams, or the sum of an availability zone, from which the mean load is computed.
    Load(Load),
    /// The load summed over a whole service, from which its homes compute the mean load.
    Mean {
        /// The service that the load belongs to.
        service: id::Service,
        /// Outstanding requests over all engines that accept work.
        outstanding: u64,
        /// The number of engines that accept work.
        engines: u32,
        /// The smallest number of requests that wait for any of those engines.
        waiting: u32,
        /// The engines with the least load, in ascending order of load.
        emptiest: Vec<(id::Upstream, u32)>,
    },
    /// An entry reports that it could not reach an upstream.
    Trouble {
        /// The unreachable upstream.
        upstream: id::Upstream,
    },
    /// The manifest of the configuration in force at the sender; also the answer to [`Frame::FetchManifest`].
    Manifest(Box<Manifest>),
    /// Requests the manifest in force at the receiver.
    FetchManifest,
    /// Requests chunks of a document by their digests.
    FetchChunks(Vec<Digest>),
    /// The answer to [`Frame::FetchChunks`]; chunks that the sender doesn't have are left out.
    Chunks(Vec<String>),
    /// Requests the receiver's copy of the platform's list of VMs.
    FetchVms,
    /// The platform's list of VMs as of a revision.
    Vms {
        /// The platform's revision of the list.
        revision: u64,
        /// The VMs on the list.
        vms: Vec<Vm>,
    },
    /// Requests the receiver's latest status reports of all upstreams.
    FetchWords,
    /// The sender's latest status reports of all upstreams, for a router that has just joined or was partitioned from
    /// the fleet.
    Words(Vec<UpstreamReport>),
    /// An entry requests a claim on an idempotency key from the owner of the key's shard.
    Claim {
        /// The idempotency key.
        key: id::Key,
        /// The attempt that runs if the claim is granted.
        attempt: id::Attempt,
    },
    /// The shard owner's answer to a claim request.
    Claimed {
        /// The idempotency key.
        key: id::Key,
        /// The attempt that requested the claim.
        attempt: id::Attempt,
        /// The state of the claim according to the shard's record.
        verdict: ClaimVerdict,
    },
    /// An entry reports the outcome of a claimed request to the shard's owner.
    Settle {
        /// The idempotency key.
        key: id::Key,
        /// The attempt that held the claim.
        attempt: id::Attempt,
        /// The answer, or `None` if the claim is released because no byte of the request was sent.
        stored: Option<StoredAnswer>,
    },
    /// The shard's owner confirms that the outcome of a claimed request is stored.
    Settled {
        /// The idempotency key.
        key: id::Key,
        /// The attempt that reported the outcome.
        attempt: id::Attempt,
    },
    /// An engine's home notifies its zone's order holder, the router that issues the zone's model orders, that the
    /// engine has loaded another model than the configuration names.
    Loaded {
        /// The engine that has the wrong model.
        upstream: id::Upstream,
        /// The model that the engine has loaded.
        model: String,
        /// The loaded model's version.
        version: String,
    },
    /// The sender's counts of requests from customers with a rate limit, to the owner of those customers' accounts.
    Usage(Vec<Usage>),
    /// The share of a customer's requests that the receiver may admit.
    Share {
        /// The customer whose rate is limited.
        customer: id::Customer,
        /// The admitted share, in millionths.
        millionths: u32,
    },
    /// The shard's owner has received the outcome of a claimed request, though it may not be stored yet. From now on it
    /// answers repeats of the key with that outcome.
    Noted {
        /// The attempt that reported the outcome.
        attempt: id::Attempt,
    },
}

impl Frame {
    /// The frame's kind as the value of a metric label; related frames share one.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Hello { .. } => "hello",
            Self::Ask(_) | Self::Forget { .. } => "ask",
            Self::Answer { .. } => "answer",
            Self::Release { .. } => "release",
            Self::Renew { .. } | Self::Recount => "renew",
            Self::Moved { .. } => "moved",
            Self::Load(_) => "load",
            Self::Mean { .. } => "mean",
            Self::Trouble { .. } => "trouble",
            Self::Manifest(_) | Self::FetchManifest | Self::FetchChunks(_) | Self::Chunks(_) => "configuration",
            Self::FetchVms | Self::Vms { .. } | Self::FetchWords | Self::Words(_) => "vms",
            Self::Loaded { .. } => "order",
            Self::Usage(_) | Self::Share { .. } => "limit",
            Self::Claim { .. }
            | Self::Claimed { .. }
            | Self::Settle { .. }
            | Self::Settled { .. }
            | Self::Noted { .. } => "claim",
        }
    }
}

/// The requests of one customer at one router since the router's previous report.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// The customer that sent the requests.
    pub customer: id::Customer,
    /// The number of requests received, including refused ones.
    pub asked: u32,
    /// The number of requests admitted.
    pub passed: u32,
    /// The share of requests that the router currently admits, in millionths.
    pub millionths: u32,
}

/// The properties of a request that a home's decision depends on.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Profile {
    /// The requested service.
    pub service: id::Service,
    /// The customer that sent the request, for fair sharing between customers.
    pub customer: id::Customer,
    /// The customer's weight in fair sharing.
    pub weight: u32,
    /// The request's priority class.
    pub class: Class,
    /// The chat that the request belongs to, if the caller named one.
    pub chat: Option<id::Chat>,
    /// Whether the prompt contains earlier turns of the chat, whose prefix an engine may have cached.
    pub returning: bool,
}

/// An entry's request for a permit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The attempt that requests the permit.
    pub attempt: id::Attempt,
    /// The upstream that the permit is for.
    pub upstream: id::Upstream,
    /// The properties of the request.
    pub profile: Profile,
    /// Whether the upstream is the chat's first choice. Its home records the chats whose prefix is cached elsewhere.
    pub first: bool,
    /// How long the permit request may wait in the home's queue; with zero it is answered at once.
    pub patience: Duration,
    /// The time left until the request's deadline.
    pub deadline: Duration,
}

/// A home's decision on a permit request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// The permit is granted.
    Granted {
        /// The upstream's outstanding requests, including this one.
        outstanding: u32,
        /// Whether the customer holds more than its share of the upstream, so that the engine should serve other
        /// customers first.
        over_share: bool,
    },
    /// Another upstream has the chat's prefix in its cache; the entry should request a permit for that one.
    Elsewhere {
        /// The upstream that has the prefix.
        upstream: id::Upstream,
    },
    /// The upstream has reached its load bound.
    Overflow {
        /// Upstreams below their bound, in ascending order of load.
        emptiest: Vec<id::Upstream>,
    },
    /// The request is refused for good; the entry tries no other upstream.
    Refused(Refusal),
    /// The sender isn't this upstream's home in its own view of the fleet.
    NotHome {
        /// The upstream's home in the sender's view, if it has one.
        home: Option<id::Router>,
    },
    /// The upstream accepts no new work.
    Closed,
}

/// The permits that an entry holds for one upstream.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct HeldPermits {
    /// The upstream that the permits are for.
    pub upstream: id::Upstream,
    /// The attempts that hold a permit.
    pub attempts: Vec<id::Attempt>,
}

/// The load of a service, summed over the upstreams of one home or of one availability zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The service that the load belongs to.
    pub service: id::Service,
    /// The availability zone that the sum covers, or `None` if it covers the upstreams whose home is the sender.
    pub zone: Option<id::Zone>,
    /// The number of outstanding requests.
    pub outstanding: u64,
    /// The number of engines that accept work.
    pub engines: u32,
    /// The smallest number of requests that wait for any of those engines.
    pub waiting: u32,
    /// The engines with the least load, in ascending order of load.
    pub emptiest: Vec<(id::Upstream, u32)>,
}

/// The state of a key's claim, as answered to an attempt that requested it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The requesting attempt holds the claim and may run, once.
    Yours {
        /// The fencing token. It increases with every write of the shard's record; upstreams that check it refuse a
        /// lower one.
        fence: u64,
    },
    /// Another attempt holds the claim, and its outcome hasn't been reported yet.
    Running,
    /// A request with this key has run; this is its answer.
    Ran(StoredAnswer),
    /// The shard's record can't be read or written; nothing has run under the requesting attempt.
    Unavailable {
        /// The delay after which a retry may succeed.
        retry_after: Duration,
    },
}

/// The stored answer to a request that ran, which repeats of its key receive.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The fingerprint of the request that was answered.
    pub print: id::Print,
    /// The answer's HTTP status code.
    pub status: u16,
    /// The answer's `content-type` header.
    pub content_type: String,
    /// The answer's body, or `None` if it was too large to store.
    pub body: Option<String>,
}

/// The time that engines spend on a prefix of `tokens` tokens: on computing it again, or on transferring it from
/// another engine, depending on the rate that is given.
#[must_use]
pub fn token_cost(tokens: unit::Tokens, us_per_token: u32) -> Duration {
    Duration::from_micros(u64::from(tokens.0) * u64::from(us_per_token))
}
