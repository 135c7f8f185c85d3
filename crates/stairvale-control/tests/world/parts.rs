//! Routers and upstreams that come, go, freeze and are cut off.

use super::*;

impl World {
    pub fn add_engine(&mut self, name: &str, service: &str, zone: &str) {
        let port = 10_000 + u16::try_from(self.engines.len()).unwrap();
        let engine = Engine {
            service: service.to_owned(),
            zone: zone.to_owned(),
            alive: true,
            draining: false,
            boot: self.now,
            change: 0,
            running: HashMap::new(),
            last_work: 0,
            closed_at: None,
            loaded: None,
            token: 0,
            stale_orders: 0,
            address: SocketAddr::from(([127, 0, 0, 1], port)),
        };
        self.engines.insert(name.to_owned(), engine);
        self.vm_revision += 1;
    }

    pub fn add_router(&mut self, name: &str, zone: &str) {
        let port = 20_000 + u16::try_from(self.routers.len()).unwrap();
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let seeds = self.routers.values().map(|slot| slot.address).collect();
        let settings = Settings::new(name.parse().unwrap(), zone.parse().unwrap(), address)
            .with_seeds(seeds)
            .with_seed(self.rng.random())
            .with_policy(Policy::Fleet);
        let slot = Slot {
            node: Node::new(settings.clone()),
            zone: zone.to_owned(),
            address,
            alive: true,
            paused_until: 0,
            started: self.now,
            leaving: false,
            generation: Generation(0),
            settings,
            life: 1,
        };
        self.routers.insert(name.to_owned(), slot);
        self.push(self.now, Event::Tick(name.to_owned(), 1));
    }

    /// A router dies at once; its requests' connections break.
    pub fn kill(&mut self, name: &str) {
        let slot = self.routers.get_mut(name).unwrap();
        slot.alive = false;
        slot.life += 1;
        for engine in self.engines.values_mut() {
            engine.running.retain(|_, entry| entry != name);
        }
        let entries = &self.entries;
        let theirs =
            self.fates.iter_mut().filter(|(attempt, _)| entries.get(attempt).is_some_and(|entry| entry == name));
        for (_, fate) in theirs {
            if matches!(fate, Fate::Asking | Fate::Running(_)) {
                *fate = Fate::Gone;
            }
        }
    }

    /// A router that died starts anew under its name.
    pub fn restart(&mut self, name: &str) {
        let now = self.now;
        let slot = self.routers.get_mut(name).unwrap();
        slot.life += 1;
        slot.alive = true;
        slot.started = now;
        slot.generation = Generation(0);
        let settings = slot.settings.clone().with_incarnation(id::Incarnation(now));
        slot.node = Node::new(settings);
        let life = slot.life;
        self.push(now, Event::Tick(name.to_owned(), life));
    }

    /// A router is stopped and goes on later, without noticing.
    pub fn freeze(&mut self, name: &str, span: Duration) {
        let until = self.now + micros(span);
        self.routers.get_mut(name).unwrap().paused_until = until;
    }

    /// Two availability zones no longer hear each other.
    pub fn cut(&mut self, one: &str, other: &str) {
        self.faults.cuts.insert((one.to_owned(), other.to_owned()));
        self.faults.cuts.insert((other.to_owned(), one.to_owned()));
    }

    pub fn heal(&mut self) {
        self.faults.cuts.clear();
    }

    /// An upstream says that it leaves.
    pub fn drain(&mut self, name: &str) {
        let now = self.now;
        let engine = self.engines.get_mut(name).unwrap();
        engine.draining = true;
        engine.change += 1;
        engine.closed_at = Some(now);
    }

    /// An upstream dies with all that runs there.
    pub fn engine_dies(&mut self, name: &str) {
        let now = self.now;
        let engine = self.engines.get_mut(name).unwrap();
        engine.alive = false;
        engine.closed_at = Some(now);
        let broken: Vec<_> = engine.running.drain().collect();
        for (attempt, entry) in broken {
            self.fates.insert(attempt, Fate::Done);
            let input = Input::End { attempt, success: Some(false), unreachable: false };
            self.input_now(&entry, input);
        }
    }

    /// Routers that a balancer sends callers to.
    pub fn live(&self) -> Vec<String> {
        self.routers.iter().filter(|(_, slot)| slot.alive && !slot.leaving).map(|(name, _)| name.clone()).collect()
    }

    pub fn number(&mut self) -> u128 {
        self.numbers += 1;
        self.numbers
    }
}
