//! Failure detection and dissemination among routers: SWIM (Das, Gupta, Motivala, 2002) with suspicion and incarnations.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use stairvale_types::{Moment, id};
use stairvale_wire::{Member, Packet, Status, Update, VERSION, Word, packet::Body};

mod gossip;
mod probe;

/// How often and how patiently peers are probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// One peer is probed every so often.
    pub every: Duration,
    /// After this long without an answer others are asked to probe.
    pub timeout: Duration,
    /// How many others.
    pub helpers: usize,
    /// A suspect that doesn't refute within this time is dead to whoever suspected it first.
    pub suspicion: Duration,
}

impl Default for Settings {
    /// 200 ms between probes, and a second from the first that fails to a death: with 9 routers it is known within about 2 s.
    fn default() -> Self {
        Self {
            every: Duration::from_millis(200),
            timeout: Duration::from_millis(100),
            helpers: 2,
            suspicion: Duration::from_millis(800),
        }
    }
}

/// A dead router is remembered this long, so that old news doesn't bring it back.
const BURIAL: Duration = Duration::from_secs(600);
/// A router that was held for dead and answers again isn't believed for this long when it says that others are: on its side of
/// a cut they were. By then the others have told it that they live: each knocks at a dead router once a second.
const RETURNED: Duration = Duration::from_secs(5);
/// Probes in a row that a router must leave unanswered before it is suspected: a small VM that takes over a configuration stands
/// still for longer than one of them takes.
const MISSED: u8 = 2;
/// Who only heard of a suspicion waits this many times as long for what comes of it. Its accuser says so a second later, or the
/// suspect has refuted it; but in a fleet of hundreds either takes seconds to reach all, and those whose patience ended before
/// would hold a router for dead that lives. Only where the accuser itself is lost does a death take that long to be known.
const HEARSAY: u32 = 4;
/// One probe in this many goes to a dead router, so that two sides of a healed cut find each other again.
const REVIVE_EVERY: u64 = 5;
/// News is passed on this many times the logarithm of the fleet's size.
const SPREAD: u32 = 4;
/// The routers of a zone together pass news on to other zones this many times as often as one of them passes it on at all: each
/// zone hears it several times from each other one, and then tells itself.
const CROSS_ZONE_COPIES: u32 = 2;
/// Peers that are told at once about something important.
const RUMOUR: usize = 3;

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a datagram.
    Send {
        /// To this address.
        to: SocketAddr,
        /// This packet.
        packet: Packet,
    },
    /// A router is known now, or is known anew, to live.
    Joined(id::Router),
    /// A router is confirmed dead.
    Died(id::Router),
    /// A router stops as planned.
    Leaves(id::Router),
    /// News of an upstream came in.
    Upstream(Word),
    /// A peer has another generation or list of VMs.
    Versions {
        /// The peer.
        from: id::Router,
        /// Its configuration's generation.
        generation: u64,
        /// Its list's revision.
        vms: u64,
        /// The digest of the words it knows.
        words: u64,
    },
}

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    since: Moment,
    /// When it answered again after it was held for dead.
    returned: Option<Moment>,
    /// Probes of this router in a row that it left unanswered.
    missed: u8,
}

impl Peer {
    fn new(member: Member, since: Moment) -> Self {
        Self { member, since, returned: None, missed: 0 }
    }

    /// Whether this router suspects it by probes of its own, and not by hearsay.
    fn is_accused(&self) -> bool {
        self.member.status == Status::Suspect && self.missed >= MISSED
    }
}

#[derive(Clone, Debug)]
struct Probe {
    target: id::Router,
    number: u64,
    sent: Moment,
    helped: bool,
}

/// A probe made for another router.
#[derive(Clone, Debug)]
struct Favour {
    number: u64,
    theirs: u64,
    asker: SocketAddr,
    until: Moment,
}

#[derive(Clone, Debug)]
struct News {
    update: Update,
    /// How often it is still passed on...
    left: u32,
    /// ... and of these to other zones at most.
    far: u32,
}

/// One router's view of the others.
#[derive(Debug)]
pub struct Swim {
    me: Member,
    settings: Settings,
    peers: BTreeMap<id::Router, Peer>,
    seeds: Vec<SocketAddr>,
    round: Vec<id::Router>,
    probe: Option<Probe>,
    /// The second probe of who left the first one unanswered.
    second: Option<Probe>,
    favours: Vec<Favour>,
    news: Vec<News>,
    next_probe: Moment,
    number: u64,
    rng: ChaCha8Rng,
    generation: u64,
    vms: u64,
    words: u64,
    heard: Moment,
    /// Rises with each change of what is known of the routers.
    revision: u64,
}

