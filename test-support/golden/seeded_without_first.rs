//! Sequences of [`Seeded`] without their first number.
//!
//! The scheduler's golden files were written with these sequences; the tier's with whole ones.

use crate::seeded::Seeded;

/// The sequence of this seed without its first number.
pub fn seeded_without_first(seed: u64) -> Seeded {
    let mut random = Seeded::new(seed);
    random.below(1);
    random
}
