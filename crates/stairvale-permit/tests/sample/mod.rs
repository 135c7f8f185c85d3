//! An ordinary request, for tests and benchmarks to change.

use stairvale_types::{Class, id};
use stairvale_wire::Profile;

/// A returning chat's turn of ordinary class and weight.
pub fn profile() -> Profile {
    Profile {
        service: "chat".parse().unwrap(),
        customer: "c".parse().unwrap(),
        weight: 1,
        class: Class::Normal,
        chat: Some(id::Chat(7)),
        returning: true,
    }
}
