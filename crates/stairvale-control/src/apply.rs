//! Acceptance of an operator's submission: writes the document's chunks to the store, then swaps the manifest with one
//! compare-and-swap.

use stairvale_config::{Change, Evacuation, Generation, Manifest, chunk, chunk::Digest};
use stairvale_types::id;

use crate::io::{Action, Answer};

/// The key of the manifest in the platform's store.
pub const MANIFEST_KEY: &str = "config/manifest";
/// Number of consecutive lost answers after which the submission ends without a result.
const MAX_LOST_ANSWERS: u32 = 6;

/// The key of a chunk in the platform's store.
#[must_use]
pub fn chunk_key(digest: Digest) -> String {
    format!("config/chunk/{digest}")
}

/// A change that an operator submits.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Identifier of the submission, unique so that a retry is recognised.
    pub id: String,
    /// The operator that submits the change.
    pub operator: id::Operator,
    /// The requested change.
    pub intent: Intent,
    /// Time of the submission in milliseconds since 1970.
    pub at_ms: u64,
}

/// The change that a submission requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Intent {
    /// Puts another document into force.
    Document {
        /// The complete document, which has been validated.
        text: String,
        /// The generation that the document was edited from.
        base: Generation,
    },
    /// Evacuates a zone: its upstreams receive no new requests.
    Evacuate(id::Zone),
    /// Ends the evacuation of a zone.
    Restore(id::Zone),
}

/// The result of a submission.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The submission is accepted with this manifest.
    Accepted(Box<Manifest>),
    /// Another change was accepted first.
    Conflict(Change),
    /// No configuration is in force yet, so there is no zone to evacuate or restore.
    NoConfiguration,
    /// The store couldn't complete the submission, and the manifest was not swapped.
    Unavailable,
    /// The store answered neither the swap nor the reads that should have resolved its outcome, so the manifest may or
    /// may not have been swapped.
    Unknown,
}

/// The next step of a submission.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Call the store with this key and action, and pass the answer to [`Machine::answer`].
    Call(String, Action),
    /// The submission has ended.
    Done(Outcome),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Reading,
    Chunk(usize),
    /// The chunk exists already, and its revision is being read.
    LookingUp(usize),
    /// The chunk is being rewritten unchanged: the new revision keeps a sweep that read the old one from deleting it.
    Rewriting(usize),
    Swapping,
    /// The swap conflicted or its answer was lost; the manifest's history is being read to find the outcome.
    Resolving,
}

/// State machine of one submission.
#[derive(Debug)]
pub struct Machine {
    submission: Submission,
    chunks: Vec<String>,
    phase: Phase,
    /// The manifest that the submission builds on and its revision.
    previous: Option<(Manifest, u64)>,
    lost_answers: u32,
}

impl Machine {
    /// Creates the state machine of a submission that hasn't started.
    #[must_use]
    pub fn new(submission: Submission) -> Self {
        let chunks = match &submission.intent {
            Intent::Document { text, .. } => chunk::split(text).into_iter().map(str::to_owned).collect(),
            Intent::Evacuate(_) | Intent::Restore(_) => Vec::new(),
        };
        Self { submission, chunks, phase: Phase::Reading, previous: None, lost_answers: 0 }
    }

    /// The chunks of the submitted document; empty if the submission doesn't change the document.
    #[must_use]
    pub fn chunks(&self) -> &[String] {
        &self.chunks
    }

    /// The first step of the submission.
    #[must_use]
    pub fn start(&self) -> Step {
        read_manifest()
    }

