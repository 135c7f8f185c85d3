//! An operator's submission on its way to acceptance: a document's chunks first, then one compare-and-swap of the manifest.

use stairvale_config::{Change, Evacuation, Generation, Manifest, chunk, chunk::Digest};
use stairvale_types::id;

use crate::io::{Action, Answer};

/// The key of the manifest in the platform's store.
pub const MANIFEST_KEY: &str = "config/manifest";
/// Lost answers in a row after which the submission's fate is left unknown.
const MAX_LOST: u32 = 6;

/// The key of a chunk in the platform's store.
#[must_use]
pub fn chunk_key(digest: Digest) -> String {
    format!("config/chunk/{digest}")
}

/// What an operator submits.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Its own id.
    pub id: String,
    /// Who submits it.
    pub operator: id::Operator,
    /// What is to change.
    pub intent: Intent,
    /// Now, in milliseconds since 1970.
    pub at_ms: u64,
}

/// What a submission is to change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Intent {
    /// Another document is to be in force.
    Document {
        /// All of it, checked already.
        text: String,
        /// The generation that it was made from.
        base: Generation,
    },
    /// Nothing new is to go to the upstreams of a zone.
    Evacuate(id::Zone),
    /// A zone is taken back into use.
    Restore(id::Zone),
}

/// How a submission ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// It is accepted.
    Accepted(Box<Manifest>),
    /// Another change came first.
    Conflict(Change),
    /// There is no configuration yet whose zones could be evacuated.
    NoConfiguration,
    /// The store didn't answer and nothing was swapped.
    Unavailable,
    /// The store didn't answer to the swap, and not to the questions after it.
    Unknown,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Call the store with this key, and hand the answer in.
    Call(String, Action),
    /// Done.
    Done(Outcome),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Reading,
    Chunk(usize),
    /// The chunk is there already; its revision is looked up.
    Finding(usize),
    /// The chunk is written anew as it is, so that a sweep that looked it up before leaves it alone.
    Touching(usize),
    Swapping,
    /// The swap's answer was lost: the manifest's history tells.
    Settling,
}

/// One submission.
#[derive(Debug)]
pub struct Machine {
    submission: Submission,
    chunks: Vec<String>,
    phase: Phase,
    before: Option<(Manifest, u64)>,
    lost: u32,
}

impl Machine {
    /// A submission that hasn't started.
    #[must_use]
    pub fn new(submission: Submission) -> Self {
        let chunks = match &submission.intent {
            Intent::Document { text, .. } => chunk::split(text).into_iter().map(str::to_owned).collect(),
            Intent::Evacuate(_) | Intent::Restore(_) => Vec::new(),
        };
        Self { submission, chunks, phase: Phase::Reading, before: None, lost: 0 }
    }

    /// The document's chunks; none of a wish that leaves the document as it is.
    #[must_use]
    pub fn chunks(&self) -> &[String] {
        &self.chunks
    }

    /// The first call.
    #[must_use]
    pub fn start(&self) -> Step {
        read_manifest()
    }

    /// The store answered; what comes next.
    pub fn answer(&mut self, answer: Answer) -> Step {
        match (self.phase, answer) {
            (Phase::Reading, Answer::Value(value)) => self.compare(value),
            (Phase::Settling, Answer::Value(value)) => self.settle(value),
            (Phase::Chunk(index) | Phase::Touching(index), Answer::Written(_)) => self.chunk(index + 1),
            (Phase::Chunk(index), Answer::Conflict) if self.is_in_force(index) => self.chunk(index + 1),
            (Phase::Chunk(index) | Phase::Touching(index), Answer::Conflict) => self.find(index),
            (Phase::Finding(index), Answer::Value(Some((text, revision)))) => self.touch(index, &text, revision),
            (Phase::Finding(index), Answer::Value(None)) => self.chunk(index),
            (Phase::Swapping, Answer::Written(_)) => {
                let manifest = self.manifest();
                Step::Done(Outcome::Accepted(Box::new(manifest)))
            }
            (Phase::Swapping, Answer::Conflict) => {
                // Another change, or this very one whose first answer was lost.
                self.phase = Phase::Settling;
                read_manifest()
            }
            (phase, Answer::Lost) => self.again(phase),
            (Phase::Reading | Phase::Settling | Phase::Finding(_), Answer::Written(_) | Answer::Conflict)
            | (Phase::Chunk(_) | Phase::Touching(_) | Phase::Swapping, Answer::Value(_)) => {
                Step::Done(Outcome::Unknown)
            }
        }
    }

    // ------------------------------------------------------------------------

