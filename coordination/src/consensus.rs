//! One order of commands for all schedulers: Raft (Ongaro and Ousterhout 2014) by `openraft`.
//!
//! Guarantees that every scheduler applies the same commands in the same order, and that no scheduler votes
//! twice in a term or loses an acknowledged entry when its process or machine crashes. Progress needs a
//! majority of the schedulers.
//!
//! [`storage`] keeps log, vote and snapshot in the file of [`state_file`]; [`network`] calls the other
//! members by [`crate::wire`].

pub mod network;
pub mod state_file;
pub mod storage;

use crate::maintenance::decide::{Command, CommandRejected};
use serde::{Deserialize, Serialize};
use std::io::Cursor;

/// A snapshot is taken each time so many commands have been committed, and the log is cut behind it.
pub const SNAPSHOT_INTERVAL: u64 = 256;

/// The result of a committed command, at each scheduler.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Applied {
    /// Why the command changed nothing; `None` where it took effect.
    #[serde(rename = "refused")]
    pub rejection: Option<CommandRejected>,
}

openraft::declare_raft_types!(
    /// The types of the consensus log.
    pub TypeConfig:
        D = Command,
        R = Applied,
);

/// A member of the consensus.
pub type Raft = openraft::Raft<TypeConfig>;
