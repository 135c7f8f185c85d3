//! Index of the members that hold each shared part, so that a decision needn't scan every engine.
//!
//! An engine that holds all shared parts of a prompt is nearly always the best one, since any other has to copy or
//! prefill what it lacks. If the best of these costs less than the lowest possible cost of any other, the others
//! needn't be scanned: the decision is the same, and takes as long with 3,000 engines as with the few that hold the
//! prompt's prefix.

use rapidhash::RapidHashMap;
use stairvale_placement::mix;
use stairvale_types::id;

use super::{Pool, ring::SAMPLE_SIZE};
use crate::{Ask, Member, Part};

/// The members that hold each shared part.
#[derive(Debug, Default)]
pub(super) struct Holders {
    of: RapidHashMap<u64, Vec<id::Upstream>>,
}

impl Holders {
    /// Returns at most [`SAMPLE_SIZE`] of the members that hold a part; if more hold it, `number` determines the
    /// selection.
    pub(super) fn some_of(&self, part: u64, number: u64) -> impl Iterator<Item = &id::Upstream> {
        let members = self.of(part);
        let first = if members.len() <= SAMPLE_SIZE { 0 } else { mix(part, number) % members.len() as u64 };
        let (before, after) = members.split_at(usize::try_from(first).unwrap_or(0));
        after.iter().chain(before).take(SAMPLE_SIZE)
    }

    /// Returns the members that hold a part, in no particular order.
    pub(super) fn of(&self, part: u64) -> &[id::Upstream] {
        self.of.get(&part).map(Vec::as_slice).unwrap_or_default()
    }

    /// Applies the changes of a member's cache since the last call for it.
    pub(super) fn apply_changes(&mut self, member: &mut Member) {
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
    /// Iterates over the members and the shared parts that each holds, as recorded here. Members with an empty cache
    /// are included if that is recorded; otherwise the next home would query them.
    pub fn prefixes(&self) -> impl Iterator<Item = (&id::Upstream, Vec<Part>)> {
        let members = self.members.values().map(|member| (member.cache_known, &member.id, member.cache.shared()));
        members.filter(|(known, _, parts)| *known || !parts.is_empty()).map(|(_, id, parts)| (id, parts))
    }

    /// Applies the list of parts that a member holds, as sent by a router that was the home or by the engine itself.
    pub fn learn_prefixes(&mut self, upstream: &id::Upstream, parts: &[Part]) {
        if let Some(member) = self.members.get_mut(upstream) {
            member.cache.learn(parts);
            member.cache_known = true;
            self.holders.apply_changes(member);
        }
    }

    /// Returns engines whose cache contents aren't recorded here, if `may_ask` permits a query now. Each engine is
    /// returned once.
    pub fn take_unknown_caches(&mut self, may_ask: impl Fn(&id::Upstream) -> bool) -> Vec<id::Upstream> {
        let mut cache_unknown: Vec<_> = self.cache_unknown.extract_if(.., |engine| may_ask(engine)).collect();
        cache_unknown.retain(|id| {
            let unknown = self.members.get_mut(id).filter(|member| member.memory > 0 && !member.cache_known);
            unknown.map(|member| member.cache_known = true).is_some()
        });
        cache_unknown
    }

    /// Records a prompt that the home granted to an upstream, since this router may become the home next.
    pub fn record_prefill(&mut self, upstream: &id::Upstream, parts: &[Part]) {
        if let Some(member) = self.members.get_mut(upstream) {
            member.cache.insert_prompt(parts);
            self.holders.apply_changes(member);
        }
    }

    /// Records the prefix that an entry router saw go to an upstream, if no serving member is recorded to hold it.
    pub(super) fn learn_observed_prefix(&mut self, ask: &Ask) {
        let Some((depth, upstream)) = &ask.seen else {
            return;
        };
        let parts = &ask.parts[..(*depth).min(ask.parts.len())];
        let tokens: u32 = parts.iter().map(|part| part.tokens).sum();
        // Usually the upstream is recorded to hold it, and no other member need be scanned.
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
            member.cache.insert_prompt(parts);
            self.holders.apply_changes(member);
        }
    }
}
