//! Who goes first and who is told no where places are few.

#![allow(clippy::unwrap_used, clippy::cast_precision_loss)]

mod asks;
mod day;

use std::time::Duration;

use asks::{ask, at, members, name};
use day::{Day, Surge};
use quickcheck::quickcheck;
use stairvale_dispatch::{Answer, Held, Outcome, Pool, Shares, Verdict, Weight, pool::Rules, shares::Measure};
use stairvale_types::{Moment, id, outcome::Reason};

fn pool(count: usize, slots: u32) -> Pool {
    let mut pool = Pool::new(Rules::default());
    pool.set_members(at(0), &members(count, slots));
    pool
}

fn granted(answers: &[Answer]) -> Vec<u128> {
    let granted = answers.iter().filter(|answer| matches!(answer.verdict, Verdict::Granted { .. }));
    granted.map(|answer| answer.attempt.0).collect()
}

fn refused(answers: &[Answer]) -> Vec<u128> {
    let refused = answers.iter().filter(|answer| matches!(answer.verdict, Verdict::Refused(_)));
    refused.map(|answer| answer.attempt.0).collect()
}

/// Whether a request waits: others may have been told no for it.
fn waits(answers: &[Answer], attempt: u128) -> bool {
    answers.iter().all(|answer| answer.attempt.0 != attempt)
}

fn serve(pool: &mut Pool, millis: u64, attempt: u128) -> Vec<Answer> {
    pool.release(at(millis), id::Attempt(attempt), Outcome::Served, Some(Duration::from_millis(50)))
}

/// A pool of one upstream with four places, all of which customer 0 holds; four more of its requests wait.
fn surge() -> Pool {
    let mut pool = pool(1, 4);
    for number in 0..8 {
        let answers = pool.ask(at(0), ask(number, 0));
        assert_eq!(granted(&answers).len(), usize::from(number < 4));
    }
    assert_eq!(pool.waiting(), 4);
    pool
}

// ----------------------------------------------------------------------------
// Turns.

#[test]
fn a_place_that_nobody_else_wants_goes_to_the_one_that_surges() {
    let mut pool = pool(7, 6);
    for number in 0..41 {
        assert_eq!(granted(&pool.ask(at(0), ask(number, 0))).len(), 1, "request {number}");
    }
    // The last place is anybody's, too.
    assert_eq!(granted(&pool.ask(at(0), ask(41, 0))).len(), 1);
}

#[test]
fn a_customer_below_its_share_goes_before_a_surge_that_came_earlier() {
    let mut pool = surge();
    assert!(waits(&pool.ask(at(5), ask(100, 1)), 100));
    assert_eq!(granted(&serve(&mut pool, 10, 0)), [100]);
    // It has a place now, and its share is two: its next one goes before the surge, too.
    assert!(waits(&pool.ask(at(11), ask(101, 1)), 101));
    assert_eq!(granted(&serve(&mut pool, 12, 1)), [101]);
    // Both have their share.
    assert!(waits(&pool.ask(at(13), ask(102, 1)), 102));
    assert_eq!(granted(&serve(&mut pool, 14, 2)), [4]);
}

#[test]
fn a_less_urgent_request_does_not_pass_a_more_urgent_one_of_a_customer_within_its_share() {
    let mut pool = pool(1, 4);
    for number in 0..4 {
        pool.ask(at(0), ask(number, 9));
    }
    let urgent = |number, customer| stairvale_dispatch::Ask { priority: 0, ..ask(number, customer) };
    pool.ask(at(1), ask(10, 1));
    pool.ask(at(2), urgent(11, 2));
    pool.ask(at(3), urgent(12, 9));
    // The third is the most urgent, too, and its customer holds all places.
    let order: Vec<_> = (0..3).flat_map(|number| granted(&serve(&mut pool, 10, number))).collect();
    assert_eq!(order, [11, 10, 12]);
}

#[test]
fn requests_without_a_customer_are_one_customers() {
    let mut pool = pool(1, 4);
    for number in 0..8 {
        let nameless = stairvale_dispatch::Ask { customer: None, ..ask(number, 0) };
        pool.ask(at(0), nameless);
    }
    assert!(waits(&pool.ask(at(5), ask(100, 1)), 100));
    assert_eq!(granted(&serve(&mut pool, 10, 0)), [100]);
}

