//! Limits on which upstreams may be given requests, and how fast.
//!
//! [`Pool::allows`] checks the four limits in one place: whether requests would [`reach`] the upstream (it is usable,
//! and its zone is neither evacuated nor partitioned); the admission of its [version](versions); its
//! [health](crate::health); and its rate limit while it is [`cold`].

use stairvale_rollout::Admission;
use stairvale_types::Moment;

use crate::{Ask, Member, Pool};

pub(super) mod cold;
pub(super) mod reach;
pub(super) mod versions;

use reach::Reach;

/// How strictly the rate limits of upstreams are applied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Limits {
    /// Every upstream is limited to the rate that it could sustain if it had turned cold without a report yet, and a
    /// cold upstream without a configured rate gets nothing.
    Strict,
    /// Only upstreams that are known to be cold are limited. This is better than refusing the request.
    Relaxed,
}

/// A class of members that a decision considers, and how strictly their rate limits apply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Tier {
    admission: Admission,
    limits: Limits,
}

impl Tier {
    /// Members that serve, with the strict limits.
    pub(super) const FIRST: Self = Self { admission: Admission::Any, limits: Limits::Strict };
    /// Members of a version on trial; their limits are always strict.
    pub(super) const TRIAL: Self = Self { admission: Admission::Trial, limits: Limits::Strict };
    /// Members that serve, with the relaxed limits.
    const RELAXED: Self = Self { admission: Admission::Any, limits: Limits::Relaxed };
    /// Members of the version that the fleet moves away from, with the strict limits: they are used before the limits
    /// of the others are relaxed.
    const LEAVING: Self = Self { admission: Admission::LastResort, limits: Limits::Strict };
    /// Members of the version that the fleet moves away from, with the relaxed limits.
    const LEAVING_RELAXED: Self = Self { admission: Admission::LastResort, limits: Limits::Relaxed };
    /// The classes that a decision considers in turn.
    const STEADY: [Self; 2] = [Self::FIRST, Self::RELAXED];
    /// The classes that a decision considers in turn while the fleet moves to another version.
    const MOVING: [Self; 4] = [Self::FIRST, Self::LEAVING, Self::RELAXED, Self::LEAVING_RELAXED];
}

/// The moment and the request of a decision, with the reachable members.
pub(super) struct Decision<'a> {
    pub(super) now: Moment,
    pub(super) ask: &'a Ask,
    pub(super) reach: &'a Reach<'a>,
    /// Whether none of the members that may serve the request is healthy: then an unhealthy one is better than a
    /// refusal.
    none_healthy: bool,
}

impl<'a> Decision<'a> {
    pub(super) fn new(pool: &Pool, now: Moment, ask: &'a Ask, reach: &'a Reach<'a>) -> Self {
        let mut decision = Self { now, ask, reach, none_healthy: false };
        decision.none_healthy = !pool.members().any(|member| decision.may_serve(member) && member.health.is_open(now));
        decision
    }

    fn may_serve(&self, member: &Member) -> bool {
        self.reach.may_use(member) && self.permits(member)
    }

    /// Whether the request itself permits the member.
    fn permits(&self, member: &Member) -> bool {
        self.ask.allows(&member.zone) && !self.ask.avoid.contains(&member.id)
    }
}

impl Pool {
    /// Returns the classes of members that a decision considers in turn.
    pub(super) fn tiers(&self) -> &'static [Tier] {
        if self.versions.is_moving() { &Tier::MOVING } else { &Tier::STEADY }
    }

    /// Whether a member may be given one more request now, apart from its free slots and memory.
    pub(super) fn allows(&self, decision: &Decision<'_>, member: &Member, tier: Tier) -> bool {
        if member.admission != tier.admission {
            return false;
        }
        let open = member.health.is_open(decision.now);
        let able = match tier.admission {
            Admission::Any | Admission::LastResort => (decision.none_healthy || open) && decision.may_serve(member),
            // Healthy members were selected for the trial, if there are any.
            Admission::Trial => decision.reach.is_near(member) && decision.permits(member),
            Admission::Nothing => false,
        };
        able && self.is_within_rate(decision.now, member, tier.limits)
    }
}
