//! What each customer has of a service's places, and what its share of them is.
//!
//! An account is soft state of the service's home: what runs now, what waits now, and the mean of what ran over the last
//! seconds. A router that becomes the home has it again once entries have named what they run. Nothing here is used while
//! no request waits, but for counting.

use std::time::Duration;

use rapidhash::RapidHashMap;
use stairvale_types::{Moment, id};

/// What ran counts less by half in this time. Long against one request, so that a place just taken or given back says little,
/// and short against a surge, so that who has calmed down is soon forgiven.
const HALF_LIFE: Duration = Duration::from_millis(1_500);
/// Below this many places, in the mean, a customer that runs and wants nothing is forgotten.
const IDLE: f64 = 0.02;
/// Customers that are told apart at most; those beyond are counted as one. Some 150 bytes each.
const MOST: usize = 4_096;
/// A surplus has ended when there was none for this long: a surge comes in clumps.
const CALM: Duration = Duration::from_secs(1);
/// What is smaller is a rounding error.
const EPSILON: f64 = 1e-9;

/// How much of the places a customer may have beside the others: twice the weight, twice the places.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Weight(f64);

impl Weight {
    /// What a customer has that nothing is said of.
    pub const ONE: Self = Self(1.0);
    /// The least.
    pub const LEAST: f64 = 0.01;
    /// The most.
    pub const MOST: f64 = 100.0;

    /// A weight from 0.01 to 100.
    ///
    /// # Errors
    /// [`Absurd`] for anything else: zero would mean never to be served.
    pub fn new(weight: f64) -> Result<Self, Absurd> {
        if (Self::LEAST..=Self::MOST).contains(&weight) { Ok(Self(weight)) } else { Err(Absurd(weight)) }
    }
}

/// This is no weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Absurd(pub f64);

impl std::fmt::Display for Absurd {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} is no weight: from {} to {}", self.0, Weight::LEAST, Weight::MOST)
    }
}

impl std::error::Error for Absurd {}

/// By what customers are told apart where requests wait (docs/design/shares.md compares them).
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Measure {
    /// Not at all: the request's rank and its wait decide.
    Rank,
    /// By the places that they hold now.
    Places,
    /// By the time that they held places in the last seconds.
    Work,
    /// By both, each counting half.
    #[default]
    Both,
}

/// A customer's account, as long as it waits or runs something.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Number(usize);

/// How a customer stands at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// Places that it holds.
    pub running: f64,
    /// The places that it has by the measure, for a weight of one.
    pub score: f64,
    /// The score of one more place.
    pub step: f64,
    /// The places that it may hold while others wait.
    pub share: f64,
}

impl Standing {
    /// Whether it would hold more than its share with so many places more. One place isn't too much for anybody.
    #[must_use]
    pub fn is_over(&self, more: f64) -> bool {
        self.running + more > self.share.max(1.0) + EPSILON
    }
}

/// How much one customer had served, and how often it had to wait or was refused.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Requests that were given a place.
    pub served: u64,
    /// Requests that waited for one.
    pub waited: u64,
    /// Requests that were refused, since they would have waited for too long.
    pub refused: u64,
}

impl Counts {
    fn add(&mut self, other: Self) {
        self.served += other.served;
        self.waited += other.waited;
        self.refused += other.refused;
    }
}

#[derive(Clone, Debug)]
struct Account {
    customer: Option<id::Customer>,
    weight: Weight,
    running: u32,
    waiting: u32,
    /// The mean of what ran, as it was at `at`.
    mean: f64,
    at: Moment,
    counts: Counts,
    /// When it wanted more than its share last, if that was told and its end wasn't.
    above: Option<Moment>,
}

