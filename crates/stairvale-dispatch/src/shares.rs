//! Accounts of the slots that each customer of a service holds, and the customers' fair shares of them.
//!
//! An account is soft state of the service's home: what runs now, what waits now, and the mean of what ran over the
//! last seconds. A router that becomes the home rebuilds it once the entry routers have renewed their holds. While no
//! request waits the accounts only count.

use std::time::Duration;

use rapidhash::RapidHashMap;
use stairvale_types::{Moment, id};

use crate::Weight;

/// Half-life of the weight of past use. It is long compared with one request, so that a slot that was just taken or
/// released matters little, and short compared with a burst, so that a customer whose burst has ended is soon treated
/// like the others.
const HALF_LIFE: Duration = Duration::from_millis(1_500);
/// The means are stored relative to an epoch, which is renewed after this time, before the numbers grow large.
const EPOCH_INTERVAL: Duration = Duration::from_secs(30);
/// Number of half-lives after which no weight remains.
const MAX_HALF_LIVES: f64 = 60.0;
/// Number of priorities that are distinguished: 0 to 9.
const PRIORITIES: usize = 10;
/// The account of a customer that neither runs nor waits is removed once its mean use is below this many slots.
const IDLE_SLOTS: f64 = 0.02;
/// Maximum number of accounts; further customers share one account. An account takes some 150 bytes.
const MAX_ACCOUNTS: usize = 4_096;
/// Time without a surplus after which it is reported as ended, since the requests of a burst arrive in clusters.
const SURPLUS_END_DELAY: Duration = Duration::from_secs(1);
/// Smaller differences are rounding errors.
const EPSILON: f64 = 1e-9;

/// The measure by which customers are ranked while requests wait (docs/design/shares.md compares the measures).
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Measure {
    /// Customers aren't ranked: the priority of a request and its wait decide.
    Rank,
    /// Customers are ranked by the slots that they hold now.
    Places,
    /// Customers are ranked by the time for which they held slots in the last seconds.
    Work,
    /// Customers are ranked by the mean of both.
    #[default]
    Both,
}

/// The index of a customer's account, valid while the customer waits or runs requests.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AccountId(usize);

/// The use and the share of a customer at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Slots that the customer holds.
    pub running: f64,
    /// The customer's use by the measure, divided by its weight.
    pub score: f64,
    /// The increase of the score by one more slot.
    pub step: f64,
    /// The slots that the customer may hold while others wait.
    pub share: f64,
}

impl Usage {
    /// Whether the customer would exceed its share with `more` additional slots. Every customer may hold one slot.
    #[must_use]
    pub fn is_over(&self, more: f64) -> bool {
        self.running + more > self.share.max(1.0) + EPSILON
    }
}

/// The numbers of requests of a customer that were served, waited or were refused.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Requests that were given a slot.
    pub served: u64,
    /// Requests that waited for a slot.
    pub waited: u64,
    /// Requests that were refused because their wait would have been too long.
    pub refused: u64,
}

impl Counts {
    fn add(&mut self, other: Self) {
        self.served += other.served;
        self.waited += other.waited;
        self.refused += other.refused;
    }
}

/// The remaining weight of use at the epoch. Use at a later moment is stored divided by its fade, so that no account
/// has to be updated as time passes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fade(f64);

#[derive(Clone, Debug)]
struct Account {
    customer: Option<id::Customer>,
    weight: Weight,
    running: u32,
    /// Requests that wait, by priority.
    waiting: [u32; PRIORITIES],
    waiting_count: u32,
    /// By how much the mean use exceeded the running requests, relative to the epoch. It halves with each half-life.
    excess: f64,
    counts: Counts,
    /// When the customer's demand last exceeded its share, if that was reported and its end wasn't.
    last_surplus: Option<Moment>,
    /// The index in the list of active accounts.
    active: Option<usize>,
}

impl Account {
    fn mean(&self, fade: Fade) -> f64 {
        (f64::from(self.running) + self.excess * fade.0).max(0.0)
    }

