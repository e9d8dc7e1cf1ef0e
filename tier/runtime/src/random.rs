//! Random numbers: for spreading load, and for ids that are unique among processes. Not for secrets.
//!
//! Guarantees that a seeded thread draws the same numbers each time, which simulated runs rely on.

use std::cell::Cell;
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};

thread_local! {
    static STATE: Cell<u64> = Cell::new(RandomState::new().build_hasher().finish() | 1);
}

thread_local! {
    static SEEDED: Cell<bool> = const { Cell::new(false) };
}

/// Seeds this thread's generator, for simulations and tests; [`unique`] then draws from it as well.
pub fn seed(seed: u64) {
    SEEDED.set(true);
    STATE.set(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
}

/// A random odd number, hence never 0 (Marsaglia's xorshift, with a multiplier as in Vigna's xorshift64*).
pub fn number() -> u64 {
    STATE.with(|state| {
        let mut value = state.get();
        value ^= value << 13;
        value ^= value >> 7;
        value ^= value << 17;
        state.set(value);
        value.wrapping_mul(0x2545_f491_4f6c_dd1d) | 1
    })
}

/// A random number below `bound`; the bias of the remainder is negligible for small bounds.
///
/// # Panics
///
/// Panics where `bound` is 0.
pub fn below(bound: u64) -> u64 {
    (number() >> 1) % bound
}

/// The id of a disk or of a process's incarnation, which no other draws by chance; never 0. Drawn from the
/// operating system, since the generator's seed may be alike in processes that start alike.
pub fn unique() -> u64 {
    use std::io::Read;
    if SEEDED.get() {
        return number();
    }
    let mut bytes = [0; 8];
    let read = std::fs::File::open("/dev/urandom").and_then(|mut file| file.read_exact(&mut bytes));
    match read {
        Ok(()) => u64::from_le_bytes(bytes) | 1,
        Err(_) => number(),
    }
}
