//! The assignment of homes, watchers and the reader, computed when the fleet changes rather than on each lookup.
//!
//! Every request looks up a home, and every decision about reading the store looks up its reader. Both depend only on
//! which routers are live and which are registered, which changes a few times a minute, so the results are cached
//! until then. With 300 routers a lookup then scans a few eligible routers instead of all of them.

use std::collections::{BTreeMap, BTreeSet};

use stairvale_placement::pick;
use stairvale_replica::Router;
use stairvale_types::{Moment, id};
use stairvale_wire::{Member, Status};

use super::{Core, PRESUMED_ALIVE_PERIOD, READER_KEY, has_responded};

/// The revisions and conditions that the roles are computed from.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct RoleInputs {
    /// The revision of the membership.
    members: u64,
    /// The revision of the registrations in the store.
    names: u64,
    /// The revision of the set of routers that are excluded as watchers.
    excluded: u64,
    /// Whether registered routers count as present that haven't had time to respond yet.
    in_presumed_period: bool,
}

/// The computed roles.
#[derive(Debug, Default)]
pub(super) struct Roles {
    inputs: Option<RoleInputs>,
    /// Routers that may be homes: the eligible ones among those that have responded, with their hashes.
    home_candidates: Vec<(u64, id::Router)>,
    /// The watcher of each zone: the router that keeps the zone's other routers up to date.
    pub(super) watchers: BTreeMap<id::Zone, id::Router>,
    /// The watcher that reads the store for the whole fleet.
    pub(super) reader: Option<id::Router>,
    /// Whether at least half of the registered routers with enough capacity have responded; `None` if no router is
    /// registered.
    pub(super) has_quorum: Option<bool>,
    /// The other zones none of whose routers responds.
    pub(super) unreachable_zones: BTreeSet<id::Zone>,
    /// The fraction of all known routers that respond, including this one.
    pub(super) responding_share: f64,
}

impl Roles {
    /// The home candidate that a key is assigned to.
    pub(super) fn home(&self, key: u64) -> Option<&id::Router> {
        pick(key, self.home_candidates.iter().map(|(hash, router)| (*hash, router)))
    }

    /// What the roles were computed from; `None` before the first time.
    pub(super) fn inputs(&self) -> Option<RoleInputs> {
        self.inputs
    }

    /// The routers that may be homes.
    pub(super) fn home_candidates(&self) -> impl Iterator<Item = &id::Router> {
        self.home_candidates.iter().map(|(_, router)| router)
    }

    /// Whether `matches` holds for any home candidate.
    pub(super) fn any_home(&self, mut matches: impl FnMut(&id::Router) -> bool) -> bool {
        self.home_candidates.iter().any(|(_, router)| matches(router))
    }
}

impl Core {
    /// Recomputes the roles if any of their inputs changed.
    pub(super) fn update_roles(&mut self, now: Moment) {
        let inputs = RoleInputs {
            members: self.swim.revision(),
            names: self.view.routers_revision(),
            excluded: self.excluded_watchers_revision,
            in_presumed_period: self.uptime(now) < PRESUMED_ALIVE_PERIOD,
        };
        if self.roles.inputs != Some(inputs) {
            self.roles = self.compute_roles(inputs);
            if self.is_watcher() && self.watcher_since.is_none() {
                // The zone's routers sync with this one from now on, and the fleet's reader has a newer copy, so this
                // router syncs at once.
                (self.watcher_since, self.next_sync) = (Some(now), now);
            } else if !self.is_watcher() {
                self.watcher_since = None;
            }
        }
    }

    fn compute_roles(&self, inputs: RoleInputs) -> Roles {
        let present_members = self.swim.live().filter(|member| {
            let present = inputs.in_presumed_period || has_responded(member);
            present && member.status == Status::Alive && !self.excluded_watchers.contains_key(&member.router)
        });
        let mut zones: BTreeMap<&id::Zone, Vec<&Member>> = BTreeMap::new();
        for member in present_members {
            zones.entry(&member.zone).or_default().push(member);
        }
        let mut watchers = BTreeMap::new();
        let mut watching = Vec::new();
        for (zone, members) in zones {
            let watcher = pick(zone.hash64(), self.eligible(members.iter().copied()).into_iter()).cloned();
            watching.extend(members.into_iter().find(|member| Some(&member.router) == watcher.as_ref()));
            watchers.extend(watcher.map(|watcher| (zone.clone(), watcher)));
        }
        let reader = pick(READER_KEY, self.eligible(watching.into_iter()).into_iter()).cloned();
        let home_candidates =
            self.eligible(self.responding_routers()).into_iter().map(|(hash, router)| (hash, router.clone())).collect();
        let (has_quorum, unreachable_zones, responding_share) =
            (self.has_quorum(), self.compute_unreachable_zones(), self.compute_responding_share());
        Roles {
            inputs: Some(inputs),
            home_candidates,
            watchers,
            reader,
            has_quorum,
            unreachable_zones,
            responding_share,
        }
    }

    /// The routers that may be homes or watchers. Candidates are the registered routers, or all if no live one is
    /// registered; eligible are those with at least half the processor share of the strongest candidate. Every router
    /// has read the registrations, even one that has just started and knows few others, so all routers reach the same
    /// assignment.
    pub(super) fn eligible<'a>(&self, live: impl Iterator<Item = &'a Member>) -> Vec<(u64, &'a id::Router)> {
        let live: Vec<_> = live.map(|member| (member, self.view.router(&member.router))).collect();
        let any_registered = live.iter().any(|(_, registered)| registered.is_some());
        let candidates = live.into_iter().filter(|(_, registered)| registered.is_some() || !any_registered);
        let strength = |member: &Member, registered: Option<&Router>| {
            registered.map_or(member.strength, |registered| registered.strength)
        };
        let candidates: Vec<_> =
            candidates.map(|(member, registered)| (member, strength(member, registered))).collect();
        let strongest = candidates.iter().map(|(_, strength)| *strength).max().unwrap_or(0);
        let strong = candidates.into_iter().filter(|(_, strength)| strength * 2 >= strongest);
        strong.map(|(member, _)| (member.router.hash64(), &member.router)).collect()
    }

    fn has_quorum(&self) -> Option<bool> {
        let strongest = self.view.routers().map(|router| router.strength).max()?;
        let strong = self.view.routers().filter(|router| router.strength * 2 >= strongest);
        let registered: BTreeSet<_> = strong.map(|router| &router.id).collect();
        let responding = self.swim.live().filter(|member| has_responded(member));
        let live = responding.filter(|member| registered.contains(&member.router)).count();
        Some(live * 2 >= registered.len())
    }

    /// The other zones none of whose routers responds: they may be behind a network partition.
    fn compute_unreachable_zones(&self) -> BTreeSet<id::Zone> {
        let mut responding: BTreeMap<&id::Zone, bool> = BTreeMap::new();
        for peer in self.swim.peers().filter(|peer| peer.zone != self.zone && peer.status != Status::Leaving) {
            *responding.entry(&peer.zone).or_default() |= peer.status == Status::Alive;
        }
        responding.into_iter().filter(|(_, alive)| !alive).map(|(zone, _)| zone.clone()).collect()
    }

    fn compute_responding_share(&self) -> f64 {
        // Both counts include this router.
        let (mut responding, mut known) = (1_u32, 1_u32);
        for member in self.swim.peers().filter(|member| member.status != Status::Leaving) {
            known += 1;
            responding += u32::from(member.status == Status::Alive && has_responded(member));
        }
        f64::from(responding) / f64::from(known)
    }
}
