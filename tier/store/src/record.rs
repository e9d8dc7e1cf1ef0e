//! The records of a store's ring, written as CBOR with the names given here by `serde`.
//!
//! The format is described in `docs/formats/storage.md`. Stores of earlier versions have written these
//! records: a written name never changes.

use pointcross_tier_protocol::StoreId;
use pointcross_tier_protocol::turns::{Reservation, TurnRecord};
use serde::{Deserialize, Serialize};

/// A record on the disk. Times are milliseconds of the wall clock.
#[derive(Debug, Serialize, Deserialize)]
pub enum Record {
    /// Identifies the disk; the newest one counts.
    Disk {
        /// The disk's number, drawn when the ring was made.
        number: u64,
        /// No turn that may still be asked for was lost with an earlier disk of this store.
        #[serde(rename = "first")]
        has_full_history: bool,
        /// When this record was written.
        #[serde(rename = "made_ms")]
        created_ms: u64,
    },
    /// A turn.
    Turn {
        /// The turn. Its retention counts from `written_ms`.
        turn: TurnRecord,
        /// When it was written.
        written_ms: u64,
    },
    /// An attempt's reservation of its program's budget, or its settlement.
    Budget {
        /// The program.
        program: String,
        /// The attempt's reservation.
        reservation: Reservation,
    },
    /// The budgets were sent to another store for this epoch: no reservation is accepted in earlier ones.
    Fence {
        /// The epoch.
        epoch: u64,
    },
    /// The budgets are complete for this epoch.
    Epoch {
        /// The epoch.
        epoch: u64,
        /// The stores that were active in it.
        active: Vec<StoreId>,
    },
}
