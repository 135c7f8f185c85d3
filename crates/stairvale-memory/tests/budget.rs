//! The budget: reservations never exceed it, and stalled uploads don't starve others.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use quickcheck::{Arbitrary, Gen, quickcheck};
use stairvale_memory::{
    Budget, Content, Kind, Reservation, Shortage, Upload,
    budget::{MAX_SMALL_BYTES, MAX_STALL, MIN_RATE},
};
use stairvale_types::{Moment, id};

const MB: usize = 1 << 20;
const LIMIT: usize = 16 * MB;
const MAX_BODY: usize = 4 * MB;

fn customer(name: &str) -> Option<id::Customer> {
    Some(name.parse().unwrap())
}

fn at(ms: u64) -> Moment {
    Moment::ZERO + Duration::from_millis(ms)
}

/// Bodies of this customer that are announced, of which nothing arrives, until there is no room.
fn fill(budget: &Budget, now: Moment, name: &str, bytes: usize) -> Vec<Upload> {
    std::iter::from_fn(|| budget.upload(now, customer(name), Some(bytes), MAX_BODY).ok()).take(1_000).collect()
}

fn total(budget: &Budget) -> usize {
    Kind::ALL.into_iter().map(|kind| budget.held(kind)).sum()
}

#[test]
fn a_body_is_held_until_its_last_part_is_dropped() {
    let budget = Budget::new(LIMIT);
    let mut upload = budget.upload(at(0), None, None, MAX_BODY).unwrap();
    let text: Vec<u8> = (0..600_000_u32).map(|number| (number % 251) as u8).collect();
    text.chunks(7_001).for_each(|piece| upload.push(at(0), piece).unwrap());
    assert!((600_000..=900_000).contains(&budget.held(Kind::Body)), "{}", budget.held(Kind::Body));
    let content = upload.finish().unwrap();
    assert_eq!(content.parts().concat(), text);
    let (copy, mut last) = (content.clone(), content.clone());
    drop(content);
    drop(copy);
    let taken = last.take(10).unwrap();
    drop(last);
    assert!(budget.held(Kind::Body) > 0);
    drop(taken);
    assert_eq!(total(&budget), 0);
}

#[test]
fn single_bytes_take_little_more_than_themselves() {
    let budget = Budget::new(LIMIT);
    let mut upload = budget.upload(at(0), None, None, MAX_BODY).unwrap();
    (0..100_000).for_each(|_| upload.push(at(0), b"x").unwrap());
    assert!(budget.held(Kind::Body) < 200_000, "{}", budget.held(Kind::Body));
    assert_eq!(upload.finish().unwrap().len(), 100_000);
}

#[test]
fn a_body_without_room_is_refused_and_given_back() {
    let budget = Budget::new(LIMIT);
    let mut upload = budget.upload(at(0), None, None, 2 * LIMIT).unwrap();
    let refused = (0..LIMIT / 1_000).find_map(|_| upload.push(at(0), &[0; 1_000]).err());
    assert!(refused.is_some());
    drop(upload);
    assert_eq!(total(&budget), 0);
}

#[test]
fn one_customer_leaves_room_for_another() {
    let budget = Budget::new(LIMIT);
    let crowd = fill(&budget, at(0), "crowd", MAX_BODY);
    assert!(!crowd.is_empty());
    assert_eq!(budget.upload(at(0), customer("crowd"), Some(MAX_BODY), MAX_BODY).unwrap_err(), Shortage::Share);
    assert!(budget.upload(at(0), customer("other"), Some(MAX_BODY), MAX_BODY).is_ok());
}

#[test]
fn small_bodies_and_requests_have_room_beside_large_ones() {
    let budget = Budget::new(LIMIT);
    let _crowds: Vec<_> = (0..20).flat_map(|name| fill(&budget, at(0), &format!("c{name}"), MB)).collect();
    assert!(budget.upload(at(0), customer("late"), Some(MB), MAX_BODY).is_err());
    assert!(budget.upload(at(0), customer("late"), Some(MAX_SMALL_BYTES), MAX_BODY).is_ok());
    let _small: Vec<_> = (0..20).flat_map(|name| fill(&budget, at(0), &format!("c{name}"), 1_000)).collect();
    assert!(budget.request(at(0), 128 << 10).is_ok());
}

#[test]
fn bodies_that_fall_behind_give_way() {
    let budget = Budget::new(LIMIT);
    let crowd = fill(&budget, at(0), "crowd", MAX_BODY);
    let late = at(0) + MAX_STALL + Duration::from_millis(1);
    assert!(budget.upload(late, customer("crowd"), Some(MAX_BODY), MAX_BODY).is_ok());
    assert_eq!(budget.evictions(), 1);
    let evicted = crowd.into_iter().filter_map(|upload| upload.finish().err()).collect::<Vec<_>>();
    assert_eq!(evicted, [Shortage::Evicted]);
}

#[test]
fn a_body_that_goes_on_gives_no_way_to_its_own_customer() {
    let budget = Budget::new(LIMIT);
    let mut crowd = fill(&budget, at(0), "crowd", MAX_BODY);
    let piece = vec![0; usize::try_from(MIN_RATE / 2).unwrap()];
    for half_second in 1..10 {
        crowd.iter_mut().for_each(|upload| upload.push(at(500 * half_second), &piece).unwrap());
        assert!(budget.upload(at(500 * half_second), customer("crowd"), Some(MAX_BODY), MAX_BODY).is_err());
    }
    assert_eq!(budget.evictions(), 0);
}

