//! The outcomes that docs/design/rollouts.md defines, with one test for each.

#![allow(clippy::unwrap_used, clippy::cast_precision_loss, clippy::cast_possible_truncation, clippy::cast_sign_loss)]

mod world;

use std::time::Duration;

use stairvale_rollout::{
    Admission, Answer, Bounds, Cause, FleetStatus, Policy, RolloutController, Stage, Step, Written,
};
use stairvale_types::Moment;
use world::{Route, Service, TICK, TestRng, bounds, healthy, order, version};

fn routes() -> Vec<Route> {
    vec![
        Route { name: "a", rate: 40.0, failing: 0.005, is_repeatable: true },
        Route { name: "b", rate: 20.0, failing: 0.005, is_repeatable: false },
    ]
}

fn service() -> Service {
    Service::new(6, 6, routes(), healthy, 7)
}

fn failing(rng: &mut TestRng, _: &Route, _: Duration, _: bool) -> Answer {
    if rng.chance(0.6) { Answer::Failed } else { Answer::Good }
}

fn record(service: &Service) -> &stairvale_rollout::Record {
    &service.store.record.as_ref().unwrap().1
}

#[test]
fn without_an_order_nothing_is_written_or_issued() {
    let mut service = service();
    service.run(5.0);
    assert_eq!(service.store.record, None);
    assert_eq!((service.new_requests, service.policy()), (0, None));
}

#[test]
fn the_same_order_again_keeps_the_budget_and_takes_the_new_deadline() {
    let mut service = service();
    service.order(Some(order("v2", 12.0)));
    service.run(5.0);
    let before = record(&service).clone();
    assert!(before.granted > 0 && before.stage == Stage::Trial);
    service.store.order(Some(order("v2", 20.0)));
    service.run(0.5);
    let after = record(&service);
    assert!(after.order > before.order && after.stage == Stage::Trial);
    assert!(after.granted >= before.granted && after.requests >= before.requests);
    assert_eq!(after.over, Duration::from_secs(20));
    assert!(after.elapsed < Duration::from_secs(1), "{:?}", after.elapsed);
    service.run_to_end(30.0);
    assert_eq!(service.stage(), Some(Stage::Completed));
}

#[test]
fn another_version_ordered_during_a_trial_starts_with_its_own_budget() {
    let mut service = service();
    service.order(Some(order("v2", 12.0)));
    service.run(5.0);
    let (given, reservations) = (service.new_requests, service.reservations.len());
    service.store.order(Some(order("v3", 12.0)));
    service.tick();
    assert_eq!(service.reservations[reservations].1.requests, 0, "the rest of a reservation is revoked");
    assert!(service.new_requests <= given + 4, "at most one tick's requests");
    service.run(0.2);
    let after = service.store.history.iter().find(|record| record.target == version("v3")).unwrap().clone();
    assert_eq!(after.stage, Stage::Trial);
    assert_eq!(after.rejected, [version("v2")]);
    assert_eq!(after.serving, Some(version("v1")));
    assert!(after.requests < 60 && after.granted == 0, "{after:?}");
    service.run_to_end(30.0);
    assert_eq!((record(&service).target.clone(), service.stage()), (version("v3"), Some(Stage::Completed)));
}

#[test]
fn a_withdrawn_order_rolls_back() {
    for seconds in [3.0, 9.6] {
        let mut service = service();
        // A request keeps running at the old version, so the fleet is still moving at 9.6 s.
        service.fleet.running_old = 1;
        service.order(Some(order("v2", 12.0)));
        service.run(seconds);
        assert!(!service.stage().unwrap().is_over());
        service.store.order(None);
        service.run(0.3);
        assert_eq!(service.stage(), Some(Stage::RolledBack(Cause::Withdrawn)));
    }
}

#[test]
fn an_order_withdrawn_after_its_end_changes_nothing() {
    let mut service = service();
    service.order(Some(order("v2", 12.0)));
    service.run_to_end(30.0);
    service.store.order(None);
    service.run(3.0);
    assert_eq!(service.stage(), Some(Stage::Completed));
}

#[test]
fn the_serving_version_is_completed_at_once() {
    // The version was rolled out before.
    let mut service = service();
    service.order(Some(order("v2", 12.0)));
    service.run_to_end(30.0);
    let history = service.store.history.len();
    service.order(Some(order("v2", 12.0)));
    service.run(0.2);
    assert_eq!(service.stage(), Some(Stage::Completed));
    assert_eq!(record(&service).order, service.store.order.as_ref().unwrap().0);
    assert_eq!(service.store.history.len(), history + 1);
}

