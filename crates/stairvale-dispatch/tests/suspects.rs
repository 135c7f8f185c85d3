//! Which requests cause upstreams to terminate, and which only run there at that time.

#![allow(clippy::unwrap_used, clippy::print_stdout)]

use std::time::Duration;

use quickcheck::quickcheck;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stairvale_dispatch::{
    Suspects,
    suspects::{Evidence, MAX_CRASHES, MIN_CRASHES},
};
use stairvale_types::{Moment, id};

const CAUSE: id::Fingerprint = id::Fingerprint(1);
const BYSTANDER: id::Fingerprint = id::Fingerprint(2);

/// The fingerprints of the causes that are found.
fn judge(suspects: &mut Suspects, now: Moment, upstreams: usize) -> Vec<id::Fingerprint> {
    suspects.judge(now, upstreams).into_iter().map(|cause| cause.fingerprint).collect()
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn upstream(number: u64) -> id::Upstream {
    format!("e{number}").parse().unwrap()
}

/// Evidence that an upstream terminated under a request that had run for `ran_ms` ms.
fn termination(fingerprint: id::Fingerprint, number: u64, ran_ms: u64) -> Evidence {
    Evidence::Ended { fingerprint, upstream: upstream(number), ran: Duration::from_millis(ran_ms) }
}

/// The suspects of a service whose upstreams have been observed for a minute.
fn observed() -> Suspects {
    let mut suspects = Suspects::default();
    suspects.judge(at(0), 12);
    suspects.judge(at(60_000), 12);
    suspects
}

/// Lets one upstream terminate per second under all the given requests, and returns how many causes are found after
/// each.
fn terminate_under(suspects: &mut Suspects, fingerprints: &[id::Fingerprint], from: u64, count: u64) -> Vec<usize> {
    let end = |number: u64| {
        let now = 60_000 + (from + number) * 1_000;
        for fingerprint in fingerprints {
            suspects.learn(at(now), &termination(*fingerprint, from + number, 400));
        }
        suspects.judge(at(now + 150), 12).len()
    };
    (0..count).map(end).collect()
}

#[test]
fn a_request_under_which_three_upstreams_terminated_is_the_cause() {
    let mut suspects = observed();
    assert_eq!(terminate_under(&mut suspects, &[CAUSE], 0, 4), [0, 0, 1, 1]);
}

#[test]
fn a_request_that_was_served_in_between_is_not_the_cause() {
    let mut suspects = observed();
    for round in 0..5 {
        assert_eq!(terminate_under(&mut suspects, &[CAUSE], round * 2, 2), [0, 0]);
        assert!(suspects.learn(at(200_000), &Evidence::Served { fingerprint: CAUSE }));
    }
    assert!(suspects.is_empty());
}

#[test]
fn a_termination_that_many_entries_report_counts_once() {
    let mut suspects = observed();
    for number in 0..30 {
        suspects.learn(at(60_000 + number), &termination(CAUSE, 0, 400));
    }
    assert_eq!(suspects.crash_count(CAUSE), 1);
}

#[test]
fn of_two_requests_under_the_same_terminations_none_is_found_until_a_termination_distinguishes_them() {
    let mut suspects = observed();
    assert_eq!(terminate_under(&mut suspects, &[CAUSE, BYSTANDER], 0, 4), [0; 4]);
    // On another upstream, the bystander is served.
    suspects.learn(at(70_000), &Evidence::Served { fingerprint: BYSTANDER });
    assert_eq!(terminate_under(&mut suspects, &[CAUSE], 20, 1), [1]);
}

#[test]
fn terminations_that_a_cause_explains_do_not_count_against_others() {
    let mut suspects = observed();
    suspects.learn(at(60_000), &termination(BYSTANDER, 0, 400));
    assert_eq!(terminate_under(&mut suspects, &[CAUSE], 0, 3), [0, 0, 1]);
    assert_eq!(suspects.crash_count(BYSTANDER), 0);
}

#[test]
fn an_upstream_that_answers_later_has_not_terminated() {
    let mut suspects = observed();
    suspects.learn(at(60_000), &termination(CAUSE, 0, 400));
    suspects.answered(at(60_100), &upstream(0), at(59_000));
    assert_eq!(suspects.crash_count(CAUSE), 1, "it may have been served before the termination and reported late");
    suspects.answered(at(61_000), &upstream(0), at(59_000));
    assert_eq!(suspects.crash_count(CAUSE), 0);
}

#[test]
fn a_request_that_was_found_before_is_found_again_after_one_termination() {
    let mut suspects = observed();
    suspects.learn(at(60_000), &Evidence::Found { fingerprint: CAUSE });
    assert_eq!(terminate_under(&mut suspects, &[CAUSE], 0, 1), [1]);
}

#[test]
fn a_flood_of_new_requests_evicts_only_those_with_fewer_terminations() {
    let mut suspects = observed();
    terminate_under(&mut suspects, &[CAUSE], 0, 2);
    for number in 0..20_000 {
        suspects.learn(at(63_000), &termination(id::Fingerprint(1_000 + number), 10 + number / 60, 400));
    }
    assert!(suspects.len() <= 4_096);
    assert_eq!(suspects.crash_count(CAUSE), 2);
}

#[test]
fn thousands_of_requests_that_each_terminate_one_upstream_incriminate_no_other_request() {
    let mut suspects = observed();
    for number in 0..5_000 {
        let now = 60_000 + number * 50;
        // Ten other requests run at each upstream, three of them for the second or third time.
        let others =
            (0..7).map(|other| 100_000 + number * 7 + other).chain((0..3).map(|other| 50 + (number * 3 + other) % 900));
        for other in others.chain([10_000 + number]) {
            suspects.learn(at(now), &termination(id::Fingerprint(other), number, 400));
        }
        assert_eq!(judge(&mut suspects, at(now + 40), 12), [], "after {number} terminations");
        // These three are repeated, and served by an upstream that keeps running.
        for other in (0..3).map(|other| 50 + (number * 3 + other) % 900) {
            suspects.learn(at(now + 45), &Evidence::Served { fingerprint: id::Fingerprint(other) });
        }
        assert!(suspects.len() <= 4_096);
    }
}

/// A simulation of upstreams, some of which terminate by themselves, and of requests that are retried until they are
/// served or have used up their attempts.
struct Simulation {
    rng: ChaCha8Rng,
    suspects: Suspects,
    /// When the incarnations of each upstream terminate, in ms; empty for an upstream that never does.
    terminations: Vec<Vec<u64>>,
}

/// One run of a request; times are in ms.
struct Run {
    fingerprint: id::Fingerprint,
    start: u64,
    duration: u64,
    attempts_left: u32,
    /// How long after its start it makes the upstream terminate, if it does.
    fatal_after: Option<u64>,
}

/// Simulated time, in ms.
const DURATION_MS: u64 = 60_000;
/// How often a request is sent at most.
const MAX_ATTEMPTS: u32 = 3;

impl Simulation {
    /// Of twelve upstreams, half terminate by themselves after `mean_lifetime` ms on average.
    fn new(seed: u64, mean_lifetime: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut terminations = Vec::new();
        for number in 0..12 {
            let (mut times, mut now) = (Vec::new(), 0);
            while number % 2 == 0 && now < DURATION_MS {
                // An upstream restarts after two seconds.
                now += 2_000 + rng.random_range(0..mean_lifetime * 2);
                times.push(now);
            }
            terminations.push(times);
        }
        Self { rng, suspects: Suspects::default(), terminations }
    }

    /// Runs `requests` harmless requests and, if `cause` is set, one that makes upstreams terminate. Returns the found
    /// causes, and how many upstreams terminated under that request.
    fn run(&mut self, requests: u64, cause: bool) -> (Vec<id::Fingerprint>, usize) {
        let mut runs: Vec<Run> = Vec::new();
        for number in 0..requests {
            let start = self.rng.random_range(0..DURATION_MS);
            let duration = [60, 400, 1_500, 3_000][usize::try_from(number % 4).unwrap()];
            runs.push(Run {
                fingerprint: id::Fingerprint(100 + number),
                start,
                duration,
                attempts_left: MAX_ATTEMPTS,
                fatal_after: None,
            });
        }
        if cause {
            runs.push(Run {
                fingerprint: CAUSE,
                start: 15_000,
                duration: 3_000,
                attempts_left: 30,
                fatal_after: Some(300),
            });
        }
        let (mut events, mut found, mut cause_ends) = (std::collections::BTreeMap::new(), Vec::new(), 0);
        let mut number = 0_u64;
        for run in runs {
            number += 1;
            events.insert((run.start, number), Ok(run));
        }
        while let Some(((now, _), event)) = events.pop_first() {
            found.extend(judge(&mut self.suspects, at(now), 12));
            match event {
                Ok(run) if found.contains(&run.fingerprint) => {}
                Ok(run) => {
                    let index = self.rng.random_range(0..self.terminations.len());
                    let natural_end =
                        self.terminations[index].iter().copied().find(|end| *end > now).unwrap_or(u64::MAX);
                    let end = natural_end.min(run.fatal_after.map_or(u64::MAX, |after| now + after));
                    let finish = end.min(now + run.duration);
                    number += 1;
                    let evidence = if finish == end {
                        // The name of an incarnation contains the time of its termination.
                        let upstream = format!("e{index}-{end}").parse().unwrap();
                        cause_ends += usize::from(run.fatal_after.is_some());
                        let retry_at = now + 500 + self.rng.random_range(0..1_000);
                        let attempts_left = run.attempts_left - 1;
                        let fingerprint = run.fingerprint;
                        if attempts_left > 0 {
                            events.insert(
                                (finish.max(retry_at), number),
                                Ok(Run { start: retry_at, attempts_left, ..run }),
                            );
                        }
                        Evidence::Ended { fingerprint, upstream, ran: Duration::from_millis(finish - now) }
                    } else {
                        Evidence::Served { fingerprint: run.fingerprint }
                    };
                    number += 1;
                    events.insert((finish, number), Err(evidence));
                }
                Err(evidence) => {
                    self.suspects.learn(at(now), &evidence);
                }
            }
        }
        found.extend(judge(&mut self.suspects, at(DURATION_MS * 2), 12));
        (found, cause_ends)
    }
}

#[test]
fn no_harmless_request_is_found_while_half_of_the_upstreams_terminate_by_themselves() {
    for (seed, mean_lifetime) in [(1, 2_000), (2, 5_000), (3, 10_000), (4, 20_000), (5, 2_000), (6, 5_000)] {
        let (found, _) = Simulation::new(seed, mean_lifetime).run(10_000, false);
        assert_eq!(found, [], "seed {seed}, mean lifetime {mean_lifetime} ms");
    }
}

#[test]
fn the_cause_is_found_after_few_terminations_while_other_upstreams_terminate_by_themselves() {
    let mut ends = Vec::new();
    for seed in 0..40 {
        let (found, count) = Simulation::new(seed, 5_000).run(2_000, true);
        assert!(found.contains(&CAUSE), "seed {seed}");
        assert!(found.iter().all(|found| *found == CAUSE), "seed {seed}: {found:?}");
        ends.push(count);
    }
    ends.sort_unstable();
    println!(
        "terminations until the cause is found: median {}, maximum {}",
        ends[ends.len() / 2],
        ends[ends.len() - 1]
    );
    assert!(ends[0] >= MIN_CRASHES);
    assert!(ends[ends.len() - 1] <= MAX_CRASHES, "{ends:?}");
}

quickcheck! {
    /// For any evidence in any order, a request is found to be the cause only after terminations that were reported
    /// under it, and memory is bounded.
    fn only_requests_with_terminations_are_found(steps: Vec<(u8, u8, bool, u16)>) -> bool {
        let mut suspects = Suspects::default();
        let mut ends: std::collections::HashMap<id::Fingerprint, std::collections::BTreeSet<u8>> = Default::default();
        let mut now = 0;
        steps.iter().all(|(request, index, served, wait)| {
            now += u64::from(*wait % 4_000);
            let fingerprint = id::Fingerprint(u64::from(*request % 4));
            if *served {
                ends.remove(&fingerprint);
                suspects.learn(at(now), &Evidence::Served { fingerprint });
            } else {
                ends.entry(fingerprint).or_default().insert(*index);
                suspects.learn(at(now), &termination(fingerprint, u64::from(*index), 300));
            }
            let found = judge(&mut suspects, at(now), 3);
            found.iter().all(|found| ends.contains_key(found)) && suspects.len() <= 4
        })
    }
}
