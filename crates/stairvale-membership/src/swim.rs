//! Failure detection and dissemination among routers: SWIM (Das, Gupta, Motivala, 2002) with suspicion and incarnation
//! numbers.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use stairvale_types::{Moment, id};
use stairvale_wire::{Member, Packet, Status, Update, UpstreamReport, VERSION, packet::Body};

mod gossip;
mod probe;

/// The intervals and timeouts by which peers are probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Interval between probes, each of which goes to one peer.
    pub probe_interval: Duration,
    /// Time without an answer after which other routers are requested to probe the peer.
    pub ack_timeout: Duration,
    /// Number of other routers that are requested to probe the peer.
    pub indirect_probes: usize,
    /// Time in which a suspect must refute. After it the router that suspected it first declares it dead.
    pub suspicion_timeout: Duration,
}

impl Default for Settings {
    /// 200 ms between probes, and a second from the first one that fails to the declaration of death: with 9 routers a
    /// death is known within about 2 s.
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(200),
            ack_timeout: Duration::from_millis(100),
            indirect_probes: 2,
            suspicion_timeout: Duration::from_millis(800),
        }
    }
}

/// How long a router that is dead or has left stays on record, so that old gossip doesn't bring it back.
const DEAD_RETENTION: Duration = Duration::from_secs(600);
/// How long a router that was declared dead and answers again isn't believed when it reports others as suspect or dead:
/// they were unreachable from its side of a network partition. By the end of this period the others have informed it
/// that they are alive, since each pings a dead router once a second.
const REJOIN_DISTRUST_PERIOD: Duration = Duration::from_secs(5);
/// Consecutive unanswered probes after which a router is suspected. One isn't enough, because a small VM that applies a
/// configuration pauses for longer than a probe takes.
const MISSED_PROBES_TO_SUSPECT: u8 = 2;
/// A router that learned of a suspicion by gossip waits this many times the suspicion timeout. The router that
/// suspected first reports the outcome a second later, or the suspect has refuted it. In a fleet of hundreds, however,
/// either takes seconds to reach all routers, and those with a shorter timeout would declare a live router dead. A
/// death takes this long to be known only where the router that suspected first is lost itself.
const GOSSIPED_SUSPICION_FACTOR: u32 = 4;
/// One probe in this many is accompanied by a ping to a dead router, so that the two sides of a healed network
/// partition find each other again.
const PROBES_PER_DEAD_PING: u64 = 5;
/// An update is piggybacked this many times the binary logarithm of the fleet's size.
const RETRANSMIT_FACTOR: u32 = 4;
/// The routers of a zone together send an update to other zones this many times as often as one of them sends it at
/// all. Each zone receives it several times from each other zone, and then disseminates it itself.
const CROSS_ZONE_COPIES: u32 = 2;
/// Number of peers that an urgent update is sent to at once.
const URGENT_FANOUT: usize = 3;

/// An action for the caller to take, or a change that it is notified of.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a datagram.
    Send {
        /// The receiver's address.
        to: SocketAddr,
        /// The packet to send.
        packet: Packet,
    },
    /// A router is alive that was unknown, dead or leaving before, or it is alive in a new incarnation.
    Joined(id::Router),
    /// A router is confirmed dead.
    Died(id::Router),
    /// A router shuts down as planned.
    Leaves(id::Router),
    /// A status report of an upstream was received.
    Upstream(UpstreamReport),
    /// A packet stated which generation, list of VMs and upstream reports a peer has.
    Versions {
        /// The peer.
        from: id::Router,
        /// The generation of the peer's configuration.
        generation: u64,
        /// The revision of the peer's list of VMs.
        vms: u64,
        /// The digest of the peer's upstream reports.
        words: u64,
    },
}

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    status_since: Moment,
    /// When the router answered again after it had been declared dead.
    returned_at: Option<Moment>,
    /// Consecutive probes by this router that the peer left unanswered.
    missed_probes: u8,
}

