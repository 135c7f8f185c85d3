//! Identifiers: names and numbers.
//!
//! Names are short and printable, and parsing is strict, since they appear in headers, logs and metrics.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

/// The maximum length of a name, in bytes.
pub const MAX_NAME: usize = 64;

/// Why a text is not a valid identifier.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The text is empty.
    #[error("a name must not be empty")]
    Empty,
    /// The text is longer than [`MAX_NAME`] bytes.
    #[error("a name has at most {MAX_NAME} bytes")]
    Long,
    /// The text has a byte other than ASCII letters, digits, `-`, `_` and `.`.
    #[error("a name has only ASCII letters, digits, '-', '_' and '.'")]
    Character,
    /// The number is not hexadecimal, or it is too large.
    #[error("expected a hexadecimal number within the range of the identifier")]
    Number,
    /// The start time of an incarnation is not a whole number of milliseconds in canonical decimal form.
    #[error("the start time of an incarnation must be a whole number of milliseconds")]
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

            /// A hash that is the same in every process, as rendezvous hashing requires.
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
    /// A router of the fleet, by name.
    Router
}
name! {
    /// An availability zone.
    Zone
}
name! {
    /// A region: a group of availability zones that are close to each other.
    Region
}
name! {
    /// A customer: the party that pays for a request.
    Customer
}
name! {
    /// An operator: a person or program that may change the configuration.
    Operator
}
name! {
    /// A service, which callers select by the first segment of the path.
    Service
}
name! {
    /// One incarnation of a back end that runs requests: an engine of a model service, or a VM of a plain service.
    ///
    /// It is written `NAME`, or `NAME@START` if the start time of the incarnation is known, in milliseconds of Unix
    /// time. Incarnations of the same name with different start times are different upstreams: no state recorded for
    /// one of them applies to another.
    Upstream, check_upstream
}

name! {
    /// The version of the software that an upstream runs: upstreams of the same version give the same answers.
    Version
}

/// Separates the name of an upstream from the start time of its incarnation.
const START_SEPARATOR: char = '@';

/// Checks the id of an upstream: a name, or a name and a start time.
fn check_upstream(text: &str) -> Result<(), Error> {
    let Some((name, start)) = text.split_once(START_SEPARATOR) else {
        return check(text);
    };
    check(name)?;
    // Only the canonical decimal form is valid, so that an incarnation has exactly one id.
    let number: u64 = start.parse().map_err(|_| Error::Start)?;
    if number.to_string() == start { Ok(()) } else { Err(Error::Start) }
}

impl Upstream {
    /// The name without the start time; other incarnations may share it.
    #[must_use]
    pub fn name(&self) -> Self {
        match self.0.split_once(START_SEPARATOR) {
            Some((name, _)) => Self(name.into()),
            None => self.clone(),
        }
    }

    /// The start time of this incarnation in milliseconds of Unix time, if it is known.
    #[must_use]
    pub fn start(&self) -> Option<u64> {
        self.0.split_once(START_SEPARATOR)?.1.parse().ok()
    }

    /// The incarnation of the same name that started at `start`, in milliseconds of Unix time.
    #[must_use]
    pub fn with_start(&self, start: u64) -> Self {
        Self(format!("{}{START_SEPARATOR}{start}", self.name()).into())
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
    /// A chat, identified by a hash of its customer and its name.
    Chat, u64, "{:016x}"
}
number! {
    /// One attempt at serving one request; the id is unique to the attempt.
    Attempt, u128, "{:032x}"
}
number! {
    /// An incarnation of a process: of two with the same name, the one with the higher number started later.
    Incarnation, u64, "{:x}"
}
number! {
    /// An idempotency key, by the hash of its customer, service and text.
    Key, u128, "{:032x}"
}
number! {
    /// A route, identified by a hash of its name.
    Route, u64, "{:016x}"
}
number! {
    /// A hash of a request's method, path and body, which distinguishes it from other requests with the same
    /// idempotency key.
    Print, u64, "{:016x}"
}
number! {
    /// A hash of a request's content and its sender: sending the same request again gives the same fingerprint,
    /// whatever the attempt's id. Parts of prompts have fingerprints of the same kind, so that a quarantine has the same
    /// form whether it applies to a request or to a part.
    Fingerprint, u64, "{:016x}"
}

number! {
    /// A stream, identified by a hash of its service, its customer and the id of the client's attempt that began it.
    Stream, u128, "{:032x}"
}

impl Fingerprint {
    /// The fingerprint of a part of prompts, by the part's id.
    #[must_use]
    pub fn of_part(part: u64) -> Self {
        Self(rapidhash::v3::rapidhash_v3(&[*b"part----", part.to_le_bytes()].concat()))
    }

    /// The fingerprint of the same part in the prompts of one customer.
    #[must_use]
    pub fn for_customer(self, customer: &Customer) -> Self {
        Self(rapidhash::v3::rapidhash_v3(&[self.0.to_le_bytes(), customer.hash64().to_le_bytes()].concat()))
    }
}

impl Route {
    /// The id of the route called `name`.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(rapidhash::v3::rapidhash_v3(name.as_bytes()))
    }
}

impl Chat {
    /// The id of the chat that `customer` calls `name`. Chats of different customers have different ids, even with the
    /// same name.
    #[must_use]
    pub fn of(customer: &Customer, name: &str) -> Self {
        let seed = customer.hash64();
        Self(rapidhash::v3::rapidhash_v3(name.as_bytes()) ^ seed.rotate_left(17))
    }
}
