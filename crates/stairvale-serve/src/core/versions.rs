//! The versions that each service's upstreams had while streams may have begun that clients still take up.
//!
//! A listing shows the versions of now. Which versions there were before, a router knows if it has watched the listing for
//! as long as a stream can last, or if the service's home, which did, has recorded it in the store.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use stairvale_table::{Route, Table};
use stairvale_types::{Moment, id};

use super::{
    Core, Effect, Reply,
    streams::{RETURN_TIME, Streams},
};
use crate::{
    frame::{Frame, Origin},
    origins::{Answer, Call, Stored, Versions},
};

/// Minimum interval between two reads of what the store has of a service's streams, and the delay after a failed call.
pub(super) const READ_INTERVAL: Duration = Duration::from_millis(1_000);
/// A router takes itself for a home once its peers haven't changed for this long, if none is registered in the store.
const UNREGISTERED_SETTLING_TIME: Duration = Duration::from_millis(200);
/// The same while fewer than half of the registered routers respond.
const SETTLING_TIME: Duration = Duration::from_millis(1_000);
/// Time that a home has to record a version before its successor does.
const TAKEOVER_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of questions that wait for one read.
const MAX_QUESTIONS: usize = 4_096;

/// Since when this router's copy of the store has been current without a gap.
#[derive(Debug, Default)]
pub(super) struct Watch {
    since: Option<Moment>,
    /// When that was checked last, and the age of the copy then.
    checked: Option<(Moment, Duration)>,
    /// Whether the copy was current before and then wasn't.
    was_interrupted: bool,
}

impl Watch {
    /// Records the age of the copy, `None` if there is none. It is current if it is younger than `limit`.
    fn check(&mut self, now: Moment, age: Option<Duration>, limit: Duration) {
        // After a suspension the copy may have been brought up to date before its age is checked.
        let was_outdated = self.checked.is_some_and(|(at, age)| age + now.since(at) >= limit);
        let age = age.filter(|age| *age < limit);
        if (was_outdated || age.is_none()) && self.since.take().is_some() {
            self.was_interrupted = true;
        }
        if age.is_some() {
            self.since.get_or_insert(now);
        }
        self.checked = age.map(|age| (now, age));
    }
}

/// A question for a stream's origin that waits for a read of the store.
#[derive(Debug)]
struct Question {
    /// The peer that asked; `None` if this router did.
    from: Option<id::Router>,
    attempt: id::Attempt,
    stream: Option<id::Stream>,
}

/// What was read from the store, or written to it.
#[derive(Debug)]
struct Copy {
    stored: Stored,
    /// When the call was made by which it was read.
    asked: Moment,
}

/// What is known of one service's versions.
#[derive(Debug, Default)]
pub(super) struct Known {
    /// The versions, each until the end of the longest stream that may have begun at it.
    versions: BTreeMap<Option<id::Version>, Moment>,
    copy: Option<Copy>,
    /// When the store was last read.
    read_at: Option<Moment>,
    is_reading: bool,
    is_writing: bool,
    /// When the next call may be made after one failed.
    retry_at: Moment,
    questions: Vec<Question>,
    /// Whether the service was known to have had a single version.
    was_single: bool,
    /// The revisions of the segments that were read last, which needn't be kept again.
    merged: BTreeSet<u64>,
    /// Since when the record, as this router read it last, has lacked a version.
    lacks_since: Option<Moment>,
    /// Whether this router wrote the origins of its streams to the store.
    was_saving: bool,
}

impl Known {
    /// Records that streams of a version may last until a time.
    pub(super) fn remember(&mut self, version: &Option<id::Version>, until: Moment) {
        match self.versions.get_mut(version) {
            Some(last) => *last = until.max(*last),
            None => drop(self.versions.insert(version.clone(), until)),
        }
    }

    /// Whether the record, as it was read last, lacks a version.
    fn is_lacking(&self) -> bool {
        let recorded = self.copy.as_ref().and_then(|copy| copy.stored.versions.as_ref());
        let is_recorded = |version| recorded.is_some_and(|(_, record)| record.versions.contains(version));
        !self.versions.keys().all(is_recorded)
    }
}

/// Routes by host and prefix.
type Prefixes<'a> = BTreeMap<(&'a str, &'a str), &'a Route>;

fn by_prefix(routes: &[Route]) -> Prefixes<'_> {
    routes.iter().map(|route| ((route.host.as_str(), route.prefix.as_str()), route)).collect()
}

