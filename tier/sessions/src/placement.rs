//! Which stores keep a chain's turns or a program's budget, by rendezvous hashing: a store that comes or goes
//! moves no more than its own share.

use pointcross_tier_protocol::StoreEntry;

/// FNV-1a with a final mix; the same on all machines and in all versions.
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

/// The stores for this key, best first.
pub fn rank<'a>(key: &str, stores: impl Iterator<Item = &'a StoreEntry>) -> Vec<&'a StoreEntry> {
    let mut ranked: Vec<&StoreEntry> = stores.collect();
    ranked.sort_by_key(|store| std::cmp::Reverse(hash(&[key.as_bytes(), store.id.node.as_bytes()])));
    ranked
}

/// The stores for a chain's turns: one in the caller's own zone first, to spare bytes between zones.
pub fn rank_for_turns<'a>(
    key: &str,
    zone: &str,
    stores: impl Iterator<Item = &'a StoreEntry>,
) -> Vec<&'a StoreEntry> {
    let mut ranked = rank(key, stores);
    if let Some(near) = ranked.iter().position(|store| store.zone == zone) {
        let near = ranked.remove(near);
        ranked.insert(0, near);
    }
    ranked
}

/// The `count` stores that share a program's budget; any two majorities of them meet.
pub fn budget_stores<'a>(
    program: &str,
    count: usize,
    stores: impl Iterator<Item = &'a StoreEntry>,
) -> Vec<&'a StoreEntry> {
    let mut ranked = rank(program, stores);
    ranked.truncate(count);
    ranked
}

/// How many of so many stores make a majority.
pub fn majority(stores: usize) -> usize {
    stores / 2 + 1
}
