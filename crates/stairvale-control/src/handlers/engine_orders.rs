//! Orders to engines: homes tell the zone's order holder what their engines have loaded, and it orders what they should.

use std::time::Duration;

use stairvale_types::id;
use stairvale_wire::Frame;

use crate::{
    Event, Node, Output,
    io::{Action, Purpose},
    orders::{self, Loaded, Need},
};

/// How often a home tells that an engine has the wrong model.
const TELL_EVERY: Duration = Duration::from_secs(2);
/// What a home told longer ago than this isn't so any more: the engine has its model, or another home.
const TELL_TTL: Duration = Duration::from_secs(5);

impl Node {
    pub(crate) fn tick_orders(&mut self) {
        self.tell_mismatches();
        let zone = self.fleet.zone().clone();
        let chosen = !self.leaving && self.fleet.holder("orders", &zone).as_ref() == Some(&self.me);
        if let Some(wish) = self.orders.tick(self.now, chosen) {
            let revision = match wish {
                orders::Wish::Acquire => 0,
                orders::Wish::Renew => 1,
            };
            let action = Action::Write { value: self.me.to_string(), revision };
            self.call(Purpose::Orders, format!("orders/{zone}"), action);
        }
        if self.orders.holds(self.now).is_none() {
            return;
        }
        let needs = self.order_needs(&zone);
        if let Some(order) = self.orders.next(self.now, &needs) {
            let model = format!("{}@{}", order.load.model, order.load.version);
            self.audit(Event::Ordered { upstream: order.upstream.clone(), model, token: order.token });
            self.outputs.push(Output::Order(order));
        }
    }

    /// Tells the order holders which of the engines that are probed here have the wrong model.
    fn tell_mismatches(&mut self) {
        if self.schedule.mismatches.is_some_and(|at| self.now.since(at) < TELL_EVERY) {
            return;
        }
        self.schedule.mismatches = Some(self.now);
        let wrong = self.probing.iter().filter_map(|(upstream, probing)| {
            let loaded = probing.loaded.clone()?;
            (self.should_have(upstream)? != loaded).then(|| (upstream.clone(), loaded))
        });
        for (upstream, Loaded { model, version }) in wrong.collect::<Vec<_>>() {
            let zone = self.fleet.upstream(&upstream).map(|upstream| upstream.zone.clone());
            let holder = zone.and_then(|zone| self.fleet.holder("orders", &zone));
            if let Some(holder) = holder {
                self.send(&holder, Frame::Loaded { upstream, model, version });
            }
        }
    }

    /// A home told that an engine has the wrong model.
    pub(crate) fn mismatched(&mut self, upstream: id::Upstream, loaded: Loaded) {
        self.mismatched.insert(upstream, (loaded, self.now));
    }

    /// What an engine should have loaded; `None` if its service leaves that open.
    fn should_have(&self, upstream: &id::Upstream) -> Option<Loaded> {
        let known = self.fleet.upstream(upstream)?;
        let service = self.fleet.service(&known.service)?;
        Some(Loaded { model: service.model.clone()?, version: service.version.clone()? })
    }

    /// Engines of this zone that have another model than the configuration says.
    fn order_needs(&mut self, zone: &id::Zone) -> Vec<Need> {
        let now = self.now;
        self.mismatched.retain(|_, (_, told)| now.since(*told) < TELL_TTL);
        let need = |upstream: &id::Upstream, loaded: &Loaded| {
            let known = self.fleet.upstream(upstream).filter(|known| &known.zone == zone)?;
            let load = self.should_have(upstream).filter(|load| load != loaded)?;
            let checks = self.fleet.service(&known.service)?.checks_orders;
            Some(Need { upstream: upstream.clone(), address: known.address, load, checks })
        };
        self.mismatched.iter().filter_map(|(upstream, (loaded, _))| need(upstream, loaded)).collect()
    }
}
