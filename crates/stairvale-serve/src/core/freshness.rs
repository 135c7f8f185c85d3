//! How fresh this router's copy of the store is, and whom it asks.

use std::{collections::BTreeSet, time::Duration};

use stairvale_placement::{mix, pick};
use stairvale_replica::{Item, News, Revision};
use stairvale_types::{Moment, id};
use stairvale_wire::Member;

use super::{Core, Effect, is_heard, naming};
use crate::frame::{Frame, Sync};

/// A question about freshness is remembered this long.
const ASKED: Duration = Duration::from_secs(5);
/// A router whose word on the store was too old isn't relied upon as a watcher for this long.
const WATCHER_BACKOFF: Duration = Duration::from_secs(3);

/// A router that becomes its zone's watcher waits as long as any other for what it is told, for this long: two questions to the
/// fleet's reader.
const NEW_WATCHER: Duration = Duration::from_millis(500);

/// A zone's watcher that has just started asks the store for what is new if nobody has told it by then: some round trips to
/// peers and back, so that a start usually costs the store no such call.
const WATCHER_READ_DELAY: Duration = Duration::from_millis(50);
/// Any other router asks after this long and up to twice as long, by its name: not all at once, and after its watcher could.
const FIRST_READ_DELAY: Duration = Duration::from_millis(300);
/// Everything is asked for, and told to one router, this often: before 3,000 upstreams it is 200 KB and more, a quarter of a second of a
/// small VM's link. A router that starts asks each 50 ms how fresh copies are, and its watcher may have a hundred such at once.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(1_000);
/// A router that knows the names waits this long for a peer's copy before it reads the store itself: some times what the first of
/// a zone needs to read it, and the others to be told.
const PEERS: Duration = Duration::from_millis(400);
/// Until this long after its start a router asks for everything only those of its own zone that the store names: what comes from
/// another one crosses zones, where each byte costs.
const CROSS_ZONE_SNAPSHOT_DELAY: Duration = Duration::from_millis(200);
/// A router asks for others that it doesn't know this often. When all start at once nobody knows all of them for a second, and
/// whoever asked each time would be told of most of them twenty times: 8 MB for a hundred routers, growing with their square.
const MEMBERS: Duration = Duration::from_millis(400);
/// Who knows fewer routers by more than one in this many is told all of them; gossip brings the others.
const LACKING_SHARE: usize = 8;

/// One question to any router in this many goes to another zone, where there are routers in its own.
const CROSS_ZONE_EVERY: u64 = 3;

/// How this router reads the store now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reading {
    /// The names of routers alone, as they were up to some seconds ago: enough to find a peer that has a copy.
    Names,
    /// All of it, as it was up to some seconds ago: cheap, and enough to begin with.
    Stale,
    /// What is new, waiting for it this long.
    Changes(Duration),
}

impl Core {
    // ------------------------------------------------------------------------
    // Who reads the store.

    /// Whether and how this router reads the store now. One in the fleet reads all the time; a zone's watcher that it keeps
    /// waiting, and others that hear too little, ask once and needn't wait.
    #[must_use]
    pub fn reading(&self, now: Moment) -> Option<Reading> {
        if self.view.revision() == 0 {
            return self.first_reading(now);
        }
        if self.is_reader(now) {
            // Who takes over with an old copy, or one that was never known to be the newest, makes it so before it waits for
            // more: others would hold its age against it.
            let old = !self.view.is_confirmed() || self.is_older(now, self.bounds.watch() * 2);
            return Some(Reading::Changes(if old { Duration::ZERO } else { self.bounds.watch() }));
        }
        self.is_older(now, self.patience(now)).then_some(Reading::Changes(Duration::ZERO))
    }

    /// How a router begins: with the names. One of each zone then reads all of it, and the others take that one's copy, which
    /// comes within the zone and is a fifth as large.
    fn first_reading(&self, now: Moment) -> Option<Reading> {
        let Some(read) = self.names_read else {
            return Some(Reading::Names);
        };
        let alone = self.view.routers().next().is_none() || self.is_watcher();
        (alone || now.since(read) >= PEERS).then_some(Reading::Stale)
    }

    /// The names of routers were read as they were a while ago.
    pub fn read_names(&mut self, now: Moment, items: Vec<Item>) -> Vec<Effect> {
        self.names_read = Some(now);
        if !self.view.take(News::Changes { after: 0, to: 0, items }) {
            return Vec::new();
        }
        let mut effects = self.refresh(now);
        effects.extend(self.sync(now));
        effects
    }

    /// Whether this router reads the store for the fleet.
    #[must_use]
    pub fn is_reader(&self, now: Moment) -> bool {
        self.roles.leader.as_ref() == Some(&self.me) && self.has_met(now)
    }

