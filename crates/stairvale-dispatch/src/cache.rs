//! What the home believes an engine holds of prompts: the parts least lately used give way, as they do at the engine.

use std::collections::{BTreeMap, HashMap};

use crate::Part;

#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: u32,
    used: u64,
    /// Whether other prompts may have it, too.
    shared: bool,
}

/// A model of one engine's prefix cache. A part has its id from all that stands before it, so its id alone tells it.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    capacity: u64,
    held: u64,
    clock: u64,
    kept: HashMap<u64, Kept>,
    order: BTreeMap<u64, u64>,
}

/// A name for a chain of parts.
#[must_use]
pub fn name(parts: &[Part]) -> u64 {
    let add =
        |before: u64, part: &Part| rapidhash::v3::rapidhash_v3(&[before.to_le_bytes(), part.id.to_le_bytes()].concat());
    parts.iter().fold(0, add)
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
        parts.iter().take_while(|part| self.kept.contains_key(&part.id)).map(|part| part.tokens).sum()
    }

    /// The engine reads a prompt.
    pub fn read(&mut self, parts: &[Part]) {
        for (index, part) in parts.iter().enumerate() {
            self.put(*part, index + 1 < parts.len());
        }
        self.shrink();
    }

    /// The parts that other prompts may share, the least lately used first.
    #[must_use]
    pub fn shared(&self) -> Vec<Part> {
        let kept = self.order.values().filter_map(|id| Some((*id, self.kept.get(id)?)));
        kept.filter(|(_, kept)| kept.shared).map(|(id, kept)| Part { id, tokens: kept.tokens }).collect()
    }

    /// Takes over what another router believes, or what the engine says, as far as it isn't known here.
    pub fn learn(&mut self, parts: &[Part]) {
        for part in parts {
            if !self.kept.contains_key(&part.id) {
                self.put(*part, true);
            }
        }
        self.shrink();
    }

    fn put(&mut self, part: Part, shared: bool) {
        self.clock += 1;
        let kept = Kept { tokens: part.tokens, used: self.clock, shared };
        if let Some(old) = self.kept.insert(part.id, kept) {
            self.held -= u64::from(old.tokens);
            self.order.remove(&old.used);
        }
        self.held += u64::from(part.tokens);
        self.order.insert(self.clock, part.id);
    }

    fn shrink(&mut self) {
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
