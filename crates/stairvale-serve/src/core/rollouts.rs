//! Services that move to another version: what this router does for it, as the service's home or not.
//!
//! Every router follows its copy of the store. A service's home lets the [`Steward`] reserve and judge, and hands what that one
//! says to its own pool, before the store has it; any other router's pool holds no reservation.

use std::collections::{BTreeMap, BTreeSet};

use stairvale_replica::{Revision, Subject};
use stairvale_rollout::{Admission, Cause, Policy, Reservation, Stage, Step, Steward, Write, Written};
use stairvale_types::{Moment, id};

use super::{Core, Effect, writing::Writing};
use crate::frame::Frame;

/// What a pool holds that isn't the home's.
const NOTHING: Reservation = Reservation { requests: 0, until: Moment::ZERO, over: 1, unrepeatable: false };

/// Services of which it is remembered that a version was found bad, before the store says so: several times as many as a fleet
/// rolls out at once.
const CONDEMNED: usize = 64;

/// All roll-outs that this router knows of.
#[derive(Debug, Default)]
pub(super) struct Rollouts {
    services: BTreeMap<id::Service, Rollout>,
    /// Orders whose version somebody found bad, by service; the store may not say so yet.
    condemned: BTreeMap<id::Service, u64>,
    /// How changes of records reach the store.
    pub(super) writing: Writing,
}

/// One of them.
#[derive(Debug)]
struct Rollout {
    steward: Steward,
    /// Whether this router was the service's home a moment ago.
    leads: bool,
    /// What the steward said as the home's: it goes before the copy.
    followed: Option<Policy>,
    /// What the copy said last.
    told: Option<(id::Version, Stage)>,
}

impl Core {
    /// What versions of a service may be given, by all that this router knows; `None` if they are all the same.
    #[must_use]
    pub fn policy(&self, service: &id::Service) -> Option<Policy> {
        let copy = self.view.policy(service)?;
        let rollout = self.rollouts.services.get(service);
        let mut policy = rollout.and_then(|rollout| rollout.followed.clone()).unwrap_or(copy);
        if !policy.stage.is_over() && self.is_condemned(service, &policy) {
            policy.stage = Stage::RolledBack(Cause::Failing);
        }
        Some(policy)
    }

    /// Whether an upstream's version may be sent anything at all.
    pub(super) fn admits(&self, service: &id::Service, version: Option<&id::Version>) -> bool {
        self.policy(service).is_none_or(|policy| policy.admits(version) != Admission::Nothing)
    }

    /// Whether somebody found the version bad that a policy is about.
    fn is_condemned(&self, service: &id::Service, policy: &Policy) -> bool {
        let Some(condemned) = self.rollouts.condemned.get(service) else {
            return false;
        };
        let order = self.view.order(service).filter(|(_, order)| order.target == policy.target);
        let record = self.view.rollout(service).filter(|(_, record)| record.target == policy.target);
        order.is_some_and(|(order, _)| order == *condemned)
            || record.is_some_and(|(_, record)| record.order == *condemned)
    }

    /// Whether this router carries a service's roll-out on.
    fn leads(&self, now: Moment, service: &id::Service) -> bool {
        let home = self.standing_home(service) == Some(&self.me);
        home && !self.leaving && self.knows_fleet(now) && self.has_joined(now)
    }

    // ------------------------------------------------------------------------
    // What the store says.

    /// Takes what changed of orders and records.
    pub(super) fn learn_rollouts(&mut self, now: Moment, changed: &BTreeSet<Subject>) -> Vec<Effect> {
        let services: BTreeSet<_> = changed
            .iter()
            .filter_map(|subject| match subject {
                Subject::Order(service) | Subject::Rollout(service) => Some(service.clone()),
                Subject::Configuration
                | Subject::Upstream(_)
                | Subject::Router(_)
                | Subject::Evacuation(_)
                | Subject::Quarantine(_) => None,
            })
            .collect();
        services.iter().flat_map(|service| self.learn_rollout(now, service)).collect()
    }

