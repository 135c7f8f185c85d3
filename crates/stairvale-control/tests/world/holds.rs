//! What must hold, whatever happened.

use super::*;

impl World {
    /// Every account agrees with what really runs; call it when the world has been quiet for a while.
    pub fn assert_no_leaks(&self) {
        for slot in self.routers.values().filter(|slot| slot.alive) {
            let name = slot.node.home().router();
            assert_eq!(slot.node.entry().asking(), 0, "{name} still asks");
            for upstream in slot.node.home().upstreams() {
                let held = slot.node.home().outstanding(upstream).unwrap_or(0);
                let runs = self.engines[upstream.as_str()].running.len();
                assert_eq!(held, runs, "{name} holds {held} of {upstream}, where {runs} run");
            }
        }
    }

    /// No request waits for ever.
    pub fn assert_all_told(&self) {
        let asking = self.fates.values().filter(|fate| **fate == Fate::Asking).count();
        assert_eq!(asking, 0, "{asking} requests were never told anything");
    }

    /// No key ran twice, and what was told about a claim is true.
    pub fn assert_at_most_once(&self) {
        for (key, ran) in &self.ran {
            assert!(ran.len() <= 1, "key {key} ran {} times", ran.len());
        }
        for (attempt, verdict) in &self.claims {
            let ran = self.ran.get(&self.claim_keys[attempt]).is_some_and(|ran| ran.contains(attempt));
            let may_run = matches!(verdict, ClaimVerdict::Yours { .. });
            assert!(may_run || !ran, "{attempt} was told {verdict:?}, but ran");
            let told_ran = matches!(verdict, ClaimVerdict::Ran(_));
            assert!(
                !told_ran || self.ran.contains_key(&self.claim_keys[attempt]),
                "{attempt} was told of a run that wasn't"
            );
        }
    }

    /// All live routers have what the store says.
    pub fn assert_one_generation(&self) {
        let in_store = self.store.manifest().map_or(Generation(0), |manifest| manifest.generation());
        for (name, slot) in self.routers.iter().filter(|(_, slot)| slot.alive) {
            assert_eq!(slot.generation, in_store, "{name} doesn't have what is accepted");
        }
    }

    /// The largest load over the mean, of engines that live.
    #[allow(clippy::cast_precision_loss)]
    pub fn skew(&self) -> f64 {
        let loads: Vec<_> =
            self.engines.values().filter(|e| e.service == "chat" && e.alive).map(|e| e.running.len()).collect();
        let mean = loads.iter().sum::<usize>() as f64 / loads.len() as f64;
        let max = loads.iter().copied().max().unwrap_or(0) as f64;
        if mean > 0.0 { max / mean } else { 1.0 }
    }
}
