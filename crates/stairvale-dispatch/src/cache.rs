//! The home's model of an engine's prefix cache: as at the engine, the least recently used parts are evicted.

use std::collections::BTreeMap;

use rapidhash::RapidHashMap;
use stairvale_types::id;

use crate::Part;

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    last_used: u64,
    /// Whether other prompts may contain the part.
    shared: bool,
    /// The attempt that is still prefilling the part.
    reader: Option<id::Attempt>,
}

/// A model of one engine's prefix cache. Equal parts usually follow equal parts, so a part is identified by its id alone;
/// where one follows others, the model expects tokens to be cached that the engine has to prefill.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    capacity: u64,
    size: u64,
    clock: u64,
    cached: RapidHashMap<u64, CachedPart>,
    by_last_use: BTreeMap<u64, u64>,
    /// The shared parts that were added or removed since the last call of `take_changes`, in order; `true` for those
    /// that were added.
    changes: Vec<(u64, bool)>,
}

/// Returns a hash that identifies a sequence of parts.
#[must_use]
pub fn prefix_hash(parts: &[Part]) -> u64 {
    let add =
        |before: u64, part: &Part| rapidhash::v3::rapidhash_v3(&[before.to_le_bytes(), part.id.to_le_bytes()].concat());
    parts.iter().fold(0, add)
}

impl Cache {
    /// Creates an empty cache with a capacity in tokens.
    #[must_use]
    pub fn new(capacity: u64) -> Self {
        Self { capacity, ..Self::default() }
    }

    /// Returns the number of tokens of a prompt, from its start, that needn't be prefilled again.
    #[must_use]
    pub fn covers(&self, parts: &[Part]) -> u32 {
        parts.iter().take_while(|part| self.cached.contains_key(&part.id)).map(|part| part.tokens).sum()
    }

    /// Returns the number of tokens of a prompt, from its start, that are cached and whose prefill has finished.
    #[must_use]
    pub fn ready(&self, parts: &[Part]) -> u32 {
        let ready = |part: &&Part| self.cached.get(&part.id).is_some_and(|cached| cached.reader.is_none());
        parts.iter().take_while(ready).map(|part| part.tokens).sum()
    }

    /// Returns the attempt that is prefilling the first part of the prompt whose prefill hasn't finished.
    #[must_use]
    pub fn reader(&self, parts: &[Part]) -> Option<id::Attempt> {
        let mut cached = parts.iter().map_while(|part| self.cached.get(&part.id));
        cached.find_map(|cached| cached.reader)
    }

    /// Adds all parts of a prompt that the engine has prefilled.
    pub fn insert_prompt(&mut self, parts: &[Part]) {
        for (index, part) in parts.iter().enumerate() {
            self.insert(*part, index + 1 < parts.len());
        }
        self.evict();
    }

    /// Adds the parts of a prompt that the engine starts to prefill; returns the shared parts that weren't cached.
    pub fn begin_prefill(&mut self, parts: &[Part], reader: id::Attempt) -> Vec<u64> {
        let shared = &parts[..parts.len().saturating_sub(1)];
        let new: Vec<_> = shared.iter().map(|part| part.id).filter(|id| !self.cached.contains_key(id)).collect();
        self.insert_prompt(parts);
        for id in &new {
            if let Some(cached) = self.cached.get_mut(id) {
                cached.reader = Some(reader);
            }
        }
        new
    }

    /// Marks parts as prefilled.
    pub fn finish_prefill(&mut self, parts: &[u64]) {
        for id in parts {
            if let Some(cached) = self.cached.get_mut(id) {
                cached.reader = None;
            }
        }
    }

    /// Removes parts whose prefill by `reader` was aborted.
    pub fn abort_prefill(&mut self, parts: &[u64], reader: id::Attempt) {
        for id in parts {
            if self.cached.get(id).is_some_and(|cached| cached.reader == Some(reader))
                && let Some(cached) = self.cached.remove(id)
            {
                self.size -= u64::from(cached.tokens);
                self.by_last_use.remove(&cached.last_used);
                self.record_removal(*id, cached);
            }
        }
    }

    /// Empties the cache.
    pub fn clear(&mut self) {
        for (id, cached) in std::mem::take(&mut self.cached) {
            self.record_removal(id, cached);
        }
        self.by_last_use.clear();
        self.size = 0;
    }

    /// Returns the shared parts that were added (`true`) or removed (`false`) since the last call.
    pub fn take_changes(&mut self) -> Vec<(u64, bool)> {
        std::mem::take(&mut self.changes)
    }

    fn record_removal(&mut self, id: u64, cached: CachedPart) {
        if cached.shared {
            self.changes.push((id, false));
        }
    }

    /// Returns the parts that other prompts may share, the least recently used first.
    #[must_use]
    pub fn shared(&self) -> Vec<Part> {
        let cached = self.by_last_use.values().filter_map(|id| Some((*id, self.cached.get(id)?)));
        cached.filter(|(_, cached)| cached.shared).map(|(id, cached)| Part { id, tokens: cached.tokens }).collect()
    }

    /// Adds the parts that another router's model or the engine itself lists, unless they are cached here already.
    pub fn learn(&mut self, parts: &[Part]) {
        for part in parts {
            if !self.cached.contains_key(&part.id) {
                self.insert(*part, true);
            }
        }
        self.evict();
    }

    fn insert(&mut self, part: Part, shared: bool) {
        self.clock += 1;
        let before = self.cached.get(&part.id).copied();
        let reader = before.and_then(|cached| cached.reader);
        // A shared part stays shared, also where a prompt ends with it.
        let was_shared = before.is_some_and(|cached| cached.shared);
        if shared && !was_shared {
            self.changes.push((part.id, true));
        }
        let cached = CachedPart { tokens: part.tokens, last_used: self.clock, shared: shared || was_shared, reader };
        if let Some(old) = self.cached.insert(part.id, cached) {
            self.size -= u64::from(old.tokens);
            self.by_last_use.remove(&old.last_used);
        }
        self.size += u64::from(part.tokens);
        self.by_last_use.insert(self.clock, part.id);
    }

    fn evict(&mut self) {
        while self.size > self.capacity {
            let Some((_, oldest)) = self.by_last_use.pop_first() else {
                break;
            };
            if let Some(evicted) = self.cached.remove(&oldest) {
                self.size -= u64::from(evicted.tokens);
                self.record_removal(oldest, evicted);
            }
        }
    }
}
