//! The queue for a scheduler's connections: ordered by deadline, bounded, and fair between volumes at the
//! bound. Guards against one volume's burst that fills the queue and has every other volume's calls rejected.

use super::{CallId, Instant};
use std::collections::{BTreeMap, HashMap};

#[derive(Clone, Copy, Debug)]
struct CallGuard {
    call: CallId,
    volume: u64,
}

/// Calls that wait for a connection, the most urgent first.
#[derive(Debug, Default)]
pub struct CallQueue {
    /// By deadline, then in the order of their calls.
    queued: BTreeMap<(Instant, CallId), CallGuard>,
    /// Queued calls of each volume; never zero.
    volumes: HashMap<u64, usize>,
}

impl CallQueue {
    /// How many calls are queued.
    pub fn len(&self) -> usize {
        self.queued.len()
    }

    /// Whether no call is queued.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// Queues a call. Beyond `max_queued` calls, the volume with the most queued calls loses the one with the
    /// latest deadline; that one is returned, and may be the call that was just queued.
    pub fn push(
        &mut self,
        call: CallId,
        volume: u64,
        deadline: Instant,
        max_queued: usize,
    ) -> Option<CallId> {
        self.queued.insert((deadline, call), CallGuard { call, volume });
        *self.volumes.entry(volume).or_default() += 1;
        if self.queued.len() <= max_queued {
            return None;
        }
        // The newcomer's volume goes first where several have as many.
        let largest = self
            .volumes
            .iter()
            .max_by_key(|&(&other, &count)| (count, other == volume, other))
            .map(|(&v, _)| v)?;
        let last =
            self.queued.iter().rev().find(|(_, queued)| queued.volume == largest).map(|(&key, _)| key)?;
        self.remove_key(last).map(|queued| queued.call)
    }

    /// The call with the earliest deadline.
    pub fn pop(&mut self) -> Option<CallId> {
        let first = *self.queued.first_key_value()?.0;
        self.remove_key(first).map(|queued| queued.call)
    }

    /// Removes a call; returns whether it was queued.
    pub fn remove(&mut self, call: CallId, deadline: Instant) -> bool {
        self.remove_key((deadline, call)).is_some()
    }

    /// Removes all calls, the most urgent first.
    pub fn drain(&mut self) -> Vec<CallId> {
        self.volumes.clear();
        std::mem::take(&mut self.queued).into_values().map(|queued| queued.call).collect()
    }

    fn remove_key(&mut self, key: (Instant, CallId)) -> Option<CallGuard> {
        let queued = self.queued.remove(&key)?;
        if let Some(count) = self.volumes.get_mut(&queued.volume) {
            *count -= 1;
            if *count == 0 {
                self.volumes.remove(&queued.volume);
            }
        }
        Some(queued)
    }
}

// In a file of its own under tests/: it checks state that is private here.
#[cfg(test)]
#[path = "../../tests/unit/call_queue.rs"]
mod tests;
