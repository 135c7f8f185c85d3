//! Tests that the home grants permits only below the load bound, even with duplicate or late messages and after a
//! change of home.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod sample;

use std::time::Duration;

use quickcheck::quickcheck;
use sample::profile;
use stairvale_permit::{
    Home, Mean,
    account::{PERMIT_TTL, SETTLE_TIME},
    mean::Sum,
    rules::{Answer, Rules},
};
use stairvale_types::{Moment, Reason, id, unit};
use stairvale_wire::{HeldPermits, PermitRequest, Profile, Verdict};

const SETTLED: Moment = Moment::from_millis(10_000);

fn router(name: &str) -> id::Router {
    name.parse().unwrap()
}

fn upstream(name: &str) -> id::Upstream {
    name.parse().unwrap()
}

fn rules() -> Rules {
    Rules::new("chat".parse().unwrap()).with_multiple("1.25".parse().unwrap()).with_slots(8).with_queue(4)
}

fn home(engines: usize) -> Home {
    let mut home = Home::new(router("home"));
    for number in 0..engines {
        home.adopt(Moment::ZERO, upstream(&format!("e{number}")), rules(), Some(0));
    }
    home
}

/// A home of a single engine, whose load is the mean itself, so that only its slots limit it.
fn single_engine(slots: u32) -> Home {
    let mut home = Home::new(router("home"));
    home.adopt(Moment::ZERO, upstream("e0"), rules().with_slots(slots), Some(0));
    home
}

fn ask(attempt: u128, engine: &str, patience_ms: u64) -> PermitRequest {
    PermitRequest {
        attempt: id::Attempt(attempt),
        profile: profile(),
        upstream: upstream(engine),
        first: true,
        patience: Duration::from_millis(patience_ms),
        deadline: Duration::from_millis(10_000),
    }
}

/// A request of the given customer for the engine `e0`.
fn ask_of(attempt: u128, customer: &str, patience_ms: u64) -> PermitRequest {
    let profile = Profile { customer: customer.parse().unwrap(), ..profile() };
    PermitRequest { profile, ..ask(attempt, "e0", patience_ms) }
}

fn sum(outstanding: u64, engines: u32, waiting: u32) -> Sum {
    Sum { outstanding, engines, waiting }
}

fn verdicts(answers: &[Answer]) -> Vec<&Verdict> {
    answers.iter().map(|answer| &answer.verdict).collect()
}

fn is_grant(answers: &[Answer]) -> bool {
    matches!(verdicts(answers)[..], [Verdict::Granted { .. }])
}

#[test]
fn the_bound_is_a_multiple_of_the_mean() {
    let mut home = home(2);
    assert!(is_grant(&home.request_permit(SETTLED, &router("r"), ask(1, "e0", 0))));
    // The mean of the two engines is 0.5, so the bound is one request each.
    let second = home.request_permit(SETTLED, &router("r"), ask(2, "e0", 0));
    assert!(matches!(verdicts(&second)[..], [Verdict::Overflow { .. }]));
    assert!(is_grant(&home.request_permit(SETTLED, &router("r"), ask(3, "e1", 0))));
    assert!(is_grant(&home.request_permit(SETTLED, &router("r"), ask(4, "e0", 0))), "mean 1, bound 2");
}

#[test]
fn the_lowest_recent_mean_of_the_other_homes_is_used() {
    let mut mean = Mean::default();
    let multiple: unit::Multiple = "1.25".parse().unwrap();
    mean.report(SETTLED, sum(100, 10, 0));
    assert_eq!(mean.bound(SETTLED, multiple, Sum::default()), 13);
    mean.report(SETTLED + Duration::from_millis(100), sum(40, 10, 0));
    assert_eq!(mean.bound(SETTLED + Duration::from_millis(100), multiple, Sum::default()), 5);
    mean.report(SETTLED + Duration::from_millis(200), sum(100, 10, 0));
    assert_eq!(
        mean.bound(SETTLED + Duration::from_millis(200), multiple, Sum::default()),
        5,
        "a lower recent mean errs towards refusing"
    );
    let later = SETTLED + Duration::from_secs(5);
    assert_eq!(mean.bound(later, multiple, sum(4, 2, 0)), 3, "an outdated mean is not used");
}

