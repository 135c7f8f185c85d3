//! Roll-outs of services to another version: what this router does as the service's home, and otherwise.
//!
//! Every router follows its copy of the store. A service's home runs the roll-out controller ([`RolloutController`]),
//! which makes reservations and judges the version, and applies the controller's policy to its own pool before the
//! store shows it. Any other router's pool has no reservation.

use std::collections::{BTreeMap, BTreeSet};

use stairvale_replica::{Revision, Subject};
use stairvale_rollout::{Admission, Cause, Policy, Reservation, RolloutController, Stage, Step, Write, Written};
use stairvale_types::{Moment, id};

use super::{
    Core, Effect,
    writing::{Obstacle, Writing},
};
use crate::frame::Frame;

/// The reservation of a pool whose router isn't the home.
const EMPTY_RESERVATION: Reservation =
    Reservation { requests: 0, until: Moment::ZERO, upstreams: 1, unrepeatable: false };

/// Maximum number of services for which a rejected version is remembered before the store shows it: several times the
/// number of roll-outs that a fleet runs at once.
const MAX_REJECTED_ORDERS: usize = 64;

/// Maximum number of peers that are synced with at once to find out whether they support epochs.
const MAX_EPOCH_REQUESTS: usize = 16;

/// All roll-outs that this router knows of.
#[derive(Debug, Default)]
pub(super) struct Rollouts {
    services: BTreeMap<id::Service, Rollout>,
    /// The orders whose version was rejected by some home, by service; the store may not show it yet.
    rejected_orders: BTreeMap<id::Service, u64>,
    /// How changes of roll-out records are written to the store.
    pub(super) writing: Writing,
}

/// The roll-out of one service.
#[derive(Debug)]
struct Rollout {
    controller: RolloutController,
    /// Whether this router controlled the roll-out when it was last checked.
    is_controlling: bool,
    /// The policy that the controller set at this router as the home; it takes precedence over the copy of the store.
    controller_policy: Option<Policy>,
    /// The version and stage in the copy that were last reported.
    last_reported: Option<(id::Version, Stage)>,
}

impl Core {
    /// What each version of a service may be sent, by all information at this router; `None` if all versions are
    /// treated alike.
    #[must_use]
    pub fn policy(&self, service: &id::Service) -> Option<Policy> {
        let copy = self.view.policy(service)?;
        let rollout = self.rollouts.services.get(service);
        let mut policy = rollout.and_then(|rollout| rollout.controller_policy.clone()).unwrap_or(copy);
        if !policy.stage.is_over() && self.is_rejected(service, &policy) {
            policy.stage = Stage::RolledBack(Cause::Failing);
        }
        Some(policy)
    }

    /// Whether upstreams of a version may be sent any request at all.
    pub(super) fn admits(&self, service: &id::Service, version: Option<&id::Version>) -> bool {
        self.policy(service).is_none_or(|policy| policy.admits(version) != Admission::Nothing)
    }

    /// Whether the target version of a policy was rejected by this or another router.
    fn is_rejected(&self, service: &id::Service, policy: &Policy) -> bool {
        let Some(rejected) = self.rollouts.rejected_orders.get(service) else {
            return false;
        };
        let order = self.view.order(service).filter(|(_, order)| order.target == policy.target);
        let record = self.view.rollout(service).filter(|(_, record)| record.target == policy.target);
        order.is_some_and(|(order, _)| order == *rejected)
            || record.is_some_and(|(_, record)| record.order == *rejected)
    }

    /// Whether this router controls a service's roll-out.
    fn controls_rollout(&self, now: Moment, service: &id::Service) -> bool {
        let home = self.assigned_home(service) == Some(&self.me);
        home && !self.leaving && self.knows_fleet(now) && self.has_joined(now)
    }

    // ------------------------------------------------------------------------
    // Changes in the store.

