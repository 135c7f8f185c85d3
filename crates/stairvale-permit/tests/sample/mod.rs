//! A sample request profile, which tests and benchmarks adapt to their needs.

use stairvale_types::{Class, id};
use stairvale_wire::Profile;

/// The profile of a turn of a returning chat, with normal class and weight 1.
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