#[test]
fn requests_queued_at_every_engine_raise_the_bound_at_once() {
    let mut mean = Mean::default();
    let multiple: unit::Multiple = "1.25".parse().unwrap();
    mean.report(SETTLED, sum(20, 10, 6));
    assert_eq!(
        mean.bound(SETTLED, multiple, sum(4, 2, 0)),
        3,
        "nothing is queued here, so only running requests count"
    );
    assert_eq!(
        mean.bound(SETTLED, multiple, sum(4, 2, 3)),
        7,
        "at least three are queued at each engine: mean 2 plus 3"
    );
}

#[test]
fn a_duplicate_request_gets_one_permit() {
    let mut home = home(1);
    assert!(is_grant(&home.request_permit(SETTLED, &router("r"), ask(1, "e0", 0))));
    assert!(is_grant(&home.request_permit(SETTLED, &router("r"), ask(1, "e0", 0))));
    assert_eq!(home.outstanding(&upstream("e0")), Some(1));
    home.release(SETTLED, &router("r"), &upstream("e0"), &[id::Attempt(1)]);
    home.release(SETTLED, &router("r"), &upstream("e0"), &[id::Attempt(1)]);
    assert_eq!(home.outstanding(&upstream("e0")), Some(0));
}

#[test]
fn an_entry_cannot_release_the_permit_of_another() {
    let mut home = home(1);
    home.request_permit(SETTLED, &router("r"), ask(1, "e0", 0));
    home.release(SETTLED, &router("other"), &upstream("e0"), &[id::Attempt(1)]);
    assert_eq!(home.outstanding(&upstream("e0")), Some(1));
}

#[test]
fn a_new_home_counts_the_reported_load_until_entries_have_registered() {
    let mut home = Home::new(router("home"));
    home.adopt(Moment::ZERO, upstream("e0"), rules().with_slots(3), None);
    let early = Moment::from_millis(10);
    assert!(!is_grant(&home.request_permit(early, &router("r"), ask(1, "e0", 0))), "the load is not determined yet");
    home.report_load(early, &upstream("e0"), 3);
    assert!(
        !is_grant(&home.request_permit(early, &router("r"), ask(2, "e0", 0))),
        "the engine reports three running requests"
    );
    let held = vec![HeldPermits { upstream: upstream("e0"), attempts: vec![id::Attempt(90), id::Attempt(91)] }];
    home.renew(early, &router("r"), &held);
    assert_eq!(home.outstanding(&upstream("e0")), Some(2));
    let settled = Moment::ZERO + SETTLE_TIME;
    assert_eq!(
        home.load(settled, &"chat".parse().unwrap()).outstanding,
        2,
        "once settled, the registered permits count"
    );
}

#[test]
fn permits_without_renewals_expire() {
    let mut home = home(1);
    home.request_permit(SETTLED, &router("r"), ask(1, "e0", 0));
    home.tick(SETTLED + PERMIT_TTL / 2);
    assert_eq!(home.outstanding(&upstream("e0")), Some(1));
    home.tick(SETTLED + PERMIT_TTL);
    assert_eq!(home.outstanding(&upstream("e0")), Some(0));
    assert_eq!(home.counts().aged, 1);
}

#[test]
fn a_lost_release_is_detected_by_the_renewals() {
    let mut home = home(1);
    home.request_permit(SETTLED, &router("r"), ask(1, "e0", 0));
    let later = SETTLED + Duration::from_secs(2);
    home.renew(later, &router("r"), &[]);
    assert_eq!(home.outstanding(&upstream("e0")), Some(1), "one renewal may have been sent before the grant arrived");
    home.renew(later, &router("r"), &[]);
    assert_eq!(home.outstanding(&upstream("e0")), Some(0));
}

#[test]
fn a_paused_home_restarts_with_empty_accounts() {
    let mut home = single_engine(1);
    home.request_permit(SETTLED, &router("r"), ask(1, "e0", 0));
    home.request_permit(SETTLED, &router("r"), ask(2, "e0", 500));
    let answers = home.restart_accounts(SETTLED);
    assert!(
        matches!(verdicts(&answers)[..], [Verdict::NotHome { .. }]),
        "the queued request is sent back, to be requested again"
    );
    assert_eq!(home.outstanding(&upstream("e0")), Some(0), "the entries register what they hold");
    assert!(
        !is_grant(&home.request_permit(SETTLED, &router("r"), ask(3, "e0", 0))),
        "the load is not determined any more"
    );
}

