//! Fair shares among customers when slots are scarce: whose request is granted first and whose is refused.

#![allow(clippy::unwrap_used, clippy::cast_precision_loss)]

mod asks;
mod day;

use std::time::Duration;

use asks::{at, customer_id, listings, request};
use day::{Burst, Simulation};
use quickcheck::quickcheck;
use stairvale_dispatch::{Answer, Held, Outcome, Pool, Shares, Verdict, Weight, pool::Rules, shares::Measure};
use stairvale_types::{Moment, id, outcome::Reason};

fn pool(count: usize, slots: u32) -> Pool {
    let mut pool = Pool::new(Rules::default());
    pool.set_members(at(0), &listings(count, slots));
    pool
}

fn granted_attempts(answers: &[Answer]) -> Vec<u128> {
    let granted = answers.iter().filter(|answer| matches!(answer.verdict, Verdict::Granted { .. }));
    granted.map(|answer| answer.attempt.0).collect()
}

fn refused_attempts(answers: &[Answer]) -> Vec<u128> {
    let refused = answers.iter().filter(|answer| matches!(answer.verdict, Verdict::Refused(_)));
    refused.map(|answer| answer.attempt.0).collect()
}

/// Whether a request waits: other requests may have been refused in its favour.
fn is_waiting(answers: &[Answer], attempt: u128) -> bool {
    answers.iter().all(|answer| answer.attempt.0 != attempt)
}

fn finish(pool: &mut Pool, millis: u64, attempt: u128) -> Vec<Answer> {
    pool.release(at(millis), id::Attempt(attempt), Outcome::Served, Some(Duration::from_millis(50)))
}

/// A pool of one upstream with four slots, all of which customer 0 holds; four more of its requests wait.
fn burst() -> Pool {
    let mut pool = pool(1, 4);
    for number in 0..8 {
        let answers = pool.ask(at(0), request(number, 0));
        assert_eq!(granted_attempts(&answers).len(), usize::from(number < 4));
    }
    assert_eq!(pool.waiting(), 4);
    pool
}

// ----------------------------------------------------------------------------
// The order in which waiting requests are granted.

#[test]
fn slots_that_no_other_customer_requests_go_to_a_burst() {
    let mut pool = pool(7, 6);
    for number in 0..41 {
        assert_eq!(granted_attempts(&pool.ask(at(0), request(number, 0))).len(), 1, "request {number}");
    }
    // Any customer may take the last slot, too.
    assert_eq!(granted_attempts(&pool.ask(at(0), request(41, 0))).len(), 1);
}

#[test]
fn a_customer_below_its_share_goes_before_an_earlier_burst() {
    let mut pool = burst();
    assert!(is_waiting(&pool.ask(at(5), request(100, 1)), 100));
    assert_eq!(granted_attempts(&finish(&mut pool, 10, 0)), [100]);
    // Customer 1 holds a slot now, and its share is two: its next request goes before the burst, too.
    assert!(is_waiting(&pool.ask(at(11), request(101, 1)), 101));
    assert_eq!(granted_attempts(&finish(&mut pool, 12, 1)), [101]);
    // Both customers hold their shares.
    assert!(is_waiting(&pool.ask(at(13), request(102, 1)), 102));
    assert_eq!(granted_attempts(&finish(&mut pool, 14, 2)), [4]);
}

#[test]
fn a_less_urgent_request_does_not_overtake_a_more_urgent_one_of_a_customer_within_its_share() {
    let mut pool = pool(1, 4);
    for number in 0..4 {
        pool.ask(at(0), request(number, 9));
    }
    let urgent = |number, customer| stairvale_dispatch::Ask { priority: 0, ..request(number, customer) };
    pool.ask(at(1), request(10, 1));
    pool.ask(at(2), urgent(11, 2));
    pool.ask(at(3), urgent(12, 9));
    // The third request is as urgent as the second, but its customer holds all slots.
    let order: Vec<_> = (0..3).flat_map(|number| granted_attempts(&finish(&mut pool, 10, number))).collect();
    assert_eq!(order, [11, 10, 12]);
}

