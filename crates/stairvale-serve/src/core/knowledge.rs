//! What the store and the peers say, applied to what is decided by it.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use stairvale_dispatch::{Pool, pool::Rules};
use stairvale_membership::swim;
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
        for service in &table.document().services {
            let known = self.view.upstreams().filter(|upstream| upstream.service == service.name);
            let known: Vec<_> = known
                .map(|upstream| {
                    let usable = self.view.is_usable(&upstream.id);
                    (upstream.id.clone(), upstream.zone.clone(), upstream.slots, usable)
                })
                .collect();
            let memory = service.engine.map(|engine| unit::Tokens(u32::try_from(engine.memory).unwrap_or(u32::MAX)));
            let rules = Rules {
                engine: memory,
                copies: service.engine.is_some_and(|engine| engine.copies),
                multiple: self.bounds.load_multiple,
                slack: self.bounds.load_slack,
            };
            let pool = self.pools.entry(service.name.clone()).or_insert_with(|| Pool::new(rules));
            pool.set_rules(rules);
            pool.set_dark(self.dark.clone());
            let answers = pool.set_members(now, &known);
            effects.extend(self.answers(answers));
        }
        self.pools.retain(|name, _| table.service(name).is_some());
        effects
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