#[test]
fn a_wait_for_a_prefix_ends_with_a_grant_or_a_time_out() {
    let mut home = single_engine(2);
    home.request_permit(SETTLED, &router("r"), ask(1, "e0", 0));
    home.request_permit(SETTLED, &router("r"), ask(2, "e0", 0));
    assert!(home.request_permit(SETTLED, &router("r"), ask(3, "e0", 200)).is_empty(), "the request is queued");
    let answers = home.release(SETTLED, &router("r"), &upstream("e0"), &[id::Attempt(1)]);
    assert!(is_grant(&answers));
    assert!(home.request_permit(SETTLED, &router("r"), ask(4, "e0", 200)).is_empty());
    let answers = home.tick(SETTLED + Duration::from_millis(200));
    assert!(matches!(verdicts(&answers)[..], [Verdict::Overflow { .. }]));
}

#[test]
fn a_request_that_cannot_be_served_in_time_is_refused_at_once() {
    let mut home = single_engine(1);
    // Each permit is held for a second, from which the home predicts waits.
    for attempt in 0..20 {
        let at = SETTLED + Duration::from_secs(attempt);
        home.request_permit(at, &router("r"), ask(attempt.into(), "e0", 0));
        home.release(at + Duration::from_secs(1), &router("r"), &upstream("e0"), &[id::Attempt(attempt.into())]);
    }
    let now = SETTLED + Duration::from_secs(30);
    home.request_permit(now, &router("r"), ask(100, "e0", 0));
    let urgent = PermitRequest { deadline: Duration::from_millis(100), ..ask(102, "e0", 100) };
    let answers = home.request_permit(now, &router("r"), urgent);
    let [Verdict::Refused(refusal)] = verdicts(&answers)[..] else {
        panic!("{answers:?}");
    };
    assert_eq!(refusal.reason, Reason::Deadline);
    assert!(refusal.retry_after >= Duration::from_millis(500));
}

#[test]
fn a_full_queue_refuses_at_once() {
    let mut home = single_engine(2);
    home.request_permit(SETTLED, &router("r"), ask(1, "e0", 0));
    let last_resort = |attempt| ask(attempt, "e0", 10_000);
    let answers: Vec<_> =
        (2..10).flat_map(|attempt| home.request_permit(SETTLED, &router("r"), last_resort(attempt))).collect();
    let refused =
        answers.iter().filter(|answer| matches!(&answer.verdict, Verdict::Refused(r) if r.reason == Reason::Busy));
    assert_eq!(refused.count(), 3, "one more is granted, four are queued, the others are refused at once");
}

#[test]
fn an_exception_is_returned_and_removed_when_the_chat_runs_at_its_first_choice() {
    let mut home = home(2);
    let (first, other) = (upstream("e0"), upstream("e1"));
    home.record_prefix_move(SETTLED, id::Chat(7), &first, &other);
    let answers = home.request_permit(SETTLED, &router("r"), ask(1, "e0", 0));
    assert_eq!(verdicts(&answers), [&Verdict::Elsewhere { upstream: other.clone() }]);
    // The other engine was busy, so the entry requests here again and marks that it has received the exception.
    let again = {
        let ask = ask(1, "e0", 0);
        PermitRequest { profile: Profile { returning: false, ..ask.profile.clone() }, ..ask }
    };
    assert!(is_grant(&home.request_permit(SETTLED, &router("r"), again)));
    assert_eq!(home.exceptions().0, 0, "the prefix is cached at the first choice from now on");
}

#[test]
fn closing_an_engine_redirects_all_queued_requests() {
    let mut home = single_engine(2);
    home.request_permit(SETTLED, &router("r"), ask(1, "e0", 0));
    home.request_permit(SETTLED, &router("r"), ask(2, "e0", 0));
    home.request_permit(SETTLED, &router("r"), ask(3, "e0", 500));
    let answers = home.set_open(SETTLED, &upstream("e0"), false);
    assert_eq!(verdicts(&answers), [&Verdict::Closed]);
    assert_eq!(verdicts(&home.request_permit(SETTLED, &router("r"), ask(4, "e0", 0))), [&Verdict::Closed]);
}