/// The route of these that gets the requests with another route's prefix.
fn covering<'a>(routes: &Prefixes<'a>, of: &'a Route) -> Option<&'a Route> {
    let mut prefix = of.prefix.as_str();
    loop {
        if let Some(route) = routes.get(&(of.host.as_str(), prefix)) {
            return Some(route);
        }
        let parent = prefix.strip_suffix('/')?;
        prefix = &parent[..=parent.rfind('/')?];
    }
}

impl Streams {
    /// Number of versions that streams of a service may have begun at.
    pub(super) fn versions(&self, service: &id::Service) -> usize {
        self.services.get(service).map_or(0, |known| known.versions.len())
    }

    /// Number of services that aren't known to have had a single version.
    pub(super) fn mixed_services(&self) -> usize {
        self.services.values().filter(|known| !known.was_single).count()
    }
}

impl Core {
    // ------------------------------------------------------------------------
    // What is known.

    /// The longest time from the first event of a stream until its client takes it up again, beginning when its version was
    /// last listed: a router whose copy of the store is older may still begin streams for as long as it trusts keys.
    pub(super) fn longest_stream(&self) -> Duration {
        let routes = &self.table.document().routes;
        let timeout = routes.iter().map(|route| route.timeout).max().unwrap_or_default();
        (timeout + RETURN_TIME + self.bounds.key_trust_limit().unwrap_or_default()).max(self.streams.longest)
    }

    /// Checks whether the copy of the store is current.
    pub(super) fn check_watch(&mut self, now: Moment) {
        let age = self.view.age(now).filter(|_| self.table.version() > 0);
        self.streams.watch.check(now, age, Duration::from_millis(self.bounds.configuration_ms));
    }

    /// Whether this router knows all versions at which streams of a service may have begun.
    pub(super) fn knows_versions(&self, now: Moment, service: &id::Service) -> bool {
        if self.streams.moved.get(service).is_some_and(|until| now < *until) {
            return false;
        }
        let Some(since) = self.streams.watch.since.filter(|_| self.is_current(now)) else {
            return false;
        };
        if now.since(since) >= self.longest_stream() {
            return true;
        }
        let Some(copy) = self.copy_since(service, since) else {
            return false;
        };
        match &copy.stored.versions {
            Some((_, versions)) => versions.is_complete && versions.epoch == copy.stored.epoch,
            // No router has served before the first start.
            None => self.streams.is_first_start && !self.streams.watch.was_interrupted,
        }
    }

    /// What the store's present epoch has of a service's streams, if it was read since a time.
    fn copy_since(&self, service: &id::Service, since: Moment) -> Option<&Copy> {
        let copy = self.streams.services.get(service)?.copy.as_ref()?;
        (copy.asked >= since && copy.stored.epoch == self.view.epoch()).then_some(copy)
    }

    /// The origin of each stream of a service that may still be taken up, if all began at the same version.
    pub(super) fn single_origin(&self, now: Moment, service: &id::Service) -> Option<Origin> {
        let versions = &self.streams.services.get(service)?.versions;
        let version = versions.keys().next().filter(|_| versions.len() == 1)?;
        self.knows_versions(now, service).then(|| Origin { version: version.clone() })
    }

    /// Whether this router knows of no other version than this one. A peer that takes it for the only one may have an older
    /// copy of the store.
    #[must_use]
    pub fn knows_no_other_version(&self, service: &id::Service, origin: &Origin) -> bool {
        let known = self.streams.services.get(service);
        known.is_none_or(|known| known.versions.keys().all(|version| *version == origin.version))
    }

    // ------------------------------------------------------------------------
    // Changes.

    /// Records which services get streams of a route that another service had before. Streams that began there may be taken
    /// up, and their versions aren't among those of the new service.
    pub(super) fn record_moved_routes(&mut self, now: Moment, next: &Table) {
        if self.table.version() == 0 {
            return;
        }
        let until = now + self.longest_stream();
        let (before, after) = (by_prefix(&self.table.document().routes), by_prefix(&next.document().routes));
        let added = after.values().filter_map(|route| Some((covering(&before, route)?, *route)));
        let removed = before.values().filter_map(|route| Some((*route, covering(&after, route)?)));
        let moved = added.chain(removed).filter(|(from, to)| to.resumable && from.split != to.split);
        let services: Vec<_> = moved.flat_map(|(_, to)| &to.split).map(|(service, _)| service.clone()).collect();
        self.streams.moved.retain(|_, until| now < *until);
        self.streams.moved.extend(services.into_iter().map(|service| (service, until)));
    }

