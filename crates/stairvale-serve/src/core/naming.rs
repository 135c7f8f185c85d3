//! Which routers the store names, so that others find them: a few of each zone, the strongest, written by the fleet's reader
//! alone. So what the store is asked doesn't grow with the fleet, or with how often its routers start.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use stairvale_placement::pick;
use stairvale_replica::Router;
use stairvale_types::{Moment, id};
use stairvale_wire::{Member, Status};

use super::Core;
use crate::source::Naming;

/// Live routers of each zone that are named: two may be lost at once with one left to find.
const NAMED: usize = 3;
/// Names of a zone beyond which those of routers that are gone are taken away. Below it they stay: on the other side of a cut
/// they may live.
const MOST: usize = 6;
/// What is to change of the names must have been so for this long before it is written: routers come and go together.
const SETTLED: Duration = Duration::from_secs(2);
/// Changes that are written at once. A transaction of the users' store holds 32.
const AT_ONCE: usize = 32;
/// A router that has just started, of a fleet that nobody is named of, waits this long for others before it reads for all of them.
pub(super) const JOIN: Duration = Duration::from_millis(1_000);

impl Core {
    /// Since when this router runs.
    pub(super) fn life(&self, now: Moment) -> Duration {
        self.born.map_or(Duration::ZERO, |born| now.since(born))
    }

    /// Whether this router knows how many there are: it was told by one that did, or has waited for others to answer.
    pub(super) fn knows_fleet(&self, now: Moment) -> bool {
        self.told || self.swim.is_alone() || self.life(now) >= JOIN
    }

    /// Whether this router knows enough of the others to do work for them: it was told who is named, or has waited for others
    /// to answer.
    pub(super) fn has_met(&self, now: Moment) -> bool {
        self.view.routers().next().is_some() || self.swim.is_alone() || self.life(now) >= JOIN
    }

    /// Takes routers that the store names for alive until they don't answer.
    pub(super) fn presume(&mut self, now: Moment) -> Vec<super::Effect> {
        let named = self.view.routers().map(|router| Member {
            router: router.id.clone(),
            zone: router.zone.clone(),
            address: router.address,
            incarnation: id::Incarnation(0),
            status: Status::Alive,
            strength: router.strength,
        });
        let effects = self.swim.presume(now, named.collect());
        self.members(now, effects)
    }

    /// What this router, as the fleet's reader, is to change of the names.
    #[must_use]
    pub fn naming(&self, now: Moment) -> Naming {
        let mut naming = Naming::default();
        if self.leaving || !self.is_reader(now) || self.is_older(now, self.bounds.stale()) {
            return naming;
        }
        let mut live: BTreeMap<&id::Zone, Vec<&Member>> = BTreeMap::new();
        for member in self.swim.live().filter(|member| member.status == Status::Alive) {
            live.entry(&member.zone).or_default().push(member);
        }
        let mut named: BTreeMap<&id::Zone, Vec<&Router>> = BTreeMap::new();
        for router in self.view.routers() {
            named.entry(&router.zone).or_default().push(router);
        }
        let zones: BTreeSet<_> = live.keys().chain(named.keys()).copied().collect();
        for zone in zones {
            let live = live.get(zone).map(Vec::as_slice).unwrap_or_default();
            self.name_zone(live, named.get(zone).map(Vec::as_slice).unwrap_or_default(), &mut naming);
        }
        naming.put.truncate(AT_ONCE);
        naming.remove.truncate(AT_ONCE - naming.put.len());
        naming
    }

    /// How long a change of the names must have been due. Where none of those that are named lives, nobody knows of anybody and
    /// each router takes itself for the reader: they write one after the other, so that the later ones find the first.
    #[must_use]
    pub fn naming_settles(&self) -> Duration {
        let mut named = self.view.routers().peekable();
        let lost = named.peek().is_some() && !named.any(|router| self.lives(&router.id));
        SETTLED.mul_f64(if lost { 1.0 + 2.0 * self.share() } else { 1.0 })
    }

    /// A share of one that differs from router to router, so that not all do the same in the same moment.
    pub(super) fn share(&self) -> f64 {
        f64::from(u16::try_from(self.me.hash64() >> 48).unwrap_or(0)) / f64::from(u16::MAX)
    }

    /// All names that stand, to be written anew under a lease of this router's own.
    #[must_use]
    pub fn names(&self) -> Naming {
        let put = self.view.routers().filter(|router| self.lives(&router.id)).take(AT_ONCE).cloned().collect();
        Naming { put, remove: Vec::new() }
    }

    fn name_zone(&self, live: &[&Member], named: &[&Router], naming: &mut Naming) {
        let (standing, gone): (Vec<_>, Vec<_>) = named.iter().copied().partition(|router| self.lives(&router.id));
        for router in &standing {
            let member = live.iter().find(|member| member.router == router.id);
            if let Some(changed) = member.map(|member| entry(member)).filter(|entry| entry != *router) {
                naming.put.push(changed);
            }
        }
        let mut others: Vec<_> = live.iter().filter(|member| self.view.router(&member.router).is_none()).collect();
        for _ in standing.len()..NAMED {
            let strongest = others.iter().map(|member| member.strength).max();
            let strong = others.iter().filter(|member| Some(member.strength) == strongest);
            let Some(next) = pick(0, strong.map(|member| (member.router.hash64(), &member.router))).cloned() else {
                break;
            };
            others.retain(|member| {
                let chosen = member.router == next;
                naming.put.extend(chosen.then(|| entry(member)));
                !chosen
            });
        }
        let surplus = named.len().saturating_sub(MOST);
        let spare = standing.into_iter().skip(NAMED);
        naming.remove.extend(gone.into_iter().chain(spare).take(surplus).map(|router| router.id.clone()));
    }

    fn lives(&self, router: &id::Router) -> bool {
        router == &self.me || self.swim.peer(router).is_some_and(|peer| peer.status == Status::Alive)
    }
}

fn entry(member: &Member) -> Router {
    let Member { router, zone, address, strength, .. } = member.clone();
    Router { id: router, zone, address, strength }
}
