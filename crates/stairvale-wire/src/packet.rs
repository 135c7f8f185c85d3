//! Datagrams between routers: failure-detector probes that carry piggybacked updates.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use stairvale_types::id;

/// A probe, its acknowledgement, or a request to probe a third router, by the protocol of the SWIM paper (Das, Gupta,
/// Motivala, 2002).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    /// The sender's [`crate::VERSION`].
    pub version: u16,
    /// The sending router.
    pub from: id::Router,
    /// The generation of the configuration in force at the sender.
    pub generation: u64,
    /// The revision of the sender's copy of the platform's list of VMs.
    pub vms: u64,
    /// A digest of the sender's latest status reports of all upstreams. Routers whose digests differ exchange them.
    pub words: u64,
    /// The packet's purpose.
    pub body: Body,
    /// Piggybacked updates, the most recent first.
    pub updates: Vec<Update>,
}

/// The purpose of a packet.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// A probe, which the receiver acknowledges.
    Ping {
        /// The probe's number, repeated in the [`Body::Ack`].
        probe: u64,
    },
    /// The acknowledgement of a [`Body::Ping`].
    Ack {
        /// The number of the acknowledged probe.
        probe: u64,
    },
    /// A request to probe `target` on the sender's behalf (SWIM's `ping-req`).
    Indirect {
        /// The number of the requester's own probe.
        probe: u64,
        /// The router to probe.
        target: id::Router,
    },
    /// No probe: the packet only carries updates.
    News,
}

/// A change that routers disseminate by gossip.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// The status of a router.
    Member(Member),
    /// The status of an upstream.
    Upstream(UpstreamReport),
}

/// The liveness of a router.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub enum Status {
    /// The router answers probes.
    Alive,
    /// The router didn't answer recent probes.
    Suspect,
    /// The router shuts down as planned: it is no longer a home and accepts no new callers.
    Leaving,
    /// The router was declared dead; it can only rejoin with a higher incarnation.
    Dead,
}

/// The membership entry of a router.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// The router's name.
    pub router: id::Router,
    /// The router's availability zone.
    pub zone: id::Zone,
    /// The address for its peers, both for streams (TCP) and for probes (UDP).
    pub address: SocketAddr,
    /// The incarnation of the router's process.
    pub incarnation: id::Incarnation,
    /// The router's liveness.
    pub status: Status,
    /// The CPU share of the router's VM, in hundredths of a core. Work on behalf of other routers is assigned to those
    /// with the most.
    pub strength: u32,
}

impl Member {
    /// The strength of a whole core, used where all VMs are assumed to be equally fast.
    pub const DEFAULT_STRENGTH: u32 = 100;
}

/// A status report of an upstream. Reports are ordered by the upstream's and its prober's counters rather than by time,
/// so that clocks needn't agree.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct UpstreamReport {
    /// The upstream that is reported on.
    pub upstream: id::Upstream,
    /// The upstream's own incarnation counter.
    pub boot: u64,
    /// The upstream's count of its state changes in this incarnation.
    pub change: u64,
    /// The prober's count of transitions between reachable and unreachable since that change.
    pub reach: u64,
    /// The reported state.
    pub state: UpstreamState,
}

impl UpstreamReport {
    /// The key by which reports of one upstream are ordered: the higher one supersedes the other.
    #[must_use]
    pub fn order(&self) -> (u64, u64, u64) {
        (self.boot, self.change, self.reach)
    }
}

/// The state of an upstream as reported by itself or, if it is unreachable, by its prober.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum UpstreamState {
    /// The upstream accepts work.
    Serving,
    /// The upstream completes its outstanding requests and accepts no new ones.
    Draining,
    /// The upstream's prober can't reach it.
    Unreachable,
}

/// The role of a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// The VM runs a router.
    Router,
    /// The VM runs an upstream.
    Upstream,
}

/// An entry of the platform's list of VMs.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Vm {
    /// The name of the router or upstream that runs on the VM.
    pub name: String,
    /// Whether the VM runs a router or an upstream.
    pub role: Role,
    /// The VM's availability zone.
    pub zone: id::Zone,
    /// The service that the upstream belongs to; `None` for a router.
    #[serde(default)]
    pub service: Option<id::Service>,
    /// The address of the router or upstream.
    pub address: SocketAddr,
    /// The upstream's capacity relative to others of the service; 1 is the default.
    #[serde(default = "one")]
    pub weight: u32,
    /// Whether the platform is about to remove the VM.
    #[serde(default)]
    pub leaving: bool,
}

fn one() -> u32 {
    1
}