    /// Whether the other routers of its zone hear of the store from this one.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        self.watcher().as_ref() == Some(&self.me)
    }

    /// How old this router's copy may grow before it reads the store itself.
    fn patience(&self, now: Moment) -> Duration {
        let watcher = self.is_watcher();
        if self.view.is_confirmed() {
            // A new watcher was told by the last one, and may have a copy as old as that one let it become: the fleet's reader, whom it
            // asks now, has a newer one.
            let is_new = self.watcher_since.is_some_and(|since| now.since(since) < NEW_WATCHER);
            let watcher = watcher && !is_new;
            return if watcher { self.bounds.late() } else { self.bounds.stale() };
        }
        let meeting = if self.view.routers().next().is_some() { Duration::ZERO } else { naming::JOIN };
        meeting + if watcher { WATCHER_READ_DELAY } else { FIRST_READ_DELAY.mul_f64(1.0 + self.share()) }
    }

    /// Whether this router's copy is older than this; one that was never known to be the newest is as old as the process.
    pub(super) fn is_older(&self, now: Moment, limit: Duration) -> bool {
        self.view.age(now).unwrap_or_else(|| self.life(now)) > limit
    }

    // ------------------------------------------------------------------------
    // Who is asked how fresh this copy is.

    /// Asks those who read the store; who knows nothing yet asks anybody.
    pub(super) fn sync(&mut self, now: Moment) -> Vec<Effect> {
        self.syncs.retain(|_, asked| now.since(*asked) < ASKED);
        let blind = self.blind.len();
        self.blind.retain(|_, until| *until > now);
        self.blind_changes += u64::from(self.blind.len() != blind);
        self.assign(now);
        self.judge_informant(now);
        let after = self.view.revision();
        let knows_nothing = Revision::from(after).number() == 0;
        let mut to = Vec::new();
        to.extend(self.giver().filter(|_| knows_nothing));
        to.extend(self.informant().filter(|informant| informant != &self.me));
        let old = self.bounds.stale() * 3 / 4;
        if self.view.age(now).is_none_or(|age| age > old) {
            to.extend(self.any_peer());
        }
        let mut asked = BTreeSet::new();
        to.retain(|peer| asked.insert(peer.clone()));
        if knows_nothing && !to.is_empty() {
            // Each of them in turn is asked for everything first: one may know as little as this router.
            let first = self.wholes % to.len();
            to.rotate_left(first);
        }
        to.iter().flat_map(|peer| self.sync_with(now, peer, after)).collect()
    }

    /// One that was relied upon for long enough and let this copy grow old is passed over. One that only just took over
    /// isn't blamed for what the last one left, or routers would go on choosing different ones.
    pub(super) fn judge_informant(&mut self, now: Moment) {
        let (informant, patience) = (self.informant(), self.patience(now));
        if self.relied.as_ref().map(|(relied, _)| relied) != informant.as_ref() {
            self.relied = informant.map(|informant| (informant, now));
        }
        if let Some((informant, since)) = &self.relied
            && self.is_older(now, patience)
            && now.since(*since) >= patience
        {
            self.blind.insert(informant.clone(), now + WATCHER_BACKOFF);
            self.blind_changes += 1;
            self.assign(now);
        }
    }

    pub(super) fn sync_with(&mut self, now: Moment, peer: &id::Router, after: u64) -> Vec<Effect> {
        self.number = self.number.wrapping_add(1);
        self.syncs.insert(self.number, now);
        // Who knows nothing reads the store itself; where that fails, a peer's copy comes instead, from one at a time.
        let whole = Revision::from(after).number() == 0;
        // One that isn't named may have started a moment ago, and doesn't answer whom it hasn't heard of.
        let near = |member: &Member| member.zone == self.zone && self.view.router(&member.router).is_some();
        let fits = |member: &Member| near(member) || self.life(now) >= CROSS_ZONE_SNAPSHOT_DELAY;
        let heard = self.swim.peer(peer).is_some_and(|member| is_heard(member) && fits(member));
        let mut after = (!whole || heard && self.next_whole <= now).then_some(after);
        if whole && after.is_some() {
            if !std::mem::take(&mut self.asks_plainly) {
                (self.epoch_asked, after) = (Some(self.number), Some(Revision::BEFORE_ALL.into()));
            }
            self.next_whole = now + SNAPSHOT_INTERVAL;
            self.wholes = self.wholes.wrapping_add(1);
        }
        let wants = self.next_members <= now;
        if wants {
            self.next_members = now + MEMBERS;
        }
        let routers = wants.then(|| self.routers());
        self.send(peer, Frame::Sync(Sync { number: self.number, after, routers }))
    }

    /// A peer asks. Who doesn't know yet how fresh its own copy is answers as soon as it does: when all start at once, each is
    /// told in the moment in which its watcher is.
    pub(super) fn asked_to_sync(&mut self, now: Moment, from: &id::Router, sync: Sync) -> Vec<Effect> {
        if !self.view.is_confirmed() {
            // By then it will have a copy, or asks again.
            let lags = |after: &u64| Revision::from(*after).number() > 0;
            self.askers.insert(from.clone(), Sync { after: sync.after.filter(lags), ..sync });
        }
        self.note_epochs(from, &sync);
        let after = sync.after.map(|after| self.in_own_epoch(after));
        let news = after.and_then(|after| self.view.since(after));
        let lags = after.is_some_and(|after| Revision::from(after).number() > 0);
        let news = news.filter(|news| matches!(news, News::Changes { .. }) || !lags || self.may_tell_all(now, from));
        let few = sync.routers.is_some_and(|known| known + known / LACKING_SHARE < self.routers());
        let (news, revision) = if self.knows_epochs(from) {
            (news, self.view.revision())
        } else {
            (news.map(News::without_epochs), Revision::from(self.view.revision()).number())
        };
        let frame = Frame::Synced {
            number: sync.number,
            age: self.view.age(now),
            revision,
            calm: self.view.stable_for(now),
            news,
            knows_fleet: self.knows_fleet(now),
            members: if few { self.swim.told() } else { Vec::new() },
        };
        self.send(from, frame)
    }

    /// Whether a router that lags may be told everything: not while the last time is on its way to it.
    fn may_tell_all(&mut self, now: Moment, to: &id::Router) -> bool {
        self.told_all.retain(|_, at| now.since(*at) < SNAPSHOT_INTERVAL);
        let may = !self.told_all.contains_key(to);
        if may {
            self.told_all.insert(to.clone(), now);
        }
        may
    }

    /// Answers those who asked before this router knew how fresh its copy is.
    pub(super) fn answer_askers(&mut self, now: Moment) -> Vec<Effect> {
        if !self.view.is_confirmed() {
            return Vec::new();
        }
        let askers = std::mem::take(&mut self.askers);
        askers.into_iter().flat_map(|(asker, sync)| self.asked_to_sync(now, &asker, sync)).collect()
    }

    /// The peer's copy was the newest `age` before it answered, which was after it was asked.
    pub(super) fn synced(
        &mut self,
        now: Moment,
        number: u64,
        age: Option<Duration>,
        revision: u64,
        calm: Option<Duration>,
        news: Option<News>,
    ) -> Vec<Effect> {
        let Some(asked) = self.syncs.get(&number).copied() else {
            return Vec::new();
        };
        if age.is_some() {
            // One that didn't know it may answer once more.
            self.syncs.remove(&number);
        }
        if revision == 0 {
            // It knows nothing either, so the next one is asked.
            self.next_whole = now;
        } else if self.epoch_asked == Some(number) && news.is_none() && Revision::from(revision).epoch() == 0 {
            (self.asks_plainly, self.next_whole) = (true, now);
        }
        let confirmed = self.view.is_confirmed();
        let mut changed = false;
        if let Some(news) = news {
            if !self.view.take(news) {
                return Vec::new();
            }
            changed = true;
        }
        // A peer that is behind says nothing about this copy, and nor does one that is ahead and didn't tell what is new.
        if revision == self.view.revision() {
            if let Some(calm) = calm {
                self.view.tell_stable(now, calm);
            }
            changed |= self.view.settle_lapses(calm);
            if let Some(age) = age {
                self.view.confirm_by_peer(asked, age);
            }
        }
        changed |= self.view.is_confirmed() != confirmed;
        if changed { self.refresh(now) } else { Vec::new() }
    }

    /// Whom this router takes all of the store from when it has started: one of the strong ones of its zone, which so share what
    /// hundreds that start at once are to be told. Another one each time, since that one may know as little.
    fn giver(&self) -> Option<id::Router> {
        let strong = self.strong(self.present().filter(|member| member.zone == self.zone && member.router != self.me));
        pick(mix(self.me.hash64(), self.number), strong.into_iter()).cloned()
    }

    pub(super) fn any_peer(&mut self) -> Option<id::Router> {
        self.number = self.number.wrapping_add(1);
        let number = self.number;
        // Of those that are named many have the newest copy, also when all have just started.
        let named = |peer: &&Member| self.view.is_confirmed() || self.view.router(&peer.router).is_some();
        let heard = self.live_peers().filter(|peer| is_heard(peer)).filter(named);
        // Mostly one of its own zone, if there is one: what crosses zones costs.
        let near = !number.is_multiple_of(CROSS_ZONE_EVERY);
        let (here, beyond): (Vec<_>, Vec<_>) = heard.partition(|peer| peer.zone == self.zone);
        let mut peers = if here.is_empty() || !near && !beyond.is_empty() { beyond } else { here };
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
        // A stream to one that may not run would be opened in vain, and wait for it.
        let Some(peer) = self.swim.peer(to).filter(|peer| is_heard(peer)) else {
            return Vec::new();
        };
        vec![Effect::Frame { to: to.clone(), address: peer.address, frame: Box::new(frame) }]
    }
}
