//! What the decisions want done: list updates, snapshot changes, log events, admissions.

use super::node::{EjectionReason, SavedNode};
use pointcross_core::Member;
use pointcross_core::decide::ListKind;

/// A change to the snapshot.
#[derive(Clone, Debug, PartialEq)]
pub enum SnapshotChange {
    /// A node, new or changed.
    Node(SavedNode),
    /// A node was removed.
    Removed(String),
    /// The list as a whole was confirmed, at this version.
    List {
        /// The version.
        revision: u64,
    },
}

/// An update of the core's node list.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// Full, changes or cached.
    pub kind: ListKind,
    /// The entries.
    pub members: Vec<Member>,
}

/// The effects of a decision, for the driver to apply.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Effects {
    /// For the core.
    pub list: Option<Listing>,
    /// For the snapshot.
    pub snapshot_changes: Vec<SnapshotChange>,
    /// Discovery is to be asked for its full list.
    pub request_full_list: bool,
    /// For the log.
    pub events: Vec<MembershipEvent>,
}

/// An event for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    /// A node was ejected.
    Ejected {
        /// Its id.
        node: String,
        /// Why.
        why: EjectionReason,
        /// For how long, in milliseconds.
        wait: f64,
    },
    /// An unlisted node has answered.
    Verified(String),
    /// Discovery's empty list is ignored: so many nodes answer.
    EmptyListIgnored(usize),
    /// Discovery's list has an older version than the current one, and is accepted.
    OlderListAccepted {
        /// The current version.
        current: u64,
        /// The accepted version.
        accepted: u64,
    },
}

/// Whether a request may go to the module.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// Without a limit.
    Unrestricted,
    /// Counted at this node until [`super::Membership::released`].
    Counted {
        /// Its id.
        node: String,
        /// Time-out of an attempt, in milliseconds.
        limit: Option<f64>,
    },
    /// Refused for now.
    Refused {
        /// How long the client should stay away, in milliseconds.
        retry_after: f64,
    },
}