#[test]
fn requests_without_a_customer_count_as_one_customer() {
    let mut pool = pool(1, 4);
    for number in 0..8 {
        let anonymous = stairvale_dispatch::Ask { customer: None, ..request(number, 0) };
        pool.ask(at(0), anonymous);
    }
    assert!(is_waiting(&pool.ask(at(5), request(100, 1)), 100));
    assert_eq!(granted_attempts(&finish(&mut pool, 10, 0)), [100]);
}

#[test]
fn a_request_that_cannot_use_a_free_slot_does_not_block_others() {
    let mut pool = pool(2, 1);
    let ids: Vec<_> = listings(2, 1).into_iter().map(|listing| listing.id).collect();
    let only_at =
        |number, target: usize| stairvale_dispatch::Ask { avoid: vec![ids[1 - target].clone()], ..request(number, 0) };
    assert_eq!(granted_attempts(&pool.ask(at(0), only_at(1, 0))), [1]);
    assert!(pool.ask(at(1), only_at(2, 0)).is_empty());
    // A request that may go to the other upstream does, however short its maximum wait is.
    let short_wait = stairvale_dispatch::Ask { patience: Duration::from_millis(1), ..request(3, 0) };
    assert_eq!(granted_attempts(&pool.ask(at(2), short_wait)), [3]);
}

#[test]
fn a_request_restricted_to_a_full_zone_does_not_block_the_slots_of_other_zones() {
    let mut pool = Pool::new(Rules::default());
    let mut members = listings(2, 1);
    members[1].zone = "b".parse().unwrap();
    pool.set_members(at(0), &members);
    for number in 0..2 {
        pool.ask(at(0), request(number, 0));
    }
    let restricted = stairvale_dispatch::Ask { within: Some(vec!["a".parse().unwrap()]), ..request(2, 0) };
    assert!(pool.ask(at(1), restricted).is_empty());
    assert!(pool.ask(at(2), request(3, 0)).is_empty());
    let freed = (0..2).find(|number| pool.release(at(3), id::Attempt(*number), Outcome::Served, None).len() == 1);
    assert!(freed.is_some());
    assert_eq!(pool.waiting(), 1);
}

// ----------------------------------------------------------------------------
// Refusals of one customer's requests in favour of others.

#[test]
fn a_burst_is_refused_for_its_own_backlog_and_other_customers_are_not() {
    let mut pool = pool(7, 6);
    let mut refusals = Vec::new();
    for number in 0..200 {
        refusals.extend(refused_attempts(&pool.ask(at(0), request(number, 0))));
    }
    assert!(refusals.len() > 50 && refusals.iter().all(|number| *number < 200));
    let waiting = pool.waiting();
    let mut answers = Vec::new();
    for customer in 1..12 {
        answers.extend(pool.ask(at(1), request(1_000 + customer, customer)));
    }
    assert!(
        refused_attempts(&answers).iter().all(|number| *number < 1_000),
        "a request of another customer was refused"
    );
    assert!(pool.waiting() >= waiting, "no more requests are refused than needed to make room");
    let freed: Vec<_> = (0..11).flat_map(|number| granted_attempts(&finish(&mut pool, 2, number))).collect();
    assert!(freed.len() == 11 && freed.iter().all(|number| *number > 1_000), "{freed:?}");
}

#[test]
fn retry_after_depends_on_the_backlog_of_the_customer() {
    let mut pool = pool(1, 4);
    for number in 0..60 {
        let long_wait = stairvale_dispatch::Ask { patience: Duration::from_millis(900), ..request(number, 0) };
        pool.ask(at(0), long_wait);
    }
    let retry_after = |answers: Vec<Answer>| match answers[0].verdict {
        Verdict::Refused(refusal) => refusal.retry_after,
        Verdict::Granted { .. } => panic!("all slots are taken"),
    };
    let patience = Duration::from_millis(1);
    let own = retry_after(pool.ask(at(0), stairvale_dispatch::Ask { patience, ..request(100, 0) }));
    let other = retry_after(pool.ask(at(0), stairvale_dispatch::Ask { patience, ..request(101, 1) }));
    assert!(own >= Duration::from_millis(600), "{own:?}");
    assert_eq!(other, Duration::from_millis(100));
}