#[test]
fn the_serving_version_is_completed_at_once_while_another_is_on_trial() {
    let mut service = service();
    service.order(Some(order("v2", 12.0)));
    service.run(4.0);
    service.store.order(Some(order("v1", 12.0)));
    service.run(0.2);
    assert_eq!((record(&service).target.clone(), service.stage()), (version("v1"), Some(Stage::Completed)));
    assert_eq!(record(&service).rejected, [version("v2")]);
}

#[test]
fn the_only_version_is_completed() {
    let mut service = service();
    service.fleet = FleetStatus { ready_new: 6, ..FleetStatus::default() };
    service.order(Some(order("v1", 12.0)));
    assert!(service.run_to_end(5.0).unwrap() < Duration::from_secs(2));
    assert_eq!(service.stage(), Some(Stage::Completed));
}

#[test]
fn a_moment_without_old_upstreams_completes_nothing() {
    let mut service = service();
    service.fleet.ready_old = 0;
    service.order(Some(order("v2", 12.0)));
    service.run(0.5);
    service.fleet.ready_old = 6;
    service.run(1.5);
    assert_eq!(service.stage(), Some(Stage::Trial));
}

#[test]
fn a_version_without_ready_upstreams_is_missing() {
    let mut service = service();
    service.fleet.ready_new = 0;
    service.order(Some(order("v2", 12.0)));
    let end = service.run_to_end(30.0).unwrap();
    assert_eq!(service.stage(), Some(Stage::RolledBack(Cause::Missing)));
    assert!(end > Duration::from_secs(11) && end < Duration::from_secs(13), "{end:?}");
}

/// With 80 requests per second for 10 s, the share of a tenth is a few dozen answers: as few as are needed to accept
/// the version.
#[test]
fn a_healthy_version_is_completed_in_time_without_any_slack() {
    let rates = [("a", 50.0, true), ("b", 30.0, false)];
    let routes = rates.map(|(name, rate, is_repeatable)| Route { name, rate, failing: 0.005, is_repeatable });
    let mut late = Vec::new();
    for seed in 0..20 {
        let mut service = Service::new(3, 3, routes.to_vec(), healthy, seed);
        let without = Bounds { slack: 0.0, ..bounds() };
        service.controller = RolloutController::new("r1".parse().unwrap(), "app".parse().unwrap(), without);
        service.order(Some(order("v2", 10.0)));
        service.run_to_end(30.0);
        let record = record(&service);
        assert!(record.granted <= record.requests / 10, "{record:?}");
        if record.stage != Stage::Completed || record.elapsed > record.over {
            late.push((seed, record.stage, record.elapsed));
        }
    }
    assert!(late.is_empty(), "{late:?}");
}

/// Two upstreams of six do well, but they couldn't sustain the service, and the old ones would be stopped.
#[test]
fn the_fleet_moves_only_to_enough_upstreams_to_sustain_the_service() {
    let mut service = service();
    service.fleet.ready_new = 2;
    service.order(Some(order("v2", 12.0)));
    service.run(13.0);
    assert_eq!(service.stage(), Some(Stage::Trial));
    service.fleet.ready_new = 3;
    service.run(6.0);
    assert!(matches!(service.stage(), Some(Stage::Moving | Stage::Completed)), "{:?}", service.stage());
}

#[test]
fn a_service_without_traffic_is_unproven_after_twice_the_time() {
    let mut service = service();
    service.routes.iter_mut().for_each(|route| route.rate = 0.0);
    service.order(Some(order("v2", 12.0)));
    let end = service.run_to_end(60.0).unwrap();
    assert_eq!(service.stage(), Some(Stage::RolledBack(Cause::Unproven)));
    assert!(end > Duration::from_secs(23) && end < Duration::from_secs(26), "{end:?}");
}