    /// Applies changes of orders and records.
    pub(super) fn apply_rollout_changes(&mut self, now: Moment, changed: &BTreeSet<Subject>) -> Vec<Effect> {
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
        services.iter().flat_map(|service| self.apply_rollout_change(now, service)).collect()
    }

    fn apply_rollout_change(&mut self, now: Moment, service: &id::Service) -> Vec<Effect> {
        let (order, record) = (self.view.order(service), self.view.rollout(service));
        if order.is_none() && record.is_none() {
            self.rollouts.services.remove(service);
            self.rollouts.rejected_orders.remove(service);
            return self.update_pool_policy(now, service);
        }
        if let (Some(rejected), Some((current, _))) = (self.rollouts.rejected_orders.get_mut(service), order) {
            // After a restore the store holds the same order under a new epoch.
            let (known, stored) = (Revision::from(*rejected), Revision::from(current));
            if known.epoch() < stored.epoch() && known.number() == stored.number() {
                *rejected = current;
                if let Some(rollout) = self.rollouts.services.get_mut(service) {
                    rollout.controller.peer_rejected(current);
                }
            }
        }
        let (me, bounds, pools) = (&self.me, self.bounds.rollout(), &mut self.pools);
        let rejected = self.rollouts.rejected_orders.get(service).copied();
        let rollout = self.rollouts.services.entry(service.clone()).or_insert_with(|| {
            // What the pool counted before there was an order doesn't belong to the roll-out.
            if let Some(pool) = pools.get_mut(service) {
                pool.report();
            }
            let mut controller = RolloutController::new(me.clone(), service.clone(), bounds);
            if let Some(order) = rejected {
                controller.peer_rejected(order);
            }
            Rollout { controller, is_controlling: false, controller_policy: None, last_reported: None }
        });
        rollout.controller.store_updated(now, order, record);
        if record
            .is_some_and(|(_, record)| record.stage.is_over() && rejected.is_some_and(|order| order <= record.order))
        {
            // The store shows the rejection itself now.
            self.rollouts.rejected_orders.remove(service);
        }
        let mut effects = Vec::new();
        if let Some(copy) = self.view.policy(service) {
            // If this copy is still behind what the controller wrote, the controller sets its policy again.
            rollout.controller_policy = None;
            let shown = (copy.target.clone(), copy.stage);
            if rollout.last_reported.as_ref() != Some(&shown) {
                rollout.last_reported = Some(shown);
                let record = record.map(|(_, record)| Box::new(record.clone()));
                effects.push(Effect::Stage { service: service.clone(), policy: copy, record });
            }
        }
        // What the pool reports to the controller has to be by the newest versions.
        effects.extend(self.update_pool_policy(now, service));
        effects.extend(self.run_controller(now, service));
        effects
    }

    /// Applies the service's current policy to its pool.
    pub(super) fn update_pool_policy(&mut self, now: Moment, service: &id::Service) -> Vec<Effect> {
        let policy = self.policy(service);
        let answers = self.pools.get_mut(service).map(|pool| pool.set_policy(now, policy));
        self.deliver_answers(answers.unwrap_or_default())
    }

    // ------------------------------------------------------------------------
    // The home's side.

    /// Advances the clock of all roll-outs.
    pub(super) fn tick_rollouts(&mut self, now: Moment) -> Vec<Effect> {
        let timed_out = self.rollouts.writing.take_timed_out(now);
        let mut effects: Vec<_> =
            timed_out.into_iter().flat_map(|s| self.handle_written(now, &s, Written::Unknown)).collect();
        for service in self.rollouts.services.keys().cloned().collect::<Vec<_>>() {
            effects.extend(self.run_controller(now, &service));
        }
        effects
    }