    /// Updates which versions of each service are listed. The records of a service that isn't known to have a single one
    /// from now on are sent to its keepers.
    pub(super) fn update_versions(&mut self, now: Moment) -> Vec<Effect> {
        self.check_watch(now);
        let limit = self.longest_stream();
        self.streams.longest = limit;
        for (service, pool) in &self.pools {
            let known = self.streams.services.entry(service.clone()).or_default();
            pool.listed_versions().for_each(|version| known.remember(version, now + limit));
            known.versions.retain(|_, until| *until > now);
        }
        // A service that a configuration drops may come back while streams of its versions can be taken up.
        let is_remembered = |known: &Known| known.versions.values().any(|until| *until > now);
        self.streams.services.retain(|service, known| self.pools.contains_key(service) || is_remembered(known));
        if std::mem::replace(&mut self.streams.epoch, self.view.epoch()) != self.view.epoch() {
            self.save_origins_again(now);
        }
        let services: Vec<_> = self.streams.services.keys().cloned().collect();
        let mut effects = Vec::new();
        for service in services {
            effects.extend(self.update_service(now, &service));
        }
        effects
    }

    fn update_service(&mut self, now: Moment, service: &id::Service) -> Vec<Effect> {
        let is_single = self.single_origin(now, service).is_some();
        let known = self.streams.services.get_mut(service);
        let was_single = known.is_some_and(|known| std::mem::replace(&mut known.was_single, is_single));
        let mut effects = Vec::new();
        if was_single && !is_single {
            effects.extend(self.announce_streams(now, service));
        }
        if self.is_recorder(service) {
            effects.extend(self.streams.watch.since.and_then(|since| self.update_record(now, service, since)));
        } else {
            effects.extend(self.check_record(now, service));
        }
        let is_saving = self.saves_origins(now, service);
        let known = self.streams.services.get_mut(service);
        if known.is_some_and(|known| std::mem::replace(&mut known.was_saving, is_saving) != is_saving) {
            self.set_saving(now, service, is_saving);
        }
        effects.extend(self.append_origins(now));
        effects
    }

    /// Whether this router records in the store what is known of a service's streams: as its home, which all routers report
    /// streams to.
    pub(super) fn is_recorder(&self, service: &id::Service) -> bool {
        self.streams.is_settled && self.assigned_home(service) == Some(&self.me)
    }

    /// Advances the clock. While a fleet starts, each router knows few others and would take itself for the home of most
    /// services.
    pub(super) fn tick_streams(&mut self, now: Moment) -> Vec<Effect> {
        self.check_watch(now);
        let inputs = self.roles.inputs();
        if self.streams.peers.0 != inputs {
            self.streams.peers = (inputs, now);
        }
        let settling_time = if self.roles.has_quorum.is_some() { SETTLING_TIME } else { UNREGISTERED_SETTLING_TIME };
        let is_settled = self.has_joined(now) || now.since(self.streams.peers.1) >= settling_time;
        let was_settled = std::mem::replace(&mut self.streams.is_settled, is_settled);
        let mut effects = if is_settled && !was_settled { self.update_versions(now) } else { Vec::new() };
        effects.extend(self.append_origins(now));
        effects
    }

    /// Checks that the home has recorded a version, which the store may refuse to it, and records it otherwise.
    fn check_record(&mut self, now: Moment, service: &id::Service) -> Option<Effect> {
        let watched_since = self.streams.watch.since?;
        let known = self.streams.services.get_mut(service)?;
        if !known.is_lacking() {
            known.lacks_since = None;
            return None;
        }
        let since = *known.lacks_since.get_or_insert(now);
        let is_due = self.streams.is_settled && now.since(since) >= TAKEOVER_DELAY;
        if !is_due || self.successor(service).as_ref() != Some(&self.me) {
            return None;
        }
        self.update_record(now, service, watched_since.max(since + TAKEOVER_DELAY))
    }

    /// Brings the record of a service's versions up to date, after it was read since a time.
    fn update_record(&mut self, now: Moment, service: &id::Service, since: Moment) -> Option<Effect> {
        let is_complete = self.knows_versions(now, service);
        let known = self.streams.services.get(service)?;
        if known.is_reading || known.is_writing || now < known.retry_at {
            return None;
        }
        let Some(copy) = self.copy_since(service, since) else {
            // What is read may be of another epoch than this router's copy of the store for a while.
            let is_due = known.read_at.is_none_or(|read_at| now.since(read_at) >= READ_INTERVAL);
            return if is_due { self.read_streams(now, service) } else { None };
        };
        if known.versions.is_empty() {
            return None;
        }
        let versions: BTreeSet<_> = known.versions.keys().cloned().collect();
        let versions = Versions { versions, is_complete, epoch: copy.stored.epoch };
        let expected = match &copy.stored.versions {
            Some((_, current)) if *current == versions => return None,
            Some((revision, _)) => *revision,
            None => 0,
        };
        self.streams.services.get_mut(service)?.is_writing = true;
        Some(Effect::StreamCall(Call::Write { service: service.clone(), expected, versions }))
    }

