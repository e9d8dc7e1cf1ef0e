//! The stores' life cycle: registered and active, then retiring and retired, or unavailable.
//!
//! Each change of the stores that take part starts an epoch. A store and its callers compare epochs, so that
//! replicas are never counted at stores of different epochs.

use super::Directory;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Earlier epochs of the stores that are remembered. A store has to know which stores were active since it
/// was last complete, and is out of date by a few changes at most.
pub const MAX_REMEMBERED_STORE_EPOCHS: usize = 24;
/// Unavailable and retired stores that are remembered.
pub const MAX_REMOVED_STORES: usize = 64;

/// A store: the machine's name, and a number drawn when its disk was first used. A machine that lost its disk
/// comes back as another store, which is not asked for what the lost one had.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StoreId {
    /// The machine's name.
    pub node: String,
    /// The disk's number.
    pub disk: u64,
}

/// Whether a store takes part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreState {
    /// Takes new records and answers reads.
    Active,
    /// Is being drained: takes no new records, still answers reads.
    Retiring,
    /// All its records have enough replicas elsewhere. Final.
    Retired,
    /// Stopped, replaced or unresponsive for long; takes no part unless it registers again.
    #[serde(rename = "Away")]
    Unavailable,
}

impl StoreState {
    /// Whether a store may have records that are still needed, and answers reads.
    fn is_readable(self) -> bool {
        matches!(self, StoreState::Active | StoreState::Retiring)
    }
}

/// A registered store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreEntry {
    /// Machine and disk.
    pub id: StoreId,
    /// The address for calls.
    pub address: SocketAddrV4,
    /// The zone of the machine.
    pub zone: String,
    /// Whether it takes part.
    pub state: StoreState,
}

/// The stores that were active in an epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreEpoch {
    /// The epoch.
    pub epoch: u64,
    /// The stores that were active in it.
    pub active: Vec<StoreId>,
}

/// The result of an order to retire a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetireOutcome {
    /// The store is retiring, or is retired already.
    Started,
    /// No store of this machine is registered.
    UnknownStore,
    /// The store is unavailable, so that it can't be drained.
    Unavailable,
    /// Too few active stores would remain.
    TooFewRemaining,
}

impl Directory {
    /// The stores that take new records.
    pub fn active_stores(&self) -> impl Iterator<Item = &StoreEntry> {
        self.stores.iter().filter(|store| store.state == StoreState::Active)
    }

    /// The stores that may have records.
    pub fn readable_stores(&self) -> impl Iterator<Item = &StoreEntry> {
        self.stores.iter().filter(|store| store.state.is_readable())
    }

    /// The entry of this store.
    pub fn store(&self, id: &StoreId) -> Option<&StoreEntry> {
        self.stores.iter().find(|store| store.id == *id)
    }

    /// The state of the newest store on a machine.
    pub fn state_of_node(&self, node: &str) -> Option<StoreState> {
        self.stores.iter().rev().find(|store| store.id.node == node).map(|store| store.state)
    }

    /// Registers a store. Stores in `expired`, and an older disk of the same machine, become unavailable with
    /// the same change. Returns whether anything changed.
    pub fn register_store(&mut self, entry: &StoreEntry, expired: &[StoreId]) -> bool {
        if self.store(&entry.id).is_some_and(|known| !needs_registration(known, entry)) {
            return false;
        }
        let active_before = self.active_ids();
        for store in &mut self.stores {
            let is_replaced = store.id.node == entry.id.node && store.id.disk != entry.id.disk;
            let is_expired = expired.contains(&store.id) && store.id != entry.id;
            if store.state.is_readable() && (is_replaced || is_expired) {
                store.state = StoreState::Unavailable;
            }
        }
        // A retiring store that moved to another address is still retiring.
        let state = match self.store(&entry.id).map(|store| store.state) {
            Some(StoreState::Retiring) => StoreState::Retiring,
            _ => StoreState::Active,
        };
        self.stores.retain(|store| store.id != entry.id);
        self.stores.push(StoreEntry { state, ..entry.clone() });
        self.evict_removed_stores();
        self.start_store_epoch(active_before);
        true
    }

    /// Starts to retire the newest store on a machine; `min_remaining` active stores have to remain.
    pub fn start_retirement(&mut self, node: &str, min_remaining: usize) -> RetireOutcome {
        let Some(newest) = self.stores.iter().rposition(|store| store.id.node == node) else {
            return RetireOutcome::UnknownStore;
        };
        match self.stores[newest].state {
            StoreState::Retiring | StoreState::Retired => return RetireOutcome::Started,
            StoreState::Unavailable => return RetireOutcome::Unavailable,
            StoreState::Active => {}
        }
        if self.active_stores().count() <= min_remaining {
            return RetireOutcome::TooFewRemaining;
        }
        let active_before = self.active_ids();
        self.stores[newest].state = StoreState::Retiring;
        self.start_store_epoch(active_before);
        RetireOutcome::Started
    }

    /// Records that a retiring store is drained. `counted_epoch` is the epoch in which it counted the
    /// replicas elsewhere; the count is ignored unless that is the current one, since in an earlier epoch a
    /// store may have been counted that takes no part any longer. Returns whether anything changed.
    pub fn complete_retirement(&mut self, id: &StoreId, counted_epoch: u64) -> bool {
        if counted_epoch != self.store_epoch {
            return false;
        }
        let active_before = self.active_ids();
        let Some(store) = self.stores.iter_mut().find(|store| store.id == *id) else {
            return false;
        };
        if store.state != StoreState::Retiring {
            return false;
        }
        store.state = StoreState::Retired;
        self.start_store_epoch(active_before);
        true
    }

    /// Records that active stores have stopped or are unresponsive. Returns whether anything changed.
    pub fn mark_unavailable(&mut self, ids: &[StoreId]) -> bool {
        let active_before = self.active_ids();
        let mut changed = false;
        for store in &mut self.stores {
            if store.state == StoreState::Active && ids.contains(&store.id) {
                store.state = StoreState::Unavailable;
                changed = true;
            }
        }
        if changed {
            self.start_store_epoch(active_before);
        }
        changed
    }

    fn active_ids(&self) -> Vec<StoreId> {
        self.active_stores().map(|store| store.id.clone()).collect()
    }

    /// Removes the oldest entries beyond [`MAX_REMOVED_STORES`] that take no part.
    fn evict_removed_stores(&mut self) {
        let is_removed = |store: &StoreEntry| !store.state.is_readable();
        while self.stores.iter().filter(|store| is_removed(store)).count() > MAX_REMOVED_STORES {
            let oldest = self.stores.iter().position(is_removed).expect("there are more than the maximum");
            self.stores.remove(oldest);
        }
    }

    /// Starts the next epoch of the stores, after `active` were the active ones of the epoch that ends.
    fn start_store_epoch(&mut self, active: Vec<StoreId>) {
        self.earlier_store_epochs.push(StoreEpoch { epoch: self.store_epoch, active });
        let surplus = self.earlier_store_epochs.len().saturating_sub(MAX_REMEMBERED_STORE_EPOCHS);
        self.earlier_store_epochs.drain(..surplus);
        self.revision += 1;
        self.store_epoch += 1;
    }
}

/// Whether a registration of a known store changes its entry: it was unavailable, or has moved. A retired
/// store stays retired, as its records are no longer counted on.
fn needs_registration(known: &StoreEntry, entry: &StoreEntry) -> bool {
    let has_moved = known.address != entry.address || known.zone != entry.zone;
    match known.state {
        StoreState::Unavailable => true,
        StoreState::Retired => false,
        StoreState::Active | StoreState::Retiring => has_moved,
    }
}
