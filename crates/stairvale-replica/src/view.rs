//! The copy itself, and how much of it is to be believed.

mod lookups;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use stairvale_types::{Moment, id};

use crate::{
    Item, News, Revision, Subject, Value,
    item::{State, Upstream},
    restore::{self, Withheld},
};

/// Changes that are kept in order, to tell peers that lag a little without a look at all items.
const LOG_CAPACITY: usize = 512;
/// Things that are gone of which that is remembered, so that news as old as from before doesn't bring them back.
const TOMBSTONE_CAPACITY: usize = 4_096;
/// Who read the store this recently reads it now.
const READING: Duration = Duration::from_secs(2);
/// A store that failed this recently may have let leases run out that it shouldn't have.
const DISTURBED: Duration = Duration::from_millis(3_500);
/// Upstreams that lapsed with the store are back this long after its return, or they are gone.
const RETURN: Duration = Duration::from_millis(2_600);

/// A router's copy of what the store says.
#[derive(Debug, Default)]
pub struct View {
    /// As [`Revision`] has it, like all revisions here.
    revision: u64,
    /// The latest epoch that was seen, also where nothing but names of routers is known of it.
    epoch: u64,
    items: BTreeMap<Subject, Item>,
    log: VecDeque<Item>,
    /// Changes up to this revision are no longer in the log.
    log_start: u64,
    /// History up to this revision is compacted: what isn't known and isn't newer has gone.
    compacted: u64,
    /// The moment at which this copy is known to have been the newest, in microseconds on this process's clock: before its
    /// start where a peer told a router that has just started.
    fresh: Option<i128>,
    /// When the store failed this router last.
    disturbed: Option<Moment>,
    /// Whether a peer told of a restore since time was told last.
    restored: bool,
    /// When this router read the store last.
    read: Option<Moment>,
    /// How long the store hadn't failed a reader of it, and when this router was told.
    told_stable: Option<(Moment, Duration)>,
    /// Names of upstreams that came with an entry newer than this copy: the pages of a whole read are no snapshot, so an order that is
    /// older than they are may still be missing.
    pending: BTreeSet<id::Upstream>,
    /// Upstreams whose entry vanished while the store was disturbed, by name.
    lapsed: BTreeMap<id::Upstream, Upstream>,
    /// Entries of upstreams that had ended before the store was restored with them.
    withheld: Withheld,
    /// How many of the items say that something is gone.
    tombstones: usize,
    /// What changed since that was asked for last.
    changed: BTreeSet<Subject>,
    /// Lives that began under a name that stood for another one, since that was asked for last.
    begun: Vec<id::Upstream>,
    /// Rises when the routers change that the store names.
    names: u64,
}

impl View {
    // ------------------------------------------------------------------------
    // Queries.

    /// The store's revision that this copy shows.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The latest epoch of the store that was seen.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// How long ago this copy is known to have been the newest; `None` if it never was.
    #[must_use]
    pub fn age(&self, now: Moment) -> Option<Duration> {
        let age = self.fresh.map(|fresh| (i128::from(now.0) - fresh).max(0))?;
        Some(Duration::from_micros(u64::try_from(age).unwrap_or(u64::MAX)))
    }

