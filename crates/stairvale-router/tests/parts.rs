//! Tests of the parts of a router that parse external input, and of the rate limit.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::{collections::HashMap, sync::Arc, time::Duration};

use http::{HeaderMap, HeaderValue, Method, StatusCode};
use quickcheck::quickcheck;
use stairvale_admission::limit::Fraction;
use stairvale_config::{Document, document::key_hash};
use stairvale_router::{
    Problem, Settings,
    head::{self, Head},
    limit::Limit,
    problem::{InvalidRequest, Unknown},
    shared::{Account, Snapshot},
    sse::Splitter,
    upstream::forwarded_headers,
};
use stairvale_types::{Moment, Reason, Refusal};

const SETTINGS: &str = "\
router: r1
zone: a
callers: 127.0.0.1:8080
operators: 127.0.0.1:8081
peers: 127.0.0.1:8082
platform: http://127.0.0.1:9000
fleet_key: secret
";

fn settings_error(text: &str) -> String {
    Settings::parse(text).expect_err("the settings are wrong").current_context().to_string()
}

#[test]
fn settings_errors_name_the_field_and_the_line() {
    assert!(settings_error(&SETTINGS.replace("zone: a", "zone: a b")).contains("line 2: zone: a name has only"));
    assert!(settings_error(&SETTINGS.replace("zone: a", "zome: a")).contains("zome"));
    assert!(settings_error(&SETTINGS.replace("8082", "8081")).contains("address of its own"));
    assert!(settings_error(&SETTINGS.replace("http://", "ftp://")).contains("platform"));
    assert!(settings_error(&format!("{SETTINGS}traffic_threads: 0\n")).contains("traffic_threads"));
}

#[test]
fn a_key_is_never_printed() {
    let settings = Settings::parse(SETTINGS).unwrap();
    assert!(!format!("{settings:?}").contains("secret"));
}

#[test]
fn every_refusal_has_the_outcome_not_run_and_a_retry_delay() {
    for reason in Reason::ALL {
        let problem = Problem::Refused(Refusal::new(reason, Duration::from_millis(1_200)));
        assert_eq!(problem.outcome(), "not-run");
        let response = problem.respond(None);
        assert_eq!(response.headers()["retry-after"], "2", "{reason}: rounded up");
    }
    assert_eq!(Problem::Unknown(Unknown::IncompleteAnswer).outcome(), "unknown");
    assert_eq!(Problem::Unknown(Unknown::IncompleteAnswer).status(), StatusCode::BAD_GATEWAY);
    assert_eq!(Problem::Invalid(InvalidRequest::Key).status(), StatusCode::UNAUTHORIZED);
}

#[test]
fn secrets_and_connection_headers_are_not_forwarded() {
    let mut headers = HeaderMap::new();
    headers.insert("authorization", HeaderValue::from_static("Bearer k"));
    headers.insert("connection", HeaderValue::from_static("x-hop"));
    headers.insert("x-hop", HeaderValue::from_static("1"));
    headers.insert("x-kept", HeaderValue::from_static("1"));
    let forwarded = forwarded_headers(&headers);
    assert_eq!(forwarded.keys().map(http::HeaderName::as_str).collect::<Vec<_>>(), ["x-kept"]);
}