#[test]
fn a_body_that_trickles_falls_behind() {
    let budget = Budget::new(LIMIT);
    let mut crowd = fill(&budget, at(0), "crowd", MAX_BODY);
    for step in 1..200 {
        crowd.iter_mut().for_each(|upload| upload.push(at(10 * step), b"x").unwrap());
    }
    assert!(budget.upload(at(2_000), customer("crowd"), Some(MAX_BODY), MAX_BODY).is_ok());
}

#[test]
fn connections_leave_room_for_requests() {
    let budget = Budget::new(LIMIT);
    let connections: Vec<_> = std::iter::from_fn(|| budget.connection(at(0), 64 << 10).ok()).collect();
    assert_eq!(connections.len(), LIMIT / 2 / (64 << 10));
    assert!(budget.upload(at(0), None, Some(MB), MAX_BODY).is_ok());
}

#[tokio::test]
async fn an_evicted_body_is_told() {
    let budget = Budget::new(LIMIT);
    let crowd = fill(&budget, at(0), "crowd", MAX_BODY);
    let _other = budget.upload(at(2_000), customer("crowd"), Some(MAX_BODY), MAX_BODY).unwrap();
    let (first, _, _) = futures::future::select_all(crowd.iter().map(|upload| Box::pin(upload.evicted()))).await;
    assert_eq!(first, ());
}

/// A step of a random history.
#[derive(Clone, Debug)]
enum Step {
    Connect,
    Request,
    Answer(usize),
    Announce(u8, usize),
    Grow(u8),
    Push(usize, usize),
    Finish(usize),
    Drop(usize),
    Wait(u64),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let index = usize::arbitrary(g);
        let size = usize::arbitrary(g) % *g.choose(&[100, 10_000, MAX_SMALL_BYTES, MB, MAX_BODY]).unwrap();
        match u8::arbitrary(g) % 9 {
            0 => Self::Connect,
            1 => Self::Request,
            2 => Self::Answer(size),
            3 => Self::Announce(u8::arbitrary(g) % 3, size),
            4 => Self::Grow(u8::arbitrary(g) % 3),
            5 => Self::Push(index, size),
            6 => Self::Finish(index),
            7 => Self::Drop(index),
            _ => Self::Wait(u64::arbitrary(g) % 1_500),
        }
    }
}

/// What is held during a random history.
#[derive(Default)]
struct History {
    now: Duration,
    reservations: Vec<Reservation>,
    uploads: Vec<Upload>,
    contents: Vec<Content>,
}

impl History {
    fn play(&mut self, budget: &Budget, step: &Step) {
        let now = Moment::ZERO + self.now;
        match *step {
            Step::Connect => self.reservations.extend(budget.connection(now, 64 << 10)),
            Step::Request => self.reservations.extend(budget.request(now, 128 << 10)),
            Step::Answer(bytes) => self.reservations.extend(budget.answer(now, bytes)),
            Step::Announce(name, bytes) => {
                self.uploads.extend(budget.upload(now, customer(&format!("c{name}")), Some(bytes), MAX_BODY));
            }
            Step::Grow(name) => {
                self.uploads.extend(budget.upload(now, customer(&format!("c{name}")), None, MAX_BODY));
            }
            Step::Push(index, bytes) => {
                let count = self.uploads.len().max(1);
                if let Some(upload) = self.uploads.get_mut(index % count) {
                    let bytes = bytes.min(MAX_BODY - upload.len());
                    let _ = upload.push(now, &vec![0; bytes]);
                }
            }
            Step::Finish(index) => {
                if !self.uploads.is_empty() {
                    let index = index % self.uploads.len();
                    self.contents.extend(self.uploads.swap_remove(index).finish());
                }
            }
            Step::Drop(index) => {
                if !self.reservations.is_empty() {
                    let _ = self.reservations.swap_remove(index % self.reservations.len());
                }
                if !self.contents.is_empty() {
                    self.contents.swap_remove(index % self.contents.len());
                }
            }
            Step::Wait(ms) => self.now += Duration::from_millis(ms),
        }
    }
}

quickcheck! {
    fn what_is_held_never_exceeds_the_budget(steps: Vec<Step>) -> bool {
        let budget = Budget::new(LIMIT);
        let mut history = History::default();
        let is_bounded = steps.iter().all(|step| {
            history.play(&budget, step);
            let reserved: usize = history.reservations.iter().map(Reservation::bytes).sum();
            total(&budget) <= LIMIT && total(&budget) == reserved + budget.held(Kind::Body)
        });
        drop(history);
        is_bounded && total(&budget) == 0
    }

    /// Progress: whatever happened, a body that arrives after those that are being received have fallen behind finds room, unless
    /// what is complete or served takes it.
    fn nobody_is_shut_out_by_bodies_that_do_not_go_on(steps: Vec<Step>) -> bool {
        let budget = Budget::new(LIMIT);
        let mut history = History::default();
        steps.iter().for_each(|step| history.play(&budget, step));
        history.contents.clear();
        history.reservations.clear();
        let late = Moment::ZERO + history.now + MAX_STALL + Duration::from_millis(1);
        ["c0", "new"].iter().all(|name| budget.upload(late, customer(name), Some(MAX_BODY), MAX_BODY).is_ok())
    }
}
