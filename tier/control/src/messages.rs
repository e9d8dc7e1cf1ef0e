//! Calls between control members.

use crate::member::Member;
use crate::{joining, sync};
use pointcross_tier_protocol::{Directory, Instance};
use pointcross_tier_register::{AcceptorReply, AcceptorRequest, Ballot, Group, MemberId, Value};
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// What a member tells another, many times a second.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncCall {
    /// The sender's life, so that a restart is noticed.
    pub source: u64,
    /// The newest ballot known to be in force.
    pub in_force_ballot: Option<Ballot>,
    /// The newest group known to be in force.
    pub group: Group,
    /// What changed of instances.
    pub instances: Vec<Instance>,
}

/// The answer to a [`SyncCall`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncReply {
    /// The receiver's life; all instances are told again to a new one.
    pub source: u64,
    /// The newest ballot known to be in force.
    pub in_force_ballot: Option<Ballot>,
    /// The newest group known to be in force.
    pub group: Group,
}

/// Calls between control members.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum MemberCall {
    /// A vote.
    Vote(AcceptorRequest<Directory>),
    /// What is new.
    Sync(SyncCall),
    /// The newest value in force.
    Fetch,
    /// A process that is no member would be one.
    Join(MemberId),
}

/// Replies to [`MemberCall`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum MemberReply {
    /// A vote.
    Vote(AcceptorReply<Directory>),
    /// What is new here.
    Sync(SyncReply),
    /// The newest value in force.
    InForce(Option<Box<(Ballot, Value<Directory>)>>),
    /// The members in force.
    Members(Group),
}

/// Answers another member.
pub async fn answer(member: Rc<Member>, call: MemberCall) -> Option<MemberReply> {
    match call {
        MemberCall::Vote(request) => member.voter.vote(request).await.map(MemberReply::Vote),
        MemberCall::Sync(call) => Some(MemberReply::Sync(sync::take_in(&member, call))),
        MemberCall::Fetch => Some(MemberReply::InForce(member.in_force().map(Box::new))),
        MemberCall::Join(candidate) => {
            joining::consider(&member, candidate);
            Some(MemberReply::Members(member.group()))
        }
    }
}
