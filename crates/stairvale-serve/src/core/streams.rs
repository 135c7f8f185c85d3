//! The versions at which streams began.
//!
//! What upstreams of two software versions write doesn't fit together, so a stream is continued only at the version that
//! began it, also when its client comes back to another router. The router that serves a stream records its version.
//! While its service has upstreams of several versions, the router sends the record to its keepers: the service's home, a
//! successor in another zone, and the router that decides for its own zone when the zone is cut off. A router that
//! doesn't know a stream asks its own keepers, at least one of which is the same after the loss of any router or zone.
//! After the loss of all, the store tells what they knew ([`super::versions`], [`super::segments`]).

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rapidhash::RapidHashMap;
use stairvale_dispatch::Pool;
use stairvale_placement::pick;
use stairvale_types::{Moment, id};
use stairvale_wire::Member;

use super::{
    Core, Effect,
    roles::RoleInputs,
    segments::Segments,
    versions::{Known, READ_INTERVAL, Watch},
};
use crate::frame::{Finding, Frame, Origin};

/// For how long after its deadline a stream can be taken up again. Only clients that state no deadline need it.
pub(crate) const RETURN_TIME: Duration = Duration::from_secs(10);
/// When a stream is to be taken up again whose version's upstreams take no requests for a while.
const RESTING_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest time for which a router keeps a record for a peer.
pub(super) const MAX_KEEP_TIME: Duration = Duration::from_secs(600);
/// A record that was written lasts up to this much longer than it says.
const SAVED_TOLERANCE: Duration = Duration::from_millis(500);
/// Maximum number of records, some 4 MB; beyond it the one that ends first is dropped.
pub(super) const CAPACITY: usize = 32_768;

/// What is known of a stream.
#[derive(Debug)]
pub(super) struct Record {
    pub(super) service: id::Service,
    pub(super) origin: Origin,
    pub(super) until: Moment,
    /// Whether this router serves the stream or served it last.
    pub(super) is_own: bool,
    /// Whether the store has it.
    pub(super) is_saved: bool,
}

/// The result of a search for a stream's origin.
#[derive(Debug)]
pub enum Lookup {
    /// The origin is known.
    Known(Origin),
    /// All streams of the service that can be taken up began at the same version.
    SingleVersion(Origin),
    /// This many peers were asked; their replies are sent to the attempt.
    Asked(usize),
}

/// What a router knows of the versions of a service's upstreams.
#[derive(Clone, Copy, Debug)]
pub struct VersionKnowledge {
    /// Number of versions that were listed within the time that a stream can last.
    pub seen: usize,
    /// Number of versions that are listed now.
    pub listed: usize,
    /// Whether the router knows all versions that there were within that time.
    pub is_complete: bool,
    /// The time since the router started.
    pub uptime: Duration,
    /// The age of the router's copy of the store, if it has one that was confirmed.
    pub copy_age: Option<Duration>,
}

/// The versions at which streams began, and the peers that records are exchanged with.
#[derive(Debug, Default)]
pub(super) struct Streams {
    records: RapidHashMap<id::Stream, Record>,
    /// The records in the order in which they end.
    ends: BTreeSet<(Moment, id::Stream)>,
    pub(super) services: BTreeMap<id::Service, Known>,
    /// The services that have got streams of a route from another service, until the end of the longest stream that may have
    /// begun at that one.
    pub(super) moved: BTreeMap<id::Service, Moment>,
    /// The epoch of the store that has the records which count as saved.
    pub(super) epoch: u64,
    pub(super) watch: Watch,
    /// The longest time that a stream could last by any configuration of this process.
    pub(super) longest: Duration,
    /// Whether the fleet was started for the first time with this process.
    pub(super) is_first_start: bool,
    pub(super) segments: Segments,
    /// What the roles were computed from, and since when.
    pub(super) peers: (Option<RoleInputs>, Moment),
    /// Whether this router knows its peers well enough to know which services it is home of.
    pub(super) is_settled: bool,
    /// The keepers of each service's streams, and the inputs that they were chosen from.
    keepers: (Option<RoleInputs>, BTreeMap<id::Service, Vec<id::Router>>),
}

