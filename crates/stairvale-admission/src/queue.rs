//! A bounded queue with classes, ageing and fair shares.

use std::{collections::HashMap, time::Duration};

use stairvale_types::{Class, Moment, id};

/// After this long an item counts as one class more urgent, so that a long job finishes.
pub const AGE_STEP: Duration = Duration::from_secs(2);
/// One turn of a customer with weight 1, in virtual time.
const TURN: u64 = 1 << 20;

/// Something that waits.
#[derive(Clone, Debug)]
pub struct Item<T> {
    /// What waits.
    pub value: T,
    /// Whose it is.
    pub customer: id::Customer,
    /// The customer's weight, at least 1.
    pub weight: u32,
    /// Its class.
    pub class: Class,
    /// When waiting is no longer of use.
    pub until: Moment,
    since: Moment,
    /// Virtual finish time, by start-time fair queueing (Goyal, Vin, Cheng, 1996).
    tag: u64,
    sequence: u64,
}

impl<T> Item<T> {
    /// Something to wait until `until`.
    #[must_use]
    pub fn new(value: T, customer: id::Customer, class: Class, until: Moment) -> Self {
        Self { value, customer, weight: 1, class, until, since: Moment::ZERO, tag: 0, sequence: 0 }
    }

    /// Gives the customer's weight; zero counts as one.
    #[must_use]
    pub fn with_weight(mut self, weight: u32) -> Self {
        self.weight = weight.max(1);
        self
    }

    /// When it was pushed.
    #[must_use]
    pub fn since(&self) -> Moment {
        self.since
    }

    /// Its class after ageing: zero is the most urgent.
    fn level(&self, now: Moment) -> u64 {
        let steps = now.since(self.since).as_micros() / AGE_STEP.as_micros();
        let steps = u64::try_from(steps).unwrap_or(u64::MAX);
        (self.class.index() as u64).saturating_sub(steps)
    }
}

/// The queue is full; the item comes back.
#[derive(Debug)]
pub struct Full<T>(pub T);

/// A bounded queue.
///
/// It is small (a queue an engine), so a pop scans it; the benchmark `queue` shows how that grows.
#[derive(Debug)]
pub struct Queue<T> {
    capacity: usize,
    items: Vec<Item<T>>,
    /// The last tag given to each customer that waits; kept only while it waits.
    last: HashMap<id::Customer, u64>,
    virtual_time: u64,
    sequence: u64,
}

impl<T> Queue<T> {
    /// A queue of at most `capacity` items.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { capacity, items: Vec::new(), last: HashMap::new(), virtual_time: 0, sequence: 0 }
    }

    /// Sets another capacity; what waits stays.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// How many wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// How many would be served before a new item of this customer and class, if nothing aged.
    #[must_use]
    pub fn ahead(&self, now: Moment, customer: &id::Customer, weight: u32, class: Class) -> usize {
        let tag = self.next_tag(customer, weight);
        let level = class.index() as u64;
        let before = |item: &&Item<T>| (item.level(now), item.tag) <= (level, tag);
        self.items.iter().filter(before).count()
    }

    /// Adds an item.
    ///
    /// # Errors
    /// [`Full`] at capacity, unless a customer that waits with more than its share makes room: then that customer's
    /// last item is the one that comes back.
    pub fn push(&mut self, now: Moment, mut item: Item<T>) -> Result<(), Full<Item<T>>> {
        item.since = now;
        item.sequence = self.sequence;
        item.tag = self.next_tag(&item.customer, item.weight);
        self.sequence += 1;
        if self.items.len() < self.capacity {
            self.insert(item);
            return Ok(());
        }
        let Some(victim) = self.victim(now, &item) else {
            return Err(Full(item));
        };
        let victim = self.items.swap_remove(victim);
        self.settle(&victim.customer);
        self.insert(item);
        Err(Full(victim))
    }

    /// Takes the item whose turn it is.
    pub fn pop(&mut self, now: Moment) -> Option<Item<T>> {
        self.pop_if(now, |_| true)
    }

    /// Takes the first item, in the order of turns, that `allowed` lets through.
    pub fn pop_if(&mut self, now: Moment, allowed: impl Fn(&Item<T>) -> bool) -> Option<Item<T>> {
        let candidates = self.items.iter().enumerate().filter(|(_, item)| allowed(item));
        let best = candidates.min_by_key(|(_, item)| (item.level(now), item.tag, item.sequence));
        let index = best?.0;
        let item = self.items.swap_remove(index);
        self.virtual_time = self.virtual_time.max(item.tag);
        self.settle(&item.customer);
        Some(item)
    }

    /// Takes all that waited as long as it may.
    pub fn expire(&mut self, now: Moment) -> Vec<Item<T>> {
        let expired: Vec<_> = self.items.extract_if(.., |item| item.until <= now).collect();
        for item in &expired {
            self.settle(&item.customer);
        }
        expired
    }

    /// Takes the items that `gone` picks.
    pub fn remove(&mut self, gone: impl Fn(&T) -> bool) -> Vec<Item<T>> {
        let removed: Vec<_> = self.items.extract_if(.., |item| gone(&item.value)).collect();
        for item in &removed {
            self.settle(&item.customer);
        }
        removed
    }

    /// What waits, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Item<T>> {
        self.items.iter()
    }

    // ------------------------------------------------------------------------

    fn next_tag(&self, customer: &id::Customer, weight: u32) -> u64 {
        let start = self.last.get(customer).copied().unwrap_or(0).max(self.virtual_time);
        start + TURN / u64::from(weight.max(1))
    }

    fn insert(&mut self, item: Item<T>) {
        self.last.insert(item.customer.clone(), item.tag);
        self.items.push(item);
    }

    /// Forgets a customer that no longer waits, so that this map stays as small as the queue.
    fn settle(&mut self, customer: &id::Customer) {
        let mut tags = self.items.iter().filter(|item| &item.customer == customer).map(|item| item.tag);
        match tags.next() {
            None => {
                self.last.remove(customer);
            }
            Some(first) => {
                let last = tags.fold(first, u64::max);
                self.last.insert(customer.clone(), last);
            }
        }
    }

    /// An item that goes after the new one, of the customer that has the most waiting.
    fn victim(&self, now: Moment, new: &Item<T>) -> Option<usize> {
        let level = new.level(now);
        let later = |item: &&(usize, &Item<T>)| (item.1.level(now), item.1.tag) > (level, new.tag);
        let items: Vec<_> = self.items.iter().enumerate().collect();
        let last = items.iter().filter(later).max_by_key(|(_, item)| (item.level(now), item.tag));
        last.map(|(index, _)| *index)
    }
}
