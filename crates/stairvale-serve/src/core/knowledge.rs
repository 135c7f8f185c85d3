//! What the store and the peers say, applied to what is decided by it.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use stairvale_dispatch::{
    Listing, Pool,
    pool::{Cold, Rules},
};
use stairvale_membership::swim;
use stairvale_replica::State;
use stairvale_table::{Document, Table};
use stairvale_types::{Moment, id, unit};
use stairvale_wire::Status;

use super::{Core, Effect, is_heard};

/// Routers of a fleet that nobody is named of know each other this long after they started.
const SETTLED: Duration = Duration::from_secs(3);

impl Core {
    /// Applies the view to what is decided by it.
    pub(super) fn refresh(&mut self, now: Moment) -> Vec<Effect> {
        let mut effects = Vec::new();
        // A copy that may be seconds old decides nothing: what it shows may have been changed already.
        if let Some(document) = self.view.document().filter(|_| self.view.is_confirmed())
            && document.version > self.table.version()
        {
            self.table = Arc::new(Table::new(Document::clone(document)));
            effects.push(Effect::Configured(self.table.clone()));
        }
        effects.extend(self.presume(now));
        effects.extend(self.answer_askers(now));
        effects.extend(self.regroup(now));
        effects
    }

    /// Whether it is clear who the homes are: half of the strong routers that the store names have answered, so that all
    /// agree. The others may take longer to start, and aren't waited for. Where none is named, some time must have passed.
    pub(super) fn has_joined(&self, now: Moment) -> bool {
        let strongest = self.view.routers().map(|router| router.strength).max();
        let Some(strongest) = strongest else {
            return self.life(now) >= SETTLED;
        };
        let strong = self.view.routers().filter(|router| router.strength * 2 >= strongest);
        let named: BTreeSet<_> = strong.map(|router| &router.id).collect();
        let heard = self.swim.live().filter(|member| is_heard(member));
        let live = heard.filter(|member| named.contains(&member.router)).count();
        live * 2 >= named.len()
    }

    /// Hands each service's upstreams to its pool.
    pub(super) fn regroup(&mut self, now: Moment) -> Vec<Effect> {
        let mut effects = Vec::new();
        let table = self.table.clone();
        let evacuated: BTreeSet<_> = self.view.evacuated().cloned().collect();
        let before = std::mem::replace(&mut self.evacuated, evacuated);
        let taken_back: Vec<_> = before.difference(&self.evacuated).cloned().collect();
        for zone in before.symmetric_difference(&self.evacuated) {
            let upstreams = self.view.upstreams().filter(|(upstream, _)| &upstream.zone == zone).count();
            effects.push(Effect::Evacuated { zone: zone.clone(), evacuated: self.evacuated.contains(zone), upstreams });
        }
        let mut by_service: BTreeMap<&id::Service, Vec<Listing>> = BTreeMap::new();
        for (upstream, revision) in self.view.upstreams() {
            by_service.entry(&upstream.service).or_default().push(Listing {
                id: upstream.id.clone(),
                zone: upstream.zone.clone(),
                slots: upstream.slots,
                usable: upstream.state == State::Ready && !self.evacuated.contains(&upstream.zone),
                cold: upstream.cold,
                revision,
            });
        }
        let mut by_service: BTreeMap<_, _> = by_service.into_iter().map(|(name, all)| (name.clone(), all)).collect();
        for service in &table.document().services {
            let known = by_service.remove(&service.name).unwrap_or_default();
            let memory = service.engine.map(|engine| unit::Tokens(u32::try_from(engine.memory).unwrap_or(u32::MAX)));
            let rules = Rules {
                engine: memory,
                copies: service.engine.is_some_and(|engine| engine.copies),
                multiple: self.bounds.load_multiple,
                slack: self.bounds.load_slack,
                cold: service.cold.map(|cold| Cold {
                    pace: cold.pace,
                    bound: self.bounds.cold(cold.pace),
                    time: cold.time,
                }),
            };
            let pool = self.pools.entry(service.name.clone()).or_insert_with(|| Pool::new(rules));
            pool.set_rules(rules);
            pool.set_dark(self.dark.clone());
            for zone in &taken_back {
                pool.take_back(now, zone);
            }
            let answers = pool.set_members(now, &known);
            effects.extend(self.answers(answers));
        }
        self.pools.retain(|name, _| table.service(name).is_some());
        effects
    }

    /// Tells each pool which part this router has in what may be given to cold upstreams over the whole fleet: as a service's
    /// home that of the routers which can ask it, and otherwise none. Who doesn't know the fleet yet has none either.
    pub(super) fn share_out(&mut self, now: Moment) {
        let (mut asking, mut known) = (0_u32, 0_u32);
        for member in self.swim.peers().filter(|member| member.status != Status::Leaving) {
            known += 1;
            asking += u32::from(member.status == Status::Alive && is_heard(member));
        }
        // This router itself.
        (asking, known) = (asking + 1, known + 1);
        let knows = self.knows_fleet(now);
        for service in self.pools.keys().cloned().collect::<Vec<_>>() {
            let home = knows && self.standing_home(&service).as_ref() == Some(&self.me);
            let part = if home { f64::from(asking) / f64::from(known) } else { 0.0 };
            if let Some(pool) = self.pools.get_mut(&service) {
                pool.set_share(now, part);
            }
        }
    }

    /// The zones none of whose routers answers: they may be behind a cut.
    pub(super) fn find_dark(&self) -> BTreeSet<id::Zone> {
        let mut seen: BTreeMap<id::Zone, bool> = BTreeMap::new();
        for peer in self.swim.peers().filter(|peer| peer.zone != self.zone && peer.status != Status::Leaving) {
            *seen.entry(peer.zone.clone()).or_default() |= peer.status == Status::Alive;
        }
        seen.into_iter().filter(|(_, alive)| !alive).map(|(zone, _)| zone).collect()
    }

    pub(super) fn members(&mut self, now: Moment, effects: Vec<swim::Effect>) -> Vec<Effect> {
        let mut out = Vec::new();
        let mut joined = false;
        for effect in effects {
            match effect {
                swim::Effect::Send { to, packet } => out.push(Effect::Datagram { to, packet }),
                swim::Effect::Died(router) => out.push(Effect::Lost(router)),
                swim::Effect::Joined(router) => {
                    self.distrusted.remove(&router);
                    joined = true;
                }
                swim::Effect::Leaves(_) | swim::Effect::Upstream(_) | swim::Effect::Versions { .. } => {}
            }
        }
        if joined {
            out.extend(self.inherit());
            if !self.view.is_confirmed() {
                // Whoever has just answered may know what this router waits for.
                out.extend(self.sync(now));
            }
        }
        let dark = self.find_dark();
        if dark != self.dark {
            self.dark = dark;
            out.extend(self.regroup(now));
        }
        out
    }
}
