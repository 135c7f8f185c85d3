//! Applies changes of the store's copy and of the membership to the pools, the roll-outs and the roles.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use stairvale_dispatch::{
    Listing, Pool,
    pool::{ColdLimits, Rules},
};
use stairvale_membership::swim;
use stairvale_replica::{State, Subject, Upstream};
use stairvale_table::{Document, Table};
use stairvale_types::{Moment, id, unit};

use super::{Core, Effect};

/// Time after which the homes count as settled in a fleet without any registered router: by then the routers have
/// discovered each other.
const UNREGISTERED_JOIN_TIME: Duration = Duration::from_secs(3);

impl Core {
    /// Applies the changes of the store's copy to everything that is derived from it.
    pub(super) fn apply_view(&mut self, now: Moment) -> Vec<Effect> {
        let mut effects = Vec::new();
        // An unconfirmed copy may be seconds old, and what it shows may have been changed already, so no
        // configuration is taken from it.
        let mut update_all = false;
        if let Some(document) = self.view.document().filter(|_| self.view.is_confirmed())
            && document.version > self.table.version()
        {
            let table = Arc::new(Table::new(Document::clone(document)));
            self.record_moved_routes(now, &table);
            self.table = table;
            effects.push(Effect::Configured(self.table.clone()));
            update_all = true;
        }
        let changed = self.view.take_changed();
        update_all |= changed.iter().any(|subject| matches!(subject, Subject::Evacuation(_)));
        if changed.iter().any(|subject| matches!(subject, Subject::Router(_))) {
            effects.extend(self.presume_alive(now));
        }
        self.update_roles(now);
        self.apply_quarantine_changes(now, &changed);
        effects.extend(self.view.take_new_incarnations().into_iter().map(Effect::UpstreamReplaced));
        effects.extend(self.end_replaced_upstreams(&changed));
        effects.extend(self.answer_deferred_syncs(now));
        // Roll-outs are applied before upstreams, so that an upstream that appears together with an order gets no
        // more than the order allows.
        effects.extend(self.apply_rollout_changes(now, &changed));
        if update_all {
            effects.extend(self.update_pools(now));
        }
        effects.extend(self.update_pool_members(now, &changed));
        effects.extend(self.update_versions(now));
        effects
    }

    /// Whether the homes are settled: at least half of the registered routers with enough capacity have responded, so
    /// that all routers agree. The others may take longer to start and aren't waited for. If no router is registered,
    /// [`UNREGISTERED_JOIN_TIME`] has to pass.
    pub(super) fn has_joined(&self, now: Moment) -> bool {
        self.roles.has_quorum.unwrap_or_else(|| self.uptime(now) >= UNREGISTERED_JOIN_TIME)
    }

    /// Brings the pools in line with the configuration and the evacuated zones. A new pool receives all upstreams of
    /// its service, and so does every pool when the evacuated zones changed. Otherwise a configuration doesn't affect
    /// upstreams, and scanning 10,000 of them would block a small VM for a fifth of a second.
    pub(super) fn update_pools(&mut self, now: Moment) -> Vec<Effect> {
        let mut effects = Vec::new();
        let table = self.table.clone();
        let evacuated: BTreeSet<_> = self.view.evacuated().cloned().collect();
        let before = std::mem::replace(&mut self.evacuated, evacuated);
        let restored: Vec<_> = before.difference(&self.evacuated).cloned().collect();
        for zone in before.symmetric_difference(&self.evacuated) {
            let upstreams = self.view.upstreams().filter(|(upstream, _)| &upstream.zone == zone).count();
            effects.push(Effect::Evacuated { zone: zone.clone(), evacuated: self.evacuated.contains(zone), upstreams });
        }
        let is_listed = |service: &id::Service| before == self.evacuated && self.pools.contains_key(service);
        let mut unlisted: BTreeMap<id::Service, Vec<Listing>> = table
            .document()
            .services
            .iter()
            .filter(|service| !is_listed(&service.name))
            .map(|service| (service.name.clone(), Vec::new()))
            .collect();
        if !unlisted.is_empty() {
            for (upstream, revision) in self.view.upstreams() {
                if let Some(listings) = unlisted.get_mut(&upstream.service) {
                    listings.push(self.listing(upstream, revision));
                }
            }
        }
        for service in &table.document().services {
            let memory = service.engine.map(|engine| unit::Tokens(u32::try_from(engine.memory).unwrap_or(u32::MAX)));
            let rules = Rules {
                engine: memory,
                copies: service.engine.is_some_and(|engine| engine.copies),
                load_multiple: self.bounds.load_multiple,
                load_slack: self.bounds.load_slack,
                // A service with a cold time of zero needs no protection of cold upstreams.
                cold: service.cold.filter(|cold| !cold.time.is_zero()).map(|cold| ColdLimits {
                    pace: cold.pace,
                    bound: self.bounds.cold_burst(cold.pace),
                    time: cold.time,
                }),
            };
            let policy = self.policy(&service.name);
            let pool = self.pools.entry(service.name.clone()).or_insert_with(|| {
                let mut pool = Pool::new(rules);
                // A new pool doesn't know what this router granted before a restart, or what was granted while it
                // wasn't the home, so it starts without a share.
                pool.set_cold_share(now, 0.0);
                pool
            });
            pool.set_rules(rules);
            pool.set_unresponsive_zones(self.unreachable_zones.clone());
            for zone in &restored {
                pool.presume_zone_cold(now, zone);
            }
            let mut answers = pool.set_policy(now, policy);
            if let Some(listings) = unlisted.remove(&service.name) {
                answers.extend(pool.set_members(now, &listings));
            }
            effects.extend(self.deliver_answers(answers));
        }
        self.pools.retain(|name, _| table.service(name).is_some());
        self.update_cold_shares(now);
        effects
    }