#[test]
fn what_waits_in_vain_does_not_keep_a_free_place_from_others() {
    let mut pool = pool(2, 1);
    let ids: Vec<_> = members(2, 1).into_iter().map(|listing| listing.id).collect();
    let only = |number, place: usize| stairvale_dispatch::Ask { avoid: vec![ids[1 - place].clone()], ..ask(number, 0) };
    assert_eq!(granted(&pool.ask(at(0), only(1, 0))), [1]);
    assert!(pool.ask(at(1), only(2, 0)).is_empty());
    // Whoever may go to the other upstream does, however impatient it is.
    let impatient = stairvale_dispatch::Ask { patience: Duration::from_millis(1), ..ask(3, 0) };
    assert_eq!(granted(&pool.ask(at(2), impatient)), [3]);
}

#[test]
fn a_request_kept_to_a_full_zone_does_not_keep_the_places_of_another_from_those_behind_it() {
    let mut pool = Pool::new(Rules::default());
    let mut known = members(2, 1);
    known[1].zone = "b".parse().unwrap();
    pool.set_members(at(0), &known);
    for number in 0..2 {
        pool.ask(at(0), ask(number, 0));
    }
    let kept = stairvale_dispatch::Ask { within: Some(vec!["a".parse().unwrap()]), ..ask(2, 0) };
    assert!(pool.ask(at(1), kept).is_empty());
    assert!(pool.ask(at(2), ask(3, 0)).is_empty());
    let freed = (0..2).find(|number| pool.release(at(3), id::Attempt(*number), Outcome::Served, None).len() == 1);
    assert!(freed.is_some());
    assert_eq!(pool.waiting(), 1);
}

// ----------------------------------------------------------------------------
// Who is told no.

#[test]
fn a_surge_is_told_no_for_its_own_backlog_and_others_are_not() {
    let mut pool = pool(7, 6);
    let mut told = Vec::new();
    for number in 0..200 {
        told.extend(refused(&pool.ask(at(0), ask(number, 0))));
    }
    assert!(told.len() > 50 && told.iter().all(|number| *number < 200));
    let waiting = pool.waiting();
    let mut answers = Vec::new();
    for customer in 1..12 {
        answers.extend(pool.ask(at(1), ask(1_000 + customer, customer)));
    }
    assert!(refused(&answers).iter().all(|number| *number < 1_000), "a newcomer was refused");
    assert!(pool.waiting() >= waiting, "no more than make room are refused");
    let freed: Vec<_> = (0..11).flat_map(|number| granted(&serve(&mut pool, 2, number))).collect();
    assert!(freed.len() == 11 && freed.iter().all(|number| *number > 1_000), "{freed:?}");
}

#[test]
fn when_to_come_back_follows_from_ones_own_backlog() {
    let mut pool = pool(1, 4);
    for number in 0..60 {
        let patient = stairvale_dispatch::Ask { patience: Duration::from_millis(900), ..ask(number, 0) };
        pool.ask(at(0), patient);
    }
    let after = |answers: Vec<Answer>| match answers[0].verdict {
        Verdict::Refused(refusal) => refusal.retry_after,
        Verdict::Granted { .. } => panic!("there is no place"),
    };
    let patience = Duration::from_millis(1);
    let own = after(pool.ask(at(0), stairvale_dispatch::Ask { patience, ..ask(100, 0) }));
    let other = after(pool.ask(at(0), stairvale_dispatch::Ask { patience, ..ask(101, 1) }));
    assert!(own >= Duration::from_millis(600), "{own:?}");
    assert_eq!(other, Duration::from_millis(100));
}

#[test]
fn a_customer_that_repeats_at_once_spends_its_own_share() {
    let mut pool = surge();
    // Each of its repeated requests is one more of its own.
    for number in 8..30 {
        pool.ask(at(1), ask(number, 0));
    }
    assert!(waits(&pool.ask(at(2), ask(100, 1)), 100));
    assert_eq!(granted(&serve(&mut pool, 3, 0)), [100]);
}

// ----------------------------------------------------------------------------
// Weights and bad input.

#[test]
fn twice_the_weight_is_twice_the_places() {
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
                pool.ask(at(now), stairvale_dispatch::Ask { patience, ..ask(number, customer) });
            }
            let held = pool.members().flat_map(|member| member.held().iter());
            let oldest = held.min_by_key(|(attempt, hold)| (hold.since, attempt.0));
            let (oldest, since) = oldest.map(|(attempt, hold)| (*attempt, hold.since)).unwrap();
            // Nothing of that time is spent on the way.
            pool.release(at(now + 5), oldest, Outcome::Served, Some(at(now + 5).since(since)));
        }
    };
    run(&mut pool, 0, 0);
    assert_eq!((own(&pool, 1), own(&pool, 2)), (3, 3));
    pool.set_weights([(name(2), Weight::new(2.0).unwrap())]);
    run(&mut pool, 10_000, 1_000);
    assert_eq!((own(&pool, 1), own(&pool, 2)), (2, 4));
}