    fn learn_rollout(&mut self, now: Moment, service: &id::Service) -> Vec<Effect> {
        let (order, record) = (self.view.order(service), self.view.rollout(service));
        if order.is_none() && record.is_none() {
            self.rollouts.services.remove(service);
            self.rollouts.condemned.remove(service);
            return self.follow(now, service);
        }
        if let (Some(condemned), Some((present, _))) = (self.rollouts.condemned.get_mut(service), order) {
            // The same order stands in the store after a restore.
            let (told, stands) = (Revision::from(*condemned), Revision::from(present));
            if told.epoch() < stands.epoch() && told.number() == stands.number() {
                *condemned = present;
                if let Some(rollout) = self.rollouts.services.get_mut(service) {
                    rollout.steward.condemned(present);
                }
            }
        }
        let (me, bounds, pools) = (&self.me, self.bounds.rollout(), &mut self.pools);
        let condemned = self.rollouts.condemned.get(service).copied();
        let rollout = self.rollouts.services.entry(service.clone()).or_insert_with(|| {
            // What the pool saw before any order says nothing of it.
            if let Some(pool) = pools.get_mut(service) {
                pool.report();
            }
            let mut steward = Steward::new(me.clone(), service.clone(), bounds);
            if let Some(order) = condemned {
                steward.condemned(order);
            }
            Rollout { steward, leads: false, followed: None, told: None }
        });
        rollout.steward.learn(now, order, record);
        if record
            .is_some_and(|(_, record)| record.stage.is_over() && condemned.is_some_and(|order| order <= record.order))
        {
            // The store says so itself.
            self.rollouts.condemned.remove(service);
        }
        let mut effects = Vec::new();
        if let Some(copy) = self.view.policy(service) {
            // Where this copy is still behind what the steward wrote, that one says it again.
            rollout.followed = None;
            let told = (copy.target.clone(), copy.stage);
            if rollout.told.as_ref() != Some(&told) {
                rollout.told = Some(told);
                let record = record.map(|(_, record)| Box::new(record.clone()));
                effects.push(Effect::Stage { service: service.clone(), policy: copy, record });
            }
        }
        // What the pool tells the steward is to be by the newest versions.
        effects.extend(self.follow(now, service));
        effects.extend(self.carry_on(now, service));
        effects
    }

    /// Hands what a service's versions may be given to its pool.
    pub(super) fn follow(&mut self, now: Moment, service: &id::Service) -> Vec<Effect> {
        let policy = self.policy(service);
        let answers = self.pools.get_mut(service).map(|pool| pool.set_policy(now, policy));
        self.answers(answers.unwrap_or_default())
    }

    // ------------------------------------------------------------------------
    // The home's part.

    /// Lets time pass for all roll-outs.
    pub(super) fn tick_rollouts(&mut self, now: Moment) -> Vec<Effect> {
        let late = self.rollouts.writing.late(now);
        let mut effects: Vec<_> = late.into_iter().flat_map(|s| self.ended(now, &s, Written::Unknown)).collect();
        for service in self.rollouts.services.keys().cloned().collect::<Vec<_>>() {
            effects.extend(self.carry_on(now, &service));
        }
        effects
    }

    fn carry_on(&mut self, now: Moment, service: &id::Service) -> Vec<Effect> {
        let leads = self.leads(now, service);
        let Some(rollout) = self.rollouts.services.get_mut(service) else {
            return Vec::new();
        };
        let led = std::mem::replace(&mut rollout.leads, leads);
        let Some(pool) = self.pools.get_mut(service) else {
            return Vec::new();
        };
        // Who only stands in for a home counts for nobody.
        let report = pool.report();
        if !leads {
            if !led {
                return Vec::new();
            }
            rollout.steward.rest();
            rollout.followed = None;
            pool.reserve(NOTHING);
            return self.follow(now, service);
        }
        rollout.steward.observe(now, report);
        let steps = rollout.steward.tick(now, &pool.facts(now));
        steps.into_iter().flat_map(|step| self.step(now, service, step)).collect()
    }

    fn step(&mut self, now: Moment, service: &id::Service, step: Step) -> Vec<Effect> {
        match step {
            Step::Write(write) => self.write(now, write),
            Step::Say(event) => vec![Effect::Say(Box::new(event))],
            Step::Reserve(reservation) => {
                if let Some(pool) = self.pools.get_mut(service) {
                    pool.reserve(reservation);
                }
                Vec::new()
            }
            Step::Follow(policy) => {
                let mut effects = match policy.stage {
                    Stage::RolledBack(Cause::Failing | Cause::Slow) => self.condemn(service),
                    Stage::RolledBack(Cause::Withdrawn | Cause::Missing | Cause::Unproven)
                    | Stage::Trial
                    | Stage::Moving
                    | Stage::Completed => Vec::new(),
                };
                if let Some(rollout) = self.rollouts.services.get_mut(service) {
                    rollout.followed = Some(policy);
                }
                effects.extend(self.follow(now, service));
                effects
            }
        }
    }