impl Streams {
    /// Creates the state of a process that starts as this incarnation of its router.
    pub(super) fn new(incarnation: id::Incarnation) -> Self {
        Self { segments: Segments::new(incarnation), ..Self::default() }
    }

    pub(super) fn insert(&mut self, now: Moment, stream: id::Stream, mut record: Record) {
        if let Some(earlier) = self.records.get(&stream) {
            self.ends.remove(&(earlier.until, stream));
            // A record that a router sends once more needn't be written once more.
            let is_known = earlier.origin == record.origin && record.until <= earlier.until + SAVED_TOLERANCE;
            record.is_saved |= earlier.is_saved && is_known;
        }
        self.ends.insert((record.until, stream));
        self.records.insert(stream, record);
        while let Some((until, stream)) = self.ends.first().copied()
            && (until <= now || self.records.len() > CAPACITY)
        {
            self.ends.remove(&(until, stream));
            self.records.remove(&stream);
        }
    }

    fn find(&self, now: Moment, stream: id::Stream) -> Option<&Origin> {
        self.record(now, stream).map(|record| &record.origin)
    }

    /// The record of a stream that can still be taken up.
    pub(super) fn record(&self, now: Moment, stream: id::Stream) -> Option<&Record> {
        self.records.get(&stream).filter(|record| record.until > now)
    }

    /// The streams of a service whose records the store doesn't have.
    pub(super) fn unsaved(&self, now: Moment, service: &id::Service) -> Vec<id::Stream> {
        let live = self.records.iter().filter(|(_, record)| record.until > now && &record.service == service);
        live.filter(|(_, record)| !record.is_saved).map(|(stream, _)| *stream).collect()
    }

    /// Records that the store may have no records.
    pub(super) fn mark_unsaved(&mut self) {
        self.records.values_mut().for_each(|record| record.is_saved = false);
    }

    /// Records that the store has the record of a stream with this origin.
    pub(super) fn mark_saved(&mut self, stream: id::Stream, origin: &Origin) {
        if let Some(record) = self.records.get_mut(&stream).filter(|record| record.origin == *origin) {
            record.is_saved = true;
        }
    }
}

impl Core {
    /// Records at which version a stream began that this router serves. The stream can be taken up again for `lasts`.
    pub fn record_stream(
        &mut self,
        now: Moment,
        service: &id::Service,
        stream: id::Stream,
        origin: Origin,
        lasts: Duration,
    ) -> Vec<Effect> {
        self.check_watch(now);
        let record = Record { service: service.clone(), origin, until: now + lasts, is_own: true, is_saved: false };
        // Known to the keepers while other versions may have served, which only they might know.
        let is_single = self.single_origin(now, service).as_ref() == Some(&record.origin);
        let frame = (!is_single).then(|| announcement(now, stream, &record));
        let mut effects = self.save_stream(now, stream, record);
        effects.extend(frame.into_iter().flat_map(|frame| self.send_to_keepers(service, &frame)));
        effects
    }

    /// Looks for the origin of a stream that a client takes up again, `None` if the client doesn't name it. Peers are
    /// asked if this router doesn't know it; their answers are returned as [`StreamFound`](super::Reply::StreamFound) to `attempt`.
    pub fn find_stream(
        &mut self,
        now: Moment,
        service: &id::Service,
        stream: Option<id::Stream>,
        attempt: id::Attempt,
    ) -> (Lookup, Vec<Effect>) {
        if let Some(origin) = stream.and_then(|stream| self.streams.find(now, stream)) {
            return (Lookup::Known(origin.clone()), Vec::new());
        }
        self.check_watch(now);
        // A copy of the store that counts as current may lack a version that its streams' keepers know.
        let question = Frame::FindOrigin { attempt, service: service.clone(), stream };
        let mut asked = self.keepers(service).len();
        let mut effects = self.send_to_keepers(service, &question);
        let single = self.single_origin(now, service);
        if asked == 0 || single.is_none() && self.is_recorder(service) {
            let (is_final, read) = self.wait_for_store(now, None, service, attempt, stream);
            effects.extend(read);
            match single.filter(|_| asked == 0 && is_final) {
                Some(origin) => return (Lookup::SingleVersion(origin), effects),
                None => asked += usize::from(!is_final),
            }
        }
        (Lookup::Asked(asked), effects)
    }

