//! Who does what in the fleet, worked out when the fleet changes rather than whenever it is asked for.
//!
//! Every request asks for a home, and every look at the store for its reader. Both follow from who lives and who is named,
//! which changes a few times a minute; so the answers are kept until it does. With 300 routers that is a look at a few strong
//! ones in place of one at all.

use std::collections::{BTreeMap, BTreeSet};

use stairvale_placement::pick;
use stairvale_replica::Router;
use stairvale_types::{Moment, id};
use stairvale_wire::{Member, Status};

use super::{Core, LEADER, PRESUMED, is_heard};

/// What the answers follow from.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Basis {
    /// The peers' state.
    members: u64,
    /// The names in the store.
    names: u64,
    /// Routers that are passed over as watchers.
    blind: u64,
    /// Whether named routers count that haven't had time to answer.
    early: bool,
}

/// The answers.
#[derive(Debug, Default)]
pub(super) struct Roles {
    basis: Option<Basis>,
    /// Routers that may be homes: the strong ones that live and were heard of.
    strong: Vec<(u64, id::Router)>,
    /// The router of each zone that keeps it up to date.
    pub(super) watchers: BTreeMap<id::Zone, id::Router>,
    /// The watcher that reads the store for the whole fleet.
    pub(super) leader: Option<id::Router>,
    /// Whether half of the strong routers that are named have answered; `None` where none is named.
    pub(super) has_quorum: Option<bool>,
    /// The zones none of whose routers answers.
    pub(super) dark: BTreeSet<id::Zone>,
    /// The part of all known routers that answer, this one included.
    pub(super) answering: f64,
}

impl Roles {
    /// The router that a key falls to, among those that may be homes.
    pub(super) fn home(&self, key: u64) -> Option<&id::Router> {
        pick(key, self.strong.iter().map(|(hash, router)| (*hash, router)))
    }

    /// Whether any of some routers may be a home.
    pub(super) fn any_home(&self, mut is: impl FnMut(&id::Router) -> bool) -> bool {
        self.strong.iter().any(|(_, router)| is(router))
    }
}

impl Core {
    /// Brings the answers up to date, if anything changed that they follow from.
    pub(super) fn assign(&mut self, now: Moment) {
        let basis = Basis {
            members: self.swim.revision(),
            names: self.view.names(),
            blind: self.blind_changes,
            early: self.life(now) < PRESUMED,
        };
        if self.roles.basis != Some(basis) {
            self.roles = self.compute_roles(basis);
            if self.is_watcher() && self.watcher_since.is_none() {
                // The zone's routers ask it from now on, and the fleet's reader has a newer copy.
                (self.watcher_since, self.next_sync) = (Some(now), now);
            } else if !self.is_watcher() {
                self.watcher_since = None;
            }
        }
    }

    fn compute_roles(&self, basis: Basis) -> Roles {
        let watching = self.swim.live().filter(|member| {
            let present = basis.early || is_heard(member);
            present && member.status == Status::Alive && !self.blind.contains_key(&member.router)
        });
        let mut zones: BTreeMap<&id::Zone, Vec<&Member>> = BTreeMap::new();
        for member in watching {
            zones.entry(&member.zone).or_default().push(member);
        }
        let mut watchers = BTreeMap::new();
        let mut watching = Vec::new();
        for (zone, members) in zones {
            let watcher = pick(zone.hash64(), self.strong(members.iter().copied()).into_iter()).cloned();
            watching.extend(members.into_iter().find(|member| Some(&member.router) == watcher.as_ref()));
            watchers.extend(watcher.map(|watcher| (zone.clone(), watcher)));
        }
        let leader = pick(LEADER, self.strong(watching.into_iter()).into_iter()).cloned();
        let strong = self.strong(self.present()).into_iter().map(|(hash, router)| (hash, router.clone())).collect();
        let (has_quorum, dark, answering) = (self.has_quorum(), self.unreachable_zones(), self.answering());
        Roles { basis: Some(basis), strong, watchers, leader, has_quorum, dark, answering }
    }

    /// The routers that may do work for others, as homes or watchers: of those that the store names, or of all where it names
    /// none that lives, the ones with at least half of the strongest one's share of a processor. Everybody knows the names,
    /// also who has just started and has heard of few others; so all agree on who does what.
    pub(super) fn strong<'a>(&self, live: impl Iterator<Item = &'a Member>) -> Vec<(u64, &'a id::Router)> {
        let live: Vec<_> = live.map(|member| (member, self.view.router(&member.router))).collect();
        let any_named = live.iter().any(|(_, named)| named.is_some());
        let candidates = live.into_iter().filter(|(_, named)| named.is_some() || !any_named);
        let strength = |member: &Member, named: Option<&Router>| named.map_or(member.strength, |named| named.strength);
        let candidates: Vec<_> = candidates.map(|(member, named)| (member, strength(member, named))).collect();
        let strongest = candidates.iter().map(|(_, strength)| *strength).max().unwrap_or(0);
        let strong = candidates.into_iter().filter(|(_, strength)| strength * 2 >= strongest);
        strong.map(|(member, _)| (member.router.hash64(), &member.router)).collect()
    }

    fn has_quorum(&self) -> Option<bool> {
        let strongest = self.view.routers().map(|router| router.strength).max()?;
        let strong = self.view.routers().filter(|router| router.strength * 2 >= strongest);
        let named: BTreeSet<_> = strong.map(|router| &router.id).collect();
        let heard = self.swim.live().filter(|member| is_heard(member));
        let live = heard.filter(|member| named.contains(&member.router)).count();
        Some(live * 2 >= named.len())
    }

    /// The zones none of whose routers answers: they may be behind a cut.
    fn unreachable_zones(&self) -> BTreeSet<id::Zone> {
        let mut seen: BTreeMap<&id::Zone, bool> = BTreeMap::new();
        for peer in self.swim.peers().filter(|peer| peer.zone != self.zone && peer.status != Status::Leaving) {
            *seen.entry(&peer.zone).or_default() |= peer.status == Status::Alive;
        }
        seen.into_iter().filter(|(_, alive)| !alive).map(|(zone, _)| zone.clone()).collect()
    }

    fn answering(&self) -> f64 {
        // This router itself.
        let (mut answering, mut known) = (1_u32, 1_u32);
        for member in self.swim.peers().filter(|member| member.status != Status::Leaving) {
            known += 1;
            answering += u32::from(member.status == Status::Alive && is_heard(member));
        }
        f64::from(answering) / f64::from(known)
    }
}
