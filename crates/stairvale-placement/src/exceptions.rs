//! Chats whose prefix doesn't sit at their first choice.
//!
//! A chat at its first choice needs no memory at all; only what overflowed is remembered, at the first choice's home,
//! for a bounded time and in bounded space.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use stairvale_types::{Moment, id};

#[derive(Clone, Debug)]
struct Entry {
    upstream: u32,
    expires_s: u32,
}

/// A bounded memory of exceptions.
#[derive(Debug)]
pub struct Exceptions {
    capacity: usize,
    keep: Duration,
    entries: HashMap<id::Chat, Entry>,
    order: VecDeque<(id::Chat, u32)>,
    names: Vec<id::Upstream>,
    indices: HashMap<id::Upstream, u32>,
}

/// Seconds since the process started, as kept in an entry.
fn seconds(moment: Moment) -> u32 {
    u32::try_from(moment.0 / 1_000_000).unwrap_or(u32::MAX)
}

impl Exceptions {
    /// A memory of at most `capacity` chats, each believed for `keep` after it was last used.
    #[must_use]
    pub fn new(capacity: usize, keep: Duration) -> Self {
        Self {
            capacity,
            keep,
            entries: HashMap::new(),
            order: VecDeque::new(),
            names: Vec::new(),
            indices: HashMap::new(),
        }
    }

    /// How many chats are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes held, near enough for a capacity plan.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let entry = size_of::<(id::Chat, Entry)>() + 1;
        let order = size_of::<(id::Chat, u32)>();
        self.entries.capacity() * entry + self.order.capacity() * order
    }

    /// Where a chat's prefix is believed to be, if not at its first choice.
    #[must_use]
    pub fn find(&self, now: Moment, chat: id::Chat) -> Option<&id::Upstream> {
        let entry = self.entries.get(&chat)?;
        if entry.expires_s <= seconds(now) {
            return None;
        }
        self.names.get(entry.upstream as usize)
    }

    /// Remembers where a chat went.
    pub fn remember(&mut self, now: Moment, chat: id::Chat, upstream: &id::Upstream) {
        if self.capacity == 0 {
            return;
        }
        let upstream = self.index(upstream);
        let expires_s = seconds(now + self.keep);
        self.order.push_back((chat, expires_s));
        self.entries.insert(chat, Entry { upstream, expires_s });
        self.shrink(now);
    }

    /// Forgets a chat: its prefix is at the first choice again, or gone.
    pub fn forget(&mut self, chat: id::Chat) {
        self.entries.remove(&chat);
    }

    /// Forgets all that sat on an upstream that is gone.
    pub fn forget_upstream(&mut self, upstream: &id::Upstream) {
        let Some(&index) = self.indices.get(upstream) else {
            return;
        };
        self.entries.retain(|_, entry| entry.upstream != index);
    }

    fn index(&mut self, upstream: &id::Upstream) -> u32 {
        if let Some(&index) = self.indices.get(upstream) {
            return index;
        }
        let index = u32::try_from(self.names.len()).unwrap_or(u32::MAX);
        self.names.push(upstream.clone());
        self.indices.insert(upstream.clone(), index);
        index
    }

    /// Drops what is over the capacity or past its time, the oldest first.
    fn shrink(&mut self, now: Moment) {
        let now_s = seconds(now);
        while let Some(&(chat, expires_s)) = self.order.front() {
            // An order line is stale if the chat was remembered again later.
            let current = self.entries.get(&chat).is_some_and(|entry| entry.expires_s == expires_s);
            let over = self.entries.len() > self.capacity || self.order.len() > 2 * self.capacity;
            if current && !over && expires_s > now_s {
                return;
            }
            self.order.pop_front();
            if current {
                self.entries.remove(&chat);
            }
        }
    }
}