    /// Whether this copy was ever known to be the newest.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.fresh.is_some()
    }

    /// How long the store has not failed this router, if it reads the store itself, or else a reader of whom it was told a
    /// moment ago: a zone hears of the fleet's reader through its watcher. What was told counts only beside a copy that somebody
    /// read lately, or routers would tell each other for good of a store that fails by now.
    #[must_use]
    pub fn stable_for(&self, now: Moment) -> Option<Duration> {
        if self.read.is_some_and(|read| now.since(read) < READING) {
            return Some(now.since(self.disturbed.unwrap_or(Moment::ZERO)));
        }
        self.age(now).filter(|age| *age < READING)?;
        self.told_stable.filter(|(told, _)| now.since(*told) < READING).map(|(_, stable)| stable)
    }

    /// How many things are remembered, those that are gone included.
    #[must_use]
    pub fn remembered(&self) -> usize {
        self.items.len() + self.log.len()
    }

    /// A number that rises when the routers change that the store names.
    #[must_use]
    pub fn names(&self) -> u64 {
        self.names
    }

    /// What a peer needs whose copy shows `revision`; `None` if it lacks nothing.
    #[must_use]
    pub fn since(&self, revision: u64) -> Option<News> {
        let since = Revision::from(revision);
        let knows_nothing = since.number() == 0;
        if self.revision == 0 || !knows_nothing && revision >= self.revision {
            return None;
        }
        // Of two epochs no change follows on another: what the peer has beyond the copy that the store was restored from is void.
        if knows_nothing || since.epoch() < Revision::from(self.revision).epoch() || revision < self.compacted {
            return Some(self.everything());
        }
        let later = |item: &&Item| item.revision > revision;
        let items = if revision < self.log_start {
            // Each item has its last change, and those that went are remembered: in a fleet of 10,000 upstreams what a peer lacks is
            // mostly far less than everything, 0.8 MB.
            self.items.values().filter(later).cloned().collect()
        } else {
            self.log.iter().filter(later).cloned().collect()
        };
        Some(News::Changes { after: revision, to: self.revision, items })
    }

    fn everything(&self) -> News {
        let standing = self.items.values().filter(|item| item.value.is_some());
        News::Everything { to: self.revision, items: standing.chain(self.withheld.items()).cloned().collect() }
    }

    // ------------------------------------------------------------------------
    // Changes.

    /// Takes what this router read itself, by a call made at `asked`; `false` as [`View::take`], or if it is of an earlier epoch.
    pub fn read(&mut self, now: Moment, asked: Moment, mut news: News) -> bool {
        if news.to().epoch() < self.epoch {
            return false;
        }
        self.restored |= self.is_restored_by(&news);
        self.note_restore(now);
        let sure = self.disturbed.is_none_or(|disturbed| now.since(disturbed) >= DISTURBED);
        let (News::Changes { items, .. } | News::Everything { items, .. }) = &mut news;
        for item in items.iter_mut().filter(|item| item.value.is_none()) {
            item.sure = sure;
        }
        self.read = Some(now);
        let taken = match news {
            News::Everything { to, items } => {
                self.replace(to, items, sure);
                true
            }
            News::Changes { .. } => self.take(news),
        };
        if taken {
            self.confirm(asked);
        }
        taken
    }

    /// Takes news from a peer; `false` if they don't follow on what is known, so that everything is needed. News of an earlier epoch
    /// is dropped.
    pub fn take(&mut self, news: News) -> bool {
        let epoch = news.to().epoch();
        if epoch < self.epoch && news.to() > Revision::default() {
            return true;
        }
        let restored = self.is_restored_by(&news);
        match news {
            News::Changes { after, to, items } => {
                if after > self.revision || restored {
                    return false;
                }
                for item in items {
                    self.put(item);
                }
                self.revision = self.revision.max(to);
                self.catch_up();
            }
            News::Everything { to, items } => {
                if restored {
                    // What was told of a store without failures was told of the one before.
                    (self.told_stable, self.read, self.restored) = (None, None, true);
                }
                self.replace(to, items, !restored);
            }
        }
        true
    }

    /// What was registered in the lost seconds is written again, as after an outage.
    fn note_restore(&mut self, now: Moment) {
        if std::mem::take(&mut self.restored) {
            self.disturb(now);
        }
    }

    /// Whether news shows the store after a restore that this copy doesn't know of.
    fn is_restored_by(&self, news: &News) -> bool {
        self.revision > 0 && news.to().epoch() > Revision::from(self.revision).epoch()
    }

    /// This copy is known to have been the newest at `moment`.
    pub fn confirm(&mut self, moment: Moment) {
        self.confirm_by_peer(moment, Duration::ZERO);
    }

    /// A peer that was asked at `asked` said that the same copy was the newest `age` before its answer.
    pub fn confirm_by_peer(&mut self, asked: Moment, age: Duration) {
        let age = i128::try_from(age.as_micros()).unwrap_or(i128::MAX);
        self.fresh = self.fresh.max(Some(i128::from(asked.0).saturating_sub(age)));
    }

    /// The store failed this router at `moment`.
    pub fn disturb(&mut self, moment: Moment) {
        self.disturbed = self.disturbed.max(Some(moment));
    }

    /// Lets time pass: upstreams that didn't come back after the store did are gone. Tells whether any went.
    pub fn tick(&mut self, now: Moment) -> bool {
        self.note_restore(now);
        let released = self.withheld.release(now);
        let any = !released.is_empty();
        for item in released {
            self.insert(item);
        }
        self.settle_lapses(self.stable_for(now)) || any
    }

    /// A peer said how long the store hadn't failed whoever it hears of the store from.
    pub fn tell_stable(&mut self, now: Moment, stable: Duration) {
        self.told_stable = Some((now, stable));
    }

    /// A reader of the store hasn't been failed by it for this long; `None` says nothing. Tells whether upstreams went.
    pub fn settle_lapses(&mut self, stable: Option<Duration>) -> bool {
        if self.lapsed.is_empty() || stable.is_none_or(|stable| stable < RETURN) {
            return false;
        }
        let gone = std::mem::take(&mut self.lapsed);
        self.changed.extend(gone.into_keys().map(Subject::Upstream));
        true
    }

    /// What changed since this was called last.
    pub fn take_changed(&mut self) -> BTreeSet<Subject> {
        std::mem::take(&mut self.changed)
    }

    /// Lives that began under a name that stood for another one, since this was called last.
    pub fn take_begun(&mut self) -> Vec<id::Upstream> {
        std::mem::take(&mut self.begun)
    }

    fn replace(&mut self, to: u64, mut items: Vec<Item>, sure: bool) {
        if Revision::from(to).epoch() > self.epoch {
            restore::carry_over_rollouts(self, to.into(), &mut items);
        }
        let named: BTreeSet<_> = items.iter().map(|item| item.subject.clone()).collect();
        let known = self.items.values().filter(|item| item.value.is_some() && item.revision <= to);
        let missing: Vec<_> = known.map(|item| item.subject.clone()).filter(|s| !named.contains(s)).collect();
        for item in items {
            self.put(item);
        }
        for subject in missing {
            // The configuration and the records of roll-outs are never taken away, so a list without them is incomplete, or has one
            // that can't be read.
            if subject != Subject::Configuration && !matches!(subject, Subject::Rollout(_)) {
                self.put(Item { subject, revision: to, value: None, sure });
            }
        }
        if to > self.revision {
            self.revision = to;
            self.epoch = self.epoch.max(Revision::from(to).epoch());
            (self.log_start, self.compacted) = (to, to);
            self.log.clear();
        }
        self.catch_up();
    }

    /// Upstreams count from now on whose entries this copy is as new as.
    fn catch_up(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        let (items, revision) = (&self.items, self.revision);
        let waits =
            |id: &id::Upstream| items.get(&Subject::Upstream(id.clone())).is_some_and(|item| item.revision > revision);
        let (pending, seen) = std::mem::take(&mut self.pending).into_iter().partition(waits);
        self.pending = pending;
        self.changed.extend(<BTreeSet<_>>::into_iter(seen).map(Subject::Upstream));
    }

    fn put(&mut self, mut item: Item) {
        self.epoch = self.epoch.max(Revision::from(item.revision).epoch());
        let old = self.items.get(&item.subject);
        // What a whole copy was as new as, and isn't known by it, has gone since.
        if item.revision <= self.compacted || old.is_some_and(|old| old.revision >= item.revision) {
            self.confirm_removal(&item);
            return;
        }
        let crosses = old.filter(|old| Revision::from(old.revision).epoch() < Revision::from(item.revision).epoch());
        if let Some(old) = crosses {
            restore::carry_over(old, &mut item);
            if self.withheld.takes(old, &item) || old.value == item.value {
                self.restamp(item);
                return;
            }
        }
        if let Some(Value::Configuration(document)) = &item.value
            && self.document().is_some_and(|known| known.version >= document.version)
        {
            self.restamp(item);
            return;
        }
        if let Subject::Upstream(id) = &item.subject {
            let old = old.and_then(|old| old.value.clone());
            if let (Some(Value::Upstream(earlier)), Some(Value::Upstream(present))) = (&old, &item.value)
                && earlier.id != present.id
            {
                self.begun.push(present.id.clone());
            }
            if item.value.is_none() {
                self.pending.remove(id);
            } else if old.is_none() && !self.lapsed.contains_key(id) && item.revision > self.revision {
                // A later change of one that counts needn't wait: a life has one version.
                self.pending.insert(id.clone());
            }
            self.lapse(id, old, &item);
        }
        self.insert(item);
    }

    /// Notes a later revision of what is known already, of which nobody needs to be told.
    fn restamp(&mut self, item: Item) {
        self.items.entry(item.subject).and_modify(|known| known.revision = item.revision);
    }

    fn insert(&mut self, item: Item) {
        self.log.push_back(item.clone());
        while self.log.len() > LOG_CAPACITY {
            if let Some(dropped) = self.log.pop_front() {
                self.log_start = self.log_start.max(dropped.revision);
            }
        }
        self.names += u64::from(matches!(item.subject, Subject::Router(_)));
        self.changed.insert(item.subject.clone());
        self.tombstones += usize::from(item.value.is_none());
        let before = self.items.insert(item.subject.clone(), item);
        self.tombstones -= usize::from(before.is_some_and(|before| before.value.is_none()));
        if self.tombstones > TOMBSTONE_CAPACITY {
            self.compact();
        }
    }

    /// Forgets the older half of what is gone: upstreams come and go for as long as a router runs.
    fn compact(&mut self) {
        let gone = self.items.values().filter(|item| item.value.is_none());
        let mut revisions: Vec<_> = gone.map(|item| item.revision).collect();
        revisions.sort_unstable();
        let oldest_kept = revisions[revisions.len() / 2];
        self.compacted = self.compacted.max(oldest_kept);
        self.items.retain(|_, item| item.value.is_some() || item.revision > oldest_kept);
        self.tombstones = self.items.values().filter(|item| item.value.is_none()).count();
    }

    /// An entry that vanishes while the store is disturbed says nothing yet; one that was leaving stays so.
    fn lapse(&mut self, id: &id::Upstream, old: Option<Value>, item: &Item) {
        self.withheld.note(id, old.as_ref(), item);
        if item.value.is_some() || item.sure {
            self.lapsed.remove(id);
            return;
        }
        if let Some(Value::Upstream(upstream)) = old
            && upstream.state == State::Ready
        {
            self.lapsed.insert(id.clone(), upstream);
        }
    }

    /// Somebody whom the store didn't fail says the same of an entry that went.
    fn confirm_removal(&mut self, item: &Item) {
        if let Subject::Upstream(id) = &item.subject
            && item.value.is_none()
            && item.sure
            && self.items.get(&item.subject).is_some_and(|known| known.revision == item.revision)
            && self.lapsed.remove(id).is_some()
        {
            self.changed.insert(item.subject.clone());
        }
    }
}
