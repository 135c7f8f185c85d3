//! Datagrams between routers: probes with news riding along.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use stairvale_types::id;

/// A probe, its answer, or a request to probe for another; the rules are those of the SWIM paper
/// (Das, Gupta, Motivala, 2002).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    /// [`crate::VERSION`] of the sender.
    pub version: u16,
    /// The sender.
    pub from: id::Router,
    /// The configuration's generation at the sender.
    pub generation: u64,
    /// The revision of the sender's list of VMs.
    pub vms: u64,
    /// A digest of all words of upstreams that the sender knows.
    pub words: u64,
    /// What this packet is.
    pub body: Body,
    /// News, the freshest first.
    pub updates: Vec<Update>,
}

/// What a packet is.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// "Are you there?"
    Ping {
        /// Comes back in the answer.
        probe: u64,
    },
    /// "I am."
    Ack {
        /// From the ping.
        probe: u64,
    },
    /// "Ask `target` for me."
    Indirect {
        /// The asker's own number.
        probe: u64,
        /// Whom to ask.
        target: id::Router,
    },
    /// Only news.
    News,
}

/// One piece of news.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// About a router.
    Member(Member),
    /// About an upstream.
    Upstream(Word),
}

/// How a router is.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub enum Status {
    /// It answers.
    Alive,
    /// It didn't answer lately.
    Suspect,
    /// It stops as planned: no homes, no new callers.
    Leaving,
    /// It is gone; only a higher incarnation comes back.
    Dead,
}

/// A router as others know it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub router: id::Router,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Where its peers reach it: streams by TCP, probes by UDP.
    pub address: SocketAddr,
    /// Its life.
    pub incarnation: id::Incarnation,
    /// How it is.
    pub status: Status,
    /// Its VM's share of a processor, in hundredths of a core. Work for others goes to the strongest.
    pub strength: u32,
}

impl Member {
    /// The strength of routers whose VMs are taken as alike: a whole core.
    pub const ALIKE: u32 = 100;
}

/// What is known of an upstream's willingness, ordered by the upstream's own counters, so no clocks are compared.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Word {
    /// The upstream.
    pub upstream: id::Upstream,
    /// Its life, by its own count.
    pub boot: u64,
    /// Its own count of changes in this life.
    pub change: u64,
    /// The prober's count of reached/unreached flips after that change.
    pub reach: u64,
    /// What it is.
    pub state: State,
}

impl Word {
    /// Later words win.
    #[must_use]
    pub fn order(&self) -> (u64, u64, u64) {
        (self.boot, self.change, self.reach)
    }
}

/// What an upstream says of itself, or its prober of it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum State {
    /// It takes work.
    Serving,
    /// It finishes what it has.
    Draining,
    /// Its prober can't reach it.
    Unreachable,
}

/// What a VM does.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// It runs a router.
    Router,
    /// It runs an upstream.
    Upstream,
}

/// A line of the platform's list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Vm {
    /// The router's or upstream's name.
    pub name: String,
    /// What it does.
    pub role: Role,
    /// Its availability zone.
    pub zone: id::Zone,
    /// The service that an upstream belongs to.
    #[serde(default)]
    pub service: Option<id::Service>,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its capacity beside others' of the service; 1 is usual.
    #[serde(default = "one")]
    pub weight: u32,
    /// Whether the platform takes it away.
    #[serde(default)]
    pub leaving: bool,
}

fn one() -> u32 {
    1
}
