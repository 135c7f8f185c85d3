//! Which requests upstreams end because of, and which only run there.

#![allow(clippy::unwrap_used, clippy::print_stdout)]

use std::time::Duration;

use quickcheck::quickcheck;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stairvale_dispatch::{
    Suspects,
    suspects::{Evidence, LEAST, MOST},
};
use stairvale_types::{Moment, id};

const CAUSE: id::Fingerprint = id::Fingerprint(1);
const BYSTANDER: id::Fingerprint = id::Fingerprint(2);

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn upstream(number: u64) -> id::Upstream {
    format!("e{number}").parse().unwrap()
}

fn ended(fingerprint: id::Fingerprint, number: u64, ran: u64) -> Evidence {
    Evidence::Ended { fingerprint, upstream: upstream(number), ran: Duration::from_millis(ran) }
}

/// Suspects of a service whose upstreams have been seen for a minute.
fn seen() -> Suspects {
    let mut suspects = Suspects::default();
    suspects.judge(at(0), 12);
    suspects.judge(at(60_000), 12);
    suspects
}

/// Upstreams end under a request, one each second; gives what is found after each.
fn end_under(suspects: &mut Suspects, fingerprints: &[id::Fingerprint], from: u64, count: u64) -> Vec<usize> {
    let end = |number: u64| {
        let now = 60_000 + (from + number) * 1_000;
        for fingerprint in fingerprints {
            suspects.learn(at(now), &ended(*fingerprint, from + number, 400));
        }
        suspects.judge(at(now + 150), 12).len()
    };
    (0..count).map(end).collect()
}

#[test]
fn a_request_that_three_upstreams_ended_under_is_the_cause() {
    let mut suspects = seen();
    assert_eq!(end_under(&mut suspects, &[CAUSE], 0, 4), [0, 0, 1, 1]);
}

#[test]
fn a_request_that_ended_well_in_between_is_not() {
    let mut suspects = seen();
    for round in 0..5 {
        assert_eq!(end_under(&mut suspects, &[CAUSE], round * 2, 2), [0, 0]);
        assert!(suspects.learn(at(200_000), &Evidence::Served { fingerprint: CAUSE }));
    }
    assert!(suspects.is_empty());
}

#[test]
fn the_same_end_told_by_many_entries_counts_once() {
    let mut suspects = seen();
    for number in 0..30 {
        suspects.learn(at(60_000 + number), &ended(CAUSE, 0, 400));
    }
    assert_eq!(suspects.ends(CAUSE), 1);
}

#[test]
fn of_two_that_the_same_ends_accuse_none_is_found_until_an_end_tells() {
    let mut suspects = seen();
    assert_eq!(end_under(&mut suspects, &[CAUSE, BYSTANDER], 0, 4), [0; 4]);
    // Placed apart, the bystander ends well.
    suspects.learn(at(70_000), &Evidence::Served { fingerprint: BYSTANDER });
    assert_eq!(end_under(&mut suspects, &[CAUSE], 20, 1), [1]);
}

#[test]
fn what_a_cause_explains_accuses_nobody_else() {
    let mut suspects = seen();
    suspects.learn(at(60_000), &ended(BYSTANDER, 0, 400));
    assert_eq!(end_under(&mut suspects, &[CAUSE], 0, 3), [0, 0, 1]);
    assert_eq!(suspects.ends(BYSTANDER), 0);
}

#[test]
fn an_upstream_that_answers_later_has_not_ended() {
    let mut suspects = seen();
    suspects.learn(at(60_000), &ended(CAUSE, 0, 400));
    suspects.answered(at(60_100), &upstream(0), at(59_000));
    assert_eq!(suspects.ends(CAUSE), 1, "it may have been served before, and told late");
    suspects.answered(at(61_000), &upstream(0), at(59_000));
    assert_eq!(suspects.ends(CAUSE), 0);
}

#[test]
fn one_that_was_found_before_needs_one_more_end() {
    let mut suspects = seen();
    suspects.learn(at(60_000), &Evidence::Found { fingerprint: CAUSE });
    assert_eq!(end_under(&mut suspects, &[CAUSE], 0, 1), [1]);
}

#[test]
fn ever_new_requests_drive_out_only_what_fewer_upstreams_ended_under() {
    let mut suspects = seen();
    end_under(&mut suspects, &[CAUSE], 0, 2);
    for number in 0..20_000 {
        suspects.learn(at(63_000), &ended(id::Fingerprint(1_000 + number), 10 + number / 60, 400));
    }
    assert!(suspects.len() <= 4_096);
    assert_eq!(suspects.ends(CAUSE), 2);
}

#[test]
fn thousands_of_requests_that_each_end_one_upstream_accuse_nobody_else() {
    let mut suspects = seen();
    for number in 0..5_000 {
        let now = 60_000 + number * 50;
        // Ten others run there each time, three of them for the second or third time.
        let others =
            (0..7).map(|other| 100_000 + number * 7 + other).chain((0..3).map(|other| 50 + (number * 3 + other) % 900));
        for other in others.chain([10_000 + number]) {
            suspects.learn(at(now), &ended(id::Fingerprint(other), number, 400));
        }
        assert_eq!(suspects.judge(at(now + 40), 12), [], "after {number} of them");
        // Those come again, and end well at an upstream that lives.
        for other in (0..3).map(|other| 50 + (number * 3 + other) % 900) {
            suspects.learn(at(now + 45), &Evidence::Served { fingerprint: id::Fingerprint(other) });
        }
        assert!(suspects.len() <= 4_096);
    }
}

/// Upstreams some of which end by themselves, and requests that are sent again until they have been served or were sent often
/// enough.
struct Day {
    rng: ChaCha8Rng,
    suspects: Suspects,
    /// When each upstream's lives end, in ms; those that don't have none.
    lives: Vec<Vec<u64>>,
}

