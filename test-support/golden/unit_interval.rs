//! Random fractions from the seeded generator.

use crate::seeded::Seeded;

/// The generator yields 31 bits a number.
const BOUND: u64 = 1 << 31;

/// Draws from the unit interval.
pub trait UnitInterval {
    /// The next number from 0 up to, but without, 1.
    fn unit(&mut self) -> f64;
}

impl UnitInterval for Seeded {
    fn unit(&mut self) -> f64 {
        self.below(BOUND) as f64 / BOUND as f64
    }
}
