//! Delivery of messages between routers, with delays, loss and partitions.

use super::*;

impl World {
    fn is_partitioned(&self, from: &str, to: &str) -> bool {
        let (from, to) = (&self.routers[from].zone, &self.routers[to].zone);
        self.faults.partitions.contains(&(from.clone(), to.clone()))
    }

    /// Delivers a frame in the order of its stream. A dead peer is reported as unreachable after 2 ms, and a peer
    /// behind a partition after the connection's timeout of 400 ms.
    pub(super) fn send_frame(&mut self, from: &str, to: &str, frame: stairvale_wire::Frame) {
        let sender_incarnation = self.routers[from].incarnation;
        if self.is_partitioned(from, to) || !self.routers[to].alive {
            let report_delay_us = if self.is_partitioned(from, to) { 400_000 } else { 2_000 };
            let input = Input::PeerUnreachable(to.parse().unwrap());
            self.schedule(self.now + report_delay_us, Event::Input(from.to_owned(), sender_incarnation, input));
            return;
        }
        let delay = self.delay();
        let last_frame_at = self.last_frame_times.entry((from.to_owned(), to.to_owned())).or_default();
        let at = (self.now + delay).max(*last_frame_at + 1);
        *last_frame_at = at;
        let receiver_incarnation = self.routers[to].incarnation;
        let input = Input::Frame { from: from.parse().unwrap(), frame };
        if self.rng.random_bool(self.faults.duplication) {
            self.schedule(at + 1, Event::Input(to.to_owned(), receiver_incarnation, input.clone()));
        }
        self.schedule(at, Event::Input(to.to_owned(), receiver_incarnation, input));
    }

    /// Delivers a datagram, unless it is lost or its receiver is dead or behind a partition.
    pub(super) fn send_datagram(&mut self, from: &str, to: SocketAddr, mut packet: stairvale_wire::Packet) {
        if self.faults.drop_upstream_updates {
            packet.updates.retain(|update| matches!(update, stairvale_wire::Update::Member(_)));
        }
        let Some((name, router)) = self.routers.iter().find(|(_, router)| router.address == to) else {
            return;
        };
        let (name, incarnation, alive) = (name.clone(), router.incarnation, router.alive);
        if !alive || self.is_partitioned(from, &name) || self.rng.random_bool(self.faults.datagram_loss) {
            return;
        }
        let source = self.routers[from].address;
        let input = Input::Datagram { from: source, packet };
        let delay = self.delay();
        if self.rng.random_bool(self.faults.duplication) {
            self.schedule(self.now + 2 * delay, Event::Input(name.clone(), incarnation, input.clone()));
        }
        self.schedule(self.now + delay, Event::Input(name, incarnation, input));
    }
}
