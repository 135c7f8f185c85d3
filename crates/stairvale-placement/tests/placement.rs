//! Tests that membership changes move as few chats as possible, and that the table of exceptions is bounded.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::cast_precision_loss)]

use std::time::Duration;

use quickcheck::quickcheck;
use stairvale_placement::{
    Engine, Exceptions,
    choice::{Estimate, plan},
    pick, rank,
};
use stairvale_types::{Moment, id};

fn engines(count: usize) -> Vec<Engine> {
    (0..count).map(|n| Engine::new(format!("engine-{n}").parse().unwrap(), 1)).collect()
}

#[test]
fn a_leave_moves_only_the_chats_of_that_engine() {
    let before = engines(12);
    let gone = before[5].upstream.clone();
    let mut after = before.clone();
    after.remove(5);
    for chat in 0..5_000 {
        let (was, is) = (rank(chat, &before), rank(chat, &after));
        let expected: Vec<_> = was.into_iter().filter(|upstream| upstream != &gone).collect();
        assert_eq!(is, expected, "the other engines keep their order, so overflows go to the same engines as before");
    }
}

#[test]
fn a_join_moves_only_the_share_of_the_new_engine() {
    let (before, after) = (engines(11), engines(12));
    let moved = (0..12_000).filter(|chat| rank(*chat, &before)[0] != rank(*chat, &after)[0]).count();
    assert!((850..1_150).contains(&moved), "{moved} of 12000 chats moved, 1000 expected");
}

#[test]
fn chats_are_distributed_by_weight() {
    let mut engines = engines(4);
    engines[0] = Engine::new(engines[0].upstream.clone(), 3);
    let heavy = (0..12_000).filter(|chat| rank(*chat, &engines)[0] == engines[0].upstream).count();
    assert!((5_700..6_300).contains(&heavy), "{heavy} of 12000 chats at weight 3 of 6");
}

#[test]
fn exceptions_expire() {
    let mut exceptions = Exceptions::new(100, Duration::from_secs(10));
    let (chat, upstream) = (id::Chat(1), "e".parse().unwrap());
    exceptions.record(Moment::ZERO, chat, &upstream);
    assert_eq!(exceptions.find(Moment::from_millis(9_000), chat), Some(&upstream));
    assert_eq!(exceptions.find(Moment::from_millis(10_000), chat), None);
    exceptions.record(Moment::ZERO, chat, &upstream);
    exceptions.remove_upstream(&upstream);
    assert_eq!(exceptions.find(Moment::ZERO, chat), None);
}

#[test]
fn the_exceptions_of_a_router_fit_into_memory() {
    // 1.9 million chats at 370 routers would be 5,135 per router if all of them were exceptions.
    let mut exceptions = Exceptions::new(200_000, Duration::from_secs(1_800));
    let upstream = "engine-1".parse().unwrap();
    for chat in 0..300_000 {
        exceptions.record(Moment::ZERO, id::Chat(chat), &upstream);
    }
    assert!(exceptions.len() <= 200_000);
    assert!(exceptions.bytes() < 20 << 20, "{} bytes", exceptions.bytes());
}

#[test]
fn a_wait_never_takes_longer_than_what_it_saves() {
    let ms = Duration::from_millis;
    let estimate =
        Estimate { prefill: ms(200), transfer: Some(ms(40)), max_prefix_wait: ms(300), deadline: ms(10_000) };
    let by_transfer = plan(estimate);
    assert_eq!(by_transfer.max_wait, ms(40));
    assert!(by_transfer.transfer);
    let by_prefill = plan(Estimate { transfer: None, ..estimate });
    assert_eq!(by_prefill.max_wait, ms(200));
    assert!(!by_prefill.transfer);
    let near_deadline = plan(Estimate { deadline: ms(80), ..estimate });
    assert_eq!(near_deadline.max_wait, ms(20));
}

quickcheck! {
    fn a_pick_is_unaffected_by_the_loss_of_other_nodes(key: u64, names: Vec<u8>, lost: usize) -> bool {
        let names: Vec<u64> = names.into_iter().map(u64::from).collect();
        let Some(best) = pick(key, names.iter().map(|name| (*name, name))).copied() else {
            return names.is_empty();
        };
        let lost = names[lost % names.len()];
        let left: Vec<u64> = names.iter().copied().filter(|name| *name != lost).collect();
        lost == best || pick(key, left.iter().map(|name| (*name, name))) == Some(&best)
    }

    fn the_number_of_exceptions_is_bounded(chats: Vec<(u16, u8)>) -> bool {
        let mut exceptions = Exceptions::new(50, Duration::from_secs(5));
        let mut now = Moment::ZERO;
        chats.into_iter().all(|(chat, wait)| {
            now = now + Duration::from_millis(u64::from(wait) * 10);
            exceptions.record(now, id::Chat(u64::from(chat)), &"e".parse().unwrap());
            exceptions.len() <= 50
        })
    }
}
