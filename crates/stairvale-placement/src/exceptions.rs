//! Exceptions: chats whose prefix is cached at an engine other than their first choice.
//!
//! A chat at its first choice needs no record. Only chats that overflowed are recorded, by the home of their first
//! choice, for a bounded time and in bounded memory.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use stairvale_types::{Moment, id};

/// The record of one chat; the upstream is stored as an index to save memory.
#[derive(Clone, Debug)]
struct Exception {
    upstream: u32,
    expires_s: u32,
}

/// A bounded table of exceptions.
#[derive(Debug)]
pub struct Exceptions {
    capacity: usize,
    ttl: Duration,
    exceptions: HashMap<id::Chat, Exception>,
    expiry_order: VecDeque<(id::Chat, u32)>,
    upstreams: Vec<id::Upstream>,
    indices: HashMap<id::Upstream, u32>,
}

/// Returns the whole seconds since the process started, the resolution at which expiry times are stored.
fn seconds(moment: Moment) -> u32 {
    u32::try_from(moment.0 / 1_000_000).unwrap_or(u32::MAX)
}

impl Exceptions {
    /// Creates a table of at most `capacity` chats, each of which is kept for `ttl` after it was last recorded.
    #[must_use]
    pub fn new(capacity: usize, ttl: Duration) -> Self {
        Self {
            capacity,
            ttl,
            exceptions: HashMap::new(),
            expiry_order: VecDeque::new(),
            upstreams: Vec::new(),
            indices: HashMap::new(),
        }
    }

    /// Returns the number of recorded chats.
    #[must_use]
    pub fn len(&self) -> usize {
        self.exceptions.len()
    }

    /// Returns whether no chat is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.exceptions.is_empty()
    }

    /// Returns the approximate memory use in bytes, accurate enough for capacity planning.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let exception_size = size_of::<(id::Chat, Exception)>() + 1;
        let order_size = size_of::<(id::Chat, u32)>();
        self.exceptions.capacity() * exception_size + self.expiry_order.capacity() * order_size
    }

    /// Returns the upstream that presumably holds a chat's prefix, if the chat is recorded and the record hasn't
    /// expired.
    #[must_use]
    pub fn find(&self, now: Moment, chat: id::Chat) -> Option<&id::Upstream> {
        let exception = self.exceptions.get(&chat)?;
        if exception.expires_s <= seconds(now) {
            return None;
        }
        self.upstreams.get(exception.upstream as usize)
    }

    /// Records the upstream that holds a chat's prefix, and renews the expiry time.
    pub fn record(&mut self, now: Moment, chat: id::Chat, upstream: &id::Upstream) {
        if self.capacity == 0 {
            return;
        }
        let upstream = self.index(upstream);
        let expires_s = seconds(now + self.ttl);
        self.expiry_order.push_back((chat, expires_s));
        self.exceptions.insert(chat, Exception { upstream, expires_s });
        self.evict(now);
    }

    /// Removes a chat whose prefix is at its first choice again, or lost.
    pub fn remove(&mut self, chat: id::Chat) {
        self.exceptions.remove(&chat);
    }

    /// Removes all chats whose prefix was at an upstream that is gone.
    pub fn remove_upstream(&mut self, upstream: &id::Upstream) {
        let Some(&index) = self.indices.get(upstream) else {
            return;
        };
        self.exceptions.retain(|_, exception| exception.upstream != index);
    }

    fn index(&mut self, upstream: &id::Upstream) -> u32 {
        if let Some(&index) = self.indices.get(upstream) {
            return index;
        }
        let index = u32::try_from(self.upstreams.len()).unwrap_or(u32::MAX);
        self.upstreams.push(upstream.clone());
        self.indices.insert(upstream.clone(), index);
        index
    }

    /// Evicts exceptions that are expired or beyond the capacity, the oldest first.
    fn evict(&mut self, now: Moment) {
        let now_s = seconds(now);
        while let Some(&(chat, expires_s)) = self.expiry_order.front() {
            // An element of the expiry order is stale if the chat was recorded again later.
            let current = self.exceptions.get(&chat).is_some_and(|exception| exception.expires_s == expires_s);
            let over_capacity = self.exceptions.len() > self.capacity || self.expiry_order.len() > 2 * self.capacity;
            if current && !over_capacity && expires_s > now_s {
                return;
            }
            self.expiry_order.pop_front();
            if current {
                self.exceptions.remove(&chat);
            }
        }
    }
}