    /// Handles the store's answer to the latest call and returns the next step.
    pub fn answer(&mut self, answer: Answer) -> Step {
        match (self.phase, answer) {
            (Phase::Reading, Answer::Value(value)) => self.check_base(value),
            (Phase::Resolving, Answer::Value(value)) => self.resolve(value),
            (Phase::Chunk(index) | Phase::Rewriting(index), Answer::Written(_)) => self.chunk(index + 1),
            (Phase::Chunk(index), Answer::Conflict) if self.is_in_force(index) => self.chunk(index + 1),
            (Phase::Chunk(index) | Phase::Rewriting(index), Answer::Conflict) => self.look_up(index),
            (Phase::LookingUp(index), Answer::Value(Some((text, revision)))) => self.rewrite(index, &text, revision),
            (Phase::LookingUp(index), Answer::Value(None)) => self.chunk(index),
            (Phase::Swapping, Answer::Written(_)) => {
                let manifest = self.manifest();
                Step::Done(Outcome::Accepted(Box::new(manifest)))
            }
            (Phase::Swapping, Answer::Conflict) => {
                // Another change was accepted first, or this one was and the answer to its first swap was lost.
                self.phase = Phase::Resolving;
                read_manifest()
            }
            (phase, Answer::Lost) => self.retry(phase),
            (Phase::Reading | Phase::Resolving | Phase::LookingUp(_), Answer::Written(_) | Answer::Conflict)
            | (Phase::Chunk(_) | Phase::Rewriting(_) | Phase::Swapping, Answer::Value(_)) => {
                Step::Done(Outcome::Unknown)
            }
        }
    }

    // ------------------------------------------------------------------------

    fn check_base(&mut self, value: Option<(String, u64)>) -> Step {
        self.previous = value.and_then(|(text, revision)| Some((serde_json::from_str(&text).ok()?, revision)));
        let manifest = self.previous.as_ref().map(|(manifest, _)| manifest);
        if let Some(manifest) = manifest.filter(|manifest| manifest.find(&self.submission.id).is_some()) {
            return Step::Done(Outcome::Accepted(Box::new(manifest.clone())));
        }
        match (&self.submission.intent, manifest) {
            (Intent::Document { base, .. }, Some(manifest)) if *base != manifest.generation() => {
                return Step::Done(Outcome::Conflict(manifest.change.clone()));
            }
            (Intent::Evacuate(_) | Intent::Restore(_), None) => return Step::Done(Outcome::NoConfiguration),
            (Intent::Evacuate(zone), Some(manifest)) if manifest.evacuated.contains_key(zone) => {
                return Step::Done(Outcome::Accepted(Box::new(manifest.clone())));
            }
            (Intent::Restore(zone), Some(manifest)) if !manifest.evacuated.contains_key(zone) => {
                return Step::Done(Outcome::Accepted(Box::new(manifest.clone())));
            }
            (Intent::Document { .. } | Intent::Evacuate(_) | Intent::Restore(_), _) => {}
        }
        self.chunk(0)
    }

    fn chunk(&mut self, index: usize) -> Step {
        self.lost_answers = 0;
        let Some(chunk) = self.chunks.get(index) else {
            self.phase = Phase::Swapping;
            return self.swap();
        };
        self.phase = Phase::Chunk(index);
        let key = chunk_key(Digest::of(chunk.as_bytes()));
        Step::Call(key, Action::Write { value: chunk.clone(), revision: 0 })
    }

    /// Whether the previous manifest contains a chunk. No sweep deletes such a chunk before this submission is decided.
    fn is_in_force(&self, index: usize) -> bool {
        let digest = self.chunks.get(index).map(|chunk| Digest::of(chunk.as_bytes()));
        self.previous.as_ref().zip(digest).is_some_and(|((manifest, _), digest)| manifest.chunks.contains(&digest))
    }

    /// Reads the revision of a chunk that exists already. Its key is the digest of its content, so it needn't be
    /// written again for its content, but a sweep may be about to delete it.
    fn look_up(&mut self, index: usize) -> Step {
        let Some(chunk) = self.chunks.get(index) else {
            return self.chunk(index);
        };
        self.phase = Phase::LookingUp(index);
        Step::Call(chunk_key(Digest::of(chunk.as_bytes())), Action::Read)
    }

    fn rewrite(&mut self, index: usize, found: &str, revision: u64) -> Step {
        let Some(chunk) = self.chunks.get(index) else {
            return self.chunk(index);
        };
        if found != chunk {
            // The chunk was just deleted and its key is about to expire with its lease. It can be written again a
            // second later.
            return Step::Done(Outcome::Unavailable);
        }
        self.phase = Phase::Rewriting(index);
        let key = chunk_key(Digest::of(chunk.as_bytes()));
        Step::Call(key, Action::Write { value: chunk.clone(), revision })
    }

