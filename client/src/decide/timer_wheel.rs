//! Timers of many thousand calls: a hierarchical timing wheel (Varghese and Lauck, 1987), six levels of 64
//! slots. Nearly every timer of a client is cancelled, since calls end before their deadlines; here that is
//! unlinking an entry, where a heap keeps dead entries or sifts. `benches/timers.rs` measures both.

use super::Instant;

/// Microseconds of the finest slot. A timer fires at the first `fire` at or after the end of the slot in
/// which its time lies: never early, at most this late.
pub const TICK: u64 = 1000;
const BITS: u32 = 6;
const SLOTS: usize = 1 << BITS;
const LEVELS: usize = 6;
/// Farther ahead than this (some 2 years), a timer is put nearer and put again when that is reached.
const FARTHEST: u64 = 62 << (BITS * (LEVELS as u32 - 1));
const NONE: u32 = u32::MAX;

/// Names a timer until it fires or is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TimerKey {
    index: u32,
    generation: u32,
}

#[derive(Debug)]
struct Entry<T> {
    tick: u64,
    previous: u32,
    next: u32,
    /// Level and slot, while it is linked.
    place: u16,
    generation: u32,
    value: Option<T>,
}

/// The timers. Entries live in one vector that grows to the most that ever ran at once.
#[derive(Debug)]
pub struct TimerWheel<T> {
    entries: Vec<Entry<T>>,
    free: u32,
    heads: [u32; LEVELS * SLOTS],
    /// A bit for each slot that holds an entry.
    occupied: [u64; LEVELS],
    /// Everything before this tick has fired.
    tick: u64,
    len: usize,
}

impl<T> Default for TimerWheel<T> {
    fn default() -> Self {
        TimerWheel {
            entries: Vec::new(),
            free: NONE,
            heads: [NONE; LEVELS * SLOTS],
            occupied: [0; LEVELS],
            tick: 0,
            len: 0,
        }
    }
}

impl<T> TimerWheel<T> {
    /// How many timers run.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether none runs.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Starts a timer. One whose time has passed fires at the next `fire`.
    pub fn start(&mut self, at: Instant, value: T) -> TimerKey {
        let tick = at.0.div_ceil(TICK).max(self.tick);
        let index = match self.free {
            NONE => {
                let index = self.entries.len() as u32;
                let entry =
                    Entry { tick, previous: NONE, next: NONE, place: 0, generation: 0, value: Some(value) };
                self.entries.push(entry);
                index
            }
            index => {
                let entry = &mut self.entries[index as usize];
                self.free = entry.next;
                (entry.tick, entry.value) = (tick, Some(value));
                index
            }
        };
        self.len += 1;
        self.link(index);
        TimerKey { index, generation: self.entries[index as usize].generation }
    }

    /// Ends a timer; gives its value where it was still running.
    pub fn cancel(&mut self, key: TimerKey) -> Option<T> {
        let entry = self.entries.get(key.index as usize)?;
        if entry.generation != key.generation || entry.value.is_none() {
            return None;
        }
        self.unlink(key.index);
        self.release(key.index)
    }

    /// When a timer that still runs is to fire.
    pub fn at(&self, key: TimerKey) -> Option<Instant> {
        let entry = self.entries.get(key.index as usize)?;
        let runs = entry.generation == key.generation && entry.value.is_some();
        runs.then(|| Instant(entry.tick.saturating_mul(TICK)))
    }

    /// No timer fires before this. It may be earlier than the first one's time, by the width of its slot, but
    /// never later: whoever looks then and finds nothing asks again.
    pub fn next(&self) -> Option<Instant> {
        self.first().map(|(_, tick)| Instant(tick.saturating_mul(TICK)))
    }

    /// Ends the timers whose time has come and gives them in order of time, with the values they were started
    /// with. Those of one tick come in no order that matters, but always the same for the same calls.
    pub fn fire(&mut self, now: Instant, fired: &mut Vec<T>) {
        let target = now.0 / TICK;
        while let Some((place, tick)) = self.first().filter(|&(_, tick)| tick <= target) {
            self.tick = self.tick.max(tick);
            let mut index = std::mem::replace(&mut self.heads[place], NONE);
            self.occupied[place / SLOTS] &= !(1 << (place % SLOTS));
            while index != NONE {
                let (next, due) =
                    (self.entries[index as usize].next, self.entries[index as usize].tick <= tick);
                if due {
                    fired.extend(self.release(index));
                } else {
                    self.link(index);
                }
                index = next;
            }
        }
        self.tick = self.tick.max(target);
    }

    /// The first occupied slot and the tick at which it begins.
    fn first(&self) -> Option<(usize, u64)> {
        // Levels are looked at from the finest: what is on a coarser one begins after all of a finer one's.
        let level = self.occupied.iter().position(|&slots| slots != 0)?;
        let shift = BITS * level as u32;
        let here = (self.tick >> shift) & (SLOTS as u64 - 1);
        let ahead = u64::from(self.occupied[level].rotate_right(here as u32).trailing_zeros());
        let slot = (here + ahead) % SLOTS as u64;
        let begin = ((self.tick >> shift) + ahead) << shift;
        Some((level * SLOTS + slot as usize, begin.max(self.tick)))
    }

    fn link(&mut self, index: u32) {
        let tick = self.entries[index as usize].tick.min(self.tick.saturating_add(FARTHEST));
        // The highest bit in which it differs from the present says how far ahead it lies.
        let differs = (tick ^ self.tick) | (SLOTS as u64 - 1);
        let level = ((63 - differs.leading_zeros()) / BITS).min(LEVELS as u32 - 1);
        let slot = (tick >> (BITS * level)) & (SLOTS as u64 - 1);
        let place = level as usize * SLOTS + slot as usize;
        let head = std::mem::replace(&mut self.heads[place], index);
        let entry = &mut self.entries[index as usize];
        (entry.previous, entry.next, entry.place) = (NONE, head, place as u16);
        if head != NONE {
            self.entries[head as usize].previous = index;
        }
        self.occupied[level as usize] |= 1 << slot;
    }

    fn unlink(&mut self, index: u32) {
        let Entry { previous, next, place, .. } = self.entries[index as usize];
        let place = usize::from(place);
        match previous {
            NONE => self.heads[place] = next,
            previous => self.entries[previous as usize].next = next,
        }
        if next != NONE {
            self.entries[next as usize].previous = previous;
        }
        if self.heads[place] == NONE {
            self.occupied[place / SLOTS] &= !(1 << (place % SLOTS));
        }
    }

    /// Gives back an entry that is linked no more.
    fn release(&mut self, index: u32) -> Option<T> {
        let entry = &mut self.entries[index as usize];
        entry.generation = entry.generation.wrapping_add(1);
        entry.next = std::mem::replace(&mut self.free, index);
        self.len -= 1;
        entry.value.take()
    }
}
