//! The class of a request, from the `priority` header.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// How urgent a request is; an urgent one is served first, a bulk one ages until it is served.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// A person waits at a control desk or till: urgency 0 to 2.
    Urgent,
    /// The default: urgency 3 and 4.
    #[default]
    Normal,
    /// Long jobs: urgency 5 to 7.
    Bulk,
}

impl Class {
    /// Every class, most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Bulk];

    /// Zero for the most urgent.
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

/// The text is no `priority` header of RFC 9218.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("a priority is written u=0 to u=7")]
pub struct Error;

impl FromStr for Class {
    type Err = Error;

    /// Reads the urgency of a `priority` header (RFC 9218, section 4.1); `i` and unknown members are passed over.
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