    fn compare(&mut self, value: Option<(String, u64)>) -> Step {
        self.before = value.and_then(|(text, revision)| Some((serde_json::from_str(&text).ok()?, revision)));
        let manifest = self.before.as_ref().map(|(manifest, _)| manifest);
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
        self.lost = 0;
        let Some(chunk) = self.chunks.get(index) else {
            self.phase = Phase::Swapping;
            return self.swap();
        };
        self.phase = Phase::Chunk(index);
        let key = chunk_key(Digest::of(chunk.as_bytes()));
        Step::Call(key, Action::Write { value: chunk.clone(), revision: 0 })
    }

    /// Whether the manifest before has a chunk: then nobody deletes it before this submission is decided.
    fn is_in_force(&self, index: usize) -> bool {
        let digest = self.chunks.get(index).map(|chunk| Digest::of(chunk.as_bytes()));
        self.before.as_ref().zip(digest).is_some_and(|((manifest, _), digest)| manifest.chunks.contains(&digest))
    }

    /// A chunk that is there already has the same content, for that is its name; but it may be about to be deleted.
    fn find(&mut self, index: usize) -> Step {
        let Some(chunk) = self.chunks.get(index) else {
            return self.chunk(index);
        };
        self.phase = Phase::Finding(index);
        Step::Call(chunk_key(Digest::of(chunk.as_bytes())), Action::Read)
    }

    fn touch(&mut self, index: usize, found: &str, revision: u64) -> Step {
        let Some(chunk) = self.chunks.get(index) else {
            return self.chunk(index);
        };
        if found != chunk {
            // It was deleted this moment and goes with its lease; in a second it can be written anew.
            return Step::Done(Outcome::Unavailable);
        }
        self.phase = Phase::Touching(index);
        let key = chunk_key(Digest::of(chunk.as_bytes()));
        Step::Call(key, Action::Write { value: chunk.clone(), revision })
    }

    fn swap(&self) -> Step {
        let revision = self.before.as_ref().map_or(0, |(_, revision)| *revision);
        let value = serde_json::to_string(&self.manifest());
        let value = value.unwrap_or_else(|_| unreachable!("a manifest has only string keys"));
        Step::Call(MANIFEST_KEY.to_owned(), Action::Write { value, revision })
    }

    fn settle(&mut self, value: Option<(String, u64)>) -> Step {
        let now = value.and_then(|(text, revision)| Some((serde_json::from_str::<Manifest>(&text).ok()?, revision)));
        let Some((manifest, revision)) = now else {
            // Nothing was there before and nothing is now: the swap didn't take effect.
            self.phase = Phase::Swapping;
            return self.swap();
        };
        if manifest.find(&self.submission.id).is_some() {
            return Step::Done(Outcome::Accepted(Box::new(manifest)));
        }
        if self.before.as_ref().is_some_and(|(_, before)| *before == revision) {
            self.phase = Phase::Swapping;
            return self.swap();
        }
        match self.submission.intent {
            Intent::Document { .. } => Step::Done(Outcome::Conflict(manifest.change)),
            // It goes with any other change, so it is made to what is there now.
            Intent::Evacuate(_) | Intent::Restore(_) => self.recompare(),
        }
    }

    /// Begins anew with the manifest that another change left.
    fn recompare(&mut self) -> Step {
        self.phase = Phase::Reading;
        read_manifest()
    }

    fn again(&mut self, phase: Phase) -> Step {
        self.lost += 1;
        let swapped = matches!(phase, Phase::Swapping | Phase::Settling);
        if self.lost >= MAX_LOST {
            return Step::Done(if swapped { Outcome::Unknown } else { Outcome::Unavailable });
        }
        match phase {
            Phase::Reading => read_manifest(),
            // A touch whose answer was lost did no harm; it is looked up and touched again.
            Phase::Finding(index) | Phase::Touching(index) => self.find(index),
            Phase::Chunk(index) => {
                let lost = self.lost;
                let step = self.chunk(index);
                self.lost = lost;
                step
            }
            Phase::Swapping | Phase::Settling => {
                self.phase = Phase::Settling;
                read_manifest()
            }
        }
    }

    fn manifest(&self) -> Manifest {
        let before = self.before.as_ref().map(|(manifest, _)| manifest);
        let change = Change {
            generation: before.map_or(Generation(0), Manifest::generation).next(),
            submission: self.submission.id.clone(),
            operator: self.submission.operator.clone(),
            at_ms: self.submission.at_ms,
            document: match (&self.submission.intent, before) {
                (Intent::Document { text, .. }, _) => Digest::of(text.as_bytes()),
                (Intent::Evacuate(_) | Intent::Restore(_), Some(before)) => before.change.document,
                (Intent::Evacuate(_) | Intent::Restore(_), None) => Digest::of(b""),
            },
        };
        let chunks = match &self.submission.intent {
            Intent::Document { .. } => self.chunks.iter().map(|chunk| Digest::of(chunk.as_bytes())).collect(),
            Intent::Evacuate(_) | Intent::Restore(_) => before.map(|before| before.chunks.clone()).unwrap_or_default(),
        };
        let manifest = Manifest::after(before, change, chunks);
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
