//! A request's way as an entry sees it: what it wants, the steps it took, and what to do next.

use std::time::Duration;

use stairvale_placement::choice;
use stairvale_types::{Moment, Refusal, id};
use stairvale_wire::{Ask, Held, Profile, Verdict};

/// What an entry needs to know of the fleet.
pub trait Directory {
    /// The home of an upstream; `rank` 0 is the first choice, 1 the router that takes over.
    fn home(&self, upstream: &id::Upstream, rank: usize) -> Option<id::Router>;
    /// Whether an upstream may take new work from this router.
    fn usable(&self, upstream: &id::Upstream) -> bool;
    /// The load that an upstream reported last, and how many of its slots this router may use without a home.
    fn share(&self, upstream: &id::Upstream) -> Option<Share>;
}

/// What a router may use of an upstream whose home it can't reach.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// The load reported last.
    pub reported: u32,
    /// All slots.
    pub slots: u32,
    /// Slots that this router may fill by itself.
    pub own: u32,
}

/// A request that wants an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Want {
    /// The attempt.
    pub attempt: id::Attempt,
    /// What it is.
    pub profile: Profile,
    /// What waiting, rebuilding and moving cost; the deadline in it counts from now.
    pub estimate: choice::Estimate,
    /// The upstreams in order of preference.
    pub candidates: Vec<id::Upstream>,
}

/// A step on an attempt's way, for `explain`.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// When.
    pub at: Moment,
    /// The upstream that was asked for.
    pub upstream: id::Upstream,
    /// What came of it.
    pub event: Event,
}

/// What came of asking for an upstream.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Its home was asked.
    Asked {
        /// The home.
        home: id::Router,
        /// How long the ask may wait there.
        patience: Duration,
    },
    /// The home answered.
    Answered(Verdict),
    /// The home didn't answer in time.
    Unanswered,
    /// The upstream may take no work in this router's view.
    PassedOver,
    /// Taken without a home.
    Degraded,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Ask a home.
    Ask {
        /// The home.
        to: id::Router,
        /// The ask.
        ask: Ask,
    },
    /// Tell a home that an attempt no longer waits there.
    Forget {
        /// The home.
        to: id::Router,
        /// The upstream.
        upstream: id::Upstream,
        /// The attempt.
        attempt: id::Attempt,
    },
    /// Give a permit back.
    Release {
        /// The home.
        to: id::Router,
        /// The upstream.
        upstream: id::Upstream,
        /// The attempt.
        attempt: id::Attempt,
    },
    /// Tell all that is held of a home.
    Renew {
        /// The home.
        to: id::Router,
        /// What is held.
        held: Vec<Held>,
    },
    /// Tell the first choice's home where a chat's prefix goes.
    Moved {
        /// The home.
        to: id::Router,
        /// The chat.
        chat: id::Chat,
        /// The first choice.
        first: id::Upstream,
        /// Where it goes.
        upstream: id::Upstream,
    },
    /// The attempt may use an upstream.
    Granted(Grant),
    /// The attempt is refused.
    Refused {
        /// The attempt.
        attempt: id::Attempt,
        /// Why.
        refusal: Refusal,
        /// How it came to that.
        steps: Vec<Step>,
    },
}

/// A granted attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// The attempt.
    pub attempt: id::Attempt,
    /// The upstream.
    pub upstream: id::Upstream,
    /// Where the chat's prefix is believed to be, if it is worth moving from there.
    pub import_from: Option<id::Upstream>,
    /// Whether no home was reached.
    pub degraded: bool,
    /// Whether the customer is over its share there, so that the engine should serve others first.
    pub over_share: bool,
    /// How it came to that.
    pub steps: Vec<Step>,
}
