//! Rendezvous hashing: a key prefers servers in an order of its own that all who know the key agree on, and that
//! changes little as servers come and go.

/// FNV-1a's offset and prime.
const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0100_0000_01b3;

/// A key from a text.
pub fn key(text: &str) -> u64 {
    mix(text.bytes().fold(OFFSET, |value, byte| (value ^ u64::from(byte)).wrapping_mul(PRIME)))
}

/// How much a key prefers an instance, from 0 to 1.
pub(crate) fn preference(key: u64, instance: &str) -> f64 {
    let value = instance.bytes().fold(key, |value, byte| (value ^ u64::from(byte)).wrapping_mul(PRIME));
    fraction(mix(value))
}

/// Where a text stands among all others, from 0 to 1.
pub(crate) fn position(text: &str) -> f64 {
    // Mixed once more: the lowest keys would else be those that also rank lowest as keys of preferences.
    fraction(mix(key(text) ^ OFFSET))
}

fn fraction(value: u64) -> f64 {
    (value >> 11) as f64 / (1_u64 << 53) as f64
}

/// The finaliser of MurmurHash3: each bit of the input reaches each bit of the output.
fn mix(mut value: u64) -> u64 {
    value = (value ^ (value >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    value = (value ^ (value >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    value ^ (value >> 33)
}
