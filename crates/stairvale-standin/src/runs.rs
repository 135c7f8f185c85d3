//! Counts what ran, by the caller's request id.

use std::{collections::HashMap, sync::Mutex};

/// The header with the caller's own id of a request.
pub const REQUEST_ID: &str = "x-request-id";

/// How often each request ran.
#[derive(Debug, Default)]
pub struct Runs {
    counts: Mutex<HashMap<String, u32>>,
}

impl Runs {
    /// A request runs.
    pub fn count(&self, request: &str) {
        if let Ok(mut counts) = self.counts.lock() {
            *counts.entry(request.to_owned()).or_default() += 1;
        }
    }

    /// All counts.
    #[must_use]
    pub fn all(&self) -> HashMap<String, u32> {
        self.counts.lock().map(|counts| counts.clone()).unwrap_or_default()
    }
}