#[test]
fn a_version_that_was_rolled_back_is_tried_again_when_it_is_ordered_again() {
    let mut service = service();
    service.new = failing;
    service.order(Some(order("v2", 12.0)));
    service.run_to_end(30.0);
    assert_eq!(service.stage(), Some(Stage::RolledBack(Cause::Failing)));
    let (given, before) = (service.new_requests, record(&service).clone());
    service.run(5.0);
    assert_eq!(service.new_requests, given, "a rejected version gets no requests");
    service.new = healthy;
    service.policy_override = None;
    service.store.order(Some(order("v2", 12.0)));
    service.ordered_at = service.now;
    service.run(0.5);
    let after = record(&service).clone();
    assert_eq!(after.stage, Stage::Trial);
    assert!(after.granted >= before.granted);
    let room = bounds().share * after.requests as f64 + bounds().slack - before.granted as f64;
    let new_since = after.requests.saturating_sub(before.requests.min((before.granted as f64 / bounds().share) as u64));
    assert!(room <= bounds().slack + bounds().share * new_since as f64 + 1.0, "{room} {before:?} {after:?}");
    assert!(after.routes.values().all(|tally| tally.new.answers < 10), "{:?}", after.routes);
    service.run_to_end(40.0);
    assert_eq!(service.stage(), Some(Stage::Completed));
}

/// The service has ten minutes of traffic without any upstream of the version, and then the version is ordered again.
/// Its budget must then only grow with new requests.
#[test]
fn unused_budget_does_not_carry_over_to_a_new_order() {
    let mut service = service();
    service.fleet.ready_new = 0;
    service.order(Some(order("v2", 600.0)));
    service.run_to_end(700.0);
    assert_eq!(service.stage(), Some(Stage::RolledBack(Cause::Missing)));
    assert!(record(&service).requests > 30_000);
    service.fleet.ready_new = 6;
    service.store.order(Some(order("v2", 12.0)));
    service.run(3.0);
    let after = record(&service);
    assert!(after.stage == Stage::Trial && after.requests < 1_000, "{after:?}");
    assert!(after.granted as f64 <= 50.0 + 0.1 * after.requests as f64, "{after:?}");
}

/// The serving version must keep serving before a record says so: as a version on trial it would get next to nothing.
#[test]
fn the_serving_version_keeps_serving_when_it_is_ordered() {
    let mut service = service();
    service.order(Some(order("v2", 12.0)));
    service.run(4.0);
    for stage in [Stage::Trial, Stage::Moving, Stage::RolledBack(Cause::Failing)] {
        let (revision, record) = service.store.record.clone().unwrap();
        let record = stairvale_rollout::Record { stage, ..record };
        let policy = Policy::of(Some((revision + 1, &order("v1", 12.0))), Some(&record)).unwrap();
        let admits = |name| policy.admits(Some(&version(name)));
        assert_eq!((admits("v1"), admits("v2")), (Admission::Any, Admission::Nothing), "{stage:?}");
    }
}

#[test]
fn a_rejected_version_may_be_ordered_after_another() {
    let mut service = service();
    service.new = failing;
    service.order(Some(order("v2", 12.0)));
    service.run_to_end(30.0);
    for (target, rejected) in [("v3", vec![version("v2")]), ("v2", vec![version("v3")])] {
        service.store.order(Some(order(target, 12.0)));
        service.run(0.3);
        assert_eq!((record(&service).stage, &record(&service).rejected), (Stage::Trial, &rejected));
    }
}

#[test]
fn reverting_to_the_previous_version_is_a_trial_of_its_own() {
    let mut service = service();
    service.order(Some(order("v2", 12.0)));
    service.run_to_end(30.0);
    service.fleet.serving = Some(version("v2"));
    service.policy_override = None;
    service.order(Some(order("v1", 12.0)));
    service.run(1.0);
    assert_eq!((record(&service).target.clone(), service.stage()), (version("v1"), Some(Stage::Trial)));
    assert_eq!((&record(&service).serving, record(&service).rejected.len()), (&Some(version("v2")), 0));
}

#[test]
fn nothing_is_reserved_while_the_store_cannot_be_reached() {
    let mut controller = RolloutController::new("r1".parse().unwrap(), "app".parse().unwrap(), bounds());
    let order = order("v2", 12.0);
    let fleet = FleetStatus { ready_new: 6, ready_old: 6, serving: Some(version("v1")), ..FleetStatus::default() };
    let mut now = Moment::from_millis(1_000);
    controller.store_updated(now, Some((1, &order)), None);
    let mut writes = 0;
    for _ in 0..400 {
        now = now + TICK;
        controller.observe(now, stairvale_rollout::Report { requests: 5, observations: Vec::new() });
        let steps = controller.tick(now, &fleet);
        assert!(!steps.iter().any(|step| matches!(step, Step::Reserve(_))), "{steps:?}");
        if steps.iter().any(|step| matches!(step, Step::Write(_))) {
            writes += 1;
            controller.write_finished(now, Written::Refused);
        }
    }
    assert!(writes <= 25, "{writes} calls in twenty seconds to a store that refuses");
}