    /// What this router knows of where a stream began; `None` stands for a stream that its client doesn't name.
    pub(super) fn find_origin(&self, now: Moment, service: &id::Service, stream: Option<id::Stream>) -> Finding {
        if let Some(origin) = stream.and_then(|stream| self.streams.find(now, stream)) {
            return Finding::Recorded(origin.clone());
        }
        self.single_origin(now, service).map_or(Finding::Unknown, Finding::SingleVersion)
    }

    /// What this router knows of a service's versions, for logs.
    #[must_use]
    pub fn version_knowledge(&self, now: Moment, service: &id::Service) -> VersionKnowledge {
        let (seen, is_complete) = (self.streams.versions(service), self.knows_versions(now, service));
        let listed = self.pools.get(service).map_or(0, |pool| pool.listed_versions().count());
        VersionKnowledge { seen, listed, is_complete, uptime: self.uptime(now), copy_age: self.view.age(now) }
    }

    /// The upstreams of a service at which a stream with this origin must not be continued.
    pub fn upstreams_of_other_versions(&self, service: &id::Service, origin: &Origin) -> Vec<id::Upstream> {
        let members = self.pools.get(service).into_iter().flat_map(Pool::members);
        members.filter(|member| member.version != origin.version).map(|member| member.id.clone()).collect()
    }

    /// Whether any upstream may be sent a stream with this origin, apart from `avoid`.
    #[must_use]
    pub fn has_upstream_for(&self, service: &id::Service, origin: &Origin, avoid: &[id::Upstream]) -> bool {
        let mut members = self.pools.get(service).into_iter().flat_map(Pool::members);
        members.any(|member| {
            let is_candidate = member.version == origin.version && !avoid.contains(&member.id);
            is_candidate && self.usable_upstream(&member.id).is_some()
        })
    }

    /// When a stream may be known that isn't: at the next read of the store if peers didn't answer, and otherwise not before
    /// its time is over.
    #[must_use]
    pub fn retry_unknown_after(&self, have_answered: bool) -> Duration {
        if have_answered { self.longest_stream() } else { READ_INTERVAL }
    }

    /// When an upstream may take streams with this origin: soon if one is listed that isn't leaving, and otherwise not
    /// before their time is over.
    #[must_use]
    pub fn retry_version_after(&self, service: &id::Service, origin: &Origin) -> Duration {
        let mut members = self.pools.get(service).into_iter().flat_map(Pool::members);
        let is_staying = |id| self.view.is_usable(id) && !self.is_leaving(id);
        let may_come = members.any(|member| member.version == origin.version && is_staying(&member.id));
        if may_come { RESTING_RETRY_AFTER } else { self.longest_stream() }
    }

    /// Records where a stream began. Its version is remembered for as long as the stream lasts, also if this router hasn't
    /// seen it listed.
    fn insert_stream(&mut self, now: Moment, stream: id::Stream, record: Record) {
        if let Some(known) = self.streams.services.get_mut(&record.service) {
            known.remember(&record.origin.version, record.until);
        }
        self.streams.insert(now, stream, record);
    }

    /// Records where a stream began, and has it written to the store if need be.
    fn save_stream(&mut self, now: Moment, stream: id::Stream, record: Record) -> Vec<Effect> {
        let service = record.service.clone();
        self.insert_stream(now, stream, record);
        if !self.saves_origins(now, &service) {
            return Vec::new();
        }
        self.streams.segments.push(now, &service, stream);
        self.append_origins(now).into_iter().collect()
    }

    /// Sends the keepers of a service the records of the streams that this router serves.
    pub(super) fn announce_streams(&mut self, now: Moment, service: &id::Service) -> Vec<Effect> {
        let own = self.streams.records.iter().filter(|(_, record)| record.is_own && &record.service == service);
        let live = own.filter(|(_, record)| record.until > now);
        let frames: Vec<_> = live.map(|(stream, record)| announcement(now, *stream, record)).collect();
        frames.iter().flat_map(|frame| self.send_to_keepers(service, frame)).collect()
    }

