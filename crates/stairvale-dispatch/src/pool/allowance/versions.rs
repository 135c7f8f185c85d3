//! What upstreams may be given by their versions: a roll-out's policy, and what is reserved for a version on trial.
//!
//! A version on trial gets no more than was reserved for it, on a few upstreams that are chosen for each reservation in turn.
//! Each of them is given as many of the service's requests as the busiest old one may get, so that what is bad under load
//! shows, and every route gets its part.

use std::{collections::BTreeMap, time::Duration};

use stairvale_rollout::{Admission, Facts, Policy, Reservation, Stage};
use stairvale_types::{Moment, id};

use crate::{Answer, Ask, Member, Pool};

/// A route gets a request tried when this much of one is due to it: as many are given too soon as too late.
const DUE: f64 = 0.5;
/// What is due to a route at most, in requests: what it doesn't have in time goes to other routes.
const DUE_MOST: f64 = 2.0;
/// The part of what routes had before that counts with the next reservation.
const KEPT: f64 = 0.5;
/// Of the chosen ones none gets so many more than another one, in requests, while that one has room: which of them costs least
/// may matter, and yet each is to be tried.
const UNEVEN: u32 = 1;
/// Chosen upstreams are looked at again after this long, whether they can still be given anything: short beside a
/// reservation's time, and long beside the pause between two requests of a busy service.
const LOOK: Duration = Duration::from_millis(20);
/// A route of which fewer requests than this count is forgotten.
const FORGOTTEN: f64 = 0.1;

/// What one route is to get of a trial.
#[derive(Clone, Copy, Debug, Default)]
struct Portion {
    /// Requests that could have been tried, older ones less and less.
    seen: f64,
    /// Requests that it is to get yet.
    due: f64,
    /// How many of its next requests aren't tried, this one included.
    rests: u8,
}

/// A reservation that is being given out.
#[derive(Clone, Debug)]
struct Spell {
    reserved: Reservation,
    /// Requests that are left of it.
    left: u32,
    /// The upstreams that it is given to, with how many of it each of them got.
    chosen: Vec<(id::Upstream, u32)>,
    /// When these were looked at last.
    looked: Option<Moment>,
}

impl Spell {
    fn lasts(&self, now: Moment) -> bool {
        self.left > 0 && now < self.reserved.until
    }
}

/// What a service's versions may get.
#[derive(Debug, Default)]
pub(in crate::pool) struct Versions {
    policy: Option<Policy>,
    spell: Option<Spell>,
    /// The number of the last reservation.
    turn: u64,
    portions: BTreeMap<id::Route, Portion>,
    /// Upstreams that carry what isn't tried, when the chosen ones were looked at last.
    carrying: usize,
}

impl Versions {
    /// Whether the fleet moves from one version to another.
    pub(super) fn is_moving(&self) -> bool {
        self.policy.as_ref().is_some_and(|policy| policy.stage == Stage::Moving)
    }

    /// Whether what becomes of requests is asked for.
    pub(in crate::pool) fn is_watched(&self) -> bool {
        self.policy.as_ref().is_some_and(|policy| !policy.stage.is_over())
    }

    /// Says what a member may be given from now on.
    pub(in crate::pool) fn place(&self, member: &mut Member) {
        let version = member.version.as_ref();
        let policy = self.policy.as_ref();
        member.admission = policy.map_or(Admission::Any, |policy| policy.admits(version));
        member.is_new = policy.is_some_and(|policy| version == Some(&policy.target));
    }

    /// Whether a request may be tried by what it is, and by what is reserved.
    fn may_try(&self, now: Moment, ask: &Ask) -> bool {
        let spell = self.spell.as_ref().filter(|spell| spell.lasts(now));
        spell.is_some_and(|spell| ask.avoid.is_empty() && (ask.repeatable || spell.reserved.unrepeatable))
    }

