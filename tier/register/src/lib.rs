//! A compare-and-swap register that is replicated on a few members, as in CASPaxos (Rystsov, *CASPaxos:
//! Replicated State Machines without logs*, 2018, section 2): each change is one run of the synod algorithm
//! (Lamport, *Paxos Made Simple*, 2001, section 2.2) whose value is computed from the one that its first
//! phase reads. There is no log and no leader; any member proposes.
//!
//! Guarantees, against crashes, lost disks of a minority, and messages that are lost, delayed, duplicated or
//! reordered:
//! - A committed value is the base of every later change.
//! - Of two changes made to the same value, at most one is committed.
//! - A member that lost its disk never votes under the id of that disk: see [`MemberId`].
//!
//! Changes complete only while a majority of the members has its disks and can be reached, and no other
//! proposer preempts them; safety does not depend on time.
//!
//! # Changes of the members
//!
//! Members are replaced one at a time, by a change of the register itself. A [`Value`] carries the group that
//! votes on it and the committed group before it. Until the newer group is known to be committed, every
//! proposal needs majorities of both (joint majorities: Ongaro, *Consensus: Bridging Theory and Practice*,
//! 2014, section 4.3; its counterpart for CASPaxos is in section 2 of that paper).
//!
//! # Use
//!
//! [`Acceptor`] and [`Proposal`] are pure: requests and replies go in; messages, records to write and
//! outcomes come out. There is no clock: the caller turns timeouts into [`Proposal::handle_failure`]. A
//! proposal that is dropped is undecided, as one that ended with [`Outcome::NoQuorum`].
#![warn(missing_docs)]

mod acceptor;
mod ballot;
mod group;
mod proposal;

pub use acceptor::{Acceptor, AcceptorOutput, AcceptorReply, AcceptorRequest, DurableRecord};
pub use ballot::Ballot;
pub use group::{Group, MemberId};
pub use proposal::{OutboundMessage, Outcome, Proposal, Step};

/// The register's content, with the group that votes on it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Value<T> {
    /// The group that votes on this value.
    pub group: Group,
    /// The group before it, which was committed; equal to `group` once that is known to be committed.
    pub previous_group: Group,
    /// The state.
    pub state: T,
}
