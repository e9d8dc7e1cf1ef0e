//! The commands of the replicated log and the reasons for which one is rejected.
//!
//! They are written into the log and sent between schedulers; the written names are those that `serde` gives
//! here. The names of [`Command`] also stand in the log lines and in the steps that the model checker prints.

use super::machine::Machine;
use super::plan::{DrainPhase, MAX_MACHINES};
use serde::{Deserialize, Serialize};

/// A change to the plan.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Operators request that machines be drained. Idempotent: a machine whose drain is not over is left as
    /// it is.
    Ask {
        /// The machines, in the order in which they are to be drained.
        machines: Vec<Machine>,
        /// Time of the request, Unix milliseconds.
        now: u64,
    },
    /// Operators have finished their work on a machine. Where its drain has not begun, the request is
    /// withdrawn.
    Done {
        /// The machine.
        machine: Machine,
        /// Time of the message, Unix milliseconds.
        now: u64,
    },
    /// A scheduler acquires the lease, or extends the one it holds.
    Claim {
        /// The scheduler's name.
        holder: String,
        /// The scheduler's incarnation.
        life: u64,
        /// Time of the claim, Unix milliseconds.
        now: u64,
        /// Duration of the lease, in milliseconds.
        lasts: u64,
    },
    /// The lease holder moves a machine to its next phase.
    Move {
        /// The epoch of the lease under which this was decided: the fencing token.
        epoch: u64,
        /// The machine.
        machine: Machine,
        /// The round that this ends.
        round: u64,
        /// The phase to enter.
        to: DrainPhase,
        /// Time of the decision, Unix milliseconds.
        now: u64,
    },
    /// A scheduler has done what the machine's phase requires of it.
    Confirm {
        /// The scheduler's name.
        by: String,
        /// The machine.
        machine: Machine,
        /// The round that is confirmed.
        round: u64,
    },
}

/// Why a command changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum CommandRejected {
    /// Another scheduler, or another incarnation of this one, holds a valid lease.
    #[error("the lease is held by {holder} until {until}")]
    #[serde(rename = "held")]
    LeaseHeldByOther {
        /// The holder's name.
        holder: String,
        /// Expiry, Unix milliseconds.
        until: u64,
    },
    /// Decided under a lease that is not the latest one.
    #[error("decided under epoch {epoch}; it is {current} by now")]
    #[serde(rename = "old_epoch")]
    StaleEpoch {
        /// The command's epoch.
        epoch: u64,
        /// The epoch of the plan's lease; 0 before the first one.
        #[serde(rename = "now")]
        current: u64,
    },
    /// The machine is not in the plan.
    #[error("{0} is not in the plan")]
    #[serde(rename = "unknown")]
    UnknownMachine(String),
    /// The machine is in another round, or in a phase that needs no confirmation.
    #[error("{0} is in another round")]
    #[serde(rename = "moved")]
    StaleRound(String),
    /// The phase wanted does not follow the machine's current one.
    #[error("{0} cannot go to that stage now")]
    #[serde(rename = "stage")]
    InvalidTransition(String),
    /// The plan has reached [`MAX_MACHINES`], and none of them is back.
    #[error("the plan holds {MAX_MACHINES} machines that are not back")]
    #[serde(rename = "full")]
    PlanFull,
}

/// Whether commands are checked against the epoch of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fencing {
    /// They are.
    Fenced,
    /// They are not. For the model checker only: it shows what fencing prevents.
    Unfenced,
}
