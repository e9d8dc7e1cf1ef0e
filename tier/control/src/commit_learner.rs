//! Learning which value is committed from other members.
//!
//! Guarantees that the committed value known here only moves to higher ballots, and only to values that a
//! member has seen accepted by the majorities that are needed.

use crate::member::Member;
use crate::messages::{MemberCall, MemberReply, SyncReply};
use pointcross_tier_register::Ballot;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

/// How long fetching the committed value may take: it may be a few MB long, and come from another region.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Learns the value that this member has accepted itself, where its ballot is the committed one.
pub fn learn_from_accepted(member: &Member, ballot: Ballot) {
    if member.acceptor.accepted_ballot() == Some(ballot)
        && let Some((ballot, value)) = member.acceptor.accepted()
    {
        member.learn_committed(ballot, value);
    }
}

/// Learns from a member's reply, and fetches the committed value where it is newer than the one known here.
pub async fn learn_from_reply(member: &Rc<Member>, address: SocketAddrV4, reply: &SyncReply) {
    let Some(ballot) = reply.committed_ballot.filter(|ballot| member.committed_ballot() < Some(*ballot))
    else {
        return;
    };
    learn_from_accepted(member, ballot);
    if member.committed_ballot() >= Some(ballot) {
        return;
    }
    let fetched = member.peer(address).call(&MemberCall::FetchCommitted, FETCH_TIMEOUT).await;
    if let Ok(MemberReply::Committed(Some(newest))) = fetched {
        let (ballot, value) = *newest;
        member.learn_committed(ballot, value.clone());
        member.acceptor.accept_committed(ballot, value);
    }
}
