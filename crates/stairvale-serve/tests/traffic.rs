//! Byte counts by kind of message and by the pair of zones, and how they appear in the metrics.

#![allow(clippy::unwrap_used)]

use std::{net::SocketAddr, time::Duration};

use http::{HeaderMap, Request};
use stairvale_serve::{
    frame::Frame,
    metrics::Metrics,
    traffic::{Kind, Traffic, answer_head, request_head},
};
use stairvale_types::id;

fn zone(name: &str) -> id::Zone {
    name.parse().unwrap()
}

#[test]
fn bytes_add_up_by_kind_and_zone() {
    let metrics = Metrics::new(zone("a"));
    let traffic = &metrics.traffic;
    traffic.count(Kind::Request, Some(&zone("b")), 1_000);
    traffic.count(Kind::Request, Some(&zone("b")), 24);
    traffic.count(Kind::Request, Some(&zone("a")), 7);
    traffic.count(Kind::Datagram, None, 3);
    assert_eq!(traffic.totals(), "datagram/=3 request/a=7 request/b=1024");
    let text = metrics.text();
    let line = "stairvale_bytes_total{kind=\"request\",zone=\"a\",other_zone=\"b\"} 1024";
    assert!(text.lines().any(|other| other == line), "{text}");
}

#[test]
fn a_zone_is_cached_only_once_it_is_known() {
    let traffic = Traffic::new(zone("a"));
    let to: SocketAddr = "10.0.0.1:7000".parse().unwrap();
    traffic.count_to(Kind::Datagram, to, 1, || None);
    traffic.count_to(Kind::Datagram, to, 2, || Some(zone("b")));
    traffic.count_to(Kind::Datagram, to, 4, || unreachable!("the zone is cached"));
    assert_eq!(traffic.totals(), "datagram/=1 datagram/b=6");
}

#[test]
fn head_lengths_match_the_written_heads() {
    let request = Request::get("http://h.example/path?query").header("host", "h.example").body(()).unwrap();
    assert_eq!(request_head(&request), "GET /path?query HTTP/1.1\r\nhost: h.example\r\n\r\n".len());
    let mut headers = HeaderMap::new();
    headers.insert("content-length", 5.into());
    assert_eq!(answer_head(&headers), "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n".len());
}

#[test]
fn frames_are_counted_by_their_name() {
    let attempt = id::Attempt(1);
    let service: id::Service = "chat".parse().unwrap();
    let begun = Frame::Begun { service: service.clone(), attempt, took: Duration::ZERO };
    assert_eq!(begun.name(), "frame-begun");
    assert_ne!(begun.name(), Frame::Forget { service, attempt }.name());
    assert_eq!(Kind::Frame(begun.name()).name(), "frame-begun");
}
