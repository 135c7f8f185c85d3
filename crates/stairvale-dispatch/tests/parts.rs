//! The retry budget, the cache model, the prefill model and the prefix locations that entries remember.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use quickcheck::quickcheck;
use stairvale_dispatch::{Cache, Part, PrefillModel, RetryWindow, SentPrefixes, budget::Budget};
use stairvale_types::{Moment, id};

fn budget() -> Budget {
    Budget { ratio: 0.2, free: 10.0, window: Duration::from_secs(10) }
}

fn parts(parts: &[(u64, u32)]) -> Vec<Part> {
    parts.iter().map(|(id, tokens)| Part { id: *id, tokens: *tokens }).collect()
}

#[test]
fn free_retries_are_shared_among_routers() {
    let mut window = RetryWindow::default();
    let now = Moment::from_millis(5);
    let spent = (0..20).filter(|_| window.spend(now, budget(), 5)).count();
    assert_eq!(spent, 2);
}

#[test]
fn retries_are_available_again_after_the_window() {
    let mut window = RetryWindow::default();
    assert!(window.spend(Moment::from_millis(0), budget(), 10));
    assert!(!window.spend(Moment::from_millis(9_000), budget(), 10));
    assert!(window.spend(Moment::from_millis(11_000), budget(), 10));
}

// A report is made between two steps, and must contain the end of the earlier one.
#[test]
fn recent_periods_contain_all_retries_since_the_last_report() {
    let mut window = RetryWindow::default();
    let mut copy = RetryWindow::default();
    for millis in (0..5_000).step_by(100) {
        window.request(Moment::from_millis(millis + 95), budget());
        assert!(window.spend(Moment::from_millis(millis + 95), budget(), 1) || millis >= 1_000);
        let now = Moment::from_millis(millis + 190);
        copy.merge(now, budget(), &window.periods(now, budget(), Some(Duration::from_millis(100))));
    }
    assert_eq!(copy.usage(), window.usage());
}

#[test]
fn the_least_recently_used_block_is_evicted() {
    let mut cache = Cache::new(1_000);
    cache.insert_prompt(&parts(&[(1, 400)]));
    cache.insert_prompt(&parts(&[(2, 400)]));
    cache.insert_prompt(&parts(&[(1, 400)]));
    cache.insert_prompt(&parts(&[(3, 400)]));
    assert_eq!(cache.covers(&parts(&[(1, 400)])), 400);
    assert_eq!(cache.covers(&parts(&[(2, 400)])), 0);
}

#[test]
fn a_block_counts_only_behind_the_same_prefix() {
    let mut cache = Cache::new(1_000);
    cache.insert_prompt(&parts(&[(1, 100), (2, 100)]));
    assert_eq!(cache.covers(&parts(&[(1, 100), (2, 100), (3, 100)])), 200);
    assert_eq!(cache.covers(&parts(&[(4, 100), (2, 100)])), 0);
}

#[test]
fn only_shared_blocks_are_taken_over() {
    let (mut old, mut new) = (Cache::new(1_000), Cache::new(1_000));
    old.insert_prompt(&parts(&[(1, 100), (2, 100), (9, 100)]));
    new.learn(&old.shared());
    assert_eq!(new.covers(&parts(&[(1, 100), (2, 100), (8, 100)])), 200);
    assert_eq!(
        new.covers(&parts(&[(1, 100), (2, 100), (9, 100)])),
        200,
        "the last block isn't shared with other prompts"
    );
}

#[test]
fn entries_remember_the_longest_prefix() {
    let mut seen = SentPrefixes::default();
    let (e1, e2): (id::Upstream, id::Upstream) = ("e1".parse().unwrap(), "e2".parse().unwrap());
    seen.remember(&parts(&[(1, 10), (2, 10), (9, 10)]), &e1);
    seen.remember(&parts(&[(1, 10), (3, 10), (8, 10)]), &e2);
    assert_eq!(seen.find(&parts(&[(1, 10), (2, 10), (7, 10)])), Some((2, e1)));
    assert_eq!(seen.find(&parts(&[(1, 10), (4, 10), (7, 10)])), Some((1, e2)));
    assert_eq!(seen.find(&parts(&[(1, 10)])), None, "the last block isn't shared with other prompts");
}

quickcheck! {
    /// For any engine, the base time and the prefill rate are learned from the first events of prompts of all sizes,
    /// although some took far longer.
    fn the_time_to_the_first_event_is_learned(base: u8, rate: u8, sizes: Vec<u16>) -> bool {
        let (base, per_token) = (5.0 + f64::from(base), 1.0 / (10.0 + f64::from(rate)));
        let mut reading = PrefillModel::default();
        for round in 0..400_u32 {
            let size = sizes.get(round as usize % sizes.len().max(1)).copied().unwrap_or(50);
            let tokens = if round % 2 == 0 { f64::from(size % 200) } else { 800.0 + f64::from(size) };
            let late = if round % 50 == 7 { 500.0 } else { 0.0 };
            reading.observe(tokens, base + tokens * per_token + late);
        }
        let expected = |tokens: f64| base + tokens * per_token;
        [100.0, 2_000.0, 20_000.0].iter().all(|tokens| {
            let ratio = reading.first(*tokens) / expected(*tokens);
            (0.6..1.9).contains(&ratio)
        })
    }

    /// Whenever a retry is spent, the retries of the window that ends there stay within the ratio and an equal share of
    /// the free retries.
    fn retries_stay_within_the_budget(events: Vec<(u16, bool)>) -> bool {
        let mut window = RetryWindow::default();
        let mut now = 0_u64;
        let mut all: Vec<(u64, bool)> = Vec::new();
        for (gap, retry) in events {
            now += u64::from(gap % 400);
            let moment = Moment::from_millis(now);
            if retry {
                if !window.spend(moment, budget(), 5) {
                    continue;
                }
                all.push((now, true));
            } else {
                window.request(moment, budget());
                all.push((now, false));
                continue;
            }
            let inside = |from: u64| all.iter().filter(move |(at, _)| *at + from > now);
            let retries = inside(10_000).filter(|(_, retry)| *retry).count() as f64;
            let requests = inside(10_500).filter(|(_, retry)| !*retry).count() as f64;
            if retries > requests * 0.2 + 2.0 {
                return false;
            }
        }
        true
    }

    /// The covered tokens of a prompt are never more than the prompt has.
    fn covered_tokens_do_not_exceed_the_prompt(prompts: Vec<Vec<(u64, u16)>>) -> bool {
        let mut cache = Cache::new(50_000);
        prompts.iter().all(|prompt| {
            let prompt: Vec<_> = prompt.iter().map(|(id, tokens)| Part { id: id % 8, tokens: u32::from(*tokens) }).collect();
            let total: u32 = prompt.iter().map(|part| part.tokens).sum();
            let covered = cache.covers(&prompt);
            cache.insert_prompt(&prompt);
            covered <= total
        })
    }
}