#[test]
fn what_is_no_weight_is_said_to_be_none() {
    for absurd in [0.0, -1.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY, 1e9, 1e-9] {
        assert!(Weight::new(absurd).is_err(), "{absurd}");
    }
    assert!(Weight::new(0.01).is_ok() && Weight::new(100.0).is_ok());
}

#[test]
fn ten_thousand_customers_in_a_second_take_bounded_memory_and_are_forgotten() {
    let mut pool = pool(100, 60);
    for number in 0..10_000_u128 {
        let now = u64::try_from(number).unwrap() / 10;
        pool.ask(at(now), ask(number, number));
        if let Some(ends) = number.checked_sub(500) {
            serve(&mut pool, now, ends);
        }
    }
    assert!(pool.shares().len() <= 4_096, "{}", pool.shares().len());
    for number in 9_500..10_000 {
        serve(&mut pool, 1_000, number);
    }
    for second in 2..60 {
        pool.tick(at(second * 1_000));
    }
    assert!(pool.shares().is_empty(), "{} are left", pool.shares().len());
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
        all.extend(granted(&pool.ask(at(0), stairvale_dispatch::Ask { patience, ..ask(customer, customer) })));
    }
    let mut next = 0;
    while next < all.len() {
        let number = all[next];
        all.extend(granted(&serve(&mut pool, 1 + next as u64, number)));
        next += 1;
    }
    assert_eq!(all, (0..1_000).collect::<Vec<_>>());
}

#[test]
fn a_pause_of_the_clock_leaves_accounts_sound() {
    let mut pool = surge();
    // The process stood still for a minute, or the clock went back.
    for millis in [60_000, 30_000] {
        pool.tick(at(millis));
        for number in 0..8 {
            pool.release(at(millis), id::Attempt(number), Outcome::Served, None);
        }
    }
    assert_eq!(pool.waiting(), 0);
    assert_eq!(granted(&pool.ask(at(60_001), ask(200, 0))), [200]);
    let level = pool.shares().level(4);
    assert!(level.is_infinite(), "{level}");
}

// ----------------------------------------------------------------------------
// Accounts.

#[test]
fn a_new_home_has_the_accounts_once_entries_have_named_what_they_run() {
    let mut pool = pool(1, 4);
    let held: Vec<_> = (0..4)
        .map(|number| Held {
            attempt: id::Attempt(number),
            upstream: "e0".parse().unwrap(),
            read: 0,
            customer: Some(name(0)),
            route: id::Route(0),
            fingerprint: id::Fingerprint::default(),
        })
        .collect();
    pool.renew(at(1), &"r1".parse().unwrap(), &held);
    for number in 4..6 {
        assert!(pool.ask(at(2), ask(number, 0)).is_empty());
    }
    assert!(waits(&pool.ask(at(3), ask(100, 1)), 100));
    assert_eq!(granted(&serve(&mut pool, 10, 0)), [100]);
    // Named again, nothing is counted twice.
    pool.renew(at(11), &"r1".parse().unwrap(), &held[1..]);
    assert!(waits(&pool.ask(at(12), ask(101, 1)), 101));
    assert_eq!(granted(&serve(&mut pool, 13, 1)), [101]);
}

#[test]
fn a_surplus_is_told_when_it_begins_and_when_it_ends() {
    let mut pool = surge();
    pool.ask(at(5), ask(100, 1));
    let told = pool.surpluses(at(6));
    assert_eq!(told.len(), 1);
    assert!(told[0].is_above && told[0].customer == Some(name(0)));
    assert!(pool.surpluses(at(7)).is_empty(), "it is told once");
    for number in (0..8).chain([100]) {
        serve(&mut pool, 20, number);
    }
    assert!(pool.surpluses(at(900)).is_empty(), "it may come back");
    let told = pool.surpluses(at(1_100));
    assert!(told.len() == 1 && !told[0].is_above);
}

#[test]
fn levels_give_nobody_more_than_it_wants() {
    let mut shares = Shares::default();
    for (number, customer) in [0, 1, 1, 2, 2, 2, 2, 2, 2].into_iter().enumerate() {
        shares.start(at(0), id::Attempt(number as u128), Some(&name(customer)));
    }
    for (places, expected) in [(9, f64::INFINITY), (8, 5.0), (6, 3.0), (4, 1.5), (3, 1.0)] {
        let level = shares.level(places);
        assert!(level == expected, "{places} places: {level}");
    }
}

// ----------------------------------------------------------------------------
// The load of a heavy day: seven upstreams of six places, 24 customers, the largest of which sends six times its usual.

