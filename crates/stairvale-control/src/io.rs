//! What goes into a node and what comes out.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use stairvale_admission::limit::Fraction;
use stairvale_config::{Document, Generation, Manifest, chunk::Digest};
use stairvale_permit::request::Grant;
use stairvale_types::{Refusal, id, unit};
use stairvale_wire::{ClaimVerdict, Frame, Packet, Profile, Stored, Vm, packet::State};

use crate::{Event, orders};

/// A caller's request that wants an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The attempt.
    pub attempt: id::Attempt,
    /// What it is.
    pub profile: Profile,
    /// The prompt's size.
    pub prompt: unit::Tokens,
    /// What is left until the deadline.
    pub deadline: Duration,
    /// Whether this is another try after a failure; it needs the retry budget.
    pub retry: bool,
    /// Upstreams that failed this request.
    pub avoid: Vec<id::Upstream>,
}

/// What an upstream answered to a probe.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Its life, by its own count.
    pub boot: u64,
    /// Its own count of changes in this life.
    pub change: u64,
    /// What it says it does.
    pub state: State,
    /// Requests outstanding there.
    pub load: u32,
    /// The model it has loaded, with the version, if it is an engine.
    pub model: Option<orders::Loaded>,
}

/// What the store answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// A value and its revision, or that there is none.
    Value(Option<(String, u64)>),
    /// The write took effect.
    Written(u64),
    /// The revision was another.
    Conflict,
    /// No answer; a write may or may not have taken effect.
    Lost,
}

/// What a call to the store is for.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Purpose {
    /// The manifest in force.
    Manifest,
    /// A chunk of a document.
    Chunk(Digest),
    /// The record of a claim shard.
    Claims(u32),
    /// A segment of a claim shard.
    Segment(u32, String),
    /// The order holder's record of an availability zone.
    Orders,
    /// Chunks that no configuration in force has.
    Sweep,
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// What it is for.
    pub purpose: Purpose,
    /// The key.
    pub key: String,
    /// Read, or write if the revision is still this.
    pub action: Action,
}

/// What a call does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read.
    Read,
    /// Wait until the revision is another, or some time passed.
    Watch {
        /// The revision that is known.
        revision: u64,
    },
    /// Create a key that lapses after some time.
    Create {
        /// The value.
        value: String,
        /// How long it is kept at least.
        keep: Duration,
    },
    /// Delete a key if its revision is still this.
    Delete {
        /// The revision.
        revision: u64,
    },
    /// Compare and swap; revision zero creates.
    Write {
        /// The new value.
        value: String,
        /// The revision that it replaces.
        revision: u64,
    },
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time passed; comes every [`crate::node::TICK`].
    Tick,
    /// A peer sent a frame.
    Frame {
        /// The peer.
        from: id::Router,
        /// The frame.
        frame: Frame,
    },
    /// A datagram came in.
    Datagram {
        /// Where from.
        from: SocketAddr,
        /// What it says.
        packet: Packet,
    },
    /// The stream to a peer couldn't be opened or broke.
    PeerUnreachable(id::Router),
    /// A request wants an upstream.
    Request(Request),
    /// An upstream turned a request of this router away and wants rest.
    Rests {
        /// The upstream.
        upstream: id::Upstream,
        /// For how long.
        length: Duration,
    },
    /// An attempt ended or is given up.
    End {
        /// The attempt.
        attempt: id::Attempt,
        /// Whether the upstream answered as it should; `None` if nothing was tried.
        success: Option<bool>,
        /// Whether the connection failed, which says something of the upstream.
        unreachable: bool,
    },
    /// A request that must not be repeated wants its claim.
    Claim {
        /// The key.
        key: id::Key,
        /// The attempt that will run.
        attempt: id::Attempt,
    },
    /// A request of a customer that has a rate came in here.
    Asked {
        /// The customer.
        customer: id::Customer,
        /// Whether it was let pass.
        passed: bool,
    },
    /// What became of a claimed request.
    Settle {
        /// The key.
        key: id::Key,
        /// The attempt.
        attempt: id::Attempt,
        /// The answer, or `None` if no byte was sent.
        stored: Option<Stored>,
    },
    /// An upstream was probed; `None` if it didn't answer.
    Probed {
        /// The upstream.
        upstream: id::Upstream,
        /// What it said.
        report: Option<Report>,
    },
    /// The store answered.
    Store {
        /// What the call was for.
        purpose: Purpose,
        /// What it answered.
        answer: Answer,
    },
    /// The platform's list of VMs, or that it couldn't be had.
    Vms(Option<(u64, Vec<Vm>)>),
    /// This router accepted a configuration; its chunks come along.
    Accepted {
        /// The manifest that was swapped in.
        manifest: Box<Manifest>,
        /// The document's chunks.
        chunks: Vec<String>,
    },
    /// An engine answered an order.
    Ordered {
        /// The upstream.
        upstream: id::Upstream,
        /// Whether it took the order.
        taken: bool,
    },
    /// This router stops as planned.
    Leave,
}

/// Something to do.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a frame to a peer.
    Frame {
        /// The peer.
        to: id::Router,
        /// Where it is.
        address: SocketAddr,
        /// The frame.
        frame: Frame,
    },
    /// Send a datagram.
    Datagram {
        /// Where to.
        to: SocketAddr,
        /// What it says.
        packet: Packet,
    },
    /// An attempt may use an upstream.
    Granted(Grant),
    /// An attempt is refused.
    Refused {
        /// The attempt.
        attempt: id::Attempt,
        /// Why.
        refusal: Refusal,
    },
    /// What the record says of a claim.
    Claimed {
        /// The attempt that asked.
        attempt: id::Attempt,
        /// What it says.
        verdict: ClaimVerdict,
    },
    /// The claim's keeper knows what became of an attempt, so its answer may be handed out. May come more than once.
    Noted {
        /// The attempt.
        attempt: id::Attempt,
    },
    /// The share of a customer's asks that may pass here.
    Share {
        /// The customer.
        customer: id::Customer,
        /// The share.
        fraction: Fraction,
    },
    /// Probe an upstream.
    Probe {
        /// The upstream.
        upstream: id::Upstream,
        /// Where it is.
        address: SocketAddr,
    },
    /// Call the store.
    Store(Call),
    /// Ask the platform for its list of VMs.
    FetchVms,
    /// A configuration is in force here.
    InForce {
        /// Its generation.
        generation: Generation,
        /// The document.
        document: Arc<Document>,
    },
    /// Upstreams' addresses or routers changed: publish them to the traffic threads.
    FleetChanged,
    /// Give an engine an order.
    Order(orders::Order),
    /// Something to keep in the audit trail.
    Audit(Event),
}
