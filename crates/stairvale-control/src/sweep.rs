//! Chunks of earlier configurations are deleted from the platform's store, or it would grow for ever.
//!
//! A submission may bring a chunk back at any moment, so a chunk is deleted only at the revision that it had ten minutes before
//! the manifest was last seen without it. A submission writes every chunk anew that the manifest before it lacks, which gives
//! it another revision, and is decided long before ten minutes are over.

use std::{collections::BTreeMap, time::Duration};

use stairvale_config::{Manifest, chunk::Digest};
use stairvale_types::Moment;

use crate::io::Answer;

/// A chunk is left alone for this long after its document went: routers that lag may still fetch it.
pub const KEEP: Duration = Duration::from_secs(1_800);
/// Between looking up a chunk's revision and looking whether the manifest lacks it. A submission takes seconds.
pub const HOLD: Duration = Duration::from_secs(600);
/// Chunks that are deleted together.
const BATCH: usize = 64;
/// Chunks that are remembered; beyond this some are never deleted.
const MAX_RETIRED: usize = 4_096;
/// After a lost answer the sweep starts anew this much later.
const PAUSE: Duration = Duration::from_secs(60);

/// A call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wish {
    /// Look up a chunk's revision.
    ReadChunk(Digest),
    /// Look which chunks are in force.
    ReadManifest,
    /// Delete a chunk if its revision is still this.
    Delete(Digest, u64),
}

/// A chunk at the revision that was looked up.
#[derive(Clone, Copy, Debug)]
struct Found {
    chunk: Digest,
    revision: u64,
}

#[derive(Debug, Default)]
enum Phase {
    #[default]
    Idle,
    /// The last of these is being looked up.
    Reading(Vec<Digest>),
    Holding(Moment),
    Checking,
    /// The last of the batch is being deleted.
    Deleting,
}

/// What this router knows of chunks that went, and the sweep, if this router does it.
#[derive(Debug, Default)]
pub struct Machine {
    chunks: Vec<Digest>,
    retired: BTreeMap<Digest, Moment>,
    phase: Phase,
    batch: Vec<Found>,
    pause_until: Moment,
    /// Chunks deleted.
    pub deleted: u64,
}

impl Machine {
    /// Chunks that wait to be deleted.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.retired.len()
    }

    /// A manifest is in force here.
    pub fn in_force(&mut self, now: Moment, manifest: &Manifest) {
        let before = std::mem::replace(&mut self.chunks, manifest.chunks.clone());
        for chunk in before.into_iter().filter(|chunk| !self.chunks.contains(chunk)) {
            if self.retired.len() < MAX_RETIRED {
                self.retired.insert(chunk, now);
            }
        }
        self.retired.retain(|chunk, _| !manifest.chunks.contains(chunk));
    }

    /// Lets time pass; `chosen` says whether this router sweeps.
    pub fn tick(&mut self, now: Moment, chosen: bool) -> Option<Wish> {
        if !chosen {
            self.phase = Phase::Idle;
            return None;
        }
        match &self.phase {
            Phase::Idle if now >= self.pause_until => self.begin(now),
            Phase::Holding(since) if now.since(*since) >= HOLD => {
                self.phase = Phase::Checking;
                Some(Wish::ReadManifest)
            }
            Phase::Idle | Phase::Reading(_) | Phase::Holding(_) | Phase::Checking | Phase::Deleting => None,
        }
    }

    /// The store answered.
    pub fn answer(&mut self, now: Moment, answer: &Answer) -> Option<Wish> {
        match (std::mem::take(&mut self.phase), answer) {
            (Phase::Reading(left), Answer::Value(value)) => self.found(now, left, value.as_ref()),
            (Phase::Checking, Answer::Value(Some((text, _)))) => self.check(text),
            (Phase::Deleting, Answer::Written(_) | Answer::Conflict) => {
                if let Some(found) = self.batch.pop() {
                    self.deleted += u64::from(matches!(answer, Answer::Written(_)));
                    self.retired.remove(&found.chunk);
                }
                self.delete()
            }
            (Phase::Idle | Phase::Holding(_), _) => None,
            (Phase::Reading(_) | Phase::Checking | Phase::Deleting, _) => {
                self.pause_until = now + PAUSE;
                None
            }
        }
    }

    // ------------------------------------------------------------------------

    fn begin(&mut self, now: Moment) -> Option<Wish> {
        let due = self.retired.iter().filter(|(_, retired)| now.since(**retired) >= KEEP);
        let due: Vec<_> = due.map(|(chunk, _)| *chunk).take(BATCH).collect();
        self.batch.clear();
        let first = *due.last()?;
        self.phase = Phase::Reading(due);
        Some(Wish::ReadChunk(first))
    }

    fn found(&mut self, now: Moment, mut left: Vec<Digest>, value: Option<&(String, u64)>) -> Option<Wish> {
        let chunk = left.pop()?;
        match value {
            Some((_, revision)) => self.batch.push(Found { chunk, revision: *revision }),
            None => drop(self.retired.remove(&chunk)),
        }
        let Some(next) = left.last().copied() else {
            self.phase = if self.batch.is_empty() { Phase::Idle } else { Phase::Holding(now) };
            return None;
        };
        self.phase = Phase::Reading(left);
        Some(Wish::ReadChunk(next))
    }

    /// What is in force again stays.
    fn check(&mut self, manifest: &str) -> Option<Wish> {
        let Ok(manifest) = serde_json::from_str::<Manifest>(manifest) else {
            return None;
        };
        self.batch.retain(|found| !manifest.chunks.contains(&found.chunk));
        self.retired.retain(|chunk, _| !manifest.chunks.contains(chunk));
        self.delete()
    }

    fn delete(&mut self) -> Option<Wish> {
        let found = self.batch.last()?;
        self.phase = Phase::Deleting;
        Some(Wish::Delete(found.chunk, found.revision))
    }
}
