//! State of each volume: until when its calls are paused after a refusal, which schedulers carry it, and
//! whose turn it is. Bounded: beyond `MAX_VOLUMES` volumes, the least recently used ones that are not paused
//! are evicted; an evicted volume starts anew, with the same schedulers.

use super::Instant;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Volumes that are known at once; some 100 bytes each.
const MAX_VOLUMES: usize = 8192;

/// One volume.
#[derive(Clone, Debug)]
pub struct Volume {
    /// Its calls wait until then.
    pub paused_until: Instant,
    /// The set's schedulers, most fitting first, as the list stood at `version`.
    ranked: Vec<u32>,
    version: u64,
    turn: usize,
    last_used: Instant,
}

/// All volumes that are known.
#[derive(Debug, Default)]
pub struct Volumes(HashMap<u64, Volume>);

/// Mixes 64 bits (splitmix64's finalizer); the order of schedulers must come out alike in every client.
fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// A hash of an address that comes out alike in every build of this library.
pub fn address_hash(address: SocketAddr) -> u64 {
    let ip = match address.ip() {
        IpAddr::V4(ip) => u128::from(ip.to_bits()),
        IpAddr::V6(ip) => ip.to_bits(),
    };
    mix(mix((ip >> 64) as u64 ^ u64::from(address.port())) ^ ip as u64)
}

/// A scheduler as ranking sees it.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Its number in the client.
    pub number: u32,
    /// A hash of its address, the same in every client.
    pub hash: u64,
}

impl Volumes {
    /// The volume, known from now on. `members` is its set at `version`.
    pub fn volume(&mut self, now: Instant, id: u64, version: u64, members: &[Candidate]) -> &mut Volume {
        if self.0.len() >= MAX_VOLUMES && !self.0.contains_key(&id) {
            self.evict(now);
        }
        let volume = self.0.entry(id).or_insert_with(|| Volume {
            paused_until: Instant::default(),
            ranked: Vec::new(),
            version: u64::MAX,
            turn: mix(id) as usize,
            last_used: now,
        });
        volume.last_used = now;
        if volume.version != version {
            // Rendezvous hashing (Thaler and Ravishankar, 1998): every client ranks a set alike without
            // coordination, and a scheduler that comes or goes moves only its own part.
            let mut ranked: Vec<_> = members.iter().map(|m| (mix(m.hash ^ mix(id)), m.number)).collect();
            ranked.sort_unstable();
            volume.ranked = ranked.into_iter().map(|(_, number)| number).collect();
            volume.version = version;
        }
        volume
    }

    /// Pauses a volume's calls; a shorter pause never replaces a longer one.
    pub fn pause(&mut self, id: u64, until: Instant) {
        if let Some(volume) = self.0.get_mut(&id) {
            volume.paused_until = volume.paused_until.max(until);
        }
    }

    /// Until when a volume's calls are paused; `None` where they are not.
    pub fn paused_until(&self, now: Instant, id: u64) -> Option<Instant> {
        self.0.get(&id).map(|volume| volume.paused_until).filter(|&until| until > now)
    }

    fn evict(&mut self, now: Instant) {
        let mut last_used: Vec<_> =
            self.0.iter().map(|(&id, volume)| (volume.paused_until > now, volume.last_used, id)).collect();
        last_used.sort_unstable();
        for (_, _, id) in &last_used[..MAX_VOLUMES / 8] {
            self.0.remove(id);
        }
    }
}

impl Volume {
    /// Which scheduler carries the volume's next request. `load` gives a scheduler's requests in flight and
    /// queued, `None` where it takes nothing now.
    ///
    /// The first `spread` of the ranked schedulers that take work carry the volume in turns: a limit is split
    /// evenly over the schedulers that a volume uses, so an even use is what loses none of it. A turn is
    /// passed on where that scheduler has over twice the load of the least loaded, and `SLACK` more: it is
    /// slow, and the limit's part is of no use behind it.
    pub fn choose(
        &mut self,
        spread: usize,
        avoid: Option<u32>,
        load: impl Fn(u32) -> Option<usize>,
    ) -> Option<u32> {
        const SLACK: usize = 4;
        let carrying: Vec<(u32, usize)> = self
            .ranked
            .iter()
            .filter_map(|&number| Some((number, load(number)?)))
            .take(spread.max(1))
            .collect();
        let others = carrying.iter().filter(|(number, _)| Some(*number) != avoid);
        let least = others.clone().map(|(_, load)| *load).min();
        // The one to avoid is taken where it is the only one.
        let Some(least) = least else { return carrying.first().map(|(number, _)| *number) };
        let fitting: Vec<u32> =
            others.filter(|(_, load)| *load <= 2 * least + SLACK).map(|(number, _)| *number).collect();
        self.turn = self.turn.wrapping_add(1);
        Some(fitting[self.turn % fitting.len()])
    }

    /// The set's schedulers, most fitting first.
    pub fn ranked(&self) -> &[u32] {
        &self.ranked
    }
}

/// How long a pause lasts: as long as the scheduler asked for, and never longer than `max_pause`. Guards
/// against a refusal that would pause a volume for a day.
pub fn pause_duration(requested: Duration, max_pause: Duration) -> Duration {
    requested.min(max_pause)
}

// In a file of its own under tests/: it checks state that is private here.
#[cfg(test)]
#[path = "../../tests/unit/volumes.rs"]
mod tests;
