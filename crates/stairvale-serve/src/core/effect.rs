//! What a router decides to do.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use stairvale_dispatch::{Verdict, shares::Surplus};
use stairvale_rollout::{Event, Policy, Record, Write};
use stairvale_table::Table;
use stairvale_types::id;
use stairvale_wire::Packet;

use crate::frame::Frame;

/// Something to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a frame.
    Frame {
        /// The peer.
        to: id::Router,
        /// Where it is.
        address: SocketAddr,
        /// The frame.
        frame: Box<Frame>,
    },
    /// Send one frame to many peers.
    Frames {
        /// The peers, and where they are.
        to: Vec<(id::Router, SocketAddr)>,
        /// The frame.
        frame: Box<Frame>,
    },
    /// Send a datagram.
    Datagram {
        /// Where to.
        to: SocketAddr,
        /// What it says.
        packet: Packet,
    },
    /// Tell a request what its home said.
    Reply {
        /// The attempt.
        attempt: id::Attempt,
        /// What was said.
        reply: Reply,
    },
    /// Ask an engine what it holds of prompts.
    Inspect {
        /// Its service.
        service: id::Service,
        /// The engine.
        upstream: id::Upstream,
        /// Where it is.
        address: SocketAddr,
    },
    /// A life of an upstream has begun under a name that stood for another one: tell operators.
    Begun(id::Upstream),
    /// The life of the upstream that runs this request is over: another one of the same name has begun.
    Over(id::Attempt),
    /// Another configuration is in force.
    Configured(Arc<Table>),
    /// Nothing new goes to the upstreams of a zone from now on, or they are used again.
    Evacuated {
        /// The zone.
        zone: id::Zone,
        /// Whether it is evacuated.
        evacuated: bool,
        /// How many upstreams are there.
        upstreams: usize,
    },
    /// Write this to the store, and tell [`Core::written`](super::Core::written) what became of it.
    Write(Write),
    /// Write this for a peer, and tell [`Core::written_for`](super::Core::written_for) what became of it.
    WriteFor {
        /// The peer.
        peer: id::Router,
        /// Its number for the question.
        number: u64,
        /// The change.
        write: Write,
    },
    /// A roll-out has come to another stage, by what the store says.
    Stage {
        /// The service.
        service: id::Service,
        /// What its versions may be given now.
        policy: Policy,
        /// What the store keeps of it, if anybody has taken it up.
        record: Option<Box<Record>>,
    },
    /// Tell operators what this router as a service's home found or did.
    Say(Box<Event>),
    /// A customer wants more than its share of a service's places while requests wait, or no longer.
    Surplus {
        /// The service.
        service: id::Service,
        /// Who, and how much.
        surplus: Surplus,
    },
    /// Upstreams end because of a request: tell operators, and write it to the store.
    Quarantined {
        /// The service.
        service: id::Service,
        /// The request.
        fingerprint: id::Fingerprint,
        /// How long it goes nowhere.
        length: Duration,
    },
    /// An upstream leaves, by what it said in an answer: tell operators.
    Leaves(id::Upstream),
    /// An upstream wants nothing from this router for a while: tell operators.
    Rests {
        /// The upstream.
        upstream: id::Upstream,
        /// For how long.
        length: Duration,
    },
    /// An upstream asked for a rest whose length can't be understood: tell operators.
    Unreadable(id::Upstream),
    /// A peer is gone, so its stream can be closed.
    Lost(id::Router),
}

/// What a home says of an ask.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// It waits.
    Waits,
    /// It is decided; `None` if that home can't.
    Decided(Option<Verdict>),
}