impl Account {
    fn mean(&self, now: Moment) -> f64 {
        let left = 0.5_f64.powf(now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.mean * left + f64::from(self.running) * (1.0 - left)
    }

    fn settle(&mut self, now: Moment) {
        self.mean = self.mean(now);
        self.at = self.at.max(now);
    }

    /// The places that it would use if there were enough.
    fn wants(&self, now: Moment) -> f64 {
        f64::from(self.running + self.waiting).max(self.mean(now))
    }
}

/// A customer wants more than its share while requests wait, or no longer.
#[derive(Clone, Debug, PartialEq)]
pub struct Surplus {
    /// Whose requests; `None` for those without a customer.
    pub customer: Option<id::Customer>,
    /// Places that it holds.
    pub running: u32,
    /// The places of its share.
    pub share: f64,
    /// Whether it is above it now.
    pub is_above: bool,
}

/// The accounts of a service's customers.
#[derive(Debug, Default)]
pub struct Shares {
    measure: Measure,
    accounts: Vec<Option<Account>>,
    numbers: RapidHashMap<Option<id::Customer>, Number>,
    free: Vec<Number>,
    running: RapidHashMap<id::Attempt, Number>,
    weights: RapidHashMap<id::Customer, Weight>,
    /// Where those are counted that there is no room for.
    crowd: Option<Number>,
    /// What was counted for customers that are forgotten.
    others: Counts,
}

impl Shares {
    /// Tells customers apart by another measure, as a comparison.
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

    /// Customers that are told apart now.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accounts.len() - self.free.len()
    }

