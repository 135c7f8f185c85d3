//! What is known of each upstream, and whether it may take work.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use stairvale_types::{Moment, id};
use stairvale_wire::{
    Vm, Word,
    packet::{Role, State},
};

/// After a failed connection this router leaves an upstream alone for this long, then twice that, and so on.
const COOL_DOWN: Duration = Duration::from_millis(500);
/// The longest cool-down.
const MAX_COOL_DOWN: Duration = Duration::from_secs(8);
/// Each return from unreachable adds one; above this an upstream is held back.
const FLAP_LIMIT: f64 = 3.0;
/// Below this it is let in again.
const FLAP_RELEASE: f64 = 1.0;
/// The penalty halves in this time.
const FLAP_HALF_LIFE: Duration = Duration::from_secs(20);
/// An upstream that the platform no longer lists keeps its rank this long, for it may only flap.
pub const FORGET_AFTER: Duration = Duration::from_secs(120);

/// One upstream as this router knows it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its name.
    pub name: id::Upstream,
    /// Its service.
    pub service: id::Service,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its capacity beside others'.
    pub weight: u32,
    /// The latest word of it or its prober.
    pub word: Option<Word>,
    /// Whether the platform takes it away.
    pub leaving: bool,
    unlisted_since: Option<Moment>,
    cool_until: Moment,
    cool_down: Duration,
    rest_until: Moment,
    flaps: f64,
    flaps_at: Moment,
    held_back: bool,
}

impl Upstream {
    fn new(vm: &Vm, service: id::Service, name: id::Upstream) -> Self {
        Self {
            name,
            service,
            zone: vm.zone.clone(),
            address: vm.address,
            weight: vm.weight.max(1),
            word: None,
            leaving: vm.leaving,
            unlisted_since: None,
            cool_until: Moment::ZERO,
            cool_down: Duration::ZERO,
            rest_until: Moment::ZERO,
            flaps: 0.0,
            flaps_at: Moment::ZERO,
            held_back: false,
        }
    }

    /// Whether it may take new work. Evidence is ordered: its own word, then this router's connections, then damping;
    /// the platform's lagging list can only take away.
    #[must_use]
    pub fn usable(&self, now: Moment) -> bool {
        let serving = self.word.as_ref().is_some_and(|word| word.state == State::Serving);
        serving && !self.leaving && self.unlisted_since.is_none() && !self.held_back && now >= self.cool_until
    }

    /// Whether it wants nothing from this router now, as it said when it turned a request of this router away. Other routers
    /// may send it work.
    #[must_use]
    pub fn rests(&self, now: Moment) -> bool {
        now < self.rest_until
    }

    /// Whether the platform's latest list names it.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        self.unlisted_since.is_none()
    }

    fn decay(&mut self, now: Moment) {
        let half_lives = now.since(self.flaps_at).as_secs_f64() / FLAP_HALF_LIFE.as_secs_f64();
        self.flaps *= (-half_lives).exp2();
        self.flaps_at = now;
        if self.flaps < FLAP_RELEASE {
            self.held_back = false;
        }
    }
}

/// All upstreams.
#[derive(Debug, Default)]
pub struct Upstreams {
    table: BTreeMap<id::Upstream, Upstream>,
    revision: u64,
    /// Words that came before the list named their upstream.
    early: BTreeMap<id::Upstream, Word>,
}

/// Early words that are kept at the most.
const MAX_EARLY: usize = 4_096;

impl Upstreams {
    /// No upstreams yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    // ------------------------------------------------------------------------
    // Queries.

    /// One upstream.
    #[must_use]
    pub fn get(&self, name: &id::Upstream) -> Option<&Upstream> {
        self.table.get(name)
    }

