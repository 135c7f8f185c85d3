//! Tests of parts that need no fleet: settings, event streams, the wait for a home's reply, and metrics.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use quickcheck::quickcheck;
use stairvale_dispatch::shares::Counts;
use stairvale_serve::{Settings, core::Reply, events::Events, metrics, permit, settings::Fault};

/// A configuration file with all required settings.
const VALID_SETTINGS: &str = "router: r1\nzone: a\ncallers: 127.0.0.1:8080\nready: 127.0.0.1:8081\npeers: 127.0.0.1:8082\n\
                    store: 127.0.0.1:9000\n";

#[test]
fn unknown_settings_are_ignored() {
    let settings =
        Settings::parse(&format!("{VALID_SETTINGS}newer: [1, 2]\nbounds:\n  grace_s: 4\n  newest: x\n")).unwrap();
    assert!((settings.bounds.grace_s - 4.0).abs() < f64::EPSILON);
}

#[test]
fn an_invalid_setting_is_named_in_the_error() {
    let text = VALID_SETTINGS.replace("callers: 127.0.0.1:8080", "callers: somewhere");
    let fault = Settings::parse(&text).unwrap_err();
    assert!(fault.current_context().to_string().contains("callers"), "{fault}");
    let fault = Settings::parse(&format!("{VALID_SETTINGS}bounds:\n  grace_s: -1\n")).unwrap_err();
    assert!(matches!(fault.current_context(), Fault::Range("bounds.grace_s", _)));
    let fault = Settings::parse("router: r1\n").unwrap_err();
    assert!(matches!(fault.current_context(), Fault::Syntax(_)));
}

#[test]
fn roll_out_bounds_are_parsed_and_validated() {
    let bounds = |text: &str| {
        Settings::parse(&format!("{VALID_SETTINGS}bounds:\n{text}")).map(|settings| settings.bounds.rollout())
    };
    let usual = Settings::parse(VALID_SETTINGS).unwrap().bounds.rollout();
    assert_eq!((usual.share, usual.slack, usual.rollback), (0.1, 0.0, Duration::from_secs(5)));
    let set = bounds("  exposure_share: 0.05\n  exposure_slack: 50\n  rollback_ms: 2500\n").unwrap();
    assert_eq!((set.share, set.slack, set.rollback), (0.05, 50.0, Duration::from_millis(2_500)));
    let wrong = [
        ("bounds.exposure_share", "1.1"),
        ("bounds.exposure_share", "-0.1"),
        ("bounds.exposure_share", ".nan"),
        ("bounds.exposure_slack", "-1"),
        ("bounds.exposure_slack", ".inf"),
        ("bounds.rollback_ms", "0"),
    ];
    for (name, value) in wrong {
        let fault = bounds(&format!("  {}: {value}\n", name.trim_start_matches("bounds."))).unwrap_err();
        assert!(matches!(fault.current_context(), Fault::Range(named, _) if *named == name), "{name}: {value}");
    }
}

#[test]
fn only_complete_events_are_forwarded() {
    let mut events = Events::default();
    assert_eq!(&events.take(b"id: 4\ndata: x\n\nid: 5\nda")[..], b"id: 4\ndata: x\n\n");
    assert_eq!(events.last(), Some("4"));
    assert!(events.is_partial());
    assert_eq!(&events.take(b"ta: y\n\n")[..], b"id: 5\ndata: y\n\n");
    assert_eq!(events.last(), Some("5"));
    assert!(!events.is_partial());
}

#[test]
fn an_event_ends_with_an_empty_line_whatever_ends_the_lines() {
    for line_end in ["\n", "\r\n", "\r"] {
        let event = |id: u32| format!("id: {id}{line_end}data: x{line_end}{line_end}");
        let stream = format!("{}{}id: 6{line_end}da", event(4), event(5));
        for cut in 0..stream.len() {
            let mut events = Events::default();
            let (head, tail) = stream.as_bytes().split_at(cut);
            let forwarded = [events.take(head), events.take(tail)].concat();
            assert_eq!(forwarded, [event(4), event(5)].concat().as_bytes(), "{line_end:?}, cut at {cut}");
            assert_eq!((events.last(), events.count(), events.is_partial()), (Some("5"), 2, true));
        }
    }
}

