//! The results of a run, as JSON and as a table.

use std::fmt;

use serde::Serialize;

use crate::sample::Window;

/// The results of a run. A field that was not measured is `None`, never 0.
#[derive(Clone, Debug, Default, Serialize)]
#[allow(missing_docs)]
pub struct Report {
    pub scenario: String,
    pub policy: String,
    pub seed: u64,
    pub requests: u64,
    pub ok: u64,
    pub refused_not_run: u64,
    pub unknown: u64,
    pub doubled: u64,
    pub lost: u64,
    pub mixed: u64,
    pub cache_reuse: Option<f64>,
    pub skew_p50: Option<f64>,
    pub skew_p99: Option<f64>,
    pub skew_max: Option<f64>,
    pub over_bound_grants: Option<u64>,
    pub control_bytes_per_router_s_p50: Option<f64>,
    pub control_bytes_per_router_s_max: Option<f64>,
    pub first_token_ms_p50: Option<f64>,
    pub first_token_ms_p95: Option<f64>,
    pub first_token_ms_p99: Option<f64>,
    pub inter_token_ms_p95: Option<f64>,
    pub config_in_force_ms_max: Option<f64>,
    /// Requests that ran although all their responses stated "not run"; any value but zero is a fault.
    pub not_run_but_ran: u64,
    /// The mean load of an engine over the windows that the skew is calculated from.
    pub mean_load: Option<f64>,
    /// Median skew of the windows with a mean load below one, where skew is mostly rounding.
    pub sliver_skew_p50: Option<f64>,
    /// 99th percentile of the skew of the windows with a mean load below one, where skew is mostly rounding.
    pub sliver_skew_p99: Option<f64>,
    /// The windows with the highest skew.
    pub worst_windows: Vec<Window>,
    /// First-token time of urgent requests.
    pub urgent_first_token_ms_p95: Option<f64>,
    /// Time that urgent requests waited for permits.
    pub urgent_wait_ms_p95: Option<f64>,
    /// First-token time of long-running jobs.
    pub bulk_first_token_ms_p95: Option<f64>,
    /// The share of the turns of long-running jobs that were answered completely.
    pub bulk_done: Option<f64>,
    /// First-token time of all customers but the first, in the first half of the run.
    pub others_early_ms_p95: Option<f64>,
    /// First-token time of all customers but the first, in the second half of the run.
    pub others_late_ms_p95: Option<f64>,
    /// Time that requests of all customers but the first waited for permits, in the first half of the run.
    pub others_early_wait_ms_p95: Option<f64>,
    /// Time that requests of all customers but the first waited for permits, in the second half of the run.
    pub others_late_wait_ms_p95: Option<f64>,
    /// Permits granted without the home.
    pub degraded_grants: Option<u64>,
    /// Violated invariants that the routers counted.
    pub violations: Option<u64>,
    /// The number of calls to the platform's store.
    pub store_calls: Option<u64>,
    /// The number of writes of claim records.
    pub claim_writes: Option<u64>,
    /// The number of claims requested.
    pub claims: Option<u64>,
    /// The number of refusals and failed connections by reason.
    pub reasons: std::collections::BTreeMap<String, u64>,
}

impl Report {
    /// Whether the run found a fault: lost, mixed up or doubled answers, requests that ran in spite of a "not run", or
    /// violated invariants.
    #[must_use]
    pub fn has_faults(&self) -> bool {
        let violations = self.violations.unwrap_or(0);
        self.doubled + self.lost + self.mixed + self.not_run_but_ran + violations > 0
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let json = serde_json::to_value(self).map_err(|_| fmt::Error)?;
        for (name, value) in json.as_object().into_iter().flatten() {
            match value.as_f64().filter(|_| value.is_f64()) {
                Some(number) => writeln!(f, "{name:<34} {number:.3}")?,
                None => writeln!(f, "{name:<34} {value}")?,
            }
        }
        Ok(())
    }
}