#[test]
fn returning_chats_are_recognised_by_their_earlier_answers() {
    assert!(head::is_returning(br#"{"messages":[{"role":"user"},{"role":"assistant"},{"role":"user"}]}"#));
    assert!(!head::is_returning(br#"{"messages":[{"role":"user"}]}"#));
    assert!(!head::is_returning(b"not json"));
}

/// A snapshot with one service and one customer, whose key is `k`.
fn snapshot() -> Snapshot {
    let key_hash = key_hash("k");
    let text = format!(
        "zones: []\nservices:\n  - name: chat\n    kind: plain\ncustomers:\n  - name: c\n    key_hash: {key_hash}\noperators: []\n"
    );
    let document = Document::parse(&text).unwrap();
    let account = Account { customer: document.customers[0].clone(), limit: None };
    let customers = HashMap::from([(key_hash, Arc::new(account))]);
    Snapshot { document: Arc::new(document), customers: Arc::new(customers), ..Snapshot::default() }
}

const HEADERS: [&str; 5] =
    ["priority", "stairvale-deadline-ms", "stairvale-chat", "idempotency-key", "stairvale-repeatable"];

quickcheck! {
    fn any_headers_are_a_head_or_a_problem(values: Vec<(usize, Vec<u8>)>) -> bool {
        let snapshot = snapshot();
        let mut headers = HeaderMap::new();
        headers.insert("authorization", HeaderValue::from_static("Bearer k"));
        for (which, value) in values {
            if let Ok(value) = HeaderValue::from_bytes(&value) {
                headers.insert(HEADERS[which % HEADERS.len()], value);
            }
        }
        let uri = "/chat/x?y".parse().unwrap();
        match Head::parse(&snapshot, &Method::POST, &uri, &headers) {
            Ok(head) => head.upstream_path == "/x?y" && !head.deadline.is_zero(),
            Err(invalid) => invalid != InvalidRequest::Key && invalid != InvalidRequest::Service,
        }
    }

    fn any_key_but_the_right_one_is_refused(value: Vec<u8>) -> bool {
        let snapshot = snapshot();
        let mut headers = HeaderMap::new();
        if let Ok(value) = HeaderValue::from_bytes(&value) {
            headers.insert("authorization", value);
        }
        let uri = "/chat/x".parse().unwrap();
        matches!(Head::parse(&snapshot, &Method::GET, &uri, &headers), Err(InvalidRequest::Key))
    }

    fn events_come_back_in_any_pieces(cuts: Vec<usize>) -> bool {
        let stream = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n: comment\n\nid: 3\ndata: [DONE]\n\n";
        let mut cuts: Vec<_> = cuts.into_iter().map(|cut| cut % stream.len()).collect();
        cuts.sort_unstable();
        cuts.push(stream.len());
        let mut splitter = Splitter::default();
        let mut events = Vec::new();
        let mut start = 0;
        for cut in cuts {
            splitter.push(&stream[start..cut]);
            start = cut;
            while let Some(event) = splitter.next_event().unwrap() {
                events.push(event);
            }
        }
        let bytes: Vec<u8> = events.iter().flat_map(|event| event.bytes.to_vec()).collect();
        let ids: Vec<_> = events.iter().map(|event| event.id).collect();
        bytes == stream && ids == [Some(1), Some(2), None, Some(3)] && events[3].done && !events[0].done
    }

    fn any_bytes_are_split_into_events_or_buffered(bytes: Vec<u8>) -> bool {
        let mut splitter = Splitter::default();
        splitter.push(&bytes);
        while let Ok(Some(_)) = splitter.next_event() {}
        true
    }

    fn any_text_is_settings_or_an_error(text: String, at: usize, byte: u8) -> bool {
        let _ = Settings::parse(&text);
        let mut bytes = SETTINGS.as_bytes().to_vec();
        let at = at % bytes.len();
        bytes[at] = byte;
        if let Ok(text) = String::from_utf8(bytes) {
            let _ = Settings::parse(&text);
        }
        true
    }

    fn any_body_is_returning_or_not(bytes: Vec<u8>) -> bool {
        let _ = head::is_returning(&bytes);
        true
    }
}

#[test]
fn a_customer_that_uses_one_router_has_its_full_rate_there() {
    let limit = Limit::new("20/s".parse().unwrap());
    let admitted = (0..100).filter(|_| limit.admit(Moment::ZERO).is_ok()).count();
    assert!((40..=42).contains(&admitted), "{admitted} admitted, and the burst is two seconds of the rate");
}

#[test]
fn an_assigned_share_is_enforced() {
    let limit = Limit::new("1000/s".parse().unwrap());
    limit.set_share(Moment::ZERO, Fraction::from_millionths(250_000));
    let admitted = (0..100).filter(|_| limit.admit(Moment::ZERO).is_ok()).count();
    assert_eq!(admitted, 25);
}
