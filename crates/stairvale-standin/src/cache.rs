//! An engine's prefix cache: a bounded number of tokens over all chats, with least-recently-used eviction.

use std::collections::{HashMap, VecDeque};

use serde::Serialize;

/// A change of a cached prefix.
#[derive(Clone, Debug, Serialize)]
pub struct Event {
    /// The sequence number; a gap in the numbers means that events were lost.
    pub number: u64,
    /// The chat whose prefix changed.
    pub chat: String,
    /// The number of tokens cached after the change; zero if the prefix was evicted.
    pub tokens: u32,
}

/// A prefix cache with least-recently-used eviction.
#[derive(Debug)]
pub struct Cache {
    capacity: u64,
    used: u64,
    clock: u64,
    chats: HashMap<String, (u32, u64)>,
    order: VecDeque<(u64, String)>,
    events: VecDeque<Event>,
    number: u64,
}

/// The number of recent events retained for readers.
const MAX_EVENTS: usize = 10_000;
/// Every event whose number is a multiple of this is dropped, so that readers are tested with gaps.
const EVENT_LOSS_INTERVAL: u64 = 16;

impl Cache {
    /// Creates an empty cache with a capacity in tokens.
    #[must_use]
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            used: 0,
            clock: 0,
            chats: HashMap::new(),
            order: VecDeque::new(),
            events: VecDeque::new(),
            number: 0,
        }
    }

    /// Returns the number of tokens cached for a chat; zero if there are none.
    #[must_use]
    pub fn get(&self, chat: &str) -> u32 {
        self.chats.get(chat).map_or(0, |(tokens, _)| *tokens)
    }

    /// Returns the number of tokens cached over all chats.
    #[must_use]
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Caches a chat's prefix with its length in tokens, marks it as most recently used and evicts others as needed.
    pub fn put(&mut self, chat: &str, tokens: u32) {
        self.clock += 1;
        let previous = self.chats.insert(chat.to_owned(), (tokens, self.clock));
        self.used = self.used - u64::from(previous.map_or(0, |(tokens, _)| tokens)) + u64::from(tokens);
        self.order.push_back((self.clock, chat.to_owned()));
        self.publish(chat, tokens);
        self.evict();
    }

    /// Returns the retained events after a sequence number, without the dropped ones.
    #[must_use]
    pub fn events(&self, after: u64) -> Vec<Event> {
        self.events.iter().filter(|event| event.number > after).cloned().collect()
    }

    fn evict(&mut self) {
        while self.used > self.capacity {
            let Some((last_use, chat)) = self.order.pop_front() else {
                return;
            };
            let current = self.chats.get(&chat).is_some_and(|(_, last)| *last == last_use);
            if !current {
                continue;
            }
            if let Some((tokens, _)) = self.chats.remove(&chat) {
                self.used -= u64::from(tokens);
                self.publish(&chat, 0);
            }
        }
    }

    fn publish(&mut self, chat: &str, tokens: u32) {
        self.number += 1;
        if self.number.is_multiple_of(EVENT_LOSS_INTERVAL) {
            return;
        }
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(Event { number: self.number, chat: chat.to_owned(), tokens });
    }
}
