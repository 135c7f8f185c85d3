//! One engine's account: what it runs, by the word of those who run it there.

use std::{collections::HashMap, time::Duration};

use stairvale_admission::{Pace, Queue, Shares};
use stairvale_types::{Moment, id};
use stairvale_wire::Ask;

/// A permit that its entry hasn't renewed for this long is taken back.
pub const PERMIT_TTL: Duration = Duration::from_secs(10);
/// How long a new home counts the engine's reported load: it asks every entry what it holds at once, and the answers
/// take far less.
pub const SETTLE: Duration = Duration::from_millis(1_200);
/// A permit that is missing from this many renewals in a row was released and the release was lost.
const MISSED_RENEWALS: u8 = 2;
/// A permit younger than this may be missing from a renewal that was sent before its grant arrived.
const YOUNG: Duration = Duration::from_secs(1);

/// Who holds a permit.
#[derive(Clone, Debug)]
pub(crate) struct Holder {
    pub entry: id::Router,
    /// Whose request it is; a permit that was registered anew doesn't say.
    pub customer: Option<id::Customer>,
    pub since: Moment,
    pub renewed: Moment,
    pub missed: u8,
}

/// An ask in the queue.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub entry: id::Router,
    pub ask: Ask,
    /// The entry has nowhere else to go: at the end of its wait comes a refusal.
    pub last_resort: bool,
}

/// The account of one engine (or plain upstream).
#[derive(Debug)]
pub struct Account {
    pub(crate) held: HashMap<id::Attempt, Holder>,
    pub(crate) queue: Queue<Waiting>,
    pub(crate) pace: Pace,
    pub(crate) open: bool,
    pub(crate) shares: Shares,
    reported: Option<u32>,
    settle_until: Moment,
}

impl Account {
    pub(crate) fn new(now: Moment, queue: usize, reported: Option<u32>) -> Self {
        Self {
            held: HashMap::new(),
            queue: Queue::new(queue),
            pace: Pace::default(),
            open: true,
            shares: Shares::default(),
            reported,
            settle_until: now + SETTLE,
        }
    }

    // ------------------------------------------------------------------------
    // Queries.

    /// Requests outstanding at the engine; `None` while that can't be told.
    ///
    /// Until the account has settled, the engine's own report counts where it is higher than what entries told.
    #[must_use]
    pub fn outstanding(&self, now: Moment) -> Option<u32> {
        let known = u32::try_from(self.held.len()).unwrap_or(u32::MAX);
        if now >= self.settle_until {
            return Some(known);
        }
        self.reported.map(|reported| reported.max(known))
    }

    /// Whether entries had time to register all they hold.
    #[must_use]
    pub fn settled(&self, now: Moment) -> bool {
        now >= self.settle_until
    }

    // ------------------------------------------------------------------------
    // Changes.

    pub(crate) fn report(&mut self, load: u32) {
        self.reported = Some(load);
    }

    /// A customer asks here.
    pub(crate) fn notice(&mut self, now: Moment, customer: &id::Customer, weight: u32) {
        self.shares.notice(now, customer, weight);
    }

    /// Whether a customer holds its share of the slots or more, while others ask here, too.
    pub(crate) fn is_over_share(&self, now: Moment, customer: &id::Customer, slots: u32) -> bool {
        is_over_share(&self.held, &self.shares, now, customer, slots)
    }

    /// Whether a customer holds and waits for its share of the slots or more, while others ask here, too.
    pub(crate) fn asks_over_share(&self, now: Moment, customer: &id::Customer, slots: u32) -> bool {
        let held = self.held.values().filter(|holder| holder.customer.as_ref() == Some(customer)).count();
        let waiting = self.queue.iter().filter(|item| &item.customer == customer).count();
        self.shares.of(now, customer, slots).is_some_and(|share| held + waiting >= share as usize)
    }

    pub(crate) fn hold(
        &mut self,
        now: Moment,
        attempt: id::Attempt,
        entry: &id::Router,
        customer: Option<id::Customer>,
    ) {
        let holder = Holder { entry: entry.clone(), customer, since: now, renewed: now, missed: 0 };
        self.held.insert(attempt, holder);
    }

    pub(crate) fn release(&mut self, now: Moment, entry: &id::Router, attempt: id::Attempt) -> bool {
        let theirs = self.held.get(&attempt).is_some_and(|holder| &holder.entry == entry);
        if !theirs {
            return false;
        }
        if let Some(holder) = self.held.remove(&attempt) {
            self.pace.observe(now.since(holder.since));
        }
        true
    }

    /// Takes an entry's word for all that it holds here.
    pub(crate) fn renew(&mut self, now: Moment, entry: &id::Router, attempts: &[id::Attempt]) {
        for holder in self.held.values_mut().filter(|holder| &holder.entry == entry) {
            holder.missed += 1;
        }
        for attempt in attempts {
            let Some(holder) = self.held.get_mut(attempt) else {
                self.hold(now, *attempt, entry, None);
                continue;
            };
            holder.renewed = now;
            holder.missed = 0;
        }
        self.held.retain(|_, holder| holder.missed < MISSED_RENEWALS || now.since(holder.since) < YOUNG);
    }

    /// Drops what is held by an entry that is confirmed dead; its streams ended with it.
    pub(crate) fn drop_entry(&mut self, entry: &id::Router) -> usize {
        let before = self.held.len();
        self.held.retain(|_, holder| &holder.entry != entry);
        self.queue.remove(|waiting| &waiting.entry == entry);
        before - self.held.len()
    }

    /// Drops permits that were not renewed in time.
    pub(crate) fn age(&mut self, now: Moment) -> usize {
        self.shares.age(now);
        let before = self.held.len();
        self.held.retain(|_, holder| now.since(holder.renewed) < PERMIT_TTL);
        before - self.held.len()
    }

    /// Forgets everything: after a pause nothing that was known can be relied upon.
    pub(crate) fn restart(&mut self, now: Moment) {
        self.held.clear();
        self.reported = None;
        self.settle_until = now + SETTLE;
    }
}

/// As [`Account::is_over_share`], for when the queue is borrowed beside it.
pub(crate) fn is_over_share(
    held: &HashMap<id::Attempt, Holder>,
    shares: &Shares,
    now: Moment,
    customer: &id::Customer,
    slots: u32,
) -> bool {
    let held = held.values().filter(|holder| holder.customer.as_ref() == Some(customer)).count();
    shares.of(now, customer, slots).is_some_and(|share| held >= share as usize)
}
