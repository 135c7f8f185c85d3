//! What an upstream may be given, and how fast.
//!
//! Four things limit it, and a decision asks them in one place, [`Pool::allows`]: whether work would [`reach`] it (it is in
//! use, its zone isn't evacuated or behind a cut); what its [version](versions) may get; how it does by its
//! [health](crate::health); and the pace that it bears while it is [`cold`].

use stairvale_rollout::Admission;
use stairvale_types::Moment;

use crate::{Ask, Member, Pool};

pub(super) mod cold;
pub(super) mod reach;
pub(super) mod versions;

use reach::Reach;

/// How strictly limits to what upstreams bear are taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Care {
    /// Nobody is given as much as one that turns cold unseen couldn't bear, and who is cold at an unknown pace gets nothing.
    Full,
    /// Only what is known to be cold is limited: better than a refusal.
    Known,
}

/// Whom a decision looks at, and how carefully.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Resort {
    admission: Admission,
    care: Care,
}

impl Resort {
    /// Those that serve, with all care.
    pub(super) const FIRST: Self = Self { admission: Admission::Any, care: Care::Full };
    /// Those of a version on trial: it is never worth less care.
    pub(super) const TRIAL: Self = Self { admission: Admission::Trial, care: Care::Full };
    /// Those that serve, with less care.
    const STRAINED: Self = Self { admission: Admission::Any, care: Care::Known };
    /// Those that the fleet leaves: sooner than to overdo the others.
    const LEAVING: Self = Self { admission: Admission::Last, care: Care::Full };
    /// And those with less care.
    const LAST: Self = Self { admission: Admission::Last, care: Care::Known };
    /// Whom to look at in turn.
    const SETTLED: [Self; 2] = [Self::FIRST, Self::STRAINED];
    /// The same while the fleet moves to another version.
    const MOVING: [Self; 4] = [Self::FIRST, Self::LEAVING, Self::STRAINED, Self::LAST];
}

/// What a decision knows of its moment and its request.
pub(super) struct Chance<'a> {
    pub(super) now: Moment,
    pub(super) ask: &'a Ask,
    pub(super) within: &'a Reach<'a>,
    /// Whether none that may serve it is well: any of them is better than a refusal then.
    none_well: bool,
}

impl<'a> Chance<'a> {
    pub(super) fn new(pool: &Pool, now: Moment, ask: &'a Ask, within: &'a Reach<'a>) -> Self {
        let mut chance = Self { now, ask, within, none_well: false };
        chance.none_well = !pool.members().any(|member| chance.serves(member) && member.health.is_open(now));
        chance
    }

    fn serves(&self, member: &Member) -> bool {
        self.within.has(member) && self.suits(member)
    }

    /// Whether the request may go there by what it says itself.
    fn suits(&self, member: &Member) -> bool {
        self.ask.allows(&member.zone) && !self.ask.avoid.contains(&member.id)
    }
}

impl Pool {
    /// Whom a decision looks at, in turn.
    pub(super) fn resorts(&self) -> &'static [Resort] {
        if self.versions.is_moving() { &Resort::MOVING } else { &Resort::SETTLED }
    }

    /// Whether a member may be given one more request now, as far as it isn't a matter of room.
    pub(super) fn allows(&self, chance: &Chance<'_>, member: &Member, resort: Resort) -> bool {
        if member.admission != resort.admission {
            return false;
        }
        let open = member.health.is_open(chance.now);
        let able = match resort.admission {
            Admission::Any | Admission::Last => (chance.none_well || open) && chance.serves(member),
            // Those that are well were chosen, if there are any.
            Admission::Trial => chance.within.is_near(member) && chance.suits(member),
            Admission::Nothing => false,
        };
        able && self.bears(chance.now, member, resort.care)
    }
}