#[test]
fn immediate_retries_count_against_the_share_of_their_customer() {
    let mut pool = burst();
    // Each repeated request counts as one more request of the customer.
    for number in 8..30 {
        pool.ask(at(1), request(number, 0));
    }
    assert!(is_waiting(&pool.ask(at(2), request(100, 1)), 100));
    assert_eq!(granted_attempts(&finish(&mut pool, 3, 0)), [100]);
}

// ----------------------------------------------------------------------------
// Weights, invalid input and large numbers of customers.

#[test]
fn twice_the_weight_gives_twice_the_slots() {
    let mut pool = pool(1, 6);
    let own = |pool: &Pool, customer| {
        let held = pool.members().flat_map(|member| member.held().keys());
        held.filter(|attempt| attempt.0 % 10 == customer).count()
    };
    let run = |pool: &mut Pool, from: u128, millis: u64| {
        for step in 0..60 {
            let now = millis + 10 * step;
            for customer in [1, 2] {
                let number = from + u128::from(step) * 10 + customer;
                let patience = Duration::from_secs(60);
                pool.ask(at(now), stairvale_dispatch::Ask { patience, ..request(number, customer) });
            }
            let held = pool.members().flat_map(|member| member.held().iter());
            let oldest = held.min_by_key(|(attempt, hold)| (hold.since, attempt.0));
            let (oldest, since) = oldest.map(|(attempt, hold)| (*attempt, hold.since)).unwrap();
            // The answer took as long as the slot was held, so that no transit time is learned.
            pool.release(at(now + 5), oldest, Outcome::Served, Some(at(now + 5).since(since)));
        }
    };
    run(&mut pool, 0, 0);
    assert_eq!((own(&pool, 1), own(&pool, 2)), (3, 3));
    pool.set_weights([(customer_id(2), Weight::new(2.0).unwrap())]);
    run(&mut pool, 10_000, 1_000);
    assert_eq!((own(&pool, 1), own(&pool, 2)), (2, 4));
}

#[test]
fn invalid_weights_are_rejected() {
    for invalid in [0.0, -1.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY, 1e9, 1e-9] {
        assert!(Weight::new(invalid).is_err(), "{invalid}");
    }
    assert!(Weight::new(0.01).is_ok() && Weight::new(100.0).is_ok());
}

#[test]
fn accounts_of_ten_thousand_customers_in_a_second_are_bounded_and_expire() {
    let mut pool = pool(100, 60);
    for number in 0..10_000_u128 {
        let now = u64::try_from(number).unwrap() / 10;
        pool.ask(at(now), request(number, number));
        if let Some(ended) = number.checked_sub(500) {
            finish(&mut pool, now, ended);
        }
    }
    assert!(pool.shares().len() <= 4_096, "{}", pool.shares().len());
    for number in 9_500..10_000 {
        finish(&mut pool, 1_000, number);
    }
    for second in 2..60 {
        pool.tick(at(second * 1_000));
    }
    assert!(pool.shares().is_empty(), "{} accounts are left", pool.shares().len());
    let (largest, others) = pool.shares().counts(10);
    assert!(largest.is_empty());
    assert_eq!(others.served, 10_000);
}

#[test]
fn a_thousand_customers_with_one_request_each_are_served_in_turn() {
    let mut pool = pool(7, 6);
    let mut all = Vec::new();
    for customer in 0..1_000 {
        let patience = Duration::from_secs(60);
        all.extend(granted_attempts(
            &pool.ask(at(0), stairvale_dispatch::Ask { patience, ..request(customer, customer) }),
        ));
    }
    let mut next = 0;
    while next < all.len() {
        let number = all[next];
        all.extend(granted_attempts(&finish(&mut pool, 1 + next as u64, number)));
        next += 1;
    }
    assert_eq!(all, (0..1_000).collect::<Vec<_>>());
}

