//! The registrations of routers in the store, by which routers discover each other: the strongest few of each zone.
//! Only the fleet's reader writes them, so the load on the store doesn't grow with the fleet or with the rate of
//! restarts.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use stairvale_placement::pick;
use stairvale_replica::Router;
use stairvale_types::{Moment, id};
use stairvale_wire::{Member, Status};

use super::{Core, has_responded};
use crate::source::Registrations;

/// Number of live routers that are registered in each zone: if two are lost at once, one is left to be found.
const MIN_REGISTERED_PER_ZONE: usize = 3;
/// Number of a zone's registrations above which those of dead routers are removed. Up to this number they stay, since
/// these routers may be live on the other side of a network partition.
const MAX_REGISTERED_PER_ZONE: usize = 6;
/// Time for which a change of the registrations has to be due before it is written, since routers often join and
/// leave together.
const SETTLING_TIME: Duration = Duration::from_secs(2);
/// Maximum number of changes in one write. The store's transactions hold 32.
const MAX_CHANGES_PER_WRITE: usize = 32;
/// Time that a router which has just started waits for others, if no router is registered, before it reads the store
/// for all of them.
pub(super) const JOIN_TIMEOUT: Duration = Duration::from_millis(1_000);

impl Core {
    /// Time since the first tick of this router.
    pub(super) fn uptime(&self, now: Moment) -> Duration {
        self.started_at.map_or(Duration::ZERO, |born| now.since(born))
    }

    /// Whether this router knows the number of routers: a peer that knows it has answered a sync request, this router
    /// is the only one, or the time to wait for answers has passed.
    pub(super) fn knows_fleet(&self, now: Moment) -> bool {
        self.learned_fleet || self.swim.is_alone() || self.uptime(now) >= JOIN_TIMEOUT
    }

    /// Whether enough routers have responded to this one since its start for it to know how many there are: of each zone with
    /// more routers than are registered, from more than half of the registered ones. At most one side of a partition has.
    pub(super) fn knows_fleet_size(&self) -> bool {
        let mut zones: BTreeMap<&id::Zone, (usize, usize)> = BTreeMap::new();
        for router in self.view.routers() {
            let (registered, heard) = zones.entry(&router.zone).or_default();
            *registered += 1;
            *heard += usize::from(router.id == self.me || self.swim.peer(&router.id).is_some_and(has_responded));
        }
        // A zone with fewer registrations than that has no other routers.
        zones.values().all(|(registered, heard)| *registered < MIN_REGISTERED_PER_ZONE || 2 * heard > *registered)
    }

    /// Whether this router knows enough peers to do work for them: it has read the registrations, it is the only
    /// router, or the time to wait for answers has passed.
    pub(super) fn has_discovered_peers(&self, now: Moment) -> bool {
        self.view.routers().next().is_some() || self.swim.is_alone() || self.uptime(now) >= JOIN_TIMEOUT
    }

    /// Treats registered routers as alive until they fail to answer.
    pub(super) fn presume_alive(&mut self, now: Moment) -> Vec<super::Effect> {
        let registered = self.view.routers().map(|router| Member {
            router: router.id.clone(),
            zone: router.zone.clone(),
            address: router.address,
            incarnation: id::Incarnation(0),
            status: Status::Alive,
            strength: router.strength,
        });
        let effects = self.swim.assume_alive(now, registered.collect());
        self.handle_membership(now, effects)
    }

    /// The changes of the registrations that this router has to write as the fleet's reader.
    #[must_use]
    pub fn registration_changes(&self, now: Moment) -> Registrations {
        let mut naming = Registrations::default();
        if self.leaving || !self.is_reader(now) || self.is_older(now, self.bounds.max_age()) {
            return naming;
        }
        let mut live: BTreeMap<&id::Zone, Vec<&Member>> = BTreeMap::new();
        for member in self.swim.live().filter(|member| member.status == Status::Alive) {
            live.entry(&member.zone).or_default().push(member);
        }
        let mut registered: BTreeMap<&id::Zone, Vec<&Router>> = BTreeMap::new();
        for router in self.view.routers() {
            registered.entry(&router.zone).or_default().push(router);
        }
        let zones: BTreeSet<_> = live.keys().chain(registered.keys()).copied().collect();
        for zone in zones {
            let live = live.get(zone).map(Vec::as_slice).unwrap_or_default();
            self.update_zone_registrations(
                live,
                registered.get(zone).map(Vec::as_slice).unwrap_or_default(),
                &mut naming,
            );
        }
        naming.put.truncate(MAX_CHANGES_PER_WRITE);
        naming.remove.truncate(MAX_CHANGES_PER_WRITE - naming.put.len());
        naming
    }

    /// Time for which a change of the registrations has to be due before it is written. If none of the registered
    /// routers is alive, nobody can discover anybody, and each router takes itself for the reader. They then write at
    /// different times, so that the later ones find the first.
    #[must_use]
    pub fn registration_delay(&self) -> Duration {
        let mut registered = self.view.routers().peekable();
        let none_alive = registered.peek().is_some() && !registered.any(|router| self.is_alive(&router.id));
        SETTLING_TIME.mul_f64(if none_alive { 1.0 + 2.0 * self.jitter() } else { 1.0 })
    }

    /// A fraction between 0 and 1 that is derived from the router's name, so that routers don't all act at the same
    /// moment.
    pub(super) fn jitter(&self) -> f64 {
        f64::from(u16::try_from(self.me.hash64() >> 48).unwrap_or(0)) / f64::from(u16::MAX)
    }

    /// All registrations that still hold, to be written again under a lease of this router.
    #[must_use]
    pub fn current_registrations(&self) -> Registrations {
        let put = self
            .view
            .routers()
            .filter(|router| self.is_alive(&router.id))
            .take(MAX_CHANGES_PER_WRITE)
            .cloned()
            .collect();
        Registrations { put, remove: Vec::new() }
    }

    fn update_zone_registrations(&self, live: &[&Member], registered: &[&Router], naming: &mut Registrations) {
        let (alive, dead): (Vec<_>, Vec<_>) = registered.iter().copied().partition(|router| self.is_alive(&router.id));
        for router in &alive {
            let member = live.iter().find(|member| member.router == router.id);
            if let Some(updated) =
                member.map(|member| registration(member)).filter(|registration| registration != *router)
            {
                naming.put.push(updated);
            }
        }
        let mut unregistered: Vec<_> =
            live.iter().filter(|member| self.view.router(&member.router).is_none()).collect();
        for _ in alive.len()..MIN_REGISTERED_PER_ZONE {
            let strongest = unregistered.iter().map(|member| member.strength).max();
            let candidates = unregistered.iter().filter(|member| Some(member.strength) == strongest);
            let Some(next) = pick(0, candidates.map(|member| (member.router.hash64(), &member.router))).cloned() else {
                break;
            };
            unregistered.retain(|member| {
                let chosen = member.router == next;
                naming.put.extend(chosen.then(|| registration(member)));
                !chosen
            });
        }
        let surplus = registered.len().saturating_sub(MAX_REGISTERED_PER_ZONE);
        let excess = alive.into_iter().skip(MIN_REGISTERED_PER_ZONE);
        naming.remove.extend(dead.into_iter().chain(excess).take(surplus).map(|router| router.id.clone()));
    }

    fn is_alive(&self, router: &id::Router) -> bool {
        router == &self.me || self.swim.peer(router).is_some_and(|peer| peer.status == Status::Alive)
    }
}

fn registration(member: &Member) -> Router {
    let Member { router, zone, address, strength, .. } = member.clone();
    Router { id: router, zone, address, strength }
}
