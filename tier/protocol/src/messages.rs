//! Calls between the tier's processes, each of one request and one reply.
//!
//! Guarantees, against lost and repeated calls: every call is idempotent, so that a caller without a reply
//! repeats it. Calls that depend on the stores name the caller's epoch or the store that is meant, and are
//! rejected by another one.
//!
//! Calls are CBOR with field and variant names. A renamed field or variant keeps the name that processes of
//! other versions send.

use crate::directory::{Directory, StoreEntry, StoreId};
use crate::instance::Instance;
use crate::turns::{Reservation, TurnId, TurnRecord};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// A watch: a long poll that names what the caller has already.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchRequest {
    /// The revision of the caller's directory; 0 without one.
    pub directory_revision: u64,
    /// The version of the caller's configuration, whose bytes are left out of the update where it is still
    /// current.
    pub configuration_version: u64,
    /// The epoch of the control members that the caller knows; `None` where it knows none.
    #[serde(default)]
    pub members_epoch: Option<u64>,
    /// The process, by its incarnation, whose revisions `instances_revision` counts; 0 before the first
    /// update.
    pub source: u64,
    /// The revision up to which the caller has that source's instances. Another source sends all of its
    /// instances.
    pub instances_revision: u64,
    /// How long the callee may wait while nothing is new, in milliseconds.
    #[serde(rename = "hold_ms")]
    pub max_wait_ms: u64,
}

/// What is new to the caller of a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchUpdate {
    /// The directory, where it is newer; without the configuration's bytes where the caller has them.
    pub directory: Option<Directory>,
    /// The addresses of the control members.
    pub members: Vec<SocketAddrV4>,
    /// The epoch of their group.
    #[serde(default)]
    pub members_epoch: u64,
    /// The source that answers.
    pub source: u64,
    /// The source's revision up to which this reply has its instances.
    pub instances_revision: u64,
    /// Instances that changed after the revision of the request.
    pub instances: Vec<Instance>,
}

/// Calls to a control member, but for those of the register.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ControlCall {
    /// Answered with what is new, at once or as soon as something is.
    #[serde(rename = "Follow")]
    Watch(WatchRequest),
    /// Answered with what is new of the directory and the members, or [`ControlReply::Done`], once that is
    /// known to be as new as the call; [`ControlReply::NoQuorum`] where it can't be known in the longest wait.
    /// Processes of earlier versions close the connection.
    ReadLatest(WatchRequest),
    /// A store registers itself as active.
    #[serde(rename = "AnnounceStore")]
    RegisterStore(StoreEntry),
    /// A store is about to shut down.
    #[serde(rename = "StoreLeaves")]
    StoreStopping(StoreId),
    /// A retiring store has replicated all its turns elsewhere.
    #[serde(rename = "StoreEmptied")]
    StoreDrained {
        /// The store.
        id: StoreId,
        /// The epoch of the stores in which it counted the replicas elsewhere.
        epoch: u64,
    },
}

/// Replies to [`ControlCall`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ControlReply {
    /// What is new.
    #[serde(rename = "News")]
    Update(Box<WatchUpdate>),
    /// Done; of a watch: nothing is new.
    Done,
    /// The member's contact with a quorum is not fresh, so that its state may be stale and is not sent.
    #[serde(rename = "OutOfTouch")]
    NoQuorum,
}

/// Calls to a store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StoreCall {
    /// Asks whether the store is reachable.
    Ping,
    /// Stores these turns.
    PutTurns {
        /// The caller's epoch of the stores.
        epoch: u64,
        /// The turns.
        turns: Vec<TurnRecord>,
    },
    /// Asks for a turn and those before it in its chain, as far as the store has them.
    FetchChain {
        /// The newest turn wanted.
        id: TurnId,
    },
    /// Asks which of these turns the store does not have.
    #[serde(rename = "Missing")]
    FindMissingTurns {
        /// The store that is meant: a process with another disk at its address must not answer for it.
        callee: StoreId,
        /// The turns' ids.
        ids: Vec<TurnId>,
    },
    /// Reserves tokens of a program's budget, and asks for the reservations of its other attempts.
    Reserve {
        /// The caller's epoch of the stores.
        epoch: u64,
        /// The program.
        program: String,
        /// The reservation; `None` to read only.
        reservation: Option<Reservation>,
    },
    /// Replaces an attempt's reservation with the tokens that it used.
    Settle {
        /// The program.
        program: String,
        /// The settled reservation.
        reservation: Reservation,
    },
    /// Asks for the budgets. The callee rejects reservations of older epochs from here on (fencing), so that
    /// the caller misses none.
    PullBudgets {
        /// The caller.
        caller: StoreId,
        /// The store that is meant: a machine that lost its disk must not answer for the one it had.
        callee: StoreId,
        /// The caller's epoch of the stores.
        epoch: u64,
        /// The position up to which the caller has the callee's budgets.
        #[serde(rename = "has")]
        position: BudgetsPosition,
    },
}

/// The position up to which a store has merged another one's budgets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetsPosition {
    /// The incarnation of the other store's process that `revision` counts in.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The last change that was merged.
    pub revision: u64,
}

/// Replies to [`StoreCall`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StoreReply {
    /// Done, and durable where the call writes.
    Done,
    /// Turns, newest first.
    Chain(Vec<TurnRecord>),
    /// The store does not have the turn.
    #[serde(rename = "NoTurn")]
    TurnNotFound {
        /// Whether it certainly never had it, as its disk has lost nothing for as long as turns are retained.
        certain: bool,
    },
    /// The turns that the store does not have.
    MissingTurns(Vec<TurnId>),
    /// The reservations of the program's attempts.
    Reservations(Vec<Reservation>),
    /// The store's budgets, without those that the caller has.
    Budgets {
        /// The epoch through which they are complete.
        #[serde(rename = "whole_epoch")]
        complete_epoch: u64,
        /// The position up to which this reply has the store's budgets.
        position: BudgetsPosition,
        /// Programs with the reservations of their attempts.
        programs: Vec<(String, Vec<Reservation>)>,
    },
    /// The caller's epoch of the stores is not this store's; a newer directory is needed on one side.
    #[serde(rename = "OtherEpoch")]
    EpochMismatch {
        /// The store's epoch.
        epoch: u64,
    },
    /// No space on the disk, or the write failed.
    #[serde(rename = "Full")]
    OutOfSpace,
    /// The store has not caught up yet, and can't answer this call.
    NotReady,
}
