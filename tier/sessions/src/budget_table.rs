//! One store's reservations of token budgets, by program and attempt.
//!
//! Guarantees that copies of a table converge: reservations may be merged in any order and more than once. A
//! settled reservation replaces the unsettled one of the same attempt and is never replaced itself, so that a
//! late or repeated message can't reopen an attempt that has ended.

use pointcross_tier_protocol::turns::Reservation;
use std::collections::BTreeMap;
use std::time::Duration;

/// The budget of a program is dropped when no reservation of it was merged for this long.
pub const BUDGET_RETENTION: Duration = Duration::from_secs(600);
/// The largest number of programs in a table; beyond it no new program is accepted.
pub const MAX_PROGRAMS: usize = 400_000;

/// All reservations of one program, in the order of the attempts' names.
pub type ProgramReservations = (String, Vec<Reservation>);

/// What merging a reservation into a [`BudgetTable`] did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The table has changed: the attempt was unknown, or is settled now.
    Changed,
    /// The table had the same or a later state of the attempt.
    Unchanged,
    /// The program is unknown and the table holds `MAX_PROGRAMS` already: nothing was merged.
    OutOfSpace,
}

#[derive(Clone, Copy, Debug)]
struct AttemptState {
    tokens: u64,
    settled: bool,
}

#[derive(Clone, Debug, Default)]
struct ProgramBudget {
    attempts: BTreeMap<String, AttemptState>,
    /// When a reservation was last merged, whether or not it changed anything.
    last_merged_at: Duration,
    /// The table's revision at the last change.
    revision: u64,
}

/// Reservations by program and attempt; see the module for how tables merge.
#[derive(Clone, Debug, Default)]
pub struct BudgetTable {
    programs: BTreeMap<String, ProgramBudget>,
    revision: u64,
}

impl BudgetTable {
    /// Merges a reservation of `program` at `now`, and renews the program's retention.
    pub fn merge(&mut self, now: Duration, program: &str, reservation: &Reservation) -> MergeOutcome {
        if !self.programs.contains_key(program) {
            if self.programs.len() >= MAX_PROGRAMS {
                return MergeOutcome::OutOfSpace;
            }
            self.programs.insert(program.to_owned(), ProgramBudget::default());
        }
        let budget = self.programs.get_mut(program).expect("inserted above");
        budget.last_merged_at = now;
        let is_known = budget
            .attempts
            .get(&reservation.attempt)
            .is_some_and(|known| known.settled || !reservation.settled);
        if is_known {
            return MergeOutcome::Unchanged;
        }
        let state = AttemptState { tokens: reservation.tokens, settled: reservation.settled };
        budget.attempts.insert(reservation.attempt.clone(), state);
        self.revision += 1;
        budget.revision = self.revision;
        MergeOutcome::Changed
    }

    /// The reservations of a program; empty where the program is unknown.
    pub fn reservations(&self, program: &str) -> Vec<Reservation> {
        self.programs.get(program).map_or_else(Vec::new, ProgramBudget::reservations)
    }

    /// The reservations of all programs, in the order of the programs' names.
    pub fn all(&self) -> Vec<ProgramReservations> {
        self.programs.iter().map(|(name, program)| (name.clone(), program.reservations())).collect()
    }

    /// The number of changes so far.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// All reservations of the programs that changed after this revision.
    pub fn changed_since(&self, revision: u64) -> Vec<ProgramReservations> {
        let changed = self.programs.iter().filter(|(_, program)| program.revision > revision);
        changed.map(|(name, program)| (name.clone(), program.reservations())).collect()
    }

    /// Drops the programs of which no reservation was merged for [`BUDGET_RETENTION`].
    pub fn remove_expired(&mut self, now: Duration) {
        self.programs.retain(|_, program| now.saturating_sub(program.last_merged_at) < BUDGET_RETENTION);
    }

    /// The number of programs.
    pub fn len(&self) -> usize {
        self.programs.len()
    }

    /// Whether the table has no program.
    pub fn is_empty(&self) -> bool {
        self.programs.is_empty()
    }
}

impl ProgramBudget {
    fn reservations(&self) -> Vec<Reservation> {
        let reservation = |(attempt, state): (&String, &AttemptState)| Reservation {
            attempt: attempt.clone(),
            tokens: state.tokens,
            settled: state.settled,
        };
        self.attempts.iter().map(reservation).collect()
    }
}
