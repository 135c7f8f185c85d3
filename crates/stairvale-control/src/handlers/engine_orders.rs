//! Orders to engines.

use stairvale_types::id;

use crate::{
    Event, Node, Output,
    io::{Action, Purpose},
    orders,
};

impl Node {
    pub(crate) fn tick_orders(&mut self) {
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

    /// Engines of this zone that have another model than the configuration says, as far as this router probes them.
    pub(crate) fn order_needs(&self, zone: &id::Zone) -> Vec<orders::Need> {
        let engines = self.fleet.upstreams.iter().filter(|u| &u.zone == zone);
        let need = |upstream: &stairvale_membership::upstreams::Upstream| {
            let service = self.fleet.service(&upstream.service)?;
            let loaded = self.probing.get(&upstream.name)?.loaded.as_ref()?;
            let load = orders::Loaded { model: service.model.clone()?, version: service.version.clone()? };
            let checks = service.checks_orders;
            (loaded != &load).then(|| orders::Need {
                upstream: upstream.name.clone(),
                address: upstream.address,
                load,
                checks,
            })
        };
        engines.filter_map(need).collect()
    }
}
