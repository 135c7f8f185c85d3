//! Weights of customers in the division of a service's slots.

/// A customer's weight: with twice the weight a customer may hold twice the slots while requests wait.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Weight(f64);

impl Weight {
    /// The weight of a customer for which none is configured.
    pub const ONE: Self = Self(1.0);
    /// The smallest valid weight.
    pub const MIN: f64 = 0.01;
    /// The largest valid weight.
    pub const MAX: f64 = 100.0;

    /// Returns the weight as a number.
    #[inline]
    #[must_use]
    pub const fn get(self) -> f64 {
        self.0
    }

    /// Creates a weight from 0.01 to 100.
    ///
    /// # Errors
    /// [`InvalidWeight`] for any other number: with a weight of zero a customer would never be served.
    pub fn new(weight: f64) -> Result<Self, InvalidWeight> {
        if (Self::MIN..=Self::MAX).contains(&weight) { Ok(Self(weight)) } else { Err(InvalidWeight(weight)) }
    }
}

/// The error for a number that isn't a valid weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InvalidWeight(pub f64);

impl std::fmt::Display for InvalidWeight {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "invalid weight {}: must be from {} to {}", self.0, Weight::MIN, Weight::MAX)
    }
}

impl std::error::Error for InvalidWeight {}
