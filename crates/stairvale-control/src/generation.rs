//! The configuration in force at one router. Its generation only rises, and missing chunks are fetched from peers
//! first, then from the platform's store.

use std::{collections::HashMap, sync::Arc, time::Duration};

use stairvale_config::{Document, Generation, Manifest, chunk::Digest};
use stairvale_types::{Moment, id};

use crate::Event;

/// Time after which a source that hasn't sent all requested chunks is given up and the next one is tried.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of peers from which chunks are requested before the platform's store is read.
const MAX_PEERS: u32 = 2;
/// Minimum interval between two fetches of a manifest from peers that announce a newer generation.
const HINT_INTERVAL: Duration = Duration::from_millis(100);

/// An action that the holder requests, or a change that it reports.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Requests a peer's manifest.
    FetchManifest(id::Router),
    /// Requests chunks from a peer.
    FetchChunks(id::Router, Vec<Digest>),
    /// Reads a chunk from the platform's store.
    ReadChunk(Digest),
    /// A document came into force, with its generation.
    InForce(Generation, Arc<Document>),
    /// Writes an event to the audit trail.
    Audit(Event),
}

#[derive(Debug)]
struct Pending {
    manifest: Manifest,
    requested: Moment,
    tries: u32,
}

/// Keeps the configuration in force and fetches the next one.
#[derive(Debug, Default)]
pub struct Holder {
    in_force: Option<Manifest>,
    chunks: HashMap<Digest, Arc<str>>,
    pending: Option<Pending>,
    hinted: Option<(id::Router, Moment)>,
    /// Number of offered manifests that were refused for a lower generation than the one in force.
    pub refused_lower: u64,
    /// Number of invariant violations; any value but zero shows a fault of the program.
    pub violations: u64,
}

impl Holder {
    /// Creates a holder without a configuration.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    // ------------------------------------------------------------------------
    // Queries.

