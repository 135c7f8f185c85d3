//! Which failed connections count as a sign that this router reaches no upstream.

#![allow(clippy::unwrap_used)]

use stairvale_serve::isolation::{Change, Isolation};
use stairvale_types::{Moment, id};

fn upstream(number: u64) -> id::Upstream {
    format!("e{number}").parse().unwrap()
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

#[test]
fn one_upstream_that_is_down_is_no_isolation() {
    let mut isolation = Isolation::default();
    for millis in 1_000..2_000 {
        assert_eq!(isolation.record_failure(at(millis), &upstream(0)), None);
        assert!(!isolation.is_suspected(at(millis), &upstream(0)));
    }
}

#[test]
fn upstreams_that_are_down_are_no_isolation_while_others_are_reached() {
    let mut isolation = Isolation::default();
    for millis in (1_000..5_000).step_by(10) {
        isolation.record_failure(at(millis), &upstream(millis % 7));
        assert!(!isolation.is_isolated());
        if millis % 100 == 0 {
            isolation.record_success(at(millis));
        }
    }
}

#[test]
fn a_router_that_reaches_no_upstream_is_isolated_until_it_reaches_one() {
    let mut isolation = Isolation::default();
    isolation.record_success(at(1_000));
    assert_eq!(isolation.record_failure(at(1_200), &upstream(0)), None);
    assert_eq!(isolation.record_failure(at(1_210), &upstream(1)), None);
    assert!(isolation.is_suspected(at(1_210), &upstream(2)));
    assert_eq!(isolation.record_failure(at(1_220), &upstream(2)), Some(Change::Began));
    assert!(!isolation.take_probe(at(1_300)) && isolation.take_probe(at(1_720)) && !isolation.take_probe(at(1_730)));
    assert_eq!(isolation.record_failure(at(1_800), &upstream(3)), None);
    assert!(isolation.is_isolated());
    assert_eq!(isolation.record_success(at(1_900)), Some(Change::Ended));
    assert!(!isolation.is_isolated() && !isolation.is_suspected(at(3_000), &upstream(0)));
}