/// One run of a request.
struct Run {
    fingerprint: id::Fingerprint,
    begins: u64,
    takes: u64,
    tries: u32,
    /// Whether its upstream ends because of it, this long after its start.
    fatal: Option<u64>,
}

/// How long a day lasts, in ms.
const LENGTH: u64 = 60_000;
/// Times that a request is sent at most.
const TRIES: u32 = 3;

impl Day {
    /// Half of twelve upstreams live for so long on the mean, in ms.
    fn new(seed: u64, life: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut lives = Vec::new();
        for number in 0..12 {
            let (mut ends, mut now) = (Vec::new(), 0);
            while number % 2 == 0 && now < LENGTH {
                // Back after two seconds.
                now += 2_000 + rng.random_range(0..life * 2);
                ends.push(now);
            }
            lives.push(ends);
        }
        Self { rng, suspects: Suspects::default(), lives }
    }

    /// Plays so many requests and one that upstreams end because of, if there is one; gives what was found and how many ends
    /// that one needed.
    fn play(&mut self, requests: u64, cause: bool) -> (Vec<id::Fingerprint>, usize) {
        let mut runs: Vec<Run> = Vec::new();
        for number in 0..requests {
            let begins = self.rng.random_range(0..LENGTH);
            let takes = [60, 400, 1_500, 3_000][usize::try_from(number % 4).unwrap()];
            runs.push(Run { fingerprint: id::Fingerprint(100 + number), begins, takes, tries: TRIES, fatal: None });
        }
        if cause {
            runs.push(Run { fingerprint: CAUSE, begins: 15_000, takes: 3_000, tries: 30, fatal: Some(300) });
        }
        let (mut events, mut found, mut ends) = (std::collections::BTreeMap::new(), Vec::new(), 0);
        let mut number = 0_u64;
        for run in runs {
            number += 1;
            events.insert((run.begins, number), Ok(run));
        }
        while let Some(((now, _), event)) = events.pop_first() {
            found.extend(self.suspects.judge(at(now), 12));
            match event {
                Ok(run) if found.contains(&run.fingerprint) => {}
                Ok(run) => {
                    let place = self.rng.random_range(0..self.lives.len());
                    let natural = self.lives[place].iter().copied().find(|end| *end > now).unwrap_or(u64::MAX);
                    let end = natural.min(run.fatal.map_or(u64::MAX, |after| now + after));
                    let over = end.min(now + run.takes);
                    number += 1;
                    let evidence = if over == end {
                        // Its lives are told apart by when they end.
                        let upstream = format!("e{place}-{end}").parse().unwrap();
                        ends += usize::from(run.fatal.is_some());
                        let again = now + 500 + self.rng.random_range(0..1_000);
                        let tries = run.tries - 1;
                        let fingerprint = run.fingerprint;
                        if tries > 0 {
                            events.insert((over.max(again), number), Ok(Run { begins: again, tries, ..run }));
                        }
                        Evidence::Ended { fingerprint, upstream, ran: Duration::from_millis(over - now) }
                    } else {
                        Evidence::Served { fingerprint: run.fingerprint }
                    };
                    number += 1;
                    events.insert((over, number), Err(evidence));
                }
                Err(evidence) => {
                    self.suspects.learn(at(now), &evidence);
                }
            }
        }
        found.extend(self.suspects.judge(at(LENGTH * 2), 12));
        (found, ends)
    }
}

#[test]
fn of_ten_thousand_requests_none_is_found_while_half_of_the_upstreams_end_by_themselves() {
    for (seed, life) in [(1, 2_000), (2, 5_000), (3, 10_000), (4, 20_000), (5, 2_000), (6, 5_000)] {
        let (found, _) = Day::new(seed, life).play(10_000, false);
        assert_eq!(found, [], "seed {seed}, lives of {life} ms");
    }
}

#[test]
fn the_cause_is_found_after_few_ends_also_while_others_end_by_themselves() {
    let mut ends = Vec::new();
    for seed in 0..40 {
        let (found, count) = Day::new(seed, 5_000).play(2_000, true);
        assert!(found.contains(&CAUSE), "seed {seed}");
        assert!(found.iter().all(|found| *found == CAUSE), "seed {seed}: {found:?}");
        ends.push(count);
    }
    ends.sort_unstable();
    println!("ends until the cause is found: median {}, most {}", ends[ends.len() / 2], ends[ends.len() - 1]);
    assert!(ends[0] >= LEAST);
    assert!(ends[ends.len() - 1] <= MOST, "{ends:?}");
}

quickcheck! {
    /// Whatever is learnt in whatever order: a request is found only after ends that were told of it, and memory is bounded.
    fn nothing_is_found_that_upstreams_did_not_end_under(steps: Vec<(u8, u8, bool, u16)>) -> bool {
        let mut suspects = Suspects::default();
        let mut ends: std::collections::HashMap<id::Fingerprint, std::collections::BTreeSet<u8>> = Default::default();
        let mut now = 0;
        steps.iter().all(|(request, place, served, wait)| {
            now += u64::from(*wait % 4_000);
            let fingerprint = id::Fingerprint(u64::from(*request % 4));
            if *served {
                ends.remove(&fingerprint);
                suspects.learn(at(now), &Evidence::Served { fingerprint });
            } else {
                ends.entry(fingerprint).or_default().insert(*place);
                suspects.learn(at(now), &ended(fingerprint, u64::from(*place), 300));
            }
            let found = suspects.judge(at(now), 3);
            found.iter().all(|found| ends.contains_key(found)) && suspects.len() <= 4
        })
    }
}
