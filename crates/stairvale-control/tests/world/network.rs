//! How messages get from router to router, or not.

use super::*;

impl World {
    fn is_cut(&self, from: &str, to: &str) -> bool {
        let (from, to) = (&self.routers[from].zone, &self.routers[to].zone);
        self.faults.cuts.contains(&(from.clone(), to.clone()))
    }

    /// Frames of a stream keep their order. A dead peer is noticed soon, a cut one after the connection's time limit.
    pub(super) fn send_frame(&mut self, from: &str, to: &str, frame: stairvale_wire::Frame) {
        let life = self.routers[from].life;
        if self.is_cut(from, to) || !self.routers[to].alive {
            let wait = if self.is_cut(from, to) { 400_000 } else { 2_000 };
            let input = Input::PeerUnreachable(to.parse().unwrap());
            self.push(self.now + wait, Event::Input(from.to_owned(), life, input));
            return;
        }
        let delay = self.delay();
        let link = self.links.entry((from.to_owned(), to.to_owned())).or_default();
        let at = (self.now + delay).max(*link + 1);
        *link = at;
        let there = self.routers[to].life;
        let input = Input::Frame { from: from.parse().unwrap(), frame };
        if self.rng.random_bool(self.faults.doubled) {
            self.push(at + 1, Event::Input(to.to_owned(), there, input.clone()));
        }
        self.push(at, Event::Input(to.to_owned(), there, input));
    }

    pub(super) fn send_datagram(&mut self, from: &str, to: SocketAddr, mut packet: stairvale_wire::Packet) {
        if self.faults.no_news {
            packet.updates.retain(|update| matches!(update, stairvale_wire::Update::Member(_)));
        }
        let Some((name, slot)) = self.routers.iter().find(|(_, slot)| slot.address == to) else {
            return;
        };
        let (name, life, alive) = (name.clone(), slot.life, slot.alive);
        if !alive || self.is_cut(from, &name) || self.rng.random_bool(self.faults.loss) {
            return;
        }
        let source = self.routers[from].address;
        let input = Input::Datagram { from: source, packet };
        let delay = self.delay();
        if self.rng.random_bool(self.faults.doubled) {
            self.push(self.now + 2 * delay, Event::Input(name.clone(), life, input.clone()));
        }
        self.push(self.now + delay, Event::Input(name, life, input));
    }
}
