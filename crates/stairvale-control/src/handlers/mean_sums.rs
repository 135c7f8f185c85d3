//! Exchange of load reports, zone sums and means with peers.

use stairvale_permit::mean::Sum;
use stairvale_types::id;
use stairvale_wire::Frame;

use crate::{Node, sums};

impl Node {
    pub(crate) fn tick_sums(&mut self) {
        let loads = self.home.services().iter().map(|service| self.home.load(self.now, service)).collect();
        let zone = self.fleet.zone().clone();
        let effects = self.sums.tick(self.now, &zone, loads);
        for effect in effects {
            self.sum_effect(&zone, effect);
        }
    }

    pub(crate) fn sum_effect(&mut self, zone: &id::Zone, effect: sums::Effect) {
        match effect {
            sums::Effect::Report(load) => {
                if let Some(to) = self.fleet.zone_owner(load.service.as_str(), zone) {
                    self.send(&to, Frame::Load(load));
                }
            }
            sums::Effect::ZoneSum(load) => {
                let others = self.fleet.near_zones().into_iter().filter(|other| other != zone);
                let holders = others.filter_map(|other| self.fleet.zone_owner(load.service.as_str(), &other));
                for to in holders.collect::<Vec<_>>() {
                    self.send(&to, Frame::Load(load.clone()));
                }
            }
            sums::Effect::Mean { to, service, others, emptiest } => {
                let Sum { outstanding, engines, waiting } = others;
                self.send(&to, Frame::Mean { service, outstanding, engines, waiting, emptiest });
            }
        }
    }
}
