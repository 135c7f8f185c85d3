//! Rate limits of customers: each router counts the requests that it receives, reports the counts to the owner of the
//! customer's account, and gets back the share of them that may pass.

use std::collections::BTreeMap;

use stairvale_admission::limit::{Account, Fraction, Usage as Counted};
use stairvale_types::{id, unit};
use stairvale_wire::{Frame, Usage};

use crate::{Node, Output};

impl Node {
    pub(crate) fn count_request(&mut self, customer: &id::Customer, passed: bool) {
        let Some(rate) = self.rate(customer) else {
            return;
        };
        let routers = self.fleet.swim.live().count();
        self.meter.count(self.now, customer, rate, routers, passed);
    }

    pub(crate) fn tick_limits(&mut self) {
        let mut frames: BTreeMap<id::Router, Vec<Usage>> = BTreeMap::new();
        for (customer, counted) in self.meter.take_due(self.now) {
            let Some(owner) = self.fleet.owner(&format!("limits/{customer}")) else {
                continue;
            };
            let Counted { requests: asked, passed, fraction } = counted;
            let usage = Usage { customer, asked, passed, millionths: fraction.millionths() };
            frames.entry(owner).or_default().push(usage);
        }
        for (owner, usages) in frames {
            self.send(&owner, Frame::Usage(usages));
        }
        let now = self.now;
        self.limits.retain(|_, account| !account.is_idle(now));
    }

    /// Adds the counts that a router reported to the accounts that this router owns.
    pub(crate) fn add_usage(&mut self, from: &id::Router, usages: Vec<Usage>) {
        for Usage { customer, asked, passed, millionths } in usages {
            let Some(rate) = self.rate(&customer) else {
                // The configuration in force here lacks the customer or its rate: either was removed, or this router has
                // not received the configuration that adds it.
                continue;
            };
            let now = self.now;
            let account = self.limits.entry(customer.clone()).or_insert_with(|| Account::new(now, rate));
            account.set_rate(rate);
            let counted = Counted { requests: asked, passed, fraction: Fraction::from_millionths(millionths) };
            if let Some(fraction) = account.record_usage(now, counted) {
                self.send(from, Frame::Share { customer, millionths: fraction.millionths() });
            }
        }
    }

    pub(crate) fn set_share(&mut self, customer: id::Customer, millionths: u32) {
        let fraction = Fraction::from_millionths(millionths);
        self.meter.set(self.now, &customer, fraction);
        self.outputs.push(Output::Share { customer, fraction });
    }

    fn rate(&self, customer: &id::Customer) -> Option<unit::Rate> {
        self.fleet.document.customer(customer)?.rate
    }
}
