//! Turns that this proxy stored or read lately, so that the next turn of a chain needs no call to a store.
//!
//! Guarantees a bound on its memory, and that no turn is served from here past its retention time once
//! [`ChainCache::remove_expired`] has run. Turns never change, so an entry can't be stale.

use pointcross_tier_protocol::StoreId;
use pointcross_tier_protocol::turns::{TurnId, TurnRecord};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

struct CachedTurn {
    record: TurnRecord,
    expires_at: Instant,
}

/// A cache of turns; the oldest is evicted first.
pub struct ChainCache {
    turns: HashMap<TurnId, CachedTurn>,
    by_insertion: VecDeque<TurnId>,
    bytes: usize,
    max_bytes: usize,
}

impl ChainCache {
    /// An empty cache for at most so many bytes of text.
    pub fn new(max_bytes: usize) -> Self {
        ChainCache { turns: HashMap::new(), by_insertion: VecDeque::new(), bytes: 0, max_bytes }
    }

    /// Adds a turn that is stored on as many stores as it needs, or extends its retention.
    pub fn insert(&mut self, record: TurnRecord, now: Instant) {
        let expires_at = now + Duration::from_millis(record.retention_ms);
        let id = record.id.clone();
        let length = record.text.len();
        if let Some(cached) = self.turns.get_mut(&id) {
            cached.expires_at = cached.expires_at.max(expires_at);
            return;
        }
        self.bytes += length;
        self.by_insertion.push_back(id.clone());
        self.turns.insert(id, CachedTurn { record, expires_at });
        while self.bytes > self.max_bytes {
            let Some(oldest) = self.by_insertion.pop_front() else { break };
            self.remove(&oldest);
        }
    }

    /// Notes that a store has these turns, so that it is not sent them again.
    pub fn add_replica(&mut self, turns: &[TurnRecord], store: &StoreId) {
        for turn in turns {
            let Some(cached) = self.turns.get_mut(&turn.id) else { continue };
            if !cached.record.replicas.contains(store) {
                cached.record.replicas.push(store.clone());
            }
        }
    }

    fn remove(&mut self, id: &str) {
        if let Some(turn) = self.turns.remove(id) {
            self.bytes -= turn.record.text.len();
        }
    }

    /// Evicts the oldest turns up to the first that is still retained.
    pub fn remove_expired(&mut self, now: Instant) {
        while let Some(oldest) = self.by_insertion.front() {
            if self.turns.get(oldest).is_some_and(|turn| turn.expires_at > now) {
                break;
            }
            let oldest = self.by_insertion.pop_front().expect("the queue has the front element read above");
            self.remove(&oldest);
        }
    }

    /// A cached turn.
    pub fn get(&self, id: &str) -> Option<&TurnRecord> {
        self.turns.get(id).map(|turn| &turn.record)
    }
}
