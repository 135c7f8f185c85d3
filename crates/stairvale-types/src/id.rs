//! Names and numbers that tell one thing from another.
//!
//! Names are short printable words (they travel in headers, logs and metrics), so parsing is strict.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

/// The longest name, in bytes.
pub const MAX_NAME: usize = 64;

/// Why a text is not an id.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The text is empty.
    #[error("a name must not be empty")]
    Empty,
    /// The text is longer than [`MAX_NAME`] bytes.
    #[error("a name has at most {MAX_NAME} bytes")]
    Long,
    /// A byte other than ASCII letters, digits, `-`, `_` and `.`.
    #[error("a name has only ASCII letters, digits, '-', '_' and '.'")]
    Character,
    /// A number that is not hexadecimal or too large.
    #[error("a hexadecimal number is expected")]
    Number,
    /// The start of a life that is no whole number of milliseconds.
    #[error("the start of a life is a whole number of milliseconds")]
    Start,
}

fn check(text: &str) -> Result<(), Error> {
    if text.is_empty() {
        return Err(Error::Empty);
    }
    if text.len() > MAX_NAME {
        return Err(Error::Long);
    }
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    if !text.bytes().all(allowed) {
        return Err(Error::Character);
    }
    Ok(())
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        name! { $(#[$doc])* $name, check }
    };
    ($(#[$doc:meta])* $name:ident, $check:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            #[inline]
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }

            /// A hash that is the same in every process; rendezvous hashing builds on it.
            #[inline]
            #[must_use]
            pub fn hash64(&self) -> u64 {
                rapidhash::v3::rapidhash_v3(self.0.as_bytes())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                $check(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(text: String) -> Result<Self, Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }
    };
}

name! {
    /// One router process of the fleet.
    Router
}
name! {
    /// An availability zone.
    Zone
}
name! {
    /// A group of availability zones that are near each other.
    Region
}
name! {
    /// Who pays for a request.
    Customer
}
name! {
    /// Who may change the configuration.
    Operator
}
name! {
    /// What a caller asks for by the first part of the path.
    Service
}
name! {
    /// One life of a back end that runs requests: an engine of a model service, or a VM of a plain service.
    ///
    /// It is written `NAME`, or `NAME@START` where it is known when that life started, in milliseconds of Unix time. Lives of one
    /// name that started at different times are different upstreams: nothing that is known of one is true of another.
    Upstream, check_life
}

name! {
    /// The software that an upstream runs: upstreams of one version answer alike.
    Version
}

/// What stands between the name of an upstream and the start of its life.
const START: char = '@';

/// A name, or a name and a start.
fn check_life(text: &str) -> Result<(), Error> {
    let Some((name, start)) = text.split_once(START) else {
        return check(text);
    };
    check(name)?;
    // Written in one way only, so that a life has one id.
    let number: u64 = start.parse().map_err(|_| Error::Start)?;
    if number.to_string() == start { Ok(()) } else { Err(Error::Start) }
}

impl Upstream {
    /// The name, which other lives may have, too.
    #[must_use]
    pub fn name(&self) -> Self {
        match self.0.split_once(START) {
            Some((name, _)) => Self(name.into()),
            None => self.clone(),
        }
    }

    /// When this life started, in milliseconds of Unix time, where that is known.
    #[must_use]
    pub fn start(&self) -> Option<u64> {
        self.0.split_once(START)?.1.parse().ok()
    }

    /// The life of this name that started then.
    #[must_use]
    pub fn with_start(&self, start: u64) -> Self {
        Self(format!("{}{START}{start}", self.name()).into())
    }
}

macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $int:ty, $format:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
        pub struct $name(pub $int);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, $format, self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                let number = <$int>::from_str_radix(text, 16).map_err(|_| Error::Number)?;
                Ok(Self(number))
            }
        }
    };
}

number! {
    /// A chat, by the hash of its customer and its name.
    Chat, u64, "{:016x}"
}
number! {
    /// One try at serving one request; no two tries share one.
    Attempt, u128, "{:032x}"
}
number! {
    /// A life of a process: higher is later for the same name.
    Incarnation, u64, "{:x}"
}
number! {
    /// An idempotency key, by the hash of its customer, service and text.
    Key, u128, "{:032x}"
}
number! {
    /// A route, by the hash of its name.
    Route, u64, "{:016x}"
}
number! {
    /// What tells a request from another one with the same idempotency key, by the hash of its method, path and body.
    Print, u64, "{:016x}"
}
number! {
    /// What a request asks for and who asks: whoever sends the same again has the same, whatever the attempt's id.
    Fingerprint, u64, "{:016x}"
}

impl Route {
    /// The route of this name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(rapidhash::v3::rapidhash_v3(name.as_bytes()))
    }
}

impl Chat {
    /// The chat that a customer knows by `name`. Two customers never share a chat.
    #[must_use]
    pub fn of(customer: &Customer, name: &str) -> Self {
        let seed = customer.hash64();
        Self(rapidhash::v3::rapidhash_v3(name.as_bytes()) ^ seed.rotate_left(17))
    }
}
