//! Counts how often each request ran, by the caller's request id.

use std::{collections::HashMap, sync::Mutex};

/// The header that carries the caller's id of a request.
pub const REQUEST_ID: &str = "x-request-id";

/// The number of runs of each request.
#[derive(Debug, Default)]
pub struct Runs {
    counts: Mutex<HashMap<String, u32>>,
}

impl Runs {
    /// Counts one run of a request.
    pub fn count(&self, request: &str) {
        if let Ok(mut counts) = self.counts.lock() {
            *counts.entry(request.to_owned()).or_default() += 1;
        }
    }

    /// Returns the number of runs by request id.
    #[must_use]
    pub fn all(&self) -> HashMap<String, u32> {
        self.counts.lock().map(|counts| counts.clone()).unwrap_or_default()
    }
}
