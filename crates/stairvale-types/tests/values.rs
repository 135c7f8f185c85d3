//! Values parse what they print, and reject what is out of their range.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::time::Duration;

use quickcheck::quickcheck;
use stairvale_types::{Class, Moment, id, unit};

quickcheck! {
    fn names_round_trip(text: String) -> bool {
        match text.parse::<id::Service>() {
            Ok(name) => name.to_string() == text && !text.is_empty() && text.len() <= id::MAX_NAME,
            Err(_) => true,
        }
    }

    fn numbers_round_trip(chat: u64, attempt: u128) -> bool {
        id::Chat(chat).to_string().parse() == Ok(id::Chat(chat))
            && id::Attempt(attempt).to_string().parse() == Ok(id::Attempt(attempt))
    }

    fn priorities_never_panic(text: String) -> bool {
        let _ = text.parse::<Class>();
        true
    }

    fn rates_and_multiples_enforce_their_range(number: f64) -> bool {
        let rate = unit::Rate::try_from(number).is_ok();
        let multiple = unit::Multiple::try_from(number).is_ok();
        rate == (number > 0.0 && number <= 1e6) && multiple == (1.0..=100.0).contains(&number)
    }

    fn moments_add_and_subtract(at: u32, span: u32) -> bool {
        let (at, span) = (Moment(u64::from(at)), Duration::from_micros(u64::from(span)));
        (at + span).since(at) == span && at.since(at + span) == Duration::ZERO
    }
}

#[test]
fn load_bound_is_the_multiple_of_the_mean_rounded_up_and_at_least_one() {
    let multiple: unit::Multiple = "1.1".parse().unwrap();
    assert_eq!(multiple.bound(0.0), 1);
    assert_eq!(multiple.bound(10.0), 11, "floating-point error must not raise the bound");
    assert_eq!(multiple.bound(10.1), 12);
}

#[test]
fn invalid_names_are_rejected() {
    assert_eq!("a b".parse::<id::Zone>(), Err(id::Error::Character));
    assert_eq!("".parse::<id::Zone>(), Err(id::Error::Empty));
    assert_eq!("x".repeat(65).parse::<id::Zone>(), Err(id::Error::Long));
}

#[test]
fn chats_of_different_customers_differ() {
    let chat = |customer: &str| id::Chat::of(&customer.parse().unwrap(), "monday");
    assert_ne!(chat("grain-desk"), chat("fuel-card"));
}

#[test]
fn urgencies_follow_rfc_9218() {
    assert_eq!("u=1".parse(), Ok(Class::Urgent));
    assert_eq!("i, u=7".parse(), Ok(Class::Bulk));
    assert_eq!("i".parse(), Ok(Class::Normal));
    assert!("u=8".parse::<Class>().is_err());
    assert!("urgent".parse::<Class>().is_err());
}
