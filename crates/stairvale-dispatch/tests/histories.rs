//! Invariants of roll-outs at a home, for arbitrary sequences of events.

#![allow(clippy::unwrap_used)]

mod fleet;

use std::{collections::BTreeMap, time::Duration};

use fleet::{at, engines, granted_upstream, listings, policy, pool, request, reservation, version};
use quickcheck::{Arbitrary, Gen, quickcheck};
use stairvale_dispatch::{
    Answer, Ask, Held, Member, Outcome, Pool, Verdict,
    pool::{ColdLimits, Rules},
};
use stairvale_rollout::{
    Admission::{Any, LastResort, Nothing, Trial},
    Cause, Policy, Reservation, Stage,
};
use stairvale_types::id;

/// An event at the routers that are, or were, a service's home. The value in a step selects its details.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// An entry sends a request to the home.
    Request(u8),
    /// A running request ends with one of several outcomes.
    End(u8),
    /// The first event of a running request arrives.
    Begin(u8),
    /// Time passes, by so many ms.
    Pass(u8),
    /// Requests are reserved for the trial, over some of its upstreams.
    Reserve(u8),
    /// The policy of the roll-out changes.
    Policy(u8),
    /// The other router becomes the home, and entries report their running requests to it.
    TakeOver,
    /// An upstream becomes unusable, or usable again.
    Change(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let value = u8::arbitrary(g);
        match u8::arbitrary(g) % 16 {
            0..=6 => Self::Request(value),
            7..=8 => Self::End(value),
            9 => Self::Begin(value),
            10..=11 => Self::Pass(value),
            12..=13 => Self::Reserve(value),
            14 => {
                if value % 4 == 0 {
                    Self::TakeOver
                } else {
                    Self::Policy(value)
                }
            }
            _ => Self::Change(value),
        }
    }
}

fn some_policy(value: u8) -> Option<Policy> {
    let stage = match value % 8 {
        0..=3 => Stage::Trial,
        4 => Stage::Moving,
        5 => Stage::Completed,
        6 => Stage::RolledBack(Cause::Failing),
        _ => return None,
    };
    let target = version(if (value / 8).is_multiple_of(4) { "v3" } else { "v2" });
    let rejected = if (value / 32).is_multiple_of(4) { vec![version("v3")] } else { Vec::new() };
    Some(Policy { target, stage, rejected })
}

/// The state of one router that is, or was, the home.
struct Home {
    pool: Pool,
    policy: Option<Policy>,
    /// Requests that are left of the last reservation.
    remaining: u32,
    /// When that reservation expires, in ms.
    until: u64,
    /// Whether that reservation includes unrepeatable requests.
    includes_unrepeatable: bool,
}

