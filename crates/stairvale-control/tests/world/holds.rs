//! Invariants that must hold whatever happened.

use super::*;

impl World {
    /// Asserts that every account agrees with the requests that run. Call it only after a time without new faults and
    /// requests.
    pub fn assert_no_leaks(&self) {
        for router in self.routers.values().filter(|router| router.alive) {
            let name = router.node.home().router();
            assert_eq!(router.node.entry().pending_attempts(), 0, "{name} still has requests that wait for a permit");
            for upstream in router.node.home().upstreams() {
                let held = router.node.home().outstanding(upstream).unwrap_or(0);
                let runs = self.engines[upstream.as_str()].running.len();
                assert_eq!(held, runs, "{name} counts {held} permits of {upstream}, where {runs} requests run");
            }
        }
    }

    /// Asserts that no request waits any more, so that each one got an outcome.
    pub fn assert_no_request_waits(&self) {
        let waiting = self.request_states.values().filter(|state| **state == RequestState::Waiting).count();
        assert_eq!(waiting, 0, "{waiting} requests got no outcome");
    }

    /// Asserts that no key ran twice and that the verdict on each claim is true.
    pub fn assert_at_most_once(&self) {
        for (key, ran) in &self.executions {
            assert!(ran.len() <= 1, "key {key} ran {} times", ran.len());
        }
        for (attempt, verdict) in &self.claim_verdicts {
            let ran = self.executions.get(&self.claim_keys[attempt]).is_some_and(|ran| ran.contains(attempt));
            let may_run = matches!(verdict, ClaimVerdict::Yours { .. });
            assert!(may_run || !ran, "{attempt} ran after the verdict {verdict:?}");
            let has_stored_answer = matches!(verdict, ClaimVerdict::Ran(_));
            assert!(
                !has_stored_answer || self.executions.contains_key(&self.claim_keys[attempt]),
                "{attempt} received the answer of a run that didn't happen"
            );
        }
    }

    /// Asserts that all live routers have the store's generation in force.
    pub fn assert_one_generation(&self) {
        let in_store = self.store.manifest().map_or(Generation(0), |manifest| manifest.generation());
        for (name, router) in self.routers.iter().filter(|(_, router)| router.alive) {
            assert_eq!(router.generation, in_store, "{name} doesn't have the accepted generation in force");
        }
    }

    /// The largest load of the live chat engines, as a multiple of their mean load; 1 when none has load.
    #[allow(clippy::cast_precision_loss)]
    pub fn skew(&self) -> f64 {
        let loads: Vec<_> =
            self.engines.values().filter(|e| e.service == "chat" && e.alive).map(|e| e.running.len()).collect();
        let mean = loads.iter().sum::<usize>() as f64 / loads.len() as f64;
        let max = loads.iter().copied().max().unwrap_or(0) as f64;
        if mean > 0.0 { max / mean } else { 1.0 }
    }
}
