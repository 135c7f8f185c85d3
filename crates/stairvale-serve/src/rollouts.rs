//! Reports on roll-outs: a log line for each change of stage, and metrics by service and version.

use std::fmt::Write;

use stairvale_replica::View;
use stairvale_rollout::{Cause, Event, Policy, Record, Stage};
use stairvale_table::Table;
use stairvale_types::id;

use crate::core::ProxyReport;

/// The name of a stage in logs and metrics.
#[must_use]
pub fn stage(stage: Stage) -> &'static str {
    match stage {
        Stage::Trial => "trial",
        Stage::Moving => "moving",
        Stage::Completed => "completed",
        Stage::RolledBack(_) => "rolled-back",
    }
}

/// Why a version was rolled back; empty if it wasn't.
#[must_use]
pub fn cause(stage: Stage) -> &'static str {
    match stage {
        Stage::Trial | Stage::Moving | Stage::Completed => "",
        Stage::RolledBack(Cause::Failing) => "failing",
        Stage::RolledBack(Cause::Slow) => "slow",
        Stage::RolledBack(Cause::Withdrawn) => "withdrawn",
        Stage::RolledBack(Cause::Missing) => "missing",
        Stage::RolledBack(Cause::Unproven) => "unproven",
    }
}

/// The name of a route, or its hash if the configuration no longer contains the route.
fn route_name(table: &Table, route: id::Route) -> String {
    let mut routes = table.document().routes.iter();
    routes
        .find(|known| id::Route::of(&known.name) == route)
        .map_or_else(|| route.to_string(), |known| known.name.clone())
}

/// Logs that a roll-out has entered another stage; each router does so when it receives the change from the store.
pub fn log(service: &id::Service, policy: &Policy, record: Option<&Record>) {
    let (version, stage, cause) = (&policy.target, stage(policy.stage), cause(policy.stage));
    let Some(record) = record else {
        tracing::info!(%service, %version, stage, "a roll-out of a version was ordered");
        return;
    };
    let (order, writer) = (record.order, &record.writer);
    tracing::info!(%service, %version, order, stage, cause, %writer, "a roll-out has come to a stage");
}

/// Logs which peer writes to the store for this router, whose own writes fail, or why none does.
pub fn log_proxy(report: &ProxyReport) {
    match report {
        ProxyReport::Found(peer) => {
            tracing::info!(%peer, "the store refuses this router's writes; a peer writes for it");
        }
        ProxyReport::NotFound(excluded) => {
            let excluded: Vec<_> = excluded.iter().map(|(peer, obstacle)| format!("{peer}: {obstacle}")).collect();
            let excluded = excluded.join(", ");
            tracing::warn!(excluded, "the store refuses this router's writes, and no peer can write for it");
        }
    }
}

/// Logs what a service's home found or decided, with the figures behind it: one line, and one more for each route.
pub fn log_event(table: &Table, event: &Event) {
    let Event { service, order, target: version, is_committed: stands, requests, granted, .. } = event;
    let (stage, cause, elapsed_ms) = (stage(event.stage), cause(event.stage), event.elapsed.as_millis());
    let found = event.found.map(|(route, _)| route_name(table, route)).unwrap_or_default();
    let message = if *stands { "this router advanced a roll-out" } else { "this router found a version bad" };
    tracing::info!(%service, %version, order, stage, cause, found, elapsed_ms, requests, granted, "{message}");
    for (route, tally) in &event.routes {
        let (route, old, new) = (route_name(table, *route), tally.old, tally.new);
        tracing::info!(
            %service, %version, order, route,
            new = new.answers, new_failed = new.failed, new_slow = new.slow,
            old = old.answers, old_failed = old.failed, old_slow = old.slow,
            "responses of a route during a roll-out"
        );
    }
}

/// Metrics of all services with a roll-out, in the Prometheus text format. They are computed from the store's records,
/// so each router reports the same.
#[must_use]
pub fn metrics(view: &View) -> String {
    let mut text = String::new();
    let services: std::collections::BTreeSet<_> = view.rollouts().collect();
    for service in services {
        let Some(policy) = view.policy(service) else {
            continue;
        };
        let (version, stage, cause) = (&policy.target, stage(policy.stage), cause(policy.stage));
        let labels = format!("service=\"{service}\",version=\"{version}\"");
        // Writing to a string doesn't fail.
        let _ = writeln!(text, "stairvale_rollout_stage{{{labels},stage=\"{stage}\",cause=\"{cause}\"}} 1");
        let Some((_, record)) = view.rollout(service).filter(|(_, record)| record.target == policy.target) else {
            continue;
        };
        let _ = writeln!(text, "stairvale_rollout_service_requests{{{labels}}} {}", record.requests);
        let _ = writeln!(text, "stairvale_rollout_granted{{{labels}}} {}", record.granted);
        let sum = |count: fn(&stairvale_rollout::Tally) -> u64| record.routes.values().map(count).sum::<u64>();
        let serving = record.serving.as_ref().map_or("", id::Version::as_str);
        let old = format!("service=\"{service}\",version=\"{serving}\"");
        for (labels, answers, bad) in [
            (&labels, sum(|tally| tally.new.answers), sum(|tally| tally.new.failed + tally.new.slow)),
            (&old, sum(|tally| tally.old.answers), sum(|tally| tally.old.failed + tally.old.slow)),
        ] {
            let _ = writeln!(text, "stairvale_rollout_answers{{{labels}}} {answers}");
            let _ = writeln!(text, "stairvale_rollout_bad{{{labels}}} {bad}");
        }
    }
    text
}