#[test]
fn an_event_that_is_too_long_is_passed_on_in_parts_and_ends_resumption() {
    let mut events = Events::default();
    assert!(!events.take(b"id: 1\ndata: x\n\n").is_empty());
    let chunk = [b'x'; 64 << 10];
    let mut passed_on = events.take(b"id: 2\ndata: ").len();
    for _ in 0..64 {
        passed_on += events.take(&chunk).len();
    }
    let taken = 12 + 64 * chunk.len();
    assert!(taken - passed_on <= 1 << 20, "{passed_on} of {taken} bytes passed on");
    assert_eq!((events.last(), events.is_partial()), (None, true));
    assert!(events.take(b"\n\n").len() + passed_on == taken + 2 && events.last().is_none());
}

quickcheck! {
    /// The same complete events are forwarded, however the stream is split into chunks.
    fn events_do_not_depend_on_chunk_boundaries(ids: Vec<u16>, cuts: Vec<u8>) -> bool {
        let stream: String = ids.iter().map(|id| format!("id: {id}\ndata: {id}\n\n")).collect();
        let mut events = Events::default();
        let mut out = Vec::new();
        let mut rest = stream.as_bytes();
        for cut in cuts {
            let (piece, next) = rest.split_at(usize::from(cut).min(rest.len()));
            out.extend_from_slice(&events.take(piece));
            rest = next;
        }
        out.extend_from_slice(&events.take(rest));
        let last = ids.last().map(u16::to_string);
        out == stream.as_bytes() && events.last() == last.as_deref()
    }

    /// Any text is parsed or gives a typed error, and never causes a panic.
    fn any_text_is_parsed_or_rejected(text: String) -> bool {
        Settings::parse(&text).is_ok() || Settings::parse(&text).is_err()
    }
}

/// Runs `permit::next` with a limit of 50 ms on a reply that arrives after `millis`, in simulated time; returns its result.
fn reply_after(millis: u64) -> Option<Reply> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
    runtime.block_on(async {
        let (sender, mut replies) = tokio::sync::mpsc::unbounded_channel();
        let reply = async {
            tokio::time::sleep(Duration::from_millis(millis)).await;
            let _ = sender.send(Reply::Waits);
            std::future::pending::<()>().await;
        };
        tokio::select! {
            next = permit::next(&mut replies, Duration::from_millis(50)) => next,
            () = reply => None,
        }
    })
}

#[test]
fn a_home_is_not_unresponsive_because_this_process_was_suspended() {
    assert_eq!(reply_after(10), Some(Reply::Waits));
    // The timer fires first although the reply is there, as after a suspension of this process: it is read before the home counts as unresponsive.
    assert_eq!(reply_after(51), Some(Reply::Waits));
    assert_eq!(reply_after(200), None);
}

#[test]
fn metrics_list_some_customers_and_sum_up_the_others() {
    let service = "app".parse().unwrap();
    let counts = Counts { served: 7, waited: 2, refused: 1 };
    let named = vec![(Some("acme".parse().unwrap()), counts), (None, Counts { served: 3, ..Counts::default() })];
    let text = metrics::customers([(&service, named, Counts { refused: 4, ..Counts::default() })].into_iter());
    let lines: Vec<_> = text.lines().collect();
    assert_eq!(lines.len(), 9);
    assert_eq!(lines[0], "stairvale_customer_requests{service=\"app\",customer=\"acme\",what=\"served\"} 7");
    assert_eq!(lines[3], "stairvale_customer_requests{service=\"app\",customer=\"\",what=\"served\"} 3");
    assert_eq!(lines[8], "stairvale_other_customers_requests{service=\"app\",what=\"refused\"} 4");
}
