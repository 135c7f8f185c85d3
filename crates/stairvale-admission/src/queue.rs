//! A bounded queue with priority classes, ageing and weighted fair sharing among customers.

use std::{collections::HashMap, time::Duration};

use stairvale_types::{Class, Moment, id};

/// Waiting time after which an item counts as one class more urgent, so that low-priority work isn't starved.
pub const AGE_STEP: Duration = Duration::from_secs(2);
/// Virtual time that serving one item of a customer with weight 1 takes.
const VIRTUAL_TIME_PER_ITEM: u64 = 1 << 20;

/// An entry of the queue.
#[derive(Clone, Debug)]
pub struct Item<T> {
    /// The payload.
    pub value: T,
    /// The customer that the item is accounted to.
    pub customer: id::Customer,
    /// The customer's weight, at least 1.
    pub weight: u32,
    /// The priority class, before ageing.
    pub class: Class,
    /// The time from which waiting is of no more use and the item expires.
    pub expires_at: Moment,
    enqueued_at: Moment,
    /// Virtual finish time, by start-time fair queueing (Goyal, Vin, Cheng, 1996).
    tag: u64,
    sequence: u64,
}

impl<T> Item<T> {
    /// Creates an item that may wait until `until`, with weight 1.
    #[must_use]
    pub fn new(value: T, customer: id::Customer, class: Class, until: Moment) -> Self {
        Self { value, customer, weight: 1, class, expires_at: until, enqueued_at: Moment::ZERO, tag: 0, sequence: 0 }
    }

    /// Sets the customer's weight; zero counts as one.
    #[must_use]
    pub fn with_weight(mut self, weight: u32) -> Self {
        self.weight = weight.max(1);
        self
    }

    /// The time at which the item was pushed.
    #[must_use]
    pub fn since(&self) -> Moment {
        self.enqueued_at
    }

    /// The priority level after ageing; zero is the most urgent.
    fn level(&self, now: Moment) -> u64 {
        let steps = now.since(self.enqueued_at).as_micros() / AGE_STEP.as_micros();
        let steps = u64::try_from(steps).unwrap_or(u64::MAX);
        (self.class.index() as u64).saturating_sub(steps)
    }
}

/// Error of a push to a full queue, with the item that was rejected or evicted.
#[derive(Debug)]
pub struct Full<T>(pub T);

/// A bounded queue that serves by class, then fairly among customers.
///
/// The queue is small (there is one for each engine), so a pop scans it; the benchmark `queue` shows how that scales.
#[derive(Debug)]
pub struct Queue<T> {
    capacity: usize,
    items: Vec<Item<T>>,
    /// The last tag given to each customer; kept only while the customer has items in the queue.
    last_tags: HashMap<id::Customer, u64>,
    virtual_time: u64,
    sequence: u64,
}

impl<T> Queue<T> {
    /// Creates a queue of at most `capacity` items.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { capacity, items: Vec::new(), last_tags: HashMap::new(), virtual_time: 0, sequence: 0 }
    }

    /// Changes the capacity; items beyond a smaller capacity stay in the queue.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// The number of items in the queue.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether the queue has no items.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// The number of items that would be served before a new item of this customer and class, without further ageing.
    #[must_use]
    pub fn count_ahead(&self, now: Moment, customer: &id::Customer, weight: u32, class: Class) -> usize {
        let tag = self.next_tag(customer, weight);
        let level = class.index() as u64;
        let before = |item: &&Item<T>| (item.level(now), item.tag) <= (level, tag);
        self.items.iter().filter(before).count()
    }

    /// Adds an item.
    ///
    /// # Errors
    /// [`Full`] at capacity. It holds the new item or, if a customer has more than its share of the queue, that
    /// customer's last item, which was evicted to make room for the new one.
    pub fn push(&mut self, now: Moment, mut item: Item<T>) -> Result<(), Full<Item<T>>> {
        item.enqueued_at = now;
        item.sequence = self.sequence;
        item.tag = self.next_tag(&item.customer, item.weight);
        self.sequence += 1;
        if self.items.len() < self.capacity {
            self.insert(item);
            return Ok(());
        }
        let Some(index) = self.eviction_candidate(now, &item) else {
            return Err(Full(item));
        };
        let evicted = self.items.swap_remove(index);
        self.update_last_tag(&evicted.customer);
        self.insert(item);
        Err(Full(evicted))
    }

    /// Removes and returns the next item to serve.
    pub fn pop(&mut self, now: Moment) -> Option<Item<T>> {
        self.pop_if(now, |_| true)
    }

    /// Removes and returns the next item to serve among those that `allowed` accepts.
    pub fn pop_if(&mut self, now: Moment, allowed: impl Fn(&Item<T>) -> bool) -> Option<Item<T>> {
        let candidates = self.items.iter().enumerate().filter(|(_, item)| allowed(item));
        let best = candidates.min_by_key(|(_, item)| (item.level(now), item.tag, item.sequence));
        let index = best?.0;
        let item = self.items.swap_remove(index);
        self.virtual_time = self.virtual_time.max(item.tag);
        self.update_last_tag(&item.customer);
        Some(item)
    }

    /// Removes and returns the items whose deadline has passed.
    pub fn expire(&mut self, now: Moment) -> Vec<Item<T>> {
        let expired: Vec<_> = self.items.extract_if(.., |item| item.expires_at <= now).collect();
        for item in &expired {
            self.update_last_tag(&item.customer);
        }
        expired
    }

    /// Removes and returns the items whose payload `matches` accepts.
    pub fn remove(&mut self, matches: impl Fn(&T) -> bool) -> Vec<Item<T>> {
        let removed: Vec<_> = self.items.extract_if(.., |item| matches(&item.value)).collect();
        for item in &removed {
            self.update_last_tag(&item.customer);
        }
        removed
    }

    /// Iterates over the items, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Item<T>> {
        self.items.iter()
    }

    // ------------------------------------------------------------------------

    fn next_tag(&self, customer: &id::Customer, weight: u32) -> u64 {
        let start = self.last_tags.get(customer).copied().unwrap_or(0).max(self.virtual_time);
        start + VIRTUAL_TIME_PER_ITEM / u64::from(weight.max(1))
    }

    fn insert(&mut self, item: Item<T>) {
        self.last_tags.insert(item.customer.clone(), item.tag);
        self.items.push(item);
    }

    /// Updates a customer's last tag after one of its items was removed. The entry of a customer without items is
    /// removed, so that the map stays as small as the queue.
    fn update_last_tag(&mut self, customer: &id::Customer) {
        let mut tags = self.items.iter().filter(|item| &item.customer == customer).map(|item| item.tag);
        match tags.next() {
            None => {
                self.last_tags.remove(customer);
            }
            Some(first) => {
                let last = tags.fold(first, u64::max);
                self.last_tags.insert(customer.clone(), last);
            }
        }
    }

    /// The index of the item that would be served last, if that is after the new one. Among items of the same level it
    /// belongs to the customer that has the most waiting in relation to its weight.
    fn eviction_candidate(&self, now: Moment, new: &Item<T>) -> Option<usize> {
        let level = new.level(now);
        let later = |item: &&(usize, &Item<T>)| (item.1.level(now), item.1.tag) > (level, new.tag);
        let items: Vec<_> = self.items.iter().enumerate().collect();
        let last = items.iter().filter(later).max_by_key(|(_, item)| (item.level(now), item.tag));
        last.map(|(index, _)| *index)
    }
}
