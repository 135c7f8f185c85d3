//! Who decides where a service's home doesn't answer, and what it is told before that.
//!
//! A router passes over homes that were late a moment ago, and with them their zones: what takes the way to one router of a
//! zone often takes the way to all of it. If two other zones are late it is this router's own that is cut off, and its strongest
//! routers decide. Whoever may be asked is told what engines hold while the home lives, since one that knows nothing has
//! engines read all prompts again.

use std::collections::{BTreeMap, BTreeSet};

use stairvale_placement::pick;
use stairvale_types::{Moment, id};
use stairvale_wire::Member;

use super::{Core, Effect};
use crate::frame::Frame;

/// Late zones from which on a router takes its own for cut off.
const CUT_OFF: usize = 2;

/// Who is told, by a service's home, what the service's engines hold.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct Heirs {
    /// Those that are told of all engines: the next home, and the first one in another zone.
    whole: Vec<id::Router>,
    /// Those that decide for their zone when it is cut off, told of the engines there.
    zones: BTreeMap<id::Zone, id::Router>,
}

impl Heirs {
    /// Those that are told of the engines of a zone.
    fn of<'a>(&'a self, zone: Option<&'a id::Zone>) -> impl Iterator<Item = &'a id::Router> {
        let there = zone.and_then(|zone| self.zones.get(zone)).filter(|router| !self.whole.contains(router));
        self.whole.iter().chain(there)
    }

    /// All of them.
    pub(super) fn all(&self) -> impl Iterator<Item = &id::Router> {
        self.whole.iter().chain(self.zones.values().filter(|router| !self.whole.contains(router)))
    }
}

impl Core {
    /// The router that a request of a service is placed by: its home, or who stands in for one that doesn't answer.
    pub(super) fn home(&self, now: Moment, service: &id::Service) -> id::Router {
        let distrusts = |router: &id::Router| self.distrusted.get(router).is_some_and(|until| *until > now);
        if self.distrusted.is_empty() || !self.roles.any_home(distrusts) {
            return self.standing_home(service).unwrap_or(&self.me).clone();
        }
        let late: BTreeSet<_> = self.distrusted.keys().filter(|router| distrusts(router)).collect();
        let zones = late.iter().filter_map(|router| self.swim.peer(router)).map(|peer| &peer.zone);
        let zones: BTreeSet<_> = zones.filter(|zone| **zone != self.zone).collect();
        let trusted = || self.present().filter(|member| !distrusts(&member.router));
        let home = if zones.len() >= CUT_OFF {
            self.stand_in(service, trusted().filter(|member| member.zone == self.zone))
        } else {
            let strong = self.strong(trusted());
            let near =
                strong.iter().filter(|(_, router)| self.zone_of(router).is_none_or(|zone| !zones.contains(zone)));
            pick(service.hash64(), near.copied()).or_else(|| pick(service.hash64(), strong.iter().copied()))
        };
        home.unwrap_or(&self.me).clone()
    }

    /// The one of some routers that decides for a service.
    fn stand_in<'a>(&'a self, service: &id::Service, of: impl Iterator<Item = &'a Member>) -> Option<&'a id::Router> {
        pick(service.hash64(), self.strong(of).into_iter())
    }

    fn zone_of(&self, router: &id::Router) -> Option<&id::Zone> {
        if router == &self.me { Some(&self.zone) } else { self.swim.peer(router).map(|peer| &peer.zone) }
    }

    /// Sends a frame about an engine to the routers that were told what it holds.
    pub(super) fn tell_heirs(&self, service: &id::Service, upstream: &id::Upstream, frame: &Frame) -> Vec<Effect> {
        let zone = self.view.upstream(upstream).map(|known| &known.zone);
        let heirs = self.heirs.get(service).into_iter().flat_map(|heirs| heirs.of(zone));
        heirs.flat_map(|heir| self.send(heir, frame.clone())).collect()
    }

    /// Tells the heirs of each service what this router knows of it as the home: all of it to a new one.
    pub(super) fn inherit(&mut self) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (service, pool) in self.pools.iter().filter(|(_, pool)| pool.has_engines()) {
            let Some(home) = self.stand_in(service, self.present()) else {
                continue;
            };
            let told = self.heirs.get(service);
            let heirs = if home == &self.me {
                self.heirs_of(service)
            } else {
                // Only who was the home has something to tell.
                Heirs { whole: told.map(|_| home.clone()).into_iter().collect(), zones: BTreeMap::new() }
            };
            if heirs.whole.is_empty() {
                self.heirs.remove(service);
                continue;
            }
            if told == Some(&heirs) {
                continue;
            }
            for (upstream, parts) in pool.prefixes() {
                let zone = self.view.upstream(upstream).map(|known| &known.zone);
                let known: Vec<_> = told.into_iter().flat_map(|told| told.of(zone)).collect();
                for heir in heirs.of(zone).filter(|heir| !known.contains(heir)) {
                    let (service, upstream, parts) = (service.clone(), upstream.clone(), parts.clone());
                    effects.extend(self.send(heir, Frame::Prefixes { service, upstream, parts }));
                }
            }
            self.heirs.insert(service.clone(), heirs);
        }
        effects
    }

    /// The heirs of this router as a service's home.
    pub(super) fn heirs_of(&self, service: &id::Service) -> Heirs {
        let others = || self.present().filter(|member| member.router != self.me);
        let mut whole: Vec<_> = self.stand_in(service, others()).cloned().into_iter().collect();
        if whole.iter().all(|heir| self.zone_of(heir) == Some(&self.zone)) {
            let strong = self.strong(others());
            let far = strong.into_iter().filter(|(_, router)| self.zone_of(router) != Some(&self.zone));
            whole.extend(pick(service.hash64(), far).cloned());
        }
        let zones: BTreeSet<_> = others().map(|member| &member.zone).filter(|zone| **zone != self.zone).collect();
        let there = |zone: &id::Zone| self.stand_in(service, others().filter(|member| &member.zone == zone)).cloned();
        let zones = zones.into_iter().filter_map(|zone| Some((zone.clone(), there(zone)?))).collect();
        Heirs { whole, zones }
    }
}
