//! What each customer has of a service's places, and what its share of them is.
//!
//! An account is soft state of the service's home: what runs now, what waits now, and the mean of what ran over the last
//! seconds. A router that becomes the home has it again once entries have named what they run. Nothing here is used while
//! no request waits, but for counting.

use std::time::Duration;

use rapidhash::RapidHashMap;
use stairvale_types::{Moment, id};

use crate::Weight;

/// What ran counts less by half in this time. Long against one request, so that a place just taken or given back says little,
/// and short against a surge, so that who has calmed down is soon forgiven.
const HALF_LIFE: Duration = Duration::from_millis(1_500);
/// Means are told relative to a moment, which moves on after this long: before the numbers grow large.
const EPOCH: Duration = Duration::from_secs(30);
/// After so many half-lives nothing is left.
const LIVES: f64 = 60.0;
/// Ranks of requests that are told apart: 0 to 9.
const RANKS: usize = 10;
/// Below this many places, in the mean, a customer that runs and wants nothing is forgotten.
const IDLE: f64 = 0.02;
/// Customers that are told apart at most; those beyond are counted as one. Some 150 bytes each.
const MOST: usize = 4_096;
/// A surplus has ended when there was none for this long: a surge comes in clumps.
const CALM: Duration = Duration::from_secs(1);
/// What is smaller is a rounding error.
const EPSILON: f64 = 1e-9;

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

/// What became of the means since an epoch: what ran at a moment counts by this, so that no account need be looked at for time
/// to pass.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fade(f64);

#[derive(Clone, Debug)]
struct Account {
    customer: Option<id::Customer>,
    weight: Weight,
    running: u32,
    /// Requests that wait, by rank.
    waiting: [u32; RANKS],
    waits: u32,
    /// By how much the mean of what ran is more than what runs, at the epoch. It falls by half in each half-life.
    excess: f64,
    counts: Counts,
    /// When it wanted more than its share last, if that was told and its end wasn't.
    above: Option<Moment>,
    /// Its place among those that run something or wait.
    active: Option<usize>,
}

impl Account {
    fn mean(&self, fade: Fade) -> f64 {
        (f64::from(self.running) + self.excess * fade.0).max(0.0)
    }

    /// Lets so many requests run; the mean doesn't jump.
    fn run(&mut self, running: u32, fade: Fade) {
        self.excess += (f64::from(self.running) - f64::from(running)) / fade.0;
        self.running = running;
    }

    /// The places that it would use if there were enough. What it had lately is no part of it: the greater of both would be
    /// too much for each of many small customers, and take from the level what nobody wants.
    fn wants(&self) -> u32 {
        self.running + self.waits
    }
}

