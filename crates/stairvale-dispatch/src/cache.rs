//! What the home believes an engine holds of prompts: the parts least lately used give way, as they do at the engine.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::Part;

#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: u32,
    used: u64,
    /// Whether other prompts may have it, too.
    shared: bool,
}

/// A chain of parts that an engine holds, by its name.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Chain {
    /// See [`name`].
    pub name: u64,
    /// The tokens of its last part.
    pub tokens: u32,
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
        for (index, part) in parts.iter().enumerate() {
            before = chain(before, *part);
            self.put(Chain { name: before, tokens: part.tokens }, index + 1 < parts.len());
        }
        self.shrink();
    }

    /// The chains that other prompts may share, the least lately used first.
    #[must_use]
    pub fn chains(&self) -> Vec<Chain> {
        let kept = self.order.values().filter_map(|name| Some((*name, self.kept.get(name)?)));
        kept.filter(|(_, kept)| kept.shared).map(|(name, kept)| Chain { name, tokens: kept.tokens }).collect()
    }

    /// Takes over what another router believes, as far as it isn't known here.
    pub fn learn(&mut self, chains: &[Chain]) {
        for chain in chains {
            if !self.kept.contains_key(&chain.name) {
                self.put(*chain, true);
            }
        }
        self.shrink();
    }

    fn put(&mut self, chain: Chain, shared: bool) {
        self.clock += 1;
        let kept = Kept { tokens: chain.tokens, used: self.clock, shared };
        if let Some(old) = self.kept.insert(chain.name, kept) {
            self.held -= u64::from(old.tokens);
            self.order.remove(&old.used);
        }
        self.held += u64::from(chain.tokens);
        self.order.insert(self.clock, chain.name);
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
