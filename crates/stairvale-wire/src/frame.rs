//! Frames on the streams between routers.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use stairvale_config::{Manifest, chunk::Digest};
use stairvale_types::{Class, Refusal, id, unit};

use crate::{Vm, Word};

/// What one router tells another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The first frame of a stream.
    Hello {
        /// [`crate::VERSION`] of the sender.
        version: u16,
        /// The sender.
        from: id::Router,
    },
    /// An entry asks a home for a permit.
    Ask(Ask),
    /// The entry no longer waits.
    Forget {
        /// The upstream that was asked for.
        upstream: id::Upstream,
        /// The attempt that waited.
        attempt: id::Attempt,
    },
    /// The home's answer to an ask.
    Answer {
        /// The upstream that was asked for.
        upstream: id::Upstream,
        /// The attempt that asked.
        attempt: id::Attempt,
        /// What the home decided.
        verdict: Verdict,
    },
    /// Permits given back.
    Release {
        /// The upstream.
        upstream: id::Upstream,
        /// The attempts that ended.
        attempts: Vec<id::Attempt>,
    },
    /// All that an entry holds of one home, so that the home keeps it or learns it anew.
    Renew {
        /// A list an upstream.
        held: Vec<Held>,
    },
    /// A home that just took accounts on, or started them anew, asks what the receiver holds there.
    Recount,
    /// The first choice's home learns where a chat's prefix went.
    Moved {
        /// The chat.
        chat: id::Chat,
        /// The first choice.
        first: id::Upstream,
        /// Where the prefix is now.
        to: id::Upstream,
    },
    /// A home's load, or an availability zone's sum, for the mean.
    Load(Load),
    /// The mean over a service, back to the homes.
    Mean {
        /// The service.
        service: id::Service,
        /// Outstanding requests over all engines that may take work.
        outstanding: u64,
        /// Those engines.
        engines: u32,
        /// The fewest requests that wait for any of them.
        waiting: u32,
        /// The engines with the least load, least first.
        emptiest: Vec<(id::Upstream, u32)>,
    },
    /// An entry could not reach an upstream.
    Trouble {
        /// Which one.
        upstream: id::Upstream,
    },
    /// Which configuration the sender has; also the answer to [`Frame::FetchManifest`].
    Manifest(Box<Manifest>),
    /// Asks for the manifest in force.
    FetchManifest,
    /// Asks for chunks by name.
    FetchChunks(Vec<Digest>),
    /// Chunks that were asked for; those the sender lacks are left out.
    Chunks(Vec<String>),
    /// Asks for the list of VMs.
    FetchVms,
    /// The platform's list of VMs as of a revision.
    Vms {
        /// The platform's revision.
        revision: u64,
        /// The list.
        vms: Vec<Vm>,
    },
    /// Asks for all that the receiver knows of upstreams.
    FetchWords,
    /// All that the sender knows of upstreams, for a router that just joined or was cut off.
    Words(Vec<Word>),
    /// An entry asks the shard's keeper to claim a key.
    Claim {
        /// The key.
        key: id::Key,
        /// The attempt that will run if the claim stands.
        attempt: id::Attempt,
    },
    /// The keeper's answer.
    Claimed {
        /// The key.
        key: id::Key,
        /// The attempt that asked.
        attempt: id::Attempt,
        /// What the record says.
        verdict: ClaimVerdict,
    },
    /// What became of a claimed request.
    Settle {
        /// The key.
        key: id::Key,
        /// The attempt that held the claim.
        attempt: id::Attempt,
        /// The answer, or `None` if it was given back without a byte sent.
        stored: Option<Stored>,
    },
    /// The keeper has written down what became of a claimed request.
    Settled {
        /// The key.
        key: id::Key,
        /// The attempt.
        attempt: id::Attempt,
    },
    /// An engine's home tells its zone's order holder that the engine has another model than the configuration says.
    Loaded {
        /// The engine.
        upstream: id::Upstream,
        /// The model that it has.
        model: String,
        /// The model's version.
        version: String,
    },
    /// What was asked of the sender by customers that have a rate, to the keeper of their accounts.
    Usage(Vec<Usage>),
    /// The share of a customer's asks that the receiver may let pass.
    Share {
        /// The customer.
        customer: id::Customer,
        /// The share in millionths.
        millionths: u32,
    },
    /// The keeper knows what became of a claimed request: whoever asks it from now on is told.
    Noted {
        /// The attempt.
        attempt: id::Attempt,
    },
}