    // ------------------------------------------------------------------------
    // Verdicts.

    /// This router as a service's home found a version bad. All peers are told, since the store may be away.
    fn condemn(&mut self, service: &id::Service) -> Vec<Effect> {
        // Of the order itself: one that came later may name the same version, mended.
        let Some(order) = self.rollouts.services.get(service).and_then(|rollout| rollout.steward.condemns()) else {
            return Vec::new();
        };
        if self.rollouts.condemned.get(service).is_some_and(|known| *known >= order) {
            return Vec::new();
        }
        self.rollouts.condemned.insert(service.clone(), order);
        let peers = self.present().filter(|peer| peer.router != self.me);
        let to: Vec<_> = peers.map(|peer| (peer.router.clone(), peer.address)).collect();
        self.condemnation(to, service, order)
    }

    /// A peer found a version bad.
    pub(super) fn condemned(&mut self, now: Moment, service: &id::Service, order: u64) -> Vec<Effect> {
        // Who has just started may be told of it before it has a copy of the store.
        let room = self.rollouts.condemned.contains_key(service) || self.rollouts.condemned.len() < CONDEMNED;
        if !room || self.rollouts.condemned.get(service).is_some_and(|known| *known >= order) {
            return Vec::new();
        }
        self.rollouts.condemned.insert(service.clone(), order);
        if let Some(rollout) = self.rollouts.services.get_mut(service) {
            rollout.steward.condemned(order);
        }
        let mut effects = self.follow(now, service);
        effects.extend(self.carry_on(now, service));
        effects
    }

    /// Tells a router that has just joined which versions were found bad, as far as the store doesn't say so yet.
    pub(super) fn tell_condemned(&self, to: &id::Router) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (service, order) in &self.rollouts.condemned {
            let copy = self.view.policy(service).filter(|copy| !copy.stage.is_over());
            if copy.is_some_and(|copy| self.is_condemned(service, &copy)) {
                effects.extend(self.condemnation(self.heard(to).into_iter().collect(), service, *order));
            }
        }
        effects
    }

    // ------------------------------------------------------------------------
    // Writes.

    /// Sends a change of a record on its way, by this router's own call to the store or by a peer's.
    fn write(&mut self, now: Moment, write: Write) -> Vec<Effect> {
        if self.rollouts.writing.by_others(now) {
            let helpers = self.helpers();
            if let Some(helper) = self.rollouts.writing.pick(&helpers).cloned() {
                let number = self.rollouts.writing.forward(now, write.service.clone());
                return self.send(&helper, Frame::Write { number, write });
            }
        }
        vec![Effect::Write(write)]
    }

    /// Routers that read the store for others, and so may write to it: those of other zones, too.
    fn helpers(&self) -> Vec<id::Router> {
        let watchers = self.roles.leader.iter().chain(self.roles.watchers.values());
        let heard =
            watchers.filter(|router| **router != self.me && self.swim.peer(router).is_some_and(super::is_heard));
        let heard = heard.filter(|router| self.knows_epochs(router));
        heard.collect::<BTreeSet<_>>().into_iter().cloned().collect()
    }

    /// What became of a change of a record that this router wrote itself.
    pub fn written(&mut self, now: Moment, service: &id::Service, written: Written) -> Vec<Effect> {
        self.rollouts.writing.own_ended(now, &written);
        self.ended(now, service, written)
    }

    /// What became of a change that this router wrote for a peer.
    #[must_use]
    pub fn written_for(&self, peer: &id::Router, number: u64, written: Written) -> Vec<Effect> {
        let written = self.written_as_known(peer, written);
        self.send(peer, Frame::Written { number, written })
    }

    /// What became of a change that a peer wrote for this router.
    pub(super) fn forwarded(&mut self, now: Moment, number: u64, written: Written) -> Vec<Effect> {
        match self.rollouts.writing.forwarded(number, &written) {
            Some(service) => self.ended(now, &service, written),
            None => Vec::new(),
        }
    }

    fn ended(&mut self, now: Moment, service: &id::Service, written: Written) -> Vec<Effect> {
        if let Some(rollout) = self.rollouts.services.get_mut(service) {
            rollout.steward.written(now, written);
        }
        self.carry_on(now, service)
    }
}