    fn swap(&self) -> Step {
        let revision = self.previous.as_ref().map_or(0, |(_, revision)| *revision);
        let value = serde_json::to_string(&self.manifest());
        let value = value.unwrap_or_else(|_| unreachable!("a manifest has only string keys"));
        Step::Call(MANIFEST_KEY.to_owned(), Action::Write { value, revision })
    }

    fn resolve(&mut self, value: Option<(String, u64)>) -> Step {
        let now = value.and_then(|(text, revision)| Some((serde_json::from_str::<Manifest>(&text).ok()?, revision)));
        let Some((manifest, revision)) = now else {
            // No manifest existed before and none exists now, so the swap didn't take effect.
            self.phase = Phase::Swapping;
            return self.swap();
        };
        if manifest.find(&self.submission.id).is_some() {
            return Step::Done(Outcome::Accepted(Box::new(manifest)));
        }
        if self.previous.as_ref().is_some_and(|(_, previous_revision)| *previous_revision == revision) {
            self.phase = Phase::Swapping;
            return self.swap();
        }
        match self.submission.intent {
            Intent::Document { .. } => Step::Done(Outcome::Conflict(manifest.change)),
            // Evacuating or restoring a zone is compatible with any other change, so it is applied to the new manifest.
            Intent::Evacuate(_) | Intent::Restore(_) => self.restart(),
        }
    }

    /// Restarts from the manifest that another change left.
    fn restart(&mut self) -> Step {
        self.phase = Phase::Reading;
        read_manifest()
    }

    fn retry(&mut self, phase: Phase) -> Step {
        self.lost_answers += 1;
        let swapped = matches!(phase, Phase::Swapping | Phase::Resolving);
        if self.lost_answers >= MAX_LOST_ANSWERS {
            return Step::Done(if swapped { Outcome::Unknown } else { Outcome::Unavailable });
        }
        match phase {
            Phase::Reading => read_manifest(),
            // A rewrite whose answer was lost is harmless: the chunk is read and rewritten again.
            Phase::LookingUp(index) | Phase::Rewriting(index) => self.look_up(index),
            Phase::Chunk(index) => {
                let lost_answers = self.lost_answers;
                let step = self.chunk(index);
                self.lost_answers = lost_answers;
                step
            }
            Phase::Swapping | Phase::Resolving => {
                self.phase = Phase::Resolving;
                read_manifest()
            }
        }
    }

    fn manifest(&self) -> Manifest {
        let previous = self.previous.as_ref().map(|(manifest, _)| manifest);
        let change = Change {
            generation: previous.map_or(Generation(0), Manifest::generation).next(),
            submission: self.submission.id.clone(),
            operator: self.submission.operator.clone(),
            at_ms: self.submission.at_ms,
            document: match (&self.submission.intent, previous) {
                (Intent::Document { text, .. }, _) => Digest::of(text.as_bytes()),
                (Intent::Evacuate(_) | Intent::Restore(_), Some(previous)) => previous.change.document,
                (Intent::Evacuate(_) | Intent::Restore(_), None) => Digest::of(b""),
            },
        };
        let chunks = match &self.submission.intent {
            Intent::Document { .. } => self.chunks.iter().map(|chunk| Digest::of(chunk.as_bytes())).collect(),
            Intent::Evacuate(_) | Intent::Restore(_) => {
                previous.map(|previous| previous.chunks.clone()).unwrap_or_default()
            }
        };
        let manifest = Manifest::after(previous, change, chunks);
        match &self.submission.intent {
            Intent::Document { .. } => manifest,
            Intent::Evacuate(zone) => {
                let Submission { operator, at_ms, .. } = self.submission.clone();
                manifest.with_evacuated(zone.clone(), Evacuation { operator, at_ms })
            }
            Intent::Restore(zone) => manifest.with_restored(zone),
        }
    }
}

fn read_manifest() -> Step {
    Step::Call(MANIFEST_KEY.to_owned(), Action::Read)
}