quickcheck! {
    /// For any sequence of events at either router: a version on trial gets only what was reserved for it there, an
    /// upstream whose version may get nothing gets nothing, and no request copies from a version on trial or one that
    /// may get nothing.
    fn no_request_is_granted_against_the_policy(plain: bool, steps: Vec<Step>) -> bool {
        let rules = if plain { Rules::default() } else { engines() };
        let mut homes: Vec<_> = (0..2).map(|_| {
            let mut members = listings(3, 3, 3);
            members[0].version = None;
            members[5].version = Some(version("v3"));
            let mut pool = Pool::new(rules);
            pool.set_members(at(0), &members);
            Home { pool, policy: None, remaining: 0, until: 0, includes_unrepeatable: false }
        }).collect();
        let (mut home, mut now, mut requested) = (0, 1_u64, 0_u64);
        let mut repeatable = BTreeMap::new();
        let mut running: Vec<Held> = Vec::new();
        for step in steps {
            let Home { pool, policy, remaining, until, includes_unrepeatable } = &mut homes[home];
            let any = |value: u8| usize::from(value).checked_rem(running.len());
            let mut released = None;
            let answers = match step {
                Step::Request(value) => {
                    requested += 1;
                    let key = u64::from(value % 5);
                    let parts = [(key, 700), (10 + key, 2_000), (1_000 + requested, 100)];
                    let mut request =
                        request(u128::from(requested), u64::from(value % 3), if plain { &[] } else { &parts });
                    request.repeatable = value % 4 != 0;
                    if value % 7 == 0 {
                        request.avoid = vec!["o1".parse().unwrap()];
                    }
                    repeatable.insert(request.attempt, (request.repeatable, request.avoid.is_empty()));
                    pool.ask(at(now), request)
                }
                Step::End(value) => {
                    let Some(held) = any(value).map(|index| running.swap_remove(index)) else { continue };
                    let outcomes = [Outcome::Served, Outcome::Served, Outcome::Failed, Outcome::Silent, Outcome::Abandoned];
                    released = Some(held.attempt);
                    pool.release(at(now), held.attempt, outcomes[usize::from(value % 5)], Some(Duration::from_millis(9)))
                }
                Step::Begin(value) => {
                    let Some(index) = any(value) else { continue };
                    pool.record_first_event(at(now), running[index].attempt, Duration::from_millis(u64::from(value)))
                }
                Step::Pass(value) => {
                    now += u64::from(value);
                    pool.renew(at(now), &"r1".parse().unwrap(), &running);
                    pool.tick(at(now))
                }
                Step::Reserve(value) => {
                    let until_ms = now + u64::from(value) * 4;
                    let unrepeatable = value % 8 == 0;
                    let requests = u32::from(value % 4);
                    pool.reserve(Reservation { unrepeatable, ..reservation(requests, until_ms, usize::from(value / 4 % 4)) });
                    (*remaining, *until, *includes_unrepeatable) = (requests, until_ms, unrepeatable);
                    Vec::new()
                }
                Step::Policy(value) => {
                    let next = some_policy(value);
                    // A reservation for a version is valid as long as that version is on trial.
                    let target = |policy: &Option<Policy>| policy.as_ref().map(|policy| policy.target.clone());
                    let is_trial = next.as_ref().is_some_and(|next| next.stage == Stage::Trial);
                    if *policy != next && !(is_trial && target(policy) == target(&next)) {
                        *remaining = 0;
                    }
                    policy.clone_from(&next);
                    pool.set_policy(at(now), next)
                }
                Step::TakeOver => {
                    home = 1 - home;
                    let pool = &mut homes[home].pool;
                    pool.renew(at(now), &"r1".parse().unwrap(), &running)
                }
                Step::Change(value) => {
                    let mut members = listings(3, 3, 3);
                    members[0].version = None;
                    members[5].version = Some(version("v3"));
                    for (index, listing) in members.iter_mut().enumerate() {
                        listing.usable = usize::from(value) % 8 != index;
                    }
                    pool.set_members(at(now), &members)
                }
            };
            let Home { pool, policy, remaining, until, includes_unrepeatable } = &mut homes[home];
            for answer in answers {
                let Verdict::Granted { upstream, read, source } = answer.verdict else { continue };
                let held = Held { attempt: answer.attempt, upstream: upstream.clone(), read, customer: None, route: id::Route(0), fingerprint: id::Fingerprint::default() };
                if Some(answer.attempt) != released {
                    running.push(held);
                }
                let version_of = |id: &id::Upstream| {
                    pool.members().find(|member| &member.id == id).and_then(|member| member.version.clone())
                };
                let Some(policy) = policy else { continue };
                let admits = |id: &id::Upstream| policy.admits(version_of(id).as_ref());
                let allowed = match admits(&upstream) {
                    Any | LastResort => true,
                    Nothing => false,
                    Trial => {
                        let (is_repeatable, is_first_attempt) = repeatable[&answer.attempt];
                        let allowed = *remaining > 0
                            && now < *until
                            && (is_repeatable || *includes_unrepeatable)
                            && is_first_attempt;
                        *remaining = remaining.saturating_sub(1);
                        allowed
                    }
                };
                if !allowed || source.is_some_and(|source| matches!(admits(&source), Trial | Nothing)) {
                    return false;
                }
            }
        }
        true
    }
}

