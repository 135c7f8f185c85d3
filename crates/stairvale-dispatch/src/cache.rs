//! What the home believes an engine holds of prompts: the parts least lately used give way, as they do at the engine.

use std::collections::BTreeMap;

use rapidhash::RapidHashMap;
use stairvale_types::id;

use crate::Part;

#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: u32,
    used: u64,
    /// Whether other prompts may have it, too.
    shared: bool,
    /// The attempt that is still reading it.
    reader: Option<id::Attempt>,
}

/// A model of one engine's prefix cache. A part has its id from all that stands before it, so its id alone tells it.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    capacity: u64,
    held: u64,
    clock: u64,
    kept: RapidHashMap<u64, Kept>,
    order: BTreeMap<u64, u64>,
    /// Shared parts that are held, or no longer are, since that was asked for last, in order.
    changes: Vec<(u64, bool)>,
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

    /// Of these, tokens from the beginning that nobody is still reading.
    #[must_use]
    pub fn ready(&self, parts: &[Part]) -> u32 {
        let ready = |part: &&Part| self.kept.get(&part.id).is_some_and(|kept| kept.reader.is_none());
        parts.iter().take_while(ready).map(|part| part.tokens).sum()
    }

    /// Who reads the first of a prompt's parts that is still being read.
    #[must_use]
    pub fn reader(&self, parts: &[Part]) -> Option<id::Attempt> {
        let mut kept = parts.iter().map_while(|part| self.kept.get(&part.id));
        kept.find_map(|kept| kept.reader)
    }

    /// The engine has read a prompt.
    pub fn read(&mut self, parts: &[Part]) {
        for (index, part) in parts.iter().enumerate() {
            self.put(*part, index + 1 < parts.len());
        }
        self.shrink();
    }

    /// The engine begins to read a prompt; gives the shared parts that are new to it.
    pub fn begin(&mut self, parts: &[Part], reader: id::Attempt) -> Vec<u64> {
        let shared = &parts[..parts.len().saturating_sub(1)];
        let new: Vec<_> = shared.iter().map(|part| part.id).filter(|id| !self.kept.contains_key(id)).collect();
        self.read(parts);
        for id in &new {
            if let Some(kept) = self.kept.get_mut(id) {
                kept.reader = Some(reader);
            }
        }
        new
    }

    /// Parts that somebody was reading are read.
    pub fn finish(&mut self, parts: &[u64]) {
        for id in parts {
            if let Some(kept) = self.kept.get_mut(id) {
                kept.reader = None;
            }
        }
    }

    /// Parts that somebody was reading won't be read to their end.
    pub fn lose(&mut self, parts: &[u64], reader: id::Attempt) {
        for id in parts {
            if self.kept.get(id).is_some_and(|kept| kept.reader == Some(reader))
                && let Some(kept) = self.kept.remove(id)
            {
                self.held -= u64::from(kept.tokens);
                self.order.remove(&kept.used);
                self.gone(*id, kept);
            }
        }
    }

    /// The engine holds nothing any more.
    pub fn clear(&mut self) {
        for (id, kept) in std::mem::take(&mut self.kept) {
            self.gone(id, kept);
        }
        self.order.clear();
        self.held = 0;
    }

    /// Shared parts that are held from now on, or no longer are, since this was called last.
    pub fn take_changes(&mut self) -> Vec<(u64, bool)> {
        std::mem::take(&mut self.changes)
    }

    fn gone(&mut self, id: u64, kept: Kept) {
        if kept.shared {
            self.changes.push((id, false));
        }
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
        let before = self.kept.get(&part.id).copied();
        let reader = before.and_then(|kept| kept.reader);
        // What others may have stays so, also where a prompt ends with it.
        let was_shared = before.is_some_and(|kept| kept.shared);
        if shared && !was_shared {
            self.changes.push((part.id, true));
        }
        let kept = Kept { tokens: part.tokens, used: self.clock, shared: shared || was_shared, reader };
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
                self.gone(oldest, gone);
            }
        }
    }
}
