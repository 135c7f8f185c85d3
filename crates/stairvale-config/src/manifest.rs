//! Which document is in force, and how it came to be.

use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
    str::FromStr,
};

use serde::{Deserialize, Serialize};
use stairvale_types::id;

use crate::chunk::Digest;

/// How many changes a manifest remembers; this is what survives every router.
pub const HISTORY: usize = 64;

/// The number of a configuration; each accepted one has the next. Zero is "none yet".
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Generation(pub u64);

impl Generation {
    /// The one after this.
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

/// An accepted change.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The generation that it made.
    pub generation: Generation,
    /// The submission's own id, by which a lost answer is settled.
    pub submission: String,
    /// Who applied it.
    pub operator: id::Operator,
    /// When, in milliseconds since 1970 by the accepting router's clock.
    pub at_ms: u64,
    /// The whole document's digest.
    pub document: Digest,
}

/// An availability zone to whose upstreams nothing new goes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Evacuation {
    /// Who asked for it.
    pub operator: id::Operator,
    /// When, in milliseconds since 1970 by the accepting router's clock.
    pub at_ms: u64,
}

/// The one value whose compare-and-swap accepts a configuration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Manifest {
    /// The latest change.
    pub change: Change,
    /// The document's chunks in order.
    pub chunks: Vec<Digest>,
    /// Earlier changes, the latest last, at most [`HISTORY`].
    pub history: VecDeque<Change>,
    /// Zones that are evacuated. A new document leaves them so.
    #[serde(default)]
    pub evacuated: BTreeMap<id::Zone, Evacuation>,
}

impl Manifest {
    /// The manifest that follows `before`.
    #[must_use]
    pub fn after(before: Option<&Self>, change: Change, chunks: Vec<Digest>) -> Self {
        let mut history = before.map(|m| m.history.clone()).unwrap_or_default();
        if let Some(before) = before {
            history.push_back(before.change.clone());
        }
        while history.len() > HISTORY {
            history.pop_front();
        }
        let evacuated = before.map(|m| m.evacuated.clone()).unwrap_or_default();
        Self { change, chunks, history, evacuated }
    }

    /// The same with a zone evacuated.
    #[must_use]
    pub fn with_evacuated(mut self, zone: id::Zone, evacuation: Evacuation) -> Self {
        self.evacuated.insert(zone, evacuation);
        self
    }

    /// The same with a zone taken back into use.
    #[must_use]
    pub fn with_restored(mut self, zone: &id::Zone) -> Self {
        self.evacuated.remove(zone);
        self
    }

    /// The generation in force.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.change.generation
    }

    /// The change that a submission made, if it is remembered.
    #[must_use]
    pub fn find(&self, submission: &str) -> Option<&Change> {
        if self.change.submission == submission {
            return Some(&self.change);
        }
        self.history.iter().find(|change| change.submission == submission)
    }
}