    /// Whether nobody has an account.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Requests that run, of all customers.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.live().map(|account| account.running).sum()
    }

    /// Requests that wait, of all customers.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.live().map(|account| account.waiting).sum()
    }

    /// What each customer of a weight of one may hold, if all of `places` are to be used and nobody is given more than it
    /// wants (max-min fairness). Infinite where all get what they want.
    #[must_use]
    pub fn level(&self, now: Moment, places: u32) -> f64 {
        let mut wants: Vec<_> = self.live().map(|account| (account.wants(now), account.weight.0)).collect();
        wants.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
        let mut left = f64::from(places);
        let mut weights: f64 = wants.iter().map(|(_, weight)| weight).sum();
        for (want, weight) in wants {
            if want / weight > left / weights {
                return left / weights;
            }
            left -= want;
            weights -= weight;
        }
        f64::INFINITY
    }

    /// How a customer stands at a level.
    #[must_use]
    pub fn standing(&self, now: Moment, number: Number, level: f64) -> Standing {
        let nobody = Standing { running: 0.0, score: 0.0, step: 1.0, share: level };
        let Some(account) = self.accounts.get(number.0).and_then(Option::as_ref) else {
            return nobody;
        };
        let running = f64::from(account.running);
        let (places, step) = match self.measure {
            Measure::Rank => return Standing { share: f64::INFINITY, step: 0.0, ..nobody },
            Measure::Places => (running, 1.0),
            Measure::Work => (account.mean(now), 0.0),
            Measure::Both => (f64::midpoint(running, account.mean(now)), 0.5),
        };
        let Weight(weight) = account.weight;
        Standing { running, score: places / weight, step: step / weight, share: level * weight }
    }

    /// What was counted for the largest customers, the largest first, and for all others together.
    #[must_use]
    pub fn counts(&self, most: usize) -> (Vec<(Option<id::Customer>, Counts)>, Counts) {
        let mut others = self.others;
        let mut known: Vec<_> = self.live().map(|account| (account.customer.clone(), account.counts)).collect();
        known.sort_by(|a, b| (b.1.served, &a.0).cmp(&(a.1.served, &b.0)));
        for (_, counts) in known.drain(known.len().min(most)..) {
            others.add(counts);
        }
        (known, others)
    }

    // ------------------------------------------------------------------------
    // Changes.

    /// The account of a customer, which is opened if there is none.
    pub fn open(&mut self, now: Moment, customer: Option<&id::Customer>) -> Number {
        let customer = customer.cloned();
        if let Some(number) = self.numbers.get(&customer) {
            return *number;
        }
        if self.len() >= MOST
            && let Some(crowd) = self.crowd
        {
            return crowd;
        }
        let weight = customer.as_ref().and_then(|customer| self.weights.get(customer)).copied();
        let account = Account {
            customer: customer.clone(),
            weight: weight.unwrap_or(Weight::ONE),
            running: 0,
            waiting: 0,
            mean: 0.0,
            at: now,
            counts: Counts::default(),
            above: None,
        };
        let number = self.free.pop().unwrap_or(Number(self.accounts.len()));
        if number.0 == self.accounts.len() {
            self.accounts.push(None);
        }
        self.accounts[number.0] = Some(account);
        if self.len() >= MOST {
            // The last one is everybody's from now on.
            self.crowd = Some(number);
        }
        self.numbers.insert(customer, number);
        number
    }

    /// A request of a customer runs from now on.
    pub fn start(&mut self, now: Moment, attempt: id::Attempt, customer: Option<&id::Customer>) {
        let number = self.open(now, customer);
        if let Some(before) = self.running.insert(attempt, number) {
            self.stop(now, before);
        }
        self.change(number, |account| {
            account.settle(now);
            account.running += 1;
            account.counts.served += 1;
        });
    }

    /// A request no longer runs.
    pub fn end(&mut self, now: Moment, attempt: id::Attempt) {
        if let Some(number) = self.running.remove(&attempt) {
            self.stop(now, number);
        }
    }

    fn stop(&mut self, now: Moment, number: Number) {
        self.change(number, |account| {
            account.settle(now);
            account.running = account.running.saturating_sub(1);
        });
    }

    /// A request of a customer waits.
    pub fn wait(&mut self, now: Moment, customer: Option<&id::Customer>) -> Number {
        let number = self.open(now, customer);
        self.change(number, |account| {
            account.waiting += 1;
            account.counts.waited += 1;
        });
        number
    }

    /// A request that waited does so no longer.
    pub fn wait_no_more(&mut self, number: Number) {
        self.change(number, |account| account.waiting = account.waiting.saturating_sub(1));
    }

    /// A request was refused.
    pub fn refuse(&mut self, number: Number) {
        self.change(number, |account| account.counts.refused += 1);
    }

    /// Forgets customers that want nothing.
    pub fn age(&mut self, now: Moment) {
        for (place, slot) in self.accounts.iter_mut().enumerate() {
            let idle = |account: &mut Account| {
                account.running == 0 && account.waiting == 0 && account.mean(now) < IDLE && account.above.is_none()
            };
            if let Some(account) = slot.take_if(idle) {
                self.others.add(account.counts);
                self.numbers.remove(&account.customer);
                self.free.push(Number(place));
                self.crowd.take_if(|crowd| crowd.0 == place);
            }
        }
    }

    /// Who wants more than its share since this was asked last, and who hasn't for a while.
    pub fn surpluses(&mut self, now: Moment, level: f64) -> Vec<Surplus> {
        let mut changed = Vec::new();
        for account in self.accounts.iter_mut().flatten() {
            let share = level * account.weight.0;
            let is_above = account.wants(now) > share.max(1.0) + EPSILON;
            let ended = account.above.is_some_and(|last| now.since(last) >= CALM) && !is_above;
            let began = is_above && account.above.is_none();
            if is_above {
                account.above = Some(now);
            } else if ended {
                account.above = None;
            }
            if began || ended {
                let (customer, running) = (account.customer.clone(), account.running);
                changed.push(Surplus { customer, running, share, is_above });
            }
        }
        changed
    }

    // ------------------------------------------------------------------------

    fn live(&self) -> impl Iterator<Item = &Account> {
        self.accounts.iter().flatten()
    }

    fn change(&mut self, number: Number, change: impl FnOnce(&mut Account)) {
        if let Some(account) = self.accounts.get_mut(number.0).and_then(Option::as_mut) {
            change(account);
        }
    }
}