impl Peer {
    fn new(member: Member, status_since: Moment) -> Self {
        Self { member, status_since, returned_at: None, missed_probes: 0 }
    }

    /// Whether this router suspects the peer because of its own probes, rather than by gossip.
    fn is_suspected_directly(&self) -> bool {
        self.member.status == Status::Suspect && self.missed_probes >= MISSED_PROBES_TO_SUSPECT
    }
}

#[derive(Clone, Debug)]
struct Probe {
    target: id::Router,
    number: u64,
    sent: Moment,
    indirect_requested: bool,
}

/// A probe made at the request of another router.
#[derive(Clone, Debug)]
struct ForwardedProbe {
    number: u64,
    requester_number: u64,
    requester: SocketAddr,
    deadline: Moment,
}

#[derive(Clone, Debug)]
struct QueuedUpdate {
    update: Update,
    /// How often the update is still to be sent.
    remaining: u32,
    /// How many of these transmissions may still go to other zones.
    remaining_cross_zone: u32,
}

/// One router's view of the fleet's membership.
#[derive(Debug)]
pub struct Swim {
    me: Member,
    settings: Settings,
    peers: BTreeMap<id::Router, Peer>,
    seeds: Vec<SocketAddr>,
    probe_round: Vec<id::Router>,
    probe: Option<Probe>,
    /// The second probe of a peer that left its first one unanswered.
    second_probe: Option<Probe>,
    forwarded_probes: Vec<ForwardedProbe>,
    gossip_queue: Vec<QueuedUpdate>,
    next_probe: Moment,
    probe_number: u64,
    rng: ChaCha8Rng,
    generation: u64,
    vms: u64,
    upstream_digest: u64,
    last_received: Moment,
    /// Rises with each change of the recorded state of a router.
    revision: u64,
}

impl Swim {
    /// A router without any peers yet. `seed` determines all its random choices.
    #[must_use]
    pub fn new(me: Member, settings: Settings, seed: u64) -> Self {
        Self {
            me,
            settings,
            peers: BTreeMap::new(),
            seeds: Vec::new(),
            probe_round: Vec::new(),
            probe: None,
            second_probe: None,
            forwarded_probes: Vec::new(),
            gossip_queue: Vec::new(),
            next_probe: Moment::ZERO,
            probe_number: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            generation: 0,
            vms: 0,
            upstream_digest: 0,
            last_received: Moment::ZERO,
            revision: 0,
        }
    }

    /// Sets addresses that are pinged as long as no peer is known there.
    #[must_use]
    pub fn with_seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    // ------------------------------------------------------------------------
    // Queries.

