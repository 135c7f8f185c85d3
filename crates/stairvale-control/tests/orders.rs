//! Orders to engines come from one holder a zone, fenced, and after the old holder's lease has surely lapsed.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::time::Duration;

use stairvale_control::{
    io::Answer,
    orders::{LEASE, Loaded, Machine, Need, Wish},
};
use stairvale_types::Moment;

fn need(checks: bool) -> Need {
    Need {
        upstream: "engine".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        load: Loaded { model: "m".into(), version: "2".into() },
        checks,
    }
}

const START: Moment = Moment::from_millis(60_000);

fn holder(token: u64) -> Machine {
    let mut machine = Machine::default();
    assert_eq!(machine.tick(START, true), Some(Wish::Acquire));
    assert_eq!(machine.answer(START, &Answer::Written(token)), Some(true));
    machine
}

#[test]
fn only_the_holder_orders_and_with_its_token() {
    let mut other = Machine::default();
    assert_eq!(other.tick(START, false), None, "it isn't chosen");
    assert_eq!(other.tick(START, true), Some(Wish::Acquire));
    assert_eq!(other.answer(START, &Answer::Conflict), None);
    assert_eq!(other.next(START, &[need(true)]), None);
    let mut machine = holder(42);
    assert_eq!(machine.next(START, &[need(true)]).unwrap().token, 42);
}

#[test]
fn a_holder_stops_before_its_lease_can_lapse() {
    let mut machine = holder(1);
    let late = START + (LEASE - Duration::from_secs(1));
    assert_eq!(machine.next(late, &[need(true)]), None, "paused this long it must not order, whatever it believes");
    assert_eq!(machine.holds(late), None);
}

#[test]
fn renewal_counts_from_when_it_was_sent() {
    let mut machine = holder(1);
    let sent = START + Duration::from_secs(2);
    assert_eq!(machine.tick(sent, true), Some(Wish::Renew));
    let heard = sent + Duration::from_millis(1_500);
    machine.answer(heard, &Answer::Written(0));
    assert_eq!(machine.holds(sent + Duration::from_millis(3_900)), Some(1));
    assert_eq!(machine.holds(sent + Duration::from_millis(4_000)), None);
}

#[test]
fn a_lapsed_lease_is_told() {
    let mut machine = holder(1);
    machine.tick(START + Duration::from_secs(2), true);
    assert_eq!(machine.answer(START + Duration::from_secs(2), &Answer::Conflict), Some(false));
    assert_eq!(machine.holds(START + Duration::from_secs(2)), None);
}

#[test]
fn where_engines_dont_check_a_new_holder_waits_the_old_one_out() {
    let mut machine = holder(7);
    let mut now = START;
    while now.since(START) < LEASE {
        assert_eq!(machine.next(now, &[need(false)]), None);
        now = now + Duration::from_secs(2);
        if machine.tick(now, true).is_some() {
            machine.answer(now, &Answer::Written(0));
        }
    }
    assert!(machine.next(now, &[need(false)]).is_some());
}

#[test]
fn the_weight_store_is_not_stormed_and_an_order_is_not_repeated_at_once() {
    let mut machine = holder(1);
    let other = Need { upstream: "other".parse().unwrap(), ..need(true) };
    let needs = [need(true), other];
    assert_eq!(machine.next(START, &needs).unwrap().upstream.as_str(), "engine");
    assert_eq!(machine.next(START + Duration::from_millis(1_900), &needs), None, "one load in 2 s");
    let later = START + Duration::from_millis(2_000);
    assert_eq!(machine.next(later, &needs).unwrap().upstream.as_str(), "other", "the first one has its order");
    assert_eq!(machine.orders, 2);
}
