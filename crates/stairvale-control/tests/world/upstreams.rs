//! Simulated upstreams: answers to probes, requests that run, and claims.

use super::*;

impl World {
    /// Whether an engine lives and no partition lies between the router and the engine.
    pub(super) fn can_reach(&self, router: &str, engine: &str) -> bool {
        let zones = (self.routers[router].zone.clone(), self.engines[engine].zone.clone());
        self.engines[engine].alive && !self.faults.partitions.contains(&zones)
    }

    /// Answers a router's probe, or reports a failed probe after 500 ms if the engine can't be reached.
    pub(super) fn probe(&mut self, name: &str, upstream: &id::Upstream) {
        let incarnation = self.routers[name].incarnation;
        let reached = self.can_reach(name, upstream.as_str());
        let engine = &self.engines[upstream.as_str()];
        let report = reached.then(|| ProbeAnswer {
            boot: engine.boot,
            change: engine.change,
            state: if engine.draining { UpstreamState::Draining } else { UpstreamState::Serving },
            load: u32::try_from(engine.running.len()).unwrap(),
            model: engine.loaded.clone(),
        });
        let delay = if reached { self.delay() } else { 500_000 };
        let input = Input::Probed { upstream: upstream.clone(), report };
        self.schedule(self.now + delay, Event::Input(name.to_owned(), incarnation, input));
    }

    /// Carries out an order at an engine that doesn't check fencing tokens, and counts the order if its token is stale.
    pub(super) fn apply_order(&mut self, name: &str, order: &Order) {
        if !self.can_reach(name, order.upstream.as_str()) {
            return;
        }
        let engine = self.engines.get_mut(order.upstream.as_str()).unwrap();
        engine.stale_orders += u64::from(order.token < engine.highest_token);
        engine.highest_token = engine.highest_token.max(order.token);
        engine.loaded = Some(order.load.clone());
        self.input_now(name, Input::OrderAnswered { upstream: order.upstream.clone(), taken: true });
    }

    /// Starts a granted request at its upstream and schedules its end.
    pub(super) fn start_granted(&mut self, name: &str, grant: Grant) {
        let attempt = grant.attempt;
        let before = self.request_states.get(&attempt).cloned();
        assert!(
            matches!(before, Some(RequestState::Waiting | RequestState::Done)),
            "{attempt} was granted in state {before:?}: one request got two permits"
        );
        if before == Some(RequestState::Done) {
            // The caller gave up in the meantime, and the node has been notified of it.
            return;
        }
        let upstream = grant.upstream.clone();
        self.grants.push((self.now, grant));
        if !self.can_reach(name, upstream.as_str()) {
            let incarnation = self.routers[name].incarnation;
            let input = Input::AttemptEnded { attempt, success: Some(false), unreachable: true };
            self.schedule(self.now + 1_000, Event::Input(name.to_owned(), incarnation, input));
            self.request_states.insert(attempt, RequestState::Done);
            return;
        }
        let engine = self.engines.get_mut(upstream.as_str()).unwrap();
        engine.running.insert(attempt, name.to_owned());
        engine.last_request_at = self.now;
        self.request_states.insert(attempt, RequestState::Running(upstream));
        let incarnation = self.routers[name].incarnation;
        let run_time_us = self.rng.random_range(self.run_time_range_us.0..=self.run_time_range_us.1);
        self.schedule(self.now + run_time_us, Event::EndRequest(name.to_owned(), incarnation, attempt));
    }

    /// Ends a request that waits or runs, and notifies its entry router.
    pub(super) fn end_request(&mut self, name: &str, attempt: id::Attempt) {
        if let Some(RequestState::Running(upstream)) = self.request_states.get(&attempt) {
            let engine = self.engines.get_mut(upstream.as_str()).unwrap();
            engine.running.remove(&attempt);
        }
        if matches!(self.request_states.get(&attempt), Some(RequestState::Running(_) | RequestState::Waiting)) {
            self.request_states.insert(attempt, RequestState::Done);
            let input = Input::AttemptEnded { attempt, success: Some(true), unreachable: false };
            self.input_now(name, input);
        }
    }

    /// Records the verdict on a claim and schedules the run if the claim was won.
    pub(super) fn record_verdict(&mut self, name: &str, attempt: id::Attempt, verdict: &ClaimVerdict) {
        let before = self.claim_verdicts.insert(attempt, verdict.clone());
        assert_eq!(before, None, "{attempt} received two verdicts on its claim");
        if !matches!(verdict, ClaimVerdict::Yours { .. }) {
            return;
        }
        let key = self.claim_keys[&attempt];
        let incarnation = self.routers[name].incarnation;
        let delay = self.delay();
        self.schedule(self.now + delay, Event::RunClaimed(name.to_owned(), incarnation, key, attempt));
    }
}
