//! The actions that the core returns to be carried out.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use stairvale_dispatch::{Verdict, shares::Surplus, suspects::Cause};
use stairvale_rollout::{Event, Policy, Record, Write};
use stairvale_table::Table;
use stairvale_types::id;
use stairvale_wire::Packet;

use super::writing::ProxyReport;
use crate::{
    frame::{Finding, Frame},
    origins::Call,
};

/// An action for the caller of the core.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a frame to a peer.
    Frame {
        /// The receiving peer.
        to: id::Router,
        /// The peer's address.
        address: SocketAddr,
        /// The frame to send.
        frame: Box<Frame>,
    },
    /// Send one frame to several peers.
    Frames {
        /// The receiving peers, with their addresses.
        to: Vec<(id::Router, SocketAddr)>,
        /// The frame to send.
        frame: Box<Frame>,
    },
    /// Open a stream to a peer, and pass the peer's minor version to [`Core::opened`](super::Core::opened).
    Connect {
        /// The peer.
        to: id::Router,
        /// The peer's address.
        address: SocketAddr,
    },
    /// Report that a peer returned the retries that earlier processes of this router have spent.
    RetriesRestored {
        /// The peer that kept the account.
        from: id::Router,
        /// How far back the account is complete now.
        covered: Duration,
    },
    /// Send a datagram of the membership protocol.
    Datagram {
        /// The address to send to.
        to: SocketAddr,
        /// The content of the datagram.
        packet: Packet,
    },
    /// Pass a home's reply to the request that waits for it.
    Reply {
        /// The attempt that the reply is for.
        attempt: id::Attempt,
        /// The home's reply.
        reply: Reply,
    },
    /// Query an engine for the prompt prefixes that it holds.
    Inspect {
        /// The engine's service.
        service: id::Service,
        /// The engine to query.
        upstream: id::Upstream,
        /// The engine's address.
        address: SocketAddr,
    },
    /// Report to operators that an upstream was replaced by a new incarnation under the same name.
    UpstreamReplaced(id::Upstream),
    /// End a request whose upstream was replaced by a new incarnation under the same name.
    EndRequest(id::Attempt),
    /// Put another configuration in force.
    Configured(Arc<Table>),
    /// Report that a zone was evacuated or is used again.
    Evacuated {
        /// The zone concerned.
        zone: id::Zone,
        /// Whether the zone is evacuated: its upstreams receive no new requests.
        evacuated: bool,
        /// The number of upstreams in the zone.
        upstreams: usize,
    },
    /// Write this change to the store, and pass the result to [`Core::written`](super::Core::written).
    Write(Write),
    /// Write this change to the store for a peer, and pass the result to
    /// [`Core::written_for`](super::Core::written_for).
    WriteFor {
        /// The peer that requested the write.
        peer: id::Router,
        /// The number of the peer's request.
        number: u64,
        /// The change to write.
        write: Write,
    },
    /// Report to operators which peer writes to the store for this router, whose own writes fail, or why none does.
    ProxyReport(ProxyReport),
    /// Count a write that this router tries itself although its own writes fail, since no peer can make it.
    WriteWithoutProxy,
    /// Report that a peer was found to support epochs of the store, or not to.
    EpochSupport {
        /// The peer.
        peer: id::Router,
        /// Whether the peer supports epochs.
        supported: bool,
    },
    /// Report that a roll-out reached another stage according to the store.
    Stage {
        /// The service that is rolled out.
        service: id::Service,
        /// What each version of the service may be sent now.
        policy: Policy,
        /// The roll-out's record in the store, if a controller has written one.
        record: Option<Box<Record>>,
    },
    /// Report to operators what the roll-out controller at this router found or did.
    ReportEvent(Box<Event>),
    /// Report that a customer started or stopped wanting more than its share of a service's capacity while requests
    /// wait.
    Surplus {
        /// The service concerned.
        service: id::Service,
        /// The customer, with its share and its running requests.
        surplus: Surplus,
    },
    /// Report to operators that a request or a part of prompts makes upstreams crash, and write its quarantine to the
    /// store.
    Quarantined {
        /// The service concerned.
        service: id::Service,
        /// What makes upstreams crash.
        cause: Cause,
        /// How long it is kept from upstreams.
        length: Duration,
    },
    /// Report to operators that a quarantine was lifted, since a request of that kind was served, and write that to the
    /// store.
    QuarantineLifted {
        /// The service concerned.
        service: id::Service,
        /// The fingerprint of the request or of the part.
        fingerprint: id::Fingerprint,
    },
    /// Report to operators that an upstream announced in an answer that it is leaving.
    Leaves(id::Upstream),
    /// Report to operators that an upstream asked this router to send it nothing for a while.
    Rests {
        /// The upstream that asked for the rest.
        upstream: id::Upstream,
        /// The length of the rest.
        length: Duration,
    },
    /// Report to operators that an upstream asked for a rest whose length can't be parsed.
    Unreadable(id::Upstream),
    /// Make a call of the store about streams, and pass the result to
    /// [`Core::stream_call_ended`](super::Core::stream_call_ended).
    StreamCall(Call),
    /// Close the stream to a peer that was removed from the membership.
    Lost(id::Router),
}

/// A peer's reply to an [`Ask`](stairvale_dispatch::Ask) or to a [`Frame::FindOrigin`].
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The request waits in the home's queue.
    Waits,
    /// The home's decision; `None` if it can't decide.
    Decided(Option<Verdict>),
    /// What a peer knows of the stream that it was asked for.
    StreamFound(Finding),
}
