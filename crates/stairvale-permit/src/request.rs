//! The types of the entry's interface: requests for an upstream, the steps they took, and the effects to carry out.

use std::time::Duration;

use stairvale_placement::choice;
use stairvale_types::{Moment, Refusal, id};
use stairvale_wire::{HeldPermits, PermitRequest, Profile, Verdict};

/// The state of the fleet that an entry depends on.
pub trait Directory {
    /// Returns the home of an upstream: for `rank` 0 the current one, for 1 its successor.
    fn home(&self, upstream: &id::Upstream, rank: usize) -> Option<id::Router>;
    /// Returns whether an upstream may take new work from this router.
    fn usable(&self, upstream: &id::Upstream) -> bool;
    /// Returns the last reported load of an upstream, and how many of its slots this router may use without a reachable
    /// home.
    fn share(&self, upstream: &id::Upstream) -> Option<Share>;
}

/// The part of an upstream's slots that a router may use while it can't reach the upstream's home.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// Load that the upstream reported last, in outstanding requests.
    pub reported_load: u32,
    /// Total number of slots of the upstream.
    pub slots: u32,
    /// Number of slots that this router may use without a permit.
    pub own_slots: u32,
}

/// A request for which an entry needs an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamRequest {
    /// Attempt to serve the request.
    pub attempt: id::Attempt,
    /// Service, customer, class and chat of the request.
    pub profile: Profile,
    /// Estimated costs of waiting for the prefix, prefilling it again and transferring it. Its deadline counts from
    /// now.
    pub estimate: choice::Estimate,
    /// Upstreams that may serve the request, in order of preference.
    pub candidates: Vec<id::Upstream>,
}

/// A step in the course of an attempt, as shown by `explain`.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Time of the step.
    pub at: Moment,
    /// Upstream that the step concerns.
    pub upstream: id::Upstream,
    /// The event at this step.
    pub event: Event,
}

/// An event in the course of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A permit was requested from the upstream's home.
    PermitRequested {
        /// Home that received the request.
        home: id::Router,
        /// How long the request may wait in the home's queue.
        max_wait: Duration,
    },
    /// The home answered the permit request.
    Answered(Verdict),
    /// The home didn't answer the permit request in time.
    Unanswered,
    /// The upstream was skipped because it may take no new work according to this router's directory.
    Skipped,
    /// The upstream was used without a permit because no home was reached.
    Degraded,
}

/// An action that the caller of the entry has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Request a permit from a home.
    Ask {
        /// Home that owns the upstream's account.
        to: id::Router,
        /// Permit request to send.
        ask: PermitRequest,
    },
    /// Notify a home that an attempt no longer waits there.
    Forget {
        /// Home that received the permit request.
        to: id::Router,
        /// Upstream that the permit was requested for.
        upstream: id::Upstream,
        /// Attempt that no longer waits.
        attempt: id::Attempt,
    },
    /// Release a permit.
    Release {
        /// Home that owns the upstream's account now.
        to: id::Router,
        /// Upstream that the permit was granted for.
        upstream: id::Upstream,
        /// Attempt that held the permit.
        attempt: id::Attempt,
    },
    /// Renew all permits that are held of a home.
    Renew {
        /// Home that receives the renewal.
        to: id::Router,
        /// All permits held of this home, by upstream.
        held: Vec<HeldPermits>,
    },
    /// Notify the home of a chat's first choice that the chat's prefix moves.
    Moved {
        /// Home of the chat's first choice.
        to: id::Router,
        /// Chat whose prefix moves.
        chat: id::Chat,
        /// First choice of the chat.
        first: id::Upstream,
        /// Upstream that holds the prefix from now on.
        upstream: id::Upstream,
    },
    /// Start the attempt at the granted upstream.
    Granted(Grant),
    /// Refuse the attempt.
    Refused {
        /// Attempt that is refused.
        attempt: id::Attempt,
        /// Reason and retry delay for the caller.
        refusal: Refusal,
        /// Steps that led to the refusal.
        steps: Vec<Step>,
    },
}

/// Permission for an attempt to use an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// Attempt that may start.
    pub attempt: id::Attempt,
    /// Upstream that the attempt may use.
    pub upstream: id::Upstream,
    /// Upstream that presumably holds the chat's prefix, if importing it from there is worthwhile.
    pub import_from: Option<id::Upstream>,
    /// Whether no home was reached, so that the attempt has no permit.
    pub degraded: bool,
    /// Whether the customer is over its share of the upstream, so that the engine should serve other customers first.
    pub over_share: bool,
    /// Steps that led to the grant.
    pub steps: Vec<Step>,
}
