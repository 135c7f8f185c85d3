//! The queue of connections that haven't been read: what is served, what is closed unread, and how long either waits.

use std::time::Duration;

use quickcheck::quickcheck;
use stairvale_serve::intake::{Intake, MAX_BURST_WAIT, MAX_STANDING_WAIT};
use stairvale_types::Moment;

/// A connection: when it was accepted, which may be up to one service time after its arrival.
type Connection = Moment;

/// The connections of one run, each with its wait.
#[derive(Default)]
struct Run {
    served: Vec<(Moment, Duration)>,
    closed: Vec<(Moment, Duration)>,
}

/// Plays connections that arrive at these times, in order, before a process that takes one each `service`.
fn play(arrivals: &[Moment], service: Duration) -> Run {
    let mut intake: Intake<Connection> = Intake::new(Moment::ZERO);
    let (mut run, mut now, mut next) = (Run::default(), Moment::ZERO, 0);
    while next < arrivals.len() || !intake.is_empty() {
        if intake.is_empty() {
            now = now.max(arrivals[next]);
        }
        while next < arrivals.len() && arrivals[next] <= now {
            intake.push(now, now);
            next += 1;
        }
        while let Some(accepted) = intake.take_expired(now) {
            run.closed.push((now, now.since(accepted)));
        }
        if let Some(accepted) = intake.take() {
            run.served.push((now, now.since(accepted)));
            now = now + service;
        }
    }
    run
}

/// This many arrivals at equal intervals from `from` on.
fn steady(from: Duration, interval: Duration, count: u32) -> Vec<Moment> {
    (0..count).map(|number| Moment::ZERO + from + interval * number).collect()
}

const SERVICE: Duration = Duration::from_millis(2);

#[test]
fn connections_that_arrive_slower_than_they_are_served_do_not_wait() {
    let run = play(&steady(Duration::ZERO, 2 * SERVICE, 1_000), SERVICE);
    assert_eq!((run.served.len(), run.closed.len()), (1_000, 0));
    assert!(run.served.iter().all(|(_, wait)| *wait <= SERVICE));
}

#[test]
fn a_burst_is_served_in_order_and_none_of_it_is_closed() {
    let count = 200;
    assert!(SERVICE * count <= MAX_BURST_WAIT);
    let run = play(&steady(Duration::ZERO, Duration::ZERO, count), SERVICE);
    assert_eq!((run.served.len(), run.closed.len()), (count as usize, 0));
    assert!(run.served.is_sorted_by_key(|(_, wait)| *wait));
}

/// Guards against a standing queue, in which each request that is served has waited as long as the limit allows.
#[test]
fn a_standing_overload_is_closed_soon_and_the_process_never_idles() {
    let run = play(&steady(Duration::ZERO, SERVICE / 4, 40_000), SERVICE);
    let settled = |(at, _): &&(Moment, Duration)| *at > Moment::ZERO + 2 * MAX_BURST_WAIT;
    assert!(run.served.iter().filter(settled).all(|(_, wait)| *wait <= MAX_STANDING_WAIT));
    assert!(run.closed.iter().filter(settled).all(|(_, wait)| *wait <= MAX_STANDING_WAIT + 2 * SERVICE));
    assert!(run.served.is_sorted_by_key(|(at, _)| *at));
    let gaps = run.served.windows(2).map(|pair| pair[1].0.since(pair[0].0));
    assert!(gaps.into_iter().all(|gap| gap == SERVICE), "the process was idle although connections waited");
}

#[test]
fn a_burst_after_an_overload_is_served_whole() {
    let mut arrivals = steady(Duration::ZERO, SERVICE / 4, 4_000);
    let burst = SERVICE / 4 * 4_000 + 2 * MAX_BURST_WAIT;
    arrivals.extend(steady(burst, Duration::ZERO, 100));
    let run = play(&arrivals, SERVICE);
    assert!(run.closed.iter().all(|(at, _)| *at < Moment::ZERO + burst));
    assert_eq!(run.served.iter().filter(|(at, _)| *at >= Moment::ZERO + burst).count(), 100);
}

quickcheck! {
    fn each_connection_is_served_or_closed_within_its_limit(gaps_ms: Vec<u8>, service_ms: u8) -> bool {
        let mut at = Moment::ZERO;
        let arrivals: Vec<_> = gaps_ms.iter().map(|gap| { at = at + Duration::from_millis(u64::from(gap % 12)); at }).collect();
        let service = Duration::from_millis(u64::from(service_ms % 40) + 1);
        let run = play(&arrivals, service);
        run.served.len() + run.closed.len() == arrivals.len()
            && run.served.iter().all(|(_, wait)| *wait <= MAX_BURST_WAIT)
            && run.closed.iter().all(|(_, wait)| *wait > MAX_STANDING_WAIT)
    }
}
