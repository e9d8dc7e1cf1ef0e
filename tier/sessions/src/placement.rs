//! Which stores have a chain's turns or a program's budget, by rendezvous hashing (Thaler and Ravishankar
//! 1998).
//!
//! Guarantees that a store that joins or is removed moves only the keys of that store, and that all processes
//! of all versions rank the stores alike.

use pointcross_tier_protocol::StoreEntry;

/// A hash of the parts: 64-bit FNV-1a, each part closed by a byte 0xff, with a final mix. It is the same on
/// all machines and must stay the same in all versions, since it decides where data is found.
pub fn hash(parts: &[&[u8]]) -> u64 {
    let mut value: u64 = 0xcbf2_9ce4_8422_2325;
    for part in parts {
        for byte in *part {
            value = (value ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
        value = (value ^ 0xff).wrapping_mul(0x0100_0000_01b3);
    }
    value ^= value >> 33;
    value = value.wrapping_mul(0xff51_afd7_ed55_8ccd);
    value ^ (value >> 33)
}

/// The stores for this key, most preferred first.
pub fn rank<'a>(key: &str, stores: impl Iterator<Item = &'a StoreEntry>) -> Vec<&'a StoreEntry> {
    let mut ranked: Vec<&StoreEntry> = stores.collect();
    ranked.sort_by_key(|store| std::cmp::Reverse(hash(&[key.as_bytes(), store.id.node.as_bytes()])));
    ranked
}

/// The stores for a chain's turns: like [`rank`], with the most preferred store of the caller's own zone
/// first, to save traffic between zones.
pub fn rank_for_turns<'a>(
    key: &str,
    zone: &str,
    stores: impl Iterator<Item = &'a StoreEntry>,
) -> Vec<&'a StoreEntry> {
    let mut ranked = rank(key, stores);
    if let Some(position) = ranked.iter().position(|store| store.zone == zone) {
        let local = ranked.remove(position);
        ranked.insert(0, local);
    }
    ranked
}

/// The `count` stores that share a program's budget, most preferred first; any two majorities of them
/// intersect.
pub fn budget_stores<'a>(
    program: &str,
    count: usize,
    stores: impl Iterator<Item = &'a StoreEntry>,
) -> Vec<&'a StoreEntry> {
    let mut ranked = rank(program, stores);
    ranked.truncate(count);
    ranked
}

/// The size of a majority of this many stores.
pub fn majority(stores: usize) -> usize {
    stores / 2 + 1
}
