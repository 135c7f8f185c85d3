//! A VM that is suspended for seconds.
//!
//! What was seen: in the code, before it was seen on any day. All ages were measured by a clock that stands still while the VM
//! is suspended, and all waits by timers that do. So after ten seconds of suspension a router would have trusted keys that had
//! been taken away nine seconds before, and waited for an answer ten seconds beyond its deadline.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use stairvale_clock::{Clock, Late};

#[test]
fn time_passes_while_the_machine_is_suspended() {
    let clock = Clock::start();
    let before = clock.now();
    clock.suspend(Duration::from_secs(10));
    let passed = clock.now().since(before);
    assert!(passed >= Duration::from_secs(10) && passed < Duration::from_secs(11), "{passed:?}");
    // Clones are the same clock.
    assert!(clock.clone().now().since(before) >= Duration::from_secs(10));
}

#[test]
fn a_wait_ends_by_the_time_that_passed_while_the_machine_was_suspended() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let clock = Clock::start();
        let (began, until) = (Instant::now(), clock.now() + Duration::from_secs(4));
        let sleeper = clock.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(50)).await;
            sleeper.suspend(Duration::from_secs(10));
            // Whoever lets time pass notices it a moment later.
            tokio::time::sleep(Duration::from_millis(50)).await;
            assert!(sleeper.notice().unwrap() >= Duration::from_secs(9));
        });
        assert_eq!(clock.before(until, std::future::pending::<()>()).await, Err(Late));
        assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
    });
}

#[test]
fn a_wait_whose_time_is_not_over_goes_on_after_a_suspension() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let clock = Clock::start();
        let sleeper = clock.clone();
        tokio::spawn(async move {
            sleeper.suspend(Duration::from_secs(10));
            sleeper.notice();
        });
        let work = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            7
        };
        assert_eq!(clock.before(clock.now() + Duration::from_secs(60), work).await, Ok(7));
        assert_eq!(clock.notice(), None, "it is noticed once");
    });
}