#[test]
fn a_peers_verdict_stops_the_version_before_it_is_stored() {
    let mut service = service();
    service.order(Some(order("v2", 12.0)));
    service.run(4.0);
    let revision = service.store.order.as_ref().unwrap().0;
    service.controller.peer_rejected(revision);
    let given = service.new_requests;
    service.tick();
    let stage = service.policy_override.as_ref().map(|policy: &Policy| policy.stage);
    assert_eq!(stage, Some(Stage::RolledBack(Cause::Failing)));
    service.run(0.3);
    assert_eq!(service.stage(), Some(Stage::RolledBack(Cause::Failing)));
    assert!(service.new_requests <= given + 4, "at most one tick's requests");
    assert_eq!(service.reservations.last().unwrap().1.requests, 0);
}

#[test]
fn a_verdict_on_an_earlier_order_does_not_apply_to_a_later_one() {
    let mut service = service();
    service.order(Some(order("v2", 12.0)));
    service.run(2.0);
    let revision = service.store.order.as_ref().unwrap().0;
    service.store.order(Some(order("v3", 12.0)));
    service.run(0.3);
    service.controller.peer_rejected(revision);
    service.run(1.0);
    assert_eq!((record(&service).target.clone(), service.stage()), (version("v3"), Some(Stage::Trial)));
}

#[test]
fn requests_at_the_old_version_may_finish_until_the_deadline() {
    let mut service = service();
    service.fleet.running_old = 3;
    service.order(Some(order("v2", 12.0)));
    let end = service.run_to_end(30.0).unwrap();
    assert_eq!(service.stage(), Some(Stage::Completed));
    assert!(end > Duration::from_secs(11) && end < Duration::from_secs(12), "{end:?}");
}

#[test]
fn unrepeatable_requests_are_tried_after_repeatable_ones_succeeded() {
    let mut service = service();
    service.order(Some(order("v2", 12.0)));
    service.run_to_end(30.0);
    let reservations = service.reservations.iter().map(|(_, reservation)| reservation);
    let reservations: Vec<_> = reservations.filter(|reservation| reservation.requests > 0).collect();
    assert!(!reservations[0].unrepeatable && reservations[0].requests <= 10, "{reservations:?}");
    assert!(reservations.last().unwrap().unrepeatable, "{reservations:?}");
}

#[test]
fn a_service_without_repeatable_routes_is_tried_as_well() {
    let mut service = service();
    service.routes.retain(|route| !route.is_repeatable);
    service.order(Some(order("v2", 12.0)));
    let end = service.run_to_end(30.0);
    assert_eq!(service.stage(), Some(Stage::Completed), "{end:?}");
    let first = service.reservations.iter().find(|(_, reservation)| reservation.unrepeatable).unwrap().1;
    assert!(first.requests <= 6, "{first:?}");
}

#[test]
fn each_stage_is_reported_once_with_its_figures() {
    let mut service = service();
    service.order(Some(order("v2", 12.0)));
    service.run_to_end(30.0);
    service.run(1.0);
    let stages: Vec<_> = service.events.iter().map(|event| (event.stage, event.is_committed)).collect();
    assert_eq!(stages, [(Stage::Trial, true), (Stage::Moving, true), (Stage::Completed, true)]);
    let moving = &service.events[1];
    assert!(moving.routes.values().all(|tally| tally.new.answers >= 5) && moving.granted > 0, "{moving:?}");

    let mut service = self::service();
    service.new = failing;
    service.order(Some(order("v2", 12.0)));
    service.run_to_end(30.0);
    service.run(1.0);
    let stages: Vec<_> = service.events.iter().map(|event| (event.stage, event.is_committed)).collect();
    let bad = Stage::RolledBack(Cause::Failing);
    assert_eq!(stages, [(Stage::Trial, true), (bad, false), (bad, true)]);
    assert!(service.events[1].found.is_some(), "{:?}", service.events[1]);
}
