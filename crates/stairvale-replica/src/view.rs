//! A router's copy of the store: its items, its revision and age, and which upstreams are pending, expired or withheld.

mod lookups;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use stairvale_types::{Moment, id};

use crate::{
    Item, Revision, StoreUpdate, Subject, Value,
    item::{State, Upstream},
    restore::{self, WithheldEntries},
};

/// Changes that are kept in order, so that a peer that lags only a little can be updated without a scan of all items.
const LOG_CAPACITY: usize = 512;
/// Tombstones that are kept, so that an update from before a removal doesn't bring the removed item back.
const TOMBSTONE_CAPACITY: usize = 4_096;
/// A router counts as a reader of the store for this long after its last read.
const READER_TIMEOUT: Duration = Duration::from_secs(2);
/// A removal that is read within this time after a store failure is inconclusive, because the store may have let leases
/// expire that were still in use.
const STORE_FAULT_WINDOW: Duration = Duration::from_millis(3_500);
/// Upstreams whose entries were removed while the store was failing are gone if they haven't registered again this long
/// after it recovered.
const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_600);

/// A router's copy of the store.
#[derive(Debug, Default)]
pub struct View {
    /// The store revision that this copy shows, encoded as a [`Revision`] like all revisions in this type.
    revision: u64,
    /// The latest epoch observed, including one of which only router registrations have been received.
    epoch: u64,
    items: BTreeMap<Subject, Item>,
    log: VecDeque<Item>,
    /// Changes up to this revision are no longer in the log.
    log_start: u64,
    /// History up to this revision is compacted: an item that isn't recorded and isn't newer than this has been
    /// removed.
    compacted: u64,
    /// The latest moment at which this copy is known to have been current, in microseconds on this process's clock. It
    /// lies before the process's start if a peer's answer confirmed the copy of a router that has just started.
    fresh_at: Option<i128>,
    /// When the store last failed this router.
    last_store_failure: Option<Moment>,
    /// Whether a restore of the store was observed that isn't recorded as a store failure yet.
    unrecorded_restore: bool,
    /// When this router last read the store.
    last_read: Option<Moment>,
    /// When a peer last reported how long the store hadn't failed a reader of it, and that duration.
    reported_stability: Option<(Moment, Duration)>,
    /// Names of upstreams whose entry is newer than this copy. The pages of a full read aren't a snapshot, so a
    /// roll-out order that is older than the entry may still be missing.
    pending: BTreeSet<id::Upstream>,
    /// Upstreams whose entry was removed while the store was failing, by name.
    expired: BTreeMap<id::Upstream, Upstream>,
    /// Entries that a restore of the store brought back although their upstreams had ended before.
    withheld: WithheldEntries,
    /// Number of items that are tombstones.
    tombstone_count: usize,
    /// Subjects that changed since they were last taken.
    changed: BTreeSet<Subject>,
    /// Incarnations that replaced another one of the same name since they were last taken.
    new_incarnations: Vec<id::Upstream>,
    /// Rises when the routers registered in the store change.
    routers_revision: u64,
}

impl View {
    // ------------------------------------------------------------------------
    // Queries.

    /// The store revision that this copy shows.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The latest epoch of the store that was observed.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// How long ago this copy was last known to be current; `None` if it never was.
    #[must_use]
    pub fn age(&self, now: Moment) -> Option<Duration> {
        let age = self.fresh_at.map(|fresh| (i128::from(now.0) - fresh).max(0))?;
        Some(Duration::from_micros(u64::try_from(age).unwrap_or(u64::MAX)))
    }

