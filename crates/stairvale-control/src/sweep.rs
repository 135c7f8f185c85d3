//! Deletion of unused chunks: chunks of earlier configurations are deleted from the platform's store, which would grow
//! without limit otherwise.
//!
//! A submission may use an old chunk again at any moment, so a chunk is deleted only if it still has the revision that
//! was read ten minutes before the manifest was found not to contain it. A submission rewrites every chunk that the
//! previous manifest lacks, which gives the chunk another revision, and it is decided long before ten minutes have
//! passed.

use std::{collections::BTreeMap, time::Duration};

use stairvale_config::{Manifest, chunk::Digest};
use stairvale_types::Moment;

use crate::io::Answer;

/// Time for which a chunk is kept after its document went out of force, since routers that lag may still fetch it.
pub const CHUNK_RETENTION: Duration = Duration::from_secs(1_800);
/// Delay between reading a chunk's revision and checking that the manifest lacks the chunk. It has to exceed the
/// duration of a submission, which takes seconds.
pub const CONFIRM_DELAY: Duration = Duration::from_secs(600);
/// Maximum number of chunks that one sweep deletes.
const BATCH_SIZE: usize = 64;
/// Maximum number of chunks that wait to be deleted. Chunks beyond it are never deleted.
const MAX_RETIRED: usize = 4_096;
/// Delay before a sweep restarts after a call to the store failed.
const RETRY_DELAY: Duration = Duration::from_secs(60);

/// A call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads a chunk's revision.
    ReadChunk(Digest),
    /// Reads the manifest to find the chunks in force.
    ReadManifest,
    /// Deletes a chunk if it still has this revision.
    Delete(Digest, u64),
}

/// A chunk that may be deleted, with the revision that was read.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    chunk: Digest,
    revision: u64,
}

#[derive(Debug, Default)]
enum Phase {
    #[default]
    Idle,
    /// The revision of the last of these chunks is being read.
    Reading(Vec<Digest>),
    /// All revisions have been read; the delay runs since this time.
    Holding(Moment),
    /// The manifest is being read.
    Checking,
    /// The last chunk of the batch is being deleted.
    Deleting,
}

/// State machine of the sweep. Every router records the chunks that went out of use; one of them deletes them.
#[derive(Debug, Default)]
pub struct Machine {
    chunks: Vec<Digest>,
    retired: BTreeMap<Digest, Moment>,
    phase: Phase,
    batch: Vec<Candidate>,
    retry_at: Moment,
    /// Number of chunks that this router deleted.
    pub deleted: u64,
}

impl Machine {
    /// Number of unused chunks that are not deleted yet.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.retired.len()
    }

    /// Records that a manifest came into force: chunks that it lacks are due for deletion later.
    pub fn in_force(&mut self, now: Moment, manifest: &Manifest) {
        let before = std::mem::replace(&mut self.chunks, manifest.chunks.clone());
        for chunk in before.into_iter().filter(|chunk| !self.chunks.contains(chunk)) {
            if self.retired.len() < MAX_RETIRED {
                self.retired.insert(chunk, now);
            }
        }
        self.retired.retain(|chunk, _| !manifest.chunks.contains(chunk));
    }

    /// Advances the time and returns the next call to the store, if any. `chosen` states whether this router is the one
    /// that sweeps.
    pub fn tick(&mut self, now: Moment, chosen: bool) -> Option<StoreCall> {
        if !chosen {
            self.phase = Phase::Idle;
            return None;
        }
        match &self.phase {
            Phase::Idle if now >= self.retry_at => self.begin(now),
            Phase::Holding(since) if now.since(*since) >= CONFIRM_DELAY => {
                self.phase = Phase::Checking;
                Some(StoreCall::ReadManifest)
            }
            Phase::Idle | Phase::Reading(_) | Phase::Holding(_) | Phase::Checking | Phase::Deleting => None,
        }
    }

    /// Handles the store's answer to the latest call and returns the next call, if any.
    pub fn answer(&mut self, now: Moment, answer: &Answer) -> Option<StoreCall> {
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
                self.retry_at = now + RETRY_DELAY;
                None
            }
        }
    }

    // ------------------------------------------------------------------------

    fn begin(&mut self, now: Moment) -> Option<StoreCall> {
        let due = self.retired.iter().filter(|(_, retired)| now.since(**retired) >= CHUNK_RETENTION);
        let due: Vec<_> = due.map(|(chunk, _)| *chunk).take(BATCH_SIZE).collect();
        self.batch.clear();
        let first = *due.last()?;
        self.phase = Phase::Reading(due);
        Some(StoreCall::ReadChunk(first))
    }

    fn found(&mut self, now: Moment, mut left: Vec<Digest>, value: Option<&(String, u64)>) -> Option<StoreCall> {
        let chunk = left.pop()?;
        match value {
            Some((_, revision)) => self.batch.push(Candidate { chunk, revision: *revision }),
            None => drop(self.retired.remove(&chunk)),
        }
        let Some(next) = left.last().copied() else {
            self.phase = if self.batch.is_empty() { Phase::Idle } else { Phase::Holding(now) };
            return None;
        };
        self.phase = Phase::Reading(left);
        Some(StoreCall::ReadChunk(next))
    }

    /// Drops the chunks that are in force again, and starts to delete the others.
    fn check(&mut self, manifest: &str) -> Option<StoreCall> {
        let Ok(manifest) = serde_json::from_str::<Manifest>(manifest) else {
            return None;
        };
        self.batch.retain(|found| !manifest.chunks.contains(&found.chunk));
        self.retired.retain(|chunk, _| !manifest.chunks.contains(chunk));
        self.delete()
    }

    fn delete(&mut self) -> Option<StoreCall> {
        let found = self.batch.last()?;
        self.phase = Phase::Deleting;
        Some(StoreCall::Delete(found.chunk, found.revision))
    }
}
