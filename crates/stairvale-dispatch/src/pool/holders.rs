//! Who holds a shared part, so that a decision needn't look at every engine.
//!
//! An engine that holds all that a prompt shares with others is nearly always the best one, since any other has to copy or
//! read what it lacks. If the best of these costs less than the least that any other can, the others needn't be looked at: the
//! decision is the same, and takes as long with 3,000 engines as with the few that hold the prompt's beginning.

use rapidhash::RapidHashMap;
use stairvale_placement::mix;
use stairvale_types::id;

use super::{Pool, ring::STRETCH};
use crate::{Ask, Member, Part};

/// The members that hold each shared part.
#[derive(Debug, Default)]
pub(super) struct Holders {
    of: RapidHashMap<u64, Vec<id::Upstream>>,
}

impl Holders {
    /// At most [`STRETCH`] of those that hold a part; which of more these are depends on a number.
    pub(super) fn some_of(&self, part: u64, number: u64) -> impl Iterator<Item = &id::Upstream> {
        let all = self.of(part);
        let first = if all.len() <= STRETCH { 0 } else { mix(part, number) % all.len() as u64 };
        let (before, after) = all.split_at(usize::try_from(first).unwrap_or(0));
        after.iter().chain(before).take(STRETCH)
    }

    /// Those that hold a part, in no order.
    pub(super) fn of(&self, part: u64) -> &[id::Upstream] {
        self.of.get(&part).map(Vec::as_slice).unwrap_or_default()
    }

    /// Takes over what has changed at a member since it was asked last.
    pub(super) fn follow(&mut self, member: &mut Member) {
        for (part, held) in member.cache.take_changes() {
            if held {
                self.of.entry(part).or_default().push(member.id.clone());
            } else if let Some(holders) = self.of.get_mut(&part) {
                holders.retain(|holder| *holder != member.id);
                if holders.is_empty() {
                    self.of.remove(&part);
                }
            }
        }
    }
}

impl Pool {
    /// What the members hold of shared parts, as far as is known here: also of those that are known to hold nothing, or whoever is
    /// the home next would ask them.
    pub fn prefixes(&self) -> impl Iterator<Item = (&id::Upstream, Vec<Part>)> {
        let all = self.members.values().map(|member| (member.known, &member.id, member.cache.shared()));
        all.filter(|(known, _, parts)| *known || !parts.is_empty()).map(|(_, id, parts)| (id, parts))
    }

    /// Another router that was the home, or the engine itself, says what it holds.
    pub fn learn_prefixes(&mut self, upstream: &id::Upstream, parts: &[Part]) {
        if let Some(member) = self.members.get_mut(upstream) {
            member.cache.learn(parts);
            member.known = true;
            self.holders.follow(member);
        }
    }

    /// Engines of which nobody has told what they hold, as far as they may be asked now. Each is named once.
    pub fn unknown(&mut self, may_ask: impl Fn(&id::Upstream) -> bool) -> Vec<id::Upstream> {
        let mut untold: Vec<_> = self.untold.extract_if(.., |engine| may_ask(engine)).collect();
        untold.retain(|id| {
            let unknown = self.members.get_mut(id).filter(|member| member.memory > 0 && !member.known);
            unknown.map(|member| member.known = true).is_some()
        });
        untold
    }

    /// The home granted a prompt elsewhere; this router may be the home next.
    pub fn learn_read(&mut self, upstream: &id::Upstream, parts: &[Part]) {
        if let Some(member) = self.members.get_mut(upstream) {
            member.cache.read(parts);
            self.holders.follow(member);
        }
    }

    /// What an entry saw go to an upstream is believed to be there, if nothing is known of it here.
    pub(super) fn learn(&mut self, ask: &Ask) {
        let Some((depth, upstream)) = &ask.seen else {
            return;
        };
        let parts = &ask.parts[..(*depth).min(ask.parts.len())];
        let tokens: u32 = parts.iter().map(|part| part.tokens).sum();
        // Most often it is there, and nobody else need be looked at.
        let covers = |member: &Member| member.cache.covers(parts) >= tokens;
        let Some(last) = parts.last() else {
            return;
        };
        let holders = self.holders.of(last.id).iter().filter_map(|id| self.members.get(id));
        let mut holders = holders.filter(|member| member.serves());
        if self.members.get(upstream).is_none_or(covers) || holders.any(covers) {
            return;
        }
        if let Some(member) = self.members.get_mut(upstream) {
            member.cache.read(parts);
            self.holders.follow(member);
        }
    }
}
