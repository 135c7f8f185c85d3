//! Failure detection and dissemination among routers: SWIM (Das, Gupta, Motivala, 2002) with suspicion and incarnations.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use rand::{
    Rng, SeedableRng,
    seq::{IndexedRandom, SliceRandom},
};
use rand_chacha::ChaCha8Rng;
use stairvale_types::{Moment, id};
use stairvale_wire::{Member, Packet, Status, Update, VERSION, Word, codec, packet::Body};

/// How often and how patiently peers are probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// One peer is probed every so often.
    pub every: Duration,
    /// After this long without an answer others are asked to probe.
    pub timeout: Duration,
    /// How many others.
    pub helpers: usize,
    /// A suspect that doesn't refute within this time is dead.
    pub suspicion: Duration,
}

impl Default for Settings {
    /// 200 ms between probes and a second of suspicion: with 9 routers a death is known within about 2 s.
    fn default() -> Self {
        Self {
            every: Duration::from_millis(200),
            timeout: Duration::from_millis(100),
            helpers: 2,
            suspicion: Duration::from_millis(1_000),
        }
    }
}

/// A dead router is remembered this long, so that old news doesn't bring it back.
const BURIAL: Duration = Duration::from_secs(600);
/// A router that was held for dead and answers again isn't believed for this long when it says that others are: on its side of
/// a cut they were. By then the others have told it that they live: each knocks at a dead router once a second.
const RETURNED: Duration = Duration::from_secs(5);
/// One probe in this many goes to a dead router, so that two sides of a healed cut find each other again.
const REVIVE_EVERY: u64 = 5;
/// News is passed on this many times the logarithm of the fleet's size.
const SPREAD: u32 = 4;
/// The routers of a zone together pass news on to other zones this many times as often as one of them passes it on at all: each
/// zone hears it several times from each other one, and then tells itself.
const FAR: u32 = 2;
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
            self.peers.insert(router.clone(), Peer { member, since: now, returned: None });
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
        self.probe = None;
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
        effects.extend(self.start_probe(now));
        effects
    }

    /// A datagram came in from an address.
    pub fn receive(&mut self, now: Moment, from: SocketAddr, packet: Packet) -> Vec<Effect> {
        if packet.version != VERSION || packet.from == self.me.router {
            return Vec::new();
        }
        self.heard = now;
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

    // ------------------------------------------------------------------------
    // Probing.

    fn start_probe(&mut self, now: Moment) -> Vec<Effect> {
        self.number += 1;
        let number = self.number;
        let mut effects = self.knock(number);
        if self.round.is_empty() {
            self.round = self.live_peers().map(|member| member.router.clone()).collect();
            self.round.shuffle(&mut self.rng);
        }
        let Some(target) = self.round.pop() else {
            return effects;
        };
        let Some(peer) = self.peers.get(&target).filter(|peer| is_live(peer.member.status)) else {
            return effects;
        };
        let to = peer.member.address;
        self.probe = Some(Probe { target, number, sent: now, helped: false });
        effects.push(self.packet(to, Body::Ping { probe: number }));
        effects
    }

    /// Tries addresses that nobody has answered from, and now and then a dead router.
    fn knock(&mut self, number: u64) -> Vec<Effect> {
        let known: Vec<_> = self.peers.values().map(|peer| peer.member.address).collect();
        self.seeds.retain(|seed| !known.contains(seed));
        let mut to: Vec<SocketAddr> = Vec::new();
        to.extend(self.seeds.choose(&mut self.rng));
        if number.is_multiple_of(REVIVE_EVERY) {
            let dead = self.peers.values().filter(|peer| peer.member.status == Status::Dead);
            let dead: Vec<_> = dead.map(|peer| peer.member.address).collect();
            to.extend(dead.choose(&mut self.rng));
        }
        to.into_iter().map(|to| self.packet(to, Body::Ping { probe: 0 })).collect()
    }

    fn ask_helpers(&mut self, now: Moment) -> Vec<Effect> {
        let timeout = self.settings.timeout;
        let Some(probe) = self.probe.as_mut().filter(|p| !p.helped && now.since(p.sent) >= timeout) else {
            return Vec::new();
        };
        probe.helped = true;
        let probe = probe.clone();
        let others: Vec<_> = self.live_peers().filter(|m| m.router != probe.target).map(|m| m.address).collect();
        let helpers: Vec<_> = others.choose_multiple(&mut self.rng, self.settings.helpers).copied().collect();
        let body = Body::Indirect { probe: probe.number, target: probe.target };
        helpers.into_iter().map(|to| self.packet(to, body.clone())).collect()
    }

    fn judge_probe(&mut self, now: Moment) -> Vec<Effect> {
        let Some(probe) = self.probe.take() else {
            return Vec::new();
        };
        let Some(peer) = self.peers.get(&probe.target) else {
            return Vec::new();
        };
        if peer.member.status != Status::Alive {
            return Vec::new();
        }
        let member = Member { status: Status::Suspect, ..peer.member.clone() };
        self.learn(now, Update::Member(member))
    }

    fn acked(&mut self, now: Moment, number: u64, from: SocketAddr, name: &id::Router) -> Vec<Effect> {
        if let Some(index) = self.favours.iter().position(|favour| favour.number == number && number != 0) {
            let favour = self.favours.swap_remove(index);
            return vec![self.packet(favour.asker, Body::Ack { probe: favour.theirs })];
        }
        if let Some(target) = self.probe.as_ref().filter(|probe| probe.number == number).map(|probe| &probe.target) {
            let replaced =
                self.peers.get(target).filter(|peer| &peer.member.router != name && peer.member.address == from);
            // Another router has its address: it is gone.
            if let Some(gone) = replaced.map(|peer| Member { status: Status::Dead, ..peer.member.clone() }) {
                self.probe = None;
                return self.learn(now, Update::Member(gone));
            }
            self.probe = None;
        }
        // A suspect that answers refutes by its own update, which rides on the same packet.
        Vec::new()
    }

    fn favour(&mut self, now: Moment, asker: SocketAddr, theirs: u64, target: &id::Router) -> Vec<Effect> {
        let Some(address) = self.peers.get(target).map(|peer| peer.member.address) else {
            return Vec::new();
        };
        self.number += 1;
        let until = now + self.settings.every;
        self.favours.push(Favour { number: self.number, theirs, asker, until });
        vec![self.packet(address, Body::Ping { probe: self.number })]
    }

    fn bury(&mut self, now: Moment) -> Vec<Effect> {
        let suspicion = self.settings.suspicion;
        let overdue = |peer: &&Peer| peer.member.status == Status::Suspect && now.since(peer.since) >= suspicion;
        let overdue: Vec<_> = self.peers.values().filter(overdue).map(|peer| peer.member.clone()).collect();
        let forgotten = |peer: &Peer| peer.member.status >= Status::Leaving && now.since(peer.since) >= BURIAL;
        let before = self.peers.len();
        self.peers.retain(|_, peer| !forgotten(peer));
        self.revision += u64::from(self.peers.len() != before);
        let dead = overdue.into_iter().map(|member| Member { status: Status::Dead, ..member });
        let dead: Vec<_> = dead.collect();
        dead.into_iter().flat_map(|member| self.learn(now, Update::Member(member))).collect()
    }

    // ------------------------------------------------------------------------
    // News.

    /// Whether a router is held for dead, or was until a moment ago: both of us may have been on the two sides of a cut.
    fn is_returning(&self, now: Moment, router: &id::Router) -> bool {
        let Some(peer) = self.peers.get(router) else {
            return false;
        };
        let lately = peer.returned.is_some_and(|returned| now.since(returned) < RETURNED);
        peer.member.status == Status::Dead || lately
    }

    /// Whether news says that a router other than this one doesn't answer. What is said of this one it can refute itself.
    fn is_blame(&self, update: &Update) -> bool {
        match update {
            Update::Member(member) => {
                member.router != self.me.router && matches!(member.status, Status::Suspect | Status::Dead)
            }
            Update::Upstream(_) => false,
        }
    }

    fn learn(&mut self, now: Moment, update: Update) -> Vec<Effect> {
        match update {
            Update::Upstream(word) => vec![Effect::Upstream(word)],
            Update::Member(member) if member.router == self.me.router => self.refute(&member),
            Update::Member(member) => self.learn_member(now, member),
        }
    }

    /// Somebody says something about this router that isn't so.
    fn refute(&mut self, said: &Member) -> Vec<Effect> {
        let wrong = said.status != self.me.status && said.incarnation >= self.me.incarnation;
        if !wrong {
            return Vec::new();
        }
        self.revision += 1;
        self.me.incarnation = id::Incarnation(said.incarnation.0 + 1);
        self.enqueue(Update::Member(self.me.clone()));
        self.rumour()
    }

    fn learn_member(&mut self, now: Moment, member: Member) -> Vec<Effect> {
        let Some(effects) = self.adopt(now, member.clone()) else {
            return Vec::new();
        };
        self.enqueue(Update::Member(member));
        effects
    }

    /// Takes what is said of a router; `None` if it is known already.
    fn adopt(&mut self, now: Moment, member: Member) -> Option<Vec<Effect>> {
        let old = self.peers.get(&member.router).map(|peer| &peer.member);
        if old.is_some_and(|old| !supersedes(&member, old)) {
            return None;
        }
        let was = old.map(|old| old.status);
        let before = self.peers.get(&member.router).and_then(|peer| peer.returned);
        let reborn = old.is_some_and(|old| old.incarnation < member.incarnation);
        let router = member.router.clone();
        let status = member.status;
        let returned = if was == Some(Status::Dead) && status == Status::Alive { Some(now) } else { before };
        self.revision += 1;
        self.peers.insert(router.clone(), Peer { member, since: now, returned });
        Some(match status {
            Status::Alive | Status::Suspect if was.is_none_or(|was| !is_live(was)) => vec![Effect::Joined(router)],
            Status::Alive if reborn => vec![Effect::Joined(router)],
            Status::Alive | Status::Suspect => Vec::new(),
            Status::Leaving if was != Some(Status::Leaving) => vec![Effect::Leaves(router)],
            Status::Dead if was != Some(Status::Dead) => vec![Effect::Died(router)],
            Status::Leaving | Status::Dead => Vec::new(),
        })
    }

    fn enqueue(&mut self, update: Update) {
        self.news.retain(|news| !same_subject(&news.update, &update));
        let size = u32::try_from(self.peers.len() + 2).unwrap_or(u32::MAX);
        let left = SPREAD * size.ilog2().max(1);
        let here = self.live_peers().filter(|member| member.zone == self.me.zone).count() + 1;
        let here = u32::try_from(here).unwrap_or(u32::MAX);
        let all = left * FAR;
        // Where a zone has many routers, what is left of a whole time is drawn.
        let drawn = all / here < FAR && self.rng.random_range(0..here) < all % here;
        let far = (all / here + u32::from(drawn)).min(left);
        self.news.push(News { update, left, far });
    }

    fn rumour(&mut self) -> Vec<Effect> {
        let addresses: Vec<_> = self.live_peers().map(|member| member.address).collect();
        let told: Vec<_> = addresses.choose_multiple(&mut self.rng, RUMOUR).copied().collect();
        told.into_iter().map(|to| self.packet(to, Body::News)).collect()
    }

    /// A packet that tells of this router alone.
    fn bare_packet(&self, body: Body) -> Packet {
        Packet {
            version: VERSION,
            from: self.me.router.clone(),
            generation: self.generation,
            vms: self.vms,
            words: self.words,
            body,
            updates: vec![Update::Member(self.me.clone())],
        }
    }

    /// A packet with as much news as fits, the least spread first. This router itself always stands first.
    fn packet(&mut self, to: SocketAddr, body: Body) -> Effect {
        self.news.sort_by_key(|news| std::cmp::Reverse(news.left));
        let mut packet = self.bare_packet(body);
        let receiver = self.peers.values().find(|peer| peer.member.address == to);
        let far = receiver.is_some_and(|peer| peer.member.zone != self.me.zone);
        // Whom the receiver suspects or holds dead is told so, and can refute.
        let blamed = self.peers.values().find(|peer| peer.member.address == to && peer.member.status != Status::Alive);
        packet.updates.extend(blamed.map(|peer| Update::Member(peer.member.clone())));
        // The envelope's tag and the coding's slack stay below the limit.
        const RESERVE: usize = 64;
        let mut size = codec::pack(&packet).map_or(0, |bytes| bytes.len());
        for news in self.news.iter_mut().filter(|news| !far || news.far > 0) {
            let bytes = codec::pack(&news.update).map_or(usize::MAX, |bytes| bytes.len());
            if size.saturating_add(bytes) > codec::MAX_PACKET - RESERVE {
                break;
            }
            size += bytes;
            news.left -= 1;
            news.far = if far { news.far - 1 } else { news.far };
            packet.updates.push(news.update.clone());
        }
        self.news.retain(|news| news.left > 0);
        Effect::Send { to, packet }
    }

    fn live_peers(&self) -> impl Iterator<Item = &Member> {
        self.peers.values().map(|peer| &peer.member).filter(|member| is_live(member.status))
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