#[test]
fn customers_that_do_not_surge_are_served_as_without_the_surge() {
    for seed in 1..=3 {
        let quiet = Day::play(seed, Measure::Both, Surge::None);
        let surge = Day::play(seed, Measure::Both, Surge::Sixfold);
        let lost = quiet.others() - surge.others();
        assert!(lost <= 0.005, "seed {seed}: {lost:.4}; the one that surges has {:.4}", surge.largest());
        assert_eq!(surge.refused_beside_a_free_place, 0);
    }
}

#[test]
fn by_rank_alone_everybody_pays_for_a_surge() {
    for measure in [Measure::Rank, Measure::Places, Measure::Work, Measure::Both] {
        let (quiet, surge) = (Day::play(1, measure, Surge::None), Day::play(1, measure, Surge::Sixfold));
        let lost = quiet.others() - surge.others();
        assert_eq!(lost > 0.02, measure == Measure::Rank, "{measure:?}: {lost:.4}, {:.4} of all served", surge.all());
    }
}

#[test]
fn a_home_that_takes_over_in_a_surge_keeps_the_others_served() {
    let quiet = Day::play(5, Measure::Both, Surge::None);
    let moved = Day::play(5, Measure::Both, Surge::SixfoldAndNewHome);
    let lost = quiet.others() - moved.others();
    assert!(lost <= 0.01, "{lost:.4}");
}

// ----------------------------------------------------------------------------

quickcheck! {
    /// Nobody below its share waits for longer than it takes that all which ran when it came has ended, and one request more.
    fn starvation_is_bounded(steps: Vec<(u8, u8)>) -> bool {
        /// What each request takes, in ms.
        const TIME: u64 = 50;
        let mut pool = pool(2, 3);
        let mut running: Vec<(u64, u128)> = Vec::new();
        let mut waits: Vec<(u64, u128)> = Vec::new();
        let mut now = 0;
        for (number, (customer, gap)) in steps.into_iter().enumerate() {
            let due = now + u64::from(gap % 12);
            while now < due {
                now += 1;
                let ends: Vec<_> = running.extract_if(.., |(at, _)| *at <= now).collect();
                for (_, attempt) in ends {
                    for attempt in granted(&serve(&mut pool, now, attempt)) {
                        waits.retain(|(_, waits)| *waits != attempt);
                        running.push((now + TIME, attempt));
                    }
                }
                // Only one request of each customer but 0 is under way, so it is below its share.
                if waits.iter().any(|(since, _)| now - since > 2 * TIME) {
                    return false;
                }
            }
            // Customer 0 surges; the others are few.
            let customer = u128::from(customer % 5).saturating_sub(1);
            let attempt = number as u128 * 10 + customer;
            let busy = running.iter().chain(&waits).any(|(_, other)| other % 10 == customer);
            if customer > 0 && busy {
                continue;
            }
            let answers = pool.ask(at(now), stairvale_dispatch::Ask { patience: Duration::from_secs(60), ..ask(attempt, customer) });
            if granted(&answers).contains(&attempt) {
                running.push((now + TIME, attempt));
            } else if customer > 0 {
                waits.push((now, attempt));
            }
        }
        true
    }

    /// However requests come and go, accounts agree with what runs and waits.
    fn accounts_agree_with_what_runs(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut pool = pool(2, 2);
        for (number, (what, customer, other)) in steps.into_iter().enumerate() {
            let now = at(number as u64 * 9);
            let earlier = id::Attempt(number.saturating_sub(usize::from(other % 9)) as u128);
            match what % 6 {
                0..=2 => drop(pool.ask(now, ask(number as u128, u128::from(customer % 4)))),
                3 => drop(pool.release(now, earlier, Outcome::Served, None)),
                4 => drop(pool.forget(now, earlier)),
                _ => drop(pool.tick(now)),
            }
            let running: u32 = pool.members().map(stairvale_dispatch::Member::running).sum();
            if pool.shares().running() != running || pool.shares().waiting() as usize != pool.waiting() {
                return false;
            }
        }
        true
    }

    /// Whoever is refused is told why and when to come back.
    fn refusals_tell_when_to_come_back(customers: Vec<u8>) -> bool {
        let mut pool = pool(1, 2);
        customers.into_iter().enumerate().all(|(number, customer)| {
            let answers = pool.ask(Moment(number as u64 * 900), ask(number as u128, u128::from(customer % 6)));
            answers.iter().all(|answer| match answer.verdict {
                Verdict::Granted { .. } => true,
                Verdict::Refused(refusal) => {
                    refusal.reason == Reason::Busy && refusal.retry_after >= Duration::from_millis(100)
                }
            })
        })
    }
}