    fn run_controller(&mut self, now: Moment, service: &id::Service) -> Vec<Effect> {
        let controls = self.controls_rollout(now, service);
        let Some(rollout) = self.rollouts.services.get_mut(service) else {
            return Vec::new();
        };
        let controlled = std::mem::replace(&mut rollout.is_controlling, controls);
        let Some(pool) = self.pools.get_mut(service) else {
            return Vec::new();
        };
        // The report is taken and dropped if this router isn't the home: what a stand-in counts belongs to no
        // controller.
        let report = pool.report();
        if !controls {
            if !controlled {
                return Vec::new();
            }
            rollout.controller.step_down();
            rollout.controller_policy = None;
            pool.reserve(EMPTY_RESERVATION);
            return self.update_pool_policy(now, service);
        }
        rollout.controller.observe(now, report);
        let steps = rollout.controller.tick(now, &pool.facts(now));
        steps.into_iter().flat_map(|step| self.apply_step(now, service, step)).collect()
    }

    fn apply_step(&mut self, now: Moment, service: &id::Service, step: Step) -> Vec<Effect> {
        match step {
            Step::Write(write) => self.write(now, write),
            Step::Log(event) => vec![Effect::ReportEvent(Box::new(event))],
            Step::Reserve(reservation) => {
                if let Some(pool) = self.pools.get_mut(service) {
                    pool.reserve(reservation);
                }
                Vec::new()
            }
            Step::SetPolicy(policy) => {
                let mut effects = match policy.stage {
                    Stage::RolledBack(Cause::Failing | Cause::Slow) => self.reject_version(service),
                    Stage::RolledBack(Cause::Withdrawn | Cause::Missing | Cause::Unproven)
                    | Stage::Trial
                    | Stage::Moving
                    | Stage::Completed => Vec::new(),
                };
                if let Some(rollout) = self.rollouts.services.get_mut(service) {
                    rollout.controller_policy = Some(policy);
                }
                effects.extend(self.update_pool_policy(now, service));
                effects
            }
        }
    }

    // ------------------------------------------------------------------------
    // Rejected versions.

    /// Records that this router as the service's home rejected a version, and notifies all peers, since the store may
    /// be unavailable.
    fn reject_version(&mut self, service: &id::Service) -> Vec<Effect> {
        // The rejection concerns the order itself: a later order may carry the same version name after a fix.
        let Some(order) = self.rollouts.services.get(service).and_then(|rollout| rollout.controller.rejected_order())
        else {
            return Vec::new();
        };
        if self.rollouts.rejected_orders.get(service).is_some_and(|rejected| *rejected >= order) {
            return Vec::new();
        }
        self.rollouts.rejected_orders.insert(service.clone(), order);
        let peers = self.responding_routers().filter(|peer| peer.router != self.me);
        let to: Vec<_> = peers.map(|peer| (peer.router.clone(), peer.address)).collect();
        self.rejection_frames(to, service, order)
    }

    /// Handles a peer's report that it rejected a version.
    pub(super) fn handle_rejection(&mut self, now: Moment, service: &id::Service, order: u64) -> Vec<Effect> {
        // A router that has just started may receive the report before it has a copy of the store, so unknown
        // services are recorded too.
        let has_room = self.rollouts.rejected_orders.contains_key(service)
            || self.rollouts.rejected_orders.len() < MAX_REJECTED_ORDERS;
        if !has_room || self.rollouts.rejected_orders.get(service).is_some_and(|rejected| *rejected >= order) {
            return Vec::new();
        }
        self.rollouts.rejected_orders.insert(service.clone(), order);
        if let Some(rollout) = self.rollouts.services.get_mut(service) {
            rollout.controller.peer_rejected(order);
        }
        let mut effects = self.update_pool_policy(now, service);
        effects.extend(self.run_controller(now, service));
        effects
    }

