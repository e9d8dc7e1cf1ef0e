//! The turns of one store.
//!
//! Guarantees that a turn expires no earlier than any stored turn that continues from it, in whatever order
//! the turns of a chain arrive, so that a chain is never cut at its start; and that a chain with a gap is known
//! as such ([`TurnTable::has_complete_chain`]). Time is the store's own monotonic clock, passed in.

use pointcross_tier_protocol::StoreId;
use pointcross_tier_protocol::turns::{TurnId, TurnRecord};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A stored turn and when it expires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredTurn {
    /// The turn. Its `retention_ms` counts from `stored_at`; `expires_at` may have been extended since.
    pub record: TurnRecord,
    /// When it expires, on this store's clock.
    pub expires_at: Duration,
    /// The generation of the ring file that has its record.
    pub generation: u64,
    /// When it was stored, on this store's clock.
    pub stored_at: Duration,
    /// All replicas were asked for it and have it.
    pub replicas_confirmed: bool,
}

/// Turns by id until they expire.
#[derive(Clone, Debug, Default)]
pub struct TurnTable {
    turns: BTreeMap<TurnId, StoredTurn>,
    by_expiry: BTreeSet<(Duration, TurnId)>,
    /// The number of turns whose record is in each generation of the ring.
    by_generation: BTreeMap<u64, usize>,
    /// Turns that stored turns continue from and that are not stored yet, with the earliest time at which
    /// each may expire. At most one for each stored turn.
    missing_predecessors: BTreeMap<TurnId, Duration>,
    bytes: usize,
}

/// Bytes of memory that a turn takes beside its text: ids and map entries.
const OVERHEAD_BYTES: usize = 400;

impl TurnTable {
    /// Stores a turn at `now` and extends the retention of the turns before it to its own, also of those that
    /// are stored later. A further copy of a stored turn may extend its retention and adds to its replicas;
    /// `generation`, where the copy's record is, replaces the earlier one.
    pub fn insert(&mut self, now: Duration, record: TurnRecord, generation: u64) {
        let mut expires_at = now + Duration::from_millis(record.retention_ms);
        let mut record = record;
        if let Some(required_expiry) = self.missing_predecessors.remove(&record.id) {
            expires_at = expires_at.max(required_expiry);
        }
        if let Some(old) = self.remove(&record.id) {
            expires_at = expires_at.max(old.expires_at);
            record.replicas.extend(old.record.replicas);
            record.replicas.sort();
            record.replicas.dedup();
        }
        let mut previous = record.previous.clone();
        while let Some(before) = previous {
            previous = self.extend_retention(&before, expires_at);
        }
        self.bytes += record.text.len() + OVERHEAD_BYTES;
        *self.by_generation.entry(generation).or_default() += 1;
        self.by_expiry.insert((expires_at, record.id.clone()));
        self.turns.insert(
            record.id.clone(),
            StoredTurn { record, expires_at, generation, stored_at: now, replicas_confirmed: false },
        );
    }

    /// Extends a turn's retention. Returns the turn before it if that may have to be extended too.
    fn extend_retention(&mut self, id: &str, expires_at: Duration) -> Option<TurnId> {
        let Some(stored) = self.turns.get_mut(id) else {
            let required_expiry = self.missing_predecessors.entry(id.to_owned()).or_default();
            *required_expiry = expires_at.max(*required_expiry);
            return None;
        };
        if stored.expires_at >= expires_at {
            return None;
        }
        self.by_expiry.remove(&(stored.expires_at, id.to_owned()));
        stored.expires_at = expires_at;
        self.by_expiry.insert((expires_at, id.to_owned()));
        stored.record.previous.clone()
    }

    fn remove(&mut self, id: &str) -> Option<StoredTurn> {
        let old = self.turns.remove(id)?;
        self.bytes -= old.record.text.len() + OVERHEAD_BYTES;
        self.by_expiry.remove(&(old.expires_at, id.to_owned()));
        if let Some(count) = self.by_generation.get_mut(&old.generation) {
            *count -= 1;
            if *count == 0 {
                self.by_generation.remove(&old.generation);
            }
        }
        Some(old)
    }

    /// Removes the turns that have expired.
    pub fn remove_expired(&mut self, now: Duration) {
        self.missing_predecessors.retain(|_, expires_at| *expires_at > now);
        while let Some((expires_at, id)) = self.by_expiry.first().cloned() {
            if expires_at > now {
                return;
            }
            self.remove(&id);
        }
    }

    /// The turn with this id, if it is stored.
    pub fn get(&self, id: &str) -> Option<&StoredTurn> {
        self.turns.get(id)
    }

    /// The turn and those before it, newest first, up to the first one that isn't stored.
    pub fn chain(&self, now: Duration, id: &str) -> Vec<TurnRecord> {
        let mut chain = Vec::new();
        let mut next = Some(id.to_owned());
        while let Some(stored) = next.and_then(|id| self.turns.get(&id)) {
            next = stored.record.previous.clone();
            chain.push(with_remaining_retention(stored, now));
        }
        chain
    }

