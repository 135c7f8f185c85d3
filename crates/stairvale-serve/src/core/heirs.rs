//! Selection of the router that decides when a service's home doesn't respond, and replication of the home's cached
//! prefixes to it.
//!
//! A router skips homes that were late recently, and with them their zones, since a fault on the path to one router
//! of a zone often affects all of the zone. If two other zones are late, it is this router's own zone that is cut
//! off, and the strongest routers of this zone decide. Every router that may be asked receives the engines' cached
//! prefixes while the home is live, since one without them would have engines prefill all prompts again.

use std::collections::{BTreeMap, BTreeSet};

use stairvale_placement::pick;
use stairvale_types::{Moment, id};
use stairvale_wire::Member;

use super::{Core, Effect};
use crate::frame::Frame;

/// Number of late zones from which on a router concludes that its own zone is cut off.
const MIN_LATE_ZONES_IF_CUT_OFF: usize = 2;

/// The routers to which a service's home sends what the service's engines hold.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct Successors {
    /// Routers that receive the prefixes of all engines: the next home, and the first candidate in another zone.
    full: Vec<id::Router>,
    /// For each other zone, the router that decides there when the zone is cut off; it receives the prefixes of the
    /// zone's engines.
    by_zone: BTreeMap<id::Zone, id::Router>,
}

impl Successors {
    /// The successors that receive the prefixes of a zone's engines.
    fn for_zone<'a>(&'a self, zone: Option<&'a id::Zone>) -> impl Iterator<Item = &'a id::Router> {
        let in_zone = zone.and_then(|zone| self.by_zone.get(zone)).filter(|router| !self.full.contains(router));
        self.full.iter().chain(in_zone)
    }

    /// All successors, each once.
    pub(super) fn all(&self) -> impl Iterator<Item = &id::Router> {
        self.full.iter().chain(self.by_zone.values().filter(|router| !self.full.contains(router)))
    }
}

impl Core {
    /// The router that decides for a service now: its home, or the stand-in for a home that doesn't respond.
    pub(super) fn home(&self, now: Moment, service: &id::Service) -> id::Router {
        let distrusts = |router: &id::Router| self.distrusted.get(router).is_some_and(|until| *until > now);
        if self.distrusted.is_empty() || !self.roles.any_home(distrusts) {
            return self.assigned_home(service).unwrap_or(&self.me).clone();
        }
        let late: BTreeSet<_> = self.distrusted.keys().filter(|router| distrusts(router)).collect();
        let zones = late.iter().filter_map(|router| self.swim.peer(router)).map(|peer| &peer.zone);
        let zones: BTreeSet<_> = zones.filter(|zone| **zone != self.zone).collect();
        let trusted = || self.responding_routers().filter(|member| !distrusts(&member.router));
        let home = if zones.len() >= MIN_LATE_ZONES_IF_CUT_OFF {
            self.home_among(service, trusted().filter(|member| member.zone == self.zone))
        } else {
            let candidates = self.eligible(trusted());
            let in_trusted_zones =
                candidates.iter().filter(|(_, router)| self.zone_of(router).is_none_or(|zone| !zones.contains(zone)));
            pick(service.hash64(), in_trusted_zones.copied())
                .or_else(|| pick(service.hash64(), candidates.iter().copied()))
        };
        home.unwrap_or(&self.me).clone()
    }

    /// The one of the given routers that decides for a service.
    fn home_among<'a>(&'a self, service: &id::Service, of: impl Iterator<Item = &'a Member>) -> Option<&'a id::Router> {
        pick(service.hash64(), self.eligible(of).into_iter())
    }

    pub(super) fn zone_of(&self, router: &id::Router) -> Option<&id::Zone> {
        if router == &self.me { Some(&self.zone) } else { self.swim.peer(router).map(|peer| &peer.zone) }
    }

    /// Sends a frame about an engine to the successors that hold its prefixes.
    pub(super) fn send_to_successors(
        &self,
        service: &id::Service,
        upstream: &id::Upstream,
        frame: &Frame,
    ) -> Vec<Effect> {
        let zone = self.view.upstream(upstream).map(|known| &known.zone);
        let successors = self.successors.get(service).into_iter().flat_map(|successors| successors.for_zone(zone));
        successors.flat_map(|successor| self.send(successor, frame.clone())).collect()
    }

    /// Sends each service's successors what this router knows of its engines as the home. A new successor receives
    /// all of it.
    pub(super) fn update_successors(&mut self) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (service, pool) in self.pools.iter().filter(|(_, pool)| pool.has_engines()) {
            let Some(home) = self.home_among(service, self.responding_routers()) else {
                continue;
            };
            let previous = self.successors.get(service);
            let successors = if home == &self.me {
                self.successors_of(service)
            } else {
                // Only a router that was the home before has anything to send.
                Successors { full: previous.map(|_| home.clone()).into_iter().collect(), by_zone: BTreeMap::new() }
            };
            if successors.full.is_empty() {
                self.successors.remove(service);
                continue;
            }
            if previous == Some(&successors) {
                continue;
            }
            for (upstream, parts) in pool.prefixes() {
                let zone = self.view.upstream(upstream).map(|known| &known.zone);
                let informed: Vec<_> = previous.into_iter().flat_map(|previous| previous.for_zone(zone)).collect();
                for successor in successors.for_zone(zone).filter(|successor| !informed.contains(successor)) {
                    let (service, upstream, parts) = (service.clone(), upstream.clone(), parts.clone());
                    effects.extend(self.send(successor, Frame::Prefixes { service, upstream, parts }));
                }
            }
            self.successors.insert(service.clone(), successors);
        }
        effects
    }

    /// The successors of this router as a service's home.
    pub(super) fn successors_of(&self, service: &id::Service) -> Successors {
        let others = || self.responding_routers().filter(|member| member.router != self.me);
        let mut full: Vec<_> = self.home_among(service, others()).cloned().into_iter().collect();
        if full.iter().all(|successor| self.zone_of(successor) == Some(&self.zone)) {
            let candidates = self.eligible(others());
            let in_other_zones = candidates.into_iter().filter(|(_, router)| self.zone_of(router) != Some(&self.zone));
            full.extend(pick(service.hash64(), in_other_zones).cloned());
        }
        let zones: BTreeSet<_> = others().map(|member| &member.zone).filter(|zone| **zone != self.zone).collect();
        let decider_in =
            |zone: &id::Zone| self.home_among(service, others().filter(|member| &member.zone == zone)).cloned();
        let by_zone = zones.into_iter().filter_map(|zone| Some((zone.clone(), decider_in(zone)?))).collect();
        Successors { full, by_zone }
    }
}
