//! Orders to engines come only from the holder of the zone's lease and carry its fencing token. Where engines don't
//! check tokens, a new holder gives orders only after the previous holder's lease has expired.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::time::Duration;

use stairvale_control::{
    io::Answer,
    orders::{LEASE, Loaded, Machine, Need, StoreCall},
};
use stairvale_types::Moment;

fn need(checks: bool) -> Need {
    Need {
        upstream: "engine".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        load: Loaded { model: "m".into(), version: "2".into() },
        checks_tokens: checks,
    }
}

const ACQUIRED_AT: Moment = Moment::from_millis(60_000);

/// A machine that has acquired the lease with this fencing token.
fn holder(token: u64) -> Machine {
    let mut machine = Machine::default();
    assert_eq!(machine.tick(ACQUIRED_AT, true), Some(StoreCall::Acquire));
    assert_eq!(machine.answer(ACQUIRED_AT, &Answer::Written(token)), Some(true));
    machine
}

#[test]
fn only_the_holder_gives_orders_and_they_carry_its_token() {
    let mut other = Machine::default();
    assert_eq!(other.tick(ACQUIRED_AT, false), None, "a router that isn't chosen doesn't acquire the lease");
    assert_eq!(other.tick(ACQUIRED_AT, true), Some(StoreCall::Acquire));
    assert_eq!(other.answer(ACQUIRED_AT, &Answer::Conflict), None);
    assert_eq!(other.next(ACQUIRED_AT, &[need(true)]), None);
    let mut machine = holder(42);
    assert_eq!(machine.next(ACQUIRED_AT, &[need(true)]).unwrap().token, 42);
}

#[test]
fn a_holder_stops_before_its_lease_can_expire() {
    let mut machine = holder(1);
    let late = ACQUIRED_AT + (LEASE - Duration::from_secs(1));
    assert_eq!(
        machine.next(late, &[need(true)]),
        None,
        "a holder must not give orders after a pause in which its lease may have expired"
    );
    assert_eq!(machine.fencing_token(late), None);
}

#[test]
fn a_renewed_lease_counts_from_the_time_the_renewal_was_sent() {
    let mut machine = holder(1);
    let sent = ACQUIRED_AT + Duration::from_secs(2);
    assert_eq!(machine.tick(sent, true), Some(StoreCall::Renew));
    let answered = sent + Duration::from_millis(1_500);
    machine.answer(answered, &Answer::Written(0));
    assert_eq!(machine.fencing_token(sent + Duration::from_millis(3_900)), Some(1));
    assert_eq!(machine.fencing_token(sent + Duration::from_millis(4_000)), None);
}

#[test]
fn an_expired_lease_is_reported() {
    let mut machine = holder(1);
    machine.tick(ACQUIRED_AT + Duration::from_secs(2), true);
    assert_eq!(machine.answer(ACQUIRED_AT + Duration::from_secs(2), &Answer::Conflict), Some(false));
    assert_eq!(machine.fencing_token(ACQUIRED_AT + Duration::from_secs(2)), None);
}

#[test]
fn a_new_holder_waits_for_the_previous_lease_where_engines_do_not_check_tokens() {
    let mut machine = holder(7);
    let mut now = ACQUIRED_AT;
    while now.since(ACQUIRED_AT) < LEASE {
        assert_eq!(machine.next(now, &[need(false)]), None);
        now = now + Duration::from_secs(2);
        if machine.tick(now, true).is_some() {
            machine.answer(now, &Answer::Written(0));
        }
    }
    assert!(machine.next(now, &[need(false)]).is_some());
}

#[test]
fn orders_are_spaced_for_the_weight_store_and_not_repeated_at_once() {
    let mut machine = holder(1);
    let other = Need { upstream: "other".parse().unwrap(), ..need(true) };
    let needs = [need(true), other];
    assert_eq!(machine.next(ACQUIRED_AT, &needs).unwrap().upstream.as_str(), "engine");
    assert_eq!(machine.next(ACQUIRED_AT + Duration::from_millis(1_900), &needs), None, "at most one model load in 2 s");
    let later = ACQUIRED_AT + Duration::from_millis(2_000);
    assert_eq!(
        machine.next(later, &needs).unwrap().upstream.as_str(),
        "other",
        "the first engine already has its order"
    );
    assert_eq!(machine.orders, 2);
}
