//! Builders of requests and upstream listings of a plain service, shared by several tests.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use stairvale_dispatch::{Ask, Listing};
use stairvale_types::{Moment, id};

pub fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

pub fn customer_id(customer: u128) -> id::Customer {
    format!("c{customer}").parse().unwrap()
}

pub fn listings(count: usize, slots: u32) -> Vec<Listing> {
    let listing = |i: usize| Listing {
        id: format!("e{i}").parse().unwrap(),
        zone: "a".parse().unwrap(),
        slots,
        usable: true,
        cold: Duration::ZERO,
        revision: 1,
        version: None,
    };
    (0..count).map(listing).collect()
}

pub fn request(number: u128, customer: u128) -> Ask {
    Ask {
        attempt: id::Attempt(number),
        entry: "r1".parse().unwrap(),
        zone: "a".parse().unwrap(),
        customer: Some(customer_id(customer)),
        route: id::Route(0),
        fingerprint: id::Fingerprint::default(),
        priority: 2,
        repeatable: true,
        parts: Vec::new(),
        output: 0,
        objective: Duration::from_millis(300),
        patience: Duration::from_millis(60),
        avoid: Vec::new(),
        within: None,
        seen: None,
    }
}
