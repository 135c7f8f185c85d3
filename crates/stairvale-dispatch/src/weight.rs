//! How much of a service's places a customer may have beside the others.

/// How much of the places a customer may have beside the others: twice the weight, twice the places.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Weight(f64);

impl Weight {
    /// What a customer has that nothing is said of.
    pub const ONE: Self = Self(1.0);
    /// The least.
    pub const LEAST: f64 = 0.01;
    /// The most.
    pub const MOST: f64 = 100.0;

    /// The number.
    #[inline]
    #[must_use]
    pub const fn get(self) -> f64 {
        self.0
    }

    /// A weight from 0.01 to 100.
    ///
    /// # Errors
    /// [`Absurd`] for anything else: zero would mean never to be served.
    pub fn new(weight: f64) -> Result<Self, Absurd> {
        if (Self::LEAST..=Self::MOST).contains(&weight) { Ok(Self(weight)) } else { Err(Absurd(weight)) }
    }
}

/// This is no weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Absurd(pub f64);

impl std::fmt::Display for Absurd {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} is no weight: from {} to {}", self.0, Weight::LEAST, Weight::MOST)
    }
}

impl std::error::Error for Absurd {}
