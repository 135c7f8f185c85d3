//! What is held, and which body is evicted when memory is short.

use std::collections::{BTreeMap, HashMap};

use stairvale_types::Moment;

use crate::{
    budget::{Account, Kind, MAX_SMALL_BYTES, Shortage},
    partial::PartialBody,
};

/// Connections take one part in this many of the budget at most.
pub(crate) const CONNECTIONS_DIVISOR: usize = 2;
/// Large bodies and answers leave one part in this many of the budget to others, and small bodies half of that.
const RESERVE_DIVISOR: usize = 8;
/// A customer's bodies may take at most this multiple of what is left for others, if there is more than one.
const SHARE: usize = 2;

/// Whether a body is small enough for the room that only small ones get.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Size {
    Small,
    Large,
}

impl Size {
    pub(crate) const fn of(bytes: usize) -> Self {
        if bytes <= MAX_SMALL_BYTES { Self::Small } else { Self::Large }
    }
}

/// What room is held for, and on whose account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Use {
    Connection,
    Request,
    Answer,
    Body(Account, Size),
}

impl Use {
    pub(crate) const fn kind(&self) -> Kind {
        match self {
            Self::Connection => Kind::Connection,
            Self::Request => Kind::Request,
            Self::Answer => Kind::Answer,
            Self::Body(..) => Kind::Body,
        }
    }
}

/// The bytes of bodies that an account holds.
#[derive(Clone, Copy, Debug, Default)]
struct Holding {
    small: usize,
    large: usize,
}

impl Holding {
    const fn of(&mut self, size: Size) -> &mut usize {
        match size {
            Size::Small => &mut self.small,
            Size::Large => &mut self.large,
        }
    }

    const fn total(self) -> usize {
        self.small + self.large
    }
}

/// What is held.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) limit: usize,
    connections: usize,
    requests: usize,
    answers: usize,
    bodies: usize,
    accounts: HashMap<Account, Holding>,
    uploads: BTreeMap<u64, PartialBody>,
    next: u64,
    /// The most bytes that were held at any time.
    pub(crate) peak: usize,
    /// How often there was no room for something.
    pub(crate) refusals: u64,
    /// Number of bodies that were evicted.
    pub(crate) evictions: u64,
}

