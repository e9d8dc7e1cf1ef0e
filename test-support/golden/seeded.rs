//! Random numbers that are the same in every run: the linear congruential generator of Knuth's MMIX.

/// The generator.
pub struct Seeded(u64);

impl Seeded {
    /// The sequence of this seed.
    pub fn new(seed: u64) -> Self {
        Seeded(seed)
    }

    /// The next number below `bound`, at most 2^31; its high bits are used, the low ones repeat early.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }

    /// Whether an event with this chance, in percent, happens now.
    pub fn percent(&mut self, chance: u64) -> bool {
        self.below(100) < chance
    }
}