    /// Passes the upstreams that changed to their pools. The cost doesn't grow with the size of the fleet.
    pub(super) fn update_pool_members(&mut self, now: Moment, changed: &BTreeSet<Subject>) -> Vec<Effect> {
        let mut listings: BTreeMap<id::Service, Vec<Listing>> = BTreeMap::new();
        let mut removed = Vec::new();
        for subject in changed {
            let Subject::Upstream(id) = subject else {
                continue;
            };
            match self.view.current_incarnation(id) {
                Some((upstream, revision)) => {
                    listings.entry(upstream.service.clone()).or_default().push(self.listing(upstream, revision));
                }
                None => removed.push(id.clone()),
            }
        }
        let mut answers = Vec::new();
        for (service, pool) in &mut self.pools {
            let listings = listings.remove(service).unwrap_or_default();
            answers.extend(pool.update(now, &listings, &removed));
        }
        self.deliver_answers(answers)
    }

    /// Ends requests that run at an upstream which has been replaced by a later incarnation under the same name:
    /// their answers can't arrive any more.
    fn end_replaced_upstreams(&self, changed: &BTreeSet<Subject>) -> Vec<Effect> {
        let mut effects = Vec::new();
        for subject in changed {
            if let Subject::Upstream(name) = subject
                && let Some((current, _)) = self.view.current_incarnation(name)
            {
                let is_replaced = |id: &id::Upstream| id != &current.id && id.name() == *name;
                let running = self.running.values().filter(|running| is_replaced(&running.held.upstream));
                effects.extend(running.map(|running| Effect::EndRequest(running.held.attempt)));
            }
        }
        effects
    }

    fn listing(&self, upstream: &Upstream, revision: u64) -> Listing {
        Listing {
            id: upstream.id.clone(),
            zone: upstream.zone.clone(),
            slots: upstream.slots,
            usable: upstream.state == State::Ready
                && !self.evacuated.contains(&upstream.zone)
                && !self.is_leaving(&upstream.id),
            cold: upstream.cold,
            revision,
            version: upstream.version.clone(),
        }
    }

    /// Grants waiting requests wherever there is capacity now.
    fn grant_waiting(&mut self, now: Moment) -> Vec<Effect> {
        let answers = self.pools.values_mut().flat_map(|pool| pool.update(now, &[], &[])).collect();
        self.deliver_answers(answers)
    }

    /// Sets the share that each pool has of what the whole fleet may grant to cold upstreams. The home's share is the
    /// fraction of routers that can reach it; all other routers, and routers that don't know the fleet yet, have
    /// none.
    pub(super) fn update_cold_shares(&mut self, now: Moment) {
        let knows_fleet = self.knows_fleet(now);
        for (service, pool) in &mut self.pools {
            let is_home = knows_fleet && self.roles.home(service.hash64()) == Some(&self.me);
            pool.set_cold_share(now, if is_home { self.roles.responding_share } else { 0.0 });
        }
    }

    pub(super) fn handle_membership(&mut self, now: Moment, effects: Vec<swim::Effect>) -> Vec<Effect> {
        let mut out = Vec::new();
        let mut joined = false;
        self.update_roles(now);
        for effect in effects {
            match effect {
                swim::Effect::Send { to, packet } => out.push(Effect::Datagram { to, packet }),
                swim::Effect::Died(router) => {
                    self.epoch_aware_peers.remove(&router);
                    self.forget_stream(&router);
                    out.push(Effect::Lost(router));
                }
                swim::Effect::Joined(router) => {
                    self.distrusted.remove(&router);
                    self.handle_restart(&router);
                    out.extend(self.send_rejections(&router));
                    out.extend(self.send_quarantines(now, &router));
                    joined = true;
                }
                swim::Effect::Upstream(update) => out.extend(self.handle_upstream_update(now, &update)),
                swim::Effect::Leaves(_) | swim::Effect::Versions { .. } => {}
            }
        }
        if joined {
            out.extend(self.update_successors());
            out.extend(self.resend_leaving(now));
            if !self.view.is_confirmed() {
                // The peer that has just responded may have the updates that this router waits for.
                out.extend(self.sync(now));
            }
        }
        self.update_roles(now);
        if self.roles.unreachable_zones != self.unreachable_zones {
            self.unreachable_zones = self.roles.unreachable_zones.clone();
            for pool in self.pools.values_mut() {
                pool.set_unresponsive_zones(self.unreachable_zones.clone());
            }
            out.extend(self.grant_waiting(now));
        }
        out
    }
}
