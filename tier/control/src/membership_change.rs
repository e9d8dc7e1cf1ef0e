//! Changes of the control plane's members: a process that is no member asks to become one and takes the place
//! of one that has failed.
//!
//! The new group is committed through the register like any other value, so that no two groups vote side by
//! side.

use crate::admission::{Admission, decide_admission};
use crate::member::Member;
use crate::messages::{MemberCall, MemberReply};
use crate::proposer::{self, Committed, Decided, Decision, ReadValue};
use log::info;
use pointcross_tier_register::{Group, MemberId};
use pointcross_tier_runtime::watch::Seeds;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// The time between two rounds of requests to join.
const JOIN_INTERVAL: Duration = Duration::from_millis(250);
/// How long an answer to a request may take.
const JOIN_TIMEOUT: Duration = Duration::from_millis(400);
/// A member may be replaced once calls to it have failed for so long; the first of them takes up to 0.4 s to
/// fail. A restart takes about a second.
const REPLACEMENT_DELAY: Duration = Duration::from_millis(1200);
/// How long committing a change of members may take.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(3);

/// Asks the members and the seeds to admit this process, whenever it is no member. Runs until cancelled.
pub async fn request_membership(member: Rc<Member>, seeds: Seeds) {
    loop {
        tokio::time::sleep(JOIN_INTERVAL).await;
        if member.is_member() {
            continue;
        }
        let own_id = member.id();
        let addresses = join_addresses(&member.group(), &seeds.borrow(), own_id.address);
        for address in addresses {
            let reply = member.peer(address).call(&MemberCall::Join(own_id), JOIN_TIMEOUT).await;
            if let Ok(MemberReply::Members(group)) = reply {
                member.learn_group(&group);
            }
        }
    }
}

/// The addresses to ask, in order, each once.
fn join_addresses(group: &Group, seeds: &[SocketAddrV4], own_address: SocketAddrV4) -> Vec<SocketAddrV4> {
    let members = group.members.iter().map(|other| other.address);
    let mut addresses: Vec<SocketAddrV4> = members.chain(seeds.iter().copied()).collect();
    addresses.sort();
    addresses.dedup();
    addresses.retain(|address| *address != own_address);
    addresses
}

/// Starts a change of members where a candidate makes one due. The change runs in a detached task: the
/// candidate isn't kept waiting, it learns of the outcome by its next request. At most one runs at a time.
pub fn consider_candidate(member: &Rc<Member>, candidate: MemberId) {
    if !member.is_member() || !member.has_fresh_quorum() || member.membership_change_running.get() {
        return;
    }
    let wanted = member.settings.fault_tolerance.members();
    let unreachable = member.unreachable_members(REPLACEMENT_DELAY);
    let admission = decide_admission(&member.group(), candidate, &unreachable, wanted);
    if admission == Admission::Wait {
        return;
    }
    member.membership_change_running.set(true);
    let member = member.clone();
    spawn_local(async move {
        commit_change(&member, candidate, admission).await;
        member.membership_change_running.set(false);
    });
}

async fn commit_change(member: &Rc<Member>, candidate: MemberId, admission: Admission) {
    let expected_group = member.group();
    let deadline = Instant::now() + CHANGE_TIMEOUT;
    let changed = proposer::change(member, deadline, |ReadValue { value, may_change_group }| {
        // Another member may have made this change, or one that makes this one wrong.
        if !may_change_group || value.group != expected_group {
            return Decided { decision: Decision::Keep, result: false };
        }
        let leaving = match admission {
            Admission::Replace(leaving) => Some(leaving),
            Admission::Add | Admission::Wait => None,
        };
        let mut new = value.clone();
        new.group = value.group.changed(leaving, Some(candidate));
        Decided { decision: Decision::Write(Box::new(new)), result: true }
    });
    match changed.await {
        Ok(Committed { result: true, value }) => {
            info!("member admitted: member={candidate:?} members={:?}", value.group.members);
        }
        Ok(Committed { result: false, .. }) => {}
        Err(undecided) => info!("member not admitted: member={candidate:?} reason={undecided}"),
    }
}
