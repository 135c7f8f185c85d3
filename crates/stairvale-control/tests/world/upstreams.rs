//! How upstreams answer: probes, permits used, claims that run.

use super::*;

impl World {
    pub(super) fn reaches(&self, router: &str, engine: &str) -> bool {
        let zones = (self.routers[router].zone.clone(), self.engines[engine].zone.clone());
        self.engines[engine].alive && !self.faults.cuts.contains(&zones)
    }

    pub(super) fn probe(&mut self, name: &str, upstream: &id::Upstream) {
        let life = self.routers[name].life;
        let reached = self.reaches(name, upstream.as_str());
        let engine = &self.engines[upstream.as_str()];
        let report = reached.then(|| Report {
            boot: engine.boot,
            change: engine.change,
            state: if engine.draining { State::Draining } else { State::Serving },
            load: u32::try_from(engine.running.len()).unwrap(),
            model: engine.loaded.clone(),
        });
        let delay = if reached { self.delay() } else { 500_000 };
        let input = Input::Probed { upstream: upstream.clone(), report };
        self.push(self.now + delay, Event::Input(name.to_owned(), life, input));
    }

    /// An engine that doesn't check tokens gets an order.
    pub(super) fn order(&mut self, name: &str, order: &Order) {
        if !self.reaches(name, order.upstream.as_str()) {
            return;
        }
        let engine = self.engines.get_mut(order.upstream.as_str()).unwrap();
        engine.stale_orders += u64::from(order.token < engine.token);
        engine.token = engine.token.max(order.token);
        engine.loaded = Some(order.load.clone());
        self.input_now(name, Input::Ordered { upstream: order.upstream.clone(), taken: true });
    }

    pub(super) fn granted(&mut self, name: &str, grant: Grant) {
        let attempt = grant.attempt;
        let before = self.fates.get(&attempt).cloned();
        assert!(
            matches!(before, Some(Fate::Asking | Fate::Done)),
            "{attempt} was granted after {before:?}: one request, two permits"
        );
        if before == Some(Fate::Done) {
            // Its caller gave up meanwhile, and the node was told already.
            return;
        }
        let upstream = grant.upstream.clone();
        self.grants.push((self.now, grant));
        if !self.reaches(name, upstream.as_str()) {
            let life = self.routers[name].life;
            let input = Input::End { attempt, success: Some(false), unreachable: true };
            self.push(self.now + 1_000, Event::Input(name.to_owned(), life, input));
            self.fates.insert(attempt, Fate::Done);
            return;
        }
        let engine = self.engines.get_mut(upstream.as_str()).unwrap();
        engine.running.insert(attempt, name.to_owned());
        engine.last_work = self.now;
        self.fates.insert(attempt, Fate::Running(upstream));
        let life = self.routers[name].life;
        let lasts = self.rng.random_range(self.runs_for.0..=self.runs_for.1);
        self.push(self.now + lasts, Event::End(name.to_owned(), life, attempt));
    }

    pub(super) fn finish(&mut self, name: &str, attempt: id::Attempt) {
        if let Some(Fate::Running(upstream)) = self.fates.get(&attempt) {
            let engine = self.engines.get_mut(upstream.as_str()).unwrap();
            engine.running.remove(&attempt);
        }
        if matches!(self.fates.get(&attempt), Some(Fate::Running(_) | Fate::Asking)) {
            self.fates.insert(attempt, Fate::Done);
            let input = Input::End { attempt, success: Some(true), unreachable: false };
            self.input_now(name, input);
        }
    }

    pub(super) fn claimed(&mut self, name: &str, attempt: id::Attempt, verdict: &ClaimVerdict) {
        let before = self.claims.insert(attempt, verdict.clone());
        assert_eq!(before, None, "{attempt} was told twice about its claim");
        if !matches!(verdict, ClaimVerdict::Yours { .. }) {
            return;
        }
        let key = self.claim_keys[&attempt];
        let life = self.routers[name].life;
        let delay = self.delay();
        self.push(self.now + delay, Event::Run(name.to_owned(), life, key, attempt));
    }
}