impl State {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            connections: 0,
            requests: 0,
            answers: 0,
            bodies: 0,
            accounts: HashMap::new(),
            uploads: BTreeMap::new(),
            next: 0,
            peak: 0,
            refusals: 0,
            evictions: 0,
        }
    }

    pub(crate) const fn held(&self, kind: Kind) -> usize {
        match kind {
            Kind::Connection => self.connections,
            Kind::Request => self.requests,
            Kind::Body => self.bodies,
            Kind::Answer => self.answers,
        }
    }

    /// Takes room. Bodies that fall behind are evicted for it, except for the one with the number `own`.
    pub(crate) fn take(&mut self, now: Moment, held_for: &Use, bytes: usize, own: Option<u64>) -> Result<(), Shortage> {
        while let Err(shortage) = self.check(held_for, bytes) {
            let Some(victim) = self.victim(now, held_for, bytes, shortage, own) else {
                self.refusals += 1;
                return Err(shortage);
            };
            self.evict(victim);
        }
        self.add(held_for, bytes);
        Ok(())
    }

    /// Registers a body that is about to be received, and returns its number. It holds no room yet.
    pub(crate) fn begin(&mut self, body: PartialBody) -> u64 {
        self.next += 1;
        self.uploads.insert(self.next, body);
        self.next
    }

    /// Takes room for a further part of a body and allocates it. A body that was small may be large with it.
    pub(crate) fn extend(&mut self, now: Moment, number: u64, part: usize) -> Result<(), Shortage> {
        let body = self.uploads.get(&number).ok_or(Shortage::Evicted)?;
        let (held, capacity) = (body.capacity(), body.capacity() + part);
        let (before, after) = (body.held_for(held), body.held_for(capacity));
        self.give_back(&before, held);
        if let Err(shortage) = self.take(now, &after, capacity, Some(number)) {
            self.add(&before, held);
            return Err(shortage);
        }
        let body = self.uploads.get_mut(&number).ok_or(Shortage::Evicted)?;
        if body.extend(part) { Ok(()) } else { Err(Shortage::Full) }
    }

    /// Adds bytes to a body.
    pub(crate) fn push(&mut self, now: Moment, number: u64, bytes: &[u8]) -> Result<(), Shortage> {
        let body = self.uploads.get_mut(&number).ok_or(Shortage::Evicted)?;
        body.progress(now, bytes.len());
        let mut rest = body.fill(bytes);
        while !rest.is_empty() {
            let part = self.uploads.get(&number).ok_or(Shortage::Evicted)?.next_part();
            self.extend(now, number, part)?;
            rest = self.uploads.get_mut(&number).ok_or(Shortage::Evicted)?.fill(rest);
        }
        Ok(())
    }

    /// Removes a body that is being received; the room that it holds stays taken.
    pub(crate) fn remove(&mut self, number: u64) -> Option<PartialBody> {
        self.uploads.remove(&number)
    }

    /// Removes a body that is being received and gives its room back.
    pub(crate) fn abandon(&mut self, number: u64) -> Option<PartialBody> {
        let body = self.uploads.remove(&number)?;
        self.give_back(&body.held_for(body.capacity()), body.capacity());
        Some(body)
    }

    /// Whether there is room. It is short for others first: what is left over depends on what is to be held.
    fn check(&self, held_for: &Use, bytes: usize) -> Result<(), Shortage> {
        let total = self.total().saturating_add(bytes);
        if total > self.limit_of(held_for) {
            return Err(Shortage::Full);
        }
        match held_for {
            Use::Connection if self.connections + bytes > self.limit / CONNECTIONS_DIVISOR => Err(Shortage::Full),
            Use::Body(account, size) => {
                let held = *self.accounts.get(account).copied().unwrap_or_default().of(*size);
                let left = self.limit_of(held_for) - total;
                let is_over_share = held > 0 && held + bytes > SHARE * left;
                if is_over_share { Err(Shortage::Share) } else { Ok(()) }
            }
            Use::Connection | Use::Request | Use::Answer => Ok(()),
        }
    }

    /// What everything together may take once this is held as well.
    fn limit_of(&self, held_for: &Use) -> usize {
        let reserve = self.limit / RESERVE_DIVISOR;
        match held_for {
            Use::Connection | Use::Request => self.limit,
            Use::Body(_, Size::Small) => self.limit - reserve / 2,
            Use::Body(_, Size::Large) | Use::Answer => self.limit - reserve,
        }
    }

    /// The body to evict: the one that has fallen behind for longest, else one of the customer that holds most, if it
    /// holds more than the customer that finds no room.
    fn victim(&self, now: Moment, held_for: &Use, bytes: usize, shortage: Shortage, own: Option<u64>) -> Option<u64> {
        let others = || self.uploads.iter().filter(|(number, _)| Some(**number) != own);
        let counts = |body: &PartialBody| shortage != Shortage::Share || body.held_for(body.capacity()) == *held_for;
        let behind = others().filter(|(_, body)| body.on_pace_until < now && counts(body));
        if let Some((number, _)) = behind.min_by_key(|(_, body)| body.on_pace_until) {
            return Some(*number);
        }
        let Use::Body(account, _) = held_for else {
            return None;
        };
        if shortage != Shortage::Full {
            return None;
        }
        let (largest, holding) = self.accounts.iter().max_by_key(|(_, holding)| holding.total())?;
        let own_bytes = self.accounts.get(account).map_or(0, |holding| holding.total());
        let freed: usize = others().filter(|(_, body)| body.account == *largest).map(|(_, body)| body.capacity()).sum();
        let needed = (self.total() + bytes).saturating_sub(self.limit_of(held_for));
        if largest == account || holding.total() <= own_bytes + bytes || freed < needed {
            return None;
        }
        let theirs = others().filter(|(_, body)| body.account == *largest);
        theirs.min_by_key(|(_, body)| body.on_pace_until).map(|(number, _)| *number)
    }

    fn evict(&mut self, number: u64) {
        if let Some(body) = self.abandon(number) {
            self.evictions += 1;
            body.evicted.notify_one();
        }
    }

    fn add(&mut self, held_for: &Use, bytes: usize) {
        *self.of(held_for.kind()) += bytes;
        self.peak = self.peak.max(self.total());
        if let Use::Body(account, size) = held_for {
            *self.accounts.entry(account.clone()).or_default().of(*size) += bytes;
        }
    }

    pub(crate) fn give_back(&mut self, held_for: &Use, bytes: usize) {
        *self.of(held_for.kind()) -= bytes;
        if let Use::Body(account, size) = held_for
            && let Some(holding) = self.accounts.get_mut(account)
        {
            *holding.of(*size) -= bytes;
            if holding.total() == 0 {
                self.accounts.remove(account);
            }
        }
    }

    const fn of(&mut self, kind: Kind) -> &mut usize {
        match kind {
            Kind::Connection => &mut self.connections,
            Kind::Request => &mut self.requests,
            Kind::Body => &mut self.bodies,
            Kind::Answer => &mut self.answers,
        }
    }

    const fn total(&self) -> usize {
        self.connections + self.requests + self.bodies + self.answers
    }
}