    fn read_streams(&mut self, now: Moment, service: &id::Service) -> Option<Effect> {
        let known = self.streams.services.get_mut(service)?;
        (known.is_reading, known.read_at) = (true, Some(now));
        Some(Effect::StreamCall(Call::Read { service: service.clone() }))
    }

    /// Handles the result of a call that was requested by [`Effect::StreamCall`].
    pub fn stream_call_ended(&mut self, now: Moment, answer: Answer) -> Vec<Effect> {
        self.check_watch(now);
        match answer {
            Answer::Read { service, asked, result } => {
                let limit = self.longest_stream();
                let Some(known) = self.streams.services.get_mut(&service) else {
                    return Vec::new();
                };
                known.is_reading = false;
                let is_read = result.is_ok();
                match result {
                    Ok(mut stored) => {
                        let since = self.streams.watch.since;
                        let earlier = known.copy.as_ref().filter(|copy| since.is_some_and(|since| copy.asked >= since));
                        let revision = |stored: &Stored| stored.versions.as_ref().map(|(revision, _)| *revision);
                        // Read once more, a record tells nothing new of when its versions were listed.
                        if earlier.is_none_or(|earlier| revision(&earlier.stored) != revision(&stored)) {
                            let versions = stored.versions.iter().flat_map(|(_, versions)| &versions.versions);
                            versions.for_each(|version| known.remember(version, now + limit));
                        }
                        let merged: BTreeSet<_> = stored.segments.iter().map(|(revision, _)| *revision).collect();
                        let earlier = std::mem::replace(&mut known.merged, merged);
                        stored.segments.retain(|(revision, _)| !earlier.contains(revision));
                        self.keep_segments(now, &service, &stored);
                        stored.segments = Vec::new();
                        if let Some(known) = self.streams.services.get_mut(&service) {
                            known.copy = Some(Copy { stored, asked });
                        }
                    }
                    Err(_) => known.retry_at = now + READ_INTERVAL,
                }
                let known = self.streams.services.get_mut(&service);
                let questions = known.map(|known| std::mem::take(&mut known.questions)).unwrap_or_default();
                let mut effects = self.update_service(now, &service);
                let questions = questions.into_iter().filter(|_| is_read);
                effects.extend(questions.flat_map(|question| self.answer(now, &service, question)));
                effects
            }
            Answer::Written { service, versions, result } => {
                let Some(known) = self.streams.services.get_mut(&service) else {
                    return Vec::new();
                };
                known.is_writing = false;
                match result {
                    Ok(Some(revision)) => {
                        if let Some(copy) = &mut known.copy {
                            copy.stored.versions = Some((revision, versions));
                        }
                    }
                    // Another router has written the record.
                    Ok(None) => (known.copy, known.read_at) = (None, None),
                    // Whether it was written shows when it is written again.
                    Err(_) => known.retry_at = now + READ_INTERVAL,
                }
                self.update_service(now, &service)
            }
            Answer::Appended { segments, result } => {
                self.handle_appended(now, &segments, result);
                self.append_origins(now).into_iter().collect()
            }
        }
    }

    // ------------------------------------------------------------------------
    // Questions.

    /// Keeps a question for a stream's origin until the store was read; `None` stands for a stream that its client doesn't name.
    /// Returns whether there is nothing to wait for, since the store was just read. The question isn't answered if the read
    /// fails.
    pub(super) fn wait_for_store(
        &mut self,
        now: Moment,
        from: Option<&id::Router>,
        service: &id::Service,
        attempt: id::Attempt,
        stream: Option<id::Stream>,
    ) -> (bool, Option<Effect>) {
        let Some(known) = self.streams.services.get_mut(service) else {
            return (true, None);
        };
        if now < known.retry_at || known.questions.len() >= MAX_QUESTIONS {
            return (false, None);
        }
        if !known.is_reading && known.read_at.is_some_and(|read_at| now.since(read_at) < READ_INTERVAL) {
            return (true, None);
        }
        known.questions.push(Question { from: from.cloned(), attempt, stream });
        let read = if known.is_reading { None } else { self.read_streams(now, service) };
        (false, read)
    }

    fn answer(&self, now: Moment, service: &id::Service, question: Question) -> Vec<Effect> {
        let Question { from, attempt, stream } = question;
        let answer = self.find_origin(now, service, stream);
        match from {
            Some(from) => self.send(&from, Frame::OriginFound { attempt, answer }),
            None => vec![Effect::Reply { attempt, reply: Reply::StreamFound(answer) }],
        }
    }
}