    /// Notifies a router that has just joined which versions were rejected, as far as the store doesn't show it yet.
    pub(super) fn send_rejections(&self, to: &id::Router) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (service, order) in &self.rollouts.rejected_orders {
            let copy = self.view.policy(service).filter(|copy| !copy.stage.is_over());
            if copy.is_some_and(|copy| self.is_rejected(service, &copy)) {
                effects.extend(self.rejection_frames(self.responding_peer(to).into_iter().collect(), service, *order));
            }
        }
        effects
    }

    // ------------------------------------------------------------------------
    // Writes to the store.

    /// Sends a change of a record to the store, by this router's own call or through a peer.
    fn write(&mut self, now: Moment, write: Write) -> Vec<Effect> {
        if !self.rollouts.writing.uses_peers(now) {
            return vec![Effect::Write(write)];
        }
        let (proxies, excluded) = self.write_proxies();
        let mut effects = self.request_epoch_support(now, &excluded);
        let Some(proxy) = self.rollouts.writing.pick(proxies.iter()).cloned() else {
            effects.extend(self.rollouts.writing.exhausted(excluded).map(Effect::ProxyReport));
            effects.extend([Effect::WriteWithoutProxy, Effect::Write(write)]);
            return effects;
        };
        let number = self.rollouts.writing.forward(now, proxy.clone(), write.service.clone());
        effects.extend(self.send(&proxy, Frame::Write { number, write }));
        effects
    }

    /// Syncs with peers that could write for this router if they support epochs. Otherwise it may never exchange a
    /// revision with them: only its update source has to answer it.
    fn request_epoch_support(&mut self, now: Moment, excluded: &[(id::Router, Obstacle)]) -> Vec<Effect> {
        let after = self.view.revision();
        let unknown = excluded.iter().filter(|(_, obstacle)| *obstacle == Obstacle::Epochs);
        unknown.take(MAX_EPOCH_REQUESTS).flat_map(|(peer, _)| self.send_sync(now, peer, after)).collect()
    }

    /// Routers that may write for this one, the preferred ones first, and those that can't. The reader and the watchers
    /// read the store, so they probably can write to it; this includes those of other zones. Others follow, since the
    /// store may refuse writes of routers that can read it.
    fn write_proxies(&self) -> (Vec<id::Router>, Vec<(id::Router, Obstacle)>) {
        let watchers: BTreeSet<_> = self.roles.reader.iter().chain(self.roles.watchers.values()).collect();
        let others = self.roles.home_candidates().filter(|router| !watchers.contains(router));
        let (mut proxies, mut excluded) = (Vec::new(), Vec::new());
        for router in watchers.iter().copied().chain(others).filter(|router| **router != self.me) {
            if !self.swim.peer(router).is_some_and(super::has_responded) {
                excluded.push((router.clone(), Obstacle::Unresponsive));
            } else if !self.knows_epochs(router) {
                excluded.push((router.clone(), Obstacle::Epochs));
            } else {
                proxies.push(router.clone());
            }
        }
        (proxies, excluded)
    }

    /// Handles the result of a write that this router made itself.
    pub fn written(&mut self, now: Moment, service: &id::Service, written: Written) -> Vec<Effect> {
        self.rollouts.writing.own_write_ended(now, &written);
        self.handle_written(now, service, written)
    }

    /// Sends a peer the result of a write that this router made for it.
    #[must_use]
    pub fn written_for(&self, peer: &id::Router, number: u64, written: Written) -> Vec<Effect> {
        let written = self.written_for_peer(peer, written);
        self.send(peer, Frame::Written { number, written })
    }

    /// Handles the result of a write that a peer made for this router.
    pub(super) fn handle_forwarded_write(&mut self, now: Moment, number: u64, written: Written) -> Vec<Effect> {
        let Some((service, report)) = self.rollouts.writing.take_forwarded(number, &written) else {
            return Vec::new();
        };
        let mut effects: Vec<_> = report.map(Effect::ProxyReport).into_iter().collect();
        effects.extend(self.handle_written(now, &service, written));
        effects
    }

    fn handle_written(&mut self, now: Moment, service: &id::Service, written: Written) -> Vec<Effect> {
        if let Some(rollout) = self.rollouts.services.get_mut(service) {
            rollout.controller.write_finished(now, written);
        }
        self.run_controller(now, service)
    }
}
