//! Origins of streams, which a service's home writes to the store while streams of several versions may be taken up.
//!
//! No stream waits for the store: a segment has what was recorded since the one before.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    time::Duration,
};

use stairvale_types::{Moment, id};

use super::{
    Core, Effect,
    streams::{CAPACITY, MAX_KEEP_TIME, Record},
    versions::READ_INTERVAL,
};
use crate::{
    frame::Origin,
    origins::{Call, Segment, Stored},
    source::Fault,
};

/// How long the first origin of a segment waits for others: streams often begin in bursts.
const GATHER_TIME: Duration = Duration::from_millis(15);
/// Minimum interval between two segments of a router.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// The minimum interval, for each service whose origins are written: a tenth of the 400 writes a second that the store takes
/// from the whole fleet.
const INTERVAL_PER_SERVICE: Duration = Duration::from_millis(25);
/// Maximum number of services in one write. The store's transactions hold 32 entries.
const MAX_SERVICES: usize = 16;
/// Maximum number of origins of a service in one write, some 150 kB; the store's values hold 1 MiB.
const MAX_ORIGINS: usize = 4_096;

/// An origin that was read from the store.
struct Found<'a> {
    origin: &'a Origin,
    until: Moment,
    /// Whether it was written after the record of the service's versions.
    is_newer: bool,
}

/// The origins that are to be written.
#[derive(Debug, Default)]
pub(super) struct Segments {
    /// The incarnation of this process, which distinguishes its segments from those of earlier ones.
    incarnation: u64,
    unsaved: BTreeMap<id::Service, Vec<id::Stream>>,
    is_appending: bool,
    next: Moment,
    count: u64,
}

impl Segments {
    pub(super) fn new(incarnation: id::Incarnation) -> Self {
        Self { incarnation: incarnation.0, ..Self::default() }
    }

    /// Adds a stream whose origin is to be written.
    pub(super) fn push(&mut self, now: Moment, service: &id::Service, stream: id::Stream) {
        if self.unsaved.values().all(Vec::is_empty) {
            self.next = self.next.max(now + GATHER_TIME);
        }
        let unsaved = self.unsaved.entry(service.clone()).or_default();
        if unsaved.len() < CAPACITY {
            unsaved.push(stream);
        }
    }
}

impl Core {
    /// Whether this router writes the origins of a service's streams to the store.
    pub(super) fn saves_origins(&self, now: Moment, service: &id::Service) -> bool {
        self.is_recorder(service) && self.single_origin(now, service).is_none()
    }

    /// Begins or ends to write the origins of a service's streams; the ones that are known already come first.
    pub(super) fn set_saving(&mut self, now: Moment, service: &id::Service, is_saving: bool) {
        self.streams.segments.unsaved.remove(service);
        if is_saving {
            let unsaved = self.streams.unsaved(now, service);
            self.streams.segments.unsaved.insert(service.clone(), unsaved);
        }
    }

    /// Has all origins written again: a store that was restored from a copy may have lost them.
    pub(super) fn save_origins_again(&mut self, now: Moment) {
        self.streams.mark_unsaved();
        let services: Vec<_> = self.streams.services.keys().cloned().collect();
        for service in services {
            let is_saving = self.saves_origins(now, &service);
            self.set_saving(now, &service, is_saving);
        }
    }

    /// Requests that the origins which are due are written.
    pub(super) fn append_origins(&mut self, now: Moment) -> Option<Effect> {
        let segments = &mut self.streams.segments;
        segments.unsaved.retain(|_, unsaved| !unsaved.is_empty());
        if segments.is_appending || now < segments.next {
            return None;
        }
        let services: Vec<_> = segments.unsaved.keys().take(MAX_SERVICES).cloned().collect();
        let mut due = Vec::new();
        for service in services {
            let Some(unsaved) = self.streams.segments.unsaved.get_mut(&service) else {
                continue;
            };
            let count = unsaved.len().min(MAX_ORIGINS);
            let streams: Vec<_> = unsaved.drain(..count).collect();
            let records = streams.into_iter().filter_map(|stream| Some((stream, self.streams.record(now, stream)?)));
            let records: Vec<_> = records.filter(|(_, record)| !record.is_saved).collect();
            let lasts = records.iter().map(|(_, record)| record.until.since(now)).max().unwrap_or_default();
            let origins: Vec<_> = records.into_iter().map(|(stream, record)| (stream, record.origin.clone())).collect();
            if !origins.is_empty() {
                due.push(Segment { service, lasts, origins });
            }
        }
        if due.is_empty() {
            return None;
        }
        let services = u32::try_from(self.streams.mixed_services()).unwrap_or(u32::MAX);
        let segments = &mut self.streams.segments;
        segments.is_appending = true;
        segments.next = now + MIN_INTERVAL.max(INTERVAL_PER_SERVICE.saturating_mul(services));
        segments.count += 1;
        let name = format!("{}-{:x}-{}", self.me, segments.incarnation, segments.count);
        Some(Effect::StreamCall(Call::Append { name, segments: due }))
    }

    /// Handles the result of writing segments; what wasn't written is written later.
    pub(super) fn handle_appended(&mut self, now: Moment, segments: &[Segment], result: Result<(), Fault>) {
        self.streams.segments.is_appending = false;
        if result.is_err() {
            self.streams.segments.next = now + READ_INTERVAL;
        }
        for Segment { service, origins, .. } in segments {
            for (stream, origin) in origins {
                if result.is_ok() {
                    self.streams.mark_saved(*stream, origin);
                } else if self.saves_origins(now, service) {
                    self.streams.segments.push(now, service, *stream);
                }
            }
        }
    }

    /// Keeps what was read from the store. Records of this router are newer.
    pub(super) fn keep_segments(&mut self, now: Moment, service: &id::Service, stored: &Stored) {
        let recorded_at = stored.versions.as_ref().map_or(0, |(revision, _)| *revision);
        let mut found: BTreeMap<id::Stream, Option<Found>> = BTreeMap::new();
        for (revision, Segment { lasts, origins, .. }) in &stored.segments {
            let until = now + (*lasts).min(MAX_KEEP_TIME);
            // The record of versions that was written later has the versions of streams that may still be taken up.
            let is_newer = *revision > recorded_at;
            for (stream, origin) in origins {
                match found.entry(*stream) {
                    Entry::Vacant(entry) => drop(entry.insert(Some(Found { origin, until, is_newer }))),
                    Entry::Occupied(mut entry) => match entry.get_mut() {
                        Some(known) if known.origin == origin => {
                            known.until = until.max(known.until);
                            known.is_newer |= is_newer;
                        }
                        // Two streams had the same id, and nothing tells which one is taken up.
                        known => *known = None,
                    },
                }
            }
        }
        for (stream, found) in found {
            let Some(Found { origin, until, is_newer }) = found.filter(|_| self.streams.record(now, stream).is_none())
            else {
                continue;
            };
            if is_newer && let Some(known) = self.streams.services.get_mut(service) {
                known.remember(&origin.version, until);
            }
            let (service, origin) = (service.clone(), origin.clone());
            self.streams.insert(now, stream, Record { service, origin, until, is_own: false, is_saved: true });
        }
    }
}
