//! Decides which turns need repair, which stores they are sent to, and when they have enough replicas.
//!
//! Guarantees that a turn is only given up here, or its hint dropped, where enough other stores have it. No
//! I/O and no clock: the caller passes in what it has asked and when.

use crate::StoredTurn;
use pointcross_tier_protocol::turns::{TurnId, TurnRecord};
use pointcross_tier_protocol::{StoreEntry, StoreId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A turn's replicas are asked for it this long after it was stored; until then they may still be writing it.
const CONFIRM_DELAY: Duration = Duration::from_millis(1500);

/// What a round of repair starts from.
pub struct RoundState {
    /// This store.
    pub own: StoreId,
    /// Whether this store is to be emptied.
    pub is_retiring: bool,
    /// All active stores.
    pub active: BTreeSet<StoreId>,
    /// The time since the process started.
    pub now: Duration,
}

impl RoundState {
    /// Whether the other stores have to be asked for this turn: a replica is lost or not confirmed yet, this
    /// store has the turn as a hint only, or this store is to be emptied.
    pub fn needs_repair(&self, turn: &StoredTurn) -> bool {
        let replicas = &turn.record.replicas;
        let has_lost_replica = replicas.iter().any(|replica| !self.active.contains(replica));
        let is_unconfirmed =
            !turn.replicas_confirmed && self.now.saturating_sub(turn.stored_at) > CONFIRM_DELAY;
        self.is_retiring || has_lost_replica || is_unconfirmed || !replicas.contains(&self.own)
    }
}

/// The answer of one store.
pub struct StoreAnswer<'a> {
    /// The store that answered.
    pub store: &'a StoreEntry,
    /// Those of the turns asked for that it lacks.
    pub missing: BTreeSet<TurnId>,
}

/// The other stores that have each of some turns.
pub struct TurnHolders {
    by_turn: BTreeMap<TurnId, Vec<StoreId>>,
}

impl TurnHolders {
    /// No store is known to have any of these turns.
    pub fn new(ids: &[TurnId]) -> Self {
        TurnHolders { by_turn: ids.iter().map(|id| (id.clone(), Vec::new())).collect() }
    }

    /// The store has all turns but those it reported as missing.
    pub fn add_answer(&mut self, answer: &StoreAnswer) {
        for (id, holders) in &mut self.by_turn {
            if !answer.missing.contains(id) {
                holders.push(answer.store.id.clone());
            }
        }
    }

    /// The store has acknowledged this turn.
    pub fn add(&mut self, id: TurnId, store: &StoreId) {
        self.by_turn.entry(id).or_default().push(store.clone());
    }

    /// The turns that go to a store that lacks them: those with fewer than `wanted` holders, and those that
    /// have the store among their replicas (`is_replica`). In the order of the ids.
    ///
    /// # Panics
    ///
    /// Where the store reports a turn as missing that it was not asked for.
    pub fn turns_to_transfer(
        &self,
        answer: &StoreAnswer,
        wanted: usize,
        is_replica: impl Fn(&TurnId) -> bool,
    ) -> Vec<TurnId> {
        let missing = answer.missing.iter();
        missing.filter(|id| self.by_turn[*id].len() < wanted || is_replica(id)).cloned().collect()
    }

    /// Each turn with its holders, in the order of the ids.
    pub fn into_turns(self) -> impl Iterator<Item = (TurnId, Vec<StoreId>)> {
        self.by_turn.into_iter()
    }
}

/// Splits turns into batches, in their order; a batch ends with the turn that brings its text to
/// `batch_bytes`.
pub fn split_batches(turns: Vec<TurnRecord>, batch_bytes: usize) -> Vec<Vec<TurnRecord>> {
    let mut batches = Vec::new();
    let mut batch = Vec::new();
    let mut bytes = 0;
    for turn in turns {
        bytes += turn.text.len();
        batch.push(turn);
        if bytes >= batch_bytes {
            batches.push(std::mem::take(&mut batch));
            bytes = 0;
        }
    }
    if !batch.is_empty() {
        batches.push(batch);
    }
    batches
}