#[test]
fn accounts_stay_consistent_after_jumps_of_the_clock() {
    let mut pool = burst();
    // The process was suspended for a minute, or the clock went back.
    for millis in [60_000, 30_000] {
        pool.tick(at(millis));
        for number in 0..8 {
            pool.release(at(millis), id::Attempt(number), Outcome::Served, None);
        }
    }
    assert_eq!(pool.waiting(), 0);
    assert_eq!(granted_attempts(&pool.ask(at(60_001), request(200, 0))), [200]);
    let level = pool.shares().level(4);
    assert!(level.is_infinite(), "{level}");
}

// ----------------------------------------------------------------------------
// How accounts are rebuilt, reported and shared out.

#[test]
fn a_new_home_rebuilds_the_accounts_from_the_reports_of_entries() {
    let mut pool = pool(1, 4);
    let held: Vec<_> = (0..4)
        .map(|number| Held {
            attempt: id::Attempt(number),
            upstream: "e0".parse().unwrap(),
            read: 0,
            customer: Some(customer_id(0)),
            route: id::Route(0),
            fingerprint: id::Fingerprint::default(),
        })
        .collect();
    pool.renew(at(1), &"r1".parse().unwrap(), &held);
    for number in 4..6 {
        assert!(pool.ask(at(2), request(number, 0)).is_empty());
    }
    assert!(is_waiting(&pool.ask(at(3), request(100, 1)), 100));
    assert_eq!(granted_attempts(&finish(&mut pool, 10, 0)), [100]);
    // Requests that an entry reports again aren't counted twice.
    pool.renew(at(11), &"r1".parse().unwrap(), &held[1..]);
    assert!(is_waiting(&pool.ask(at(12), request(101, 1)), 101));
    assert_eq!(granted_attempts(&finish(&mut pool, 13, 1)), [101]);
}

#[test]
fn a_surplus_is_reported_when_it_begins_and_when_it_ends() {
    let mut pool = burst();
    pool.ask(at(5), request(100, 1));
    let changes = pool.surpluses(at(6));
    assert_eq!(changes.len(), 1);
    assert!(changes[0].is_above && changes[0].customer == Some(customer_id(0)));
    assert!(pool.surpluses(at(7)).is_empty(), "it is reported once");
    for number in (0..8).chain([100]) {
        finish(&mut pool, 20, number);
    }
    assert!(pool.surpluses(at(900)).is_empty(), "the surplus may come back within a second");
    let changes = pool.surpluses(at(1_100));
    assert!(changes.len() == 1 && !changes[0].is_above);
}

#[test]
fn the_fair_share_level_gives_no_customer_more_than_it_requests() {
    let mut shares = Shares::default();
    for (number, customer) in [0, 1, 1, 2, 2, 2, 2, 2, 2].into_iter().enumerate() {
        shares.start(at(0), id::Attempt(number as u128), Some(&customer_id(customer)));
    }
    for (slots, expected) in [(9, f64::INFINITY), (8, 5.0), (6, 3.0), (4, 1.5), (3, 1.0)] {
        let level = shares.level(slots);
        assert!(level == expected, "{slots} slots: {level}");
    }
}

// ----------------------------------------------------------------------------
// Simulated load: seven upstreams of six slots each and 24 customers, the largest of which sends six times its usual
// rate for seven seconds.

#[test]
fn other_customers_are_served_during_a_burst_as_without_it() {
    for seed in 1..=3 {
        let steady = Simulation::run(seed, Measure::Both, Burst::None);
        let burst = Simulation::run(seed, Measure::Both, Burst::Sixfold);
        let lost = steady.others() - burst.others();
        assert!(
            lost <= 0.005,
            "seed {seed}: {lost:.4} lost; {:.4} of the burst customer's requests served",
            burst.largest()
        );
        assert_eq!(burst.refused_despite_free_slot, 0);
    }
}

#[test]
fn a_burst_harms_other_customers_only_if_priority_alone_decides() {
    for measure in [Measure::Rank, Measure::Places, Measure::Work, Measure::Both] {
        let (steady, burst) = (Simulation::run(1, measure, Burst::None), Simulation::run(1, measure, Burst::Sixfold));
        let lost = steady.others() - burst.others();
        assert_eq!(
            lost > 0.02,
            measure == Measure::Rank,
            "{measure:?}: {lost:.4} lost, {:.4} of all served",
            burst.all()
        );
    }
}

