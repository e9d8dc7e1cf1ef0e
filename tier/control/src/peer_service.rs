//! Answers calls of other members.
//!
//! A call gets an answer only when what the answer promises is on this member's disk; a call without an
//! answer counts at the caller as one that was lost.

use crate::instance_liveness::apply_report;
use crate::member::Member;
use crate::messages::{MemberCall, MemberReply, SyncCall, SyncReply};
use crate::{commit_learner, membership_change};
use std::rc::Rc;

/// Answers another member, or a candidate for membership.
pub async fn answer(member: Rc<Member>, call: MemberCall) -> Option<MemberReply> {
    match call {
        MemberCall::Vote(request) => {
            member.refresh_quorum_contact();
            member.acceptor.vote(*request).await.map(MemberReply::Vote).ok()
        }
        MemberCall::Sync(call) => apply_sync(&member, call).await.map(MemberReply::Sync),
        // Safe from memory: a committed value only ever replaces an older one at the receiver.
        MemberCall::FetchCommitted => Some(MemberReply::Committed(member.committed().map(Box::new))),
        MemberCall::Join(candidate) => {
            membership_change::consider_candidate(&member, candidate);
            // Safe from memory: a committed group only ever replaces an older one at the receiver.
            Some(MemberReply::Members(member.group()))
        }
    }
}

/// Applies what another member sent. The reply acknowledges all of it, so tombstones are synced before.
async fn apply_sync(member: &Rc<Member>, call: SyncCall) -> Option<SyncReply> {
    member.learn_group(&call.group);
    let persisted = member.tombstones.persist(call.instances.iter()).await;
    member.replicated_view.change(|view| {
        let mut tracker = member.heartbeats.borrow_mut();
        let apply = |instance| apply_report(&mut tracker, view.instances_mut(), instance);
        let applied: Vec<bool> = call.instances.into_iter().map(apply).collect();
        applied.contains(&true)
    });
    if let Some(ballot) = call.committed_ballot
        && member.committed_ballot() < Some(ballot)
    {
        commit_learner::learn_from_accepted(member, ballot);
    }
    persisted.ok().map(|()| sync_reply(member))
}

fn sync_reply(member: &Member) -> SyncReply {
    SyncReply {
        member: member.id(),
        incarnation: member.incarnation,
        committed_ballot: member.committed_ballot(),
        group: member.group(),
        accepted_ballot: member.acceptor.accepted_ballot(),
        accepted_group: member.acceptor.accepted_group(),
    }
}