#[test]
fn a_burst_is_detected_before_it_fills_its_share_of_the_slots() {
    let mut home = single_engine(32);
    let of = |attempt, customer| ask_of(attempt, customer, 0);
    for (attempt, customer) in [(100, "a"), (101, "b"), (102, "c")] {
        home.request_permit(SETTLED, &router("r"), of(attempt, customer));
    }
    // The customer's share of the slots is eight. While ten requests run, its share of twice the bound is less.
    let answers = (0..7).flat_map(|attempt| home.request_permit(SETTLED, &router("r"), of(attempt, "burst")));
    let over: Vec<_> =
        answers.map(|answer| matches!(answer.verdict, Verdict::Granted { over_share: true, .. })).collect();
    assert_eq!(over.first(), Some(&false));
    assert_eq!(over.last(), Some(&true), "{over:?}");
}

#[test]
fn reserved_slots_are_granted_to_other_customers_at_once_while_a_burst_is_queued() {
    let mut home = single_engine(8);
    assert!(is_grant(&home.request_permit(SETTLED, &router("r"), ask_of(100, "other", 0))));
    for attempt in 0..10 {
        home.request_permit(SETTLED, &router("r"), ask_of(attempt, "burst", 10_000));
    }
    assert!(home.waiting() > 0, "the burst is queued");
    let answers = home.request_permit(SETTLED, &router("r"), ask_of(101, "other", 0));
    assert!(is_grant(&answers), "slots are reserved for other customers, but got {answers:?}");
}

#[test]
fn a_customer_over_its_share_leaves_the_reserved_slots_to_others() {
    let mut home = Home::new(router("home"));
    let unbounded = Rules { multiple: None, ..rules() };
    home.adopt(Moment::ZERO, upstream("e0"), unbounded, Some(0));
    let of = |attempt, customer| ask_of(attempt, customer, 0);
    assert!(is_grant(&home.request_permit(SETTLED, &router("r"), of(1, "other"))));
    let granted = (10..30).filter(|n| is_grant(&home.request_permit(SETTLED, &router("r"), of(*n, "burst")))).count();
    assert_eq!(granted, 5, "of eight slots one is taken and two are reserved");
    let answers = home.request_permit(SETTLED, &router("r"), of(40, "other"));
    assert!(matches!(verdicts(&answers)[..], [Verdict::Granted { over_share: false, .. }]));
}

quickcheck! {
    fn the_account_never_exceeds_the_bound(moves: Vec<(u8, u8, u8)>) -> bool {
        let mut home = home(3);
        let mut now = SETTLED;
        let mut held: Vec<(u128, String)> = Vec::new();
        for (number, (kind, engine, wait)) in moves.into_iter().enumerate() {
            now = now + Duration::from_millis(u64::from(wait));
            let name = format!("e{}", engine % 3);
            let answers = match kind % 6 {
                0..=2 => home.request_permit(now, &router("r"), ask(number as u128, &name, u64::from(wait) * 4)),
                3 if !held.is_empty() => {
                    let (attempt, engine) = held.swap_remove(usize::from(wait) % held.len());
                    home.release(now, &router("r"), &upstream(&engine), &[id::Attempt(attempt)])
                }
                4 => home.update_mean(now, &"chat".parse().unwrap(), sum(u64::from(wait) / 8, 5, u32::from(engine % 3)), Vec::new()),
                _ => home.tick(now),
            };
            for answer in answers {
                if matches!(answer.verdict, Verdict::Granted { .. }) && !held.iter().any(|(a, _)| *a == answer.attempt.0) {
                    held.push((answer.attempt.0, answer.upstream.to_string()));
                }
            }
            let renewed: Vec<_> = (0..3).map(|n| format!("e{n}")).map(|name| HeldPermits {
                attempts: held.iter().filter(|(_, at)| at == &name).map(|(a, _)| id::Attempt(*a)).collect(),
                upstream: upstream(&name),
            }).collect();
            home.renew(now, &router("r"), &renewed);
            let within = (0..3).all(|n| home.outstanding(&upstream(&format!("e{n}"))).unwrap() <= 8);
            if !within || home.counts().violations > 0 {
                return false;
            }
        }
        true
    }
}
