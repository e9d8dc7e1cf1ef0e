//! Writes of turns and budgets to the store's disk.
//!
//! Guarantees that a turn is in the table only once its record is synced, so that no turn is served that a
//! loss of power may take back.

use crate::disk::{Disk, PendingWrite};
use crate::record::Record;
use crate::state::Store;
use pointcross_tier_protocol::turns::TurnRecord;
use pointcross_tier_sessions::ProgramReservations;

/// Writes turns to the disk and adds those that are synced to the table. Returns whether all are.
///
/// All records are submitted before the first one is waited for, so that they share a sync.
pub async fn store_turns(store: &Store, turns: Vec<TurnRecord>) -> bool {
    let written_ms = store.environment.wall_clock_ms();
    let mut writes = Vec::with_capacity(turns.len());
    for turn in turns {
        let record = Record::Turn { turn, written_ms };
        let write = store.disk.write(&record);
        let Record::Turn { turn, .. } = record else { continue };
        writes.push((turn, write));
    }
    let mut all_written = true;
    for (turn, write) in writes {
        match write.finish().await {
            Ok(location) => {
                let now = store.now();
                store.turns.borrow_mut().insert(now, turn, location.generation);
            }
            Err(_) => all_written = false,
        }
    }
    all_written
}

/// Submits a record for each reservation, in the given order.
pub fn write_budgets(disk: &Disk, budgets: Vec<ProgramReservations>) -> Vec<PendingWrite> {
    let mut writes = Vec::new();
    for (program, reservations) in budgets {
        for reservation in reservations {
            writes.push(disk.write(&Record::Budget { program: program.clone(), reservation }));
        }
    }
    writes
}
