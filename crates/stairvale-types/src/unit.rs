//! Load multiples, rates and token counts, with their units.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Why a text or number is not a valid rate or multiple.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The text is not a number in the expected form.
    #[error("a number is expected, such as 1.25 or 50/s")]
    Number,
    /// The multiple is out of range or not finite; a multiple below one could never be kept.
    #[error("a multiple must be at least 1 and at most 100")]
    Multiple,
    /// The rate is not positive and finite, or it exceeds the maximum.
    #[error("a rate must be above 0 and at most 1000000/s")]
    Rate,
}

/// The load multiple: how many times the mean load an engine's load may reach, from 1 to 100.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Multiple(f64);

impl Multiple {
    /// The load bound: the maximum number of outstanding requests of an engine at this mean load.
    ///
    /// It is `max(1, ceil(c * mean))`, where `c` is the multiple.
    ///
    /// Source: consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam, 2016).
    #[inline]
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn bound(self, mean: f64) -> u32 {
        // The tolerance keeps floating-point error from raising the bound, such as that of 1.1 * 10 to 12.
        ((self.0 * mean - 1e-9).ceil() as u32).max(1)
    }

    /// The multiple as a plain number.
    #[inline]
    #[must_use]
    pub fn get(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for Multiple {
    type Error = Error;

    fn try_from(ratio: f64) -> Result<Self, Error> {
        if !(1.0..=100.0).contains(&ratio) {
            return Err(Error::Multiple);
        }
        Ok(Self(ratio))
    }
}

impl From<Multiple> for f64 {
    fn from(multiple: Multiple) -> Self {
        multiple.0
    }
}

impl FromStr for Multiple {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let ratio: f64 = text.parse().map_err(|_| Error::Number)?;
        Self::try_from(ratio)
    }
}

impl fmt::Display for Multiple {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A rate in events a second, written as in `50/s`.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Rate(f64);

/// The maximum [`Rate`], in events a second.
const MAX_RATE: f64 = 1e6;

impl Rate {
    /// The rate in events a second.
    #[inline]
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for Rate {
    type Error = Error;

    fn try_from(per_second: f64) -> Result<Self, Error> {
        if per_second.is_nan() || per_second <= 0.0 || per_second > MAX_RATE {
            return Err(Error::Rate);
        }
        Ok(Self(per_second))
    }
}

impl FromStr for Rate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let number = text.strip_suffix("/s").ok_or(Error::Number)?;
        let per_second: f64 = number.trim().parse().map_err(|_| Error::Number)?;
        Self::try_from(per_second)
    }
}

impl TryFrom<String> for Rate {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<Rate> for String {
    fn from(rate: Rate) -> Self {
        rate.to_string()
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

/// A number of model tokens.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Tokens(pub u32);

/// Approximate number of text bytes per token; a rule of thumb for English.
const BYTES_PER_TOKEN: usize = 4;

impl Tokens {
    /// Estimates the number of tokens of a prompt from the size of its text in bytes.
    #[must_use]
    pub fn estimate(bytes: usize) -> Self {
        Self(u32::try_from(bytes / BYTES_PER_TOKEN).unwrap_or(u32::MAX))
    }
}

impl fmt::Display for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} tokens", self.0)
    }
}