/// A customer that waits.
#[derive(Clone, Copy, Debug)]
pub struct Queue<'a> {
    /// Its account.
    pub number: Number,
    /// How many of its requests wait, by rank.
    pub waiting: &'a [u32],
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
    numbers: RapidHashMap<id::Customer, Number>,
    /// The account of requests without a customer.
    nameless: Option<Number>,
    free: Vec<Number>,
    /// Those that run something or wait.
    active: Vec<Number>,
    running: RapidHashMap<id::Attempt, Number>,
    weights: RapidHashMap<id::Customer, Weight>,
    /// Where those are counted that there is no room for.
    crowd: Option<Number>,
    /// What was counted for customers that are forgotten.
    others: Counts,
    epoch: Moment,
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
        self.live().map(|account| account.waits).sum()
    }

    /// The customers that wait.
    pub fn queues(&self) -> impl Iterator<Item = Queue<'_>> {
        let waiting = self.active().filter(|(_, account)| account.waits > 0);
        waiting.map(|(number, account)| Queue { number, waiting: &account.waiting })
    }

    /// How much of what ran at the epoch still counts.
    #[must_use]
    pub fn fade(&self, now: Moment) -> Fade {
        let lives = now.since(self.epoch).as_secs_f64() / HALF_LIFE.as_secs_f64();
        // A process that stood still for long hasn't moved the epoch on yet; nothing of then counts.
        Fade(0.5_f64.powf(lives.min(LIVES)))
    }

    /// What each customer of a weight of one may hold, if all of `places` are to be used and nobody is given more than it
    /// wants (max-min fairness). Infinite where all get what they want.
    #[must_use]
    pub fn level(&self, places: u32) -> f64 {
        let wants = || self.active().map(|(_, account)| (f64::from(account.wants()), account.weight.get()));
        let places = f64::from(places);
        if wants().map(|(want, _)| want).sum::<f64>() <= places {
            return f64::INFINITY;
        }
        // What those leave who want less raises the level, so that some more want less: a few rounds, without sorting.
        let mut level = 0.0;
        loop {
            let (mut left, mut weights) = (places, 0.0);
            for (want, weight) in wants() {
                if want <= level * weight {
                    left -= want;
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

    /// How a customer stands at a level.
    #[must_use]
    pub fn standing(&self, fade: Fade, number: Number, level: f64) -> Standing {
        let nobody = Standing { running: 0.0, score: 0.0, step: 1.0, share: level };
        let Some(account) = self.accounts.get(number.0).and_then(Option::as_ref) else {
            return nobody;
        };
        let running = f64::from(account.running);
        let (places, step) = match self.measure {
            Measure::Rank => return Standing { share: f64::INFINITY, step: 0.0, ..nobody },
            Measure::Places => (running, 1.0),
            Measure::Work => (account.mean(fade), 0.0),
            Measure::Both => (f64::midpoint(running, account.mean(fade)), 0.5),
        };
        let weight = account.weight.get();
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
    pub fn open(&mut self, customer: Option<&id::Customer>) -> Number {
        let known = customer.map_or(self.nameless, |customer| self.numbers.get(customer).copied());
        if let Some(number) = known {
            return number;
        }
        if self.len() >= MOST
            && let Some(crowd) = self.crowd
        {
            return crowd;
        }
        let weight = customer.and_then(|customer| self.weights.get(customer)).copied();
        let account = Account {
            customer: customer.cloned(),
            weight: weight.unwrap_or(Weight::ONE),
            running: 0,
            waiting: [0; RANKS],
            waits: 0,
            excess: 0.0,
            counts: Counts::default(),
            above: None,
            active: None,
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
        match customer {
            Some(customer) => drop(self.numbers.insert(customer.clone(), number)),
            None => self.nameless = Some(number),
        }
        number
    }

    /// A request of a customer runs from now on.
    pub fn start(&mut self, now: Moment, attempt: id::Attempt, customer: Option<&id::Customer>) {
        let number = self.open(customer);
        let fade = self.fade(now);
        if let Some(before) = self.running.insert(attempt, number) {
            self.stop(fade, before);
        }
        self.change(number, |account| {
            account.run(account.running + 1, fade);
            account.counts.served += 1;
        });
    }

    /// A request no longer runs.
    pub fn end(&mut self, now: Moment, attempt: id::Attempt) {
        if let Some(number) = self.running.remove(&attempt) {
            self.stop(self.fade(now), number);
        }
    }

    fn stop(&mut self, fade: Fade, number: Number) {
        self.change(number, |account| account.run(account.running.saturating_sub(1), fade));
    }

    /// A request of a customer waits.
    pub fn wait(&mut self, number: Number, priority: u8) {
        self.change(number, |account| {
            account.waiting[rank(priority)] += 1;
            account.waits += 1;
            account.counts.waited += 1;
        });
    }

    /// A request that waited does so no longer.
    pub fn end_wait(&mut self, number: Number, priority: u8) {
        self.change(number, |account| {
            let waiting = &mut account.waiting[rank(priority)];
            *waiting = waiting.saturating_sub(1);
            account.waits = account.waiting.iter().sum();
        });
    }

    /// A request was refused.
    pub fn refuse(&mut self, number: Number) {
        self.change(number, |account| account.counts.refused += 1);
    }

    /// Forgets customers that want nothing.
    pub fn age(&mut self, now: Moment) {
        let fade = self.fade(now);
        for (place, slot) in self.accounts.iter_mut().enumerate() {
            let idle = |account: &mut Account| {
                account.active.is_none() && account.mean(fade) < IDLE && account.above.is_none()
            };
            if let Some(account) = slot.take_if(idle) {
                self.others.add(account.counts);
                match account.customer {
                    Some(customer) => drop(self.numbers.remove(&customer)),
                    None => self.nameless = None,
                }
                self.free.push(Number(place));
                self.crowd.take_if(|crowd| crowd.0 == place);
            }
        }
        if now.since(self.epoch) >= EPOCH {
            self.accounts.iter_mut().flatten().for_each(|account| account.excess *= fade.0);
            self.epoch = now;
        }
    }

    /// Who wants more than its share since this was asked last, and who hasn't for a while.
    pub fn surpluses(&mut self, now: Moment, level: f64) -> Vec<Surplus> {
        let mut changed = Vec::new();
        for account in self.accounts.iter_mut().flatten() {
            let share = level * account.weight.get();
            let is_above = f64::from(account.wants()) > share.max(1.0) + EPSILON;
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

    fn active(&self) -> impl Iterator<Item = (Number, &Account)> {
        self.active.iter().filter_map(|number| Some((*number, self.accounts.get(number.0)?.as_ref()?)))
    }

    fn change(&mut self, number: Number, change: impl FnOnce(&mut Account)) {
        let Some(account) = self.accounts.get_mut(number.0).and_then(Option::as_mut) else {
            return;
        };
        change(account);
        match (account.wants() > 0, account.active) {
            (true, None) => {
                account.active = Some(self.active.len());
                self.active.push(number);
            }
            (false, Some(place)) => {
                account.active = None;
                self.active.swap_remove(place);
                let moved = self.active.get(place).and_then(|moved| self.accounts.get_mut(moved.0)?.as_mut());
                if let Some(moved) = moved {
                    moved.active = Some(place);
                }
            }
            (true, Some(_)) | (false, None) => {}
        }
    }
}

fn rank(priority: u8) -> usize {
    usize::from(priority).min(RANKS - 1)
}
