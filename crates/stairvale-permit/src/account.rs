//! The account of one engine: the permits that entries hold for it and the requests queued for it.
//!
//! The number of outstanding requests is derived from what the entries report, since they stream to the engine
//! themselves.

use std::{collections::HashMap, time::Duration};

use stairvale_admission::{HoldTime, Queue, Shares};
use stairvale_types::{Moment, id};
use stairvale_wire::PermitRequest;

/// Time after which a permit that its entry has not renewed expires.
pub const PERMIT_TTL: Duration = Duration::from_secs(10);
/// How long a new home also counts the load that the engine reports.
///
/// The home requests the held permits from every entry as soon as it starts the account; their answers arrive well
/// within this time.
pub const SETTLE_TIME: Duration = Duration::from_millis(1_200);
/// Number of consecutive renewals of its entry after which a missing permit counts as released: its release was lost.
const MISSED_RENEWALS: u8 = 2;
/// Minimum age at which a permit missing from renewals is removed. A renewal may have been sent before the grant
/// arrived.
const RENEWAL_GRACE: Duration = Duration::from_secs(1);

/// A permit that an entry holds for the engine.
#[derive(Clone, Debug)]
pub(crate) struct Permit {
    pub entry: id::Router,
    /// Customer of the request; `None` for a permit that a renewal registered, as renewals don't carry the customer.
    pub customer: Option<id::Customer>,
    pub since: Moment,
    pub renewed: Moment,
    pub missed: u8,
}

/// A permit request, as it waits in the engine's queue.
#[derive(Clone, Debug)]
pub(crate) struct QueuedRequest {
    pub entry: id::Router,
    pub ask: PermitRequest,
    /// Whether the entry has no other engine to try; such a request is refused rather than redirected when its wait
    /// ends.
    pub last_resort: bool,
}

/// The account that a home keeps for one engine or plain upstream.
#[derive(Debug)]
pub struct Account {
    pub(crate) held: HashMap<id::Attempt, Permit>,
    pub(crate) queue: Queue<QueuedRequest>,
    pub(crate) pace: HoldTime,
    pub(crate) open: bool,
    pub(crate) shares: Shares,
    reported: Option<u32>,
    settle_until: Moment,
}

impl Account {
    pub(crate) fn new(now: Moment, queue_capacity: usize, reported: Option<u32>) -> Self {
        Self {
            held: HashMap::new(),
            queue: Queue::new(queue_capacity),
            pace: HoldTime::default(),
            open: true,
            shares: Shares::default(),
            reported,
            settle_until: now + SETTLE_TIME,
        }
    }

    // ------------------------------------------------------------------------
    // Queries.

    /// Returns the number of requests outstanding at the engine, or `None` while it can't be determined.
    ///
    /// Until the account has settled, the engine's own report counts if it is higher than the number of registered
    /// permits. The result is `None` if the engine hasn't reported yet.
    #[must_use]
    pub fn outstanding(&self, now: Moment) -> Option<u32> {
        let registered = u32::try_from(self.held.len()).unwrap_or(u32::MAX);
        if now >= self.settle_until {
            return Some(registered);
        }
        self.reported.map(|reported| reported.max(registered))
    }

    /// Returns whether the settling time is over, within which the entries register all permits that they hold.
    #[must_use]
    pub fn settled(&self, now: Moment) -> bool {
        now >= self.settle_until
    }

    // ------------------------------------------------------------------------
    // Changes.

    pub(crate) fn set_reported_load(&mut self, load: u32) {
        self.reported = Some(load);
    }

    /// Records that a customer requested a permit for this engine, so that it competes for the slots.
    pub(crate) fn record_request(&mut self, now: Moment, customer: &id::Customer, weight: u32) {
        self.shares.record_request(now, customer, weight);
    }

    /// Returns whether a customer holds at least its share of `slots` while other customers compete for the engine.
    pub(crate) fn is_over_share(&self, now: Moment, customer: &id::Customer, slots: u32) -> bool {
        is_over_share(&self.held, &self.shares, now, customer, slots)
    }

    /// Returns whether the held permits and queued requests of a customer together make up at least its share of
    /// `slots` while other customers compete for the engine.
    pub(crate) fn demand_exceeds_share(&self, now: Moment, customer: &id::Customer, slots: u32) -> bool {
        let held = self.held.values().filter(|permit| permit.customer.as_ref() == Some(customer)).count();
        let queued = self.queue.iter().filter(|item| &item.customer == customer).count();
        self.shares.share_of(now, customer, slots).is_some_and(|share| held + queued >= share as usize)
    }

    pub(crate) fn insert_permit(
        &mut self,
        now: Moment,
        attempt: id::Attempt,
        entry: &id::Router,
        customer: Option<id::Customer>,
    ) {
        let permit = Permit { entry: entry.clone(), customer, since: now, renewed: now, missed: 0 };
        self.held.insert(attempt, permit);
    }

    pub(crate) fn release(&mut self, now: Moment, entry: &id::Router, attempt: id::Attempt) -> bool {
        let is_holder = self.held.get(&attempt).is_some_and(|permit| &permit.entry == entry);
        if !is_holder {
            return false;
        }
        if let Some(permit) = self.held.remove(&attempt) {
            self.pace.observe(now.since(permit.since));
        }
        true
    }

    /// Applies an entry's renewal, which lists all permits that the entry holds for this engine.
    ///
    /// Listed permits that this home has no record of are registered.
    pub(crate) fn renew(&mut self, now: Moment, entry: &id::Router, attempts: &[id::Attempt]) {
        for permit in self.held.values_mut().filter(|permit| &permit.entry == entry) {
            permit.missed += 1;
        }
        for attempt in attempts {
            let Some(permit) = self.held.get_mut(attempt) else {
                self.insert_permit(now, *attempt, entry, None);
                continue;
            };
            permit.renewed = now;
            permit.missed = 0;
        }
        self.held.retain(|_, permit| permit.missed < MISSED_RENEWALS || now.since(permit.since) < RENEWAL_GRACE);
    }

    /// Removes the permits and queued requests of an entry that is confirmed dead, since its streams ended with it.
    ///
    /// Returns the number of removed permits.
    pub(crate) fn drop_entry(&mut self, entry: &id::Router) -> usize {
        let before = self.held.len();
        self.held.retain(|_, permit| &permit.entry != entry);
        self.queue.remove(|queued| &queued.entry == entry);
        before - self.held.len()
    }

    /// Removes permits that were not renewed within [`PERMIT_TTL`], and returns their number.
    pub(crate) fn expire_permits(&mut self, now: Moment) -> usize {
        self.shares.remove_inactive(now);
        let before = self.held.len();
        self.held.retain(|_, permit| now.since(permit.renewed) < PERMIT_TTL);
        before - self.held.len()
    }

    /// Discards the permits and the reported load, which can't be relied upon after the process was paused.
    pub(crate) fn reset(&mut self, now: Moment) {
        self.held.clear();
        self.reported = None;
        self.settle_until = now + SETTLE_TIME;
    }
}

/// Variant of [`Account::is_over_share`] for use while the account's queue is mutably borrowed.
pub(crate) fn is_over_share(
    held: &HashMap<id::Attempt, Permit>,
    shares: &Shares,
    now: Moment,
    customer: &id::Customer,
    slots: u32,
) -> bool {
    let held = held.values().filter(|permit| permit.customer.as_ref() == Some(customer)).count();
    shares.share_of(now, customer, slots).is_some_and(|share| held >= share as usize)
}
