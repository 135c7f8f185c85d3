//! Handlers of a node's inputs, one module for each area.

mod claims;
mod configuration;
mod engine_orders;
mod frames;
mod limits;
mod mean_sums;
mod members;
mod requests;
mod upstreams;

use crate::{Event, Input, Node};

impl Node {
    pub(crate) fn dispatch(&mut self, input: Input) {
        match input {
            Input::Tick => self.tick(),
            Input::Frame { from, frame } => self.receive_frame(&from, frame),
            Input::Datagram { from, packet } => {
                let effects = self.fleet.swim.receive(self.now, from, packet);
                self.rejoining = false;
                self.swim_effects(effects);
            }
            Input::PeerUnreachable(router) => self.peer_unreachable(&router),
            Input::Request(request) => self.request(request),
            Input::BackOffRequested { upstream, length } => {
                self.fleet.upstreams.set_backoff(self.now, &upstream, length);
            }
            Input::AttemptEnded { attempt, success, unreachable } => self.end(attempt, success, unreachable),
            Input::Claim { key, attempt } => self.claim(key, attempt),
            Input::RateLimitChecked { customer, passed } => self.count_request(&customer, passed),
            Input::Settle { key, attempt, stored } => self.settle(key, attempt, stored),
            Input::Probed { upstream, report } => self.probed(&upstream, report),
            Input::Store { purpose, answer } => self.store_answered(&purpose, answer),
            Input::Vms(Some((revision, vms))) => self.update_vms(revision, &vms),
            Input::Vms(None) => {}
            Input::Accepted { manifest, chunks } => self.accepted(*manifest, chunks),
            Input::OrderAnswered { upstream, taken } => self.order_answered(&upstream, taken),
            Input::Leave => self.leave(),
        }
    }

    pub(crate) fn tick(&mut self) {
        self.schedule.last_tick = Some(self.now);
        let effects = self.fleet.swim.tick(self.now);
        self.swim_effects(effects);
        self.tick_upstreams();
        let answers = self.home.tick(self.now);
        self.send_answers(answers);
        let effects = self.entry.tick(self.now, &self.fleet);
        self.entry_effects(effects);
        self.tick_sums();
        self.tick_claims();
        self.tick_limits();
        self.tick_config();
        self.tick_orders();
    }

    pub(crate) fn leave(&mut self) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        self.audit(Event::Stopping);
        let effects = self.fleet.swim.leave();
        self.swim_effects(effects);
        self.refresh();
    }
}
