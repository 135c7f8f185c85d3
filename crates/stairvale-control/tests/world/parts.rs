//! Starts, stops, crashes and pauses of routers and upstreams, and network partitions.

use super::*;

impl World {
    /// Adds an upstream of a service in a zone.
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
            last_request_at: 0,
            closed_at: None,
            loaded: None,
            highest_token: 0,
            stale_orders: 0,
            address: SocketAddr::from(([127, 0, 0, 1], port)),
        };
        self.engines.insert(name.to_owned(), engine);
        self.vm_revision += 1;
    }

    /// Starts a new router in a zone, with all present routers as its seeds.
    pub fn add_router(&mut self, name: &str, zone: &str) {
        let port = 20_000 + u16::try_from(self.routers.len()).unwrap();
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let seeds = self.routers.values().map(|router| router.address).collect();
        let settings = Settings::new(name.parse().unwrap(), zone.parse().unwrap(), address)
            .with_seeds(seeds)
            .with_seed(self.rng.random())
            .with_policy(Policy::Fleet);
        let router = SimRouter {
            node: Node::new(settings.clone()),
            zone: zone.to_owned(),
            address,
            alive: true,
            paused_until: 0,
            started: self.now,
            leaving: false,
            generation: Generation(0),
            settings,
            incarnation: 1,
        };
        self.routers.insert(name.to_owned(), router);
        self.schedule(self.now, Event::Tick(name.to_owned(), 1));
    }

    /// Crashes a router, which breaks the connections of its requests.
    pub fn kill_router(&mut self, name: &str) {
        let router = self.routers.get_mut(name).unwrap();
        router.alive = false;
        router.incarnation += 1;
        for engine in self.engines.values_mut() {
            engine.running.retain(|_, entry| entry != name);
        }
        let entry_routers = &self.entry_routers;
        let affected = self
            .request_states
            .iter_mut()
            .filter(|(attempt, _)| entry_routers.get(attempt).is_some_and(|entry| entry == name));
        for (_, state) in affected {
            if matches!(state, RequestState::Waiting | RequestState::Running(_)) {
                *state = RequestState::EntryDied;
            }
        }
    }

    /// Restarts a crashed router under the same name, with a new incarnation and without its state.
    pub fn restart_router(&mut self, name: &str) {
        let now = self.now;
        let router = self.routers.get_mut(name).unwrap();
        router.incarnation += 1;
        router.alive = true;
        router.started = now;
        router.generation = Generation(0);
        let settings = router.settings.clone().with_incarnation(id::Incarnation(now));
        router.node = Node::new(settings);
        let incarnation = router.incarnation;
        self.schedule(now, Event::Tick(name.to_owned(), incarnation));
    }

    /// Pauses a router for a time; it resumes without having been notified.
    pub fn pause_router(&mut self, name: &str, span: Duration) {
        let until = self.now + micros(span);
        self.routers.get_mut(name).unwrap().paused_until = until;
    }

    /// Cuts the network in both directions between two availability zones, or between a zone and the store, which is
    /// named `platform`.
    pub fn partition(&mut self, one: &str, other: &str) {
        self.faults.partitions.insert((one.to_owned(), other.to_owned()));
        self.faults.partitions.insert((other.to_owned(), one.to_owned()));
    }

    /// Removes all network partitions.
    pub fn heal_partitions(&mut self) {
        self.faults.partitions.clear();
    }

    /// Makes an upstream report that it drains.
    pub fn drain_engine(&mut self, name: &str) {
        let now = self.now;
        let engine = self.engines.get_mut(name).unwrap();
        engine.draining = true;
        engine.change += 1;
        engine.closed_at = Some(now);
    }

    /// Crashes an upstream and the requests that run there.
    pub fn crash_engine(&mut self, name: &str) {
        let now = self.now;
        let engine = self.engines.get_mut(name).unwrap();
        engine.alive = false;
        engine.closed_at = Some(now);
        let interrupted: Vec<_> = engine.running.drain().collect();
        for (attempt, entry) in interrupted {
            self.request_states.insert(attempt, RequestState::Done);
            let input = Input::AttemptEnded { attempt, success: Some(false), unreachable: false };
            self.input_now(&entry, input);
        }
    }

    /// The routers to which a load balancer sends requests: those that live and aren't stopping.
    pub fn available_routers(&self) -> Vec<String> {
        self.routers
            .iter()
            .filter(|(_, router)| router.alive && !router.leaving)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Returns the next unique number, for attempts.
    pub fn next_number(&mut self) -> u128 {
        self.last_number += 1;
        self.last_number
    }
}