    // ------------------------------------------------------------------------
    // Exchange with peers.

    /// Keeps a peer's record.
    pub(super) fn keep_stream(
        &mut self,
        now: Moment,
        service: id::Service,
        stream: id::Stream,
        origin: Origin,
        lasts: Duration,
    ) -> Vec<Effect> {
        let until = now + lasts.min(MAX_KEEP_TIME);
        self.check_watch(now);
        self.save_stream(now, stream, Record { service, origin, until, is_own: false, is_saved: false })
    }

    /// Answers a peer that looks for the origin of a service's stream, once the store was read if need be.
    pub(super) fn answer_find_origin(
        &mut self,
        now: Moment,
        from: &id::Router,
        attempt: id::Attempt,
        service: &id::Service,
        stream: Option<id::Stream>,
    ) -> Vec<Effect> {
        self.check_watch(now);
        let answer = self.find_origin(now, service, stream);
        if answer == Finding::Unknown {
            let (is_final, read) = self.wait_for_store(now, Some(from), service, attempt, stream);
            if !is_final {
                return read.into_iter().collect();
            }
        }
        self.send(from, Frame::OriginFound { attempt, answer })
    }

    /// Answers a peer of an earlier build that looks for a stream's origin.
    pub(super) fn answer_find_stream(
        &self,
        now: Moment,
        from: &id::Router,
        attempt: id::Attempt,
        stream: id::Stream,
    ) -> Vec<Effect> {
        let origin = self.streams.find(now, stream).cloned();
        self.send(from, Frame::StreamFound { attempt, origin })
    }

    fn send_to_keepers(&mut self, service: &id::Service, frame: &Frame) -> Vec<Effect> {
        let keepers = self.keepers(service).to_vec();
        keepers.iter().flat_map(|keeper| self.send_when_known(keeper, frame.clone())).collect()
    }

    /// The peers that keep the records of a service's streams for this router.
    fn keepers(&mut self, service: &id::Service) -> &[id::Router] {
        if self.streams.keepers.0 != self.roles.inputs() {
            self.streams.keepers = (self.roles.inputs(), BTreeMap::new());
        }
        if !self.streams.keepers.1.contains_key(service) {
            let keepers = self.choose_keepers(service);
            self.streams.keepers.1.insert(service.clone(), keepers);
        }
        self.streams.keepers.1.get(service).map(Vec::as_slice).unwrap_or_default()
    }

    /// The responding router that a service is assigned to, of those that match.
    fn best(&self, service: &id::Service, matches: impl Fn(&Member) -> bool) -> Option<id::Router> {
        let candidates = self.eligible(self.responding_routers().filter(|member| matches(member)));
        pick(service.hash64(), candidates.into_iter()).cloned()
    }

    /// The router beside a service's home that keeps its streams, in another zone if there is one.
    pub(super) fn successor(&self, service: &id::Service) -> Option<id::Router> {
        let home = self.assigned_home(service);
        let home_zone = home.and_then(|home| self.zone_of(home));
        let elsewhere = self.best(service, |member| Some(&member.zone) != home_zone);
        elsewhere.or_else(|| self.best(service, |member| Some(&member.router) != home))
    }

    fn choose_keepers(&self, service: &id::Service) -> Vec<id::Router> {
        let (home, successor) = (self.assigned_home(service).cloned(), self.successor(service));
        let near = self.best(service, |member| member.zone == self.zone);
        let mut chosen = Vec::new();
        for keeper in [home, successor, near].into_iter().flatten() {
            if keeper != self.me && !chosen.contains(&keeper) {
                chosen.push(keeper);
            }
        }
        chosen
    }
}

/// The frame that states a record to a keeper.
fn announcement(now: Moment, stream: id::Stream, record: &Record) -> Frame {
    let (service, origin) = (record.service.clone(), record.origin.clone());
    Frame::StreamBegan { service, stream, origin, lasts: record.until.since(now) }
}