impl Frame {
    /// A word for metrics.
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

/// What one customer asked of one router since it was told last.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// The customer.
    pub customer: id::Customer,
    /// Requests that came in, refused ones included.
    pub asked: u32,
    /// Those that passed.
    pub passed: u32,
    /// The share that the router goes by, in millionths.
    pub millionths: u32,
}

/// What a home needs to know of a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Profile {
    /// The service.
    pub service: id::Service,
    /// Whose request it is, for fair shares.
    pub customer: id::Customer,
    /// The customer's weight.
    pub weight: u32,
    /// How urgent it is.
    pub class: Class,
    /// The chat, if the caller named one.
    pub chat: Option<id::Chat>,
    /// Whether the chat's earlier turns are in the prompt.
    pub returning: bool,
}

/// An entry's wish for a permit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// The attempt.
    pub attempt: id::Attempt,
    /// The upstream that is asked for.
    pub upstream: id::Upstream,
    /// What the request is.
    pub profile: Profile,
    /// Whether this upstream is the chat's first choice, whose home knows exceptions.
    pub first: bool,
    /// How long the ask may wait in the queue; zero answers at once.
    pub patience: Duration,
    /// What is left until the deadline.
    pub deadline: Duration,
}

/// What a home decides about an ask.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// The upstream may be used.
    Granted {
        /// The upstream's outstanding requests with this one.
        outstanding: u32,
        /// Whether the customer holds more than its share there, so that the engine should serve others first.
        over_share: bool,
    },
    /// The chat's prefix sits elsewhere: ask there.
    Elsewhere {
        /// Where.
        upstream: id::Upstream,
    },
    /// The upstream is at its bound.
    Overflow {
        /// Where there is room, least load first.
        emptiest: Vec<id::Upstream>,
    },
    /// A final no.
    Refused(Refusal),
    /// Another router is this upstream's home in the sender's view.
    NotHome {
        /// Who is.
        home: Option<id::Router>,
    },
    /// The upstream takes no new work.
    Closed,
}

/// Permits of one upstream.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Held {
    /// The upstream.
    pub upstream: id::Upstream,
    /// The attempts that run there.
    pub attempts: Vec<id::Attempt>,
}

/// A sum of loads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The service.
    pub service: id::Service,
    /// The availability zone, if this is a zone's sum; otherwise the sender's own homes.
    pub zone: Option<id::Zone>,
    /// Outstanding requests.
    pub outstanding: u64,
    /// Engines that may take work.
    pub engines: u32,
    /// The fewest requests that wait for any of them.
    pub waiting: u32,
    /// The engines with the least load, least first.
    pub emptiest: Vec<(id::Upstream, u32)>,
}

/// What the record of a key says.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The asking attempt holds the claim and may run, once.
    Yours {
        /// Rises with every claim of the shard; upstreams that check it refuse an older one.
        fence: u64,
    },
    /// Another attempt holds it; whether it ran isn't known yet.
    Running,
    /// It ran; this is the answer.
    Ran(Stored),
    /// The record can't be read or written; nothing ran under this attempt.
    Unavailable {
        /// When asking again is worth it.
        retry_after: Duration,
    },
}

/// The answer to a request that ran, as far as it is kept.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Stored {
    /// The request that it answers.
    pub print: id::Print,
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: String,
    /// The body, or `None` if it was too large to keep.
    pub body: Option<String>,
}

/// What rebuilding a prefix costs, and moving it instead.
#[must_use]
pub fn rebuild(tokens: unit::Tokens, us_per_token: u32) -> Duration {
    Duration::from_micros(u64::from(tokens.0) * u64::from(us_per_token))
}
