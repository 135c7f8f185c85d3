//! The connections of a port: how many there may be, and which one is closed for a new one.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use futures::FutureExt;
use stairvale_clock::Clock;
use stairvale_memory::{
    Budget, Connections, Kind,
    connections::{Connection, MIN_UNUSED},
};

const BYTES: usize = 1_000;
const LIMIT: usize = 4;

fn connections(clock: &Clock, budget: &Budget) -> Connections {
    Connections::new(clock.clone(), budget.clone(), BYTES, LIMIT)
}

fn is_asked(connection: &Connection) -> bool {
    connection.asked_to_close().now_or_never().is_some()
}

#[tokio::test]
async fn connections_are_bounded_by_their_number_and_by_the_budget() {
    let clock = Clock::start();
    let budget = Budget::new(1 << 20);
    let port = connections(&clock, &budget);
    let open: Vec<_> = (0..LIMIT).map(|_| port.open().unwrap()).collect();
    assert!(port.open().is_err());
    assert_eq!((port.len(), budget.held(Kind::Connection)), (LIMIT, LIMIT * BYTES));
    drop(open);
    assert!(port.is_empty());
    assert_eq!(budget.held(Kind::Connection), 0);
    let small = Budget::new(2 * 2 * BYTES);
    let port = connections(&clock, &small);
    let open: Vec<_> = std::iter::from_fn(|| port.open().ok()).collect();
    assert_eq!(open.len(), 2);
}

#[tokio::test]
async fn the_connection_that_is_unused_for_longest_is_closed() {
    let clock = Clock::start();
    let port = connections(&clock, &Budget::new(1 << 20));
    let open: Vec<_> = (0..LIMIT).map(|_| port.open().unwrap()).collect();
    assert!(!port.close_unused(), "none has been unused for long");
    let busy = open[0].begin_use();
    drop(open[1].begin_use());
    clock.suspend(MIN_UNUSED);
    drop(open[3].begin_use());
    assert!(port.close_unused());
    assert!(is_asked(&open[2]), "no request has arrived on it");
    assert!(!open[2].was_used() && open[1].was_used());
    assert!(port.close_unused());
    assert!(is_asked(&open[1]));
    assert!(!port.close_unused(), "one is used, and the other was used just now");
    drop(busy);
    clock.suspend(MIN_UNUSED + Duration::from_millis(1));
    assert!(port.close_unused() && port.close_unused() && !port.close_unused());
    assert!(is_asked(&open[0]) && is_asked(&open[3]));
}

#[tokio::test]
async fn a_new_connection_replaces_an_unused_one() {
    let clock = Clock::start();
    let port = connections(&clock, &Budget::new(1 << 20));
    let mut open: Vec<_> = (0..LIMIT).map(|_| port.open().unwrap()).collect();
    assert!(port.open_or_replace().await.is_none());
    clock.suspend(MIN_UNUSED);
    let first = open.remove(0);
    tokio::spawn(async move { first.asked_to_close().await });
    assert!(port.open_or_replace().await.is_some());
}