    /// Whether this copy was ever known to be current.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.fresh_at.is_some()
    }

    /// How long the store has not failed this router, if this router reads the store itself; otherwise the duration
    /// that a peer recently reported for a reader of the store. That is how a zone learns it from the fleet's reader,
    /// through its watcher. A report only counts if this copy was confirmed to be current equally recently: otherwise
    /// routers would keep repeating to each other that the store is stable when it has since begun to fail.
    #[must_use]
    pub fn stable_for(&self, now: Moment) -> Option<Duration> {
        if self.last_read.is_some_and(|read| now.since(read) < READER_TIMEOUT) {
            return Some(now.since(self.last_store_failure.unwrap_or(Moment::ZERO)));
        }
        self.age(now).filter(|age| *age < READER_TIMEOUT)?;
        self.reported_stability
            .filter(|(reported_at, _)| now.since(*reported_at) < READER_TIMEOUT)
            .map(|(_, stable)| stable)
    }

    /// Number of items and log entries that are kept, tombstones included.
    #[must_use]
    pub fn retained_entries(&self) -> usize {
        self.items.len() + self.log.len()
    }

    /// A counter that rises when the routers registered in the store change.
    #[must_use]
    pub fn routers_revision(&self) -> u64 {
        self.routers_revision
    }

    /// The update that a peer needs whose copy is at `revision`; `None` if it lacks nothing that this copy has.
    #[must_use]
    pub fn since(&self, revision: u64) -> Option<StoreUpdate> {
        let peer = Revision::from(revision);
        let peer_is_empty = peer.number() == 0;
        if self.revision == 0 || !peer_is_empty && revision >= self.revision {
            return None;
        }
        // Changes of one epoch don't follow on those of another: what the peer has beyond the backup from which the
        // store was restored is void.
        if peer_is_empty || peer.epoch() < Revision::from(self.revision).epoch() || revision < self.compacted {
            return Some(self.full_update());
        }
        let later = |item: &&Item| item.revision > revision;
        let items = if revision < self.log_start {
            // Each item holds its last change and removed items leave tombstones, so the missing changes can be
            // collected from the items. In a fleet of 10,000 upstreams they are mostly far smaller than a full update
            // of 0.8 MB.
            self.items.values().filter(later).cloned().collect()
        } else {
            self.log.iter().filter(later).cloned().collect()
        };
        Some(StoreUpdate::Changes { after: revision, to: self.revision, items })
    }

    fn full_update(&self) -> StoreUpdate {
        let present = self.items.values().filter(|item| item.value.is_some());
        StoreUpdate::Everything { to: self.revision, items: present.chain(self.withheld.items()).cloned().collect() }
    }

    // ------------------------------------------------------------------------
    // Changes.

    /// Applies an update that this router read from the store by a call made at `requested_at`. Returns `false` if the
    /// update doesn't follow on this copy's revision, so that a full update is needed, or if it is of an earlier epoch.
    pub fn apply_read(&mut self, now: Moment, requested_at: Moment, mut update: StoreUpdate) -> bool {
        if update.to().epoch() < self.epoch {
            return false;
        }
        self.unrecorded_restore |= self.crosses_restore(&update);
        self.record_restore(now);
        let sure = self.last_store_failure.is_none_or(|failure| now.since(failure) >= STORE_FAULT_WINDOW);
        let (StoreUpdate::Changes { items, .. } | StoreUpdate::Everything { items, .. }) = &mut update;
        for item in items.iter_mut().filter(|item| item.value.is_none()) {
            item.sure = sure;
        }
        self.last_read = Some(now);
        let applied = match update {
            StoreUpdate::Everything { to, items } => {
                self.replace(to, items, sure);
                true
            }
            StoreUpdate::Changes { .. } => self.apply(update),
        };
        if applied {
            self.confirm(requested_at);
        }
        applied
    }

    /// Applies an update from a peer. Returns `false` if it doesn't follow on this copy's revision, so that a full
    /// update is needed. An update of an earlier epoch is dropped.
    pub fn apply(&mut self, update: StoreUpdate) -> bool {
        let epoch = update.to().epoch();
        if epoch < self.epoch && update.to() > Revision::default() {
            return true;
        }
        let restored = self.crosses_restore(&update);
        match update {
            StoreUpdate::Changes { after, to, items } => {
                if after > self.revision || restored {
                    return false;
                }
                for item in items {
                    self.upsert(item);
                }
                self.revision = self.revision.max(to);
                self.use_pending();
            }
            StoreUpdate::Everything { to, items } => {
                if restored {
                    // These durations without failures were observed on the store before its restore.
                    (self.reported_stability, self.last_read, self.unrecorded_restore) = (None, None, true);
                }
                self.replace(to, items, !restored);
            }
        }
        true
    }

    /// Records an observed restore as a store failure: upstreams whose registrations were lost with the last seconds
    /// before the restore register again, as after an outage.
    fn record_restore(&mut self, now: Moment) {
        if std::mem::take(&mut self.unrecorded_restore) {
            self.record_store_failure(now);
        }
    }

    /// Whether an update shows the store after a restore that this copy hasn't observed yet.
    fn crosses_restore(&self, update: &StoreUpdate) -> bool {
        self.revision > 0 && update.to().epoch() > Revision::from(self.revision).epoch()
    }

    /// Records that this copy was current at `moment`.
    pub fn confirm(&mut self, moment: Moment) {
        self.confirm_by_peer(moment, Duration::ZERO);
    }

    /// Records that a peer, queried at `requested_at`, answered that the same copy had been current `age` before its
    /// answer.
    pub fn confirm_by_peer(&mut self, requested_at: Moment, age: Duration) {
        let age = i128::try_from(age.as_micros()).unwrap_or(i128::MAX);
        self.fresh_at = self.fresh_at.max(Some(i128::from(requested_at.0).saturating_sub(age)));
    }

    /// Records that the store failed this router at `moment`.
    pub fn record_store_failure(&mut self, moment: Moment) {
        self.last_store_failure = self.last_store_failure.max(Some(moment));
    }

    /// Advances time: releases withheld entries that are due, and drops expired upstreams that didn't register again
    /// after the store recovered. Returns whether anything changed.
    pub fn tick(&mut self, now: Moment) -> bool {
        self.record_restore(now);
        let released = self.withheld.release(now);
        let any = !released.is_empty();
        for item in released {
            self.insert(item);
        }
        self.drop_expired(self.stable_for(now)) || any
    }

    /// Records a peer's report of how long the store hadn't failed the reader that the peer gets its updates from.
    pub fn set_reported_stability(&mut self, now: Moment, stable: Duration) {
        self.reported_stability = Some((now, stable));
    }

    /// Drops expired upstreams if the store hasn't failed one of its readers for long enough. `stable` is that
    /// duration, `None` if it is unknown. Returns whether upstreams were dropped.
    pub fn drop_expired(&mut self, stable: Option<Duration>) -> bool {
        if self.expired.is_empty() || stable.is_none_or(|stable| stable < REREGISTRATION_GRACE) {
            return false;
        }
        let dropped = std::mem::take(&mut self.expired);
        self.changed.extend(dropped.into_keys().map(Subject::Upstream));
        true
    }

    /// Returns the subjects that changed since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<Subject> {
        std::mem::take(&mut self.changed)
    }

    /// Returns the incarnations that replaced another one of the same name since the last call.
    pub fn take_new_incarnations(&mut self) -> Vec<id::Upstream> {
        std::mem::take(&mut self.new_incarnations)
    }

    fn replace(&mut self, to: u64, mut items: Vec<Item>, sure: bool) {
        if Revision::from(to).epoch() > self.epoch {
            restore::carry_over_rollouts(self, to.into(), &mut items);
        }
        let listed: BTreeSet<_> = items.iter().map(|item| item.subject.clone()).collect();
        let present = self.items.values().filter(|item| item.value.is_some() && item.revision <= to);
        let missing: Vec<_> = present.map(|item| item.subject.clone()).filter(|s| !listed.contains(s)).collect();
        for item in items {
            self.upsert(item);
        }
        for subject in missing {
            // The configuration and the records of roll-outs are never removed from the store, so a list without them
            // is incomplete or contains one that can't be read.
            if subject != Subject::Configuration && !matches!(subject, Subject::Rollout(_)) {
                self.upsert(Item { subject, revision: to, value: None, sure });
            }
        }
        if to > self.revision {
            self.revision = to;
            self.epoch = self.epoch.max(Revision::from(to).epoch());
            (self.log_start, self.compacted) = (to, to);
            self.log.clear();
        }
        self.use_pending();
    }

    /// Puts pending upstreams into use whose entries this copy is now as new as.
    fn use_pending(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        let (items, revision) = (&self.items, self.revision);
        let is_pending =
            |id: &id::Upstream| items.get(&Subject::Upstream(id.clone())).is_some_and(|item| item.revision > revision);
        let (pending, caught_up) = std::mem::take(&mut self.pending).into_iter().partition(is_pending);
        self.pending = pending;
        self.changed.extend(<BTreeSet<_>>::into_iter(caught_up).map(Subject::Upstream));
    }

    fn upsert(&mut self, mut item: Item) {
        self.epoch = self.epoch.max(Revision::from(item.revision).epoch());
        let old = self.items.get(&item.subject);
        // An item that compacted history covers and that isn't recorded has been removed since.
        if item.revision <= self.compacted || old.is_some_and(|old| old.revision >= item.revision) {
            self.confirm_removal(&item);
            return;
        }
        let of_earlier_epoch =
            old.filter(|old| Revision::from(old.revision).epoch() < Revision::from(item.revision).epoch());
        if let Some(old) = of_earlier_epoch {
            restore::carry_over(old, &mut item);
            if self.withheld.withhold(old, &item) || old.value == item.value {
                self.update_revision(item);
                return;
            }
        }
        if let Some(Value::Configuration(document)) = &item.value
            && self.document().is_some_and(|current| current.version >= document.version)
        {
            self.update_revision(item);
            return;
        }
        if let Subject::Upstream(id) = &item.subject {
            let old = old.and_then(|old| old.value.clone());
            if let (Some(Value::Upstream(previous)), Some(Value::Upstream(current))) = (&old, &item.value)
                && previous.id != current.id
            {
                self.new_incarnations.push(current.id.clone());
            }
            if item.value.is_none() {
                self.pending.remove(id);
            } else if old.is_none() && !self.expired.contains_key(id) && item.revision > self.revision {
                // A later change of an upstream already in use needn't wait, because an incarnation has one version.
                self.pending.insert(id.clone());
            }
            self.track_expiry(id, old, &item);
        }
        self.insert(item);
    }

    /// Records a later revision of an unchanged item, which peers and callers needn't be notified of.
    fn update_revision(&mut self, item: Item) {
        self.items.entry(item.subject).and_modify(|stored| stored.revision = item.revision);
    }

    fn insert(&mut self, item: Item) {
        self.log.push_back(item.clone());
        while self.log.len() > LOG_CAPACITY {
            if let Some(dropped) = self.log.pop_front() {
                self.log_start = self.log_start.max(dropped.revision);
            }
        }
        self.routers_revision += u64::from(matches!(item.subject, Subject::Router(_)));
        self.changed.insert(item.subject.clone());
        self.tombstone_count += usize::from(item.value.is_none());
        let previous = self.items.insert(item.subject.clone(), item);
        self.tombstone_count -= usize::from(previous.is_some_and(|previous| previous.value.is_none()));
        if self.tombstone_count > TOMBSTONE_CAPACITY {
            self.compact();
        }
    }

    /// Drops the older half of the tombstones, because upstreams come and go for as long as a router runs.
    fn compact(&mut self) {
        let tombstones = self.items.values().filter(|item| item.value.is_none());
        let mut revisions: Vec<_> = tombstones.map(|item| item.revision).collect();
        revisions.sort_unstable();
        let oldest_kept = revisions[revisions.len() / 2];
        self.compacted = self.compacted.max(oldest_kept);
        self.items.retain(|_, item| item.value.is_some() || item.revision > oldest_kept);
        self.tombstone_count = self.items.values().filter(|item| item.value.is_none()).count();
    }

    /// Keeps an upstream whose entry was removed while the store was failing, because that removal is inconclusive. An
    /// upstream that was draining before isn't kept.
    fn track_expiry(&mut self, id: &id::Upstream, old: Option<Value>, item: &Item) {
        self.withheld.record_change(id, old.as_ref(), item);
        if item.value.is_some() || item.sure {
            self.expired.remove(id);
            return;
        }
        if let Some(Value::Upstream(upstream)) = old
            && upstream.state == State::Ready
        {
            self.expired.insert(id.clone(), upstream);
        }
    }

    /// Drops an expired upstream if a reader that the store didn't fail confirms that its entry was removed.
    fn confirm_removal(&mut self, item: &Item) {
        if let Subject::Upstream(id) = &item.subject
            && item.value.is_none()
            && item.sure
            && self.items.get(&item.subject).is_some_and(|stored| stored.revision == item.revision)
            && self.expired.remove(id).is_some()
        {
            self.changed.insert(item.subject.clone());
        }
    }
}
