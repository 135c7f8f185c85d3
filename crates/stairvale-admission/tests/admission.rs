//! Urgent items are served first, but bulk items aren't starved; a customer's burst delays mainly the customer itself;
//! the queue stays bounded.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::time::Duration;

use quickcheck::quickcheck;
use stairvale_admission::{
    HoldTime, Queue, RetryBudget, Shares,
    queue::{AGE_STEP, Full, Item},
    shares::unreserved_slots,
};
use stairvale_types::{Class, Moment, id};

fn customer(name: &str) -> id::Customer {
    name.parse().unwrap()
}

fn item(value: u32, name: &str, class: Class) -> Item<u32> {
    Item::new(value, customer(name), class, Moment::from_millis(600_000))
}

fn drain(queue: &mut Queue<u32>, now: Moment) -> Vec<u32> {
    std::iter::from_fn(|| queue.pop(now).map(|item| item.value)).collect()
}

#[test]
fn urgent_items_are_served_first_regardless_of_arrival_order() {
    let mut queue = Queue::new(10);
    queue.push(Moment::ZERO, item(1, "a", Class::Bulk)).unwrap();
    queue.push(Moment::ZERO, item(2, "a", Class::Normal)).unwrap();
    queue.push(Moment::ZERO, item(3, "a", Class::Urgent)).unwrap();
    assert_eq!(drain(&mut queue, Moment::ZERO), [3, 2, 1]);
}

#[test]
fn a_bulk_item_ages_until_it_is_served() {
    let mut queue = Queue::new(1_000);
    queue.push(Moment::ZERO, item(0, "auditor", Class::Bulk)).unwrap();
    let mut now = Moment::ZERO;
    for number in 1..200 {
        now = now + Duration::from_millis(50);
        queue.push(now, item(number, "control-room", Class::Urgent)).unwrap();
        queue.push(now, item(number, "control-room", Class::Urgent)).unwrap();
        if queue.pop(now).unwrap().value == 0 {
            assert!(now.since(Moment::ZERO) >= AGE_STEP * 2);
            return;
        }
    }
    panic!("the bulk item was never served");
}

#[test]
fn a_burst_of_one_customer_does_not_delay_another_customer() {
    let mut queue = Queue::new(1_000);
    for number in 0..100 {
        queue.push(Moment::ZERO, item(number, "bursty", Class::Normal)).unwrap();
    }
    queue.push(Moment::ZERO, item(1_000, "other", Class::Normal)).unwrap();
    let order = drain(&mut queue, Moment::ZERO);
    let place = order.iter().position(|value| *value == 1_000).unwrap();
    assert!(place <= 1, "the other customer waits behind {place} items of the burst");
}

#[test]
fn service_is_shared_by_weight() {
    let mut queue = Queue::new(1_000);
    for number in 0..60 {
        queue.push(Moment::ZERO, item(number, "light", Class::Normal)).unwrap();
        queue.push(Moment::ZERO, item(1_000 + number, "heavy", Class::Normal).with_weight(3)).unwrap();
    }
    let first: Vec<_> = drain(&mut queue, Moment::ZERO).into_iter().take(40).collect();
    let heavy = first.iter().filter(|value| **value >= 1_000).count();
    assert!((28..=32).contains(&heavy), "{heavy} of 40 items served are from the customer with weight 3 of 4");
}

#[test]
fn a_full_queue_evicts_the_last_item_of_a_burst_for_another_customer() {
    let mut queue = Queue::new(3);
    for number in 0..3 {
        queue.push(Moment::ZERO, item(number, "bursty", Class::Normal)).unwrap();
    }
    let Err(Full(out)) = queue.push(Moment::ZERO, item(9, "other", Class::Normal)) else {
        panic!("the queue is full");
    };
    assert_eq!(out.value, 2, "the last item of the burst is evicted");
    assert_eq!(queue.len(), 3);
    let Err(Full(out)) = queue.push(Moment::ZERO, item(10, "bursty", Class::Normal)) else {
        panic!("the queue is full");
    };
    assert_eq!(out.value, 10, "a further item of the burst is rejected");
}

#[test]
fn items_expire_at_their_deadline() {
    let mut queue = Queue::new(10);
    let until = Moment::from_millis(100);
    queue.push(Moment::ZERO, Item::new(1, customer("a"), Class::Normal, until)).unwrap();
    assert!(queue.expire(Moment::from_millis(99)).is_empty());
    assert_eq!(queue.expire(until).len(), 1);
    assert!(queue.is_empty());
}

#[test]
fn shares_count_only_customers_with_recent_requests() {
    let mut shares = Shares::default();
    shares.record_request(Moment::ZERO, &customer("a"), 1);
    assert_eq!(shares.share_of(Moment::ZERO, &customer("a"), 32), None, "a single customer may use all slots");
    shares.record_request(Moment::ZERO, &customer("b"), 3);
    assert_eq!(shares.share_of(Moment::ZERO, &customer("a"), 32), Some(8));
    assert_eq!(shares.share_of(Moment::from_millis(6_000), &customer("a"), 32), None);
    assert_eq!(unreserved_slots(32), 24);
    assert_eq!(unreserved_slots(1), 1);
}

#[test]
fn retries_are_limited_to_a_share_of_successes() {
    let mut budget = RetryBudget::new(10, 5);
    assert_eq!((0..100).filter(|_| budget.spend()).count(), 5);
    for _ in 0..100 {
        budget.earn();
    }
    assert_eq!((0..100).filter(|_| budget.spend()).count(), 5, "the budget is capped");
    for _ in 0..30 {
        budget.earn();
    }
    assert_eq!((0..100).filter(|_| budget.spend()).count(), 3);
}

#[test]
fn predicted_waits_follow_observed_hold_times() {
    let mut pace = HoldTime::default();
    assert_eq!(pace.expected_wait(10, 4), Duration::ZERO, "no wait is predicted before the first observation");
    for _ in 0..50 {
        pace.observe(Duration::from_millis(400));
    }
    assert_eq!(pace.expected_wait(3, 4).as_millis(), 400);
}

quickcheck! {
    fn every_pushed_item_comes_out_once(moves: Vec<(u8, u8, bool)>) -> bool {
        let mut queue = Queue::new(8);
        let mut now = Moment::ZERO;
        let mut removed = Vec::new();
        let mut count = 0;
        for (name, class, pops) in moves {
            now = now + Duration::from_millis(300);
            if pops {
                removed.extend(queue.pop(now).map(|item| item.value));
                continue;
            }
            let class = Class::ALL[usize::from(class) % 3];
            let result = queue.push(now, item(count, &format!("c{}", name % 3), class));
            count += 1;
            if let Err(Full(out)) = result {
                removed.push(out.value);
            }
            if queue.len() > 8 {
                return false;
            }
        }
        removed.extend(drain(&mut queue, now));
        removed.sort_unstable();
        removed == (0..count).collect::<Vec<_>>()
    }
}
