//! Random numbers from a seed (splitmix64, Steele, Lea and Flood 2014): the same for the same seed, so that a run replays.

/// The increment of splitmix64, the golden ratio's fraction.
const INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// The state after `draws` steps from a seed.
pub(crate) fn step(seed: u64, draws: u64) -> u64 {
    seed.wrapping_add(draws.wrapping_mul(INCREMENT))
}

/// The finaliser: neighbouring inputs give unrelated outputs.
pub(crate) fn finalize(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// The number after this one.
pub(crate) fn next(state: u64) -> u64 {
    finalize(state.wrapping_add(INCREMENT))
}

/// A number in [0, 1) from 64 random bits.
pub(crate) fn unit(bits: u64) -> f64 {
    (bits >> 11) as f64 / (1u64 << 53) as f64
}

/// The first number of a scheduler: two of one seed draw apart by their names (FNV-1a).
pub(crate) fn seeded(seed: u64, name: &str) -> u64 {
    let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    next(seed ^ hash)
}