    /// The upstreams on trial that a request may go to, in two parts: those that are behind with what they get of the
    /// reservation, and the others.
    pub(in crate::pool) fn chosen(&self, now: Moment, ask: &Ask) -> [Vec<&id::Upstream>; 2] {
        let (Some(spell), true) = (&self.spell, self.may_try(now, ask)) else {
            return [Vec::new(), Vec::new()];
        };
        let portion = self.portions.get(&ask.route).copied().unwrap_or_default();
        if portion.due < DUE || (portion.rests > 0 && self.carrying > 0) {
            return [Vec::new(), Vec::new()];
        }
        let least = spell.chosen.iter().map(|(_, given)| *given).min().unwrap_or(0);
        let part = |behind: bool| {
            let part = spell.chosen.iter().filter(move |(_, given)| (*given <= least + UNEVEN) == behind);
            part.map(|(id, _)| id).collect()
        };
        [part(true), part(false)]
    }

    fn chosen_count(&self) -> usize {
        self.spell.as_ref().map_or(0, |spell| spell.chosen.len())
    }

    /// A request was given to a chosen one.
    pub(in crate::pool) fn give(&mut self, route: id::Route, upstream: &id::Upstream) {
        if let Some(spell) = &mut self.spell {
            spell.left = spell.left.saturating_sub(1);
            for (_, given) in spell.chosen.iter_mut().filter(|(id, _)| id == upstream) {
                *given += 1;
            }
        }
        let is_whole = self.carrying > 1 && self.chosen_count() >= self.carrying;
        let portion = self.portions.entry(route).or_default();
        portion.due -= 1.0;
        // One of two requests of a route goes to the old version at least, to be compared with; but where as many are chosen
        // as carry the old version, they are to carry all of it for a moment.
        portion.rests = if is_whole { 0 } else { 2 };
    }

    /// A request came: what the chosen ones are to get of it is shared out among the routes, half of it by how many requests
    /// they have and half of it alike.
    #[allow(clippy::cast_precision_loss)]
    fn share_out(&mut self, now: Moment, ask: &Ask, multiple: f64) {
        let chosen = self.chosen_count();
        if self.may_try(now, ask) {
            let portion = self.portions.entry(ask.route).or_default();
            portion.seen += 1.0;
            portion.rests = portion.rests.saturating_sub(1);
        }
        let part = chosen as f64 / (self.carrying + chosen).max(1) as f64;
        // As much as the busiest old one may carry: what is bad under load is to show while little depends on it.
        let part = (part * multiple.max(1.0)).min(1.0);
        let all: f64 = self.portions.values().map(|portion| portion.seen).sum();
        let alike = 1.0 / self.portions.len().max(1) as f64;
        let weight = |portion: &Portion| portion.seen / all + alike;
        let open = self.portions.values().filter(|portion| portion.due < DUE_MOST);
        let sum: f64 = open.map(weight).sum();
        for portion in self.portions.values_mut().filter(|portion| portion.due < DUE_MOST) {
            portion.due += part * weight(portion) / sum;
        }
    }
}

impl Pool {
    /// Sets what the upstreams' versions may be given; without a policy all are alike. What waits may find room by it.
    pub fn set_policy(&mut self, now: Moment, policy: Option<Policy>) -> Vec<Answer> {
        let before = self.versions.policy.as_ref();
        if before == policy.as_ref() {
            return Vec::new();
        }
        let same = before.zip(policy.as_ref()).is_some_and(|(before, policy)| before.target == policy.target);
        if !same {
            self.watch.clear(now);
        }
        // What was reserved for one version's trial is nobody else's.
        if !same || policy.as_ref().is_none_or(|policy| policy.stage != Stage::Trial) {
            self.versions.spell = None;
            self.versions.portions.clear();
        }
        self.versions.policy = policy;
        for member in self.members.values_mut() {
            self.versions.place(member);
        }
        self.serve(now)
    }

