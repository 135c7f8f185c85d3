//! Priority classes of requests, parsed from the `priority` header (RFC 9218).

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// The priority class of a request: urgent requests are served first, and bulk requests gain priority by aging, so that
/// they are served eventually.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Interactive requests, with a person waiting at a control desk or till: urgency 0 to 2.
    Urgent,
    /// Requests of default priority: urgency 3 and 4.
    #[default]
    Normal,
    /// Long-running jobs: urgency 5 to 7.
    Bulk,
}

impl Class {
    /// All classes, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Bulk];

    /// The position of the class in [`Class::ALL`]; 0 for the most urgent.
    #[inline]
    #[must_use]
    pub const fn index(self) -> usize {
        match self {
            Self::Urgent => 0,
            Self::Normal => 1,
            Self::Bulk => 2,
        }
    }
}

/// The text is not a valid `priority` header of RFC 9218.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("invalid priority: the urgency must be u=0 to u=7")]
pub struct Error;

impl FromStr for Class {
    type Err = Error;

    /// Parses the urgency of a `priority` header (RFC 9218, section 4.1); other members beside it are ignored.
    ///
    /// A header without an urgency is [`Class::Normal`] if it only has `i` members, and an error otherwise.
    fn from_str(text: &str) -> Result<Self, Error> {
        for member in text.split(',') {
            let Some(urgency) = member.trim().strip_prefix("u=") else {
                continue;
            };
            return match urgency {
                "0" | "1" | "2" => Ok(Self::Urgent),
                "3" | "4" => Ok(Self::Normal),
                "5" | "6" | "7" => Ok(Self::Bulk),
                _ => Err(Error),
            };
        }
        if text.split(',').all(|member| matches!(member.trim(), "i" | "i=?1" | "i=?0")) {
            return Ok(Self::Normal);
        }
        Err(Error)
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Urgent => "urgent",
            Self::Normal => "normal",
            Self::Bulk => "bulk",
        })
    }
}
