//! What the home believes an engine holds of prompts: the parts least lately used give way, as they do at the engine.

use std::collections::{BTreeMap, HashMap};

use crate::Part;

#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: u32,
    used: u64,
}

/// A model of one engine's prefix cache.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    capacity: u64,
    held: u64,
    clock: u64,
    kept: HashMap<u64, Kept>,
    order: BTreeMap<u64, u64>,
}

/// Names a part by all that stands before it, since it is kept only behind the same beginning.
fn chain(before: u64, part: Part) -> u64 {
    rapidhash::v3::rapidhash_v3(&[before.to_le_bytes(), part.id.to_le_bytes()].concat())
}

/// The name of a chain of parts.
#[must_use]
pub fn name(parts: &[Part]) -> u64 {
    parts.iter().fold(0, |before, part| chain(before, *part))
}

impl Cache {
    /// An empty cache for so many tokens.
    #[must_use]
    pub fn new(capacity: u64) -> Self {
        Self { capacity, ..Self::default() }
    }

    /// Tokens of a prompt, from its beginning, that needn't be read again.
    #[must_use]
    pub fn covers(&self, parts: &[Part]) -> u32 {
        let mut before = 0;
        let mut covered = 0_u32;
        for part in parts {
            before = chain(before, *part);
            if !self.kept.contains_key(&before) {
                break;
            }
            covered = covered.saturating_add(part.tokens);
        }
        covered
    }

    /// The engine reads a prompt.
    pub fn read(&mut self, parts: &[Part]) {
        let mut before = 0;
        for part in parts {
            before = chain(before, *part);
            self.clock += 1;
            if let Some(old) = self.kept.insert(before, Kept { tokens: part.tokens, used: self.clock }) {
                self.held -= u64::from(old.tokens);
                self.order.remove(&old.used);
            }
            self.held += u64::from(part.tokens);
            self.order.insert(self.clock, before);
        }
        while self.held > self.capacity {
            let Some((_, oldest)) = self.order.pop_first() else {
                break;
            };
            if let Some(gone) = self.kept.remove(&oldest) {
                self.held -= u64::from(gone.tokens);
            }
        }
    }
}
