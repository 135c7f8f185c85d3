//! An engine's prefix cache: chats in limited memory, the least recently used given up first.

use std::collections::{HashMap, VecDeque};

use serde::Serialize;

/// Something that happened to a cached prefix.
#[derive(Clone, Debug, Serialize)]
pub struct Event {
    /// Its number; numbers that are missing were lost.
    pub number: u64,
    /// The chat.
    pub chat: String,
    /// Tokens cached now; zero if it was evicted.
    pub tokens: u32,
}

/// The cache.
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

/// Events kept for those who ask.
const MAX_EVENTS: usize = 10_000;
/// One event in this many is lost.
const GAP: u64 = 16;

impl Cache {
    /// An empty cache of so many tokens.
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

    /// Tokens cached for a chat; zero if none.
    #[must_use]
    pub fn get(&self, chat: &str) -> u32 {
        self.chats.get(chat).map_or(0, |(tokens, _)| *tokens)
    }

    /// Tokens cached in all.
    #[must_use]
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Caches a chat's prefix of so many tokens and counts as its use.
    pub fn put(&mut self, chat: &str, tokens: u32) {
        self.clock += 1;
        let before = self.chats.insert(chat.to_owned(), (tokens, self.clock));
        self.used = self.used - u64::from(before.map_or(0, |(tokens, _)| tokens)) + u64::from(tokens);
        self.order.push_back((self.clock, chat.to_owned()));
        self.tell(chat, tokens);
        self.evict();
    }

    /// Events after a number. Some are missing.
    #[must_use]
    pub fn events(&self, after: u64) -> Vec<Event> {
        self.events.iter().filter(|event| event.number > after).cloned().collect()
    }

    fn evict(&mut self) {
        while self.used > self.capacity {
            let Some((used_at, chat)) = self.order.pop_front() else {
                return;
            };
            let current = self.chats.get(&chat).is_some_and(|(_, last)| *last == used_at);
            if !current {
                continue;
            }
            if let Some((tokens, _)) = self.chats.remove(&chat) {
                self.used -= u64::from(tokens);
                self.tell(&chat, 0);
            }
        }
    }

    fn tell(&mut self, chat: &str, tokens: u32) {
        self.number += 1;
        if self.number.is_multiple_of(GAP) {
            return;
        }
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(Event { number: self.number, chat: chat.to_owned(), tokens });
    }
}