    /// Sets the number of running requests; the mean doesn't jump.
    fn set_running(&mut self, running: u32, fade: Fade) {
        self.excess += (f64::from(self.running) - f64::from(running)) / fade.0;
        self.running = running;
    }

    /// Returns the slots that the customer would use if there were enough. Past use isn't included: the greater of both
    /// would be too much for each of many small customers, and would reduce the level by slots that nobody uses.
    fn demand(&self) -> u32 {
        self.running + self.waiting_count
    }
}

/// The waiting requests of a customer.
#[derive(Clone, Copy, Debug)]
pub struct Queue<'a> {
    /// The customer's account.
    pub number: AccountId,
    /// The number of waiting requests by priority.
    pub waiting: &'a [u32],
}

/// A notification that a customer's demand exceeds its share while requests wait, or no longer does.
#[derive(Clone, Debug, PartialEq)]
pub struct Surplus {
    /// The customer; `None` for requests without a customer.
    pub customer: Option<id::Customer>,
    /// Slots that the customer holds.
    pub running: u32,
    /// The customer's share in slots.
    pub share: f64,
    /// Whether the demand exceeds the share now.
    pub is_above: bool,
}

/// The accounts of a service's customers.
#[derive(Debug, Default)]
pub struct Shares {
    measure: Measure,
    accounts: Vec<Option<Account>>,
    numbers: RapidHashMap<id::Customer, AccountId>,
    /// The account of requests without a customer.
    anonymous: Option<AccountId>,
    free: Vec<AccountId>,
    /// The accounts that run requests or wait.
    active: Vec<AccountId>,
    running: RapidHashMap<id::Attempt, AccountId>,
    weights: RapidHashMap<id::Customer, Weight>,
    /// The account that customers share once the maximum number of accounts is reached.
    shared_account: Option<AccountId>,
    /// The counts of customers whose accounts were removed.
    removed_counts: Counts,
    epoch: Moment,
}

impl Shares {
    /// Ranks customers by another measure; used for comparisons.
    #[must_use]
    pub fn with_measure(mut self, measure: Measure) -> Self {
        self.measure = measure;
        self
    }

    /// Sets the weights of some customers; all others have a weight of one.
    pub fn set_weights(&mut self, weights: impl IntoIterator<Item = (id::Customer, Weight)>) {
        self.weights = weights.into_iter().collect();
        for account in self.accounts.iter_mut().flatten() {
            let weight = account.customer.as_ref().and_then(|customer| self.weights.get(customer));
            account.weight = weight.copied().unwrap_or(Weight::ONE);
        }
    }

    // ------------------------------------------------------------------------
    // Queries.

