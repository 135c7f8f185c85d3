//! Orders to engines. Homes report engines whose loaded model differs from the configured one to the order holder of
//! the engine's availability zone, which orders them to load the configured model.

use std::time::Duration;

use stairvale_types::id;
use stairvale_wire::Frame;

use crate::{
    Event, Node, Output,
    io::{Action, Purpose},
    orders::{self, Loaded, Need},
};

/// Interval at which a home reports the engines that have the wrong model.
const MISMATCH_REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Time after which a mismatch that wasn't reported again is dropped: the engine has the right model by then, or
/// another home.
const MISMATCH_TTL: Duration = Duration::from_secs(5);

impl Node {
    pub(crate) fn tick_orders(&mut self) {
        self.report_mismatches();
        let zone = self.fleet.zone().clone();
        let chosen = !self.leaving && self.fleet.zone_owner("orders", &zone).as_ref() == Some(&self.me);
        if let Some(call) = self.orders.tick(self.now, chosen) {
            let revision = match call {
                orders::StoreCall::Acquire => 0,
                orders::StoreCall::Renew => 1,
            };
            let action = Action::Write { value: self.me.to_string(), revision };
            self.call(Purpose::Orders, format!("orders/{zone}"), action);
        }
        if self.orders.fencing_token(self.now).is_none() {
            return;
        }
        let needs = self.order_needs(&zone);
        if let Some(order) = self.orders.next(self.now, &needs) {
            let model = format!("{}@{}", order.load.model, order.load.version);
            self.audit(Event::Ordered { upstream: order.upstream.clone(), model, token: order.token });
            self.outputs.push(Output::Order(order));
        }
    }

    /// Reports the engines that this router probes and that have the wrong model to the order holders of their zones.
    fn report_mismatches(&mut self) {
        if self.schedule.mismatches_sent.is_some_and(|at| self.now.since(at) < MISMATCH_REPORT_INTERVAL) {
            return;
        }
        self.schedule.mismatches_sent = Some(self.now);
        let mismatches = self.probes.iter().filter_map(|(upstream, probe)| {
            let loaded = probe.loaded.clone()?;
            (self.configured_model(upstream)? != loaded).then(|| (upstream.clone(), loaded))
        });
        for (upstream, Loaded { model, version }) in mismatches.collect::<Vec<_>>() {
            let zone = self.fleet.upstream(&upstream).map(|upstream| upstream.zone.clone());
            let holder = zone.and_then(|zone| self.fleet.zone_owner("orders", &zone));
            if let Some(holder) = holder {
                self.send(&holder, Frame::Loaded { upstream, model, version });
            }
        }
    }

    /// Records a home's report that an engine has the wrong model.
    pub(crate) fn record_mismatch(&mut self, upstream: id::Upstream, loaded: Loaded) {
        self.mismatched.insert(upstream, (loaded, self.now));
    }

    /// The model that an engine should have loaded; `None` if its service doesn't specify a model and version.
    fn configured_model(&self, upstream: &id::Upstream) -> Option<Loaded> {
        let known = self.fleet.upstream(upstream)?;
        let service = self.fleet.service(&known.service)?;
        Some(Loaded { model: service.model.clone()?, version: service.version.clone()? })
    }

    /// The engines of this zone whose loaded model differs from the configured one.
    fn order_needs(&mut self, zone: &id::Zone) -> Vec<Need> {
        let now = self.now;
        self.mismatched.retain(|_, (_, received)| now.since(*received) < MISMATCH_TTL);
        let need = |upstream: &id::Upstream, loaded: &Loaded| {
            let known = self.fleet.upstream(upstream).filter(|known| &known.zone == zone)?;
            let load = self.configured_model(upstream).filter(|load| load != loaded)?;
            let checks = self.fleet.service(&known.service)?.checks_orders;
            Some(Need { upstream: upstream.clone(), address: known.address, load, checks_tokens: checks })
        };
        self.mismatched.iter().filter_map(|(upstream, (loaded, _))| need(upstream, loaded)).collect()
    }
}