    /// The version on trial may be given this, in place of what is left of the last reservation.
    pub fn reserve(&mut self, reservation: Reservation) {
        let versions = &mut self.versions;
        versions.turn += 1;
        for portion in versions.portions.values_mut() {
            portion.seen *= KEPT;
        }
        versions.portions.retain(|_, portion| portion.seen >= FORGOTTEN);
        versions.spell =
            Some(Spell { reserved: reservation, left: reservation.requests, chosen: Vec::new(), looked: None });
    }

    /// What a roll-out's decisions need to know of the upstreams.
    #[must_use]
    pub fn facts(&self, now: Moment) -> Facts {
        let mut facts = Facts::default();
        let mut told: BTreeMap<Option<&id::Version>, usize> = BTreeMap::new();
        let within = self.reach(now);
        for member in self.members.values() {
            // One that failed and is only being tried can't be counted on.
            let may = member.admission != Admission::Nothing;
            // But whether one that is on trial fails is just what is to be found out.
            let well = !member.health.is_trial() || member.admission == Admission::Trial;
            let ready = usize::from(may && within.reaches(member) && well);
            if member.is_new {
                facts.ready_new += ready;
                facts.running_new += member.running();
                continue;
            }
            facts.ready_old += ready;
            facts.running_old += member.running();
            if member.serves() {
                *told.entry(member.version.as_ref()).or_default() += 1;
            }
        }
        facts.serving = told.into_iter().max_by_key(|(_, count)| *count).and_then(|(version, _)| version.cloned());
        facts
    }

    /// A request was asked for.
    pub(in crate::pool) fn count(&mut self, now: Moment, ask: &Ask) {
        if !self.versions.is_watched() || !ask.avoid.is_empty() {
            return;
        }
        self.watch.count();
        if self.versions.spell.as_ref().is_some_and(|spell| spell.lasts(now)) {
            self.choose(now);
            self.versions.share_out(now, ask, self.rules.multiple);
        }
    }

    /// Chooses the upstreams that a reservation is given to, and others in place of those that can't be given anything any
    /// more: those first that weren't chosen for the longest time.
    fn choose(&mut self, now: Moment) {
        let due = |spell: &mut Spell| spell.looked.is_none_or(|at| now.since(at) >= LOOK);
        let Some(mut spell) = self.versions.spell.take_if(due) else {
            return;
        };
        spell.looked = Some(now);
        let within = self.reach(now);
        let carries = |member: &&Member| {
            member.admission == Admission::Any && within.reaches(member) && !member.health.is_trial()
        };
        let carrying = self.members.values().filter(carries).count();
        let near = |member: &Member| member.admission == Admission::Trial && within.is_near(member);
        // Where all have failed so often that anybody else would leave them alone, they are tried all the same: two of a few
        // failures each may be chance, and only more of them show that it is the version.
        let any_open = self.members.values().any(|member| near(member) && member.health.is_open(now));
        let fits = |member: &Member| near(member) && (!any_open || member.health.is_open(now));
        spell.chosen.retain(|(id, _)| self.members.get(id).is_some_and(fits));
        let lacks = spell.reserved.over.saturating_sub(spell.chosen.len());
        let mut others = Vec::new();
        if lacks > 0 {
            let is_chosen = |member: &Member| spell.chosen.iter().any(|(id, _)| *id == member.id);
            let fit = self.members.values().filter(|member| fits(member) && !is_chosen(member));
            let bears = |member: &Member| self.bears(now, member, super::Care::Full);
            others.extend(fit.map(|member| (!bears(member), member.turn, member.hash, member.id.clone())));
            others.sort_unstable();
            others.truncate(lacks);
        }
        let least = spell.chosen.iter().map(|(_, given)| *given).min().unwrap_or(0);
        for (_, _, _, id) in others {
            if let Some(member) = self.members.get_mut(&id) {
                member.turn = self.versions.turn;
            }
            spell.chosen.push((id, least));
        }
        self.versions.spell = Some(spell);
        self.versions.carrying = carrying;
    }
}
