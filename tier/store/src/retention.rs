//! Removes what has expired, and rewrites what is needed before the ring overwrites it.
//!
//! Guarantees that a generation is released only once every record in it that is still needed is synced in a
//! newer one. Where that fails, the generation is not released: writes fail with a full ring rather than lose
//! a record.

use crate::disk::all_written;
use crate::record::Record;
use crate::state::{CompleteEpoch, Store};
use crate::writes::{store_turns, write_budgets};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// The time between two removals of what has expired.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// Runs until the writer ends. A rewrite is finished before the next event is looked at.
pub async fn run(store: Rc<Store>, mut overwritten_next: mpsc::UnboundedReceiver<u64>) {
    loop {
        tokio::select! {
            biased;
            () = tokio::time::sleep(EXPIRY_INTERVAL) => {
                let now = store.now();
                store.turns.borrow_mut().remove_expired(now);
                store.budgets.borrow_mut().remove_expired(now);
            }
            generation = overwritten_next.recv() => match generation {
                Some(generation) => rewrite_generation(&store, generation).await,
                None => return,
            },
        }
    }
}

/// Rewrites what is needed of a generation, and releases it. The table of turns knows each one's
/// generation; budgets and the single records are small, and all of them are rewritten.
async fn rewrite_generation(store: &Rc<Store>, generation: u64) {
    let now = store.now();
    store.turns.borrow_mut().remove_expired(now);
    let needed = store.turns.borrow().in_generation(now, generation);
    let turns_written = store_turns(store, needed).await;
    let budgets = store.budgets.borrow().all();
    let mut writes = write_budgets(&store.disk, budgets);
    for record in single_records(store) {
        writes.push(store.disk.write(&record));
    }
    if all_written(writes).await && turns_written {
        store.disk.release(generation);
    }
}

/// The records of which only the newest one counts.
fn single_records(store: &Store) -> [Record; 3] {
    let CompleteEpoch { epoch, active } = store.complete_epoch.borrow().clone();
    let disk = Record::Disk {
        number: store.disk_number,
        has_full_history: store.has_full_history(),
        created_ms: store.environment.wall_clock_ms(),
    };
    [Record::Epoch { epoch, active }, Record::Fence { epoch: store.fenced_epoch.get() }, disk]
}
