//! Where an entry last saw shared parts of prompts go: what a home that takes over needs to know.

use std::collections::{HashMap, VecDeque};

use stairvale_types::id;

use crate::{Part, cache};

/// Chains of parts that are remembered.
const CAPACITY: usize = 2_048;

/// A bounded memory of chains of parts.
#[derive(Debug, Default)]
pub struct Seen {
    places: HashMap<u64, id::Upstream>,
    order: VecDeque<u64>,
}

/// The parts that others may share: all but the last.
fn shared(parts: &[Part]) -> &[Part] {
    &parts[..parts.len().saturating_sub(1)]
}

impl Seen {
    /// A prompt went to an upstream.
    pub fn remember(&mut self, parts: &[Part], upstream: &id::Upstream) {
        for depth in 1..=shared(parts).len() {
            let name = cache::name(&parts[..depth]);
            if self.places.insert(name, upstream.clone()).is_none() {
                self.order.push_back(name);
            }
        }
        while self.order.len() > CAPACITY {
            if let Some(oldest) = self.order.pop_front() {
                self.places.remove(&oldest);
            }
        }
    }

    /// The longest chain of a prompt's shared parts that was seen, and where it went.
    #[must_use]
    pub fn find(&self, parts: &[Part]) -> Option<(usize, id::Upstream)> {
        (1..=shared(parts).len()).rev().find_map(|depth| {
            let place = self.places.get(&cache::name(&parts[..depth]))?;
            Some((depth, place.clone()))
        })
    }
}
