//! The age of this router's copy of the store, when it reads the store itself, and which peers it syncs with.

use std::{collections::BTreeSet, time::Duration};

use stairvale_placement::{mix, pick};
use stairvale_replica::{Item, Revision, StoreUpdate};
use stairvale_types::{Moment, id};
use stairvale_wire::Member;

use super::{Core, Effect, has_responded, naming};
use crate::frame::{Frame, Sync};

/// Time for which an unanswered sync request is remembered.
const PENDING_SYNC_RETENTION: Duration = Duration::from_secs(5);
/// Time for which a router is excluded as a watcher after its updates came too late.
const WATCHER_BACKOFF: Duration = Duration::from_secs(3);

/// Time after becoming its zone's watcher during which a router waits as long for updates as any other router: two
/// sync requests to the fleet's reader.
const NEW_WATCHER_GRACE: Duration = Duration::from_millis(500);

/// Delay after its start until a zone's watcher reads the latest changes from the store, if no peer has sent them by
/// then. It covers a few round trips to peers, so that a start usually costs the store no such call.
const WATCHER_READ_DELAY: Duration = Duration::from_millis(50);
/// Minimum delay until any other router does so. The actual delay is up to twice as long and derived from the
/// router's name, so that the routers don't all read at once, and only after their watcher had time to.
const FIRST_READ_DELAY: Duration = Duration::from_millis(300);
/// Minimum interval between two requests for a full snapshot, and between two snapshots sent to the same router. A
/// snapshot with 3,000 upstreams exceeds 200 KB, which is a quarter of a second of a small VM's link; a starting
/// router sends a sync request each 50 ms, and its watcher may have a hundred such routers at once.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time that a router which has read the registrations waits for a peer's snapshot before it reads the store itself:
/// several times what the first router of a zone needs to read it and to send it to the others.
const PEER_SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after its start during which a router requests snapshots only from registered routers of its own zone, since
/// traffic between zones is charged per byte.
const CROSS_ZONE_SNAPSHOT_DELAY: Duration = Duration::from_millis(200);
/// Minimum interval between two requests for the list of members. When all routers start at once, nobody knows all of
/// them for a second, and a router that requested the list with every sync would receive most members twenty times: 8
/// MB in total for a hundred routers, growing with the square of their number.
const MEMBER_LIST_INTERVAL: Duration = Duration::from_millis(400);
/// A router that lacks more than one in this many members is sent the complete list; otherwise gossip delivers the
/// missing ones.
const MISSING_MEMBERS_DIVISOR: usize = 8;

/// One in this many syncs with an arbitrary peer goes to another zone, even if the router's own zone has peers.
const CROSS_ZONE_SYNC_EVERY: u64 = 3;

/// How this router is to read the store now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reading {
    /// Only the registrations of routers, up to some seconds old: enough to find a peer that has a copy.
    Names,
    /// A full copy, up to some seconds old: cheap for the store, and enough to start with.
    Stale,
    /// The changes since the last read; the call waits up to this long for one.
    Changes(Duration),
}

impl Core {
    // ------------------------------------------------------------------------
    // When this router reads the store itself.

    /// Whether and how this router reads the store now. The fleet's reader reads continuously. A zone's watcher that
    /// the reader keeps waiting, and other routers that receive too few updates, read once, by a call that doesn't
    /// wait.
    #[must_use]
    pub fn reading(&self, now: Moment) -> Option<Reading> {
        if self.view.revision() == 0 {
            return self.initial_reading(now);
        }
        if self.is_reader(now) {
            // A router that takes over with an old or unconfirmed copy first brings it up to date and only then waits
            // for changes: other routers would otherwise exclude it for the copy's age.
            let outdated = !self.view.is_confirmed() || self.is_older(now, self.bounds.watch_timeout() * 2);
            return Some(Reading::Changes(if outdated { Duration::ZERO } else { self.bounds.watch_timeout() }));
        }
        self.is_older(now, self.max_age(now)).then_some(Reading::Changes(Duration::ZERO))
    }

    /// How a router reads the store after its start: first the registrations. Then one router of each zone reads
    /// everything, and the others take that one's snapshot, which stays within the zone and is a fifth as large.
    fn initial_reading(&self, now: Moment) -> Option<Reading> {
        let Some(read_at) = self.registrations_read_at else {
            return Some(Reading::Names);
        };
        let reads_itself = self.view.routers().next().is_none() || self.is_watcher();
        (reads_itself || now.since(read_at) >= PEER_SNAPSHOT_TIMEOUT).then_some(Reading::Stale)
    }