    /// This router's own entry.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// All routers that are not recorded as dead or leaving, this one included.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        let peers = self.peers.values().map(|peer| &peer.member);
        peers.chain(std::iter::once(&self.me)).filter(|member| is_live(member.status))
    }

    /// All routers on record, dead ones included, this one excluded.
    pub fn peers(&self) -> impl Iterator<Item = &Member> {
        self.peers.values().map(|peer| &peer.member)
    }

    /// Whether there is no other router to contact: no peer, and no seed except this router itself.
    #[must_use]
    pub fn is_alone(&self) -> bool {
        self.peers.is_empty() && self.seeds.iter().all(|seed| *seed == self.me.address)
    }

    /// The entry of a peer.
    #[must_use]
    pub fn peer(&self, router: &id::Router) -> Option<&Member> {
        self.peers.get(router).map(|peer| &peer.member)
    }

    /// A counter that rises with each change of the recorded state of a router.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// When the last packet was received.
    #[must_use]
    pub fn last_received(&self) -> Moment {
        self.last_received
    }

    // ------------------------------------------------------------------------
    // Changes.

    /// Adds a router's address from the list of VMs. Its first packet shows whether the router is alive.
    pub fn add_seed(&mut self, address: SocketAddr) {
        let known = self.peers.values().any(|peer| peer.member.address == address);
        if address != self.me.address && !known && !self.seeds.contains(&address) {
            self.seeds.push(address);
        }
    }

    /// Assumes that listed routers are alive until they leave probes unanswered, and pings them at once, so that all
    /// routers which read the same list agree on their roles before they have received anything from each other. A
    /// router already on record keeps its entry, unless it is dead or leaving and is now listed with another address.
    pub fn assume_alive(&mut self, now: Moment, listed: Vec<Member>) -> Vec<Effect> {
        let mut effects = Vec::new();
        for member in listed {
            let known = self.peers.get(&member.router).map(|peer| &peer.member);
            let moved = |known: &Member| !is_live(known.status) && known.address != member.address;
            if member.router == self.me.router || known.is_some_and(|known| !moved(known)) {
                continue;
            }
            // Any update from the router itself supersedes incarnation 0. The assumption isn't gossiped.
            let member = Member { incarnation: id::Incarnation(0), status: Status::Alive, ..member };
            let (router, to) = (member.router.clone(), member.address);
            self.revision += 1;
            self.peers.insert(router.clone(), Peer::new(member, now));
            self.probe_round.push(router.clone());
            effects.push(Effect::Joined(router));
            effects.push(self.send(to, Body::Ping { probe: 0 }));
        }
        effects
    }

    /// Pings all seeds at once, rather than one with each probe.
    pub fn ping_seeds(&mut self) -> Vec<Effect> {
        let me = self.me.address;
        let seeds: Vec<_> = self.seeds.iter().copied().filter(|seed| *seed != me).collect();
        seeds.into_iter().map(|to| self.send(to, Body::Ping { probe: 0 })).collect()
    }

    /// All live routers, as they are sent to a router that has just started; those that are only assumed to be alive
    /// are left out.
    #[must_use]
    pub fn live_members(&self) -> Vec<Member> {
        self.live().filter(|member| member.incarnation.0 > 0).cloned().collect()
    }

    /// Merges the live routers that a peer reported. The rest of the fleet has them on record, so they aren't gossiped.
    pub fn merge_members(&mut self, now: Moment, members: Vec<Member>) -> Vec<Effect> {
        let others: Vec<_> = members.into_iter().filter(|member| member.router != self.me.router).collect();
        others.into_iter().filter_map(|member| self.merge_member(now, member)).flatten().collect()
    }

    /// Drops seeds that the list of VMs no longer contains.
    pub fn retain_seeds(&mut self, keep: impl Fn(&SocketAddr) -> bool) {
        self.seeds.retain(keep);
    }

    /// Sets the generation of this router's configuration and the revision of its list of VMs. If either changed, a few
    /// peers are notified at once.
    pub fn set_versions(&mut self, generation: u64, vms: u64) -> Vec<Effect> {
        if (self.generation, self.vms) == (generation, vms) {
            return Vec::new();
        }
        self.generation = generation;
        self.vms = vms;
        self.notify_some_peers()
    }

    /// Sets the digest of this router's upstream reports, which every packet carries.
    pub fn set_upstream_digest(&mut self, digest: u64) {
        self.upstream_digest = digest;
    }

    /// Gossips a status report of an upstream, which a few peers are sent at once.
    pub fn gossip_report(&mut self, report: UpstreamReport) -> Vec<Effect> {
        self.enqueue(Update::Upstream(report));
        self.notify_some_peers()
    }

    /// Announces that this router shuts down as planned.
    pub fn leave(&mut self) -> Vec<Effect> {
        self.revision += 1;
        self.me.status = Status::Leaving;
        self.me.incarnation.0 += 1;
        self.enqueue(Update::Member(self.me.clone()));
        // A router that may do work for others is missed everywhere at once, so it notifies all peers. Any other router
        // is only removed from its zone's balancer. If each of these notified all peers too, that would take more
        // traffic than everything else while all routers are restarted one after the other.
        let strongest = self.live_peers().map(|member| member.strength).max().unwrap_or(0);
        let serves_others = self.me.strength * 2 >= strongest;
        let notified = self.live_peers().filter(|member| serves_others || member.zone == self.me.zone);
        let addresses: Vec<_> = notified.map(|member| member.address).collect();
        let packet = self.packet_without_gossip(Body::News);
        addresses.into_iter().map(|to| Effect::Send { to, packet: packet.clone() }).collect()
    }

    /// Schedules a peer to be probed next because a stream to it broke.
    pub fn probe_next(&mut self, now: Moment, router: &id::Router) {
        if self.peers.get(router).is_some_and(|peer| peer.member.status == Status::Alive) {
            self.probe_round.push(router.clone());
            // A probe in flight is given its full time first.
            if self.probe.is_none() {
                self.next_probe = self.next_probe.min(now);
            }
        }
    }

    /// Records that this process was paused: its view of the peers may be old, so none of them is blamed for missing
    /// answers meanwhile.
    pub fn resumed(&mut self, now: Moment) {
        (self.probe, self.second_probe) = (None, None);
        self.forwarded_probes.clear();
        self.next_probe = now;
        for peer in self.peers.values_mut().filter(|peer| peer.member.status == Status::Suspect) {
            peer.status_since = now;
        }
    }

    /// Advances time: declares overdue suspects dead, evaluates probes and starts the next ones.
    pub fn tick(&mut self, now: Moment) -> Vec<Effect> {
        let mut effects = self.expire_peers(now);
        self.forwarded_probes.retain(|probe| probe.deadline > now);
        effects.extend(self.request_indirect_probes(now));
        if now < self.next_probe {
            return effects;
        }
        self.next_probe = now + self.settings.probe_interval;
        effects.extend(self.evaluate_probes(now));
        effects.extend(self.ping_suspects());
        effects.extend(self.start_probe(now));
        effects
    }

    /// Processes a datagram that was received from an address.
    pub fn receive(&mut self, now: Moment, from: SocketAddr, packet: Packet) -> Vec<Effect> {
        if packet.version != VERSION || packet.from == self.me.router {
            return Vec::new();
        }
        self.last_received = now;
        if let Some(peer) = self.peers.get_mut(&packet.from) {
            peer.missed_probes = 0;
        }
        let mut effects = Vec::new();
        let from_returning = self.is_returning(now, &packet.from);
        for update in packet.updates {
            if !(from_returning && self.is_accusation(&update)) {
                effects.extend(self.apply_update(now, update));
            }
        }
        effects.push(Effect::Versions {
            from: packet.from.clone(),
            generation: packet.generation,
            vms: packet.vms,
            words: packet.words,
        });
        match packet.body {
            Body::Ping { probe } => effects.push(self.send(from, Body::Ack { probe })),
            Body::Ack { probe } => effects.extend(self.receive_ack(now, probe, from, &packet.from)),
            Body::Indirect { probe, target } => effects.extend(self.forward_probe(now, from, probe, &target)),
            Body::News => {}
        }
        effects
    }
}

fn is_live(status: Status) -> bool {
    matches!(status, Status::Alive | Status::Suspect)
}

/// Whether an update replaces the recorded entry: it has a later incarnation, or a worse status in the same one.
fn supersedes(new: &Member, old: &Member) -> bool {
    if new.incarnation != old.incarnation {
        return new.incarnation > old.incarnation;
    }
    new.status > old.status
}

fn same_subject(a: &Update, b: &Update) -> bool {
    match (a, b) {
        (Update::Member(a), Update::Member(b)) => a.router == b.router,
        (Update::Upstream(a), Update::Upstream(b)) => a.upstream == b.upstream,
        (Update::Member(_), Update::Upstream(_)) | (Update::Upstream(_), Update::Member(_)) => false,
    }
}
