//! Time and deadlines across a suspension of the VM that lasts for seconds.
//!
//! The tests guard against ages and waits that are measured by a clock or timers that stop while the VM is suspended.
//! After a suspension of ten seconds a router would trust keys that were revoked nine seconds before, and it would wait
//! for an answer ten seconds beyond its deadline.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use stairvale_clock::{Clock, DeadlinePassed};

#[test]
fn clock_includes_suspensions() {
    let clock = Clock::start();
    let before = clock.now();
    clock.suspend(Duration::from_secs(10));
    let passed = clock.now().since(before);
    assert!(passed >= Duration::from_secs(10) && passed < Duration::from_secs(11), "{passed:?}");
    // Clones share simulated suspensions.
    assert!(clock.clone().now().since(before) >= Duration::from_secs(10));
}

#[test]
fn wait_times_out_when_a_suspension_passes_its_deadline() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let clock = Clock::start();
        let (began, until) = (Instant::now(), clock.now() + Duration::from_secs(4));
        let suspended_clock = clock.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(50)).await;
            suspended_clock.suspend(Duration::from_secs(10));
            // In a router, the suspension is detected a moment after it happened.
            tokio::time::sleep(Duration::from_millis(50)).await;
            assert!(suspended_clock.detect_suspension().unwrap() >= Duration::from_secs(9));
        });
        assert_eq!(clock.with_deadline(until, std::future::pending::<()>()).await, Err(DeadlinePassed));
        assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
    });
}

#[test]
fn wait_continues_after_a_suspension_before_its_deadline() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let clock = Clock::start();
        let suspended_clock = clock.clone();
        tokio::spawn(async move {
            suspended_clock.suspend(Duration::from_secs(10));
            suspended_clock.detect_suspension();
        });
        let work = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            7
        };
        assert_eq!(clock.with_deadline(clock.now() + Duration::from_secs(60), work).await, Ok(7));
        assert_eq!(clock.detect_suspension(), None, "a suspension is reported only once");
    });
}

/// Guards against work that is given up although it is done: its result came while the process wasn't running, and the timer of
/// its deadline is seen first.
#[tokio::test]
async fn a_deadline_that_passed_while_the_process_was_not_running_lets_finished_work_count() {
    let clock = Clock::start();
    let (sender, result) = tokio::sync::oneshot::channel();
    // Stands for another task of the process, which only takes the result from the kernel after the pause.
    let relaying = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(50)).await;
        tokio::task::yield_now().await;
        sender.send(7).unwrap();
    });
    let waiting = clock.with_deadline(clock.now() + Duration::from_millis(30), result);
    let blocking = async {
        tokio::task::yield_now().await;
        std::thread::sleep(Duration::from_millis(200));
    };
    let (result, ()) = tokio::join!(waiting, blocking);
    assert_eq!(result.unwrap(), Ok(7));
    relaying.await.unwrap();
}
