//! Reads a store's state back from its disk.
//!
//! Guarantees that a store has after a restart all that it acknowledged before: turns that have not expired,
//! reservations, the fence and the epoch for which its budgets are complete. A store without a disk record
//! has a new disk, and may lack turns of an earlier one.

use crate::disk::{Disk, OpenedDisk, StoredRecord};
use crate::record::Record;
use crate::state::{CompleteEpoch, Store};
use log::{info, warn};
use pointcross_tier_protocol::Settings;
use pointcross_tier_protocol::turns::TurnRecord;
use pointcross_tier_runtime::environment::Environment;
use pointcross_tier_runtime::random;
use pointcross_tier_runtime::role::{RoleError, SettingsSnafu, StorageSnafu};
use pointcross_tier_sessions::history;
use snafu::ResultExt;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// The wall clock may jump between two starts; turns are retained for this much longer than it says.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(10);

/// A store whose state is read back.
pub struct RecoveredStore {
    /// The store.
    pub store: Rc<Store>,
    /// The generations that the ring overwrites next; see [`OpenedDisk::overwritten_next`].
    pub overwritten_next: mpsc::UnboundedReceiver<u64>,
}

/// Opens the data folder and recovers the store in it.
pub fn open(settings: Settings, environment: Environment) -> Result<RecoveredStore, RoleError> {
    let folder = settings.data_folder("store").context(SettingsSnafu)?.join("store");
    let OpenedDisk { disk, records, overwritten_next } =
        Disk::open(&folder, settings.limits.disk_mb, &environment).context(StorageSnafu)?;
    let mut store = Store::new(settings, environment, disk);
    replay(&mut store, records);
    if store.disk_number == 0 {
        initialize_disk(&mut store);
    }
    info!(
        "store opened: store={} disk={:x} turns={} programs={}",
        store.settings.node,
        store.disk_number,
        store.turns.borrow().len(),
        store.budgets.borrow().len()
    );
    let missing = store.turns.borrow().missing_predecessors();
    if !missing.is_empty() {
        warn!("chains incomplete: store={} missing={}", store.settings.node, missing.len());
    }
    Ok(RecoveredStore { store: Rc::new(store), overwritten_next })
}

/// Applies the records, oldest first: of the same kind, the newest one counts.
fn replay(store: &mut Store, records: Vec<StoredRecord>) {
    let now = store.now();
    let wall_clock_ms = store.environment.wall_clock_ms();
    for StoredRecord { generation, record } in records {
        match record {
            Record::Disk { number, has_full_history, created_ms } => {
                store.disk_number = number;
                set_uncertain_period(store, has_full_history, created_ms);
            }
            Record::Turn { mut turn, written_ms } => {
                let age_ms = wall_clock_ms.saturating_sub(written_ms);
                turn.retention_ms = remaining_retention_ms(&turn, age_ms);
                store.turns.borrow_mut().insert(now, turn, generation);
            }
            Record::Budget { program, reservation } => {
                store.budgets.borrow_mut().merge(now, &program, &reservation);
            }
            Record::Fence { epoch } => store.fence(epoch),
            Record::Epoch { epoch, active } => {
                *store.complete_epoch.borrow_mut() = CompleteEpoch { epoch, active };
            }
        }
    }
}

fn remaining_retention_ms(turn: &TurnRecord, age_ms: u64) -> u64 {
    (turn.retention_ms + CLOCK_TOLERANCE.as_millis() as u64).saturating_sub(age_ms)
}

/// Gives a new disk its number. The record is not waited for: a store that fails before it is synced has
/// acknowledged nothing, and starts with another new disk.
fn initialize_disk(store: &mut Store) {
    store.disk_number = random::unique();
    let has_full_history = store.settings.bootstrap;
    let created_ms = store.environment.wall_clock_ms();
    store.disk.write(&Record::Disk { number: store.disk_number, has_full_history, created_ms }).detach();
    set_uncertain_period(store, has_full_history, created_ms);
}

fn set_uncertain_period(store: &Store, has_full_history: bool, created_ms: u64) {
    let disk_age = Duration::from_millis(store.environment.wall_clock_ms().saturating_sub(created_ms));
    store.uncertain_until.set(history::uncertain_until(has_full_history, disk_age, store.now()));
}