    /// All upstreams that keep their rank, usable or not.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.table.values()
    }

    /// A digest of all words: two routers with the same one know the same.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let words = self.table.values().filter_map(|upstream| upstream.word.as_ref());
        words.map(digest).fold(0, u64::wrapping_add)
    }

    /// The revision of the platform's list that this builds on.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    // ------------------------------------------------------------------------
    // Changes.

    /// The platform's list came in; an older one changes nothing.
    pub fn list(&mut self, now: Moment, revision: u64, vms: &[Vm]) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.revision = revision;
        for upstream in self.table.values_mut() {
            upstream.unlisted_since.get_or_insert(now);
        }
        for vm in vms.iter().filter(|vm| vm.role == Role::Upstream) {
            self.list_one(vm);
        }
        true
    }

    fn list_one(&mut self, vm: &Vm) {
        let Ok(name) = vm.name.parse::<id::Upstream>() else {
            return;
        };
        let Some(service) = vm.service.clone() else {
            return;
        };
        let early = self.early.remove(&name);
        let fresh = || Upstream { word: early, ..Upstream::new(vm, service, name.clone()) };
        let upstream = self.table.entry(name.clone()).or_insert_with(fresh);
        upstream.unlisted_since = None;
        upstream.leaving = vm.leaving;
        upstream.weight = vm.weight.max(1);
        upstream.address = vm.address;
        upstream.zone = vm.zone.clone();
    }

    /// Forgets upstreams that the platform hasn't listed for long; returns them.
    pub fn forget(&mut self, now: Moment) -> Vec<id::Upstream> {
        let gone = |u: &Upstream| u.unlisted_since.is_some_and(|since| now.since(since) >= FORGET_AFTER);
        let names: Vec<_> = self.table.values().filter(|u| gone(u)).map(|u| u.name.clone()).collect();
        for name in &names {
            self.table.remove(name);
        }
        names
    }

    /// A word came in, from the upstream or by way of others; only a later one changes anything.
    pub fn hear(&mut self, now: Moment, word: &Word) -> bool {
        let Some(upstream) = self.table.get_mut(&word.upstream) else {
            self.hear_early(word);
            return false;
        };
        let old = upstream.word.as_ref();
        if old.is_some_and(|old| word.order() <= old.order()) {
            return false;
        }
        let returned = old.is_some_and(|old| old.state == State::Unreachable) && word.state == State::Serving;
        upstream.word = Some(word.clone());
        if returned {
            upstream.decay(now);
            upstream.flaps += 1.0;
            upstream.held_back |= upstream.flaps > FLAP_LIMIT;
            upstream.cool_until = now;
            upstream.cool_down = Duration::ZERO;
        }
        true
    }

    fn hear_early(&mut self, word: &Word) {
        let later = self.early.get(&word.upstream).is_none_or(|old| word.order() > old.order());
        if later && self.early.len() < MAX_EARLY {
            self.early.insert(word.upstream.clone(), word.clone());
        }
    }

    /// The prober's next word, after the upstream answered with its own counters.
    #[must_use]
    pub fn reached(&self, name: &id::Upstream, boot: u64, change: u64, state: State) -> Option<Word> {
        let old = self.table.get(name)?.word.as_ref();
        let same = old.filter(|old| (old.boot, old.change) == (boot, change));
        let reach = same.map_or(0, |old| old.reach + u64::from(old.state == State::Unreachable));
        Some(Word { upstream: name.clone(), boot, change, reach, state })
    }

    /// The prober's next word, after the upstream didn't answer.
    #[must_use]
    pub fn missed(&self, name: &id::Upstream) -> Option<Word> {
        let old = self.table.get(name)?.word.as_ref()?;
        if old.state == State::Unreachable {
            return None;
        }
        Some(Word { reach: old.reach + 1, state: State::Unreachable, ..old.clone() })
    }

    /// A connection from this router failed: leave the upstream alone for a while.
    pub fn failed(&mut self, now: Moment, name: &id::Upstream) {
        if let Some(upstream) = self.table.get_mut(name) {
            let doubled = (upstream.cool_down * 2).clamp(COOL_DOWN, MAX_COOL_DOWN);
            upstream.cool_down = doubled;
            upstream.cool_until = now + doubled;
        }
    }

    /// An upstream turned a request of this router away and wants nothing more from it for so long. A shorter rest doesn't end a
    /// longer one.
    pub fn rest(&mut self, now: Moment, name: &id::Upstream, length: Duration) {
        if let Some(upstream) = self.table.get_mut(name) {
            upstream.rest_until = upstream.rest_until.max(now + length);
        }
    }

    /// A request from this router was answered.
    pub fn succeeded(&mut self, name: &id::Upstream) {
        if let Some(upstream) = self.table.get_mut(name) {
            upstream.cool_down = Duration::ZERO;
        }
    }

    /// Lets penalties decay.
    pub fn tick(&mut self, now: Moment) {
        for upstream in self.table.values_mut().filter(|upstream| upstream.flaps > 0.0) {
            upstream.decay(now);
        }
    }
}

/// One word's part of the digest.
fn digest(word: &Word) -> u64 {
    /// Spreads small differences over all bits (the golden ratio's fraction, as in Fibonacci hashing).
    const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;
    let (boot, change, reach) = word.order();
    let mixed = |hash: u64, value: u64| (hash ^ value).wrapping_mul(SPREAD).rotate_left(23);
    [boot, change, reach].into_iter().fold(word.upstream.hash64(), mixed)
}