/// Replays a sequence of events at a pool and returns its answers to each.
fn replay(pool: &mut Pool, new: usize, with_policies: bool, steps: &[(u8, u8, u8)]) -> Vec<Vec<Answer>> {
    let mut members = listings(5, new, 6);
    members[4].version = None;
    pool.set_members(at(0), &members);
    if with_policies {
        pool.set_policy(at(0), policy(Stage::Trial));
    }
    let mut decisions = Vec::new();
    for (number, (kind, key, time)) in steps.iter().enumerate() {
        let now = at(number as u64 * 7 + u64::from(*time % 8));
        let attempt = id::Attempt(number as u128);
        let earlier = id::Attempt(number.saturating_sub(usize::from(*time) % 9) as u128);
        decisions.push(match kind % 10 {
            0..=4 => {
                let key = u64::from(key % 9);
                let parts = [
                    (key % 3 + 1, 900 + 700 * (key % 3) as u32),
                    (10 + key, 300 + 900 * key as u32),
                    (1_000 + number as u64, 120),
                ];
                let parts = if key == 8 { &parts[2..] } else { &parts[..] };
                pool.ask(now, Ask { attempt, repeatable: time % 4 != 0, ..request(0, u64::from(time % 3), parts) })
            }
            5 => pool.record_first_event(now, earlier, Duration::from_millis(u64::from(*time))),
            6 => {
                let outcomes = [Outcome::Served, Outcome::Failed, Outcome::Silent, Outcome::Abandoned];
                pool.release(now, earlier, outcomes[usize::from(*key % 4)], None)
            }
            7 if with_policies => pool.set_policy(now, some_policy(*key)),
            8 if with_policies => {
                pool.reserve(Reservation {
                    until: now + Duration::from_millis(90),
                    ..reservation(u32::from(*key % 9), 0, 2)
                });
                Vec::new()
            }
            _ => {
                let one = usize::from(*key) % if with_policies { 10 } else { 5 };
                members[one].revision += 1;
                members[one].usable = *time % 3 != 0;
                members[one].cold = Duration::from_millis(u64::from(*time % 2) * 30);
                pool.update(now, &members[one..=one], &[])
            }
        });
    }
    decisions
}

fn cold_rules() -> Rules {
    Rules { cold: Some(ColdLimits { pace: 10.0, bound: 20.0, time: Duration::from_millis(50) }), ..engines() }
}

quickcheck! {
    /// A scan of only those engines that hold the prefix of a prompt gives the same decisions as a full scan, under any
    /// policy.
    fn a_partial_scan_decides_like_a_full_scan_under_any_policy(steps: Vec<(u8, u8, u8)>) -> bool {
        let (mut partial, mut full) = (Pool::new(cold_rules()), Pool::new(cold_rules()).with_full_scan());
        replay(&mut partial, 5, true, &steps) == replay(&mut full, 5, true, &steps)
    }

    /// A roll-out to a version that no upstream runs changes no decision, and neither do versions without a roll-out.
    fn a_roll_out_without_upstreams_of_its_version_changes_nothing(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut plain = Pool::new(cold_rules());
        let mut ordered = Pool::new(cold_rules());
        let target = version("v9");
        ordered.set_policy(at(0), Some(Policy { target, stage: Stage::Trial, rejected: Vec::new() }));
        ordered.reserve(reservation(100, 1_000_000, 3));
        replay(&mut plain, 5, false, &steps) == replay(&mut ordered, 5, false, &steps)
    }

    /// While nothing is reserved, a version on trial doesn't change the decisions about the old one.
    fn a_version_on_trial_without_a_reservation_changes_nothing(steps: Vec<(u8, u8, u8)>) -> bool {
        let rules = Rules { load_multiple: 0.0, ..cold_rules() };
        let (mut alone, mut ordered) = (Pool::new(rules), Pool::new(rules));
        ordered.set_policy(at(0), policy(Stage::Trial));
        replay(&mut alone, 0, false, &steps) == replay(&mut ordered, 5, false, &steps)
    }

    /// While the fleet moves, no engine runs more than the load multiple and the slack allow.
    fn no_engine_exceeds_the_load_bound_while_the_fleet_moves(steps: Vec<(u8, bool)>) -> bool {
        let mut pool = pool(engines(), 5, 5, 64);
        let mut running = Vec::new();
        for (number, (key, ends)) in steps.into_iter().enumerate() {
            let now = at(number as u64);
            if number == 20 {
                pool.set_policy(now, policy(Stage::Moving));
            }
            if ends && !running.is_empty() {
                pool.release(now, running.remove(usize::from(key) % running.len()), Outcome::Served, None);
                continue;
            }
            let attempt = id::Attempt(number as u128);
            let request = Ask { attempt, ..request(0, 0, &[(u64::from(key % 3), 5_000), (number as u64 + 1_000, 100)]) };
            let before: u32 = pool.members().map(Member::running).sum();
            if let Some(upstream) = granted_upstream(&pool.ask(now, request)) {
                running.push(attempt);
                pool.record_first_event(now, attempt, Duration::from_millis(50));
                let held = f64::from(pool.running(&upstream) - 1);
                if held > 2.0 * f64::from(before) / 10.0 + 3.0 {
                    return false;
                }
            } else {
                pool.cancel(now, attempt);
            }
        }
        true
    }
}
