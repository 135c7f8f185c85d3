//! What a run shows, as JSON and as a table.

use std::fmt;

use serde::Serialize;

use crate::sample::Window;

/// A run's figures. A field that wasn't measured is `None`, never 0.
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
    /// "Not run" was said of something that ran: any but zero is a fault.
    pub not_run_but_ran: u64,
    /// The mean load of an engine over the windows that skew was taken from.
    pub mean_load: Option<f64>,
    /// Skew in windows whose mean load is below one.
    pub sliver_skew_p50: Option<f64>,
    /// Skew in windows whose mean load is below one.
    pub sliver_skew_p99: Option<f64>,
    /// The windows with the highest skew.
    pub worst_windows: Vec<Window>,
    /// First token of urgent requests.
    pub urgent_first_token_ms_p95: Option<f64>,
    /// Waits for permits of urgent requests.
    pub urgent_wait_ms_p95: Option<f64>,
    /// First token of long jobs.
    pub bulk_first_token_ms_p95: Option<f64>,
    /// Long jobs answered whole, of all.
    pub bulk_done: Option<f64>,
    /// First token of all customers but the first, in the run's first half.
    pub others_early_ms_p95: Option<f64>,
    /// In its second half.
    pub others_late_ms_p95: Option<f64>,
    /// Waits for permits of all customers but the first, in the run's first half.
    pub others_early_wait_ms_p95: Option<f64>,
    /// In its second half.
    pub others_late_wait_ms_p95: Option<f64>,
    /// Permits taken without a home.
    pub degraded_grants: Option<u64>,
    /// Broken invariants that the routers counted.
    pub violations: Option<u64>,
    /// Calls to the platform's store.
    pub store_calls: Option<u64>,
    /// Writes of claim records, and claims.
    pub claim_writes: Option<u64>,
    /// Claims asked for.
    pub claims: Option<u64>,
    /// "No"s by reason.
    pub reasons: std::collections::BTreeMap<String, u64>,
}

impl Report {
    /// Whether something happened that must never happen.
    #[must_use]
    pub fn is_broken(&self) -> bool {
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
