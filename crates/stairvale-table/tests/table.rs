//! Tests that routes, services and customers are found as the operator configured them.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use quickcheck::quickcheck;
use stairvale_table::{Customer, Document, Kind, Route, Table};

fn route(host: &str, prefix: &str, split: &[(&str, u32)]) -> Route {
    Route {
        name: format!("{host}{prefix}"),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::Safe,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(300),
        priority: 1,
        split: split.iter().map(|(service, weight)| (service.parse().unwrap(), *weight)).collect(),
        attempts: 2,
        public: false,
        resumable: false,
        pause: None,
        regions: Vec::new(),
    }
}

fn table(routes: Vec<Route>) -> Table {
    Table::new(Document { version: 1, routes, ..Document::default() })
}

#[test]
fn the_route_with_the_longest_prefix_is_found() {
    let table = table(vec![route("a.example", "/x/", &[("s", 1)]), route("a.example", "/x/y/", &[("t", 1)])]);
    assert_eq!(table.route("a.example", "/x/y/z").unwrap().prefix, "/x/y/");
    assert_eq!(table.route("A.Example:8080", "/x/z").unwrap().prefix, "/x/");
    assert!(table.route("a.example", "/x").is_none());
    assert!(table.route("b.example", "/x/z").is_none());
}

#[test]
fn a_key_finds_only_its_customer() {
    let customer = |name: &str, key: &str| Customer {
        name: name.parse().unwrap(),
        keys: vec![key.to_owned()],
        priority: 0,
        regions: Vec::new(),
    };
    let customers = vec![customer("a", "k1"), customer("b", "k2")];
    let table = Table::new(Document { customers, ..Document::default() });
    assert_eq!(table.customer("k2").unwrap().name.as_str(), "b");
    assert!(table.customer("k3").is_none());
    assert!(table.customer("").is_none());
}

#[test]
fn draws_are_split_by_weight() {
    let route = route("a", "/", &[("s", 90), ("t", 10)]);
    let to_t = (0..1_000).filter(|draw| route.service(*draw).unwrap().as_str() == "t").count();
    assert_eq!(to_t, 100);
}

quickcheck! {
    fn the_longest_matching_prefix_is_found_for_any_path(prefixes: Vec<u8>, path: Vec<u8>) -> bool {
        let text = |bytes: &[u8]| bytes.iter().fold(String::from("/"), |text, byte| text + if byte % 2 == 0 { "a/" } else { "b/" });
        let routes: Vec<_> = prefixes.chunks(2).map(|chunk| route("h", &text(chunk), &[("s", 1)])).collect();
        let path = text(&path);
        let best = routes.iter().filter(|r| path.starts_with(&r.prefix)).map(|r| r.prefix.len()).max();
        table(routes).route("h", &path).map(|r| r.prefix.len()) == best
    }

    fn every_draw_selects_a_service_if_there_is_one(weights: Vec<u32>, draw: u64) -> bool {
        let names: Vec<_> = (0..weights.len()).map(|i| format!("s{i}")).collect();
        let split: Vec<_> = names.iter().map(String::as_str).zip(weights.iter().copied()).collect();
        route("h", "/", &split).service(draw).is_none() == weights.is_empty()
    }
}