    /// The generation in force; zero if there is none yet.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.in_force.as_ref().map_or(Generation(0), Manifest::generation)
    }

    /// The manifest in force, if there is one.
    #[must_use]
    pub fn manifest(&self) -> Option<&Manifest> {
        self.in_force.as_ref()
    }

    /// Those of the requested chunks that this router has.
    #[must_use]
    pub fn find(&self, wanted: &[Digest]) -> Vec<String> {
        wanted.iter().filter_map(|digest| self.chunks.get(digest)).map(ToString::to_string).collect()
    }

    // ------------------------------------------------------------------------
    // Changes.

    /// Handles a peer's announcement of its generation: the manifest is fetched from the peer if it is newer.
    pub fn observe_generation(&mut self, now: Moment, from: &id::Router, generation: Generation) -> Vec<Effect> {
        let known = self.pending.as_ref().map_or(self.generation(), |pending| pending.manifest.generation());
        if generation <= known {
            return Vec::new();
        }
        let recent = self.hinted.as_ref().is_some_and(|(_, at)| now.since(*at) < HINT_INTERVAL);
        if recent {
            return Vec::new();
        }
        self.hinted = Some((from.clone(), now));
        vec![Effect::FetchManifest(from.clone())]
    }

    /// Handles a received manifest. Its missing chunks are requested from the peer `from`, or read from the platform's
    /// store if `from` is `None`.
    pub fn offer(&mut self, now: Moment, from: Option<&id::Router>, manifest: Manifest) -> Vec<Effect> {
        let in_force = self.generation();
        let offered = manifest.generation();
        if offered < in_force {
            self.refused_lower += 1;
            return vec![Effect::Audit(Event::LowerGenerationRefused { in_force, offered })];
        }
        if offered == in_force {
            return self.check_fork(&manifest);
        }
        if self.pending.as_ref().is_some_and(|pending| pending.manifest.generation() >= offered) {
            return Vec::new();
        }
        self.pending = Some(Pending { manifest, requested: now, tries: 0 });
        self.fetch(now, from)
    }

    /// Handles received chunks. A chunk is identified by the digest of its content, so its source doesn't matter.
    pub fn add_chunks(&mut self, chunks: Vec<String>) -> Vec<Effect> {
        let Some(pending) = &self.pending else {
            return Vec::new();
        };
        for chunk in chunks {
            let digest = Digest::of(chunk.as_bytes());
            if pending.manifest.chunks.contains(&digest) {
                self.chunks.insert(digest, chunk.into());
            }
        }
        self.complete()
    }

    /// Advances the time: a source that timed out is given up. `peer` is the next one to try.
    pub fn tick(&mut self, now: Moment, peer: Option<&id::Router>) -> Vec<Effect> {
        let overdue = self.pending.as_ref().is_some_and(|pending| now.since(pending.requested) >= FETCH_TIMEOUT);
        if !overdue {
            return Vec::new();
        }
        self.fetch(now, peer)
    }

    // ------------------------------------------------------------------------

    /// Reports a manifest that has the generation in force but another content.
    fn check_fork(&mut self, manifest: &Manifest) -> Vec<Effect> {
        let same = |m: &Manifest| m.change.document == manifest.change.document && m.evacuated == manifest.evacuated;
        let same = self.in_force.as_ref().is_some_and(same);
        if same || manifest.generation() == Generation(0) {
            return Vec::new();
        }
        self.violations += 1;
        vec![Effect::Audit(Event::GenerationForked { generation: manifest.generation() })]
    }

    fn fetch(&mut self, now: Moment, from: Option<&id::Router>) -> Vec<Effect> {
        let effects = self.complete();
        if !effects.is_empty() {
            return effects;
        }
        let Some(pending) = &mut self.pending else {
            return Vec::new();
        };
        let missing: Vec<_> =
            pending.manifest.chunks.iter().filter(|d| !self.chunks.contains_key(d)).copied().collect();
        pending.requested = now;
        pending.tries += 1;
        match from {
            Some(peer) if pending.tries <= MAX_PEERS => vec![Effect::FetchChunks(peer.clone(), missing)],
            Some(_) | None => missing.into_iter().map(Effect::ReadChunk).collect(),
        }
    }

    /// Assembles the pending document and puts it into force once all its chunks are present.
    fn complete(&mut self) -> Vec<Effect> {
        let Some(pending) = &self.pending else {
            return Vec::new();
        };
        let chunks: Option<Vec<_>> = pending.manifest.chunks.iter().map(|digest| self.chunks.get(digest)).collect();
        let Some(chunks) = chunks else {
            return Vec::new();
        };
        let text: String = chunks.iter().map(AsRef::as_ref).collect();
        let manifest = pending.manifest.clone();
        self.pending = None;
        let Ok(document) = Document::parse(&text) else {
            // The document was validated when it was accepted, so this version of the program is too old to parse it.
            self.violations += 1;
            return Vec::new();
        };
        self.activate(manifest, document)
    }

    fn activate(&mut self, manifest: Manifest, document: Document) -> Vec<Effect> {
        let from = self.generation();
        let to = manifest.generation();
        if to <= from {
            self.violations += 1;
            return Vec::new();
        }
        let operator = manifest.change.operator.clone();
        self.chunks.retain(|digest, _| manifest.chunks.contains(digest));
        let before = self.in_force.replace(manifest).map(|before| before.evacuated).unwrap_or_default();
        let evacuated = self.in_force.as_ref().map(|manifest| manifest.evacuated.clone()).unwrap_or_default();
        let audit = Event::ConfigurationInForce { from, to, operator };
        let mut effects = vec![Effect::InForce(to, Arc::new(document)), Effect::Audit(audit)];
        for (zone, evacuation) in evacuated.iter().filter(|(zone, _)| !before.contains_key(*zone)) {
            let (zone, operator) = (zone.clone(), evacuation.operator.clone());
            effects.push(Effect::Audit(Event::ZoneEvacuated { zone, operator }));
        }
        for zone in before.into_keys().filter(|zone| !evacuated.contains_key(zone)) {
            effects.push(Effect::Audit(Event::ZoneRestored { zone }));
        }
        effects
    }
}