#[test]
fn a_new_home_during_a_burst_keeps_other_customers_served() {
    let steady = Simulation::run(5, Measure::Both, Burst::None);
    let failover = Simulation::run(5, Measure::Both, Burst::SixfoldAndNewHome);
    let lost = steady.others() - failover.others();
    assert!(lost <= 0.01, "{lost:.4}");
}

// ----------------------------------------------------------------------------

quickcheck! {
    /// A customer below its share waits no longer than until all requests that ran at its arrival have ended, and one
    /// more request after them.
    fn starvation_is_bounded_below_the_share(steps: Vec<(u8, u8)>) -> bool {
        /// How long each request takes, in ms.
        const SERVICE_MS: u64 = 50;
        let mut pool = pool(2, 3);
        let mut running: Vec<(u64, u128)> = Vec::new();
        let mut waiting: Vec<(u64, u128)> = Vec::new();
        let mut now = 0;
        for (number, (customer, gap)) in steps.into_iter().enumerate() {
            let due = now + u64::from(gap % 12);
            while now < due {
                now += 1;
                let ends: Vec<_> = running.extract_if(.., |(at, _)| *at <= now).collect();
                for (_, attempt) in ends {
                    for attempt in granted_attempts(&finish(&mut pool, now, attempt)) {
                        waiting.retain(|(_, other)| *other != attempt);
                        running.push((now + SERVICE_MS, attempt));
                    }
                }
                // Each customer but 0 has at most one unfinished request, so that it is below its share.
                if waiting.iter().any(|(since, _)| now - since > 2 * SERVICE_MS) {
                    return false;
                }
            }
            // Customer 0 sends a burst; the others send few requests.
            let customer = u128::from(customer % 5).saturating_sub(1);
            let attempt = number as u128 * 10 + customer;
            let busy = running.iter().chain(&waiting).any(|(_, other)| other % 10 == customer);
            if customer > 0 && busy {
                continue;
            }
            let answers = pool.ask(at(now), stairvale_dispatch::Ask { patience: Duration::from_secs(60), ..request(attempt, customer) });
            if granted_attempts(&answers).contains(&attempt) {
                running.push((now + SERVICE_MS, attempt));
            } else if customer > 0 {
                waiting.push((now, attempt));
            }
        }
        true
    }

    /// In any order of requests and ends, the accounts agree with the running and the waiting requests.
    fn accounts_agree_with_running_and_waiting_requests(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut pool = pool(2, 2);
        for (number, (kind, customer, other)) in steps.into_iter().enumerate() {
            let now = at(number as u64 * 9);
            let earlier = id::Attempt(number.saturating_sub(usize::from(other % 9)) as u128);
            match kind % 6 {
                0..=2 => drop(pool.ask(now, request(number as u128, u128::from(customer % 4)))),
                3 => drop(pool.release(now, earlier, Outcome::Served, None)),
                4 => drop(pool.cancel(now, earlier)),
                _ => drop(pool.tick(now)),
            }
            let running: u32 = pool.members().map(stairvale_dispatch::Member::running).sum();
            if pool.shares().running() != running || pool.shares().waiting() as usize != pool.waiting() {
                return false;
            }
        }
        true
    }

    /// Each refusal has a reason and the time after which to retry.
    fn refusals_have_a_reason_and_a_retry_time(customers: Vec<u8>) -> bool {
        let mut pool = pool(1, 2);
        customers.into_iter().enumerate().all(|(number, customer)| {
            let answers = pool.ask(Moment(number as u64 * 900), request(number as u128, u128::from(customer % 6)));
            answers.iter().all(|answer| match answer.verdict {
                Verdict::Granted { .. } => true,
                Verdict::Refused(refusal) => {
                    refusal.reason == Reason::Busy && refusal.retry_after >= Duration::from_millis(100)
                }
            })
        })
    }
}
