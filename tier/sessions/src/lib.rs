//! The turns of programs and their token budgets, without I/O and clock: times are passed in.
//!
//! - [`TurnTable`] has the turns of one store until they expire.
//! - [`BudgetTable`] has what each program's attempts reserved and used; tables merge without agreement.
//! - [`placement`] ranks the stores for a chain or a program.
//! - [`turn_transfer`] decides which calls store a turn with its chain on one store.
//! - [`replication`] decides which turns need repair and which stores they are sent to.
//! - [`history`] says whether a store may have lost turns with an earlier disk.
//! - [`epochs`] says when a store may serve budgets after a change of the stores.
//! - [`budget`] decides on a reservation from the answers of a majority of stores.
#![warn(missing_docs)]

pub mod budget;
mod budget_table;
pub mod epochs;
pub mod history;
pub mod placement;
pub mod replication;
mod turn_table;
pub mod turn_transfer;

pub use budget_table::{BUDGET_RETENTION, BudgetTable, MAX_PROGRAMS, MergeOutcome, ProgramReservations};
pub use turn_table::{StoredTurn, TurnTable};