impl Swim {
    /// A router that knows nobody yet. `seed` decides all its random choices.
    #[must_use]
    pub fn new(me: Member, settings: Settings, seed: u64) -> Self {
        Self {
            me,
            settings,
            peers: BTreeMap::new(),
            seeds: Vec::new(),
            round: Vec::new(),
            probe: None,
            second: None,
            favours: Vec::new(),
            news: Vec::new(),
            next_probe: Moment::ZERO,
            number: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            generation: 0,
            vms: 0,
            words: 0,
            heard: Moment::ZERO,
            revision: 0,
        }
    }

    /// Sets addresses to try while no peer is known.
    #[must_use]
    pub fn with_seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    // ------------------------------------------------------------------------
    // Queries.

    /// This router.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// All routers that are not known to be dead or leaving, this one included.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        let peers = self.peers.values().map(|peer| &peer.member);
        peers.chain(std::iter::once(&self.me)).filter(|member| is_live(member.status))
    }

    /// All routers that are known, dead ones included, this one excluded.
    pub fn peers(&self) -> impl Iterator<Item = &Member> {
        self.peers.values().map(|peer| &peer.member)
    }

    /// Whether there is nobody to look for: no peer, and no seed but this router itself.
    #[must_use]
    pub fn is_alone(&self) -> bool {
        self.peers.is_empty() && self.seeds.iter().all(|seed| *seed == self.me.address)
    }

    /// A peer.
    #[must_use]
    pub fn peer(&self, router: &id::Router) -> Option<&Member> {
        self.peers.get(router).map(|peer| &peer.member)
    }

    /// A number that rises with each change of what is known of the routers.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// When a packet came in last.
    #[must_use]
    pub fn heard(&self) -> Moment {
        self.heard
    }

    // ------------------------------------------------------------------------
    // Changes.

    /// The list of VMs names a router; the first packet will tell whether it lives.
    pub fn introduce(&mut self, address: SocketAddr) {
        let known = self.peers.values().any(|peer| peer.member.address == address);
        if address != self.me.address && !known && !self.seeds.contains(&address) {
            self.seeds.push(address);
        }
    }

    /// Takes routers for alive that are named somewhere, until they don't answer, and pings them at once: so all who read
    /// the same names agree on who does what before they have heard of each other. What is known of a router already stays.
    pub fn presume(&mut self, now: Moment, named: Vec<Member>) -> Vec<Effect> {
        let mut effects = Vec::new();
        for member in named {
            let known = self.peers.get(&member.router).map(|peer| &peer.member);
            let moved = |known: &Member| !is_live(known.status) && known.address != member.address;
            if member.router == self.me.router || known.is_some_and(|known| !moved(known)) {
                continue;
            }
            // Any word of the router itself goes before this one, and nobody is told of it.
            let member = Member { incarnation: id::Incarnation(0), status: Status::Alive, ..member };
            let (router, to) = (member.router.clone(), member.address);
            self.revision += 1;
            self.peers.insert(router.clone(), Peer::new(member, now));
            self.round.push(router.clone());
            effects.push(Effect::Joined(router));
            effects.push(self.packet(to, Body::Ping { probe: 0 }));
        }
        effects
    }

    /// Knocks at the seeds at once, rather than at one with each probe.
    pub fn knock_at_seeds(&mut self) -> Vec<Effect> {
        let me = self.me.address;
        let seeds: Vec<_> = self.seeds.iter().copied().filter(|seed| *seed != me).collect();
        seeds.into_iter().map(|to| self.packet(to, Body::Ping { probe: 0 })).collect()
    }

    /// All routers that live, as they are told to one that has just started.
    #[must_use]
    pub fn told(&self) -> Vec<Member> {
        self.live().filter(|member| member.incarnation.0 > 0).cloned().collect()
    }

    /// A peer told of the routers that it knows to live. They are known elsewhere, so this isn't passed on.
    pub fn learn_members(&mut self, now: Moment, members: Vec<Member>) -> Vec<Effect> {
        let others: Vec<_> = members.into_iter().filter(|member| member.router != self.me.router).collect();
        others.into_iter().filter_map(|member| self.adopt(now, member)).flatten().collect()
    }

    /// Drops addresses that the list of VMs no longer names.
    pub fn retain_seeds(&mut self, keep: impl Fn(&SocketAddr) -> bool) {
        self.seeds.retain(keep);
    }

    /// This router has another configuration or list now; a few peers are told at once.
    pub fn set_versions(&mut self, generation: u64, vms: u64) -> Vec<Effect> {
        if (self.generation, self.vms) == (generation, vms) {
            return Vec::new();
        }
        self.generation = generation;
        self.vms = vms;
        self.rumour()
    }

    /// The digest of the words that this router knows, told with every packet.
    pub fn set_words(&mut self, digest: u64) {
        self.words = digest;
    }

    /// News of an upstream to pass on; a few peers are told at once.
    pub fn spread(&mut self, word: Word) -> Vec<Effect> {
        self.enqueue(Update::Upstream(word));
        self.rumour()
    }

    /// This router stops as planned.
    pub fn leave(&mut self) -> Vec<Effect> {
        self.revision += 1;
        self.me.status = Status::Leaving;
        self.me.incarnation.0 += 1;
        self.enqueue(Update::Member(self.me.clone()));
        // Who may do work for others is missed everywhere at once. The others are gone from their zone's balancer alone, and
        // each telling all others at once would take more than all else where all are restarted one after the other.
        let strongest = self.live_peers().map(|member| member.strength).max().unwrap_or(0);
        let works = self.me.strength * 2 >= strongest;
        let told = self.live_peers().filter(|member| works || member.zone == self.me.zone);
        let addresses: Vec<_> = told.map(|member| member.address).collect();
        let packet = self.bare_packet(Body::News);
        addresses.into_iter().map(|to| Effect::Send { to, packet: packet.clone() }).collect()
    }

    /// A stream to a peer broke: probe it next.
    pub fn doubt(&mut self, now: Moment, router: &id::Router) {
        if self.peers.get(router).is_some_and(|peer| peer.member.status == Status::Alive) {
            self.round.push(router.clone());
            // A probe that is on its way is given its time first.
            if self.probe.is_none() {
                self.next_probe = self.next_probe.min(now);
            }
        }
    }

    /// This process was paused: what it believes of others may be old, so nobody is blamed for silence meanwhile.
    pub fn resumed(&mut self, now: Moment) {
        (self.probe, self.second) = (None, None);
        self.favours.clear();
        self.next_probe = now;
        for peer in self.peers.values_mut().filter(|peer| peer.member.status == Status::Suspect) {
            peer.since = now;
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Moment) -> Vec<Effect> {
        let mut effects = self.bury(now);
        self.favours.retain(|favour| favour.until > now);
        effects.extend(self.ask_helpers(now));
        if now < self.next_probe {
            return effects;
        }
        self.next_probe = now + self.settings.every;
        effects.extend(self.judge_probe(now));
        effects.extend(self.tell_accused());
        effects.extend(self.start_probe(now));
        effects
    }

    /// A datagram came in from an address.
    pub fn receive(&mut self, now: Moment, from: SocketAddr, packet: Packet) -> Vec<Effect> {
        if packet.version != VERSION || packet.from == self.me.router {
            return Vec::new();
        }
        self.heard = now;
        if let Some(peer) = self.peers.get_mut(&packet.from) {
            peer.missed = 0;
        }
        let mut effects = Vec::new();
        let doubtful = self.is_returning(now, &packet.from);
        for update in packet.updates {
            if !(doubtful && self.is_blame(&update)) {
                effects.extend(self.learn(now, update));
            }
        }
        effects.push(Effect::Versions {
            from: packet.from.clone(),
            generation: packet.generation,
            vms: packet.vms,
            words: packet.words,
        });
        match packet.body {
            Body::Ping { probe } => effects.push(self.packet(from, Body::Ack { probe })),
            Body::Ack { probe } => effects.extend(self.acked(now, probe, from, &packet.from)),
            Body::Indirect { probe, target } => effects.extend(self.favour(now, from, probe, &target)),
            Body::News => {}
        }
        effects
    }
}

fn is_live(status: Status) -> bool {
    matches!(status, Status::Alive | Status::Suspect)
}

/// Whether news replaces what is known: a later life, or a worse status in the same one.
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
