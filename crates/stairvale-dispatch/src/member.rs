//! One upstream of a service, as the home knows it.

use std::collections::HashMap;

use stairvale_types::{Moment, id};

use crate::{Cache, health::Health};

/// A request that was granted and hasn't ended.
#[derive(Clone, Debug)]
pub struct Hold {
    /// The entry that runs it.
    pub entry: id::Router,
    /// When it was granted, or heard of.
    pub since: Moment,
    /// When its entry named it last.
    pub named: Moment,
    /// Tokens that are still to be read for it.
    pub read: u32,
    /// Tokens that it takes beside what others share with it.
    pub tokens: u32,
    /// The time to the first event that was expected, in ms.
    pub expected: f64,
    /// Whether it copies from another engine first.
    pub copies: bool,
    /// The shared parts of its prompt that nobody had read there before; none once its first event has come.
    pub reads: Vec<u64>,
}

/// One upstream.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its id.
    pub id: id::Upstream,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it may be given new work.
    pub usable: bool,
    /// What runs there.
    pub held: HashMap<id::Attempt, Hold>,
    /// What it holds of prompts.
    pub cache: Cache,
    /// Whether that is more than what was placed there by this router.
    pub known: bool,
    /// Tokens that fit; zero if it is no engine.
    pub memory: u64,
    /// How it does.
    pub health: Health,
}

impl Member {
    /// An upstream that nothing is known of yet. `memory` is zero for a plain one.
    #[must_use]
    pub fn new(id: id::Upstream, zone: id::Zone, slots: u32, memory: u64) -> Self {
        Self {
            id,
            zone,
            slots: slots.max(1),
            usable: true,
            held: HashMap::new(),
            cache: Cache::new(memory),
            known: false,
            memory,
            health: Health::default(),
        }
    }

    /// Requests that run there.
    #[must_use]
    pub fn running(&self) -> u32 {
        u32::try_from(self.held.len()).unwrap_or(u32::MAX)
    }

    /// Tokens that it has yet to read for what runs there.
    #[must_use]
    pub fn ahead(&self) -> u64 {
        self.held.values().map(|hold| u64::from(hold.read)).sum()
    }

    /// Tokens that what runs there takes beside shared parts.
    #[must_use]
    pub fn taken(&self) -> u64 {
        self.held.values().map(|hold| u64::from(hold.tokens)).sum()
    }
}
