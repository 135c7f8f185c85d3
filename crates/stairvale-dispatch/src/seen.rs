//! A memory of the upstreams to which an entry router recently sent shared prefixes. A router that takes over as home
//! learns them from it.

use std::collections::{HashMap, VecDeque};

use stairvale_types::id;

use crate::{Part, cache};

/// Maximum number of prefixes that are remembered.
const MAX_PREFIXES: usize = 2_048;

/// A bounded map from shared prefixes to upstreams.
#[derive(Debug, Default)]
pub struct SentPrefixes {
    upstreams: HashMap<u64, id::Upstream>,
    order: VecDeque<u64>,
}

/// Returns the parts that other prompts may share: all but the last.
fn shared(parts: &[Part]) -> &[Part] {
    &parts[..parts.len().saturating_sub(1)]
}

impl SentPrefixes {
    /// Records that a prompt was sent to an upstream.
    pub fn remember(&mut self, parts: &[Part], upstream: &id::Upstream) {
        for depth in 1..=shared(parts).len() {
            let name = cache::prefix_hash(&parts[..depth]);
            if self.upstreams.insert(name, upstream.clone()).is_none() {
                self.order.push_back(name);
            }
        }
        while self.order.len() > MAX_PREFIXES {
            if let Some(oldest) = self.order.pop_front() {
                self.upstreams.remove(&oldest);
            }
        }
    }

    /// Returns the number of parts of a prompt's longest remembered prefix, and the upstream that it was sent to.
    #[must_use]
    pub fn find(&self, parts: &[Part]) -> Option<(usize, id::Upstream)> {
        (1..=shared(parts).len()).rev().find_map(|depth| {
            let upstream = self.upstreams.get(&cache::prefix_hash(&parts[..depth]))?;
            Some((depth, upstream.clone()))
        })
    }
}
