//! The manifest, which identifies the document in force and records the changes that led to it.

use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
    str::FromStr,
};

use serde::{Deserialize, Serialize};
use stairvale_types::id;

use crate::chunk::Digest;

/// The number of earlier changes that a manifest records. As part of the manifest, they outlive all routers.
pub const MAX_HISTORY: usize = 64;

/// The number of a configuration. Each accepted configuration has the next number; zero stands for no configuration.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Generation(pub u64);

impl Generation {
    /// The generation that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Generation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Generation {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// A change of the configuration that was accepted.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The generation that the change created.
    pub generation: Generation,
    /// The id that the operator's tool gave to the submission. It shows whether the submission was accepted if the
    /// answer was lost.
    pub submission: String,
    /// The operator that applied the change.
    pub operator: id::Operator,
    /// When the change was accepted, in milliseconds since the Unix epoch by the accepting router's clock.
    pub at_ms: u64,
    /// The digest of the complete document.
    pub document: Digest,
}

/// The evacuation of an availability zone, whose upstreams receive no new requests.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Evacuation {
    /// The operator that requested the evacuation.
    pub operator: id::Operator,
    /// When the evacuation was accepted, in milliseconds since the Unix epoch by the accepting router's clock.
    pub at_ms: u64,
}

/// The value in the store whose compare-and-swap makes a configuration accepted.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Manifest {
    /// The most recent change.
    pub change: Change,
    /// The digests of the document's chunks, in order.
    pub chunks: Vec<Digest>,
    /// Earlier changes, the most recent last; at most [`MAX_HISTORY`].
    pub history: VecDeque<Change>,
    /// The zones that are evacuated. They remain so when a new document is applied.
    #[serde(default)]
    pub evacuated: BTreeMap<id::Zone, Evacuation>,
}

impl Manifest {
    /// Creates the manifest of a change to `before`, which keeps its history and its evacuated zones.
    #[must_use]
    pub fn after(before: Option<&Self>, change: Change, chunks: Vec<Digest>) -> Self {
        let mut history = before.map(|m| m.history.clone()).unwrap_or_default();
        if let Some(before) = before {
            history.push_back(before.change.clone());
        }
        while history.len() > MAX_HISTORY {
            history.pop_front();
        }
        let evacuated = before.map(|m| m.evacuated.clone()).unwrap_or_default();
        Self { change, chunks, history, evacuated }
    }

    /// Returns the manifest with a zone evacuated.
    #[must_use]
    pub fn with_evacuated(mut self, zone: id::Zone, evacuation: Evacuation) -> Self {
        self.evacuated.insert(zone, evacuation);
        self
    }

    /// Returns the manifest with a zone's evacuation ended.
    #[must_use]
    pub fn with_restored(mut self, zone: &id::Zone) -> Self {
        self.evacuated.remove(zone);
        self
    }

    /// The generation of the configuration in force.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.change.generation
    }

    /// Looks up the change that a submission made; `None` if it made none or the history no longer contains it.
    #[must_use]
    pub fn find(&self, submission: &str) -> Option<&Change> {
        if self.change.submission == submission {
            return Some(&self.change);
        }
        self.history.iter().find(|change| change.submission == submission)
    }
}