    /// Returns the number of accounts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accounts.len() - self.free.len()
    }

    /// Whether there are no accounts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of running requests of all customers.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.accounts_in_use().map(|account| account.running).sum()
    }

    /// Returns the number of waiting requests of all customers.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.accounts_in_use().map(|account| account.waiting_count).sum()
    }

    /// Iterates over the customers with waiting requests.
    pub fn queues(&self) -> impl Iterator<Item = Queue<'_>> {
        let waiting = self.active().filter(|(_, account)| account.waiting_count > 0);
        waiting.map(|(number, account)| Queue { number, waiting: &account.waiting })
    }

    /// Returns the remaining weight of use at the epoch.
    #[must_use]
    pub fn fade(&self, now: Moment) -> Fade {
        let half_lives = now.since(self.epoch).as_secs_f64() / HALF_LIFE.as_secs_f64();
        // A process that was suspended for long hasn't renewed the epoch yet; nothing remains of the use before.
        Fade(0.5_f64.powf(half_lives.min(MAX_HALF_LIVES)))
    }

    /// Returns the slots that each customer with a weight of one may hold if all `slots` slots are to be used and no
    /// customer is given more than its demand (max-min fairness). Infinite if all demands can be met.
    #[must_use]
    pub fn level(&self, slots: u32) -> f64 {
        let demand = || self.active().map(|(_, account)| (f64::from(account.demand()), account.weight.get()));
        let slots = f64::from(slots);
        if demand().map(|(demand, _)| demand).sum::<f64>() <= slots {
            return f64::INFINITY;
        }
        // Slots that are left by customers with small demands raise the level, which meets more demands; it converges
        // in a few rounds, without sorting.
        let mut level = 0.0;
        loop {
            let (mut left, mut weights) = (slots, 0.0);
            for (demand, weight) in demand() {
                if demand <= level * weight {
                    left -= demand;
                } else {
                    weights += weight;
                }
            }
            let next = left / weights;
            if next <= level + EPSILON {
                return next;
            }
            level = next;
        }
    }

    /// Returns a customer's use and share at a level.
    #[must_use]
    pub fn usage(&self, fade: Fade, number: AccountId, level: f64) -> Usage {
        let nobody = Usage { running: 0.0, score: 0.0, step: 1.0, share: level };
        let Some(account) = self.accounts.get(number.0).and_then(Option::as_ref) else {
            return nobody;
        };
        let running = f64::from(account.running);
        let (slots, step) = match self.measure {
            Measure::Rank => return Usage { share: f64::INFINITY, step: 0.0, ..nobody },
            Measure::Places => (running, 1.0),
            Measure::Work => (account.mean(fade), 0.0),
            Measure::Both => (f64::midpoint(running, account.mean(fade)), 0.5),
        };
        let weight = account.weight.get();
        Usage { running, score: slots / weight, step: step / weight, share: level * weight }
    }

    /// Returns the counts of the `most` customers with the most served requests, in descending order, and the sum of
    /// all others.
    #[must_use]
    pub fn counts(&self, most: usize) -> (Vec<(Option<id::Customer>, Counts)>, Counts) {
        let mut others = self.removed_counts;
        let mut known: Vec<_> =
            self.accounts_in_use().map(|account| (account.customer.clone(), account.counts)).collect();
        known.sort_by(|a, b| (b.1.served, &a.0).cmp(&(a.1.served, &b.0)));
        for (_, counts) in known.drain(known.len().min(most)..) {
            others.add(counts);
        }
        (known, others)
    }

    // ------------------------------------------------------------------------
    // Changes.

    /// Returns the account of a customer, which is created if there is none.
    pub fn open(&mut self, customer: Option<&id::Customer>) -> AccountId {
        let known = customer.map_or(self.anonymous, |customer| self.numbers.get(customer).copied());
        if let Some(number) = known {
            return number;
        }
        if self.len() >= MAX_ACCOUNTS
            && let Some(shared_account) = self.shared_account
        {
            return shared_account;
        }
        let weight = customer.and_then(|customer| self.weights.get(customer)).copied();
        let account = Account {
            customer: customer.cloned(),
            weight: weight.unwrap_or(Weight::ONE),
            running: 0,
            waiting: [0; PRIORITIES],
            waiting_count: 0,
            excess: 0.0,
            counts: Counts::default(),
            last_surplus: None,
            active: None,
        };
        let number = self.free.pop().unwrap_or(AccountId(self.accounts.len()));
        if number.0 == self.accounts.len() {
            self.accounts.push(None);
        }
        self.accounts[number.0] = Some(account);
        if self.len() >= MAX_ACCOUNTS {
            // Further customers share the last account that could be created.
            self.shared_account = Some(number);
        }
        match customer {
            Some(customer) => drop(self.numbers.insert(customer.clone(), number)),
            None => self.anonymous = Some(number),
        }
        number
    }

    /// Records that a request of a customer starts to run.
    pub fn start(&mut self, now: Moment, attempt: id::Attempt, customer: Option<&id::Customer>) {
        let number = self.open(customer);
        let fade = self.fade(now);
        if let Some(before) = self.running.insert(attempt, number) {
            self.stop(fade, before);
        }
        self.change(number, |account| {
            account.set_running(account.running + 1, fade);
            account.counts.served += 1;
        });
    }

    /// Records that a request no longer runs.
    pub fn end(&mut self, now: Moment, attempt: id::Attempt) {
        if let Some(number) = self.running.remove(&attempt) {
            self.stop(self.fade(now), number);
        }
    }

    fn stop(&mut self, fade: Fade, number: AccountId) {
        self.change(number, |account| account.set_running(account.running.saturating_sub(1), fade));
    }

    /// Records that a request of a customer starts to wait.
    pub fn wait(&mut self, number: AccountId, priority: u8) {
        self.change(number, |account| {
            account.waiting[priority_index(priority)] += 1;
            account.waiting_count += 1;
            account.counts.waited += 1;
        });
    }

    /// Records that a request no longer waits.
    pub fn end_wait(&mut self, number: AccountId, priority: u8) {
        self.change(number, |account| {
            let waiting = &mut account.waiting[priority_index(priority)];
            *waiting = waiting.saturating_sub(1);
            account.waiting_count = account.waiting.iter().sum();
        });
    }

    /// Records that a request was refused.
    pub fn refuse(&mut self, number: AccountId) {
        self.change(number, |account| account.counts.refused += 1);
    }

    /// Removes the accounts of idle customers, and renews the epoch.
    pub fn age(&mut self, now: Moment) {
        let fade = self.fade(now);
        for (index, slot) in self.accounts.iter_mut().enumerate() {
            let idle = |account: &mut Account| {
                account.active.is_none() && account.mean(fade) < IDLE_SLOTS && account.last_surplus.is_none()
            };
            if let Some(account) = slot.take_if(idle) {
                self.removed_counts.add(account.counts);
                match account.customer {
                    Some(customer) => drop(self.numbers.remove(&customer)),
                    None => self.anonymous = None,
                }
                self.free.push(AccountId(index));
                self.shared_account.take_if(|shared_account| shared_account.0 == index);
            }
        }
        if now.since(self.epoch) >= EPOCH_INTERVAL {
            self.accounts.iter_mut().flatten().for_each(|account| account.excess *= fade.0);
            self.epoch = now;
        }
    }

    /// Returns the customers whose demand rose above their share since the last call, and those whose demand hasn't
    /// exceeded it for a second.
    pub fn surpluses(&mut self, now: Moment, level: f64) -> Vec<Surplus> {
        let mut changed = Vec::new();
        for account in self.accounts.iter_mut().flatten() {
            let share = level * account.weight.get();
            let is_above = f64::from(account.demand()) > share.max(1.0) + EPSILON;
            let ended = account.last_surplus.is_some_and(|last| now.since(last) >= SURPLUS_END_DELAY) && !is_above;
            let began = is_above && account.last_surplus.is_none();
            if is_above {
                account.last_surplus = Some(now);
            } else if ended {
                account.last_surplus = None;
            }
            if began || ended {
                let (customer, running) = (account.customer.clone(), account.running);
                changed.push(Surplus { customer, running, share, is_above });
            }
        }
        changed
    }

    // ------------------------------------------------------------------------

    fn accounts_in_use(&self) -> impl Iterator<Item = &Account> {
        self.accounts.iter().flatten()
    }

    fn active(&self) -> impl Iterator<Item = (AccountId, &Account)> {
        self.active.iter().filter_map(|number| Some((*number, self.accounts.get(number.0)?.as_ref()?)))
    }

    fn change(&mut self, number: AccountId, change: impl FnOnce(&mut Account)) {
        let Some(account) = self.accounts.get_mut(number.0).and_then(Option::as_mut) else {
            return;
        };
        change(account);
        match (account.demand() > 0, account.active) {
            (true, None) => {
                account.active = Some(self.active.len());
                self.active.push(number);
            }
            (false, Some(index)) => {
                account.active = None;
                self.active.swap_remove(index);
                let moved = self.active.get(index).and_then(|moved| self.accounts.get_mut(moved.0)?.as_mut());
                if let Some(moved) = moved {
                    moved.active = Some(index);
                }
            }
            (true, Some(_)) | (false, None) => {}
        }
    }
}

fn priority_index(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}
