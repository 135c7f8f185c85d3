//! Inputs and outputs of a node.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use stairvale_admission::limit::Fraction;
use stairvale_config::{Document, Generation, Manifest, chunk::Digest};
use stairvale_permit::request::Grant;
use stairvale_types::{Refusal, id, unit};
use stairvale_wire::{ClaimVerdict, Frame, Packet, Profile, StoredAnswer, Vm, packet::UpstreamState};

use crate::{Event, orders};

/// A caller's request that needs an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Identifier of this attempt at the request.
    pub attempt: id::Attempt,
    /// Service, customer, class and chat of the request.
    pub profile: Profile,
    /// Size of the prompt in tokens.
    pub prompt: unit::Tokens,
    /// Time left until the deadline.
    pub deadline: Duration,
    /// Whether this is a retry after a failure, which spends from the service's retry budget.
    pub retry: bool,
    /// Upstreams that failed this request and are excluded from this attempt.
    pub avoid: Vec<id::Upstream>,
}

/// An upstream's answer to a probe.
#[derive(Clone, Debug, PartialEq)]
pub struct ProbeAnswer {
    /// The upstream's incarnation, by its own count.
    pub boot: u64,
    /// The upstream's own count of state changes in this incarnation.
    pub change: u64,
    /// Whether the upstream serves or drains, by its own report.
    pub state: UpstreamState,
    /// Number of requests outstanding at the upstream.
    pub load: u32,
    /// The model and version that the upstream has loaded, if it is an engine.
    pub model: Option<orders::Loaded>,
}

/// The store's answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The value of the key and its revision; `None` if the key doesn't exist.
    Value(Option<(String, u64)>),
    /// The write took effect and gave the key this revision.
    Written(u64),
    /// The write had no effect, since the key had another revision than expected.
    Conflict,
    /// No answer arrived; a write may or may not have taken effect.
    Lost,
}

/// Purpose of a call to the store, by which its answer is dispatched.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Purpose {
    /// Reads the manifest in force.
    Manifest,
    /// Reads a chunk of a configuration document.
    Chunk(Digest),
    /// Reads or writes the record of a claim shard.
    Claims(u32),
    /// Reads or writes a segment of a claim shard; the text is the segment's id.
    Segment(u32, String),
    /// Acquires or renews the lease for giving orders to an availability zone's engines.
    Orders,
    /// Deletes chunks that the configuration in force doesn't contain.
    Sweep,
}

/// A call to the platform's store.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Purpose of the call.
    pub purpose: Purpose,
    /// Key that the call reads or writes.
    pub key: String,
    /// Operation to perform on the key.
    pub action: Action,
}

/// Operation of a call to the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Reads the key.
    Read,
    /// Waits until the key's revision differs from a given one or the store's time limit has passed.
    Watch {
        /// The revision that the caller has already.
        revision: u64,
    },
    /// Creates a key that expires after some time.
    Create {
        /// The value to write.
        value: String,
        /// Minimum time for which the key is kept.
        keep: Duration,
    },
    /// Deletes the key if it still has a given revision.
    Delete {
        /// The expected revision.
        revision: u64,
    },
    /// Writes the key if it still has a given revision (compare-and-swap). Revision zero creates the key.
    Write {
        /// The value to write.
        value: String,
        /// The expected revision.
        revision: u64,
    },
}

