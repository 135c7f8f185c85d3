//! Which configuration is in force here: generations only rise, chunks come from peers first.

use std::{collections::HashMap, sync::Arc, time::Duration};

use stairvale_config::{Document, Generation, Manifest, chunk::Digest};
use stairvale_types::{Moment, id};

use crate::Event;

/// A peer that doesn't send chunks within this time is given up; the next source is asked.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);
/// Peers asked before the platform is.
const MAX_PEERS: u32 = 2;
/// The least time between two fetches of a manifest from one peer's hint.
const HINT_EVERY: Duration = Duration::from_millis(100);

/// What to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Ask a peer for its manifest.
    FetchManifest(id::Router),
    /// Ask a peer for chunks.
    FetchChunks(id::Router, Vec<Digest>),
    /// Ask the platform for a chunk.
    ReadChunk(Digest),
    /// The document is in force from now on.
    InForce(Generation, Arc<Document>),
    /// For the audit trail.
    Audit(Event),
}

#[derive(Debug)]
struct Pending {
    manifest: Manifest,
    asked: Moment,
    tries: u32,
}

/// The holder of the configuration.
#[derive(Debug, Default)]
pub struct Holder {
    in_force: Option<Manifest>,
    chunks: HashMap<Digest, Arc<str>>,
    pending: Option<Pending>,
    hinted: Option<(id::Router, Moment)>,
    /// Times that a lower generation was offered and refused.
    pub refused_lower: u64,
    /// Broken invariants: any but zero is a fault.
    pub violations: u64,
}

impl Holder {
    /// A holder of nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    // ------------------------------------------------------------------------
    // Queries.

    /// The generation in force; zero before there is one.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.in_force.as_ref().map_or(Generation(0), Manifest::generation)
    }

    /// The manifest in force.
    #[must_use]
    pub fn manifest(&self) -> Option<&Manifest> {
        self.in_force.as_ref()
    }

    /// Chunks that are here, of those asked for.
    #[must_use]
    pub fn find(&self, wanted: &[Digest]) -> Vec<String> {
        wanted.iter().filter_map(|digest| self.chunks.get(digest)).map(ToString::to_string).collect()
    }

    // ------------------------------------------------------------------------
    // Changes.

    /// A peer says which generation it has.
    pub fn hear(&mut self, now: Moment, from: &id::Router, generation: Generation) -> Vec<Effect> {
        let known = self.pending.as_ref().map_or(self.generation(), |pending| pending.manifest.generation());
        if generation <= known {
            return Vec::new();
        }
        let recent = self.hinted.as_ref().is_some_and(|(_, at)| now.since(*at) < HINT_EVERY);
        if recent {
            return Vec::new();
        }
        self.hinted = Some((from.clone(), now));
        vec![Effect::FetchManifest(from.clone())]
    }

    /// A manifest came in, from a peer, or from the platform if `from` is `None`.
    pub fn offer(&mut self, now: Moment, from: Option<&id::Router>, manifest: Manifest) -> Vec<Effect> {
        let in_force = self.generation();
        let offered = manifest.generation();
        if offered < in_force {
            self.refused_lower += 1;
            return vec![Effect::Audit(Event::LowerGenerationRefused { in_force, offered })];
        }
        if offered == in_force {
            return self.compare(&manifest);
        }
        if self.pending.as_ref().is_some_and(|pending| pending.manifest.generation() >= offered) {
            return Vec::new();
        }
        self.pending = Some(Pending { manifest, asked: now, tries: 0 });
        self.fetch(now, from)
    }

    /// Chunks came in; each is known by its content, so it doesn't matter from where.
    pub fn take(&mut self, chunks: Vec<String>) -> Vec<Effect> {
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

    /// Lets time pass: silent sources are given up. `peer` is another one to try.
    pub fn tick(&mut self, now: Moment, peer: Option<&id::Router>) -> Vec<Effect> {
        let overdue = self.pending.as_ref().is_some_and(|pending| now.since(pending.asked) >= FETCH_TIMEOUT);
        if !overdue {
            return Vec::new();
        }
        self.fetch(now, peer)
    }

    // ------------------------------------------------------------------------

    fn compare(&mut self, manifest: &Manifest) -> Vec<Effect> {
        let same = |m: &Manifest| m.change.document == manifest.change.document && m.evacuated == manifest.evacuated;
        let same = self.in_force.as_ref().is_some_and(same);
        if same || manifest.generation() == Generation(0) {
            return Vec::new();
        }
        self.violations += 1;
        vec![Effect::Audit(Event::GenerationForked { generation: manifest.generation() })]
    }

    fn fetch(&mut self, now: Moment, from: Option<&id::Router>) -> Vec<Effect> {
        let done = self.complete();
        if !done.is_empty() {
            return done;
        }
        let Some(pending) = &mut self.pending else {
            return Vec::new();
        };
        let missing: Vec<_> =
            pending.manifest.chunks.iter().filter(|d| !self.chunks.contains_key(d)).copied().collect();
        pending.asked = now;
        pending.tries += 1;
        match from {
            Some(peer) if pending.tries <= MAX_PEERS => vec![Effect::FetchChunks(peer.clone(), missing)],
            Some(_) | None => missing.into_iter().map(Effect::ReadChunk).collect(),
        }
    }

    /// Puts the pending document together, once all its chunks are here.
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
            // It was checked when it was accepted, so this version of the program is older than the document.
            self.violations += 1;
            return Vec::new();
        };
        self.enforce(manifest, document)
    }

    fn enforce(&mut self, manifest: Manifest, document: Document) -> Vec<Effect> {
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