    /// The ids among these that aren't stored, in the given order.
    pub fn missing(&self, ids: Vec<TurnId>) -> Vec<TurnId> {
        ids.into_iter().filter(|id| !self.turns.contains_key(id)).collect()
    }

    /// The turns that stored turns continue from and that aren't stored, in the order of their ids.
    pub fn missing_predecessors(&self) -> Vec<TurnId> {
        self.missing_predecessors.keys().cloned().collect()
    }

    /// Whether a turn is stored with all turns before it in its chain.
    pub fn has_complete_chain(&self, id: &str) -> bool {
        if self.missing_predecessors.is_empty() {
            return self.turns.contains_key(id);
        }
        let mut next = Some(id);
        while let Some(id) = next {
            let Some(stored) = self.turns.get(id) else { return false };
            next = stored.record.previous.as_deref();
        }
        true
    }

    /// The ids among these that aren't stored with their complete chain, in the given order.
    pub fn without_complete_chain(&self, ids: Vec<TurnId>) -> Vec<TurnId> {
        ids.into_iter().filter(|id| !self.has_complete_chain(id)).collect()
    }

    /// The turns that these continue from and that neither are among these nor are stored with their complete
    /// chain.
    pub fn missing_for(&self, turns: &[TurnRecord]) -> Vec<TurnId> {
        let ids: BTreeSet<&str> = turns.iter().map(|turn| turn.id.as_str()).collect();
        let previous = turns.iter().filter_map(|turn| turn.previous.clone());
        let previous: BTreeSet<TurnId> = previous.filter(|id| !ids.contains(id.as_str())).collect();
        self.without_complete_chain(previous.into_iter().collect())
    }

    /// Extends the retention of the stored turns that these continue from to that of these, counted from
    /// `now`, so that none of them expires while these are written.
    pub fn retain_predecessors(&mut self, now: Duration, turns: &[TurnRecord]) {
        for turn in turns {
            let expires_at = now + Duration::from_millis(turn.retention_ms);
            let mut previous = turn.previous.clone().filter(|id| self.turns.contains_key(id));
            while let Some(before) = previous {
                previous = self.extend_retention(&before, expires_at);
            }
        }
    }

    /// These turns, as far as they are stored, and all stored ones before them: each once, behind the one that
    /// it continues from.
    pub fn with_predecessors(&self, ids: &[TurnId]) -> Vec<TurnId> {
        let mut ordered: Vec<TurnId> = Vec::new();
        let mut seen: BTreeSet<&str> = BTreeSet::new();
        for id in ids {
            let begin = ordered.len();
            let mut next = self.turns.get(id);
            while let Some(stored) = next.filter(|stored| seen.insert(&stored.record.id)) {
                ordered.push(stored.record.id.clone());
                next = stored.record.previous.as_ref().and_then(|previous| self.turns.get(previous));
            }
            ordered[begin..].reverse();
        }
        ordered
    }

    /// The turns whose records are in this generation of the ring, each with its remaining retention.
    pub fn in_generation(&self, now: Duration, generation: u64) -> Vec<TurnRecord> {
        if !self.by_generation.contains_key(&generation) {
            return Vec::new();
        }
        let stored = self.turns.values().filter(|stored| stored.generation == generation);
        stored.map(|stored| with_remaining_retention(stored, now)).collect()
    }

    /// All turns, each with its remaining retention.
    pub fn all(&self, now: Duration) -> impl Iterator<Item = TurnRecord> {
        self.turns.values().map(move |stored| with_remaining_retention(stored, now))
    }

    /// Replaces a turn's replicas by stores that were asked for it and have it.
    pub fn set_replicas(&mut self, id: &str, replicas: Vec<StoreId>) {
        if let Some(stored) = self.turns.get_mut(id) {
            stored.record.replicas = replicas;
            stored.replicas_confirmed = true;
        }
    }

    /// The ids of the turns that fulfil a condition.
    pub fn ids_where(&self, condition: impl Fn(&StoredTurn) -> bool) -> Vec<TurnId> {
        let matching = self.turns.values().filter(|stored| condition(stored));
        matching.map(|stored| stored.record.id.clone()).collect()
    }

    /// Those of these turns that are stored, each with its remaining retention.
    pub fn records(&self, now: Duration, ids: &[TurnId]) -> Vec<TurnRecord> {
        let found = ids.iter().filter_map(|id| self.turns.get(id));
        found.map(|stored| with_remaining_retention(stored, now)).collect()
    }

    /// The number of turns.
    pub fn len(&self) -> usize {
        self.turns.len()
    }

    /// Whether no turn is stored.
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }

    /// Estimated bytes of memory that the turns take.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

fn with_remaining_retention(stored: &StoredTurn, now: Duration) -> TurnRecord {
    let retention_ms = stored.expires_at.saturating_sub(now).as_millis() as u64;
    TurnRecord { retention_ms, ..stored.record.clone() }
}