/// An event that a node handles.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time passed. The caller passes this in every [`crate::node::TICK`].
    Tick,
    /// A frame arrived from a peer.
    Frame {
        /// The peer that sent the frame.
        from: id::Router,
        /// The received frame.
        frame: Frame,
    },
    /// A datagram of the membership protocol arrived.
    Datagram {
        /// Address of the sender.
        from: SocketAddr,
        /// The received packet.
        packet: Packet,
    },
    /// The stream to a peer could not be opened, or it broke.
    PeerUnreachable(id::Router),
    /// A caller's request needs an upstream.
    Request(Request),
    /// An upstream refused a request of this router and requested that this router back off.
    BackOffRequested {
        /// The upstream that refused the request.
        upstream: id::Upstream,
        /// Requested back-off time.
        length: Duration,
    },
    /// An attempt ended or was abandoned.
    AttemptEnded {
        /// The attempt that ended.
        attempt: id::Attempt,
        /// Whether the upstream answered properly; `None` if no request was sent to it.
        success: Option<bool>,
        /// Whether the connection to the upstream failed, which counts as evidence against the upstream.
        unreachable: bool,
    },
    /// A request that must not be executed twice needs a claim on its idempotency key.
    Claim {
        /// The idempotency key.
        key: id::Key,
        /// The attempt that will run if the claim is granted.
        attempt: id::Attempt,
    },
    /// This router received a request of a customer that has a rate limit.
    RateLimitChecked {
        /// The customer that sent the request.
        customer: id::Customer,
        /// Whether the request passed the rate limit.
        passed: bool,
    },
    /// A claimed request completed or was not executed.
    Settle {
        /// The idempotency key.
        key: id::Key,
        /// The attempt that held the claim.
        attempt: id::Attempt,
        /// The answer to record; `None` if no byte of the request was sent, which gives the claim back.
        stored: Option<StoredAnswer>,
    },
    /// A probe of an upstream was answered or timed out.
    Probed {
        /// The probed upstream.
        upstream: id::Upstream,
        /// The upstream's answer; `None` if it didn't answer.
        report: Option<ProbeAnswer>,
    },
    /// The store answered a call.
    Store {
        /// Purpose of the call.
        purpose: Purpose,
        /// The store's answer.
        answer: Answer,
    },
    /// The platform's list of VMs with its revision; `None` if fetching it failed.
    Vms(Option<(u64, Vec<Vm>)>),
    /// A configuration submitted at this router was accepted.
    Accepted {
        /// The manifest that the submission wrote to the store.
        manifest: Box<Manifest>,
        /// The chunks of the submitted document.
        chunks: Vec<String>,
    },
    /// An engine answered an order to load a model.
    OrderAnswered {
        /// The engine that answered.
        upstream: id::Upstream,
        /// Whether the engine accepted the order; false also if it did not answer.
        taken: bool,
    },
    /// This router starts a planned stop.
    Leave,
}

/// An action that a node requests from the router process.
#[derive(Clone, Debug)]
pub enum Output {
    /// Sends a frame to a peer.
    Frame {
        /// The peer that receives the frame.
        to: id::Router,
        /// Address of the peer.
        address: SocketAddr,
        /// The frame to send.
        frame: Frame,
    },
    /// Sends a datagram of the membership protocol.
    Datagram {
        /// Address of the receiver.
        to: SocketAddr,
        /// The packet to send.
        packet: Packet,
    },
    /// An attempt received a permit to use an upstream.
    Granted(Grant),
    /// An attempt is refused.
    Refused {
        /// The refused attempt.
        attempt: id::Attempt,
        /// Reason of the refusal and time to wait before a retry.
        refusal: Refusal,
    },
    /// A claim request was answered.
    Claimed {
        /// The attempt that requested the claim.
        attempt: id::Attempt,
        /// The answer of the shard's owner.
        verdict: ClaimVerdict,
    },
    /// The owner of the claim's shard has recorded the outcome of an attempt, so the answer may be sent to the caller.
    /// May be emitted more than once for an attempt.
    OutcomeRecorded {
        /// The attempt whose outcome is recorded.
        attempt: id::Attempt,
    },
    /// Sets the share of a customer's requests that may pass the rate limit at this router.
    Share {
        /// The customer whose rate is limited.
        customer: id::Customer,
        /// The share of the customer's requests that may pass.
        fraction: Fraction,
    },
    /// Probes an upstream.
    Probe {
        /// The upstream to probe.
        upstream: id::Upstream,
        /// Address of the upstream.
        address: SocketAddr,
    },
    /// Calls the platform's store.
    Store(Call),
    /// Fetches the list of VMs from the platform.
    FetchVms,
    /// A configuration came into force at this router.
    InForce {
        /// Generation of the configuration.
        generation: Generation,
        /// Document of the configuration.
        document: Arc<Document>,
    },
    /// The upstreams or the routers changed, and the traffic threads need the new view of the fleet.
    FleetChanged,
    /// Sends an order to an engine.
    Order(orders::Order),
    /// Writes an event to the audit trail.
    Audit(Event),
}
