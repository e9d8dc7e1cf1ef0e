//! The calls between control members, and their replies.
//!
//! They are CBOR with the names of fields and variants. A renamed one keeps its written name, so that members
//! of the release before still understand it; a golden file records the bytes.

use pointcross_tier_protocol::{Directory, Instance};
use pointcross_tier_register::{AcceptorReply, AcceptorRequest, Ballot, Group, MemberId, Value};
use serde::{Deserialize, Serialize};

/// What a member sends another several times a second.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncCall {
    /// The newest ballot known to be committed.
    #[serde(rename = "in_force_ballot")]
    pub committed_ballot: Option<Ballot>,
    /// The newest group known to be committed.
    pub group: Group,
    /// The instances that have changed since the last acknowledged revision.
    pub instances: Vec<Instance>,
}

/// The answer to a [`SyncCall`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncReply {
    /// The process that answers: its address and its disk.
    pub member: MemberId,
    /// The receiver's incarnation; a new one is sent all instances.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The newest ballot known to be committed.
    #[serde(rename = "in_force_ballot")]
    pub committed_ballot: Option<Ballot>,
    /// The newest group known to be committed.
    pub group: Group,
    /// The ballot of the value that was accepted last.
    pub accepted_ballot: Option<Ballot>,
    /// The group of that value.
    pub accepted_group: Option<Group>,
}

/// Calls between control members.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum MemberCall {
    /// A prepare or accept request of the register.
    Vote(Box<AcceptorRequest<Directory>>),
    /// Sends what has changed.
    Sync(SyncCall),
    /// Asks for the newest committed value.
    #[serde(rename = "Fetch")]
    FetchCommitted,
    /// A process that is not a member asks to become one.
    Join(MemberId),
}

/// Replies to [`MemberCall`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum MemberReply {
    /// The acceptor's reply.
    Vote(AcceptorReply<Directory>),
    /// Acknowledges what was sent, with the receiver's state.
    Sync(SyncReply),
    /// The newest committed value.
    #[serde(rename = "InForce")]
    Committed(Option<Box<(Ballot, Value<Directory>)>>),
    /// The newest committed group.
    Members(Group),
}