    /// Handles a stale read of the registrations of routers.
    pub fn read_registrations(&mut self, now: Moment, items: Vec<Item>) -> Vec<Effect> {
        self.registrations_read_at = Some(now);
        if !self.view.apply(StoreUpdate::Changes { after: 0, to: 0, items }) {
            return Vec::new();
        }
        let mut effects = self.apply_view(now);
        effects.extend(self.sync(now));
        effects
    }

    /// Whether this router is the fleet's reader of the store.
    #[must_use]
    pub fn is_reader(&self, now: Moment) -> bool {
        self.roles.reader.as_ref() == Some(&self.me) && self.has_discovered_peers(now)
    }

    /// Whether this router has a copy of the store, however old. A copy that predates the first write counts as none.
    #[must_use]
    pub fn has_copy(&self) -> bool {
        Revision::from(self.view.revision()).number() > 0
    }

    /// Whether the other routers of this zone receive store updates from this one.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        self.watcher().as_ref() == Some(&self.me)
    }

    /// The age that this router's copy may reach before it reads the store itself.
    fn max_age(&self, now: Moment) -> Duration {
        let watcher = self.is_watcher();
        if self.view.is_confirmed() {
            // A new watcher was kept up to date by its predecessor, so its copy may be as old as the predecessor let
            // it become. The fleet's reader, which it syncs with now, has a newer one.
            let is_new = self.watcher_since.is_some_and(|since| now.since(since) < NEW_WATCHER_GRACE);
            let watcher = watcher && !is_new;
            return if watcher { self.bounds.watcher_max_age() } else { self.bounds.max_age() };
        }
        let join_delay = if self.view.routers().next().is_some() { Duration::ZERO } else { naming::JOIN_TIMEOUT };
        join_delay + if watcher { WATCHER_READ_DELAY } else { FIRST_READ_DELAY.mul_f64(1.0 + self.jitter()) }
    }

    /// Whether this router's copy is older than `limit`. A copy that was never confirmed counts as old as the
    /// process.
    pub(super) fn is_older(&self, now: Moment, limit: Duration) -> bool {
        self.view.age(now).unwrap_or_else(|| self.uptime(now)) > limit
    }

    // ------------------------------------------------------------------------
    // Syncs with peers.

    /// Requests the latest changes and the age of its copy from the router's update source, and from an arbitrary
    /// peer if this copy is getting old. A router without any copy also requests a snapshot.
    pub(super) fn sync(&mut self, now: Moment) -> Vec<Effect> {
        self.pending_syncs.retain(|_, sent_at| now.since(*sent_at) < PENDING_SYNC_RETENTION);
        let excluded = self.excluded_watchers.len();
        self.excluded_watchers.retain(|_, until| *until > now);
        self.excluded_watchers_revision += u64::from(self.excluded_watchers.len() != excluded);
        self.update_roles(now);
        self.check_update_source(now);
        let after = self.view.revision();
        let is_empty = !self.has_copy();
        let mut to = Vec::new();
        to.extend(self.snapshot_source().filter(|_| is_empty));
        to.extend(self.update_source().filter(|source| source != &self.me));
        let outdated_age = self.bounds.max_age() * 3 / 4;
        if self.view.age(now).is_none_or(|age| age > outdated_age) {
            to.extend(self.any_peer());
        }
        let mut chosen = BTreeSet::new();
        to.retain(|peer| chosen.insert(peer.clone()));
        if is_empty && !to.is_empty() {
            // The snapshot is requested from each of the peers in turn, since one may have as little as this router.
            let start = self.snapshot_requests % to.len();
            to.rotate_left(start);
        }
        to.iter().flat_map(|peer| self.send_sync(now, peer, after)).collect()
    }

    /// Excludes an update source that has had enough time and still let this copy grow too old. A source that only
    /// just took over isn't blamed for the age that its predecessor left; otherwise routers would keep choosing
    /// different watchers.
    pub(super) fn check_update_source(&mut self, now: Moment) {
        let (source, max_age) = (self.update_source(), self.max_age(now));
        if self.current_update_source.as_ref().map(|(current, _)| current) != source.as_ref() {
            self.current_update_source = source.map(|source| (source, now));
        }
        if let Some((source, since)) = &self.current_update_source
            && self.is_older(now, max_age)
            && now.since(*since) >= max_age
        {
            self.excluded_watchers.insert(source.clone(), now + WATCHER_BACKOFF);
            self.excluded_watchers_revision += 1;
            self.update_roles(now);
        }
    }

    pub(super) fn send_sync(&mut self, now: Moment, peer: &id::Router, after: u64) -> Vec<Effect> {
        self.sync_number = self.sync_number.wrapping_add(1);
        self.pending_syncs.insert(self.sync_number, now);
        // A router without a copy reads the store itself. Where that fails, it takes a snapshot from one peer at a
        // time.
        let lacks_copy = Revision::from(after).number() == 0;
        // A peer that isn't registered may have just started, and then doesn't answer routers that it hasn't received
        // a message from.
        let is_registered_nearby =
            |member: &Member| member.zone == self.zone && self.view.router(&member.router).is_some();
        let may_send_copy =
            |member: &Member| is_registered_nearby(member) || self.uptime(now) >= CROSS_ZONE_SNAPSHOT_DELAY;
        let is_suitable = self.swim.peer(peer).is_some_and(|member| has_responded(member) && may_send_copy(member));
        let mut after = (!lacks_copy || is_suitable && self.next_snapshot <= now).then_some(after);
        if lacks_copy && after.is_some() {
            if !std::mem::take(&mut self.omit_epoch) {
                (self.epoch_probe, after) = (Some(self.sync_number), Some(Revision::BEFORE_ALL.into()));
            }
            self.next_snapshot = now + SNAPSHOT_INTERVAL;
            self.snapshot_requests = self.snapshot_requests.wrapping_add(1);
        }
        let wants_members = self.next_member_list <= now;
        if wants_members {
            self.next_member_list = now + MEMBER_LIST_INTERVAL;
        }
        let routers = wants_members.then(|| self.routers());
        self.send(peer, Frame::Sync(Sync { number: self.sync_number, after, routers }))
    }

    /// Answers a peer's sync request. If this router's own copy isn't confirmed yet, it answers again as soon as it
    /// is: when all routers start at once, each is served as soon as its watcher is.
    pub(super) fn handle_sync(&mut self, now: Moment, from: &id::Router, sync: Sync) -> Vec<Effect> {
        if !self.view.is_confirmed() {
            // No snapshot goes with the later answer: by then the peer has a copy, or requests one again.
            let has_copy = |after: &u64| Revision::from(*after).number() > 0;
            self.deferred_syncs.insert(from.clone(), Sync { after: sync.after.filter(has_copy), ..sync });
        }
        let after = sync.after.map(|after| self.in_own_epoch(after));
        let news = after.and_then(|after| self.view.since(after));
        let has_copy = after.is_some_and(|after| Revision::from(after).number() > 0);
        let news = news.filter(|news| {
            matches!(news, StoreUpdate::Changes { .. }) || !has_copy || self.may_send_snapshot(now, from)
        });
        let news = news.filter(|news| !after.is_some_and(|after| self.is_in_transit(now, from, after, news)));
        let lacks_members = sync.routers.is_some_and(|known| known + known / MISSING_MEMBERS_DIVISOR < self.routers());
        let (news, revision) = if self.knows_epochs(from) {
            (news, self.view.revision())
        } else {
            (news.map(StoreUpdate::without_epochs), Revision::from(self.view.revision()).number())
        };
        let frame = Frame::Synced {
            number: sync.number,
            age: self.view.age(now),
            revision,
            calm: self.view.stable_for(now),
            news,
            knows_fleet: self.knows_fleet(now),
            members: if lacks_members { self.swim.live_members() } else { Vec::new() },
        };
        self.send(from, frame)
    }

    /// Whether a snapshot may be sent to a router whose copy lags: not while the previous one may still be in
    /// transit.
    fn may_send_snapshot(&mut self, now: Moment, to: &id::Router) -> bool {
        self.snapshots_sent.retain(|_, at| now.since(*at) < SNAPSHOT_INTERVAL);
        let is_due = !self.snapshots_sent.contains_key(to);
        if is_due {
            self.snapshots_sent.insert(to.clone(), now);
        }
        is_due
    }

    /// Answers again the sync requests that arrived before this router's copy was confirmed.
    pub(super) fn answer_deferred_syncs(&mut self, now: Moment) -> Vec<Effect> {
        if !self.view.is_confirmed() {
            return Vec::new();
        }
        let deferred = std::mem::take(&mut self.deferred_syncs);
        deferred.into_iter().flat_map(|(peer, sync)| self.handle_sync(now, &peer, sync)).collect()
    }

    /// Handles a peer's answer to a sync request. The peer's copy was the newest `age` before it answered, and it
    /// answered after the request was sent.
    pub(super) fn handle_synced(
        &mut self,
        now: Moment,
        number: u64,
        age: Option<Duration>,
        revision: u64,
        stable_for: Option<Duration>,
        news: Option<StoreUpdate>,
    ) -> Vec<Effect> {
        let Some(sent_at) = self.pending_syncs.get(&number).copied() else {
            return Vec::new();
        };
        if age.is_some() {
            // A peer that doesn't know its copy's age yet may answer again, so the request stays pending.
            self.pending_syncs.remove(&number);
        }
        if Revision::from(revision).number() == 0 {
            // The peer has no copy either, so the next peer is tried without delay.
            self.next_snapshot = now;
        } else if self.epoch_probe == Some(number) && news.is_none() && Revision::from(revision).epoch() == 0 {
            (self.omit_epoch, self.next_snapshot) = (true, now);
        }
        let confirmed = self.view.is_confirmed();
        let mut changed = false;
        if let Some(news) = news {
            if !self.view.apply(news) {
                return Vec::new();
            }
            changed = true;
        }
        // The age of the peer's copy applies to this one only if both show the same revision: not if the peer is
        // behind, and not if it is ahead and didn't send the changes.
        if revision == self.view.revision() {
            if let Some(stable_for) = stable_for {
                self.view.set_reported_stability(now, stable_for);
            }
            changed |= self.view.drop_expired(stable_for);
            if let Some(age) = age {
                self.view.confirm_by_peer(sent_at, age);
            }
        }
        changed |= self.view.is_confirmed() != confirmed;
        if changed { self.apply_view(now) } else { Vec::new() }
    }

    /// The peer that a starting router requests a snapshot from: one of the eligible routers of its zone, which
    /// thereby share the load when hundreds start at once. Each call selects another one, since a peer may have as
    /// little as this router.
    fn snapshot_source(&self) -> Option<id::Router> {
        let candidates = self
            .eligible(self.responding_routers().filter(|member| member.zone == self.zone && member.router != self.me));
        pick(mix(self.me.hash64(), self.sync_number), candidates.into_iter()).cloned()
    }

    pub(super) fn any_peer(&mut self) -> Option<id::Router> {
        self.sync_number = self.sync_number.wrapping_add(1);
        let number = self.sync_number;
        // Many of the registered routers have the newest copy, even when the whole fleet has just started.
        let has_recent_copy = |peer: &&Member| self.view.is_confirmed() || self.view.router(&peer.router).is_some();
        let responding = self.live_peers().filter(|peer| has_responded(peer)).filter(has_recent_copy);
        // Peers of the own zone are preferred, since traffic between zones is charged.
        let prefers_own_zone = !number.is_multiple_of(CROSS_ZONE_SYNC_EVERY);
        let (local, remote): (Vec<_>, Vec<_>) = responding.partition(|peer| peer.zone == self.zone);
        let mut peers = if local.is_empty() || !prefers_own_zone && !remote.is_empty() { remote } else { local };
        if peers.is_empty() {
            peers.extend(self.live_peers());
        }
        let index = usize::try_from(number).unwrap_or(0).checked_rem(peers.len())?;
        peers.get(index).map(|peer| peer.router.clone())
    }

    pub(super) fn live_peers(&self) -> impl Iterator<Item = &Member> {
        self.swim.live().filter(|member| member.router != self.me)
    }

    pub(super) fn send(&self, to: &id::Router, frame: Frame) -> Vec<Effect> {
        // A peer that has never responded may not be running, and opening a stream to it would only block.
        let Some(peer) = self.swim.peer(to).filter(|peer| has_responded(peer)) else {
            return Vec::new();
        };
        vec![Effect::Frame { to: to.clone(), address: peer.address, frame: Box::new(frame) }]
    }
}
